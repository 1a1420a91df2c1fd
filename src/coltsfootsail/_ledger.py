"""The at-most-once ledger for non-idempotent requests.

A request is claimed by a compare-and-swap on the bucket of its key
before it is sent, and its answer is kept with the claim.  A bucket is
one value in the KV service; the claims that arrive while a write is
under way share the next one.
"""

import dataclasses
import enum
import secrets
import time
import uuid
import zlib

import trio

from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _records
from coltsfootsail import exceptions

WRITE_ATTEMPTS = 6
KEY_CHARS_MAX = 200
FUTURE_S = 300.0
ROW_BYTES = 160
RETRY_AFTER_S = 5.0
UUID_VERSION = 7


class State(enum.StrEnum):
    """State of a key."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A kept answer."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """What the ledger holds of one key."""

    state: State
    nonce: str
    node: str
    incarnation: str
    fingerprint: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    kept: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """One stored bucket; keys stamped up to ``floor_ms`` are expired."""

    rows: dict[str, Row] = dataclasses.field(default_factory=dict)
    floor_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A held claim on a key."""

    key: str
    nonce: str


def key_time_ms(key):
    """Read the time stamp of a UUIDv7 key.

    Source: RFC 9562, section 5.7.

    :returns: milliseconds since 1970, or None for other keys.
    """
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    return value.int >> 80 if value.version == UUID_VERSION else None


def row_bytes(key, row):
    """Bound the stored size of a row, in bytes."""
    return ROW_BYTES + len(key) + len(row.body)


class _Writer:
    """Writes one bucket; one compare-and-swap at a time."""

    def __init__(self, kv, bucket, prune):
        self._kv = kv
        self._key = _keys.ledger(bucket)
        self._prune = prune
        self._queue = []
        self._lock = trio.Lock()
        self._held = Bucket()
        self._revision = None
        self.writes = 0

    async def change(self, decide):
        """Apply ``decide(rows, floor_ms)`` in the next write.

        ``decide`` returns the result and changes ``rows`` in place; it
        may run several times, on fresh rows.

        :raises KvError: if the write can't be settled.
        """
        job = [decide, None, False]
        self._queue.append(job)
        async with self._lock:
            if not job[2]:
                jobs, self._queue = self._queue, []
                await self._write(jobs)
        if isinstance(job[1], Exception):
            raise job[1]
        return job[1]

    def forget(self):
        """Drop the copy of the bucket; the next write reads it again."""
        if not self._lock.locked():
            self._held = Bucket()
            self._revision = None

    async def _write(self, jobs):
        failure = None
        for _ in range(WRITE_ATTEMPTS):
            try:
                if self._revision is None:
                    await self._read()
                if await self._try(jobs):
                    return
            except exceptions.KvError as exc:
                failure = exc
            self._revision = None
        for job in jobs:
            job[1] = failure or exceptions.KvError("too much contention")
            job[2] = True

    async def _read(self):
        entry = await self._kv.get(self._key)
        self._held = Bucket()
        if entry is not None:
            self._held = _records.loads(entry.value, Bucket)
        self._revision = entry.mod_revision if entry else 0

    async def _try(self, jobs):
        floor_ms = self._prune(self._held)
        rows = {
            key: row
            for key, row in self._held.rows.items()
            if (key_time_ms(key) or floor_ms + 1) > floor_ms
        }
        results = [_decide(job[0], rows, floor_ms) for job in jobs]
        bucket = Bucket(rows, floor_ms)
        if rows != self._held.rows:
            compare = _kv.Compare(self._key, "mod", self._revision)
            put = _kv.Put(self._key, _records.dumps(bucket))
            result = await self._kv.txn([compare], [put])
            self.writes += 1
            if not result.succeeded:
                return False
            self._held, self._revision = bucket, result.revision
        for job, result in zip(jobs, results, strict=True):
            job[1] = result
            job[2] = True
        return True


def _decide(decide, rows, floor_ms):
    try:
        return decide(rows, floor_ms)
    except exceptions.ColtsfootsailError as exc:
        return exc


class Ledger:
    """Claims and answers of non-idempotent requests.

    :param kv: a ``KvClient``.
    :param settings: ``LedgerSettings``.
    :param node: this node's name.
    :param incarnation: names this run of the node.
    :param alive: ``(node, incarnation) -> bool``, by the KV service.
    :param wall_s: closure that reads the time since 1970.
    """

    def __init__(
        self, kv, settings, node, incarnation, alive, wall_s=time.time
    ):
        self._kv = kv
        self._settings = settings
        self._node = node
        self._incarnation = incarnation
        self._alive = alive
        self._wall_s = wall_s
        self._writers = {}
        self._active = set()

    def _writer(self, key):
        bucket = zlib.crc32(key.encode()) % self._settings.buckets
        if bucket not in self._writers:
            self._writers[bucket] = _Writer(self._kv, bucket, self._floor_ms)
        return self._writers[bucket]

    def _floor_ms(self, bucket):
        """Compute up to which stamp keys are expired.

        A clock that stepped ahead alone moves nothing: the newest stamp
        in the bucket bounds the floor too.  It never goes back.
        """
        stamps = [key_time_ms(key) or 0 for key in bucket.rows]
        newest_ms = max(stamps, default=0)
        latest_ms = min(newest_ms, int(self._wall_s() * 1000))
        horizon_ms = latest_ms - int(2 * self._settings.retention_s * 1000)
        return max(bucket.floor_ms, horizon_ms)

    def sweep(self):
        """Forget the buckets read so far, so that none is kept idle."""
        for writer in self._writers.values():
            writer.forget()

    def check_key(self, key):
        """Check a key before anything is written.

        :raises KeyRequired: if it is missing.
        :raises BadField: if it is too long or not printable.
        :raises KeyExpired: if its stamp is older than the retention.
        """
        if not key:
            raise exceptions.KeyRequired()
        if len(key) > KEY_CHARS_MAX or not key.isprintable():
            raise exceptions.BadField("Idempotency-Key is not usable")
        stamp_ms = key_time_ms(key)
        if stamp_ms is None:
            return
        age_s = self._wall_s() - stamp_ms / 1000.0
        if age_s > self._settings.retention_s:
            raise exceptions.KeyExpired()
        if age_s < -FUTURE_S:
            raise exceptions.BadField("Idempotency-Key is from the future")

    async def claim(self, key, fingerprint):
        """Claim a key for one run.

        :returns: a ``Claim``, or the ``Answer`` of an earlier run.
        :raises KeyReused: if the key came with other content.
        :raises KeyInProgress: if a run is under way.
        :raises OutcomeUnknown: if an earlier run's end is not known.
        :raises AnswerLost: if an earlier run's answer was not kept.
        :raises LedgerFull: if the bucket has no room.
        :raises LedgerUnavailable: if the KV service can't be written.
        """
        self.check_key(key)
        nonce = secrets.token_hex(8)
        row = Row(
            state=State.CLAIMED,
            nonce=nonce,
            node=self._node,
            incarnation=self._incarnation,
            fingerprint=fingerprint,
        )

        def decide(rows, floor_ms):
            found = rows.get(key)
            if found is not None and found.nonce != nonce:
                held = self._existing(found, fingerprint)
                if held is not None:
                    return held
            stamp_ms = key_time_ms(key)
            if stamp_ms is not None and stamp_ms <= floor_ms:
                raise exceptions.KeyExpired()
            self._check_room(rows, key, row)
            rows[key] = row
            return Claim(key, nonce)

        try:
            result = await self._writer(key).change(decide)
        except exceptions.KvError as exc:
            raise exceptions.LedgerUnavailable(
                retry_after_s=RETRY_AFTER_S
            ) from exc
        if isinstance(result, Claim):
            self._active.add(nonce)
        return result

    def _check_room(self, rows, key, row):
        used = sum(row_bytes(name, held) for name, held in rows.items())
        room = self._settings.answer_bytes + row_bytes(key, row)
        if used + room > self._settings.bucket_bytes:
            raise exceptions.LedgerFull(retry_after_s=RETRY_AFTER_S)

    def _existing(self, row, fingerprint):
        if row.fingerprint != fingerprint:
            raise exceptions.KeyReused()
        if row.state is State.DONE and row.kept:
            return Answer(row.status, row.content_type, row.body)
        if row.state is State.DONE:
            raise exceptions.AnswerLost()
        if row.state is State.UNKNOWN:
            raise exceptions.OutcomeUnknown()
        if (row.node, row.incarnation) == (self._node, self._incarnation):
            if row.nonce not in self._active:
                return None
            raise exceptions.KeyInProgress(retry_after_s=1.0)
        if self._alive(row.node, row.incarnation):
            raise exceptions.KeyInProgress(retry_after_s=1.0)
        raise exceptions.OutcomeUnknown("the node that ran it is gone")

    async def complete(self, claim, answer):
        """Keep the answer of a run.

        :param answer: an ``Answer``, or None if it can't be kept.
        :raises KvError: if it could not be written; the claim stands.
        """
        fits = answer and len(answer.body) <= self._settings.answer_bytes

        def change(row):
            done = dataclasses.replace(row, state=State.DONE)
            if not fits:
                return done
            return dataclasses.replace(
                done,
                status=answer.status,
                content_type=answer.content_type,
                body=answer.body,
                kept=True,
            )

        await self._update(claim, change)
        self._active.discard(claim.nonce)

    async def mark_unknown(self, claim):
        """Note that the outcome of a run is not known."""
        await self._update(
            claim, lambda row: dataclasses.replace(row, state=State.UNKNOWN)
        )
        self._active.discard(claim.nonce)

    async def release(self, claim):
        """Drop the claim of a run that surely did not start."""
        self._active.discard(claim.nonce)
        await self._update(claim, lambda row: None)

    async def _update(self, claim, change):
        def decide(rows, floor_ms):
            row = rows.get(claim.key)
            if row is None or row.nonce != claim.nonce:
                return
            changed = change(row)
            if changed is None:
                del rows[claim.key]
            else:
                rows[claim.key] = changed

        await self._writer(claim.key).change(decide)
