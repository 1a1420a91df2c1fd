"""Sound servers, nodes and stores that are silent for a while and go on.

Their silence may move a request; it ends and refuses none.
"""

import socket
import types

import h11
import pytest
import trio

from coltsfootsail import _held_memory
from coltsfootsail import _http
from coltsfootsail import _http_client
from coltsfootsail import _net
from coltsfootsail import _relays
from coltsfootsail import _retries
from coltsfootsail import _upstream
from coltsfootsail import _wire
from coltsfootsail.standins import network as memory
from tests import gateways

SERVER_LIMITS = _http.HttpLimits(body_bytes=16_777_216)
NO_RETRIES = _retries.WindowBounds(ratio=0.0, extra=0.0, window_s=10.0)


def _spend_retries(fleet):
    """Leave no node a retry."""
    for gateway in fleet.gateways.values():
        gateway.retry_budget.set_bounds(NO_RETRIES)
        gateway.retry_budget.spend("shop")


async def _resume_after(fleet, hosts, pause_s):
    """Pause hosts, and let them go on later."""
    for host in hosts:
        fleet.net.pause(host)
    await trio.sleep(pause_s)
    for host in hosts:
        fleet.net.resume(host)


async def _call_at_once(fleet, calls):
    """Send several requests at a time.

    :returns: list of the statuses of their replies.
    """
    statuses = []

    async def send(number):
        reply = await fleet.call("/stock/9", request_id=f"r{number}")
        statuses.append(reply.status)

    async with trio.open_nursery() as nursery:
        for number in range(calls):
            nursery.start_soon(send, number)
    return statuses


def test_plain_request_without_a_retry_waits_for_its_silent_server():
    async def scenario(fleet):
        _spend_retries(fleet)
        for number in range(4):
            fleet.nursery.start_soon(_resume_after, fleet, ["s0", "s1"], 2.0)
            reply = await fleet.call("/stock/9", request_id=f"r{number}")
            assert reply.status == 200
        assert sum(each.arrivals for each in fleet.shop_servers) == 4

    gateways.run(scenario)


def test_plain_request_without_another_server_waits_for_its_own():
    async def scenario(fleet):
        fleet.store.drop("servers/i-s1")
        await trio.sleep(1.0)
        fleet.shop_servers[0].work_s = 1.8
        fleet.nursery.start_soon(_resume_after, fleet, ["s0"], 0.5)
        assert (await fleet.call("/stock/9")).status == 200
        assert fleet.shop_servers[0].arrivals == 1

    gateways.run(scenario)


@pytest.mark.parametrize("limit", ["0", "0.3"])
def test_plain_request_without_a_grant_elsewhere_waits_for_its_server(limit):
    async def scenario(fleet):
        fleet.shop_servers[1].limit = limit
        for number in range(6):
            await fleet.call("/stock/9", request_id=f"w{number}")
        fleet.nursery.start_soon(_resume_after, fleet, ["s0"], 2.0)
        assert await _call_at_once(fleet, 6) == [200] * 6

    gateways.run(scenario)


def test_plain_request_moves_on_as_soon_as_it_may():
    async def scenario(fleet):
        _spend_retries(fleet)
        fleet.net.pause("s0")
        fleet.net.pause("s1")

        async def allow():
            await trio.sleep(2.0)
            fleet.net.resume("s1")
            for gateway in fleet.gateways.values():
                gateway.retry_budget.set_bounds(
                    _retries.WindowBounds(1.0, 58.0, 0.5)
                )

        fleet.nursery.start_soon(allow)
        assert await _call_at_once(fleet, 6) == [200] * 6

    gateways.run(scenario)


def test_plain_request_leaves_a_silent_server_for_another_that_is_allowed():
    async def scenario(fleet):
        fleet.net.pause("s0")
        for number in range(6):
            begun_s = trio.current_time()
            reply = await fleet.call("/stock/9", request_id=f"r{number}")
            assert reply.status == 200
            assert trio.current_time() - begun_s < 2.0

    gateways.run(scenario)


def test_plain_request_that_is_refused_after_a_move_waits_for_a_retry():
    """Guards against a server that is left for a single try."""

    async def scenario(fleet):
        first, second = fleet.shop_servers
        fleet.store.drop("servers/i-s1")
        await trio.sleep(1.0)
        for gateway in fleet.gateways.values():
            # A retry a second.
            gateway.retry_budget.set_bounds(
                _retries.WindowBounds(ratio=0.0, extra=4.0, window_s=1.0)
            )
        fleet.net.pause("s0")

        async def refuse():
            second.refuse = True
            await trio.sleep(0.5)
            fleet.register_shop(1)
            while not second.arrivals:
                await trio.sleep(0.05)
            second.refuse = False

        fleet.nursery.start_soon(refuse)
        assert (await fleet.call("/stock/9")).status == 200
        assert second.arrivals == 2

    gateways.run(scenario, nodes=1)


def test_plain_request_to_a_hung_server_is_answered_in_its_time():
    async def scenario(fleet):
        _spend_retries(fleet)
        fleet.net.pause("s0")
        fleet.net.pause("s1")
        begun_s = trio.current_time()
        reply = await fleet.call("/stock/9", deadline_ms=2000)
        assert reply.status == 504
        assert trio.current_time() - begun_s <= 2.0

    gateways.run(scenario)


def test_plain_request_goes_through_another_node_to_its_only_server():
    async def scenario(fleet):
        fleet.store.drop("servers/i-s1")
        await fleet.call("/stock/9")
        await trio.sleep(1.0)
        fleet.net.cut("g0", "s0", memory.LinkFault.SILENT)
        assert (await fleet.call("/stock/9", request_id="r2")).status == 200

    gateways.run(scenario)


def test_request_through_a_node_that_falls_silent_is_answered():
    async def scenario(fleet):
        for host in ("s0", "s1"):
            fleet.net.cut("g0", host, memory.LinkFault.REFUSED)
        await fleet.call("/stock/9", request_id="r0")
        await trio.sleep(2.0)
        fleet.nursery.start_soon(_resume_after, fleet, ["g1"], 1.8)
        assert (await fleet.call("/orders/9")).status == 200

    gateways.run(scenario, nodes=2)


async def _call_under_freezes(fleet, path, calls, freeze_s):
    """Send a content again and again, and freeze its servers meanwhile."""
    hosts = ("s0", "s1")

    async def freeze():
        await trio.sleep(0.01)
        for host in hosts:
            fleet.net.freeze(host)

    replies = []
    for number in range(calls):
        fleet.nursery.start_soon(freeze)
        reply = await fleet.call(
            path,
            fleet.names[number % 3],
            request_id=f"r{number}",
            deadline_ms=1000,
        )
        replies.append(reply.status)
        await trio.sleep(freeze_s - 1.0)
        for host in hosts:
            fleet.net.resume(host)
        await trio.sleep(1.0)
    return replies


@pytest.mark.parametrize("freeze_s", [1.3, 2.5, 3.5])
@pytest.mark.parametrize("path", ["/orders/9", "/stock/9"])
def test_content_is_not_refused_because_hosts_of_servers_freeze(
    path, freeze_s
):
    async def scenario(fleet):
        replies = await _call_under_freezes(fleet, path, 6, freeze_s)
        assert replies == [504] * 6
        for gateway in fleet.gateways.values():
            assert "strikes" not in gateway.metrics.counter_totals()

    gateways.run(scenario, nodes=3)


def test_content_is_not_refused_because_bytes_stay_unacknowledged(
    monkeypatch,
):
    """Guards against frozen hosts that are taken for crashed ones."""
    request = _http_client.Exchange.request

    async def request_with_timeout(self, *args):
        with trio.move_on_after(0.6):
            return await request(self, *args)
        try:
            raise TimeoutError
        except TimeoutError as exc:
            raise trio.BrokenResourceError from exc

    monkeypatch.setattr(_http_client.Exchange, "request", request_with_timeout)

    async def scenario(fleet):
        replies = await _call_under_freezes(fleet, "/orders/9", 6, 2.5)
        assert replies == [502] * 6

    gateways.run(scenario, nodes=3)


def test_content_that_silences_servers_for_long_is_refused():
    async def scenario(fleet):
        replies = await _call_under_freezes(fleet, "/orders/9", 4, 9.0)
        assert replies == [504, 504, 504, 422]

    gateways.run(scenario, nodes=3)


UNREAD_S = 1.5
LARGE = bytes(8_000_000)


def _user_timeout_ms(stream):
    return stream.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


async def _write_parts(resp):
    await resp.start(200)
    for start in range(0, len(LARGE), 50_000):
        await resp.write_unbounded(LARGE[start : start + 50_000])
    await resp.end()


async def _reply(resp):
    await resp.reply(200, LARGE)


@pytest.mark.parametrize("send", [_write_parts, _reply])
def test_large_answer_to_a_caller_that_reads_nothing_for_a_while_is_whole(
    send,
):
    timeouts_ms = []

    async def serve(stream):
        async def answer(req, resp):
            timeouts_ms.append(_user_timeout_ms(stream))
            await (send if req.path == "/large" else _reply_small)(resp)

        await _http.serve_connection(stream, SERVER_LIMITS, answer)

    async def _reply_small(resp):
        await resp.reply(200, b"")

    async def main():
        network = _net.tcp_network(unacked_timeout_ms=300)
        async with trio.open_nursery() as nursery:
            address = await nursery.start(network.serve, "127.0.0.1:0", serve)
            stream = await network.open_stream(address)
            for path, body in (("/large", LARGE), ("/", b"")):
                conn = h11.Connection(h11.CLIENT)
                head = h11.Request(
                    method="GET", target=path, headers=[("host", "x")]
                )
                await stream.send_all(
                    conn.send(head) + conn.send(h11.EndOfMessage())
                )
                await trio.sleep(UNREAD_S)
                reply = await gateways.read_reply(stream, conn)
                assert reply.whole and reply.body == body
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert timeouts_ms == [300, 300]


def test_large_messages_through_a_node_that_reads_nothing_are_whole():
    """A request on its way there, and an answer on its way back."""
    bodies = []

    async def serve(stream):
        messages = _wire.MessageStream(stream)
        await trio.sleep(UNREAD_S)
        msg = await messages.receive()
        held = _held_memory.HeldMemory(1 << 28)
        server = _relays.RelayServer(None, None, None, None, held, None)
        server._answer = answer
        await server.serve(messages, msg)

    async def answer(messages, msg, request):
        bodies.append(request.body)
        await messages.send(_wire.AnswerHead(200, ()))
        for start in range(0, len(LARGE), 50_000):
            part = LARGE[start : start + 50_000]
            await messages.send(_wire.AnswerData(part))
        await messages.send(_wire.AnswerEnd(len(LARGE)))

    async def main():
        network = _net.tcp_network(unacked_timeout_ms=300)
        client = _relays.RelayClient(network, None, lambda *args: None)
        server = types.SimpleNamespace(name="s")
        request = _upstream.UpstreamRequest("POST", "/", (), LARGE, "r1")
        async with trio.open_nursery() as nursery:
            address = await nursery.start(network.serve, "127.0.0.1:0", serve)
            async with client.exchange(address) as exchange:
                await exchange.request(server, request)
                await trio.sleep(UNREAD_S)
                bodies.append(await exchange.read_body(len(LARGE)))
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert bodies == [LARGE, LARGE]


def test_large_request_to_a_server_that_reads_nothing_for_a_while_is_whole():
    timeouts_ms = []
    body = bytes(8_000_000)

    async def serve(stream):
        await trio.sleep(1.5)
        await _http.serve_connection(stream, SERVER_LIMITS, answer)

    async def answer(req, resp):
        await resp.reply(200, str(len(req.body)).encode())

    async def main():
        network = _net.tcp_network(unacked_timeout_ms=300)
        client = _http_client.HttpClient(network)
        async with trio.open_nursery() as nursery:
            address = await nursery.start(network.serve, "127.0.0.1:0", serve)
            async with client.exchange(address) as exchange:
                fields = [("host", address)]
                await exchange.request(
                    "POST", "/", fields, body, lambda each: True
                )
                assert await exchange.read_body(100) == b"8000000"
                stream, _, _ = exchange.connection()
                timeouts_ms.append(_user_timeout_ms(stream))
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert timeouts_ms == [300]
