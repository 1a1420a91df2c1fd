"""Retries of all nodes, over restarts, against the budget they share."""

import dataclasses
import itertools
import random

import pytest
import trio

from tests import gateways
from tests import retry_windows

CALLS_PER_S = 9.0


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Requests for one service, and which nodes are killed together.

    :param fields: of each request.
    :param killed: number of nodes killed at a time.
    :param pause_s: between two kills.
    """

    path: str
    fields: dict
    killed: int
    pause_s: float


CASES = {
    "shop": Case("/stock/1", {}, 3, 2.5),
    "engines": Case("/prints/1", {"adapter": "base/a1"}, 1, 0.45),
}


async def _call_until(fleet, case, until_s, requests_s):
    """Send requests to random nodes, whether or not they run."""
    rng = random.Random(7)

    async def call(number):
        try:
            await fleet.call(
                case.path,
                rng.choice(fleet.names),
                request_id=f"r{number}",
                **case.fields,
            )
        except (OSError, trio.BrokenResourceError):
            return  # the node is down

    async with trio.open_nursery() as nursery:
        while trio.current_time() < until_s:
            requests_s.append(trio.current_time())
            nursery.start_soon(call, len(requests_s))
            await trio.sleep(1 / CALLS_PER_S)


def _arrivals(servers):
    return [
        pair
        for server in servers
        for pair in zip(server.arrived_s, server.arrived_ids, strict=True)
    ]


async def _kill_in_turn(fleet, case, until_s):
    names = itertools.cycle(fleet.names)
    while trio.current_time() < until_s:
        await trio.sleep(case.pause_s)
        for name in itertools.islice(names, case.killed):
            await fleet.start_gateway(name)


@pytest.mark.parametrize("service", CASES)
def test_nodes_that_start_again_keep_to_the_budget_of_all(service):
    """Guards against a budget that begins anew with each process."""
    case = CASES[service]
    requests_s = []

    async def scenario(fleet):
        servers = {"shop": fleet.shop_servers, "engines": fleet.engines}
        await trio.sleep(20.0)
        for server in servers[service]:
            server.slots = 0
        until_s = trio.current_time() + 18.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_kill_in_turn, fleet, case, until_s)
            await _call_until(fleet, case, until_s, requests_s)
        retries_s = retry_windows.repeats(_arrivals(servers[service]))
        worst = retry_windows.worst_window(
            requests_s, retries_s, retry_windows.Bounds()
        )
        assert worst.retries <= worst.allowed, worst

    gateways.run(scenario, nodes=3)
