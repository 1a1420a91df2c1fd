"""What other owners announced of their endpoints; hints, never proof."""

import bisect
import dataclasses

from coltsfootsail import _placement


LOAD_LEVELS = (0.0, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0, 8.0)


def load_level(load):
    """Round a load down to a level, so that few changes are told."""
    return bisect.bisect_right(LOAD_LEVELS, load) - 1


@dataclasses.dataclass(slots=True)
class _Row:
    adapters: set
    level: int = 0
    full: bool = False
    failing: bool = False


class ResidencyTable:
    """Which endpoint holds which adapter, and how busy it is."""

    def __init__(self):
        self._rows = {}
        self._holders = {}

    def apply(self, msg):
        """Take a ``Residency`` message."""
        row = self._rows.setdefault(msg.endpoint, _Row(set()))
        row.full = msg.full
        row.failing = msg.failing
        for adapter in msg.removed:
            row.adapters.discard(adapter)
            self._forget_holder(adapter, msg.endpoint)
        for adapter in msg.added:
            row.adapters.add(adapter)
            self._holders.setdefault(adapter, set()).add(msg.endpoint)

    def apply_loads(self, loads):
        """Take the load levels of a heartbeat."""
        for endpoint, level in loads:
            row = self._rows.setdefault(endpoint, _Row(set()))
            row.level = min(max(0, level), len(LOAD_LEVELS) - 1)

    def _forget_holder(self, adapter, endpoint):
        holders = self._holders.get(adapter)
        if holders is None:
            return
        holders.discard(endpoint)
        if not holders:
            del self._holders[adapter]

    def drop(self, endpoint):
        """Forget an endpoint."""
        row = self._rows.pop(endpoint, None)
        for adapter in row.adapters if row else ():
            self._forget_holder(adapter, endpoint)

    def holders(self, adapter):
        """List the endpoints said to hold an adapter."""
        return self._holders.get(adapter, frozenset())

    def candidate(self, endpoint, adapter, own_load, local):
        """Describe an endpoint to placement.

        :param own_load: load that this node itself has put on it, which
            no announcement may show yet.
        :returns: a ``Candidate``.
        """
        residences = _placement.Residence
        row = self._rows.get(endpoint)
        if row is None:
            return _placement.Candidate(
                endpoint, residences.EVICTION, own_load, local
            )
        residence = residences.EVICTION if row.full else residences.FREE_SLOT
        if row.failing:
            residence = residences.FAILING
        if adapter in row.adapters:
            residence = residences.LOADED
        load = max(own_load, LOAD_LEVELS[row.level])
        return _placement.Candidate(endpoint, residence, load, local)
