"""The users' metadata store, in memory, as their pages describe it."""

import base64
import collections
import dataclasses
import enum
import json
import urllib.parse

import trio

from coltsfootsail import _http

LIMITS = _http.HttpLimits(body_bytes=16_777_216, idle_timeout_s=3600.0)
PAGE = 500


class StoreFault(enum.Enum):
    """What goes wrong with calls that come in at one address."""

    NONE = "none"
    DOWN = "down"
    SILENT = "silent"
    LOST_REPLY = "lost_reply"


@dataclasses.dataclass(frozen=True, slots=True)
class _Item:
    value: bytes
    created: int
    rev: int
    lease: int


def _row(key, item):
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode("ascii"),
        "rev": item.rev,
        "created": item.created,
        "lease": item.lease,
    }


class StoreStandIn:
    """State and HTTP handler.

    :param now: closure that reads the clock in seconds.
    """

    def __init__(self, now=trio.current_time):
        self.revision = 100
        self.calls = collections.Counter()
        self.faults = {}
        self._now = now
        self._items = {}
        self._leases = {}
        self._events = []
        self._oldest = 0
        self._changed = trio.Event()
        self._paths = {
            "/v1/kv-key": self._key,
            "/v1/kv-range": self._range,
            "/v1/kv-watch": self._watch,
            "/v1/kv-txn": self._txn,
            "/v1/kv-lease": self._lease,
        }

    # -- for tests --------------------------------------------------

    def put(self, key, value, lease=0):
        """Write a key as the operator or a server would."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        old = self._items.get(key)
        created = old.created if old else self.revision
        item = _Item(value, created, self.revision, lease)
        self._items[key] = item
        self._note(_row(key, item))
        return self.revision

    def drop(self, key):
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "rev": self.revision, "deleted": True})

    def value(self, key):
        """Read a value past all faults."""
        item = self._items.get(key)
        return item.value if item else None

    def keys(self, prefix):
        """List keys past all faults."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def forget_history(self):
        """Drop the history, so that watches behind it get 410."""
        self._events.clear()
        self._oldest = self.revision

    def _note(self, event):
        self._events.append(event)
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def _expire(self):
        now_s = self._now()
        ended = [n for n, (_, at) in self._leases.items() if at <= now_s]
        for number in ended:
            self._end_lease(number)

    def _end_lease(self, number):
        self._leases.pop(number, None)
        owned = [k for k, item in self._items.items() if item.lease == number]
        for key in owned:
            self.drop(key)

    # -- serving ----------------------------------------------------

    def connection_handler(self, address):
        """Make the handler of connections to one address.

        Faults are set by address, so that some callers meet them.
        """

        async def serve(stream):
            async def handle(req, resp):
                await self._handle(address, req, resp)

            await _http.serve_connection(stream, LIMITS, handle)

        return serve

    async def _handle(self, address, req, resp):
        fault = self.faults.get(address, StoreFault.NONE)
        self.calls[req.path.rpartition("/")[0] or req.path] += 1
        if fault is StoreFault.DOWN:
            await resp.reply_json({"error": "down"}, 503)
            return
        if fault is StoreFault.SILENT:
            await trio.sleep_forever()
        self._expire()
        status, value = await self._answer(req)
        write = req.method != "GET"
        if fault is StoreFault.LOST_REPLY and write:
            await trio.sleep_forever()
        await resp.reply_json(value, status)

    async def _answer(self, req):
        query = dict(urllib.parse.parse_qsl(req.query))
        found = self._paths.get(req.path)
        if found is not None:
            return await found(query, req)
        verb, _, number = req.path.rpartition("/")
        number = int(number)
        if number not in self._leases:
            return 404, {}
        if verb == "/v1/kv-lease-end":
            self._end_lease(number)
            return 200, {}
        ttl_s, _ = self._leases[number]
        self._leases[number] = (ttl_s, self._now() + ttl_s)
        return 200, {"ttlMs": round(ttl_s * 1000)}

    async def _key(self, query, req):
        item = self._items.get(query["key"])
        if item is None:
            return 404, {}
        row = _row(query["key"], item)
        return 200, {**row, "storeRevision": self.revision}

    async def _range(self, query, req):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        names = [name for name in self.keys(prefix) if name > after]
        items = [_row(name, self._items[name]) for name in names[:PAGE]]
        return 200, {
            "items": items,
            "hasMore": len(names) > PAGE,
            "storeRevision": self.revision,
        }

    async def _watch(self, query, req):
        prefix, after = query.get("prefix", ""), int(query["after"])
        with trio.move_on_after(int(query["waitMs"]) / 1000):
            while True:
                if after < self._oldest:
                    return 410, {}
                found = [
                    event
                    for event in self._events
                    if event["rev"] > after and event["key"].startswith(prefix)
                ]
                if found:
                    break
                await self._changed.wait()
        return 200, {"events": found, "storeRevision": self.revision}

    async def _txn(self, query, req):
        value = req.json()
        rows = value.get("expected", ())
        for row in rows:
            item = self._items.get(row["key"])
            if (item.rev if item else 0) != row["rev"]:
                return 412, {"items": []}
        for row in value.get("writes", ()):
            lease = row.get("lease", 0)
            if lease and lease not in self._leases:
                return 404, {}
        for row in value.get("writes", ()):
            data = base64.b64decode(row["value"])
            self.put(row["key"], data, row.get("lease", 0))
        for key in value.get("drop", ()):
            self.drop(key)
        return 200, {"rev": self.revision}

    async def _lease(self, query, req):
        ttl_s = req.json()["ttlMs"] / 1000
        self.revision += 1
        self._leases[self.revision] = (ttl_s, self._now() + ttl_s)
        return 200, {"lease": self.revision, "ttlMs": round(ttl_s * 1000)}
