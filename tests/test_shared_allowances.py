"""What all nodes may do together, while all of them start again and again."""

import itertools

import pytest
import trio

from tests import gateways
from tests import test_quotas

DOWN_S = 0.5
LIMIT_PER_S = 1.0
LIMIT_WINDOW_S = 4.0
LIMIT_ALLOWED = 1.5 * LIMIT_PER_S * LIMIT_WINDOW_S + 5
QUOTA_PER_S = 5.0
QUOTA_BURST = 20.0
STORE_CALLS_PER_S = 400  # that write; reads may be five times as many


async def _restart_all(fleet, pause_s, count):
    for _ in range(count):
        await trio.sleep(pause_s)
        for name in fleet.names:
            fleet.scopes.pop(name).cancel()
            fleet.net.break_host(name)
        await trio.sleep(DOWN_S)
        for name in fleet.names:
            await fleet.start_gateway(name)


async def _call_all(fleet, until_s, calls_per_s, **fields):
    """Send requests to the nodes in turn, also while they are down.

    :returns: list of pairs of the time of a reply and its status.
    """
    replies = []

    async def call(number, node):
        try:
            reply = await fleet.call(
                "/stock/1", node, request_id=f"r{number}", **fields
            )
        except (OSError, trio.BrokenResourceError):
            return
        replies.append((trio.current_time(), reply.status))

    async with trio.open_nursery() as nursery:
        for number, node in enumerate(itertools.cycle(fleet.names)):
            if trio.current_time() >= until_s:
                break
            nursery.start_soon(call, number, node)
            await trio.sleep(1 / calls_per_s)
    return replies


def _most_within(times_s, window_s):
    return max(
        (
            sum(start_s <= at_s < start_s + window_s for at_s in times_s)
            for start_s in times_s
        ),
        default=0,
    )


def test_limit_of_a_server_holds_while_all_nodes_start_again():
    async def scenario(fleet):
        fleet.store.drop("servers/i-s1")
        fleet.shop_servers[0].limit = str(LIMIT_PER_S)
        await _call_all(fleet, trio.current_time() + 4.0, 3.0)
        begun_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_restart_all, fleet, 2.5, 5)
            await _call_all(fleet, begun_s + 16.0, 9.0)
        arrived_s = fleet.shop_servers[0].arrived_s
        late_s = [at_s for at_s in arrived_s if at_s >= begun_s]
        print("L", _most_within(late_s, LIMIT_WINDOW_S))
        assert _most_within(late_s, LIMIT_WINDOW_S) <= LIMIT_ALLOWED

    gateways.run(scenario, nodes=3)


@pytest.mark.usefixtures("_workspace_of_key")
@pytest.mark.parametrize("pause_s", [2.5, 6.0])
def test_quota_holds_while_all_nodes_start_again(pause_s):
    async def scenario(fleet):
        test_quotas._limit(fleet, 2, ratePerS=QUOTA_PER_S, burst=QUOTA_BURST)
        await trio.sleep(14.0)
        begun_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_restart_all, fleet, pause_s, 4)
            replies = await _call_all(
                fleet, begun_s + 26.0, 30.0, headers=[test_quotas.KEY]
            )
        served_s = [at_s for at_s, status in replies if status == 200]
        window_s = test_quotas.WINDOW_S
        allowed = 1.1 * (QUOTA_PER_S * window_s + QUOTA_BURST)
        print("Q", _most_within(served_s, window_s), allowed)
        assert 0 < _most_within(served_s, window_s) <= allowed

    gateways.run(scenario, nodes=3, make_fleet=test_quotas.QuotaFleet)


_workspace_of_key = test_quotas._workspace_of_key


@pytest.mark.parametrize("restarts", [0, 1])
def test_content_that_crashes_servers_is_refused_after_all_nodes_start_again(
    restarts,
):
    async def scenario(fleet):
        for server in fleet.shop_servers:
            server.answer = lambda req, server=server: _crash(fleet, server)
        for number in range(8):
            await fleet.call("/stock/1", request_id=f"a{number}")
            await trio.sleep(gateways.RESTART_S + 3.0)
        before = len(fleet.crashed_s)
        assert before <= 4
        await _restart_all(fleet, 0.0, restarts)
        await trio.sleep(8.0)
        await fleet.call("/stock/1", request_id="b")
        print("CR", before, len(fleet.crashed_s))
        assert len(fleet.crashed_s) == before

    gateways.run(scenario, nodes=3)


def _crash(fleet, server):
    fleet.crash(server)
    return trio.BrokenResourceError()


def test_calls_to_the_store_stay_few_while_all_nodes_start_again():
    async def scenario(fleet):
        calls = fleet.store.calls
        before = sum(calls.values())
        begun_s = trio.current_time()
        await _restart_all(fleet, 1.0, 10)
        spent = sum(calls.values()) - before
        print("S", spent)
        assert spent <= STORE_CALLS_PER_S * (trio.current_time() - begun_s) / 4

    gateways.run(scenario, nodes=9)
