"""Servers that send without end: what one of them may cost a gateway."""

import trio

import pytest

from coltsfootsail import _upstream
from coltsfootsail.platform import messages
from tests import gateways

SENT_BYTES_MAX = 100_000_000  # a server that is still read then has won
MEMORY_BYTES_MAX = 64 * 1024 * 1024
HEAD = (
    b"HTTP/1.1 200 OK\r\n%s: %s\r\ncoltsfootsail-server-stamp: s\r\n"
    b"server-limit: 1000\r\n"
)


def _head(request_id, rest):
    name = messages.REQUEST_ID.encode()
    return HEAD % (name, request_id.encode()) + rest + b"\r\n"


def _not_run(request_id):
    name = messages.REQUEST_ID.encode()
    return (
        b"HTTP/1.1 503 busy\r\n%s: %s\r\n%s: 1\r\n"
        b"content-length: 99999999999\r\n\r\n"
        % (name, request_id.encode(), messages.NOT_RUN.encode())
    )


CHUNK = b"10000\r\n" + b"x" * 65536 + b"\r\n"
# What a server sends first, given the request's id, and then without end.
ENDLESS = {
    "length": (
        lambda request_id: _head(
            request_id, b"content-length: 99999999999\r\n"
        ),
        b"x" * 65536,
    ),
    "chunks": (
        lambda request_id: _head(
            request_id, b"transfer-encoding: chunked\r\n"
        ),
        CHUNK,
    ),
    "to the close": (lambda request_id: _head(request_id, b""), b"x" * 65536),
    "not run": (_not_run, b"x" * 65536),
    "continue": (
        lambda request_id: b"",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 99,
    ),
    "other answers": (
        lambda request_id: b"",
        _head("other", b"content-length: 2\r\n") + b"ok",
    ),
    "one other answer": (
        lambda request_id: _head("other", b"transfer-encoding: chunked\r\n"),
        CHUNK,
    ),
    "head": (lambda request_id: b"HTTP/1.1 200 OK\r\n", b"x-more: 1\r\n" * 99),
    "no http": (lambda request_id: b"", b"\x00\x01" * 1000),
}


class _EndlessServer:
    """Answers each connection's first request without end."""

    def __init__(self, name):
        self.name = name
        self.sent_bytes = 0
        self.first, self.more = ENDLESS["length"]

    async def serve(self, stream):
        """Serve one connection."""
        received = b""
        while b"\r\n\r\n" not in received:
            data = await stream.receive_some(65536)
            if not data:
                return
            received += data
        head = received.decode("latin-1").lower()
        request_id = head.partition(f"{messages.REQUEST_ID}: ")[2]
        request_id = request_id.partition("\r\n")[0]
        try:
            await stream.send_all(self.first(request_id))
            while self.sent_bytes < SENT_BYTES_MAX:
                await stream.send_all(self.more)
                self.sent_bytes += len(self.more)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        await trio.sleep_forever()


async def _replace_shop(fleet, what):
    """Let an endless server listen at the address of ``s0``.

    :param what: key of ``ENDLESS``.
    :returns: the ``_EndlessServer``.
    """
    server = _EndlessServer("i-s0")
    server.first, server.more = ENDLESS[what]
    fleet.scopes.pop("s0").cancel()
    fleet.shop_servers[0] = server
    await fleet.restart_shop(0)
    return server


def _run_calls(what, path, calls, check):
    async def scenario(fleet):
        fleet.store.drop("servers/i-s1")
        await trio.sleep(2.0)
        server = await _replace_shop(fleet, what)
        replies = []
        begun_s = trio.current_time()

        async def call(number):
            reply = await fleet.call(path, request_id=f"r{number}")
            replies.append((reply, trio.current_time() - begun_s))

        async with trio.open_nursery() as nursery:
            for number in range(calls):
                nursery.start_soon(call, number)
        check(fleet, server, replies)

    gateways.run(scenario)


@pytest.mark.parametrize("what", ENDLESS)
def test_endless_answer_is_left_at_once_and_was_perhaps_run(what):
    def check(fleet, server, replies):
        ((reply, after_s),) = replies
        assert reply.status == (503 if what == "not run" else 502)
        assert after_s <= 0.5
        assert server.sent_bytes <= 2 * _upstream.BODY_BYTES_MAX

    _run_calls(what, "/orders/9", 1, check)


@pytest.mark.parametrize("what", ["length", "chunks", "to the close"])
def test_many_endless_answers_together_keep_to_one_budget(what):
    def check(fleet, server, replies):
        assert len(replies) == 15
        assert all(reply.status == 502 for reply, _ in replies)
        memory = fleet.gateways["g0"].held_memory
        assert memory.peak_bytes <= MEMORY_BYTES_MAX / 2
        assert memory.held_bytes == 0
        assert server.sent_bytes <= 2 * MEMORY_BYTES_MAX

    _run_calls(what, "/orders/9", 15, check)


def test_sound_answers_pass_beside_endless_ones():
    async def scenario(fleet):
        await _replace_shop(fleet, "length")
        replies = []

        async def call(number):
            reply = await fleet.call("/stock/9", request_id=f"r{number}")
            replies.append(reply.status)

        async with trio.open_nursery() as nursery:
            for number in range(60):
                nursery.start_soon(call, number)
                await trio.sleep(0.05)
        assert replies.count(200) >= 57

    gateways.run(scenario)


def test_large_answer_passes_whole():
    async def scenario(fleet):
        body = b"b" * 12_000_000
        for shop in fleet.shop_servers:
            shop.body = body
        reply = await fleet.call("/stock/9")
        assert reply.status == 200 and reply.body == body

    gateways.run(scenario)
