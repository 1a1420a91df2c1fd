"""Requests that crash servers, by their whole content or a prompt's part.

When a server ends while it runs a request, the node that sent the request
checks whether the server has crashed, and tells all other nodes what spoke
for it.  Nodes with the same evidence blame the same parts.  What they blame
is also kept in the store, for nodes that start or that have no link.
"""

import trio

from coltsfootsail import _crash_checks
from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _logs
from coltsfootsail import _placement
from coltsfootsail import _poison_parts
from coltsfootsail import _records
from coltsfootsail import _tasks
from coltsfootsail import _wire
from coltsfootsail import exceptions

# A request is sent again only after its server's check, or after this time.
CHECK_WAIT_S = 0.3
STORE_TIMEOUT_S = 10.0
STRIKES_KEEP_S = 600.0  # the longest lease that the store grants
# A server that starts again under its name within this time after it broke
# off a request has crashed, although it accepts connections.
RESTART_NOTICE_S = 10.0
# A silent server that accepts no connection may be on a host that is paused.
SILENCE_MAX_S = 5.0  # after which it counts as crashed
SILENCE_RECHECK_S = 0.5
TRIAL_TURN_S = 5.0  # in which one node may try a blamed part
TRIAL_RETRY_S = 1.0  # for callers of other nodes meanwhile


class CrashTracker:
    """What one node knows of requests that crash servers.

    :param node: this node's name.
    :param strikes: ``Strikes`` against whole contents.
    :param checks: the node's ``CrashChecks``.
    :param view: a ``DeploymentView``.
    :param mesh: a ``Mesh``.
    :param kv: a ``StoreClient``.
    :param now: closure that reads the clock.
    :param count: ``(counter, reason)``.
    """

    def __init__(self, node, strikes, checks, view, mesh, kv, now, count):
        self.strikes = strikes
        self._node = node
        self._checks = checks
        self._view = view
        self._mesh = mesh
        self._kv = kv
        self._now = now
        self._count = count
        self._tasks = _tasks.TaskGroup("request", count)
        self._evidence = _poison_parts.PartEvidence()
        self._trials = {}
        self._stored_revisions = {}
        self._interruptions = []

    def check_allowed(self, context):
        """Refuse a request that would crash its server.

        :param context: the request's ``RequestContext``.
        :raises Poisoned: if its content has crashed too many servers.
        :raises PoisonedPart: if a part of its prompt is blamed.
        """
        if self.strikes.refused(context.fingerprint):
            raise exceptions.Poisoned()
        now_s = self._now()
        for part in context.meta.shared_parts:
            verdict = self._evidence.verdict(part)
            if verdict is not None and not verdict.is_over(now_s):
                self._check_trial(part, verdict, now_s, context)

    def _check_trial(self, part, verdict, now_s, context):
        """Let a request try a blamed part, or refuse it."""
        left_s = verdict.refused_until_s - now_s
        if left_s > 0.0:
            raise exceptions.PoisonedPart(retry_after_s=left_s)
        turn = int(-left_s / TRIAL_TURN_S)
        if self._trials.get(part) is context:
            return
        if part in self._trials or not self._is_in_turn(part, turn):
            raise exceptions.PoisonedPart(retry_after_s=TRIAL_RETRY_S)
        self._trials[part] = context
        _logs.state("part_tried", id=context.meta.request_id, part=part)

    def _is_in_turn(self, part, turn):
        nodes = [
            node
            for node, heartbeat in self._mesh.heartbeats().items()
            if heartbeat.ready
        ]
        ranked = _placement.rendezvous_ranking(
            f"{part}/{turn}", tuple(sorted({*nodes, self._node})), 1
        )
        return ranked[0] == self._node

    def end_trials(self, context):
        """End the trials of a request once it is known how they ended."""
        parts = [p for p, each in self._trials.items() if each is context]
        if parts:
            self._tasks.start_soon(self._end_trials, context, parts)

    async def _end_trials(self, context, parts):
        if context.crash_checked is not None:
            await context.crash_checked.wait()
        for part in parts:
            del self._trials[part]

    def interrupted(self, server, context, was_silent=False):
        """Check in the background whether a request crashed its server.

        :param server: the ``Server`` that ran it.
        :param context: the request's ``RequestContext``.
        :param was_silent: whether the server only did not answer in time.
        """
        context.crash_checked = trio.Event()
        self._tasks.start_soon(self._investigate, server, context, was_silent)

    async def wait_until_checked(self, context):
        """Wait until it is known whether a request crashed its last server."""
        if context.crash_checked is not None:
            with trio.move_on_after(CHECK_WAIT_S):
                await context.crash_checked.wait()

    async def _investigate(self, server, context, was_silent):
        try:
            finding = await self._checks.check(server)
            if was_silent and finding is _crash_checks.Finding.CRASHED:
                finding = await self._check_again(server)
            _logs.detail(
                "crash_checked",
                id=context.meta.request_id,
                server=server.name,
                finding=finding.value,
            )
            if finding is _crash_checks.Finding.CRASHED:
                self._add_strike(server, context)
                self._add_evidence(server, context)
            elif server.born_ms:
                self._note_interruption(server, context)
        finally:
            context.crash_checked.set()

    async def _check_again(self, server):
        """Check for a while whether a server stays out of reach.

        :returns: a ``Finding``.
        """
        until_s = self._now() + SILENCE_MAX_S
        finding = _crash_checks.Finding.CRASHED
        while (
            finding is _crash_checks.Finding.CRASHED
            and self._now() < until_s
            and server.name in self._view.servers
        ):
            await trio.sleep(SILENCE_RECHECK_S)
            finding = await self._checks.check(server)
        return finding

    def _note_interruption(self, server, context):
        """Remember a request whose server may turn out to have restarted."""
        now_s = self._now()
        if self._view.born_ms(server.name) > server.born_ms:
            self._add_strike(server, context)
            self._add_evidence(server, context)
            return
        oldest_s = now_s - RESTART_NOTICE_S
        recent = [each for each in self._interruptions if each[0] > oldest_s]
        self._interruptions = [*recent, (now_s, server, context)]

    def note_restarted(self, name):
        """Take the requests that a server's restart broke off as crashes."""
        oldest_s = self._now() - RESTART_NOTICE_S
        pending, self._interruptions = self._interruptions, []
        for at_s, server, context in pending:
            if server.name != name:
                self._interruptions.append((at_s, server, context))
            elif at_s > oldest_s:
                self._add_strike(server, context)
                self._add_evidence(server, context)

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
        self._mesh.broadcast(_wire.Strike(context.fingerprint, count))
        if self.strikes.refused(context.fingerprint):
            self._tasks.start_soon(
                self._store_strikes, context.fingerprint, count
            )

    async def _store_strikes(self, content, count):
        """Keep a refused content in the store, for nodes that start."""
        key, record = _keys.strike(content), _records.StrikeRecord(count)
        try:
            await self._put(key, record, STRIKES_KEEP_S)
        except (exceptions.KvError, trio.TooSlowError) as exc:
            _logs.state(
                "strikes_not_stored", content=content, reason=repr(exc)
            )
            return
        if not self.strikes.refused(content):
            await self._remove_strikes(content)

    async def _put(self, key, record, keep_s):
        """Write a record under a lease of its own.

        :raises KvError: if the store fails.
        :raises trio.TooSlowError: if it does not answer in time.
        """
        with trio.fail_after(STORE_TIMEOUT_S):
            lease = await self._kv.lease_grant(keep_s)
            put = _kv.Put(key, _records.dumps(record), lease)
            await self._kv.txn([], [put])

    def _add_evidence(self, server, context):
        now_s = self._now()
        parts = self._evidence.suspects(context.meta.shared_parts, now_s)
        if not parts:
            return
        run = _poison_parts.CrashedRun(
            server.name, context.fingerprint, parts, now_s
        )
        for part in self._note_run(run):
            self._tasks.start_soon(self._store_blame, part)
        self._mesh.broadcast(self._message(run))

    def _message(self, run):
        return _wire.CrashedRun(
            run.server, run.content, run.parts, float(self._now() - run.at_s)
        )

    def _note_run(self, run):
        """Add a run to the evidence.

        :returns: the parts that are blamed for more crashes than before.
        """
        blamed = self._evidence.add(run)
        for part in blamed:
            self._record_blame(part, run.told_by)
        return blamed

    def _record_blame(self, part, source):
        """Count and log the blame of a part.

        :param source: node that told of the last crash, ``store``, or empty.
        """
        verdict = self._evidence.verdict(part)
        self._count("poisoned_parts", "blamed")
        _logs.state(
            "part_blamed",
            part=part,
            crashes=verdict.crashes,
            for_s=round(verdict.refused_until_s - self._now(), 1),
            told_by=source,
        )

    async def _store_blame(self, part):
        """Keep a part's blame in the store until its trial is over."""
        verdict = self._evidence.verdict(part)
        if verdict is None:
            return
        left_s = verdict.refused_until_s - self._now() + _poison_parts.TRIAL_S
        record = _records.BlamedPart(part, verdict.crashes)
        try:
            await self._put(_keys.blamed_part(part), record, left_s)
        except (exceptions.KvError, trio.TooSlowError) as exc:
            _logs.state("part_not_stored", part=part, reason=repr(exc))
            return
        if self._evidence.verdict(part) is None:
            await self._remove_blame(part)

    async def _remove_strikes(self, content):
        try:
            await self._delete(_keys.strike(content))
        except (exceptions.KvError, trio.TooSlowError) as exc:
            _logs.state(
                "strikes_not_removed", content=content, reason=repr(exc)
            )

    async def _delete(self, key):
        """Delete a record.

        :raises KvError: if the store fails.
        :raises trio.TooSlowError: if it does not answer in time.
        """
        with trio.fail_after(STORE_TIMEOUT_S):
            await self._kv.txn([], [_kv.Delete(key)])

    async def _remove_blame(self, part):
        try:
            await self._delete(_keys.blamed_part(part))
        except (exceptions.KvError, trio.TooSlowError) as exc:
            _logs.state("part_not_removed", part=part, reason=repr(exc))

    def note_stored(self):
        """Take over the blames in the store that are not known here."""
        now_s = self._now()
        stored = self._view.blamed_parts()
        for record, revision in stored:
            is_known = self._stored_revisions.get(record.part) == revision
            self._stored_revisions[record.part] = revision
            if is_known or self._evidence.is_sound(record.part, now_s):
                continue
            if self._evidence.verdict(record.part) is None:
                self._evidence.adopt(record.part, record.crashes, now_s)
                self._record_blame(record.part, "store")
        parts = {record.part for record, _ in stored}
        for part in self._stored_revisions.keys() - parts:
            del self._stored_revisions[part]

    def completed(self, context):
        """Clear a request's content and parts after a successful run."""
        if self.strikes.clear(context.fingerprint):
            self._mesh.broadcast(_wire.Strike(context.fingerprint, 0))
            if self._view.strike_count(context.fingerprint):
                self._tasks.start_soon(
                    self._remove_strikes, context.fingerprint
                )
        self._clear(context.meta.shared_parts, "")

    def _clear(self, parts, node):
        """Clear parts, and tell all nodes if this one has accused them.

        :param node: the node that told of it, empty for this one.
        """
        is_accuser = not node or self._has_accused(parts)
        blamed = [part for part in parts if self._evidence.verdict(part)]
        cleared = self._evidence.clear(parts, self._now())
        if not cleared:
            return
        self._count("poisoned_parts", "cleared")
        _logs.state("parts_cleared", parts=" ".join(cleared), told_by=node)
        if is_accuser:
            self._mesh.broadcast(_wire.PartsCleared(cleared))
            for part in blamed:
                self._tasks.start_soon(self._remove_blame, part)

    def _has_accused(self, parts):
        """Tell whether this node has told others of runs with some parts."""
        return any(
            part in parts
            for run in self._evidence.runs()
            if not run.told_by
            for part, _ in run.parts
        )

    def learn_strike(self, msg):
        """Apply another node's ``Strike``."""
        self.strikes.learn(msg.fingerprint, msg.count)

    def learn_run(self, msg, node):
        """Add a run that another node saw crash its server.

        The node is told of the parts that are known here to be sound.

        :param msg: a ``_wire.CrashedRun``.
        """
        now_s = self._now()
        told = tuple((str(part), int(place)) for part, place in msg.parts)
        sound = tuple(p for p, _ in told if self._evidence.is_sound(p, now_s))
        if sound:
            self._mesh.send(node, _wire.PartsCleared(sound))
        parts = tuple(pair for pair in told if pair[0] not in sound)
        if not parts:
            return
        run = _poison_parts.CrashedRun(
            msg.server, msg.content, parts, now_s - msg.age_s, node
        )
        self._note_run(run)

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

    async def run(self):
        """Run the checks until cancelled."""
        async with self._tasks.opened():
            await trio.sleep_forever()
