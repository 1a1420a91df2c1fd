"""Manages the endpoint owners of one node.

Owners are created, updated and removed as claims and endpoint entries
change; changes of their residency are announced to peers.
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
from coltsfootsail import _tasks
from coltsfootsail import _wire
from coltsfootsail import exceptions

RECONCILE_INTERVAL_S = 0.5
ANNOUNCE_INTERVAL_S = 0.1
RESTART_PAUSE_S = 1.0  # after an error in the work for an owner


class EndpointOwners:
    """All ``EndpointOwner`` objects of a node, by endpoint.

    :param node: the ``Node`` whose components they use.
    """

    def __init__(self, node):
        self._node = node
        self._owners = {}
        self._announced_adapters = {}
        self._changed = set()
        self._changed_event = trio.Event()
        self._tasks = _tasks.TaskGroup("server", node.metrics.count)
        self._reconciliation = trio.CancelScope()

    def items(self):
        """List the pairs of endpoint name and owner."""
        return list(self._owners.items())

    def get(self, endpoint):
        """Get the owner of an endpoint, or None."""
        return self._owners.get(endpoint)

    def is_busy(self):
        """Return whether any owner still uses its endpoint."""
        return any(not owner.is_idle() for owner in self._owners.values())

    async def run(self):
        """Keep the owners up to date until the task is cancelled."""
        async with self._tasks.opened(), trio.open_nursery() as nursery:
            nursery.start_soon(self._announce_changes)
            with self._reconciliation:
                await self._reconcile()

    def release(self):
        """Give up all endpoints, before the node revokes its lease.

        Waiting requests are refused; running ones continue to their end.
        """
        self._reconciliation.cancel()
        for owner in self._owners.values():
            if owner.active:
                owner.deactivate()

    def _may_order(self, endpoint):
        return self._node.lease.valid() and bool(
            self._node.ownership.fence(endpoint)
        )

    def _may_fill_free_slots(self, endpoint):
        """Return whether loads into free slots are safe without a lease.

        The endpoint must check fencing numbers, so that it refuses the
        order if another node has taken over.
        """
        entry = self._node.document().endpoints.get(endpoint)
        held = bool(self._node.ownership.fence(endpoint))
        return entry is not None and entry.fencing and held

    def _claim_guards(self, endpoint, entry):
        async def record_orders(adapters):
            if entry.fencing:
                return
            fence = self._node.ownership.fence(endpoint)
            await self._node.ownership.record_orders(endpoint, fence, adapters)

        timeout_s = self._node.settings.limits.request_timeout_s
        return _owner.ClaimGuards(
            may_dispatch=lambda: bool(self._node.ownership.fence(endpoint)),
            may_order=lambda: self._may_order(endpoint),
            may_fill_free_slots=lambda: self._may_fill_free_slots(endpoint),
            record_orders=record_orders,
            earlier_holders=lambda: self._node.ownership.earlier_holders(
                endpoint, timeout_s
            ),
        )

    def _hooks(self):
        return _owner.OwnerHooks(
            count=self._node.metrics.count,
            state_changed=self._mark_changed,
            engine_crashed=self._engine_crashed,
            request_completed=self._request_completed,
            is_suspect=self._node.strikes.suspect,
            is_refused=self._node.strikes.refused,
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
            _engine.EngineClient(
                self._node.client, entry.address, self._node.now
            ),
            self._rules(),
            self._node.permits,
            self._claim_guards(endpoint, entry),
            hooks,
            self._node.now,
            self._node.settings.limits,
        )

    async def _engine_crashed(self, fingerprints):
        """Add a strike to each request that ran when an engine crashed."""
        for fingerprint in fingerprints:
            count = self._node.strikes.add(fingerprint)
            self._node.metrics.count("strikes", str(count))
            self._node.mesh.broadcast(_wire.Strike(fingerprint, count))
            await self._store_strike(fingerprint, count)

    async def _store_strike(self, fingerprint, count):
        record = _records.dumps(_records.StrikeRecord(count))
        with contextlib.suppress(exceptions.KvError):
            await self._node.kv.txn(
                [], [_kv.Put(_keys.strike(fingerprint), record)]
            )

    def _request_completed(self, fingerprint):
        if self._node.strikes.clear(fingerprint):
            self._node.metrics.count("strikes", "cleared")
            self._node.mesh.broadcast(_wire.Strike(fingerprint, 0))
            self._tasks.start_soon(self._delete_strike, fingerprint)

    async def _delete_strike(self, fingerprint):
        with contextlib.suppress(exceptions.KvError):
            await self._node.kv.txn(
                [], [_kv.Delete(_keys.strike(fingerprint))]
            )

    async def _reconcile(self):
        """Create, update and remove owners as claims and entries change."""
        while True:
            engines = self._node.ownership.region_engines()
            for endpoint, entry in engines.items():
                self._reconcile_endpoint(endpoint, entry)
            for endpoint in self._owners.keys() - engines.keys():
                self._deactivate(self._owners[endpoint])
            for endpoint in list(self._owners):
                await self._remove_idle_owner(endpoint)
            await trio.sleep(_kv.jittered(RECONCILE_INTERVAL_S))

    def _reconcile_endpoint(self, endpoint, entry):
        fence = self._node.ownership.fence(endpoint)
        owner = self._owners.get(endpoint)
        if owner is not None and owner.entry.address != entry.address:
            self._deactivate(owner)
            return
        if fence and owner is None:
            owner = self._make_owner(endpoint, entry)
            self._owners[endpoint] = owner
            self._tasks.start_soon(self._run_owner, owner)
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

    async def _remove_idle_owner(self, endpoint):
        owner = self._owners[endpoint]
        if owner.active or not owner.is_idle():
            return
        self._announced_adapters.pop(endpoint, None)
        if not self._node.lease.kv_ok:
            return
        removed = await self._node.ownership.remove_holder(endpoint)
        if removed and not owner.active and owner.is_idle():
            owner.stop()
            del self._owners[endpoint]

    async def _run_owner(self, owner):
        """Work for an owner until it is stopped, also after an error."""
        with owner.scope:
            while True:
                await _tasks.run_contained(
                    "server", self._node.metrics.count, _run_loops, owner
                )
                await trio.sleep(RESTART_PAUSE_S)

    def residency_message(self, endpoint, known_adapters):
        """Build a message with an endpoint's changes of residency.

        :param known_adapters: the adapters that the receiver knows to be
            ready on the endpoint.
        :returns: a ``Residency``.
        """
        scheduler = self._owners[endpoint].scheduler
        ready = {
            adapter
            for adapter, slot in scheduler.resident.items()
            if slot.state is _scheduler.SlotState.READY
        }
        return _wire.Residency(
            endpoint=endpoint,
            added=tuple(sorted(ready - set(known_adapters))),
            removed=tuple(sorted(set(known_adapters) - ready)),
            full=len(scheduler.resident) >= scheduler.slots,
            failing=self._owners[endpoint].has_recent_load_failure(),
        )

    def _mark_changed(self, endpoint):
        self._changed.add(endpoint)
        self._changed_event.set()

    async def _announce_changes(self):
        """Announce changes of owned endpoints to the peers."""
        while True:
            await self._changed_event.wait()
            self._changed_event = trio.Event()
            changed, self._changed = self._changed, set()
            for endpoint in sorted(changed):
                if endpoint in self._owners:
                    self._announce_endpoint(endpoint)
            await trio.sleep(_kv.jittered(ANNOUNCE_INTERVAL_S))

    def _announce_endpoint(self, endpoint):
        known_adapters = self._announced_adapters.get(endpoint, frozenset())
        msg = self.residency_message(endpoint, known_adapters)
        self._node.residency.apply(msg)
        self._announced_adapters[endpoint] = (
            known_adapters | set(msg.added)
        ) - set(msg.removed)
        self._node.mesh.send_with_heartbeats(msg)


async def _run_loops(owner):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(owner.run_loader)
        nursery.start_soon(owner.run_report_polling)
