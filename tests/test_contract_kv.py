"""Tests for the KV client against its stand-in, including faults."""

import contextlib

import pytest
import trio

from coltsfootsail import _http
from coltsfootsail import _kv
from coltsfootsail import exceptions
from coltsfootsail.standins import kv as standin
from coltsfootsail.standins import network as memory

ADDRESS = "kv:1"
FAULTS = standin.KvFault


@pytest.fixture
def run_with_kv(virtual):
    """Run a test function with a KV client and the stand-in it calls."""

    def run(main):
        async def body():
            net = memory.MemoryNetwork()
            service = standin.KvStandIn()
            client = _http.HttpClient(net.network("node"))
            kv = _kv.KvClient(client, [ADDRESS])
            async with trio.open_nursery() as nursery:
                serve = net.network("kv").serve
                await nursery.start(serve, ADDRESS, service.serve)
                nursery.start_soon(service.run)
                await main(kv, service)
                nursery.cancel_scope.cancel()

        virtual(body)

    return run


def test_only_one_of_two_compare_and_swap_writes_succeeds(run_with_kv):
    async def main(kv, service):
        compare = _kv.Compare("/a", "mod", 0)
        first = await kv.txn([compare], [_kv.Put("/a", b"1")])
        second = await kv.txn([compare], [_kv.Put("/a", b"2")])
        assert (first.succeeded, second.succeeded) == (True, False)
        entry = await kv.get("/a")
        assert (entry.value, entry.mod_revision) == (b"1", first.revision)

    run_with_kv(main)


def test_keys_are_deleted_when_their_lease_expires(run_with_kv):
    async def main(kv, service):
        lease = await kv.lease_grant(5)
        await kv.txn([], [_kv.Put("/a", b"1", lease)])
        await trio.sleep(4.0)
        assert await kv.lease_keepalive(lease) == 5
        await trio.sleep(4.0)
        assert await kv.get("/a") is not None
        await trio.sleep(1.5)
        assert await kv.get("/a") is None
        assert await kv.lease_keepalive(lease) == 0

    run_with_kv(main)


def test_range_and_get_many_return_written_entries(run_with_kv):
    async def main(kv, service):
        puts = [_kv.Put(f"/p/{n}", bytes([n])) for n in range(5)]
        await kv.txn([], [*puts, _kv.Put("/q", b"x")])
        snapshot = await kv.range("/p/")
        assert [entry.value for entry in snapshot.entries] == [
            bytes([n]) for n in range(5)
        ]
        many = await kv.get_many(["/p/1", "/none", "/q"])
        assert sorted(many) == ["/p/1", "/q"]

    run_with_kv(main)


def test_watch_reports_each_change_once_and_in_order(run_with_kv):
    async def main(kv, service):
        received = []

        async def follow():
            batches = kv.watch("/w/", service.revision + 1, 30.0)
            async with contextlib.aclosing(batches):
                async for events in batches:
                    received.extend(events)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(follow)
            await trio.sleep(0.1)
            for number in range(3):
                await kv.txn([], [_kv.Put("/w/a", bytes([number]))])
            await kv.txn([], [_kv.Delete("/w/a")])
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        values = [(event.entry.value, event.deleted) for event in received]
        assert values == [(b"\0", False), (b"\1", False), (b"\2", False)] + [
            (b"", True)
        ]

    run_with_kv(main)


@pytest.mark.parametrize("fault", [FAULTS.DOWN, FAULTS.LOST_REPLY])
def test_write_without_answer_has_unknown_outcome(run_with_kv, fault):
    async def main(kv, service):
        service.set_fault(fault)
        with pytest.raises(exceptions.KvError) as caught:
            await kv.txn([], [_kv.Put("/a", b"1")])
        assert caught.value.outcome is exceptions.Outcome.UNKNOWN
        service.set_fault(FAULTS.NONE)
        entry = await kv.get("/a")
        assert (entry is not None) == (fault is FAULTS.LOST_REPLY)

    run_with_kv(main)


def test_slow_answer_within_the_timeout_is_accepted(run_with_kv):
    async def main(kv, service):
        service.slow_s = _kv.CALL_TIMEOUT_S / 2
        service.set_fault(FAULTS.SLOW)
        assert (await kv.txn([], [_kv.Put("/a", b"1")])).succeeded

    run_with_kv(main)


def test_stale_read_does_not_let_a_conditional_write_succeed(run_with_kv):
    async def main(kv, service):
        await kv.txn([], [_kv.Put("/a", b"1")])
        old = await kv.get("/a")
        service.set_fault(FAULTS.STALE_READ)
        await kv.txn([], [_kv.Put("/a", b"2")])
        assert (await kv.get("/a")).value == b"1"
        compare = _kv.Compare("/a", "mod", old.mod_revision)
        result = await kv.txn([compare], [_kv.Put("/a", b"3")])
        assert not result.succeeded

    run_with_kv(main)


def test_silent_watch_raises_an_error(run_with_kv):
    async def main(kv, service):
        batches = kv.watch("/w/", 1, 0.5 * standin.PROGRESS_S)
        with pytest.raises(exceptions.KvError):
            async with contextlib.aclosing(batches):
                async for _ in batches:
                    pass

    run_with_kv(main)


@pytest.mark.parametrize(
    ("value", "operations"),
    [(b"x" * (standin.VALUE_BYTES_MAX + 1), 1), (b"x", 129)],
    ids=["value too large", "too many operations"],
)
def test_requests_over_the_size_limits_fail(run_with_kv, value, operations):
    async def main(kv, service):
        puts = [_kv.Put(f"/{n}", value) for n in range(operations)]
        with pytest.raises(exceptions.KvError):
            await kv.txn([], puts)
        assert await kv.get("/0") is None

    run_with_kv(main)
