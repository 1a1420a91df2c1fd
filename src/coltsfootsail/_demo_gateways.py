"""The demo of the users' platform: gateways, its store and servers.

Everything runs in one process on loopback; a sample of requests is sent
as callers would, and every answer is checked.
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
REQUESTS = 3
READY_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 10.0
DEADLINE_MS = "8000"


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """What runs: addresses by name, stand-ins by name and a client."""

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


def node_settings(name, at, nodes=NODES):
    """Make a node's settings from the addresses of all.

    :param at: dict of name and part to address.
    """
    return _settings.Settings(
        node=_settings.NodeSettings(
            name=name,
            region="here",
            data_centre="a",
            caller_address=at[f"{name}/caller"],
            peer_address=at[f"{name}/peer"],
            admin_address=at[f"{name}/ready"],
            seed_addresses=tuple(at[f"{node}/peer"] for node in nodes),
        ),
        platform=_settings.PlatformSettings((at["store"],)),
        lease=_settings.LeaseSettings(ttl_s=8, renew_s=1.5, margin_s=2.0),
        gateway=_settings.GatewaySettings(
            ready_address=at[f"{name}/ready"],
            directory_address=at[f"{name}/directory"],
        ),
    )


@contextlib.asynccontextmanager
async def running():
    """Run the deployment on loopback.

    Yields a ``Running`` once every node is ready.
    """
    at = _embedded.loopback_addresses(_address_names())
    network = _net.tcp_network()
    stand_in = store.StoreStandIn()
    stand_in.put("op/config", users.configuration(1))
    engines = {
        name: servers.ModelServer(f"i-{name}", stand_in, at[name])
        for name in ENGINES
    }
    shops = {name: servers.PlainServer(f"i-{name}") for name in SHOPS}
    found = Running(at, engines, shops, _http.HttpClient(network))
    async with trio.open_nursery() as nursery:
        door = stand_in.door(at["store"])
        await nursery.start(network.serve, at["store"], door)
        for name, server in {**engines, **shops}.items():
            await nursery.start(network.serve, at[name], server.serve)
        for server in engines.values():
            server.register()
        for name in SHOPS:
            entry = users.plain_entry(at[name])
            stand_in.put(f"servers/i-{name}", entry)
        for name in NODES:
            gateway = _gateway.Gateway(node_settings(name, at), network)
            nursery.start_soon(gateway.run)
        await _wait_ready(found)
        yield found
        nursery.cancel_scope.cancel()


async def _wait_ready(found):
    """Wait until every node is ready and a stream was served."""
    with trio.fail_after(READY_TIMEOUT_S):
        for node in NODES:
            while not await _is_ready(found, found.addresses[f"{node}/ready"]):
                await trio.sleep(0.05)
        while await _stream(found, "g0", "base/a0"):
            await trio.sleep(0.2)


async def _is_ready(found, address):
    try:
        status, _ = await found.client.call_json(
            address, "GET", messages.READY_PATH
        )
    except OSError:
        return False
    return status == 200


async def _call(found, address, path, body, headers=()):
    """Send one request.

    :returns: tuple of request id, status, headers and body.
    """
    name = uuid.uuid4().hex[:16]
    fields = [
        ("host", users.HOST),
        (messages.REQUEST_ID, name),
        (messages.DEADLINE, DEADLINE_MS),
        *headers,
    ]
    with trio.fail_after(CALL_TIMEOUT_S):
        async with found.client.exchange(address) as exchange:
            await exchange.send("POST", path, fields, body)
            status = await exchange.read_head()
            answer = await exchange.read_body(1 << 20)
            return name, status, exchange, answer


async def _stream(found, node, adapter):
    """Ask for one stream and check it.

    :returns: the problem, empty if there is none.
    """
    headers = [
        (messages.MODEL, adapter),
        (messages.TOKENS, "400,80"),
        (messages.PROMPT_PREFIX, "aa:100,bb:300"),
    ]
    address = found.addresses[f"{node}/caller"]
    _, status, _, body = await _call(
        found, address, "/notes/1", b"A note.", headers
    )
    if status != 200:
        return f"status {status}"
    name = adapter.partition("/")[2]
    events = body.decode().split("\n\n")[:-1]
    numbered = all(
        event == f"id: {number}\ndata: {name}@1 {number}"
        for number, event in enumerate(events)
    )
    return "" if events and numbered else "events of another request"


async def _order(found, node):
    """Send an order, which must run exactly once."""
    address = found.addresses[f"{node}/caller"]
    name, status, exchange, body = await _call(
        found, address, "/orders/7", b"order 7"
    )
    if status != 200 or body != b"done:order 7":
        return f"status {status}"
    if exchange.header(messages.REQUEST_ID) != name:
        return "an answer to another request"
    runs = [run for shop in found.shops.values() for run in shop.runs]
    count = sum(run.request_id == name for run in runs)
    return "" if count == 1 else f"ran {count} times"


async def _note(tally, kind, send, *args):
    try:
        problem = await send(*args)
    except (OSError, trio.TooSlowError) as exc:
        problem = f"no answer: {exc}"
    tally.note(kind, problem)


async def send_sample(found):
    """Send a sample and check every answer.

    :param found: a ``Running``.
    :returns: a ``Tally``.
    """
    tally = _demo.Tally()
    async with trio.open_nursery() as nursery:
        for number in range(ADAPTERS * REQUESTS):
            node = NODES[number % len(NODES)]
            adapter = f"base/a{number % ADAPTERS}"
            nursery.start_soon(
                _note, tally, "streams", _stream, found, node, adapter
            )
            nursery.start_soon(_note, tally, "orders", _order, found, node)
    return tally


async def run_once():
    """Run the deployment, send the sample and stop.

    :returns: the report as plain data.
    """
    async with running() as found:
        tally = await send_sample(found)
    return tally.report(NAME, len(NODES))


async def run_forever(announce):
    """Run the deployment until interrupted.

    :param announce: called with a dict of addresses once it is ready.
    """
    async with running() as found:
        tally = await send_sample(found)
        at = found.addresses
        announce(
            {
                "deployment": NAME,
                "callers": [at[f"{node}/caller"] for node in NODES],
                "admin": at["g0/ready"],
                "kv": at["store"],
                "sample": tally.report(NAME, len(NODES)),
            }
        )
        await trio.sleep_forever()
