"""One exchange with a server: what was sent, what came back, what is true.

An answer counts only if it bears the request's own id and, where it is a
success, the server's signature; an answer to another request on the same
connection is dropped.
"""

import dataclasses

import trio

from coltsfootsail import _http
from coltsfootsail import exceptions
from coltsfootsail.platform import messages

BODY_BYTES_MAX = 16_777_216
KEEP_ALIVE_SHARE = 0.6  # of the time that a server says it keeps a connection
KEEP_ALIVE_DEFAULT_S = 0.5  # where the server states no time
EVENT_BYTES_MAX = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request as it goes to a server."""

    method: str
    target: str
    headers: tuple
    body: bytes
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A whole answer of a server."""

    status: int
    headers: tuple
    body: bytes


class EventSplitter:
    """Cuts a stream into whole events and remembers the last id."""

    def __init__(self):
        self._partial = b""
        self.last_id = None

    def feed(self, data):
        """Take bytes.

        :returns: the bytes of whole events, those held before included.
        :raises AnswerMismatch: if an event is too large.
        """
        data = self._partial + data
        end = data.rfind(b"\n\n") + 2
        if end < 2:
            end = 0
        complete, self._partial = data[:end], data[end:]
        if len(self._partial) > EVENT_BYTES_MAX:
            raise exceptions.AnswerMismatch("event too large")
        if complete:
            self._record_last_id(complete)
        return complete

    def _record_last_id(self, complete):
        for line in reversed(complete.split(b"\n")):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                return

    def pending(self):
        """Say whether part of an event is held."""
        return bool(self._partial)


def _make_response_check(request_id):
    """Make the check that an answer is this request's.

    A server echoes the id of what it answers; bytes that it sends beyond
    an answer may look like one, without an id or with another's.
    """

    def accept(exchange):
        return exchange.header(messages.REQUEST_ID) == request_id

    return accept


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


class UpstreamClient:
    """Sends requests to servers.

    :param client: an ``HttpClient``.
    """

    def __init__(self, client):
        self._client = client

    async def fetch(self, server, request, timeout_s):
        """Send a request and read the whole answer.

        :returns: an ``UpstreamResponse``.
        :raises EndpointNotRun: if the server did not run it.
        :raises EndpointUnreachable: if nothing was sent.
        :raises EndpointSilent: if time ran out after it was sent.
        :raises OutcomeUnknown: if the connection failed after that.
        :raises AnswerTruncated: if the answer broke off.
        """
        responses = []

        async def on_response(exchange):
            body = await exchange.read_body(BODY_BYTES_MAX)
            headers = messages.answer_headers(exchange.headers)
            responses.append(
                UpstreamResponse(exchange.status, tuple(headers), body)
            )

        await self.send(server, request, timeout_s, on_response)
        return responses[0]

    async def send(self, server, request, timeout_s, on_response):
        """Send a request and hand the answer over as it comes.

        :param take: ``async (exchange)``, called once the head was read
            and checked; errors of the connection that it lets through
            are turned into typed ones.
        """
        phase = [_http.Phase.CONNECTING]
        try:
            with trio.fail_after(timeout_s):
                await self._exchange(server, request, on_response, phase)
        except (*_http.STREAM_ERRORS, trio.TooSlowError) as exc:
            raise _to_typed_error(phase[0], exc) from exc

    async def _exchange(self, server, request, on_response, phase):
        async with self._client.exchange(server.address) as exchange:
            phase[0] = _http.Phase.SENDING
            await exchange.request(
                request.method,
                request.target,
                request.headers,
                request.body,
                _make_response_check(request.request_id),
            )
            phase[0] = _http.Phase.ANSWERING
            _set_keep_alive(exchange)
            if messages.was_not_run(exchange):
                await exchange.read_body(BODY_BYTES_MAX)
                raise exceptions.EndpointNotRun(exchange.status)
            _check_response(exchange)
            await on_response(exchange)


def _to_typed_error(phase, exc):
    text = f"{type(exc).__name__}: {exc}"
    if phase is _http.Phase.CONNECTING:
        return exceptions.EndpointUnreachable(text)
    if isinstance(exc, trio.TooSlowError):
        return exceptions.EndpointSilent(text)
    if phase is _http.Phase.ANSWERING:
        return exceptions.AnswerTruncated(text)
    return exceptions.OutcomeUnknown(text)
