"""Speed levels of engines: learned, told, and used to place adapters."""

import random
import types

import pytest
import trio
import trio.testing

from coltsfootsail import _engine_speed
from coltsfootsail import _grants
from coltsfootsail import _placement
from coltsfootsail import _server_speeds
from coltsfootsail import _wire
from tests import gateways
from tests import test_engine_selection

NAMES = tuple(f"e{number}" for number in range(45))
SPEEDS = (0.6, 1.0, 1.6)
STEP_S = 0.00947
RUNS_MAX = 20  # ended runs after which one step of level must be learned
BORN_MS = 1_700_000_000_000


def test_equal_weights_give_the_unweighted_ranking():
    """Adapters of running systems must not move at an upgrade."""
    for number in range(500):
        key = f"base/a{number}"
        for weight in (1.0, 0.4):
            weights = (weight,) * len(NAMES)
            assert _placement.weighted_ranking(
                key, NAMES, weights, 12
            ) == _placement.rendezvous_ranking(key, NAMES, 12)


def _homes(weights):
    return [
        _placement.weighted_ranking(f"base/a{n}", NAMES, weights, 1)[0]
        for n in range(3000)
    ]


def test_homes_are_in_proportion_to_weights_and_move_only_with_them():
    weights = tuple(SPEEDS[n % 3] for n in range(len(NAMES)))
    homes = _homes(weights)
    for speed in SPEEDS:
        names = {n for n, w in zip(NAMES, weights, strict=True) if w == speed}
        share = sum(home in names for home in homes) / len(homes)
        assert share == pytest.approx(speed / sum(SPEEDS), rel=0.1)
    changed = (1.0, *weights[1:])
    for before, after in zip(homes, _homes(changed), strict=True):
        assert before == after or after == NAMES[0]


class SpeedHarness:
    """The levels of engines that one node owns, with made-up streams."""

    def __init__(self, engines=9):
        self.now_s = 100.0
        self.told = []
        self.slowdowns = dict.fromkeys(NAMES[:engines], 1.0)
        self.servers = {
            name: types.SimpleNamespace(
                name=name, service="engines", born_ms=BORN_MS
            )
            for name in self.slowdowns
        }
        self.owners = dict.fromkeys(self.servers, "g0")
        engine = types.SimpleNamespace(event_tokens=4)
        view = types.SimpleNamespace(
            generation=1,
            servers=self.servers,
            engine_servers=lambda: self.servers,
            engine_spec=lambda server: engine,
        )
        self.speeds = _server_speeds.ServerSpeeds(
            view,
            lambda: self.now_s,
            lambda counter, reason: None,
            self.told.append,
            self.owners.get,
            "g0",
        )
        self.learners = {
            name: _engine_speed.EngineSpeed() for name in self.servers
        }
        self._rng = random.Random(1)

    def run(self, rounds, noise=0.1):
        """End a stream on each engine in every round, over about 0.5 s."""
        for _ in range(rounds):
            for name, slowdown in self.slowdowns.items():
                self.now_s += 0.5 / len(self.slowdowns)
                step_s = (
                    STEP_S
                    * slowdown
                    * self._rng.uniform(1.0 - noise, 1.0 + noise)
                )
                stream = (20, 19 * 4 * step_s)
                server = self.servers[name]
                self.speeds.note_stream(server, *stream)
                self.speeds.note_run(self.learners[name], server, *stream)

    def levels(self):
        """Get the level of each engine."""
        return [self.speeds.level(name) for name in self.servers]


@pytest.fixture
def harness():
    return SpeedHarness()


def test_levels_follow_engines_of_three_speeds(harness):
    for number, name in enumerate(harness.slowdowns):
        harness.slowdowns[name] = 1.0 / SPEEDS[number % 3]
    harness.run(RUNS_MAX)
    assert harness.levels() == [0.625, 1.0, 1.6] * 3
    told = len(harness.told)
    harness.run(200)
    assert harness.levels() == [0.625, 1.0, 1.6] * 3
    assert len(harness.told) == told == 6


def test_engine_that_turns_slow_and_recovers_changes_its_level_twice(harness):
    harness.run(30)
    harness.slowdowns["e4"] = 1.8
    harness.run(2 * RUNS_MAX)
    assert harness.speeds.level("e4") == 0.625
    harness.slowdowns["e4"] = 1.0
    harness.run(2 * RUNS_MAX)
    assert harness.levels() == [1.0] * 9
    assert [msg.level for msg in harness.told] == [0.625, 1.0]


def test_slow_down_of_all_engines_changes_no_level(harness):
    """All are slower under a wave of demand; homes must not move."""
    for slowdown in (1.0, 2.5, 1.0, 0.5):
        harness.slowdowns = dict.fromkeys(harness.slowdowns, slowdown)
        harness.run(60)
    assert not harness.told


def test_noise_of_a_quarter_changes_no_level(harness):
    harness.run(400, noise=0.25)
    assert not harness.told


def test_level_stays_within_its_bounds(harness):
    harness.slowdowns["e0"], harness.slowdowns["e1"] = 50.0, 0.02
    harness.run(200)
    assert harness.levels()[:2] == [0.25, 4.0]


def test_short_streams_and_few_engines_show_nothing():
    assert _engine_speed.step_s(4, 1.0, 4) is None
    assert _engine_speed.step_s(20, 0.0, 4) is None
    harness = SpeedHarness(engines=2)
    harness.slowdowns["e0"] = 3.0
    harness.run(50)
    assert harness.levels() == [1.0, 1.0]


def test_prompts_between_events_are_no_slow_steps():
    gaps = _engine_speed.EventGaps()
    at_s = 0.0
    for number in range(21):
        gaps.add(1, at_s)
        at_s += 0.04 + (0.07 if number % 3 == 0 else 0.0)
    assert gaps.events == 21
    assert gaps.undisturbed_s() == pytest.approx(0.8)


def _message(level, born_ms=BORN_MS, age_s=0.0, name="e0"):
    return _wire.ServerSpeed(name, level, born_ms, age_s)


def test_latest_level_of_the_present_start_is_kept(harness):
    harness.speeds.learn(_message(0.4, born_ms=BORN_MS - 1), "g1")
    assert harness.speeds.level("e0") == 1.0
    harness.speeds.learn(_message(1.6, age_s=1.0), "g1")
    harness.speeds.learn(_message(0.4, age_s=2.0), "g2")
    assert harness.speeds.level("e0") == 1.6
    harness.speeds.forget("e0", BORN_MS)
    assert harness.speeds.level("e0") == 1.6
    harness.speeds.forget("e0", BORN_MS + 1)
    assert harness.speeds.level("e0") == 1.0


def test_new_link_is_told_by_the_owner_or_where_it_can_not(harness):
    """A node that starts is not told every level by every node."""
    harness.speeds.learn(_message(1.6), "g1")
    speeds, owners = harness.speeds, harness.owners
    assert len(speeds.messages("g5", {"g5"})) == 1
    owners["e0"] = "g3"
    assert not speeds.messages("g5", {"g3", "g5"})
    assert len(speeds.messages("g5", {"g5"})) == 1
    assert len(speeds.messages("g3", {"g3"})) == 1
    owners["e0"] = None
    assert len(speeds.messages("g5", {"g5"})) == 1


def test_gauge_counts_engines_by_level(harness):
    harness.speeds.learn(_message(1.6), "g1")
    assert harness.speeds.gauge() == {"1": 8, "1.6": 1}


def test_request_goes_to_the_faster_of_two_engines_that_hold_its_adapter():
    selection = test_engine_selection.SelectorHarness()
    order = test_engine_selection.engine_order("base/a1")
    selection.load("base/a1", order[:2])
    assert selection.choose("base/a1") == order[0]
    selection.levels = {order[0]: 0.4}
    selection.selector._speeds.generation += 1
    assert selection.choose("base/a1") == order[1]


@pytest.mark.parametrize(("tokens", "stays"), [(1000, True), (3500, False)])
def test_long_prompt_leaves_a_slow_engine(tokens, stays):
    """Guards against readings that make all streams of an engine late."""
    selection = test_engine_selection.SelectorHarness()
    levels = {test_engine_selection.ENGINES[0]: 0.625}
    selection.levels = levels
    selection.selector._speeds.generation += 1
    weights = tuple(levels.get(e, 1.0) for e in test_engine_selection.ENGINES)
    adapter = next(
        f"base/a{number}"
        for number in range(100)
        if _placement.weighted_ranking(
            f"base/a{number}", test_engine_selection.ENGINES, weights, 1
        )
        == (test_engine_selection.ENGINES[0],)
    )
    chosen = selection.choose(adapter, tokens=tokens)
    assert (chosen in levels) is stays


def test_all_nodes_place_by_the_level_that_an_owner_has_learned():
    async def scenario(fleet):
        slow = fleet.engines[0]
        slow.event_s = 2.6 * fleet.engines[1].event_s
        for engine in fleet.engines:
            engine.events, engine.adapter_slots = 12, 100
        async with trio.open_nursery() as nursery:
            for number in range(400):
                node = fleet.names[number % 2]
                extra = {"adapter": f"base/a{number % 20}"}
                nursery.start_soon(
                    lambda node=node, extra=extra: fleet.call(
                        "/notes/1", node, **extra
                    )
                )
                await trio.sleep(0.05)
        for gateway in fleet.gateways.values():
            levels = {
                engine.name: gateway.speeds.level(engine.name)
                for engine in fleet.engines
            }
            assert levels.pop(slow.name) == 0.4
            assert set(levels.values()) == {1.0}
        fleet.names.append("g2")
        await fleet.start_gateway("g2")
        await trio.sleep(3.0)
        assert fleet.gateways["g2"].speeds.level(slow.name) == 0.4

    gateways.run(scenario, engines=4)


@pytest.mark.parametrize("knows", [False, True])
def test_owner_of_an_early_build_is_told_of_the_end_as_before(knows):
    sent = []
    mesh = types.SimpleNamespace(
        knows=lambda node, message_type: (
            knows or message_type is not _wire.StreamedGrantEnd
        ),
        send=lambda node, msg: sent.append(msg) or True,
        ping_if_silent=lambda node: None,
        unanswered_ping_s=lambda node: 0.0,
    )
    client = _grants.GrantClient(
        "g0", None, mesh, trio.current_time, lambda *_: None, lambda *_: None
    )
    request = _grants.GrantRequest("base/a1", 1, (), 9, 9, 1, 1.0, 9.0)

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hold)
            await trio.testing.wait_all_tasks_blocked()
            client.handle_reply(_wire.GrantReply(1, True, 0.0, "", 0.0))

    async def hold():
        async with client.acquire("g1", "e0", request) as use:
            use.events, use.stream_s = 20, 0.8

    trio.run(main)
    message_type = _wire.StreamedGrantEnd if knows else _wire.GrantEnd
    assert type(sent[-1]) is message_type
    if knows:
        assert (sent[-1].events, sent[-1].stream_s) == (20, 0.8)
