"""The memory that a process holds for callers, servers and peers.

They choose how much they send and how fast they read.  All that is held for
them is counted in one budget, so that none of them can use up the memory of
the host.  The first bytes of each holder are counted apart from the rest,
which may take a share of the budget only: small requests pass whatever large
ones hold, and answers whatever requests hold.
"""

import collections
import contextlib
import dataclasses

from coltsfootsail import exceptions

PROGRAM_BYTES = 110_000_000  # without what is held for others
# Of the remaining memory; buffers and fragmentation take the other part.
HELD_SHARE = 0.35
BUDGET_MIN_BYTES = 16_777_216
SMALL_BYTES = 65_536  # of each holder
RETRY_AFTER_S = 1.0  # in which some of the requests that hold it end


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """What bytes are held for.

    :param name: label of its metrics.
    :param total_share: share of the budget up to which all uses together may
        hold bytes when more are taken for this one.
    :param large_share: share that all holders of this use together may take
        beyond the first ``SMALL_BYTES`` of each.
    :param large_min_bytes: the least that this share amounts to.
    """

    name: str
    total_share: float
    large_share: float
    large_min_bytes: int = 0


REQUEST = Use("request", total_share=0.9, large_share=0.6)
ANSWER = Use("answer", total_share=1.0, large_share=0.37)
# Two messages of the largest size pass in any budget.
PEER = Use("peer", total_share=1.0, large_share=0.1, large_min_bytes=8_388_608)


def budget_bytes(memory_bytes):
    """Get how much a process may hold for others.

    :param memory_bytes: the memory that the host gives the process.
    """
    free_bytes = memory_bytes - PROGRAM_BYTES
    return max(BUDGET_MIN_BYTES, int(HELD_SHARE * free_bytes))


class HeldMemory:
    """The budget of one process.

    :param budget_bytes: the most that may be held.
    """

    def __init__(self, budget_bytes):
        self.budget_bytes = budget_bytes
        self.held_bytes = 0
        self.peak_bytes = 0
        self._use_bytes = collections.Counter()
        self._large_bytes = collections.Counter()

    def bytes_by_use(self):
        """Get how much is held, by the name of its use."""
        return {use.name: held for use, held in self._use_bytes.items()}

    @contextlib.contextmanager
    def hold(self, use):
        """Yield an ``Account`` whose bytes are given back at the end.

        :param use: a ``Use``.
        """
        account = Account(self, use)
        try:
            yield account
        finally:
            account.give_back_all()

    def has_room(self, use, size_bytes, large_bytes):
        """Tell whether bytes can be taken now.

        :param size_bytes: how many.
        :param large_bytes: how many of them are not the holder's first ones.
        """
        total_bytes = self.held_bytes + size_bytes
        if total_bytes > use.total_share * self.budget_bytes:
            return False
        all_large_bytes = self._large_bytes[use] + large_bytes
        share_bytes = use.large_share * self.budget_bytes
        most_bytes = max(share_bytes, use.large_min_bytes)
        return not large_bytes or all_large_bytes <= most_bytes

    def add(self, use, size_bytes, large_bytes):
        """Add bytes to those that are held, or take off negative numbers."""
        self.held_bytes += size_bytes
        self._use_bytes[use] += size_bytes
        self._large_bytes[use] += large_bytes
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)


class Account:
    """The bytes that one holder has.

    :param memory: the ``HeldMemory``.
    :param use: a ``Use``.
    """

    def __init__(self, memory, use):
        self._memory = memory
        self._use = use
        self.held_bytes = 0

    def _large_bytes(self, change_bytes):
        """Get by how much the bytes after the first ones change."""
        before_bytes = max(0, self.held_bytes - SMALL_BYTES)
        after_bytes = max(0, self.held_bytes + change_bytes - SMALL_BYTES)
        return after_bytes - before_bytes

    def has_room(self, size_bytes):
        """Tell whether this many further bytes can be taken now."""
        large_bytes = self._large_bytes(size_bytes)
        return self._memory.has_room(self._use, size_bytes, large_bytes)

    def take(self, size_bytes):
        """Take bytes; tell whether the budget had as many."""
        if not self.has_room(size_bytes):
            return False
        self._change(size_bytes)
        return True

    def require(self, size_bytes):
        """Take bytes for a request that has not run.

        :raises MemoryFull: if the budget does not have as many.
        """
        self.require_room(size_bytes)
        self._change(size_bytes)

    def require_room(self, size_bytes):
        """Refuse a request that has not run if bytes can't be taken now.

        :raises MemoryFull: if the budget does not have as many.
        """
        if not self.has_room(size_bytes):
            memory = self._memory
            raise exceptions.MemoryFull(
                f"{size_bytes} bytes wanted, {memory.held_bytes} held of "
                f"{memory.budget_bytes}",
                retry_after_s=RETRY_AFTER_S,
            )

    @contextlib.contextmanager
    def hold(self, size_bytes):
        """Hold further bytes in a block.

        :returns: a context manager, whose value tells whether the budget had
            as many; if not, none are held.
        """
        has_taken = self.take(size_bytes)
        try:
            yield has_taken
        finally:
            if has_taken:
                self.give_back(size_bytes)

    def give_back(self, size_bytes):
        """Return bytes to the budget."""
        self._change(-size_bytes)

    def give_back_all(self):
        """Return all bytes to the budget."""
        self._change(-self.held_bytes)

    def _change(self, size_bytes):
        large_bytes = self._large_bytes(size_bytes)
        self._memory.add(self._use, size_bytes, large_bytes)
        self.held_bytes += size_bytes
