"""Limits that servers name: what is read, kept and logged of them."""

import logging
import math
import types

import pytest
import trio

from coltsfootsail import _server_limits
from coltsfootsail import exceptions
from coltsfootsail.platform import messages
from tests import gateways

UNLIMITED = _server_limits.UNLIMITED


def _answer(*values):
    headers = [(messages.SERVER_LIMIT, value) for value in values]
    return types.SimpleNamespace(headers=tuple(headers))


@pytest.mark.parametrize(
    ("values", "limit"),
    [((), None), (("1.7",), 1.7), (("0",), 0.0), (("3", "2.5"), 2.5)],
)
def test_limit_is_read_from_an_answer(values, limit):
    assert messages.server_limit(_answer(*values)) == limit


@pytest.mark.parametrize(
    "value", ["", "nan", "-1", "1e999", "inf", "many", "1,5"]
)
def test_limit_that_is_no_rate_is_an_error(value):
    with pytest.raises(exceptions.BadField):
        messages.server_limit(_answer("2", value))


@pytest.fixture
def clock():
    return types.SimpleNamespace(now_s=100.0)


@pytest.fixture
def limits(clock):
    return _server_limits.ServerLimits(
        lambda: clock.now_s, lambda counter, reason: None
    )


def test_limit_holds_until_a_later_request_is_answered_without_one(
    clock, limits
):
    limits.note_answer("s", 1.5, 99.0, True)
    limits.note_answer("s", None, 99.9, True)
    assert limits.per_s("s") == 1.5
    limits.note_answer("s", None, 100.5, True)
    assert limits.per_s("s") == UNLIMITED


def test_failure_without_a_limit_does_not_end_one(clock, limits):
    limits.note_answer("s", 1.5, 99.0, False)
    limits.note_answer("s", None, 101.0, False)
    assert limits.per_s("s") == 1.5


def test_limit_of_a_server_that_has_left_is_forgotten(limits):
    limits.note_answer("s", 1.5, 99.0, True)
    limits.keep({"t"})
    assert math.isinf(limits.per_s("s"))


def test_each_change_of_a_limit_is_logged(caplog):
    async def scenario(fleet):
        fleet.store.drop("servers/i-s1")
        await trio.sleep(2.0)
        shop = fleet.shop_servers[0]
        shop.limit = "7"
        await fleet.call("/orders/1", request_id="r1")
        shop.limit = None
        await trio.sleep(1.0)
        await fleet.call("/orders/1", request_id="r2")

    with caplog.at_level(logging.DEBUG, "coltsfootsail"):
        gateways.run(scenario)
    changes = [r for r in caplog.records if r.message == "server_limit"]
    assert [each.change for each in changes] == ["named", "ended"]
    assert [each.per_s for each in changes] == [7.0, None]
    ends = [r for r in caplog.records if r.message == "send_ended"]
    assert ends[0].limit_per_s == 7.0
    sent = [r.id for r in caplog.records if r.message == "sent"]
    assert sent[0] == "r1"


CALLS_PER_S = 12.0
NAMED_S = 3.0  # from here on the limit binds
WINDOW_S = 4.0
ALLOWED_SHARE = 1.5
ALLOWED_EXTRA = 5.0


def _most_in_window(times_s):
    """Count the most requests within some ``WINDOW_S``."""
    return max(
        (
            sum(start_s <= each < start_s + WINDOW_S for each in times_s)
            for start_s in times_s
        ),
        default=0,
    )


async def _send_calls(fleet, path, duration_s, replies, **fields):
    """Send calls at ``CALLS_PER_S`` to all nodes in turn."""

    async def send(number):
        node = fleet.names[number % len(fleet.names)]
        begun_s = trio.current_time()
        reply = await fleet.call(
            path,
            node,
            request_id=f"r{number}",
            **{key: make(number) for key, make in fields.items()},
        )
        replies.append((reply, trio.current_time() - begun_s))

    async with trio.open_nursery() as nursery:
        for number in range(int(duration_s * CALLS_PER_S)):
            nursery.start_soon(send, number)
            await trio.sleep(1 / CALLS_PER_S)


def _allowed(limit_per_s):
    return ALLOWED_SHARE * limit_per_s * WINDOW_S + ALLOWED_EXTRA


def _check_limited(servers, since_s, limit_per_s):
    for server in servers:
        times_s = [each for each in server.arrived_s if each >= since_s]
        assert _most_in_window(times_s) <= _allowed(limit_per_s)


def _adapter(number):
    return f"base/a{number % 5}"


@pytest.mark.parametrize("whole_service", [False, True], ids=["one", "all"])
@pytest.mark.parametrize(
    ("path", "fields"),
    [("/stock/9", {}), ("/notes/1", {"adapter": _adapter})],
    ids=["plain", "engine"],
)
def test_server_gets_no_more_than_the_limit_that_it_names(
    path, fields, whole_service
):
    def make_scenario(limit):
        async def scenario(fleet):
            servers = fleet.engines if fields else fleet.shop_servers
            limited = servers if whole_service else servers[:1]
            for server in limited:
                server.limit = limit
            named_s = trio.current_time()
            replies = []
            await _send_calls(fleet, path, 20.0, replies, **fields)
            _check_limited(limited, named_s + NAMED_S, float(limit))
            if not whole_service:
                served = sum(reply.status == 200 for reply, _ in replies)
                assert served >= 0.9 * len(replies)

        return scenario

    for limit in ("0", "0.3", "1", "1.7"):
        gateways.run(make_scenario(limit), nodes=4)
