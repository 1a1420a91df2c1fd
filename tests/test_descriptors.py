"""Descriptors that a node's connections take."""

import os

import pytest
import trio

from coltsfootsail import _net
from coltsfootsail.standins import servers
from coltsfootsail.standins import users
from tests import gateways
from tests import test_gateway_process

with_gateway = test_gateway_process.with_gateway


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
