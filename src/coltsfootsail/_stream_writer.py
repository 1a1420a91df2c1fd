"""Writes the records of streams that began at this node to the store.

They are attached to a lease of their own, which outlives the node and is
held only while there are records to keep.  A record that is not written
costs its stream a refusal, never a continuation at another version.
"""

import trio

from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _lease
from coltsfootsail import _logs
from coltsfootsail import _records
from coltsfootsail import _stream_records
from coltsfootsail import exceptions

LEASE_S = 60.0
RENEW_S = 10.0  # leaves 50 s after a loss of all nodes
LEASE_MARGIN_S = 5.0
RETRY_MAX_S = 2.0


class StreamWriter:
    """Records the streams that began at one incarnation of a node.

    :param owner: pair of node and incarnation.
    :param kv: a ``StoreClient``.
    :param now: closure that reads the clock.
    :param node_count: closure that counts the nodes that may write.
    :param keep_s: a stream is recorded for this time at least.
    :param count: ``(counter, reason, amount)``.
    """

    def __init__(self, owner, kv, now, node_count, keep_s, count):
        self._owner = owner
        self._kv = kv
        self._now = now
        self._node_count = node_count
        self._count = count
        self._ring = _stream_records.SlotRing(keep_s)
        self._lease = _lease.NodeLease(kv, now, LEASE_S, LEASE_MARGIN_S)
        self._renew_at_s = 0.0
        self._needed = trio.Event()
        self._failing = False

    def record(self, request_id, service, software):
        """Record a stream with the next batch."""
        self._ring.add(request_id, (service, software), self._now())
        self._needed.set()

    async def run(self):
        """Write batches until cancelled."""
        backoff = _kv.Backoff(limit_s=RETRY_MAX_S)
        while True:
            await self._needed.wait()
            interval_s = _stream_records.write_interval_s(self._node_count())
            await trio.sleep(_kv.jittered(interval_s))
            try:
                await self._write()
            except exceptions.KvError as exc:
                self._note_result(exc.detail)
                await trio.sleep(backoff.next_s())
            else:
                self._note_result("")
                backoff.reset()

    async def _write(self):
        """Write what has changed, and end the lease after the last record."""
        self._ring.drop_old(self._now())
        if not self._ring:
            self._needed = trio.Event()
            _logs.state("stream_records_ended")
            await self._lease.revoke()
            return
        await self._keep_lease()
        batch = self._ring.take(self._now())
        if not batch:
            return
        written = False
        try:
            result = await self._kv.txn([], self._operations(batch))
            written = result.succeeded
        finally:
            if not written:
                self._ring.put_back(batch)
                self._renew_at_s = 0.0
        self._count("stream_records", "writes", 1)
        self._count("stream_records", "recorded", batch.streams)

    async def _keep_lease(self):
        """Renew the lease, or replace it and write all records again."""
        now_s = self._now()
        if self._lease.number and now_s < self._renew_at_s:
            return
        if not self._lease.number or not await self._lease.renew():
            await self._lease.grant()
            self._ring.write_all_again()
            _logs.state("stream_records_begun", lease=self._lease.number)
        self._renew_at_s = now_s + RENEW_S

    def _operations(self, batch):
        puts = [
            _kv.Put(
                _keys.stream_slot(*self._owner, number),
                _records.dumps(record),
                self._lease.number,
            )
            for number, record in batch.slots.items()
        ]
        return puts + [
            _kv.Delete(_keys.stream_slot(*self._owner, number))
            for number in sorted(batch.deleted)
        ]

    def _note_result(self, reason):
        """Count a failure, and log the first one and the end of them.

        :param reason: empty after a success.
        """
        if reason:
            self._count("stream_records", "failed", 1)
        if bool(reason) is not self._failing:
            self._failing = bool(reason)
            _logs.state(
                "stream_records_failed" if reason else "stream_records_back",
                reason=reason,
            )
