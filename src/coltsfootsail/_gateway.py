"""A gateway: every part of the system that runs on one entry host.

It answers callers, tells them which host to use, follows the platform's
store, keeps links to its peers and owns engines by claim.
"""

import dataclasses
import math
import random
import secrets
import zlib

import trio

from coltsfootsail import _balance
from coltsfootsail import _claims
from coltsfootsail import _grants
from coltsfootsail import _http
from coltsfootsail import _lease
from coltsfootsail import _logs
from coltsfootsail import _metrics
from coltsfootsail import _orderer
from coltsfootsail import _owned
from coltsfootsail import _pages
from coltsfootsail import _peers
from coltsfootsail import _placing
from coltsfootsail import _poison
from coltsfootsail import _popularity
from coltsfootsail import _records
from coltsfootsail import _retries
from coltsfootsail import _seeds
from coltsfootsail import _serving
from coltsfootsail import _shares
from coltsfootsail import _upstream
from coltsfootsail import _view
from coltsfootsail import _wire
from coltsfootsail import exceptions
from coltsfootsail import platform

NODES_SPARE = 3  # machines that may be added unseen, for shared limits
NODES_UNKNOWN = 40  # taken to share limits before any is known
SWEEP_S = 60.0
HALF_LIFE_S = 20.0
IDLE_CONNECTIONS = 12  # kept to one server
ACCEPT_SHARE = 0.25  # of the grace; what is taken then can still end in it
EXIT_MARGIN_S = 1.2
STRIKES_MAX = 3  # crashes after which a content is refused everywhere


class Gateway:
    """One gateway.

    :param settings: ``Settings`` with a ``gateway`` section.
    :param network: a ``Network``.
    """

    def __init__(self, settings, network):
        self.settings = settings
        self.now = network.now
        self.metrics = _metrics.Metrics()
        self.draining = False
        self._refuse_from_s = math.inf
        self._network = network
        self._nursery = None
        self._most_nodes = 1
        self._name = settings.node.name
        self._incarnation = secrets.token_hex(6)
        self._build_state(settings, network)
        self._build_owner(settings, network)
        self._build_serving(settings, network)
        self._pages = _pages.Pages(self)

    def _build_state(self, settings, network):
        """Make what follows the store and the peers."""
        bounds, lease = settings.gateway, settings.lease
        self.kv = platform.StoreClient(
            _http.HttpClient(network, idle_max=4),
            settings.platform.kv_addresses[0],
            lambda kind: self.metrics.count("kv_calls", kind),
        )
        self.lease = _lease.NodeLease(
            self.kv, self.now, lease.ttl_s, lease.margin_s
        )
        self.view = _view.View(self.kv, self.now, self._on_view, bounds.news_s)
        hello = _wire.Hello(
            self._name, settings.node.region, self._incarnation
        )
        self.peers = _peers.Peers(self, hello, network)
        self.mesh = self.peers.mesh

    def _build_owner(self, settings, network):
        """Make what gives orders to engines."""
        lease = settings.lease
        self.claims = _claims.Claims(
            (self._name, self._incarnation),
            self.kv,
            self.lease,
            self.view,
            _claims.Rules(
                settings.gateway.turn_s, lease.ttl_s - lease.margin_s
            ),
            self.now,
            lambda node, server, fence: self.mesh.send(
                node, _wire.ReleaseRequest(server, fence)
            ),
            lambda: self.owned.sync(),
        )
        self._popularity = _popularity.Popularity(HALF_LIFE_S, prior_s=2.0)
        tools = _orderer.Tools(
            _http.HttpClient(network, idle_max=2),
            self._popularity,
            self.now,
            self.metrics,
            self._name,
        )
        self.owned = _owned.Owned(self.claims, self.view, tools)
        self.desk = _grants.Desk(
            self.owned.orderers, self.view.leaving, self.now
        )

    def _build_serving(self, settings, network):
        """Make what serves callers."""
        bounds = settings.gateway
        shares = _shares.ConnectionShares(self.view, self._node_count)
        self.asker = _grants.Asker(
            self._name,
            self.desk,
            self.mesh,
            self.now,
            self.owned.learn_backlog,
        )
        self.placing = _placing.Placing(
            self._name, self.view, self.mesh, self.owned.backlog_s, self.now
        )
        rng = random.Random(zlib.crc32(self._name.encode()))
        self.balance = _balance.Balance(
            settings.node.data_centre, self.now, rng, shares.limit
        )
        self.budget = _retries.WindowBudget(
            bounds.retry_ratio,
            bounds.retry_extra,
            bounds.retry_window_s,
            self._node_count,
            self.now,
        )
        client = _http.HttpClient(
            network, None, IDLE_CONNECTIONS, shares.limit
        )
        self.upstream = _upstream.Upstream(client)
        self.strikes = _poison.Strikes(lambda content: 0, STRIKES_MAX)
        self.serving = _serving.Serving(self)

    def _node_count(self):
        """Count the nodes that share limits, the most ever seen at once.

        Registrations vanish with their leases while the nodes live on.
        """
        seen = max(self.view.member_count(), len(self.mesh.linked_nodes()) + 1)
        self._most_nodes = max(self._most_nodes, seen)
        if not self.view.known.is_set():
            return NODES_UNKNOWN
        return self._most_nodes + NODES_SPARE

    # -- what callers meet ------------------------------------------

    def readiness(self):
        """Tell whether callers should use this node.

        While the store is away a node serves without its lease; one that
        has the store but not its lease, as after a suspension, does not.

        :returns: ``ready`` or the reason why not.
        """
        if self.draining:
            return "draining"
        if self.lease.kv_ok and not self.lease.valid():
            return "no_lease"
        if not self.view.deployment.version:
            return "no_configuration"
        if not self.view.servers:
            return "no_servers"
        return "ready"

    def check_serving(self):
        """Refuse requests that this node can't serve.

        :raises NoConfiguration: if none is in force.
        :raises Draining: if it is about to stop.
        """
        if not self.view.deployment.version:
            raise exceptions.NoConfiguration(retry_after_s=0.5)
        if self.now() >= self._refuse_from_s:
            raise exceptions.Draining(retry_after_s=0.0)

    def closing_headers(self):
        """Headers that end a caller's connection while draining."""
        return (("connection", "close"),) if self.draining else ()

    def http_limits(self):
        """Get the limits on callers that are in force."""
        limits = self.view.deployment.limits
        return _http.HttpLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            read_timeout_s=limits.header_timeout_s + 2.0,
            idle_timeout_s=limits.idle_timeout_s + 1.0,
        )

    async def _serve_callers(self, stream):
        try:
            await _http.serve_connection(
                stream,
                self.http_limits,
                self.serving.handle,
                lambda exc: self.metrics.count("refusals", exc.code),
            )
        except Exception as exc:
            # A fault in the code costs one connection, not the process
            # with the requests of all others.
            self.metrics.count("refusals", "internal_error")
            _logs.failure("connection_failed", exc)

    def suspect(self, server, content):
        """Look whether a server crashed while it ran a content."""
        self._nursery.start_soon(self.peers.look_for_crash, server, content)

    # -- the store --------------------------------------------------

    def _on_view(self, changed):
        self.balance.keep(self.view.servers)
        self.owned.turn_leaving_away()
        if changed is None:
            self.mesh.dial_now()
        lost = not self.view.is_member(self._name)
        if lost and self.lease.valid() and not self.draining:
            self._nursery.start_soon(self._publish)

    async def _publish(self):
        try:
            await self.lease.publish(self._member())
        except exceptions.KvError as exc:
            _logs.state("publish_failed", reason=exc.detail)

    def _member(self):
        return _records.make_member(
            self.settings.node,
            self._incarnation,
            self.lease.number,
            self.draining,
        )

    def _on_lease(self, event):
        _logs.state("lease", node=self._name, change=event)
        name = "kv_state" if event.startswith("kv_") else "lease"
        self.metrics.count(name, event)

    def _seed_addresses(self):
        node = self.settings.node
        own = node.peer_address
        return [each for each in node.seed_addresses if each != own]

    # -- life -------------------------------------------------------

    async def _run_sweep(self):
        """Drop stale rows, so that no table grows without bound."""
        while True:
            await trio.sleep(SWEEP_S)
            self._popularity.sweep(self.now())
            self.owned.sweep()
            self.placing.sweep()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run the gateway until it is cancelled or has drained."""
        node, gateway = self.settings.node, self.settings.gateway
        listeners = (
            (node.peer_address, self.peers.serve),
            (gateway.ready_address, self._pages.serve_operators),
            (gateway.directory_address, self._pages.serve_callers),
            (node.caller_address, self._serve_callers),
        )
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for address, serve in listeners:
                await nursery.start(self._network.serve, address, serve)
            renew_s = self.settings.lease.renew_s
            nursery.start_soon(
                self.lease.run, renew_s, self._member, self._on_lease
            )
            nursery.start_soon(self.view.run)
            nursery.start_soon(
                _seeds.run, self._network, self._seed_addresses(), self.view
            )
            nursery.start_soon(self.peers.run)
            nursery.start_soon(self.claims.run)
            nursery.start_soon(self.owned.run)
            nursery.start_soon(self._run_sweep)
            _logs.state(
                "node_started", node=node.name, incarnation=self._incarnation
            )
            task_status.started()

    def reload(self, settings):
        """Take changed settings; addresses need a new start.

        :param settings: ``Settings`` read again.
        """
        if settings.node != self.settings.node:
            _logs.state("settings_need_restart", node=self._name)
        self.settings = dataclasses.replace(
            settings, node=self.settings.node, platform=self.settings.platform
        )
        bounds = settings.gateway
        self.budget.set_bounds(bounds.retry_ratio, bounds.retry_extra)
        _logs.state("settings_reloaded", node=self._name)

    async def drain(self):
        """Stop without cutting off a request.

        Callers are sent elsewhere at once; requests are taken for a while
        from those who don't know yet, then refused as not run.
        """
        grace_s = self.settings.gateway.grace_s
        stop_s = self.now() + grace_s - EXIT_MARGIN_S
        self._refuse_from_s = self.now() + ACCEPT_SHARE * grace_s
        self.draining = True
        _logs.state("node_draining", node=self._name)
        with trio.move_on_after(1.0):
            await self._publish()
            await self.claims.release()
        while self.now() < stop_s:
            idle = not self.serving.active
            if idle and self.now() >= self._refuse_from_s:
                break
            await trio.sleep(0.05)
        with trio.move_on_after(0.2):
            try:
                await self.lease.revoke()
            except exceptions.KvError as exc:
                _logs.state("revoke_failed", reason=exc.detail)
        _logs.state("node_stopped", node=self._name)
        self._nursery.cancel_scope.cancel()
