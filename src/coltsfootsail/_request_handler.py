"""Handling of callers' requests: routing, forwarding and error answers.

Each attempt ends in an answer or in a typed error.  The error's outcome
states whether the request ran, and that alone decides whether another
server may be tried.
"""

import dataclasses

import trio

from coltsfootsail import _access
from coltsfootsail import _fleet
from coltsfootsail import _held_memory
from coltsfootsail import _http
from coltsfootsail import _http_messages
from coltsfootsail import _logs
from coltsfootsail import _metrics
from coltsfootsail import _plain
from coltsfootsail import _poison
from coltsfootsail import _request_context
from coltsfootsail import _streams
from coltsfootsail import _tasks
from coltsfootsail import exceptions
from coltsfootsail.platform import messages

DEFAULT_DEADLINE_S = 30.0  # of requests that state none
CONFIGURATION_WAIT_S = 0.8  # a starting node reads the store in this time
LOGGED_PARTS_MAX = 16  # of one prompt
GONE_ANSWER_S = 0.3  # within it, for a caller that may read no more
_CLOSE = (("connection", "close"),)


@dataclasses.dataclass(slots=True)
class _Progress:
    """How far the handling of one request has come.

    :param context: its ``RequestContext``, None before there is one.
    """

    request_id: str
    context: _request_context.RequestContext | None = None

    def labels(self):
        """Get the labels of its metrics."""
        if self.context is None:
            return _metrics.NO_LABELS
        return self.context.labels

    def outcome(self):
        """Get what is known of whether a server has run it."""
        if self.context is None:
            return _request_context.NOT_RUN
        return self.context.outcome


class RequestHandler:
    """Handles the requests of callers on one node.

    :param gateway: the ``Gateway``.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._now = gateway.now
        self._metrics = gateway.metrics
        self._count = gateway.metrics.count
        self._send_policy = _request_context.SendPolicy(gateway)
        self._plain = _plain.PlainServiceForwarder(gateway, self._send_policy)
        self._streams = _streams.StreamForwarder(gateway, self._send_policy)
        self.active_requests = 0
        self._scopes = set()
        self._is_over = False

    async def handle(self, req, resp):
        """Answer one request, or refuse it if that fails.

        It is cancelled and refused if its caller disconnects.
        """
        progress = _Progress(req.header(messages.REQUEST_ID))
        self.active_requests += 1
        try:
            with trio.CancelScope() as scope:
                await _tasks.run_with_background(
                    self._watch_caller,
                    lambda: self._respond(req, resp, progress),
                    progress,
                    resp,
                    scope,
                )
            if scope.cancelled_caught:
                error = exceptions.CallerGone(outcome=progress.outcome())
                with trio.move_on_after(GONE_ANSWER_S):
                    await self._refuse(error, resp)
        finally:
            self.active_requests -= 1

    def note_unread(self, exc, headers):
        """Note a request that was refused before it was read whole.

        :param headers: those that were read.
        """
        request_id = _http_messages.find_header(headers, messages.REQUEST_ID)
        with self._contained(request_id):
            self._note_refused(exc, request_id, exc.status, begun=False)

    async def _watch_caller(self, progress, resp, scope):
        await resp.wait_hangup()
        self._count("requests", "caller_gone")
        _logs.detail(
            "caller_gone",
            id=progress.request_id,
            outcome=str(progress.outcome()),
            begun=resp.status is not None,
        )
        scope.cancel()

    async def _respond(self, req, resp, progress):
        error = None
        try:
            await self._answer(req, resp, progress)
        except exceptions.ColtsfootsailError as exc:
            error = exc
        except Exception as exc:
            _logs.failure(
                "request_failed",
                exc,
                id=progress.request_id,
                status=resp.status,
                whole=resp.ended,
            )
            if not resp.ended:
                error = exceptions.UnexpectedError(outcome=progress.outcome())
        with self._contained(progress.request_id):
            if error is None:
                self._record_answered(progress.context, resp.status)
            else:
                self._record_refused(error, resp, progress)
        if error is not None:
            await self._refuse(error, resp)

    def _contained(self, request_id):
        """Contain the errors of notes about a request."""
        return _tasks.contained(self._count, request_id)

    async def _answer(self, req, resp, progress):
        """Answer a request, unless the node stops meanwhile.

        :raises Draining: if it stops and has sent the request nowhere.
        :raises EndpointSilent: if it stops while a server may run it.
        """
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            if self._is_over:
                scope.cancel()
            try:
                await self._answer_in_time(req, resp, progress)
            finally:
                self._scopes.discard(scope)
        if scope.cancelled_caught:
            exc = exceptions.Draining("the node stops", retry_after_s=0.0)
            if progress.context is not None:
                exc = _request_context.correct_outcome(exc, progress.context)
            raise exc

    async def _answer_in_time(self, req, resp, progress):
        gateway = self._gateway
        meta = messages.read_metadata(req)
        await self._wait_for_configuration()
        context = self._create_context(req, meta)
        progress.context = context
        try:
            async with gateway.quotas.charged(context):
                gateway.crashes.check_allowed(context)
                await self._forward(context, resp)
        finally:
            with self._contained(meta.request_id):
                gateway.crashes.end_trials(context)

    def end_all(self):
        """Give the requests that still run, or follow, their final answers."""
        self._is_over = True
        for scope in self._scopes:
            scope.cancel()

    async def _forward(self, context, resp):
        with self._contained(context.meta.request_id):
            self._record_request(context)
        if context.route.kind is _fleet.RouteKind.STREAMING:
            await self._streams.forward(context, resp)
        else:
            memory = self._gateway.held_memory
            with memory.hold(_held_memory.ANSWER) as context.account:
                response = await self._plain.forward(context)
                await resp.reply(
                    response.status,
                    response.body,
                    [*response.headers, *self._gateway.closing_headers(resp)],
                )
        if resp.status < 300:
            with self._contained(context.meta.request_id):
                self._gateway.crashes.completed(context)

    def _record_request(self, context):
        prompt = context.meta.prompt
        if prompt and "/" in prompt.adapter:
            self._gateway.engine_selector.count_request(prompt.adapter)
        _logs.detail(
            "request",
            id=context.meta.request_id,
            route=context.route.name,
            service=context.service,
            adapter=prompt.adapter if prompt else "",
            parts=describe_parts(prompt),
            version=self._gateway.view.deployment.version,
            deadline_s=context.meta.deadline_s,
            timeout_s=context.route.timeout_s,
            repeatable=context.route.repeatable,
            resumes=context.meta.resumes,
            workspace=context.workspace_name,
        )

    def _record_answered(self, context, status):
        duration_s = self._now() - context.received_s
        _logs.detail(
            "answered",
            id=context.meta.request_id,
            status=status,
            sends=context.sends,
            after_s=round(duration_s, 3),
        )
        self._count("requests", "answered", labels=context.labels)
        self._metrics.observe("whole_seconds", duration_s, context.labels)

    def _record_refused(self, exc, resp, progress):
        self._note_refused(
            exc,
            progress.request_id,
            resp.status or error_status(exc),
            begun=resp.status is not None,
            labels=progress.labels(),
        )

    def _note_refused(
        self, exc, request_id, status, begun, labels=_metrics.NO_LABELS
    ):
        _logs.detail(
            "refused",
            id=request_id,
            code=exc.code,
            outcome=str(exc.outcome),
            status=status,
            why=exc.detail,
            retry_after_s=exc.retry_after_s,
            begun=begun,
        )
        self._count("refusals", exc.code, labels=labels)

    async def _refuse(self, exc, resp):
        """Send an error, unless an answer has begun."""
        if resp.status is not None:
            return
        status = error_status(exc)
        is_gone = isinstance(exc, exceptions.CallerGone)
        closing = _CLOSE if is_gone else self._gateway.closing_headers(resp)
        headers = list(closing)
        if status in (429, 503):
            delay_s = exc.retry_after_s
            delay_s = (
                _request_context.RETRY_AFTER_S if delay_s is None else delay_s
            )
            headers.append(messages.retry_after(delay_s))
        elif status == 401:
            headers.append(messages.CHALLENGE)
        await resp.reply_json(_http.error_json(exc), status, headers)

    async def _wait_for_configuration(self):
        """Hold requests that arrive while the node starts."""
        if self._gateway.view.deployment.version:
            return
        with trio.move_on_after(CONFIGURATION_WAIT_S):
            await self._gateway.view.populated.wait()

    def _create_context(self, req, meta):
        """Find a request's route and service, or refuse the request.

        :returns: a ``RequestContext``.
        """
        gateway = self._gateway
        gateway.check_serving()
        host = req.header("host").partition(":")[0]
        route = gateway.view.routes.find(host, req.path)
        if route is None:
            raise exceptions.NotFound()
        workspace = self._check_access(route, meta)
        now_s = self._now()
        deadline_s = meta.deadline_s
        deadline_s = DEFAULT_DEADLINE_S if deadline_s is None else deadline_s
        fingerprint = _poison.fingerprint(f"{host}{req.target}", req.body)
        service = route.choose_service(meta.request_id)
        return _request_context.RequestContext(
            req=self._without_key(req),
            meta=meta,
            route=route,
            service=service,
            received_s=now_s,
            until_s=now_s + min(deadline_s, route.timeout_s),
            owner_wait_until_s=now_s + _streams.OWNER_WAIT_S,
            fingerprint=fingerprint,
            workspace=workspace,
        )

    def _check_access(self, route, meta):
        """Find the workspace of a request, or refuse it.

        :returns: a ``Workspace``, or None for a request without one.
        :raises Refusal: if the request may not run.
        """
        freshness = self._gateway.freshness
        decision = _access.decide(
            route.public,
            meta.key,
            self._gateway.view.keys,
            freshness.age_s(),
            freshness.limits,
        )
        workspace = decision.workspace
        if decision.reason is not _access.Reason.OPEN:
            labels = _metrics.NO_LABELS
            if workspace is not None:
                labels = self._metrics.workspace_labels(workspace.name)
            self._count("access", decision.reason.value, labels=labels)
        decision.check()
        return workspace

    def _without_key(self, req):
        """Remove the caller's key, unless requests need none."""
        if self._gateway.view.keys is None:
            return req
        headers = tuple(
            pair for pair in req.headers if pair[0] != messages.AUTHORIZATION
        )
        return dataclasses.replace(req, headers=headers)


def describe_parts(prompt):
    """List the ids of a prompt's parts, for the log.

    :param prompt: a ``Prompt``, or None.
    :returns: text.
    """
    parts = prompt.parts if prompt else ()
    return " ".join(part_id for part_id, _ in parts[:LOGGED_PARTS_MAX])


def error_status(exc):
    """Get the status that states an error's outcome to the caller."""
    not_run = exc.outcome is _request_context.NOT_RUN
    if not_run and exc.status >= 500:
        return 503
    if not not_run and exc.status in messages.PROMISE_STATUSES:
        return 502
    return exc.status
