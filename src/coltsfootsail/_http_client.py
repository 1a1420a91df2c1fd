"""HTTP/1.1 client with a connection pool on trio streams, using h11.

The client records the progress of each exchange as a ``Phase``, because it
decides whether a request whose connection failed may have run.
"""

import collections
import contextlib
import dataclasses
import json
import math
import os

import h11
import trio

from coltsfootsail import _descriptors
from coltsfootsail import _http_messages
from coltsfootsail import _net
from coltsfootsail import _tasks

POOL_IDLE_MAX = 64
POOL_IDLE_S = 20.0
ANSWER_HEADER_BYTES = 32768
INFORMATIONAL_MAX = 16  # informational answers before the answer
FOREIGN_ANSWERS_MAX = 4  # answers to other requests before the answer
FOREIGN_BYTES_MAX = 1_048_576  # of their bodies
JSON_VALUES_MAX = 524_288
CONNECTION_REQUESTS_MAX = 100  # bounds the ids that a connection remembers


@dataclasses.dataclass(slots=True)
class ConnectionHistory:
    """What a connection has been used for.

    :param opened_s: when it was opened.
    :param exchanges: how many exchanges have begun on it.
    :param request_ids: ids of the requests that were sent on it.
    """

    opened_s: float
    exchanges: int = 0
    request_ids: set = dataclasses.field(default_factory=set)


class Exchange:
    """One request to a server and its answer.

    Use as ``async with client.exchange(...) as exchange``; leaving the
    block before ``phase`` is ``DONE`` closes the connection.  Set
    ``keep_s`` to change for how many seconds the connection is kept idle.

    :param history: the ``ConnectionHistory``, this exchange included.
    """

    def __init__(self, stream, conn, history):
        self.phase = _http_messages.Phase.CONNECTING
        self.status = None
        self.headers = ()
        self.keep_s = POOL_IDLE_S
        self.history = history
        self._stream = stream
        self._conn = conn
        self._needs_data = False
        self._may_have_more = False
        self._request_incomplete = False
        self._lost_errno = None
        self._received = b""  # last, after what was not parsed by then

    def header(self, name, default=""):
        """Get a header of the answer by its lower-case name."""
        return _http_messages.find_header(self.headers, name, default)

    async def send(self, method, target, headers, body):
        """Send the whole request."""
        self.phase = _http_messages.Phase.SENDING
        for part in _encode_request(self._conn, method, target, headers, body):
            await self._stream.send_all(part)
        self.phase = _http_messages.Phase.SENT

    async def request(self, method, target, headers, body, accept):
        """Send a request and wait for the head of its answer.

        A server may answer before it has read the whole body; the rest of
        the body is then not sent and the connection is not kept.

        :param accept: ``(exchange) -> bool``, whether the head that was
            read belongs to this request; other answers are discarded.
        :returns: the status code.
        :raises h11.RemoteProtocolError: if the connection ends without an
            answer.
        """
        parts = _encode_request(self._conn, method, target, headers, body)
        self.phase = _http_messages.Phase.SENDING

        async def read():
            status = await self.read_head()
            for _ in range(FOREIGN_ANSWERS_MAX):
                if accept(self):
                    return status
                await self._discard_answer(method, target, headers, body)
                status = await self.read_head()
            raise _http_messages.AnswerTooLarge("answers to other requests")

        with _net.allow_unread(self._stream, sum(map(len, parts))):
            return await _tasks.run_with_background(
                self._send_ignoring_errors, read, parts
            )

    async def _send_ignoring_errors(self, parts):
        self._request_incomplete = True
        try:
            for part in parts:
                await self._stream.send_all(part)
        except _http_messages.STREAM_ERRORS as exc:
            # The server may have answered before it closed the connection.
            self._lost_errno = _net.lost_errno(exc)
            return
        self._request_incomplete = False
        self.phase = max(self.phase, _http_messages.Phase.SENT)

    async def _discard_answer(self, method, target, headers, body):
        """Read and discard an answer that belongs to an earlier request.

        A new protocol state then expects the answer to this request; bytes
        that were already received for it are kept.
        """
        size_bytes = 0
        while self.phase is not _http_messages.Phase.DONE:
            size_bytes += len(await self.read_some())
            if size_bytes > FOREIGN_BYTES_MAX:
                raise _http_messages.AnswerTooLarge("body too large")
        received = self._conn.trailing_data[0]
        self._conn = h11.Connection(h11.CLIENT)
        _encode_request(self._conn, method, target, headers, body)
        if received:
            self._conn.receive_data(received)
        self._received = received
        self._needs_data = False
        self.phase = _http_messages.Phase.SENT

    async def read_head(self):
        """Wait for the status and headers of the answer.

        :returns: the status code.
        :raises h11.RemoteProtocolError: if the connection ends first, or the
            status is not one of the protocol.
        """
        event = await self._next_head()
        informational = 0
        while isinstance(event, h11.InformationalResponse):
            informational += 1
            if informational > INFORMATIONAL_MAX:
                raise _http_messages.AnswerTooLarge("informational answers")
            event = await self._next_head()
        if not isinstance(event, h11.Response):
            raise h11.RemoteProtocolError("no answer")
        if event.status_code not in _http_messages.FINAL_STATUSES:
            raise h11.RemoteProtocolError(f"status {event.status_code}")
        self.phase = _http_messages.Phase.ANSWERING
        self.status = event.status_code
        self.headers = _http_messages.text_headers(event.headers)
        return self.status

    async def _receive(self):
        """Receive bytes of the answer.

        :raises BrokenResourceError: if the connection was lost.
        """
        data = await self._stream.receive_some(_http_messages.RECEIVE_BYTES)
        if not data and self._lost_errno is not None:
            lost = OSError(self._lost_errno, os.strerror(self._lost_errno))
            raise trio.BrokenResourceError(str(lost)) from lost
        self._received = self._conn.trailing_data[0] + data
        self._conn.receive_data(data)

    def _parse_event(self):
        """Get the next h11 event of the bytes that were received.

        :raises h11.RemoteProtocolError: whose text reaches callers, and so
            quotes none of these bytes.
        """
        try:
            return self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            text = _http_messages.without_bytes(exc)
        raise h11.RemoteProtocolError(text)

    async def _next_event(self):
        """Get the next h11 event, receiving bytes as needed."""
        event = self._parse_event()
        while event is h11.NEED_DATA:
            await self._receive()
            event = self._parse_event()
        return event

    def _parsed_bytes(self):
        """Get those of the bytes received last that h11 has parsed."""
        left_bytes = len(self._conn.trailing_data[0])
        return self._received[: len(self._received) - left_bytes]

    async def _next_head(self):
        """Wait for a head.

        h11 bounds only those that are incomplete, and joins folded lines.
        """
        event = await self._next_event()
        if _http_messages.has_folded_line(self._parsed_bytes()):
            raise h11.RemoteProtocolError("folded line in a head")
        headers = getattr(event, "headers", ())
        if len(headers) > _http_messages.HEADERS_MAX:
            raise _http_messages.AnswerTooLarge("too many headers")
        size_bytes = sum(len(name) + len(value) + 4 for name, value in headers)
        if size_bytes > ANSWER_HEADER_BYTES:
            raise _http_messages.AnswerTooLarge("headers too large")
        return event

    async def read_some(self):
        """Read a part of the body.

        :returns: the bytes received by one read, or some of them; empty at
            the end.
        :raises h11.RemoteProtocolError: if the connection ends inside the
            body.
        """
        if self._may_have_more:
            await trio.lowlevel.checkpoint()
            self._may_have_more = False
        if self._needs_data:
            await self._receive()
        event = await self._next_event()
        parts = []
        while isinstance(event, h11.Data):
            parts.append(event.data)
            if len(parts) == _http_messages.EVENTS_PER_TURN:
                self._may_have_more = True
                self._needs_data = False
                return b"".join(parts)
            event = self._parse_event()
        self._needs_data = event is h11.NEED_DATA
        if isinstance(event, h11.EndOfMessage):
            if event.headers and _http_messages.has_folded_trailer(
                self._parsed_bytes()
            ):
                raise h11.RemoteProtocolError("folded line in a trailer")
            self.phase = _http_messages.Phase.DONE
        elif not self._needs_data:
            raise h11.RemoteProtocolError("answer broke off")
        return parts[0] if len(parts) == 1 else b"".join(parts)

    async def read_body(self, limit_bytes, account=None):
        """Read the whole body.

        :param limit_bytes: the largest body to accept.
        :param account: a ``_held_memory.Account`` from which the bytes
            are taken, or None.
        :raises AnswerTooLarge: if the body is larger, or the memory of all
            answers is used up.
        :raises h11.RemoteProtocolError: if the body is incomplete.
        """
        return await read_body(self, limit_bytes, account)

    def connection(self):
        """Get the stream, its protocol state and history, for the pool."""
        return self._stream, self._conn, self.history

    def reusable(self):
        """Tell whether the connection can carry another exchange."""
        return (
            self.phase is _http_messages.Phase.DONE
            and not self._request_incomplete
            and self._conn.trailing_data == (b"", False)
            and self._conn.our_state is h11.DONE
            and self._conn.their_state is h11.DONE
        )


async def read_body(exchange, limit_bytes, account):
    """Read the whole body of an exchange's answer.

    :param exchange: an ``Exchange``, or what is used as one.
    :param limit_bytes: the largest body to accept.
    :param account: a ``_held_memory.Account`` from which the bytes of a whole
        body are taken, or None.
    """
    body = bytearray()
    try:
        await _read_parts(exchange, body, limit_bytes, account)
    except BaseException:
        if account is not None:
            account.give_back(len(body))
        # The traceback of the error would keep it.
        body.clear()
        raise
    return body


async def _read_parts(exchange, body, limit_bytes, account):
    while exchange.phase is not _http_messages.Phase.DONE:
        data = await exchange.read_some()
        if len(body) + len(data) > limit_bytes:
            raise _http_messages.AnswerTooLarge("body too large")
        if account is not None and not account.take(len(data)):
            raise _http_messages.AnswerTooLarge("memory of all answers")
        body += data


def _encode_request(conn, method, target, headers, body):
    """Encode a request.

    A GET, HEAD or DELETE without a body gets no content length.

    :returns: what to send, in parts, so that a large body is not copied.
    """
    fields = list(headers)
    if body or method not in ("GET", "HEAD", "DELETE"):
        fields.append(("content-length", str(len(body))))
    req = h11.Request(
        method=method,
        target=target.encode("latin-1"),
        headers=_http_messages.byte_headers(fields),
    )
    parts = [conn.send(req)]
    if body:
        parts += conn.send_with_data_passthrough(h11.Data(data=body))
    conn.send(h11.EndOfMessage())
    return _http_messages.join_small(parts)


def _decode_json(data):
    """Decode JSON.

    An empty array takes many times the bytes of its text.

    :raises ValueError: if it is not JSON, or may have too many values.
    """
    if sum(map(data.count, (b",", b"[", b"{"))) > JSON_VALUES_MAX:
        raise ValueError("too many values")
    return json.loads(data)


@dataclasses.dataclass(slots=True)
class _IdleConnection:
    stream: object
    conn: h11.Connection
    history: ConnectionHistory
    until_s: float

    def may_carry(self, request_id):
        """Tell whether an answer with this id can only be to a new send.

        :param request_id: the request's id; None if its answer echoes none.
        """
        if request_id is None:
            return True
        return bool(request_id) and request_id not in self.history.request_ids


class HttpClient:
    """An HTTP client with a pool of idle connections per address.

    :param network: a ``Network``.
    :param wrap: ``async (stream, address) -> stream`` to add TLS, or
        None.
    :param idle_max: the most idle connections kept per address.
    :param total: ``(address) -> int``, the number of connections to an
        address, in use and idle, above which a connection is closed after
        use instead of kept; None for no such limit.
    :param connect_timeout_s: longest wait for a new connection, if it is
        shorter than that of the network.
    :param share: the ``Share`` of descriptors for its connections; None for
        no limit.
    """

    def __init__(
        self,
        network,
        wrap=None,
        idle_max=POOL_IDLE_MAX,
        total=None,
        connect_timeout_s=math.inf,
        share=None,
    ):
        self._network = network
        self._wrap = wrap
        self._idle_max = idle_max
        self._total = total
        self._connect_timeout_s = connect_timeout_s
        self._idle = {}
        self._in_use = collections.Counter()
        self._share = share or _descriptors.unlimited()
        self._share.add_idle(self._close_longest_idle)

    async def _connect(self, address, fresh, request_id):
        pooled = None
        if not fresh:
            pooled = await self._take_idle(address, request_id)
        if pooled is not None:
            pooled.conn.start_next_cycle()
            return pooled.stream, pooled.conn, pooled.history
        stream = await self._open_stream(address)
        if self._wrap is not None:
            stream = await self._wrap(stream, address)
        history = ConnectionHistory(self._network.now())
        return stream, h11.Connection(h11.CLIENT), history

    async def _open_stream(self, address):
        if not await self._share.take():
            raise _descriptors.NoDescriptor(f"connect to {address}")
        try:
            with trio.fail_after(self._connect_timeout_s):
                return await self._network.open_stream(address)
        except BaseException as exc:
            self._share.give_back()
            if isinstance(exc, trio.TooSlowError):
                raise TimeoutError(f"connect to {address}") from exc
            raise

    async def _close(self, stream):
        self._share.give_back()
        await trio.aclose_forcefully(stream)

    async def _take_idle(self, address, request_id):
        """Take the connection that was used last and may carry a request.

        :returns: an ``_IdleConnection``, or None if there is none.
        """
        while True:
            idle = self._idle.get(address, ())
            usable = (c for c in reversed(idle) if c.may_carry(request_id))
            pooled = next(usable, None)
            if pooled is None:
                return None
            self._remove_idle(address, pooled)
            unexpired = self._network.now() < pooled.until_s
            if unexpired and not _net.with_input([pooled.stream]):
                return pooled
            await self._close(pooled.stream)

    def _keep(self, address, exchange):
        if exchange.history.exchanges >= CONNECTION_REQUESTS_MAX:
            return False
        idle = self._idle.get(address, [])
        if len(idle) >= self._idle_max or self._exceeds_total(address):
            return False
        until_s = self._network.now() + exchange.keep_s
        self._idle[address] = idle
        idle.append(_IdleConnection(*exchange.connection(), until_s))
        return True

    def _remove_idle(self, address, pooled):
        connections = self._idle[address]
        connections.remove(pooled)
        if not connections:
            del self._idle[address]

    def _exceeds_total(self, address):
        """Tell whether the connections to an address exceed the total."""
        if self._total is None:
            return False
        count = self._in_use[address] + len(self._idle.get(address, ()))
        return count > self._total(address)

    async def is_accepting(self, address, timeout_s):
        """Tell whether a new connection to an address can be made.

        :param timeout_s: longest wait for it.
        :raises OSError: if this process has no descriptor for it.
        """
        with trio.move_on_after(timeout_s):
            try:
                stream = await self._open_stream(address)
            except OSError as exc:
                if _net.is_shortage(exc):
                    raise
                return False
            await self._close(stream)
            return True
        return False

    async def forget(self, address):
        """Close the idle connections to an address."""
        await self._close_idle(
            [(address, pooled) for pooled in self._idle.get(address, ())]
        )

    def _all_idle(self):
        """List all idle connections, each with its address."""
        return [
            (address, pooled)
            for address, connections in self._idle.items()
            for pooled in connections
        ]

    async def close_stale(self, addresses=None):
        """Close the idle connections that no request is to use any more.

        Their server has closed them or has left, or their time is over.

        :param addresses: those of all servers that are left; None for any.
        """
        now_s = self._network.now()
        idle = self._all_idle()
        ended = _net.with_input(pooled.stream for _, pooled in idle)
        await self._close_idle(
            [
                (address, pooled)
                for address, pooled in idle
                if now_s >= pooled.until_s
                or pooled.stream in ended
                or (addresses is not None and address not in addresses)
            ]
        )

    async def _close_idle(self, idle):
        """Close idle connections, none of which is taken meanwhile.

        :param idle: list of pairs of address and ``_IdleConnection``.
        """
        for address, pooled in idle:
            self._remove_idle(address, pooled)
            self._share.give_back()
        for _, pooled in idle:
            await trio.aclose_forcefully(pooled.stream)

    async def _close_longest_idle(self):
        """Close the idle connection whose time ends first, if there is one."""
        idle = self._all_idle()
        soonest = min(idle, key=lambda each: each[1].until_s, default=None)
        if soonest is None:
            return False
        await self._close_idle([soonest])
        return True

    @contextlib.asynccontextmanager
    async def exchange(self, address, *, fresh=False, request_id=None):
        """Open an exchange with the server at an address.

        :param address: ``"ip:port"``.
        :param fresh: whether to open a new connection in any case.
        :param request_id: id by which the answer is recognised.  A kept
            connection that has carried it before is not used: a late or
            repeated answer to the earlier send would be taken for this
            one's.  None if answers are not recognised by an id.
        :raises OSError: if no connection can be made.
        """
        self._in_use[address] += 1
        try:
            stream, conn, history = await self._connect(
                address, fresh, request_id
            )
            history.exchanges += 1
            if request_id is not None:
                history.request_ids.add(request_id)
            exchange = Exchange(stream, conn, history)
            try:
                yield exchange
            finally:
                kept = exchange.reusable() and self._keep(address, exchange)
                if not kept:
                    await self._close(stream)
        finally:
            self._release(address)

    def _release(self, address):
        self._in_use[address] -= 1
        if not self._in_use[address]:
            del self._in_use[address]

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
        """Send a request and read the complete answer.

        A failure closes the idle connections to the address, since the
        same fault may have broken them; a GET that may have used one of
        them is then repeated once on a new connection.

        :param timeout_s: longest duration of each attempt, in seconds.
        :param limit_bytes: the largest body to accept.
        :param fresh: whether to open a new connection in any case.
        :returns: tuple of status, headers and body.
        :raises OSError: if the connection fails or the time is up.
        """
        fields = [("host", address), *headers]
        req = (method, target, fields, body)
        may_reuse = bool(self._idle.get(address)) and not fresh
        try:
            return await self._call_once(
                address, req, timeout_s, limit_bytes, fresh
            )
        except OSError:
            await self.forget(address)
            if not may_reuse or method != "GET":
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
                    return status, exchange.headers, bytes(answer)
        except trio.TooSlowError as exc:
            raise TimeoutError(name) from exc
        except OSError:
            raise
        except _http_messages.STREAM_ERRORS as exc:
            raise ConnectionError(f"{name}: {exc}") from exc

    async def call_json(self, address, method, target, value=None, **kwargs):
        """Send a JSON body and decode the JSON answer.

        :returns: tuple of status and value.
        :raises OSError: for any failure, including an answer that is not
            JSON.
        """
        status, _, answer = await self.call_json_with_headers(
            address, method, target, value, **kwargs
        )
        return status, answer

    async def call_json_with_headers(
        self, address, method, target, value=None, **kwargs
    ):
        """Send a JSON body and decode the JSON answer, as ``call_json``.

        :returns: tuple of status, headers and value.
        """
        body = b"" if value is None else json.dumps(value).encode()
        status, headers, answer = await self.call(
            address, method, target, body=body, **kwargs
        )
        try:
            return status, headers, _decode_json(answer) if answer else None
        except (ValueError, RecursionError) as exc:
            raise ConnectionError(f"{target}: answer is not JSON") from exc
