"""The scheduler and the ledger under random sequences of steps.

``pytest --long`` runs more than 10,000 steps.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
import trio
import trio.testing

from coltsfootsail import _http
from coltsfootsail import _kv
from coltsfootsail import _ledger
from coltsfootsail import _scheduler
from coltsfootsail import _settings
from coltsfootsail import exceptions
from coltsfootsail.standins import kv as standin
from coltsfootsail.standins import network as memory

ADAPTERS = [f"a-{number}@v1" for number in range(8)]
SLOTS, BATCH = 3, 4
SHORT = hypothesis.settings(max_examples=40, stateful_step_count=40)
LONG = hypothesis.settings(max_examples=300, stateful_step_count=60)


class SchedulerMachine(stateful.RuleBasedStateMachine):
    """Requests, loads, load failures and engine restarts in any order."""

    def __init__(self):
        super().__init__()
        rules = _scheduler.Rules(value=lambda adapter, now_s: 0.0)
        self.scheduler = _scheduler.EndpointScheduler(SLOTS, BATCH, rules)
        self.now_s = 0.0
        self.order = 0
        self.running = []
        self.waiting = []
        self.loading = None

    @stateful.rule(
        adapter=strategies.sampled_from(ADAPTERS),
        protected=strategies.booleans(),
        suspect=strategies.booleans(),
    )
    def submit(self, adapter, protected, suspect):
        """A request arrives."""
        rank = 0 if protected else 5
        ticket = _scheduler.Ticket(
            self.order, adapter, rank, protected, self.now_s, suspect
        )
        self.order += 1
        self.waiting.append(ticket)
        self.scheduler.submit(ticket)

    @stateful.rule()
    def start(self):
        """The scheduler starts a request, if one may start."""
        ticket = self.scheduler.next_start(self.now_s)
        if ticket is None:
            return
        slot = self.scheduler.resident[ticket.adapter]
        assert slot.state is _scheduler.SlotState.READY
        assert not (slot.eviction_pending and ticket.protected)
        self.waiting.remove(ticket)
        self.running.append(ticket)

    @stateful.rule(data=strategies.data(), lingering=strategies.booleans())
    def finish(self, data, lingering):
        """A running request ends."""
        if not self.running:
            return
        ticket = data.draw(strategies.sampled_from(self.running))
        self.running.remove(ticket)
        self.scheduler.finish(ticket, self.now_s, lingering)

    @stateful.rule(data=strategies.data())
    def withdraw(self, data):
        """A waiting request is withdrawn."""
        if not self.waiting:
            return
        ticket = data.draw(strategies.sampled_from(self.waiting))
        self.waiting.remove(ticket)
        assert self.scheduler.withdraw(ticket)

    @stateful.rule(may_evict=strategies.booleans())
    def load(self, may_evict):
        """A load begins."""
        if self.loading is not None:
            return
        plan = self.scheduler.next_load(self.now_s, may_evict)
        if plan is None:
            return
        assert may_evict or not plan.victim
        if plan.victim:
            slot = self.scheduler.resident[plan.victim]
            assert slot.running == slot.lingering == 0
            assert slot.pinned_until_s <= self.now_s
            adapters_in_use = [item.adapter for item in self.running]
            loaded_here = not slot.adopted
            assert plan.victim not in adapters_in_use or not loaded_here
            self.scheduler.begin_evict(plan.victim)
            self.scheduler.evicted(plan.victim)
        self.scheduler.begin_load(plan.adapter, self.now_s)
        self.loading = plan.adapter

    @stateful.rule(
        result=strategies.sampled_from(["loaded", "failed", "unsure"])
    )
    def end_load(self, result):
        """A load ends with some result."""
        if self.loading is None:
            return
        adapter, self.loading = self.loading, None
        if result == "loaded":
            self.scheduler.loaded(adapter, self.now_s)
        else:
            self.scheduler.load_failed(adapter, unsure=result == "unsure")

    @stateful.rule(adapter=strategies.sampled_from(ADAPTERS))
    def clear_lingering(self, adapter):
        """The engine reports no lingering request on an adapter."""
        self.scheduler.clear_lingering(adapter)

    @stateful.rule(eviction_pending=strategies.booleans())
    def set_eviction_pending(self, eviction_pending):
        """An eviction by an earlier owner becomes or ceases to be pending."""
        for slot in self.scheduler.resident.values():
            slot.eviction_pending = eviction_pending

    @stateful.rule()
    def restart(self):
        """The engine restarts empty, and its running requests end."""
        for ticket in self.running:
            self.scheduler.finish(ticket, self.now_s)
        self.running.clear()
        self.scheduler.note_restart((), self.now_s + 0.5)
        self.now_s += 1.0

    @stateful.rule(elapsed_s=strategies.floats(0.1, 700.0))
    def advance_clock(self, elapsed_s):
        """Time passes."""
        self.now_s += elapsed_s

    @stateful.invariant()
    def counts_match_the_model(self):
        """The counts of requests and slots match the model and its limits."""
        scheduler = self.scheduler
        assert scheduler.running == len(self.running) <= BATCH
        assert scheduler.waiting_count == len(self.waiting)
        assert len(scheduler.resident) <= SLOTS
        for adapter, slot in scheduler.resident.items():
            requests_on_adapter = [
                t for t in self.running if t.adapter == adapter
            ]
            assert slot.running <= len(requests_on_adapter)
            assert slot.running >= 0
        suspects = sum(ticket.suspect for ticket in self.running)
        assert suspects <= 1


class LedgerSimulation:
    """Two nodes that share a ledger, with a record of what really ran.

    A node may die and start again as a new incarnation.
    """

    def __init__(self, steps):
        self.steps = steps
        self.runs = {}
        self.answers = {}

    async def run(self):
        """Take the steps and check that no granted key has run before."""
        net = memory.MemoryNetwork()
        service = standin.KvStandIn()
        ended = set()

        def make_ledger(node, incarnation):
            client = _http.HttpClient(net.network(node))
            return _ledger.Ledger(
                _kv.KvClient(client, ["kv:1"]),
                _settings.LedgerSettings(buckets=1),
                node,
                str(incarnation),
                lambda name, claimant: (name, claimant) not in ended,
                lambda: 1.7e9,
            )

        async with trio.open_nursery() as nursery:
            serve = net.network("kv").serve
            await nursery.start(serve, "kv:1", service.serve)
            incarnations = {"a": 0, "b": 0}
            nodes = {name: make_ledger(name, 0) for name in incarnations}
            claims = {}
            for name, key, action, fault in self.steps:
                service.set_fault(fault)
                if action == "die":
                    ended.add((name, str(incarnations[name])))
                    incarnations[name] += 1
                    nodes[name] = make_ledger(name, incarnations[name])
                    claims = {k: v for k, v in claims.items() if v[0] != name}
                    continue
                await self._take_step(nodes[name], name, key, action, claims)
            nursery.cancel_scope.cancel()

    async def _take_step(self, node, name, key, action, claims):
        if action == "claim":
            try:
                outcome = await node.claim(key, "f")
            except exceptions.ColtsfootsailError:
                return
            if isinstance(outcome, _ledger.Claim):
                assert self.runs.get(key, 0) == 0
                claims[key] = (name, outcome)
            else:
                assert self.answers[key] == outcome
            return
        owner, claim = claims.pop(key, (None, None))
        if owner != name:
            return
        try:
            if action == "release":
                await node.release(claim)
                return
            self.runs[key] = self.runs.get(key, 0) + 1
            self.answers[key] = _ledger.Answer(200, "t", key.encode())
            await node.complete(claim, self.answers[key])
        except exceptions.KvError:
            return


FAULTS = strategies.sampled_from(
    [standin.KvFault.NONE] * 5
    + [standin.KvFault.LOST_REPLY, standin.KvFault.DOWN]
)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["a", "b"]),
        strategies.sampled_from(["k1", "k2", "k3"]),
        strategies.sampled_from(
            ["claim", "claim", "run", "run", "release", "die"]
        ),
        FAULTS,
    ),
    min_size=5,
    max_size=40,
)


def _run_ledger(steps):
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(LedgerSimulation(steps).run, clock=clock)


@hypothesis.settings(max_examples=60)
@hypothesis.given(STEPS)
def test_no_key_runs_twice(steps):
    _run_ledger(steps)


def test_scheduler_keeps_its_invariants():
    stateful.run_state_machine_as_test(SchedulerMachine, settings=SHORT)


@pytest.mark.long
@hypothesis.settings(max_examples=600)
@hypothesis.given(STEPS)
def test_no_key_runs_twice_in_10000_steps(steps):
    _run_ledger(steps)


@pytest.mark.long
def test_scheduler_keeps_its_invariants_in_10000_steps():
    stateful.run_state_machine_as_test(SchedulerMachine, settings=LONG)
