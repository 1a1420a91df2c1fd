"""Tests of claims, handover, takeover and drains on an in-memory network."""

import dataclasses
import json
import logging
import random

import pytest
import trio

from coltsfootsail import _document
from coltsfootsail import _keys
from coltsfootsail import _ownership
from coltsfootsail import _placement
from coltsfootsail import _records
from coltsfootsail.standins import engine
from coltsfootsail.standins import kv
from coltsfootsail.standins import network
from tests.faults import harness

MODEL = "gift-note-0001@v2"


def _claim_holder(embedded, endpoint):
    """Read from the store which node holds the claim on an endpoint."""
    raw = embedded.kv.value(_keys.claim(endpoint))
    return _records.loads(raw, _records.Claim).node if raw else None


async def _send_completion(embedded, host, model=MODEL, tokens=4, prompt="x"):
    value = {"model": model, "prompt": prompt, "max_tokens": tokens}
    try:
        return await embedded.client.call_json(
            embedded.caller_address(host),
            "POST",
            "/v1/completions",
            value,
            timeout_s=60.0,
            fresh=True,
        )
    except OSError as exc:
        return 0, str(exc)


def _engine_with(embedded, model):
    holders = [
        name
        for name, standin in embedded.engines.items()
        if model in standin.resident()
    ]
    return holders[0] if holders else None


@pytest.mark.parametrize("name", ["museum", "registry"])
def test_each_engine_gets_one_owner_within_the_limit_per_node(
    virtual, system, name
):
    embedded = system(name)

    async def main():
        async with embedded.running():
            owners = [
                _claim_holder(embedded, endpoint)
                for endpoint in embedded.engines
            ]
            assert None not in owners
            limit = _ownership.max_endpoints_per_node(
                len(owners), len(embedded.hosts)
            )
            assert max(owners.count(host) for host in owners) <= limit

    virtual(main)


def test_killed_owner_is_replaced_and_requests_succeed(virtual, system):
    embedded = system("registry")
    model = "deed-urdu-0001@v2"

    async def main():
        async with embedded.running():
            await _send_completion(embedded, "entry-0", model)
            engine_name = _engine_with(embedded, model)
            host = _claim_holder(embedded, engine_name)
            embedded.kill(host)
            embedded.net.break_host(host)
            await trio.sleep(embedded.settings(host).lease.ttl_s + 8.0)
            successor = _claim_holder(embedded, engine_name)
            assert successor not in (None, host)
            other = next(h for h in embedded.live() if h != successor)
            status, _ = await _send_completion(embedded, other, model)
            assert status == 200

    virtual(main)


def test_adapters_of_a_silent_owner_stay_pinned_until_it_returns(
    virtual, system
):
    embedded = system("museum", engine_slots=3)

    async def main():
        async with embedded.running():
            await _send_completion(embedded, "entry-0")
            engine_name = _engine_with(embedded, MODEL)
            host = _claim_holder(embedded, engine_name)
            embedded.net.pause(host)
            await trio.sleep(30.0)
            successor = embedded.nodes[_claim_holder(embedded, engine_name)]
            owner = successor.owners.get(engine_name)
            slot = owner.scheduler.resident[MODEL]
            assert slot.adopted
            assert slot.pinned_until_s > trio.current_time() + 1000.0
            embedded.net.resume(host)
            await trio.sleep(10.0)
            assert slot.pinned_until_s <= trio.current_time()
            intent = successor.cluster.intent(engine_name).record
            assert [holder.node for holder in intent.holders] == [
                successor.identity.node
            ]

    virtual(main)


def test_restarted_node_unpins_adapters_of_its_former_run(virtual, system):
    embedded = system("museum", engine_slots=3)

    async def main():
        async with embedded.running():
            await _send_completion(embedded, "entry-0")
            engine_name = _engine_with(embedded, MODEL)
            host = _claim_holder(embedded, engine_name)
            await trio.sleep(3.0)
            embedded.kill(host)
            embedded.net.break_host(host)
            await trio.sleep(25.0)
            await embedded.start_node(host)
            await trio.sleep(45.0)
            successor = embedded.nodes[_claim_holder(embedded, engine_name)]
            slot = successor.owners.get(engine_name).scheduler.resident[MODEL]
            assert slot.pinned_until_s <= trio.current_time()

    virtual(main)


def test_recorded_orders_of_a_silent_owner_leave_evictions_pending(
    virtual, system
):
    """An eviction of a paused owner may still reach the engine.

    The engine ignores fencing numbers, so the new owner must not start
    requests on the adapter that the recorded order names, until the
    engine has restarted.
    """
    embedded = system("museum", engine_slots=1, engines=1)

    async def main():
        async with embedded.running():
            await _send_completion(embedded, "entry-0")
            engine_name = _engine_with(embedded, MODEL)
            host = _claim_holder(embedded, engine_name)
            key = _keys.intent(engine_name)
            record = _records.Intent(
                (
                    _records.Holder(
                        host, embedded.nodes[host].incarnation, (MODEL,)
                    ),
                )
            )
            node = embedded.nodes[host]
            await node.ownership.record_orders(
                engine_name, node.ownership.fence(engine_name), (MODEL,)
            )
            raw = embedded.kv.value(key)
            assert _records.loads(raw, _records.Intent) == record
            embedded.net.pause(host)
            await trio.sleep(30.0)
            successor = embedded.nodes[_claim_holder(embedded, engine_name)]
            slot = successor.owners.get(engine_name).scheduler.resident[MODEL]
            assert slot.eviction_pending
            other = next(h for h in embedded.live() if h != host)
            status, answer = await _send_completion(embedded, other)
            assert status != 200
            assert answer["error"]["outcome"] == "not_run"
            embedded.engines[engine_name].crash()
            await trio.sleep(5.0)
            status, _ = await _send_completion(embedded, other)
            assert status == 200

    virtual(main)


def test_adapter_that_a_killed_owner_loaded_is_used_before_its_requests_end(
    virtual, system
):
    """Its orders expire long before the timeout of its requests."""
    embedded = system("museum", engines=1)
    request_timeout_s = 600.0

    async def main():
        async with embedded.running():
            await _send_completion(embedded, "entry-0")
            engine_name = _engine_with(embedded, MODEL)
            host = _claim_holder(embedded, engine_name)
            ownership = embedded.nodes[host].ownership
            await ownership.record_orders(
                engine_name, ownership.fence(engine_name), (MODEL,)
            )
            embedded.kill(host)
            embedded.net.break_host(host)
            await trio.sleep(30.0)

            def recorded_adapters():
                successor = embedded.nodes[
                    _claim_holder(embedded, engine_name)
                ]
                holders = successor.ownership.earlier_holders(
                    engine_name, request_timeout_s
                )
                return [holder.adapters for holder in holders]

            assert recorded_adapters() == [(MODEL,)]
            await trio.sleep(60.0)
            assert recorded_adapters() == [()]

    virtual(main)


def test_orders_are_recorded_only_while_the_claim_is_held(virtual, system):
    embedded = system("museum", engines=1)

    async def main():
        async with embedded.running():
            engine_name = "engine-0"
            host = _claim_holder(embedded, engine_name)
            node = embedded.nodes[host]
            fence = node.ownership.fence(engine_name)
            embedded.kv.drop_lease_of(_keys.claim(engine_name))
            with pytest.raises(Exception, match="own"):
                await node.ownership.record_orders(
                    engine_name, fence, ("a@v1",)
                )

    virtual(main)


def test_draining_node_hands_over_and_finishes_its_requests(virtual, system):
    embedded = system("registry")
    model = "deed-english-0001@v2"

    async def main():
        async with embedded.running():
            await _send_completion(embedded, "entry-0", model)
            engine_name = _engine_with(embedded, model)
            host = _claim_holder(embedded, engine_name)
            results = []

            async def send(start_s):
                await trio.sleep(start_s)
                results.append(
                    (await _send_completion(embedded, host, model, 100))[0]
                )

            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(send, 0.5 * number)
                await trio.sleep(1.0)
                await embedded.nodes[host].drain()
            assert results == [200] * 8
            await trio.sleep(1.0)
            assert host in embedded.down
            assert _claim_holder(embedded, engine_name) not in (None, host)

    virtual(main)


def test_stopping_node_takes_nothing_for_lost_that_it_gave_up(
    virtual, system, caplog
):
    embedded = system("museum", hosts=1)

    async def main():
        async with embedded.running():
            node = embedded.nodes["entry-0"]
            revoke = node.kv.lease_revoke

            async def revoke_slowly(lease):
                await revoke(lease)
                await trio.sleep(4.0)

            node.kv.lease_revoke = revoke_slowly
            caplog.clear()
            await node.drain()
            assert not embedded.kv.keys(_keys.member("entry-0"))

    with caplog.at_level(logging.INFO, "coltsfootsail"):
        virtual(main)
    events = [record.getMessage() for record in caplog.records]
    assert events == ["node_draining", "node_stopped"]


def test_draining_node_is_left_out_of_the_address_answers(virtual, system):
    embedded = system("museum")

    async def main():
        async with embedded.running():
            host = "entry-3"
            async with trio.open_nursery() as nursery:
                nursery.start_soon(embedded.nodes[host].drain)
                await trio.sleep(1.0)
                status, _ = await embedded.client.call_json(
                    embedded.caller_address(host), "GET", "/readyz"
                )
                assert status == 503
                for other in ("entry-0", "entry-5"):
                    _, route = await embedded.client.call_json(
                        embedded.caller_address(other), "GET", "/v1/route"
                    )
                    draining = embedded.caller_address(host)
                    assert draining not in route["addresses"]

    virtual(main)


def test_request_to_another_node_is_forwarded_once(virtual, system):
    embedded = system("museum")

    async def main():
        async with embedded.running():
            await _send_completion(embedded, "entry-0")
            engine_name = _engine_with(embedded, MODEL)
            owner = _claim_holder(embedded, engine_name)
            other = next(h for h in embedded.hosts if h != owner)
            await trio.sleep(1.0)
            before = embedded.nodes[other].metrics.counter_total(
                "forwards", "owner"
            )
            status, _ = await _send_completion(embedded, other)
            after = embedded.nodes[other].metrics.counter_total(
                "forwards", "owner"
            )
            assert (status, after - before) == (200, 1)

    virtual(main)


@pytest.mark.parametrize("seed", [0, 24, 36, 153, 165, 234, 247, 249])
def test_an_engine_that_hangs_on_a_load_does_not_hold_others_up(
    seeded, system, seed
):
    embedded = system("museum")

    async def main():
        async with embedded.running():
            await _send_completion(embedded, "entry-0")
            engine_name = _engine_with(embedded, MODEL)
            embedded.engines[engine_name].fault = engine.EngineFault.LOAD_HANGS
            statuses = []

            async def send(model):
                status, _ = await _send_completion(embedded, "entry-0", model)
                statuses.append(status)

            async with trio.open_nursery() as nursery:
                for number in range(2, 12):
                    nursery.start_soon(send, f"gift-note-{number:04d}@v1")
            assert statuses.count(200) >= 7
            assert (await _send_completion(embedded, "entry-0"))[0] == 200

    seeded(seed, main)


def test_adapter_of_a_disconnected_caller_is_not_evicted_while_it_runs(
    virtual, system
):
    embedded = system("museum", engine_slots=1, engines=1)

    async def main():
        async with embedded.running():
            await _send_completion(embedded, "entry-0")
            with trio.move_on_after(0.5):
                await _send_completion(
                    embedded, "entry-0", MODEL, 400, "long one"
                )
            status, _ = await _send_completion(
                embedded, "entry-0", "caption-0001@v1"
            )
            interrupted = [
                eviction.running
                for eviction in embedded.engines["engine-0"].evictions
                if eviction.running
            ]
            assert interrupted == []
            assert status in (200, 504)

    virtual(main)


def test_long_unstreamed_answer_is_not_taken_for_silence(virtual, system):
    embedded = system("museum")

    async def main():
        async with embedded.running():
            limit_s = embedded.settings("entry-0").limits.silence_timeout_s
            tokens = int(2 * limit_s / 0.02)
            status, answer = await _send_completion(
                embedded, "entry-0", MODEL, tokens
            )
            assert status == 200, answer

    virtual(main)


def test_request_that_crashed_two_engines_is_refused_on_all_nodes(
    virtual, system
):
    embedded = system("museum")

    async def main():
        async with embedded.running():
            for standin in embedded.engines.values():
                standin.poison = ("poison",)
            answers = []
            for host in ("entry-0", "entry-4", "entry-8", "entry-1"):
                answers.append(
                    await _send_completion(embedded, host, MODEL, 4, "poison")
                )
                await trio.sleep(3.0)
            crashes = sum(
                standin.incarnation - 1
                for standin in embedded.engines.values()
            )
            assert crashes == 2
            codes = [value["error"]["code"] for _, value in answers[1:]]
            assert codes == ["poisoned"] * 3
            host = "entry-4"
            embedded.kill(host)
            await embedded.start_node(host)
            await trio.sleep(3.0)
            _, value = await _send_completion(
                embedded, host, MODEL, 4, "poison"
            )
            assert value["error"]["code"] == "poisoned"

    virtual(main)


def test_requests_that_ran_during_a_crash_may_run_again(virtual, system):
    embedded = system("museum", engines=3)

    async def main():
        async with embedded.running():
            await _send_completion(embedded, "entry-0")
            for standin in embedded.engines.values():
                standin.poison = ("poison",)
            results = []

            async def send(prompt):
                results.append(
                    await _send_completion(
                        embedded, "entry-0", MODEL, 30, prompt
                    )
                )

            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(send, f"good {number}")
                await trio.sleep(0.1)
                nursery.start_soon(send, "poison")
            await trio.sleep(5.0)
            for number in range(4):
                again = await _send_completion(
                    embedded, "entry-0", MODEL, 30, f"good {number}"
                )
                assert again[0] == 200

    virtual(main)


def test_an_hour_without_kv_is_served_and_recovery_writes_little(
    virtual, system
):
    embedded = system("registry", engines=2, hosts=3)
    model = "deed-urdu-0001@v2"

    async def main():
        async with embedded.running():
            await _send_completion(embedded, "entry-0", model)
            claims = [
                (name, _claim_holder(embedded, name))
                for name in embedded.engines
            ]
            embedded.kv.set_fault(kv.KvFault.DOWN)
            for _ in range(12):
                await trio.sleep(300.0)
                status, _ = await _send_completion(embedded, "entry-1", model)
                assert status == 200
                status, answer = await embedded.client.call_json(
                    embedded.caller_address("entry-2"),
                    "POST",
                    "/counter/receipts",
                    {},
                    headers=[("idempotency-key", "k")],
                    timeout_s=30.0,
                )
                code = answer["error"]["code"]
                assert (status, code) == (503, "ledger_unavailable")
            now_s = int(trio.current_time())
            embedded.kv.set_fault(kv.KvFault.NONE)
            await trio.sleep(30.0)
            writes = max(
                count
                for second, count in embedded.kv.writes_by_second.items()
                if second >= now_s
            )
            per_node = 5
            assert writes <= per_node * len(embedded.hosts)
            owners = [
                name for name, _ in claims if _claim_holder(embedded, name)
            ]
            assert len(owners) == len(claims)
            status, _ = await _send_completion(embedded, "entry-1", model)
            assert status == 200

    virtual(main)


def test_node_that_starts_without_kv_learns_from_its_seeds(virtual, system):
    embedded = system("museum")
    change = embedded._change

    def with_seeds(settings):
        settings = change(settings)
        seeds = (embedded.addresses["entry-1/peer"],)
        node = dataclasses.replace(settings.node, seed_addresses=seeds)
        return dataclasses.replace(settings, node=node)

    async def main():
        hosts = list(embedded.hosts)[:-1]
        async with embedded.running(hosts):
            await _send_completion(embedded, "entry-0")
            embedded.kv.set_fault(kv.KvFault.DOWN)
            await trio.sleep(20.0)
            embedded._change = with_seeds
            node = await embedded.start_node("entry-8")
            await trio.sleep(12.0)
            assert node.stored_config.root.revision == 1
            status, answer = await _send_completion(embedded, "entry-8")
            assert status == 200, answer

    virtual(main)


def test_ranking_prefers_the_data_centre_and_omits_nodes_at_their_limit():
    entry = _document.Endpoint(
        kind=_document.EndpointKind.ENGINE,
        address="a:1",
        data_centre="d1",
        host="h",
        slots=1,
        batch=1,
    )

    def member(name, centre):
        return _records.Member(name, "1", "r", centre, "", "", "", 1)

    members = {
        "a": member("a", "d1"),
        "b": member("b", "d1"),
        "c": member("c", "d2"),
    }
    ranked = _ownership.rank_candidates("e", entry, members, {}, 9)
    assert set(ranked[:2]) == {"a", "b"}
    assert ranked[2] == "c"
    ranked = _ownership.rank_candidates("e", entry, members, {"a": 9}, 9)
    assert ranked == ["b", "c"]


def test_rendezvous_hashing_moves_only_keys_of_the_removed_node():
    names = tuple(f"n{number}" for number in range(20))
    remaining = names[:-1]
    moved = 0
    for number in range(2000):
        before = _placement.rendezvous_ranking(f"k{number}", names, 1)
        after = _placement.rendezvous_ranking(f"k{number}", remaining, 1)
        if before != after:
            moved += 1
            assert before == (names[-1],)
    assert 50 <= moved <= 150


def test_one_way_loss_of_a_link_is_noticed_by_both_nodes(virtual, system):
    embedded = system("museum")

    async def main():
        async with embedded.running():
            await trio.sleep(5.0)
            pair = ("entry-0", "entry-1")
            embedded.net.set_fault(*pair, network.LinkFault.SILENT)
            await trio.sleep(15.0)
            for this, other in (pair, pair[::-1]):
                assert other not in embedded.nodes[this].mesh.linked_nodes()
            embedded.net.heal()
            await trio.sleep(15.0)
            for this, other in (pair, pair[::-1]):
                assert other in embedded.nodes[this].mesh.linked_nodes()

    virtual(main)


def test_status_and_metrics_are_served(virtual, system):
    embedded = system("museum")

    async def main():
        async with embedded.running():
            _, value = await embedded.client.call_json(
                embedded.admin_address("entry-0"), "GET", "/status"
            )
            assert json.loads(json.dumps(value)) == value
            assert sorted(value["members"]) == sorted(embedded.hosts)
            _, _, text = await embedded.client.call(
                embedded.admin_address("entry-0"), "GET", "/metrics"
            )
            assert b"coltsfootsail_kv_calls_total{" in text

    virtual(main)


def test_engine_that_moves_to_another_address_is_served(virtual, system):
    embedded = system("museum", engines=1)

    async def main():
        async with embedded.running():
            await _send_completion(embedded, "entry-0")
            engine_0 = embedded.engines["engine-0"]
            serve = embedded.net.network("moved").serve
            await embedded._nursery.start(serve, "moved:1", engine_0.serve)
            old = embedded.document().endpoints["engine-0"]
            new = dataclasses.replace(old, address="moved:1", batch=2)
            scenario = harness.Scenario(embedded, random.Random(1))
            await harness.set_entry(scenario, "endpoints", "engine-0", new)
            await trio.sleep(5.0)
            before = embedded.net.connects["moved:1"]
            status, answer = await _send_completion(embedded, "entry-0")
            assert status == 200, answer
            assert embedded.net.connects["moved:1"] > before

    virtual(main)


def test_isolated_node_refuses_requests_until_it_is_up_to_date(
    virtual, system
):
    embedded = system("museum")

    async def main():
        async with embedded.running():
            host = "entry-2"
            others = [name for name in embedded.hosts if name != host]
            for other in ("kv", "hosts", *others):
                embedded.net.cut(host, other)
            await trio.sleep(10.0)
            status, answer = await _send_completion(embedded, host)
            assert status == 503
            error = answer["error"]
            assert error["code"] == "stale_configuration"
            assert error["outcome"] == "not_run"
            _, route = await embedded.client.call_json(
                embedded.caller_address(host), "GET", "/v1/route"
            )
            assert embedded.caller_address(host) not in route["addresses"]
            embedded.net.heal()
            await trio.sleep(15.0)
            assert (await _send_completion(embedded, host))[0] == 200

    virtual(main)
