"""Running requests beside changes, reloads, stops and silent servers."""

import dataclasses
import functools

import h11
import pytest
import trio

from coltsfootsail.platform import messages
from tests import gateways

PATHS = ("/notes/1", "/prints/1", "/orders/9", "/stock/9")
BEFORE_S = 0.5  # from the requests to the change
PAUSE_S = 2.2  # longer than a gateway waits for an event
DEADLINE_MS = 15_000


def _configuration(version, **fields):
    """Make a configuration whose routes all have some fields."""
    raw = gateways.configuration(version)
    raw["routes"] = [
        {**route, "timeoutMs": DEADLINE_MS, **fields}
        for route in raw["routes"]
    ]
    return raw


def _remove_routes(version):
    raw = _configuration(version)
    raw["routes"] = [gateways.route("/other/", "mutating", "shop")]
    return raw


def _move_routes(version):
    raw = _configuration(version, service="elsewhere")
    raw["services"].append({"name": "elsewhere", "maxConns": 100})
    return raw


def _remove_services(version):
    raw = _move_routes(version)
    raw["services"] = raw["services"][-1:]
    return raw


def _split_routes(version):
    parts = [{"service": name, "weight": 1} for name in ("engines", "shop")]
    return _configuration(version, split=parts)


def _shrink_services(version):
    raw = _configuration(version)
    engine = {**gateways.ENGINE, "slots": 1, "adapterSlots": 1}
    raw["services"] = [
        {"name": "engines", "maxConns": 1, "engine": engine},
        {"name": "shop", "maxConns": 1},
    ]
    return raw


def _shrink_limits(version):
    raw = _configuration(version)
    raw["limits"] = dict.fromkeys(raw["limits"], 200)
    return raw


def _need_keys(version):
    tenant = {"name": "one", "apiKeys": ["k"]}
    return {**_configuration(version), "tenants": [tenant]}


CHANGES = {
    "same": _configuration,
    "remove_routes": _remove_routes,
    "move_routes": _move_routes,
    "remove_services": _remove_services,
    "split_routes": _split_routes,
    "shrink_services": _shrink_services,
    "shrink_limits": _shrink_limits,
    "shorten_timeouts": lambda version: _configuration(version, timeoutMs=200),
    "forbid_retries": lambda version: _configuration(
        version, attempts=1, resumable=False
    ),
    "need_keys": _need_keys,
}


async def _prepare(fleet):
    """Let all answers take about two seconds."""
    fleet.store.put("op/config", _configuration(2))
    for engine in fleet.engines:
        engine.events, engine.event_s = 40, 0.05
    for shop in fleet.shop_servers:
        shop.work_s = 2.0
    await trio.sleep(3.0)


async def _call(fleet, path, replies, request_id="r1", **fields):
    if path in ("/notes/1", "/prints/1"):
        fields["adapter"] = "base"
    replies.append(
        await fleet.call(
            path, deadline_ms=DEADLINE_MS, request_id=request_id, **fields
        )
    )


async def _pause(fleet, hosts, pause_s=PAUSE_S):
    for host in hosts:
        fleet.net.pause(host)
    await trio.sleep(pause_s)
    for host in hosts:
        fleet.net.resume(host)


def _hosts(fleet):
    return [
        fleet.host_of(each) for each in (*fleet.engines, *fleet.shop_servers)
    ]


def _check_whole(replies):
    assert [(reply.status, reply.whole) for reply in replies] == [
        (200, True)
    ] * len(replies)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("change", CHANGES)
def test_change_of_the_configuration_ends_no_running_request(change, path):
    async def scenario(fleet):
        replies = []
        await _prepare(fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_call, fleet, path, replies)
            await trio.sleep(BEFORE_S)
            fleet.store.put("op/config", CHANGES[change](3))
            await trio.sleep(1.0)
            assert fleet.gateways["g0"].view.deployment.version == 3
            assert not replies
        _check_whole(replies)

    gateways.run(scenario)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("change", CHANGES)
def test_change_beside_a_silent_server_ends_no_running_request(change, path):
    async def scenario(fleet):
        replies = []
        await _prepare(fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_call, fleet, path, replies)
            await trio.sleep(BEFORE_S)
            nursery.start_soon(_pause, fleet, _hosts(fleet))
            fleet.store.put("op/config", CHANGES[change](3))
        _check_whole(replies)

    gateways.run(scenario)


def _with_tenant(version, **fields):
    tenant = {"name": "one", "apiKeys": ["k"], **fields}
    return {**_configuration(version), "tenants": [tenant]}


TENANT_CHANGES = {
    "revoke": lambda version: _with_tenant(version, apiKeys=["other"]),
    "remove": lambda version: _with_tenant(version, name="two", apiKeys=["b"]),
    "no_keys": _configuration,
    "add_quota": lambda version: _with_tenant(
        version, ratePerS=0.01, burst=0.01
    ),
}


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("change", TENANT_CHANGES)
def test_change_of_a_tenant_beside_a_silent_server_ends_no_running_request(
    change, path
):
    async def scenario(fleet):
        replies = []
        await _prepare(fleet)
        fleet.store.put("op/config", _with_tenant(3))
        await trio.sleep(3.0)
        headers = [(messages.AUTHORIZATION, "Bearer k")]
        async with trio.open_nursery() as nursery:
            call = functools.partial(
                _call, fleet, path, replies, headers=headers
            )
            nursery.start_soon(call)
            await trio.sleep(BEFORE_S)
            nursery.start_soon(_pause, fleet, _hosts(fleet))
            fleet.store.put("op/config", TENANT_CHANGES[change](4))
            await trio.sleep(1.5)
            assert fleet.gateways["g0"].view.deployment.version == 4
        _check_whole(replies)

    gateways.run(scenario)


@pytest.mark.parametrize("path", PATHS)
def test_storm_of_changes_ends_no_running_request(path):
    async def scenario(fleet):
        replies = []
        await _prepare(fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_call, fleet, path, replies)
            for version, change in enumerate(3 * tuple(CHANGES.values()), 3):
                await trio.sleep(0.1)
                fleet.store.put("op/config", change(version))
        _check_whole(replies)

    gateways.run(scenario)


@pytest.mark.parametrize("path", PATHS[:2])
@pytest.mark.parametrize("change", CHANGES)
def test_change_serves_or_refuses_a_request_that_waits_for_an_adapter(
    change, path
):
    async def scenario(fleet):
        await _prepare(fleet)
        for engine in fleet.engines:
            engine.load_s = 2.5

        async def change_later():
            await trio.sleep(BEFORE_S)
            fleet.store.put("op/config", CHANGES[change](3))

        fleet.nursery.start_soon(change_later)
        reply = await fleet.call(
            path, adapter="base/a7", deadline_ms=DEADLINE_MS
        )
        assert reply.whole and reply.status in (200, 503)
        runs = [run for each in fleet.engines for run in each.runs]
        assert (reply.status == 200) == bool(runs)

    gateways.run(scenario)


@pytest.mark.parametrize("path", PATHS)
def test_reload_beside_a_silent_server_ends_no_running_request(path):
    async def scenario(fleet):
        replies = []
        await _prepare(fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_call, fleet, path, replies)
            await trio.sleep(BEFORE_S)
            nursery.start_soon(_pause, fleet, _hosts(fleet))
            for gateway in fleet.gateways.values():
                changed = dataclasses.replace(
                    gateway.settings.gateway,
                    grace_s=5.0,
                    retry_ratio=0.0,
                    retry_extra=0.0,
                )
                gateway.reload(
                    dataclasses.replace(gateway.settings, gateway=changed)
                )
                await trio.sleep(0.2)
        _check_whole(replies)

    gateways.run(scenario)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("stops_after_s", [-1.0, 0.0, 1.0])
def test_stop_beside_a_silent_server_ends_no_running_request(
    stops_after_s, path
):
    """The silence lies within the grace period, or reaches into it."""

    async def scenario(fleet):
        replies = []
        await _prepare(fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_call, fleet, path, replies)
            await trio.sleep(BEFORE_S)
            if stops_after_s < 0:
                nursery.start_soon(fleet.gateways["g0"].drain)
                await trio.sleep(-stops_after_s)
            nursery.start_soon(_pause, fleet, _hosts(fleet))
            if stops_after_s >= 0:
                await trio.sleep(stops_after_s)
                nursery.start_soon(fleet.gateways["g0"].drain)
        _check_whole(replies)

    gateways.run(scenario)


@pytest.mark.parametrize("grace_s", [3.0, 5.0, 8.0, 20.0])
@pytest.mark.parametrize("path", PATHS)
def test_stop_leaves_requests_five_sixths_of_the_grace(path, grace_s):
    """A request that still runs then may be cut off."""

    async def scenario(fleet):
        ended_s = []
        await _prepare(fleet)
        for engine in fleet.engines:
            engine.events = 2000
        for shop in fleet.shop_servers:
            shop.work_s = 100.0
        fleet.store.put("op/config", _configuration(3, timeoutMs=100_000))
        await trio.sleep(3.0)
        gateway = fleet.gateways["g0"]
        gateway.settings = dataclasses.replace(
            gateway.settings,
            gateway=dataclasses.replace(
                gateway.settings.gateway, grace_s=grace_s
            ),
        )

        async def call():
            fields = {} if path in PATHS[2:] else {"adapter": "base"}
            await fleet.call(path, deadline_ms=100_000, **fields)
            ended_s.append(trio.current_time())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(BEFORE_S)
            stopped_s = trio.current_time()
            nursery.start_soon(gateway.drain)
        assert 5 / 6 * grace_s <= ended_s[0] - stopped_s < grace_s

    gateways.run(scenario)


async def _send(stream, conn, path, request_id, pad=0):
    """Send a request on a kept connection and read the reply."""
    fields = [
        ("host", gateways.HOST),
        (messages.REQUEST_ID, request_id),
        ("x-pad", "p" * pad),
        ("content-length", "1"),
    ]
    request = h11.Request(method="POST", target=path, headers=fields)
    events = (request, h11.Data(data=b"x"), h11.EndOfMessage())
    await stream.send_all(b"".join(map(conn.send, events)))
    reply = await gateways.read_reply(stream, conn)
    conn.start_next_cycle()
    return reply


@pytest.mark.parametrize(
    ("before", "after", "idle_s", "pad"),
    [
        ({"idleTimeoutMs": 2000}, {"idleTimeoutMs": 30_000}, 6.0, 0),
        ({"idleTimeoutMs": 30_000}, {"idleTimeoutMs": 5000}, 4.0, 0),
        ({"maxHeaderBytes": 1000}, {"maxHeaderBytes": 9000}, 3.0, 4000),
    ],
    ids=["longer_idle", "shorter_idle", "larger_headers"],
)
def test_kept_connections_follow_the_limits_of_a_new_configuration(
    before, after, idle_s, pad
):
    async def scenario(fleet):
        for version, limits in ((2, before), (3, after)):
            raw = _configuration(version)
            raw["limits"] = {**raw["limits"], **limits}
            fleet.store.put("op/config", raw)
            await trio.sleep(2.0)
            if version == 2:
                network = fleet.net.network("caller")
                stream = await network.open_stream("g0:80")
                conn = h11.Connection(h11.CLIENT)
                first = await _send(stream, conn, "/orders/9", "r1")
                assert first.status == 200
        await trio.sleep(idle_s - 2.0)
        reply = await _send(stream, conn, "/orders/9", "r2", pad)
        assert reply.status == 200 and reply.whole

    gateways.run(scenario)
