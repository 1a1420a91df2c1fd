"""An in-memory stand-in for the users' metadata store.

It follows the API that the users' documentation describes.
"""

import base64
import collections
import dataclasses
import enum
import json
import urllib.parse

import trio

from coltsfootsail import _http
from coltsfootsail.platform import store as store_client

LIMITS = _http.HttpLimits(body_bytes=16_777_216, idle_timeout_s=3600.0)
PAGE_ITEMS = 500
FOREIGN_PREFIXES = ("op/", "servers/")  # written by operator and servers
REWRITE_S = 1.0  # after a restore, until these are written again


class StoreFault(enum.Enum):
    """Faults of the calls that arrive at one address.

    With ``LOST_REPLY`` a write takes effect without an answer.
    """

    NONE = "none"
    DOWN = "down"
    SILENT = "silent"
    LOST_REPLY = "lost_reply"


@dataclasses.dataclass(frozen=True, slots=True)
class _Item:
    """The value of a key and its metadata.

    :param created: revision that created the key.
    :param rev: revision of the last write.
    :param lease: number of the lease; 0 if there is none.
    """

    value: bytes
    created: int
    rev: int
    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Copy:
    """What a copy of the store holds."""

    revision: int
    items: dict
    leases: dict


def _item_json(key, item):
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode("ascii"),
        "rev": item.rev,
        "created": item.created,
        "lease": item.lease,
    }


class StoreStandIn:
    """State and HTTP handler of the metadata store.

    ``era`` is stated in all answers; None if they state none.

    :param now: function that reads the clock in seconds.
    """

    def __init__(self, now=trio.current_time):
        self.revision = 100
        self.era = None
        self.calls = collections.Counter()
        self.faults = {}
        self.away = False
        self._now = now
        self._items = {}
        self._leases = {}
        self._events = []
        self._history_start = 0
        self._changed = trio.Event()
        self._handlers = {
            "/v1/kv-key": self._key,
            "/v1/kv-range": self._range,
            "/v1/kv-watch": self._watch,
            "/v1/kv-txn": self._txn,
            "/v1/kv-lease": self._lease,
        }

    def put(self, key, value, lease=0):
        """Write a key directly, unaffected by faults.

        :param value: bytes, or a value to encode as JSON.
        :returns: the new revision.
        """
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        old = self._items.get(key)
        created = old.created if old else self.revision
        item = _Item(value, created, self.revision, lease)
        self._items[key] = item
        self._append_event(_item_json(key, item))
        return self.revision

    def drop(self, key):
        """Delete a key directly, unaffected by faults."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._append_event(
                {"key": key, "rev": self.revision, "deleted": True}
            )

    def value(self, key):
        """Read a value directly, unaffected by faults."""
        item = self._items.get(key)
        return item.value if item else None

    def keys(self, prefix):
        """List keys directly, unaffected by faults."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def forget_history(self):
        """Drop the history, so that watches from older revisions get 410."""
        self._events.clear()
        self._history_start = self.revision

    def copy(self):
        """Make a copy, from which the store can be restored."""
        return _Copy(self.revision, dict(self._items), dict(self._leases))

    async def restore(self, copy, away_s=0.0, rewrite_s=REWRITE_S):
        """Come back from a copy: what was written since is lost.

        The operator and the servers write again what they wrote since.

        :param away_s: how long the store does not answer before.
        :param rewrite_s: how long it is back until they have done so.
        """
        self.away = True
        await trio.sleep(away_s)
        lost = self._items
        lost_s = self._now()
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._leases = {
            number: (ttl_s, lost_s + ttl_s)
            for number, (ttl_s, _) in copy.leases.items()
        }
        self.forget_history()
        self.era = (self.era or 0) + 1
        self.away = False
        await trio.sleep(rewrite_s)
        for key in self.keys(""):
            if key.startswith(FOREIGN_PREFIXES) and key not in lost:
                self.drop(key)
        for key, item in lost.items():
            old = self._items.get(key)
            is_new = old is None or old.value != item.value
            if key.startswith(FOREIGN_PREFIXES) and is_new:
                self.put(key, item.value)

    def _append_event(self, event):
        self._events.append(event)
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def _expire(self):
        now_s = self._now()
        expired = [
            lease
            for lease, (_, end_s) in self._leases.items()
            if end_s <= now_s
        ]
        for number in expired:
            self._end_lease(number)

    def _end_lease(self, number):
        self._leases.pop(number, None)
        leased = [
            name for name, item in self._items.items() if item.lease == number
        ]
        for key in leased:
            self.drop(key)

    def connection_handler(self, address):
        """Create the handler of connections to one address.

        ``faults`` are set by address, so that a test can give the clients
        of one address a fault and others none.
        """

        async def serve(stream):
            async def handle(req, resp):
                await self._handle(address, req, resp)

            await _http.serve_connection(stream, LIMITS, handle)

        return serve

    async def _handle(self, address, req, resp):
        fault = self.faults.get(address, StoreFault.NONE)
        self.calls[req.path.rpartition("/")[0] or req.path] += 1
        era_headers = self._era_headers()
        if fault is StoreFault.DOWN or self.away:
            await resp.reply_json({"error": "down"}, 503, era_headers)
            return
        if fault is StoreFault.SILENT:
            await trio.sleep_forever()
        self._expire()
        status, value = await self._dispatch(req)
        is_write = req.method != "GET"
        era_headers = self._era_headers()
        if fault is StoreFault.LOST_REPLY and is_write:
            await trio.sleep_forever()
        await resp.reply_json(value, status, era_headers)

    def _era_headers(self):
        if self.era is None:
            return ()
        return ((store_client.ERA, str(self.era)),)

    async def _dispatch(self, req):
        query = dict(urllib.parse.parse_qsl(req.query))
        handler = self._handlers.get(req.path)
        if handler is not None:
            return await handler(query, req)
        path, _, number = req.path.rpartition("/")
        number = int(number)
        if number not in self._leases:
            return 404, {}
        if path == "/v1/kv-lease-end":
            self._end_lease(number)
            return 200, {}
        ttl_s, _ = self._leases[number]
        self._leases[number] = (ttl_s, self._now() + ttl_s)
        return 200, {"ttlMs": round(ttl_s * 1000)}

    async def _key(self, query, req):
        item = self._items.get(query["key"])
        if item is None:
            return 404, {}
        row = _item_json(query["key"], item)
        return 200, {**row, "storeRevision": self.revision}

    async def _range(self, query, req):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = [key for key in self.keys(prefix) if key > after]
        items = [
            _item_json(key, self._items[key]) for key in keys[:PAGE_ITEMS]
        ]
        return 200, {
            "items": items,
            "hasMore": len(keys) > PAGE_ITEMS,
            "storeRevision": self.revision,
        }

    async def _watch(self, query, req):
        prefix, after = query.get("prefix", ""), int(query["after"])
        with trio.move_on_after(int(query["waitMs"]) / 1000):
            while True:
                if not self._history_start <= after <= self.revision:
                    return 410, {}
                revision = self.revision
                events = [
                    event
                    for event in self._events
                    if event["rev"] > after and event["key"].startswith(prefix)
                ]
                if events:
                    break
                await self._changed.wait()
        return 200, {"events": events, "storeRevision": revision}

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
