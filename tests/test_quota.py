"""Tests for quotas over all nodes: the bound in each window, and the use."""

import dataclasses
import functools

import pytest

from coltsfootsail import _membership
from coltsfootsail import _quota
from coltsfootsail import _quota_pool
from coltsfootsail import _wire
from tests import quota_world

WARM_S = 12.0
EXACT = 1.0 + 1e-9
RULES = (quota_world.RULES, quota_world.STRICT)


def _load(world, length_s, per_s, names=None, sizes=(500, 2600)):
    """Send requests of callers at a rate of tokens for some time."""
    due = 0.0
    for _ in range(round(length_s / quota_world.STEP_S)):
        world.step()
        due += per_s * quota_world.STEP_S
        while due > 0:
            cost = world.rng.uniform(*sizes)
            due -= cost
            world.call(world.rng.choice(names or world.names), cost)


def _kill(count):
    """Make a fault that kills nodes, count 0 for all."""

    def kill(world):
        for name in world.rng.sample(world.names, count or len(world.names)):
            world.kill(name, world.rng.choice((0.3, 0.3, 3.0, 15.0)))

    return kill


def _kill_again_and_again(world):
    name = world.rng.choice(world.names)
    for _ in range(4):
        world.kill(name, 0.2)
        _load(world, 1.7, world.quota.per_s * 1.5)


def _suspend(world):
    for name in world.rng.sample(world.names, 1 + len(world.names) // 3):
        world.nodes[name].awake_s = world.now_s + world.rng.choice(
            (1.0, 4.0, 8.0, 30.0)
        )


def _cut(share, from_store):
    """Make a fault that cuts a share of the nodes off from the others."""

    def cut(world):
        count = round(share * len(world.names))
        for one in world.names[:count]:
            for other in world.names[count:]:
                world.cut_off((one, other))
            if from_store:
                world.cut_off((one, "store"))

    return cut


def _heal(world):
    world.cut.clear()
    world.disagree, world.delay_s = 0.0, 0.004


def _disagree(world):
    world.disagree = world.rng.choice((0.3, 1.0))


def _delay(world):
    world.delay_s = world.rng.choice((0.1, 1.0, 4.0))


def _join(world):
    name = f"n{len(world.names)}"
    world.names.append(name)
    world.down_until_s[name] = 0.0
    world.nodes[name] = quota_world.Node(name, world.rules)


FAULTS = {
    "kill": _kill(1),
    "kill all": _kill(0),
    "kill again and again": _kill_again_and_again,
    "suspend": _suspend,
    "cut one off": _cut(0.1, True),
    "split": _cut(0.5, False),
    "split with store": _cut(0.5, True),
    "store down": _cut(1.0, True),
    "disagree": _disagree,
    "delay": _delay,
    "heal": _heal,
    "join": _join,
}


@pytest.mark.parametrize("rules", RULES)
@pytest.mark.parametrize("seed", range(24))
def test_no_window_exceeds_the_quota_whatever_fails(seed, rules):
    """Guards against quotas granted twice after faults of any order.

    Without overage there is no credit, and the bound has no margin.
    """
    per_s = (2_000.0, 20_000.0, 150_000.0)[seed % 3]
    quota = quota_world.make_quota(
        per_s, per_s * (0.0, 0.5, 2.0, 6.0)[seed % 4]
    )
    nodes = (1, 2, 5, 16)[seed % 4]
    refunds = 0.3 * (seed % 2)
    world = quota_world.World(nodes, quota, seed, refunds, rules)
    rng = world.rng
    _load(world, WARM_S, per_s * 1.2)
    for _ in range(14):
        rng.choice(list(FAULTS.values()))(world)
        load = rng.choice((0.0, 0.3, 1.0, 3.0))
        names = rng.choice((None, rng.sample(world.names, 1)))
        _load(world, rng.choice((0.5, 3.0, 8.0)), per_s * load, names)
    _heal(world)
    world.refunds = 0.0
    for name in world.names:
        world.nodes[name].awake_s = world.down_until_s[name] = world.now_s
    _load(world, 50.0, per_s * 3)
    assert world.worst_window() <= EXACT
    if rules is quota_world.STRICT:
        return
    used = world.spent(world.now_s - 31.0, world.now_s - 1.0)
    assert used >= 0.95 * 30.0 * per_s


@pytest.mark.parametrize("rules", RULES)
@pytest.mark.parametrize("fault", FAULTS)
def test_no_window_exceeds_the_quota_around_one_fault(fault, rules):
    """Guards against a fault that gives a full bucket or a credit again."""
    quota = quota_world.make_quota(150_000.0, 45_000.0)
    for idle_s in (0.0, 8.0):
        world = quota_world.World(9, quota, 3, 0.0, rules)
        _load(world, WARM_S, quota.per_s * 1.2)
        _load(world, idle_s, 0.0)
        _load(world, 0.4, quota.per_s * 30)
        FAULTS[fault](world)
        _load(world, 20.0, quota.per_s * 3)
        assert world.worst_window() <= EXACT


def test_refusals_after_a_queue_do_not_let_a_window_exceed_the_quota():
    """Guards against tokens given back late and spent at once."""
    quota = quota_world.make_quota()
    rules = quota_world.STRICT
    world = quota_world.World(5, quota, 1, 0.7, rules)
    _load(world, 30.0, quota.per_s * 4)
    world.refunds = 0.0
    _load(world, 10.0, quota.per_s * 4)
    assert world.worst_window() <= EXACT


@pytest.mark.parametrize("nodes", [1, 2, 77])
def test_the_whole_quota_can_be_used_also_at_nodes_without_load_before(nodes):
    """Guards against a share of the limit that no caller can use."""
    quota = quota_world.make_quota(150_000.0, 300_000.0)
    world = quota_world.World(nodes, quota, 1)
    load = functools.partial(_load, world, 12.0, quota.per_s * 1.1)
    load()
    load()
    steady = world.spent(world.now_s - 11.0, world.now_s - 1.0)
    assert steady >= 0.98 * 10.0 * quota.per_s
    load(world.names[-5:])
    moved = world.spent(world.now_s - 11.0, world.now_s - 1.0)
    assert moved >= 0.98 * 10.0 * quota.per_s
    assert world.worst_window() <= 1.0


def test_large_requests_are_served_as_often_as_small_ones():
    """Guards against a bucket that is always emptied by small requests."""
    quota = quota_world.make_quota()
    world = quota_world.World(20, quota, 1)
    _load(world, 40.0, 2 * quota.per_s, None, (400, 4000))
    calls = [c for _, _, c in world.begun] + [c for _, c in world.refused]
    served = [c for _, _, c in world.begun]
    large = sum(c > 3640 for c in served) / sum(c > 3640 for c in calls)
    assert large >= 0.5 * len(served) / len(calls)


def test_the_quota_is_used_again_after_its_holder_was_suspended():
    """Guards against a return to a holder that can't count the nodes yet."""
    quota = quota_world.make_quota()
    world = quota_world.World(9, quota, 1)
    _load(world, WARM_S, quota.per_s)
    holder = world.nodes[world.holder(world.nodes["n0"])]
    holder.awake_s = world.now_s + 10.0
    _load(world, 10.0, quota.per_s * 1.2)
    since_s = world.now_s
    _load(world, 20.0, quota.per_s * 1.2)
    assert world.spent(since_s, world.now_s) >= 0.9 * 20.0 * quota.per_s


def test_a_lowered_limit_binds_within_three_seconds():
    """Guards against tokens of the old limit that are spent later."""
    quota = quota_world.make_quota()
    world = quota_world.World(9, quota, 1)
    _load(world, WARM_S, quota.per_s * 0.5)
    world.quota = lower = dataclasses.replace(
        quota, per_s=2000.0, burst=4000.0
    )
    _load(world, 3.0, quota.per_s * 0.5)
    since_s = world.now_s
    _load(world, 8.0, quota.per_s * 2)
    bound = (8 * lower.per_s + lower.burst) * 1.1 + quota_world.RULES.slack
    assert world.spent(since_s, world.now_s) <= bound


def test_a_tenant_far_below_its_limit_spends_without_asking():
    """Guards against a round trip on the path of each request."""
    quota = quota_world.make_quota(150_000.0, 300_000.0)
    world = quota_world.World(9, quota, 1)
    _load(world, 15.0, 15_000.0)
    since_s = world.now_s
    _load(world, 5.0, 15_000.0)
    waited = [e for e in world.begun if e[0] >= since_s and e[1] > e[0]]
    assert not waited
    assert not [sent_s for sent_s, _ in world.refused if sent_s >= since_s]


def _pool(burst=100.0):
    """Make a pool that is full, at 10 tokens a second."""
    rules = _quota_pool.QuotaRules(8.0, 0.0, 0.0)
    quota = dataclasses.replace(
        quota_world.make_quota(10.0, burst), counts_tokens=False
    )
    pool = _quota_pool.QuotaPool("n0", rules, quota, 0.0)
    pool.advance(quota, 1, 0.0)
    pool.lend("n1", 1000.0, 0.0)
    pool.advance(quota, 1, 20.0)
    return pool


def test_the_stated_wait_is_true_and_refused_retries_do_not_move_it():
    """Guards against callers that are sent away again when they return."""
    pool = _pool()
    assert pool.request(90.0, 20.0) == (True, 0.0)
    for now_s in (20.0, 22.0, 24.5):
        granted, wait_s = pool.request(80.0, now_s)
        assert not granted
        assert now_s + wait_s == pytest.approx(27.0)
    assert pool.request(80.0, 27.0) == (True, 0.0)
    # Larger than any bucket: refused with a time, instead of waiting.
    assert pool.request(150.0, 27.0) == (False, _quota_pool.NEVER_WAIT_S)


def test_what_was_given_back_late_fits_only_where_the_bucket_had_room():
    """Guards against tokens that a full bucket could not have saved up."""
    pool = _pool()
    pool.spend(70.0, 20.0)
    pool.spend(30.0, 21.0)
    pool.refund(30.0, 21.0, 21.1)
    assert pool.request(41.0, 21.1) == (True, 0.0)
    pool.advance(pool._quota, 1, 31.2)
    assert pool.request(100.0, 31.2) == (True, 0.0)
    pool.refund(41.0, 21.1, 31.3)
    assert not pool.request(2.0, 31.3)[0]


def test_reports_with_an_old_stamp_lend_nothing():
    """Guards against entitlements that count at two holders."""
    holder = _quota_pool.PoolHolder("n0", quota_world.RULES)
    quotas = {"w": quota_world.make_quota()}
    uses = (("w", 0.0, 0.0, 0.0),)

    def report(number, stamp_s, now_s):
        msg = _wire.QuotaReport(number, stamp_s, True, uses)
        holder.handle("n1", msg, quotas, 2, now_s)
        return holder.lent_shares()

    assert report(1, 0.0, 100.0) == {}
    assert report(2, 100.0, 103.0) == {}
    assert report(3, 103.0, 103.1) == {"w": 0.5}
    assert report(4, 103.0, 106.0) == {}


def test_what_a_lost_holder_may_not_have_counted_is_reported_again():
    """Guards against a use that no holder counts."""
    client = _quota.QuotaClient()

    def report(holder, now_s):
        (msg,) = client.make_reports(holder, ["w"], (), True, now_s)
        return msg

    grants = (("w", 0.0, 0.0, 50.0),)
    number = report("n1", 1.0).number
    client.handle_reply("n1", _wire.QuotaReply(number, 1.0, grants), 1.0)
    assert client.try_spend("w", 40.0, 50.0)
    assert not client.try_spend("w", 40.0, 50.0)
    assert report("n1", 2.0).uses[0][2] == 40.0
    client.drop_holder("n1")
    assert report("n2", 2.1).uses[0][2] == 40.0


def test_a_node_that_has_just_begun_gets_no_credit():
    """Guards against a credit spent again by a node killed several times."""
    holder = _quota_pool.PoolHolder("n0", quota_world.RULES)
    quotas = {"w": quota_world.make_quota()}
    uses = (("w", 0.0, 0.0, 0.0),)

    def credit(now_s):
        msg = _wire.QuotaReport(round(now_s), now_s, True, uses)
        reply = holder.handle("n1", msg, quotas, 4, now_s)
        return reply.grants[0][3]

    for now_s in range(100, 108):
        assert not credit(float(now_s))
    excess = 0.1 * (8 * 20_000.0 + 40_000.0) + 11_000.0
    assert credit(108.0) == pytest.approx(0.8 * excess / 4)
    holder.drop_node("n1")
    for now_s in range(109, 117):
        assert not credit(float(now_s))
    assert credit(117.0)


def test_nodes_that_may_still_run_are_counted():
    """Guards against shares that grow while a cut-off node spends its own."""
    membership = _membership.Membership(_quota.MEMBERSHIP)
    both = {"n0": False, "n1": False}
    for now_s in range(10):
        membership.note(both, True, float(now_s))
        # Others may not have seen it yet.
        assert (membership.count(now_s) is None) == (now_s < 3)
    assert membership.count(9.0) == 2
    membership.note({"n0": False}, True, 10.0)
    assert membership.count(10.0) == 2
    for now_s in range(11, 18):
        membership.note({"n0": False}, True, float(now_s))
    assert membership.count(17.0) == 1
    assert membership.count(23.0) is None
