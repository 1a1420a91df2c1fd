"""Large bodies of requests beside servers that read slowly, or not at all."""

import dataclasses
import math

import h11
import pytest
import trio
import trio.testing

from coltsfootsail import _held_memory
from coltsfootsail import _wire
from coltsfootsail import exceptions
from coltsfootsail.platform import messages
from coltsfootsail.standins import users
from tests import gateways
from tests import test_relays

LARGE = 16  # requests at a time, about twice what the budget allows
BODY = b"x" * (users.LIMITS["maxBodyBytes"] - 4096)
READ_BYTES = 16_384  # after which a slow server begins to be slow
SLOW_BYTES_PER_S = 500_000
SERVERS = ("s0", "s1", "e0", "e1")
FULL = exceptions.MemoryFull.code
PATHS = {
    "/orders/9": {},
    "/stock/9": {},
    "/notes/1": {"adapter": "base/a1"},
    "/prints/1": {"adapter": "base/a1"},
}


class _SlowReader(trio.abc.Stream):
    """A server's side of a connection on which it reads large bodies slowly.

    :param bytes_per_s: how fast, 0 for not at all.
    """

    def __init__(self, stream, bytes_per_s):
        self._stream = stream
        self._bytes_per_s = bytes_per_s

    async def receive_some(self, max_bytes=None):
        """Receive bytes."""
        data = await self._stream.receive_some(READ_BYTES)
        if len(data) == READ_BYTES:
            pace = self._bytes_per_s
            await trio.sleep(len(data) / pace if pace else math.inf)
        return data

    async def send_all(self, data):
        """Send bytes."""
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        """Return at once."""
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self):
        """Close the connection."""
        await self._stream.aclose()


async def _slow_down(fleet, bytes_per_s):
    """Let all servers read large bodies slowly, on new connections."""
    for name in SERVERS:
        servers = fleet.engines if name[0] == "e" else fleet.shop_servers
        server = servers[int(name[1])]

        async def serve(stream, serve_stream=server.serve):
            await serve_stream(_SlowReader(stream, bytes_per_s))

        fleet.scopes[name].cancel()
        fleet.net.break_host(name)
        await trio.sleep(0.01)
        await fleet.listen(f"{name}:80", serve)


def _ran(fleet):
    """Get the ids of the requests that arrived whole at a server."""
    servers = [*fleet.engines, *fleet.shop_servers]
    return {each for server in servers for each in server.arrived_ids}


def _is_refused(reply):
    return reply.status == 503 and FULL.encode() in reply.body


async def _check(fleet, replies):
    """Check the replies to large requests, by id, and what is held."""
    ran = _ran(fleet)
    for request_id, reply in replies.items():
        assert reply.whole and reply.status in (200, 502, 503, 504)
        if _is_refused(reply):
            assert request_id not in ran
            assert reply.headers["retry-after"]
    await trio.testing.wait_all_tasks_blocked()
    for gateway in fleet.gateways.values():
        held = gateway.held_memory
        assert held.peak_bytes <= held.budget_bytes
        assert held.held_bytes == 0


async def _send_large(fleet, path):
    """Send many large requests, and small ones beside them.

    :returns: the replies to the large ones by id, and the statuses of the
        small ones.
    """
    replies, small = {}, []

    async def call(request_id):
        replies[request_id] = await fleet.call(
            path, body=BODY, request_id=request_id, **PATHS[path]
        )

    async def call_small(request_id):
        reply = await fleet.call(path, request_id=request_id, **PATHS[path])
        small.append(reply.status)

    async with trio.open_nursery() as nursery:
        for number in range(LARGE):
            nursery.start_soon(call, f"large-{number}")
        for number in range(20):
            await trio.sleep(0.05)
            nursery.start_soon(call_small, f"small-{number}")
    return replies, small


@pytest.mark.parametrize("bytes_per_s", [0, SLOW_BYTES_PER_S])
@pytest.mark.parametrize("path", PATHS)
def test_large_bodies_keep_to_the_budget_and_small_ones_pass(
    path, bytes_per_s
):
    async def scenario(fleet):
        if path in ("/notes/1", "/prints/1"):
            await fleet.call(path, **PATHS[path])
        await _slow_down(fleet, bytes_per_s)
        replies, small = await _send_large(fleet, path)
        await _check(fleet, replies)
        refused = [each for each in replies.values() if _is_refused(each)]
        assert 1 <= len(refused) < LARGE
        counters = fleet.gateways["g0"].metrics
        assert counters.counter_total("refusals", FULL) == len(refused)
        assert small == [200] * len(small)

    gateways.run(scenario)


async def _change(fleet):
    await trio.lowlevel.checkpoint()
    fleet.store.put("op/config", gateways.configuration(2))


async def _stop(fleet):
    await fleet.gateways["g0"].drain()


async def _reload(fleet):
    await trio.lowlevel.checkpoint()
    fleet.gateways["g0"].reload(gateways.settings("g0"))


@pytest.mark.parametrize("after_s", [0.001, 0.3, 2.0, 4.9])
@pytest.mark.parametrize("act", [_change, _stop, _reload])
def test_large_bodies_are_answered_beside(act, after_s):
    async def act_later(fleet):
        await trio.sleep(after_s)
        await act(fleet)

    async def scenario(fleet):
        await _slow_down(fleet, SLOW_BYTES_PER_S)
        replies = {}

        async def call(request_id):
            replies[request_id] = await fleet.call(
                "/orders/9", body=BODY, request_id=request_id
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(act_later, fleet)
            for number in range(LARGE):
                nursery.start_soon(call, f"large-{number}")
        assert len(replies) == LARGE
        await _check(fleet, replies)

    gateways.run(scenario)


async def _open(fleet, headers):
    """Send the head of a request.

    :returns: the stream and its ``h11.Connection``.
    """
    stream = await fleet.net.network("caller").open_stream("g0:80")
    conn = h11.Connection(h11.CLIENT)
    fields = [
        ("host", gateways.HOST),
        (messages.REQUEST_ID, "r1"),
        (messages.DEADLINE, "5000"),
        *headers,
    ]
    req = h11.Request(method="POST", target="/orders/9", headers=fields)
    await stream.send_all(conn.send(req))
    return stream, conn


def _fill(fleet, large_bytes, node="g0"):
    """Leave room for only so many bytes of large requests."""
    held = fleet.gateways[node].held_memory
    held.budget_bytes = large_bytes / _held_memory.REQUEST.large_share


def test_stated_length_without_room_is_refused_instead_of_a_continue():
    async def scenario(fleet):
        _fill(fleet, 1_000_000)
        fields = [("content-length", "2000000"), ("expect", "100-continue")]
        stream, conn = await _open(fleet, fields)
        reply = await gateways.read_reply(stream, conn)
        assert _is_refused(reply) and reply.whole
        assert fleet.gateways["g0"].held_memory.held_bytes == 0

    gateways.run(scenario)


def test_chunked_body_is_refused_once_there_is_no_room():
    async def scenario(fleet):
        _fill(fleet, 1_000_000)
        held = fleet.gateways["g0"].held_memory
        stream, conn = await _open(fleet, [("transfer-encoding", "chunked")])
        with trio.move_on_after(0.5):
            while True:
                data = conn.send(h11.Data(data=b"x" * 50_000))
                await stream.send_all(data)
                await trio.sleep(0.01)
        reply = await gateways.read_reply(stream, conn)
        assert _is_refused(reply) and reply.whole
        assert 900_000 <= held.peak_bytes <= 1_100_000
        assert held.held_bytes == 0 and not _ran(fleet) & {"r1"}

    gateways.run(scenario)


def test_caller_that_leaves_within_a_body_gives_its_memory_back():
    async def scenario(fleet):
        held = fleet.gateways["g0"].held_memory
        stream, conn = await _open(fleet, [("content-length", "2000000")])
        await stream.send_all(conn.send(h11.Data(data=b"x" * 100_000)))
        await trio.sleep(0.1)
        assert held.held_bytes == 100_000
        await trio.aclose_forcefully(stream)
        await trio.sleep(0.1)
        assert held.held_bytes == 0

    gateways.run(scenario)


def test_callers_that_only_state_large_bodies_keep_no_sound_one_out():
    async def scenario(fleet):
        held = fleet.gateways["g0"].held_memory
        _fill(fleet, 3_000_000)
        streams = []
        for _ in range(40):
            stream, _ = await _open(fleet, [("content-length", "910000")])
            streams.append(stream)
        await trio.sleep(0.1)
        assert held.held_bytes == 0
        body = b"x" * 1_000_000
        reply = await fleet.call("/orders/9", body=body, request_id="r9")
        assert reply.status == 200 and "r9" in _ran(fleet)
        for stream in streams:
            await trio.aclose_forcefully(stream)

    gateways.run(scenario)


@pytest.mark.parametrize("bytes_per_s", [0, SLOW_BYTES_PER_S])
@pytest.mark.parametrize("path", ["/orders/9", "/notes/1"])
def test_large_bodies_through_another_node_keep_to_its_budget(
    path, bytes_per_s
):
    async def scenario(fleet):
        if path == "/notes/1":
            await fleet.call(path, **PATHS[path])
        await _slow_down(fleet, bytes_per_s)
        await test_relays._cut_and_notice(fleet, "g0")
        _fill(fleet, 10_000_000, "g1")
        replies, small = await _send_large(fleet, path)
        await _check(fleet, replies)
        assert fleet.gateways["g1"].metrics.counter_total("relays", FULL)
        assert small == [200] * len(small)

    gateways.run(scenario)


def test_request_without_room_at_the_other_node_is_refused_as_not_run():
    async def scenario(fleet):
        await test_relays._cut_and_notice(fleet, "g0")
        _fill(fleet, 1_000_000, "g1")
        begun_s = trio.current_time()
        reply = await fleet.call("/orders/9", body=BODY, request_id="r9")
        assert _is_refused(reply) and "r9" not in _ran(fleet)
        assert trio.current_time() - begun_s <= 0.5
        await _check(fleet, {})

    gateways.run(scenario)


def test_early_form_that_sends_all_before_it_reads_learns_of_the_refusal():
    async def scenario(fleet):
        body = 3 * BODY
        _fill(fleet, 10_000_000, "g1")
        stream = await fleet.net.network("g0").open_stream("g1:81")
        link = _wire.MessageStream(stream)
        await link.send(
            _wire.RelayRequest(
                "i-s0", "r9", "POST", "/orders/9", (), len(body)
            )
        )
        for start in range(0, len(body), 262_144):
            part = body[start : start + 262_144]
            await link.send(_wire.AnswerData(part))
        answer = await link.receive()
        assert (answer.code, answer.outcome) == (FULL, "not_run")
        await trio.aclose_forcefully(stream)
        assert "r9" not in _ran(fleet)

    gateways.run(scenario)


def test_budget_follows_the_memory_that_a_reload_states():
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        settings = gateways.settings("g0")
        fields = dataclasses.replace(settings.gateway, memory_mb=160)
        gateway.reload(dataclasses.replace(settings, gateway=fields))
        replies, _ = await _send_large(fleet, "/orders/9")
        assert sum(map(_is_refused, replies.values())) == LARGE - 2
        assert gateway.held_memory.budget_bytes < 20_000_000

    gateways.run(scenario)
