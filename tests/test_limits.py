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
