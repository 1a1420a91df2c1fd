"""An in-memory KV service with etcd's v3 JSON API, as one member."""

import base64
import collections
import dataclasses
import enum
import json

import trio

from coltsfootsail import _http

LIMITS = _http.HttpLimits(
    header_bytes=65536, body_bytes=16_777_216, idle_timeout_s=3600.0
)
VALUE_BYTES_MAX = 1_048_576
HISTORY_EVENTS = 20000
PROGRESS_S = 10.0


class KvFault(enum.Enum):
    """Faults of the KV service.

    With ``DOWN`` no call is answered, with ``SLOW`` each is delayed,
    with ``LOST_REPLY`` a write takes effect without an answer, and with
    ``STALE_READ`` reads return the data from when the fault was set.
    """

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    LOST_REPLY = "lost_reply"
    STALE_READ = "stale_read"


@dataclasses.dataclass(frozen=True, slots=True)
class _Row:
    """The value of a key and its metadata.

    :param lease: number of the lease; 0 if there is none.
    """

    value: bytes
    create_revision: int
    mod_revision: int
    lease: int


@dataclasses.dataclass(slots=True)
class _Lease:
    ttl_s: int
    expires_s: float


def _decode_text(data):
    return base64.b64decode(data).decode()


def _encode_bytes(data):
    return base64.b64encode(data).decode("ascii")


class KvStandIn:
    """State and HTTP handler of the KV service.

    :param now: function that reads the clock in seconds.
    """

    def __init__(self, now=trio.current_time):
        self.revision = 1
        self.fault = KvFault.NONE
        self.slow_s = 1.0
        self.calls = collections.Counter()
        self.calls_by_second = collections.Counter()
        self.writes_by_second = collections.Counter()
        self._now = now
        self._rows = {}
        self._stale_rows = {}
        self._leases = {}
        self._next_lease = 1000
        self._events = collections.deque(maxlen=HISTORY_EVENTS)
        self._changed = trio.Event()

    async def serve(self, stream):
        """Serve one connection."""
        await _http.serve_connection(stream, LIMITS, self._handle)

    def set_fault(self, fault):
        """Set the fault; open watches end when the service goes down."""
        self.fault = fault
        if fault is KvFault.STALE_READ:
            self._stale_rows = dict(self._rows)
        self._notify_watches()

    def value(self, key):
        """Read a value directly, unaffected by faults."""
        self._expire()
        row = self._rows.get(key)
        return row.value if row else None

    def keys(self, prefix):
        """List keys directly, unaffected by faults."""
        self._expire()
        return sorted(key for key in self._rows if key.startswith(prefix))

    def drop_lease_of(self, key):
        """Expire the lease of a key at once."""
        self._leases[self._rows[key].lease].expires_s = self._now()
        self._expire()

    def _notify_watches(self):
        event, self._changed = self._changed, trio.Event()
        event.set()

    def _expire(self):
        now_s = self._now()
        expired = [
            number
            for number, lease in self._leases.items()
            if lease.expires_s <= now_s
        ]
        for number in expired:
            self._end_lease(number)

    def _end_lease(self, number):
        self._leases.pop(number, None)
        keys = [key for key, row in self._rows.items() if row.lease == number]
        if not keys:
            return
        self.revision += 1
        for key in keys:
            self._delete(key)
        self._notify_watches()

    def _delete(self, key):
        if self._rows.pop(key, None) is not None:
            row = _Row(b"", 0, self.revision, 0)
            self._events.append((self.revision, "DELETE", key, row))

    def _put(self, key, value, lease):
        old = self._rows.get(key)
        create_revision = old.create_revision if old else self.revision
        row = _Row(value, create_revision, self.revision, lease)
        self._rows[key] = row
        self._events.append((self.revision, "PUT", key, row))

    async def _handle(self, req, resp):
        call = req.path.removeprefix("/v3/")
        self.calls[call] += 1
        self.calls_by_second[int(self._now())] += 1
        if call in ("kv/txn", "lease/grant", "lease/keepalive"):
            self.writes_by_second[int(self._now())] += 1
        if self.fault is KvFault.DOWN:
            await trio.sleep_forever()
        if self.fault is KvFault.SLOW:
            await trio.sleep(self.slow_s)
        handle = self._HANDLERS.get(call)
        if handle is None:
            await resp.reply_json({"message": "no such call"}, 404)
            return
        if call == "watch":
            await self._watch(req.json(), resp)
            return
        self._expire()
        answer = handle(self, req.json())
        is_write = call != "kv/range" and "responses" not in answer
        if self.fault is KvFault.LOST_REPLY and is_write:
            await trio.sleep_forever()
        status = 200 if "error" not in answer else 400
        answer["header"] = {"revision": str(self.revision)}
        await resp.reply_json(answer, status)

    def _range(self, value):
        rows = self._rows
        if self.fault is KvFault.STALE_READ:
            rows = self._stale_rows
        key = _decode_text(value["key"])
        if "range_end" in value:
            end = _decode_text(value["range_end"])
            keys = sorted(name for name in rows if key <= name < end)
        else:
            keys = [key] if key in rows else []
        return {"kvs": [self._row_json(name, rows[name]) for name in keys]}

    @staticmethod
    def _row_json(key, row):
        return {
            "key": _encode_bytes(key.encode()),
            "value": _encode_bytes(row.value),
            "create_revision": str(row.create_revision),
            "mod_revision": str(row.mod_revision),
            "lease": str(row.lease),
        }

    def _compare_holds(self, compare):
        row = self._rows.get(_decode_text(compare["key"]))
        revisions = {
            "MOD": row.mod_revision if row else 0,
            "CREATE": row.create_revision if row else 0,
        }
        target = compare["target"]
        expected_revision = int(compare[f"{target.lower()}_revision"])
        return revisions[target] == expected_revision

    def _txn(self, value):
        if not all(
            self._compare_holds(item) for item in value.get("compare", ())
        ):
            return {"succeeded": False}
        operations = value.get("success", ())
        if len(operations) > 128:
            return {"error": "too many operations in txn request"}
        reads = [item.get("request_range") for item in operations]
        if all(reads):
            responses = [
                {"response_range": self._range(item)} for item in reads
            ]
            return {"succeeded": True, "responses": responses}
        for operation in operations:
            put = operation.get("request_put")
            if put is None:
                continue
            # Base64 takes 4 characters for 3 bytes.
            if len(put["value"]) * 3 // 4 > VALUE_BYTES_MAX:
                return {"error": "request is too large"}
            lease = int(put.get("lease", 0))
            if lease and lease not in self._leases:
                return {"error": "requested lease not found"}
        self.revision += 1
        for operation in operations:
            self._apply(operation)
        self._notify_watches()
        return {"succeeded": True}

    def _apply(self, operation):
        put = operation.get("request_put")
        if put is None:
            self._delete(
                _decode_text(operation["request_delete_range"]["key"])
            )
            return
        value = base64.b64decode(put["value"])
        self._put(_decode_text(put["key"]), value, int(put.get("lease", 0)))

    def _lease_grant(self, value):
        self._next_lease += 1
        ttl_s = int(value["TTL"])
        lease = _Lease(ttl_s, self._now() + ttl_s)
        self._leases[self._next_lease] = lease
        return {"ID": str(self._next_lease), "TTL": str(ttl_s)}

    def _lease_keepalive(self, value):
        lease = self._leases.get(int(value["ID"]))
        if lease is None:
            return {"result": {"ID": value["ID"]}}
        lease.expires_s = self._now() + lease.ttl_s
        return {"result": {"ID": value["ID"], "TTL": str(lease.ttl_s)}}

    def _lease_revoke(self, value):
        self._end_lease(int(value["ID"]))
        return {}

    async def _watch(self, value, resp):
        create_request = value["create_request"]
        start = _decode_text(create_request["key"])
        end = _decode_text(create_request["range_end"])
        sent_revision = int(create_request.get("start_revision", 1)) - 1
        await resp.start(200)
        await self._send(resp, {"created": True})
        while self.fault is not KvFault.DOWN:
            self._expire()
            batch = [
                event
                for event in self._events
                if event[0] > sent_revision and start <= event[2] < end
            ]
            sent_revision = max(sent_revision, self.revision)
            if batch:
                await self._send(resp, {"events": self._watch_events(batch)})
                continue
            changed = self._changed
            with trio.move_on_after(PROGRESS_S) as scope:
                await changed.wait()
            if scope.cancelled_caught:
                await self._send(resp, {})

    def _watch_events(self, batch):
        return [
            {"type": event_type, "kv": self._row_json(key, row)}
            for _, event_type, key, row in batch
        ]

    async def _send(self, resp, result):
        result["header"] = {"revision": str(self.revision)}
        line = json.dumps({"result": result}) + "\n"
        await resp.write(line.encode())

    async def run(self):
        """Expire leases when they end, so that watches report it."""
        while True:
            await trio.sleep(0.25)
            if self.fault is not KvFault.DOWN:
                self._expire()

    _HANDLERS = {
        "kv/range": _range,
        "kv/txn": _txn,
        "lease/grant": _lease_grant,
        "lease/keepalive": _lease_keepalive,
        "lease/revoke": _lease_revoke,
        "watch": _watch,
    }
