"""The way of a request through a gateway: match, send, answer.

Each attempt ends in an answer or in a typed error whose outcome says what
is true; only that decides whether another server may be tried.
"""

import trio

from coltsfootsail import _calls
from coltsfootsail import _fleet
from coltsfootsail import _http
from coltsfootsail import _logs
from coltsfootsail import _metrics
from coltsfootsail import _plain
from coltsfootsail import _poison
from coltsfootsail import _streams
from coltsfootsail import _tasks
from coltsfootsail import exceptions
from coltsfootsail.platform import messages

DEFAULT_DEADLINE_S = 30.0
START_WAIT_S = 0.8  # a node that starts reads the store in this time


class Serving:
    """Serves the requests of callers on one node.

    :param gateway: the ``Gateway`` whose parts it uses.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._now = gateway.now
        self._metrics = gateway.metrics
        self._count = gateway.metrics.count
        self._sender = _calls.Sender(gateway)
        self._plain = _plain.Plain(gateway, self._sender)
        self._streams = _streams.Streams(gateway, self._sender)
        self.active = 0

    # -- entry ------------------------------------------------------

    async def handle(self, req, resp):
        """Answer one request, or leave when its caller does."""
        self.active += 1
        try:
            with trio.CancelScope() as scope:
                await _tasks.run_with_background(
                    self._watch_caller,
                    lambda: self._answer(req, resp),
                    req,
                    resp,
                    scope,
                )
        finally:
            self.active -= 1

    async def _watch_caller(self, req, resp, scope):
        await resp.wait_hangup()
        self._count("requests", "caller_gone")
        _logs.detail("caller_gone", id=req.header(messages.REQUEST_ID))
        scope.cancel()

    async def _answer(self, req, resp):
        meta = messages.meta(req)
        where = _metrics.NO_LABELS
        try:
            await self._wait_for_configuration()
            call = self._match(req, meta)
            where = call.where
            await self._serve(call, resp)
        except exceptions.ColtsfootsailError as exc:
            self._note_refused(meta, exc, resp, where)
            if resp.status is None:
                await self._refuse(exc, resp)

    async def _serve(self, call, resp):
        self._note_request(call)
        if call.route.kind is _fleet.RouteKind.STREAMING:
            await self._streams.answer(call, resp)
        else:
            answer = await self._plain.answer(call)
            await resp.reply(
                answer.status,
                answer.body,
                [*answer.headers, *self._gateway.closing_headers()],
            )
        self._gateway.peers.absolve(call.content)
        self._note_answered(call)

    def _note_request(self, call):
        prompt = call.meta.prompt
        if prompt and "/" in prompt.adapter:
            self._gateway.placing.note(prompt.adapter)
        _logs.detail(
            "request",
            id=call.meta.request_id,
            route=call.route.name,
            service=call.service,
            adapter=prompt.adapter if prompt else "",
            version=self._gateway.view.deployment.version,
        )

    def _note_answered(self, call):
        whole_s = self._now() - call.received_s
        self._metrics.observe("whole_seconds", whole_s, call.where)
        self._count("requests", "answered", labels=call.where)
        _logs.detail(
            "answered",
            id=call.meta.request_id,
            sends=call.sends,
            after_s=round(whole_s, 3),
        )

    def _note_refused(self, meta, exc, resp, where):
        self._count("refusals", exc.code, labels=where)
        _logs.detail(
            "refused",
            id=meta.request_id,
            code=exc.code,
            outcome=str(exc.outcome),
            why=exc.detail,
            retry_after_s=exc.retry_after_s,
            begun=resp.status is not None,
        )

    async def _refuse(self, exc, resp):
        status = exc.status
        headers = list(self._gateway.closing_headers())
        if exc.outcome is _calls.NOT_RUN and status >= 500:
            status = 503
        if status in (429, 503):
            delay_s = exc.retry_after_s
            delay_s = _calls.RETRY_AFTER_S if delay_s is None else delay_s
            headers.append(messages.retry_after(delay_s))
        await resp.reply_json(_http.error_json(exc), status, headers)

    async def _wait_for_configuration(self):
        """Hold requests that come in while the node starts."""
        if self._gateway.view.deployment.version:
            return
        with trio.move_on_after(START_WAIT_S):
            await self._gateway.view.known.wait()

    def _match(self, req, meta):
        gateway = self._gateway
        gateway.check_serving()
        host = req.header("host").partition(":")[0]
        route = gateway.view.routes.find(host, req.path)
        if route is None:
            raise exceptions.NotFound()
        now_s = self._now()
        wait_s = meta.deadline_s
        wait_s = DEFAULT_DEADLINE_S if wait_s is None else wait_s
        content = _poison.fingerprint(f"{host}{req.target}", req.body)
        if gateway.strikes.refused(content):
            raise exceptions.Poisoned()
        service = route.choose(meta.request_id)
        gateway.budget.request(service)
        return _calls.Call(
            req=req,
            meta=meta,
            route=route,
            service=service,
            received_s=now_s,
            until_s=now_s + min(wait_s, route.timeout_s),
            patient_until_s=now_s + _streams.OWNER_WAIT_S,
            content=content,
        )
