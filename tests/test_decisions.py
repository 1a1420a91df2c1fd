"""The gateway's decisions, without input or output."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from coltsfootsail import _admission
from coltsfootsail import _book
from coltsfootsail import _claims
from coltsfootsail import _fleet
from coltsfootsail import _grants
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


def report(sequence, adapters=(), **fields):
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
def book():
    found = _book.Book(ENGINE, lambda adapter, now_s: float(adapter[3:]))
    found.take_report(report(0), 0.0)
    return found


def wanted(*numbers, version=0):
    return [(f"m/a{number}", version) for number in numbers]


def load(book, *numbers, now_s=0.0):
    for number in numbers:
        book.loading(f"m/a{number}", 1, now_s)


def test_no_order_before_a_report():
    book = _book.Book(ENGINE, lambda adapter, now_s: 0.0)
    assert book.plan(wanted(1), 0.0) is None


def test_empty_engine_gets_its_base_model_first():
    book = _book.Book(ENGINE, lambda adapter, now_s: 0.0)
    book.take_report(report(0, models=()), 0.0)
    assert book.plan(wanted(1), 0.0) == _book.Plan(True, "m")
    book.loading("m", 0, 0.0)
    assert book.plan(wanted(1), 0.1) is None
    book.take_report(report(1, models=()), 0.2)
    assert book.plan(wanted(1), 0.3) == _book.Plan(True, "m")


def test_base_model_under_way_is_not_ordered_again():
    book = _book.Book(ENGINE, lambda adapter, now_s: 0.0)
    book.take_report(report(0, models=()), 0.0)
    book.loading("m", 0, 0.0)
    book.take_report(report(1, models=(), busy=True), 0.2)
    assert book.plan(wanted(1), 0.3) is None


def test_free_place_is_loaded_before_anything_is_dropped(book):
    load(book, 1, 2)
    assert book.plan(wanted(3), 5.0) == _book.Plan(True, "m/a3")


def test_least_valuable_adapter_out_of_use_is_dropped(book):
    load(book, 3, 1, 2)
    book.start("m/a1")
    assert book.plan(wanted(9), 5.0) == _book.Plan(False, "m/a2")


def test_adapter_in_use_is_never_dropped(book):
    load(book, 1, 2, 3)
    for number in (1, 2, 3):
        book.start(f"m/a{number}")
    assert book.plan(wanted(9), 5.0) is None


def test_adapter_that_is_waited_for_is_not_dropped(book):
    load(book, 1, 2, 3)
    assert book.plan(wanted(1, 2, 3, 9), 5.0) is None


def test_adapter_on_its_way_is_not_dropped(book):
    load(book, 1, 2, 3)
    assert book.plan(wanted(9), 0.5) is None


def test_adapter_in_use_is_not_replaced(book):
    load(book, 1)
    book.start("m/a1")
    assert book.plan(wanted(1, version=2), 5.0) is None
    book.end("m/a1")
    assert book.plan(wanted(1, version=2), 5.0) == _book.Plan(True, "m/a1", 2)


def test_order_that_waits_for_runs_bars_others_until_reported(book):
    load(book, 1)
    book.waits("m/a1", 1.0)
    assert book.sequence is None and book.blocked(1.1)
    book.take_report(report(1, ["m/a1"]), 1.2)
    assert book.blocked(1.3) and not book.ready("m/a1", 1, 1.3)
    book.take_report(report(2), 1.4)
    assert not book.blocked(1.5)


def test_conflict_makes_the_report_decide(book):
    load(book, 1)
    book.sequence = None
    book.take_report(report(5, ["m/a4"], pending=("m/a5",)), 1.0)
    assert book.sequence == 5
    assert set(book.held) == {"m/a4", "m/a5"}


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["want", "start", "end", "wait"]),
            strategies.integers(1, 6),
        ),
        max_size=60,
    )
)
def test_places_are_never_exceeded(steps):
    book = _book.Book(ENGINE, lambda adapter, now_s: 0.0)
    book.take_report(report(0), 0.0)
    now_s = 0.0
    for step, number in steps:
        now_s += 0.2
        adapter = f"m/a{number}"
        if step == "start" and book.ready(adapter, 1, now_s):
            book.start(adapter)
        elif step == "end":
            book.end(adapter)
        elif step == "want":
            plan = book.plan([(adapter, 1)], now_s)
            if plan is None:
                continue
            if plan.load:
                book.loading(plan.adapter, 1, now_s)
            else:
                assert not book.held[plan.adapter].running
                book.dropped(plan.adapter)
        assert len(book.held) <= ENGINE.adapter_slots


def ask(number, **fields):
    arrived_s = fields.get("arrived_s", 0.0)
    return _admission.Ask(
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


def granted(decisions):
    return [
        decision.ask.number
        for decision in decisions
        if isinstance(decision, _admission.Grant)
    ]


@pytest.fixture
def queue():
    return _admission.Admission(slots=64, memory_tokens=10000)


def always(adapter, version):
    return True


def test_prompts_start_at_the_pace_of_reading(queue):
    for number in range(3):
        queue.add(ask(number))
    assert granted(queue.step(0.0, always)) == [0]
    assert granted(queue.step(0.1, always)) == []
    assert granted(queue.step(0.16, always)) == [1]


def test_urgent_request_goes_first(queue):
    queue.add(ask(1, priority=2))
    queue.add(ask(2, priority=0))
    assert granted(queue.step(0.0, always)) == [2]


def test_request_in_time_goes_before_a_late_one(queue):
    queue.add(ask(1, arrived_s=0.0))
    queue.add(ask(2, arrived_s=1.2))
    assert granted(queue.step(1.3, always)) == [2]


def test_request_for_a_missing_adapter_holds_up_no_other(queue):
    queue.add(ask(1, adapter="m/rare"))
    queue.add(ask(2))
    ready = {"m/a1"}
    found = queue.step(0.0, lambda adapter, version: adapter in ready)
    assert granted(found) == [2]


def test_memory_of_running_requests_is_bounded(queue):
    queue.add(ask(1, memory_tokens=9000))
    queue.add(ask(2, memory_tokens=9000))
    assert granted(queue.step(0.0, always)) == [1]
    assert granted(queue.step(1.0, always)) == []
    queue.withdraw(1)
    assert granted(queue.step(1.1, always)) == [2]


def test_request_that_waits_too_long_is_told_when_to_come_back(queue):
    queue.add(ask(1, adapter="m/rare"))
    (found,) = queue.step(2.3, lambda adapter, version: False)
    assert isinstance(found, _admission.TurnAway)
    assert found.retry_after_s > 0
    assert not queue.waiting


def test_request_larger_than_the_engine_is_turned_away(queue):
    assert queue.add(ask(1, memory_tokens=99999)) is not None


def test_claims_spread_over_nodes_and_pass_on_in_turns():
    nodes = ("n1", "n2", "n3")
    first = _claims.candidate("e:1", nodes, {}, 1, 0)
    assert _claims.candidate("e:1", nodes, {first: 1}, 1, 0) != first
    turns = {_claims.candidate("e:1", nodes, {}, 1, t) for t in range(3)}
    assert turns == set(nodes)


def test_prompt_parts_count_as_read_only_behind_read_parts():
    parts = _grants.PrefixCacheEstimate()
    wish = _grants.GrantRequest(
        "m/a1", 0, (("aa", 100), ("bb", 200), ("cc", 300)), 600, 50, 1, 1, 1
    )
    assert parts.uncached_tokens(wish) == 600
    parts.record(wish)
    assert parts.uncached_tokens(wish) == 300
    parts.forget("m/a1")
    assert parts.uncached_tokens(wish) == 600


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def test_repeats_of_all_nodes_stay_within_the_fleets_budget():
    clock = Clock()
    nodes = 9
    budgets = [
        _retries.WindowBudget(0.2, 58.0, 10.0, lambda: nodes, clock)
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


def test_repeats_of_one_service_do_not_use_anothers_budget():
    budget = _retries.WindowBudget(0.0, 1.0, 10.0, lambda: 1, Clock())
    assert budget.spend("a") and not budget.spend("a")
    assert budget.spend("b")


@hypothesis.given(
    strategies.lists(strategies.integers(1, 9), max_size=20),
    strategies.integers(0, 5),
)
def test_events_are_cut_whole_however_they_arrive(sizes, count):
    text = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(count))
    splitter = _upstream.EventSplitter()
    found, rest = b"", text + b"id: 99\nda"
    for size in [*sizes, len(rest)]:
        found += splitter.feed(rest[:size])
        rest = rest[size:]
    assert found == text
    assert splitter.pending()
    assert splitter.last_id == (str(count - 1) if count else None)


def test_route_is_the_longest_prefix_of_its_host():
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


def test_split_follows_the_weights():
    targets = (_fleet.RouteTarget("a", 90), _fleet.RouteTarget("b", 10))
    route = _fleet.Route(
        "r", "h", "/", _fleet.RouteKind.IDEMPOTENT, targets, 1.0, 1.0
    )
    chosen = [route.choose_service(str(number)) for number in range(2000)]
    assert 0.07 < chosen.count("b") / len(chosen) < 0.13


def test_request_past_its_objective_is_late_but_not_turned_away(queue):
    late = ask(1, adapter="m/rare", arrived_s=0.0)
    late = dataclasses.replace(late, arrived_s=1.4)
    queue.add(late)
    assert queue.step(1.5, lambda adapter, version: False) == []
    assert granted(queue.step(1.6, always)) == [1]


def test_backlog_counts_the_wait_for_a_slot():
    """An engine of few slots is full long before its reading is."""
    queue = _admission.Admission(slots=4, memory_tokens=100_000)
    for number in range(8):
        queue.add(ask(number, read_tokens=1))
    for step in range(4):
        queue.step(0.1 * step, always)
    assert len(queue.running) == 4
    # Four wait for a quarter of the engine's slots each.
    assert queue.backlog_s(0.4) == pytest.approx(5 / 4 * _admission.RUN_S)


def test_backlog_learns_how_long_runs_take():
    queue = _admission.Admission(slots=1, memory_tokens=100_000)
    now_s = 0.0
    for number in range(60):
        queue.add(ask(number, read_tokens=1, arrived_s=now_s))
        queue.step(now_s, always)
        now_s += 0.4
        queue.withdraw(number, now_s)
    queue.add(ask(99, read_tokens=1, arrived_s=now_s))
    queue.step(now_s, always)
    assert queue.backlog_s(now_s) == pytest.approx(0.4, rel=0.05)
