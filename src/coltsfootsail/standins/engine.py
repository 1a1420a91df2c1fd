"""A model engine with vLLM's HTTP API that generates predictable text.

It records what it ran, evicted and refused.  Tests check the guarantees
of the system against these records instead of trusting what nodes report.
"""

import collections
import dataclasses
import enum
import json

import trio

from coltsfootsail import _http

LIMITS = _http.HttpLimits(idle_timeout_s=3600.0, body_bytes=16_777_216)
FENCE_HEADER = "x-fencing-token"
REQUEST_ID_HEADER = "x-request-id"


class EngineFault(enum.Enum):
    """Faults in the engine's answers and in how it handles orders.

    With ``CROSSED`` each request gets the answer to the previous one.
    """

    NONE = "none"
    SILENT = "silent"
    CROSSED = "crossed"
    WRONG_VERSION = "wrong_version"
    TRUNCATED = "truncated"
    LOAD_FAILS = "load_fails"
    LOAD_HANGS = "load_hangs"
    REFUSES = "refuses"


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that the engine started to run.

    :param key: its idempotency key.
    :param protected: whether it has the highest priority.
    """

    request_id: str
    adapter: str
    key: str
    protected: bool
    prompt: str
    started_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Eviction:
    """An evicted adapter; ``running`` are the runs that used it."""

    adapter: str
    running: tuple
    at_s: float


def expected_text(adapter, prompt, tokens):
    """Compute the text that an adapter generates for a prompt.

    The text contains the adapter and the prompt, so that a test detects
    the answer to another request.
    """
    words = [f"{adapter}|{prompt}|{position} " for position in range(tokens)]
    return "".join(words)


class EngineStandIn:
    """State and HTTP handler of one engine.

    Requests whose prompt contains an item of ``poison`` crash the engine.
    ``fence`` is the newest fencing token, ``refused_orders`` counts orders
    refused for an older one, and ``overloaded`` counts loads that evicted
    an adapter because all slots were taken.

    :param slots: number of adapters held at once; loading another evicts
        the least recently used one, even if requests use it.
    :param batch: number of requests that run at once; more wait.
    :param store: ``WeightStoreStandIn`` that adapters are loaded from.
    :param fencing: whether orders with an old fencing token are refused.
    :param token_s: time to generate a token.
    """

    def __init__(self, name, slots, batch, store, fencing, token_s=0.02):
        self.name = name
        self.slots = slots
        self.store = store
        self.fencing = fencing
        self.token_s = token_s
        self.fault = EngineFault.NONE
        self.poison = ()
        self.fence = 0
        self.incarnation = 1
        self.runs = []
        self.completed = collections.Counter()
        self.evictions = []
        self.refused_orders = 0
        self.overloaded = 0
        self.report_lag_s = 1.0
        self._batch_limiter = trio.CapacityLimiter(batch)
        self._resident = collections.OrderedDict()
        self._active = []
        self._count_history = collections.deque()
        self._connection_scopes = set()
        self._previous_run = None

    async def serve(self, stream):
        """Serve one connection until it closes or the engine crashes."""
        with trio.CancelScope() as scope:
            self._connection_scopes.add(scope)
            try:
                await _http.serve_connection(stream, LIMITS, self._handle)
            finally:
                self._connection_scopes.discard(scope)

    def crash(self):
        """Break all connections and restart with empty state."""
        self.incarnation += 1
        self._resident.clear()
        self._active.clear()
        self._count_history.clear()
        self.fence = 0
        for scope in list(self._connection_scopes):
            scope.cancel()

    def resident(self):
        """List the loaded adapters, least recently used first."""
        return list(self._resident)

    def running(self):
        """Count the requests that run or wait for the batch."""
        return len(self._active)

    async def _handle(self, req, resp):
        if self.fault is EngineFault.SILENT:
            await trio.sleep_forever()
        route = self._ROUTES.get((req.method, req.path))
        if route is None:
            await resp.reply_json({"error": "not found"}, 404)
            return
        await route(self, req, resp)

    async def _models(self, req, resp):
        models = [{"id": name, "object": "model"} for name in self._resident]
        await resp.reply_json(
            {"object": "list", "data": models, "incarnation": self.incarnation}
        )

    def _record_counts(self):
        """Record the running requests by adapter.

        :returns: (time, counts) of about ``report_lag_s`` ago, since the
            reports of real engines lag too.
        """
        now_s = trio.current_time()
        counts = collections.Counter(run.adapter for run in self._active)
        self._count_history.append((now_s, counts))
        while len(self._count_history) > 1:
            if self._count_history[1][0] > now_s - self.report_lag_s:
                break
            self._count_history.popleft()
        return self._count_history[0]

    async def _load_report(self, req, resp):
        at_s, counts = self._record_counts()
        age_s = trio.current_time() - at_s
        await resp.reply_json(
            {
                "age_s": age_s,
                "running": counts,
                "incarnation": self.incarnation,
            }
        )

    def _refuses_fence(self, req):
        """Check the fencing token of an order and keep the newest.

        :returns: whether the order has to be refused.
        """
        token = int(req.header(FENCE_HEADER, "0"))
        if self.fencing and token < self.fence:
            self.refused_orders += 1
            return True
        self.fence = max(self.fence, token)
        return False

    async def _role(self, req, resp):
        if self._refuses_fence(req):
            await resp.reply_json({"error": "fenced"}, 409)
            return
        await resp.reply_json({"incarnation": self.incarnation})

    async def _load(self, req, resp):
        adapter = req.json()["lora_name"]
        if self._refuses_fence(req):
            await resp.reply_json({"error": "fenced"}, 409)
            return
        if self.fault is EngineFault.LOAD_FAILS:
            await resp.reply_json({"error": "load failed"}, 500)
            return
        if self.fault is EngineFault.LOAD_HANGS:
            await trio.sleep_forever()
        await self.store.load(adapter)
        if len(self._resident) >= self.slots and adapter not in self._resident:
            self.overloaded += 1
            self._evict(next(iter(self._resident)))
        self._resident[adapter] = None
        await resp.reply(200, b"Success")

    def _evict(self, adapter):
        running = tuple(run for run in self._active if run.adapter == adapter)
        at_s = trio.current_time()
        self.evictions.append(Eviction(adapter, running, at_s))
        self._resident.pop(adapter, None)

    async def _unload(self, req, resp):
        adapter = req.json()["lora_name"]
        if self._refuses_fence(req):
            await resp.reply_json({"error": "fenced"}, 409)
            return
        if adapter not in self._resident:
            await resp.reply_json({"error": "not loaded"}, 404)
            return
        self._evict(adapter)
        await resp.reply(200, b"Success")

    async def _complete(self, req, resp):
        if self.fault is EngineFault.REFUSES:
            await resp.reply_json({"error": "busy"}, 503)
            return
        value = req.json()
        adapter = value["model"]
        if adapter not in self._resident:
            await resp.reply_json({"error": "no such model"}, 404)
            return
        self._resident.move_to_end(adapter)
        run = Run(
            request_id=req.header(REQUEST_ID_HEADER),
            adapter=adapter,
            key=req.header("idempotency-key"),
            protected=int(value.get("priority", 9)) == 0,
            prompt=_prompt(value),
            started_s=trio.current_time(),
        )
        self.runs.append(run)
        self._active.append(run)
        try:
            async with self._batch_limiter:
                await self._generate(run, value, resp)
                self.completed[run.request_id] += 1
        finally:
            if run in self._active:
                self._active.remove(run)
            self._record_counts()

    async def _generate(self, run, value, resp):
        prompt = _prompt(value)
        if any(text in prompt for text in self.poison):
            await trio.sleep(self.token_s)
            self.crash()
            # The crash cancelled this connection, so the checkpoint raises.
            await trio.lowlevel.checkpoint()
        tokens = int(value.get("max_tokens", 16))
        answered_run = run
        if self.fault is EngineFault.WRONG_VERSION:
            answered_run = dataclasses.replace(
                run, adapter=run.adapter + "-other"
            )
        if (
            self.fault is EngineFault.CROSSED
            and self._previous_run is not None
        ):
            answered_run = self._previous_run
        self._previous_run = run
        prompt = answered_run.prompt
        chat = "messages" in value
        if value.get("stream"):
            await self._stream(answered_run, prompt, tokens, chat, resp)
        else:
            await self._reply_whole(answered_run, prompt, tokens, chat, resp)

    def _choice(self, text, chat, stream, last):
        finish_reason = "stop" if last else None
        if not chat:
            return {"index": 0, "text": text, "finish_reason": finish_reason}
        key = "delta" if stream else "message"
        return {
            "index": 0,
            key: {"role": "assistant", "content": text},
            "finish_reason": finish_reason,
        }

    def _answer(self, run, choice):
        return {
            "id": f"cmpl-{run.request_id}",
            "object": "text_completion",
            "model": run.adapter,
            "choices": [choice],
        }

    async def _reply_whole(self, run, prompt, tokens, chat, resp):
        await trio.sleep(self.token_s * tokens)
        text = expected_text(run.adapter, prompt, tokens)
        choice = self._choice(text, chat, False, True)
        headers = [(REQUEST_ID_HEADER, run.request_id)]
        await resp.reply_json(self._answer(run, choice), headers=headers)

    async def _stream(self, run, prompt, tokens, chat, resp):
        headers = [
            ("content-type", "text/event-stream"),
            (REQUEST_ID_HEADER, run.request_id),
        ]
        await resp.start(200, headers)
        for position in range(tokens):
            if self.token_s:
                await trio.sleep(self.token_s)
            if self.fault is EngineFault.SILENT:
                await trio.sleep_forever()
            text = f"{run.adapter}|{prompt}|{position} "
            last = position == tokens - 1
            choice = self._choice(text, chat, True, last)
            event = json.dumps(self._answer(run, choice), ensure_ascii=False)
            await resp.write(f"data: {event}\n\n".encode())
            past_half = position >= tokens // 2
            if self.fault is EngineFault.TRUNCATED and past_half:
                return
        await resp.write(b"data: [DONE]\n\n")
        await resp.end()

    _ROUTES = {
        ("GET", "/v1/models"): _models,
        ("GET", "/load"): _load_report,
        ("POST", "/v1/role"): _role,
        ("POST", "/v1/load_lora_adapter"): _load,
        ("POST", "/v1/unload_lora_adapter"): _unload,
        ("POST", "/v1/completions"): _complete,
        ("POST", "/v1/chat/completions"): _complete,
    }


def _prompt(value):
    if "messages" in value:
        return str(value["messages"][-1]["content"])
    return str(value["prompt"])
