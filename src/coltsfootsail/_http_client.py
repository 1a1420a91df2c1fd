"""A pooled client of HTTP/1.1 over trio streams, by h11.

It knows how far an exchange got (``Phase``), since that decides what may
be said of a request whose connection failed.
"""

import collections
import contextlib
import dataclasses
import json
import select

import h11
import trio

from coltsfootsail import _http_messages
from coltsfootsail import _tasks

POOL_IDLE_MAX = 64
POOL_IDLE_S = 20.0


class Exchange:
    """One request to a server and its answer.

    Use as ``async with client.exchange(...) as exchange``; leaving the
    block before ``phase`` is ``DONE`` closes the connection.
    """

    def __init__(self, stream, conn):
        self.phase = _http_messages.Phase.CONNECTING
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
        self.phase = _http_messages.Phase.SENDING
        await self._stream.send_all(
            _encode_request(self._conn, method, target, headers, body)
        )
        self.phase = _http_messages.Phase.SENT

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
        self.phase = _http_messages.Phase.SENDING

        async def read():
            status = await self.read_head()
            while not accept(self):
                await self._skip(method, target, headers, body)
                status = await self.read_head()
            return status

        return await _tasks.run_with_background(self._send_part, read, data)

    async def _send_part(self, data):
        self._sent_part = True
        try:
            await self._stream.send_all(data)
        except _http_messages.STREAM_ERRORS:
            # The server may have answered before it closed its side.
            return
        self._sent_part = False
        self.phase = max(self.phase, _http_messages.Phase.SENT)

    async def _skip(self, method, target, headers, body):
        """Drop an answer that belongs to an earlier request."""
        while self.phase is not _http_messages.Phase.DONE:
            await self.read_some()
        rest = self._conn.trailing_data[0]
        self._conn = h11.Connection(h11.CLIENT)
        _encode_request(self._conn, method, target, headers, body)
        if rest:
            self._conn.receive_data(rest)
        self._drained = False
        self.phase = _http_messages.Phase.SENT

    async def read_head(self):
        """Wait for the status and headers of the answer.

        :returns: the status code.
        :raises h11.RemoteProtocolError: if the connection ended instead.
        """
        event = await _http_messages.next_event(self._conn, self._stream)
        while isinstance(event, h11.InformationalResponse):
            event = await _http_messages.next_event(self._conn, self._stream)
        if not isinstance(event, h11.Response):
            raise h11.RemoteProtocolError("no answer")
        self.phase = _http_messages.Phase.ANSWERING
        self.status = event.status_code
        self.headers = _http_messages.text_headers(event.headers)
        return self.status

    async def read_some(self):
        """Read what has arrived of the body.

        :returns: bytes, as many as one read brought; empty at the end.
        """
        conn = self._conn
        if self._drained:
            conn.receive_data(
                await self._stream.receive_some(_http_messages.RECEIVE_BYTES)
            )
        event = await _http_messages.next_event(conn, self._stream)
        parts = []
        while isinstance(event, h11.Data):
            parts.append(event.data)
            event = conn.next_event()
        self._drained = event is h11.NEED_DATA
        if isinstance(event, h11.EndOfMessage):
            self.phase = _http_messages.Phase.DONE
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
        while self.phase is not _http_messages.Phase.DONE:
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
            self.phase is _http_messages.Phase.DONE
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
        except _http_messages.STREAM_ERRORS as exc:
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
