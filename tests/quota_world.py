"""Nodes that share a quota: both pure sides, with faults and late messages."""

import random

from coltsfootsail import _fleet
from coltsfootsail import _membership
from coltsfootsail import _placement
from coltsfootsail import _quota
from coltsfootsail import _quota_pool

RULES = _quota_pool.QuotaRules(window_s=8.0, overage=0.1, slack=11_000.0)
STRICT = _quota_pool.QuotaRules(window_s=8.0, overage=0.0, slack=0.0)
STEP_S = 0.05
TTL_S = 8.0  # of registrations
LEASE_MARGIN_S = 2.0
WORKSPACE = "w"


class Node:
    """One node; a kill replaces it by a new one of the same name."""

    def __init__(self, name, rules):
        self.name = name
        self.client = _quota.QuotaClient()
        self.pools = _quota_pool.PoolHolder(name, rules)
        self.membership = _membership.Membership(_quota.MEMBERSHIP)
        self.members = ()
        self.renewed_s = -100.0
        self.awake_s = 0.0  # suspended until then
        self.inbox = []
        self.quota = None


class World:
    """The nodes, the store and the network.

    :param seed: of delays, holders and everything else that is random.
    :param refunds: share of the requests that do not run in the end.
    """

    def __init__(self, count, quota, seed, refunds=0.0, rules=RULES):
        self.rules = rules
        self.rng = random.Random(seed)
        self.quota = quota
        self.now_s = 1000.0
        self.names = [f"n{i}" for i in range(count)]
        self.nodes = {}
        for name in self.names:
            self.nodes[name] = Node(name, rules)
        self.down_until_s = dict.fromkeys(self.names, 0.0)
        self.registered_s = {}
        self.links = {}  # arrival time of the last message per direction
        self.cut = set()  # pairs of nodes, or (name, "store")
        self.disagree = 0.0  # share of nodes that choose another holder
        self.delay_s = 0.004
        self.refunds = refunds
        self.begun = []  # [sent_s, begun_s, cost]
        self.ends = []
        self.refused = []

    def up(self, name):
        """Tell whether a node runs now."""
        awake = self.now_s >= self.nodes[name].awake_s
        return awake and self.now_s >= self.down_until_s[name]

    def kill(self, name, down_s):
        """Kill a node; another process starts later."""
        self.down_until_s[name] = self.now_s + down_s
        self.nodes[name] = Node(name, self.rules)
        for other in self.names:
            self.break_link(name, other)

    def break_link(self, one, other):
        """End a link and what is on its way."""
        for a, b in ((one, other), (other, one)):
            self.links.pop((a, b), None)
            node = self.nodes[a]
            node.inbox = [item for item in node.inbox if item[1] != b]
            node.pools.drop_node(b)
            node.client.drop_holder(b)

    def cut_off(self, pair):
        """Cut a node off from another, or from ``"store"``."""
        self.cut.add(pair)
        if pair[1] != "store":
            self.break_link(*pair)

    def is_cut(self, one, other):
        """Tell whether two nodes have no link."""
        down = self.now_s < max(
            self.down_until_s[one], self.down_until_s[other]
        )
        return down or (one, other) in self.cut or (other, one) in self.cut

    def send(self, sender, receiver, msg, kind):
        """Send a report or a reply; messages of a link stay in order."""
        if sender == receiver:
            self.deliver(receiver, sender, msg, kind)
        elif not self.is_cut(sender, receiver):
            delay_s = self.rng.expovariate(1 / self.delay_s)
            due_s = max(
                self.links.get((sender, receiver), 0.0), self.now_s + delay_s
            )
            self.links[sender, receiver] = due_s
            self.nodes[receiver].inbox.append((due_s, sender, msg, kind))
        else:
            self.nodes[sender].client.drop_holder(receiver)

    def deliver(self, receiver, sender, msg, kind):
        """Let a node handle a message."""
        node = self.nodes[receiver]
        if kind == "reply":
            fresh = not node.client.has_stamp(sender)
            node.client.handle_reply(sender, msg, self.now_s)
            if fresh and node.client.has_stamp(sender):
                self.report(node, sender)
            return
        quotas = {WORKSPACE: node.quota} if node.quota else None
        count = node.membership.count(self.now_s)
        reply = node.pools.handle(sender, msg, quotas, count, self.now_s)
        self.send(receiver, sender, reply, "reply")

    def holder(self, node):
        """Choose the holder as this node sees it."""
        names = tuple(
            name
            for name in self.names
            if name == node.name
            or (
                not self.is_cut(node.name, name)
                and not node.client.is_silent(name, self.now_s)
            )
        )
        key = WORKSPACE
        if hash((node.name, int(self.now_s / 4))) % 100 < 100 * self.disagree:
            key = f"{WORKSPACE}{node.name[-1]}"
        return _placement.rendezvous_ranking(key, names, 1)[0]

    def report(self, node, holder, wants=()):
        """Send a node's report to a holder."""
        has_share = node.membership.count(self.now_s) is not None
        for msg in node.client.make_reports(
            holder, [WORKSPACE], wants, has_share, self.now_s
        ):
            self.send(node.name, holder, msg, "report")

    def call(self, name, cost):
        """Let a caller send a request to a node."""
        node, sent_s = self.nodes[name], self.now_s
        if not self.up(name) or not node.members or node.quota is None:
            return
        share = self.rules.credit(node.quota) / len(node.members)
        if node.client.try_spend(WORKSPACE, cost, share):
            self._begin(node, sent_s, cost)
            return
        if node.client.refused_s(WORKSPACE, sent_s):
            self.refused.append((sent_s, cost))
            return

        def wake():
            late = self.now_s > sent_s + 0.15
            if want.granted and late:
                node.client.refund(WORKSPACE, cost, sent_s)
            elif want.granted:
                self._begin(node, sent_s, cost)
            else:
                self.refused.append((sent_s, cost))

        want = _quota.Want(WORKSPACE, cost, wake)
        self.report(node, self.holder(node), (want,))

    def _begin(self, node, sent_s, cost):
        entry = [sent_s, self.now_s, cost]
        self.begun.append(entry)
        if self.rng.random() < self.refunds:
            end_s = self.now_s + self.rng.choice((0.1, 1.0, 4.0, 9.0))
            self.ends.append((end_s, node, entry))

    def step(self):
        """Let a step of time pass."""
        self.now_s += STEP_S
        for name in self.names:
            node = self.nodes[name]
            if self.up(name):
                self._run(node)
        for end in [e for e in self.ends if e[0] <= self.now_s]:
            self.ends.remove(end)
            _, node, entry = end
            if self.nodes[node.name] is node and self.up(node.name):
                node.client.refund(WORKSPACE, entry[2], entry[0])
                entry[2] = 0.0

    def _run(self, node):
        due = sorted(
            (i for i in node.inbox if i[0] <= self.now_s), key=lambda i: i[0]
        )
        node.inbox = [i for i in node.inbox if i[0] > self.now_s]
        for _, sender, msg, kind in due:
            self.deliver(node.name, sender, msg, kind)
        tick = round(self.now_s / STEP_S) + self.names.index(node.name)
        if tick % 10 == 0 and (node.name, "store") not in self.cut:
            self.registered_s[node.name] = node.renewed_s = self.now_s
            if tick % 30 == 0 or not node.members:
                node.quota = self.quota
                node.members = [
                    name
                    for name, since_s in self.registered_s.items()
                    if since_s > self.now_s - TTL_S
                ]
        if tick % 6 == 0:
            self._report_all(node, tick)

    def _report_all(self, node, tick):
        held = self.now_s < node.renewed_s + TTL_S - LEASE_MARGIN_S
        node.membership.note(
            dict.fromkeys(node.members, False),
            held and node.name in node.members,
            self.now_s,
        )
        holder = self.holder(node)
        for other in node.client.returnable({WORKSPACE: holder}):
            msg = node.client.make_return(other, [WORKSPACE], self.now_s)
            self.send(node.name, other, msg, "report")
        if tick % 24 == 0 or node.client.unreported():
            self.report(node, holder)

    def spent(self, since_s, until_s):
        """Sum up what was sent and begun within a time."""
        return sum(
            cost
            for sent_s, begun_s, cost in self.begun
            if since_s <= sent_s and begun_s <= until_s
        )

    def worst_window(self):
        """Get the largest use of all windows, as a share of the bound."""
        window_s, overage = self.rules.window_s, self.rules.overage
        bound = (self.quota.per_s * window_s + self.quota.burst) * (
            1 + overage
        ) + self.rules.slack
        starts = sorted({entry[0] for entry in self.begun})
        return max(
            (self.spent(s, s + window_s) / bound for s in starts[::5]),
            default=0.0,
        )


def make_quota(per_s=20_000.0, burst=40_000.0):
    """Make a quota that counts tokens."""
    return _fleet.Quota(per_s, burst, True, 1000.0)
