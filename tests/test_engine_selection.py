"""Selection of an engine by the adapter's engine order and by backlogs."""

import tracemalloc
import types

import pytest

from coltsfootsail import _engine_selection
from coltsfootsail import _fleet
from coltsfootsail import _grants
from coltsfootsail import _placement
from coltsfootsail import _server_states
from coltsfootsail import _wire

ENGINES = tuple(f"e{number}:80" for number in range(12))


class SelectorHarness:
    """The selector of a node that owns all engines."""

    def __init__(self):
        self.now_s = 0.0
        self.backlogs = {}
        self.levels = {}
        self.limited = set()
        self.servers = {
            address: _fleet.Server(
                address, "engines", address, "a", False, 12, ("base",), {}
            )
            for address in ENGINES
        }
        view = types.SimpleNamespace(
            generation=1,
            era=0,
            servers=self.servers,
            versions={},
            claim=lambda server: (types.SimpleNamespace(node="g0"), 1),
            available_servers=lambda service: list(self.servers.values()),
        )
        states = _server_states.ServerStates(
            view,
            types.SimpleNamespace(
                is_limited=lambda name: name in self.limited
            ),
            types.SimpleNamespace(is_limited=lambda name: False),
            lambda: self.now_s,
            lambda counter, reason: None,
            lambda name: None,
            lambda msg: None,
            lambda msg: None,
        )
        mesh = types.SimpleNamespace(linked_nodes=lambda: ["g1"])
        self.selector = _engine_selection.EngineSelector(
            "g0",
            view,
            mesh,
            lambda name: self.backlogs.get(name, 0.0),
            states,
            lambda name: True,
            lambda: self.now_s,
            types.SimpleNamespace(
                generation=0,
                level=lambda name: self.levels.get(name, 1.0),
                step_s=lambda service: None,
            ),
        )

    def load(self, adapter, addresses):
        """Register an adapter as loaded on engines."""
        for address in addresses:
            self.servers[address].adapters[adapter] = 1

    def choose(self, adapter, every_s=0.0, times=1, tokens=1000):
        """Count requests for an adapter and choose an engine for the last.

        :returns: the address of the engine.
        """
        for _ in range(times):
            self.now_s += every_s
            self.selector.count_request(adapter)
        call = types.SimpleNamespace(
            service="engines",
            meta=types.SimpleNamespace(
                request_id="r1",
                prompt=types.SimpleNamespace(
                    adapter=adapter,
                    model="base",
                    parts=(),
                    prompt_tokens=tokens,
                    output_tokens=100,
                    expected_tokens=100,
                ),
            ),
            route=types.SimpleNamespace(objective_s=1.0, gap_s=0.3),
            priority=1,
            workspace_name="",
            begun=False,
            moved=False,
            received_s=self.now_s,
            until_s=self.now_s + 10.0,
            avoided=set(),
            limited={},
            software=None,
        )
        return self.selector.choose(call)[0].address


@pytest.fixture
def harness():
    return SelectorHarness()


def engine_order(adapter):
    return _placement.rendezvous_ranking(adapter, ENGINES, len(ENGINES))


def test_rare_adapter_stays_on_its_first_engine_under_a_short_backlog(harness):
    first = engine_order("base/a1")[0]
    harness.backlogs[first] = 0.9 * _engine_selection.LOAD_COST_S
    assert harness.choose("base/a1") == first


def test_rare_adapter_moves_to_its_second_engine_under_a_long_backlog(harness):
    first, second = engine_order("base/a1")[:2]
    harness.backlogs[first] = 1.2 * _engine_selection.LOAD_COST_S
    assert harness.choose("base/a1") == second


def test_popular_adapter_moves_at_a_shorter_backlog(harness):
    """One engine cannot serve all requests for a popular adapter."""
    first, second = engine_order("base/a1")[:2]
    harness.backlogs[first] = 0.4 * _engine_selection.LOAD_COST_S
    assert harness.choose("base/a1", every_s=0.2, times=100) == second


def test_single_request_is_no_high_rate_even_with_many_nodes(harness):
    first = engine_order("base/a1")[0]
    harness.backlogs[first] = 0.4
    harness.selector._mesh.linked_nodes = lambda: [
        f"g{n}" for n in range(1, 61)
    ]
    assert harness.choose("base/a1") == first


def test_engine_with_the_least_backlog_serves_a_loaded_adapter(harness):
    """Engines that hold the adapter need no load: only the backlog counts."""
    held = engine_order("base/a1")[:8]
    harness.load("base/a1", held)
    harness.backlogs = dict.fromkeys(held[:7], 0.3)
    assert harness.choose("base/a1") == held[7]


def test_owners_reply_updates_the_engines_backlog():
    backlogs = []
    owners = []
    client = _grants.GrantClient(
        "g0",
        None,
        None,
        lambda: 0.0,
        lambda *args: backlogs.append(args),
        lambda *args: owners.append(args),
    )
    client._pending[7] = _grants._PendingGrant("e1")
    client.handle_reply(_wire.GrantReply(7, False, 0.3, "overload", 0.8))
    assert backlogs == [("e1", 0.8)] and not owners
    client.handle_reply(
        _wire.GrantReply(7, False, 0.1, "not the owner", 0.0, "g4", 12)
    )
    assert owners == [("e1", "g4", 12)]


def test_newest_owner_is_asked_when_a_former_one_names_it(harness):
    harness.selector._mesh.unanswered_ping_s = lambda node: 0.0
    engine = harness.servers[ENGINES[0]]
    assert harness.selector.owner(engine) == "g0"
    harness.selector.note_owner(engine.name, "g1", 5)
    harness.selector.note_owner(engine.name, "g2", 4)
    assert harness.selector.owner(engine) == "g1"
    claim = (types.SimpleNamespace(node="g3"), 9)
    harness.selector._view.claim = lambda server: claim
    assert harness.selector.owner(engine) == "g3"


def test_limited_engine_without_an_owner_gets_no_request(harness):
    first, second = engine_order("base/a1")[:2]
    harness.load("base/a1", [first, second])
    harness.selector._view.claim = lambda server: None
    assert harness.choose("base/a1") == first
    harness.limited = {first}
    assert harness.choose("base/a1") == second


def test_long_names_that_callers_invent_are_not_kept(harness):
    harness.choose("base/warm")
    tracemalloc.start()
    try:
        for number in range(100):
            harness.choose(f"base/{number}" + "a" * 100_000)
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held_bytes < 1_000_000
