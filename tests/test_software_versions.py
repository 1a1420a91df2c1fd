"""Streams that are taken up go on at the software version that began them."""

import dataclasses
import functools
import logging
import math
import types

import pytest
import trio

from coltsfootsail import _stream_origins
from coltsfootsail import _wire
from coltsfootsail.platform import messages
from coltsfootsail.standins import store as stores
from tests import gateways
from tests import test_retry_budget


STREAMS = 40
FEW_STREAMS = 12
ADAPTERS = ("a3", "a4", "a5")  # as many as an engine holds
PAUSE_S = 0.15
GOES_ON_SHARE = 0.5  # of streams that are taken up, at least


def _adapter(number, adapters=tuple(f"a{each}" for each in range(8))):
    return f"base/{adapters[number % len(adapters)]}"


def _register_versions(fleet):
    """Give the engines two software versions in turn."""
    for number, engine in enumerate(fleet.engines):
        engine.software = f"v{1 + number % 2}"
        engine.register()


def _release(fleet):
    """Replace every other engine by one of another software version."""
    for engine in fleet.engines[1::2]:
        fleet.store.drop(f"servers/{engine.name}")
        engine.name += "b"
        engine.software = "v2"
        engine.register()


def _runs_by_request(fleet):
    """Get the engines that ran each request.

    :returns: dict of request id to list of ``ModelServer``, in order.
    """
    runs = [(run, each) for each in fleet.engines for run in each.runs]
    by_request = {}
    for run, engine in sorted(runs, key=lambda pair: pair[0].started_s):
        by_request.setdefault(run.request_id, []).append(engine)
    return by_request


def test_sends_are_logged_with_the_software_version_and_event(caplog):
    async def scenario(fleet):
        _register_versions(fleet)
        await trio.sleep(2.0)
        await fleet.call("/prints/1", adapter="base/a7", request_id="r0")
        await fleet.call(
            "/prints/1",
            adapter="base/a7",
            headers=[(messages.RESUMES, "r0"), (messages.LAST_EVENT, "2")],
        )

    with caplog.at_level(logging.DEBUG, "coltsfootsail"):
        gateways.run(scenario)
    requests = [r for r in caplog.records if r.message == "request"]
    assert [request.resumes for request in requests] == ["", "r0"]
    first, second = [r for r in caplog.records if r.message == "sent"]
    assert first.software == second.software
    assert first.software in ("v1", "v2")
    assert (first.after_event, second.after_event) == ("", "2")
    servers = [r for r in caplog.records if r.message == "server"]
    assert {r.software for r in servers} >= {"v1"}


async def _send_streams(fleet, make_call):
    """Send ``STREAMS`` calls, ``PAUSE_S`` apart.

    :param make_call: ``async (number)``.
    """
    async with trio.open_nursery() as nursery:
        for number in range(STREAMS):
            nursery.start_soon(make_call, number)
            await trio.sleep(PAUSE_S)


async def _start_streams(fleet):
    """Register two versions and let every engine hold some adapters."""
    _register_versions(fleet)
    await trio.sleep(2.0)


def test_broken_stream_goes_on_only_at_its_software_version():
    async def scenario(fleet):
        await _start_streams(fleet)
        for engine in fleet.engines[:2]:
            engine.cut_after = 1
        replies = []

        async def call(number):
            reply = await fleet.call(
                "/prints/1",
                fleet.names[number % 2],
                adapter=_adapter(number),
                request_id=f"r{number}",
            )
            replies.append(reply)

        await _send_streams(fleet, call)
        taken_up = [
            engines
            for engines in _runs_by_request(fleet).values()
            if len(engines) > 1
        ]
        assert len(taken_up) >= 10
        for engines in taken_up:
            assert len({engine.software for engine in engines}) == 1
        whole = sum(reply.whole and reply.status == 200 for reply in replies)
        assert whole >= 0.9 * len(replies)

    gateways.run(scenario, engines=4)


async def _begin(fleet, number, node):
    """Send a client's first attempt, which breaks off after two events."""
    reply = await fleet.call(
        "/prints/1",
        node,
        adapter=_adapter(number),
        request_id=f"first{number}",
    )
    assert reply.status == 200 and not reply.whole


async def _take_up(fleet, number, node, resumes=None, **extra):
    """Send the attempt by which a client takes its stream up.

    :param resumes: the attempt that it names, by default the first.
    """
    resumes = f"first{number}" if resumes is None else resumes
    return await fleet.call(
        "/prints/1",
        node,
        adapter=extra.get("adapter", _adapter(number)),
        request_id=f"second{number}",
        headers=[(messages.RESUMES, resumes), (messages.LAST_EVENT, "1")],
    )


def _check_attempts(fleet):
    """Check that streams go on, and only at the version that began them."""
    runs = _runs_by_request(fleet)
    gone_on = [n for n in range(STREAMS) if f"second{n}" in runs]
    assert len(gone_on) >= GOES_ON_SHARE * STREAMS
    for number in gone_on:
        engines = runs[f"first{number}"] + runs[f"second{number}"]
        assert len({engine.software for engine in engines}) == 1


def test_client_takes_a_stream_up_only_at_its_software_version():
    async def scenario(fleet):
        await _start_streams(fleet)
        for engine in fleet.engines:
            engine.cut_after = 1

        async def call(number):
            await _begin(fleet, number, fleet.names[number % 4])
            await trio.sleep(0.2)
            await _take_up(fleet, number, fleet.names[(number + 1) % 4])

        await _send_streams(fleet, call)
        _check_attempts(fleet)

    gateways.run(scenario, nodes=4, engines=4)


def test_stream_is_taken_up_at_its_version_after_its_node_was_killed():
    async def scenario(fleet):
        await _start_streams(fleet)
        for engine in fleet.engines:
            engine.cut_after = 1

        async def call(number):
            await _begin(fleet, number, "g0")

        await _send_streams(fleet, call)
        fleet.scopes["g0"].cancel()
        await trio.sleep(0.5)
        for number in range(STREAMS):
            await _take_up(fleet, number, fleet.names[1 + number % 3])
        _check_attempts(fleet)

    gateways.run(scenario, nodes=4, engines=4)


def test_stream_of_unknown_origin_is_refused_at_once_and_runs_nowhere():
    async def scenario(fleet):
        await _start_streams(fleet)
        for resumes in ("never-seen", ""):
            begun_s = trio.current_time()
            reply = await _take_up(fleet, 1, "g0", resumes)
            assert reply.status == 503
            assert float(reply.headers["retry-after"]) > 0
            assert trio.current_time() - begun_s <= 0.3
        assert not _runs_by_request(fleet)

    gateways.run(scenario, nodes=4, engines=4)


def test_stream_whose_version_has_no_server_left_is_refused_at_once():
    async def scenario(fleet):
        await _start_streams(fleet)
        for engine in fleet.engines:
            engine.cut_after = 1
        await _begin(fleet, 1, "g0")
        (began,) = _runs_by_request(fleet)["first1"][:1]
        for engine in fleet.engines:
            if engine.software == began.software:
                fleet.store.drop(f"servers/{engine.name}")
        await trio.sleep(2.0)
        begun_s = trio.current_time()
        reply = await _take_up(fleet, 1, "g1")
        assert reply.status == 503
        assert trio.current_time() - begun_s <= 0.3
        assert "second1" not in _runs_by_request(fleet)

    gateways.run(scenario, nodes=4, engines=4)


@pytest.mark.parametrize("resumes", ["never-seen", ""])
def test_stream_of_a_service_with_one_version_goes_on(resumes):
    async def scenario(fleet):
        reply = await _take_up(fleet, 1, "g1", resumes)
        assert reply.status == 200 and reply.whole

    gateways.run(scenario, nodes=3)


def test_stream_that_began_before_a_second_version_came_goes_on_at_the_first():
    async def scenario(fleet):
        for engine in fleet.engines:
            engine.cut_after = 1
        for number in range(8):
            await _begin(fleet, number, "g0")
        _release(fleet)
        await trio.sleep(2.0)
        fleet.scopes["g0"].cancel()
        await trio.sleep(15.0)  # until other nodes own its engines
        for number in range(8):
            await _take_up(fleet, number, fleet.names[1 + number % 3])
        runs = _runs_by_request(fleet)
        gone_on = [n for n in range(8) if f"second{n}" in runs]
        assert len(gone_on) >= 4
        for number in gone_on:
            engines = runs[f"second{number}"]
            assert {engine.software for engine in engines} == {"v1"}

    gateways.run(scenario, nodes=4, engines=4)


def test_stream_is_taken_up_again_and_again_by_the_name_of_its_first_attempt():
    async def scenario(fleet):
        await _start_streams(fleet)
        for engine in fleet.engines:
            engine.cut_after = 1
        await _begin(fleet, 1, "g0")
        for turn in range(4):
            node = fleet.names[turn % 4]
            await _take_up(fleet, 1, node)
            fleet.scopes[node].cancel()
            await fleet.start_gateway(node)
            await trio.sleep(3.0)
        runs = _runs_by_request(fleet)
        engines = runs["first1"] + runs["second1"]
        assert len(runs["second1"]) >= 4
        assert len({engine.software for engine in engines}) == 1

    gateways.run(scenario, nodes=4, engines=4)


def test_stream_without_an_event_may_begin_at_another_version():
    async def scenario(fleet):
        await _start_streams(fleet)
        for engine in fleet.engines[:3]:
            engine.cut_after = -1
        replies = []
        for number in range(12):
            reply = await fleet.call(
                "/prints/1",
                adapter=_adapter(number),
                request_id=f"r{number}",
            )
            replies.append(reply.whole and reply.status == 200)
        crossed = [
            engines
            for engines in _runs_by_request(fleet).values()
            if len({engine.software for engine in engines}) > 1
        ]
        assert crossed and any(replies)

    gateways.run(scenario, nodes=4, engines=4)


def test_most_copies_are_found_again_after_nodes_came_and_went():
    nodes = tuple(f"n{number}" for number in range(330))
    later = tuple(sorted({*nodes[3:], "m1", "m2"}))
    found = 0
    for number in range(2000):
        told = _stream_origins.choose_nodes(
            f"r{number}", nodes, _stream_origins.COPIES
        )
        assert len(set(told)) == _stream_origins.COPIES
        asked = _stream_origins.choose_nodes(
            f"r{number}", later, _stream_origins.NODES_ASKED
        )
        found += bool(set(told) & set(asked))
    assert found >= 0.99 * 2000


def test_version_that_has_just_left_still_counts():
    clock = types.SimpleNamespace(now_s=0.0)
    view = types.SimpleNamespace(
        servers={}, previously_claimed=list, last_contact_s=0.0
    )
    origins = _stream_origins.StreamOrigins(view, None, lambda: clock.now_s)

    def register(**software):
        view.servers = {
            name: types.SimpleNamespace(service="engines", software=version)
            for name, version in software.items()
        }
        origins.note_servers()

    def is_known():
        msg = _wire.StreamQuery(1, "r1", "engines")
        return bool(origins.answer(msg).service)

    register(a="v1", b="v2")
    assert not is_known()
    clock.now_s = 300.0
    register(a="v1")
    assert not is_known()
    clock.now_s += 1.5 * _stream_origins.KEEP_S
    register(a="v1")
    assert is_known()


def test_node_that_has_started_relies_on_the_store_for_what_has_left():
    clock = types.SimpleNamespace(now_s=0.0)
    server = types.SimpleNamespace(service="engines", software="v1")
    claimed = ["a"]
    view = types.SimpleNamespace(
        servers={"a": server}, previously_claimed=lambda: claimed
    )
    origins = _stream_origins.StreamOrigins(view, None, lambda: clock.now_s)
    origins.note_servers()
    msg = _wire.StreamQuery(1, "r1", "engines")
    only = _wire.StreamReply(1, False, "engines", "v1")
    assert origins.answer(msg) == only
    claimed.append("gone")
    assert origins.answer(msg) == _wire.StreamReply(1, False, "", "")
    clock.now_s = 1.5 * _stream_origins.KEEP_S
    assert origins.answer(msg) == only


def test_node_that_hears_nothing_from_the_store_asks_for_origins():
    """A second version may have appeared that it has not seen."""

    async def scenario(fleet):
        fleet.store.faults["store-g3:1"] = stores.StoreFault.SILENT
        await trio.sleep(5.0)
        _release(fleet)
        await trio.sleep(2.0)
        for engine in fleet.engines:
            engine.cut_after = 1
        assert len(fleet.gateways["g3"].stream_origins._seen_s["engines"]) == 1

        async def call(number):
            await _begin(fleet, number, fleet.names[number % 3])
            await trio.sleep(0.2)
            await _take_up(fleet, number, "g3")

        await _send_streams(fleet, call)
        runs = _runs_by_request(fleet)
        gone_on = [n for n in range(STREAMS) if f"second{n}" in runs]
        for number in gone_on:
            engines = runs[f"first{number}"] + runs[f"second{number}"]
            assert len({engine.software for engine in engines}) == 1

    gateways.run(scenario, nodes=7, engines=4)


async def _try_to_begin(fleet, number, node, adapter):
    """Send a client's first attempt, which may find no engine."""
    await fleet.call(
        "/prints/1", node, adapter=adapter, request_id=f"first{number}"
    )


async def _cut_off(fleet, node):
    """Cut a node off from the store and all others, but not from servers.

    :returns: closure that ends the cut.
    """
    for other in (f"store-{node}", *fleet.names):
        if other != node:
            fleet.net.cut(node, other)
    return fleet.net.heal


async def _suspend(fleet, node):
    """Suspend a node's host.

    :returns: closure that lets it go on.
    """
    fleet.net.pause(node)
    return lambda: fleet.net.resume(node)


class ManyRetriesFleet(test_retry_budget.WindowFleet):
    """A fleet whose requests may go on until an engine has room for them."""

    retry_extra = 1000.0


@pytest.mark.parametrize(
    ("put_out_of_step", "is_back"),
    [(_cut_off, False), (_cut_off, True), (_suspend, True)],
)
def test_node_that_is_out_of_step_joins_no_two_versions(
    put_out_of_step, is_back
):
    """Servers of another version joined in the seconds before."""

    async def scenario(fleet):
        for engine in fleet.engines:
            engine.adapters.update(dict.fromkeys(ADAPTERS, 1))
            engine.cut_after = 1
        for engine in fleet.engines[:2]:
            engine.register()
        for engine in fleet.engines[2:]:
            fleet.store.drop(f"servers/{engine.name}")
        await trio.sleep(1.5 * _stream_origins.KEEP_S)
        bring_back = await put_out_of_step(fleet, "g3")
        for engine in fleet.engines[2:]:
            engine.name += "b"
            engine.software = "v2"
            engine.register()
        await trio.sleep(1.2)

        async def send_all(send, node):
            async with trio.open_nursery() as nursery:
                for number in range(FEW_STREAMS):
                    call = functools.partial(
                        send, adapter=_adapter(number, ADAPTERS)
                    )
                    nursery.start_soon(call, fleet, number, node)

        for engine in fleet.engines[:2]:
            engine.slots = 0
        await send_all(_try_to_begin, "g0")
        for engine in fleet.engines[:2]:
            engine.slots = math.inf
        if is_back:
            bring_back()
        await send_all(_take_up, "g3")
        runs = _runs_by_request(fleet)
        begun = [n for n in range(FEW_STREAMS) if f"first{n}" in runs]
        assert len(begun) >= 3
        for number in begun:
            engines = runs[f"first{number}"] + runs.get(f"second{number}", [])
            assert {engine.software for engine in engines} == {"v2"}

    gateways.run(scenario, nodes=4, engines=4, make_fleet=ManyRetriesFleet)


def test_node_that_has_not_yet_seen_a_new_version_asks_for_origins(virtual):
    """Its watch of the store brings changes up to two seconds late."""
    server = types.SimpleNamespace(service="engines", software="v1")
    view = types.SimpleNamespace(
        servers={"a": server}, previously_claimed=list, last_contact_s=0.0
    )
    known = {"r1": _wire.StreamReply(0, True, "engines", "v2")}
    unknown = _wire.StreamReply(0, False, "engines", "v1")

    def send(node, msg):
        reply = unknown
        if node == "g3":
            reply = known.get(msg.request_id, unknown)
        reply = dataclasses.replace(reply, number=msg.number)
        origins.handle_reply(reply)
        return True

    mesh = types.SimpleNamespace(
        linked_nodes=lambda: ["g1", "g2", "g3", "g4"],
        send=send,
        knows=lambda node, message_type: True,
    )
    origins = _stream_origins.StreamOrigins(view, mesh, lambda: 0.5)
    origins.note_servers()

    async def main():
        found = await origins.find("r1", "engines")
        assert found == _stream_origins.Origin("engines", "v2")
        found = await origins.find("r2", "engines")
        assert found == _stream_origins.Origin("engines", "v1")

    virtual(main)
