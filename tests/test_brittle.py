"""Servers that fall over when they have to turn too many requests away."""

import pytest
import trio

from tests import gateways

CONTACT_S = 3.0  # from when on servers are brittle
FALLS_MAX = 2  # of a service, beside a tenth of its servers
REFUSALS_PER_S = 3


def _capacity_per_s(servers, run_s):
    return sum(server.slots for server in servers) / run_s


async def _send_calls(fleet, path, calls_per_s, duration_s, replies):
    async def send(number):
        node = fleet.names[number % len(fleet.names)]
        fields = {"body": b"%d" % number}
        if path != "/stock/9" and path != "/orders/9":
            fields["adapter"] = f"base/a{number % 5}"
        begun_s = trio.current_time()
        request_id = f"r{begun_s}-{number}"
        reply = await fleet.call(path, node, request_id=request_id, **fields)
        replies.append((reply, trio.current_time() - begun_s))

    async with trio.open_nursery() as nursery:
        for number in range(int(duration_s * calls_per_s)):
            nursery.start_soon(send, number)
            await trio.sleep(1 / calls_per_s)


@pytest.mark.parametrize("overload", [0.5, 1.0, 2.0, 4.0])
@pytest.mark.parametrize("path", ["/stock/9", "/orders/9", "/notes/1"])
def test_brittle_servers_fall_over_under_load(path, overload):
    is_plain = path != "/notes/1"

    async def scenario(fleet):
        servers = fleet.shop_servers if is_plain else fleet.engines
        for server in servers:
            server.slots = 6 if is_plain else gateways.ENGINE["slots"]
            server.adapter_slots = 8
            server.work_s = 0.25
            server.events = 50
            server.crash = lambda server=server: fleet.crash(server)
        run_s = 0.25 if is_plain else server.events * server.event_s
        rate_per_s = overload * _capacity_per_s(servers, run_s)
        await _send_calls(fleet, path, rate_per_s, CONTACT_S, [])
        for server in servers:
            server.brittle = 10**6
        await _send_calls(fleet, path, rate_per_s, CONTACT_S, [])
        for server in servers:
            server.brittle = REFUSALS_PER_S
            server.full_s.clear()
        fleet.crashed_s.clear()
        replies = []
        await _send_calls(fleet, path, rate_per_s, 15.0, replies)
        assert len(fleet.crashed_s) <= FALLS_MAX + 0.1 * len(servers)
        served = sum(reply.status == 200 for reply, _ in replies)
        assert served >= 0.7 * min(1.0, 1.0 / overload) * len(replies)

    gateways.run(scenario, nodes=4)


def test_brittle_servers_that_change_their_granting_node_stay_up():
    async def scenario(fleet):
        for server in fleet.shop_servers:
            server.slots = 6
            server.work_s = 0.25
            server.brittle = REFUSALS_PER_S
            server.crash = lambda server=server: fleet.crash(server)
        for node in fleet.names:
            await fleet.call("/stock/9", node)
        await trio.sleep(1.0)
        fleet.crashed_s.clear()
        replies = []

        async def replace():
            for name in ("g1", "g2", "g3"):
                await trio.sleep(4.0)
                await fleet.start_gateway(name)

        names, fleet.names = fleet.names, ["g0"]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(replace)
            await _send_calls(fleet, "/stock/9", 60.0, 15.0, replies)
        fleet.names = names
        assert len(fleet.crashed_s) <= FALLS_MAX

    gateways.run(scenario, nodes=4)


@pytest.mark.parametrize("path", ["/stock/9", "/notes/1"])
def test_servers_that_are_brittle_no_more_are_used_as_before(path):
    async def scenario(fleet):
        servers = [*fleet.shop_servers, *fleet.engines]
        for server in servers:
            server.brittle = REFUSALS_PER_S
        await _send_calls(fleet, path, 12.0, 4.0, [])
        assert any(g.refusals.messages() for g in fleet.gateways.values())
        for server in servers:
            server.brittle = None
        await _send_calls(fleet, path, 12.0, 4.0, [])
        for gateway in fleet.gateways.values():
            for server in servers:
                assert not gateway.refusals.is_limited(server.name)

    gateways.run(scenario, nodes=4)


def test_node_without_brittle_answers_is_told_by_the_others():
    async def scenario(fleet):
        for server in fleet.shop_servers:
            server.brittle = REFUSALS_PER_S
        for number in range(6):
            await fleet.call("/stock/9", "g0", request_id=f"r{number}")
        await trio.sleep(0.1)
        for gateway in fleet.gateways.values():
            assert gateway.refusals.per_s("i-s0") == REFUSALS_PER_S
        await fleet.start_gateway("g2")
        await trio.sleep(3.0)
        assert fleet.gateways["g2"].refusals.is_limited("i-s0")

    gateways.run(scenario, nodes=3)
