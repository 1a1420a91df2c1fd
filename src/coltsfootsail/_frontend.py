"""The caller API of a node: routes, filters and the attempts loop."""

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

ATTEMPTS = 4
BUSY_RETRY_AFTER_S = 1.0
ROUTES_MAX = 3
OWNER_WAIT_S = 0.25


class _CallerSink:
    """An answer on its way to a caller; knows whether it has begun."""

    def __init__(self, resp, stream, count):
        self._resp = resp
        self._stream = stream
        self._count = count
        self._parts = []
        self._write = resp.write_unbounded if stream else resp.write
        self._keep = not stream
        self.started = False
        self.status = 0
        self.content_type = ""

    async def start(self, status, headers):
        self.started = True
        self.status = status
        self.content_type = dict(headers).get("content-type", "")
        await self._resp.start(status, headers)

    async def write(self, data):
        if self._keep:
            self._parts.append(data)
        await self._write(data)

    async def end(self):
        await self._resp.end()

    def answer(self):
        """Get the whole answer, if it was not a stream."""
        if not self._keep:
            return None
        body = b"".join(self._parts)
        return _ledger.Answer(self.status, self.content_type, body)

    def sink(self):
        """Make the ``ResponseSink`` that the filters behind see."""
        return _inference.ResponseSink(
            start=self.start,
            write=self.write,
            end=self.end,
            hangup=self._resp.wait_hangup,
        )


class Frontend:
    """Answers callers on one node.

    :param node: the ``Node`` whose parts it uses.
    """

    def __init__(self, node):
        self._node = node
        self._count = node.metrics.count
        self._connections = 0
        self.active = 0
        self._by_team = {}
        self._limits = node.settings.limits
        self._http_limits = _http.HttpLimits(
            header_bytes=self._limits.header_bytes,
            body_bytes=self._limits.body_bytes,
            read_timeout_s=self._limits.read_timeout_s,
            idle_timeout_s=self._limits.idle_timeout_s,
            write_timeout_s=self._limits.write_timeout_s,
        )
        self._calls = _services.ServiceCalls(
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
                stream, self._http_limits, self._handle, self._refused
            )
        finally:
            self._connections -= 1

    def _refused(self, exc):
        self._count("refusals", exc.code)

    async def _handle(self, req, resp):
        try:
            await self._route(req, resp)
        except exceptions.ColtsfootsailError as exc:
            self._refused(exc)
            self._count("requests", str(exc.outcome))
            raise

    async def _route(self, req, resp):
        handlers = _ROUTES.get(req.path)
        if handlers is None:
            await self._service(req, resp)
            return
        handle = handlers.get(req.method)
        if handle is None:
            raise exceptions.MethodNotAllowed()
        await handle(self, req, resp)

    # -- small answers ----------------------------------------------

    async def _health(self, req, resp):
        await resp.reply_json({"status": "ok"})

    async def _ready(self, req, resp):
        state = self._node.readiness()
        status = 200 if state == "ready" else 503
        await resp.reply_json({"status": state}, status)

    async def _models(self, req, resp):
        query = urllib.parse.parse_qs(req.query)
        start = query.get("after", [""])[0]
        names = sorted(self._node.document().adapters)
        page = [name for name in names if name > start][:1000]
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
        more = bool(page) and page[-1] != names[-1]
        await resp.reply_json(
            {"object": "list", "data": data, "has_more": more}
        )

    async def _addresses(self, req, resp):
        query = urllib.parse.parse_qs(req.query)
        model = query.get("model", [""])[0]
        addresses = self._node.addresses_for(model, ROUTES_MAX)
        ttl_s = self._node.settings.drain.address_ttl_s
        await resp.reply_json({"addresses": addresses, "ttl_s": ttl_s})

    # -- limits -----------------------------------------------------

    @contextlib.contextmanager
    def _admitted(self, team):
        """Count a request in, or refuse it."""
        self._node.check_serving()
        if self.active >= self._limits.requests:
            raise exceptions.TooManyRequests(
                "node limit", retry_after_s=BUSY_RETRY_AFTER_S
            )
        entry = self._node.document().teams.get(team)
        running = self._by_team.get(team, 0)
        if entry is not None and running >= entry.requests_max:
            raise exceptions.TooManyRequests(
                "team limit", retry_after_s=BUSY_RETRY_AFTER_S
            )
        self.active += 1
        self._by_team[team] = running + 1
        try:
            yield
        finally:
            self.active -= 1
            self._by_team[team] -= 1
            if not self._by_team[team]:
                del self._by_team[team]

    # -- plain services ---------------------------------------------

    async def _service(self, req, resp):
        found = self._node.router().service(req.path)
        if found is None:
            raise exceptions.NotFound()
        name, service = found
        after_s = _requests.deadline_after_s(
            req, self._limits.request_timeout_s
        )
        with self._admitted(""):
            status, headers, body = await self._calls.call(
                req,
                service,
                self._node.service_instances(name),
                after_s,
                _requests.new_request_id(),
            )
        self._count("requests", "ran")
        await resp.reply(status, body, headers)

    # -- completions ------------------------------------------------

    async def _complete(self, req, resp):
        completion = _requests.parse_completion(req)
        document = self._node.document()
        resolved = self._node.router().resolve(completion.model)
        kind = _requests.choose_class(document, req, resolved)
        after_s = _requests.deadline_after_s(
            req, self._limits.request_timeout_s
        )
        key = req.header(_requests.KEY_HEADER)
        work = _requests.make_work(
            completion, resolved, kind, key, self._node.now(), after_s
        )
        caller = _CallerSink(resp, completion.stream, self._count)
        with self._admitted(resolved.team):
            await self._answer(work, caller, resp)

    async def _answer(self, work, caller, resp):
        try:
            if work.key:
                await self._once(work, caller, resp)
            else:
                await self._attempts(work, caller)
        except exceptions.ColtsfootsailError as exc:
            if not caller.started:
                raise
            self._refused(exc)
            self._count("requests", "broken")
            if work.stream and not isinstance(exc, exceptions.CallerGone):
                with contextlib.suppress(*_outcomes.EXCHANGE_ERRORS):
                    await resp.write(_relay.error_event(exc))
            return
        self._count("requests", "ran")

    async def _once(self, work, caller, resp):
        ledger = self._node.ledger
        claim = await ledger.claim(work.key, work.fingerprint)
        if isinstance(claim, _ledger.Answer):
            self._count("ledger", "replayed")
            headers = [("content-type", claim.content_type)]
            headers.append(("idempotent-replayed", "true"))
            await resp.reply(claim.status, claim.body, headers)
            return
        self._count("ledger", "claimed")
        try:
            await self._attempts(work, caller)
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
            ledger, claim, caller.answer(), self._count
        )

    async def _attempts(self, work, caller):
        tried = []
        unknown = False
        while True:
            try:
                await self._attempt(work, caller, tried)
                self._node.budget.earn()
                return
            except exceptions.ColtsfootsailError as exc:
                if unknown and exc.outcome is exceptions.Outcome.NOT_RUN:
                    exc.outcome = exceptions.Outcome.UNKNOWN
                unknown = exc.outcome is not exceptions.Outcome.NOT_RUN
                if caller.started or len(tried) >= ATTEMPTS:
                    raise
                await self._check_retry(work, exc)

    async def _check_retry(self, work, exc):
        """Raise the failure again unless another attempt may follow."""
        if not _outcomes.may_retry(exc, work.idempotent):
            raise exc
        if self._node.now() >= work.deadline_s:
            self._count("retries_denied", "deadline")
            raise exc
        if not self._node.budget.spend():
            self._count("retries_denied", "budget")
            raise exc
        self._count("retries", exc.code)
        await trio.sleep(OWNER_WAIT_S if exc.code in _WAIT_CODES else 0.0)

    async def _attempt(self, work, caller, tried):
        endpoint = self._node.place(work, tried)
        tried.append(endpoint)
        await self._node.dispatch(endpoint, work, caller.sink())


_WAIT_CODES = frozenset(
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
    "/v1/completions": {"POST": Frontend._complete},
    "/v1/chat/completions": {"POST": Frontend._complete},
}
