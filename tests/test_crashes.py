"""Requests that crash the servers that run them."""

import logging
import random

import pytest
import trio

from coltsfootsail.platform import messages
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
    assert [each.id for each in _records(caplog, "no_crash")] == ["r1"]
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
