"""Stand-ins for the model servers and plain servers behind a gateway.

They follow the protocol that the users' documentation describes.
"""

import contextlib
import dataclasses
import json
import math

import trio

from coltsfootsail import _http
from coltsfootsail import exceptions
from coltsfootsail.platform import messages

LIMITS = _http.HttpLimits(idle_timeout_s=3600.0, body_bytes=16_777_216)
LATE_ORDER_S = 2.0
STAMP_HEADER = (messages.STAMP, "3e1b.07.5a2.600.0.c9f2a4d1")


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a server started to run."""

    request_id: str
    adapter: str
    version: int
    started_s: float
    headers: tuple


def prompt_parts(req):
    """List the ids of the parts of a request's prompt."""
    items = req.header(messages.PROMPT_PREFIX).split(",")
    return [item.partition(":")[0] for item in items]


class PlainServer:
    """A server of a plain service that records the requests it ran.

    ``answer`` is called with each request and returns the status to reply
    with, or an exception to raise, which breaks the connection.
    With ``refuse`` set, requests get status 503 and are marked as not run.
    With ``limit`` set, all answers name that text as the server's limit,
    with ``leaving`` set, that text as the statement that it leaves.  With
    ``busy`` set, requests are refused and told that text as a retry time;
    ``refused_s`` has the time of each refusal.  ``keep_alive_s``, if set, is
    stated as the time for which it keeps idle connections.
    ``arrived_s`` has the time of each request, ``arrived_ids`` its id.
    ``body``, if set, replaces the body of the answers.  A request with a
    prompt part of ``crash_parts``, other than the last one, makes the server
    call ``crash`` as it begins to answer.  It runs ``slots`` requests at once
    and refuses further ones.  With ``brittle`` set, all answers state that
    number, and it calls ``crash`` after more such refusals in a second.
    """

    def __init__(self, name, now=trio.current_time):
        self.name = name
        self.runs = []
        self.arrived_s = []
        self.arrived_ids = []
        self.limit = None
        self.leaving = None
        self.busy = None
        self.keep_alive_s = None
        self.refused_s = []
        self.full_s = []
        self.open_runs = 0
        self.work_s = 0.05
        self.body = b""
        self.answer = lambda req: 200
        self.refuse = False
        self.slots = math.inf
        self.brittle = None
        self.crash_parts = frozenset()
        self.crash = lambda: None
        self.connections_max = 1000
        self.connections = 0
        self.resets = 0
        self._now = now

    async def serve(self, stream):
        """Serve one connection, or reset it if too many are open."""
        if self.connections >= self.connections_max:
            self.resets += 1
            await trio.aclose_forcefully(stream)
            return
        self.connections += 1
        try:
            await _http.serve_connection(stream, LIMITS, self._handle_or_break)
        finally:
            self.connections -= 1

    async def _handle_or_break(self, req, resp):
        """Handle a request; an error of a stream breaks the connection."""
        try:
            await self._handle(req, resp)
        except _http.STREAM_ERRORS as exc:
            raise exceptions.CallerGone from exc

    @property
    def arrivals(self):
        """The number of requests that arrived."""
        return len(self.arrived_s)

    def _note_arrival(self, req):
        self.arrived_s.append(self._now())
        self.arrived_ids.append(req.header(messages.REQUEST_ID))

    def _base_headers(self, req):
        """Make the headers that every answer has."""
        headers = [(messages.REQUEST_ID, req.header(messages.REQUEST_ID))]
        if self.limit is not None:
            headers.append((messages.SERVER_LIMIT, self.limit))
        if self.leaving is not None:
            headers.append((messages.SERVER_LEAVING, self.leaving))
        if self.brittle is not None:
            headers.append((messages.SERVER_BRITTLE, str(self.brittle)))
        if self.keep_alive_s is not None:
            headers.append(("keep-alive", f"timeout={self.keep_alive_s}"))
        return headers

    async def _refuse_if_full(self, req, resp, running):
        """Refuse a request for want of room; crash after too many of these.

        :param running: number of requests that run.
        :returns: whether it was refused.
        """
        if running < self.slots:
            return False
        now_s = self._now()
        self.full_s.append(now_s)
        recent = [each for each in self.full_s if each > now_s - 1.0]
        if self.brittle is not None and len(recent) > self.brittle:
            self.full_s.clear()
            self._crash()
        headers = [*self._base_headers(req), (messages.NOT_RUN, "1")]
        await resp.reply(503, b"", headers)
        return True

    async def _refuse_if_busy(self, req, resp):
        """Refuse a request while the server is busy.

        :returns: whether it was refused.
        """
        if self.busy is None:
            return False
        self.refused_s.append(self._now())
        headers = [
            *self._base_headers(req),
            (messages.NOT_RUN, "1"),
            (messages.RETRY_AFTER, self.busy),
        ]
        await resp.reply(503, b"", headers)
        return True

    def restart(self, name=None):
        """Start again, as after a crash.

        :param name: name of the new start, None for the name of before.
        """
        self.name = name or self.name

    def _is_poisoned(self, req):
        """Tell whether a part of a request's prompt crashes this server."""
        return not self.crash_parts.isdisjoint(prompt_parts(req)[:-1])

    def _crash(self):
        self.crash()
        raise trio.BrokenResourceError

    def _misdirected(self, req):
        expected = req.header(messages.EXPECT_INSTANCE)
        return bool(expected) and expected != self.name

    async def _handle(self, req, resp):
        self._note_arrival(req)
        if self._misdirected(req):
            await resp.reply(421, b"", self._base_headers(req))
            return
        if await self._refuse_if_busy(req, resp):
            return
        if await self._refuse_if_full(req, resp, self.open_runs):
            return
        if self.refuse:
            headers = [*self._base_headers(req), (messages.NOT_RUN, "1")]
            await resp.reply(503, b"", headers)
            return
        request_id = req.header(messages.REQUEST_ID)
        self.runs.append(Run(request_id, "", 0, self._now(), req.headers))
        self.open_runs += 1
        try:
            await trio.sleep(self.work_s)
        finally:
            self.open_runs -= 1
        if self._is_poisoned(req):
            self._crash()
        answer = self.answer(req)
        if not isinstance(answer, int):
            raise answer
        body = self.body or b"done:" + req.body
        headers = [*self._base_headers(req), STAMP_HEADER]
        await resp.reply(answer, body, headers)


class ModelServer(PlainServer):
    """A model server with a base model, adapters and streamed answers.

    A stream has ``events`` events, ``event_s`` seconds apart.  If
    ``cut_after`` is set, the connection breaks within the event after
    that number.  ``crashed`` is set when more than ``adapter_slots``
    adapters are loaded at once.  ``adapters`` has the version of each
    loaded adapter, ``pending`` the version of each one being loaded and
    when it is ready, and ``versions`` the newest version in the weight
    store.  ``sequence`` counts accepted orders; an order that expects
    another count is refused.  ``is_order_late`` tells whether an order is
    left unanswered and carried out ``LATE_ORDER_S`` later.  ``running`` has
    the ids of the requests that it runs.  ``software`` is the version of its
    software, which its registration states.  With ``unframed`` set, a stream
    has neither a length nor chunks and ends with its connection.
    ``born_ms``, if set, is stated as the time of its start; a restart under
    the same name raises it.

    :param store: the ``StoreStandIn`` in which it registers.
    :param address: where it listens.
    """

    def __init__(self, name, store, address, now=trio.current_time):
        super().__init__(name, now)
        self.address = address
        self.adapter_slots = 3
        self.sequence = 0
        self.models = {"base": 1}
        self.adapters = {}
        self.versions = {}
        self.pending = {}
        self.loaded_before = set()
        self.orders = []
        self.events = 5
        self.event_s = 0.04
        self.load_s = 0.25
        self.draining = False
        self.crashed = False
        self.cut_after = None
        self.is_order_late = lambda: False
        self.running = set()
        self.software = "v1"
        self.unframed = False
        self.born_ms = 0
        self._store = store

    def restart(self, name=None):
        """Start again, with no model in memory."""
        super().restart(name)
        if self.born_ms:
            self.born_ms += 1000
        self.sequence = 0
        self.models = {}
        self.adapters.clear()
        self.pending.clear()

    def register(self):
        """Write the server's registration to the store."""
        self._store.put(
            f"servers/{self.name}",
            {
                **self._born(),
                "service": "engines",
                "addr": self.address,
                "zone": "a",
                "version": self.software,
                "slots": 64,
                "state": "draining" if self.draining else "ready",
                "coldLeftMs": 0,
                "models": self._models(),
                "seq": self.sequence,
            },
        )

    def _born(self):
        return {"born": self.born_ms} if self.born_ms else {}

    def _finish_loads(self):
        now_s = self._now()
        for adapter, (version, ready_s) in list(self.pending.items()):
            if ready_s <= now_s:
                del self.pending[adapter]
                self.adapters[adapter] = version

    def _models(self):
        self._finish_loads()
        loaded = [
            f"{adapter}@{adapter_version}"
            for adapter, adapter_version in sorted(self.adapters.items())
        ]
        return [
            {"name": name, "version": version, "adapters": loaded}
            for name, version in self.models.items()
        ]

    async def _handle(self, req, resp):
        self._finish_loads()
        if req.path == "/v1/report":
            await resp.reply_json(self._report())
        elif req.path == "/v1/order":
            if self.is_order_late():
                await trio.sleep(LATE_ORDER_S)
                self._order(req)
                await trio.sleep_forever()
            status = self._order(req)
            await resp.reply_json(self._born(), status)
        else:
            await self._run(req, resp)

    def _report(self):
        return {
            **self._born(),
            "stage": "both",
            "models": self._models(),
            "busy": False,
            "seq": self.sequence,
            "waiting": 0,
            "running": len(self.running),
            "runs": [[each, 0, 0, 5] for each in sorted(self.running)],
            "kvUsed": 0,
            "kvTotal": 90000,
            "handles": 0,
            "pending": [f"base/{adapter}@1" for adapter in self.pending],
        }

    def _order(self, req):
        if self._misdirected(req):
            return 421
        order = json.loads(req.body)
        self.orders.append((self._now(), order))
        if order.get("expected", self.sequence) != self.sequence:
            return 409
        model, adapter = order["model"], order.get("adapter", "")
        if not adapter:
            self.sequence += 1
            self.models[model] = 1
            return 202
        if model not in self.models:
            return 409
        self.sequence += 1
        if order["op"] == "unload":
            return self._unload(adapter)
        target_version = order.get("version") or self.versions.get(adapter, 1)
        ready_s = self._now() + self._load_delay_s(adapter)
        self.pending[adapter] = (target_version, ready_s)
        in_memory = {*self.pending, *self.adapters}
        self.crashed = self.crashed or len(in_memory) > self.adapter_slots
        return 202

    def _unload(self, adapter):
        self.adapters.pop(adapter, None)
        return 200

    def _load_delay_s(self, adapter):
        """Compute the duration of a load.

        A repeated load takes a tenth, since the weights are on local disk.
        """
        repeated = adapter in self.loaded_before
        self.loaded_before.add(adapter)
        return self.load_s / 10 if repeated else self.load_s

    async def _event_numbers(self, run, after):
        """Yield the number of each event of a run once it is ready.

        :param after: number of the last event that the client has; -1 if
            there is none.
        """
        for number in range(after + 1, self.events):
            await trio.sleep(self.event_s)
            yield number

    async def _run(self, req, resp):
        self._note_arrival(req)
        if await self._refuse_if_busy(req, resp):
            return
        model, _, adapter = req.header(messages.MODEL).partition("/")
        version = self.adapters.get(adapter, 0) if adapter else 1
        expected = req.header(messages.EXPECT_VERSION)
        version_differs = expected and int(expected) != version
        not_loaded = model not in self.models or not version
        if self._misdirected(req) or not_loaded or version_differs:
            await resp.reply(421, b"", self._base_headers(req))
            return
        if await self._refuse_if_full(req, resp, len(self.running)):
            return
        request_id = req.header(messages.REQUEST_ID)
        run = Run(request_id, adapter, version, self._now(), req.headers)
        self.runs.append(run)
        self.running.add(run.request_id)
        try:
            await self._stream_events(req, resp, run)
        finally:
            self.running.discard(run.request_id)

    async def _stream_events(self, req, resp, run):
        after = int(req.header(messages.LAST_EVENT) or -1)
        headers = [
            *self._base_headers(req),
            STAMP_HEADER,
            ("content-type", "text/event-stream"),
        ]
        if self.unframed:
            await _start_unframed(resp, headers)
        else:
            await resp.start(200, headers)
        if self._is_poisoned(req):
            await trio.sleep(self.event_s)
            self._crash()
        async with contextlib.aclosing(
            self._event_numbers(run, after)
        ) as numbers:
            async for number in numbers:
                if self.cut_after is not None and number > self.cut_after:
                    size = b"" if self.unframed else b"8\r\n"
                    await resp.stream.send_all(size + b"id: 9\nda")
                    raise trio.BrokenResourceError
                data = f"{run.adapter}@{run.version} {number}"
                event = f"id: {number}\ndata: {data}\n\n".encode()
                if self.unframed:
                    await resp.stream.send_all(event)
                else:
                    await resp.write(event)
        if self.unframed:
            raise trio.BrokenResourceError
        await resp.end()


async def _start_unframed(resp, headers):
    """Send the head of an answer that ends with its connection."""
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers)
    head = f"HTTP/1.1 200 OK\r\n{fields}connection: close\r\n\r\n"
    await resp.stream.send_all(head.encode())
