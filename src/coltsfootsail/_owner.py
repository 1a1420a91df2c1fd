"""The owner of one engine: its queue, its slots and its orders.

All requests and orders for an endpoint pass its owner, which therefore
knows every running request.  Decisions are the scheduler's; this module
carries them out and keeps to what the node may prove about its claim.
"""

import collections
import contextlib
import dataclasses
import itertools
import math

import trio

from coltsfootsail import _dispatch
from coltsfootsail import _policy
from coltsfootsail import _scheduler
from coltsfootsail import exceptions

REPORT_PERIOD_S = 1.0
LOAD_FAILURES_MAX = 2
LOAD_PAUSE_S = 3.0
FAILING_S = 15.0
ORDER_LINGER_S = 60.0
RETRY_AFTER_S = 2.0
GONE_REPORTS = 2
RECORD_IDLE_S = 1.0
CRASH_SIGNS = (exceptions.OutcomeUnknown, exceptions.AnswerTruncated)


@dataclasses.dataclass(frozen=True, slots=True)
class Guards:
    """What the node can prove about its claim, as closures.

    :param may_dispatch: ``() -> bool``; requests may be started.
    :param may_order: ``() -> bool``; the claim is surely held.
    :param may_fill: ``() -> bool``; loads into free slots are safe.
    :param record: ``async (adapters)``; notes orders that are about to
        be given where the endpoint ignores fencing; raises ``KvError``
        or ``NotOwner``.
    :param unresolved: ``() -> tuple`` of earlier ``Holder`` records.
    """

    may_dispatch: object
    may_order: object
    may_fill: object
    record: object
    unresolved: object


@dataclasses.dataclass(frozen=True, slots=True)
class Hooks:
    """What the owner tells the node, as closures.

    :param count: ``(counter, reason)``.
    :param changed: ``(endpoint)``; residency or queue changed.
    :param crashed: ``async (fingerprints)``; it crashed under these.
    :param cleared: ``(fingerprint)``; a content ran to its end.
    :param suspect: ``(fingerprint) -> bool``.
    :param refused: ``(fingerprint) -> bool``.
    """

    count: object
    changed: object
    crashed: object
    cleared: object
    suspect: object
    refused: object


@dataclasses.dataclass(slots=True)
class _Waiter:
    ticket: _scheduler.Ticket
    work: object
    event: trio.Event
    error: Exception | None = None
    started: bool = False


class EndpointOwner:
    """Serves requests on one engine while this node owns it.

    :param name: the endpoint's name.
    :param entry: its ``Endpoint`` entry.
    :param engine: an ``Engine``.
    :param rules: ``Rules`` of the scheduler.
    :param permits: ``Permits`` for the weight store.
    :param guards: ``Guards``.
    :param hooks: ``Hooks``.
    :param now: closure that reads the clock.
    :param limits: ``LimitSettings``.
    """

    def __init__(
        self, name, entry, engine, rules, permits, guards, hooks, now, limits
    ):
        self.name = name
        self.entry = entry
        self.fence = 0
        self.active = False
        self.ready = False
        self.draining = False
        self.scope = trio.CancelScope()
        self.scheduler = _scheduler.EndpointScheduler(
            entry.slots, entry.batch, rules
        )
        self._engine = engine
        self._permits = permits
        self._guards = guards
        self._hooks = hooks
        self._now = now
        self._limits = limits
        self._reported_s = now()
        self._line = _dispatch.Line(
            engine=engine,
            limits=limits,
            now=now,
            may_dispatch=guards.may_dispatch,
            is_answering=self._is_answering,
            forgotten=self._forgotten,
            count=hooks.count,
        )
        self._waiters = {}
        self._orders = itertools.count()
        self._wake_loader = trio.Event()
        self._loading = False
        self._missing = collections.Counter()
        self._load_failures = collections.Counter()
        self._load_after_s = {}
        self._running = {}
        self._incarnation = None
        self._closed_s = {}
        self._restarted = False
        self._failing_until_s = 0.0
        self._recorded_s = None
        self._unsure_until_s = {}
        self.outstanding = 0

    # -- requests ---------------------------------------------------

    async def serve(self, work, sink, queue_max):
        """Queue a request, run it and pass its answer on.

        :param work: an ``InferenceRequest``.
        :param sink: a ``ResponseSink``; untouched if an error is raised before
            the answer started.
        :raises ColtsfootsailError: with what is true of the request.
        """
        waiter = self._enqueue(work, queue_max)
        try:
            await self._wait_start(waiter, sink)
        except BaseException:
            self._leave(waiter)
            raise
        lingering = True
        try:
            await self._run(work, sink)
            lingering = False
        except exceptions.ColtsfootsailError as exc:
            lingering = exc.outcome is not exceptions.Outcome.NOT_RUN
            raise
        finally:
            self._finish(waiter, lingering)

    def _enqueue(self, work, queue_max):
        if not self.active:
            raise exceptions.NotOwner()
        if self.draining:
            raise exceptions.NoEndpoint("the endpoint is being drained")
        if self._hooks.refused(work.fingerprint):
            raise exceptions.Poisoned()
        if self.scheduler.waiting_count >= queue_max:
            raise exceptions.QueueFull(retry_after_s=RETRY_AFTER_S)
        ticket = _scheduler.Ticket(
            order=next(self._orders),
            adapter=work.adapter,
            rank=work.rank,
            protected=work.protected,
            arrival_s=work.arrival_s,
            suspect=self._hooks.suspect(work.fingerprint),
        )
        waiter = _Waiter(ticket, work, trio.Event())
        self._waiters[ticket.order] = waiter
        self.scheduler.submit(ticket)
        self.pump()
        return waiter

    async def _wait_start(self, waiter, sink):
        work = waiter.work
        until_s = min(work.deadline_s, work.arrival_s + work.max_wait_s)
        wait_s = max(0.0, until_s - self._now())
        with trio.move_on_after(wait_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    _cancel_after, sink.hangup, nursery.cancel_scope
                )
                await waiter.event.wait()
                nursery.cancel_scope.cancel()
        if waiter.error is not None:
            raise waiter.error
        if waiter.started:
            return
        raise exceptions.DeadlineExceeded(
            "no place in time", retry_after_s=RETRY_AFTER_S
        )

    def _leave(self, waiter):
        if self._waiters.pop(waiter.ticket.order, None) is None:
            return
        if waiter.started:
            self.scheduler.finish(waiter.ticket, self._now())
        else:
            self.scheduler.withdraw(waiter.ticket)
        self.pump()

    def _finish(self, waiter, lingering):
        now_s = self._now()
        self._waiters.pop(waiter.ticket.order, None)
        self.scheduler.finish(waiter.ticket, now_s, lingering)
        if lingering:
            self._closed_s[waiter.ticket.adapter] = now_s
        self.pump()

    def pump(self):
        """Start what can start, and wake the loader."""
        now_s = self._now()
        while self.ready and self._guards.may_dispatch():
            ticket = self.scheduler.next_start(now_s)
            if ticket is None:
                break
            waiter = self._waiters[ticket.order]
            waiter.started = True
            waiter.event.set()
        self._wake_loader.set()
        self._hooks.changed(self.name)

    async def _run(self, work, sink):
        self._running[work.request_id] = work.fingerprint
        failure = exceptions.CallerGone()
        try:
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_cancel_after, sink.hangup, scope)
                    failure = await _dispatch.attempt(self._line, work, sink)
                    nursery.cancel_scope.cancel()
        finally:
            beside = tuple(self._running.values())
            del self._running[work.request_id]
        if failure is None:
            self._hooks.cleared(work.fingerprint)
            return
        if isinstance(failure, CRASH_SIGNS):
            await self._judge(beside)
        raise failure

    def _forgotten(self, adapter):
        """Note that the engine does not know a resident adapter."""
        slot = self.scheduler.resident.get(adapter)
        if slot is not None and slot.running <= 1:
            self._hooks.count("lost_adapters", "engine_forgot")
            slot.state = _scheduler.SlotState.UNSURE

    def _is_answering(self):
        """Say whether the engine has answered a report lately."""
        silent_s = self._now() - self._reported_s
        return silent_s < self._limits.silence_timeout_s

    async def _judge(self, beside):
        """Find out whether the engine crashed, and strike if so."""
        report = None
        with contextlib.suppress(OSError):
            report = await self._engine.report()
        if report is not None and report.incarnation == self._incarnation:
            return
        if report is not None:
            self._apply_report(report)
        await self._hooks.crashed(beside)

    # -- loads ------------------------------------------------------

    async def run_loader(self):
        """Carry out loads and evictions for as long as the task runs."""
        while True:
            if await self._load_next():
                continue
            await self._clear_record()
            with trio.move_on_after(1.0):
                await self._wake_loader.wait()
            self._wake_loader = trio.Event()

    def _unsure(self):
        """List adapters whose orders may yet take effect."""
        now_s = self._now()
        self._unsure_until_s = {
            adapter: until_s
            for adapter, until_s in self._unsure_until_s.items()
            if until_s > now_s
        }
        return tuple(sorted(self._unsure_until_s))

    async def _clear_record(self):
        """Take back the record of orders that have ended for a while."""
        if self._recorded_s is None or not self._guards.may_order():
            return
        if self._now() - self._recorded_s < RECORD_IDLE_S:
            return
        unsure = self._unsure()
        self._recorded_s = self._now() if unsure else None
        try:
            await self._guards.record(unsure)
        except exceptions.ColtsfootsailError as exc:
            self._hooks.count("order_failures", exc.code)

    def _usable_slots(self):
        """Slots that no order of an earlier owner may yet take."""
        late = 0
        for holder in self._holders():
            late += len(holder.adapters) if not self.entry.fencing else 1
        return max(0, self.entry.slots - late)

    def _plan(self):
        if not (self.active and self.ready) or self.draining:
            return None
        self.scheduler.slots = self._usable_slots()
        may_order = self._guards.may_order()
        if not may_order and not self._guards.may_fill():
            return None
        now_s = self._now()
        plan = self.scheduler.next_load(now_s, may_evict=may_order)
        if plan is None and may_order:
            plan = self.scheduler.next_prefetch(now_s)
        if plan is None:
            return None
        if self._load_after_s.get(plan.adapter, 0.0) > now_s:
            return None
        return plan

    async def _load_next(self):
        plan = self._plan()
        if plan is None:
            return False
        rank = _policy.permit_rank(plan)
        async with self._permits.permit(rank, plan.waited_s):
            plan = self._plan()
            if plan is None:
                return True
            self.outstanding += 1
            try:
                await self._carry_out(plan)
            finally:
                self.outstanding -= 1
        return True

    async def _carry_out(self, plan):
        adapters = [name for name in (plan.victim, plan.adapter) if name]
        if plan.victim:
            self.scheduler.begin_evict(plan.victim)
        try:
            names = {*adapters, *self._unsure()}
            await self._guards.record(tuple(sorted(names)))
            self._recorded_s = self._now()
            if plan.victim:
                await self._evict(plan.victim)
        except exceptions.ColtsfootsailError as exc:
            self._hooks.count("order_failures", exc.code)
            self._undo_evict(plan.victim, exc)
            await trio.sleep(0.2)
            return
        await self._load(plan)

    def _undo_evict(self, victim, exc):
        slot = self.scheduler.resident.get(victim)
        if slot is None:
            return
        sure = exc.outcome is exceptions.Outcome.NOT_RUN
        sure = sure or isinstance(exc, exceptions.KvError)
        states = _scheduler.SlotState
        slot.state = states.READY if sure else states.UNSURE
        if not sure:
            slot.since_s = self._now()
            slot.condemned_until_s = slot.since_s + ORDER_LINGER_S
            self._unsure_until_s[victim] = slot.condemned_until_s

    async def _evict(self, adapter):
        if not self._guards.may_order():
            raise exceptions.LeaseLapsed()
        await self._engine.unload(adapter, self.fence)
        self._hooks.count("evictions", "for_load")
        self.scheduler.evicted(adapter)

    async def _load(self, plan):
        adapter = plan.adapter
        now_s = self._now()
        if not (self._guards.may_order() or self._guards.may_fill()):
            return
        batch = not plan.protected and not plan.prefetch
        self.scheduler.begin_load(adapter, now_s, for_batch=batch)
        try:
            await self._engine.load(adapter, self.fence)
        except exceptions.ColtsfootsailError as exc:
            unsure = isinstance(exc, exceptions.OrderUnsure)
            self._load_failed(adapter, unsure)
            return
        self._load_failures.pop(adapter, None)
        self._hooks.count("loads", "prefetch" if plan.prefetch else "asked")
        self.scheduler.loaded(adapter, self._now())
        self.pump()

    def _load_failed(self, adapter, unsure):
        self._hooks.count("load_failures", "unsure" if unsure else "failed")
        if unsure:
            self._unsure_until_s[adapter] = self._now() + ORDER_LINGER_S
        self.scheduler.resident[adapter].since_s = self._now()
        self.scheduler.load_failed(adapter, unsure)
        self._failing_until_s = self._now() + FAILING_S
        self._load_failures[adapter] += 1
        self._load_after_s[adapter] = self._now() + LOAD_PAUSE_S
        if self._load_failures[adapter] < LOAD_FAILURES_MAX and not unsure:
            return
        self._load_failures.pop(adapter, None)
        self._refuse_waiting(
            self.scheduler.take_waiting(adapter),
            lambda: exceptions.LoadFailed(retry_after_s=LOAD_PAUSE_S),
        )

    def _refuse_waiting(self, tickets, make_error):
        """End requests that have not started."""
        for ticket in tickets:
            waiter = self._waiters.pop(ticket.order, None)
            if waiter is not None:
                waiter.error = make_error()
                waiter.event.set()

    # -- ownership --------------------------------------------------

    def activate(self, fence):
        """Begin to own the endpoint under a new fencing number."""
        self.fence = fence
        self.active = True
        self.ready = False
        self._restarted = False
        for slot in self.scheduler.resident.values():
            slot.adopted = True

    def deactivate(self):
        """Stop to own it; what runs goes on to its end."""
        self.active = False
        self.ready = False
        self._refuse_all(exceptions.NotOwner)
        self._hooks.changed(self.name)

    def _refuse_all(self, make_error):
        waiting = [
            ticket
            for adapter in self.scheduler.waiting_adapters()
            for ticket in self.scheduler.take_waiting(adapter)
        ]
        self._refuse_waiting(waiting, make_error)

    def update(self, entry, rules):
        """Take over a changed entry or changed rules."""
        self.entry = entry
        self.scheduler.batch = entry.batch
        self.scheduler.rules = rules

    def set_draining(self, draining):
        """Take no new work, or take it again.

        Requests that wait are refused, so that they go elsewhere; those
        that run go on.
        """
        if draining and not self.draining:
            self.draining = True
            self._refuse_all(exceptions.NotOwner)
        self.draining = draining

    def failing(self):
        """Say whether a load failed here a short while ago."""
        return self._now() < self._failing_until_s

    def stop(self):
        """End the owner's tasks."""
        self.scope.cancel()

    def idle(self):
        """Say whether nothing of this node uses the endpoint."""
        busy = self._waiters or self.outstanding or self._unsure()
        return not busy

    async def run_reports(self):
        """Compare with the engine's reports while the task runs."""
        while True:
            if self.active:
                await self._report_once()
            await trio.sleep(REPORT_PERIOD_S)

    async def _report_once(self):
        try:
            if not self.ready:
                await self._take_over()
            report = await self._engine.report()
        except OSError:
            self._hooks.count("report_failures", "unreachable")
            return
        except exceptions.ColtsfootsailError as exc:
            self._hooks.count("order_failures", exc.code)
            return
        self._apply_report(report)
        self.ready = True
        self.pump()

    async def _take_over(self):
        if self._guards.may_order() and self.entry.fencing:
            await self._engine.take_over(self.fence)

    def _apply_report(self, report):
        self._reported_s = self._now()
        if self._incarnation not in (None, report.incarnation):
            self.scheduler.restarted(report.resident, report.asked_s)
            self._restarted = True
            self._unsure_until_s.clear()
            self._closed_s.clear()
            self._missing.clear()
        self._incarnation = report.incarnation
        self._adopt(report)
        self._drop_missing(report)
        self._settle(report)
        self._apply_holders()

    def _adopt(self, report):
        for adapter in report.resident:
            slot = self.scheduler.resident.get(adapter)
            if slot is None:
                self.scheduler.loaded(adapter, report.asked_s)
                self.scheduler.resident[adapter].adopted = True
            elif slot.state is _scheduler.SlotState.UNSURE:
                slot.state = _scheduler.SlotState.READY

    def _drop_missing(self, report):
        for adapter, slot in list(self.scheduler.resident.items()):
            if adapter in report.resident or slot.since_s >= report.asked_s:
                self._missing.pop(adapter, None)
                continue
            age_s = self._now() - slot.since_s
            unsure = slot.state is _scheduler.SlotState.UNSURE
            if unsure and age_s < ORDER_LINGER_S:
                continue
            if unsure or slot.state is _scheduler.SlotState.READY:
                self._missing[adapter] += 1
            if self._missing[adapter] >= GONE_REPORTS:
                del self._missing[adapter]
                self.scheduler.evicted(adapter)

    def _settle(self, report):
        for adapter, closed_s in list(self._closed_s.items()):
            ours = self.scheduler.resident.get(adapter)
            running = int(report.running.get(adapter, 0))
            known = ours.running if ours else 0
            if report.sampled_s > closed_s and running <= known:
                del self._closed_s[adapter]
                self.scheduler.settle(adapter)

    def _apply_holders(self):
        """Pin and condemn what earlier owners may still use."""
        holders = self._holders()
        condemned = {
            adapter for holder in holders for adapter in holder.adapters
        }
        for adapter, slot in self.scheduler.resident.items():
            slot.condemned = adapter in condemned
            pinned = slot.adopted and holders
            slot.pinned_until_s = math.inf if pinned else 0.0

    def _holders(self):
        return () if self._restarted else self._guards.unresolved()


async def _cancel_after(wait, scope):
    await wait()
    scope.cancel()
