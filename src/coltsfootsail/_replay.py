"""Replays a trace through the decision modules in virtual time.

This is a discrete-event simulation without network or nodes.  Placement,
the engines' schedulers and the permit queue of the weight store are the
real modules; the engines and the weight store are modelled.  The same
seed gives the same result.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from coltsfootsail import _permits
from coltsfootsail import _scheduler

DECODE_S_PER_TOKEN = 0.03
PREFILL_S = 0.12
CACHED_PREFILL_S = 0.03
PREFIX_CACHE_SIZE = 64
PLAN_AGAIN_S = 0.25
LOAD_RETRY_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """The decisions that differ between the policies of the bench.

    :param choose_engine: ``(replay, arrival) -> engine number``.
    :param rules: ``Rules`` of the schedulers.
    :param permit_rank: ``(LoadPlan) -> int``, rank of a load at the weight
        store; lower goes first.
    :param on_arrival: ``(arrival)``, called on each arrival before
        ``choose_engine``.
    """

    name: str
    choose_engine: object
    rules: _scheduler.Rules
    permit_rank: object
    on_arrival: object


@dataclasses.dataclass(slots=True)
class _Request:
    """A request of the replay and the times of its progress.

    :param adapter_ready_s: when its adapter was loaded on its engine.
    :param start_s: when it entered the batch.
    """

    arrival: object
    ticket: _scheduler.Ticket
    engine_number: int
    adapter_ready_s: float | None = None
    start_s: float | None = None


class _Engine:
    """One engine: its scheduler and a model of its prefix cache.

    ``restarts`` counts the restarts, so that a load that was under way
    during a restart is recognised as failed.
    """

    def __init__(self, number, scheduler):
        self.number = number
        self.scheduler = scheduler
        self.loading = False
        self.restarts = 0
        self._prefix_cache = collections.OrderedDict()

    def run_time_s(self, arrival):
        """Compute how long a request runs, and cache its prefix."""
        key = (arrival.adapter, arrival.prefix)
        cached = key in self._prefix_cache
        self._prefix_cache[key] = None
        self._prefix_cache.move_to_end(key)
        if len(self._prefix_cache) > PREFIX_CACHE_SIZE:
            self._prefix_cache.popitem(last=False)
        prefill_s = CACHED_PREFILL_S if cached else PREFILL_S
        return prefill_s + arrival.tokens * DECODE_S_PER_TOKEN

    def restart(self):
        """Clear the prefix cache and fail any load under way."""
        self.restarts += 1
        self._prefix_cache.clear()


class Replay:
    """One replay of a trace under a policy.

    A policy reads ``engines``, and ``engines_by_adapter``, the numbers of
    the engines that have an adapter loaded.

    :param deployment: a ``Deployment``.
    :param scenario: a ``Scenario``.
    :param trace: a ``Trace``.
    :param policy: a ``Policy``.
    :param seed: seed of the load failures.
    """

    def __init__(self, deployment, scenario, trace, policy, seed):
        self.now_s = 0.0
        self.policy = policy
        self.engines = [
            _Engine(
                number,
                _scheduler.EndpointScheduler(
                    deployment.engine_slots,
                    deployment.engine_batch,
                    policy.rules,
                ),
            )
            for number in range(deployment.engines)
        ]
        self.engines_by_adapter = collections.defaultdict(set)
        self.loads = 0
        self.evictions = 0
        self.refused = collections.Counter()
        self.requests = []
        self._faults = scenario.faults
        self._length_s = scenario.length_s
        self._warmup_s = scenario.warmup_s
        self._load_s = 1.0 / (
            deployment.weight_store_loads_per_s
            * scenario.faults.store_rate_factor
        )
        self._rng = random.Random(f"replay/{seed}")
        self._permits = _permits.PermitQueue()
        self._events = []
        self._sequence = itertools.count()
        self._requests_by_order = {}
        self._waiting = 0
        self._running = 0
        self._used_capacity_s = 0.0
        self._total_capacity_s = 0.0
        self._usable_capacity_s = 0.0
        self._classes = deployment.classes
        self._batch_capacity = deployment.engines * deployment.engine_batch
        self._schedule_trace(trace)

    def _schedule_trace(self, trace):
        for arrival in trace.arrivals:
            self._schedule(arrival.at_s, self._handle_arrival, arrival)
        for at_s, number in self._faults.restarts:
            self._schedule(at_s, self._restart_engine, self.engines[number])
        for at_s, number in self._faults.owner_changes:
            self._schedule(at_s, self._change_owner, self.engines[number])

    def _schedule(self, at_s, handler, *args):
        entry = (at_s, next(self._sequence), handler, args)
        heapq.heappush(self._events, entry)

    def run(self):
        """Replay the trace until the scenario ends.

        :returns: this replay.
        """
        while self._events:
            at_s, _, handler, args = heapq.heappop(self._events)
            if at_s > self._length_s:
                break
            self._accumulate_batch_use(at_s)
            self.now_s = at_s
            handler(*args)
        self._accumulate_batch_use(self._length_s)
        return self

    def _accumulate_batch_use(self, until_s):
        if self._waiting and self.now_s >= self._warmup_s:
            span_s = until_s - self.now_s
            usable = min(self._batch_capacity, self._running + self._waiting)
            self._used_capacity_s += self._running * span_s
            self._usable_capacity_s += usable * span_s
            self._total_capacity_s += self._batch_capacity * span_s

    def measured_requests(self):
        """List the requests that arrived after the warm-up."""
        return [
            req for req in self.requests if req.arrival.at_s >= self._warmup_s
        ]

    @property
    def batch_efficiency(self):
        """Share of the usable batch capacity that is used.

        Usable is what the running and waiting requests could fill, at
        most the whole batch capacity.  Only times with waiting requests
        count.
        """
        return (
            self._used_capacity_s / self._usable_capacity_s
            if self._usable_capacity_s
            else 1.0
        )

    @property
    def batch_occupancy(self):
        """Share of the whole batch capacity used while requests wait."""
        return (
            self._used_capacity_s / self._total_capacity_s
            if self._total_capacity_s
            else 0.0
        )

    def _handle_arrival(self, arrival):
        self.policy.on_arrival(arrival)
        engine = self.engines[self.policy.choose_engine(self, arrival)]
        ticket = _scheduler.Ticket(
            order=next(self._sequence),
            adapter=arrival.adapter,
            rank=arrival.rank if self.policy.rules.protect else 0,
            protected=arrival.protected,
            arrival_s=arrival.at_s,
        )
        req = _Request(arrival, ticket, engine.number)
        slot = engine.scheduler.resident.get(arrival.adapter)
        if slot and slot.state is _scheduler.SlotState.READY:
            req.adapter_ready_s = self.now_s
        self.requests.append(req)
        self._requests_by_order[ticket.order] = req
        self._waiting += 1
        engine.scheduler.submit(ticket)
        self._dispatch(engine)

    def _dispatch(self, engine):
        scheduler = engine.scheduler
        while True:
            ticket = scheduler.next_start(self.now_s)
            if ticket is None:
                break
            self._start_request(engine, self._requests_by_order[ticket.order])
        self._queue_load(engine)

    def _start_request(self, engine, req):
        req.start_s = self.now_s
        if req.adapter_ready_s is None:
            req.adapter_ready_s = self.now_s
        self._waiting -= 1
        self._running += 1
        end_s = self.now_s + engine.run_time_s(req.arrival)
        self._schedule(end_s, self._finish_request, engine, req)

    def _finish_request(self, engine, req):
        self._running -= 1
        engine.scheduler.finish(req.ticket, self.now_s)
        self._dispatch(engine)

    def _may_evict(self):
        span = self._faults.no_eviction_span
        return span is None or not span[0] <= self.now_s < span[1]

    def _next_load_plan(self, engine):
        may_evict = self._may_evict()
        plan = engine.scheduler.next_load(self.now_s, may_evict)
        if plan is None and may_evict:
            plan = engine.scheduler.next_prefetch(self.now_s)
        return plan

    def _queue_load(self, engine):
        """Queue the engine's next load, if any, at the weight store."""
        if engine.loading:
            return
        plan = self._next_load_plan(engine)
        if plan is None:
            return
        rank = self.policy.permit_rank(plan)
        ticket = str(engine.number)
        self._permits.ask(ticket, ticket, rank, plan.waited_s, self.now_s)
        self._grant_permits()

    def _grant_permits(self):
        """Begin the next permitted load that is still needed."""
        while True:
            granted = self._permits.next(self.now_s)
            if granted is None:
                return
            engine = self.engines[int(granted.ticket)]
            plan = self._next_load_plan(engine)
            if plan is not None:
                self._begin_load(engine, plan)
                return
            self._permits.done(granted.ticket)

    def _begin_load(self, engine, plan):
        scheduler = engine.scheduler
        engine.loading = True
        if plan.victim:
            self.evictions += 1
            self.engines_by_adapter[plan.victim].discard(engine.number)
            scheduler.begin_evict(plan.victim)
            scheduler.evicted(plan.victim)
        batch = not plan.protected and not plan.prefetch
        scheduler.begin_load(plan.adapter, self.now_s, for_batch=batch)
        done_s = self.now_s + self._load_s
        self._schedule(
            done_s, self._finish_load, engine, plan, engine.restarts
        )

    def _finish_load(self, engine, plan, restarts_before):
        engine.loading = False
        self._permits.done(str(engine.number))
        self.loads += 1
        failed = self._rng.random() < self._faults.load_failure_share
        if failed or restarts_before != engine.restarts:
            engine.scheduler.load_failed(plan.adapter, unsure=False)
        else:
            self._mark_loaded(engine, plan.adapter)
        for other in self.engines:
            self._queue_load(other)
        self._grant_permits()

    def _mark_loaded(self, engine, adapter):
        engine.scheduler.loaded(adapter, self.now_s)
        self.engines_by_adapter[adapter].add(engine.number)
        for order in engine.scheduler.waiting_orders(adapter):
            req = self._requests_by_order[order]
            if req.adapter_ready_s is None:
                req.adapter_ready_s = self.now_s
        self._dispatch(engine)

    def _restart_engine(self, engine):
        engine.restart()
        for adapter in list(engine.scheduler.resident):
            self.engines_by_adapter[adapter].discard(engine.number)
        engine.scheduler.restarted((), float("inf"))
        self._dispatch(engine)

    def _change_owner(self, engine):
        """Pin the loaded adapters for 30 s, as a new owner does."""
        for adapter in engine.scheduler.resident:
            engine.scheduler.pin(adapter, self.now_s + 30.0)
