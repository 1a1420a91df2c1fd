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


def _read_limit(answer):
    return messages.stated_rate(answer, messages.SERVER_LIMIT)


@pytest.mark.parametrize(
    ("values", "limit"),
    [((), None), (("1.7",), 1.7), (("0",), 0.0), (("3", "2.5"), 2.5)],
)
def test_limit_is_read_from_an_answer(values, limit):
    assert _read_limit(_answer(*values)) == limit


@pytest.mark.parametrize(
    "value", ["", "nan", "-1", "1e999", "inf", "many", "1,5"]
)
def test_limit_that_is_no_rate_is_an_error(value):
    with pytest.raises(exceptions.BadField):
        _read_limit(_answer("2", value))


@pytest.fixture
def clock():
    return types.SimpleNamespace(now_s=100.0)


@pytest.fixture
def limits(clock):
    return _server_limits.ServerLimits(
        lambda: clock.now_s,
        lambda counter, reason: None,
        lambda msg: None,
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


def test_limit_holds_again_if_a_server_is_back_soon_and_has_not_restarted(
    clock, limits
):
    limits.note_answer("s", 1.5, 99.0, True)
    limits.keep({"t"})
    clock.now_s += _server_limits.FORGET_AFTER_S
    limits.keep({"t"})
    limits.keep({"s", "t"})
    assert limits.per_s("s") == 1.5
    limits.keep({"t"})
    limits.forget("s")
    limits.keep({"s", "t"})
    assert math.isinf(limits.per_s("s"))
    limits.note_answer("s", 1.5, 99.0, True)
    limits.keep({"t"})
    clock.now_s += _server_limits.FORGET_AFTER_S + 1.0
    limits.keep({"t"})
    limits.keep({"s", "t"})
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
        await trio.sleep(0.1)

    with caplog.at_level(logging.DEBUG, "coltsfootsail"):
        gateways.run(scenario)
    changes = [r for r in caplog.records if r.message == "server_limit"]
    assert [(each.change, each.per_s, each.told_by) for each in changes] == [
        ("named", 7.0, ""),
        ("named", 7.0, "g0"),
        ("ended", None, ""),
        ("ended", None, "g0"),
    ]
    ends = [r for r in caplog.records if r.message == "send_ended"]
    assert ends[0].limit_per_s == 7.0
    sent = [r.id for r in caplog.records if r.message == "sent"]
    assert sent[0] == "r1"


CALLS_PER_S = 12.0
CALL_TIMEOUT_S = 6.0  # over the deadline of a call
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


async def _send_calls(
    fleet, path, duration_s, replies, calls_per_s=CALLS_PER_S, **fields
):
    """Send calls to all nodes in turn."""

    async def send(number):
        node = fleet.names[number % len(fleet.names)]
        begun_s = trio.current_time()
        gateway = fleet.gateways[node]
        # A node that is killed leaves its caller without an answer.
        reply = gateways.Reply(0, {}, b"", False)
        with trio.move_on_after(CALL_TIMEOUT_S) as scope:
            reply = await fleet.call(
                path,
                node,
                request_id=f"r{number}",
                **{key: make(number) for key, make in fields.items()},
            )
        is_killed = fleet.gateways[node] is not gateway
        assert is_killed or not scope.cancelled_caught
        replies.append((reply, trio.current_time() - begun_s))

    async with trio.open_nursery() as nursery:
        for number in range(int(duration_s * calls_per_s)):
            nursery.start_soon(send, number)
            await trio.sleep(1 / calls_per_s)


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


@pytest.mark.parametrize("absent_s", [0.5, 3.0])
def test_limit_is_kept_while_a_registration_is_gone(absent_s):
    async def scenario(fleet):
        limited, other = fleet.shop_servers
        fleet.store.drop(f"servers/{other.name}")
        limited.limit, limited.work_s = "0", 0.5
        named_s = trio.current_time()

        async def lose_registration():
            await trio.sleep(5.0)
            fleet.store.drop(f"servers/{limited.name}")
            await trio.sleep(absent_s)
            fleet.register_shop(0)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(lose_registration)
            await _send_calls(fleet, "/stock/9", 15.0, [], 60.0)
        _check_limited([limited], named_s + NAMED_S, 0.0)

    gateways.run(scenario, nodes=4)


def _granting_node(fleet, server_name):
    """Get the node that grants the starts at a server."""
    gateway = fleet.gateways["g0"]
    server = gateway.view.servers[server_name]
    if gateway.view.engine_spec(server) is None:
        return gateway.limited_servers.owner(server)
    return gateway.engine_selector.owner(server)


@pytest.mark.parametrize("limit", ["0.3", "1", "40"])
@pytest.mark.parametrize(
    ("path", "fields"),
    [("/stock/9", {}), ("/notes/1", {"adapter": _adapter})],
    ids=["plain", "engine"],
)
def test_limit_is_kept_when_the_node_that_grants_is_replaced(
    path, fields, limit
):
    async def scenario(fleet):
        limited = (fleet.engines if fields else fleet.shop_servers)[0]
        other = (fleet.engines if fields else fleet.shop_servers)[1]
        fleet.store.drop(f"servers/{other.name}")
        limited.limit = limit
        named_s = trio.current_time()
        replies = []

        async def replace():
            for _ in range(3):
                await trio.sleep(6.0)
                await fleet.start_gateway(_granting_node(fleet, limited.name))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(replace)
            await _send_calls(fleet, path, 24.0, replies, 60.0, **fields)
        _check_limited([limited], named_s + NAMED_S, float(limit))
        served = sum(reply.status == 200 for reply, _ in replies)
        assert served >= 0.5 * 20.0 * float(limit)

    gateways.run(scenario, nodes=4)


@pytest.mark.parametrize(
    ("path", "fields"),
    [("/stock/9", {}), ("/notes/1", {"adapter": _adapter})],
    ids=["plain", "engine"],
)
def test_request_beyond_all_limits_is_refused_with_a_time_to_come_back(
    path, fields
):
    objective_s = 1.0

    async def scenario(fleet):
        servers = fleet.engines if fields else fleet.shop_servers
        for server in servers:
            server.limit = "1.7"
        await fleet.call(path, **{k: make(0) for k, make in fields.items()})
        replies = []
        await _send_calls(fleet, path, 20.0, replies, **fields)
        refused = [pair for pair in replies if pair[0].status != 200]
        assert len(replies) - len(refused) >= 0.9 * 20.0 * 2 * 1.7
        assert refused
        for reply, after_s in refused:
            assert reply.status == 503
            assert 0.0 < float(reply.headers["retry-after"]) < 2.0
            assert after_s <= objective_s
        at_once = sum(after_s < 0.1 for _, after_s in refused)
        assert at_once >= 0.9 * len(refused)

    gateways.run(scenario, nodes=4)


@pytest.mark.parametrize(
    ("path", "fields"),
    [("/stock/9", {}), ("/notes/1", {"adapter": _adapter})],
    ids=["plain", "engine"],
)
def test_server_whose_need_has_ended_gets_its_share_back(path, fields):
    async def scenario(fleet):
        servers = fleet.engines if fields else fleet.shop_servers
        for server in servers:
            server.limit = "0"
        await _send_calls(fleet, path, 10.0, [], **fields)
        for server in servers:
            server.limit = None
        await _send_calls(fleet, path, 6.0, [], **fields)
        replies = []
        await _send_calls(fleet, path, 10.0, replies, **fields)
        assert all(reply.status == 200 for reply, _ in replies)
        for gateway in fleet.gateways.values():
            for server in servers:
                assert not gateway.limits.is_limited(server.name)

    gateways.run(scenario, nodes=4)


def test_node_that_missed_the_end_of_a_limit_learns_it_with_its_next_link():
    async def scenario(fleet):
        shop = fleet.shop_servers[0]
        fleet.store.drop("servers/i-s1")
        await trio.sleep(2.0)
        shop.limit = "2"
        await fleet.call("/stock/9", "g0", request_id="r1")
        await trio.sleep(0.1)
        assert fleet.gateways["g2"].limits.per_s("i-s0") == 2.0
        for name in ("g0", "g1"):
            fleet.net.cut("g2", name)
        await trio.sleep(4.0)
        shop.limit = None
        await fleet.call("/stock/9", "g0", request_id="r2")
        await trio.sleep(0.1)
        assert fleet.gateways["g2"].limits.is_limited("i-s0")
        fleet.net.heal()
        await trio.sleep(3.0)
        assert not fleet.gateways["g2"].limits.is_limited("i-s0")

    gateways.run(scenario, nodes=3)


def test_limited_engines_are_used_up_to_their_limit_under_load():
    limit_per_s, seconds = 1.7, 20.0

    async def scenario(fleet):
        for engine in fleet.engines:
            engine.adapter_slots = 8
        limited = fleet.engines[:2]
        for engine in limited:
            engine.limit = str(limit_per_s)
        replies = []
        await _send_calls(
            fleet,
            "/notes/1",
            seconds,
            replies,
            16.0,
            adapter=lambda number: f"base/a{number * 7 % 24}",
        )
        for engine in limited:
            assert engine.arrivals >= 0.5 * limit_per_s * seconds
        served = sum(reply.status == 200 for reply, _ in replies)
        assert served >= 0.95 * len(replies)

    gateways.run(scenario, nodes=4, engines=5)


def test_lower_limit_is_kept_by_a_new_granting_node_that_never_sent():
    async def scenario(fleet):
        fleet.store.drop("servers/i-s1")
        await trio.sleep(2.0)
        shop = fleet.shop_servers[0]
        shop.limit = "20"
        await _send_calls(fleet, "/stock/9", 3.0, [])
        owner = _granting_node(fleet, shop.name)
        others = [name for name in fleet.names if name != owner]
        shop.limit = "1"
        for number in range(4):
            await fleet.call("/stock/9", others[0], request_id=f"x{number}")
            await trio.sleep(1.0)
        fleet.scopes[owner].cancel()
        await trio.sleep(1.0)
        since_s = trio.current_time()
        fleet.names = others[:1]
        await _send_calls(fleet, "/stock/9", 12.0, [])
        _check_limited([shop], since_s, 1.0)

    gateways.run(scenario, nodes=4)


def test_request_is_answered_though_no_grant_is_ever_replied_to():
    async def scenario(fleet):
        for shop in fleet.shop_servers:
            shop.limit = "1"
        await _send_calls(fleet, "/stock/9", 2.0, [])
        for gateway in fleet.gateways.values():
            gateway.grant_client.handle_reply = lambda msg: None
        replies = []
        await _send_calls(fleet, "/stock/9", 2.0, replies)
        assert all(after_s <= 3.0 for _, after_s in replies)
        assert any(reply.status == 503 for reply, _ in replies)

    gateways.run(scenario, nodes=4)
