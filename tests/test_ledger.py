"""Tests of the at-most-once ledger against the KV stand-in."""

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


class _LedgerEnv:
    """The KV stand-in, the nodes known to be dead and the wall clock."""

    def __init__(self, net, service):
        self.net = net
        self.service = service
        self.dead = set()
        self.wall_s = WALL_S

    def ledger(self, node, settings=SETTINGS, incarnation="1"):
        """Create the ledger of a node."""
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
        """Create a UUIDv7 key of the given age."""
        return harness.uuid7(self.wall_s - age_s, random.Random(seed))


@pytest.fixture
def run_with_ledgers(virtual):
    """Run an async test function with a KV stand-in and its ledgers."""

    def run(main):
        async def body():
            net = memory.MemoryNetwork()
            service = standin.KvStandIn()
            async with trio.open_nursery() as nursery:
                serve = net.network("kv").serve
                await nursery.start(serve, ADDRESS, service.serve)
                await main(_LedgerEnv(net, service))
                nursery.cancel_scope.cancel()

        virtual(body)

    return run


def test_repeated_key_gets_the_first_answer(run_with_ledgers):
    async def main(env):
        first, second = env.ledger("a"), env.ledger("b")
        claim = await first.claim("k", "f")
        await first.complete(claim, ANSWER)
        assert await second.claim("k", "f") == ANSWER
        with pytest.raises(exceptions.KeyReused):
            await second.claim("k", "other content")

    run_with_ledgers(main)


def test_one_of_many_concurrent_claims_succeeds(run_with_ledgers):
    async def main(env):
        results = collections.Counter()

        async def try_claim(node):
            try:
                await env.ledger(node).claim("k", "f")
                results["won"] += 1
            except exceptions.KeyInProgress:
                results["in progress"] += 1

        async with trio.open_nursery() as nursery:
            for number in range(9):
                nursery.start_soon(try_claim, f"n{number}")
        assert results == {"won": 1, "in progress": 8}

    run_with_ledgers(main)


def test_concurrent_claims_share_a_write(run_with_ledgers):
    async def main(env):
        ledger = env.ledger("a")
        before = env.service.calls["kv/txn"]
        async with trio.open_nursery() as nursery:
            for number in range(50):
                nursery.start_soon(ledger.claim, f"k{number}", "f")
        assert env.service.calls["kv/txn"] - before <= 3

    run_with_ledgers(main)


def test_claim_whose_reply_is_lost_is_recognised_by_its_nonce(
    run_with_ledgers,
):
    async def main(env):
        ledger = env.ledger("a")
        env.service.set_fault(FAULTS.LOST_REPLY)
        claim = await ledger.claim("k", "f")
        env.service.set_fault(FAULTS.NONE)
        await ledger.complete(claim, ANSWER)
        assert await env.ledger("b").claim("k", "f") == ANSWER

    run_with_ledgers(main)


def test_claim_without_kv_is_refused_as_not_run(run_with_ledgers):
    async def main(env):
        env.service.set_fault(FAULTS.DOWN)
        with pytest.raises(exceptions.LedgerUnavailable) as caught:
            await env.ledger("a").claim("k", "f")
        assert caught.value.outcome is exceptions.Outcome.NOT_RUN
        assert caught.value.retry_after_s > 0

    run_with_ledgers(main)


def test_claim_of_a_dead_node_has_an_unknown_outcome(run_with_ledgers):
    async def main(env):
        await env.ledger("a").claim("k", "f")
        env.dead.add(("a", "1"))
        for _ in range(2):
            with pytest.raises(exceptions.OutcomeUnknown):
                await env.ledger("b").claim("k", "f")
        restarted = env.ledger("a", incarnation="2")
        with pytest.raises(exceptions.OutcomeUnknown):
            await restarted.claim("k", "f")

    run_with_ledgers(main)


def test_released_key_can_be_claimed_again(run_with_ledgers):
    async def main(env):
        claim = await env.ledger("a").claim("k", "f")
        await env.ledger("a").release(claim)
        assert isinstance(await env.ledger("b").claim("k", "f"), _ledger.Claim)

    run_with_ledgers(main)


def test_unknown_outcome_stays_unknown(run_with_ledgers):
    async def main(env):
        ledger = env.ledger("a")
        claim = await ledger.claim("k", "f")
        await ledger.mark_unknown(claim)
        with pytest.raises(exceptions.OutcomeUnknown):
            await ledger.claim("k", "f")

    run_with_ledgers(main)


def test_answer_that_is_too_large_is_lost_but_not_run_again(run_with_ledgers):
    async def main(env):
        ledger = env.ledger("a")
        claim = await ledger.claim("k", "f")
        body = b"x" * (SETTINGS.answer_bytes + 1)
        await ledger.complete(claim, _ledger.Answer(200, "", body))
        with pytest.raises(exceptions.AnswerLost) as caught:
            await ledger.claim("k", "f")
        assert caught.value.outcome is exceptions.Outcome.RAN

    run_with_ledgers(main)


@pytest.mark.parametrize(
    ("age_s", "error"),
    [
        (SETTINGS.retention_s + 1, exceptions.KeyExpired),
        (-_ledger.CLOCK_SKEW_MAX_S - 1, exceptions.BadField),
    ],
)
def test_expired_and_future_keys_are_refused_as_not_run(
    run_with_ledgers, age_s, error
):
    async def main(env):
        with pytest.raises(error) as caught:
            await env.ledger("a").claim(env.key(age_s), "f")
        assert caught.value.outcome is exceptions.Outcome.NOT_RUN

    run_with_ledgers(main)


def test_pruned_key_is_refused_by_a_node_whose_clock_is_behind(
    run_with_ledgers,
):
    async def main(env):
        old_key = env.key(seed=1)
        ledger = env.ledger("a")
        await ledger.complete(await ledger.claim(old_key, "f"), ANSWER)
        env.wall_s += 3 * SETTINGS.retention_s
        await ledger.claim(env.key(seed=2), "f")
        await ledger.claim(env.key(seed=3), "f")
        stored = env.service.value(_keys.ledger(0))
        assert old_key.encode() not in stored
        env.wall_s -= 3 * SETTINGS.retention_s
        with pytest.raises(exceptions.KeyExpired):
            await env.ledger("b").claim(old_key, "f")

    run_with_ledgers(main)


def test_full_bucket_refuses_as_not_run_and_stays_within_its_size(
    run_with_ledgers,
):
    settings = _settings.LedgerSettings(
        buckets=1, bucket_bytes=20_000, answer_bytes=500
    )

    async def main(env):
        ledger = env.ledger("a", settings)
        claimed = 0
        with pytest.raises(exceptions.LedgerFull) as caught:
            while True:
                claim = await ledger.claim(f"opaque-{claimed}", "f")
                kept = _ledger.Answer(200, "", b"x" * 400)
                await ledger.complete(claim, kept)
                claimed += 1
        assert caught.value.outcome is exceptions.Outcome.NOT_RUN
        assert claimed > 10
        stored = env.service.value(_keys.ledger(0))
        assert len(stored) <= settings.bucket_bytes

    run_with_ledgers(main)


@pytest.mark.parametrize("key", ["", "x" * 201, "a\nb"])
def test_invalid_keys_are_refused_as_not_run(run_with_ledgers, key):
    async def main(env):
        with pytest.raises(exceptions.Refusal) as caught:
            await env.ledger("a").claim(key, "f")
        assert caught.value.outcome is exceptions.Outcome.NOT_RUN

    run_with_ledgers(main)
