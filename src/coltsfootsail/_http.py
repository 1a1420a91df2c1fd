"""HTTP/1.1 over trio streams: a server and a pooled client, by h11.

The client knows how far an exchange got (``Phase``), since that decides
what may be said of a request whose connection failed.
"""

import collections
import contextlib
import dataclasses
import enum
import json
import select

import h11
import trio

from coltsfootsail import _tasks
from coltsfootsail import exceptions

RECEIVE_BYTES = 65536
VERSIONS = (b"1.0", b"1.1")
POOL_IDLE_MAX = 64
POOL_IDLE_S = 20.0
STREAM_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.BusyResourceError,
    h11.ProtocolError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpLimits:
    """What a server takes from one connection.

    Sizes are in bytes, times in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 1_048_576
    read_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    write_timeout_s: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """One received request; header names are lower case."""

    method: str
    target: str
    headers: tuple
    body: bytes

    def header(self, name, default=""):
        """Get a header's first value.

        :param name: lower-case header name.
        :param default: what to return when it is absent.
        :returns: the value as text.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return default

    @property
    def path(self):
        """The target without its query string."""
        return self.target.partition("?")[0]

    @property
    def query(self):
        """The query string, still quoted."""
        return self.target.partition("?")[2]

    def json(self):
        """Decode the body as a JSON object.

        :returns: a dict.
        :raises BadJson: if it is anything else.
        """
        try:
            value = json.loads(self.body)
        except (ValueError, RecursionError) as exc:
            raise exceptions.BadJson(f"body is not JSON: {exc}") from exc
        if not isinstance(value, dict):
            raise exceptions.BadJson("body is not a JSON object")
        return value


class Phase(enum.IntEnum):
    """How far an exchange with a server has got."""

    CONNECTING = 0
    SENDING = 1
    SENT = 2
    ANSWERING = 3
    DONE = 4


class Responder:
    """Sends the answer to one request on a server connection."""

    def __init__(self, conn, stream, limits):
        self._conn = conn
        self.stream = stream
        self._limits = limits
        self.status = None
        self.ended = False

    async def _send(self, *events):
        data = b"".join(self._conn.send(event) or b"" for event in events)
        with trio.fail_after(self._limits.write_timeout_s):
            await self.stream.send_all(data)

    async def start(self, status, headers=()):
        """Send the head of an answer of unknown length."""
        self.status = status
        await self._send(
            h11.Response(status_code=status, headers=list(headers))
        )

    async def write(self, data):
        """Send a part of the body."""
        await self._send(h11.Data(data=data))

    async def write_unbounded(self, data):
        """Send a part of the body; the caller bounds the time."""
        await self.stream.send_all(self._conn.send(h11.Data(data=data)))

    async def end(self):
        """Mark the answer as whole."""
        self.ended = True
        await self._send(h11.EndOfMessage())

    async def reply(self, status, body, headers=()):
        """Send a whole answer in one write.

        :param status: HTTP status code.
        :param body: bytes.
        :param headers: pairs; the length is added.
        """
        self.status = status
        self.ended = True
        fields = [*headers, ("content-length", str(len(body)))]
        await self._send(
            h11.Response(status_code=status, headers=fields),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )

    async def reply_json(self, value, status=200, headers=()):
        """Send a value as JSON."""
        body = json.dumps(value, ensure_ascii=False).encode()
        fields = [("content-type", "application/json"), *headers]
        await self.reply(status, body, fields)

    async def wait_hangup(self):
        """Return when the caller has closed its side of the stream."""
        while True:
            try:
                data = await self.stream.receive_some(RECEIVE_BYTES)
            except STREAM_ERRORS:
                return
            if not data:
                return
            self._conn.receive_data(data)
            if len(self._conn.trailing_data[0]) > self._limits.header_bytes:
                await trio.sleep_forever()


def error_json(exc):
    """Describe an error to a caller.

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
    """Tell the caller when to come back, where that is known.

    :param exc: a ``ColtsfootsailError``.
    :returns: list of header pairs.
    """
    if exc.retry_after_s is None:
        return []
    return [("retry-after", str(max(1, round(exc.retry_after_s))))]


async def _next_event(conn, stream):
    while True:
        event = conn.next_event()
        if event is not h11.NEED_DATA:
            return event
        if conn.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await stream.send_all(conn.send(go_on))
        conn.receive_data(await stream.receive_some(RECEIVE_BYTES))


def _text_headers(headers):
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in headers
    )


async def _read_body(conn, stream, limits):
    chunks = []
    size = 0
    while True:
        event = await _next_event(conn, stream)
        if isinstance(event, h11.EndOfMessage):
            return b"".join(chunks)
        if not isinstance(event, h11.Data):
            raise exceptions.BadHttp("connection ended inside the body")
        size += len(event.data)
        if size > limits.body_bytes:
            raise exceptions.BodyTooLarge(f"limit {limits.body_bytes} bytes")
        chunks.append(bytes(event.data))


def _check_head(event, headers, limits):
    """Refuse what h11 lets pass: other versions and large headers.

    h11 bounds a header only while it is incomplete.
    """
    if event.http_version not in VERSIONS:
        raise exceptions.BadHttp("not HTTP/1.0 or HTTP/1.1")
    size = len(event.target)
    size += sum(len(name) + len(value) + 4 for name, value in headers)
    if size > limits.header_bytes:
        raise exceptions.HeaderTooLarge()
    for name, value in headers:
        if name == "content-length" and int(value) > limits.body_bytes:
            raise exceptions.BodyTooLarge(f"limit {limits.body_bytes} bytes")


async def _read_request(conn, stream, limits):
    """Read one request, or return None when the caller has closed."""
    with trio.move_on_after(limits.idle_timeout_s):
        while conn.trailing_data == (b"", False):
            if conn.their_state is not h11.IDLE:
                break
            data = await stream.receive_some(RECEIVE_BYTES)
            conn.receive_data(data)
    if conn.trailing_data == (b"", False):
        return None
    try:
        with trio.fail_after(limits.read_timeout_s):
            event = await _next_event(conn, stream)
            if not isinstance(event, h11.Request):
                return None
            headers = _text_headers(event.headers)
            _check_head(event, headers, limits)
            body = await _read_body(conn, stream, limits)
    except trio.TooSlowError as exc:
        raise exceptions.RequestTimeout() from exc
    except h11.RemoteProtocolError as exc:
        if exc.error_status_hint == 431:
            raise exceptions.HeaderTooLarge() from exc
        raise exceptions.BadHttp(str(exc)) from exc
    return HttpRequest(
        method=event.method.decode("ascii"),
        target=event.target.decode("latin-1"),
        headers=headers,
        body=body,
    )


async def _answer_error(conn, resp, exc):
    if resp.status is not None:
        return
    if conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    headers = [*error_headers(exc), ("connection", "close")]
    await resp.reply_json(error_json(exc), exc.status, headers)


async def serve_connection(stream, limits, handler, on_error=None):
    """Serve requests on one connection until it ends.

    :param stream: a ``trio.abc.Stream``.
    :param limits: ``HttpLimits``, or a closure that returns those in
        force, asked before each request.
    :param handler: ``async (HttpRequest, Responder)``; a typed error that
        it raises before the answer starts is sent as JSON.
    :param on_error: called with each typed error met before the handler.
    """
    current = limits if callable(limits) else lambda: limits

    async def guarded(req, resp):
        try:
            await handler(req, resp)
        except exceptions.ColtsfootsailError as exc:
            if resp.status is not None:
                return
            await resp.reply_json(
                error_json(exc), exc.status, error_headers(exc)
            )

    conn = h11.Connection(
        h11.SERVER, max_incomplete_event_size=current().header_bytes
    )
    with contextlib.suppress(*STREAM_ERRORS, trio.TooSlowError):
        going = True
        while going:
            going = await _serve_one(
                conn, stream, current(), guarded, on_error
            )


async def _serve_one(conn, stream, limits, handler, on_error):
    resp = Responder(conn, stream, limits)
    try:
        req = await _read_request(conn, stream, limits)
    except exceptions.ColtsfootsailError as exc:
        if on_error is not None:
            on_error(exc)
        await _answer_error(conn, resp, exc)
        return False
    if req is None:
        return False
    await handler(req, resp)
    done = resp.ended and conn.our_state is h11.DONE
    if not done or conn.their_state is not h11.DONE:
        return False
    conn.start_next_cycle()
    return True


class Exchange:
    """One request to a server and its answer.

    Use as ``async with client.exchange(...) as exchange``; leaving the
    block before ``phase`` is ``DONE`` closes the connection.
    """

    def __init__(self, stream, conn):
        self.phase = Phase.CONNECTING
        self.status = None
        self.headers = ()
        self.keep_s = POOL_IDLE_S
        self._stream = stream
        self._conn = conn
        self._drained = False
        self._sent_part = False

    def header(self, name, default=""):
        """Get a header of the answer by its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    async def send(self, method, target, headers, body):
        """Send the whole request."""
        self.phase = Phase.SENDING
        await self._stream.send_all(
            _encode_request(self._conn, method, target, headers, body)
        )
        self.phase = Phase.SENT

    async def request(self, method, target, headers, body, accept):
        """Send a request and wait for the head of its answer.

        A server may answer before it has read the whole body; what is
        left of the body is then not sent and the connection not kept.

        :param accept: ``(exchange) -> bool``, whether the head read is
            that of this request; others are read and dropped.
        :returns: the status code.
        :raises h11.RemoteProtocolError: if there is no answer.
        """
        data = _encode_request(self._conn, method, target, headers, body)
        self.phase = Phase.SENDING

        async def read():
            status = await self.read_head()
            while not accept(self):
                await self._skip(method, target, headers, body)
                status = await self.read_head()
            return status

        return await _tasks.beside(self._send_part, read, data)

    async def _send_part(self, data):
        self._sent_part = True
        try:
            await self._stream.send_all(data)
        except STREAM_ERRORS:
            # The server may have answered before it closed its side.
            return
        self._sent_part = False
        self.phase = max(self.phase, Phase.SENT)

    async def _skip(self, method, target, headers, body):
        """Drop an answer that belongs to an earlier request."""
        while self.phase is not Phase.DONE:
            await self.read_some()
        rest = self._conn.trailing_data[0]
        self._conn = h11.Connection(h11.CLIENT)
        _encode_request(self._conn, method, target, headers, body)
        if rest:
            self._conn.receive_data(rest)
        self._drained = False
        self.phase = Phase.SENT

    async def read_head(self):
        """Wait for the status and headers of the answer.

        :returns: the status code.
        :raises h11.RemoteProtocolError: if the connection ended instead.
        """
        event = await _next_event(self._conn, self._stream)
        while isinstance(event, h11.InformationalResponse):
            event = await _next_event(self._conn, self._stream)
        if not isinstance(event, h11.Response):
            raise h11.RemoteProtocolError("no answer")
        self.phase = Phase.ANSWERING
        self.status = event.status_code
        self.headers = _text_headers(event.headers)
        return self.status

    async def read_some(self):
        """Read what has arrived of the body.

        :returns: bytes, as many as one read brought; empty at the end.
        """
        conn = self._conn
        if self._drained:
            conn.receive_data(await self._stream.receive_some(RECEIVE_BYTES))
        event = await _next_event(conn, self._stream)
        parts = []
        while isinstance(event, h11.Data):
            parts.append(event.data)
            event = conn.next_event()
        self._drained = event is h11.NEED_DATA
        if isinstance(event, h11.EndOfMessage):
            self.phase = Phase.DONE
        elif not self._drained:
            raise h11.RemoteProtocolError("answer broke off")
        return parts[0] if len(parts) == 1 else b"".join(parts)

    async def read_body(self, limit_bytes):
        """Read the whole body.

        :param limit_bytes: the largest body to take.
        :raises h11.RemoteProtocolError: if it breaks off or is larger.
        """
        parts = []
        size = 0
        while self.phase is not Phase.DONE:
            data = await self.read_some()
            size += len(data)
            if size > limit_bytes:
                raise h11.RemoteProtocolError("answer too large")
            parts.append(data)
        return b"".join(parts)

    def connection(self):
        """Get the stream and its protocol state, to keep them."""
        return self._stream, self._conn

    def reusable(self):
        """Say whether the connection can carry another exchange."""
        return (
            self.phase is Phase.DONE
            and not self._sent_part
            and self._conn.trailing_data == (b"", False)
            and self._conn.our_state is h11.DONE
            and self._conn.their_state is h11.DONE
        )


def _encode_request(conn, method, target, headers, body):
    """Encode a request; a GET without a body states no length."""
    fields = list(headers)
    if body or method not in ("GET", "HEAD", "DELETE"):
        fields.append(("content-length", str(len(body))))
    req = h11.Request(method=method, target=target, headers=fields)
    parts = [conn.send(req)]
    if body:
        parts.append(conn.send(h11.Data(data=body)))
    parts.append(conn.send(h11.EndOfMessage()))
    return b"".join(parts)


def _has_input(stream):
    """Say whether bytes or the end wait on a connection nobody reads."""
    sock = getattr(stream, "socket", None)
    if sock is None:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN | select.POLLHUP)
    return bool(poll.poll(0))


@dataclasses.dataclass(slots=True)
class _Idle:
    stream: object
    conn: h11.Connection
    until_s: float


class HttpClient:
    """A client that keeps idle connections by address.

    :param network: a ``Network``.
    :param wrap: ``async (stream, address) -> stream`` to add TLS, or
        None.
    :param idle_max: idle connections kept to one address.
    :param total: ``(address) -> int``, connections to one address, in use
        and idle, beyond which none is kept; None for no such bound.
    """

    def __init__(self, network, wrap=None, idle_max=POOL_IDLE_MAX, total=None):
        self._network = network
        self._wrap = wrap
        self._idle_max = idle_max
        self._total = total
        self._idle = {}
        self._used = collections.Counter()

    async def _connect(self, address, fresh):
        idle = self._idle.get(address, [])
        while idle and not fresh:
            found = idle.pop()
            fits = self._network.now() < found.until_s
            if fits and not _has_input(found.stream):
                found.conn.start_next_cycle()
                return found.stream, found.conn
            await trio.aclose_forcefully(found.stream)
        stream = await self._network.open_stream(address)
        if self._wrap is not None:
            stream = await self._wrap(stream, address)
        return stream, h11.Connection(h11.CLIENT)

    def _keep(self, address, exchange):
        idle = self._idle.setdefault(address, [])
        if len(idle) >= self._idle_max or self._is_full(address):
            return False
        until_s = self._network.now() + exchange.keep_s
        idle.append(_Idle(*exchange.connection(), until_s))
        return True

    def _is_full(self, address):
        """Say whether idle connections must give way to those in use."""
        if self._total is None:
            return False
        count = self._used[address] + len(self._idle.get(address, ()))
        return count > self._total(address)

    async def forget(self, address):
        """Close the idle connections to an address."""
        for found in self._idle.pop(address, []):
            await trio.aclose_forcefully(found.stream)

    @contextlib.asynccontextmanager
    async def exchange(self, address, *, fresh=False):
        """Open an exchange with the server at an address.

        :param address: ``"ip:port"``.
        :param fresh: do not use a kept connection.
        :raises OSError: if no connection can be made.
        """
        self._used[address] += 1
        try:
            stream, conn = await self._connect(address, fresh)
            exchange = Exchange(stream, conn)
            try:
                yield exchange
            finally:
                kept = exchange.reusable() and self._keep(address, exchange)
                if not kept:
                    await trio.aclose_forcefully(stream)
        finally:
            self._release(address)

    def _release(self, address):
        self._used[address] -= 1
        if not self._used[address]:
            del self._used[address]

    async def call(
        self,
        address,
        method,
        target,
        *,
        headers=(),
        body=b"",
        timeout_s=5.0,
        limit_bytes=16_777_216,
        fresh=False,
    ):
        """Make a whole request and read a whole answer.

        A failure drops the kept connections to the address, since they
        may have failed with it; a GET is then repeated once on a new one.

        :returns: tuple of status, headers and body.
        :raises OSError: for any failure of the connection or time.
        """
        fields = [("host", address), *headers]
        req = (method, target, fields, body)
        kept = bool(self._idle.get(address)) and not fresh
        try:
            return await self._call_once(
                address, req, timeout_s, limit_bytes, fresh
            )
        except OSError:
            await self.forget(address)
            if not kept or method != "GET":
                raise
        return await self._call_once(
            address, req, timeout_s, limit_bytes, True
        )

    async def _call_once(self, address, req, timeout_s, limit_bytes, fresh):
        name = f"{req[0]} {req[1]}"
        try:
            with trio.fail_after(timeout_s):
                async with self.exchange(address, fresh=fresh) as exchange:
                    await exchange.send(*req)
                    status = await exchange.read_head()
                    answer = await exchange.read_body(limit_bytes)
                    return status, exchange.headers, answer
        except trio.TooSlowError as exc:
            raise TimeoutError(name) from exc
        except OSError:
            raise
        except STREAM_ERRORS as exc:
            raise ConnectionError(f"{name}: {exc}") from exc

    async def call_json(self, address, method, target, value=None, **kwargs):
        """Make a call with a JSON body and decode a JSON answer.

        :returns: tuple of status and value.
        :raises OSError: for any failure, an undecodable answer included.
        """
        body = b"" if value is None else json.dumps(value).encode()
        status, _, answer = await self.call(
            address, method, target, body=body, **kwargs
        )
        try:
            return status, json.loads(answer) if answer else None
        except ValueError as exc:
            raise ConnectionError(f"{target}: answer is not JSON") from exc
