"""Today's build beside released ones: every caller is served.

The earliest commit is the first whose messages all later builds decode.
"""

import functools

import pytest
import trio

from tests.builds import fleet as fleets
from tests import gateways

TODAY = fleets.TODAY
COMMITS = ["8079aa1", "7eab665", "a1198f1", "6342f7f"]
LATEST = ["772602a", "7584d23", "c674b13"]  # with the records of today
CALLS_PER_S = 10.0
OLD_AND_NEW = pytest.mark.parametrize("commit", [*COMMITS, *LATEST])


async def _send_calls(fleet, duration_s, nodes=None):
    """Send calls of three kinds to nodes in turn.

    :param nodes: closure that lists the nodes to use, all by default.
    :returns: list of replies.
    """
    replies = []
    paths = ("/orders/9", "/stock/9", "/prints/1")

    async def send(number, node):
        path = paths[number % len(paths)]
        extra = {"adapter": f"base/a{number % 7}"}
        request_id = f"{path.split('/')[1]}-{trio.current_time():.2f}"
        try:
            reply = await fleet.call(
                path,
                node,
                request_id=request_id,
                **(extra if path.startswith("/prints") else {}),
            )
        except OSError as exc:
            replies.append((path, node, repr(exc)))
            return
        is_whole = reply.status == 200 and reply.whole
        replies.append((path, node, "" if is_whole else str(reply.status)))

    async with trio.open_nursery() as nursery:
        for number in range(int(duration_s * CALLS_PER_S)):
            names = nodes() if nodes else fleet.names
            nursery.start_soon(send, number, names[number % len(names)])
            await trio.sleep(1 / CALLS_PER_S)
    return replies


@pytest.fixture
def run_mix(monkeypatch):
    """Return a function that runs a scenario on a fleet of several builds.

    No message may be unreadable at any node, and all rules hold.
    """

    def run(scenario, builds, engines=2):
        async def check(fleet):
            await scenario(fleet)
            assert not fleet.unreadable
            fleets.check_turns(fleet)
            fleets.check_runs(fleet)

        gateways.run(
            check,
            make_fleet=functools.partial(_make_fleet, builds, monkeypatch),
            engines=engines,
        )

    return run


def _make_fleet(builds, monkeypatch, nursery, nodes, engines):
    return fleets.MixedFleet(nursery, builds, engines, monkeypatch)


def _failures(replies):
    return [each for each in replies if each[2]]


@OLD_AND_NEW
@pytest.mark.parametrize("new_nodes", [1, 2, 3])
def test_all_callers_are_served_by_a_mix_of_builds(run_mix, commit, new_nodes):
    async def scenario(fleet):
        replies = await _send_calls(fleet, 12.0)
        assert not _failures(replies)

    # The node whose name sorts first opens the links.
    builds = [TODAY] * new_nodes + [commit] * (4 - new_nodes)
    run_mix(scenario, builds)
    run_mix(scenario, builds[::-1])


@OLD_AND_NEW
@pytest.mark.parametrize("server", ["plain", "engine"])
def test_callers_are_served_while_a_server_names_a_limit(
    run_mix, commit, server
):
    async def scenario(fleet):
        plain, engine = fleet.shop_servers[0], fleet.engines[0]
        limited = plain if server == "plain" else engine
        await _send_calls(fleet, 2.0)
        limited.limit = "1"
        replies = await _send_calls(fleet, 10.0)
        limited.limit = None
        replies += await _send_calls(fleet, 4.0)
        assert len(_failures(replies)) <= 0.05 * len(replies)

    run_mix(scenario, [TODAY, commit, TODAY, commit])


@OLD_AND_NEW
def test_servers_that_leave_or_are_busy_beside_an_old_build(run_mix, commit):
    async def scenario(fleet):
        await _send_calls(fleet, 2.0)
        leaving = fleet.shop_servers[0]
        leaving.leaving = "1"
        await _send_calls(fleet, 4.0)
        since_s = trio.current_time()
        await _send_calls(
            fleet, 6.0, lambda: [n for n in fleet.names if n in ("g0", "g2")]
        )
        assert not [at for at in leaving.arrived_s if at > since_s]

    run_mix(scenario, [TODAY, commit, TODAY, commit])


@OLD_AND_NEW
def test_streams_of_two_software_versions_beside_an_old_build(run_mix, commit):
    async def scenario(fleet):
        fleet.engines[1].software = "v2"
        fleet.engines[1].register()
        await trio.sleep(3.0)
        replies = await _send_calls(fleet, 10.0)
        assert not _failures(replies)

    run_mix(scenario, [commit, TODAY, TODAY, commit])


async def roll_forth_and_back(fleet, commit):
    """Replace all nodes of a build by today's and back, under calls."""
    stopping = set()
    replies = []

    def serving():
        return [name for name in fleet.names if name not in stopping]

    async def replace_all(build):
        for name in fleet.names:
            stopping.add(name)
            await trio.sleep(0.5)
            await fleet.replace(name, build)
            await trio.sleep(2.0)
            stopping.discard(name)

    async def load():
        replies.extend(await _send_calls(fleet, 70.0, serving))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(load)
        await replace_all(TODAY)
        await replace_all(commit)
    assert len(_failures(replies)) <= 0.01 * len(replies)
    assert set(fleet.builds.values()) == {commit}


@OLD_AND_NEW
def test_nodes_are_replaced_one_by_one_and_back_again(run_mix, commit):
    async def scenario(fleet):
        await roll_forth_and_back(fleet, commit)

    run_mix(scenario, [commit] * 3)
