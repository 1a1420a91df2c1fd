"""The endpoint owners of one node: made, updated and ended as claims and
entries change, and what they announce to peers.
"""

import contextlib

import trio

from coltsfootsail import _document
from coltsfootsail import _engine
from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _logs
from coltsfootsail import _owner
from coltsfootsail import _policy
from coltsfootsail import _records
from coltsfootsail import _scheduler
from coltsfootsail import _wire
from coltsfootsail import exceptions

RECONCILE_S = 0.5
ANNOUNCE_S = 0.1


class Owners:
    """All ``EndpointOwner`` objects of a node, by endpoint.

    :param node: the ``Node`` whose parts they use.
    """

    def __init__(self, node):
        self._node = node
        self._owners = {}
        self._announced = {}
        self._dirty = set()
        self._dirty_event = trio.Event()
        self._nursery = None

    def items(self):
        """List pairs of endpoint and owner."""
        return list(self._owners.items())

    def get(self, endpoint):
        """Get the owner of an endpoint, or None."""
        return self._owners.get(endpoint)

    def busy(self):
        """Say whether any owner still uses its endpoint."""
        return any(not owner.idle() for owner in self._owners.values())

    async def run(self):
        """Keep the owners up to date while the task runs."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._announce)
            await self._reconcile()

    # -- making an owner --------------------------------------------

    def _may_order(self, endpoint):
        return self._node.lease.valid() and bool(
            self._node.ownership.fence(endpoint)
        )

    def _may_fill(self, endpoint):
        """Say whether loads into free slots are safe without a lease.

        The endpoint must refuse old fencing numbers, so that an order is
        void if somebody else took over.
        """
        entry = self._node.document().endpoints.get(endpoint)
        held = bool(self._node.ownership.fence(endpoint))
        return entry is not None and entry.fencing and held

    def _guards(self, endpoint, entry):
        async def record(adapters):
            if entry.fencing:
                return
            fence = self._node.ownership.fence(endpoint)
            await self._node.ownership.record(endpoint, fence, adapters)

        timeout_s = self._node.settings.limits.request_timeout_s
        return _owner.Guards(
            may_dispatch=lambda: bool(self._node.ownership.fence(endpoint)),
            may_order=lambda: self._may_order(endpoint),
            may_fill=lambda: self._may_fill(endpoint),
            record=record,
            unresolved=lambda: self._node.ownership.unresolved(
                endpoint, timeout_s
            ),
        )

    def _hooks(self):
        return _owner.Hooks(
            count=self._node.metrics.count,
            changed=self._note_dirty,
            crashed=self._crashed,
            cleared=self._cleared,
            suspect=self._node.strikes.suspect,
            refused=self._node.strikes.refused,
        )

    def _rules(self):
        limits = _document.limits_of(self._node.document())
        return _policy.make_rules(
            self._node.popularity.rate, limits.batch_age_s
        )

    def _make_owner(self, endpoint, entry):
        hooks = self._hooks()
        return _owner.EndpointOwner(
            endpoint,
            entry,
            _engine.Engine(self._node.client, entry.address, self._node.now),
            self._rules(),
            self._node.permits,
            self._guards(endpoint, entry),
            hooks,
            self._node.now,
            self._node.settings.limits,
        )

    async def _crashed(self, fingerprints):
        """Strike the contents that ran when an engine crashed."""
        for content in fingerprints:
            count = self._node.strikes.add(content)
            self._node.metrics.count("strikes", str(count))
            self._node.mesh.broadcast(_wire.Strike(content, count))
            await self._store_strike(content, count)

    async def _store_strike(self, content, count):
        record = _records.dumps(_records.StrikeRecord(count))
        with contextlib.suppress(exceptions.KvError):
            await self._node.kv.txn(
                [], [_kv.Put(_keys.strike(content), record)]
            )

    def _cleared(self, content):
        if self._node.strikes.clear(content):
            self._node.metrics.count("strikes", "cleared")
            self._node.mesh.broadcast(_wire.Strike(content, 0))
            self._nursery.start_soon(self._delete_strike, content)

    async def _delete_strike(self, content):
        with contextlib.suppress(exceptions.KvError):
            await self._node.kv.txn([], [_kv.Delete(_keys.strike(content))])

    # -- following claims and entries -------------------------------

    async def _reconcile(self):
        """Start, update and end owners as claims and entries change."""
        while True:
            engines = self._node.ownership.engines()
            for endpoint, entry in engines.items():
                self._reconcile_one(endpoint, entry)
            for endpoint in self._owners.keys() - engines.keys():
                self._deactivate(self._owners[endpoint])
            for endpoint in list(self._owners):
                await self._resolve_one(endpoint)
            await trio.sleep(_kv.jittered(RECONCILE_S))

    def _reconcile_one(self, endpoint, entry):
        fence = self._node.ownership.fence(endpoint)
        owner = self._owners.get(endpoint)
        if owner is not None and owner.entry.address != entry.address:
            self._deactivate(owner)
            return
        if fence and owner is None:
            owner = self._make_owner(endpoint, entry)
            self._owners[endpoint] = owner
            self._nursery.start_soon(self._run_owner, owner)
        if owner is None:
            return
        if fence and (fence != owner.fence or not owner.active):
            _logs.state("endpoint_owned", endpoint=endpoint, fence=fence)
            owner.activate(fence)
        elif not fence:
            self._deactivate(owner)
        owner.update(entry, self._rules())
        owner.set_draining(not self._node.usable(endpoint, entry))

    @staticmethod
    def _deactivate(owner):
        if owner.active:
            _logs.state("endpoint_lost", endpoint=owner.name)
            owner.deactivate()

    async def _resolve_one(self, endpoint):
        owner = self._owners[endpoint]
        if owner.active or not owner.idle():
            return
        self._announced.pop(endpoint, None)
        if not self._node.lease.kv_ok:
            return
        resolved = await self._node.ownership.resolve(endpoint)
        if resolved and not owner.active and owner.idle():
            owner.stop()
            del self._owners[endpoint]

    async def _run_owner(self, owner):
        with owner.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(owner.run_loader)
                nursery.start_soon(owner.run_reports)

    # -- telling peers ----------------------------------------------

    def residency_message(self, endpoint, known):
        """Describe an endpoint's residency against what is known."""
        scheduler = self._owners[endpoint].scheduler
        ready = {
            adapter
            for adapter, slot in scheduler.resident.items()
            if slot.state is _scheduler.SlotState.READY
        }
        return _wire.Residency(
            endpoint=endpoint,
            added=tuple(sorted(ready - set(known))),
            removed=tuple(sorted(set(known) - ready)),
            full=len(scheduler.resident) >= scheduler.slots,
            failing=self._owners[endpoint].failing(),
        )

    def _note_dirty(self, endpoint):
        self._dirty.add(endpoint)
        self._dirty_event.set()

    async def _announce(self):
        """Tell peers what changed on owned endpoints."""
        while True:
            await self._dirty_event.wait()
            self._dirty_event = trio.Event()
            dirty, self._dirty = self._dirty, set()
            for endpoint in sorted(dirty):
                if endpoint in self._owners:
                    self._announce_one(endpoint)
            await trio.sleep(_kv.jittered(ANNOUNCE_S))

    def _announce_one(self, endpoint):
        known = self._announced.get(endpoint, frozenset())
        msg = self.residency_message(endpoint, known)
        self._node.residency.apply(msg)
        self._announced[endpoint] = (known | set(msg.added)) - set(msg.removed)
        self._node.mesh.send_with_heartbeats(msg)
