"""Quotas of workspaces: asks holders of pools, and is one.

A request of a workspace with a quota takes its tokens on arrival, on credit
or from the holder of the workspace's pool.  Every node lends its share of
each quota to the holder, with a report to each holder at most every
``REPORT_S``.  What is spent on credit is reported with the next one, or
earlier if it is a good part of the credit.

Nothing is sent while no workspace has a quota.
"""

import contextlib
import math

import trio

from coltsfootsail import _kv
from coltsfootsail import _logs
from coltsfootsail import _membership
from coltsfootsail import _placement
from coltsfootsail import _quota
from coltsfootsail import _quota_pool
from coltsfootsail import _request_context
from coltsfootsail import _tasks
from coltsfootsail import _wire
from coltsfootsail import exceptions

REPORT_S = 1.2  # mean time between reports of all workspaces to a holder
FLUSH_S = 0.3
MEMBERS_CHECK_S = 2.0  # while no workspace has a quota
REPORT_FLUSHES = round(REPORT_S / FLUSH_S)
ASKS_MAX = 3  # of one request, if holders are lost meanwhile
WAIT_MAX_S = 0.15  # of a request for a holder's reply
NO_REPLY_RETRY_S = 0.3  # stated after that
HOLDERS_MIN = 2
WORKSPACES_PER_HOLDER = 4
# A node that has just started knows no count of nodes yet, and is no holder
# except among nodes that have all just started.
HOLDER_SETTLE_S = 5.0
STARTUP_S = 10.0
STORE_SILENCE_S = 4.0  # a holder without the store for longer is left


class Quotas:
    """Takes tokens for requests, and holds pools for other nodes.

    :param name: name of this node.
    :param settings: the ``GatewaySettings``.
    :param view: a ``DeploymentView``.
    :param lease: the ``NodeLease``.
    :param mesh: a ``Mesh``.
    :param is_ready: closure that tells whether callers should use this node.
    :param now: closure that reads the clock.
    :param count: ``(counter, reason, amount)``.
    """

    def __init__(
        self, name, settings, view, lease, mesh, is_ready, now, count
    ):
        self._name = name
        self._view = view
        self._lease = lease
        self._mesh = mesh
        self._is_ready = is_ready
        self._now = now
        self._count = count
        self._rules = _quota_pool.QuotaRules(
            settings.quota_window_s,
            settings.quota_overage,
            settings.quota_slack,
        )
        self._client = _quota.QuotaClient()
        self._pools = _quota_pool.PoolHolder(
            name, self._rules, self._on_pool_change
        )
        self._membership = _membership.Membership(_quota.MEMBERSHIP)
        self._started_s = now()
        self._linked_s = {}
        self._stored_s = {}
        self._holders = {}
        self._quotas = {}
        self._deployment = None
        self._wake = trio.Event()

    def _on_pool_change(self, workspace, change):
        _logs.state("quota_pool", workspace=workspace, change=change)

    def register_gauges(self, register):
        """Register the gauges of the pools."""
        register("quota_use", lambda: self._pools.use_shares(self._now()))
        register("quota_lent_share", self._pools.lent_shares)

    @contextlib.asynccontextmanager
    async def charged(self, context):
        """Take the tokens of a request, and give them back if it never runs.

        :param context: a ``RequestContext``.
        :raises OverQuota: if there are too few.
        """
        workspace = context.workspace
        cost = 0.0
        if workspace is not None and workspace.quota is not None:
            cost = workspace.quota.cost(context.meta.tokens)
        if cost <= 0:
            yield
            return
        begun_s = self._now()
        await self._acquire(workspace, cost)
        self._count("quota_granted", workspace.name, cost)
        try:
            yield
        except BaseException as exc:
            is_run = getattr(exc, "outcome", None) not in (
                None,
                _request_context.NOT_RUN,
            )
            if not is_run and not context.may_have_run:
                with _tasks.contained(self._count, context.meta.request_id):
                    self._refund(workspace, cost, begun_s)
            raise

    def _refund(self, workspace, cost, begun_s):
        self._count("quota_refunded", workspace.name, cost)
        self._client.refund(workspace.name, cost, begun_s)

    async def _acquire(self, workspace, cost):
        name = workspace.name
        self._refresh()
        begun_s = self._now()
        wait_s = NO_REPLY_RETRY_S
        for _ in range(ASKS_MAX):
            if self._spend_credit(workspace, cost):
                return
            wait_s = self._client.refused_s(name, self._now())
            if not wait_s:
                left_s = begun_s + WAIT_MAX_S - self._now()
                want = await self._ask(workspace, cost, left_s)
                if want.granted:
                    return
                wait_s = want.wait_s or NO_REPLY_RETRY_S
                if want.granted is None and not want.is_abandoned:
                    continue  # the holder was lost
            break
        self._count("quota_refused", name, cost)
        raise exceptions.OverQuota(retry_after_s=wait_s)

    def _spend_credit(self, workspace, cost):
        name, quota = workspace.name, workspace.quota
        credit_max = self._rules.credit(quota)
        credit_max /= max(1, self._view.member_count())
        if not self._client.try_spend(name, cost, credit_max):
            return False
        if self._client.is_urgent(name):
            self._report(self._holder(name), [name])
        return True

    async def _ask(self, workspace, cost, left_s):
        """Ask the holder for the tokens of a request.

        :returns: a ``Want``, with a result unless the time is over or the
            holder was lost.
        """
        replied = trio.Event()
        want = _quota.Want(workspace.name, cost, replied.set)
        begun_s = self._now()
        holder = self._holder(workspace.name)
        self._report(holder, [workspace.name], (want,))
        try:
            with trio.move_on_after(max(0.0, left_s)):
                await replied.wait()
        except trio.Cancelled:
            if want.granted:
                self._client.refund(workspace.name, cost, begun_s)
            raise
        finally:
            want.is_abandoned = not replied.is_set()
        return want

    def _node_count(self):
        """Count the nodes that share the quotas, None if that is unknown."""
        return self._membership.count(self._now())

    def _note_members(self):
        now_s = self._now()
        members = self._view.members()
        in_contact = self._lease.valid() and self._name in members
        in_contact = in_contact or self._store_is_down(members)
        self._membership.note(
            {name: member.draining for name, member in members.items()},
            in_contact,
            now_s,
        )

    def _store_is_down(self, members):
        """Tell whether no node can have joined or left through the store."""
        heartbeats = self._mesh.heartbeats()
        return (
            not self._lease.kv_ok
            and self._node_count() is not None
            and all(
                name == self._name
                or (name in heartbeats and not heartbeats[name].kv_ok)
                for name in members
            )
        )

    def _refresh(self):
        """Note a new configuration."""
        deployment = self._view.deployment
        if deployment is self._deployment:
            return
        self._deployment = deployment
        workspaces = deployment.workspaces or {}
        had_quotas = bool(self._quotas)
        self._quotas = {
            workspace.name: workspace.quota
            for workspace in workspaces.values()
            if workspace.quota is not None
        }
        if self._quotas or had_quotas:
            self._client.keep(self._quotas)
            self._advance()
        if self._quotas:
            self._wake.set()
        else:
            self._wake = trio.Event()

    def _advance(self):
        """Bring everything that depends on the other nodes up to date."""
        self._note_members()
        self._choose_holders()
        self._pools.keep(self._quotas, self._node_count(), self._now())

    def note_view(self):
        """Note a change of the view."""
        self._refresh()
        self._note_members()

    def note_link(self, node):
        """Note that the link to a node is up."""
        self._linked_s[node] = self._now()
        self._client.drop_holder(node)

    def drop_node(self, node):
        """Note that the link to a node has ended."""
        self._linked_s.pop(node, None)
        self._stored_s.pop(node, None)
        self._pools.drop_node(node)
        if self._quotas:
            self._choose_holders()
        self._client.drop_holder(node)

    def handle_report(self, node, msg):
        """Answer a report of another node."""
        self._refresh()
        self._mesh.send(node, self._answer(node, msg))

    def _answer(self, node, msg):
        quotas = self._quotas if self._view.deployment.version else None
        return self._pools.handle(
            node, msg, quotas, self._node_count(), self._now()
        )

    def handle_reply(self, node, msg):
        """Apply a holder's reply.

        The first one brings the stamp on which the entitlements are lent.
        """
        is_first = not self._client.has_stamp(node)
        self._client.handle_reply(node, msg, self._now())
        if is_first and self._client.has_stamp(node):
            self._report(node, self._held_by(node))

    def _held_by(self, node):
        return [w for w, holder in self._holders.items() if holder == node]

    def _holder(self, workspace):
        """Get the node that holds the pool of a workspace."""
        holder = self._holders.get(workspace)
        is_silent = self._client.is_silent(holder, self._now())
        if holder is None or is_silent:
            self._choose_holders()
            holder = self._holders.get(workspace, self._name)
        return holder

    def _choose_holders(self):
        """Choose the holder of each workspace's pool."""
        candidates = self._candidates()
        count = math.ceil(len(self._quotas) / WORKSPACES_PER_HOLDER)
        count = max(HOLDERS_MIN, count)
        # All nodes see the same order, and one that was lost and returns
        # displaces nobody: each move leaves a quota unlent for seconds.
        by_age = [n for n in self._view.members_by_age() if n in candidates]
        names = tuple(sorted(by_age[:count])) or candidates
        holders = {
            workspace: _placement.rendezvous_ranking(workspace, names, 1)[0]
            for workspace in self._quotas
        }
        for workspace, holder in holders.items():
            old = self._holders.get(workspace)
            if old is None or old == holder:
                continue
            _logs.state(
                "quota_holder",
                workspace=workspace,
                holder=holder,
                before=old,
                is_own=holder == self._name,
            )
        self._holders = holders

    def _candidates(self):
        """List the nodes that may hold pools.

        :returns: sorted tuple of names, never empty.
        """
        now_s = self._now()
        heartbeats = self._mesh.heartbeats()
        nodes = {
            node
            for node, heartbeat in heartbeats.items()
            if heartbeat.ready
            and self._mesh.knows(node, _wire.QuotaReport)
            and not self._client.is_silent(node, now_s)
        }
        if self._is_ready():
            nodes.add(self._name)
        stored = self._with_store(heartbeats, now_s)
        nodes = {n for n in nodes if self._has_settled(n, now_s)} or nodes
        nodes = nodes & stored or nodes or {self._name}
        return tuple(sorted(nodes))

    def _has_settled(self, node, now_s):
        if node == self._name or now_s < self._started_s + STARTUP_S:
            return True
        return now_s >= self._linked_s.get(node, -math.inf) + HOLDER_SETTLE_S

    def _with_store(self, heartbeats, now_s):
        """Get the nodes that were in contact with the store recently."""
        stored = set()
        for node, heartbeat in heartbeats.items():
            if heartbeat.kv_ok:
                self._stored_s[node] = now_s
            since_s = self._stored_s.setdefault(node, now_s)
            if now_s < since_s + STORE_SILENCE_S:
                stored.add(node)
        if self._node_count() is not None:
            stored.add(self._name)
        return stored

    def _report(self, holder, workspaces, wants=()):
        if not workspaces:
            return
        now_s = self._now()
        has_share = self._node_count() is not None
        reports = self._client.make_reports(
            holder, workspaces, wants, has_share, now_s
        )
        for report in reports:
            self._send(holder, report)

    def _send(self, holder, report):
        if holder == self._name:
            self.handle_reply(holder, self._answer(holder, report))
        elif not self._mesh.send(holder, report):
            self._client.drop_holder(holder)

    def _report_all(self):
        """Report all workspaces to their holders, to keep shares lent."""
        for holder in sorted(set(self._holders.values())):
            self._report(holder, self._held_by(holder))

    def _report_uses(self):
        """Report what was given back, or spent of a credit that runs out."""
        by_holder = {}
        for workspace in self._client.unreported():
            holder = self._holders.get(workspace)
            if holder is not None:
                by_holder.setdefault(holder, []).append(workspace)
        for holder, workspaces in by_holder.items():
            self._report(holder, workspaces)

    def _return_lent(self):
        """Take back what is lent to nodes that are not the holders."""
        now_s = self._now()
        returnable = self._client.returnable(self._holders)
        for node, workspaces in returnable.items():
            self._send(node, self._client.make_return(node, workspaces, now_s))

    async def run(self):
        """Report until cancelled, while there are quotas."""
        flushes = 0
        while True:
            if not self._quotas:
                # Nodes that have been registered for long have a share of a
                # quota as soon as it appears.
                self._note_members()
                with trio.move_on_after(MEMBERS_CHECK_S):
                    await self._wake.wait()
                if not self._quotas:
                    continue
            self._refresh()
            self._advance()
            self._return_lent()
            if flushes % REPORT_FLUSHES == 0:
                self._report_all()
            else:
                self._report_uses()
            flushes += 1
            await trio.sleep(_kv.jittered(FLUSH_S))
