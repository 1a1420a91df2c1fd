"""Answers with neither a length nor chunks, which end with their connection.

The protocol: RFC 9112, section 6.3, item 8.
"""

import errno
import os
import socket
import struct

import h11
import pytest
import trio
import trio.testing

from coltsfootsail import _http
from coltsfootsail import _http_client
from coltsfootsail import _net
from coltsfootsail.platform import messages
from coltsfootsail.standins import servers
from tests import gateways
from tests import loopback

EVENTS = [f"id: {n}\ndata: a7@1 {n}\n\n".encode() for n in range(5)]


def _set_unframed(fleet, cut_after=None):
    for engine in fleet.engines:
        engine.unframed = True
        engine.cut_after = cut_after


@pytest.mark.parametrize("path", ["/notes/1", "/prints/1"])
def test_stream_that_ends_with_its_connection_is_whole(path):
    async def scenario(fleet):
        _set_unframed(fleet)
        reply = await fleet.call(path, adapter="base/a7")
        assert reply.status == 200 and reply.whole
        assert reply.body == b"".join(EVENTS)
        assert sum(len(engine.runs) for engine in fleet.engines) == 1

    gateways.run(scenario)


def test_stream_that_ends_within_an_event_has_broken_off():
    async def scenario(fleet):
        _set_unframed(fleet, cut_after=2)
        reply = await fleet.call("/notes/1", adapter="base/a7")
        assert reply.status == 200 and not reply.whole
        assert reply.body == b"".join(EVENTS[:3])

    gateways.run(scenario)


def test_stream_that_ends_within_an_event_is_taken_up_elsewhere():
    async def scenario(fleet):
        _set_unframed(fleet, cut_after=2)
        replies = []

        async def call():
            replies.append(await fleet.call("/prints/1", adapter="base/a7"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            while not any(engine.running for engine in fleet.engines):
                await trio.sleep(0.01)
            (first,) = [each for each in fleet.engines if each.running]
            for engine in fleet.engines:
                engine.cut_after = 2 if engine is first else None
        (reply,) = replies
        assert reply.status == 200 and reply.whole
        assert reply.body == b"".join(EVENTS)
        assert sum(len(engine.runs) for engine in fleet.engines) == 2

    gateways.run(scenario)


class _RawServer(servers.PlainServer):
    """Answers without a length; ``end`` ends the connection."""

    async def serve(self, stream):
        """Serve one connection."""
        data = await stream.receive_some(65536)
        if not data:
            return
        request_id = data.decode().lower()
        request_id = request_id.partition(f"{messages.REQUEST_ID}: ")[2]
        request_id = request_id.partition("\r\n")[0]
        name, stamp = servers.STAMP_HEADER
        self.runs.append(request_id)
        await stream.send_all(
            f"HTTP/1.1 200 OK\r\n{messages.REQUEST_ID}: {request_id}\r\n"
            f"{name}: {stamp}\r\n\r\nthe whole".encode()
        )
        await trio.sleep(0.1)
        await self.end(stream)


async def _replace_shops(fleet, end):
    for number in range(2):
        server = _RawServer(f"i-s{number}")
        server.end = end
        fleet.scopes.pop(f"s{number}").cancel()
        fleet.shop_servers[number] = server
        await fleet.restart_shop(number)


@pytest.mark.parametrize("path", ["/orders/9", "/stock/9"])
def test_plain_answer_that_ends_with_its_connection_is_whole(path):
    async def scenario(fleet):
        async def end(stream):
            await stream.send_all(b" answer")

        await _replace_shops(fleet, end)
        reply = await fleet.call(path)
        assert (reply.status, reply.body) == (200, b"the whole answer")
        assert reply.whole

    gateways.run(scenario)


@pytest.mark.parametrize(
    ("path", "may_repeat"), [("/orders/9", False), ("/stock/9", True)]
)
def test_plain_answer_that_is_reset_is_not_whole(path, may_repeat):
    async def scenario(fleet):
        async def end(stream):
            fleet.net.break_between("g0", "s0")
            fleet.net.break_between("g0", "s1")

        await _replace_shops(fleet, end)
        reply = await fleet.call(path)
        assert reply.status == 502
        runs = sum(len(shop.runs) for shop in fleet.shop_servers)
        assert runs > 1 if may_repeat else runs == 1

    gateways.run(scenario)


LONG_BODY = b"x" * 3_000_000  # more than the buffers of a connection hold
EARLY_BODY = b"id: 0\ndata: @1 0\n\n"
SUCCESS = "HTTP/1.1 200 OK\r\n{}: {}\r\n".format(*servers.STAMP_HEADER)
REFUSAL = f"HTTP/1.1 503 x\r\n{messages.NOT_RUN}: 1\r\n"


def _reset(sock):
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    sock.close()


def _end_and_reset(sock):
    sock.shutdown(socket.SHUT_WR)
    _reset(sock)


class _EarlyShop:
    """Answers before it has read a long body, and ends the connection.

    :param end: ``(socket)``, ends the connection.
    :param begin: of the head of its answers.
    """

    def __init__(self, name, end, begin=SUCCESS):
        self.name = name
        self.end = end
        self.begin = begin
        self.received = []

    async def serve(self, stream):
        """Serve one connection."""
        await _answer_early(stream, self)


class _EarlyEngine(servers.ModelServer):
    """As an ``_EarlyShop``, for streams."""

    end = None
    begin = SUCCESS

    def __init__(self, *args):
        super().__init__(*args)
        self.received = []

    async def serve(self, stream):
        """Serve one connection; those of orders carry no streams."""
        begin = await stream.socket.recv(100, socket.MSG_PEEK)
        if begin.startswith((b"POST /notes", b"POST /prints")):
            await _answer_early(stream, self)
        else:
            await super().serve(stream)


async def _answer_early(stream, server):
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive_some(4096)
    text = data.partition(b"\r\n\r\n")[0].decode().lower()
    request_id = text.partition(f"{messages.REQUEST_ID}: ")[2]
    request_id = request_id.partition("\r\n")[0]
    server.received.append(request_id)
    # The sender waits for room by then.
    await trio.testing.wait_all_tasks_blocked(0.05)
    head = f"{server.begin}{messages.REQUEST_ID}: {request_id}\r\n\r\n"
    # Both are there before the far end runs again.
    with socket.socket(fileno=stream.socket.detach()) as sock:
        sock.sendall(head.encode() + EARLY_BODY)
        server.end(sock)


async def _call_early_servers(site, path, version, is_relayed=False):
    """Send a long request to servers that answer it early.

    :param is_relayed: whether it is sent through another node.
    :returns: the ``Reply`` and the number of sends.
    """
    if is_relayed:
        site.relay_requests()
    request_id, reply = await site.call(path, version, LONG_BODY)
    received = [
        each
        for server in (*site.shops, *site.engines)
        for each in server.received
    ]
    return reply, received.count(request_id)


@pytest.mark.parametrize(
    ("version", "is_relayed"), [("1.1", False), ("1.0", False), ("1.1", True)]
)
@pytest.mark.parametrize(
    ("path", "may_repeat"),
    [
        ("/orders/9", False),
        ("/stock/9", True),
        ("/notes/9", False),
        ("/prints/9", True),
    ],
)
def test_early_answer_that_is_reset_is_not_whole(
    monkeypatch, path, may_repeat, version, is_relayed
):
    # Callers got what had arrived as the whole answer: MIXED.
    monkeypatch.setattr(_EarlyEngine, "end", staticmethod(_reset))
    shops = [_EarlyShop(f"i-s{n}", _reset) for n in range(2)]

    async def scenario(site):
        reply, sends = await _call_early_servers(
            site, path, version, is_relayed
        )
        if path in ("/orders/9", "/stock/9"):
            assert reply.status == 502
        assert not (reply.status == 200 and reply.whole)
        assert reply.status not in messages.PROMISE_STATUSES
        assert sends == 1 or may_repeat

    loopback.run(scenario, shops, make_engine=_EarlyEngine)


@pytest.mark.parametrize(
    ("version", "is_relayed"), [("1.1", False), ("1.0", False), ("1.1", True)]
)
@pytest.mark.parametrize(
    "path", ["/orders/9", "/stock/9", "/notes/9", "/prints/9"]
)
def test_early_answer_that_ends_before_the_reset_is_whole(
    monkeypatch, path, version, is_relayed
):
    monkeypatch.setattr(_EarlyEngine, "end", staticmethod(_end_and_reset))
    shops = [_EarlyShop(f"i-s{n}", _end_and_reset) for n in range(2)]

    async def scenario(site):
        reply, sends = await _call_early_servers(
            site, path, version, is_relayed
        )
        assert (reply.status, reply.body) == (200, EARLY_BODY)
        assert reply.whole
        assert sends == 1

    loopback.run(scenario, shops, make_engine=_EarlyEngine)


@pytest.mark.parametrize(
    "path", ["/orders/9", "/stock/9", "/notes/9", "/prints/9"]
)
def test_early_refusal_that_is_reset_was_not_run(monkeypatch, path):
    monkeypatch.setattr(_EarlyEngine, "end", staticmethod(_reset))
    monkeypatch.setattr(_EarlyEngine, "begin", REFUSAL)
    shops = [_EarlyShop(f"i-s{n}", _reset, REFUSAL) for n in range(2)]

    async def scenario(site):
        reply, _ = await _call_early_servers(site, path, "1.1")
        assert reply.status == 503

    loopback.run(scenario, shops, make_engine=_EarlyEngine)


def _call_early_server(end, method, body):
    """Call an interface whose server answers early.

    :returns: the status and the body, or the error.
    """

    async def main():
        server = _EarlyShop("s", end)
        network = _net.tcp_network()
        client = _http.HttpClient(network)
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                network.serve, "127.0.0.1:0", server.serve
            )
            try:
                status, _, answer = await client.call(
                    address, method, "/v1/report", body=body, timeout_s=60.0
                )
            except ConnectionError as exc:
                return exc
            finally:
                nursery.cancel_scope.cancel()
            return status, answer

    return trio.run(main)


@pytest.mark.parametrize(
    ("method", "body"), [("GET", b""), ("POST", b"{}"), ("POST", LONG_BODY)]
)
def test_call_takes_no_answer_that_is_reset(method, body):
    # The reader of orders, reports and the store.
    outcome = _call_early_server(_reset, method, body)
    assert isinstance(outcome, ConnectionError), outcome


@pytest.mark.parametrize(("method", "body"), [("GET", b""), ("POST", b"{}")])
def test_call_takes_an_answer_that_ends_with_its_connection(method, body):
    answer = _call_early_server(_end_and_reset, method, body)
    assert answer == (200, EARLY_BODY)


class _LostStream:
    """A connection whose loss is told to the task that sends."""

    def __init__(self, number):
        self._error = OSError(number, os.strerror(number))
        self._has_lost = trio.Event()
        self._parts = [b"HTTP/1.1 200 OK\r\n\r\n", b"text", b""]

    async def send_all(self, data):
        """Fail."""
        self._has_lost.set()
        raise trio.BrokenResourceError from self._error

    async def receive_some(self, max_bytes=None):
        """Get what had arrived, then the end of the stream."""
        await self._has_lost.wait()
        return self._parts.pop(0)


@pytest.mark.parametrize(
    ("number", "is_whole"),
    [
        (errno.ECONNRESET, False),
        (errno.ETIMEDOUT, False),
        (errno.EHOSTUNREACH, False),
        (errno.EPIPE, True),
    ],
)
def test_answer_is_whole_if_the_far_end_had_ended_it(number, is_whole):
    async def main():
        exchange = _http_client.Exchange(
            _LostStream(number),
            h11.Connection(h11.CLIENT),
            _http_client.ConnectionHistory(0.0),
        )
        await exchange.request(
            "POST", "/", [("host", "x")], b"x", lambda exchange: True
        )
        try:
            return bytes(await exchange.read_body(100))
        except trio.BrokenResourceError as exc:
            return exc.__cause__.errno

    assert trio.run(main) == (b"text" if is_whole else number)
