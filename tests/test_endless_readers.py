"""What is read without end of engines, the store and other nodes."""

import json
import tracemalloc
import types

import msgpack
import pytest
import trio
import trio.testing

from coltsfootsail import _held_memory
from coltsfootsail import _http
from coltsfootsail import _upstream
from coltsfootsail import _wire
from coltsfootsail import exceptions
from coltsfootsail import platform
from coltsfootsail.platform import engines
from coltsfootsail.standins import network as memory
from tests import gateways

SENT_BYTES_MAX = 1 << 27
PART = b"x" * 65536
STREAMS = 60
BUDGET_BYTES = 25_165_824  # of all answers, but for their first bytes
DEADLINE_MS = 4000

# What an engine sends in a stream without end.
ENDLESS_STREAMS = {
    "one event": lambda number: b"data: " + PART,
    "one line": lambda number: PART,
    "events": lambda number: b"id: %d\ndata: x\n\n" % number * 1000,
    "comments": lambda number: b": x\n\n" * 1000,
    "single bytes": lambda number: b"x",
}


class _Sender:
    """Writes a stream without end, and counts its bytes."""

    def __init__(self, server, make_part, pause_s, status=200):
        self.sent_bytes = 0
        self.sent_max = SENT_BYTES_MAX
        self._status = status
        self._server = server
        self._make_part = make_part
        self._pause_s = pause_s

    async def stream_events(self, req, resp, run):
        """Take the place of ``ModelServer._stream_events``."""
        headers = [
            *self._server._base_headers(req),
            gateways.servers.STAMP_HEADER,
        ]
        await resp.start(self._status, headers)
        number = 0
        while self.sent_bytes < self.sent_max:
            part = self._make_part(number)
            await resp.write(part)
            self.sent_bytes += len(part)
            number += 1
            await trio.sleep(self._pause_s)
        await resp.end()


@pytest.mark.parametrize("path", ["/notes/1", "/prints/1"])
@pytest.mark.parametrize("what", ENDLESS_STREAMS)
def test_streams_without_end_keep_to_one_budget_and_their_deadline(what, path):
    async def scenario(fleet):
        for engine in fleet.engines:
            sender = _Sender(engine, ENDLESS_STREAMS[what], 0.05)
            engine._stream_events = sender.stream_events
        replies = []

        async def call(number):
            begun_s = trio.current_time()
            reply = await fleet.call(
                path,
                adapter="base/a1",
                request_id=f"r{number}",
                deadline_ms=DEADLINE_MS,
            )
            replies.append((reply, trio.current_time() - begun_s))

        async with trio.open_nursery() as nursery:
            for number in range(STREAMS):
                nursery.start_soon(call, number)
        held = fleet.gateways["g0"].held_memory
        small_bytes = STREAMS * _held_memory.SMALL_BYTES
        assert held.peak_bytes <= BUDGET_BYTES + small_bytes
        assert held.held_bytes == 0
        for reply, after_s in replies:
            assert not (reply.status == 200 and reply.whole)
            assert after_s <= DEADLINE_MS / 1000 + 0.5

    gateways.run(scenario)


@pytest.mark.parametrize("status", [200, 500])
def test_what_a_caller_does_not_read_stays_in_the_budget(status):
    async def scenario(fleet):
        event = b"data: " + 15 * PART + b"\n\n"
        for engine in fleet.engines:
            sender = _Sender(engine, lambda number: event, 0.0, status)
            sender.sent_max = SENT_BYTES_MAX if status == 200 else len(event)
            engine._stream_events = sender.stream_events
        held = fleet.gateways["g0"].held_memory
        stream = await fleet.net.network("caller").open_stream("g0:80")
        await stream.send_all(
            b"POST /notes/1 HTTP/1.1\r\nhost: shop.example\r\n"
            b"coltsfootsail-request-id: r1\r\ncoltsfootsail-model: base/a1\r\n"
            b"coltsfootsail-tokens: 400,80\r\ncontent-length: 0\r\n"
            b"coltsfootsail-prompt-prefix: aa:200\r\n\r\n"
        )
        await trio.sleep(5.0)
        assert len(event) <= held.held_bytes <= len(event) + 2 * len(PART)
        await trio.aclose_forcefully(stream)
        await trio.testing.wait_all_tasks_blocked()
        assert held.held_bytes == 0

    gateways.run(scenario)


@pytest.fixture
def endless_server(virtual):
    """Run a client call against a server whose answer has no end."""

    def run(call, head):
        sent = []

        async def serve(stream):
            data = b""
            while b"\r\n\r\n" not in data:
                data += await stream.receive_some(65536)
            try:
                await stream.send_all(head)
                while sum(sent) < SENT_BYTES_MAX:
                    await stream.send_all(PART)
                    sent.append(len(PART))
            except trio.BrokenResourceError:
                return

        async def main():
            net = memory.MemoryNetwork()
            async with trio.open_nursery() as nursery:
                await nursery.start(net.network("s").serve, "s:1", serve)
                client = _http.HttpClient(net.network("c"))
                with pytest.raises((OSError, exceptions.KvError)):
                    await call(client)
                nursery.cancel_scope.cancel()

        virtual(main)
        return sum(sent)

    return run


HEADS = {
    "to the close": b"HTTP/1.1 200 OK\r\n\r\n",
    "length": b"HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\n",
    "head": b"HTTP/1.1 200 OK\r\nx: ",
}
SERVER = types.SimpleNamespace(name="i-s", address="s:1")
BUFFERED_BYTES = 2 * memory.BUFFER_BYTES


@pytest.mark.parametrize("head", HEADS)
def test_report_without_end_is_left(endless_server, head):
    async def call(client):
        await engines.fetch_report(client, SERVER, 5.0)

    sent = endless_server(call, HEADS[head])
    # A GET on a connection that may have been closed is repeated once.
    assert sent <= 2 * (engines.REPORT_BYTES_MAX + BUFFERED_BYTES)


@pytest.mark.parametrize("head", HEADS)
def test_answer_to_an_order_without_end_is_left(endless_server, head):
    async def call(client):
        order = engines.Order(True, "base/a1", 0, "g0", 1)
        await engines.send_order(client, SERVER, order, 5.0)

    sent = endless_server(call, HEADS[head])
    assert sent <= engines.ORDER_ANSWER_BYTES_MAX + BUFFERED_BYTES


@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("what", ["range", "changes", "txn", "lease_grant"])
def test_answer_of_the_store_without_end_is_left(endless_server, what, head):
    calls = {
        "range": lambda kv: kv.range(""),
        "changes": lambda kv: kv.changes("", 0, 5.0),
        "txn": lambda kv: kv.txn([], []),
        "lease_grant": lambda kv: kv.lease_grant(8.0),
    }

    async def call(client):
        await calls[what](platform.StoreClient(client, "s:1"))

    limit_bytes = {
        "range": platform.store.PAGE_BYTES_MAX,
        "changes": platform.store.CHANGES_BYTES_MAX,
    }.get(what, platform.store.WRITE_ANSWER_BYTES_MAX)
    sent = endless_server(call, HEADS[head])
    assert sent <= 2 * (limit_bytes + BUFFERED_BYTES)


@pytest.fixture
def answering_server(virtual):
    """Run a client call against a server that gives one answer to all."""

    def run(call, body, pause_s=0.0):
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
        asked = []

        async def serve(stream):
            while await stream.receive_some(65536):
                asked.append(1)
                await trio.sleep(pause_s)
                await stream.send_all(head + body)

        async def main():
            net = memory.MemoryNetwork()
            async with trio.open_nursery() as nursery:
                await nursery.start(net.network("s").serve, "s:1", serve)
                await call(_http.HttpClient(net.network("c")))
                nursery.cancel_scope.cancel()

        virtual(main)
        return len(asked)

    return run


def _page(items):
    row = {"key": "k", "value": "AAAA" * 25_000}
    value = {"items": items * [row], "hasMore": True, "storeRevision": 1}
    return json.dumps(value).encode()


@pytest.mark.parametrize("pause_s", [0.0, 0.9])
@pytest.mark.parametrize("items", [1, 20])
def test_list_of_pages_without_end_is_left(answering_server, items, pause_s):
    async def call(client):
        with trio.fail_after(2 * platform.store.LIST_TIMEOUT_S):
            with pytest.raises(exceptions.KvError):
                await platform.StoreClient(client, "s:1").range("")

    asked = answering_server(call, _page(items), pause_s)
    read_bytes = (asked - 1) * items * 75_000
    assert read_bytes <= platform.store.ENTRIES_BYTES_MAX
    assert (asked - 1) * pause_s <= platform.store.LIST_TIMEOUT_S


def test_json_that_decodes_to_many_times_its_size_is_an_error(
    answering_server,
):
    async def call(client):
        with pytest.raises(ConnectionError):
            await client.call_json("s:1", "GET", "/")

    answering_server(call, b"[" + b"[]," * 600_000 + b"1]")


def test_nested_answer_of_the_store_is_an_error(virtual):
    async def serve(stream):
        await stream.receive_some(65536)
        body = b"[" * 100_000
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
        )
        await stream.send_all(body)

    async def main():
        net = memory.MemoryNetwork()
        async with trio.open_nursery() as nursery:
            await nursery.start(net.network("s").serve, "s:1", serve)
            client = _http.HttpClient(net.network("c"))
            with pytest.raises(exceptions.KvError):
                await platform.StoreClient(client, "s:1").txn([], [])
            nursery.cancel_scope.cancel()

    virtual(main)


def test_message_of_a_node_without_end_ends_the_link(virtual):
    async def main():
        left, right = trio.testing.memory_stream_pair()
        sent = 0

        async def send():
            nonlocal sent
            await left.send_all(b"\xdd\xff\xff\xff\xff")
            while sent < SENT_BYTES_MAX:
                await left.send_all(PART)
                sent += len(PART)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            with pytest.raises(exceptions.WireError):
                await _wire.MessageStream(right).receive()
            nursery.cancel_scope.cancel()

    virtual(main)


def test_relayed_answer_without_end_is_left():
    async def scenario(fleet):
        for host in ("s0", "s1", "e0", "e1"):
            fleet.net.cut("g0", host, memory.LinkFault.REFUSED)
        await fleet.call("/stock/9", request_id="r0")
        await trio.sleep(0.5)
        for shop in fleet.shop_servers:
            shop.body = b"x" * 20_000_000
        reply = await fleet.call("/orders/9", request_id="r1")
        assert reply.status == 502
        await trio.testing.wait_all_tasks_blocked()
        assert fleet.gateways["g0"].held_memory.held_bytes == 0

    gateways.run(scenario)


def test_message_that_is_a_deep_array_ends_the_link(virtual):
    async def main():
        left, right = trio.testing.memory_stream_pair()
        await left.send_all(b"\x91" * 100_000 + msgpack.packb(1))
        with pytest.raises(exceptions.WireError):
            await _wire.MessageStream(right).receive()

    virtual(main)


def test_events_that_are_not_complete_share_one_budget():
    budget = _held_memory.HeldMemory(540_000)
    first, second = (
        _upstream.EventSplitter(
            _held_memory.Account(budget, _held_memory.ANSWER)
        )
        for _ in range(2)
    )
    first.feed(b"data: " + 3 * PART)
    with pytest.raises(exceptions.AnswerMismatch):
        second.feed(b"data: " + 3 * PART)
    assert first.feed(b"\n\n")
    assert budget.held_bytes == 0
    second.discard_partial_event()
    second.feed(b"data: " + 3 * PART)
    second.discard_partial_event()
    assert budget.held_bytes == 0


def test_answers_to_other_requests_are_not_kept(virtual):
    begun = []

    async def serve(stream):
        await stream.receive_some(65536)
        await stream.send_all(HEADS["length"])
        for _ in range(15):
            await stream.send_all(PART[:])
        begun.append(1)
        await trio.sleep_forever()

    async def ask(network):
        client = _http.HttpClient(network)
        async with client.exchange("s:1") as exchange:
            await exchange.request("GET", "/", (("host", "s"),), b"", _refuse)

    def _refuse(exchange):
        return False

    async def main():
        net = memory.MemoryNetwork()
        async with trio.open_nursery() as nursery:
            await nursery.start(net.network("s").serve, "s:1", serve)
            for _ in range(40):
                nursery.start_soon(ask, net.network("c"))
            await trio.sleep(5.0)
            held_bytes, _ = tracemalloc.get_traced_memory()
            assert len(begun) == 40
            assert held_bytes < 40 * 3 * len(PART)
            nursery.cancel_scope.cancel()

    tracemalloc.start()
    try:
        virtual(main)
    finally:
        tracemalloc.stop()
