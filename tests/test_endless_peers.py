"""What a node holds for other nodes that send without end or do not read."""

import contextlib
import types

import pytest
import trio
import trio.testing

from coltsfootsail import _held_memory
from coltsfootsail import _kv
from coltsfootsail import _mesh
from coltsfootsail import _peers
from coltsfootsail import _seeds
from coltsfootsail import _wire
from coltsfootsail import exceptions
from coltsfootsail.standins import network as memory
from tests import gateways

PART = b"x" * 65536
SENT_BYTES_MAX = 1 << 26
ARRAY = b"\xdd\x00\x3f\x00\x00"  # of 4,128,768 values
STRING = b"\xdb\x00\x00\xff\xfb" + PART[5:]


@pytest.fixture
def send_without_end(virtual):
    """Send a node bytes without end until it ends the link.

    :returns: how many bytes were sent.
    """

    def run(begin, part, account=None):
        sent = []

        async def main():
            left, right = trio.testing.memory_stream_pair()

            async def send():
                await left.send_all(begin)
                while sum(sent) < SENT_BYTES_MAX:
                    await left.send_all(part)
                    sent.append(len(part))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                messages = _wire.MessageStream(right, account=account)
                with pytest.raises(exceptions.WireError):
                    await messages.receive()
                nursery.cancel_scope.cancel()

        virtual(main)
        return sum(sent)

    return run


@pytest.mark.parametrize("begin", [ARRAY, b"\x92\x03" + ARRAY])
def test_message_of_values_without_end_ends_the_link(send_without_end, begin):
    sent = send_without_end(begin, STRING)
    assert sent <= _wire.MESSAGE_BYTES_MAX + 2 * len(PART)


@pytest.mark.parametrize("value", [b"\x80", b"\x90", b"\x91\xc0"])
def test_message_that_decodes_to_many_times_its_size_ends_the_link(
    send_without_end, value
):
    arrays = b"\xdc\x10\x00" + value * 4096
    sent = send_without_end(b"\xdc\xff\xff", arrays)
    assert sent <= (_wire.VALUES_MAX + 8192) * len(value) + len(PART)


def test_incomplete_messages_of_many_peers_share_one_budget(virtual):
    budget = _held_memory.HeldMemory(100_000_000)
    ends = []

    async def main():
        async def receive():
            left, right = trio.testing.memory_stream_pair()
            await left.send_all(b"\x92\x0d\xc6\x00\x3f\x00\x00" + 30 * PART)
            with budget.hold(_held_memory.PEER) as account:
                messages = _wire.MessageStream(right, account=account)
                try:
                    await messages.receive()
                except exceptions.WireError as exc:
                    ends.append(exc.detail)

        async with trio.open_nursery() as nursery:
            for _ in range(50):
                nursery.start_soon(receive)
            await trio.sleep(1.0)
            large_bytes = _held_memory.PEER.large_share * 100_000_000
            small_bytes = 50 * _held_memory.SMALL_BYTES
            assert budget.peak_bytes <= large_bytes + small_bytes
            nursery.cancel_scope.cancel()

    virtual(main)
    assert set(ends) == {"memory of all peers"}
    assert budget.held_bytes == 0


def test_two_messages_of_the_largest_size_pass_in_the_smallest_budget():
    budget = _held_memory.HeldMemory(_held_memory.budget_bytes(0))
    for _ in range(2):
        account = _held_memory.Account(budget, _held_memory.PEER)
        assert account.take(_wire.MESSAGE_BYTES_MAX)


def test_link_that_was_sent_a_large_message_holds_nothing_for_it(virtual):
    budget = _held_memory.HeldMemory(50_000_000)
    large = _wire.DeploymentUpdate(30 * PART, (("m/a", 1),))

    async def main():
        left, right = trio.testing.memory_stream_pair()
        account = _held_memory.Account(budget, _held_memory.PEER)
        messages = _wire.MessageStream(right, account=account)
        for _ in range(3):
            await left.send_all(_wire.encode(large))
            assert await messages.receive() == large
            with trio.move_on_after(1.0):
                await messages.receive()
            assert budget.held_bytes == 0
        await left.send_all(_wire.encode(_wire.Ping()))
        assert await messages.receive() == _wire.Ping()

    virtual(main)
    assert budget.peak_bytes >= len(large.deployment) - len(PART)


def test_versions_of_all_adapters_pass_in_one_message(virtual):
    versions = tuple((f"model/adapter-{n:05}", n) for n in range(50_000))
    update = _wire.DeploymentUpdate(b"c" * 1_000_000, versions)

    async def main():
        left, right = trio.testing.memory_stream_pair()
        await left.send_all(_wire.encode(update))
        assert await _wire.MessageStream(right).receive() == update

    virtual(main)


async def _link_to(net, address, name):
    """Open a link to a node from a peer of another name.

    :returns: the peer's ``MessageStream``.
    """
    messages = _wire.MessageStream(
        await net.network(name).open_stream(address)
    )
    await messages.send(_wire.Hello(name, "here", "1").announcing())
    return messages


async def _receive_updates(messages, updates):
    with contextlib.suppress(OSError):
        while (msg := await messages.receive()) is not None:
            if isinstance(msg, _wire.DeploymentUpdate):
                updates.append(msg)


def _enlarge_configuration(gateway):
    """Let a gateway hold a configuration of a megabyte."""
    gateway.view.raw_deployment += b" " * 1_000_000


def test_peer_that_never_reads_is_queued_one_update():
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        _enlarge_configuration(gateway)
        made = []
        make_update = gateway.peers._make_update
        gateway.peers._make_update = lambda: made.append(1) or make_update()
        messages = await _link_to(fleet.net, "g0:81", "h0")
        for _ in range(500):
            await messages.send(_wire.Heartbeat(0, True))
        await trio.sleep(2.0)
        assert len(made) == 1
        assert "h0" in gateway.mesh.linked_nodes()
        await trio.sleep(_mesh.SEND_TIMEOUT_S)
        assert "h0" not in gateway.mesh.linked_nodes()

    gateways.run(scenario)


def test_all_peers_that_are_behind_get_an_update():
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        _enlarge_configuration(gateway)
        updates = []
        async with trio.open_nursery() as nursery:
            for number in range(30):
                messages = await _link_to(fleet.net, "g0:81", f"h{number}")
                await messages.send(_wire.Heartbeat(0, True))
                if number >= 2:  # the first ones do not read
                    nursery.start_soon(_receive_updates, messages, updates)
            await trio.sleep(2.0)
            assert len(updates) == 28
            nursery.cancel_scope.cancel()

    gateways.run(scenario)


class _Writes:
    """A peer that reads nothing; keeps the size of each write to it."""

    def __init__(self):
        self.sizes = []

    async def send_all(self, data):
        """Write to a peer that reads the first part only."""
        self.sizes.append(len(data))
        if len(self.sizes) > 1:
            await trio.sleep_forever()


def test_entries_for_peers_that_never_read_are_made_part_by_part(virtual):
    entries = [
        _kv.Entry(f"k{n:05}", PART[:1000], n, n, 0) for n in range(9999)
    ]
    view = types.SimpleNamespace(entries=lambda: list(entries))

    async def main():
        limiter = trio.CapacityLimiter(_seeds.ASKERS_MAX)
        peers = [_Writes() for _ in range(100)]

        async def serve(peer):
            messages = _wire.MessageStream(peer)
            with contextlib.suppress(trio.TooSlowError):
                await _seeds.serve_entries(messages, view, limiter)

        async with trio.open_nursery() as nursery:
            for peer in peers:
                nursery.start_soon(serve, peer)
            await trio.sleep(_seeds.ANSWER_TIMEOUT_S / 2)
            sizes = [size for peer in peers for size in peer.sizes]
            assert 0 < len(sizes) <= 2 * _seeds.ASKERS_MAX
            assert max(sizes) <= 2 * _seeds.BATCH_BYTES
        # Each of them was left in time for the next ones.
        after_s = trio.current_time()
        turns = -(-len(peers) // _seeds.ASKERS_MAX)
        assert after_s <= turns * _seeds.ANSWER_TIMEOUT_S + 0.5

    virtual(main)


@pytest.mark.parametrize(
    ("key", "value"),
    [("k", PART), ("k" * 1_000_000, b"")],
    ids=["values", "keys"],
)
def test_entries_of_a_seed_without_end_are_left(virtual, key, value):
    entry = _wire.encode(_wire.ViewEntry(key, value, 1))
    sent = []

    async def serve(stream):
        await stream.receive_some(65536)
        with contextlib.suppress(trio.BrokenResourceError):
            while sum(sent) < 3 * _seeds.ENTRIES_BYTES_MAX:
                await stream.send_all(entry)
                sent.append(len(entry))

    async def main():
        net = memory.MemoryNetwork()
        async with trio.open_nursery() as nursery:
            await nursery.start(net.network("s").serve, "s:1", serve)
            with pytest.raises(exceptions.WireError):
                await _seeds.fetch_entries(net.network("c"), "s:1")
            nursery.cancel_scope.cancel()

    virtual(main)
    assert sum(sent) <= _seeds.ENTRIES_BYTES_MAX + 2_000_000


async def _ask_page(fleet, answers, request, body=b""):
    """Ask for a page and read the first part of the answer only."""
    stream = await fleet.net.network("h").open_stream("g0:82")
    await stream.send_all(request + b"\r\n\r\n")
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(body)
    with trio.move_on_after(4.0):
        answers.append(await stream.receive_some(1000))
    await trio.sleep(4.0)


def test_pages_that_are_not_read_share_the_budget_of_answers():
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        gateway.metrics.render = lambda: b"x" * 1_000_000
        held = gateway.held_memory
        limit_bytes = _held_memory.ANSWER.large_share * held.budget_bytes
        answers = []
        request = b"GET /metrics HTTP/1.1\r\nhost: g0"
        async with trio.open_nursery() as nursery:
            for _ in range(60):
                nursery.start_soon(_ask_page, fleet, answers, request)
            await trio.sleep(1.0)
            ready = []
            request = b"GET /v1/readyz HTTP/1.1\r\nhost: g0"
            nursery.start_soon(_ask_page, fleet, ready, request)
        assert held.peak_bytes <= limit_bytes + 60 * _held_memory.SMALL_BYTES
        served = sum(each.startswith(b"HTTP/1.1 200") for each in answers)
        refused = sum(each.startswith(b"HTTP/1.1 503") for each in answers)
        assert served > 3 and refused > 3 and served + refused == 60
        assert ready[0].startswith(b"HTTP/1.1 200")
        assert held.held_bytes == 0

    gateways.run(scenario)


def test_body_of_a_request_for_a_page_is_not_kept():
    async def scenario(fleet):
        answers = []
        request = b"GET /status HTTP/1.1\r\nhost: g0\r\ncontent-length: 99999"
        await _ask_page(fleet, answers, request, b"x" * 99999)
        assert answers[0].startswith(b"HTTP/1.1 413")

    gateways.run(scenario)


def test_checks_that_a_peer_asks_for_without_end_are_dropped():
    async def scenario(fleet):
        gateway = fleet.gateways["g0"]
        fleet.net.cut("g0", "s0")
        open_checks = []
        answer = gateway.crash_checks.answer

        async def count(msg):
            open_checks.append(msg)
            try:
                return await answer(msg)
            finally:
                open_checks.remove(msg)

        gateway.crash_checks.answer = count
        messages = await _link_to(fleet.net, "g0:81", "h0")
        for number in range(1000):
            await messages.send(_wire.ServerCheck(number, "i-s0"))
        await trio.sleep(0.1)
        assert 0 < len(open_checks) <= _peers.CHECKS_MAX
        await trio.sleep(3.0)
        messages = await _link_to(fleet.net, "g0:81", "h0")
        await messages.send(_wire.ServerCheck(1000, "i-s1"))
        reply = _wire.ServerCheckReply(1000, "reached")
        while await messages.receive() != reply:
            pass

    gateways.run(scenario)
