"""Tests of the shares, projections and refusals of an engine's queue."""

import collections
import dataclasses
import random
import time
from unittest import mock

import pytest

from coltsfootsail import _adapter_slots
from coltsfootsail import _admission
from coltsfootsail import _bench_admission
from coltsfootsail import _engine_selection
from coltsfootsail import _fair_share
from coltsfootsail import _fleet
from coltsfootsail import _grants
from coltsfootsail import _request_context

SLOTS = 4
RUN_S = 0.4
SPEC = _fleet.EngineSpec(SLOTS, 100_000, 2, 4, 7e4, ())


def make_request(number, workspace="", **fields):
    request = _admission.AdmissionRequest(
        number, "m/a1", 0, 100, 100, 1, 0.0, 1.0, 15.0, workspace
    )
    return dataclasses.replace(request, **fields)


def always_ready(adapter, version):
    return True


def turned_away(decisions):
    return [
        each for each in decisions if isinstance(each, _admission.TurnAway)
    ]


@pytest.fixture
def queue():
    """A queue that has learned the run time; its slots are all taken."""
    queue = _admission.AdmissionQueue(SLOTS, 100_000)
    for number in range(-60, 0):
        queue.add(make_request(number, "old", read_tokens=1))
        queue.decide(0.0, always_ready)
        queue.pause_until(-1.0)
        queue._next_start_s = 0.0
        queue.withdraw(number, RUN_S)
    for number in range(-SLOTS, 0):
        queue.add(make_request(number, "old", read_tokens=1))
        queue.decide(0.0, always_ready)
        queue._next_start_s = 0.0
    assert len(queue.running) == SLOTS
    return queue


def fill(queue, requests):
    for request in requests:
        queue.add(request)
    return turned_away(queue.decide(0.0, always_ready))


def test_order_without_workspaces_is_that_of_priority_and_arrival():
    """Guards against fair shares that reorder requests of no workspace."""
    rng = random.Random(1)
    queue = _admission.AdmissionQueue(100, 10**9)
    requests = []
    for number in range(60):
        objective_s = rng.choice([0.0, 5.0])
        request = make_request(number, objective_s=objective_s)
        request = dataclasses.replace(request, priority=rng.randrange(3))
        requests.append(request)
        queue.waiting.append(request)
        queue._shares[request.priority].join("")
    started = []
    while queue.waiting:
        queue._next_start_s = 0.0
        started += queue.decide(0.1, always_ready)
    expected = sorted(
        requests, key=lambda r: (r.objective_s < 1, r.priority, r.number)
    )
    assert [grant.request for grant in started] == expected


def test_idle_workspace_saves_up_no_share():
    """Guards against a burst of a workspace that was idle for long."""
    share = _fair_share.FairShare()
    for _ in range(10):
        share.join("busy")
        share.start("busy", 1.0)
    assert share.tag("new") == 9.0
    assert share.start_tags([("busy", 1.0), ("new", 1.0), ("new", 1.0)]) == [
        10.0,
        9.0,
        10.0,
    ]


def test_displaced_request_is_turned_away_at_once(queue):
    """Guards against requests that wait in vain until their time is up."""
    assert not fill(queue, [make_request(n, "a") for n in range(21)])
    urgent = [make_request(100 + n, "b", priority=0) for n in range(6)]
    gone = fill(queue, urgent)
    assert gone and {each.reason for each in gone} == {"displaced"}
    assert all(each.request.workspace == "a" for each in gone)
    assert all(each.retry_after_s > 2.0 for each in gone)


def test_request_that_nothing_competes_with_waits_on(queue):
    """Guards against refusals for an estimate that is too long."""
    assert not fill(queue, [make_request(1, "a")])
    late = queue.decide(2.0, always_ready, load_waits_s=lambda requests: [0.5])
    assert not late


def test_lowest_priority_is_turned_away_first(queue):
    """Guards against refusals of urgent requests for the sake of others."""
    requests = [make_request(n, "a", priority=2) for n in range(15)]
    requests += [
        make_request(100 + n, "a", priority=0, arrived_s=0.01)
        for n in range(15)
    ]
    gone = fill(queue, requests)
    assert gone and {each.request.priority for each in gone} == {2}


def test_workspace_most_above_its_share_is_turned_away_first(queue):
    """Guards against refusals of those that ask for little."""
    hot = [make_request(n, "hot") for n in range(20)]
    small = [make_request(100 + n, f"w{n}") for n in range(8)]
    gone = fill(queue, hot + small)
    assert gone and {each.request.workspace for each in gone} == {"hot"}


def test_most_work_for_the_time_left_is_turned_away_first(queue):
    """Guards against many refusals where one of a large request will do."""
    queue._large_requests.may_yield = lambda work_s: True
    large = make_request(1, "a", read_tokens=15_000)
    fill(queue, [large, *(make_request(n, "a") for n in range(2, 10))])
    gone = fill(
        queue, [make_request(20 + n, "a", read_tokens=9_000) for n in range(3)]
    )
    assert [each.request for each in gone] == [large]


def simulate(arrivals, length_s):
    """Serve arrivals on one engine; count by workspace and by number."""
    queue = _admission.AdmissionQueue(SLOTS, 100_000)
    arrivals, ends = collections.deque(arrivals), []
    started = {}
    for step in range(int(length_s * 100)):
        now_s = step / 100
        for number in [n for n, end_s in ends if end_s <= now_s]:
            queue.withdraw(number, now_s)
        ends = [each for each in ends if each[1] > now_s]
        while arrivals and arrivals[0].arrived_s <= now_s:
            queue.add(arrivals.popleft())
        for decision in queue.decide(now_s, always_ready):
            if isinstance(decision, _admission.Grant):
                request = decision.request
                started[request.number] = now_s
                run_s = request.output_tokens * 0.002
                ends.append((request.number, now_s + run_s))
        assert queue._used_tokens <= 100_000 * _admission.MEMORY_SHARE
    return started


def draw(workspace, per_s, begin_s, end_s, seed, numbers):
    rng = random.Random(f"{workspace}/{seed}")
    at_s = begin_s + rng.expovariate(per_s)
    while at_s < end_s:
        times = {"arrived_s": at_s, "objective_s": at_s + 1.0}
        times["until_s"] = at_s + 15.0
        tokens = rng.choice([100] * 9 + [800])
        yield make_request(
            next(numbers), workspace, output_tokens=tokens, **times
        )
        at_s += rng.expovariate(per_s)


def in_time_share(requests, started):
    return sum(
        started.get(r.number, 1e9) <= r.objective_s for r in requests
    ) / len(requests)


def test_others_are_served_beside_a_hot_workspace_as_without_it():
    """Guards against one workspace that takes the room of the others.

    The hot one uses what the others leave: the engine is kept busy.
    """
    numbers = iter(range(10**6))
    others = [
        request
        for each in range(1, 16)
        for request in draw(f"w{each}", 0.65, 0.0, 20.0, 1, numbers)
    ]
    hot = list(draw("w0", 0.65 * 7.5, 5.0, 11.5, 1, numbers))

    def serve(requests):
        return simulate(sorted(requests, key=lambda r: r.arrived_s), 25.0)

    alone_share = in_time_share(others, serve(others))
    started = serve(others + hot)
    assert in_time_share(others, started) >= 0.95 * alone_share
    assert sum(r.number in started for r in hot) >= 0.5 * len(hot)


def test_largest_requests_are_served_half_as_often_as_all():
    """Guards against starvation of the requests that need the most work."""
    numbers = iter(range(10**6))
    requests = [
        request
        for each in range(4)
        for request in draw(f"w{each}", 6.0, 0.0, 40.0, 2, numbers)
    ]
    requests.sort(key=lambda r: r.arrived_s)
    started = simulate(requests, 45.0)
    large = [r for r in requests if r.output_tokens > 100]

    def share(some):
        return sum(r.number in started for r in some) / len(some)

    assert share(requests) < 0.9
    assert share(large) >= 0.5 * share(requests)


def test_rare_adapter_of_a_small_workspace_gets_a_slot():
    """Guards against adapters that a hot workspace holds for its queue."""
    slots = _adapter_slots.AdapterSlots(SPEC, lambda adapter, now_s: 1.0)
    slots.sequence, slots.models = 2, ("m",)
    for adapter in ("m/h1", "m/h2"):
        slots.held[adapter] = _adapter_slots.AdapterSlot(0, 0.0, -9.0)
    queue = _admission.AdmissionQueue(SLOTS, 100_000)
    for number in range(10):
        adapter = f"m/h{1 + number % 2}"
        queue.add(make_request(number, "hot", adapter=adapter))
    queue.add(make_request(99, "small", adapter="m/rare"))
    assert "m/h1" not in queue.yielding_adapters(0.0)
    queue._shares[1].correct("hot", 0.5)
    yielding = queue.yielding_adapters(0.0)
    assert yielding == {"m/h1", "m/h2"}
    wanted = queue.wanted_adapters(0.0)
    assert wanted[0] == ("m/rare", 0)
    assert slots.plan(wanted, 1.0) is None
    plan = slots.plan(wanted, 1.0, yielding=yielding)
    assert not plan.load and plan.adapter in yielding


def test_hint_does_not_lower_the_memory_of_a_request():
    """Guards against answers that outgrow the memory kept for them."""
    controller = mock.Mock()
    controller.uncached_tokens.return_value = 10
    server = _grants.GrantServer(
        lambda name: controller,
        *(lambda *name: 0.0 for _ in range(4)),
    )
    request = _grants.GrantRequest(
        "m/a", 0, (), 1000, 800, 1, 1.0, 9.0, expected_tokens=60
    )
    server.enqueue("e", request, None)
    created = controller.enqueue.call_args.args[1](1)
    assert (created.memory_tokens, created.output_tokens) == (1800, 60)


def test_request_larger_than_the_memory_is_refused_at_once(queue):
    """Guards against a request that waits for memory that never is there."""
    rejection = queue.add(make_request(1, "a", memory_tokens=99_000))
    assert rejection.reason == _admission.MEMORY_REASON


def test_priority_of_the_workspace_goes_to_the_owner():
    """Guards against decisions by the priority of the route instead."""
    fields = dict.fromkeys(_request_context.RequestContext.__match_args__)
    fields |= {"begun": False, "received_s": 0.0}
    fields["workspace"] = _fleet.Workspace("a", (), 0, None)
    fields["route"] = mock.Mock(priority=4, objective_s=1.0)
    fields["meta"] = mock.Mock()
    context = _request_context.RequestContext(**fields)
    request = _engine_selection.EngineSelector.grant_request(
        mock.MagicMock(), context
    )
    assert (request.priority, request.workspace) == (0, "a")


def test_return_times_are_spread_and_urgent_ones_come_first(queue):
    """Guards against callers that all come back at the same moment."""
    fill(queue, [make_request(n, "a") for n in range(40)])
    gone = [
        queue.add(make_request(100 + n, "a", priority=p))
        for n, p in enumerate([1, 1, 2, 2])
    ]
    returns_s = [each.retry_after_s for each in gone]
    assert returns_s == sorted(set(returns_s))


def test_decision_on_a_full_queue_takes_about_a_millisecond():
    """Guards against decisions that hosts with 0.4 of a core can't take."""
    queue = _admission.AdmissionQueue(48, 129_425)
    queue.pause_until(0.5)
    for number in range(_admission.QUEUE_MAX):
        name = f"w{number % 16}"
        queue.add(make_request(number, name, read_tokens=9, objective_s=30.0))
    assert len(queue.waiting) == _admission.QUEUE_MAX
    times_s = []
    for _ in range(30):
        begun_s = time.process_time()
        queue.decide(0.0, always_ready)
        times_s.append(time.process_time() - begun_s)
    assert min(times_s) < 0.001


def test_replay_of_a_hot_workspace_leaves_the_others_their_share():
    """Guards against a hot workspace that takes the others' adapter slots."""
    shares = [
        _bench_admission.run("workspaces", pattern, 1)["workspaces"][
            "others during"
        ]["in_time_share"]
        for pattern in ("quiet", "hot")
    ]
    assert shares[1] >= 0.95 * shares[0]
