"""Decision code of the gateway, tested without I/O."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from coltsfootsail import _adapter_slots
from coltsfootsail import _admission
from coltsfootsail import _claims
from coltsfootsail import _fleet
from coltsfootsail import _grants
from coltsfootsail import _held_memory
from coltsfootsail import _retries
from coltsfootsail import _upstream

ENGINE = _fleet.EngineSpec(
    slots=64,
    memory_tokens=10000,
    adapter_slots=3,
    event_tokens=3,
    weights_mb=70000.0,
    models=(_fleet.BaseModel("m", 65000.0, 12.0, 3.9),),
)


def make_report(sequence, adapters=(), **fields):
    return _fleet.EngineReport(
        sequence=sequence,
        adapters=dict.fromkeys(adapters, 1),
        pending=fields.get("pending", ()),
        running=0,
        waiting=0,
        models=fields.get("models", ("m",)),
        busy=fields.get("busy", False),
    )


@pytest.fixture
def slots():
    adapter_slots = _adapter_slots.AdapterSlots(
        ENGINE, lambda adapter, now_s: float(adapter[3:])
    )
    adapter_slots.apply_report(make_report(0), 0.0)
    return adapter_slots


def wanted(*numbers, version=0):
    return [(f"m/a{number}", version) for number in numbers]


def note_loads(slots, *numbers, now_s=0.0):
    for number in numbers:
        slots.note_load(f"m/a{number}", 1, now_s)


def test_no_order_is_planned_before_a_report():
    slots = _adapter_slots.AdapterSlots(ENGINE, lambda adapter, now_s: 0.0)
    assert slots.plan(wanted(1), 0.0) is None


def test_engine_without_a_base_model_loads_one_first():
    slots = _adapter_slots.AdapterSlots(ENGINE, lambda adapter, now_s: 0.0)
    slots.apply_report(make_report(0, models=()), 0.0)
    assert slots.plan(wanted(1), 0.0) == _adapter_slots.PlannedOrder(True, "m")
    slots.note_load("m", 0, 0.0)
    assert slots.plan(wanted(1), 0.1) is None
    slots.apply_report(make_report(1, models=()), 0.2)
    assert slots.plan(wanted(1), 0.3) == _adapter_slots.PlannedOrder(True, "m")


def test_base_model_that_is_loading_is_not_ordered_again():
    slots = _adapter_slots.AdapterSlots(ENGINE, lambda adapter, now_s: 0.0)
    slots.apply_report(make_report(0, models=()), 0.0)
    slots.note_load("m", 0, 0.0)
    slots.apply_report(make_report(1, models=(), busy=True), 0.2)
    assert slots.plan(wanted(1), 0.3) is None


def test_free_slot_is_used_before_an_adapter_is_unloaded(slots):
    note_loads(slots, 1, 2)
    assert slots.plan(wanted(3), 5.0) == _adapter_slots.PlannedOrder(
        True, "m/a3"
    )


def test_least_valuable_idle_adapter_is_unloaded(slots):
    note_loads(slots, 3, 1, 2)
    slots.start("m/a1")
    assert slots.plan(wanted(9), 5.0) == _adapter_slots.PlannedOrder(
        False, "m/a2"
    )


def test_adapter_in_use_is_not_unloaded(slots):
    note_loads(slots, 1, 2, 3)
    for number in (1, 2, 3):
        slots.start(f"m/a{number}")
    assert slots.plan(wanted(9), 5.0) is None


def test_adapter_that_requests_wait_for_is_not_unloaded(slots):
    note_loads(slots, 1, 2, 3)
    assert slots.plan(wanted(1, 2, 3, 9), 5.0) is None


def test_adapter_that_may_still_load_is_not_unloaded(slots):
    note_loads(slots, 1, 2, 3)
    assert slots.plan(wanted(9), 0.5) is None


def test_adapter_in_use_gets_no_new_version(slots):
    note_loads(slots, 1)
    slots.start("m/a1")
    assert slots.plan(wanted(1, version=2), 5.0) is None
    slots.end("m/a1")
    assert slots.plan(
        wanted(1, version=2), 5.0
    ) == _adapter_slots.PlannedOrder(True, "m/a1", 2)


def test_deferred_unload_blocks_other_orders_until_a_report(slots):
    note_loads(slots, 1)
    slots.note_deferred_unload("m/a1", 1.0)
    assert slots.sequence is None and slots.blocked(1.1)
    slots.apply_report(make_report(1, ["m/a1"]), 1.2)
    assert slots.blocked(1.3) and not slots.ready("m/a1", 1, 1.3)
    slots.apply_report(make_report(2), 1.4)
    assert not slots.blocked(1.5)


def test_report_replaces_the_slots_after_a_conflict(slots):
    note_loads(slots, 1)
    slots.sequence = None
    slots.apply_report(make_report(5, ["m/a4"], pending=("m/a5",)), 1.0)
    assert slots.sequence == 5
    assert set(slots.held) == {"m/a4", "m/a5"}


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["want", "start", "end", "wait"]),
            strategies.integers(1, 6),
        ),
        max_size=60,
    )
)
def test_adapters_never_exceed_the_slots(steps):
    slots = _adapter_slots.AdapterSlots(ENGINE, lambda adapter, now_s: 0.0)
    slots.apply_report(make_report(0), 0.0)
    now_s = 0.0
    for step, number in steps:
        now_s += 0.2
        adapter = f"m/a{number}"
        if step == "start" and slots.ready(adapter, 1, now_s):
            slots.start(adapter)
        elif step == "end":
            slots.end(adapter)
        elif step == "want":
            plan = slots.plan([(adapter, 1)], now_s)
            if plan is None:
                continue
            if plan.load:
                slots.note_load(plan.adapter, 1, now_s)
            else:
                assert not slots.held[plan.adapter].running
                slots.note_unload(plan.adapter)
        assert len(slots.held) <= ENGINE.adapter_slots


def make_request(number, **fields):
    arrived_s = fields.get("arrived_s", 0.0)
    return _admission.AdmissionRequest(
        number=number,
        adapter=fields.get("adapter", "m/a1"),
        version=0,
        read_tokens=fields.get("read_tokens", 1900),
        memory_tokens=fields.get("memory_tokens", 100),
        priority=fields.get("priority", 1),
        arrived_s=arrived_s,
        objective_s=arrived_s + 1.0,
        until_s=arrived_s + fields.get("until_s", 15.0),
    )


def granted_numbers(decisions):
    return [
        decision.request.number
        for decision in decisions
        if isinstance(decision, _admission.Grant)
    ]


@pytest.fixture
def queue():
    return _admission.AdmissionQueue(slots=64, memory_tokens=10000)


def always_ready(adapter, version):
    return True


def test_prompts_start_at_the_prefill_rate(queue):
    for number in range(3):
        queue.add(make_request(number))
    assert granted_numbers(queue.decide(0.0, always_ready)) == [0]
    assert granted_numbers(queue.decide(0.1, always_ready)) == []
    assert granted_numbers(queue.decide(0.16, always_ready)) == [1]


def test_request_of_lower_rank_starts_first(queue):
    queue.add(make_request(1, priority=2))
    queue.add(make_request(2, priority=0))
    assert granted_numbers(queue.decide(0.0, always_ready)) == [2]


def test_request_within_its_objective_starts_before_a_late_one(queue):
    queue.add(make_request(1, arrived_s=0.0))
    queue.add(make_request(2, arrived_s=1.2))
    assert granted_numbers(queue.decide(1.3, always_ready)) == [2]


def test_request_for_an_adapter_not_loaded_blocks_no_other(queue):
    queue.add(make_request(1, adapter="m/rare"))
    queue.add(make_request(2))
    ready = {"m/a1"}
    decisions = queue.decide(0.0, lambda adapter, version: adapter in ready)
    assert granted_numbers(decisions) == [2]


def test_running_requests_stay_within_the_memory(queue):
    queue.add(make_request(1, memory_tokens=9000))
    queue.add(make_request(2, memory_tokens=9000))
    assert granted_numbers(queue.decide(0.0, always_ready)) == [1]
    assert granted_numbers(queue.decide(1.0, always_ready)) == []
    queue.withdraw(1)
    assert granted_numbers(queue.decide(1.1, always_ready)) == [2]


def test_request_that_waits_too_long_is_turned_away_with_a_retry_time(queue):
    queue.add(make_request(1, adapter="m/rare"))
    (decision,) = queue.decide(2.3, lambda adapter, version: False)
    assert isinstance(decision, _admission.TurnAway)
    assert decision.retry_after_s > 0
    assert not queue.waiting


def test_request_larger_than_the_engine_is_turned_away(queue):
    assert queue.add(make_request(1, memory_tokens=99999)) is not None


def test_claimants_respect_the_cap_and_rotate_by_turn():
    nodes = ("n1", "n2", "n3")
    first = _claims.choose_claimant("e:1", nodes, {}, 1, 0)
    assert _claims.choose_claimant("e:1", nodes, {first: 1}, 1, 0) != first
    turns = {_claims.choose_claimant("e:1", nodes, {}, 1, t) for t in range(3)}
    assert turns == set(nodes)


def test_prompt_parts_count_as_read_only_in_a_read_prefix():
    parts = _grants.PrefixCacheEstimate()
    request = _grants.GrantRequest(
        "m/a1", 0, (("aa", 100), ("bb", 200), ("cc", 300)), 600, 50, 1, 1, 1
    )
    assert parts.uncached_tokens(request) == 600
    parts.record(request)
    assert parts.uncached_tokens(request) == 300
    parts.forget("m/a1")
    assert parts.uncached_tokens(request) == 600


class FakeClock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def test_retries_of_all_nodes_stay_within_the_budget():
    clock = FakeClock()
    nodes = 9
    budgets = [
        _retries.WindowBudget(
            _retries.WindowBounds(0.2, 58.0, 10.0), lambda: 1 / nodes, clock
        )
        for _ in range(nodes)
    ]
    spent = requests = 0
    for budget in budgets:
        for _ in range(20):
            budget.request("shop")
            requests += 1
        while budget.spend("shop"):
            spent += 1
    assert 0 < spent <= 0.2 * requests + 58
    clock.now_s += 11.0
    assert budgets[0].spend("shop")


def test_services_have_separate_retry_budgets():
    bounds = _retries.WindowBounds(0.0, 1.0, 10.0)
    budget = _retries.WindowBudget(bounds, lambda: 1.0, FakeClock())
    assert budget.spend("a") and not budget.spend("a")
    assert budget.spend("b")


@hypothesis.given(
    strategies.lists(strategies.integers(1, 9), max_size=20),
    strategies.integers(0, 5),
)
def test_splitter_yields_whole_events_for_any_chunk_sizes(sizes, count):
    text = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(count))
    memory = _held_memory.HeldMemory(1 << 24)
    account = _held_memory.Account(memory, _held_memory.ANSWER)
    splitter = _upstream.EventSplitter(account)
    received, rest = b"", text + b"id: 99\nda"
    for size in [*sizes, len(rest)]:
        received += splitter.feed(rest[:size])
        rest = rest[size:]
    assert received == text
    assert splitter.pending()
    assert splitter.last_id == (str(count - 1) if count else None)


def test_route_with_the_longest_prefix_of_the_host_is_found():
    def route(name, host, prefix):
        return _fleet.Route(
            name, host, prefix, _fleet.RouteKind.IDEMPOTENT, (), 1.0, 1.0
        )

    table = _fleet.RouteTable(
        _fleet.Deployment(
            1,
            (
                route("a", "h", "/x/"),
                route("b", "h", "/x/y/"),
                route("c", "other", "/"),
            ),
            {},
            _fleet.CallerLimits(),
        )
    )
    assert table.find("h", "/x/y/1").name == "b"
    assert table.find("h", "/x/z").name == "a"
    assert table.find("h", "/z") is None
    assert table.find("other", "/z").name == "c"


def test_route_targets_are_chosen_by_weight():
    targets = (_fleet.RouteTarget("a", 90), _fleet.RouteTarget("b", 10))
    route = _fleet.Route(
        "r", "h", "/", _fleet.RouteKind.IDEMPOTENT, targets, 1.0, 1.0
    )
    chosen = [route.choose_service(str(number)) for number in range(2000)]
    assert 0.07 < chosen.count("b") / len(chosen) < 0.13


def test_request_past_its_objective_is_late_but_not_turned_away(queue):
    late = make_request(1, adapter="m/rare", arrived_s=0.0)
    late = dataclasses.replace(late, arrived_s=1.4)
    queue.add(late)
    assert queue.decide(1.5, lambda adapter, version: False) == []
    assert granted_numbers(queue.decide(1.6, always_ready)) == [1]


def test_backlog_counts_the_wait_for_a_slot():
    """An engine with few slots runs out of slots before prefill capacity."""
    queue = _admission.AdmissionQueue(slots=4, memory_tokens=100_000)
    for number in range(8):
        queue.add(make_request(number, read_tokens=1))
    for step in range(4):
        queue.decide(0.1 * step, always_ready)
    assert len(queue.running) == 4
    # With the new request, five requests wait for the four slots.
    assert queue.backlog_s(0.4) == pytest.approx(
        5 / 4 * _admission.INITIAL_RUN_S
    )


def test_backlog_adapts_to_measured_run_times():
    queue = _admission.AdmissionQueue(slots=1, memory_tokens=100_000)
    now_s = 0.0
    for number in range(60):
        queue.add(make_request(number, read_tokens=1, arrived_s=now_s))
        queue.decide(now_s, always_ready)
        now_s += 0.4
        queue.withdraw(number, now_s)
    queue.add(make_request(99, read_tokens=1, arrived_s=now_s))
    queue.decide(now_s, always_ready)
    assert queue.backlog_s(now_s) == pytest.approx(0.4, rel=0.05)


def test_request_that_cannot_start_in_time_is_turned_away_at_once(queue):
    request = make_request(1)
    longest_wait_s = request.reject_at_s - request.arrived_s
    rejection = queue.add(request, load_wait_s=longest_wait_s + 0.1)
    assert rejection.retry_after_s == pytest.approx(longest_wait_s + 0.1)
    assert not queue.waiting
    assert queue.add(request, load_wait_s=longest_wait_s - 0.1) is None


def test_only_requests_that_go_first_count_as_ahead(queue):
    queue.add(make_request(1, adapter="m/urgent", priority=0))
    queue.add(make_request(2, adapter="m/later", priority=2))
    queue.add(make_request(3, adapter="m/same", priority=0))
    request = make_request(4, adapter="m/same", priority=1)
    assert queue.adapters_ahead(request, 0.0) == {"m/urgent"}


def test_wait_for_a_load_counts_busy_slots_and_loads_ahead(slots):
    load_s = _adapter_slots.COLD_LOAD_S

    def wait_s(adapter, version=0, ahead=0):
        return slots.load_wait_s(adapter, version, ahead, 10.0, 2.0)

    count = ENGINE.adapter_slots
    assert wait_s("m/a0") == pytest.approx(load_s)
    for number in range(count):
        slots.note_load(f"m/a{number}", 1, 0.0)
        slots.start(f"m/a{number}")
    assert wait_s("m/a0") == 0.0
    assert wait_s("m/a0", version=2) == pytest.approx(load_s + 2.0)
    assert wait_s("m/new") == pytest.approx(load_s + 2.0 / count)
    assert wait_s("m/new", ahead=count - 1) > 2.0
    slots.end("m/a1")
    assert wait_s("m/new") == pytest.approx(load_s)


def test_retry_time_after_a_vain_wait_is_the_expected_wait(queue):
    queue.add(make_request(1, adapter="m/rare"))
    reject_at_s = queue.waiting[0].reject_at_s
    (decision,) = queue.decide(
        reject_at_s, lambda adapter, version: False, lambda request: 1.7
    )
    assert decision.retry_after_s == pytest.approx(1.7)
