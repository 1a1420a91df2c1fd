"""The permit queue of the weight store and its loss."""

import pytest
import trio

from coltsfootsail import _permits
from coltsfootsail import _wire
from coltsfootsail.standins import platform

URGENT, BATCH = 0, _permits.BATCH_RANK


def _queue(requests, **kwargs):
    queue = _permits.PermitQueue(**kwargs)
    for ticket, rank, waited_s in requests:
        queue.ask(ticket, "n", rank, waited_s, 0.0)
    return queue


def _grant_order(queue, count):
    tickets = []
    for _ in range(count):
        granted = queue.next(0.0)
        tickets.append(granted.ticket)
        queue.done(granted.ticket)
    return tickets


@pytest.mark.parametrize(
    ("requests", "tickets"),
    [
        ([("a", URGENT, 1.0), ("b", URGENT, 2.0)], ["b", "a"]),
        ([("a", BATCH, 9.0), ("b", URGENT, 0.0)], ["b", "a"]),
        ([("a", 2, 0.0), ("b", 1, 0.0)], ["b", "a"]),
    ],
)
def test_permits_go_by_rank_and_then_by_wait(requests, tickets):
    assert _grant_order(_queue(requests), 2) == tickets


def test_one_permit_is_granted_at_a_time():
    queue = _queue([("a", URGENT, 1.0), ("b", URGENT, 0.0)])
    assert queue.next(0.0).ticket == "a"
    assert queue.next(0.0) is None
    queue.done("a")
    assert queue.next(0.0).ticket == "b"


def test_batch_loads_get_one_grant_per_interval():
    requests = [(f"u{number:02d}", URGENT, 0.0) for number in range(40)]
    queue = _queue([*requests, ("batch", BATCH, 0.0)], batch_interval=16)
    assert _grant_order(queue, 16)[15] == "batch"


def test_a_permit_that_is_not_returned_expires():
    requests = [("a", URGENT, 1.0), ("b", URGENT, 0.0)]
    queue = _queue(requests, hold_s=3.0)
    queue.next(0.0)
    assert queue.next(2.9) is None
    assert queue.next(3.0).ticket == "b"


def test_the_requests_of_a_lost_node_are_dropped():
    queue = _queue([("a", URGENT, 0.0)])
    queue.drop_node("n")
    assert queue.next(0.0) is None


def _make_permits(node, holder, sent, interval_s=1.0):
    return _permits.Permits(
        node,
        lambda: holder,
        lambda to, msg: sent.append((to, msg)) or to == "holder",
        trio.current_time,
        lambda: interval_s,
        2.0,
    )


def test_without_a_holder_a_node_keeps_to_its_interval(virtual):
    async def main():
        permits = _make_permits("n", None, [], interval_s=4.5)
        times = []
        for _ in range(3):
            async with permits.permit(URGENT, 0.0):
                times.append(trio.current_time())
        assert times[1] - times[0] == pytest.approx(4.5)
        assert times[2] - times[1] == pytest.approx(4.5)

    virtual(main)


def test_a_load_goes_on_when_the_holder_does_not_answer(virtual):
    async def main():
        sent = []
        permits = _make_permits("n", "holder", sent)
        async with permits.permit(URGENT, 0.0):
            waited_s = trio.current_time()
        assert waited_s >= _permits.ASK_TIMEOUT_S
        message_types = [type(msg) for _, msg in sent]
        assert message_types == [_wire.PermitRequest, _wire.PermitDone]

    virtual(main)


def test_the_stand_in_store_serves_one_load_at_a_time_at_its_rate(virtual):
    async def main():
        store = platform.WeightStoreStandIn(2.0)
        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(store.load, f"a-{number}")
        assert trio.current_time() - started_s == pytest.approx(2.0)
        assert store.loads == 4

    virtual(main)
