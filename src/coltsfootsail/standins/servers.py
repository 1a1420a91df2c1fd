"""The users' model servers and plain servers, as their pages describe them."""

import contextlib
import dataclasses
import json

import trio

from coltsfootsail import _http
from coltsfootsail.platform import messages

LIMITS = _http.HttpLimits(idle_timeout_s=3600.0, body_bytes=16_777_216)
STAMP = (messages.STAMP, "3e1b.07.5a2.600.0.c9f2a4d1")


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a server has begun to run."""

    request_id: str
    adapter: str
    version: int
    begun_s: float
    headers: tuple


class PlainServer:
    """A server of a plain service; counts runs by request id.

    ``answer`` decides each answer: a status, or an exception class of
    ``trio`` to break the connection with.
    """

    def __init__(self, name, now=trio.current_time):
        self.name = name
        self.runs = []
        self.arrivals = 0
        self.work_s = 0.05
        self.answer = lambda req: 200
        self.refuse = False
        self.connections_max = 1000
        self.connections = 0
        self.resets = 0
        self._now = now

    async def serve(self, stream):
        """Serve one connection, or reset it where there are too many."""
        if self.connections >= self.connections_max:
            self.resets += 1
            await trio.aclose_forcefully(stream)
            return
        self.connections += 1
        try:
            await _http.serve_connection(stream, LIMITS, self._handle)
        finally:
            self.connections -= 1

    def _misdirected(self, req):
        wanted = req.header(messages.EXPECT_INSTANCE)
        return bool(wanted) and wanted != self.name

    async def _handle(self, req, resp):
        self.arrivals += 1
        echo = (messages.REQUEST_ID, req.header(messages.REQUEST_ID))
        if self._misdirected(req):
            await resp.reply(421, b"", [echo])
            return
        if self.refuse:
            await resp.reply(503, b"", [echo, (messages.NOT_RUN, "1")])
            return
        self.runs.append(Run(echo[1], "", 0, self._now(), req.headers))
        await trio.sleep(self.work_s)
        status = self.answer(req)
        if not isinstance(status, int):
            raise status
        body = b"done:" + req.body
        await resp.reply(status, body, [echo, STAMP])


class ModelServer(PlainServer):
    """A model server with a base model, places for adapters and streams.

    :param store: a ``StoreStandIn`` in which it registers.
    :param address: where it listens.
    """

    def __init__(self, name, store, address, now=trio.current_time):
        super().__init__(name, now)
        self.address = address
        self.places = 3
        self.sequence = 0
        self.models = {"base": 1}
        self.adapters = {}
        self.versions = {}
        self.pending = {}
        self.seen = set()
        self.orders = []
        self.events = 5
        self.event_s = 0.04
        self.load_s = 0.25
        self.draining = False
        self.crashed = False
        self.cut_after = None
        self._store = store

    def register(self):
        """Write the server's entry to the store."""
        self._store.put(
            f"servers/{self.name}",
            {
                "service": "engines",
                "addr": self.address,
                "zone": "a",
                "version": "v1",
                "slots": 64,
                "state": "draining" if self.draining else "ready",
                "coldLeftMs": 0,
                "models": self._models(),
                "seq": self.sequence,
            },
        )

    def _settle(self):
        now_s = self._now()
        for key, (version, at_s) in list(self.pending.items()):
            if at_s <= now_s:
                del self.pending[key]
                self.adapters[key] = version

    def _models(self):
        self._settle()
        held = [f"{key}@{v}" for key, v in sorted(self.adapters.items())]
        return [
            {"name": name, "version": version, "adapters": held}
            for name, version in self.models.items()
        ]

    async def _handle(self, req, resp):
        self._settle()
        if req.path == "/v1/report":
            await resp.reply_json(self._report())
        elif req.path == "/v1/order":
            await resp.reply_json({}, self._order(req))
        else:
            await self._run(req, resp)

    def _report(self):
        return {
            "stage": "both",
            "models": self._models(),
            "busy": False,
            "seq": self.sequence,
            "waiting": 0,
            "running": 0,
            "kvUsed": 0,
            "kvTotal": 90000,
            "handles": 0,
            "pending": [f"base/{key}@1" for key in self.pending],
        }

    def _order(self, req):
        if self._misdirected(req):
            return 421
        value = json.loads(req.body)
        self.orders.append((self._now(), value))
        if value.get("expected", self.sequence) != self.sequence:
            return 409
        model, adapter = value["model"], value.get("adapter", "")
        if not adapter:
            self.sequence += 1
            self.models[model] = 1
            return 202
        if model not in self.models:
            return 409
        self.sequence += 1
        if value["op"] == "unload":
            return self._unload(adapter)
        newest = value.get("version") or self.versions.get(adapter, 1)
        ready_s = self._now() + self._delay_s(adapter)
        self.pending[adapter] = (newest, ready_s)
        used = {*self.pending, *self.adapters}
        self.crashed = self.crashed or len(used) > self.places
        return 202

    def _unload(self, adapter):
        self.adapters.pop(adapter, None)
        return 200

    def _delay_s(self, adapter):
        """Tell how long a load takes: a tenth where it was held before."""
        warm = adapter in self.seen
        self.seen.add(adapter)
        return self.load_s / 10 if warm else self.load_s

    async def _events(self, run, after):
        """Yield the numbers of a run's events when they are there."""
        for number in range(after + 1, self.events):
            await trio.sleep(self.event_s)
            yield number

    async def _run(self, req, resp):
        self.arrivals += 1
        echo = (messages.REQUEST_ID, req.header(messages.REQUEST_ID))
        model, _, adapter = req.header(messages.MODEL).partition("/")
        version = self.adapters.get(adapter, 0) if adapter else 1
        wanted = req.header(messages.EXPECT_VERSION)
        wrong = wanted and int(wanted) != version
        missing = model not in self.models or not version
        if self._misdirected(req) or missing or wrong:
            await resp.reply(421, b"", [echo])
            return
        run = Run(echo[1], adapter, version, self._now(), req.headers)
        self.runs.append(run)
        after = int(req.header(messages.LAST_EVENT) or -1)
        fields = [echo, STAMP, ("content-type", "text/event-stream")]
        await resp.start(200, fields)
        async with contextlib.aclosing(self._events(run, after)) as numbers:
            async for number in numbers:
                if self.cut_after is not None and number > self.cut_after:
                    await resp.stream.send_all(b"8\r\nid: 9\nda")
                    raise trio.BrokenResourceError
                text = f"id: {number}\ndata: {adapter}@{version} {number}\n\n"
                await resp.write(text.encode())
        await resp.end()
