"""A node's side of the quotas: its share, what it lent, credit and refunds.

A node is entitled to an equal share of each workspace's quota, and lends it
to the holder of a pool.  It regards an entitlement as lent until a holder
that it can't ask could no longer count it.

What a node spends on credit it owes until a holder has acknowledged it.  If
a holder is lost, the next one is told, so that a use may be counted twice
but never goes uncounted.

The code has no clock and no I/O.
"""

import dataclasses
import itertools
import math

from coltsfootsail import _membership
from coltsfootsail import _quota_pool
from coltsfootsail import _wire

LENT_MARGIN_S = 0.1  # covers the drift of clocks
# A node without contact to the store for longer has no share; others count
# it for longer after its registration has expired.
CONTACT_HOLD_S = 6.0
DEPARTED_HOLD_S = CONTACT_HOLD_S + 1.0
JOIN_S = 3.0  # after it others have seen a registration
MEMBERSHIP = _membership.Rules(JOIN_S, CONTACT_HOLD_S, DEPARTED_HOLD_S)
SILENCE_S = 0.5  # a holder that does not answer for longer is left
# It is left for this time after its next answer: a node that was suspended
# has no share for a while.
SILENCE_HOLD_S = 5.0
PAUSE_MIN_S = 1.0  # between two looks at holders, if this node was suspended
# Requests of any size are refused without asking the holder for this time
# after it has refused one: it does not prefer small ones either.
REFUSED_HOLD_S = 0.25


@dataclasses.dataclass(eq=False, slots=True)
class Want:
    """Tokens that a request waits for.

    :param wake: called without arguments when there is a result.
    :param is_abandoned: whether the request no longer waits.
    :param granted: None before the result, and if the holder was lost.
    """

    workspace: str
    cost: float
    wake: object
    is_abandoned: bool = False
    granted: bool | None = None
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """A use in a report that is not acknowledged yet."""

    workspace: str
    spent: float
    want: Want | None


@dataclasses.dataclass(slots=True)
class _Account:
    """A workspace at this node.

    :param credit: what it may owe before it has to ask.
    :param owed: spent, but not acknowledged by a holder.
    :param unsent: the part of it that is in no report yet.
    :param refunds: tuples of the tokens to give back, and when they were
        spent.
    :param lent_to: the holder that may count the entitlement, or None.
    :param lent_number: number of the report that lent it last.
    :param room_s: from when on there is room for the request that was
        refused last.
    :param room_hold_s: until when that is taken as known.
    """

    credit: float = 0.0
    owed: float = 0.0
    unsent: float = 0.0
    refunds: list = dataclasses.field(default_factory=list)
    lent_to: str | None = None
    lent_until_s: float = 0.0
    lent_number: int = 0
    room_s: float = 0.0
    room_hold_s: float = 0.0


class _Holder:
    """What this node has exchanged with one holder.

    :param stamp_s: the holder's last stamp, 0.0 for none.
    :param received_s: when it was received.
    :param silent_s: when it was last found silent.
    :param pending: dict of the number of each report without a reply to the
        time at which it was sent, whether it lent, and its ``_Entry`` objects.
    """

    def __init__(self):
        self.stamp_s = 0.0
        self.received_s = 0.0
        self.silent_s = -math.inf
        self.pending = {}


class QuotaClient:
    """The use of quotas by the requests of one node."""

    def __init__(self):
        self._numbers = itertools.count(1)
        self._accounts = {}
        self._holders = {}
        self._looked_s = -math.inf
        self._resumed_s = -math.inf

    def _account(self, workspace):
        return self._accounts.setdefault(workspace, _Account())

    def _holder(self, node):
        return self._holders.setdefault(node, _Holder())

    def keep(self, workspaces):
        """Forget the workspaces without a quota."""
        gone = [w for w in self._accounts if w not in workspaces]
        for name in gone:
            if not self._accounts[name].owed:
                del self._accounts[name]

    def try_spend(self, workspace, cost, credit_max):
        """Spend tokens on credit, if it suffices.

        :param credit_max: bound on the credit by this node's configuration.
        :returns: whether they were spent.
        """
        account = self._account(workspace)
        if account.owed + cost > min(account.credit, credit_max):
            return False
        account.owed += cost
        account.unsent += cost
        return True

    def refused_s(self, workspace, now_s):
        """Get the known time until there is room for requests, or 0."""
        account = self._account(workspace)
        if now_s >= account.room_hold_s:
            return 0.0
        return max(0.0, account.room_s - now_s)

    def refund(self, workspace, cost, spent_s):
        """Give back tokens of a request that has not run.

        :param spent_s: a time at which they had not been spent yet.
        """
        self._account(workspace).refunds.append((cost, spent_s))

    def is_urgent(self, workspace):
        """Tell whether half of a workspace's credit is not reported yet."""
        account = self._account(workspace)
        return 2 * account.unsent >= account.credit

    def unreported(self):
        """List the workspaces with something to report soon.

        What was spent waits for the next report to the holder if it is small.
        """
        return [
            workspace
            for workspace, account in self._accounts.items()
            if account.refunds or 4 * account.unsent > account.credit
        ]

    def is_silent(self, node, now_s):
        """Tell whether a holder has not answered, or did not until lately."""
        if now_s > self._looked_s + PAUSE_MIN_S:
            self._resumed_s = now_s
        self._looked_s = now_s
        holder = self._holder(node)
        if holder.pending:
            sent_s, _, _ = next(iter(holder.pending.values()))
            if now_s > max(sent_s, self._resumed_s) + SILENCE_S:
                holder.silent_s = now_s
        return now_s < holder.silent_s + SILENCE_HOLD_S

    def has_stamp(self, node):
        """Tell whether a holder has answered on its present link."""
        return self._holder(node).stamp_s > 0

    def returnable(self, holders):
        """List entitlements that are lent to a node that is not the holder.

        :param holders: dict of workspace to the node that should hold it.
        :returns: dict of node to list of workspaces.
        """
        nodes = {}
        for workspace, holder in holders.items():
            node = self._account(workspace).lent_to
            if node not in (None, holder):
                nodes.setdefault(node, []).append(workspace)
        return nodes

    def make_reports(self, node, workspaces, wants, has_share, now_s):
        """Make the reports to a holder.

        :param workspaces: names of those to report.
        :param wants: ``Want`` objects of some of them.
        :param has_share: whether this node has entitlements to lend.
        :returns: list of ``QuotaReport``, one for those whose entitlement is
            lent to the holder and one for the others.
        """
        groups = {True: [], False: []}
        for workspace in workspaces:
            can_lend = has_share and self._can_lend(workspace, node, now_s)
            groups[can_lend].append(workspace)
        return [
            self._make_report(node, names, wants, is_lent, now_s)
            for is_lent, names in groups.items()
            if names
        ]

    def _can_lend(self, workspace, node, now_s):
        account = self._account(workspace)
        if account.lent_to not in (None, node):
            return now_s >= account.lent_until_s
        return True

    def _make_report(self, node, workspaces, wants, is_lent, now_s):
        holder = self._holder(node)
        number = next(self._numbers)
        entries, uses = [], []
        for workspace in workspaces:
            account = self._account(workspace)
            if is_lent and holder.stamp_s:
                account.lent_to = node
                account.lent_number = number
                account.lent_until_s = (
                    holder.received_s + _quota_pool.LENT_S + LENT_MARGIN_S
                )
            entries.append(_Entry(workspace, account.unsent, None))
            uses.append((workspace, 0.0, account.unsent, 0.0))
            account.unsent = 0.0
            for cost, spent_s in account.refunds:
                entries.append(_Entry(workspace, 0.0, None))
                offset_s = spent_s - holder.received_s
                uses.append((workspace, 0.0, -cost, offset_s))
            account.refunds.clear()
        for want in wants:
            if want.workspace in workspaces:
                entries.append(_Entry(want.workspace, 0.0, want))
                uses.append((want.workspace, want.cost, 0.0, 0.0))
        holder.pending[number] = (now_s, is_lent, entries)
        return _wire.QuotaReport(number, holder.stamp_s, is_lent, tuple(uses))

    def make_return(self, node, workspaces, now_s):
        """Make the report that takes entitlements back from a holder."""
        return self._make_report(node, workspaces, (), False, now_s)

    def handle_reply(self, node, reply, now_s):
        """Apply a holder's reply, and wake the requests that waited for it.

        A reply to a report that was sent on an earlier link is ignored.
        """
        holder = self._holder(node)
        pending = holder.pending.pop(reply.number, None)
        if pending is None:
            return
        holder.stamp_s, holder.received_s = reply.stamp_s, now_s
        sent_s, is_lent, entries = pending
        for entry, grant in zip(entries, reply.grants, strict=False):
            _, granted, wait_s, credit = grant
            account = self._account(entry.workspace)
            account.owed = max(0.0, account.owed - entry.spent)
            account.credit = credit
            returned = not is_lent and account.lent_to == node
            if returned and account.lent_number < reply.number:
                account.lent_to = None
            if entry.want is not None:
                self._settle(entry.want, granted > 0, wait_s, sent_s, now_s)

    def _settle(self, want, granted, wait_s, sent_s, now_s):
        want.granted, want.wait_s = granted, wait_s
        if want.is_abandoned:
            if granted:
                self.refund(want.workspace, want.cost, sent_s)
            return
        if not granted and wait_s < _quota_pool.NEVER_WAIT_S:
            account = self._account(want.workspace)
            account.room_s = now_s + wait_s
            account.room_hold_s = now_s + REFUSED_HOLD_S
        want.wake()

    def drop_holder(self, node):
        """Note that the link to a holder has ended.

        Whether it has counted what it did not acknowledge is not known, so
        that this is reported again.
        """
        holder = self._holders.pop(node, None)
        for _, _, entries in holder.pending.values() if holder else ():
            for entry in entries:
                self._account(entry.workspace).unsent += entry.spent
                if entry.want is not None:
                    entry.want.wake()
