"""The ledger that runs non-idempotent requests at most once.

Before a request is sent, its idempotency key is claimed by a
compare-and-swap on the key's bucket; the answer is stored with the
claim.  A bucket is one value in the KV service.  Claims that arrive
during a write of their bucket share the next write.
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
CLOCK_SKEW_MAX_S = 300.0
RECORD_OVERHEAD_BYTES = 160
RETRY_AFTER_S = 5.0
UUID_VERSION = 7


class KeyState(enum.StrEnum):
    """State of an idempotency key."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A stored answer."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRecord:
    """The stored record of one idempotency key.

    :param nonce: identifies the claim, also if its reply was lost.
    :param kept: whether the answer is stored.
    """

    state: KeyState
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
    """One stored bucket; keys with timestamps to ``floor_ms`` are expired."""

    rows: dict[str, KeyRecord] = dataclasses.field(default_factory=dict)
    floor_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim on an idempotency key."""

    key: str
    nonce: str


def key_time_ms(key):
    """Read the timestamp of a UUIDv7 key.

    Source: RFC 9562, section 5.7.

    :returns: milliseconds since 1970, or None for other keys.
    """
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    return value.int >> 80 if value.version == UUID_VERSION else None


def record_bytes(key, record):
    """Return an upper bound for the stored size of a record, in bytes."""
    return RECORD_OVERHEAD_BYTES + len(key) + len(record.body)


class _BucketWriter:
    """Writes one bucket, with one compare-and-swap at a time."""

    def __init__(self, kv, bucket, compute_floor_ms):
        self._kv = kv
        self._key = _keys.ledger(bucket)
        self._compute_floor_ms = compute_floor_ms
        self._queued_jobs = []
        self._lock = trio.Lock()
        self._bucket = Bucket()
        self._revision = None
        self.writes = 0

    async def change(self, decide):
        """Apply ``decide(rows, floor_ms)`` in the next write.

        ``decide`` changes ``rows`` in place and returns the result.  It
        is called again on fresh rows when the write is repeated.

        :returns: the result of ``decide``.
        :raises KvError: if no write is known to have succeeded.
        """
        job = [decide, None, False]  # decision, result, whether it is done
        self._queued_jobs.append(job)
        async with self._lock:
            if not job[2]:
                jobs, self._queued_jobs = self._queued_jobs, []
                await self._write(jobs)
        if isinstance(job[1], Exception):
            raise job[1]
        return job[1]

    def forget(self):
        """Drop the cached bucket; the next write reads it again."""
        if not self._lock.locked():
            self._bucket = Bucket()
            self._revision = None

    async def _write(self, jobs):
        failure = None
        for _ in range(WRITE_ATTEMPTS):
            try:
                if self._revision is None:
                    await self._read()
                if await self._try_write(jobs):
                    return
            except exceptions.KvError as exc:
                failure = exc
            self._revision = None
        for job in jobs:
            job[1] = failure or exceptions.KvError("too much contention")
            job[2] = True

    async def _read(self):
        entry = await self._kv.get(self._key)
        self._bucket = Bucket()
        if entry is not None:
            self._bucket = _records.loads(entry.value, Bucket)
        self._revision = entry.mod_revision if entry else 0

    async def _try_write(self, jobs):
        floor_ms = self._compute_floor_ms(self._bucket)
        rows = {
            key: record
            for key, record in self._bucket.rows.items()
            if (key_time_ms(key) or floor_ms + 1) > floor_ms
        }
        results = [_run_decision(job[0], rows, floor_ms) for job in jobs]
        bucket = Bucket(rows, floor_ms)
        if rows != self._bucket.rows:
            compare = _kv.Compare(self._key, "mod", self._revision)
            put = _kv.Put(self._key, _records.dumps(bucket))
            result = await self._kv.txn([compare], [put])
            self.writes += 1
            if not result.succeeded:
                return False
            self._bucket, self._revision = bucket, result.revision
        for job, result in zip(jobs, results, strict=True):
            job[1] = result
            job[2] = True
        return True


def _run_decision(decide, rows, floor_ms):
    try:
        return decide(rows, floor_ms)
    except exceptions.ColtsfootsailError as exc:
        return exc


class Ledger:
    """Stores the claims and answers of non-idempotent requests.

    :param kv: a ``KvClient``.
    :param settings: ``LedgerSettings``.
    :param node: this node's name.
    :param incarnation: identifies this run of the node's process.
    :param is_alive: ``(node, incarnation) -> bool``; whether the KV
        service lists that run of the node as a member.
    :param wall_s: callable that returns the Unix time in seconds.
    """

    def __init__(
        self, kv, settings, node, incarnation, is_alive, wall_s=time.time
    ):
        self._kv = kv
        self._settings = settings
        self._node = node
        self._incarnation = incarnation
        self._is_alive = is_alive
        self._wall_s = wall_s
        self._writers = {}
        self._active_nonces = set()

    def _bucket_writer(self, key):
        bucket = zlib.crc32(key.encode()) % self._settings.buckets
        if bucket not in self._writers:
            self._writers[bucket] = _BucketWriter(
                self._kv, bucket, self._expiry_floor_ms
            )
        return self._writers[bucket]

    def _expiry_floor_ms(self, bucket):
        """Compute the timestamp up to which keys are expired.

        The newest timestamp in the bucket bounds it as well, so a node
        whose clock jumped ahead expires nothing on its own.  The value
        never decreases.
        """
        timestamps = [key_time_ms(key) or 0 for key in bucket.rows]
        newest_ms = max(timestamps, default=0)
        reference_ms = min(newest_ms, int(self._wall_s() * 1000))
        expired_ms = reference_ms - int(2 * self._settings.retention_s * 1000)
        return max(bucket.floor_ms, expired_ms)

    def sweep(self):
        """Drop the cached buckets, so that unused ones free their memory."""
        for writer in self._writers.values():
            writer.forget()

    def check_key(self, key):
        """Validate a key before anything is written.

        :raises KeyRequired: if it is missing.
        :raises BadField: if it is too long, not printable, or has a
            timestamp in the future.
        :raises KeyExpired: if its timestamp is older than the retention.
        """
        if not key:
            raise exceptions.KeyRequired()
        if len(key) > KEY_CHARS_MAX or not key.isprintable():
            raise exceptions.BadField("Idempotency-Key is not usable")
        timestamp_ms = key_time_ms(key)
        if timestamp_ms is None:
            return
        age_s = self._wall_s() - timestamp_ms / 1000.0
        if age_s > self._settings.retention_s:
            raise exceptions.KeyExpired()
        if age_s < -CLOCK_SKEW_MAX_S:
            raise exceptions.BadField("Idempotency-Key is from the future")

    async def claim(self, key, fingerprint):
        """Claim a key for one run of its request.

        :param fingerprint: hash of the request's content.
        :returns: a ``Claim``, or the ``Answer`` of an earlier run.
        :raises BadField: if the key is not valid.
        :raises KeyRequired: if the key is missing.
        :raises KeyExpired: if the key is older than the retention.
        :raises KeyReused: if the key was used with other content.
        :raises KeyInProgress: if the request is running.
        :raises OutcomeUnknown: if the outcome of an earlier run is unknown.
        :raises AnswerLost: if the answer of an earlier run was not stored.
        :raises LedgerFull: if the bucket has no space left.
        :raises LedgerUnavailable: if the KV service can't be written.
        """
        self.check_key(key)
        nonce = secrets.token_hex(8)
        record = KeyRecord(
            state=KeyState.CLAIMED,
            nonce=nonce,
            node=self._node,
            incarnation=self._incarnation,
            fingerprint=fingerprint,
        )

        def decide(rows, floor_ms):
            existing = rows.get(key)
            if existing is not None and existing.nonce != nonce:
                replay = self._replay_or_refuse(existing, fingerprint)
                if replay is not None:
                    return replay
            timestamp_ms = key_time_ms(key)
            if timestamp_ms is not None and timestamp_ms <= floor_ms:
                raise exceptions.KeyExpired()
            self._check_capacity(rows, key, record)
            rows[key] = record
            return Claim(key, nonce)

        try:
            result = await self._bucket_writer(key).change(decide)
        except exceptions.KvError as exc:
            raise exceptions.LedgerUnavailable(
                retry_after_s=RETRY_AFTER_S
            ) from exc
        if isinstance(result, Claim):
            self._active_nonces.add(nonce)
        return result

    def _check_capacity(self, rows, key, record):
        used = sum(record_bytes(name, kept) for name, kept in rows.items())
        reserved = self._settings.answer_bytes + record_bytes(key, record)
        if used + reserved > self._settings.bucket_bytes:
            raise exceptions.LedgerFull(retry_after_s=RETRY_AFTER_S)

    def _replay_or_refuse(self, record, fingerprint):
        if record.fingerprint != fingerprint:
            raise exceptions.KeyReused()
        if record.state is KeyState.DONE and record.kept:
            return Answer(record.status, record.content_type, record.body)
        if record.state is KeyState.DONE:
            raise exceptions.AnswerLost()
        if record.state is KeyState.UNKNOWN:
            raise exceptions.OutcomeUnknown()
        if (record.node, record.incarnation) == (
            self._node,
            self._incarnation,
        ):
            if record.nonce not in self._active_nonces:
                return None
            raise exceptions.KeyInProgress(retry_after_s=1.0)
        if self._is_alive(record.node, record.incarnation):
            raise exceptions.KeyInProgress(retry_after_s=1.0)
        raise exceptions.OutcomeUnknown("the node that ran it is gone")

    async def complete(self, claim, answer):
        """Store the answer of a run.

        :param answer: an ``Answer``, or None if it can't be stored.
        :raises KvError: if it could not be written; the claim remains.
        """
        fits = answer and len(answer.body) <= self._settings.answer_bytes

        def change(record):
            done = dataclasses.replace(record, state=KeyState.DONE)
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
        self._active_nonces.discard(claim.nonce)

    async def mark_unknown(self, claim):
        """Record that the outcome of a run is unknown."""
        await self._update(
            claim,
            lambda record: dataclasses.replace(record, state=KeyState.UNKNOWN),
        )
        self._active_nonces.discard(claim.nonce)

    async def release(self, claim):
        """Delete the claim of a run that certainly did not start."""
        self._active_nonces.discard(claim.nonce)
        await self._update(claim, lambda record: None)

    async def _update(self, claim, change):
        def decide(rows, floor_ms):
            record = rows.get(claim.key)
            if record is None or record.nonce != claim.nonce:
                return
            changed = change(record)
            if changed is None:
                del rows[claim.key]
            else:
                rows[claim.key] = changed

        await self._bucket_writer(claim.key).change(decide)
