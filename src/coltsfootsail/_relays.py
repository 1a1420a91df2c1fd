"""Requests to servers through other nodes.

A node that is cut off from a server sends a request through a node that
reaches it, on a connection of its own between the two: closing it cancels the
request.  The other node sends it to the server itself and never on to a third
node, so that no request can go in a circle.  Each of its answers tells what is
known of the request's outcome.
"""

import contextlib
import math

import trio

from coltsfootsail import _descriptors
from coltsfootsail import _forward
from coltsfootsail import _held_memory
from coltsfootsail import _http
from coltsfootsail import _http_client
from coltsfootsail import _http_messages
from coltsfootsail import _logs
from coltsfootsail import _tasks
from coltsfootsail import _upstream
from coltsfootsail import _wire
from coltsfootsail import exceptions

CONNECT_TIMEOUT_S = 0.5  # to another node
REQUEST_TIMEOUT_S = 5.0  # until the whole request has arrived
BODY_PART_BYTES = 65_536
BODY_BYTES_MAX = 16_777_216
Phase = _http.Phase


class RelayedExchange:
    """One request through another node, used as an ``Exchange``.

    :param stream: the connection to the node.
    :param history: a ``ConnectionHistory``.
    """

    def __init__(self, stream, history):
        self.phase = Phase.CONNECTING
        self.status = None
        self.headers = ()
        self.keep_s = 0.0
        self.history = history
        self._messages = _wire.MessageStream(stream)
        self._messages.allow_unread()
        self._received_bytes = 0

    def header(self, name, default=""):
        """Get a header of the answer by its lower-case name."""
        return _http_messages.find_header(self.headers, name, default)

    async def request(self, server, request):
        """Send a request and wait for the head of its answer.

        The other node may report an error before it has the whole body.

        :param server: the ``Server`` that is to run it.
        :param request: an ``UpstreamRequest``.
        :raises ColtsfootsailError: if the other node reports an error.
        """
        self.phase = Phase.SENDING
        await self._messages.send(
            _wire.RelayRequest(
                server.name,
                request.request_id,
                request.method,
                request.target,
                tuple(request.headers),
                len(request.body),
            )
        )
        head = await _tasks.run_with_background(
            self._send_body,
            lambda: self._receive(_wire.AnswerHead),
            request.body,
        )
        self.phase = Phase.ANSWERING
        self.status = head.status
        self.headers = head.headers

    async def _send_body(self, body):
        # Receiving raises the error of a connection that breaks.
        with contextlib.suppress(OSError):
            for start in range(0, len(body), BODY_PART_BYTES):
                part = bytes(body[start : start + BODY_PART_BYTES])
                await self._messages.send(_wire.AnswerData(part))
            self.phase = Phase.SENT

    async def _receive(self, *expected):
        """Receive the next message.

        :raises ColtsfootsailError: if the other node reports an error.
        :raises ConnectionError: if the connection or the message is bad.
        """
        try:
            msg = await self._messages.receive_answer()
        except exceptions.WireError as exc:
            raise ConnectionError(str(exc)) from exc
        if isinstance(msg, _wire.AnswerError):
            raise _forward.to_error(msg)
        if not isinstance(msg, expected):
            raise ConnectionError("the answer of a node broke off")
        return msg

    async def read_some(self):
        """Read a part of the body.

        :returns: bytes; empty at the end.
        """
        msg = await self._receive(_wire.AnswerData, _wire.AnswerEnd)
        if isinstance(msg, _wire.AnswerData):
            self._received_bytes += len(msg.data)
            return msg.data
        if msg.size_bytes != self._received_bytes:
            raise ConnectionError("a part of the answer is missing")
        self.phase = Phase.DONE
        return b""

    async def read_body(self, limit_bytes, account=None):
        """Read the whole body, as ``Exchange.read_body``."""
        return await _http_client.read_body(self, limit_bytes, account)


class RelayClient:
    """Sends requests through other nodes.

    :param network: a ``Network``.
    :param choose: ``(server name)``, the name and the peer address of a node
        to send through, None if there is none or none is needed.
    :param count: ``(counter, reason)``.
    :param share: the ``Share`` of descriptors for its connections; None for
        no limit.
    """

    def __init__(self, network, choose, count, share=None):
        self._network = network
        self._share = share or _descriptors.unlimited()
        self._count = count
        self.choose = choose

    @contextlib.asynccontextmanager
    async def exchange(self, address):
        """Open an exchange through the node at a peer address.

        :raises OSError: if no connection can be made.
        :raises TooSlowError: if that takes too long.
        """
        self._count("relays", "sent")
        async with self._share.held():
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self._network.open_stream(address)
            history = _http_client.ConnectionHistory(self._network.now(), 1)
            try:
                yield RelayedExchange(stream, history)
            finally:
                await trio.aclose_forcefully(stream)


class RelayServer:
    """Sends the requests of other nodes to servers.

    :param view: a ``DeploymentView``.
    :param states: the node's ``ServerStates``.
    :param reach: the node's ``Reach``.
    :param upstream: the node's ``UpstreamClient``.
    :param memory: the node's ``HeldMemory``.
    :param count: ``(counter, reason)``.
    """

    def __init__(self, view, states, reach, upstream, memory, count):
        self._view = view
        self._states = states
        self._reach = reach
        self._upstream = upstream
        self._memory = memory
        self._count = count

    async def serve(self, messages, msg):
        """Serve a connection that began with a ``RelayRequest``.

        :param messages: its ``MessageStream``.
        """
        messages.allow_unread()
        with self._memory.hold(_held_memory.REQUEST) as account:
            try:
                with trio.fail_after(REQUEST_TIMEOUT_S):
                    body = await _receive_body(
                        messages, msg.body_bytes, account
                    )
            except exceptions.MemoryFull as exc:
                await self._refuse(exc, messages, msg)
            except (OSError, exceptions.WireError, trio.TooSlowError):
                self._count("relays", "incomplete")
            else:
                await self._send_on(messages, msg, body)

    async def _refuse(self, exc, messages, msg):
        """Refuse a request, and discard its body until its sender leaves.

        An early form of the sender reads no answer before it has sent all.
        """
        self._count("relays", exc.code)
        _logs.detail(
            "relay_refused",
            id=msg.request_id,
            server=msg.server,
            code=exc.code,
            why=exc.detail,
        )
        with (
            trio.move_on_after(REQUEST_TIMEOUT_S),
            contextlib.suppress(OSError, exceptions.WireError),
        ):
            await messages.send(_forward.to_answer_error(exc))
            while await messages.receive() is not None:
                pass

    async def _send_on(self, messages, msg, body):
        request = _upstream.UpstreamRequest(
            msg.method, msg.target, msg.headers, body, msg.request_id
        )
        with trio.CancelScope() as scope, contextlib.suppress(OSError):
            await _tasks.run_with_background(
                _cancel_on_hangup,
                lambda: self._answer(messages, msg, request),
                messages,
                scope,
            )

    async def _answer(self, messages, msg, request):
        outcome = exceptions.Outcome.NOT_RUN
        try:
            server = self._find_server(msg.server)
            outcome = exceptions.Outcome.UNKNOWN
            await self._upstream.send(
                server,
                request,
                math.inf,
                lambda exchange: _pass_on(exchange, messages),
                may_relay=False,
            )
        except exceptions.ColtsfootsailError as exc:
            error = exc
        except Exception as exc:
            _logs.failure(
                "relay_failed", exc, id=msg.request_id, server=msg.server
            )
            error = exceptions.UnexpectedError(outcome=outcome)
        else:
            self._count("relays", "served")
            return
        self._count("relays", error.code)
        await messages.send(_forward.to_answer_error(error))

    def _find_server(self, name):
        """Find a server that this node may send requests to.

        :returns: a ``Server``.
        :raises ColtsfootsailError: if there is none.
        """
        if self._states.is_unavailable(name):
            raise exceptions.EndpointLeaving(self._states.state(name).value)
        if not self._states.takes_requests(name):
            busy_s = self._states.busy_s(name)
            raise exceptions.EndpointBusy(retry_after_s=busy_s)
        if self._reach.is_cut_off(name):
            raise exceptions.EndpointUnreachable("cut off")
        return self._view.servers[name]


async def _receive_body(messages, size, account):
    """Receive the parts of a request's body.

    :param account: a ``_held_memory.Account``, from which it is taken.
    :raises MemoryFull: if that does not have as many bytes.
    :raises WireError: if it is not as long as announced.
    """
    if not 0 <= size <= BODY_BYTES_MAX:
        raise exceptions.WireError("body too large")
    account.require(size)
    body = bytearray(size)
    end = 0
    while end < size:
        msg = await messages.receive()
        if not isinstance(msg, _wire.AnswerData):
            raise exceptions.WireError("not a part of the body")
        begin, end = end, end + len(msg.data)
        if end > size:
            raise exceptions.WireError("not a part of the body")
        body[begin:end] = msg.data
    return body


async def _cancel_on_hangup(messages, scope):
    """Cancel a scope once the other node has closed the connection."""
    with contextlib.suppress(OSError, exceptions.WireError):
        await messages.receive()
    scope.cancel()


async def _pass_on(answer, messages):
    """Send the answer of a server to the node that asked for it.

    :param answer: a ``ServerAnswer``.
    :raises CallerGone: if that node has closed the connection.
    """
    await _send(messages, _wire.AnswerHead(answer.status, answer.headers))
    sent_bytes = 0
    while answer.phase is not Phase.DONE:
        data = await answer.read_some()
        if data:
            sent_bytes += len(data)
            await _send(messages, _wire.AnswerData(bytes(data)))
    await _send(messages, _wire.AnswerEnd(sent_bytes))


async def _send(messages, msg):
    try:
        await messages.send(msg)
    except OSError as exc:
        raise exceptions.CallerGone(repr(exc)) from exc
