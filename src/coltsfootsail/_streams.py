"""Requests to engines: a start from the engine's owner, then a stream.

A stream is passed on event by event; where the route allows it, one that
breaks is resumed at another engine inside the same answer.
"""

import contextlib
import math

import trio

from coltsfootsail import _calls
from coltsfootsail import _grants
from coltsfootsail import _http
from coltsfootsail import _logs
from coltsfootsail import _upstream
from coltsfootsail import exceptions
from coltsfootsail.platform import messages

ABSENT_PAUSE_S = 0.03
OWNER_WAIT_S = 0.6  # owners that start or change are waited for so long
OWNER_PAUSE_S = 0.06
SILENT_FIRST_S = 1.8  # to a repeatable request's first byte
SILENT_STREAM_S = 1.5  # between events, where a stream can be resumed
SILENT_LAST = 3.0  # as patient as this with the last server that may run it
_ELSEWHERE = frozenset(
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

    def __init__(self, resp, extra, now):
        self._resp = resp
        self._extra = extra
        self._now = now
        self._written_s = None
        self.splitter = _upstream.EventSplitter()
        self.started = False
        self.first_s = None
        self.pause_s = 0.0

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
            self._note_time()
            with _caller_errors():
                await self._resp.write(whole)

    def _note_time(self):
        now_s = self._now()
        if self.first_s is None:
            self.first_s = now_s
        else:
            self.pause_s = max(self.pause_s, now_s - self._written_s)
        self._written_s = now_s

    async def end(self):
        """End the answer as whole."""
        if self.splitter.pending():
            raise exceptions.AnswerTruncated("a part of an event at the end")
        with _caller_errors():
            await self._resp.end()


class Streams:
    """Sends requests to engines and relays their streams.

    :param gateway: the ``Gateway`` whose parts it uses.
    :param sender: a ``Sender``.
    """

    def __init__(self, gateway, sender):
        self._gateway = gateway
        self._sender = sender
        self._now = gateway.now
        self._metrics = gateway.metrics
        self._count = gateway.metrics.count

    async def answer(self, call, resp):
        """Relay a stream to the caller until the request's time is up."""
        sink = _StreamSink(resp, self._gateway.closing_headers, self._now)
        with trio.move_on_after(call.until_s - self._now()):
            await self._attempts(call, sink, resp)
            self._note_times(call, sink)
            return
        # At the timeout a begun stream is closed, any other gets an error.
        if sink.started:
            raise exceptions.EndpointSilent("time is up")
        raise _calls.truth(
            exceptions.DeadlineExceeded(retry_after_s=_calls.RETRY_AFTER_S),
            call,
        )

    def _note_times(self, call, sink):
        if sink.first_s is None:
            return
        first_s = sink.first_s - call.received_s
        self._metrics.observe("first_event_seconds", first_s, call.where)
        self._metrics.observe("pause_seconds", sink.pause_s, call.where)

    async def _attempts(self, call, sink, resp):
        while True:
            try:
                await self._attempt(call, sink, resp)
                return
            except exceptions.ColtsfootsailError as exc:
                self._count("retries", exc.code, labels=call.where)
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
        if final or overload or not call.may_repeat(exc):
            raise _calls.truth(exc, call)
        if sink.started and not call.route.resumable:
            raise exc
        if sink.started and exc.outcome is not _calls.NOT_RUN:
            call.patient_until_s = self._now() + OWNER_WAIT_S

    async def _attempt(self, call, sink, resp):
        gateway = self._gateway
        call.begun = sink.started
        server, owner, wish = await self._choose(call)
        if owner is None:
            await self._send(call, sink, resp, server, wish, owner)
            return
        asked_s = self._now()
        try:
            started = gateway.asker.start(owner, server.name, wish)
            async with started as ends:
                waited_s = self._now() - asked_s
                self._metrics.observe("grant_seconds", waited_s, call.where)
                try:
                    await self._send(call, sink, resp, server, wish, owner)
                except exceptions.EndpointNotRun:
                    ends(_grants.End.ABSENT)
                    raise
                except exceptions.EndpointUnreachable:
                    ends(_grants.End.UNREACHABLE)
                    raise
        except (exceptions.TurnedAway, exceptions.OwnerSilent) as exc:
            self._count("turned_away", _reason(exc), labels=call.where)
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
        starting = _reason(exc) == "not the owner"
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
            raise exceptions.NoEndpoint(retry_after_s=_calls.RETRY_AFTER_S)
        return choice

    async def _send(self, call, sink, resp, server, wish, owner):
        gateway = self._gateway
        self._sender.left_s(call)
        self._sender.check(call, server)
        last = sink.splitter.last_id if sink.started else None
        sent = self._sender.sent(
            call, server, call.route.priority, wish.version, last
        )
        _logs.detail(
            "sent",
            id=call.meta.request_id,
            server=server.name,
            owner=owner or "",
            adapter=wish.adapter,
            version=wish.version,
            after_s=round(self._now() - call.received_s, 3),
            sends=call.sends,
        )
        call.ran.add(server.name)
        try:
            with contextlib.ExitStack() as stack:
                guard = stack.enter_context(_Silence(_patience(call)))
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
            self._sender.note_break(call, server, exc)
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

    :param patience: factor on the time allowed; infinite for no end.
    """

    def __init__(self, patience):
        self._patience = patience
        self._scope = trio.CancelScope()
        self.expired = False

    def __enter__(self):
        self._scope.__enter__()
        self._allow(SILENT_FIRST_S)
        return self

    def _allow(self, silence_s):
        deadline_s = trio.current_time() + self._patience * silence_s
        self._scope.deadline = deadline_s

    def wait(self):
        """Count the silence from now."""
        self._allow(SILENT_STREAM_S)

    async def stop(self):
        """Count no silence, unless the server was given up already."""
        self._scope.deadline = math.inf
        await trio.lowlevel.checkpoint_if_cancelled()

    def __exit__(self, *exc_info):
        swallowed = self._scope.__exit__(*exc_info)
        self.expired = self._scope.cancelled_caught
        return swallowed


def _reason(exc):
    """Name why an owner gave no start."""
    return getattr(exc, "reason", exc.code)


def _patience(call):
    """Say how patient to be with a silent server that was just sent to.

    Giving up the last server that may run a request ends it, so that a
    slow one is better waited for.
    """
    if not call.route.resumable:
        return math.inf
    last = len(call.ran) >= call.route.attempts
    last = last or call.sends >= _calls.SENDS_MAX
    return SILENT_LAST if last else 1.0
