"""The gateway: builds and runs all components of one entry host.

A gateway answers callers, tells them which host to use, follows the
platform's store, keeps links to its peers and controls the engines whose
claims it holds.
"""

import dataclasses
import functools
import math
import random
import secrets
import zlib

import trio

from coltsfootsail import _access
from coltsfootsail import _claims
from coltsfootsail import _clock_steps
from coltsfootsail import _connection_limits
from coltsfootsail import _connections
from coltsfootsail import _crash_checks
from coltsfootsail import _crashes
from coltsfootsail import _descriptors
from coltsfootsail import _engine_controller
from coltsfootsail import _engine_selection
from coltsfootsail import _freshness
from coltsfootsail import _grants
from coltsfootsail import _held_memory
from coltsfootsail import _http
from coltsfootsail import _lease
from coltsfootsail import _limited_servers
from coltsfootsail import _load_balancer
from coltsfootsail import _logs
from coltsfootsail import _membership
from coltsfootsail import _metrics
from coltsfootsail import _owned
from coltsfootsail import _pages
from coltsfootsail import _peers
from coltsfootsail import _poison
from coltsfootsail import _popularity
from coltsfootsail import _quotas
from coltsfootsail import _reach
from coltsfootsail import _records
from coltsfootsail import _relays
from coltsfootsail import _request_handler
from coltsfootsail import _restarted_servers
from coltsfootsail import _retries
from coltsfootsail import _retry_loans
from coltsfootsail import _seeds
from coltsfootsail import _server_limits
from coltsfootsail import _server_speeds
from coltsfootsail import _server_states
from coltsfootsail import _stream_origins
from coltsfootsail import _stream_writer
from coltsfootsail import _tasks
from coltsfootsail import _upstream
from coltsfootsail import _view
from coltsfootsail import _wire
from coltsfootsail import exceptions
from coltsfootsail import platform

# Limits on connections are divided by the number of nodes.
NODE_COUNT_RESERVE = 3  # nodes that may have been added but are not seen yet
NODE_COUNT_DEFAULT = 40  # assumed until the deployment is known
HEADER_BYTES_MAX = 65_536  # of a caller, whatever is configured
SWEEP_INTERVAL_S = 60.0
STALE_CHECK_S = 0.5  # between looks for idle connections of no more use
POPULARITY_HALF_LIFE_S = 20.0
IDLE_CONNECTIONS_MAX = 12  # to one server
SERVER_CONNECT_TIMEOUT_S = 0.5  # leaves a request time for another server
# Share of the grace period in which a draining node accepts requests, early
# enough for them to end before the process does.
DRAIN_ACCEPT_SHARE = 0.25
EXIT_MARGIN_S = 1.2  # a draining node stops this long before it is killed
# Share of the grace period that this margin may take, for short ones: what
# runs before the last sixth must not be cut off.
EXIT_MARGIN_SHARE = 0.15
FINAL_ANSWERS_S = 0.3  # within it, for requests that still run then
STRIKES_MAX = 3  # crashes after which every node refuses a content


def _retry_bounds(gateway_settings):
    return _retries.WindowBounds(
        gateway_settings.retry_ratio,
        gateway_settings.retry_extra,
        gateway_settings.retry_window_s,
    )


def _budget_bytes(gateway_settings):
    return _held_memory.budget_bytes(gateway_settings.memory_mb * 10**6)


def _exit_margin_s(grace_s):
    """Get how long before the end of its grace period a node stops."""
    return min(EXIT_MARGIN_S, EXIT_MARGIN_SHARE * grace_s)


class Gateway:
    """The components of one gateway, and its start, reload and drain.

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
        self._max_nodes_seen = 1
        self._name = settings.node.name
        self._incarnation = secrets.token_hex(6)
        self._build_shares(settings.gateway)
        self._build_store_and_peers(settings, network)
        self._build_engine_control(settings, network)
        self._build_request_handling(settings, network)
        self._pages = _pages.StatusPages(self)

    def _build_shares(self, gateway_settings):
        """Divide the process's memory and descriptors among what it serves.

        Connections of callers may take as much memory as all that is held
        for requests and answers.
        """
        self.held_memory = _held_memory.HeldMemory(
            _budget_bytes(gateway_settings)
        )
        budget_bytes = self.held_memory.budget_bytes
        callers_max = budget_bytes // _descriptors.CALLER_BYTES
        self.descriptors = _descriptors.Descriptors(
            _descriptors.usable(gateway_settings.descriptors),
            {_descriptors.CALLERS: callers_max},
        )
        share = functools.partial(
            _descriptors.Share, self.descriptors, count=self.metrics.count
        )
        self._store_share = share(_descriptors.STORE)
        self._server_share = share(_descriptors.SERVERS)
        self.peer_share = share(_descriptors.PEERS)
        spare = share(_descriptors.REFUSALS)
        self._callers = _connections.Connections(
            share(_descriptors.CALLERS), spare
        )
        self._page_readers = _connections.Connections(
            share(_descriptors.PAGES), spare
        )

    def _build_store_and_peers(self, settings, network):
        """Build the components that talk to the store and to peers."""
        gateway_settings, lease = settings.gateway, settings.lease
        self._store_client = _http.HttpClient(
            network, idle_max=4, share=self._store_share
        )
        self.kv = platform.StoreClient(
            self._store_client,
            settings.platform.kv_addresses[0],
            lambda operation: self.metrics.count("kv_calls", operation),
            self._on_new_era,
        )
        self.lease = _lease.NodeLease(
            self.kv, self.now, lease.ttl_s, lease.margin_s
        )
        self.freshness = _freshness.Freshness(
            _access.proof_limits(gateway_settings.revocation_s), self.now
        )
        self.view = _view.DeploymentView(
            self.kv,
            self.now,
            self._on_view_change,
            gateway_settings.news_s,
            self.freshness,
            self._on_server_restart,
            self.metrics.count,
        )
        hello = _wire.Hello(
            self._name, settings.node.region, self._incarnation
        )
        self.peers = _peers.PeerHandler(self, hello, network)
        self.mesh = self.peers.mesh
        self.peer_proofs = _freshness.PeerProofs(
            self.freshness,
            lambda: self.view.deployment.version,
            self.mesh,
            self.now,
        )
        self.limits = _server_limits.ServerLimits(
            self.now,
            self.metrics.count,
            self.mesh.broadcast,
        )
        self.refusals = _server_limits.ServerLimits(
            self.now,
            self.metrics.count,
            self.mesh.broadcast,
            _server_limits.REFUSALS,
        )
        self.speeds = _server_speeds.ServerSpeeds(
            self.view,
            self.now,
            self.metrics.count,
            self.mesh.broadcast,
            self._claimant,
            self._name,
        )
        self.states = _server_states.ServerStates(
            self.view,
            self.limits,
            self.refusals,
            self.now,
            self.metrics.count,
            self._on_server_closed,
            self.mesh.broadcast,
            self._tell_owner,
        )
        self.limited_servers = _limited_servers.LimitedServers(
            self._name,
            self.view,
            self.mesh,
            self.limits,
            self.refusals,
            lambda: self.readiness() == "ready",
            self.now,
            self.metrics.count,
        )

        self.stream_writer = _stream_writer.StreamWriter(
            (self._name, self._incarnation),
            self.kv,
            self.now,
            self._node_count,
            _stream_origins.KEEP_S,
            self.metrics.count,
        )
        self.stream_origins = _stream_origins.StreamOrigins(
            self.view,
            self.mesh,
            self.now,
            _stream_origins.StreamStore(
                self.view.stream_slots,
                self.stream_writer.record,
                self._wait_until_populated,
                self.view.read_versions,
            ),
            network.wall,
            self.metrics.count,
        )
        self.crash_checks = _crash_checks.CrashChecks(
            self.view,
            self.mesh,
            _http.HttpClient(
                network, idle_max=0, share=self._server_share
            ).is_accepting,
            lambda node, server: not self.reach.is_cut_off(server.name, node),
            self.now,
        )
        self.reach = _reach.Reach(
            self._name,
            settings.node.data_centre,
            self.view,
            self.mesh,
            self.crash_checks,
            self.now,
            self.metrics.count,
            lambda address: self.server_client.forget(address),
        )

    def _build_engine_control(self, settings, network):
        """Build the components that control engines."""
        lease = settings.lease
        self.claims = _claims.EngineClaims(
            (self._name, self._incarnation),
            self.kv,
            self.lease,
            self.view,
            _claims.TakeoverRules(
                settings.gateway.turn_s, lease.ttl_s - lease.margin_s
            ),
            self.now,
            lambda node, server, fence: self.mesh.send(
                node, _wire.ReleaseRequest(server, fence)
            ),
            lambda: self.owned_engines.sync_with_claims(),
            self.reach.is_cut_off,
        )
        self._popularity = _popularity.Popularity(
            POPULARITY_HALF_LIFE_S, prior_s=2.0
        )
        self._order_client = _http.HttpClient(
            network, idle_max=2, share=self._server_share
        )
        dependencies = _engine_controller.ControllerDependencies(
            self._order_client,
            self._popularity,
            self.now,
            self.metrics,
            self._name,
            self.limits.per_s,
            self.refusals.per_s,
            self.states.takes_requests,
            self.reach.find,
            self.speeds,
            self.view.born_ms,
            self.view.note_start,
        )
        self.owned_engines = _owned.OwnedEngines(
            self.claims, self.view, self.states, dependencies
        )
        self.grant_server = _grants.GrantServer(
            self._grant_controller,
            self.states.is_unavailable,
            self.states.busy_for_all_s,
            self.claims.successor,
            self.now,
        )

    def _build_request_handling(self, settings, network):
        """Build the components that answer callers."""
        gateway_settings = settings.gateway
        limits = self._connection_limits = _connection_limits.ConnectionLimits(
            self.view, self._node_count
        )
        self.grant_client = _grants.GrantClient(
            self._name,
            self.grant_server,
            self.mesh,
            self.now,
            self._record_backlog,
            lambda server, node, fence: self.engine_selector.note_owner(
                server, node, fence
            ),
            self.metrics.count,
        )
        self.engine_selector = _engine_selection.EngineSelector(
            self._name,
            self.view,
            self.mesh,
            self.owned_engines.backlog_s,
            self.states,
            self.reach.is_usable,
            self.now,
            self.speeds,
        )
        rng = random.Random(zlib.crc32(self._name.encode()))
        self.balancer = _load_balancer.LoadBalancer(
            settings.node.data_centre,
            self.now,
            rng,
            limits.limit,
            self.limited_servers.wait_s,
            self.states.is_cold,
        )
        self._retry_share = _membership.NodeShare(
            self._name,
            self.view,
            self.lease,
            gateway_settings.retry_window_s,
            self.now,
        )
        self.retry_budget = _retries.WindowBudget(
            _retry_bounds(gateway_settings),
            self._retry_share.share,
            self.now,
        )
        self.retry_loans = _retry_loans.RetryLoans(
            self.retry_budget, self.mesh
        )
        self.server_client = _http.HttpClient(
            network,
            None,
            IDLE_CONNECTIONS_MAX,
            limits.limit,
            SERVER_CONNECT_TIMEOUT_S,
            self._server_share,
        )
        report_client = _http.HttpClient(
            network, idle_max=0, share=self._server_share
        )
        self.upstream = _upstream.UpstreamClient(
            self.server_client,
            report_client,
            _relays.RelayClient(
                network, self.reach.relay, self.metrics.count, self.peer_share
            ),
            self.limits,
            self.refusals,
            self.states,
            self.reach,
            self.now,
            self.metrics.count,
        )
        self.relay_server = _relays.RelayServer(
            self.view,
            self.states,
            self.reach,
            self.upstream,
            self.held_memory,
            self.metrics.count,
        )
        self.crashes = _crashes.CrashTracker(
            self._name,
            _poison.Strikes(self.view.strike_count, STRIKES_MAX),
            self.crash_checks,
            self.view,
            self.mesh,
            self.kv,
            self.now,
            self.metrics.count,
        )
        self.quotas = _quotas.Quotas(
            self._name,
            gateway_settings,
            self.view,
            self.lease,
            self.mesh,
            lambda: self.readiness() == "ready",
            self.now,
            self.metrics.count,
        )
        self.request_handler = _request_handler.RequestHandler(self)

    def _grant_controller(self, server_name):
        """Get what grants the starts at a server, None if it is elsewhere."""
        controller = self.owned_engines.controllers.get(server_name)
        return controller or self.limited_servers.controller(server_name)

    def _record_backlog(self, server_name, backlog_s):
        """Store the backlog that a server's owner sent with a reply."""
        self.owned_engines.record_backlog(server_name, backlog_s)
        self.limited_servers.record_wait(server_name, backlog_s)

    def _node_count(self):
        """Count the nodes that share limits.

        The highest count ever seen is used, because a registration expires
        with its lease while the node may still be running.
        """
        seen = max(self.view.member_count(), len(self.mesh.linked_nodes()) + 1)
        self._max_nodes_seen = max(self._max_nodes_seen, seen)
        if not self.view.populated.is_set():
            return NODE_COUNT_DEFAULT
        return self._max_nodes_seen + NODE_COUNT_RESERVE

    async def _wait_until_populated(self):
        """Wait at the node's start until the store's entries were read."""
        with trio.move_on_after(_request_handler.CONFIGURATION_WAIT_S):
            await self.view.populated.wait()

    def readiness(self):
        """Tell whether callers should use this node.

        While the store is unavailable, a node serves without a valid lease.
        A node that reaches the store but holds no valid lease, such as one
        that was suspended, is not ready.

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

        :raises NoConfiguration: if the node has no configuration yet.
        :raises Draining: if the node is about to stop.
        """
        if not self.view.deployment.version:
            raise exceptions.NoConfiguration(retry_after_s=0.5)
        if self.now() >= self._refuse_from_s:
            raise exceptions.Draining(retry_after_s=0.0)

    def closing_headers(self, resp):
        """Get the headers that close a caller's connection while draining.

        It stays open for a further request that has been received already.
        """
        if self.draining and not resp.has_next():
            return (("connection", "close"),)
        return ()

    def http_limits(self):
        """Get the current limits on callers' connections and requests."""
        limits = self.view.deployment.limits
        return _http.HttpLimits(
            header_bytes=min(limits.header_bytes, HEADER_BYTES_MAX),
            body_bytes=limits.body_bytes,
            read_timeout_s=limits.header_timeout_s + 2.0,
            idle_timeout_s=limits.idle_timeout_s + 1.0,
        )

    async def _serve_callers(self, stream, place):
        try:
            await _http.serve_connection(
                stream,
                lambda: place.limits(self.http_limits()),
                self.request_handler.handle,
                self.request_handler.note_unread,
                self.held_memory,
                place,
            )
        except Exception as exc:
            # A bug ends this one connection only, not the process and the
            # requests of all other callers.
            self.metrics.count("refusals", "internal_error")
            _logs.failure("connection_failed", exc)

    def _on_view_change(self, changed):
        """Tell all components of a change; an error of one ends no other.

        :param changed: set of keys, or None if all may have changed.
        :returns: whether none of them raised an error.
        """
        servers = self.view.servers
        calls = [
            (self.balancer.keep, servers),
            (self.stream_origins.note_servers,),
            (self.states.note_servers,),
            (self.limits.keep, servers),
            (self.refusals.keep, servers),
            (self.speeds.keep, servers),
            (self.limited_servers.keep, servers),
            (self.crash_checks.keep, servers),
            (self.crashes.note_stored,),
            (self.reach.keep, servers),
            (self.quotas.note_view,),
            (self._retry_share.note,),
            (self.owned_engines.turn_away_from_unavailable,),
            (self._register_again,),
        ]
        if changed is None:
            calls.append((self.mesh.dial_now,))
        version = self.view.deployment.version
        heard = [
            _tasks.call_contained(
                "view", self.metrics.count, *call, version=version
            )
            for call in calls
        ]
        return all(heard)

    def _register_again(self):
        """Register this node if its registration has vanished."""
        unregistered = not self.view.is_member(self._name)
        if unregistered and self.lease.valid() and not self.draining:
            self._start_contained("lease", self._publish)

    def _on_server_closed(self, name):
        """Move the requests that wait for a server to others."""
        if not self.states.takes_requests(name):
            self.grant_client.leave_server(name)
        self.owned_engines.turn_away_if_closed(name)

    def _on_server_restart(self, name):
        """Forget a server's start before, and its connections."""
        _restarted_servers.forget(self, name)
        address = self.view.servers[name].address
        self._start_contained("server", self.server_client.forget, address)

    def _start_contained(self, serves, work, *args):
        """Start a task whose error ends nothing else."""
        self._nursery.start_soon(
            _tasks.run_contained, serves, self.metrics.count, work, *args
        )

    def _claimant(self, server_name):
        """Get the node that holds an engine's claim, None if none does."""
        claim = self.view.claim(server_name)
        return None if claim is None else claim[0].node

    def _tell_owner(self, msg):
        """Tell an engine's owner what the engine stated to this node.

        :param msg: a ``ServerBusy``.
        """
        server = self.view.servers.get(msg.server)
        if server is None or self.view.engine_spec(server) is None:
            return
        owner = self.engine_selector.owner(server)
        if owner == self._name:
            self.states.learn_busy(msg, owner)
        elif owner is not None:
            self.mesh.send(owner, msg)

    def _on_new_era(self, old, new):
        """Note that the store came back from an older copy."""
        self.metrics.count("store_eras", "new")
        self.claims.begin_era()
        self.lease.renew_soon()

    async def _publish(self):
        """Write this node's registration, which expires with its lease."""
        if not self.lease.number:
            return
        try:
            await self.lease.publish(self._member_record())
        except exceptions.KvError as exc:
            _logs.state("publish_failed", reason=exc.detail)

    async def _revoke(self):
        try:
            await self.lease.revoke()
        except exceptions.KvError as exc:
            _logs.state("revoke_failed", reason=exc.detail)

    def _member_record(self):
        return _records.make_member(
            self.settings.node,
            self._incarnation,
            self.lease.number,
            self.draining,
        )

    def _on_lease_event(self, event):
        _logs.state("lease", node=self._name, change=event)
        counter = "kv_state" if event.startswith("kv_") else "lease"
        self.metrics.count(counter, event)

    def _seed_addresses(self):
        node = self.settings.node
        own = node.peer_address
        return [each for each in node.seed_addresses if each != own]

    async def _run_sweep(self):
        """Remove stale entries, so that no table grows without bound."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            self._popularity.sweep(self.now())
            self.owned_engines.sweep()
            self.engine_selector.sweep()
            self.states.sweep()

    async def _run_connections(self):
        """Close idle connections that no request is to use any more."""
        while True:
            await trio.sleep(STALE_CHECK_S)
            addresses = self._connection_limits.addresses()
            await self.server_client.close_stale(addresses)
            await self._order_client.close_stale(addresses)
            await self._store_client.close_stale()

    async def _watch_clock(self):
        """Log and count the steps of the host's time of day."""
        detector = _clock_steps.StepDetector(self._network.wall, self.now)
        while True:
            await trio.sleep(_clock_steps.CHECK_INTERVAL_S)
            step_s = detector.check()
            if step_s:
                self.metrics.count(
                    "clock_steps", "forward" if step_s > 0 else "back"
                )
                _logs.state(
                    "clock_step",
                    node=self._name,
                    data_centre=self.settings.node.data_centre,
                    step_s=round(step_s, 3),
                )

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run the gateway until it is cancelled or has drained."""
        node, gateway = self.settings.node, self.settings.gateway
        partial = functools.partial
        listeners = (
            (node.peer_address, "peer", self.peers.serve),
            (
                gateway.ready_address,
                "operator",
                partial(self._page_readers.serve, self._pages.serve_operators),
            ),
            (
                gateway.directory_address,
                "caller",
                partial(self._page_readers.serve, self._pages.serve_callers),
            ),
            (
                node.caller_address,
                "caller",
                partial(self._callers.serve, self._serve_callers),
            ),
        )
        # No listener lacks a descriptor while callers wait for a request.
        network = dataclasses.replace(
            self._network,
            serve=partial(
                self._network.serve, make_room=self._callers.share.close_idle
            ),
        )
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await _tasks.listen_contained(
                nursery, network, listeners, self.metrics.count
            )
            loops = [
                (
                    "lease",
                    self.lease.run,
                    self.settings.lease.renew_s,
                    self._member_record,
                    self._on_lease_event,
                ),
                ("view", self.view.run),
                ("peer", self.peers.run),
                ("stream records", self.stream_writer.run),
                ("claims", self.claims.run),
                ("quotas", self.quotas.run),
                ("retries", self._retry_share.run),
                ("sweep", self._run_sweep),
                ("clock", self._watch_clock),
                ("connections", self._run_connections),
            ]
            if self.freshness.is_needed:
                loops.append(("proofs", self.peer_proofs.run))
            for serves, *work in loops:
                nursery.start_soon(
                    _tasks.run_again, serves, self.metrics.count, *work
                )
            self._start_contained(
                "peer",
                _seeds.bootstrap,
                self._network,
                self._seed_addresses(),
                self.view,
            )
            nursery.start_soon(self.owned_engines.run)
            nursery.start_soon(self.limited_servers.run)
            nursery.start_soon(self.crashes.run)
            nursery.start_soon(self.reach.run)
            _logs.state(
                "node_started", node=node.name, incarnation=self._incarnation
            )
            task_status.started()

    def reload(self, settings):
        """Apply changed settings, except those that need a restart.

        :param settings: the new ``Settings``.
        """
        if settings.node != self.settings.node:
            _logs.state("settings_need_restart", node=self._name)
        self.settings = dataclasses.replace(
            settings, node=self.settings.node, platform=self.settings.platform
        )
        gateway_settings = settings.gateway
        self._retry_share.set_window(gateway_settings.retry_window_s)
        self.retry_budget.set_bounds(_retry_bounds(gateway_settings))
        self.held_memory.budget_bytes = _budget_bytes(gateway_settings)
        _logs.state("settings_reloaded", node=self._name)

    async def _end_requests(self):
        """Answer the requests that run on, for which there is no more time."""
        handler = self.request_handler
        if not handler.active_requests:
            return
        _logs.state(
            "requests_ended", node=self._name, count=handler.active_requests
        )
        handler.end_all()
        with trio.move_on_after(FINAL_ANSWERS_S):
            while handler.active_requests:
                await trio.sleep(0.01)

    async def drain(self):
        """Stop the gateway without interrupting a request.

        New callers are directed to other nodes at once.  Requests of
        callers that do not know yet are accepted for a while, then refused
        as not run.
        """
        grace_s = self.settings.gateway.grace_s
        stop_s = self.now() + grace_s - _exit_margin_s(grace_s)
        self._refuse_from_s = self.now() + DRAIN_ACCEPT_SHARE * grace_s
        self.draining = True
        _logs.state("node_draining", node=self._name)
        count = self.metrics.count
        with trio.move_on_after(1.0):
            await _tasks.run_contained("lease", count, self._publish)
            await _tasks.run_contained("claims", count, self.claims.release)
        while self.now() < stop_s:
            idle = not self.request_handler.active_requests
            if idle and self.now() >= self._refuse_from_s:
                break
            await trio.sleep(0.05)
        await _tasks.run_contained("request", count, self._end_requests)
        with trio.move_on_after(0.2):
            await _tasks.run_contained("lease", count, self._revoke)
        _logs.state("node_stopped", node=self._name)
        self._nursery.cancel_scope.cancel()
