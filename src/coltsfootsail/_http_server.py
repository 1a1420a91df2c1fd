"""The server side of HTTP/1.1 on trio streams, using h11."""

import contextlib
import itertools
import json
import math

import h11
import trio

from coltsfootsail import _held_memory
from coltsfootsail import _http_messages
from coltsfootsail import _net
from coltsfootsail import exceptions

VERSIONS = (b"1.0", b"1.1")
# A caller that is refused may still be sending; closing at once would reset
# the connection before it has read the answer.
LINGER_S = 1.0
LINGER_BYTES = 4_194_304
NEXT_BYTES = 4096  # read behind a request under way
# A body has this many chunks of any size; more are of a mean size.
SMALL_CHUNKS_MAX = 256
CHUNK_MEAN_BYTES = 256
# A timer that runs out this late shows that the process was paused.
PAUSE_MIN_S = 0.1
AFTER_PAUSE_S = 0.5  # in which bytes that arrived during a pause are read
# By whether the answer has no body.
_LAST_REQUESTS = {
    False: b"GET / HTTP/1.1\r\nhost: -\r\nconnection: close\r\n\r\n",
    True: b"HEAD / HTTP/1.1\r\nhost: -\r\nconnection: close\r\n\r\n",
}


@contextlib.contextmanager
def _caller_errors():
    """Raise ``CallerGone`` for errors of the caller's connection."""
    try:
        yield
    except (
        OSError,
        trio.BrokenResourceError,
        trio.ClosedResourceError,
        trio.TooSlowError,
    ) as exc:
        raise exceptions.CallerGone(repr(exc)) from exc


def _make_head(status, headers):
    fields = _http_messages.byte_headers(headers)
    return h11.Response(status_code=status, headers=fields)


class Responder:
    """Sends the answer to one request on a server connection.

    Errors of the connection are raised as ``CallerGone``.

    ``status`` is that of the answer once a part of it may have been sent,
    None before; ``ended`` is set once all of it was.  ``method`` is that of
    the request, empty until it was read, ``request_headers`` its headers.
    ``has_hung_up`` tells whether the caller was seen to send no more.

    :param unread: the connection's ``UnreadAllowance``.
    """

    def __init__(self, conn, stream, limits, unread):
        self._conn = conn
        self.stream = stream
        self._limits = limits
        self._unread = unread
        self.method = ""
        self.request_headers = ()
        self.status = None
        self.ended = False
        self.has_hung_up = False

    def _encode(self, *events):
        """Encode parts of an answer.

        :returns: list of what to send.
        :raises h11.LocalProtocolError: if that makes no valid answer; if
            none has begun, another one can be sent in its place.
        """
        try:
            parts = []
            for event in events:
                parts += self._conn.send_with_data_passthrough(event)
            return _http_messages.join_small(parts)
        except h11.LocalProtocolError:
            if self.status is None:
                self._conn = _expect_last_answer(self.method)
            raise

    async def _send(self, parts):
        with (
            _caller_errors(),
            trio.fail_after(self._limits.write_timeout_s),
        ):
            await self._send_parts(parts)

    async def _send_parts(self, parts):
        self._unread.note_sending(sum(map(len, parts)))
        for part in parts:
            await self.stream.send_all(part)

    async def start(self, status, headers=()):
        """Send the head of an answer whose length is not known yet."""
        parts = self._encode(_make_head(status, headers))
        self.status = status
        with _caller_errors():
            self._set_complete(False)
        await self._send(parts)

    def _set_complete(self, is_complete):
        """Let the connection end as the answer does.

        To a caller of HTTP/1.0 the end of the connection ends the answer, so
        that a connection with an incomplete one is reset.
        """
        if self._conn.their_http_version == b"1.0":
            _net.set_reset_on_close(self.stream, not is_complete)

    async def write(self, data):
        """Send a part of the body."""
        await self._send(self._encode(h11.Data(data=data)))

    async def write_unbounded(self, data):
        """Send a part of the body without a time limit of its own."""
        with _caller_errors():
            await self._send_parts(self._encode(h11.Data(data=data)))

    async def end(self):
        """Mark the end of a complete answer."""
        await self._send(self._encode(h11.EndOfMessage()))
        self.ended = True
        with _caller_errors():
            self._set_complete(True)

    async def reply(self, status, body, headers=()):
        """Send a complete answer.

        :param status: HTTP status code.
        :param body: bytes, which are left out of an answer to ``HEAD``.
        :param headers: pairs; the content length is added.
        """
        fields = [*headers, ("content-length", str(len(body)))]
        parts = self._encode(
            _make_head(status, fields),
            h11.Data(data=b"" if self.method == "HEAD" else body),
            h11.EndOfMessage(),
        )
        self.status = status
        await self._send(parts)
        self.ended = True

    async def reply_json(self, value, status=200, headers=()):
        """Send a value as JSON."""
        body = json.dumps(value, ensure_ascii=False).encode()
        fields = [("content-type", "application/json"), *headers]
        await self.reply(status, body, fields)

    def has_next(self):
        """Tell whether a further request of this caller has begun."""
        return bool(self._conn.trailing_data[0]) and not self.has_hung_up

    def may_answer(self):
        """Tell whether the protocol allows an answer now."""
        return self._conn.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    async def wait_hangup(self):
        """Wait until the caller closes its side of the stream.

        If the caller sends more than ``NEXT_BYTES`` meanwhile, this stops
        reading, to bound the buffer, and no longer detects the close.
        """
        while True:
            try:
                data = await self.stream.receive_some(NEXT_BYTES)
            except _http_messages.STREAM_ERRORS:
                return
            if not data:
                self.has_hung_up = True
                return
            self._conn.receive_data(data)
            if len(self._conn.trailing_data[0]) > NEXT_BYTES:
                await trio.sleep_forever()


def _expect_last_answer(method):
    """Make a protocol state for the answer to a request that was read.

    :param method: of the request; the connection ends with the answer.
    """
    conn = h11.Connection(h11.SERVER)
    is_head = method == "HEAD"
    conn.receive_data(_LAST_REQUESTS[is_head])
    while not isinstance(conn.next_event(), h11.EndOfMessage):
        pass
    return conn


def error_json(exc):
    """Describe an error as the JSON body of an answer.

    :param exc: a ``ColtsfootsailError``.
    :returns: dict with code, status, outcome and message.
    """
    return {
        "error": {
            "code": exc.code,
            "status": exc.status,
            "outcome": str(exc.outcome),
            "message": exc.detail,
        }
    }


def error_headers(exc):
    """Make the ``retry-after`` header if the time of a retry is known.

    :param exc: a ``ColtsfootsailError``.
    :returns: list of header pairs.
    """
    if exc.retry_after_s is None:
        return []
    return [("retry-after", str(max(1, round(exc.retry_after_s))))]


async def _next_event(conn, stream):
    """Get the next h11 event, reading from the stream as needed.

    :param conn: an ``h11.Connection``.
    :param stream: a ``trio.abc.Stream``.
    :returns: an h11 event.
    """
    while True:
        event = conn.next_event()
        if event is not h11.NEED_DATA:
            return event
        if conn.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await stream.send_all(conn.send(continue_response))
        conn.receive_data(
            await stream.receive_some(_http_messages.RECEIVE_BYTES)
        )


async def _read_body(conn, stream, headers, limits, account):
    """Read a body into one buffer.

    :param account: a ``_held_memory.Account``, from which bytes are taken as
        they arrive: a caller that only states a length holds none.
    :raises MemoryFull: if it has no room for a stated length before anything
        is read, or for what arrives.
    """
    size = int(_http_messages.find_header(headers, "content-length", "0"))
    account.require_room(size)
    body = bytearray()
    try:
        await _fill_body(body, conn, stream, limits, account)
    except BaseException:
        # The traceback of the error would keep it.
        body.clear()
        raise
    return body


async def _fill_body(body, conn, stream, limits, account):
    end = 0
    chunks = 0
    for events in itertools.count(1):
        if events % _http_messages.EVENTS_PER_TURN == 0:
            await trio.lowlevel.checkpoint()
        event = await _next_event(conn, stream)
        if isinstance(event, h11.EndOfMessage):
            return
        if not isinstance(event, h11.Data):
            raise exceptions.BadHttp("connection ended inside the body")
        end += len(event.data)
        if end > limits.body_bytes:
            raise exceptions.BodyTooLarge(f"limit {limits.body_bytes} bytes")
        chunks += event.chunk_end
        if (chunks - SMALL_CHUNKS_MAX) * CHUNK_MEAN_BYTES > end:
            raise exceptions.BadHttp("body in too many small chunks")
        account.require(len(event.data))
        body += event.data


def _check_head(event, headers, limits):
    """Refuse other versions, large headers and two lengths.

    h11 accepts these; it limits the size of a header only while the header
    is incomplete.  A body with a length and chunks may end elsewhere for
    another reader (RFC 9112, section 6.1).
    """
    if event.http_version not in VERSIONS:
        raise exceptions.BadHttp("not HTTP/1.0 or HTTP/1.1")
    size = len(event.target)
    size += sum(len(name) + len(value) + 4 for name, value in headers)
    if size > limits.header_bytes:
        raise exceptions.HeaderTooLarge()
    names = {name for name, _ in headers}
    if {"content-length", "transfer-encoding"} <= names:
        raise exceptions.BadHttp("both a length and a transfer coding")
    for name, value in headers:
        if name == "content-length" and int(value) > limits.body_bytes:
            raise exceptions.BodyTooLarge(f"limit {limits.body_bytes} bytes")


async def _receive_first(stream, get_limits):
    """Wait for the first bytes of a request.

    The limits may change meanwhile.

    :returns: the bytes; none if the caller closed the connection or sent
        nothing within ``idle_timeout_s``.
    """
    idle_since_s = trio.current_time()
    while True:
        until_s = idle_since_s + get_limits().idle_timeout_s
        if until_s <= trio.current_time():
            return b""
        with contextlib.suppress(trio.TooSlowError):
            reader = _TimedReader(stream, until_s)
            return await reader.receive_some(_http_messages.RECEIVE_BYTES)


class _TimedReader:
    """A stream from which bytes are read until a point in time.

    After a pause of the process timers may run out before the bytes are seen
    that have arrived meanwhile.  These are read first.
    """

    def __init__(self, stream, until_s):
        self._stream = stream
        self._until_s = until_s
        self._was_paused = False

    async def receive_some(self, max_bytes):
        """Receive bytes.

        :raises TooSlowError: if the time is over.
        """
        while True:
            with trio.move_on_at(self._until_s), _caller_errors():
                return await self._stream.receive_some(max_bytes)
            now_s = trio.current_time()
            if self._was_paused or now_s < self._until_s + PAUSE_MIN_S:
                raise trio.TooSlowError
            self._was_paused = True
            self._until_s = now_s + AFTER_PAUSE_S

    async def send_all(self, data):
        """Send bytes.

        :raises TooSlowError: if the time is over.
        """
        with trio.fail_at(self._until_s), _caller_errors():
            await self._stream.send_all(data)


async def _read_request(conn, resp, limits, account, check):
    """Read one request whose first bytes have been received.

    :param resp: its ``Responder``, which learns its method and headers.
    :param account: a ``_held_memory.Account`` for its body.
    :param check: called once its head was read; raises an error to refuse
        it.
    :returns: an ``HttpRequest``, or None if the caller closed the
        connection.
    """
    until_s = trio.current_time() + limits.read_timeout_s
    reader = _TimedReader(resp.stream, until_s)
    try:
        event = await _next_event(conn, reader)
        if not isinstance(event, h11.Request):
            return None
        resp.method = event.method.decode("ascii")
        if len(event.headers) > _http_messages.HEADERS_MAX:
            raise exceptions.HeaderTooLarge()
        headers = _http_messages.text_headers(event.headers)
        resp.request_headers = headers
        _check_head(event, headers, limits)
        check()
        body = await _read_body(conn, reader, headers, limits, account)
    except trio.TooSlowError as exc:
        raise exceptions.RequestTimeout() from exc
    except h11.RemoteProtocolError as exc:
        # h11 raises it from a frame that refers to it, and so to the request.
        exc.__traceback__ = None
        if exc.error_status_hint == 431:
            raise exceptions.HeaderTooLarge() from exc
        raise exceptions.BadHttp(_http_messages.without_bytes(exc)) from exc
    return _http_messages.HttpRequest(
        method=resp.method,
        target=event.target.decode("latin-1"),
        headers=headers,
        body=body,
    )


async def _linger(stream):
    """Discard what a refused caller still sends, for a bounded time."""
    size_bytes = 0
    with trio.move_on_after(LINGER_S), _caller_errors():
        if isinstance(stream, trio.abc.HalfCloseableStream):
            await stream.send_eof()
        while size_bytes < LINGER_BYTES:
            data = await stream.receive_some(_http_messages.RECEIVE_BYTES)
            if not data:
                return
            size_bytes += len(data)


async def _answer_last(resp, exc):
    """Send an error, unless an answer has begun, and close after it."""
    if resp.status is not None or not resp.may_answer():
        return
    headers = [*error_headers(exc), ("connection", "close")]
    await resp.reply_json(error_json(exc), exc.status, headers)


class _OwnPlace:
    """The place of a connection for which there is always room."""

    waiting = contextlib.nullcontext

    async def admit(self):
        pass

    def check(self):
        pass


_OWN_PLACE = _OwnPlace()


class _Refused(Exception):
    """A request was refused; its caller may still be sending."""


async def serve_connection(
    stream, limits, handler, on_error=None, memory=None, place=_OWN_PLACE
):
    """Serve requests on one connection until it ends.

    :param stream: a ``trio.abc.Stream``.
    :param limits: ``HttpLimits``, or a closure that returns the current
        ones, called before each request.
    :param handler: ``async (HttpRequest, Responder)``; an error that it
        raises before the answer starts is sent as JSON.  ``CallerGone``
        ends the connection; what is no typed error is raised again.
    :param on_error: ``(error, headers)``, called for each typed error that
        occurs before the handler is called, with the headers that were read.
    :param memory: the ``HeldMemory`` from which the bodies of requests are
        taken until they are answered; None bounds each body alone, for
        servers whose callers are the operators or this program.
    :param place: the ``Connection`` that says whether there is room.
    """
    get_limits = limits if callable(limits) else lambda: limits
    on_error = on_error or (lambda exc, headers: None)
    memory = memory or _held_memory.HeldMemory(math.inf)

    async def handle_request(req, resp):
        try:
            await handler(req, resp)
        except exceptions.CallerGone:
            raise
        except exceptions.ColtsfootsailError as exc:
            if resp.status is None:
                await resp.reply_json(
                    error_json(exc), exc.status, error_headers(exc)
                )
        except Exception:
            await _answer_last(resp, exceptions.UnexpectedError())
            raise

    with contextlib.suppress(exceptions.CallerGone):
        received = b""
        unread = _net.UnreadAllowance(stream)
        while received is not None:
            if not received:
                with place.waiting():
                    received = await _receive_first(stream, get_limits)
                # The caller has read the answer before the next request.
                with _caller_errors():
                    unread.note_read()
            if not received:
                return
            await place.admit()
            account = _held_memory.Account(memory, _held_memory.REQUEST)
            is_refused = False
            try:
                received = await _serve_one(
                    received,
                    stream,
                    get_limits(),
                    unread,
                    handle_request,
                    on_error,
                    account,
                    place.check,
                )
            except _Refused:
                received = None
                is_refused = True
            finally:
                account.give_back_all()
            if is_refused:
                # What was read of the request is no longer referred to.
                await _linger(stream)


async def _serve_one(
    received, stream, limits, unread, handler, on_error, account, check
):
    """Serve the request that begins with the bytes received.

    :returns: the bytes received after it, or None if the connection ends.
    :raises _Refused: if an error was answered.
    """
    conn = h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.header_bytes
    )
    conn.receive_data(received)
    resp = Responder(conn, stream, limits, unread)
    try:
        req = await _read_request(conn, resp, limits, account, check)
    except exceptions.CallerGone:
        raise
    except exceptions.ColtsfootsailError as exc:
        # Its frames refer to what was read, and the answer may take time.
        exc.__traceback__ = None
        account.give_back_all()
        on_error(exc, resp.request_headers)
        await _answer_last(resp, exc)
        raise _Refused from None
    except Exception:
        account.give_back_all()
        error = exceptions.ReadFailed()
        on_error(error, resp.request_headers)
        await _answer_last(resp, error)
        raise
    if req is None:
        return None
    await handler(req, resp)
    complete = resp.ended and conn.our_state is h11.DONE
    if resp.has_hung_up or not complete or conn.their_state is not h11.DONE:
        return None
    return conn.trailing_data[0]
