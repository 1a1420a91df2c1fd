"""The demo of the users' platform: gateways, metadata store and servers.

Everything runs in one process on loopback.  The demo sends sample
requests as callers do and checks every answer.
"""

import contextlib
import dataclasses
import uuid

import trio

from coltsfootsail import _demo
from coltsfootsail import _embedded
from coltsfootsail import _gateway
from coltsfootsail import _http
from coltsfootsail import _net
from coltsfootsail import _settings
from coltsfootsail.platform import messages
from coltsfootsail.standins import servers
from coltsfootsail.standins import store
from coltsfootsail.standins import users

NAME = "platform"
NODES = ("g0", "g1", "g2")
ENGINES = ("e0", "e1")
SHOPS = ("s0", "s1")
ADAPTERS = 6
REQUESTS_PER_ADAPTER = 3
READY_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 10.0
DEADLINE_MS = "8000"


@dataclasses.dataclass(frozen=True, slots=True)
class RunningPlatform:
    """The running platform.

    :param addresses: dict of name and part, such as ``g0/caller``, to
        address.
    :param engines: dict of name to ``ModelServer``.
    :param shops: dict of name to ``PlainServer``.
    :param client: sends the requests of callers.
    """

    addresses: dict
    engines: dict
    shops: dict
    client: _http.HttpClient


def _address_names():
    yield "store"
    yield from (*ENGINES, *SHOPS)
    for node in NODES:
        for part in ("caller", "peer", "ready", "directory"):
            yield f"{node}/{part}"


def node_settings(name, addresses, nodes=NODES):
    """Create the settings of a gateway node.

    :param addresses: dict of name and part, such as ``g0/caller``, to
        address.
    :param nodes: names of all nodes.
    """
    return _settings.Settings(
        node=_settings.NodeSettings(
            name=name,
            region="here",
            data_centre="a",
            caller_address=addresses[f"{name}/caller"],
            peer_address=addresses[f"{name}/peer"],
            admin_address=addresses[f"{name}/ready"],
            seed_addresses=tuple(addresses[f"{node}/peer"] for node in nodes),
        ),
        platform=_settings.PlatformSettings((addresses["store"],)),
        lease=_settings.LeaseSettings(ttl_s=8, renew_s=1.5, margin_s=2.0),
        gateway=_settings.GatewaySettings(
            ready_address=addresses[f"{name}/ready"],
            directory_address=addresses[f"{name}/directory"],
        ),
    )


@contextlib.asynccontextmanager
async def running():
    """Context manager that runs the platform on loopback.

    It yields a ``RunningPlatform`` once every node is ready.
    """
    addresses = _embedded.loopback_addresses(_address_names())
    network = _net.tcp_network()
    store_stand_in = store.StoreStandIn()
    store_stand_in.put("op/config", users.configuration(1))
    engines = {
        name: servers.ModelServer(f"i-{name}", store_stand_in, addresses[name])
        for name in ENGINES
    }
    shops = {name: servers.PlainServer(f"i-{name}") for name in SHOPS}
    platform = RunningPlatform(
        addresses, engines, shops, _http.HttpClient(network)
    )
    async with trio.open_nursery() as nursery:
        handler = store_stand_in.connection_handler(addresses["store"])
        await nursery.start(network.serve, addresses["store"], handler)
        for name, server in {**engines, **shops}.items():
            await nursery.start(network.serve, addresses[name], server.serve)
        for server in engines.values():
            server.register()
        for name in SHOPS:
            entry = users.plain_entry(addresses[name])
            store_stand_in.put(f"servers/i-{name}", entry)
        for name in NODES:
            gateway = _gateway.Gateway(node_settings(name, addresses), network)
            nursery.start_soon(gateway.run)
        await _wait_ready(platform)
        yield platform
        nursery.cancel_scope.cancel()


async def _wait_ready(platform):
    """Wait until every node is ready and a stream succeeds."""
    with trio.fail_after(READY_TIMEOUT_S):
        for node in NODES:
            while not await _is_ready(
                platform, platform.addresses[f"{node}/ready"]
            ):
                await trio.sleep(0.05)
        while await _check_stream(platform, "g0", "base/a0"):
            await trio.sleep(0.2)


async def _is_ready(platform, address):
    try:
        status, _ = await platform.client.call_json(
            address, "GET", messages.READY_PATH
        )
    except OSError:
        return False
    return status == 200


async def _send_request(platform, address, path, body, extra_headers=()):
    """Send one request.

    :returns: tuple of request id, status, exchange and body; the
        exchange has the headers of the answer.
    """
    request_id = uuid.uuid4().hex[:16]
    headers = [
        ("host", users.HOST),
        (messages.REQUEST_ID, request_id),
        (messages.DEADLINE, DEADLINE_MS),
        *extra_headers,
    ]
    with trio.fail_after(CALL_TIMEOUT_S):
        async with platform.client.exchange(address) as exchange:
            await exchange.send("POST", path, headers, body)
            status = await exchange.read_head()
            answer = await exchange.read_body(1 << 20)
            return request_id, status, exchange, answer


async def _check_stream(platform, node, adapter):
    """Request one stream and check it.

    :returns: the problem, empty if there is none.
    """
    headers = [
        (messages.MODEL, adapter),
        (messages.TOKENS, "400,80"),
        (messages.PROMPT_PREFIX, "aa:100,bb:300"),
    ]
    address = platform.addresses[f"{node}/caller"]
    _, status, _, body = await _send_request(
        platform, address, "/notes/1", b"A note.", headers
    )
    if status != 200:
        return f"status {status}"
    name = adapter.partition("/")[2]
    events = body.decode().split("\n\n")[:-1]
    events_match = all(
        event == f"id: {number}\ndata: {name}@1 {number}"
        for number, event in enumerate(events)
    )
    return "" if events and events_match else "events of another request"


async def _check_order(platform, node):
    """Send an order and check that it ran exactly once.

    :returns: the problem, empty if there is none.
    """
    address = platform.addresses[f"{node}/caller"]
    request_id, status, exchange, body = await _send_request(
        platform, address, "/orders/7", b"order 7"
    )
    if status != 200 or body != b"done:order 7":
        return f"status {status}"
    if exchange.header(messages.REQUEST_ID) != request_id:
        return "an answer to another request"
    runs = [run for shop in platform.shops.values() for run in shop.runs]
    count = sum(run.request_id == request_id for run in runs)
    return "" if count == 1 else f"ran {count} times"


async def _add_result(tally, label, send, *args):
    try:
        problem = await send(*args)
    except (OSError, trio.TooSlowError) as exc:
        problem = f"no answer: {exc}"
    tally.add(label, problem)


async def send_sample(platform):
    """Send sample requests and check every answer.

    :param platform: a ``RunningPlatform``.
    :returns: a ``Tally``.
    """
    tally = _demo.Tally()
    async with trio.open_nursery() as nursery:
        for number in range(ADAPTERS * REQUESTS_PER_ADAPTER):
            node = NODES[number % len(NODES)]
            adapter = f"base/a{number % ADAPTERS}"
            nursery.start_soon(
                _add_result,
                tally,
                "streams",
                _check_stream,
                platform,
                node,
                adapter,
            )
            nursery.start_soon(
                _add_result, tally, "orders", _check_order, platform, node
            )
    return tally


async def run_once():
    """Run the platform, send the sample and stop.

    :returns: the report, see ``_demo.Tally.report``.
    """
    async with running() as platform:
        tally = await send_sample(platform)
    return tally.report(NAME, len(NODES))


async def run_forever(announce):
    """Run the platform until interrupted.

    :param announce: called with a dict of addresses, and again with the
        report on the sample once it is sent.
    """
    async with running() as platform:
        addresses = platform.addresses
        value = {
            "deployment": NAME,
            "callers": [addresses[f"{node}/caller"] for node in NODES],
            "admin": addresses["g0/ready"],
            "kv": addresses["store"],
        }
        announce(value)
        tally = await send_sample(platform)
        announce({**value, "sample": tally.report(NAME, len(NODES))})
        await trio.sleep_forever()
