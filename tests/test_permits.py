"""The weight-store queue: order, turns, lapsed grants, lost holders."""

import pytest
import trio

from coltsfootsail import _permits
from coltsfootsail import _wire
from coltsfootsail.standins import platform

URGENT, BATCH = 0, _permits.BATCH_RANK


def _queue(asks, **kwargs):
    queue = _permits.PermitQueue(**kwargs)
    for ticket, rank, waited_s in asks:
        queue.ask(ticket, "n", rank, waited_s, 0.0)
    return queue


def _drain(queue, count):
    order = []
    for _ in range(count):
        granted = queue.next(0.0)
        order.append(granted.ticket)
        queue.done(granted.ticket)
    return order


@pytest.mark.parametrize(
    ("asks", "order"),
    [
        ([("a", URGENT, 1.0), ("b", URGENT, 2.0)], ["b", "a"]),
        ([("a", BATCH, 9.0), ("b", URGENT, 0.0)], ["b", "a"]),
        ([("a", 2, 0.0), ("b", 1, 0.0)], ["b", "a"]),
    ],
)
def test_urgent_loads_go_first_then_the_longest_wait(asks, order):
    assert _drain(_queue(asks), 2) == order


def test_one_load_runs_at_a_time():
    queue = _queue([("a", URGENT, 1.0), ("b", URGENT, 0.0)])
    assert queue.next(0.0).ticket == "a"
    assert queue.next(0.0) is None
    queue.done("a")
    assert queue.next(0.0).ticket == "b"


def test_batch_loads_get_one_grant_in_so_many():
    asks = [(f"u{number:02d}", URGENT, 0.0) for number in range(40)]
    queue = _queue([*asks, ("batch", BATCH, 0.0)], turns=16)
    assert _drain(queue, 16)[15] == "batch"


def test_a_grant_that_is_never_given_back_lapses():
    asks = [("a", URGENT, 1.0), ("b", URGENT, 0.0)]
    queue = _queue(asks, hold_s=3.0)
    queue.next(0.0)
    assert queue.next(2.9) is None
    assert queue.next(3.0).ticket == "b"


def test_the_asks_of_a_lost_node_are_dropped():
    queue = _queue([("a", URGENT, 0.0)])
    queue.drop_node("n")
    assert queue.next(0.0) is None


def _permits_of(node, holder, sent, share_s=1.0):
    return _permits.Permits(
        node,
        lambda: holder,
        lambda to, msg: sent.append((to, msg)) or to == "holder",
        trio.current_time,
        lambda: share_s,
        2.0,
    )


def test_without_a_holder_a_node_keeps_to_its_share(virtual):
    async def main():
        permits = _permits_of("n", None, [], share_s=4.5)
        times = []
        for _ in range(3):
            async with permits.permit(URGENT, 0.0):
                times.append(trio.current_time())
        assert times[1] - times[0] == pytest.approx(4.5)
        assert times[2] - times[1] == pytest.approx(4.5)

    virtual(main)


def test_a_silent_holder_is_waited_for_and_then_done_without(virtual):
    async def main():
        sent = []
        permits = _permits_of("n", "holder", sent)
        async with permits.permit(URGENT, 0.0):
            waited_s = trio.current_time()
        assert waited_s >= _permits.ASK_TIMEOUT_S
        kinds = [type(msg) for _, msg in sent]
        assert kinds == [_wire.PermitRequest, _wire.PermitDone]

    virtual(main)


def test_the_store_serves_one_load_at_a_time_at_its_rate(virtual):
    async def main():
        store = platform.WeightStoreStandIn(2.0)
        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(store.load, f"a-{number}")
        assert trio.current_time() - started_s == pytest.approx(2.0)
        assert store.loads == 4

    virtual(main)
