"""Which engine a request goes to, by its adapter's order and backlogs."""

import types

import pytest

from coltsfootsail import _fleet
from coltsfootsail import _grants
from coltsfootsail import _placement
from coltsfootsail import _placing
from coltsfootsail import _wire

ENGINES = tuple(f"e{number}:80" for number in range(12))


class World:
    """One node's placing over engines that it owns all of itself."""

    def __init__(self):
        self.now_s = 0.0
        self.backlogs = {}
        self.servers = {
            address: _fleet.Server(
                address, "engines", address, "a", False, 12, ("base",), {}
            )
            for address in ENGINES
        }
        view = types.SimpleNamespace(
            generation=1,
            servers=self.servers,
            versions={},
            claim=lambda server: (types.SimpleNamespace(node="g0"), 1),
        )
        mesh = types.SimpleNamespace(linked_nodes=lambda: ["g1"])
        self.placing = _placing.Placing(
            "g0",
            view,
            mesh,
            lambda name: self.backlogs.get(name, 0.0),
            lambda: self.now_s,
        )

    def hold(self, adapter, addresses):
        """Register an adapter as held by engines."""
        for address in addresses:
            self.servers[address].adapters[adapter] = 1

    def ask(self, adapter, every_s=0.0, times=1):
        """Count requests and choose for the last.

        :returns: address of the engine chosen.
        """
        for _ in range(times):
            self.now_s += every_s
            self.placing.note(adapter)
        call = types.SimpleNamespace(
            service="engines",
            meta=types.SimpleNamespace(
                prompt=types.SimpleNamespace(
                    adapter=adapter,
                    model="base",
                    parts=(),
                    prompt_tokens=1000,
                    output_tokens=100,
                )
            ),
            route=types.SimpleNamespace(priority=1, objective_s=1.0),
            begun=False,
            received_s=self.now_s,
            until_s=self.now_s + 10.0,
            avoided=set(),
        )
        return self.placing.choose(call)[0].address


@pytest.fixture
def world():
    return World()


def order(adapter):
    return _placement.homes(adapter, ENGINES, len(ENGINES))


def test_rare_adapter_stays_at_its_first_engine_under_some_backlog(world):
    first = order("base/a1")[0]
    world.backlogs[first] = 0.4
    assert world.ask("base/a1") == first


def test_rare_adapter_moves_on_from_a_long_backlog(world):
    first, second = order("base/a1")[:2]
    world.backlogs[first] = 0.6
    assert world.ask("base/a1") == second


def test_adapter_in_demand_is_spread_at_less_backlog(world):
    """One engine can't read or run all requests for a popular adapter."""
    first, second = order("base/a1")[:2]
    world.backlogs[first] = 0.2
    assert world.ask("base/a1", every_s=0.2, times=100) == second


def test_demand_counts_over_all_nodes_but_one_request_is_none(world):
    first = order("base/a1")[0]
    world.backlogs[first] = 0.4
    world.placing._mesh.linked_nodes = lambda: [f"g{n}" for n in range(1, 61)]
    assert world.ask("base/a1") == first


def test_engines_that_hold_an_adapter_share_it_by_backlog(world):
    """A popular adapter held by many goes to whichever is free."""
    held = order("base/a1")[:8]
    world.hold("base/a1", held)
    world.backlogs = dict.fromkeys(held[:7], 0.3)
    assert world.ask("base/a1") == held[7]


def test_reply_of_an_owner_tells_the_engines_backlog():
    told = []
    asker = _grants.Asker(
        "g0", None, None, lambda: 0.0, lambda *args: told.append(args)
    )
    asker._waiters[7] = _grants._Waiter("e1")
    asker.reply(_wire.GrantReply(7, False, 0.3, "overload", 0.8))
    assert told == [("e1", 0.8)]
