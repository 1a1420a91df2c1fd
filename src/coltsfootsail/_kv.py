"""Client of the platform's KV service: etcd v3 JSON over HTTP.

Keys are text, values are bytes.  A write whose answer was lost raises
``KvError`` with outcome ``unknown``; callers settle it by reading back.
"""

import base64
import dataclasses
import json
import random

import trio

from coltsfootsail import _http
from coltsfootsail import exceptions

CALL_TIMEOUT_S = 2.0
LINE_BYTES_MAX = 16_777_216
SUCCESS_STATUS = 200
KEYS_PER_CALL = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value and revisions."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A change seen by a watch; ``entry.value`` is empty on deletion."""

    entry: Entry
    deleted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Entries of a prefix as of one revision of the store."""

    entries: tuple
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Compare:
    """A condition on a key: its mod or create revision equals a number.

    A revision of 0 means that the key does not exist.
    """

    key: str
    target: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Writes a key, on a lease where one is given."""

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Removes a key."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class TxnResult:
    """Whether a transaction's conditions held, and at which revision."""

    succeeded: bool
    revision: int


def _b64(data):
    if isinstance(data, str):
        data = data.encode()
    return base64.b64encode(data).decode("ascii")


def _text(data):
    return base64.b64decode(data).decode()


def prefix_end(prefix):
    """Compute the end of the range of keys that start with a prefix.

    :param prefix: text whose last character is below U+007F.
    :returns: the first key after the range.
    """
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _entry(raw):
    return Entry(
        key=_text(raw["key"]),
        value=base64.b64decode(raw.get("value", "")),
        create_revision=int(raw.get("create_revision", 0)),
        mod_revision=int(raw.get("mod_revision", 0)),
        lease=int(raw.get("lease", 0)),
    )


def _compare(compare):
    target = compare.target.upper()
    field = f"{compare.target.lower()}_revision"
    return {
        "key": _b64(compare.key),
        "target": target,
        "result": "EQUAL",
        field: str(compare.revision),
    }


def _operation(operation):
    if isinstance(operation, Put):
        put = {"key": _b64(operation.key), "value": _b64(operation.value)}
        if operation.lease:
            put["lease"] = str(operation.lease)
        return {"request_put": put}
    return {"request_delete_range": {"key": _b64(operation.key)}}


class KvClient:
    """Calls the KV service at any of its addresses.

    :param client: an ``HttpClient``.
    :param addresses: ``"ip:port"`` of each member of the service.
    :param count: called with the kind of each call made.
    """

    def __init__(self, client, addresses, count=lambda kind: None):
        self._client = client
        self._addresses = list(addresses)
        self._count = count
        self._turn = 0

    def _address(self):
        return self._addresses[self._turn % len(self._addresses)]

    async def _call(self, kind, target, value, *, fresh=False):
        self._count(kind)
        try:
            status, answer = await self._client.call_json(
                self._address(),
                "POST",
                target,
                value,
                timeout_s=CALL_TIMEOUT_S,
                fresh=fresh,
            )
        except OSError as exc:
            self._turn += 1
            raise exceptions.KvError(f"{kind}: {exc}") from exc
        if status != SUCCESS_STATUS or not isinstance(answer, dict):
            self._turn += 1
            raise exceptions.KvError(f"{kind}: status {status}")
        return answer

    async def range(self, prefix):
        """Read all entries under a prefix.

        :returns: a ``Snapshot``.
        :raises KvError: if the service did not answer.
        """
        value = {"key": _b64(prefix), "range_end": _b64(prefix_end(prefix))}
        answer = await self._call("range", "/v3/kv/range", value)
        return self._snapshot(answer)

    async def get(self, key):
        """Read one key.

        :returns: an ``Entry`` or None.
        :raises KvError: if the service did not answer.
        """
        answer = await self._call("get", "/v3/kv/range", {"key": _b64(key)})
        entries = self._snapshot(answer).entries
        return entries[0] if entries else None

    async def get_many(self, keys):
        """Read several keys in one call.

        :param keys: at most ``KEYS_PER_CALL`` keys.
        :returns: dict of key to ``Entry``; missing keys are left out.
        :raises KvError: if the service did not answer.
        """
        value = {
            "success": [{"request_range": {"key": _b64(key)}} for key in keys]
        }
        answer = await self._call("get_many", "/v3/kv/txn", value)
        entries = [
            _entry(raw)
            for item in answer.get("responses", ())
            for raw in item["response_range"].get("kvs", ())
        ]
        return {entry.key: entry for entry in entries}

    @staticmethod
    def _snapshot(answer):
        entries = tuple(_entry(raw) for raw in answer.get("kvs", ()))
        return Snapshot(entries, int(answer["header"]["revision"]))

    async def txn(self, compares, operations):
        """Write if all conditions hold.

        :param compares: sequence of ``Compare``.
        :param operations: sequence of ``Put`` and ``Delete``.
        :returns: a ``TxnResult``.
        :raises KvError: outcome unknown.
        """
        value = {
            "compare": [_compare(compare) for compare in compares],
            "success": [_operation(operation) for operation in operations],
        }
        answer = await self._call("txn", "/v3/kv/txn", value)
        return TxnResult(
            succeeded=bool(answer.get("succeeded", False)),
            revision=int(answer["header"]["revision"]),
        )

    async def lease_grant(self, ttl_s):
        """Grant a lease.

        :param ttl_s: whole seconds.
        :returns: the lease's number.
        :raises KvError: if the service did not answer.
        """
        answer = await self._call(
            "lease_grant", "/v3/lease/grant", {"TTL": str(ttl_s)}
        )
        return int(answer["ID"])

    async def lease_keepalive(self, lease):
        """Renew a lease.

        :returns: the remaining seconds; 0 if the lease is gone.
        :raises KvError: if the service did not answer.
        """
        answer = await self._call(
            "lease_keepalive", "/v3/lease/keepalive", {"ID": str(lease)}
        )
        return int(answer["result"].get("TTL", 0))

    async def lease_revoke(self, lease):
        """End a lease and delete its keys.

        :raises KvError: if the service did not answer.
        """
        await self._call("lease_revoke", "/v3/lease/revoke", {"ID": lease})

    async def watch(self, prefix, start_revision, idle_s):
        """Yield batches of changes under a prefix.

        :param start_revision: first store revision to report.
        :param idle_s: how long the stream may be silent; the service
            sends progress notices, so a longer silence means a dead
            connection.
        :raises KvError: when the watch ends for whatever reason; read
            the prefix again and watch from there.
        """
        self._count("watch")
        create = {
            "create_request": {
                "key": _b64(prefix),
                "range_end": _b64(prefix_end(prefix)),
                "start_revision": str(start_revision),
                "progress_notify": True,
            }
        }
        body = json.dumps(create).encode()
        address = self._address()
        try:
            async with self._client.exchange(address, fresh=True) as exchange:
                with trio.fail_after(CALL_TIMEOUT_S):
                    await exchange.send(
                        "POST", "/v3/watch", [("host", address)], body
                    )
                    status = await exchange.read_head()
                if status != SUCCESS_STATUS:
                    raise exceptions.KvError(f"watch: status {status}")
                async for result in self._lines(exchange, idle_s):
                    yield self._batch(result)
        except (*_http.STREAM_ERRORS, trio.TooSlowError) as exc:
            self._turn += 1
            raise exceptions.KvError(f"watch: {exc}") from exc

    @staticmethod
    async def _lines(exchange, idle_s):
        buffer = b""
        while True:
            with trio.fail_after(idle_s):
                data = await exchange.read_some()
            if not data:
                raise exceptions.KvError("watch: ended")
            buffer += data
            if len(buffer) > LINE_BYTES_MAX:
                raise exceptions.KvError("watch: line too long")
            *lines, buffer = buffer.split(b"\n")
            for line in lines:
                yield json.loads(line)["result"]

    @staticmethod
    def _batch(result):
        if result.get("canceled") or int(result.get("compact_revision", 0)):
            raise exceptions.KvError("watch: cancelled by the service")
        return tuple(
            Event(_entry(raw["kv"]), raw.get("type") == "DELETE")
            for raw in result.get("events", ())
        )


def jittered(delay_s, rng=random):
    """Spread a delay over half to one and a half times its length.

    :param delay_s: seconds.
    :param rng: source of randomness.
    :returns: seconds.
    """
    return delay_s * (0.5 + rng.random())


class Backoff:
    """Delays that double up to a limit, with full jitter.

    Source: AWS Architecture Blog, "Exponential Backoff and Jitter".
    """

    def __init__(self, first_s=0.2, limit_s=10.0, rng=random):
        self._first_s = first_s
        self._limit_s = limit_s
        self._rng = rng
        self._failures = 0

    def reset(self):
        """Start again from the first delay."""
        self._failures = 0

    def next_s(self):
        """Count a failure.

        :returns: how long to wait, in seconds.
        """
        ceiling_s = min(self._limit_s, self._first_s * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        return self._rng.uniform(0.0, ceiling_s)
