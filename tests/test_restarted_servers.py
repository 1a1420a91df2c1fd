"""Servers that start again under their names: nothing old stays in force."""

import json
import types

import pytest
import trio

from coltsfootsail import _kv
from coltsfootsail import _view
from coltsfootsail import _wire
from coltsfootsail import exceptions
from coltsfootsail.platform import engines
from coltsfootsail.platform import registry
from coltsfootsail.standins import users
from tests import gateways

BORN_MS = 1_700_000_000_000
NEWS_S = 3.0  # in which every node applies a change of the store


def _entry(born_ms=BORN_MS, name="s", revision=1, **fields):
    raw = {**users.plain_entry("s0:80"), "born": born_ms, **fields}
    value = json.dumps(raw).encode()
    key = registry.SERVER_PREFIX + name
    return _kv.Entry(key, value, revision, revision, 0)


@pytest.fixture
def view():
    restarted = []
    view = _view.DeploymentView(
        types.SimpleNamespace(era=0),
        lambda: 10.0,
        lambda changed: None,
        on_restart=restarted.append,
    )
    view.restarted = restarted
    configuration = json.dumps(users.configuration(1)).encode()
    view.apply_entry(
        _kv.Entry(registry.CONFIG_KEY, configuration, 1, 1, 0),
    )
    view.apply_entry(_entry())
    return view


def test_later_start_is_a_restart_and_an_earlier_one_is_ignored(view):
    generation = view.generation
    view.apply_entry(_entry(BORN_MS, slots=7))
    assert not view.restarted and view.generation == generation
    view.apply_entry(_entry(BORN_MS + 1))
    assert view.restarted == ["s"] and view.generation > generation
    view.apply_entry(_entry(BORN_MS, addr="old:80"))
    assert view.servers["s"].address == "s0:80"
    assert view.restarted == ["s"]


def test_start_in_an_answer_is_a_restart_once_only(view):
    view.note_start("s", BORN_MS + 1)
    view.note_start("s", BORN_MS + 1)
    view.note_start("s", BORN_MS)
    assert view.restarted == ["s"]
    assert view.born_ms("s") == BORN_MS + 1


@pytest.mark.parametrize("is_gone", [False, True])
def test_copy_revives_a_drained_server_only_if_it_has_started_later(
    view, is_gone
):
    """The store may come back from a copy older than the server's end."""
    view.apply_snapshot(_kv.Snapshot((_entry(),), 1, 0))
    view.apply_entry(_entry(state="draining"))
    if is_gone:
        view.apply_entry(_entry(), deleted=True)
    view.apply_snapshot(_kv.Snapshot((_entry(),), 1, 1))
    assert not view.available_servers("shop")
    view.apply_snapshot(_kv.Snapshot((_entry(BORN_MS + 5),), 2, 2))
    assert view.available_servers("shop")
    assert view.restarted == ["s"]


@pytest.mark.parametrize(
    "change",
    [
        {"born": float("inf")},
        {"born": "soon"},
        {"state": "resting"},
        {"state": []},
        {"addr": 7},
        {"models": [3]},
        {"service": None, "addr": None},
    ],
)
def test_registration_of_another_writer_harms_no_other(view, change):
    view.apply_entry(_entry(name="t", **change))
    for value in (b"\xff\xfe", b"[" * 100_000, b"7"):
        key = registry.SERVER_PREFIX + "u"
        view.apply_entry(_kv.Entry(key, value, 1, 1, 0))
    assert list(view.servers) == ["s"]


def test_report_states_its_start_and_a_wrong_one_is_an_error():
    report = {"seq": 0, "models": []}
    assert engines.decode_report({**report, "born": 5}).born_ms == 5
    assert engines.decode_report(report).born_ms == 0
    with pytest.raises(exceptions.BadField):
        engines.decode_report({**report, "born": float("inf")})


class BornFleet(gateways.Fleet):
    """A fleet of servers that state their starts."""

    def __init__(self, nursery, nodes, engines):
        super().__init__(nursery, nodes, engines)
        for engine in self.engines:
            engine.born_ms = BORN_MS

    def register_shop(self, number, state="ready", born_ms=BORN_MS):
        """Write a shop server's registration with its start."""
        entry = users.plain_entry(f"s{number}:80", state)
        self.store.put(f"servers/i-s{number}", {**entry, "born": born_ms})

    def controller(self, engine):
        """Get the controller of an engine."""
        (controller,) = [
            gateway.owned_engines.controllers[engine.name]
            for gateway in self.gateways.values()
            if engine.name in gateway.owned_engines.controllers
        ]
        return controller


def _run(scenario, **options):
    gateways.run(scenario, make_fleet=BornFleet, **options)


def test_restarted_engine_is_read_before_the_next_order():
    """An order's count may match the count of the new start by chance."""

    async def scenario(fleet):
        (engine,) = fleet.engines
        for number in range(2):
            reply = await fleet.call("/notes/1", adapter=f"base/a{number}")
            assert reply.status == 200
        controller = fleet.controller(engine)
        expected = engine.sequence
        engine.restart()
        engine.models, engine.sequence = {"base": 1}, expected
        reply = await fleet.call("/notes/1", adapter="base/a7")
        assert reply.status == 200
        await trio.sleep(1.0)
        assert set(controller.adapter_slots.held) == {"base/a7"}
        assert controller.adapter_slots.sequence == engine.sequence
        reply = await fleet.call("/notes/1", adapter="base/a0")
        assert reply.status == 200 and not engine.crashed

    _run(scenario, engines=1)


def test_every_node_forgets_what_a_server_stated_before_its_restart():
    async def scenario(fleet):
        engine = fleet.engines[0]
        for gateway in fleet.gateways.values():
            gateway.limits.note_answer(engine.name, 0.5, gateway.now(), True)
            gateway.states.note_leaving(engine.name, "answer 200")
            msg = _wire.ServerSpeed(engine.name, 0.625, BORN_MS, 0.0)
            gateway.speeds.learn(msg, "g9")
            server = gateway.view.servers[engine.name]
            gateway.engine_selector.unreachable(server)
            assert gateway.states.is_unavailable(engine.name)
            assert gateway.speeds.level(engine.name) == 0.625
        claims = [
            gateway.view.claim(engine.name)
            for gateway in fleet.gateways.values()
        ]
        engine.restart()
        engine.register()
        await trio.sleep(NEWS_S)
        for gateway in fleet.gateways.values():
            assert gateway.states.takes_requests(engine.name)
            assert not gateway.limits.is_limited(engine.name)
            assert gateway.speeds.level(engine.name) == 1.0
            assert engine.name not in gateway.engine_selector._down_until_s
        assert claims == [
            gateway.view.claim(engine.name)
            for gateway in fleet.gateways.values()
        ]

    _run(scenario)


def test_drained_server_takes_requests_again_after_its_restart_only():
    async def scenario(fleet):
        for number in range(2):
            fleet.register_shop(number, "draining")
        await trio.sleep(NEWS_S)
        assert (await fleet.call("/stock/9")).status == 503
        fleet.register_shop(0)
        await trio.sleep(NEWS_S)
        assert (await fleet.call("/stock/9")).status == 503
        fleet.register_shop(0, born_ms=BORN_MS + 1)
        await trio.sleep(NEWS_S)
        assert (await fleet.call("/stock/9")).status == 200

    _run(scenario)


def test_late_news_of_the_start_before_does_not_close_a_server():
    """Nodes learn of a restart one after the other."""

    async def scenario(fleet):
        fleet.register_shop(0, born_ms=BORN_MS + 1)
        gateway = fleet.gateways["g0"]
        while gateway.view.born_ms("i-s0") == BORN_MS:
            await trio.sleep(0.05)
        gateway.peers._on_message("g1", _wire.ServerLeaving("i-s0"))
        gateway.limits.learn(_wire.ServerLimit("i-s0", 1.0, 0.5), "g1")
        assert gateway.states.takes_requests("i-s0")
        assert not gateway.limits.is_limited("i-s0")
        await trio.sleep(NEWS_S)
        gateway.peers._on_message("g1", _wire.ServerLeaving("i-s0"))
        assert not gateway.states.takes_requests("i-s0")

    _run(scenario)


def test_run_that_a_restart_ended_counts_as_a_crash():
    """A server that is up again at once accepts the check's connection."""

    async def scenario(fleet):
        (engine,) = fleet.engines
        engine.events, engine.event_s = 100, 0.05
        async with trio.open_nursery() as nursery:

            async def call():
                await fleet.call("/notes/1", adapter="base/a1")

            nursery.start_soon(call)
            await trio.sleep(2.0)
            assert engine.running
            controller = fleet.controller(engine)
            fleet.net.break_host("e0")
            engine.restart()
            engine.register()
            await trio.sleep(NEWS_S)
            assert not controller.queue.running
            nursery.cancel_scope.cancel()
        await trio.sleep(0.5)
        for gateway in fleet.gateways.values():
            counts = dict(gateway.crashes.strikes.counts())
            assert max(counts.values()) >= 1

    _run(scenario, engines=1)
