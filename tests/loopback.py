"""A gateway with its store and servers on the sockets of this host."""

import dataclasses
import itertools

import h11
import trio

from coltsfootsail import _embedded
from coltsfootsail import _gateway
from coltsfootsail import _net
from coltsfootsail.platform import messages
from coltsfootsail.standins import servers
from coltsfootsail.standins import store
from coltsfootsail.standins import users
from tests import gateways

LIMIT_S = 60.0
_numbers = itertools.count(1)


class Site:
    """A gateway, a store and servers on loopback.

    :param nursery: runs them.
    :param shops: plain servers.
    :param make_engine: ``(name, store, address)``, makes a model server.
    """

    def __init__(self, nursery, shops, make_engine):
        names = [f"s{n}" for n in range(len(shops))]
        names += ["e0", "e1", "store", "caller", "peer", "ready", "directory"]
        self.at = _embedded.loopback_addresses(names)
        self.store = store.StoreStandIn()
        self.shops = shops
        self.engines = [
            make_engine(f"i-e{n}", self.store, self.at[f"e{n}"])
            for n in range(2)
        ]
        self._nursery = nursery
        self.gateway = None

    async def start(self):
        """Start everything, and wait until streams are served."""
        network = _net.tcp_network()

        async def listen(address, serve):
            await self._nursery.start(
                network.serve, address, _without_stream_errors(serve)
            )

        self.store.put("op/config", users.configuration(1))
        await listen(self.at["store"], self.store.connection_handler("store"))
        for number, shop in enumerate(self.shops):
            address = self.at[f"s{number}"]
            await listen(address, shop.serve)
            entry = users.plain_entry(address)
            self.store.put(f"servers/{shop.name}", entry)
        for engine in self.engines:
            await listen(engine.address, engine.serve)
            engine.register()
        self.gateway = _gateway.Gateway(self._settings(), network)
        await self._nursery.start(self.gateway.run)
        with trio.fail_after(LIMIT_S):
            while not self._is_ready():
                await trio.sleep(0.05)

    def _is_ready(self):
        controllers = self.gateway.owned_engines.controllers
        return len(controllers) == len(self.engines) and all(
            controller.can_order() for controller in controllers.values()
        )

    def _settings(self):
        settings = gateways.settings("g0")
        node = dataclasses.replace(
            settings.node,
            caller_address=self.at["caller"],
            peer_address=self.at["peer"],
            admin_address=self.at["ready"],
            seed_addresses=(),
        )
        return dataclasses.replace(
            settings,
            node=node,
            platform=dataclasses.replace(
                settings.platform, kv_addresses=(self.at["store"],)
            ),
            gateway=dataclasses.replace(
                settings.gateway,
                ready_address=self.at["ready"],
                directory_address=self.at["directory"],
            ),
        )

    def relay_requests(self):
        """Send all requests to servers through a node: the gateway itself."""
        relay = ("g0", self.at["peer"])
        self.gateway.upstream._relays.choose = lambda server: relay

    async def call(self, path, version="1.1", body=b"x"):
        """Send one request as a caller on a connection of its own.

        :param version: of HTTP, that the caller speaks.
        :returns: the request's id and a ``Reply``.
        """
        request_id = f"r{next(_numbers)}"
        head = (
            f"POST {path} HTTP/{version}\r\nhost: {users.HOST}\r\n"
            f"{messages.REQUEST_ID}: {request_id}\r\n"
            f"{messages.DEADLINE}: 3000\r\n{messages.MODEL}: base\r\n"
            f"{messages.TOKENS}: 40,8\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        conn = h11.Connection(h11.CLIENT)
        # The protocol state of a request; the bytes sent are those above.
        request = h11.Request(
            method="POST", target="/", headers=[("host", "x")]
        )
        conn.send(request)
        conn.send(h11.EndOfMessage())
        stream = await _net.tcp_network().open_stream(self.at["caller"])
        async with stream:
            await stream.send_all(head.encode() + body)
            with trio.fail_after(LIMIT_S):
                return request_id, await gateways.read_reply(stream, conn)


def _without_stream_errors(serve):
    async def serve_quietly(stream):
        try:
            await serve(stream)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return

    return serve_quietly


def run(scenario, shops=(), make_engine=servers.ModelServer):
    """Run ``async (site)`` against a gateway on real sockets."""

    async def main():
        async with trio.open_nursery() as nursery:
            site = Site(nursery, shops, make_engine)
            await site.start()
            await scenario(site)
            nursery.cancel_scope.cancel()

    trio.run(main)
