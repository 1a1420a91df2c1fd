"""Decisions for one endpoint: what to start, load and evict.

State in, decision out: no I/O and no clock of its own.  The node and the
policy bench run the same code.  The work of one decision depends on the
endpoint's slots, not on how many adapters exist.
"""

import collections
import dataclasses
import enum
import heapq

PROTECTED_KEEP_RATE = 1 / 240.0
EVICTED_PER_SLOT = 4
PREFETCH_RANK = 9


class SlotState(enum.Enum):
    """Life of an adapter in a slot."""

    LOADING = "loading"
    READY = "ready"
    EVICTING = "evicting"
    UNSURE = "unsure"


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request waiting for or using a place in the batch.

    :param adapter: ``name@version``.
    :param rank: rank of its priority class; lower goes first.
    :param order: admission order, unique on the endpoint.
    """

    order: int
    adapter: str
    rank: int
    protected: bool
    arrival_s: float
    suspect: bool = False


@dataclasses.dataclass(slots=True)
class Slot:
    """An adapter in a slot and who uses it."""

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
    """A load to order, after evicting ``victim`` where there is one."""

    adapter: str
    victim: str
    rank: int
    protected: bool
    waited_s: float
    prefetch: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """What varies between policies, as plain functions.

    :param value: ``(adapter, now_s) -> float``, worth of keeping it.
    :param batch_age_s: a batch request older than this goes first.
    :param gather: load first what most batch requests wait for.
    :param protect: classes with protection go before others.
    :param keep_value: adapters worth more are kept from batch loads.
    :param reserve: batch places only protected requests may take.
    :param protected_slot_share: share of slots that loads for batch
        classes leave alone, at least one.
    :param prefetch_gain: a recently evicted adapter worth this many times
        the least valuable resident one is loaded again; 0 is never.
    """

    value: collections.abc.Callable
    batch_age_s: float = 600.0
    gather: bool = True
    protect: bool = True
    keep_value: float = PROTECTED_KEEP_RATE
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
        self._slot_of = {}
        self._evicted = {}
        self._by_age = []
        self._by_count = []
        self._steps = 0

    @property
    def steps(self):
        """Units of work done, for bounds on the cost of decisions."""
        return self._steps

    @property
    def load(self):
        """Running and waiting requests over batch places."""
        return (self.running + self.waiting_count) / self.batch

    def submit(self, ticket):
        """Queue a request."""
        queue = self._waiting.setdefault(ticket.adapter, [])
        heapq.heappush(queue, (ticket.rank, ticket.order, ticket))
        self.waiting_count += 1
        self._index(ticket.adapter)

    def withdraw(self, ticket):
        """Take a request out of the queue.

        :returns: whether it was still waiting.
        """
        queue = self._waiting.get(ticket.adapter, [])
        entry = (ticket.rank, ticket.order, ticket)
        if entry not in queue:
            return False
        queue.remove(entry)
        heapq.heapify(queue)
        self._drop_waiting(ticket.adapter, queue)
        return True

    def _drop_waiting(self, adapter, queue):
        self.waiting_count -= 1
        if queue:
            self._index(adapter)
        else:
            del self._waiting[adapter]

    def _index(self, adapter):
        queue = self._waiting[adapter]
        rank, _, first = queue[0]
        key = (rank if self.rules.protect else 0, first.arrival_s)
        heapq.heappush(self._by_age, (key, adapter, first.order))
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

    def _has_place(self, ticket):
        free = self.batch - self.running
        if self.rules.protect and not ticket.protected:
            free -= self.rules.reserve
        return free > 0

    def next_start(self, now_s):
        """Choose the request to start now.

        :param now_s: the time.
        :returns: a ``Ticket`` that now counts as running, or None.
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
        if best is None or not self._has_place(best[2]):
            return None
        self._start(best[2], now_s)
        return best[2]

    def _start(self, ticket, now_s):
        queue = self._waiting[ticket.adapter]
        heapq.heappop(queue)
        self._drop_waiting(ticket.adapter, queue)
        slot = self.resident[ticket.adapter]
        slot.running += 1
        slot.protected_running += ticket.protected
        slot.for_batch = slot.for_batch and not ticket.protected
        self._slot_of[ticket.order] = slot
        slot.last_used_s = now_s
        self.running += 1
        self.suspect_running = self.suspect_running or ticket.suspect

    def finish(self, ticket, now_s, lingering=False):
        """Note that a started request has ended.

        :param lingering: the engine may still be running it.
        """
        self.running -= 1
        if ticket.suspect:
            self.suspect_running = False
        slot = self._slot_of.pop(ticket.order)
        slot.running -= 1
        slot.protected_running -= ticket.protected
        slot.lingering += lingering
        slot.last_used_s = now_s

    def clear_lingering(self, adapter):
        """Note that the engine runs nothing unknown on an adapter."""
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

    def _victim(self, now_s, ceiling, protected, batch_only):
        """Find the least valuable idle adapter below a value."""
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
            if value >= ceiling:
                continue
            entry = (bool(queue), value, slot.last_used_s, adapter)
            if best is None or entry < best:
                best = entry
        return best[3] if best else None

    def _batch_slots_used(self):
        return sum(slot.for_batch for slot in self.resident.values())

    def _batch_slots(self):
        share = self.rules.protected_slot_share
        kept = max(1, round(self.slots * share)) if share else 0
        return max(1, self.slots - kept)

    def _oldest(self):
        """Find the waiting adapter to load next by class and age."""
        while self._by_age:
            _, adapter, order = self._by_age[0]
            self._steps += 1
            queue = self._waiting.get(adapter)
            current = queue and queue[0][1] == order
            if current and adapter not in self.resident:
                return queue[0][2]
            heapq.heappop(self._by_age)
        return None

    def _fullest(self):
        """Find the waiting adapter with most requests."""
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
        :returns: a ``LoadPlan`` or None; it is not yet noted as begun.
        """
        first = self._oldest()
        if first is None:
            return None
        aged = now_s - first.arrival_s > self.rules.batch_age_s
        ceiling = float("inf")
        if self.rules.protect and not first.protected:
            if self.rules.gather and not aged:
                first = self._fullest() or first
            if not aged:
                ceiling = self.rules.keep_value
        return self._plan(first, now_s, ceiling, may_evict)

    def _plan(self, ticket, now_s, ceiling, may_evict):
        victim = ""
        keep = self.rules.protect and not ticket.protected
        at_share = keep and self._batch_slots_used() >= self._batch_slots()
        if at_share or len(self.resident) >= self.slots:
            if not may_evict:
                return None
            victim = self._victim(now_s, ceiling, ticket.protected, at_share)
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
        """Choose a load that no request waits for.

        :returns: a ``LoadPlan`` or None.
        """
        gain = self.rules.prefetch_gain
        if not gain or not self._evicted or self._by_age:
            return None
        value, adapter = max(
            (self.rules.value(adapter, now_s), adapter)
            for adapter in self._evicted
        )
        self._steps += len(self._evicted)
        victim = ""
        if len(self.resident) >= self.slots:
            victim = self._victim(now_s, value / gain, False, False)
            if victim is None:
                return None
        return LoadPlan(
            adapter, victim, PREFETCH_RANK, False, 0.0, prefetch=True
        )

    def begin_evict(self, adapter):
        """Note that an eviction is ordered."""
        self.resident[adapter].state = SlotState.EVICTING

    def evicted(self, adapter):
        """Note that an adapter has left its slot."""
        self.resident.pop(adapter, None)
        self._evicted[adapter] = None
        if len(self._evicted) > EVICTED_PER_SLOT * self.slots:
            self._evicted.pop(next(iter(self._evicted)))
        self._reindex(adapter)

    def _reindex(self, adapter):
        if adapter in self._waiting:
            self._index(adapter)

    def begin_load(self, adapter, now_s, for_batch=False):
        """Note that a load is ordered; it takes a slot from now."""
        self._evicted.pop(adapter, None)
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

        :param unsure: it may still take effect, so it keeps its slot.
        """
        if unsure:
            self.resident[adapter].state = SlotState.UNSURE
            return
        self.evicted(adapter)

    def pin(self, adapter, until_s):
        """Keep an adapter from eviction until a time."""
        slot = self.resident[adapter]
        slot.pinned_until_s = max(slot.pinned_until_s, until_s)

    def note_restart(self, listed, asked_s):
        """Note that the engine has restarted empty at some moment.

        Adapters that it lists were loaded since; so may be those whose
        state is newer than the question, or under an order.

        :param listed: adapters that it holds.
        :param asked_s: when it was asked.
        """
        settled = (SlotState.READY, SlotState.UNSURE)
        for adapter, slot in list(self.resident.items()):
            older = slot.since_s < asked_s and slot.state in settled
            if older and adapter not in listed:
                self.evicted(adapter)

    def waiting_for(self, adapter):
        """Count the requests waiting for an adapter."""
        return len(self._waiting.get(adapter, ()))

    def waiting_orders(self, adapter):
        """List the orders of the requests waiting for an adapter."""
        return [order for _, order, _ in self._waiting.get(adapter, ())]

    def take_waiting(self, adapter):
        """Remove and list all requests that wait for an adapter."""
        queue = self._waiting.pop(adapter, [])
        self.waiting_count -= len(queue)
        return [ticket for _, _, ticket in sorted(queue)]

    def waiting_adapters(self):
        """List the adapters that requests wait for."""
        return list(self._waiting)
