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
from coltsfootsail import _mesh
from coltsfootsail import _metrics
from coltsfootsail import _orderer
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
from coltsfootsail.platform import messages

HELLO_TIMEOUT_S = 1.0
MESH_SILENCE_S = 2.5
MESH_REDIAL_S = 0.4
NODES_SPARE = 3  # machines that may be added unseen, for the retry budget
NODES_UNKNOWN = 40  # taken to share the retry budget before any is known
SWEEP_S = 60.0
HALF_LIFE_S = 20.0
ADDRESSES_MAX = 64
ADDRESS_TTL_S = 2
LOAD_STEP_S = 0.05  # resolution of the backlog sent to peers
IDLE_CONNECTIONS = 12  # kept to one server
ACCEPT_SHARE = 0.25  # of the grace; what is taken then can still end in it
EXIT_MARGIN_S = 1.2
STRIKES_MAX = 3  # crashes after which a content is refused everywhere
METRICS_PATH = "/metrics"
RESET_S = 0.3  # how often the set of owned engines is checked


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
        self._backlogs = {}
        self._most_nodes = 1
        self._scopes = {}
        self._name = settings.node.name
        self._incarnation = secrets.token_hex(6)
        self._build(settings, network)

    def _build(self, settings, network):
        count = self.metrics.count
        bounds = settings.gateway
        self._orders_client = _http.HttpClient(network, idle_max=2)
        self.kv = platform.StoreClient(
            _http.HttpClient(network, idle_max=4),
            settings.platform.kv_addresses[0],
            lambda kind: count("kv_calls", kind),
        )
        lease = settings.lease
        self.lease = _lease.NodeLease(
            self.kv, self.now, lease.ttl_s, lease.margin_s
        )
        self.view = _view.View(self.kv, self.now, self._on_view, bounds.news_s)
        shares = _shares.ConnectionShares(self.view, self._node_count)
        events = _mesh.Events(
            message=self._on_message,
            up=lambda node: count("peer_links", "up"),
            down=self._on_link_down,
            heartbeat=self._heartbeat,
            beaten=self._on_heartbeat,
        )
        hello = _wire.Hello(
            self._name, settings.node.region, self._incarnation
        )
        self.mesh = _mesh.Mesh(
            hello, network, events, MESH_SILENCE_S, MESH_REDIAL_S
        )
        self.claims = _claims.Claims(
            (self._name, self._incarnation),
            self.kv,
            self.lease,
            self.view,
            _claims.Rules(bounds.turn_s, lease.ttl_s - lease.margin_s),
            self.now,
            lambda node, server, fence: self.mesh.send(
                node, _wire.ReleaseAsk(server, fence)
            ),
            self._sync_orderers,
        )
        self.popularity = _popularity.Popularity(HALF_LIFE_S, prior_s=2.0)
        self.orderers = {}
        self.desk = _grants.Desk(self.orderers, self.view.leaving, self.now)
        self.asker = _grants.Asker(self._name, self.desk, self.mesh, self.now)
        self.placing = _placing.Placing(
            self._name, self.view, self.mesh, self._backlog_s, self.now
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
        self.upstream = _upstream.Upstream(
            _http.HttpClient(
                network, idle_max=IDLE_CONNECTIONS, total=shares.limit
            )
        )
        self.strikes = _poison.Strikes(lambda content: 0, STRIKES_MAX)
        self.serving = _serving.Serving(self)

    def _node_count(self):
        """Count the nodes that share budgets, the most ever seen at once.

        Registrations vanish with their leases while the nodes live on.
        """
        seen = max(self.view.member_count(), len(self.mesh.up()) + 1)
        self._most_nodes = max(self._most_nodes, seen)
        if not self.view.known.is_set():
            return NODES_UNKNOWN
        return self._most_nodes + NODES_SPARE

    # -- what callers meet ------------------------------------------

    def readiness(self):
        """Tell whether callers should use this node.

        :returns: ``ready`` or the reason why not.
        """
        if self.draining:
            return "draining"
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

    def servers(self, service):
        """List a service's servers that may take new requests."""
        return [
            server
            for server in self.view.servers.values()
            if server.service == service and not server.draining
        ]

    def http_limits(self):
        """Get the limits on callers that are in force."""
        limits = self.view.deployment.limits
        return _http.HttpLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            read_timeout_s=limits.header_timeout_s + 2.0,
            idle_timeout_s=limits.idle_timeout_s + 1.0,
        )

    def addresses(self, data_centre):
        """List the addresses that a caller should use, near ones first.

        :param data_centre: where the caller is.
        """
        members = self.view.members()
        beats = self.mesh.heartbeats()
        ready = {
            name
            for name, member in members.items()
            if not member.draining
            and (name not in beats or beats[name].ready)
            and (name == self._name or name in beats)
        }
        ready.discard(self._name)
        if self.readiness() == "ready":
            ready.add(self._name)
        own = self.settings.node
        places = {
            name: (member.data_centre, member.caller_address)
            for name, member in members.items()
        }
        places[self._name] = (own.data_centre, own.caller_address)
        near = [n for n in sorted(ready) if places[n][0] == data_centre]
        chosen = near if len(near) >= 2 else sorted(ready)
        chosen = chosen or sorted(members)
        return [places[name][1] for name in chosen][:ADDRESSES_MAX]

    # -- peers ------------------------------------------------------

    def _backlog_s(self, server):
        orderer = self.orderers.get(server)
        if orderer is not None:
            return orderer.backlog_s()
        return self._backlogs.get(server, 0) * LOAD_STEP_S

    def _heartbeat(self, told):
        levels = {
            name: int(orderer.backlog_s() / LOAD_STEP_S)
            for name, orderer in self.orderers.items()
        }
        changed = tuple(
            (name, level)
            for name, level in levels.items()
            if told.get(name) != level
        )
        told.update(changed)
        return _wire.Heartbeat(
            self.view.deployment.version,
            self.lease.kv_ok,
            changed,
            self.readiness() == "ready",
        )

    def _on_heartbeat(self, node, msg):
        for name, level in msg.loads:
            self._backlogs[name] = level
        if msg.revision < self.view.deployment.version:
            news = _wire.News(
                self.view.raw_deployment, tuple(self.view.versions.items())
            )
            self.mesh.send(node, news)

    def _on_link_down(self, node):
        self.metrics.count("peer_links", "down")
        self.desk.drop_node(node)

    def _on_message(self, node, msg):
        handle = _PEER_MESSAGES.get(type(msg))
        if handle is None:
            self.metrics.count("peer_messages", "unexpected")
            return
        handle(self, node, msg)

    def _on_grant_ask(self, node, msg):
        self.desk.ask(node, msg, lambda reply: self.mesh.send(node, reply))

    def _on_grant_reply(self, node, msg):
        self.asker.reply(msg)

    def _on_grant_end(self, node, msg):
        self.desk.end(node, msg)

    def _on_release_ask(self, node, msg):
        idle_s = self.claims.superseded(msg.server, msg.fence)
        reply = _wire.Released(msg.server, msg.fence, float(idle_s))
        self.mesh.send(node, reply)

    def _on_released(self, node, msg):
        self.claims.released(msg.server, msg.fence, msg.idle_s)

    def _on_news(self, node, msg):
        try:
            found = platform.registry.deployment(msg.deployment)
        except exceptions.BadField as exc:
            _logs.state("news_unreadable", node=node, reason=exc.detail)
            return
        self.view.put_in_force(found, msg.deployment)
        for key, version in msg.versions:
            self.view.raise_version(key, version)

    def _on_strike(self, node, msg):
        self.strikes.learn(msg.fingerprint, msg.count)

    def suspect(self, server, content):
        """Look whether a server crashed while it ran a content."""
        self._nursery.start_soon(self._look_for_crash, server, content)

    async def _look_for_crash(self, server, content):
        try:
            stream = await self._network.open_stream(server.address)
        except OSError as exc:
            count = self.strikes.add(content)
            _logs.state(
                "strike",
                server=server.name,
                content=content,
                count=count,
                reason=repr(exc),
            )
            self.metrics.count("strikes", "crash")
            self.mesh.broadcast(_wire.Strike(content, count))
            return
        await trio.aclose_forcefully(stream)

    def absolve(self, content):
        """Note that a content was run to its end."""
        if self.strikes.clear(content):
            self.mesh.broadcast(_wire.Strike(content, 0))

    def _seed_addresses(self):
        node = self.settings.node
        own = node.peer_address
        return [each for each in node.seed_addresses if each != own]

    def _peers(self):
        found = {
            name: member.peer_address
            for name, member in self.view.members().items()
            if member.region == self.settings.node.region
        }
        found.pop(self._name, None)
        return found

    def _is_listed(self):
        return self.view.is_member(self._name)

    async def _serve_peer(self, stream):
        messages_ = _wire.MessageStream(stream)
        try:
            with trio.fail_after(HELLO_TIMEOUT_S):
                first = await messages_.receive()
            if isinstance(first, _wire.Hello):
                await self.mesh.serve(messages_, first)
            elif isinstance(first, _wire.ConfigAsk):
                await _seeds.serve(messages_, self.view)
        except (OSError, trio.TooSlowError):
            return
        except exceptions.WireError as exc:
            self.metrics.count("peer_messages", exc.code)

    # -- ownership --------------------------------------------------

    def _on_view(self, changed):
        self.balance.keep(self.view.servers)
        for name, orderer in self.orderers.items():
            if self.view.leaving(name):
                orderer.close("engine leaving")
        if changed is None:
            self.mesh.wake()
        lost = not self.view.is_member(self._name)
        if lost and self.lease.valid() and not self.draining:
            self._nursery.start_soon(self._publish)

    async def _publish(self):
        try:
            await self.lease.publish(self._member())
        except exceptions.KvError as exc:
            _logs.state("publish_failed", reason=exc.detail)

    def _sync_orderers(self):
        for name in [n for n in self.orderers if n not in self.claims.held]:
            self.orderers.pop(name).close("not the owner")
            self._scopes.pop(name).cancel()
        for name in self.claims.held:
            server = self.view.servers.get(name)
            if server is None or name in self.orderers:
                continue
            engine = self.view.engine(server)
            if engine is None:
                continue
            orderer = _orderer.Orderer(
                server,
                engine,
                self.claims,
                self._orders_client,
                self.popularity,
                self.now,
                self.metrics.count,
                self._name,
            )
            self.orderers[name] = orderer
            self._scopes[name] = trio.CancelScope()
            self._nursery.start_soon(self._run_orderer, name, orderer)

    async def _run_orderer(self, name, orderer):
        with self._scopes[name]:
            try:
                await orderer.run()
            except Exception as exc:
                # The next round starts it anew from the engine's report.
                _logs.failure("orderer_failed", exc)
                orderer.close("engine down")
                self.orderers.pop(name, None)

    async def _run_owned(self):
        while True:
            self._sync_orderers()
            await trio.sleep(RESET_S)

    async def _run_sweep(self):
        """Drop stale rows, so that no table grows without bound."""
        while True:
            await trio.sleep(SWEEP_S)
            self.popularity.sweep(self.now())
            for name in [n for n in self._backlogs if self.view.leaving(n)]:
                del self._backlogs[name]

    # -- life -------------------------------------------------------

    def _member(self):
        return _records.member(
            self.settings.node,
            self._incarnation,
            self.lease.number,
            self.draining,
        )

    def _on_lease(self, event):
        _logs.state("lease", node=self._name, change=event)
        name = "kv_state" if event.startswith("kv_") else "lease"
        self.metrics.count(name, event)

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

    async def _serve_small(self, stream):
        await _http.serve_connection(
            stream, _http.HttpLimits(), self._answer_small
        )

    async def _answer_small(self, req, resp):
        if req.path == messages.READY_PATH:
            state = self.readiness()
            status = 200 if state == "ready" else 503
            await resp.reply_json({"state": state}, status)
        elif req.path == messages.RESOLVE_PATH:
            found = self.addresses(messages.resolve_query(req))
            if not found:
                raise exceptions.NoConfiguration(retry_after_s=0.5)
            answer = messages.resolve_answer(found, ADDRESS_TTL_S)
            await resp.reply_json(answer)
        elif req.path == METRICS_PATH:
            kind = [("content-type", "text/plain; version=0.0.4")]
            await resp.reply(200, self.metrics.text(), kind)
        else:
            raise exceptions.NotFound()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run the gateway until it is cancelled or has drained."""
        node, gateway = self.settings.node, self.settings.gateway
        listeners = (
            (node.peer_address, self._serve_peer),
            (gateway.ready_address, self._serve_small),
            (gateway.directory_address, self._serve_small),
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
            nursery.start_soon(self.mesh.run, self._peers, self._is_listed)
            nursery.start_soon(self.claims.run)
            nursery.start_soon(self._run_owned)
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


_PEER_MESSAGES = {
    _wire.GrantAsk: Gateway._on_grant_ask,
    _wire.GrantReply: Gateway._on_grant_reply,
    _wire.GrantEnd: Gateway._on_grant_end,
    _wire.ReleaseAsk: Gateway._on_release_ask,
    _wire.Released: Gateway._on_released,
    _wire.News: Gateway._on_news,
    _wire.Strike: Gateway._on_strike,
}
