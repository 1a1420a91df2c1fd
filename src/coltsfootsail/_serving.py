"""The way of a request through a gateway: match, place, send, relay.

Each attempt ends in an answer or in a typed error whose outcome says what
is true; only that decides whether another server may be tried.
"""

import contextlib
import dataclasses
import math

import trio

from coltsfootsail import _fleet
from coltsfootsail import _grants
from coltsfootsail import _http
from coltsfootsail import _logs
from coltsfootsail import _poison
from coltsfootsail import _tasks
from coltsfootsail import _upstream
from coltsfootsail import exceptions
from coltsfootsail.platform import messages

SENDS_MAX = 5
DEFAULT_DEADLINE_S = 30.0
FINAL_MARGIN_S = 0.05  # the final answer leaves so long before the limit
RETRY_AFTER_S = 0.3
ABSENT_PAUSE_S = 0.03
START_WAIT_S = 0.8  # a node that starts reads the store in this time
OWNER_WAIT_S = 0.6  # owners that start or change are waited for so long
OWNER_PAUSE_S = 0.06
SILENT_FIRST_S = 1.8  # to a repeatable request's first byte
SILENT_STREAM_S = 1.5  # between events, where a stream can be resumed
NOT_RUN = exceptions.Outcome.NOT_RUN


@dataclasses.dataclass(slots=True)
class Call:
    """One request on its way.

    :param until_s: when its final answer is due.
    :param sends: how often it was sent to a server.
    :param begun: whether a part of its stream has reached the caller.
    :param patient_until_s: until then owners that start are waited for.
    :param avoided: engines whose owners did not grant a start.
    :param broken: engines that broke the request off.
    """

    req: _http.HttpRequest
    meta: messages.Meta
    route: _fleet.Route
    service: str
    received_s: float
    until_s: float
    patient_until_s: float
    content: str
    sends: int = 0
    begun: bool = False
    tried: set = dataclasses.field(default_factory=set)
    ran: set = dataclasses.field(default_factory=set)
    avoided: set = dataclasses.field(default_factory=set)
    broken: set = dataclasses.field(default_factory=set)


@contextlib.contextmanager
def _caller_errors():
    """Tell a caller's broken connection from a server's."""
    try:
        yield
    except (*_http.STREAM_ERRORS, trio.TooSlowError) as exc:
        raise exceptions.CallerGone(str(exc)) from exc


class _StreamSink:
    """The caller's side of a stream, over one or more servers."""

    def __init__(self, resp, extra):
        self._resp = resp
        self._extra = extra
        self.splitter = _upstream.EventSplitter()
        self.started = False

    async def start(self, exchange):
        """Send the head, unless an earlier server's was sent."""
        if self.started:
            return
        self.started = True
        headers = messages.answer_headers(exchange.headers)
        with _caller_errors():
            await self._resp.start(exchange.status, [*headers, *self._extra()])

    def restart(self):
        """Drop the part of an event that a broken server left."""
        last_id = self.splitter.last_id
        self.splitter = _upstream.EventSplitter()
        self.splitter.last_id = last_id

    async def write(self, data):
        """Pass on what is whole."""
        whole = self.splitter.feed(data)
        if whole:
            with _caller_errors():
                await self._resp.write(whole)

    async def end(self):
        """End the answer as whole."""
        if self.splitter.pending():
            raise exceptions.AnswerTruncated("a part of an event at the end")
        with _caller_errors():
            await self._resp.end()


class Serving:
    """Serves the requests of callers on one node.

    :param gateway: the ``Gateway`` whose parts it uses.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._now = gateway.now
        self._count = gateway.metrics.count
        self.active = 0

    # -- entry ------------------------------------------------------

    async def handle(self, req, resp):
        """Answer one request, or leave when its caller does."""
        self.active += 1
        try:
            with trio.CancelScope() as scope:
                await _tasks.beside(
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
        try:
            await self._wait_for_configuration()
            call = self._match(req, meta)
            _logs.detail(
                "request",
                id=meta.request_id,
                route=call.route.name,
                service=call.service,
                adapter=meta.prompt.adapter if meta.prompt else "",
                version=self._gateway.view.deployment.version,
            )
            if call.route.kind is _fleet.RouteKind.STREAMING:
                await self._stream(call, resp)
            else:
                answer = await self._plain(call)
                await resp.reply(
                    answer.status,
                    answer.body,
                    [*answer.headers, *self._gateway.closing_headers()],
                )
            self._gateway.absolve(call.content)
            self._count("requests", "answered")
            _logs.detail("answered", id=meta.request_id, sends=call.sends)
        except exceptions.ColtsfootsailError as exc:
            self._count("refusals", exc.code)
            _logs.detail(
                "refused",
                id=meta.request_id,
                code=exc.code,
                outcome=str(exc.outcome),
                why=exc.detail,
                retry_after_s=exc.retry_after_s,
                begun=resp.status is not None,
            )
            if resp.status is None:
                await self._refuse(exc, resp)

    async def _refuse(self, exc, resp):
        status = exc.status
        headers = list(self._gateway.closing_headers())
        if exc.outcome is NOT_RUN and status >= 500:
            status = 503
        if status in (429, 503):
            delay_s = exc.retry_after_s
            delay_s = RETRY_AFTER_S if delay_s is None else delay_s
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
        return Call(
            req=req,
            meta=meta,
            route=route,
            service=service,
            received_s=now_s,
            until_s=now_s + min(wait_s, route.timeout_s),
            patient_until_s=now_s + OWNER_WAIT_S,
            content=content,
        )

    # -- sending ----------------------------------------------------

    def _left_s(self, call):
        left_s = call.until_s - self._now() - FINAL_MARGIN_S
        if left_s <= 0:
            raise exceptions.DeadlineExceeded(retry_after_s=RETRY_AFTER_S)
        return left_s

    def _sent(self, call, server, priority=None, version=0, last=None):
        left_s = min(call.until_s - self._now(), call.route.timeout_s)
        headers = messages.forward_headers(
            call.req.headers, server, left_s, priority, version, last
        )
        return _upstream.Sent(
            call.req.method,
            call.req.target,
            tuple(headers),
            call.req.body,
            call.meta.request_id,
        )

    def _check_send(self, call, server):
        """Allow another send, or refuse it.

        :raises RetryBudgetSpent: if it would exceed a bound.
        :raises EndpointLeaving: if the server began to leave meanwhile.
        """
        if self._gateway.view.leaving(server.name):
            raise exceptions.EndpointLeaving()
        new_server = server.name not in call.ran
        full = len(call.ran) >= call.route.attempts
        if call.ran and new_server and full:
            raise exceptions.RetryBudgetSpent("attempts of the route")
        if call.sends >= SENDS_MAX:
            raise exceptions.RetryBudgetSpent("sends of one request")
        if call.sends and not self._gateway.budget.spend(call.service):
            self._count("retries_denied", "budget")
            raise exceptions.RetryBudgetSpent()
        call.sends += 1
        call.tried.add(server.name)

    def _may_repeat(self, call, exc):
        if exc.outcome is NOT_RUN:
            return True
        return call.route.repeatable

    # -- plain services ---------------------------------------------

    async def _plain(self, call):
        failure = exceptions.NoEndpoint(retry_after_s=RETRY_AFTER_S)
        answer = None
        while True:
            try:
                found = await self._plain_attempt(call)
            except exceptions.RetryBudgetSpent:
                break
            except exceptions.DeadlineExceeded as exc:
                failure = exc
                break
            except exceptions.ColtsfootsailError as exc:
                failure = exc
                self._count("retries", exc.code)
                if not self._may_repeat(call, exc):
                    break
                if isinstance(exc, exceptions.NoEndpoint):
                    break
                continue
            answer = found
            if not call.route.repeatable or found.status < 500:
                break
        if answer is not None:
            return answer
        raise _truth(failure, call)

    async def _plain_attempt(self, call):
        gateway = self._gateway
        servers = gateway.servers(call.service)
        server = gateway.balance.choose(servers, call.tried)
        if server is None:
            why = "no connection free" if servers else "no server"
            raise exceptions.NoEndpoint(why, retry_after_s=RETRY_AFTER_S)
        left_s = self._left_s(call)
        if call.route.repeatable and call.sends + 1 < call.route.attempts:
            left_s = left_s * 0.5
        self._check_send(call, server)
        call.ran.add(server.name)
        balance = gateway.balance
        balance.begin(server)
        failed = None
        try:
            sent = self._sent(call, server)
            answer = await gateway.upstream.fetch(server, sent, left_s)
            failed = answer.status >= 500
            if answer.status in (429, 503) and not call.route.repeatable:
                raise exceptions.OutcomeUnknown(f"status {answer.status}")
            return answer
        except exceptions.EndpointUnreachable:
            call.ran.discard(server.name)
            balance.unreachable(server)
            failed = True
            raise
        except exceptions.EndpointNotRun:
            call.ran.discard(server.name)
            raise
        except exceptions.ColtsfootsailError as exc:
            failed = True
            self._note_break(call, server, exc)
            raise
        finally:
            balance.end(server, failed)

    def _note_break(self, call, server, exc):
        if isinstance(exc, _BREAKS):
            self._gateway.suspect(server, call.content)

    # -- streams ----------------------------------------------------

    async def _stream(self, call, resp):
        sink = _StreamSink(resp, self._gateway.closing_headers)
        with trio.move_on_after(call.until_s - self._now()):
            await self._stream_attempts(call, sink, resp)
            return
        # At the timeout a begun stream is closed, any other gets an error.
        if sink.started:
            raise exceptions.EndpointSilent("time is up")
        raise _truth(
            exceptions.DeadlineExceeded(retry_after_s=RETRY_AFTER_S), call
        )

    async def _stream_attempts(self, call, sink, resp):
        while True:
            try:
                await self._stream_attempt(call, sink, resp)
                return
            except exceptions.ColtsfootsailError as exc:
                self._count("retries", exc.code)
                _logs.detail(
                    "attempt_failed",
                    id=call.meta.request_id,
                    code=exc.code,
                    why=exc.detail,
                    sends=call.sends,
                )
                self._check_again(call, sink, exc)
                sink.restart()

    def _check_again(self, call, sink, exc):
        """Raise the failure again unless another attempt may follow."""
        final = isinstance(
            exc,
            exceptions.RetryBudgetSpent
            | exceptions.DeadlineExceeded
            | exceptions.NoEndpoint
            | exceptions.CallerGone,
        )
        overload = (
            isinstance(exc, exceptions.TurnedAway)
            and exc.reason not in _ELSEWHERE
        )
        if final or overload or not self._may_repeat(call, exc):
            raise _truth(exc, call)
        if sink.started and not call.route.resumable:
            raise exc
        if sink.started and exc.outcome is not NOT_RUN:
            call.patient_until_s = self._now() + OWNER_WAIT_S

    async def _stream_attempt(self, call, sink, resp):
        gateway = self._gateway
        call.begun = sink.started
        server, owner, wish = await self._choose(call)
        if owner is None:
            await self._send_stream(call, sink, resp, server, wish)
            return
        try:
            started = gateway.asker.start(owner, server.name, wish)
            async with started as ends:
                try:
                    await self._send_stream(call, sink, resp, server, wish)
                except exceptions.EndpointNotRun:
                    ends(_grants.End.ABSENT)
                    raise
                except exceptions.EndpointUnreachable:
                    ends(_grants.End.UNREACHABLE)
                    raise
        except (exceptions.TurnedAway, exceptions.OwnerSilent) as exc:
            if self._may_wait(call, exc):
                await trio.sleep(OWNER_PAUSE_S)
            else:
                call.avoided.add(server.name)
            raise
        except exceptions.EndpointNotRun:
            await trio.sleep(ABSENT_PAUSE_S)
            raise

    def _may_wait(self, call, exc):
        """Say whether an owner that just starts is asked again."""
        starting = getattr(exc, "reason", "") == "not the owner"
        return starting and self._now() < call.patient_until_s

    async def _choose(self, call):
        """Choose an engine, waiting a little where no owner is known.

        Engines that broke the request off come last.
        """
        placing = self._gateway.placing
        choice = placing.choose(call)
        while choice is None and self._now() < call.patient_until_s:
            await trio.sleep(OWNER_PAUSE_S)
            call.avoided = set(call.broken)
            choice = placing.choose(call)
        if choice is None and call.broken:
            call.broken.clear()
            call.avoided.clear()
            choice = placing.choose(call)
        if choice is None:
            raise exceptions.NoEndpoint(retry_after_s=RETRY_AFTER_S)
        return choice

    async def _send_stream(self, call, sink, resp, server, wish):
        gateway = self._gateway
        self._left_s(call)
        self._check_send(call, server)
        last = sink.splitter.last_id if sink.started else None
        sent = self._sent(
            call, server, call.route.priority, wish.version, last
        )
        _logs.detail(
            "sent",
            id=call.meta.request_id,
            server=server.name,
            adapter=wish.adapter,
            version=wish.version,
            after_s=round(self._now() - call.received_s, 3),
            sends=call.sends,
        )
        call.ran.add(server.name)
        try:
            with contextlib.ExitStack() as stack:
                guard = stack.enter_context(_Silence(call.route.resumable))
                await gateway.upstream.run(
                    server,
                    sent,
                    float("inf"),
                    lambda exchange: self._relay(exchange, sink, resp, guard),
                )
            if guard.expired:
                raise exceptions.EndpointSilent("no event")
        except exceptions.EndpointUnreachable:
            call.ran.discard(server.name)
            gateway.placing.unreachable(server)
            raise
        except exceptions.EndpointNotRun:
            call.ran.discard(server.name)
            raise
        except exceptions.ColtsfootsailError as exc:
            self._note_break(call, server, exc)
            call.broken.add(server.name)
            call.avoided = set(call.broken)
            raise

    async def _relay(self, exchange, sink, resp, guard):
        await guard.stop()
        if not 200 <= exchange.status < 300:
            await self._relay_failure(exchange, sink, resp)
            return
        await sink.start(exchange)
        while exchange.phase is not _http.Phase.DONE:
            guard.wait()
            data = await exchange.read_some()
            await guard.stop()
            await sink.write(data)
        await sink.end()

    async def _relay_failure(self, exchange, sink, resp):
        if sink.started:
            raise exceptions.AnswerTruncated("the stream was not resumed")
        body = await exchange.read_body(_upstream.BODY_BYTES_MAX)
        if exchange.status in (429, 503):
            raise exceptions.OutcomeUnknown(f"status {exchange.status}")
        headers = messages.answer_headers(exchange.headers)
        with _caller_errors():
            await resp.reply(
                exchange.status,
                body,
                [*headers, *self._gateway.closing_headers()],
            )


class _Silence:
    """Ends an exchange that has been silent, where it may be repeated.

    It must never end a write to the caller, which would lose a part of
    the answer or cut it in the middle.
    """

    def __init__(self, active):
        self._active = active
        self._scope = trio.CancelScope()
        self.expired = False

    def __enter__(self):
        self._scope.__enter__()
        if self._active:
            self._scope.deadline = trio.current_time() + SILENT_FIRST_S
        return self

    def wait(self):
        """Count the silence from now."""
        if self._active:
            self._scope.deadline = trio.current_time() + SILENT_STREAM_S

    async def stop(self):
        """Count no silence, unless the server was given up already."""
        self._scope.deadline = math.inf
        await trio.lowlevel.checkpoint_if_cancelled()

    def __exit__(self, *exc_info):
        swallowed = self._scope.__exit__(*exc_info)
        self.expired = self._scope.cancelled_caught
        return swallowed


_BREAKS = (
    exceptions.OutcomeUnknown,
    exceptions.AnswerTruncated,
    exceptions.EndpointSilent,
)
_ELSEWHERE = frozenset(
    {
        "not the owner",
        "engine down",
        "engine leaving",
        "no model yet",
        "no orders yet",
    }
)


def _truth(exc, call):
    """Never say "not run" of a request that may have run."""
    if exc.outcome is NOT_RUN and call.ran:
        return exceptions.EndpointSilent(exc.detail)
    return exc
