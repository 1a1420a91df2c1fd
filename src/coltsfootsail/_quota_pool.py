"""Pools of the quota entitlements that nodes lend to this one.

Each node is entitled to an equal share of a workspace's quota, and lends it
to one holder at a time.  The holder's bucket refills at the sum of the lent
rates and holds at most the sum of the lent bursts, so that the pools of all
holders together never exceed the quota, even if nodes disagree on the holder.

An entitlement counts until ``LENT_S`` after the holder's stamp that its node
has echoed last.  A delayed report carries an old stamp, and a holder that was
suspended finds no entitlement left when it resumes.

A request that has not run is treated as if it had never taken tokens: what
it gives back fits only as far as the bucket would not have been full at any
time since.  Without this rule, tokens of requests that were refused late
could be spent twice within a window.

The code has no clock and no I/O.
"""

import dataclasses
import math

from coltsfootsail import _token_bucket
from coltsfootsail import _wire

LENT_S = 3.0  # from a holder's stamp to the end of what was lent on it
CREDIT_SHARE = 0.8  # of the overage
# Share of the overage by which buckets are larger than the burst, for requests
# that are larger than it.  The rest is for clocks and rounding.
OVERSIZE_SHARE = 0.1
CREDIT_LEVEL = 0.5  # of a full bucket, above which nodes get credit
NO_ROOM_WAIT_S = 1.5  # stated while nothing is lent
NEVER_WAIT_S = 60.0  # stated for requests that no bucket will have room for
ROOMS_MAX = 1000  # in the history of a bucket
# All requests need the tokens of a large one to be granted.  Otherwise a
# bucket that is nearly empty would serve only the smallest.
LARGEST_HALF_LIFE_S = 10.0
LARGEST_SHARE = 0.75  # of a bucket, that this may take at most
SLOT_S = 0.25  # resolution of the use in the last window
SLOTS_MAX = 120


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaRules:
    """By how much the use in a window may exceed a quota.

    :param window_s: the time over which the use is judged.
    :param overage: share of the quota in the window.
    :param slack: tokens besides.
    """

    window_s: float
    overage: float
    slack: float

    def excess(self, quota):
        """Get the tokens by which a window may exceed a ``Quota``."""
        allowed = quota.per_s * self.window_s + quota.burst
        slack = self.slack if quota.counts_tokens else 0.0
        return self.overage * allowed + slack

    def burst(self, quota):
        """Get the size of all buckets of a ``Quota`` together.

        Without a burst, what is otherwise given as credit serves as one.
        """
        excess = self.excess(quota)
        burst = quota.burst or CREDIT_SHARE * excess
        burst += OVERSIZE_SHARE * excess
        return burst if quota.counts_tokens else max(1.0, burst)

    def credit(self, quota):
        """Get what all nodes together may spend before they report it."""
        return CREDIT_SHARE * self.excess(quota) if quota.burst else 0.0


class _History:
    """The room in a bucket since each time of the past, and its use."""

    def __init__(self, now_s):
        self._begun_s = now_s
        # Tuples of a time and the least room since then, both ascending.
        self._rooms = []
        self._used = {}

    def note_room(self, room, now_s):
        """Note the room in the bucket before it changes."""
        self._discard_from(room)
        self._rooms.append((now_s, room))
        if len(self._rooms) > ROOMS_MAX:
            self._begun_s, _ = self._rooms.pop(0)

    def _discard_from(self, room):
        """Discard the times since which there was less room meanwhile."""
        while self._rooms and self._rooms[-1][1] >= room:
            self._rooms.pop()

    def note_use(self, count, now_s):
        """Note that tokens are taken."""
        slot = int(now_s / SLOT_S)
        if slot not in self._used:
            for old in [s for s in self._used if s < slot - SLOTS_MAX]:
                del self._used[old]
        self._used[slot] = self._used.get(slot, 0.0) + count

    def take_back(self, count, since_s):
        """Undo a use of the past.

        :returns: the tokens by which the bucket would be fuller now.
        """
        if since_s <= self._begun_s:
            return 0.0
        later = []
        while self._rooms and self._rooms[-1][0] >= since_s:
            later.append(self._rooms.pop())
        gain = min(count, later[-1][1]) if later else count
        later = [(at_s, room - gain) for at_s, room in reversed(later)]
        if later:
            self._discard_from(later[0][1])
        self._rooms += later
        slot = int(since_s / SLOT_S)
        if slot in self._used:
            self._used[slot] -= count
        return gain

    def used(self, since_s):
        """Get the tokens taken since a time."""
        first = int(since_s / SLOT_S)
        return sum(count for s, count in self._used.items() if s >= first)


class QuotaPool:
    """The bucket of one workspace, filled by the entitlements lent to it.

    :param name: name of the node that holds the pool.
    :param rules: ``QuotaRules``.
    :param quota: the ``Quota`` of the workspace.
    """

    def __init__(self, name, rules, quota, now_s):
        self._name = name
        self._rules = rules
        self._quota = quota
        self._count = None
        self._bucket = _token_bucket.TokenBucket(0.0, 0.0, 0.0, now_s)
        self._burst = 0.0
        self._largest = 0.0
        self._largest_s = now_s
        self._history = _History(now_s)
        self._lenders = {}
        self._expire_from_s = math.inf
        self._known = {}

    def advance(self, quota, node_count, now_s):
        """Bring the pool up to date.

        :param quota: the ``Quota`` in force.
        :param node_count: number of nodes that share it, None if unknown.
        """
        if now_s >= self._expire_from_s:
            for until_s, node in sorted(
                (until_s, node) for node, until_s in self._lenders.items()
            ):
                if until_s > now_s:
                    break
                del self._lenders[node]
                self._set_rate(until_s)
            self._expire_from_s = min(self._lenders.values(), default=math.inf)
        self._quota, self._count = quota, node_count
        self._set_rate(now_s)

    def lent_share(self):
        """Get the share of the quota that is lent to the pool."""
        lenders = len(self._lenders)
        if self._count is None or not lenders:
            return 0.0
        return lenders / max(self._count, lenders)

    def _set_rate(self, now_s):
        share = self.lent_share()
        self._history.note_room(self._bucket.room(now_s), now_s)
        self._burst = self._rules.burst(self._quota) * share
        if self._name in self._lenders:
            # The holder itself uses no credit.
            credit = self._rules.credit(self._quota)
            self._burst += credit / self._credit_nodes()
        self._bucket.set_rate(self._quota.per_s * share, self._burst, now_s)
        self._history.note_room(self._bucket.room(now_s), now_s)

    def note_report(self, node, now_s):
        """Note that a node reports to this pool."""
        self._known.setdefault(node, now_s)

    def lend(self, node, until_s, now_s):
        """Count a node's entitlement until a time."""
        if until_s <= now_s or until_s <= self._lenders.get(node, 0.0):
            return
        self._lenders[node] = until_s
        self._expire_from_s = min(self._expire_from_s, until_s)
        self._set_rate(now_s)

    def give_back(self, node, now_s):
        """Stop counting a node's entitlement."""
        if self._lenders.pop(node, None) is not None:
            self._set_rate(now_s)

    def drop_node(self, node):
        """Forget how long a node has been known.

        What it has lent stays until its time, because it may be alive.
        """
        self._known.pop(node, None)

    def spend(self, count, now_s):
        """Take tokens that a node has spent."""
        self._history.note_use(count, now_s)
        self._history.note_room(self._bucket.room(now_s), now_s)
        self._bucket.add(-count, now_s)

    def refund(self, count, since_s, now_s):
        """Take back tokens of requests that have not run.

        :param since_s: a time at which they had not been spent yet.
        """
        self._history.note_room(self._bucket.room(now_s), now_s)
        gain = self._history.take_back(count, since_s)
        self._bucket.add(gain, now_s)

    def request(self, cost, now_s):
        """Take the tokens of a request if there is room for it.

        :returns: tuple of whether they were taken, and the time until there
            is room.
        """
        needed = max(cost, self._large_cost(cost, now_s))
        wait_s = self._bucket.wait_s(now_s, min(needed, self._burst))
        if not self._burst or math.isinf(wait_s):
            return False, NO_ROOM_WAIT_S
        if cost > self._burst:
            return False, max(NEVER_WAIT_S, wait_s)
        if wait_s:
            return False, wait_s
        self.spend(cost, now_s)
        return True, 0.0

    def _large_cost(self, cost, now_s):
        """Get the cost of the largest request of the last time."""
        age_s = now_s - self._largest_s
        largest = self._largest * 0.5 ** (age_s / LARGEST_HALF_LIFE_S)
        self._largest = max(cost, largest)
        self._largest_s = now_s
        return min(self._largest, LARGEST_SHARE * self._burst)

    def _credit_nodes(self):
        return max(self._count or 1, len(self._known), len(self._lenders))

    def credit(self, node, now_s):
        """Get what a node may spend before it reports it.

        A node that has ended may have left its credit unreported, so that
        one that has just begun gets none within the same window.
        """
        if node == self._name or not self._burst:
            return 0.0
        known_s = now_s - self._known.get(node, now_s)
        if known_s < self._rules.window_s:
            return 0.0
        if self._bucket.level(now_s) <= CREDIT_LEVEL * self._burst:
            return 0.0
        return self._rules.credit(self._quota) / self._credit_nodes()

    def use_share(self, now_s):
        """Get the use in the last window as a share of the quota."""
        window_s = self._rules.window_s
        allowed = self._quota.per_s * window_s + self._quota.burst
        return self._history.used(now_s - window_s) / allowed


class PoolHolder:
    """The pools that one node holds.

    :param name: name of the node.
    :param rules: ``QuotaRules``.
    :param on_change: ``(workspace, change)``, called when a pool gets its
        first entitlement or has lost its last one.
    """

    def __init__(self, name, rules, on_change=lambda workspace, change: None):
        self._name = name
        self._rules = rules
        self._on_change = on_change
        self._pools = {}
        self._begun = set()
        self._last_numbers = {}

    def handle(self, node, report, quotas, node_count, now_s):
        """Apply a report.

        :param node: the node that sent it.
        :param quotas: dict of workspace to ``Quota``, None if this node has
            no configuration.
        :param node_count: number of nodes that share them, None if unknown.
        :returns: a ``QuotaReply``.
        """
        is_latest = report.number > self._last_numbers.get(node, -1)
        if is_latest:
            self._last_numbers[node] = report.number
        grants = []
        for workspace, wanted, spent, offset_s in report.uses:
            if quotas is None:
                grants.append((workspace, 0.0, NO_ROOM_WAIT_S, 0.0))
                continue
            quota = quotas.get(workspace)
            if quota is None:
                # Not limited in this node's configuration, or not yet.
                grants.append((workspace, wanted, 0.0, 0.0))
                continue
            pool = self._pool(workspace, quota, node_count, now_s)
            pool.note_report(node, now_s)
            if is_latest:
                self._apply_lending(pool, node, report, now_s)
            if spent >= 0:
                pool.spend(spent, now_s)
            elif report.stamp_s > 0:
                # A delayed report moves the time back, never forward.
                pool.refund(-spent, report.stamp_s + offset_s, now_s)
            granted, wait_s = True, 0.0
            if wanted:
                granted, wait_s = pool.request(wanted, now_s)
            credit = pool.credit(node, now_s)
            grants.append(
                (workspace, wanted if granted else 0.0, wait_s, credit)
            )
            self._note_change(workspace, pool)
        return _wire.QuotaReply(report.number, now_s, tuple(grants))

    def _pool(self, workspace, quota, node_count, now_s):
        pool = self._pools.get(workspace)
        if pool is None:
            pool = QuotaPool(self._name, self._rules, quota, now_s)
            self._pools[workspace] = pool
        pool.advance(quota, node_count, now_s)
        return pool

    def _apply_lending(self, pool, node, report, now_s):
        if not report.is_lent:
            pool.give_back(node, now_s)
        elif 0.0 < report.stamp_s <= now_s:
            pool.lend(node, report.stamp_s + LENT_S, now_s)

    def _note_change(self, workspace, pool):
        is_begun = pool.lent_share() > 0
        if is_begun and workspace not in self._begun:
            self._begun.add(workspace)
            self._on_change(workspace, "begun")
        elif not is_begun and workspace in self._begun:
            self._begun.discard(workspace)
            self._on_change(workspace, "lost")

    def drop_node(self, node):
        """Note that the link to a node has ended."""
        self._last_numbers.pop(node, None)
        for pool in self._pools.values():
            pool.drop_node(node)

    def keep(self, quotas, node_count, now_s):
        """Forget the pools of workspaces without a quota."""
        for workspace in [w for w in self._pools if w not in quotas]:
            del self._pools[workspace]
            self._begun.discard(workspace)
        for workspace, pool in self._pools.items():
            pool.advance(quotas[workspace], node_count, now_s)
            self._note_change(workspace, pool)

    def use_shares(self, now_s):
        """Get the use of each pool's quota.

        :returns: dict of workspace to share.
        """
        return {w: self._pools[w].use_share(now_s) for w in self._begun}

    def lent_shares(self):
        """Get the share of each quota that is lent to this node."""
        return {w: self._pools[w].lent_share() for w in self._begun}
