"""Limits on a node's connections to a server."""

import types

import pytest
import trio

from coltsfootsail import _connection_limits
from coltsfootsail import _fleet
from coltsfootsail import _http
from coltsfootsail.standins import network as memory
from coltsfootsail.standins import servers


def _view(connections_max):
    server = types.SimpleNamespace(address="s:80", service="shop")
    return types.SimpleNamespace(
        generation=1,
        servers={"s": server},
        deployment=_fleet.Deployment(
            1,
            (),
            {"shop": _fleet.Service("shop", connections_max)},
            _fleet.CallerLimits(),
        ),
    )


@pytest.mark.parametrize(
    ("connections_max", "nodes", "limit"),
    [(110, 12, 8), (690, 64, 9), (370, 333, 2), (0, 1, 2)],
)
def test_nodes_share_the_connections_of_a_server(
    connections_max, nodes, limit
):
    limits = _connection_limits.ConnectionLimits(
        _view(connections_max), lambda: nodes
    )
    assert limits.limit("s:80") == limit


def test_unknown_address_gets_the_minimum():
    limits = _connection_limits.ConnectionLimits(_view(1000), lambda: 1)
    assert limits.limit("t:80") == _connection_limits.MIN_CONNECTIONS


def test_idle_connections_are_closed_for_new_ones(virtual):
    async def run(client, server):
        for _ in range(3):
            await client.call("s:80", "GET", "/")
        async with client.exchange("s:80"), client.exchange("s:80"):
            await client.call("s:80", "GET", "/")
        await trio.sleep(0.1)
        assert server.connections == 0

    async def main():
        net = memory.MemoryNetwork()
        server = servers.PlainServer("s")
        client = _http.HttpClient(net.network("c"), total=lambda address: 2)
        async with trio.open_nursery() as nursery:
            network = net.network("s")
            await nursery.start(network.serve, "s:80", server.serve)
            await run(client, server)
            nursery.cancel_scope.cancel()

    virtual(main)
