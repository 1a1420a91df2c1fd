"""Takeovers of engines by nodes that start again while they still wait."""

import contextlib
import itertools
import logging
import types

import pytest
import trio

from coltsfootsail import _claims
from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _records
from tests import gateways

TURN_S = 3.0  # least time between the orders of two nodes
ENGINE = 0


def _holder(fleet):
    """Name the node that holds the claim on the engine, None if none does."""
    engine = fleet.engines[ENGINE]
    return next(
        (
            name
            for name, gateway in fleet.gateways.items()
            if engine.name in gateway.claims.held
        ),
        None,
    )


def _check_turns(fleet):
    """Check that two nodes never order at the engine in quick succession."""
    orders = fleet.engines[ENGINE].orders
    for (last_s, last), (at_s, order) in itertools.pairwise(orders):
        if last["holder"] != order["holder"]:
            assert at_s - last_s >= TURN_S


async def _send_requests(fleet, length_s):
    """Let callers ask for ever new adapters, so that orders are due."""

    async def send(node, adapter):
        with contextlib.suppress(OSError):  # the node may be starting
            await fleet.call("/notes/1", node, adapter=adapter)

    async with trio.open_nursery() as nursery:
        for number in range(int(length_s / 0.25)):
            for node in fleet.names:
                adapter = f"base/a{trio.current_time():.2f}n{number}{node}"
                nursery.start_soon(send, node, adapter)
            await trio.sleep(0.25)


async def _stop(fleet, node):
    """Let a node give up its claims and end at once."""
    fleet.gateways[node].draining = True
    await fleet.gateways[node]._publish()
    await fleet.gateways[node].claims.release()
    fleet.scopes[node].cancel()
    fleet.names.remove(node)


async def _wait_for_successor(fleet, former):
    while _holder(fleet) in (None, former):
        await trio.sleep(0.01)
    return _holder(fleet)


@pytest.mark.parametrize("starts", [1, 3])
@pytest.mark.parametrize("seed", range(3))
def test_successor_that_starts_again_still_waits_for_the_former_holder(
    starts, seed
):
    async def scenario(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_requests, fleet, 22.0)
            await trio.sleep(3.0)
            first = _holder(fleet)
            await _stop(fleet, first)
            second = await _wait_for_successor(fleet, first)
            for _ in range(starts):
                await trio.sleep(0.3)
                await fleet.start_gateway(second)
        _check_turns(fleet)
        later = [order["holder"] for _, order in fleet.engines[ENGINE].orders]
        assert later[-1] != first

    gateways.run(scenario, nodes=3, seed=seed)


def test_third_holder_waits_for_both_before_it():
    async def scenario(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_requests, fleet, 24.0)
            await trio.sleep(3.0)
            first = _holder(fleet)
            await _stop(fleet, first)
            second = await _wait_for_successor(fleet, first)
            await _stop(fleet, second)
            third = await _wait_for_successor(fleet, second)
            await trio.sleep(0.3)
            await fleet.start_gateway(third)
        _check_turns(fleet)
        assert fleet.engines[ENGINE].orders[-1][1]["holder"] == third

    gateways.run(scenario, nodes=4)


def test_record_of_a_wait_is_deleted_when_the_wait_is_over():
    async def scenario(fleet):
        engine = fleet.engines[ENGINE]
        first = _holder(fleet)
        await _stop(fleet, first)
        second = await _wait_for_successor(fleet, first)
        assert fleet.store.keys(_keys.WAITS)
        await trio.sleep(11.0)
        assert fleet.gateways[second].claims.may_order(engine.name)
        assert not fleet.store.keys(_keys.WAITS)

    gateways.run(scenario, nodes=3)


def test_record_of_a_wait_is_deleted_with_its_server():
    async def scenario(fleet):
        await _stop(fleet, _holder(fleet))
        await _wait_for_successor(fleet, None)
        fleet.store.drop(f"servers/{fleet.engines[ENGINE].name}")
        await trio.sleep(120.0)
        assert not fleet.store.keys(_keys.WAITS)

    gateways.run(scenario, nodes=3)


def test_refused_claim_is_tried_again_only_when_the_view_has_changed(virtual):
    calls = []

    async def refuse(compares, operations):
        calls.append(trio.current_time())
        return _kv.TxnResult(False, 0)

    view = types.SimpleNamespace(
        era=0,
        revision=5,
        servers={"i-e0": None},
        synced=trio.Event(),
        engine_servers=lambda: {"i-e0": types.SimpleNamespace(address="e:1")},
        members=dict,
        claim=lambda server: None,
        last_holder=lambda server: (None, 0),
        wait=lambda server: (None, 0),
        settled_era=lambda: (_records.SettledEra(0), 0),
    )
    kv = types.SimpleNamespace(era=0, txn=refuse)
    lease = types.SimpleNamespace(valid=lambda: True, number=1)

    async def main():
        claims = _claims.EngineClaims(
            ("g0", "1"),
            kv,
            lease,
            view,
            _claims.TakeoverRules(3.0, 6.0),
            trio.current_time,
            lambda node, server, fence: None,
            lambda: None,
            lambda server, node: False,
        )
        view.synced.set()
        with trio.move_on_after(10.0):
            await claims.run()
        assert len(calls) == 1
        view.revision = 6
        with trio.move_on_after(5.0):
            await claims.run()
        assert len(calls) == 2

    virtual(main)


def test_successor_grants_loaded_adapters_before_it_may_order():
    async def scenario(fleet):
        for number in range(3):
            await fleet.call("/notes/1", "g1", adapter=f"base/a{number}")
        former = _holder(fleet)
        fleet.scopes[former].cancel()
        gateway = fleet.gateways[await _wait_for_successor(fleet, former)]
        await trio.sleep(1.0)
        (server,) = gateway.claims.held
        assert not gateway.claims.may_order(server)
        controller = gateway.owned_engines.controllers[server]
        for number in range(3):
            request = types.SimpleNamespace(
                adapter=f"base/a{number}", version=1, may_move=False
            )
            controller.check_grantable(request)

    gateways.run(scenario, nodes=3, engines=1)


def _answer_late(fleet, node):
    """Let the store's answers to a node's transactions take 0.3 s."""
    kv = fleet.gateways[node].kv
    txn = kv.txn

    async def txn_late(compares, operations):
        result = await txn(compares, operations)
        await trio.sleep(0.3)
        return result

    kv.txn = txn_late


def test_node_that_stops_while_it_takes_claims_keeps_none(caplog):
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        _answer_late(fleet, "g0")
        while not gateway.claims.held:
            await trio.sleep(0.01)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(gateway.drain)
            await trio.sleep(1.2)
            assert not gateway.claims.held
            assert not fleet.store.keys(_keys.CLAIMS)
        lost = [r for r in caplog.records if r.message == "claim_lost"]
        assert not lost

    with caplog.at_level(logging.INFO, "coltsfootsail"):
        gateways.run(scenario, nodes=1, engines=4, ready=False)


def test_node_that_stops_while_it_gives_up_claims_goes_on():
    async def scenario(fleet):
        claims = fleet.gateways["g0"].claims
        assert len(claims.held) == len(fleet.engines)
        _answer_late(fleet, "g0")
        claims._should_give_up = lambda server: True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(claims._give_up_claims)
            await trio.sleep(0.1)
            nursery.start_soon(claims.release)
        assert not fleet.store.keys(_keys.CLAIMS)

    gateways.run(scenario, nodes=1, engines=3)


def test_stopped_node_leaves_no_registration():
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        revoke = gateway.kv.lease_revoke

        async def revoke_late(lease):
            await revoke(lease)
            gateway.lease.renew_soon()
            await trio.sleep(0.1)

        gateway.kv.lease_revoke = revoke_late
        await gateway.drain()
        assert not fleet.store.keys(_keys.MEMBERS + "g0")

    gateways.run(scenario)
