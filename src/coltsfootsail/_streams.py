"""Forwarding of requests to engines, whose answers are event streams.

The engine's owner must grant the request first.  The stream is then
relayed event by event; where the route allows it, a stream that breaks is
resumed from another engine within the same answer to the caller.
"""

import contextlib

import trio

from coltsfootsail import _admission
from coltsfootsail import _grants
from coltsfootsail import _held_memory
from coltsfootsail import _http
from coltsfootsail import _logs
from coltsfootsail import _reach
from coltsfootsail import _request_context
from coltsfootsail import _stream_moves
from coltsfootsail import _stream_origins
from coltsfootsail import _stream_sink
from coltsfootsail import _tasks
from coltsfootsail import _upstream
from coltsfootsail import exceptions
from coltsfootsail.platform import messages

ADAPTER_ABSENT_PAUSE_S = 0.03  # before a retry of what an engine did not run
OWNER_WAIT_S = 0.6  # for an engine's owner that is starting or changing
OWNER_RETRY_PAUSE_S = 0.06  # between attempts while waiting for an owner
# Reasons of an owner's rejection after which another engine may be tried.
# Any other reason means overload.
_TRY_ELSEWHERE_REASONS = frozenset(
    {
        "not the owner",
        "engine down",
        "engine leaving",
        _grants.SERVER_BUSY,
        _grants.SERVER_CLOSED,
        _grants.OWNER_FAILED,
        "no model yet",
        "no orders yet",
        _admission.LIMIT_REASON,
        _grants.OLDER_VERSION_RUNS,
    }
)


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
        memory = self._gateway.held_memory
        with memory.hold(_held_memory.ANSWER) as context.account:
            await self._forward(context, resp)

    async def _forward(self, context, resp):
        if context.meta.prompt is None:
            raise exceptions.BadField(f"{messages.MODEL}: missing")
        sink = _stream_sink.StreamSink(
            resp,
            lambda: self._gateway.closing_headers(resp),
            self._now,
            context.account,
            lambda: self._send_policy.contained(context),
        )
        with trio.move_on_after(max(0.0, context.until_s - self._now())):
            if context.meta.resumes or context.meta.last_event:
                await self._bind_taken_up(context)
            with self._send_policy.contained(context):
                self._gateway.retry_budget.request(context.service)
            await self._run_attempts(context, sink, resp)
            with self._send_policy.contained(context):
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
        pauses_s = _stream_moves.pauses_s()
        try:
            while not await self._try_once(context, sink, resp, pauses_s):
                sink.splitter.discard_partial_event()
        finally:
            with self._send_policy.contained(context):
                self._send_policy.release_retry(context)
            if context.target is not None:
                await self._give_back(context, context.target)

    async def _give_back(self, context, target):
        """Give the grant of a target back."""
        with self._send_policy.contained(context):
            await target.aclose()

    async def _try_once(self, context, sink, resp, pauses_s):
        """Make an attempt.

        :param pauses_s: yields the pauses until engines that could not take a
            moved stream are asked again.
        :returns: whether the answer is complete; if not, another attempt may
            follow.
        """
        try:
            await self._attempt(context, sink, resp)
        except exceptions.ColtsfootsailError as exc:
            with self._send_policy.contained(context):
                self._record_failure(context, exc)
            if context.may_go_on_later(exc):
                await trio.sleep(next(pauses_s))
                _stream_moves.clear_rejections(context)
                return False
            self._raise_if_final(context, sink, exc)
            await self._gateway.crashes.wait_until_checked(context)
            return False
        return True

    def _record_failure(self, context, exc):
        self._count("retries", exc.code, labels=context.labels)
        _logs.detail(
            "attempt_failed",
            id=context.meta.request_id,
            code=exc.code,
            why=exc.detail,
            sends=context.sends,
            paid=self._send_policy.holds_retry(context),
        )

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
        context.begun = sink.started
        target = await self._take_target(context)
        server, owner = target.server, target.owner
        try:
            async with contextlib.AsyncExitStack() as stack:
                stack.push_async_callback(self._give_back, context, target)
                await self._acquire(context, target)
                await self._send_granted(context, sink, resp, target)
        except (exceptions.TurnedAway, exceptions.OwnerSilent) as exc:
            self._count(
                "turned_away", _turn_away_reason(exc), labels=context.labels
            )
            context.note_turned_away(server, exc)
            if self._may_wait_for_owner(context, exc):
                if self._gateway.engine_selector.owner(server) in (
                    None,
                    owner,
                ):
                    await trio.sleep(OWNER_RETRY_PAUSE_S)
            else:
                context.avoided.add(server.name)
            if _turn_away_reason(exc) == _grants.OLDER_VERSION_RUNS:
                context.moved = True
            raise
        except exceptions.EndpointNotRun:
            if owner is not None:
                await trio.sleep(ADAPTER_ABSENT_PAUSE_S)
            raise

    async def _take_target(self, context):
        """Take the engine that a moved stream goes to, or choose one.

        :returns: a ``_stream_moves.Target``.
        :raises NoEndpoint: if there is no engine to choose.
        """
        target, context.target = context.target, None
        if target is not None:
            if target.is_current(self._gateway):
                return target
            await self._give_back(context, target)
        return _stream_moves.Target(*await self._choose_engine(context))

    async def _acquire(self, context, target):
        if target.owner is None or target.use is not None:
            return
        requested_s = self._now()
        await target.acquire(self._gateway.grant_client)
        waited_s = self._now() - requested_s
        self._metrics.observe("grant_seconds", waited_s, context.labels)

    async def _send_granted(self, context, sink, resp, target):
        """Send a request, and note for the owner what became of its grant."""
        gateway, server, use = self._gateway, target.server, target.use
        granted_s = self._now()
        try:
            await self._send_to_engine(context, sink, resp, target)
        except exceptions.EndpointNotRun as exc:
            if use is not None:
                use.outcome = self._refusal_outcome(server, exc)
            raise
        except exceptions.EndpointUnreachable:
            is_cut_off = gateway.reach.is_cut_off(server.name)
            if use is not None and not is_cut_off:
                use.outcome = _grants.GrantOutcome.UNREACHABLE
            raise
        finally:
            if use is not None:
                with self._send_policy.contained(context):
                    self._note_use(context, sink, target, granted_s)

    def _note_use(self, context, sink, target, granted_s):
        use = target.use
        use.first_event_s = self._reading_time_s(context, sink, granted_s)
        use.events, use.stream_s = sink.shown_steps()
        self._gateway.speeds.note_stream(
            target.server, use.events, use.stream_s
        )

    def _reading_time_s(self, context, sink, granted_s):
        """Get the time to the first event, 0 if it shows no reading speed.

        A silent server shows none, nor does one that goes on with a stream.
        """
        if sink.first_event_s is None or context.begun:
            return 0.0
        first_event_s = sink.first_event_s - granted_s
        is_silence = first_event_s > _stream_moves.FIRST_BYTE_TIMEOUT_S
        return 0.0 if is_silence else first_event_s

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

    async def _send_to_engine(self, context, sink, resp, target):
        server = target.server
        sink.begin_run()
        await self._send_policy.borrow_retry(context)
        self._send_policy.remaining_s(context)
        paid = self._send_policy.authorize_send(context, server)
        request = self._build_request(context, sink, target)
        sink.before_events = lambda: self._note_events(context, server)
        silence = _stream_moves.Silence(context.route.resumable)
        mover = _stream_moves.Mover(
            self._gateway, self._send_policy, context, server, silence
        )

        async def exchange():
            with mover.scope:
                await self._gateway.upstream.send(
                    server,
                    request,
                    float("inf"),
                    lambda exchange: self._relay(
                        exchange, sink, resp, silence
                    ),
                )

        try:
            with context.sending_to(server):
                await self._run_moved(context, mover, exchange)
                if mover.scope.cancelled_caught:
                    context.is_moving = mover.target is not None
                    await self._wait_until_dropped(context, mover, server)
                    raise exceptions.EndpointSilent("no event")
        except exceptions.EndpointUnreachable:
            self._send_policy.refund(context, paid)
            gateway = self._gateway
            if await gateway.reach.find(server) in _reach.PAUSING:
                gateway.engine_selector.unreachable(server)
            raise
        except exceptions.TooManyConnections:
            self._send_policy.refund(context, paid)
            raise
        except exceptions.EndpointNotRun:
            raise
        except exceptions.ColtsfootsailError as exc:
            self._send_policy.check_for_crash(context, server, exc)
            _leave_out(context, server)
            raise
        except Exception as exc:
            if sink.is_broken or not context.route.resumable:
                raise
            # No server failed, and this one may still run the stream.
            error = self._send_policy.unexpected(context, server, exc)
            await self._wait_until_dropped(context, mover, server)
            _leave_out(context, server)
            raise error from exc

    async def _run_moved(self, context, mover, exchange):
        """Run an exchange while its server may be left for another."""
        if not context.route.resumable:
            await exchange()
            return
        try:
            await _tasks.run_with_background(
                self._move_when_silent, exchange, context, mover
            )
        finally:
            context.target = mover.target

    async def _move_when_silent(self, context, mover):
        while not mover.scope.cancel_called:
            with self._send_policy.contained(context):
                await mover.run()
            await trio.sleep(_tasks.LOOP_PAUSE_S)

    async def _wait_until_dropped(self, context, mover, server):
        if mover.is_unreachable:
            return
        if context.target is not None:
            # The drop takes longer than the grant is good for.
            await self._give_back(context, context.target)
            context.target = None
        await self._gateway.upstream.wait_until_dropped(
            server,
            context.meta.request_id,
            lambda name: name in self._gateway.view.servers,
        )

    def _build_request(self, context, sink, target):
        """Build the request to an engine, and log that it is sent."""
        last_event_id = sink.last_id if sink.started else None
        server, grant_request = target.server, target.grant_request
        _logs.detail(
            "sent",
            id=context.meta.request_id,
            server=server.name,
            owner=target.owner or "",
            adapter=grant_request.adapter,
            version=grant_request.version,
            software=server.software,
            after_event=last_event_id or context.meta.last_event,
            after_s=round(self._now() - context.received_s, 3),
            sends=context.sends,
            closed=self._gateway.states.describe_closed(context.service),
        )
        return self._send_policy.build_request(
            context,
            server,
            context.priority,
            grant_request.version,
            last_event_id,
        )

    async def _relay(self, exchange, sink, resp, silence):
        hold = trio.lowlevel.checkpoint_if_cancelled
        if silence.may_move:
            hold = silence.hold
        await hold()
        if not 200 <= exchange.status < 300:
            await self._relay_error_response(exchange, sink, resp)
            return
        await sink.start(exchange)
        with sink.contained():
            silence.note_event()
        while exchange.phase is not _http.Phase.DONE:
            with sink.contained():
                silence.release()
            data = await exchange.read_some()
            await hold()
            if await sink.write(data):
                with sink.contained():
                    silence.note_event()
        await sink.end()

    def _note_events(self, context, server):
        """Note that a server sends events, before the caller has them."""
        context.is_moving = False
        self._note_origin(context, server)

    def _note_origin(self, context, server):
        """Bind a stream to the software version that begins it.

        Other nodes are told before the caller has the first event.
        """
        if context.origin_noted:
            return
        context.origin_noted = True
        context.software = server.software
        with self._send_policy.contained(context):
            self._tell_origin(context, server)

    def _tell_origin(self, context, server):
        origin = _stream_origins.Origin(context.service, server.software)
        meta = context.meta
        for request_id in {meta.request_id, meta.resumes} - {""}:
            self._gateway.stream_origins.note_begun(
                request_id, origin, context.route.resumable
            )

    async def _relay_error_response(self, exchange, sink, resp):
        if sink.started:
            raise exceptions.AnswerTruncated("the stream was not resumed")
        body = await exchange.read_body(
            _upstream.ERROR_BODY_BYTES_MAX, sink.account
        )
        _upstream.check_no_false_promise(exchange.status)
        headers = messages.answer_headers(exchange.headers)
        await resp.reply(
            exchange.status,
            body,
            [*headers, *self._gateway.closing_headers(resp)],
        )


def _leave_out(context, server):
    """Choose a server that has run a stream last for its next run."""
    context.interrupted_by.add(server.name)
    context.avoided = set(context.interrupted_by)


def _turn_away_reason(exc):
    """Get the reason why an owner granted nothing."""
    return getattr(exc, "reason", exc.code)
