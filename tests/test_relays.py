"""Requests that a node sends through another one."""

import json
import types

import pytest
import trio

from coltsfootsail import _http
from coltsfootsail import _wire
from coltsfootsail import exceptions
from coltsfootsail.platform import messages
from coltsfootsail.standins import network as memory
from tests import gateways

SERVERS = ("e0", "e1", "s0", "s1")
EVENTS = 5


def _cut(fleet, *nodes, fault=memory.LinkFault.REFUSED):
    for node in nodes:
        for server in SERVERS:
            fleet.net.cut(node, server, fault)
            fleet.net.break_between(node, server)


async def _cut_and_notice(fleet, *nodes):
    """Cut nodes off from all servers and let them notice."""
    _cut(fleet, *nodes)
    for node in nodes:
        await fleet.call("/stock/9", node, request_id=f"notice-{node}")
    await trio.sleep(0.5)
    for node in nodes:
        assert fleet.gateways[node].reach.is_isolated()


def _connections(fleet):
    return sum(fleet.net.connects[f"{name}:80"] for name in SERVERS)


def _runs(fleet, request_id):
    servers = [*fleet.engines, *fleet.shop_servers]
    return [
        run
        for server in servers
        for run in server.runs
        if run.request_id == request_id
    ]


@pytest.mark.parametrize(
    ("path", "extra"),
    [
        ("/orders/9", {}),
        ("/stock/9", {}),
        ("/notes/1", {"adapter": "base/a1"}),
        ("/prints/1", {"adapter": "base/a1"}),
    ],
)
def test_request_is_sent_through_another_node_once_and_unchanged(path, extra):
    async def scenario(fleet):
        await _cut_and_notice(fleet, "g0")
        body = bytes(range(256)) * 4096
        reply = await fleet.call(path, "g0", body, request_id="r9", **extra)
        assert reply.status == 200 and reply.whole
        assert reply.headers[messages.STAMP]
        (run,) = _runs(fleet, "r9")
        sent = dict(run.headers)
        assert sent[messages.EXPECT_INSTANCE]
        assert int(sent[messages.DEADLINE]) <= 5000
        if not extra:
            assert reply.body == b"done:" + body
        else:
            assert reply.body.count(b"\n\n") == EVENTS

    gateways.run(scenario, nodes=3)


def test_nodes_that_are_all_cut_off_refuse_at_once():
    async def scenario(fleet):
        await _cut_and_notice(fleet, "g0", "g1")
        _cut(fleet, "g2")
        await fleet.call("/stock/9", "g2", request_id="r8")
        await trio.sleep(1.5)
        for node in fleet.names:
            begun_s = trio.current_time()
            reply = await fleet.call("/orders/9", node, request_id="r9")
            assert reply.status == 503
            assert trio.current_time() - begun_s <= 1.0
        assert not _runs(fleet, "r9")

    gateways.run(scenario, nodes=3)


def test_node_that_is_cut_off_too_sends_nothing_on():
    async def scenario(fleet):
        await _cut_and_notice(fleet, "g0", "g1")
        gateway = fleet.gateways["g0"]
        before = _connections(fleet)
        relays = gateway.upstream._relays
        async with relays.exchange("g1:81") as exchange:
            await exchange._messages.send(
                _wire.RelayRequest("i-s0", "r9", "POST", "/orders/9", (), 0)
            )
            with pytest.raises(exceptions.EndpointUnreachable) as caught:
                await exchange._receive(_wire.AnswerHead)
        assert caught.value.outcome is exceptions.Outcome.NOT_RUN
        await trio.sleep(0.1)
        assert _connections(fleet) - before <= len(SERVERS)  # retries
        assert not _runs(fleet, "r9")

    gateways.run(scenario, nodes=3)


def test_request_is_dropped_when_the_caller_of_a_cut_off_node_leaves():
    async def scenario(fleet):
        await _cut_and_notice(fleet, "g0")
        for engine in fleet.engines:
            engine.events, engine.event_s = 100, 0.1
        with trio.move_on_after(1.5):
            await fleet.call("/notes/1", adapter="base/a1", request_id="r9")
        assert any(engine.running for engine in fleet.engines)
        await trio.sleep(0.3)
        assert not any(engine.running for engine in fleet.engines)

    gateways.run(scenario, nodes=3)


def test_request_is_not_repeated_when_the_node_between_is_killed():
    async def scenario(fleet):
        await _cut_and_notice(fleet, "g0")
        for shop in fleet.shop_servers:
            shop.work_s = 0.5
        replies = []

        async def call():
            replies.append(await fleet.call("/orders/9", request_id="r9"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(0.25)
            for name in ("g1", "g2"):
                fleet.scopes[name].cancel()
        assert replies[0].status == 502
        assert len(_runs(fleet, "r9")) == 1

    gateways.run(scenario, nodes=3)


def test_stream_that_breaks_off_behind_another_node_does_not_look_complete():
    async def scenario(fleet):
        await _cut_and_notice(fleet, "g0")
        for engine in fleet.engines:
            engine.cut_after = 2
        reply = await fleet.call("/notes/1", adapter="base/a1")
        assert reply.status == 200 and not reply.whole

    gateways.run(scenario, nodes=3)


def test_node_between_heeds_that_a_server_leaves_or_is_busy():
    async def scenario(fleet):
        await _cut_and_notice(fleet, "g0")
        leaving, busy = fleet.shop_servers
        leaving.leaving = "1"
        busy.busy = "30"
        for number in range(8):
            await fleet.call("/stock/9", request_id=f"a{number}")
        await trio.sleep(2.5)
        before = leaving.arrivals, busy.arrivals
        for number in range(8):
            reply = await fleet.call("/stock/9", request_id=f"b{number}")
            assert reply.status == 503
        assert (leaving.arrivals, busy.arrivals) == before

    gateways.run(scenario, nodes=2)


def test_cut_that_has_ended_is_noticed():
    async def scenario(fleet):
        await _cut_and_notice(fleet, "g0")
        fleet.net.heal()
        await trio.sleep(2.0)
        assert not fleet.gateways["g0"].reach.is_isolated()
        for name in SERVERS:
            assert not fleet.gateways["g0"].reach.is_cut_off(f"i-{name}")
            assert not fleet.gateways["g1"].reach.is_cut_off(f"i-{name}", "g0")
        before = fleet.gateways["g0"].metrics.counter_totals()
        assert (await fleet.call("/orders/9")).status == 200
        after = fleet.gateways["g0"].metrics.counter_totals()
        assert after["relays"] == before["relays"]

    gateways.run(scenario, nodes=3)


@pytest.mark.provokes_errors
@pytest.mark.parametrize("path", ["/orders/9", "/notes/1"])
@pytest.mark.parametrize("error", [KeyError("x"), trio.TooSlowError()])
@pytest.mark.parametrize(
    ("step", "outcome"),
    [
        ("relay_server._find_server", "not_run"),
        ("upstream.send", "unknown"),
    ],
)
def test_error_of_the_node_between_is_told_with_its_outcome(
    monkeypatch, caplog, step, outcome, error, path
):
    # The caller was told "unknown" though nothing had been sent.
    async def scenario(fleet):
        await _cut_and_notice(fleet, "g0")

        def fail(*args, **fields):
            raise error

        for node in ("g1", "g2"):
            owner, name = step.split(".")
            monkeypatch.setattr(
                getattr(fleet.gateways[node], owner), name, fail
            )
        extra = {"adapter": "base/a1"} if path == "/notes/1" else {}
        reply = await fleet.call(path, "g0", request_id="r9", **extra)
        assert reply.whole
        assert json.loads(reply.body)["error"]["outcome"] == outcome
        assert (reply.status == 503) == (outcome == "not_run")
        if outcome == "not_run":
            assert not _runs(fleet, "r9")
        if isinstance(error, KeyError):
            (line,) = {
                (record.id, record.reason)
                for record in caplog.records
                if record.message == "relay_failed"
            }
            assert line == ("r9", repr(error))

    gateways.run(scenario, nodes=3)


@pytest.mark.parametrize("path", ["/orders/9", "/notes/1"])
@pytest.mark.parametrize("status", [0, 600])
def test_status_outside_of_the_protocol_is_no_answer(
    monkeypatch, status, path
):
    # A node between that does not check it passed it on to the caller.
    answer = types.SimpleNamespace(
        status=status,
        headers=((messages.STAMP, "s"),),
        phase=_http.Phase.DONE,
    )

    async def send(server, request, timeout_s, on_response, may_relay):
        await on_response(answer)

    async def scenario(fleet):
        await _cut_and_notice(fleet, "g0")
        for node in ("g1", "g2"):
            monkeypatch.setattr(fleet.gateways[node].upstream, "send", send)
        extra = {"adapter": "base/a1"} if path == "/notes/1" else {}
        reply = await fleet.call(path, "g0", **extra)
        assert reply.status == 502
        assert messages.STAMP not in reply.headers

    gateways.run(scenario, nodes=3)
