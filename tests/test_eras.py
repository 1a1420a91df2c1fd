"""A store that comes back from an older copy, before gateways in memory."""

import collections
import contextlib
import random

import pytest
import trio

from coltsfootsail import _eras
from coltsfootsail import _http
from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _records
from coltsfootsail import exceptions
from coltsfootsail import platform
from coltsfootsail.standins import network as memory
from coltsfootsail.standins import store as stores
from tests import gateways

LEASE_VALID_S = 6.0
TURN_S = 3.0
NOTICE_S = 2.0  # a renewal of the lease shows a new era


def _owners(fleet, engine):
    """List the nodes that may order at an engine now."""
    return [
        name
        for name, gateway in fleet.gateways.items()
        if gateway.claims.may_order(engine.name)
    ]


def _holder(fleet, engine):
    """Name the node that holds the claim on an engine of the era."""
    return next(
        name
        for name, gateway in fleet.gateways.items()
        if engine.name in gateway.claims.held
    )


async def _copy_without_claim(fleet, engine):
    """Make a copy from which the claim on an engine and its holder lack."""
    for key in (_keys.claim(engine.name), _keys.intent(engine.name)):
        fleet.store.drop(key)
    copy = fleet.store.copy()
    await trio.sleep(3.0)
    await _send_requests(fleet, 1.0)
    return copy


async def _send_request(fleet, node, adapter):
    with contextlib.suppress(OSError):  # the node may be starting
        await fleet.call("/notes/1", node, adapter=adapter)


async def _send_requests(fleet, length_s, nodes=None):
    """Let callers ask for ever new adapters, so that orders are due."""
    async with trio.open_nursery() as nursery:
        for _ in range(int(length_s / 0.25)):
            for node in nodes or fleet.names:
                adapter = f"base/a{trio.current_time():.2f}{node}"
                nursery.start_soon(_send_request, fleet, node, adapter)
            await trio.sleep(0.25)


def _check_orders(fleet):
    """Check that one node at a time has ordered at each engine."""
    for engine in fleet.engines:
        fence_holders = collections.defaultdict(set)
        highest = 0
        last = None
        for at_s, order in engine.orders:
            fence_holders[order["fence"]].add(order["holder"])
            assert order["fence"] >= highest, "a lower fencing number"
            highest = order["fence"]
            if last is not None and last[1] != order["holder"]:
                assert at_s - last[0] >= TURN_S, "turns within the bound"
            last = at_s, order["holder"]
        assert all(len(each) == 1 for each in fence_holders.values())


def _run(scenario, era=1, nodes=3, **options):
    """Run a scenario on a fleet whose store states an era."""

    async def run_scenario(fleet):
        fleet.store.era = era
        await trio.sleep(LEASE_VALID_S + TURN_S + 4.0)
        await scenario(fleet)
        _check_orders(fleet)
        assert any(engine.orders for engine in fleet.engines)

    gateways.run(run_scenario, nodes=nodes, **options)


@pytest.mark.parametrize("era", [None, 0, 3])
def test_orders_resume_when_no_holder_of_the_past_era_can_order(era):
    async def scenario(fleet):
        copy = fleet.store.copy()
        await _send_requests(fleet, 2.0)
        restored_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.store.restore, copy, 1.0)
            await _send_requests(fleet, 16.0)
        noticed_s = restored_s + 1.0 + NOTICE_S
        resumed_s = restored_s + 1.0 + LEASE_VALID_S + TURN_S
        for engine in fleet.engines:
            ordered_s = [at_s for at_s, _ in engine.orders]
            assert not [at for at in ordered_s if noticed_s < at < resumed_s]
            assert max(ordered_s) > resumed_s
            assert len(_owners(fleet, engine)) == 1

    _run(scenario, era)


def test_node_cut_off_over_the_drill_orders_beside_no_successor():
    async def scenario(fleet):
        engine = fleet.engines[0]
        holder = _holder(fleet, engine)
        copy = fleet.store.copy()
        fleet.store.faults[f"store-{holder}:1"] = stores.StoreFault.SILENT
        fleet.store.drop(_keys.member(holder))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.store.restore, copy, 0.2)
            nursery.start_soon(_send_requests, fleet, 20.0)
            await trio.sleep(18.0)
            fleet.store.faults.clear()
        await trio.sleep(3.0)
        assert len(_owners(fleet, engine)) == 1

    _run(scenario)


def test_claim_written_in_the_lost_seconds_gives_no_second_holder():
    async def scenario(fleet):
        engine = fleet.engines[0]
        copy = fleet.store.copy()
        first = _holder(fleet, engine)
        await fleet.gateways[first].claims.release()
        await _send_requests(fleet, 6.0)
        second = _holder(fleet, engine)
        assert second != first
        fleet.gateways[first].claims.may_take_claims = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.store.restore, copy, 0.5)
            nursery.start_soon(_send_requests, fleet, 20.0)
        assert len(_owners(fleet, engine)) == 1

    _run(scenario)


def test_claim_and_holder_record_lost_while_its_holder_is_cut_off():
    async def scenario(fleet):
        engine = fleet.engines[0]
        copy = await _copy_without_claim(fleet, engine)
        holder = _holder(fleet, engine)
        fleet.store.faults[f"store-{holder}:1"] = stores.StoreFault.SILENT
        others = [name for name in fleet.names if name != holder]
        for name in others:
            fleet.scopes[name].cancel()
        await fleet.store.restore(copy, 0.1, rewrite_s=0.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_requests, fleet, 16.0, [holder])
            for name in others:
                nursery.start_soon(fleet.start_gateway, name)
            await trio.sleep(0.5)
            nursery.start_soon(_send_requests, fleet, 16.0, others)

    _run(scenario)


@pytest.mark.parametrize("pause_s", [1.0, 4.0, 8.0])
def test_holder_suspended_over_the_drill_orders_beside_no_successor(pause_s):
    """Its answers of the past era arrive when it goes on."""

    async def scenario(fleet):
        engine = fleet.engines[0]
        copy = await _copy_without_claim(fleet, engine)
        holder = _holder(fleet, engine)
        fleet.net.pause(holder)
        others = [name for name in fleet.names if name != holder]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.store.restore, copy, 0.2)
            nursery.start_soon(_send_requests, fleet, 18.0, others)
            await trio.sleep(pause_s)
            fleet.net.resume(holder)
            nursery.start_soon(_send_requests, fleet, 18.0 - pause_s, [holder])
        assert len(_owners(fleet, engine)) == 1

    _run(scenario)


def test_lease_of_a_past_era_is_replaced_and_never_renewed():
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        number = gateway.lease.number
        await fleet.store.restore(fleet.store.copy(), rewrite_s=0.0)
        gateway.kv._eras.accept(fleet.store.era)
        assert not gateway.lease.valid()
        await trio.sleep(0.5)
        assert gateway.lease.valid() and gateway.lease.number != number
        assert not gateway.claims.may_order(fleet.engines[0].name)
        await _send_requests(fleet, 12.0)

    _run(scenario)


def test_two_drills_in_a_row_and_one_while_all_nodes_start():
    async def scenario(fleet):
        copy = fleet.store.copy()
        await _send_requests(fleet, 2.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_requests, fleet, 20.0)
            await fleet.store.restore(copy, 0.3)
            await trio.sleep(2.0)
            await fleet.store.restore(copy, 0.3)
        async with trio.open_nursery() as nursery:
            for name in fleet.names:
                nursery.start_soon(fleet.start_gateway, name)
            nursery.start_soon(fleet.store.restore, copy, 0.4)
            nursery.start_soon(_send_requests, fleet, 20.0)
        for engine in fleet.engines:
            assert len(_owners(fleet, engine)) == 1

    _run(scenario)


def test_node_that_starts_in_a_settled_era_orders_at_once():
    async def scenario(fleet):
        await fleet.store.restore(fleet.store.copy())
        await trio.sleep(LEASE_VALID_S + TURN_S + 3.0)
        engine = fleet.engines[0]
        holder = _holder(fleet, engine)
        await fleet.start_gateway(holder)
        await trio.sleep(2.0)
        assert _owners(fleet, engine) == [holder]
        await _send_requests(fleet, 1.0)

    _run(scenario)


def test_loaded_adapter_is_served_over_the_drill():
    async def scenario(fleet):
        copy = fleet.store.copy()
        await fleet.call("/notes/1", adapter="base/a7")
        for engine in fleet.engines:
            engine.register()
        await trio.sleep(1.0)
        statuses = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.store.restore, copy, 1.0)
            for _ in range(20):
                reply = await fleet.call("/notes/1", adapter="base/a7")
                statuses.append(reply.status)
                await trio.sleep(0.25)
        assert statuses == [200] * 20

    _run(scenario)


async def _check_over_drill(fleet, copy, rewrite_s, checks, check):
    """Let the store come back from a copy and check each node's view.

    :param rewrite_s: until others have written again what was lost.
    :param checks: how many checks to make, 0.2 s apart.
    :param check: ``(view)``, with assertions.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.store.restore, copy, 0.1, rewrite_s)
        for _ in range(checks):
            await trio.sleep(0.2)
            for gateway in fleet.gateways.values():
                check(gateway.view)
    await _send_requests(fleet, 10.0)


def test_configuration_and_versions_never_go_back():
    async def scenario(fleet):
        copy = fleet.store.copy()
        fleet.store.put("op/config", gateways.configuration(5))
        version = {"model": "base", "adapter": "a7", "version": 4}
        fleet.store.put("op/version/base.a7", version)
        await trio.sleep(2.0)

        def check(view):
            assert view.deployment.version == 5
            assert view.versions["base/a7"] == 4

        await _check_over_drill(fleet, copy, 3.0, 30, check)

    _run(scenario)


def test_servers_that_left_in_the_lost_seconds_get_no_requests():
    async def scenario(fleet):
        copy = fleet.store.copy()
        fleet.register_shop(0, "draining")
        fleet.store.drop("servers/i-s1")
        await trio.sleep(2.0)

        def check(view):
            assert not view.available_servers("shop")

        await _check_over_drill(fleet, copy, 3.0, 25, check)

    _run(scenario)


def test_server_that_registered_in_the_lost_seconds_is_kept():
    async def scenario(fleet):
        entry = fleet.store.value("servers/i-s0")
        fleet.store.drop("servers/i-s0")
        copy = fleet.store.copy()
        fleet.store.put("servers/i-s0", entry)
        await trio.sleep(2.0)

        def check(view):
            assert "i-s0" in view.servers

        await _check_over_drill(fleet, copy, 1.5, 25, check)

    _run(scenario)


def test_claim_whose_answer_was_lost_is_taken_again():
    async def scenario(fleet):
        engine = fleet.engines[0]
        holder = _holder(fleet, engine)
        del fleet.gateways[holder].claims.held[engine.name]
        await trio.sleep(1.0)
        assert _owners(fleet, engine) == [holder]
        await _send_requests(fleet, 1.0)

    _run(scenario, era=None)


@pytest.mark.parametrize("seed", range(8))
def test_random_drills_among_store_faults_keep_one_holder(seed):
    async def scenario(fleet):
        rng = random.Random(seed)
        copies = [fleet.store.copy()]

        async def disturb():
            for _ in range(6):
                await trio.sleep(rng.uniform(0.5, 4.0))
                copies.append(fleet.store.copy())
                name = rng.choice(fleet.names)
                fault = rng.choice(list(stores.StoreFault))
                fleet.store.faults[f"store-{name}:1"] = fault
                if rng.random() < 0.4:
                    await fleet.start_gateway(rng.choice(fleet.names))
                if rng.random() < 0.6:
                    await fleet.store.restore(
                        rng.choice(copies[-2:]), rng.uniform(0.0, 2.0)
                    )
            fleet.store.faults.clear()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(disturb)
            nursery.start_soon(_send_requests, fleet, 30.0)
        await trio.sleep(12.0)
        await _send_requests(fleet, 4.0)
        for engine in fleet.engines:
            assert len(_owners(fleet, engine)) == 1

    _run(scenario, seed=seed + 1)


def test_fencing_numbers_rise_with_the_era_and_stay_exact_in_json():
    assert _eras.fencing_number(0, 900) == 900
    assert _eras.fencing_number(1, 5) > _eras.fencing_number(0, 2**39)
    assert _eras.fencing_number(8000, 2**39) < 2**53


def test_tracker_reports_each_rise_once_and_discards_past_answers():
    rises = []
    tracker = _eras.EraTracker(lambda old, new: rises.append((old, new)))
    assert tracker.sent_under() is None
    tracker.accept(2)
    sent_under = tracker.sent_under()
    tracker.accept(None)
    tracker.accept(4)
    tracker.accept(4)
    assert rises == [(2, 4)]
    with pytest.raises(exceptions.KvError):
        tracker.accept(2)
    with pytest.raises(exceptions.KvEraChanged):
        tracker.check_unchanged(sent_under)


def test_calls_answered_in_another_era_are_unknown(virtual):
    async def main():
        net = memory.MemoryNetwork()
        store = stores.StoreStandIn()
        store.era = 1
        client = platform.StoreClient(
            _http.HttpClient(net.network("node")), "store:1"
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(
                net.network("store").serve,
                "store:1",
                store.connection_handler("store:1"),
            )
            snapshot = await client.range("")
            assert snapshot.era == client.era == 1
            lease = await client.lease_grant(8.0)
            nursery.start_soon(store.restore, store.copy(), 0.0)
            await trio.sleep(0.1)
            with pytest.raises(exceptions.KvEraChanged):
                await client.lease_keepalive(lease)
            assert client.era == 2
            put = _kv.Put("/k", _records.dumps(_records.SettledEra(2)))
            assert (await client.txn([], [put])).succeeded
            nursery.start_soon(store.restore, store.copy(), 0.0)
            await trio.sleep(0.1)
            with pytest.raises(exceptions.KvEraChanged):
                await client.changes("", snapshot.revision, 0.1)
            with pytest.raises(exceptions.KvHistoryGone):
                await client.changes("", store.revision + 1, 0.1)
            nursery.cancel_scope.cancel()

    virtual(main)
