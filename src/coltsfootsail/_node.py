"""A node: every part of the system that runs on one entry host."""

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
from coltsfootsail import _runs
from coltsfootsail import _services
from coltsfootsail import _wire
from coltsfootsail import exceptions

HELLO_TIMEOUT_S = 5.0
SWEEP_S = 300.0


class Node:
    """One node of the system.

    :param settings: ``Settings``.
    :param network: a ``Network``.
    :param wall_s: closure that reads the time since 1970.
    """

    def __init__(self, settings, network, wall_s=time.time):
        self.settings = settings
        self.now = network.now
        self.incarnation = secrets.token_hex(6)
        self.metrics = _metrics.Metrics()
        self.stored = _config.EMPTY
        self.draining = False
        self.identity = _ownership.Identity(
            settings.node.name,
            self.incarnation,
            settings.node.region,
            settings.node.data_centre,
        )
        self._network = network
        self._router = _routing.Router(self.stored.document)
        self._bases = {}
        self._dispatched = collections.Counter()
        self._nursery = None
        self._build(wall_s)

    def _build(self, wall_s):
        settings, count = self.settings, self.metrics.count
        self.client = _http.HttpClient(self._network)
        self.kv = _kv.KvClient(
            self.client,
            settings.platform.kv_addresses,
            lambda kind: count("kv_calls", kind),
        )
        self.cluster = _cluster.Cluster()
        self.lease = _lease.NodeLease(
            self.kv, self.now, settings.lease.ttl_s, settings.lease.margin_s
        )
        self.hosts = _hosts.HostList(
            self.client, settings.platform.host_list_address, self.now
        )
        self.runs = _runs.Runs(
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
        self.strikes = _poison.Strikes(self.cluster.strikes)
        self.budget = _retries.RetryBudget(0.1)
        self.residency = _residency.Residency()
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
        events = _mesh.LinkCallbacks(
            on_message=self._on_message,
            on_link_up=self._on_link_up,
            on_link_down=self._on_link_down,
            make_heartbeat=self._heartbeat,
            on_heartbeat=self._on_heartbeat,
        )
        self.mesh = _mesh.Mesh(hello, self._network, events)
        self.follower = _follower.Follower(
            self.kv,
            self.cluster,
            self.mesh,
            self._network,
            self._region_size,
            self.put_in_force,
            lambda: self.stored,
            self._peer_address,
            self.settings.node.seed_addresses,
            lambda: self._on_change(None),
            count,
        )
        self.permits = _permits.Permits(
            settings.node.name,
            self._permit_holder,
            self.mesh.send,
            self.now,
            self._alone_period_s,
            settings.platform.weight_store_loads_per_s,
        )
        self.owners = _owners.Owners(self)
        self.frontend = _frontend.Frontend(self)
        self.admin = _admin.Admin(self)

    # -- views ------------------------------------------------------

    def document(self):
        """Get the document in force."""
        return self.stored.document

    def router(self):
        """Get the router of the document in force."""
        return self._router

    def _permit_holder(self):
        held = self.cluster.permits(self.identity.region)
        return held.record.node if held else None

    def _alone_period_s(self):
        rate = self.settings.platform.weight_store_loads_per_s
        return max(1, len(self.cluster.members())) / rate

    def readiness(self):
        """Tell whether callers should use this node.

        :returns: ``ready`` or the reason why not.
        """
        if self.draining:
            return "draining"
        if not self.stored.root.revision:
            return "no_configuration"
        if not self.follower.fresh():
            return "stale_configuration"
        return "ready"

    def check_serving(self):
        """Refuse requests that this node can't serve.

        :raises NoConfiguration: if none is in force.
        :raises StaleConfiguration: if a newer one may have been accepted.
        """
        if not self.stored.root.revision:
            raise exceptions.NoConfiguration(retry_after_s=1.0)
        if not self.follower.fresh():
            raise exceptions.StaleConfiguration(retry_after_s=1.0)

    def leaving(self, entry):
        """Say whether an endpoint's host is leaving."""
        return self.hosts.leaving(entry.host)

    def usable(self, name, entry):
        """Say whether an endpoint may take new work."""
        if self.leaving(entry):
            return False
        return not _document.is_drained(self.document(), name, entry)

    def service_instances(self, name):
        """List a plain service's usable instances."""
        return _services.instances(self.document(), name, self.leaving)

    # -- placement --------------------------------------------------

    def _candidates(self, base):
        """List a base model's engines, of this region if there are any."""
        if base not in self._bases:
            kind = _document.EndpointKind.ENGINE
            found = {
                name: entry.region
                for name, entry in self.document().endpoints.items()
                if entry.kind is kind and entry.base in ("", base)
            }
            near = ("", self.identity.region)
            own = [name for name in found if found[name] in near]
            self._bases[base] = tuple(sorted(own or found))
        return self._bases[base]

    def _look(self, endpoint, adapter):
        entry = self.document().endpoints[endpoint]
        if not self.usable(endpoint, entry):
            return None
        if self.ownership.owner(endpoint) is None:
            return None
        local = entry.data_centre == self.identity.data_centre
        own = self._dispatched[endpoint] / max(1, entry.batch)
        return self.residency.candidate(endpoint, adapter, own, local)

    def place(self, work, tried):
        """Choose the endpoint for a request.

        :param tried: endpoints that failed it already.
        :raises NoEndpoint: if none is left.
        """
        names = self._candidates(work.base)
        holders = self.residency.holders(work.adapter)
        ranked = _placement.choose(
            work.adapter,
            names,
            lambda name: self._look(name, work.adapter),
            [name for name in holders if name in names],
        )
        if not ranked:
            ranked = [name for name in names if self._look(name, work.adapter)]
        left = [name for name in ranked if name not in tried] or ranked
        if not left:
            raise exceptions.NoEndpoint(retry_after_s=2.0)
        return left[0]

    def addresses_for(self, model, count):
        """List the addresses that a caller should use for a model.

        :param model: a model name, or empty for any.
        :returns: list of ``ip:port``, best first.
        """
        members = {
            name: member
            for name, member in self.cluster.members().items()
            if not member.draining
        }
        if self.readiness() != "ready":
            members.pop(self.identity.node, None)
        names = self._owner_names(model) if model else []
        ranked = [name for name in names if name in members]
        others = sorted(set(members) - set(ranked))
        random.shuffle(others)
        region = self.identity.region
        others.sort(key=lambda name: members[name].region != region)
        chosen = [*dict.fromkeys([*ranked, *others])][:count]
        return [members[name].caller_address for name in chosen]

    def _owner_names(self, model):
        resolved = self._router.resolve(model)
        ranked = _placement.choose(
            resolved.adapter,
            self._candidates(resolved.base),
            lambda name: self._look(name, resolved.adapter),
            self.residency.holders(resolved.adapter),
        )
        return [self.ownership.owner(name) for name in ranked]

    async def dispatch(self, endpoint, work, sink):
        """Run a request at its owner, here or on another node.

        :raises ColtsfootsailError: with what is true of the request.
        """
        self._dispatched[endpoint] += 1
        try:
            await self._dispatch(endpoint, work, sink)
        finally:
            self._dispatched[endpoint] -= 1

    async def _dispatch(self, endpoint, work, sink):
        owner = self.ownership.owner(endpoint)
        if owner == self.identity.node:
            await self._serve_owned(endpoint, work, sink)
            return
        member = self.cluster.member(owner) if owner else None
        if member is None:
            raise exceptions.NoOwner()
        self.metrics.count("forwards", "owner")
        msg = _forward.to_message(work, endpoint, self.now())
        await _forward.send(self._network, member.peer_address, msg, sink)

    async def _serve_owned(self, endpoint, work, sink):
        owner = self.owners.get(endpoint)
        if owner is None:
            raise exceptions.NotOwner()
        weight = _policy.popularity_weight(work.protected)
        self.popularity.add(work.adapter, self.now(), weight)
        limits = _document.limits_of(self.document())
        await owner.serve(work, sink, limits.queue_max)

    # -- peers ------------------------------------------------------

    def _heartbeat(self, told):
        """Make a heartbeat with the loads that a link was not told yet."""
        levels = {
            endpoint: _residency.load_level(owner.scheduler.load)
            for endpoint, owner in self.owners.items()
            if owner.active
        }
        changed = tuple(
            (endpoint, level)
            for endpoint, level in levels.items()
            if told.get(endpoint) != level
        )
        told.update(changed)
        return _wire.Heartbeat(
            self.stored.root.revision, self.lease.kv_ok, changed
        )

    def _on_heartbeat(self, node, msg):
        self.residency.apply_loads(msg.loads)

    def _peers(self):
        """List the region's other nodes to keep links to."""
        return {
            name: member.peer_address
            for name, member in self.runs.seen.items()
            if name != self.identity.node
            and member.region == self.identity.region
        }

    def _doubtful_runs(self):
        """List the runs of nodes that owned endpoints may wait for."""
        timeout_s = self.settings.limits.request_timeout_s
        return {
            (holder.node, holder.incarnation)
            for endpoint, _ in self.owners.items()
            for holder in self.ownership.unresolved(endpoint, timeout_s)
        }

    def _is_listed(self):
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
        handle = _PEER_MESSAGES.get(type(msg))
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
                await _follower.serve(messages, first, self.stored, view)
        except (OSError, trio.TooSlowError):
            return
        except exceptions.WireError as exc:
            self.metrics.count("peer_messages", exc.code)

    # -- configuration ----------------------------------------------

    def _on_change(self, keys):
        self.runs.note_members()
        self.follower.on_change(keys)

    def _region_size(self):
        """Count this node and its peers of the region, as last seen."""
        return 1 + len(self._peers())

    def _peer_address(self, node):
        member = self.runs.seen.get(node)
        return member.peer_address if member else None

    def put_in_force(self, stored):
        """Take a configuration, if its revision is higher.

        :param stored: a ``Stored``.
        :returns: whether it was taken.
        """
        if stored.root.revision <= self.stored.root.revision:
            return False
        self.stored = stored
        self._router = _routing.Router(stored.document)
        self._bases = {}
        self.budget.share = _document.limits_of(stored.document).retry_share
        self.metrics.count("config", "in_force")
        _logs.state("config_in_force", revision=stored.root.revision)
        return True

    # -- life -------------------------------------------------------

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
            await trio.sleep(SWEEP_S)
            self.popularity.sweep(self.now())
            self.ledger.sweep()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run the node until it is cancelled or has drained."""
        node = self.settings.node
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(
                self._network.serve, node.peer_address, self._serve_peer
            )
            await nursery.start(
                self._network.serve, node.admin_address, self.admin.serve
            )
            await nursery.start(
                self._network.serve, node.caller_address, self.frontend.serve
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
            _cluster.follow, self.kv, self.cluster, self._on_change
        )
        nursery.start_soon(self.follower.run)
        nursery.start_soon(self.hosts.run, lambda: None)
        nursery.start_soon(self.mesh.run, self._peers, self._is_listed)
        nursery.start_soon(self.ownership.run, lambda: not self.draining)
        nursery.start_soon(self.owners.run)
        nursery.start_soon(self.runs.run, self._doubtful_runs)
        nursery.start_soon(self.permits.run)
        nursery.start_soon(self._sweep)

    def reload(self, settings):
        """Note that settings changed; this node takes them at a start."""
        _logs.state("settings_need_restart", node=settings.node.name)

    async def drain(self):
        """Stop without cutting off a request.

        The node leaves the address answers, hands its endpoints over,
        stays until cached addresses have lapsed and its requests have
        ended, then ends its lease and its tasks.
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
            while self._busy():
                await trio.sleep(0.1)
        with contextlib.suppress(exceptions.KvError):
            await self.lease.revoke()
        _logs.state("node_stopped", node=self.identity.node)
        self._nursery.cancel_scope.cancel()

    def _busy(self):
        return self.owners.busy() or self.frontend.active > 0


_PEER_MESSAGES = {
    _wire.Residency: Node._on_residency,
    _wire.Strike: Node._on_strike,
    _wire.PermitRequest: Node._on_permit,
    _wire.PermitGrant: Node._on_permit,
    _wire.PermitDone: Node._on_permit,
}
