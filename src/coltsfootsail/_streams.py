"""Forwarding of requests to engines, whose answers are event streams.

The engine's owner must grant the request first.  The stream is then
relayed event by event; where the route allows it, a stream that breaks is
resumed from another engine within the same answer to the caller.
"""

import contextlib
import math
import re

import trio

from coltsfootsail import _admission
from coltsfootsail import _engine_speed
from coltsfootsail import _grants
from coltsfootsail import _http
from coltsfootsail import _logs
from coltsfootsail import _reach
from coltsfootsail import _request_context
from coltsfootsail import _stream_origins
from coltsfootsail import _upstream
from coltsfootsail import exceptions
from coltsfootsail.platform import messages

ADAPTER_ABSENT_PAUSE_S = 0.03  # before a retry of what an engine did not run
OWNER_WAIT_S = 0.6  # for an engine's owner that is starting or changing
OWNER_RETRY_PAUSE_S = 0.06  # between attempts while waiting for an owner
# Timeouts for a server that sends nothing, if the stream can be resumed.
FIRST_BYTE_TIMEOUT_S = 1.8
EVENT_TIMEOUT_S = 1.5
LAST_ATTEMPT_FACTOR = 3.0  # on these timeouts if no attempt may follow
# Reasons of an owner's rejection after which another engine may be tried.
# Any other reason means overload.
_TRY_ELSEWHERE_REASONS = frozenset(
    {
        "not the owner",
        "engine down",
        "engine leaving",
        _grants.SERVER_BUSY,
        _grants.SERVER_CLOSED,
        "no model yet",
        "no orders yet",
        _admission.LIMIT_REASON,
        _grants.OLDER_VERSION_RUNS,
    }
)


# The data field of an event, which a comment or a keep-alive lacks.
_DATA_FIELD = re.compile(rb"^data", re.MULTILINE)


@contextlib.contextmanager
def _caller_errors():
    """Raise ``CallerGone`` for errors of the caller's connection."""
    try:
        yield
    except (*_http.STREAM_ERRORS, trio.TooSlowError) as exc:
        raise exceptions.CallerGone(str(exc)) from exc


class _StreamSink:
    """Writes a stream to the caller, from one or more servers in turn.

    :param resp: the response to the caller.
    :param extra_headers: closure that lists headers to add.
    :param now: closure that reads the clock.
    :param account: an ``_answer_memory.Account`` for incomplete events.

    ``before_events`` is called before events are written.
    """

    def __init__(self, resp, extra_headers, now, account):
        self._resp = resp
        self._extra_headers = extra_headers
        self._now = now
        self._last_write_s = None
        self.splitter = _upstream.EventSplitter(account)
        self.before_events = lambda: None
        self.started = False
        self.first_event_s = None
        self.longest_pause_s = 0.0
        self._gaps = _engine_speed.EventGaps()

    def begin_run(self):
        """Note that another server is about to send the events."""
        self._gaps = _engine_speed.EventGaps()

    def shown_steps(self):
        """Get the events of the last server, and the time that they took."""
        return self._gaps.events, self._gaps.undisturbed_s()

    async def start(self, exchange):
        """Send the response head, unless that of an earlier server was."""
        if self.started:
            return
        self.started = True
        headers = messages.answer_headers(exchange.headers)
        with _caller_errors():
            await self._resp.start(
                exchange.status, [*headers, *self._extra_headers()]
            )

    async def write(self, data):
        """Write the complete events; keep the rest until it is complete.

        :returns: whether any of them has data; comments alone are no sign
            that the stream goes on.
        """
        events = self.splitter.feed(data)
        if not events:
            return False
        self.before_events()
        data_fields = len(_DATA_FIELD.findall(events))
        self._note_time(data_fields)
        with _caller_errors():
            await self._resp.write(events)
        return data_fields > 0

    def _note_time(self, data_fields):
        now_s = self._now()
        self._gaps.add(data_fields, now_s)
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            self.longest_pause_s = max(
                self.longest_pause_s, now_s - self._last_write_s
            )
        self._last_write_s = now_s

    async def end(self):
        """End the response.

        :raises AnswerTruncated: if the stream ended within an event.
        """
        if self.splitter.pending():
            raise exceptions.AnswerTruncated("a part of an event at the end")
        with _caller_errors():
            await self._resp.end()


class StreamForwarder:
    """Sends requests to engines and relays their streams.

    :param gateway: the ``Gateway``.
    :param send_policy: a ``SendPolicy``.
    """

    def __init__(self, gateway, send_policy):
        self._gateway = gateway
        self._send_policy = send_policy
        self._now = gateway.now
        self._metrics = gateway.metrics
        self._count = gateway.metrics.count

    async def forward(self, context, resp):
        """Relay a stream to the caller until the request's deadline."""
        with self._gateway.answer_memory.hold() as context.account:
            await self._forward(context, resp)

    async def _forward(self, context, resp):
        if context.meta.prompt is None:
            raise exceptions.BadField(f"{messages.MODEL}: missing")
        sink = _StreamSink(
            resp, self._gateway.closing_headers, self._now, context.account
        )
        if context.meta.resumes or context.meta.last_event:
            await self._bind_taken_up(context)
        self._gateway.retry_budget.request(context.service)
        with trio.move_on_after(max(0.0, context.until_s - self._now())):
            await self._run_attempts(context, sink, resp)
            self._observe_times(context, sink)
            return
        # At the deadline, a stream that has started is cut off; a caller
        # that has received nothing gets an error response.
        if sink.started:
            raise exceptions.EndpointSilent("time is up")
        raise _request_context.correct_outcome(
            exceptions.DeadlineExceeded(
                retry_after_s=_request_context.RETRY_AFTER_S
            ),
            context,
        )

    async def _bind_taken_up(self, context):
        """Bind a stream that a caller takes up to where it began.

        :raises UnknownStream: if that is not known.
        """
        meta, route = context.meta, context.route
        if meta.resumes:
            context.service = route.choose_service(meta.resumes)
        origin = await self._gateway.stream_origins.find(
            meta.resumes, context.service
        )
        if origin is None:
            raise exceptions.UnknownStream(
                retry_after_s=_request_context.RETRY_AFTER_S
            )
        if origin.service not in {each.service for each in route.targets}:
            raise exceptions.NoEndpoint(
                retry_after_s=_request_context.RETRY_AFTER_S
            )
        context.service, context.software = origin.service, origin.software

    def _observe_times(self, context, sink):
        if sink.first_event_s is None:
            return
        first_event_s = sink.first_event_s - context.received_s
        self._metrics.observe(
            "first_event_seconds", first_event_s, context.labels
        )
        self._metrics.observe(
            "pause_seconds", sink.longest_pause_s, context.labels
        )
        _logs.detail(
            "streamed",
            id=context.meta.request_id,
            first_event_s=round(first_event_s, 3),
            longest_pause_s=round(sink.longest_pause_s, 3),
        )

    async def _run_attempts(self, context, sink, resp):
        while True:
            try:
                await self._attempt(context, sink, resp)
                return
            except exceptions.ColtsfootsailError as exc:
                self._count("retries", exc.code, labels=context.labels)
                _logs.detail(
                    "attempt_failed",
                    id=context.meta.request_id,
                    code=exc.code,
                    why=exc.detail,
                    sends=context.sends,
                )
                self._raise_if_final(context, sink, exc)
                await self._gateway.crashes.wait_until_checked(context)
                sink.splitter.discard_partial_event()

    def _raise_if_final(self, context, sink, exc):
        """Raise the failure again unless another attempt may follow.

        A stream that was interrupted waits again for owners that are
        starting, so that it can be resumed.
        """
        final = isinstance(
            exc,
            exceptions.RetryBudgetSpent
            | exceptions.DeadlineExceeded
            | exceptions.NoEndpoint
            | exceptions.CallerGone
            | exceptions.EndpointStillRuns
            | exceptions.Poisoned
            | exceptions.PoisonedPart,
        )
        overload = (
            isinstance(exc, exceptions.TurnedAway)
            and exc.reason not in _TRY_ELSEWHERE_REASONS
        )
        if final or overload or not context.may_retry(exc):
            raise _request_context.correct_outcome(exc, context)
        if sink.started and not context.route.resumable:
            raise exc
        if sink.started and exc.outcome is not _request_context.NOT_RUN:
            context.owner_wait_until_s = self._now() + OWNER_WAIT_S

    async def _attempt(self, context, sink, resp):
        gateway = self._gateway
        context.begun = sink.started
        server, owner, grant_request = await self._choose_engine(context)
        if owner is None:
            await self._send_to_engine(
                context, sink, resp, server, grant_request, owner
            )
            return
        requested_s = self._now()
        try:
            grant = gateway.grant_client.acquire(
                owner, server.name, grant_request
            )
            async with grant as use:
                granted_s = self._now()
                waited_s = granted_s - requested_s
                self._metrics.observe(
                    "grant_seconds", waited_s, context.labels
                )
                try:
                    await self._send_to_engine(
                        context, sink, resp, server, grant_request, owner
                    )
                except exceptions.EndpointNotRun as exc:
                    use.outcome = self._refusal_outcome(server, exc)
                    raise
                except exceptions.EndpointUnreachable:
                    if not gateway.reach.is_cut_off(server.name):
                        use.outcome = _grants.GrantOutcome.UNREACHABLE
                    raise
                finally:
                    if sink.first_event_s is not None and not context.begun:
                        use.first_event_s = sink.first_event_s - granted_s
                    use.events, use.stream_s = sink.shown_steps()
                    gateway.speeds.note_stream(
                        server, use.events, use.stream_s
                    )
        except (exceptions.TurnedAway, exceptions.OwnerSilent) as exc:
            self._count(
                "turned_away", _turn_away_reason(exc), labels=context.labels
            )
            context.note_turned_away(server, exc)
            if self._may_wait_for_owner(context, exc):
                if gateway.engine_selector.owner(server) in (None, owner):
                    await trio.sleep(OWNER_RETRY_PAUSE_S)
            else:
                context.avoided.add(server.name)
            if _turn_away_reason(exc) == _grants.OLDER_VERSION_RUNS:
                context.moved = True
            raise
        except exceptions.EndpointNotRun:
            await trio.sleep(ADAPTER_ABSENT_PAUSE_S)
            raise

    def _refusal_outcome(self, server, exc):
        """Tell an engine's owner why the engine refused a request.

        :param exc: an ``EndpointNotRun``.
        """
        gateway = self._gateway
        if gateway.states.busy_s(server.name):
            return _grants.GrantOutcome.DONE
        is_full = isinstance(exc, exceptions.EndpointFull)
        if is_full and gateway.refusals.is_limited(server.name):
            return _grants.GrantOutcome.FULL
        return _grants.GrantOutcome.ABSENT

    def _may_wait_for_owner(self, context, exc):
        """Tell whether an owner that has just started is asked again."""
        starting = _turn_away_reason(exc) == "not the owner"
        return starting and self._now() < context.owner_wait_until_s

    def _may_wait_for_engine(self, context):
        """Tell whether an engine may still get an owner in time.

        Those that keep to a limit are not waited for.
        """
        has_engine = self._gateway.engine_selector.has_engine(context)
        return has_engine and self._now() < context.owner_wait_until_s

    async def _choose_engine(self, context):
        """Choose an engine, waiting a while if none has a known owner.

        Engines that interrupted the request are only chosen if there is no
        other.

        :raises NoEndpoint: if there is no engine to choose.
        """
        engine_selector = self._gateway.engine_selector
        choice = engine_selector.choose(context)
        while choice is None and self._may_wait_for_engine(context):
            await trio.sleep(OWNER_RETRY_PAUSE_S)
            context.avoided = set(context.interrupted_by)
            choice = engine_selector.choose(context)
        if choice is None and context.moved:
            context.avoided = set(context.interrupted_by)
            choice = engine_selector.choose(context)
        if choice is None and context.interrupted_by:
            context.interrupted_by.clear()
            context.avoided.clear()
            choice = engine_selector.choose(context)
        if choice is None:
            busy_s = self._gateway.states.soonest_s(context.service)
            raise context.no_endpoint(busy_s=busy_s)
        return choice

    async def _send_to_engine(
        self, context, sink, resp, server, grant_request, owner
    ):
        gateway = self._gateway
        sink.begin_run()
        self._send_policy.remaining_s(context)
        self._send_policy.authorize_send(context, server)
        last_event_id = sink.splitter.last_id if sink.started else None
        request = self._send_policy.build_request(
            context,
            server,
            context.priority,
            grant_request.version,
            last_event_id,
        )
        _logs.detail(
            "sent",
            id=context.meta.request_id,
            server=server.name,
            owner=owner or "",
            adapter=grant_request.adapter,
            version=grant_request.version,
            software=server.software,
            after_event=last_event_id or context.meta.last_event,
            after_s=round(self._now() - context.received_s, 3),
            sends=context.sends,
            closed=gateway.states.describe_closed(context.service),
        )
        sink.before_events = lambda: self._note_origin(context, server)
        try:
            with contextlib.ExitStack() as stack:
                stack.enter_context(context.sending_to(server))
                timeout = stack.enter_context(
                    _IdleTimeout(_timeout_factor(context))
                )
                await gateway.upstream.send(
                    server,
                    request,
                    float("inf"),
                    lambda exchange: self._relay(
                        exchange, sink, resp, timeout
                    ),
                )
            if timeout.expired:
                self._log_silence(context, server, timeout.silent_s)
                await gateway.upstream.wait_until_dropped(
                    server,
                    context.meta.request_id,
                    lambda name: name in gateway.view.servers,
                )
                raise exceptions.EndpointSilent("no event")
        except exceptions.EndpointUnreachable:
            if await gateway.reach.find(server) in _reach.PAUSING:
                gateway.engine_selector.unreachable(server)
            raise
        except exceptions.EndpointNotRun:
            raise
        except exceptions.ColtsfootsailError as exc:
            self._send_policy.check_for_crash(context, server, exc)
            context.interrupted_by.add(server.name)
            context.avoided = set(context.interrupted_by)
            raise

    def _log_silence(self, context, server, silent_s):
        """Log what the next attempt has when a silent one is given up."""
        budget = self._gateway.retry_budget
        _logs.detail(
            "silent_attempt_ended",
            id=context.meta.request_id,
            server=server.name,
            silent_s=round(silent_s, 3),
            paid=False,
            granted=False,
            next_server="",
            sends=context.sends,
            attempts=context.route.attempts,
            registered=server.name in self._gateway.view.servers,
            **budget.describe(context.service),
        )

    async def _relay(self, exchange, sink, resp, timeout):
        await timeout.stop()
        if not 200 <= exchange.status < 300:
            await self._relay_error_response(exchange, sink, resp)
            return
        await sink.start(exchange)
        timeout.restart()
        while exchange.phase is not _http.Phase.DONE:
            timeout.resume()
            data = await exchange.read_some()
            await timeout.stop()
            if await sink.write(data):
                timeout.restart()
        await sink.end()

    def _note_origin(self, context, server):
        """Bind a stream to the software version that begins it.

        Other nodes are told before the caller has the first event.
        """
        if context.origin_noted:
            return
        context.origin_noted = True
        context.software = server.software
        origin = _stream_origins.Origin(context.service, server.software)
        meta = context.meta
        for request_id in {meta.request_id, meta.resumes} - {""}:
            self._gateway.stream_origins.note_begun(
                request_id, origin, context.route.resumable
            )

    async def _relay_error_response(self, exchange, sink, resp):
        if sink.started:
            raise exceptions.AnswerTruncated("the stream was not resumed")
        body = await exchange.read_body(_upstream.ERROR_BODY_BYTES_MAX)
        _upstream.check_no_false_promise(exchange.status)
        headers = messages.answer_headers(exchange.headers)
        with _caller_errors():
            await resp.reply(
                exchange.status,
                body,
                [*headers, *self._gateway.closing_headers()],
            )


class _IdleTimeout:
    """Cancels an exchange with a server that sends no event for too long.

    Bytes without an event do not extend it: a stalled server may go on
    sending some.  The timeout must be stopped during writes to the caller: a
    cancelled write would lose a part of the answer or truncate it.

    :param factor: multiplies the timeouts; infinite for no timeout.
    """

    def __init__(self, factor):
        self._factor = factor
        self._scope = trio.CancelScope()
        self._due_s = math.inf
        self._since_s = math.inf
        self.expired = False

    @property
    def silent_s(self):
        """Get the time since the last event, or since the start."""
        return trio.current_time() - self._since_s

    def __enter__(self):
        self._scope.__enter__()
        self._set_timeout(FIRST_BYTE_TIMEOUT_S)
        return self

    def _set_timeout(self, timeout_s):
        self._since_s = trio.current_time()
        self._due_s = self._since_s + self._factor * timeout_s
        self.resume()

    def restart(self):
        """Start the timeout between events."""
        self._set_timeout(EVENT_TIMEOUT_S)

    def resume(self):
        """Let the timeout go on after a stop."""
        self._scope.deadline = self._due_s

    async def stop(self):
        """Stop the timeout, or let its cancellation through if it expired."""
        self._scope.deadline = math.inf
        await trio.lowlevel.checkpoint_if_cancelled()

    def __exit__(self, *exc_info):
        suppress = self._scope.__exit__(*exc_info)
        self.expired = self._scope.cancelled_caught
        return suppress


def _turn_away_reason(exc):
    """Get the reason why an owner granted nothing."""
    return getattr(exc, "reason", exc.code)


def _timeout_factor(context):
    """Get the factor on the timeouts of the server that now has a request.

    If no other attempt is allowed, a timeout ends the request, so it is
    better to wait longer for a server that may only be slow.
    """
    if not context.route.resumable:
        return math.inf
    is_last = len(context.may_have_run) >= context.route.attempts
    is_last = is_last or context.sends >= _request_context.SENDS_MAX
    return LAST_ATTEMPT_FACTOR if is_last else 1.0
