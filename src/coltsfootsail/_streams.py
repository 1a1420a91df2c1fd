"""Requests to engines: a start from the engine's owner, then a stream.

A stream is passed on event by event; where the route allows it, one that
breaks is resumed at another engine inside the same answer.
"""

import contextlib
import math

import trio

from coltsfootsail import _grants
from coltsfootsail import _http
from coltsfootsail import _logs
from coltsfootsail import _request_context
from coltsfootsail import _upstream
from coltsfootsail import exceptions
from coltsfootsail.platform import messages

ADAPTER_ABSENT_PAUSE_S = 0.03
OWNER_WAIT_S = 0.6  # owners that start or change are waited for so long
OWNER_RETRY_PAUSE_S = 0.06
FIRST_BYTE_TIMEOUT_S = 1.8  # to a repeatable request's first byte
EVENT_TIMEOUT_S = 1.5  # between events, where a stream can be resumed
LAST_ATTEMPT_FACTOR = (
    3.0  # as patient as this with the last server that may run it
)
_TRY_ELSEWHERE_REASONS = frozenset(
    {
        "not the owner",
        "engine down",
        "engine leaving",
        "no model yet",
        "no orders yet",
    }
)


@contextlib.contextmanager
def _caller_errors():
    """Tell a caller's broken connection from a server's."""
    try:
        yield
    except (*_http.STREAM_ERRORS, trio.TooSlowError) as exc:
        raise exceptions.CallerGone(str(exc)) from exc


class _StreamSink:
    """The caller's side of a stream, over one or more servers.

    :param extra: closure that lists headers to add.
    :param now: closure that reads the clock.
    """

    def __init__(self, resp, extra_headers, now):
        self._resp = resp
        self._extra_headers = extra_headers
        self._now = now
        self._last_write_s = None
        self.splitter = _upstream.EventSplitter()
        self.started = False
        self.first_event_s = None
        self.longest_pause_s = 0.0

    async def start(self, exchange):
        """Send the head, unless an earlier server's was sent."""
        if self.started:
            return
        self.started = True
        headers = messages.answer_headers(exchange.headers)
        with _caller_errors():
            await self._resp.start(
                exchange.status, [*headers, *self._extra_headers()]
            )

    def discard_partial_event(self):
        """Drop the part of an event that a broken server left."""
        last_id = self.splitter.last_id
        self.splitter = _upstream.EventSplitter()
        self.splitter.last_id = last_id

    async def write(self, data):
        """Pass on what is whole."""
        whole = self.splitter.feed(data)
        if whole:
            self._note_time()
            with _caller_errors():
                await self._resp.write(whole)

    def _note_time(self):
        now_s = self._now()
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            self.longest_pause_s = max(
                self.longest_pause_s, now_s - self._last_write_s
            )
        self._last_write_s = now_s

    async def end(self):
        """End the answer as whole."""
        if self.splitter.pending():
            raise exceptions.AnswerTruncated("a part of an event at the end")
        with _caller_errors():
            await self._resp.end()


class StreamForwarder:
    """Sends requests to engines and relays their streams.

    :param gateway: the ``Gateway`` whose parts it uses.
    :param sender: a ``Sender``.
    """

    def __init__(self, gateway, send_policy):
        self._gateway = gateway
        self._send_policy = send_policy
        self._now = gateway.now
        self._metrics = gateway.metrics
        self._count = gateway.metrics.count

    async def forward(self, context, resp):
        """Relay a stream to the caller until the request's time is up."""
        sink = _StreamSink(resp, self._gateway.closing_headers, self._now)
        with trio.move_on_after(context.until_s - self._now()):
            await self._run_attempts(context, sink, resp)
            self._note_times(context, sink)
            return
        # At the timeout a begun stream is closed, any other gets an error.
        if sink.started:
            raise exceptions.EndpointSilent("time is up")
        raise _request_context.correct_outcome(
            exceptions.DeadlineExceeded(
                retry_after_s=_request_context.RETRY_AFTER_S
            ),
            context,
        )

    def _note_times(self, context, sink):
        if sink.first_event_s is None:
            return
        first_event_s = sink.first_event_s - context.received_s
        self._metrics.observe(
            "first_event_seconds", first_event_s, context.where
        )
        self._metrics.observe(
            "pause_seconds", sink.longest_pause_s, context.where
        )

    async def _run_attempts(self, context, sink, resp):
        while True:
            try:
                await self._attempt(context, sink, resp)
                return
            except exceptions.ColtsfootsailError as exc:
                self._count("retries", exc.code, where=context.where)
                _logs.detail(
                    "attempt_failed",
                    id=context.meta.request_id,
                    code=exc.code,
                    why=exc.detail,
                    sends=context.sends,
                )
                self._raise_if_final(context, sink, exc)
                sink.discard_partial_event()

    def _raise_if_final(self, context, sink, exc):
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
        asked_s = self._now()
        try:
            started = gateway.grant_client.acquire(
                owner, server.name, grant_request
            )
            async with started as set_outcome:
                waited_s = self._now() - asked_s
                self._metrics.observe("grant_seconds", waited_s, context.where)
                try:
                    await self._send_to_engine(
                        context, sink, resp, server, grant_request, owner
                    )
                except exceptions.EndpointNotRun:
                    set_outcome(_grants.GrantOutcome.ABSENT)
                    raise
                except exceptions.EndpointUnreachable:
                    set_outcome(_grants.GrantOutcome.UNREACHABLE)
                    raise
        except (exceptions.TurnedAway, exceptions.OwnerSilent) as exc:
            self._count(
                "turned_away", _turn_away_reason(exc), where=context.where
            )
            if self._may_wait_for_owner(context, exc):
                await trio.sleep(OWNER_RETRY_PAUSE_S)
            else:
                context.avoided.add(server.name)
            raise
        except exceptions.EndpointNotRun:
            await trio.sleep(ADAPTER_ABSENT_PAUSE_S)
            raise

    def _may_wait_for_owner(self, context, exc):
        """Say whether an owner that just starts is asked again."""
        starting = _turn_away_reason(exc) == "not the owner"
        return starting and self._now() < context.owner_wait_until_s

    async def _choose_engine(self, context):
        """Choose an engine, waiting a little where no owner is known.

        Engines that broke the request off come last.
        """
        engine_selector = self._gateway.engine_selector
        choice = engine_selector.choose(context)
        while choice is None and self._now() < context.owner_wait_until_s:
            await trio.sleep(OWNER_RETRY_PAUSE_S)
            context.avoided = set(context.broken_off)
            choice = engine_selector.choose(context)
        if choice is None and context.broken_off:
            context.broken_off.clear()
            context.avoided.clear()
            choice = engine_selector.choose(context)
        if choice is None:
            raise exceptions.NoEndpoint(
                retry_after_s=_request_context.RETRY_AFTER_S
            )
        return choice

    async def _send_to_engine(
        self, context, sink, resp, server, grant_request, owner
    ):
        gateway = self._gateway
        self._send_policy.remaining_s(context)
        self._send_policy.authorize_send(context, server)
        last = sink.splitter.last_id if sink.started else None
        request = self._send_policy.build_request(
            context,
            server,
            context.route.priority,
            grant_request.version,
            last,
        )
        _logs.detail(
            "sent",
            id=context.meta.request_id,
            server=server.name,
            owner=owner or "",
            adapter=grant_request.adapter,
            version=grant_request.version,
            after_s=round(self._now() - context.received_s, 3),
            sends=context.sends,
        )
        context.may_have_run.add(server.name)
        try:
            with contextlib.ExitStack() as stack:
                guard = stack.enter_context(
                    _SilenceTimeout(_silence_factor(context))
                )
                await gateway.upstream.send(
                    server,
                    request,
                    float("inf"),
                    lambda exchange: self._relay(exchange, sink, resp, guard),
                )
            if guard.expired:
                raise exceptions.EndpointSilent("no event")
        except exceptions.EndpointUnreachable:
            context.may_have_run.discard(server.name)
            gateway.engine_selector.unreachable(server)
            raise
        except exceptions.EndpointNotRun:
            context.may_have_run.discard(server.name)
            raise
        except exceptions.ColtsfootsailError as exc:
            self._send_policy.check_for_crash(context, server, exc)
            context.broken_off.add(server.name)
            context.avoided = set(context.broken_off)
            raise

    async def _relay(self, exchange, sink, resp, guard):
        await guard.stop()
        if not 200 <= exchange.status < 300:
            await self._relay_error_response(exchange, sink, resp)
            return
        await sink.start(exchange)
        while exchange.phase is not _http.Phase.DONE:
            guard.restart()
            data = await exchange.read_some()
            await guard.stop()
            await sink.write(data)
        await sink.end()

    async def _relay_error_response(self, exchange, sink, resp):
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


class _SilenceTimeout:
    """Ends an exchange that has been silent, where it may be repeated.

    It must never end a write to the caller, which would lose a part of
    the answer or cut it in the middle.

    :param patience: factor on the time allowed; infinite for no end.
    """

    def __init__(self, factor):
        self._factor = factor
        self._scope = trio.CancelScope()
        self.expired = False

    def __enter__(self):
        self._scope.__enter__()
        self._set_timeout(FIRST_BYTE_TIMEOUT_S)
        return self

    def _set_timeout(self, silence_s):
        deadline_s = trio.current_time() + self._factor * silence_s
        self._scope.deadline = deadline_s

    def restart(self):
        """Count the silence from now."""
        self._set_timeout(EVENT_TIMEOUT_S)

    async def stop(self):
        """Count no silence, unless the server was given up already."""
        self._scope.deadline = math.inf
        await trio.lowlevel.checkpoint_if_cancelled()

    def __exit__(self, *exc_info):
        swallowed = self._scope.__exit__(*exc_info)
        self.expired = self._scope.cancelled_caught
        return swallowed


def _turn_away_reason(exc):
    """Name why an owner gave no start."""
    return getattr(exc, "reason", exc.code)


def _silence_factor(context):
    """Say how patient to be with a silent server that was just sent to.

    Giving up the last server that may run a request ends it, so that a
    slow one is better waited for.
    """
    if not context.route.resumable:
        return math.inf
    last = len(context.may_have_run) >= context.route.attempts
    last = last or context.sends >= _request_context.SENDS_MAX
    return LAST_ATTEMPT_FACTOR if last else 1.0
