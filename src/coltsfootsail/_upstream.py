"""HTTP exchanges with servers, and the typed errors of failed ones.

An answer is accepted only if it echoes the request's id and, if it is a
success, carries the server's stamp.  An answer to another request on the
same connection is dropped.
"""

import contextlib
import dataclasses

import trio

from coltsfootsail import _dropped_runs
from coltsfootsail import _http
from coltsfootsail import _http_client
from coltsfootsail import _logs
from coltsfootsail import _net
from coltsfootsail import _tasks
from coltsfootsail import exceptions
from coltsfootsail.platform import messages

BODY_BYTES_MAX = 16_777_216
ERROR_BODY_BYTES_MAX = 1_048_576  # where a stream was asked for
NOT_RUN_BODY_BYTES_MAX = 65_536  # more is not read
KEEP_ALIVE_SHARE = 0.6  # of the keep-alive time that a server states
KEEP_ALIVE_DEFAULT_S = 0.5  # where the server states none
EVENT_BYTES_MAX = 1_048_576
_NOT_RUN_ERRORS = {
    True: exceptions.EndpointFull,
    False: exceptions.EndpointNotRun,
}


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request as it is sent to a server."""

    method: str
    target: str
    headers: tuple
    body: bytes
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A complete answer of a server."""

    status: int
    headers: tuple
    body: bytes


class EventSplitter:
    """Splits a stream into complete events and stores the last event's id.

    :param account: a ``_held_memory.Account`` from which the bytes of an
        event that is not complete yet are taken.
    """

    def __init__(self, account):
        self._account = account
        self._taken_bytes = 0
        self._partial = b""
        self.last_id = None

    def feed(self, data):
        """Add bytes of the stream.

        :returns: the bytes of the events that are complete now.
        :raises AnswerMismatch: if an event is too large, or the memory of
            all answers is used up.
        """
        data = self._partial + data
        end = data.rfind(b"\n\n") + 2
        if end < 2:
            end = 0
        complete, self._partial = data[:end], data[end:]
        if len(self._partial) > EVENT_BYTES_MAX:
            raise exceptions.AnswerMismatch("event too large")
        self._take_memory()
        if complete:
            self._record_last_id(complete)
        return complete

    def _take_memory(self):
        """Take the bytes of the incomplete event."""
        wanted = len(self._partial)
        missing = wanted - self._taken_bytes
        if missing < 0:
            self._account.give_back(-missing)
        elif missing and not self._account.take(missing):
            raise exceptions.AnswerMismatch("memory of all answers")
        self._taken_bytes = wanted

    def discard_partial_event(self):
        """Drop the incomplete event that a broken stream left."""
        self._partial = b""
        self._take_memory()

    def _record_last_id(self, complete):
        for line in reversed(complete.split(b"\n")):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                return

    def pending(self):
        """Tell whether part of an event is buffered."""
        return bool(self._partial)


def _make_response_check(request_id):
    """Create the check that an answer belongs to a request.

    A server echoes the id of the request that it answers.  Bytes that it
    sends after an answer may look like another answer, which then has no
    id or that of another request.
    """

    def accept(exchange):
        return exchange.header(messages.REQUEST_ID) == request_id

    return accept


class ServerAnswer:
    """The answer of a server, whose errors are raised as typed errors.

    All other errors in passing it on are the node's own.

    :param exchange: an ``Exchange`` that has read the head.
    """

    def __init__(self, exchange):
        self._exchange = exchange
        self.status = exchange.status
        self.headers = exchange.headers

    @property
    def phase(self):
        """Get the ``Phase`` of the exchange."""
        return self._exchange.phase

    async def read_some(self):
        """Read a part of the body, as ``Exchange.read_some``.

        :raises AnswerTruncated: if the connection fails.
        """
        try:
            return await self._exchange.read_some()
        except _http.STREAM_ERRORS as exc:
            raise _to_typed_error(_http.Phase.ANSWERING, exc) from exc

    async def read_body(self, limit_bytes, account=None):
        """Read the whole body, as ``Exchange.read_body``.

        :raises AnswerTruncated: if the connection fails, or the body is too
            large.
        """
        try:
            return await _http_client.read_body(self, limit_bytes, account)
        except _http.AnswerTooLarge as exc:
            raise _to_typed_error(_http.Phase.ANSWERING, exc) from exc


def _set_keep_alive(exchange):
    stated_s = messages.keep_alive_s(exchange)
    if stated_s is None:
        exchange.keep_s = KEEP_ALIVE_DEFAULT_S
    else:
        exchange.keep_s = KEEP_ALIVE_SHARE * stated_s


def _check_response(exchange):
    success = 200 <= exchange.status < 300
    if success and not exchange.header(messages.STAMP):
        raise exceptions.AnswerMismatch("a success without a signature")
    if exchange.header("content-encoding"):
        raise exceptions.AnswerMismatch("an encoding nobody asked for")


def check_no_false_promise(status):
    """Check that a status does not promise what its server did not state.

    :param status: of an answer that does not state that the request was
        not run.
    :raises OutcomeUnknown: if the caller would take it for that statement.
    """
    if status in messages.PROMISE_STATUSES:
        raise exceptions.OutcomeUnknown(f"status {status}")


@dataclasses.dataclass(slots=True)
class _SendTrace:
    """The progress of one send, for errors and logs.

    :param phase: the furthest ``Phase`` that is certain.
    :param limit_per_s: the limit that the server named, None for none.
    :param exchange: the ``Exchange``, None before there is a connection.
    :param conclusion: ``answered``, ``cancelled`` or an error's code.
    :param relay: name and peer address of the node that sends it, None if
        this one does.
    """

    started_s: float
    phase: _http.Phase = _http.Phase.CONNECTING
    exchange: object = None
    limit_per_s: float | None = None
    conclusion: str = "cancelled"
    relay: tuple | None = None

    def connection_fields(self, now_s):
        """Describe the connection and the answer for a log line."""
        exchange = self.exchange
        relay = self.relay[0] if self.relay else ""
        if exchange is None:
            return {"phase": self.phase.name, "relay": relay}
        return {
            "relay": relay,
            "phase": exchange.phase.name,
            "status": exchange.status,
            "limit_per_s": self.limit_per_s,
            "connection_uses": exchange.history.exchanges,
            "connection_age_s": round(now_s - exchange.history.opened_s, 4),
        }


class UpstreamClient:
    """Sends requests to servers.

    :param client: an ``HttpClient``.
    :param report_client: an ``HttpClient`` that keeps no connections.
    :param relays: the node's ``RelayClient``.
    :param limits: the node's ``ServerLimits`` of requests.
    :param refusals: the node's ``ServerLimits`` of refusals.
    :param states: the node's ``ServerStates``.
    :param reach: the node's ``Reach``.
    :param now: closure that reads the clock.
    :param count: ``(counter, reason)``.
    """

    def __init__(
        self,
        client,
        report_client,
        relays,
        limits,
        refusals,
        states,
        reach,
        now,
        count,
    ):
        self._client = client
        self._run_reports = _dropped_runs.RunReports(report_client)
        self._relays = relays
        self._limits = limits
        self._refusals = refusals
        self._states = states
        self._reach = reach
        self._now = now
        self._count = count

    async def fetch(self, server, request, timeout_s, account):
        """Send a request and read the complete answer.

        :param account: a ``_held_memory.Account`` for its body.
        :returns: an ``UpstreamResponse``.
        :raises EndpointNotRun: if the server states that it did not run the
            request.
        :raises EndpointUnreachable: if nothing was sent.
        :raises TooManyConnections: if nothing was sent, since this process
            had no descriptor for a connection.
        :raises EndpointSilent: if the time ran out after it was sent.
        :raises OutcomeUnknown: if the connection failed before an answer.
        :raises AnswerTruncated: if the connection failed within the answer.
        :raises AnswerMismatch: if the answer is not acceptable.
        """
        responses = []

        async def on_response(answer):
            body = await answer.read_body(BODY_BYTES_MAX, account)
            headers = messages.answer_headers(answer.headers)
            responses.append(
                UpstreamResponse(answer.status, tuple(headers), body)
            )

        await self.send(server, request, timeout_s, on_response)
        return responses[0]

    async def send(
        self, server, request, timeout_s, on_response, may_relay=True
    ):
        """Send a request and pass the answer on while it arrives.

        :param on_response: ``async (answer)``, called with a
            ``ServerAnswer`` when the head has been read and checked.
        :param may_relay: whether it may be sent through another node.
        """
        trace = _SendTrace(self._now())
        if may_relay:
            trace.relay = self._relays.choose(server.name)
        try:
            await self._send_once(
                server, request, timeout_s, on_response, trace
            )
        except exceptions.ColtsfootsailError as exc:
            trace.conclusion = exc.code
            raise
        except Exception:
            trace.conclusion = exceptions.UnexpectedError.code
            raise
        finally:
            with self._contained(server, request):
                self._record_end(server, request, trace)

    def _contained(self, server, request):
        """Contain the errors of notes about a server."""
        return _tasks.contained(self._count, request.request_id, server.name)

    async def _send_once(self, server, request, timeout_s, on_response, trace):
        exchange = self._relay if trace.relay else self._exchange
        try:
            with trio.move_on_after(timeout_s) as scope:
                await exchange(server, request, on_response, trace)
        except (*_http.STREAM_ERRORS, trio.TooSlowError) as exc:
            if trace.phase is _http.Phase.ANSWERING:
                raise  # the server's are typed where they are read
            raise _to_typed_error(trace.phase, exc) from exc
        if scope.cancelled_caught:
            raise _to_typed_error(trace.phase, trio.TooSlowError())

    async def _exchange(self, server, request, on_response, trace):
        async with self._client.exchange(
            server.address, request_id=request.request_id
        ) as exchange:
            trace.exchange = exchange
            trace.phase = _http.Phase.SENDING
            sent_s = self._now()
            with self._contained(server, request):
                self._reach.note_sent(server.name)
            await exchange.request(
                request.method,
                request.target,
                request.headers,
                request.body,
                _make_response_check(request.request_id),
            )
            trace.phase = _http.Phase.ANSWERING
            with self._contained(server, request):
                _set_keep_alive(exchange)
                self._note_statements(server, exchange, sent_s, trace)
            answer = ServerAnswer(exchange)
            if messages.was_not_run(exchange):
                # The head says all, whether or not the rest arrives.
                with contextlib.suppress(
                    _http.AnswerTooLarge, exceptions.AnswerTruncated
                ):
                    await _http_client.read_body(
                        answer, NOT_RUN_BODY_BYTES_MAX, None
                    )
                is_full = messages.was_full(exchange)
                raise _NOT_RUN_ERRORS[is_full](f"status {exchange.status}")
            _check_response(exchange)
            await on_response(answer)
            trace.conclusion = "answered"

    async def _relay(self, server, request, on_response, trace):
        """Send a request through another node, which checks the answer."""
        _, address = trace.relay
        async with self._relays.exchange(address) as exchange:
            trace.exchange = exchange
            trace.phase = _http.Phase.SENDING
            await exchange.request(server, request)
            trace.phase = _http.Phase.ANSWERING
            await on_response(ServerAnswer(exchange))
            trace.conclusion = "answered"

    def _note_statements(self, server, exchange, sent_s, trace):
        self._reach.note_contact(server.name)
        statements = messages.read_statements(exchange)
        trace.limit_per_s = statements.limit_per_s
        self._states.note_answer(server.name, statements, exchange.status)
        for limits, name, per_s in (
            (self._limits, messages.SERVER_LIMIT, statements.limit_per_s),
            (
                self._refusals,
                messages.SERVER_BRITTLE,
                statements.refusals_per_s,
            ),
        ):
            # What can't be read shows neither a limit nor the end of one.
            if per_s is not None or not exchange.header(name):
                succeeded = 200 <= exchange.status < 300
                limits.note_answer(server.name, per_s, sent_s, succeeded)

    async def wait_until_dropped(self, server, request_id, is_registered):
        """Wait until an engine has dropped a request that it was sent."""
        await self._run_reports.wait_until_dropped(
            server, request_id, is_registered
        )

    async def find_contact(self, server):
        """Find how an engine answers the question what it runs.

        :returns: a ``_dropped_runs.Contact``.
        """
        return await self._run_reports.find_contact(server)

    def _record_end(self, server, request, trace):
        self._count("sends", trace.conclusion)
        now_s = self._now()
        _logs.detail(
            "send_ended",
            id=request.request_id,
            server=server.name,
            conclusion=trace.conclusion,
            after_s=round(now_s - trace.started_s, 4),
            **trace.connection_fields(now_s),
        )


def was_silent(exc):
    """Tell whether a server only said nothing for a while.

    :param exc: the typed error of a send to it, which is also raised when
        what was sent stays unacknowledged for too long.
    """
    if isinstance(exc, exceptions.EndpointSilent):
        return True
    broken = exc.__cause__
    return broken is not None and isinstance(broken.__cause__, TimeoutError)


def _to_typed_error(phase, exc):
    text = f"{type(exc).__name__}: {exc}"
    if phase is _http.Phase.CONNECTING:
        if isinstance(exc, OSError) and _net.is_shortage(exc):
            return exceptions.TooManyConnections(text)
        return exceptions.EndpointUnreachable(text)
    if isinstance(exc, trio.TooSlowError):
        return exceptions.EndpointSilent(text)
    if phase is _http.Phase.ANSWERING:
        return exceptions.AnswerTruncated(text)
    return exceptions.OutcomeUnknown(text)
