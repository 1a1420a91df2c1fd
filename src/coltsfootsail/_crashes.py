"""Requests that crash servers, by their whole content or a prompt's part.

When a server ends while it runs a request, the node that sent the request
checks whether the server has crashed, and tells all other nodes what spoke
for it.  Nodes with the same evidence blame the same parts.  What they blame
is also kept in the store until it expires, for nodes that start or that have
no link.
"""

import trio

from coltsfootsail import _crash_checks
from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _logs
from coltsfootsail import _poison_parts
from coltsfootsail import _records
from coltsfootsail import _wire
from coltsfootsail import exceptions

# A request is sent again only after its server's check, or after this time.
CHECK_WAIT_S = 0.3
STORE_TIMEOUT_S = 10.0
STORED_RETRY_S = 10.0  # for a part of whose crashes only the store tells


class CrashTracker:
    """What one node knows of requests that crash servers.

    :param strikes: ``Strikes`` against whole contents.
    :param checks: the node's ``CrashChecks``.
    :param view: a ``DeploymentView``.
    :param kv: a ``StoreClient``.
    :param now: closure that reads the clock.
    :param count: ``(counter, reason)``.
    :param tell_all: ``(message)``, sends to all nodes.
    :param tell: ``(node, message)``, sends to one node.
    """

    def __init__(self, strikes, checks, view, kv, now, count, tell_all, tell):
        self.strikes = strikes
        self._checks = checks
        self._view = view
        self._kv = kv
        self._now = now
        self._count = count
        self._tell_all = tell_all
        self._tell = tell
        self._nursery = None
        self._evidence = _poison_parts.PartEvidence()

    def check_allowed(self, context):
        """Refuse a request that would crash its server.

        :param context: the request's ``RequestContext``.
        :raises Poisoned: if its content has crashed too many servers.
        :raises PoisonedPart: if a part of its prompt is blamed.
        """
        if self.strikes.refused(context.fingerprint):
            raise exceptions.Poisoned()
        parts = context.meta.shared_parts
        left_s = self._evidence.refused_until_s(parts) - self._now()
        if left_s > 0.0:
            raise exceptions.PoisonedPart(retry_after_s=left_s)
        if any(self._view.is_part_blamed(part) for part in parts):
            raise exceptions.PoisonedPart(retry_after_s=STORED_RETRY_S)

    def interrupted(self, server, context):
        """Check in the background whether a request crashed its server.

        :param server: the ``Server`` that ran it.
        :param context: the request's ``RequestContext``.
        """
        context.crash_checked = trio.Event()
        self._nursery.start_soon(self._investigate, server, context)

    async def wait_until_checked(self, context):
        """Wait until it is known whether a request crashed its last server."""
        if context.crash_checked is not None:
            with trio.move_on_after(CHECK_WAIT_S):
                await context.crash_checked.wait()

    async def _investigate(self, server, context):
        try:
            finding = await self._checks.check(server)
            _logs.detail(
                "crash_checked",
                id=context.meta.request_id,
                server=server.name,
                finding=finding.value,
            )
            if finding is _crash_checks.Finding.CRASHED:
                self._add_strike(server, context)
                self._add_evidence(server, context)
        finally:
            context.crash_checked.set()

    def _add_strike(self, server, context):
        count = self.strikes.add(context.fingerprint)
        _logs.state(
            "strike",
            id=context.meta.request_id,
            server=server.name,
            content=context.fingerprint,
            count=count,
        )
        self._count("strikes", "crash")
        self._tell_all(_wire.Strike(context.fingerprint, count))

    def _add_evidence(self, server, context):
        now_s = self._now()
        parts = self._evidence.suspects(context.meta.shared_parts, now_s)
        if not parts:
            return
        run = _poison_parts.CrashedRun(
            server.name, context.fingerprint, parts, now_s
        )
        for part in self._note_run(run, ""):
            self._nursery.start_soon(self._store_blame, part)
        self._tell_all(self._message(run))

    def _message(self, run):
        return _wire.CrashedRun(
            run.server, run.content, run.parts, float(self._now() - run.at_s)
        )

    def _note_run(self, run, node):
        """Add a run to the evidence, and log the parts that get blamed.

        :param node: the node that told of it, empty for this one.
        :returns: these parts.
        """
        blamed = self._evidence.add(run)
        for part in blamed:
            verdict = self._evidence.verdict(part)
            self._count("poisoned_parts", "blamed")
            _logs.state(
                "part_blamed",
                part=part,
                crashes=verdict.crashes,
                for_s=round(verdict.until_s - self._now(), 1),
                told_by=node,
            )
        return blamed

    async def _store_blame(self, part):
        """Keep a part's blame in the store until it expires."""
        verdict = self._evidence.verdict(part)
        if verdict is None:
            return
        left_s = max(1.0, verdict.until_s - self._now())
        record = _records.dumps(_records.BlamedPart(verdict.crashes))
        try:
            with trio.fail_after(STORE_TIMEOUT_S):
                lease = await self._kv.lease_grant(left_s)
                key = _keys.blamed_part(part)
                await self._kv.txn([], [_kv.Put(key, record, lease)])
        except (exceptions.KvError, trio.TooSlowError) as exc:
            _logs.state("part_not_stored", part=part, reason=repr(exc))

    def completed(self, context):
        """Clear a request's content and parts after a successful run."""
        if self.strikes.clear(context.fingerprint):
            self._tell_all(_wire.Strike(context.fingerprint, 0))
        parts = context.meta.shared_parts
        self._clear(parts, "")
        for part in parts:
            if self._view.is_part_blamed(part):
                self._nursery.start_soon(self._remove_blame, part)

    def _clear(self, parts, node):
        """Clear parts, and tell all nodes if this one has accused them.

        :param node: the node that told of it, empty for this one.
        """
        is_accuser = not node or self._has_accused(parts)
        cleared = self._evidence.clear(parts, self._now())
        if not cleared:
            return
        self._count("poisoned_parts", "cleared")
        _logs.state("parts_cleared", parts=" ".join(cleared), told_by=node)
        if is_accuser:
            self._tell_all(_wire.PartsCleared(cleared))

    def _has_accused(self, parts):
        """Tell whether this node has told others of runs with some parts."""
        return any(
            part in parts
            for run in self._evidence.runs()
            if not run.told_by
            for part, _ in run.parts
        )

    async def _remove_blame(self, part):
        try:
            with trio.fail_after(STORE_TIMEOUT_S):
                operation = _kv.Delete(_keys.blamed_part(part))
                await self._kv.txn([], [operation])
        except (exceptions.KvError, trio.TooSlowError) as exc:
            _logs.state("part_not_removed", part=part, reason=repr(exc))

    def learn_strike(self, msg):
        """Apply another node's ``Strike``."""
        self.strikes.learn(msg.fingerprint, msg.count)

    def learn_run(self, msg, node):
        """Add a run that another node saw crash its server.

        The node is told of the parts that are known here to be sound.

        :param msg: a ``_wire.CrashedRun``.
        """
        now_s = self._now()
        at_s = now_s - msg.age_s
        told = tuple((str(part), int(place)) for part, place in msg.parts)
        sound = tuple(p for p, _ in told if self._evidence.is_sound(p, now_s))
        if sound:
            self._tell(node, _wire.PartsCleared(sound))
        parts = tuple(pair for pair in told if pair[0] not in sound)
        if not parts:
            return
        run = _poison_parts.CrashedRun(
            msg.server, msg.content, parts, at_s, node
        )
        self._note_run(run, node)

    def learn_cleared(self, msg, node):
        """Clear parts with which another node saw a run completed.

        :param msg: a ``PartsCleared``.
        """
        self._clear(msg.parts, node)

    def messages(self):
        """Make the messages that tell another node all that is known."""
        strikes = [
            _wire.Strike(content, count)
            for content, count in self.strikes.counts()
        ]
        return strikes + [self._message(r) for r in self._evidence.runs()]

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run the checks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()
