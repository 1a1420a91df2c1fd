"""Messages between the gateways of a region, and their handlers.

Heartbeats carry the sender's configuration version, its readiness and the
engine backlogs that changed.  A peer with an older configuration is sent
the newer one.
"""

import trio

from coltsfootsail import _held_memory
from coltsfootsail import _logs
from coltsfootsail import _mesh
from coltsfootsail import _seeds
from coltsfootsail import _tasks
from coltsfootsail import _wire
from coltsfootsail import exceptions
from coltsfootsail import platform

HELLO_TIMEOUT_S = 5.0
MESH_PACE = _mesh.MeshPace(
    silence_s=2.5, redial_s=0.4, idle_per_link_s=0.1, watched_max=4
)
CHECKS_MAX = 256  # of servers for peers, at a time
CATCH_UP_PAUSE_S = 0.5  # between requests for a newer configuration


class PeerHandler:
    """Sends and handles the peer messages of one node.

    :param gateway: the ``Gateway``.
    :param hello: the node's ``Hello``.
    :param network: a ``Network``.
    """

    def __init__(self, gateway, hello, network):
        self._gateway = gateway
        self._node = hello.node
        self._network = network
        self._count = gateway.metrics.count
        callbacks = _mesh.LinkCallbacks(
            on_message=self._on_message,
            on_link_up=self._on_link_up,
            on_link_down=self._on_link_down,
            make_heartbeat=self._make_heartbeat,
            on_heartbeat=self._on_heartbeat,
            on_skipped=self._on_skipped,
            on_vocabulary=self._tell_what_is_known,
            urgent_status=lambda: gateway.readiness() == "ready",
            count=self._count,
            hold_memory=self._hold_memory,
        )
        self._skipping = set()
        self.mesh = _mesh.Mesh(
            hello, network, callbacks, MESH_PACE, gateway.peer_share
        )
        self._catch_up_from_s = 0.0
        self._open_checks = 0
        self._askers = trio.CapacityLimiter(_seeds.ASKERS_MAX)
        self._tasks = _tasks.TaskGroup("peer", self._count)

    def _make_heartbeat(self, sent_backlogs):
        changed = tuple(
            (name, backlog)
            for name, backlog in self._gateway.owned_engines.backlogs().items()
            if sent_backlogs.get(name) != backlog
        )
        sent_backlogs.update(changed)
        return _wire.Heartbeat(
            self._gateway.view.deployment.version,
            self._gateway.lease.kv_ok,
            changed,
            self._gateway.readiness() == "ready",
        )

    def _on_heartbeat(self, node, msg):
        self._gateway.owned_engines.record_peer_backlogs(msg.loads)
        view = self._gateway.view
        if msg.revision < view.deployment.version:
            self.mesh.send_large(node, self._make_update)
        elif msg.revision > view.deployment.version:
            self._catch_up(node)

    def _make_update(self):
        view = self._gateway.view
        return _wire.DeploymentUpdate(
            view.raw_deployment, tuple(view.versions.items())
        )

    def _catch_up(self, node):
        """Show a node that its configuration is newer, to be sent it."""
        now_s = self._network.now()
        if now_s >= self._catch_up_from_s:
            self._catch_up_from_s = now_s + CATCH_UP_PAUSE_S
            self.mesh.hasten(node)

    def _on_link_up(self, node):
        self._count("peer_links", "up")
        self._gateway.quotas.note_link(node)
        self._tell_what_is_known(node)

    def _tell_what_is_known(self, node):
        """Tell a node what was told to all nodes before it had a link."""
        gateway = self._gateway
        for msg in (
            *gateway.limits.messages(),
            *gateway.refusals.messages(),
            *gateway.crashes.messages(),
            *gateway.reach.messages(),
            *gateway.speeds.messages(node, set(self.mesh.linked_nodes())),
        ):
            self.mesh.send(node, msg)
        for server in gateway.states.stated_leaving():
            self.mesh.send(node, _wire.ServerLeaving(server))

    def _on_skipped(self, node, what):
        """Count what is skipped of a newer build's messages."""
        self._count("peer_messages", "skipped")
        if node not in self._skipping:
            self._skipping.add(node)
            _logs.state("peer_message_skipped", node=node, what=what)

    def _on_link_down(self, node):
        self._count("peer_links", "down")
        self._skipping.discard(node)
        self._gateway.grant_server.drop_node(node)
        self._gateway.grant_client.drop_node(node)
        self._gateway.reach.forget(node)
        self._gateway.quotas.drop_node(node)

    def _on_message(self, node, msg):
        handler = _HANDLERS.get(type(msg))
        if handler is None:
            self._count("peer_messages", "unexpected")
            return
        if type(msg) in _TOLD_AGAIN:
            handler(self, node, msg)
            return
        _tasks.call_contained(
            "peer",
            self._count,
            handler,
            self,
            node,
            msg,
            node=node,
            kind=type(msg).__name__,
        )

    def _on_grant_request(self, node, msg):
        self._gateway.grant_server.handle_request(
            node, msg, lambda reply: self.mesh.send(node, reply)
        )

    def _on_grant_reply(self, node, msg):
        self._gateway.grant_client.handle_reply(msg)

    def _on_grant_end(self, node, msg):
        self._gateway.grant_server.handle_end(node, msg)

    def _on_release_request(self, node, msg):
        idle_s = self._gateway.claims.superseded(msg.server, msg.fence, node)
        reply = _wire.Released(msg.server, msg.fence, float(idle_s))
        self.mesh.send(node, reply)

    def _on_released(self, node, msg):
        self._gateway.claims.released(node, msg.server, msg.fence, msg.idle_s)

    def _on_deployment_update(self, node, msg):
        try:
            deployment = platform.registry.decode_deployment(msg.deployment)
        except exceptions.BadField as exc:
            _logs.state("news_unreadable", node=node, reason=exc.detail)
            return
        view = self._gateway.view
        view.apply_deployment(deployment, msg.deployment)
        for key, version in msg.versions:
            view.raise_version(key, version)

    def _on_server_limit(self, node, msg):
        self._gateway.limits.learn(msg, node)

    def _on_server_brittle(self, node, msg):
        self._gateway.refusals.learn(msg, node)

    def _on_server_speed(self, node, msg):
        self._gateway.speeds.learn(msg, node)

    def _on_server_leaving(self, node, msg):
        self._gateway.states.learn_leaving(msg.server, node)

    def _on_server_busy(self, node, msg):
        self._gateway.states.learn_busy(msg, node)

    def _on_stream_begun(self, node, msg):
        self._gateway.stream_origins.learn(msg)

    def _on_stream_query(self, node, msg):
        self.mesh.send(node, self._gateway.stream_origins.answer(msg))

    def _on_stream_reply(self, node, msg):
        self._gateway.stream_origins.handle_reply(msg)

    def _on_freshness_query(self, node, msg):
        self.mesh.send(node, self._gateway.peer_proofs.answer(msg))

    def _on_freshness_reply(self, node, msg):
        self._gateway.peer_proofs.handle_reply(node, msg)

    def _on_retry_request(self, node, msg):
        self.mesh.send(node, self._gateway.retry_loans.answer(node, msg))

    def _on_retry_reply(self, node, msg):
        self._gateway.retry_loans.handle_reply(node, msg)

    def _on_strike(self, node, msg):
        self._gateway.crashes.learn_strike(msg)

    def _on_crashed_run(self, node, msg):
        self._gateway.crashes.learn_run(msg, node)

    def _on_parts_cleared(self, node, msg):
        self._gateway.crashes.learn_cleared(msg, node)

    def _on_cut_off(self, node, msg):
        self._gateway.reach.learn(msg, node)

    def _on_server_check(self, node, msg):
        if self._open_checks >= CHECKS_MAX:
            # Without a reply the peer asks another node.
            self._count("peer_messages", "too_many")
            _logs.detail("check_dropped", node=node, server=msg.server)
            return
        self._open_checks += 1
        self._tasks.start_soon(self._answer_check, node, msg)

    async def _answer_check(self, node, msg):
        try:
            reply = await self._gateway.crash_checks.answer(msg)
        finally:
            self._open_checks -= 1
        self.mesh.send(node, reply)

    def _on_server_check_reply(self, node, msg):
        self._gateway.crash_checks.handle_reply(msg)

    def _on_quota_report(self, node, msg):
        self._gateway.quotas.handle_report(node, msg)

    def _on_quota_reply(self, node, msg):
        self._gateway.quotas.handle_reply(node, msg)

    def _peer_addresses(self):
        """List the other nodes of the region.

        :returns: dict of node name to peer address.
        """
        view = self._gateway.view
        addresses = {
            name: member.peer_address
            for name, member in view.members().items()
            if member.region == self._gateway.settings.node.region
        }
        addresses.pop(self._node, None)
        return addresses

    def _is_registered(self):
        return self._gateway.view.is_member(self._node)

    async def serve(self, stream):
        """Serve a connection that a peer opened."""
        try:
            async with self._gateway.peer_share.held():
                with self._hold_memory() as account:
                    await self._serve(
                        _wire.MessageStream(stream, account=account)
                    )
        except (OSError, trio.TooSlowError):
            return
        except exceptions.WireError as exc:
            self._count("peer_messages", exc.code)
            _logs.state("peer_message_refused", node="", why=exc.detail)

    def _hold_memory(self):
        """Hold memory for the incomplete messages of one connection."""
        return self._gateway.held_memory.hold(_held_memory.PEER)

    async def _serve(self, messages):
        with trio.fail_after(HELLO_TIMEOUT_S):
            first = await messages.receive()
        if isinstance(first, _wire.Hello):
            await self.mesh.serve(messages, first)
        elif isinstance(first, _wire.ConfigRequest):
            await _seeds.serve_entries(
                messages, self._gateway.view, self._askers
            )
        elif isinstance(first, _wire.RelayRequest):
            await self._gateway.relay_server.serve(messages, first)

    async def run(self):
        """Keep links to all peers until cancelled."""
        async with self._tasks.opened():
            await self.mesh.run(self._peer_addresses, self._is_registered)


# What is told again when a link is up.  An error in the handling of others
# ends no link, with which all grants would end; what they held is lost.
_TOLD_AGAIN = frozenset(
    {
        _wire.ServerLimit,
        _wire.ServerBrittle,
        _wire.ServerSpeed,
        _wire.ServerLeaving,
        _wire.Strike,
        _wire.CrashedRun,
        _wire.CutOff,
    }
)
_HANDLERS = {
    _wire.GrantRequest: PeerHandler._on_grant_request,
    _wire.WorkspaceGrantRequest: PeerHandler._on_grant_request,
    _wire.GrantReply: PeerHandler._on_grant_reply,
    _wire.GrantEnd: PeerHandler._on_grant_end,
    _wire.StreamedGrantEnd: PeerHandler._on_grant_end,
    _wire.ReleaseRequest: PeerHandler._on_release_request,
    _wire.Released: PeerHandler._on_released,
    _wire.DeploymentUpdate: PeerHandler._on_deployment_update,
    _wire.ServerLimit: PeerHandler._on_server_limit,
    _wire.ServerBrittle: PeerHandler._on_server_brittle,
    _wire.ServerSpeed: PeerHandler._on_server_speed,
    _wire.ServerLeaving: PeerHandler._on_server_leaving,
    _wire.ServerBusy: PeerHandler._on_server_busy,
    _wire.StreamBegun: PeerHandler._on_stream_begun,
    _wire.StreamQuery: PeerHandler._on_stream_query,
    _wire.StreamReply: PeerHandler._on_stream_reply,
    _wire.FreshnessQuery: PeerHandler._on_freshness_query,
    _wire.FreshnessReply: PeerHandler._on_freshness_reply,
    _wire.Strike: PeerHandler._on_strike,
    _wire.CrashedRun: PeerHandler._on_crashed_run,
    _wire.PartsCleared: PeerHandler._on_parts_cleared,
    _wire.CutOff: PeerHandler._on_cut_off,
    _wire.ServerCheck: PeerHandler._on_server_check,
    _wire.ServerCheckReply: PeerHandler._on_server_check_reply,
    _wire.QuotaReport: PeerHandler._on_quota_report,
    _wire.QuotaReply: PeerHandler._on_quota_reply,
    _wire.RetryRequest: PeerHandler._on_retry_request,
    _wire.RetryReply: PeerHandler._on_retry_reply,
}
