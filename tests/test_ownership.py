"""Ownership, handover, takeover and drains, in memory."""

import dataclasses
import json
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


def _owner_host(found, endpoint):
    """Read from the store who holds the claim on an endpoint."""
    raw = found.kv.value(_keys.claim(endpoint))
    return _records.loads(raw, _records.Claim).node if raw else None


async def _complete(found, host, model=MODEL, tokens=4, prompt="x"):
    value = {"model": model, "prompt": prompt, "max_tokens": tokens}
    try:
        return await found.client.call_json(
            found.caller_address(host),
            "POST",
            "/v1/completions",
            value,
            timeout_s=60.0,
            fresh=True,
        )
    except OSError as exc:
        return 0, str(exc)


def _engine_of(found, model):
    holders = [
        name
        for name, item in found.engines.items()
        if model in item.resident()
    ]
    return holders[0] if holders else None


@pytest.mark.parametrize("name", ["museum", "registry"])
def test_each_engine_gets_one_owner_and_shares_are_bounded(
    virtual, system, name
):
    found = system(name)

    async def main():
        async with found.running():
            owners = [_owner_host(found, item) for item in found.engines]
            assert None not in owners
            limit = _ownership.share_max(len(owners), len(found.hosts))
            assert max(owners.count(host) for host in owners) <= limit

    virtual(main)


def test_a_killed_owner_is_replaced_and_requests_go_on(virtual, system):
    found = system("registry")
    model = "deed-urdu-0001@v2"

    async def main():
        async with found.running():
            await _complete(found, "entry-0", model)
            name = _engine_of(found, model)
            host = _owner_host(found, name)
            found.kill(host)
            found.net.break_host(host)
            await trio.sleep(found.settings(host).lease.ttl_s + 8.0)
            successor = _owner_host(found, name)
            assert successor not in (None, host)
            other = next(h for h in found.live() if h != successor)
            status, _ = await _complete(found, other, model)
            assert status == 200

    virtual(main)


def test_what_a_silent_owner_may_use_stays_pinned(virtual, system):
    found = system("museum", engine_slots=3)

    async def main():
        async with found.running():
            await _complete(found, "entry-0")
            name = _engine_of(found, MODEL)
            host = _owner_host(found, name)
            found.net.pause(host)
            await trio.sleep(30.0)
            successor = found.nodes[_owner_host(found, name)]
            owner = successor.owners.get(name)
            slot = owner.scheduler.resident[MODEL]
            assert slot.adopted
            assert slot.pinned_until_s > trio.current_time() + 1000.0
            found.net.resume(host)
            await trio.sleep(10.0)
            assert slot.pinned_until_s <= trio.current_time()
            intent = successor.cluster.intent(name).record
            assert [item.node for item in intent.holders] == [
                successor.identity.node
            ]

    virtual(main)


def test_a_restarted_node_resolves_its_former_run(virtual, system):
    found = system("museum", engine_slots=3)

    async def main():
        async with found.running():
            await _complete(found, "entry-0")
            name = _engine_of(found, MODEL)
            host = _owner_host(found, name)
            await trio.sleep(3.0)
            found.kill(host)
            found.net.break_host(host)
            await trio.sleep(25.0)
            await found.start_node(host)
            await trio.sleep(45.0)
            successor = found.nodes[_owner_host(found, name)]
            slot = successor.owners.get(name).scheduler.resident[MODEL]
            assert slot.pinned_until_s <= trio.current_time()

    virtual(main)


def test_orders_that_may_be_outstanding_condemn_their_adapters(
    virtual, system
):
    """The engine ignores fencing and an eviction hangs in a pause."""
    found = system("museum", engine_slots=1, engines=1)

    async def main():
        async with found.running():
            await _complete(found, "entry-0")
            name = _engine_of(found, MODEL)
            host = _owner_host(found, name)
            key = _keys.intent(name)
            record = _records.Intent(
                (
                    _records.Holder(
                        host, found.nodes[host].incarnation, (MODEL,)
                    ),
                )
            )
            node = found.nodes[host]
            await node.ownership.record(
                name, node.ownership.fence(name), (MODEL,)
            )
            raw = found.kv.value(key)
            assert _records.loads(raw, _records.Intent) == record
            found.net.pause(host)
            await trio.sleep(30.0)
            successor = found.nodes[_owner_host(found, name)]
            slot = successor.owners.get(name).scheduler.resident[MODEL]
            assert slot.condemned
            other = next(h for h in found.live() if h != host)
            status, answer = await _complete(found, other)
            assert status != 200
            assert answer["error"]["outcome"] == "not_run"
            found.engines[name].crash()
            await trio.sleep(5.0)
            status, _ = await _complete(found, other)
            assert status == 200

    virtual(main)


def test_an_order_is_recorded_under_the_claim_only(virtual, system):
    found = system("museum", engines=1)

    async def main():
        async with found.running():
            name = "engine-0"
            host = _owner_host(found, name)
            node = found.nodes[host]
            fence = node.ownership.fence(name)
            found.kv.drop_lease_of(_keys.claim(name))
            with pytest.raises(Exception, match="own"):
                await node.ownership.record(name, fence, ("a@v1",))

    virtual(main)


def test_a_planned_stop_hands_over_and_cuts_nothing(virtual, system):
    found = system("registry")
    model = "deed-english-0001@v2"

    async def main():
        async with found.running():
            await _complete(found, "entry-0", model)
            name = _engine_of(found, model)
            host = _owner_host(found, name)
            results = []

            async def ask(start_s):
                await trio.sleep(start_s)
                results.append((await _complete(found, host, model, 100))[0])

            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(ask, 0.5 * number)
                await trio.sleep(1.0)
                await found.nodes[host].drain()
            assert results == [200] * 8
            await trio.sleep(1.0)
            assert host in found.down
            assert _owner_host(found, name) not in (None, host)

    virtual(main)


def test_a_draining_node_leaves_the_address_answers(virtual, system):
    found = system("museum")

    async def main():
        async with found.running():
            host = "entry-3"
            async with trio.open_nursery() as nursery:
                nursery.start_soon(found.nodes[host].drain)
                await trio.sleep(1.0)
                status, _ = await found.client.call_json(
                    found.caller_address(host), "GET", "/readyz"
                )
                assert status == 503
                for other in ("entry-0", "entry-5"):
                    _, route = await found.client.call_json(
                        found.caller_address(other), "GET", "/v1/route"
                    )
                    gone = found.caller_address(host)
                    assert gone not in route["addresses"]

    virtual(main)


def test_stale_caller_addresses_are_served_by_one_forward(virtual, system):
    found = system("museum")

    async def main():
        async with found.running():
            await _complete(found, "entry-0")
            name = _engine_of(found, MODEL)
            owner = _owner_host(found, name)
            other = next(h for h in found.hosts if h != owner)
            await trio.sleep(1.0)
            before = found.nodes[other].metrics.counter_total(
                "forwards", "owner"
            )
            status, _ = await _complete(found, other)
            after = found.nodes[other].metrics.counter_total(
                "forwards", "owner"
            )
            assert (status, after - before) == (200, 1)

    virtual(main)


def test_an_engine_that_hangs_on_a_load_does_not_hold_others_up(
    virtual, system
):
    found = system("museum")

    async def main():
        async with found.running():
            await _complete(found, "entry-0")
            name = _engine_of(found, MODEL)
            found.engines[name].fault = engine.EngineFault.LOAD_HANGS
            statuses = []

            async def ask(model):
                status, _ = await _complete(found, "entry-0", model)
                statuses.append(status)

            async with trio.open_nursery() as nursery:
                for number in range(2, 12):
                    nursery.start_soon(ask, f"gift-note-{number:04d}@v1")
            assert statuses.count(200) >= 7
            assert (await _complete(found, "entry-0"))[0] == 200

    virtual(main)


def test_a_caller_that_hangs_up_keeps_its_adapter_in_place(virtual, system):
    found = system("museum", engine_slots=1, engines=1)

    async def main():
        async with found.running():
            await _complete(found, "entry-0")
            with trio.move_on_after(0.5):
                await _complete(found, "entry-0", MODEL, 400, "long one")
            status, _ = await _complete(found, "entry-0", "caption-0001@v1")
            cut = [
                item.running
                for item in found.engines["engine-0"].evictions
                if item.running
            ]
            assert cut == []
            assert status in (200, 504)

    virtual(main)


def test_a_long_answer_in_one_piece_is_not_taken_for_silence(virtual, system):
    found = system("museum")

    async def main():
        async with found.running():
            limit_s = found.settings("entry-0").limits.silence_timeout_s
            tokens = int(2 * limit_s / 0.02)
            status, answer = await _complete(found, "entry-0", MODEL, tokens)
            assert status == 200, answer

    virtual(main)


def test_poison_is_refused_everywhere_after_two_crashes(virtual, system):
    found = system("museum")

    async def main():
        async with found.running():
            for item in found.engines.values():
                item.poison = ("poison",)
            answers = []
            for host in ("entry-0", "entry-4", "entry-8", "entry-1"):
                answers.append(
                    await _complete(found, host, MODEL, 4, "poison")
                )
                await trio.sleep(3.0)
            crashes = sum(
                item.incarnation - 1 for item in found.engines.values()
            )
            assert crashes == 2
            codes = [value["error"]["code"] for _, value in answers[1:]]
            assert codes == ["poisoned"] * 3
            host = "entry-4"
            found.kill(host)
            await found.start_node(host)
            await trio.sleep(3.0)
            _, value = await _complete(found, host, MODEL, 4, "poison")
            assert value["error"]["code"] == "poisoned"

    virtual(main)


def test_requests_that_ran_beside_poison_are_cleared(virtual, system):
    found = system("museum", engines=3)

    async def main():
        async with found.running():
            await _complete(found, "entry-0")
            for item in found.engines.values():
                item.poison = ("poison",)
            results = []

            async def ask(prompt):
                results.append(
                    await _complete(found, "entry-0", MODEL, 30, prompt)
                )

            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(ask, f"good {number}")
                await trio.sleep(0.1)
                nursery.start_soon(ask, "poison")
            await trio.sleep(5.0)
            for number in range(4):
                again = await _complete(
                    found, "entry-0", MODEL, 30, f"good {number}"
                )
                assert again[0] == 200

    virtual(main)


def test_an_hour_without_kv_serves_on_and_returns_gently(virtual, system):
    found = system("registry", engines=2, hosts=3)
    model = "deed-urdu-0001@v2"

    async def main():
        async with found.running():
            await _complete(found, "entry-0", model)
            fences = [
                (name, _owner_host(found, name)) for name in found.engines
            ]
            found.kv.set_fault(kv.KvFault.DOWN)
            for _ in range(12):
                await trio.sleep(300.0)
                status, _ = await _complete(found, "entry-1", model)
                assert status == 200
                status, answer = await found.client.call_json(
                    found.caller_address("entry-2"),
                    "POST",
                    "/counter/receipts",
                    {},
                    headers=[("idempotency-key", "k")],
                    timeout_s=30.0,
                )
                code = answer["error"]["code"]
                assert (status, code) == (503, "ledger_unavailable")
            now_s = int(trio.current_time())
            found.kv.set_fault(kv.KvFault.NONE)
            await trio.sleep(30.0)
            writes = max(
                count
                for second, count in found.kv.writes_by_second.items()
                if second >= now_s
            )
            per_node = 5
            assert writes <= per_node * len(found.hosts)
            owners = [name for name, _ in fences if _owner_host(found, name)]
            assert len(owners) == len(fences)
            status, _ = await _complete(found, "entry-1", model)
            assert status == 200

    virtual(main)


def test_a_node_that_starts_without_kv_learns_from_its_seeds(virtual, system):
    found = system("museum")
    change = found._change

    def seeded(settings):
        settings = change(settings)
        seeds = (found.addresses["entry-1/peer"],)
        node = dataclasses.replace(settings.node, seed_addresses=seeds)
        return dataclasses.replace(settings, node=node)

    async def main():
        hosts = list(found.hosts)[:-1]
        async with found.running(hosts):
            await _complete(found, "entry-0")
            found.kv.set_fault(kv.KvFault.DOWN)
            await trio.sleep(20.0)
            found._change = seeded
            node = await found.start_node("entry-8")
            await trio.sleep(12.0)
            assert node.stored.root.revision == 1
            status, answer = await _complete(found, "entry-8")
            assert status == 200, answer

    virtual(main)


def test_ranking_prefers_the_data_centre_and_leaves_out_the_full():
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
    ranked = _ownership.ranking("e", entry, members, {}, 9)
    assert set(ranked[:2]) == {"a", "b"}
    assert ranked[2] == "c"
    ranked = _ownership.ranking("e", entry, members, {"a": 9}, 9)
    assert ranked == ["b", "c"]


def test_rendezvous_moves_few_names_when_one_leaves():
    names = tuple(f"n{number}" for number in range(20))
    less = names[:-1]
    moved = 0
    for number in range(2000):
        before = _placement.homes(f"k{number}", names, 1)
        after = _placement.homes(f"k{number}", less, 1)
        if before != after:
            moved += 1
            assert before == (names[-1],)
    assert 50 <= moved <= 150


def test_a_one_way_loss_is_noticed_by_both_ends(virtual, system):
    found = system("museum")

    async def main():
        async with found.running():
            await trio.sleep(5.0)
            pair = ("entry-0", "entry-1")
            found.net.set_fault(*pair, network.LinkFault.SILENT)
            await trio.sleep(15.0)
            for this, other in (pair, pair[::-1]):
                assert other not in found.nodes[this].mesh.linked_nodes()
            found.net.heal()
            await trio.sleep(15.0)
            for this, other in (pair, pair[::-1]):
                assert other in found.nodes[this].mesh.linked_nodes()

    virtual(main)


def test_status_is_plain_json(virtual, system):
    found = system("museum")

    async def main():
        async with found.running():
            _, value = await found.client.call_json(
                found.admin_address("entry-0"), "GET", "/status"
            )
            assert json.loads(json.dumps(value)) == value
            assert sorted(value["members"]) == sorted(found.hosts)
            _, _, text = await found.client.call(
                found.admin_address("entry-0"), "GET", "/metrics"
            )
            assert b"coltsfootsail_kv_calls_total{" in text

    virtual(main)


def test_an_engine_that_moves_to_another_address_is_served(virtual, system):
    found = system("museum", engines=1)

    async def main():
        async with found.running():
            await _complete(found, "entry-0")
            engine_0 = found.engines["engine-0"]
            serve = found.net.network("moved").serve
            await found._nursery.start(serve, "moved:1", engine_0.serve)
            old = found.document().endpoints["engine-0"]
            new = dataclasses.replace(old, address="moved:1", batch=2)
            world = harness.World(found, random.Random(1))
            await harness.apply_entry(world, "endpoints", "engine-0", new)
            await trio.sleep(5.0)
            before = found.net.connects["moved:1"]
            status, answer = await _complete(found, "entry-0")
            assert status == 200, answer
            assert found.net.connects["moved:1"] > before

    virtual(main)


def test_a_node_that_is_cut_off_refuses_until_it_is_up_to_date(
    virtual, system
):
    found = system("museum")

    async def main():
        async with found.running():
            host = "entry-2"
            others = [name for name in found.hosts if name != host]
            for other in ("kv", "hosts", *others):
                found.net.cut(host, other)
            await trio.sleep(10.0)
            status, answer = await _complete(found, host)
            assert status == 503
            error = answer["error"]
            assert error["code"] == "stale_configuration"
            assert error["outcome"] == "not_run"
            _, route = await found.client.call_json(
                found.caller_address(host), "GET", "/v1/route"
            )
            assert found.caller_address(host) not in route["addresses"]
            found.net.heal()
            await trio.sleep(15.0)
            assert (await _complete(found, host))[0] == 200

    virtual(main)
