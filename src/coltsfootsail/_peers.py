"""What the nodes of a region tell each other, apart from starts.

Heartbeats carry the version in force, readiness and the backlogs that
changed; a peer that lacks a configuration is sent it.  A request that
was running when servers crashed is counted on every node.
"""

import trio

from coltsfootsail import _logs
from coltsfootsail import _mesh
from coltsfootsail import _seeds
from coltsfootsail import _wire
from coltsfootsail import exceptions
from coltsfootsail import platform

HELLO_TIMEOUT_S = 1.0
MESH_SILENCE_S = 2.5
MESH_REDIAL_S = 0.4


class Peers:
    """The messages of one node.

    :param gateway: the ``Gateway`` whose parts they concern.
    :param hello: the node's ``Hello``.
    :param network: a ``Network``.
    """

    def __init__(self, gateway, hello, network):
        self._gateway = gateway
        self._node = hello.node
        self._network = network
        self._count = gateway.metrics.count
        events = _mesh.LinkCallbacks(
            on_message=self._on_message,
            on_link_up=lambda node: self._count("peer_links", "up"),
            on_link_down=self._on_link_down,
            make_heartbeat=self._heartbeat,
            on_heartbeat=self._on_heartbeat,
        )
        self.mesh = _mesh.Mesh(
            hello, network, events, MESH_SILENCE_S, MESH_REDIAL_S
        )

    # -- heartbeats -------------------------------------------------

    def _heartbeat(self, told):
        changed = tuple(
            (name, level)
            for name, level in self._gateway.owned.levels().items()
            if told.get(name) != level
        )
        told.update(changed)
        return _wire.Heartbeat(
            self._gateway.view.deployment.version,
            self._gateway.lease.kv_ok,
            changed,
            self._gateway.readiness() == "ready",
        )

    def _on_heartbeat(self, node, msg):
        self._gateway.owned.learn(msg.loads)
        view = self._gateway.view
        if msg.revision < view.deployment.version:
            news = _wire.DeploymentUpdate(
                view.raw_deployment, tuple(view.versions.items())
            )
            self.mesh.send(node, news)

    def _on_link_down(self, node):
        self._count("peer_links", "down")
        self._gateway.desk.drop_node(node)

    # -- messages ---------------------------------------------------

    def _on_message(self, node, msg):
        handle = _MESSAGES.get(type(msg))
        if handle is None:
            self._count("peer_messages", "unexpected")
            return
        handle(self, node, msg)

    def _on_grant_ask(self, node, msg):
        self._gateway.desk.ask(
            node, msg, lambda reply: self.mesh.send(node, reply)
        )

    def _on_grant_reply(self, node, msg):
        self._gateway.asker.reply(msg)

    def _on_grant_end(self, node, msg):
        self._gateway.desk.end(node, msg)

    def _on_release_ask(self, node, msg):
        idle_s = self._gateway.claims.superseded(msg.server, msg.fence)
        reply = _wire.Released(msg.server, msg.fence, float(idle_s))
        self.mesh.send(node, reply)

    def _on_released(self, node, msg):
        self._gateway.claims.released(msg.server, msg.fence, msg.idle_s)

    def _on_news(self, node, msg):
        try:
            found = platform.registry.deployment(msg.deployment)
        except exceptions.BadField as exc:
            _logs.state("news_unreadable", node=node, reason=exc.detail)
            return
        view = self._gateway.view
        view.put_in_force(found, msg.deployment)
        for key, version in msg.versions:
            view.raise_version(key, version)

    def _on_strike(self, node, msg):
        self._gateway.strikes.learn(msg.fingerprint, msg.count)

    # -- strikes ----------------------------------------------------

    async def look_for_crash(self, server, content):
        """Count a crash against a content if its server is gone."""
        try:
            stream = await self._network.open_stream(server.address)
        except OSError as exc:
            count = self._gateway.strikes.add(content)
            _logs.state(
                "strike",
                server=server.name,
                content=content,
                count=count,
                reason=repr(exc),
            )
            self._count("strikes", "crash")
            self.mesh.broadcast(_wire.Strike(content, count))
            return
        await trio.aclose_forcefully(stream)

    def absolve(self, content):
        """Note that a content was run to its end."""
        if self._gateway.strikes.clear(content):
            self.mesh.broadcast(_wire.Strike(content, 0))

    # -- links ------------------------------------------------------

    def _addresses(self):
        """List the nodes of the region to be linked with."""
        view = self._gateway.view
        found = {
            name: member.peer_address
            for name, member in view.members().items()
            if member.region == self._gateway.settings.node.region
        }
        found.pop(self._node, None)
        return found

    def _is_listed(self):
        return self._gateway.view.is_member(self._node)

    async def serve(self, stream):
        """Serve a connection of a peer."""
        messages = _wire.MessageStream(stream)
        try:
            with trio.fail_after(HELLO_TIMEOUT_S):
                first = await messages.receive()
            if isinstance(first, _wire.Hello):
                await self.mesh.serve(messages, first)
            elif isinstance(first, _wire.ConfigRequest):
                await _seeds.serve(messages, self._gateway.view)
        except (OSError, trio.TooSlowError):
            return
        except exceptions.WireError as exc:
            self._count("peer_messages", exc.code)

    async def run(self):
        """Keep links to all peers for as long as the task runs."""
        await self.mesh.run(self._addresses, self._is_listed)


_MESSAGES = {
    _wire.GrantRequest: Peers._on_grant_ask,
    _wire.GrantReply: Peers._on_grant_reply,
    _wire.GrantEnd: Peers._on_grant_end,
    _wire.ReleaseRequest: Peers._on_release_ask,
    _wire.Released: Peers._on_released,
    _wire.DeploymentUpdate: Peers._on_news,
    _wire.Strike: Peers._on_strike,
}
