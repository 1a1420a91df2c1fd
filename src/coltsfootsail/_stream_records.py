"""Records in the store of the software version at which streams began.

A node batches the streams that began there into slots, each of which is the
value of one key.  The current slot is written again as it grows, until it is
full or old.  A slot whose streams are too old to be taken up is deleted, and
its number is used again.  The code does no I/O and has no clock.
"""

import dataclasses
import hashlib

from coltsfootsail import _records

DIGEST_BYTES = 8
INTERVAL_MIN_S = 0.25  # between the writes of one node
WRITES_PER_S_MAX = 200.0  # of all nodes together
SLOT_DIGESTS_MAX = 32  # a batch that follows goes to another slot
BATCH_DIGESTS_MAX = 4096  # of one slot
SLOT_AGE_MAX_S = 15.0  # from its first stream to its last
SLOTS_MAX = 1024  # of one node; beyond, the oldest is written over
SLOTS_PER_WRITE_MAX = 16


def write_interval_s(nodes):
    """Get the time between the writes of one node.

    :param nodes: number of nodes that may write.
    """
    return max(INTERVAL_MIN_S, nodes / WRITES_PER_S_MAX)


def make_digest(request_id):
    """Make the bytes that stand for a request id in records."""
    return hashlib.blake2b(
        request_id.encode(), digest_size=DIGEST_BYTES
    ).digest()


def _contains(digests, digest):
    """Tell whether a digest is among others that are joined."""
    position = digests.find(digest)
    while position > 0 and position % DIGEST_BYTES:
        position = digests.find(digest, position + 1)
    return position >= 0


def find_versions(slots, request_id):
    """Find the versions at which a stream began according to records.

    :param slots: iterable of ``StreamSlot``.
    :returns: set of pairs of service and software version; several if
        records disagree.
    """
    digest = make_digest(request_id)
    return {
        (group.service, group.software)
        for slot in slots
        for group in slot.groups
        if _contains(group.digests, digest)
    }


def list_versions(slots, service):
    """List the software versions of a service that records name.

    :param slots: iterable of ``StreamSlot``.
    :returns: set of software versions.
    """
    return {
        group.software
        for slot in slots
        for group in slot.groups
        if group.service == service
    }


@dataclasses.dataclass(slots=True)
class _Slot:
    """The streams of one slot.

    :param digests: dict of pair of service and version to ``bytearray``.
    """

    opened_s: float
    newest_s: float
    digests: dict = dataclasses.field(default_factory=dict)
    size: int = 0

    def has_room(self, now_s, is_changed):
        """Tell whether streams may be added.

        :param is_changed: whether it is to be written in any case, so that
            another stream costs no further write.
        """
        size_max = BATCH_DIGESTS_MAX if is_changed else SLOT_DIGESTS_MAX
        is_young = now_s - self.opened_s < SLOT_AGE_MAX_S
        return is_young and self.size < size_max

    def add(self, digest, version, now_s):
        """Add a stream."""
        self.digests.setdefault(version, bytearray()).extend(digest)
        self.size += 1
        self.newest_s = now_s

    def make_record(self):
        """Make the ``StreamSlot`` of these streams."""
        return _records.StreamSlot(
            tuple(
                _records.StreamGroup(service, software, bytes(digests))
                for (service, software), digests in self.digests.items()
            )
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """What is to be written to the store at once.

    :param slots: dict of number to ``StreamSlot``.
    :param deleted: numbers of the slots to delete.
    :param streams: number of streams that are written for the first time.
    """

    slots: dict
    deleted: frozenset
    streams: int

    def __bool__(self):
        return bool(self.slots or self.deleted)


class SlotRing:
    """The slots of one incarnation of a node.

    :param keep_s: a stream is recorded for this time at least.
    """

    def __init__(self, keep_s):
        self._keep_s = keep_s
        self._slots = {}
        self._current = None
        self._unwritten = {}
        self._deleted = set()

    def __bool__(self):
        return bool(self._slots)

    def add(self, request_id, version, now_s):
        """Add a stream.

        :param version: pair of service and software version.
        """
        slot = self._slots.get(self._current)
        is_changed = self._current in self._unwritten
        if slot is None or not slot.has_room(now_s, is_changed):
            slot = self._open(now_s)
        slot.add(make_digest(request_id), version, now_s)
        self._unwritten.setdefault(self._current, 0)
        self._unwritten[self._current] += 1

    def _open(self, now_s):
        self.drop_old(now_s)
        if len(self._slots) >= SLOTS_MAX:
            oldest = next(iter(self._slots))
            del self._slots[oldest]
            self._unwritten.pop(oldest, None)
            self._current = oldest
        else:
            self._current = self._free_number()
        self._deleted.discard(self._current)
        slot = self._slots[self._current] = _Slot(now_s, now_s)
        return slot

    def _free_number(self):
        """Get an unused number, first one whose key is still to delete."""
        if self._deleted:
            return min(self._deleted)
        number = len(self._slots)
        while number in self._slots:
            number -= 1
        return number

    def drop_old(self, now_s):
        """Drop the slots whose streams can't be taken up any more."""
        while self._slots:
            number, slot = next(iter(self._slots.items()))
            if slot.newest_s >= now_s - self._keep_s:
                return
            del self._slots[number]
            self._unwritten.pop(number, None)
            self._deleted.add(number)

    def take(self, now_s):
        """Take what has changed since the last batches.

        :returns: a ``Batch``, which may be empty.
        """
        self.drop_old(now_s)
        numbers = list(self._unwritten)[:SLOTS_PER_WRITE_MAX]
        streams = sum(self._unwritten.pop(number) for number in numbers)
        deleted, self._deleted = frozenset(self._deleted), set()
        slots = {
            number: self._slots[number].make_record() for number in numbers
        }
        return Batch(slots, deleted, streams)

    def put_back(self, batch):
        """Note that a batch may not have been written."""
        for number in batch.slots:
            if number in self._slots:
                self._unwritten.setdefault(number, 0)
        self._deleted |= {n for n in batch.deleted if n not in self._slots}

    def write_all_again(self):
        """Note that the store has lost all slots."""
        self._deleted.clear()
        for number in self._slots:
            self._unwritten.setdefault(number, 0)
