"""Scheduling for one endpoint: request starts, adapter loads, evictions.

State in, decision out: the scheduler does no I/O and has no clock.  The
node and the policy bench run the same code.  The cost of a decision
depends on the endpoint's slots, not on the number of adapters.
"""

import collections
import dataclasses
import enum
import heapq

PROTECTED_KEEP_RATE_PER_S = 1 / 240.0  # request rate of adapters worth keeping
REMEMBERED_EVICTIONS_PER_SLOT = 4  # candidates for prefetching
PREFETCH_RANK = 9


class SlotState(enum.Enum):
    """State of an adapter slot.

    ``UNSURE``: the engine may or may not hold the adapter, as after an
    order without an answer; its next reports tell.
    """

    LOADING = "loading"
    READY = "ready"
    EVICTING = "evicting"
    UNSURE = "unsure"


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that waits for a place in the batch or holds one.

    :param order: order of admission, unique on the endpoint.
    :param adapter: ``name@version``.
    :param rank: rank of its priority class; lower goes first.
    :param protected: whether its class goes before batch work.
    :param arrival_s: when it arrived.
    :param suspect: whether it may have crashed an endpoint; one suspect
        runs at a time.
    """

    order: int
    adapter: str
    rank: int
    protected: bool
    arrival_s: float
    suspect: bool = False


@dataclasses.dataclass(slots=True)
class Slot:
    """An adapter in a slot and the requests that use it.

    :param since_s: when it was ordered to load, or when its last order
        ended.
    :param running: requests that run on it.
    :param protected_running: those of them that are protected.
    :param lingering: requests that ended for this node, but may still
        run on the engine.
    :param last_used_s: when a request last started or ended.
    :param pinned_until_s: no eviction before this time.
    :param eviction_pending: a former owner's eviction order may still
        take effect, so no protected request starts.
    :param eviction_pending_until_s: the same up to this time, for an
        unanswered eviction order of this node.
    :param adopted: this node did not load the adapter under its current
        ownership of the endpoint.
    :param for_batch: it was loaded for a batch request and has served no
        protected one.
    """

    state: SlotState
    since_s: float
    running: int = 0
    protected_running: int = 0
    lingering: int = 0
    last_used_s: float = 0.0
    pinned_until_s: float = 0.0
    eviction_pending: bool = False
    eviction_pending_until_s: float = 0.0
    adopted: bool = False
    for_batch: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """A load to order.

    :param victim: adapter to evict first, or empty.
    :param rank: rank of the request that it is for.
    :param waited_s: how long that request has waited.
    :param prefetch: whether no request waits for it.
    """

    adapter: str
    victim: str
    rank: int
    protected: bool
    waited_s: float
    prefetch: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The parameters in which scheduling policies differ.

    :param value: ``(adapter, now_s) -> float``, value of keeping the
        adapter resident.
    :param batch_age_s: a batch request that waits longer may evict any
        idle adapter, and longer queues no longer go before it.
    :param gather: whether loads for batch requests follow the length of
        their adapters' queues, longest first.
    :param protect: whether protected classes go before others.
    :param keep_value: adapters of at least this value are not evicted for
        batch loads.
    :param reserve: places in the batch for protected requests only.
    :param protected_slot_share: share of the slots that loads for batch
        requests may not take; at least one slot.
    :param prefetch_gain: a recently evicted adapter is loaded again when
        its value is this many times that of the least valuable resident
        one; 0 disables prefetching.
    """

    value: collections.abc.Callable
    batch_age_s: float = 600.0
    gather: bool = True
    protect: bool = True
    keep_value: float = PROTECTED_KEEP_RATE_PER_S
    reserve: int = 1
    protected_slot_share: float = 0.25
    prefetch_gain: float = 0.0


class EndpointScheduler:
    """The queue, the slots and the batch of one engine.

    :param slots: how many adapters the engine holds.
    :param batch: how many requests run at once.
    :param rules: ``Rules``.
    """

    def __init__(self, slots, batch, rules):
        self.slots = slots
        self.batch = batch
        self.rules = rules
        self.resident = {}
        self.running = 0
        self.waiting_count = 0
        self.suspect_running = False
        self._waiting = {}
        self._slots_by_order = {}
        self._recently_evicted = {}
        self._by_age = []
        self._by_count = []
        self._steps = 0

    @property
    def steps(self):
        """Steps of work done, to bound the cost of decisions in tests."""
        return self._steps

    @property
    def load(self):
        """Running and waiting requests per place in the batch."""
        return (self.running + self.waiting_count) / self.batch

    def submit(self, ticket):
        """Queue a request."""
        queue = self._waiting.setdefault(ticket.adapter, [])
        heapq.heappush(queue, (ticket.rank, ticket.order, ticket))
        self.waiting_count += 1
        self._push_index(ticket.adapter)

    def withdraw(self, ticket):
        """Remove a request from the queue.

        :returns: whether it was still waiting.
        """
        queue = self._waiting.get(ticket.adapter, [])
        entry = (ticket.rank, ticket.order, ticket)
        if entry not in queue:
            return False
        queue.remove(entry)
        heapq.heapify(queue)
        self._note_dequeued(ticket.adapter, queue)
        return True

    def _note_dequeued(self, adapter, queue):
        self.waiting_count -= 1
        if queue:
            self._push_index(adapter)
        else:
            del self._waiting[adapter]

    def _push_index(self, adapter):
        queue = self._waiting[adapter]
        rank, _, ticket = queue[0]
        key = (rank if self.rules.protect else 0, ticket.arrival_s)
        heapq.heappush(self._by_age, (key, adapter, ticket.order))
        heapq.heappush(self._by_count, (-len(queue), adapter))
        self._steps += 1

    def _startable(self, slot, ticket, now_s):
        if slot.state is not SlotState.READY:
            return False
        eviction_pending = (
            slot.eviction_pending or slot.eviction_pending_until_s > now_s
        )
        if eviction_pending and ticket.protected:
            return False
        return not (ticket.suspect and self.suspect_running)

    def _has_batch_capacity(self, ticket):
        free_places = self.batch - self.running
        if self.rules.protect and not ticket.protected:
            free_places -= self.rules.reserve
        return free_places > 0

    def next_start(self, now_s):
        """Choose the next request and count it as running.

        :param now_s: the time.
        :returns: a ``Ticket``, or None if none can start.
        """
        best = None
        for adapter, slot in self.resident.items():
            self._steps += 1
            queue = self._waiting.get(adapter)
            if not queue:
                continue
            entry = queue[0]
            if not self._startable(slot, entry[2], now_s):
                continue
            if best is None or entry < best:
                best = entry
        if best is None or not self._has_batch_capacity(best[2]):
            return None
        self._start(best[2], now_s)
        return best[2]

    def _start(self, ticket, now_s):
        queue = self._waiting[ticket.adapter]
        heapq.heappop(queue)
        self._note_dequeued(ticket.adapter, queue)
        slot = self.resident[ticket.adapter]
        slot.running += 1
        slot.protected_running += ticket.protected
        slot.for_batch = slot.for_batch and not ticket.protected
        self._slots_by_order[ticket.order] = slot
        slot.last_used_s = now_s
        self.running += 1
        self.suspect_running = self.suspect_running or ticket.suspect

    def finish(self, ticket, now_s, lingering=False):
        """Note that a started request has ended.

        :param lingering: whether the engine may still run it.
        """
        self.running -= 1
        if ticket.suspect:
            self.suspect_running = False
        slot = self._slots_by_order.pop(ticket.order)
        slot.running -= 1
        slot.protected_running -= ticket.protected
        slot.lingering += lingering
        slot.last_used_s = now_s

    def clear_lingering(self, adapter):
        """Note that the engine runs no lingering request on an adapter."""
        slot = self.resident.get(adapter)
        if slot is not None:
            slot.lingering = 0

    def _evictable(self, slot, now_s):
        return (
            slot.state is SlotState.READY
            and slot.running == 0
            and slot.lingering == 0
            and slot.pinned_until_s <= now_s
        )

    def _eviction_victim(self, now_s, value_limit, protected, batch_only):
        """Find the least valuable idle adapter below a value.

        :param protected: whether the load is for a protected request;
            only then may an adapter with waiting batch requests be evicted.
        :param batch_only: consider only adapters loaded for batch requests.
        """
        best = None
        for adapter, slot in self.resident.items():
            self._steps += 1
            if not self._evictable(slot, now_s):
                continue
            if batch_only and not slot.for_batch:
                continue
            queue = self._waiting.get(adapter)
            if queue and (queue[0][2].protected or not protected):
                continue
            value = self.rules.value(adapter, now_s)
            if value >= value_limit:
                continue
            entry = (bool(queue), value, slot.last_used_s, adapter)
            if best is None or entry < best:
                best = entry
        return best[3] if best else None

    def _batch_slots_used(self):
        return sum(slot.for_batch for slot in self.resident.values())

    def _batch_slots_max(self):
        share = self.rules.protected_slot_share
        reserved = max(1, round(self.slots * share)) if share else 0
        return max(1, self.slots - reserved)

    def _next_by_age(self):
        """Find the first ticket, by class and age, that needs a load."""
        while self._by_age:
            _, adapter, order = self._by_age[0]
            self._steps += 1
            queue = self._waiting.get(adapter)
            is_head = queue and queue[0][1] == order
            if is_head and adapter not in self.resident:
                return queue[0][2]
            heapq.heappop(self._by_age)
        return None

    def _next_by_count(self):
        """Find the first ticket of the longest queue that needs a load."""
        while self._by_count:
            count, adapter = self._by_count[0]
            self._steps += 1
            queue = self._waiting.get(adapter)
            if queue and len(queue) == -count and adapter not in self.resident:
                return queue[0][2]
            heapq.heappop(self._by_count)
        return None

    def next_load(self, now_s, may_evict=True):
        """Choose the next load.

        :param now_s: the time.
        :param may_evict: whether evictions are allowed.
        :returns: a ``LoadPlan`` or None; the state does not change until
            ``begin_load``.
        """
        ticket = self._next_by_age()
        if ticket is None:
            return None
        overdue = now_s - ticket.arrival_s > self.rules.batch_age_s
        value_limit = float("inf")
        if self.rules.protect and not ticket.protected:
            if self.rules.gather and not overdue:
                ticket = self._next_by_count() or ticket
            if not overdue:
                value_limit = self.rules.keep_value
        return self._plan_load(ticket, now_s, value_limit, may_evict)

    def _plan_load(self, ticket, now_s, value_limit, may_evict):
        victim = ""
        is_batch = self.rules.protect and not ticket.protected
        batch_slots_full = (
            is_batch and self._batch_slots_used() >= self._batch_slots_max()
        )
        if batch_slots_full or len(self.resident) >= self.slots:
            if not may_evict:
                return None
            victim = self._eviction_victim(
                now_s, value_limit, ticket.protected, batch_slots_full
            )
            if victim is None:
                return None
        return LoadPlan(
            adapter=ticket.adapter,
            victim=victim,
            rank=ticket.rank,
            protected=ticket.protected,
            waited_s=now_s - ticket.arrival_s,
        )

    def next_prefetch(self, now_s):
        """Choose a recently evicted adapter to load again.

        Nothing is prefetched while requests wait for loads.

        :returns: a ``LoadPlan`` or None.
        """
        gain = self.rules.prefetch_gain
        if not gain or not self._recently_evicted or self._by_age:
            return None
        value, adapter = max(
            (self.rules.value(adapter, now_s), adapter)
            for adapter in self._recently_evicted
        )
        self._steps += len(self._recently_evicted)
        victim = ""
        if len(self.resident) >= self.slots:
            victim = self._eviction_victim(now_s, value / gain, False, False)
            if victim is None:
                return None
        return LoadPlan(
            adapter, victim, PREFETCH_RANK, False, 0.0, prefetch=True
        )

    def begin_evict(self, adapter):
        """Note that an eviction is ordered."""
        self.resident[adapter].state = SlotState.EVICTING

    def evicted(self, adapter):
        """Note that an adapter was removed from its slot."""
        self.resident.pop(adapter, None)
        self._recently_evicted[adapter] = None
        if (
            len(self._recently_evicted)
            > REMEMBERED_EVICTIONS_PER_SLOT * self.slots
        ):
            self._recently_evicted.pop(next(iter(self._recently_evicted)))
        self._reindex_waiting(adapter)

    def _reindex_waiting(self, adapter):
        if adapter in self._waiting:
            self._push_index(adapter)

    def begin_load(self, adapter, now_s, for_batch=False):
        """Note that a load is ordered; it takes a slot from now on."""
        self._recently_evicted.pop(adapter, None)
        self.resident[adapter] = Slot(
            SlotState.LOADING, now_s, last_used_s=now_s, for_batch=for_batch
        )

    def loaded(self, adapter, now_s):
        """Note that an adapter is ready."""
        slot = self.resident.get(adapter)
        if slot is None:
            self.resident[adapter] = Slot(SlotState.READY, now_s)
        else:
            slot.state = SlotState.READY
            slot.since_s = now_s

    def load_failed(self, adapter, unsure):
        """Note that a load failed.

        :param unsure: whether the load may still take effect; the adapter
            then keeps its slot.
        """
        if unsure:
            self.resident[adapter].state = SlotState.UNSURE
            return
        self.evicted(adapter)

    def pin(self, adapter, until_s):
        """Keep an adapter from eviction until a time."""
        slot = self.resident[adapter]
        slot.pinned_until_s = max(slot.pinned_until_s, until_s)

    def note_restart(self, listed, requested_s):
        """Note that the engine has restarted, empty, at an unknown time.

        The adapters that it lists were loaded after the restart.  So may
        be those whose state changed after the report was requested, and
        those with an order in progress; all others are dropped.

        :param listed: adapters that the engine reports.
        :param requested_s: when the report was requested.
        """
        steady_states = (SlotState.READY, SlotState.UNSURE)
        for adapter, slot in list(self.resident.items()):
            changed_before_report = (
                slot.since_s < requested_s and slot.state in steady_states
            )
            if changed_before_report and adapter not in listed:
                self.evicted(adapter)

    def waiting_for(self, adapter):
        """Count the requests waiting for an adapter."""
        return len(self._waiting.get(adapter, ()))

    def waiting_orders(self, adapter):
        """List ``Ticket.order`` of the requests waiting for an adapter."""
        return [order for _, order, _ in self._waiting.get(adapter, ())]

    def take_waiting(self, adapter):
        """Remove all requests that wait for an adapter.

        :returns: list of ``Ticket`` in queue order.
        """
        queue = self._waiting.pop(adapter, [])
        self.waiting_count -= len(queue)
        return [ticket for _, _, ticket in sorted(queue)]

    def waiting_adapters(self):
        """List the adapters that requests wait for."""
        return list(self._waiting)
