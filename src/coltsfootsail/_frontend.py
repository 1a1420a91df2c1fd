"""The HTTP API for callers: routes, limits and retries."""

import contextlib
import urllib.parse

import trio

from coltsfootsail import _http
from coltsfootsail import _inference
from coltsfootsail import _ledger
from coltsfootsail import _outcomes
from coltsfootsail import _relay
from coltsfootsail import _requests
from coltsfootsail import _services
from coltsfootsail import exceptions

ATTEMPTS_MAX = 4
BUSY_RETRY_AFTER_S = 1.0
ADDRESSES_MAX = 3
OWNER_RETRY_DELAY_S = 0.25


class _CallerSink:
    """Writes an answer to a caller and records whether it has started.

    The body of an unstreamed answer is kept for the ledger.
    """

    def __init__(self, resp, stream, count):
        self._resp = resp
        self._stream = stream
        self._count = count
        self._parts = []
        self._write = resp.write_unbounded if stream else resp.write
        self._keep_body = not stream
        self.started = False
        self.status = 0
        self.content_type = ""

    async def start(self, status, headers):
        self.started = True
        self.status = status
        self.content_type = dict(headers).get("content-type", "")
        await self._resp.start(status, headers)

    async def write(self, data):
        if self._keep_body:
            self._parts.append(data)
        await self._write(data)

    async def end(self):
        await self._resp.end()

    def stored_answer(self):
        """Get the complete answer for the ledger; None for a stream."""
        if not self._keep_body:
            return None
        body = b"".join(self._parts)
        return _ledger.Answer(self.status, self.content_type, body)

    def make_sink(self):
        """Make a ``ResponseSink`` that writes to this caller."""
        return _inference.ResponseSink(
            start=self.start,
            write=self.write,
            end=self.end,
            hangup=self._resp.wait_hangup,
        )


class Frontend:
    """Answers callers on one node.

    :param node: the ``Node`` whose components it uses.
    """

    def __init__(self, node):
        self._node = node
        self._count = node.metrics.count
        self._connections = 0
        self.active = 0
        self._active_by_team = {}
        self._limits = node.settings.limits
        self._http_limits = _http.HttpLimits(
            header_bytes=self._limits.header_bytes,
            body_bytes=self._limits.body_bytes,
            read_timeout_s=self._limits.read_timeout_s,
            idle_timeout_s=self._limits.idle_timeout_s,
            write_timeout_s=self._limits.write_timeout_s,
        )
        self._service_calls = _services.ServiceCalls(
            node.client, node.ledger, node.budget, self._count, self._limits
        )

    async def serve(self, stream):
        """Serve one caller's connection."""
        if self._connections >= self._limits.connections:
            self._count("refusals", exceptions.TooManyConnections.code)
            return
        self._connections += 1
        try:
            await _http.serve_connection(
                stream,
                self._http_limits,
                self._handle,
                lambda exc, headers: self._count_refusal(exc),
            )
        finally:
            self._connections -= 1

    def _count_refusal(self, exc):
        self._count("refusals", exc.code)

    async def _handle(self, req, resp):
        try:
            await self._route(req, resp)
        except exceptions.ColtsfootsailError as exc:
            self._count_refusal(exc)
            self._count("requests", str(exc.outcome))
            raise

    async def _route(self, req, resp):
        handlers = _ROUTES.get(req.path)
        if handlers is None:
            await self._handle_service_call(req, resp)
            return
        handle = handlers.get(req.method)
        if handle is None:
            raise exceptions.MethodNotAllowed()
        await handle(self, req, resp)

    async def _health(self, req, resp):
        await resp.reply_json({"status": "ok"})

    async def _ready(self, req, resp):
        readiness = self._node.readiness()
        status = 200 if readiness == "ready" else 503
        await resp.reply_json({"status": readiness}, status)

    async def _models(self, req, resp):
        query = urllib.parse.parse_qs(req.query)
        after = query.get("after", [""])[0]
        names = sorted(self._node.document().adapters)
        page = [name for name in names if name > after][:1000]
        adapters = self._node.document().adapters
        data = [
            {
                "id": f"{name}@{version}",
                "object": "model",
                "pinned": version == adapters[name].pin,
            }
            for name in page
            for version in adapters[name].versions
        ]
        has_more = bool(page) and page[-1] != names[-1]
        await resp.reply_json(
            {"object": "list", "data": data, "has_more": has_more}
        )

    async def _addresses(self, req, resp):
        query = urllib.parse.parse_qs(req.query)
        model = query.get("model", [""])[0]
        addresses = self._node.addresses_for(model, ADDRESSES_MAX)
        ttl_s = self._node.settings.drain.address_ttl_s
        await resp.reply_json({"addresses": addresses, "ttl_s": ttl_s})

    @contextlib.contextmanager
    def _admission(self, team):
        """Count a request as active, or refuse it if a limit is reached."""
        self._node.check_serving()
        if self.active >= self._limits.requests:
            raise exceptions.TooManyRequests(
                "node limit", retry_after_s=BUSY_RETRY_AFTER_S
            )
        entry = self._node.document().teams.get(team)
        running = self._active_by_team.get(team, 0)
        if entry is not None and running >= entry.requests_max:
            raise exceptions.TooManyRequests(
                "team limit", retry_after_s=BUSY_RETRY_AFTER_S
            )
        self.active += 1
        self._active_by_team[team] = running + 1
        try:
            yield
        finally:
            self.active -= 1
            self._active_by_team[team] -= 1
            if not self._active_by_team[team]:
                del self._active_by_team[team]

    async def _handle_service_call(self, req, resp):
        match = self._node.router().service(req.path)
        if match is None:
            raise exceptions.NotFound()
        name, service = match
        timeout_s = _requests.deadline_after_s(
            req, self._limits.request_timeout_s
        )
        with self._admission(""):
            status, headers, body = await self._service_calls.call(
                req,
                service,
                self._node.service_instances(name),
                timeout_s,
                _requests.new_request_id(),
            )
        self._count("requests", "ran")
        await resp.reply(status, body, headers)

    async def _handle_completion(self, req, resp):
        completion = _requests.parse_completion(req)
        document = self._node.document()
        resolved = self._node.router().resolve(completion.model)
        priority_class = _requests.choose_class(document, req, resolved)
        timeout_s = _requests.deadline_after_s(
            req, self._limits.request_timeout_s
        )
        key = req.header(_requests.IDEMPOTENCY_KEY_HEADER)
        request = _requests.make_request(
            completion,
            resolved,
            priority_class,
            key,
            self._node.now(),
            timeout_s,
        )
        caller_sink = _CallerSink(resp, completion.stream, self._count)
        with self._admission(resolved.team):
            await self._run_completion(request, caller_sink, resp)

    async def _run_completion(self, request, caller_sink, resp):
        try:
            if request.key:
                await self._run_at_most_once(request, caller_sink, resp)
            else:
                await self._run_attempts(request, caller_sink)
        except exceptions.ColtsfootsailError as exc:
            if not caller_sink.started:
                raise
            self._count_refusal(exc)
            self._count("requests", "broken")
            if request.stream and not isinstance(exc, exceptions.CallerGone):
                with contextlib.suppress(exceptions.CallerGone):
                    await resp.write(_relay.error_event(exc))
            return
        self._count("requests", "ran")

    async def _run_at_most_once(self, request, caller_sink, resp):
        ledger = self._node.ledger
        claim = await ledger.claim(request.key, request.fingerprint)
        if isinstance(claim, _ledger.Answer):
            self._count("ledger", "replayed")
            headers = [("content-type", claim.content_type)]
            headers.append(("idempotent-replayed", "true"))
            await resp.reply(claim.status, claim.body, headers)
            return
        self._count("ledger", "claimed")
        try:
            await self._run_attempts(request, caller_sink)
        except exceptions.ColtsfootsailError as exc:
            await _services.settle_failure(ledger, claim, exc, self._count)
            raise
        except trio.Cancelled:
            with trio.CancelScope(shield=True):
                await _services.settle_failure(
                    ledger,
                    claim,
                    exceptions.OutcomeUnknown(),
                    self._count,
                )
            raise
        await _services.settle_success(
            ledger, claim, caller_sink.stored_answer(), self._count
        )

    async def _run_attempts(self, request, caller_sink):
        tried = []
        may_have_run = False
        while True:
            try:
                await self._run_attempt(request, caller_sink, tried)
                self._node.budget.earn()
                return
            except exceptions.ColtsfootsailError as exc:
                if may_have_run and exc.outcome is exceptions.Outcome.NOT_RUN:
                    exc.outcome = exceptions.Outcome.UNKNOWN
                may_have_run = exc.outcome is not exceptions.Outcome.NOT_RUN
                if caller_sink.started or len(tried) >= ATTEMPTS_MAX:
                    raise
                await self._check_retry(request, exc)

    async def _check_retry(self, request, exc):
        """Raise the error again unless another attempt is allowed."""
        if not _outcomes.may_retry(exc, request.idempotent):
            raise exc
        if self._node.now() >= request.deadline_s:
            self._count("retries_denied", "deadline")
            raise exc
        if not self._node.budget.spend():
            self._count("retries_denied", "budget")
            raise exc
        self._count("retries", exc.code)
        await trio.sleep(
            OWNER_RETRY_DELAY_S if exc.code in _OWNER_CHANGE_CODES else 0.0
        )

    async def _run_attempt(self, request, caller_sink, tried):
        endpoint = self._node.choose_endpoint(request, tried)
        tried.append(endpoint)
        await self._node.dispatch(endpoint, request, caller_sink.make_sink())


_OWNER_CHANGE_CODES = frozenset(
    {
        exceptions.NoOwner.code,
        exceptions.NotOwner.code,
        exceptions.LeaseLapsed.code,
    }
)

_ROUTES = {
    "/healthz": {"GET": Frontend._health},
    "/readyz": {"GET": Frontend._ready},
    "/v1/models": {"GET": Frontend._models},
    "/v1/route": {"GET": Frontend._addresses},
    "/v1/completions": {"POST": Frontend._handle_completion},
    "/v1/chat/completions": {"POST": Frontend._handle_completion},
}
