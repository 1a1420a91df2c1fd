"""What other owners announced of their endpoints; hints, never proof."""

import dataclasses

from coltsfootsail import _placement


@dataclasses.dataclass(slots=True)
class _Row:
    adapters: set
    waiting: int = 0
    running: int = 0
    full: bool = False
    failing: bool = False


class Residency:
    """Which endpoint holds which adapter, and how busy it is."""

    def __init__(self):
        self._rows = {}
        self._holders = {}

    def apply(self, msg):
        """Take a ``Residency`` message."""
        row = self._rows.setdefault(msg.endpoint, _Row(set()))
        row.waiting = msg.waiting
        row.running = msg.running
        row.full = msg.full
        row.failing = msg.failing
        for adapter in msg.removed:
            row.adapters.discard(adapter)
            self._forget_holder(adapter, msg.endpoint)
        for adapter in msg.added:
            row.adapters.add(adapter)
            self._holders.setdefault(adapter, set()).add(msg.endpoint)

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

    def candidate(self, endpoint, adapter, batch, local):
        """Describe an endpoint to placement.

        :param batch: its batch places.
        :returns: a ``Candidate``.
        """
        residences = _placement.Residence
        row = self._rows.get(endpoint)
        if row is None:
            return _placement.Candidate(
                endpoint, residences.EVICTION, 0.0, local
            )
        residence = residences.EVICTION if row.full else residences.FREE_SLOT
        if row.failing:
            residence = residences.FAILING
        if adapter in row.adapters:
            residence = residences.LOADED
        load = (row.waiting + row.running) / max(1, batch)
        return _placement.Candidate(endpoint, residence, load, local)
