"""Answers with neither a length nor chunks, which end with their connection.

The protocol: RFC 9112, section 6.3, item 8.
"""

import pytest
import trio

from coltsfootsail.platform import messages
from coltsfootsail.standins import servers
from tests import gateways

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
