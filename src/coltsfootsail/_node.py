"""The node daemon, which runs on each entry host."""

import collections
import contextlib
import random
import secrets
import time

import trio

from coltsfootsail import _admin
from coltsfootsail import _cluster
from coltsfootsail import _config
from coltsfootsail import _document
from coltsfootsail import _follower
from coltsfootsail import _forward
from coltsfootsail import _frontend
from coltsfootsail import _hosts
from coltsfootsail import _http
from coltsfootsail import _incarnations
from coltsfootsail import _kv
from coltsfootsail import _lease
from coltsfootsail import _ledger
from coltsfootsail import _logs
from coltsfootsail import _mesh
from coltsfootsail import _metrics
from coltsfootsail import _owners
from coltsfootsail import _ownership
from coltsfootsail import _permits
from coltsfootsail import _placement
from coltsfootsail import _poison
from coltsfootsail import _policy
from coltsfootsail import _popularity
from coltsfootsail import _records
from coltsfootsail import _residency
from coltsfootsail import _retries
from coltsfootsail import _routing
from coltsfootsail import _services
from coltsfootsail import _tasks
from coltsfootsail import _wire
from coltsfootsail import exceptions

HELLO_TIMEOUT_S = 5.0
SWEEP_INTERVAL_S = 300.0


class Node:
    """One node: its components, and the tasks that connect them.

    :param settings: ``Settings``.
    :param network: a ``Network``.
    :param wall_s: callable that returns the Unix time in seconds.
    """

    def __init__(self, settings, network, wall_s=time.time):
        self.settings = settings
        self.now = network.now
        self.incarnation = secrets.token_hex(6)
        self.metrics = _metrics.Metrics()
        self.stored_config = _config.EMPTY
        self.draining = False
        self.identity = _ownership.Identity(
            settings.node.name,
            self.incarnation,
            settings.node.region,
            settings.node.data_centre,
        )
        self._network = network
        self._router = _routing.Router(self.stored_config.document)
        self._engines_by_base = {}
        self._dispatched_requests = collections.Counter()
        self._nursery = None
        self._create_components(wall_s)

    def _create_components(self, wall_s):
        settings, count = self.settings, self.metrics.count
        self.client = _http.HttpClient(self._network)
        self.kv = _kv.KvClient(
            self.client,
            settings.platform.kv_addresses,
            lambda call: count("kv_calls", call),
        )
        self.cluster = _cluster.ClusterView()
        self.lease = _lease.NodeLease(
            self.kv, self.now, settings.lease.ttl_s, settings.lease.margin_s
        )
        self.hosts = _hosts.HostList(
            self.client, settings.platform.host_list_address, self.now
        )
        self.runs = _incarnations.IncarnationTracker(
            self.cluster, self.hosts, self._network, self.now
        )
        self.ledger = _ledger.Ledger(
            self.kv,
            settings.ledger,
            settings.node.name,
            self.incarnation,
            self.runs.is_alive,
            wall_s,
        )
        self.strikes = _poison.Strikes(self.cluster.strike_count)
        self.budget = _retries.RetryBudget(0.1)
        self.residency = _residency.ResidencyTable()
        self.popularity = _popularity.Popularity(_policy.HALF_LIFE_S)
        self.ownership = _ownership.Ownership(
            self.identity,
            self.kv,
            self.cluster,
            self.lease,
            self.document,
            self.runs.gone_s,
            self.now,
            count,
        )
        hello = _wire.Hello(
            settings.node.name, settings.node.region, self.incarnation
        )
        callbacks = _mesh.LinkCallbacks(
            on_message=self._on_message,
            on_link_up=self._on_link_up,
            on_link_down=self._on_link_down,
            make_heartbeat=self._make_heartbeat,
            on_heartbeat=self._on_heartbeat,
            count=self.metrics.count,
        )
        self.mesh = _mesh.Mesh(hello, self._network, callbacks)
        self.follower = _follower.ConfigFollower(
            self.kv,
            self.cluster,
            self.mesh,
            self._network,
            self._region_size,
            self.activate_config,
            lambda: self.stored_config,
            self._peer_address,
            self.settings.node.seed_addresses,
            lambda: self._on_state_change(None),
            count,
        )
        self.permits = _permits.Permits(
            settings.node.name,
            self._permit_holder,
            self.mesh.send,
            self.now,
            self._uncoordinated_load_period_s,
            settings.platform.weight_store_loads_per_s,
        )
        self.owners = _owners.EndpointOwners(self)
        self.frontend = _frontend.Frontend(self)
        self.admin = _admin.Admin(self)

    def document(self):
        """Get the document of the active configuration."""
        return self.stored_config.document

    def router(self):
        """Get the router for the active configuration."""
        return self._router

    def _permit_holder(self):
        claim = self.cluster.permit_claim(self.identity.region)
        return claim.record.node if claim else None

    def _uncoordinated_load_period_s(self):
        rate = self.settings.platform.weight_store_loads_per_s
        return max(1, len(self.cluster.members())) / rate

    def readiness(self):
        """Return whether callers should use this node.

        :returns: ``ready``, or the reason why they should not.
        """
        if self.draining:
            return "draining"
        if not self.stored_config.root.revision:
            return "no_configuration"
        if not self.follower.is_fresh():
            return "stale_configuration"
        return "ready"

    def check_serving(self):
        """Check that the node's configuration allows it to serve requests.

        :raises NoConfiguration: if no configuration is active.
        :raises StaleConfiguration: if it may be older than the accepted one.
        """
        if not self.stored_config.root.revision:
            raise exceptions.NoConfiguration(retry_after_s=1.0)
        if not self.follower.is_fresh():
            raise exceptions.StaleConfiguration(retry_after_s=1.0)

    def is_host_leaving(self, entry):
        """Return whether an endpoint's host is leaving."""
        return self.hosts.is_leaving(entry.host)

    def usable(self, name, entry):
        """Return whether an endpoint may take new requests."""
        if self.is_host_leaving(entry):
            return False
        return not _document.is_drained(self.document(), name, entry)

    def service_instances(self, name):
        """Get a plain service's usable instances, by name."""
        return _services.usable_instances(
            self.document(), name, self.is_host_leaving
        )

    def _engines_for(self, base):
        """List a base model's engines, only this region's if it has any."""
        if base not in self._engines_by_base:
            kind = _document.EndpointKind.ENGINE
            regions = {
                name: entry.region
                for name, entry in self.document().endpoints.items()
                if entry.kind is kind and entry.base in ("", base)
            }
            own_regions = ("", self.identity.region)
            in_region = [
                name for name in regions if regions[name] in own_regions
            ]
            self._engines_by_base[base] = tuple(sorted(in_region or regions))
        return self._engines_by_base[base]

    def _endpoint_candidate(self, endpoint, adapter):
        entry = self.document().endpoints[endpoint]
        if not self.usable(endpoint, entry):
            return None
        if self.ownership.owner(endpoint) is None:
            return None
        local = entry.data_centre == self.identity.data_centre
        own_load = self._dispatched_requests[endpoint] / max(1, entry.batch)
        return self.residency.candidate(endpoint, adapter, own_load, local)

    def choose_endpoint(self, request, tried):
        """Choose the endpoint for a request.

        :param request: an ``InferenceRequest``.
        :param tried: endpoints on which it has failed; they are chosen
            again only if there is no other.
        :returns: the endpoint's name.
        :raises NoEndpoint: if no endpoint is available.
        """
        endpoints = self._engines_for(request.base)
        holders = self.residency.holders(request.adapter)
        ranked = _placement.rank_endpoints(
            request.adapter,
            endpoints,
            lambda name: self._endpoint_candidate(name, request.adapter),
            [name for name in holders if name in endpoints],
        )
        if not ranked:
            ranked = [
                name
                for name in endpoints
                if self._endpoint_candidate(name, request.adapter)
            ]
        preferred = [name for name in ranked if name not in tried] or ranked
        if not preferred:
            raise exceptions.NoEndpoint(retry_after_s=2.0)
        return preferred[0]

    def addresses_for(self, model, count):
        """List the addresses that a caller should use for a model.

        :param model: a model name, or empty for any.
        :param count: the number of addresses at most.
        :returns: list of ``ip:port``, best first.
        """
        members = {
            name: member
            for name, member in self.cluster.members().items()
            if not member.draining
        }
        if self.readiness() != "ready":
            members.pop(self.identity.node, None)
        owners = self._owner_names(model) if model else []
        ranked = [name for name in owners if name in members]
        others = sorted(set(members) - set(ranked))
        random.shuffle(others)
        region = self.identity.region
        others.sort(key=lambda name: members[name].region != region)
        chosen = [*dict.fromkeys([*ranked, *others])][:count]
        return [members[name].caller_address for name in chosen]

    def _owner_names(self, model):
        resolved = self._router.resolve(model)
        ranked = _placement.rank_endpoints(
            resolved.adapter,
            self._engines_for(resolved.base),
            lambda name: self._endpoint_candidate(name, resolved.adapter),
            self.residency.holders(resolved.adapter),
        )
        return [self.ownership.owner(name) for name in ranked]

    async def dispatch(self, endpoint, request, sink):
        """Run a request on the node that owns its endpoint.

        :raises ColtsfootsailError: its outcome says whether the request
            was run.
        """
        self._dispatched_requests[endpoint] += 1
        try:
            await self._dispatch(endpoint, request, sink)
        finally:
            self._dispatched_requests[endpoint] -= 1

    async def _dispatch(self, endpoint, request, sink):
        owner = self.ownership.owner(endpoint)
        if owner == self.identity.node:
            await self._serve_owned(endpoint, request, sink)
            return
        member = self.cluster.member(owner) if owner else None
        if member is None:
            raise exceptions.NoOwner()
        self.metrics.count("forwards", "owner")
        msg = _forward.to_message(request, endpoint, self.now())
        await _forward.send(self._network, member.peer_address, msg, sink)

    async def _serve_owned(self, endpoint, request, sink):
        owner = self.owners.get(endpoint)
        if owner is None:
            raise exceptions.NotOwner()
        weight = _policy.popularity_weight(request.protected)
        self.popularity.add(request.adapter, self.now(), weight)
        limits = _document.limits_of(self.document())
        await owner.serve(request, sink, limits.queue_max)

    def _make_heartbeat(self, announced_levels):
        """Build a heartbeat with the load levels that changed.

        :param announced_levels: dict of endpoint to the level last sent
            on the link; updated here.
        """
        levels = {
            endpoint: _residency.load_level(owner.scheduler.load)
            for endpoint, owner in self.owners.items()
            if owner.active
        }
        changed = tuple(
            (endpoint, level)
            for endpoint, level in levels.items()
            if announced_levels.get(endpoint) != level
        )
        announced_levels.update(changed)
        return _wire.Heartbeat(
            self.stored_config.root.revision, self.lease.kv_ok, changed
        )

    def _on_heartbeat(self, node, msg):
        self.residency.apply_loads(msg.loads)

    def _peers(self):
        """Get the peer addresses of the region's other nodes, by name."""
        return {
            name: member.peer_address
            for name, member in self.runs.last_members.items()
            if name != self.identity.node
            and member.region == self.identity.region
        }

    def _unresolved_runs(self):
        """List earlier runs of nodes that may still use owned endpoints."""
        timeout_s = self.settings.limits.request_timeout_s
        return {
            (holder.node, holder.incarnation)
            for endpoint, _ in self.owners.items()
            for holder in self.ownership.earlier_holders(endpoint, timeout_s)
        }

    def _is_member(self):
        return self.runs.is_alive(self.identity.node, self.incarnation)

    def _on_link_up(self, node):
        self.metrics.count("peer_links", "up")
        for endpoint, _ in self.owners.items():
            msg = self.owners.residency_message(endpoint, ())
            self.mesh.send(node, msg)

    def _on_link_down(self, node):
        self.metrics.count("peer_links", "down")
        self.permits.drop_node(node)

    def _on_message(self, node, msg):
        handle = _PEER_MESSAGE_HANDLERS.get(type(msg))
        if handle is None:
            self.metrics.count("peer_messages", "unexpected")
            return
        handle(self, node, msg)

    def _on_residency(self, node, msg):
        if self.ownership.owner(msg.endpoint) != self.identity.node:
            self.residency.apply(msg)

    def _on_strike(self, node, msg):
        self.strikes.learn(msg.fingerprint, msg.count)

    def _on_permit(self, node, msg):
        self.permits.receive(node, msg)

    async def _serve_peer(self, stream):
        messages = _wire.MessageStream(stream)
        try:
            with trio.fail_after(HELLO_TIMEOUT_S):
                first = await messages.receive()
            if isinstance(first, _wire.Hello):
                await self.mesh.serve(messages, first)
            elif isinstance(first, _wire.Forward):
                await _forward.serve(
                    messages, first, self._serve_owned, self.now()
                )
            elif isinstance(first, _wire.ConfigRequest):
                view = self.cluster.entries()
                await _follower.serve(
                    messages, first, self.stored_config, view
                )
        except (OSError, trio.TooSlowError):
            return
        except exceptions.WireError as exc:
            self.metrics.count("peer_messages", exc.code)

    def _on_state_change(self, keys):
        self.runs.note_members()
        self.follower.on_change(keys)

    def _region_size(self):
        """Count the region's nodes, this one included, as last seen."""
        return 1 + len(self._peers())

    def _peer_address(self, node):
        member = self.runs.last_members.get(node)
        return member.peer_address if member else None

    def activate_config(self, stored_config):
        """Activate a configuration if its revision is higher.

        :param stored_config: a ``StoredConfig``.
        :returns: whether it was activated.
        """
        if stored_config.root.revision <= self.stored_config.root.revision:
            return False
        self.stored_config = stored_config
        self._router = _routing.Router(stored_config.document)
        self._engines_by_base = {}
        self.budget.share = _document.limits_of(
            stored_config.document
        ).retry_share
        self.metrics.count("config", "in_force")
        _logs.state("config_in_force", revision=stored_config.root.revision)
        return True

    def _member(self):
        return _records.make_member(
            self.settings.node,
            self.incarnation,
            self.lease.number,
            self.draining,
        )

    def _on_lease(self, event):
        _logs.state("lease", node=self.identity.node, change=event)
        name = "kv_state" if event.startswith("kv_") else "lease"
        self.metrics.count(name, event)

    async def _sweep(self):
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            self.popularity.sweep(self.now())
            self.ledger.sweep()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run the node until it is cancelled or has drained."""
        node = self.settings.node
        listeners = (
            (node.peer_address, "peer", self._serve_peer),
            (node.admin_address, "operator", self.admin.serve),
            (node.caller_address, "caller", self.frontend.serve),
        )
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await _tasks.listen_contained(
                nursery, self._network, listeners, self.metrics.count
            )
            self._start_tasks(nursery)
            _logs.state("node_started", node=node.name)
            task_status.started()

    def _start_tasks(self, nursery):
        renew_s = self.settings.lease.renew_s
        nursery.start_soon(
            self.lease.run, renew_s, self._member, self._on_lease
        )
        nursery.start_soon(
            _cluster.follow, self.kv, self.cluster, self._on_state_change
        )
        nursery.start_soon(self.follower.run)
        nursery.start_soon(self.hosts.run, lambda: None)
        nursery.start_soon(self.mesh.run, self._peers, self._is_member)
        nursery.start_soon(self.ownership.run, lambda: not self.draining)
        nursery.start_soon(self.owners.run)
        nursery.start_soon(self.runs.run, self._unresolved_runs)
        nursery.start_soon(self.permits.run)
        nursery.start_soon(self._sweep)

    def reload(self, settings):
        """Log that changed settings take effect only after a restart."""
        _logs.state("settings_need_restart", node=settings.node.name)

    async def drain(self):
        """Stop the node without interrupting a request.

        The node withdraws its address, hands its endpoints over, waits
        until cached addresses have expired and its requests have ended,
        then revokes its lease and cancels its tasks.
        """
        _logs.state("node_draining", node=self.identity.node)
        self.draining = True
        with contextlib.suppress(exceptions.KvError):
            await self.lease.publish(self._member())
        for endpoint, _ in self.owners.items():
            await self.ownership.hand_over(endpoint)
        settings = self.settings.drain
        await trio.sleep(settings.address_ttl_s)
        with trio.move_on_after(settings.timeout_s):
            while self._is_busy():
                await trio.sleep(0.1)
        self.owners.release()
        with contextlib.suppress(exceptions.KvError):
            await self.lease.revoke()
        _logs.state("node_stopped", node=self.identity.node)
        self._nursery.cancel_scope.cancel()

    def _is_busy(self):
        return self.owners.is_busy() or self.frontend.active > 0


_PEER_MESSAGE_HANDLERS = {
    _wire.Residency: Node._on_residency,
    _wire.Strike: Node._on_strike,
    _wire.PermitRequest: Node._on_permit,
    _wire.PermitGrant: Node._on_permit,
    _wire.PermitDone: Node._on_permit,
}
