"""Requests that crash the servers that run them."""

import functools
import logging
import random

import pytest
import trio

from coltsfootsail import _keys
from coltsfootsail.platform import messages
from coltsfootsail.standins import network as memory
from tests import gateways

CALLS_PER_S = 12
BAD_SHARE = 0.2
CONTACT_S = 3.0  # after which a node knows what others have seen
CRASHES_MAX = 5  # under one part, before it must be kept from servers
LATE_SENDS_MAX = 3  # of requests with that part, after ``CONTACT_S`` more
SERVED_SHARE_MIN = 0.5  # of sound requests, against those of a calm time


def _set_crashing_part(fleet, servers, part):
    for server in servers:
        server.crash_parts = frozenset({part})
        server.crash = lambda server=server: fleet.crash(server)


def _records(caplog, event):
    return [each for each in caplog.records if each.message == event]


def test_log_names_the_request_of_a_strike_and_the_parts_of_its_prompt(caplog):
    async def scenario(fleet):
        _set_crashing_part(fleet, fleet.engines, "bad")
        parts = ("shared", "bad", "own")
        await fleet.call("/notes/1", adapter="base/a1", parts=parts)
        await trio.sleep(1.0)

    with caplog.at_level(logging.DEBUG, "coltsfootsail"):
        gateways.run(scenario)
    (request,) = _records(caplog, "request")
    assert request.parts == "shared bad own"
    assert [each.id for each in _records(caplog, "strike")] == ["r1"]


def test_log_tells_a_broken_connection_from_a_crash(caplog):
    async def scenario(fleet):
        fleet.engines[0].cut_after = fleet.engines[1].cut_after = 1
        await fleet.call("/notes/1", adapter="base/a1")
        await trio.sleep(1.0)

    with caplog.at_level(logging.DEBUG, "coltsfootsail"):
        gateways.run(scenario)
    checks = _records(caplog, "crash_checked")
    assert [(each.id, each.finding) for each in checks] == [("r1", "reached")]
    assert not _records(caplog, "strike")


def _make_parts(number, place):
    """Make the parts of a prompt, of which only the last is its own.

    :param place: of the part that crashes servers, None for no such part.
    """
    parts = ["shared", f"b{number % 11}", f"c{number % 7}", f"own{number}"]
    if place is not None:
        parts[place] = "bad"
    return tuple(parts)


async def _send_mix(fleet, path, seconds, place, has_adapter):
    """Send requests to all nodes, some with a part that crashes servers.

    :param place: of that part in the prompt, None to send none.
    :returns: list of the time and the status of each sound request.
    """
    replies = []
    rng = random.Random(7)

    async def send(number, bad):
        fields = {"parts": _make_parts(number, place if bad else None)}
        if has_adapter:
            fields["adapter"] = f"base/a{number % 5}"
        sent_s = trio.current_time()
        reply = await fleet.call(
            path,
            rng.choice(fleet.names),
            request_id=f"r{sent_s}-{number}",
            body=b"%d" % number,
            **fields,
        )
        if not bad:
            replies.append((sent_s, reply.status))

    async with trio.open_nursery() as nursery:
        for number in range(int(seconds * CALLS_PER_S)):
            bad = place is not None and rng.random() < BAD_SHARE
            nursery.start_soon(send, number, bad)
            await trio.sleep(1 / CALLS_PER_S)
    return replies


def _served_share(replies, since_s=0.0):
    statuses = [status for sent_s, status in replies if sent_s >= since_s]
    return sum(status == 200 for status in statuses) / len(statuses)


def _sent_with(servers, part):
    """List when requests with a part began to run, in order."""
    return sorted(
        run.started_s
        for server in servers
        for run in server.runs
        if f"{part}:" in dict(run.headers)[messages.PROMPT_PREFIX]
    )


@pytest.mark.parametrize("place", [0, 1, 2])
@pytest.mark.parametrize(
    ("path", "engines"),
    [("/notes/1", 2), ("/notes/1", 5), ("/prints/1", 5), ("/stock/9", 2)],
    ids=["few-engines", "engines", "resumable", "plain"],
)
def test_requests_that_share_a_crashing_part_go_on_to_reach_servers(
    path, engines, place
):
    is_plain = path == "/stock/9"

    async def scenario(fleet):
        servers = fleet.shop_servers if is_plain else fleet.engines
        for server in servers:
            server.adapter_slots = 8
        calm = await _send_mix(fleet, path, 10.0, None, not is_plain)
        _set_crashing_part(fleet, servers, "bad")
        replies = await _send_mix(fleet, path, 40.0, place, not is_plain)
        assert fleet.crashed_s
        known_s = fleet.crashed_s[:CRASHES_MAX][-1] + CONTACT_S
        late = [s for s in _sent_with(servers, "bad") if s > known_s]
        assert len(late) <= LATE_SENDS_MAX
        served = _served_share(replies, known_s + CONTACT_S)
        assert served >= SERVED_SHARE_MIN * _served_share(calm)

    gateways.run(scenario, nodes=4, engines=engines)


def _is_blamed(gateway, part):
    verdict = gateway.crashes._evidence.verdict(part)
    return verdict is not None and not verdict.is_over(trio.current_time())


async def _get_blamed(fleet, part="bad"):
    """Let requests with a part crash engines until all nodes blame it."""
    for engine in fleet.engines:
        engine.adapter_slots = 8
    _set_crashing_part(fleet, fleet.engines, part)
    await _send_mix(fleet, "/notes/1", 4.0, 1, True)
    await trio.sleep(5.0)
    assert all(_is_blamed(g, part) for g in fleet.gateways.values())


async def _send_bad(fleet, number, node, parts=("shared", "bad", "own")):
    return await fleet.call(
        "/notes/1",
        node,
        adapter=f"base/a{number % 5}",
        parts=parts,
        request_id=f"x{number}",
        body=b"bad %d" % number,
    )


def test_requests_with_a_blamed_part_are_refused_as_not_run():
    async def scenario(fleet):
        await _get_blamed(fleet)
        before = len(_sent_with(fleet.engines, "bad"))
        for number, node in enumerate(fleet.names):
            reply = await _send_bad(fleet, number, node)
            assert reply.status == 503
            assert float(reply.headers["retry-after"]) > 0.0
            own = ("shared", "sound", "bad")
            assert (await _send_bad(fleet, -number, node, own)).status == 200
        # As the last part of a prompt it belongs to one request alone.
        assert len(_sent_with(fleet.engines, "bad")) == before + 4

    gateways.run(scenario, nodes=4, engines=4)


def test_node_that_starts_again_keeps_blamed_parts_from_servers():
    async def scenario(fleet):
        await _get_blamed(fleet)
        crashes = len(fleet.crashed_s)
        await fleet.start_gateway("g1")
        await trio.sleep(3.0)
        assert (await _send_bad(fleet, 0, "g1")).status == 503
        assert len(fleet.crashed_s) == crashes

    gateways.run(scenario, nodes=3, engines=4)


def test_nodes_that_all_start_again_learn_blamed_parts_from_the_store():
    async def scenario(fleet):
        await _get_blamed(fleet)
        crashes = len(fleet.crashed_s)
        for name in fleet.names:
            fleet.scopes[name].cancel()
        await trio.sleep(1.0)
        for name in fleet.names:
            await fleet.start_gateway(name)
        await trio.sleep(6.0)
        for number, node in enumerate(fleet.names):
            assert (await _send_bad(fleet, number, node)).status == 503
        assert len(fleet.crashed_s) == crashes
        await _send_mix(fleet, "/notes/1", 60.0, 1, True)
        assert len(fleet.crashed_s) <= crashes + LATE_SENDS_MAX

    gateways.run(scenario, nodes=3, engines=4)


def test_part_that_crashes_no_more_is_used_again_after_one_trial():
    async def scenario(fleet):
        await _get_blamed(fleet)
        _set_crashing_part(fleet, fleet.engines, "other")
        before = len(_sent_with(fleet.engines, "bad"))
        replies = await _send_mix(fleet, "/notes/1", 60.0, 1, True)
        assert _served_share(replies) == 1.0
        for name, gateway in fleet.gateways.items():
            assert not _is_blamed(gateway, "bad")
            assert (await _send_bad(fleet, 0, name)).status == 200
        assert len(_sent_with(fleet.engines, "bad")) - before > 20
        assert not fleet.store.keys(_keys.BLAMED_PARTS)

    gateways.run(scenario, nodes=4, engines=4)


def test_part_is_tried_by_one_request_at_a_time():
    async def scenario(fleet):
        await _get_blamed(fleet)
        crashed = len(fleet.crashed_s)
        await _send_mix(fleet, "/notes/1", 150.0, 1, True)
        # Tried 10, 40 and 160 s after the last crash, or less often.
        assert 1 <= len(fleet.crashed_s) - crashed <= LATE_SENDS_MAX

    gateways.run(scenario, nodes=4, engines=4)


def test_blamed_part_that_nobody_asks_for_is_free_after_a_while():
    async def scenario(fleet):
        await _get_blamed(fleet)
        await trio.sleep(700.0)
        for gateway in fleet.gateways.values():
            assert not _is_blamed(gateway, "bad")

    gateways.run(scenario, nodes=3, engines=4)


@pytest.mark.parametrize(
    "fault", [memory.LinkFault.REFUSED, memory.LinkFault.SILENT]
)
@pytest.mark.parametrize("cut", [("g0",), ("g0", "g1"), ("g0", "g1", "g2")])
def test_parts_are_not_blamed_by_nodes_that_are_cut_off_from_servers(
    cut, fault
):
    async def scenario(fleet):
        for engine in fleet.engines:
            engine.adapter_slots = 8
            engine.events, engine.event_s = 30, 0.05

        async def cut_off():
            for _ in range(4):
                await trio.sleep(3.0)
                for node in cut:
                    for host in ("e0", "e1", "e2", "e3", "s0", "s1"):
                        fleet.net.cut(node, host, fault)
                        fleet.net.break_between(node, host)
                await trio.sleep(3.0)
                fleet.net.heal()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(cut_off)
            await _send_mix(fleet, "/prints/1", 26.0, None, True)
        for gateway in fleet.gateways.values():
            assert not gateway.crashes._evidence.runs()

    gateways.run(scenario, nodes=4, engines=4)


def test_single_node_blames_a_crashing_part():
    async def scenario(fleet):
        await _get_blamed(fleet)
        assert (await _send_bad(fleet, 0, "g0")).status == 503

    gateways.run(scenario, nodes=1, engines=4)


def test_shared_part_is_not_blamed_by_a_node_that_has_just_started():
    async def scenario(fleet):
        for engine in fleet.engines:
            engine.adapter_slots = 8
        await _send_mix(fleet, "/notes/1", 5.0, None, True)
        await fleet.start_gateway("g1")
        await trio.sleep(3.0)
        for engine in fleet.engines:
            engine.events, engine.event_s = 100, 0.05
        async with trio.open_nursery() as nursery:
            for number in range(20):
                parts = ("shared", f"n{number}", "own")
                send = functools.partial(_send_bad, parts=parts)
                nursery.start_soon(send, fleet, number, "g1")
            await trio.sleep(2.0)
            for engine in fleet.engines:
                fleet.crash(engine)
                await trio.sleep(0.2)
        for gateway in fleet.gateways.values():
            assert not _is_blamed(gateway, "shared")

    gateways.run(scenario, nodes=3, engines=4)


async def _check_twice(fleet, node, server):
    """Check a server before and right after it has crashed."""
    gateway = fleet.gateways[node]
    registered = gateway.view.servers[server.name]
    before = await gateway.crash_checks.check(registered)
    fleet.crash(server)
    await trio.sleep(0.01)
    return before, await gateway.crash_checks.check(registered)


def test_crash_right_after_a_check_that_reached_the_server_is_found():
    async def scenario(fleet):
        for engine in fleet.engines:
            found = await _check_twice(fleet, "g0", engine)
            assert found == ("reached", "crashed")

    gateways.run(scenario, nodes=3, engines=4)
