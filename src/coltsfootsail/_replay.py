"""Replays a trace through the decision modules in virtual time.

There is no network and no node here: one event queue, the schedulers of
the engines, the placement, the permit queue, and a model of engine and
weight store.  The same seed gives the same result.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from coltsfootsail import _permits
from coltsfootsail import _scheduler

TOKEN_S = 0.03
PREFILL_S = 0.12
PREFIX_HIT_S = 0.03
PREFIXES_HELD = 64
PLAN_AGAIN_S = 0.25
LOAD_RETRY_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A policy to replay.

    :param place: ``(view, arrival) -> engine number``.
    :param rules: ``Rules`` of the schedulers.
    :param permit_rank: ``(LoadPlan) -> int``, order at the weight store.
    :param note: ``(arrival)``, called on each arrival.
    """

    name: str
    place: object
    rules: _scheduler.Rules
    permit_rank: object
    note: object


@dataclasses.dataclass(slots=True)
class _Request:
    arrival: object
    ticket: _scheduler.Ticket
    engine: int
    ready_s: float | None = None
    start_s: float | None = None


class _Engine:
    """One engine: its scheduler and a model of its prefix cache."""

    def __init__(self, number, scheduler):
        self.number = number
        self.scheduler = scheduler
        self.loading = False
        self.generation = 0
        self._prefixes = collections.OrderedDict()

    def service_s(self, arrival):
        """Compute how long a request runs."""
        key = (arrival.adapter, arrival.prefix)
        hit = key in self._prefixes
        self._prefixes[key] = None
        self._prefixes.move_to_end(key)
        if len(self._prefixes) > PREFIXES_HELD:
            self._prefixes.popitem(last=False)
        prefill_s = PREFIX_HIT_S if hit else PREFILL_S
        return prefill_s + arrival.tokens * TOKEN_S

    def restart(self):
        """Lose all adapters and prefixes."""
        self.generation += 1
        self._prefixes.clear()


class Replay:
    """One replay of a trace under a policy.

    :param deployment: a ``Deployment``.
    :param scenario: a ``Scenario``.
    :param trace: a ``Trace``.
    :param policy: a ``Policy``.
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
        self.holders = collections.defaultdict(set)
        self.loads = 0
        self.evictions = 0
        self.refused = collections.Counter()
        self.requests = []
        self._faults = scenario.faults
        self._length_s = scenario.length_s
        self._warm_s = scenario.warm_s
        self._load_s = 1.0 / (
            deployment.weight_store_loads_per_s * scenario.faults.store_factor
        )
        self._rng = random.Random(f"replay/{seed}")
        self._permits = _permits.PermitQueue()
        self._events = []
        self._numbers = itertools.count()
        self._by_order = {}
        self._waiting = 0
        self._running = 0
        self._used_s = 0.0
        self._offered_s = 0.0
        self._usable_s = 0.0
        self._classes = deployment.classes
        self._places = deployment.engines * deployment.engine_batch
        self._fill(trace)

    def _fill(self, trace):
        for arrival in trace.arrivals:
            self._at(arrival.at_s, self._arrive, arrival)
        for at_s, number in self._faults.restarts:
            self._at(at_s, self._restart, self.engines[number])
        for at_s, number in self._faults.moves:
            self._at(at_s, self._move, self.engines[number])

    def _at(self, at_s, handle, *args):
        entry = (at_s, next(self._numbers), handle, args)
        heapq.heappush(self._events, entry)

    def run(self):
        """Replay until the end of the scenario's time."""
        while self._events:
            at_s, _, handle, args = heapq.heappop(self._events)
            if at_s > self._length_s:
                break
            self._account(at_s)
            self.now_s = at_s
            handle(*args)
        self._account(self._length_s)
        return self

    def _account(self, until_s):
        if self._waiting and self.now_s >= self._warm_s:
            span_s = until_s - self.now_s
            usable = min(self._places, self._running + self._waiting)
            self._used_s += self._running * span_s
            self._usable_s += usable * span_s
            self._offered_s += self._places * span_s

    def measured(self):
        """List the requests that arrived after the warm-up."""
        return [
            req for req in self.requests if req.arrival.at_s >= self._warm_s
        ]

    @property
    def batch_efficiency(self):
        """Used batch places over those that present work could use.

        Counted while work waits; where as much work waits as there are
        free places this is used over offered places.
        """
        return self._used_s / self._usable_s if self._usable_s else 1.0

    @property
    def batch_occupancy(self):
        """Used over all batch places while any work waits."""
        return self._used_s / self._offered_s if self._offered_s else 0.0

    # -- requests ---------------------------------------------------

    def _arrive(self, arrival):
        self.policy.note(arrival)
        engine = self.engines[self.policy.place(self, arrival)]
        ticket = _scheduler.Ticket(
            order=next(self._numbers),
            adapter=arrival.adapter,
            rank=arrival.rank if self.policy.rules.protect else 0,
            protected=arrival.protected,
            arrival_s=arrival.at_s,
        )
        req = _Request(arrival, ticket, engine.number)
        slot = engine.scheduler.resident.get(arrival.adapter)
        if slot and slot.state is _scheduler.SlotState.READY:
            req.ready_s = self.now_s
        self.requests.append(req)
        self._by_order[ticket.order] = req
        self._waiting += 1
        engine.scheduler.submit(ticket)
        self._pump(engine)

    def _pump(self, engine):
        scheduler = engine.scheduler
        while True:
            ticket = scheduler.next_start(self.now_s)
            if ticket is None:
                break
            self._start(engine, self._by_order[ticket.order])
        self._plan(engine)

    def _start(self, engine, req):
        req.start_s = self.now_s
        if req.ready_s is None:
            req.ready_s = self.now_s
        self._waiting -= 1
        self._running += 1
        end_s = self.now_s + engine.service_s(req.arrival)
        self._at(end_s, self._finish, engine, req)

    def _finish(self, engine, req):
        self._running -= 1
        engine.scheduler.finish(req.ticket, self.now_s)
        self._pump(engine)

    # -- loads ------------------------------------------------------

    def _may_evict(self):
        span = self._faults.no_evict
        return span is None or not span[0] <= self.now_s < span[1]

    def _next_plan(self, engine):
        may_evict = self._may_evict()
        plan = engine.scheduler.next_load(self.now_s, may_evict)
        if plan is None and may_evict:
            plan = engine.scheduler.next_prefetch(self.now_s)
        return plan

    def _plan(self, engine):
        """Ask the weight store for the engine's next load."""
        if engine.loading:
            return
        plan = self._next_plan(engine)
        if plan is None:
            return
        rank = self.policy.permit_rank(plan)
        ticket = str(engine.number)
        self._permits.ask(ticket, ticket, rank, plan.waited_s, self.now_s)
        self._grant()

    def _grant(self):
        while True:
            granted = self._permits.next(self.now_s)
            if granted is None:
                return
            engine = self.engines[int(granted.ticket)]
            plan = self._next_plan(engine)
            if plan is not None:
                self._load(engine, plan)
                return
            self._permits.done(granted.ticket)

    def _load(self, engine, plan):
        scheduler = engine.scheduler
        engine.loading = True
        if plan.victim:
            self.evictions += 1
            self.holders[plan.victim].discard(engine.number)
            scheduler.begin_evict(plan.victim)
            scheduler.evicted(plan.victim)
        batch = not plan.protected and not plan.prefetch
        scheduler.begin_load(plan.adapter, self.now_s, for_batch=batch)
        done_s = self.now_s + self._load_s
        self._at(done_s, self._loaded, engine, plan, engine.generation)

    def _loaded(self, engine, plan, generation):
        engine.loading = False
        self._permits.done(str(engine.number))
        self.loads += 1
        failed = self._rng.random() < self._faults.load_failure_share
        if failed or generation != engine.generation:
            engine.scheduler.load_failed(plan.adapter, unsure=False)
        else:
            self._ready(engine, plan.adapter)
        for other in self.engines:
            self._plan(other)
        self._grant()

    def _ready(self, engine, adapter):
        engine.scheduler.loaded(adapter, self.now_s)
        self.holders[adapter].add(engine.number)
        for order in engine.scheduler.waiting_orders(adapter):
            req = self._by_order[order]
            if req.ready_s is None:
                req.ready_s = self.now_s
        self._pump(engine)

    # -- faults -----------------------------------------------------

    def _restart(self, engine):
        engine.restart()
        for adapter in list(engine.scheduler.resident):
            self.holders[adapter].discard(engine.number)
        engine.scheduler.restarted((), float("inf"))
        self._pump(engine)

    def _move(self, engine):
        """A new owner keeps what it finds loaded pinned for a while."""
        for adapter in engine.scheduler.resident:
            engine.scheduler.pin(adapter, self.now_s + 30.0)
