"""Streams that are taken up go on at the software version that began them."""

import logging

import trio

from coltsfootsail.platform import messages
from tests import gateways


STREAMS = 40
PAUSE_S = 0.15
GOES_ON_SHARE = 0.5  # of streams that are taken up, at least


def _adapter(number):
    return f"base/a{number % 8}"


def _register_versions(fleet):
    """Give the engines two software versions in turn."""
    for number, engine in enumerate(fleet.engines):
        engine.software = f"v{1 + number % 2}"
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
        await fleet.call(
            "/prints/1",
            adapter="base/a7",
            headers=[(messages.RESUMES, "r0"), (messages.LAST_EVENT, "2")],
        )

    with caplog.at_level(logging.DEBUG, "coltsfootsail"):
        gateways.run(scenario)
    (request,) = [r for r in caplog.records if r.message == "request"]
    assert request.resumes == "r0"
    (sent,) = [r for r in caplog.records if r.message == "sent"]
    assert sent.software in ("v1", "v2")
    assert sent.after_event == "2"
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


async def _take_up(fleet, number, node, resumes=None):
    """Send the attempt by which a client takes its stream up.

    :param resumes: the attempt that it names, by default the first.
    """
    resumes = f"first{number}" if resumes is None else resumes
    return await fleet.call(
        "/prints/1",
        node,
        adapter=_adapter(number),
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
