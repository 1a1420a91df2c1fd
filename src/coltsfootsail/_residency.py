"""What other owners announced about their endpoints.

An announcement may be out of date: it is a hint for placement only.
"""

import bisect
import dataclasses

from coltsfootsail import _placement


LOAD_LEVELS = (0.0, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0, 8.0)


def load_level(load):
    """Round a load down to a level, so that few changes are announced.

    :returns: an index of ``LOAD_LEVELS``.
    """
    return bisect.bisect_right(LOAD_LEVELS, load) - 1


@dataclasses.dataclass(slots=True)
class _EndpointState:
    adapters: set
    level: int = 0
    full: bool = False
    failing: bool = False


class ResidencyTable:
    """The announced adapters and load of each endpoint."""

    def __init__(self):
        self._endpoints = {}
        self._holders = {}

    def apply(self, msg):
        """Apply a ``Residency`` message."""
        state = self._endpoints.setdefault(msg.endpoint, _EndpointState(set()))
        state.full = msg.full
        state.failing = msg.failing
        for adapter in msg.removed:
            state.adapters.discard(adapter)
            self._remove_holder(adapter, msg.endpoint)
        for adapter in msg.added:
            state.adapters.add(adapter)
            self._holders.setdefault(adapter, set()).add(msg.endpoint)

    def apply_loads(self, loads):
        """Apply the load levels of a heartbeat.

        :param loads: pairs of endpoint and level.
        """
        for endpoint, level in loads:
            state = self._endpoints.setdefault(endpoint, _EndpointState(set()))
            state.level = min(max(0, level), len(LOAD_LEVELS) - 1)

    def _remove_holder(self, adapter, endpoint):
        holders = self._holders.get(adapter)
        if holders is None:
            return
        holders.discard(endpoint)
        if not holders:
            del self._holders[adapter]

    def drop(self, endpoint):
        """Forget an endpoint."""
        state = self._endpoints.pop(endpoint, None)
        for adapter in state.adapters if state else ():
            self._remove_holder(adapter, endpoint)

    def holders(self, adapter):
        """Get the endpoints that announced an adapter as loaded."""
        return self._holders.get(adapter, frozenset())

    def candidate(self, endpoint, adapter, own_load, local):
        """Describe an endpoint for placement.

        :param own_load: load that this node has put on it, which may not
            have been announced yet.
        :param local: whether it is in the caller's data centre.
        :returns: a ``Candidate``.
        """
        residences = _placement.Residence
        state = self._endpoints.get(endpoint)
        if state is None:
            return _placement.Candidate(
                endpoint, residences.EVICTION, own_load, local
            )
        residence = residences.EVICTION if state.full else residences.FREE_SLOT
        if state.failing:
            residence = residences.FAILING
        if adapter in state.adapters:
            residence = residences.LOADED
        load = max(own_load, LOAD_LEVELS[state.level])
        return _placement.Candidate(endpoint, residence, load, local)
