"""The at-most-once ledger against the KV stand-in."""

import collections
import random

import pytest
import trio

from coltsfootsail import _http
from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _ledger
from coltsfootsail import _settings
from coltsfootsail import exceptions
from coltsfootsail.standins import kv as standin
from coltsfootsail.standins import network as memory
from tests.faults import harness

ADDRESS = "kv:1"
WALL_S = 1_700_000_000.0
SETTINGS = _settings.LedgerSettings(buckets=1, retention_s=600.0)
FAULTS = standin.KvFault
ANSWER = _ledger.Answer(200, "text/plain", b"receipt 57")


class _World:
    def __init__(self, net, service):
        self.net = net
        self.service = service
        self.dead = set()
        self.wall_s = WALL_S

    def ledger(self, node, settings=SETTINGS, incarnation="1"):
        """Make the ledger of a node."""
        client = _http.HttpClient(self.net.network(node))
        kv = _kv.KvClient(client, [ADDRESS])
        return _ledger.Ledger(
            kv,
            settings,
            node,
            incarnation,
            lambda name, run: (name, run) not in self.dead,
            lambda: self.wall_s,
        )

    def key(self, age_s=0.0, seed=1):
        """Make a UUIDv7 of an age."""
        return harness.uuid7(self.wall_s - age_s, random.Random(seed))


@pytest.fixture
def world(virtual):
    """Run a function in a world with a KV stand-in."""

    def run(main):
        async def body():
            net = memory.MemoryNetwork()
            service = standin.KvStandIn()
            async with trio.open_nursery() as nursery:
                serve = net.network("kv").serve
                await nursery.start(serve, ADDRESS, service.serve)
                await main(_World(net, service))
                nursery.cancel_scope.cancel()

        virtual(body)

    return run


def test_a_repeated_key_gets_the_first_answer(world):
    async def main(w):
        first, second = w.ledger("a"), w.ledger("b")
        claim = await first.claim("k", "f")
        await first.complete(claim, ANSWER)
        assert await second.claim("k", "f") == ANSWER
        with pytest.raises(exceptions.KeyReused):
            await second.claim("k", "other content")

    world(main)


def test_one_of_many_racing_claims_wins(world):
    async def main(w):
        results = collections.Counter()

        async def try_claim(node):
            try:
                await w.ledger(node).claim("k", "f")
                results["won"] += 1
            except exceptions.KeyInProgress:
                results["in progress"] += 1

        async with trio.open_nursery() as nursery:
            for number in range(9):
                nursery.start_soon(try_claim, f"n{number}")
        assert results == {"won": 1, "in progress": 8}

    world(main)


def test_claims_that_arrive_together_share_a_write(world):
    async def main(w):
        ledger = w.ledger("a")
        before = w.service.calls["kv/txn"]
        async with trio.open_nursery() as nursery:
            for number in range(50):
                nursery.start_soon(ledger.claim, f"k{number}", "f")
        assert w.service.calls["kv/txn"] - before <= 3

    world(main)


def test_a_claim_whose_reply_is_lost_is_settled_by_its_nonce(world):
    async def main(w):
        ledger = w.ledger("a")
        w.service.set_fault(FAULTS.LOST_REPLY)
        claim = await ledger.claim("k", "f")
        w.service.set_fault(FAULTS.NONE)
        await ledger.complete(claim, ANSWER)
        assert await w.ledger("b").claim("k", "f") == ANSWER

    world(main)


def test_without_kv_nothing_is_run(world):
    async def main(w):
        w.service.set_fault(FAULTS.DOWN)
        with pytest.raises(exceptions.LedgerUnavailable) as caught:
            await w.ledger("a").claim("k", "f")
        assert caught.value.outcome is exceptions.Outcome.NOT_RUN
        assert caught.value.retry_after_s > 0

    world(main)


def test_a_claim_of_a_dead_node_is_never_run_again(world):
    async def main(w):
        await w.ledger("a").claim("k", "f")
        w.dead.add(("a", "1"))
        for _ in range(2):
            with pytest.raises(exceptions.OutcomeUnknown):
                await w.ledger("b").claim("k", "f")
        again = w.ledger("a", incarnation="2")
        with pytest.raises(exceptions.OutcomeUnknown):
            await again.claim("k", "f")

    world(main)


def test_a_released_claim_may_be_claimed_again(world):
    async def main(w):
        claim = await w.ledger("a").claim("k", "f")
        await w.ledger("a").release(claim)
        assert isinstance(await w.ledger("b").claim("k", "f"), _ledger.Claim)

    world(main)


def test_an_unknown_outcome_stays_unknown(world):
    async def main(w):
        ledger = w.ledger("a")
        claim = await ledger.claim("k", "f")
        await ledger.mark_unknown(claim)
        with pytest.raises(exceptions.OutcomeUnknown):
            await ledger.claim("k", "f")

    world(main)


def test_an_answer_too_large_is_not_kept_and_not_run_again(world):
    async def main(w):
        ledger = w.ledger("a")
        claim = await ledger.claim("k", "f")
        body = b"x" * (SETTINGS.answer_bytes + 1)
        await ledger.complete(claim, _ledger.Answer(200, "", body))
        with pytest.raises(exceptions.AnswerLost) as caught:
            await ledger.claim("k", "f")
        assert caught.value.outcome is exceptions.Outcome.RAN

    world(main)


@pytest.mark.parametrize(
    ("age_s", "error"),
    [
        (SETTINGS.retention_s + 1, exceptions.KeyExpired),
        (-_ledger.FUTURE_S - 1, exceptions.BadField),
    ],
)
def test_keys_out_of_time_are_refused_as_not_run(world, age_s, error):
    async def main(w):
        with pytest.raises(error) as caught:
            await w.ledger("a").claim(w.key(age_s), "f")
        assert caught.value.outcome is exceptions.Outcome.NOT_RUN

    world(main)


def test_a_pruned_key_is_refused_by_a_node_whose_clock_is_behind(world):
    async def main(w):
        old = w.key(seed=1)
        ledger = w.ledger("a")
        await ledger.complete(await ledger.claim(old, "f"), ANSWER)
        w.wall_s += 3 * SETTINGS.retention_s
        await ledger.claim(w.key(seed=2), "f")
        await ledger.claim(w.key(seed=3), "f")
        raw = w.service.value(_keys.ledger(0))
        assert old.encode() not in raw
        w.wall_s -= 3 * SETTINGS.retention_s
        with pytest.raises(exceptions.KeyExpired):
            await w.ledger("b").claim(old, "f")

    world(main)


def test_a_full_bucket_refuses_as_not_run_and_keeps_its_bound(world):
    settings = _settings.LedgerSettings(
        buckets=1, bucket_bytes=20_000, answer_bytes=500
    )

    async def main(w):
        ledger = w.ledger("a", settings)
        claimed = 0
        with pytest.raises(exceptions.LedgerFull) as caught:
            while True:
                claim = await ledger.claim(f"opaque-{claimed}", "f")
                kept = _ledger.Answer(200, "", b"x" * 400)
                await ledger.complete(claim, kept)
                claimed += 1
        assert caught.value.outcome is exceptions.Outcome.NOT_RUN
        assert claimed > 10
        raw = w.service.value(_keys.ledger(0))
        assert len(raw) <= settings.bucket_bytes

    world(main)


@pytest.mark.parametrize("key", ["", "x" * 201, "a\nb"])
def test_unusable_keys_are_refused(world, key):
    async def main(w):
        with pytest.raises(exceptions.Refusal) as caught:
            await w.ledger("a").claim(key, "f")
        assert caught.value.outcome is exceptions.Outcome.NOT_RUN

    world(main)
