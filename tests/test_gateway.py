"""The whole path through gateways, in memory and virtual time."""

import pytest
import trio

from coltsfootsail import _http
from coltsfootsail import _mesh
from coltsfootsail import _placement
from coltsfootsail import _view
from coltsfootsail import exceptions
from coltsfootsail.platform import messages
from coltsfootsail.standins import store as stores
from tests import gateways

EVENTS = [f"id: {n}\ndata: a7@1 {n}\n\n".encode() for n in range(5)]


def _home(fleet, adapter):
    """Find the engine that an adapter is placed on first."""
    addresses = tuple(sorted(engine.address for engine in fleet.engines))
    best = _placement.homes(adapter, addresses, 5)[0]
    return next(e for e in fleet.engines if e.address == best)


def _owner(fleet, engine):
    return next(
        name
        for name, gateway in fleet.gateways.items()
        if engine.name in gateway.claims.held
    )


def test_stream_loads_its_adapter_and_is_relayed_whole():
    async def scenario(fleet):
        reply = await fleet.call("/notes/1", adapter="base/a7")
        assert reply.status == 200 and reply.whole
        assert reply.body == b"".join(EVENTS)
        assert reply.headers[messages.STAMP]
        assert _home(fleet, "base/a7").runs[0].adapter == "a7"

    gateways.run(scenario)


def test_each_node_serves_through_the_owner_of_the_engine():
    async def scenario(fleet):
        for node in fleet.names:
            reply = await fleet.call("/notes/1", node, adapter="base/a7")
            assert reply.status == 200
        loads = [o for e in fleet.engines for _, o in e.orders]
        assert len(loads) == 1

    gateways.run(scenario, nodes=3)


def test_plain_request_is_forwarded_once_and_unchanged():
    async def scenario(fleet):
        reply = await fleet.call("/orders/9", body=b"order 9")
        assert (reply.status, reply.body) == (200, b"done:order 9")
        runs = [run for shop in fleet.shops for run in shop.runs]
        assert [run.request_id for run in runs] == ["r1"]
        sent = dict(runs[0].headers)
        assert int(sent[messages.DEADLINE]) <= 3000

    gateways.run(scenario)


def test_reserved_headers_of_callers_are_dropped():
    traps = [
        ("coltsfootsail-hold", "h1"),
        ("coltsfootsail-pin-ms", "9"),
        ("coltsfootsail-kv-backup", "1.2.3.4:5"),
        ("kv-from", "1.2.3.4:5/6"),
        ("coltsfootsail-request-priority", "0"),
    ]

    async def scenario(fleet):
        await fleet.call("/notes/1", adapter="base/a7", headers=traps)
        run = _home(fleet, "base/a7").runs[0]
        names = {name for name, _ in run.headers}
        assert not names & {name for name, _ in traps[:4]}
        assert dict(run.headers)[messages.PRIORITY] == "1"

    gateways.run(scenario)


def test_mutating_request_is_not_repeated_after_a_lost_answer():
    async def scenario(fleet):
        for shop in fleet.shops:
            shop.answer = lambda req: trio.BrokenResourceError()
        reply = await fleet.call("/orders/9")
        assert reply.status in (502, 504)
        assert sum(len(shop.runs) for shop in fleet.shops) == 1

    gateways.run(scenario)


def test_idempotent_request_is_repeated_once_elsewhere():
    async def scenario(fleet):
        fleet.shops[0].answer = lambda req: trio.BrokenResourceError()
        for number in range(6):
            reply = await fleet.call("/stock/9", request_id=f"r{number}")
            assert reply.status == 200
        assert fleet.shops[0].runs

    gateways.run(scenario)


def test_refused_mutating_request_is_told_that_it_was_not_run():
    async def scenario(fleet):
        for shop in fleet.shops:
            shop.refuse = True
        reply = await fleet.call("/orders/9")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) >= 0
        assert not any(shop.runs for shop in fleet.shops)

    gateways.run(scenario)


def test_server_503_without_a_statement_is_no_promise():
    async def scenario(fleet):
        for shop in fleet.shops:
            shop.answer = lambda req: 503
        reply = await fleet.call("/orders/9")
        assert reply.status == 502
        assert messages.STAMP not in reply.headers

    gateways.run(scenario)


def test_unknown_route_is_refused_only_with_a_configuration():
    async def scenario(fleet):
        assert (await fleet.call("/nowhere/1")).status == 404
        fleet.store.faults["store-g9:1"] = stores.StoreFault.DOWN
        for name in ("g0", "g1", "g2"):
            fleet.net.cut("g9", name)
        await fleet.start_gateway("g9")
        assert (await fleet.call("/nowhere/1", "g9")).status == 503

    gateways.run(scenario)


def test_configuration_is_in_force_within_its_bound():
    async def scenario(fleet):
        extra = gateways.route("/added/", "idempotent", "shop")
        fleet.register_shop(0)
        await trio.sleep(0.1)
        fleet.store.put("op/config", gateways.configuration(5, [extra]))
        await trio.sleep(1.9)
        for node in fleet.names:
            assert (await fleet.call("/added/1", node)).status == 200

    gateways.run(scenario)


def test_older_configuration_never_comes_back():
    async def scenario(fleet):
        extra = gateways.route("/added/", "idempotent", "shop")
        fleet.store.put("op/config", gateways.configuration(5, [extra]))
        await trio.sleep(1.0)
        fleet.store.put("op/config", gateways.configuration(3))
        await trio.sleep(2.0)
        assert (await fleet.call("/added/1")).status == 200

    gateways.run(scenario)


def test_node_without_the_store_gets_configuration_from_a_peer():
    async def scenario(fleet):
        fleet.store.faults["store-g0:1"] = stores.StoreFault.SILENT
        await trio.sleep(4.0)
        extra = gateways.route("/added/", "idempotent", "shop")
        fleet.store.put("op/config", gateways.configuration(5, [extra]))
        await trio.sleep(4.0)
        assert (await fleet.call("/added/1", "g0")).status == 200

    gateways.run(scenario)


def test_leaving_server_gets_nothing_after_two_seconds():
    async def scenario(fleet):
        fleet.register_shop(0, "draining")
        await trio.sleep(1.5)
        before = fleet.shops[0].arrivals
        for number in range(8):
            await fleet.call("/orders/9", request_id=f"r{number}")
        assert fleet.shops[0].arrivals == before
        found = fleet.gateways["g0"].view.takers("shop")
        assert [server.name for server in found] == ["i-s1"]

    gateways.run(scenario)


def test_request_that_waits_for_a_start_is_not_sent_to_a_leaving_engine():
    """A start may be granted long after the engine was chosen."""

    async def scenario(fleet):
        home = _home(fleet, "base/a7")
        home.load_s = 60.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_call_a7, fleet)
            await trio.sleep(0.5)
            home.draining = True
            home.register()
            home.adapters["a7"] = 1
        assert not home.runs

    gateways.run(scenario)


async def _call_a7(fleet):
    await fleet.call("/notes/1", adapter="base/a7")


def test_unreadable_server_entry_names_nothing_and_harms_no_other():
    async def scenario(fleet):
        fleet.store.put("servers/i-x1", b"\xff\x00")
        fleet.store.put("servers/i-x2", {"service": 7})
        fleet.store.put(
            "servers/i-x3",
            {"service": "shop", "addr": "s0:80", "state": "odd"},
        )
        await trio.sleep(1.5)
        assert (await fleet.call("/orders/9")).status == 200
        view = fleet.gateways["g0"].view
        assert set(view.servers) == {"i-e0", "i-e1", "i-s0", "i-s1"}

    gateways.run(scenario)


def test_caller_that_leaves_stops_the_servers_work():
    async def scenario(fleet):
        home = _home(fleet, "base/a7")
        home.event_s = 60.0
        with trio.move_on_after(2.0):
            await fleet.call("/notes/1", adapter="base/a7")
        assert home.runs
        await trio.sleep(0.5)
        assert fleet.gateways["g0"].serving.active == 0

    gateways.run(scenario)


def test_truncated_stream_never_looks_whole():
    async def scenario(fleet):
        home = _home(fleet, "base/a7")
        home.cut_after = 2
        reply = await fleet.call("/notes/1", adapter="base/a7")
        assert not reply.whole
        assert reply.body == b"".join(EVENTS[:3])

    gateways.run(scenario)


def test_resumable_stream_goes_on_at_another_engine():
    async def scenario(fleet):
        home = _home(fleet, "base/a7")
        home.cut_after = 2
        reply = await fleet.call("/prints/1", adapter="base/a7")
        assert reply.whole
        assert reply.body == b"".join(EVENTS)
        other = next(e for e in fleet.engines if e is not home)
        assert dict(other.runs[0].headers)[messages.LAST_EVENT] == "2"

    gateways.run(scenario)


def test_answer_is_due_at_the_routes_time():
    async def scenario(fleet):
        for shop in fleet.shops:
            shop.work_s = 60.0
        begun_s = trio.current_time()
        reply = await fleet.call("/orders/9", deadline_ms=9000)
        assert reply.status == 504
        assert trio.current_time() - begun_s == pytest.approx(3.0, abs=0.2)

    gateways.run(scenario)


def test_new_version_of_an_adapter_replaces_the_old_one():
    async def scenario(fleet):
        await fleet.call("/notes/1", adapter="base/a7")
        for engine in fleet.engines:
            engine.versions["a7"] = 4
        fleet.store.put(
            "op/version/base.a7",
            {"model": "base", "adapter": "a7", "version": 4},
        )
        await trio.sleep(2.0)
        reply = await fleet.call("/notes/1", adapter="base/a7")
        assert b"a7@4" in reply.body and b"a7@1" not in reply.body

    gateways.run(scenario)


def test_restarted_engine_gets_its_base_model_before_adapters():
    async def scenario(fleet):
        for engine in fleet.engines:
            engine.models.clear()
            engine.adapters.clear()
            engine.sequence = 0
            fleet.store.drop(f"servers/{engine.name}")
            engine.name += "b"
            engine.register()
        await trio.sleep(4.0)
        for engine in fleet.engines:
            engine.register()
        await trio.sleep(1.5)
        reply = await fleet.call("/notes/1", adapter="base/a7")
        assert reply.status == 200
        first = [engine.orders[0][1] for engine in fleet.engines]
        assert all("adapter" not in order for order in first)

    gateways.run(scenario)


def test_engine_is_never_ordered_over_its_places():
    async def scenario(fleet):
        async def one(number):
            await fleet.call(
                "/notes/1",
                fleet.names[number % 2],
                adapter=f"base/a{number % 12}",
                request_id=f"r{number}",
            )

        async with trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(one, number)
                await trio.sleep(0.1)
        assert not any(engine.crashed for engine in fleet.engines)

    gateways.run(scenario)


def test_every_order_names_the_count_the_fence_and_the_server():
    async def scenario(fleet):
        for number in range(8):
            await fleet.call("/notes/1", adapter=f"base/a{number}")
        orders = [o for e in fleet.engines for _, o in e.orders]
        assert orders
        for order in orders:
            assert order["fence"] > 0 and order["expected"] >= 0
            assert order["holder"] in fleet.names

    gateways.run(scenario)


def test_killed_owner_takes_its_claims_back_at_once():
    async def scenario(fleet):
        engine = fleet.engines[0]
        owner = _owner(fleet, engine)
        fence = fleet.gateways[owner].claims.held[engine.name].fence
        await fleet.start_gateway(owner)
        await trio.sleep(2.0)
        held = fleet.gateways[owner].claims.held[engine.name]
        assert held.fence > fence
        assert fleet.gateways[owner].claims.may_order(engine.name)

    gateways.run(scenario)


def test_successor_orders_only_after_the_former_owners_word_or_proof():
    async def scenario(fleet):
        engine = _home(fleet, "base/a7")
        await fleet.call("/notes/1", adapter="base/a7")
        owner = _owner(fleet, engine)
        last_s = max(at for at, _ in engine.orders)
        await fleet.gateways[owner].claims.release()
        fleet.gateways[owner].draining = True
        await fleet.gateways[owner]._publish()
        other = next(name for name in fleet.names if name != owner)

        async def one(number):
            adapter = f"base/a{number}"
            await fleet.call("/notes/1", other, adapter=adapter)

        async with trio.open_nursery() as nursery:
            for number in range(20, 44):
                nursery.start_soon(one, number)
                await trio.sleep(0.25)
        assert _owner(fleet, engine) != owner
        later = [at for at, order in engine.orders if at > last_s]
        assert later and min(later) - last_s >= 3.0

    gateways.run(scenario, nodes=3)


def test_node_cut_from_the_store_stops_ordering_in_time():
    async def scenario(fleet):
        engine = fleet.engines[0]
        owner = _owner(fleet, engine)
        fleet.store.faults[f"store-{owner}:1"] = stores.StoreFault.SILENT
        await trio.sleep(6.5)
        assert not fleet.gateways[owner].claims.may_order(engine.name)

    gateways.run(scenario)


def test_held_adapter_is_served_while_its_owner_is_silent():
    async def scenario(fleet):
        await fleet.call("/notes/1", adapter="base/a7")
        home = _home(fleet, "base/a7")
        home.register()
        await trio.sleep(1.0)
        owner = _owner(fleet, home)
        other = next(name for name in fleet.names if name != owner)
        fleet.net.pause(owner)
        await trio.sleep(2.0)
        reply = await fleet.call("/notes/1", other, adapter="base/a7")
        assert reply.status == 200 and reply.whole

    gateways.run(scenario)


def test_planned_stop_cuts_off_nothing_and_sends_callers_elsewhere():
    async def scenario(fleet):
        replies = []

        async def stream():
            replies.append(await fleet.call("/notes/1", adapter="base/a7"))

        for engine in fleet.engines:
            engine.events, engine.event_s = 60, 0.05
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream)
            await trio.sleep(1.0)
            nursery.start_soon(fleet.gateways["g0"].drain)
            await trio.sleep(1.0)
            assert await fleet.resolve("g1") == ["g1:80"]
            late = await fleet.call("/orders/9", "g0")
            assert late.status == 200
            assert late.headers["connection"] == "close"
        assert replies[0].whole

    gateways.run(scenario)


@pytest.mark.parametrize(
    ("outage_s", "read_s"),
    [(1.0, 2.0), (_view.OUTAGE_S, 2.0 + _view.RETURN_S)],
)
@pytest.mark.parametrize("seed", range(6))
def test_store_that_dropped_its_history_is_read_again(outage_s, read_s, seed):
    """After a long silence an entry that is missing is waited for."""

    async def scenario(fleet):
        fleet.store.faults["store-g0:1"] = stores.StoreFault.DOWN
        fleet.register_shop(0, "draining")
        fleet.store.drop("servers/i-s0")
        fleet.store.forget_history()
        await trio.sleep(outage_s)
        fleet.store.faults.clear()
        await trio.sleep(read_s)
        assert "i-s0" not in fleet.gateways["g0"].view.servers

    gateways.run(scenario, seed=seed)


async def _only_odd_server(fleet, handler):
    """Put one server in the place of all others of the shop."""
    await fleet.listen("odd:80", handler)
    for number in (0, 1):
        fleet.store.drop(f"servers/i-s{number}")
    fleet.store.put(
        "servers/i-odd",
        {"service": "shop", "addr": "odd:80", "state": "ready"},
    )
    await trio.sleep(1.5)


def _answer(body, request_id=b""):
    echo = messages.REQUEST_ID.encode() + b": " + request_id + b"\r\n"
    return (
        b"HTTP/1.1 200 OK\r\ncoltsfootsail-server-stamp: s\r\n"
        + (echo if request_id else b"")
        + b"content-length: 2\r\n\r\n"
        + body
    )


@pytest.mark.parametrize("other", [b"other", b""])
def test_answer_that_is_not_this_requests_is_dropped(other):
    """A server may send an extra answer where the next one is due."""

    async def extra(stream):
        await stream.receive_some(65536)
        await stream.send_all(_answer(b"no", other))
        await stream.send_all(_answer(b"ok", b"r1"))
        await trio.sleep(1.0)

    async def scenario(fleet):
        await _only_odd_server(fleet, extra)
        reply = await fleet.call("/orders/9")
        assert (reply.status, reply.body) == (200, b"ok")

    gateways.run(scenario)


def test_request_that_crashes_servers_is_refused_on_every_node():
    async def scenario(fleet):
        async def crash(number):
            fleet.scopes[f"s{number}"].cancel()
            await trio.lowlevel.checkpoint()

        def answer(number):
            def fail(req):
                if req.body != b"bad":
                    return 200
                fleet.nursery.start_soon(crash, number)
                return trio.BrokenResourceError()

            return fail

        for number, shop in enumerate(fleet.shops):
            shop.answer = answer(number)
        for attempt in range(3):
            for number in range(2):
                await fleet.restart_shop(number)
            await fleet.call("/orders/9", fleet.names[attempt % 2], b"bad")
            await trio.sleep(3.0)
        for number in range(2):
            await fleet.restart_shop(number)
        before = sum(shop.arrivals for shop in fleet.shops)
        for node in fleet.names:
            reply = await fleet.call("/orders/9", node, b"bad")
            assert reply.status == 422
            assert (await fleet.call("/orders/9", node)).status == 200
        assert sum(s.arrivals for s in fleet.shops) == before + 2

    gateways.run(scenario)


def test_innocent_request_that_ran_during_a_crash_is_cleared():
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        gateway.strikes.note("c1", 2)
        gateway.peers.absolve("c1")
        assert not gateway.strikes.count("c1")

    gateways.run(scenario)


def test_extra_answer_in_the_same_read_ends_the_connection():
    connections = []

    async def extra(stream):
        connections.append(stream)
        while await stream.receive_some(65536):
            ids = b"r%d" % len(connections)
            await stream.send_all(_answer(b"ok", ids) + _answer(b"no"))

    async def scenario(fleet):
        await _only_odd_server(fleet, extra)
        for number in (1, 2):
            reply = await fleet.call("/orders/9", request_id=f"r{number}")
            assert (reply.status, reply.body) == (200, b"ok")
        assert len(connections) == 2

    gateways.run(scenario)


def test_fault_in_the_code_costs_one_connection_only():
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        choose, gateway.balance.choose = gateway.balance.choose, None
        reply = await fleet.call("/orders/9")
        assert not reply.whole
        gateway.balance.choose = choose
        assert (await fleet.call("/orders/9")).status == 200

    gateways.run(scenario)


def test_fault_in_an_orderer_starts_it_anew():
    async def scenario(fleet):
        engine = _home(fleet, "base/a7")
        gateway = fleet.gateways[_owner(fleet, engine)]
        gateway.owned.orderers[engine.name].book.plan = None
        await fleet.call("/notes/1", adapter="base/a7")
        await trio.sleep(3.0)
        reply = await fleet.call("/notes/1", adapter="base/a8")
        assert reply.status == 200

    gateways.run(scenario)


def test_requests_are_held_while_all_nodes_start():
    async def scenario(fleet):
        await fleet.call("/notes/1", adapter="base/a7")
        for name in fleet.names:
            await fleet.start_gateway(name)
        replies = []

        async def one(node):
            reply = await fleet.call("/notes/1", node, adapter="base/a7")
            replies.append(reply.status)

        async with trio.open_nursery() as nursery:
            for node in fleet.names:
                nursery.start_soon(one, node)
        assert replies == [200, 200, 200]

    gateways.run(scenario, nodes=3)


def test_node_that_starts_without_the_store_learns_from_a_seed():
    async def scenario(fleet):
        await fleet.call("/notes/1", adapter="base/a7")
        fleet.store.faults["store-g1:1"] = stores.StoreFault.SILENT
        await fleet.start_gateway("g1")
        await trio.sleep(1.0)
        assert fleet.gateways["g1"].readiness() == "ready"
        assert (await fleet.call("/orders/9", "g1")).status == 200
        reply = await fleet.call("/notes/1", "g1", adapter="base/a7")
        assert reply.status == 200
        fleet.store.faults.clear()
        fleet.store.drop("servers/i-s0")
        await trio.sleep(5.0)
        assert "i-s0" not in fleet.gateways["g1"].view.servers

    gateways.run(scenario)


def test_request_that_could_not_end_before_the_stop_is_refused():
    """Of 8 s of grace, requests are taken for 2 s."""

    async def scenario(fleet):
        for engine in fleet.engines:
            engine.events, engine.event_s = 100, 0.05
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_call_a7, fleet)
            await trio.sleep(0.5)
            nursery.start_soon(fleet.gateways["g0"].drain)
            await trio.sleep(1.9)
            assert (await fleet.call("/orders/9")).status == 200
            await trio.sleep(0.15)
            reply = await fleet.call("/orders/9")
            assert reply.status == 503
            assert float(reply.headers["retry-after"]) == 0.0
            assert reply.headers["connection"] == "close"

    gateways.run(scenario)


def test_successor_asks_again_when_the_former_owner_is_back():
    async def scenario(fleet):
        engine = fleet.engines[0]
        owner = _owner(fleet, engine)
        fleet.scopes[owner].cancel()
        fleet.gateways[owner].claims.held.clear()
        for _ in fleet.engines:
            fleet.store.drop(
                fleet.store.keys("/coltsfootsail/state/claims")[0]
            )
        fleet.store.drop(f"/coltsfootsail/state/members/{owner}")
        await trio.sleep(3.0)
        await fleet.start_gateway(owner)
        await trio.sleep(4.5)
        other = _owner(fleet, engine)
        assert other != owner
        assert fleet.gateways[other].claims.may_order(engine.name)

    gateways.run(scenario, nodes=3)


def test_stream_that_breaks_after_its_objective_is_resumed():
    async def scenario(fleet):
        home = _home(fleet, "base/a7")
        for engine in fleet.engines:
            engine.event_s = 0.3
        home.cut_after = 3
        reply = await fleet.call("/prints/1", adapter="base/a7")
        assert reply.whole
        assert reply.body == b"".join(EVENTS)

    gateways.run(scenario)


def test_retry_budget_counts_nodes_whose_registration_vanished():
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        before = gateway._node_count()
        for key in fleet.store.keys("/coltsfootsail/state/members"):
            fleet.store.drop(key)
        fleet.net.cut("g0", "g1")
        fleet.net.cut("g0", "g2")
        await trio.sleep(4.0)
        assert gateway._node_count() >= before >= 6

    gateways.run(scenario, nodes=3)


def test_records_of_servers_that_are_gone_are_removed_after_a_while():
    async def scenario(fleet):
        key = "/coltsfootsail/state/intents/i-e0"
        fleet.store.drop("servers/i-e0")
        await trio.sleep(40.0)
        assert key in fleet.store.keys("/coltsfootsail/state/intents")
        await trio.sleep(80.0)
        assert key not in fleet.store.keys("/coltsfootsail/state/intents")
        assert len(fleet.store.keys("/coltsfootsail/state/intents")) == 1

    gateways.run(scenario)


def test_broken_stream_waits_for_an_engine_that_comes_back():
    async def scenario(fleet):
        home = _home(fleet, "base/a7")
        other = next(e for e in fleet.engines if e is not home)
        for engine in fleet.engines:
            engine.event_s = 0.3
        home.cut_after = 2
        for gateway in fleet.gateways.values():
            orderer = gateway.owned.orderers.get(other.name)
            if orderer is not None:
                orderer._down_until_s = trio.current_time() + 1.9
        reply = await fleet.call("/prints/1", adapter="base/a7")
        assert reply.whole

    gateways.run(scenario)


def test_entries_that_expired_in_an_outage_are_waited_for():
    """Servers write theirs again within about two seconds of its end."""

    async def scenario(fleet):
        doors = [f"store-{name}:1" for name in fleet.names]
        fleet.store.faults = dict.fromkeys(doors, stores.StoreFault.SILENT)
        await trio.sleep(5.0)
        for number in (0, 1):
            fleet.store.drop(f"servers/i-s{number}")
        fleet.store.faults.clear()
        back_s = trio.current_time()
        view = fleet.gateways["g0"].view
        while view.heard_s < back_s:
            await trio.sleep(0.05)
        await trio.sleep(0.5)
        assert (await fleet.call("/orders/9")).status == 200
        fleet.register_shop(0)
        await trio.sleep(3.0)
        assert "i-s0" in fleet.gateways["g0"].view.servers
        assert "i-s1" not in fleet.gateways["g0"].view.servers

    gateways.run(scenario)


def test_entry_that_goes_without_an_outage_is_gone_at_once():
    async def scenario(fleet):
        fleet.store.drop("servers/i-s1")
        await trio.sleep(1.0)
        assert "i-s1" not in fleet.gateways["g0"].view.servers

    gateways.run(scenario)


def test_send_to_a_server_that_began_to_leave_is_refused():
    """The last look before each send, whatever came before it."""

    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        server = gateway.view.takers("shop")[0]
        headers = (("host", gateways.HOST), (messages.REQUEST_ID, "r1"))
        req = _http.HttpRequest("POST", "/orders/9", headers, b"x")
        call = gateway.serving._match(req, messages.meta(req))
        gateway.serving._sender.check(call, server)
        fleet.register_shop(int(server.name[-1]), "draining")
        await trio.sleep(1.5)
        with pytest.raises(exceptions.EndpointLeaving):
            gateway.serving._sender.check(call, server)

    gateways.run(scenario)


def test_servers_are_never_sent_more_connections_than_they_accept():
    async def scenario(fleet):
        services = [
            {"name": "engines", "maxConns": 370, "engine": gateways.ENGINE},
            {"name": "shop", "maxConns": 22},
        ]
        raw = {**gateways.configuration(2), "services": services}
        fleet.store.put("op/config", raw)
        await trio.sleep(2.5)
        for shop in fleet.shops:
            shop.connections_max = 22
            shop.work_s = 0.4
        replies = []

        async def call(number):
            node = fleet.names[number % 2]
            name = f"r{number}"
            replies.append(
                await fleet.call("/orders/1", node, request_id=name)
            )

        async with trio.open_nursery() as nursery:
            for number in range(60):
                nursery.start_soon(call, number)
        assert not any(shop.resets for shop in fleet.shops)
        assert {reply.status for reply in replies} == {200, 503}
        runs = sum(len(shop.runs) for shop in fleet.shops)
        done = sum(reply.status == 200 for reply in replies)
        assert runs == done >= 12

    gateways.run(scenario)


def test_status_and_metrics_tell_what_the_node_did():
    async def scenario(fleet):
        for number in range(3):
            name = f"r{number}"
            await fleet.call("/notes/1", adapter="base/a7", request_id=name)
        await fleet.call("/orders/1")
        client = fleet.gateways["g0"].upstream._client
        _, value = await client.call_json("g0:82", "GET", "/status")
        assert (value["state"], value["revision"]) == ("ready", 1)
        assert sorted(value["members"]) == fleet.names
        assert value["counters"]["requests"] == {"answered": 4}
        assert value["gauges"]["servers"] == {"engines": 2, "shop": 2}
        assert value["gauges"]["lease_left_seconds"][""] > 3.0
        assert value["quantiles"]["first_event_seconds"] <= 1.0
        _, _, text = await client.call("g0:82", "GET", "/metrics")
        label = b'{reason="answered",route="rnotes",service="engines"}'
        assert b"coltsfootsail_requests_total" + label + b" 3.0" in text
        for name in ("queue", "grant", "load", "first_event", "whole"):
            row = b"coltsfootsail_%s_seconds_count" % name.encode()
            assert row in text

    gateways.run(scenario, nodes=1)


def test_node_that_wakes_is_not_ready_before_its_lease_is_proved():
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        asleep_s = [0.0]
        now = gateway.lease._now
        gateway.lease._now = lambda: now() + asleep_s[0]
        asleep_s[0] = 30.0
        assert gateway.readiness() == "no_lease"
        assert not any(map(gateway.claims.may_order, gateway.claims.held))
        await trio.sleep(2.5)
        assert gateway.readiness() == "ready"

    gateways.run(scenario)


@pytest.mark.parametrize(
    "fault",
    [
        stores.StoreFault.DOWN,
        stores.StoreFault.SILENT,
        stores.StoreFault.LOST_REPLY,
    ],
)
def test_node_without_the_store_stays_ready_when_its_lease_has_lapsed(fault):
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        fleet.store.faults["store-g0:1"] = fault
        for _ in range(100):
            await trio.sleep(0.1)
            assert gateway.readiness() == "ready"
        assert not gateway.lease.valid()

    gateways.run(scenario)


@pytest.mark.parametrize("beat_s", [0.5, _mesh.HEARTBEAT_MAX_S])
def test_owners_grant_every_start_however_rare_heartbeats_are(
    beat_s, monkeypatch
):
    """Nodes with many links beat rarely; owners must not seem silent."""
    monkeypatch.setattr(_mesh, "HEARTBEAT_MIN_S", beat_s)

    async def scenario(fleet):
        engine = _home(fleet, "base/a7")
        owner = _owner(fleet, engine)
        other = next(name for name in fleet.names if name != owner)
        links = fleet.gateways[other].metrics
        await fleet.call("/notes/1", other, adapter="base/a7")
        up = links.counter_total("peer_links", "up")
        for number in range(40):
            await trio.sleep(1.3)
            reply = await fleet.call(
                "/notes/1", other, adapter="base/a7", request_id=f"q{number}"
            )
            assert reply.status == 200
        orderers = [
            orderer
            for gateway in fleet.gateways.values()
            for orderer in gateway.owned.orderers.values()
        ]
        assert sum(next(each._numbers) - 1 for each in orderers) == 41
        assert links.counter_total("peer_links", "up") == up

    gateways.run(scenario)


def test_slow_engine_is_not_given_up_when_no_attempt_is_left():
    async def scenario(fleet):
        extra = [
            gateways.route(
                "/deeds/",
                "streaming",
                "engines",
                resumable=True,
                timeoutMs=20000,
            )
        ]
        fleet.store.put("op/config", gateways.configuration(2, extra))
        await trio.sleep(2.5)
        first = _home(fleet, "base/a7")
        first.cut_after = 1
        second = next(e for e in fleet.engines if e is not first)
        second.event_s = 2.5
        reply = await fleet.call(
            "/deeds/1", adapter="base/a7", deadline_ms=20000
        )
        assert reply.whole and reply.body == b"".join(EVENTS)
        assert len(second.runs) == 1

    gateways.run(scenario)


def test_callers_address_page_tells_nothing_else():
    async def scenario(fleet):
        client = fleet.gateways["g0"].upstream._client
        for path in ("/metrics", "/status"):
            inside, _, _ = await client.call("g0:82", "GET", path)
            outside, _, _ = await client.call("g0:83", "GET", path)
            assert (inside, outside) == (200, 404)
        assert await fleet.resolve() == ["g0:80"]

    gateways.run(scenario, nodes=1)
