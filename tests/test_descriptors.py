"""Descriptors that a node's connections take."""

import contextlib
import dataclasses
import errno
import os
import resource

import pytest
import trio

from coltsfootsail import _descriptors
from coltsfootsail import _gateway
from coltsfootsail import _http
from coltsfootsail import _net
from coltsfootsail.standins import network as memory
from coltsfootsail.standins import servers
from coltsfootsail.standins import users
from tests import gateways
from tests import test_gateway_process

with_gateway = test_gateway_process.with_gateway
DESCRIPTORS = 240  # half of them for connections, at most 44 for callers
HALF_HEAD = b"POST /orders/1 HTTP/1.1\r\nhost: "


class SmallFleet(gateways.Fleet):
    """Gateways with few descriptors; with ``lacks_any`` set, with none."""

    lacks_any = False

    def make_gateway(self, name):
        """Make a gateway that is not started yet."""
        network = self.net.network(name)

        async def open_stream(address):
            if self.lacks_any:
                raise OSError(errno.EMFILE, "no descriptor")
            return await network.open_stream(address)

        return _gateway.Gateway(
            small_settings(name),
            dataclasses.replace(network, open_stream=open_stream),
        )

    async def connect(self, data=b""):
        """Open a connection of a caller, and send bytes on it."""
        stream = await self.net.network("caller").open_stream("g0:80")
        await stream.send_all(data)
        return stream


def small_settings(name):
    """Make the settings of a gateway with few descriptors."""
    settings = gateways.settings(name)
    section = dataclasses.replace(settings.gateway, descriptors=DESCRIPTORS)
    return dataclasses.replace(settings, gateway=section)


async def has_ended(stream):
    """Tell whether the far end closes a connection without a byte."""
    with trio.move_on_after(0.1):
        with contextlib.suppress(trio.BrokenResourceError):
            assert not await stream.receive_some()
        return True
    return False


@pytest.mark.parametrize("keep_alive_s", [1.0, 600.0])
def test_connections_to_replaced_servers_do_not_add_up(keep_alive_s):
    async def replace(fleet, number):
        """Replace the server of ``shop`` by another one after an order."""
        host = f"new{number}"
        server = servers.PlainServer(f"i-{host}")
        server.keep_alive_s = keep_alive_s
        await fleet.listen(f"{host}:80", server.serve)
        entry = users.plain_entry(f"{host}:80")
        fleet.store.put(f"servers/i-{host}", entry)
        await trio.sleep(0.5)
        assert (await fleet.call("/orders/9")).status == 200
        fleet.store.drop(f"servers/i-{host}")

    async def scenario(fleet):
        for number in range(2):
            fleet.store.drop(f"servers/i-s{number}")
        await trio.sleep(1.0)
        before = fleet.net.open_connections("g0")
        for number in range(10):
            await replace(fleet, number)
        await trio.sleep(1.5)
        assert fleet.net.open_connections("g0") == before

    gateways.run(scenario, nodes=1)


def test_connection_that_its_server_closed_is_closed_within_a_second(
    with_gateway,
):
    async def scenario(process, at, client, path):
        def count_descriptors():
            return len(os.listdir(f"/proc/{process.pid}/fd"))

        shop = servers.PlainServer("i-s1")
        shop.keep_alive_s = 600.0
        at["store_stand_in"].drop("servers/i-s0")
        entry = {"service": "shop", "addr": at["engine"], "state": "ready"}
        at["store_stand_in"].put("servers/i-s1", entry)
        async with trio.open_nursery() as nursery:
            network = _net.tcp_network()
            await nursery.start(network.serve, at["engine"], shop.serve)
            await trio.sleep(1.0)
            for _ in range(3):
                status, _ = await test_gateway_process._send_order(client, at)
                assert status == 200
            assert shop.connections == 3
            count = count_descriptors()
            nursery.cancel_scope.cancel()
        await trio.sleep(1.0)
        assert count_descriptors() <= count - 3

    with_gateway(scenario)


def test_callers_that_send_nothing_give_way_to_others():
    async def scenario(fleet):
        streams = []
        for number in range(100):
            streams.append(await fleet.connect())
            await trio.sleep(0.01)
            if number == 70:
                fleet.store.put("op/config", gateways.configuration(2))
                fleet.gateways["g0"].reload(small_settings("g0"))
        begun_s = trio.current_time()
        assert (await fleet.call("/orders/9")).status == 200
        assert trio.current_time() - begun_s < 0.2
        assert await has_ended(streams[0])
        assert not await has_ended(streams[-1])
        fleet.nursery.start_soon(fleet.gateways["g0"].drain)
        await trio.sleep(1.0)
        assert (await fleet.call("/orders/9")).status == 200

    gateways.run(scenario, nodes=1, make_fleet=SmallFleet)


def test_requests_on_connections_beyond_the_share_are_refused_at_once():
    async def scenario(fleet):
        for shop in fleet.shop_servers:
            shop.work_s = 2.0
        statuses = []

        async def order(number):
            reply = await fleet.call("/orders/9", request_id=f"r{number}")
            statuses.append(reply.status)

        for number in range(4):
            fleet.nursery.start_soon(order, number)
        await trio.sleep(0.1)
        kept = [await fleet.connect(HALF_HEAD) for _ in range(60)]
        begun_s = trio.current_time()
        reply = await fleet.call("/orders/9")
        assert trio.current_time() - begun_s < 0.1
        assert reply.status == 503 and reply.whole
        assert reply.headers["retry-after"] == "1"
        assert reply.headers["connection"] == "close"
        await trio.sleep(3.0)
        assert statuses == [200] * 4
        assert len(kept) == 60

    gateways.run(scenario, nodes=1, make_fleet=SmallFleet)


def test_heads_that_come_byte_by_byte_hold_their_places_for_a_time():
    async def scenario(fleet):
        async def trickle(stream):
            with contextlib.suppress(trio.BrokenResourceError):
                while True:
                    await stream.send_all(b"x")
                    await trio.sleep(0.5)

        kept = [await fleet.connect(HALF_HEAD) for _ in range(44)]
        for stream in kept:
            fleet.nursery.start_soon(trickle, stream)
        await trio.sleep(1.0)
        assert (await fleet.call("/orders/9")).status == 503
        limits = fleet.gateways["g0"].http_limits()
        await trio.sleep(limits.read_timeout_s)
        for stream in kept:
            assert (await stream.receive_some()).startswith(b"HTTP/1.1 408 ")
        await trio.sleep(1.0)  # for which refused callers are read
        assert (await fleet.call("/orders/9")).status == 200

    gateways.run(scenario, nodes=1, make_fleet=SmallFleet)


def test_lack_of_descriptors_is_not_blamed_on_servers():
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        await trio.sleep(2.0)  # the idle connections to servers end
        fleet.lacks_any = True
        for _ in range(5):
            reply = await fleet.call("/orders/9")
            assert reply.status == 503
            assert b"too_many_connections" in reply.body
        fleet.lacks_any = False
        for name in gateway.view.servers:
            assert not gateway.reach.is_cut_off(name)
        assert (await fleet.call("/orders/9")).status == 200
        assert not gateway.metrics.counter_totals().get("server_cuts")

    gateways.run(scenario, nodes=2, make_fleet=SmallFleet)


def test_idle_connections_to_servers_give_way_to_new_ones(virtual):
    async def main():
        net = memory.MemoryNetwork()
        share = _descriptors.Share(
            _descriptors.Descriptors(100), _descriptors.SERVERS
        )
        client = _http.HttpClient(net.network("c"), share=share)
        async with trio.open_nursery() as nursery:
            for number in range(30):
                server = servers.PlainServer("s")
                serve = net.network("s").serve
                await nursery.start(serve, f"s{number}:80", server.serve)
            for number in range(30):
                await client.call(f"s{number}:80", "GET", "/")
            assert net.open_connections("c") == 22
            async with contextlib.AsyncExitStack() as stack:
                for _ in range(22):
                    exchange = client.exchange("s0:80", fresh=True)
                    await stack.enter_async_context(exchange)
                with pytest.raises(_descriptors.NoDescriptor):
                    await client.call("s1:80", "GET", "/")
            await client.call("s1:80", "GET", "/")
            nursery.cancel_scope.cancel()

    virtual(main)


def test_callers_take_no_descriptors_of_peers_and_the_store():
    descriptors = _descriptors.Descriptors(1000)
    while descriptors.take(_descriptors.CALLERS):
        pass
    in_use = descriptors.gauge()
    assert in_use["callers"] == 500
    for use in (_descriptors.PEERS, _descriptors.STORE, _descriptors.SERVERS):
        for _ in range(int(use.own_share * 1000)):
            assert descriptors.take(use)
        assert not descriptors.take(use)


def test_process_without_descriptors_still_answers(with_gateway):
    async def scenario(process, at, client, path):
        limit = len(os.listdir(f"/proc/{process.pid}/fd")) + 10
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (limit, limit))
        network = _net.tcp_network()
        kept = [await network.open_stream(at["caller"]) for _ in range(30)]
        for _ in range(3):
            with trio.fail_after(1.0):
                status, _ = await test_gateway_process._send_order(client, at)
            assert status in (200, 503)
        assert len(kept) == 30

    lines = with_gateway(scenario)
    failed = [line for line in lines if line["message"] == "accept_failed"]
    assert failed and all(line["closed_idle"] for line in failed)
