"""Client of the platform's KV service: etcd v3 JSON over HTTP.

Keys are text, values are bytes.  A write whose answer was lost raises
``KvError`` with outcome ``unknown``; the caller reads the key back to find
out whether the write took effect.
"""

import base64
import dataclasses
import json
import random

import trio

from coltsfootsail import _eras
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
    """A change reported by a watch; a deleted entry has an empty value."""

    entry: Entry
    deleted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All entries under a prefix at one revision of the store.

    :param era: how often the store had come back from an older copy.
    """

    entries: tuple
    revision: int
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Compare:
    """Condition of a transaction: a revision of a key equals a number.

    :param target: ``"mod"`` or ``"create"``, the revision to compare.
    :param revision: the expected value; 0 if the key must not exist.
    """

    key: str
    target: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Writes a key.

    :param lease: number of the lease to attach the key to; 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Deletes a key."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class TxnResult:
    """Result of a transaction.

    :param succeeded: whether all conditions held.
    :param revision: revision of the store after the transaction.
    """

    succeeded: bool
    revision: int


def _encode_base64(data):
    if isinstance(data, str):
        data = data.encode()
    return base64.b64encode(data).decode("ascii")


def _decode_key(data):
    return base64.b64decode(data).decode()


def prefix_end(prefix):
    """Compute the exclusive end of the range of keys under a prefix.

    :param prefix: text whose last character is below U+007F.
    :returns: the first key after the range.
    """
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _parse_entry(raw):
    return Entry(
        key=_decode_key(raw["key"]),
        value=base64.b64decode(raw.get("value", "")),
        create_revision=int(raw.get("create_revision", 0)),
        mod_revision=int(raw.get("mod_revision", 0)),
        lease=int(raw.get("lease", 0)),
    )


def _compare_to_json(compare):
    target = compare.target.upper()
    field = f"{compare.target.lower()}_revision"
    return {
        "key": _encode_base64(compare.key),
        "target": target,
        "result": "EQUAL",
        field: str(compare.revision),
    }


def _operation_to_json(operation):
    if isinstance(operation, Put):
        put = {
            "key": _encode_base64(operation.key),
            "value": _encode_base64(operation.value),
        }
        if operation.lease:
            put["lease"] = str(operation.lease)
        return {"request_put": put}
    return {"request_delete_range": {"key": _encode_base64(operation.key)}}


class KvClient:
    """Client that uses one address of the KV service until a call fails.

    :param client: an ``HttpClient``.
    :param addresses: ``"ip:port"`` of each member of the service.
    :param count: called with the name of each call made.
    """

    era = _eras.FIRST_ERA  # this service never comes back from a copy

    def __init__(self, client, addresses, count=lambda call_name: None):
        self._client = client
        self._addresses = list(addresses)
        self._count = count
        self._address_index = 0

    def _address(self):
        return self._addresses[self._address_index % len(self._addresses)]

    async def _call(self, call_name, target, value, *, fresh=False):
        self._count(call_name)
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
            self._address_index += 1
            raise exceptions.KvError(f"{call_name}: {exc}") from exc
        if status != SUCCESS_STATUS or not isinstance(answer, dict):
            self._address_index += 1
            raise exceptions.KvError(f"{call_name}: status {status}")
        return answer

    async def range(self, prefix):
        """Read all entries under a prefix.

        :returns: a ``Snapshot``.
        :raises KvError: if the service fails or does not answer.
        """
        value = {
            "key": _encode_base64(prefix),
            "range_end": _encode_base64(prefix_end(prefix)),
        }
        answer = await self._call("range", "/v3/kv/range", value)
        return self._snapshot(answer)

    async def get(self, key):
        """Read one key.

        :returns: an ``Entry`` or None.
        :raises KvError: if the service fails or does not answer.
        """
        answer = await self._call(
            "get", "/v3/kv/range", {"key": _encode_base64(key)}
        )
        entries = self._snapshot(answer).entries
        return entries[0] if entries else None

    async def get_many(self, keys):
        """Read several keys in one call.

        :param keys: at most ``KEYS_PER_CALL`` keys.
        :returns: dict of key to ``Entry``; missing keys are left out.
        :raises KvError: if the service fails or does not answer.
        """
        value = {
            "success": [
                {"request_range": {"key": _encode_base64(key)}} for key in keys
            ]
        }
        answer = await self._call("get_many", "/v3/kv/txn", value)
        entries = [
            _parse_entry(raw)
            for response in answer.get("responses", ())
            for raw in response["response_range"].get("kvs", ())
        ]
        return {entry.key: entry for entry in entries}

    @staticmethod
    def _snapshot(answer):
        entries = tuple(_parse_entry(raw) for raw in answer.get("kvs", ()))
        return Snapshot(entries, int(answer["header"]["revision"]))

    async def txn(self, compares, operations):
        """Apply operations atomically if all conditions hold.

        :param compares: sequence of ``Compare``.
        :param operations: sequence of ``Put`` and ``Delete``.
        :returns: a ``TxnResult``.
        :raises KvError: if the service fails; whether the operations were
            applied is then unknown.
        """
        value = {
            "compare": [_compare_to_json(compare) for compare in compares],
            "success": [
                _operation_to_json(operation) for operation in operations
            ],
        }
        answer = await self._call("txn", "/v3/kv/txn", value)
        return TxnResult(
            succeeded=bool(answer.get("succeeded", False)),
            revision=int(answer["header"]["revision"]),
        )

    async def lease_grant(self, ttl_s):
        """Grant a lease.

        :param ttl_s: time to live in whole seconds.
        :returns: the lease's number.
        :raises KvError: if the service fails or does not answer.
        """
        answer = await self._call(
            "lease_grant", "/v3/lease/grant", {"TTL": str(ttl_s)}
        )
        return int(answer["ID"])

    async def lease_keepalive(self, lease):
        """Renew a lease.

        :returns: the remaining seconds; 0 if the lease is gone.
        :raises KvError: if the service fails or does not answer.
        """
        answer = await self._call(
            "lease_keepalive", "/v3/lease/keepalive", {"ID": str(lease)}
        )
        return int(answer["result"].get("TTL", 0))

    async def lease_revoke(self, lease):
        """Revoke a lease, which deletes its keys.

        :raises KvError: if the service fails or does not answer.
        """
        await self._call("lease_revoke", "/v3/lease/revoke", {"ID": lease})

    async def watch(self, prefix, start_revision, idle_s):
        """Yield batches of changes under a prefix.

        :param start_revision: first store revision to report.
        :param idle_s: longest silence of the stream in seconds; the service
            sends progress notifications, so a longer silence means that
            the connection is dead.
        :raises KvError: when the watch ends for any reason; the caller
            then reads the prefix again and watches from that revision.
        """
        self._count("watch")
        create = {
            "create_request": {
                "key": _encode_base64(prefix),
                "range_end": _encode_base64(prefix_end(prefix)),
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
                async for result in self._read_results(exchange, idle_s):
                    yield self._parse_events(result)
        except (*_http.STREAM_ERRORS, trio.TooSlowError) as exc:
            self._address_index += 1
            raise exceptions.KvError(f"watch: {exc}") from exc

    @staticmethod
    async def _read_results(exchange, idle_s):
        buffer = b""
        while True:
            with trio.fail_after(idle_s):
                data = await exchange.read_some()
            if not data:
                raise exceptions.KvError("watch: connection closed")
            buffer += data
            if len(buffer) > LINE_BYTES_MAX:
                raise exceptions.KvError("watch: line too long")
            *lines, buffer = buffer.split(b"\n")
            for line in lines:
                yield json.loads(line)["result"]

    @staticmethod
    def _parse_events(result):
        if result.get("canceled") or int(result.get("compact_revision", 0)):
            raise exceptions.KvError("watch: cancelled by the service")
        return tuple(
            Event(_parse_entry(raw["kv"]), raw.get("type") == "DELETE")
            for raw in result.get("events", ())
        )


def jittered(delay_s, rng=random):
    """Randomize a delay between half and one and a half times its length.

    :param delay_s: mean delay in seconds.
    :param rng: source of randomness.
    :returns: the delay in seconds.
    """
    return delay_s * (0.5 + rng.random())


class Backoff:
    """Exponential backoff with full jitter, up to a limit.

    Source: AWS Architecture Blog, "Exponential Backoff and Jitter".
    """

    def __init__(self, first_s=0.2, limit_s=10.0, rng=random):
        self._first_s = first_s
        self._limit_s = limit_s
        self._rng = rng
        self._failures = 0

    def reset(self):
        """Start again from the first delay after a success."""
        self._failures = 0

    def next_s(self):
        """Count a failure and compute the delay before the next attempt.

        :returns: seconds to wait.
        """
        ceiling_s = min(self._limit_s, self._first_s * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        return self._rng.uniform(0.0, ceiling_s)
