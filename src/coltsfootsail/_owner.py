"""Serves one engine endpoint on the node that owns it.

All requests and orders (adapter loads and evictions) for an endpoint go
through its owner, so the owner knows every running request.  The
scheduler decides what to run, load and evict; this module executes the
decisions, and only while the node can prove that it holds the claim.
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

REPORT_INTERVAL_S = 1.0
LOAD_FAILURES_MAX = 2
LOAD_RETRY_DELAY_S = 3.0
FAILING_PERIOD_S = 15.0
ORDER_EXPIRY_S = 60.0  # an unanswered order takes no effect after this
RETRY_AFTER_S = 2.0
MISSING_REPORTS_MAX = 2
RECORD_CLEAR_DELAY_S = 1.0  # after the last order
POSSIBLE_CRASH_ERRORS = (exceptions.OutcomeUnknown, exceptions.AnswerTruncated)


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGuards:
    """Callables that report what the node can prove about its claim.

    :param may_dispatch: ``() -> bool``; whether requests may be started.
    :param may_order: ``() -> bool``; whether the claim is certainly held.
    :param may_fill_free_slots: ``() -> bool``; whether loads into free
        slots are safe.
    :param record_orders: ``async (adapters)``; records the orders that
        are about to be sent if the endpoint does not check fencing
        numbers; raises ``KvError`` or ``NotOwner``.
    :param earlier_holders: ``() -> tuple`` of the ``Holder`` records of
        earlier owners that may still use the endpoint.
    """

    may_dispatch: object
    may_order: object
    may_fill_free_slots: object
    record_orders: object
    earlier_holders: object


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerHooks:
    """Callables with which the owner informs and queries the node.

    :param count: ``(counter, reason)``.
    :param state_changed: ``(endpoint)``; residency or queue changed.
    :param engine_crashed: ``async (fingerprints)``; the engine crashed
        while it ran these requests.
    :param request_completed: ``(fingerprint)``; a request completed.
    :param is_suspect: ``(fingerprint) -> bool``; whether the request
        ran when an engine crashed.
    :param is_refused: ``(fingerprint) -> bool``; whether the request has
        too many strikes to run again.
    """

    count: object
    state_changed: object
    engine_crashed: object
    request_completed: object
    is_suspect: object
    is_refused: object


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """A request that waits or runs; ``wakeup`` is set on start or error."""

    ticket: _scheduler.Ticket
    request: object
    wakeup: trio.Event
    error: Exception | None = None
    started: bool = False


class EndpointOwner:
    """Serves requests on one engine while this node owns it.

    :param name: the endpoint's name.
    :param entry: its ``Endpoint`` entry.
    :param engine: an ``EngineClient``.
    :param rules: ``Rules`` of the scheduler.
    :param permits: ``Permits`` for the weight store.
    :param guards: ``ClaimGuards``.
    :param hooks: ``OwnerHooks``.
    :param now: callable that returns the current time in seconds.
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
        self._last_report_s = now()
        self._attempt_context = _dispatch.AttemptContext(
            engine=engine,
            limits=limits,
            now=now,
            may_dispatch=guards.may_dispatch,
            is_answering=self._is_answering,
            adapter_unknown=self._mark_adapter_lost,
            count=hooks.count,
        )
        self._pending = {}
        self._ticket_numbers = itertools.count()
        self._loader_wakeup = trio.Event()
        self._loading = False
        self._missing_reports = collections.Counter()
        self._load_failures = collections.Counter()
        self._load_not_before_s = {}
        self._running_fingerprints = {}
        self._incarnation = None
        self._may_still_run_since_s = {}
        self._engine_restarted = False
        self._failing_until_s = 0.0
        self._orders_recorded_s = None
        self._uncertain_until_s = {}
        self.orders_in_flight = 0

    async def serve(self, request, sink, queue_max):
        """Queue a request, run it and relay its answer.

        :param request: an ``InferenceRequest``.
        :param sink: a ``ResponseSink``; untouched if an error is raised
            before the answer started.
        :param queue_max: the request is refused if this many wait already.
        :raises ColtsfootsailError: its outcome says whether the request
            was run.
        """
        pending = self._enqueue(request, queue_max)
        try:
            await self._wait_until_started(pending, sink)
        except BaseException:
            self._abandon(pending)
            raise
        may_still_run = True
        try:
            await self._run_request(request, sink)
            may_still_run = False
        except exceptions.ColtsfootsailError as exc:
            may_still_run = exc.outcome is not exceptions.Outcome.NOT_RUN
            raise
        finally:
            self._finish(pending, may_still_run)

    def _enqueue(self, request, queue_max):
        if not self.active:
            raise exceptions.NotOwner()
        if self.draining:
            raise exceptions.NoEndpoint("the endpoint is being drained")
        if self._hooks.is_refused(request.fingerprint):
            raise exceptions.Poisoned()
        if self.scheduler.waiting_count >= queue_max:
            raise exceptions.QueueFull(retry_after_s=RETRY_AFTER_S)
        ticket = _scheduler.Ticket(
            order=next(self._ticket_numbers),
            adapter=request.adapter,
            rank=request.rank,
            protected=request.protected,
            arrival_s=request.arrival_s,
            suspect=self._hooks.is_suspect(request.fingerprint),
        )
        pending = _PendingRequest(ticket, request, trio.Event())
        self._pending[ticket.order] = pending
        self.scheduler.submit(ticket)
        self.schedule()
        return pending

    async def _wait_until_started(self, pending, sink):
        request = pending.request
        until_s = min(
            request.deadline_s, request.arrival_s + request.max_wait_s
        )
        wait_s = max(0.0, until_s - self._now())
        with trio.move_on_after(wait_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    _cancel_after, sink.hangup, nursery.cancel_scope
                )
                await pending.wakeup.wait()
                nursery.cancel_scope.cancel()
        if pending.error is not None:
            raise pending.error
        if pending.started:
            return
        raise exceptions.DeadlineExceeded(
            "no place in time", retry_after_s=RETRY_AFTER_S
        )

    def _abandon(self, pending):
        if self._pending.pop(pending.ticket.order, None) is None:
            return
        if pending.started:
            self.scheduler.finish(pending.ticket, self._now())
        else:
            self.scheduler.withdraw(pending.ticket)
        self.schedule()

    def _finish(self, pending, may_still_run):
        now_s = self._now()
        self._pending.pop(pending.ticket.order, None)
        self.scheduler.finish(pending.ticket, now_s, may_still_run)
        if may_still_run:
            self._may_still_run_since_s[pending.ticket.adapter] = now_s
        self.schedule()

    def schedule(self):
        """Start the requests that can start, and wake the loader."""
        now_s = self._now()
        while self.ready and self._guards.may_dispatch():
            ticket = self.scheduler.next_start(now_s)
            if ticket is None:
                break
            pending = self._pending[ticket.order]
            pending.started = True
            pending.wakeup.set()
        self._loader_wakeup.set()
        self._hooks.state_changed(self.name)

    async def _run_request(self, request, sink):
        self._running_fingerprints[request.request_id] = request.fingerprint
        failure = exceptions.CallerGone()
        try:
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_cancel_after, sink.hangup, scope)
                    failure = await _dispatch.attempt(
                        self._attempt_context, request, sink
                    )
                    nursery.cancel_scope.cancel()
        finally:
            running_fingerprints = tuple(self._running_fingerprints.values())
            del self._running_fingerprints[request.request_id]
        if failure is None:
            self._hooks.request_completed(request.fingerprint)
            return
        if isinstance(failure, POSSIBLE_CRASH_ERRORS):
            await self._check_for_crash(running_fingerprints)
        raise failure

    def _mark_adapter_lost(self, adapter):
        """Mark an adapter as unsure if the engine says it is not loaded."""
        slot = self.scheduler.resident.get(adapter)
        if slot is not None and slot.running <= 1:
            self._hooks.count("lost_adapters", "engine_forgot")
            slot.state = _scheduler.SlotState.UNSURE

    def _is_answering(self):
        """Return whether the engine has answered a report request lately."""
        silent_s = self._now() - self._last_report_s
        return silent_s < self._limits.silence_timeout_s

    async def _check_for_crash(self, running_fingerprints):
        """Ask the engine for a report and register a crash if it crashed."""
        report = None
        with contextlib.suppress(OSError):
            report = await self._engine.report()
        if report is not None and report.incarnation == self._incarnation:
            return
        if report is not None:
            self._apply_report(report)
        await self._hooks.engine_crashed(running_fingerprints)

    async def run_loader(self):
        """Execute loads and evictions until the task is cancelled."""
        while True:
            if await self._load_next():
                continue
            await self._clear_recorded_orders()
            with trio.move_on_after(1.0):
                await self._loader_wakeup.wait()
            self._loader_wakeup = trio.Event()

    def _uncertain_adapters(self):
        """List the adapters whose orders may still take effect."""
        now_s = self._now()
        self._uncertain_until_s = {
            adapter: until_s
            for adapter, until_s in self._uncertain_until_s.items()
            if until_s > now_s
        }
        return tuple(sorted(self._uncertain_until_s))

    async def _clear_recorded_orders(self):
        """Clear the record of orders some time after the last one was sent."""
        if self._orders_recorded_s is None or not self._guards.may_order():
            return
        if self._now() - self._orders_recorded_s < RECORD_CLEAR_DELAY_S:
            return
        uncertain = self._uncertain_adapters()
        self._orders_recorded_s = self._now() if uncertain else None
        try:
            await self._guards.record_orders(uncertain)
        except exceptions.ColtsfootsailError as exc:
            self._hooks.count("order_failures", exc.code)

    def _usable_slots(self):
        """Count the slots that no order of an earlier owner may still fill."""
        reserved = 0
        for holder in self._earlier_holders():
            reserved += len(holder.adapters) if not self.entry.fencing else 1
        return max(0, self.entry.slots - reserved)

    def _next_plan(self):
        if not (self.active and self.ready) or self.draining:
            return None
        self.scheduler.slots = self._usable_slots()
        may_order = self._guards.may_order()
        if not may_order and not self._guards.may_fill_free_slots():
            return None
        now_s = self._now()
        plan = self.scheduler.next_load(now_s, may_evict=may_order)
        if plan is None and may_order:
            plan = self.scheduler.next_prefetch(now_s)
        if plan is None:
            return None
        if self._load_not_before_s.get(plan.adapter, 0.0) > now_s:
            return None
        return plan

    async def _load_next(self):
        """Execute the next load, if any; return whether to look for more."""
        plan = self._next_plan()
        if plan is None:
            return False
        rank = _policy.permit_rank(plan)
        async with self._permits.permit(rank, plan.waited_s):
            plan = self._next_plan()
            if plan is None:
                return True
            self.orders_in_flight += 1
            try:
                await self._execute(plan)
            finally:
                self.orders_in_flight -= 1
        return True

    async def _execute(self, plan):
        planned = [name for name in (plan.victim, plan.adapter) if name]
        if plan.victim:
            self.scheduler.begin_evict(plan.victim)
        try:
            adapters = {*planned, *self._uncertain_adapters()}
            await self._guards.record_orders(tuple(sorted(adapters)))
            self._orders_recorded_s = self._now()
            if plan.victim:
                await self._evict(plan.victim)
        except exceptions.ColtsfootsailError as exc:
            self._hooks.count("order_failures", exc.code)
            self._handle_failed_eviction(plan.victim, exc)
            await trio.sleep(0.2)
            return
        await self._load(plan)

    def _handle_failed_eviction(self, victim, exc):
        slot = self.scheduler.resident.get(victim)
        if slot is None:
            return
        still_resident = exc.outcome is exceptions.Outcome.NOT_RUN
        still_resident = still_resident or isinstance(exc, exceptions.KvError)
        states = _scheduler.SlotState
        slot.state = states.READY if still_resident else states.UNSURE
        if not still_resident:
            slot.since_s = self._now()
            slot.eviction_pending_until_s = slot.since_s + ORDER_EXPIRY_S
            self._uncertain_until_s[victim] = slot.eviction_pending_until_s

    async def _evict(self, adapter):
        if not self._guards.may_order():
            raise exceptions.LeaseLapsed()
        await self._engine.unload(adapter, self.fence)
        self._hooks.count("evictions", "for_load")
        self.scheduler.evicted(adapter)

    async def _load(self, plan):
        adapter = plan.adapter
        now_s = self._now()
        if not (
            self._guards.may_order() or self._guards.may_fill_free_slots()
        ):
            return
        batch = not plan.protected and not plan.prefetch
        self.scheduler.begin_load(adapter, now_s, for_batch=batch)
        try:
            await self._engine.load(adapter, self.fence)
        except exceptions.ColtsfootsailError as exc:
            unsure = isinstance(exc, exceptions.OrderUnsure)
            self._handle_failed_load(adapter, unsure)
            return
        self._load_failures.pop(adapter, None)
        self._hooks.count("loads", "prefetch" if plan.prefetch else "asked")
        self.scheduler.loaded(adapter, self._now())
        self.schedule()

    def _handle_failed_load(self, adapter, unsure):
        self._hooks.count("load_failures", "unsure" if unsure else "failed")
        if unsure:
            self._uncertain_until_s[adapter] = self._now() + ORDER_EXPIRY_S
        self.scheduler.resident[adapter].since_s = self._now()
        self.scheduler.load_failed(adapter, unsure)
        self._failing_until_s = self._now() + FAILING_PERIOD_S
        self._load_failures[adapter] += 1
        self._load_not_before_s[adapter] = self._now() + LOAD_RETRY_DELAY_S
        if unsure:
            self._refuse_requests_that_need_loads()
        elif self._load_failures[adapter] >= LOAD_FAILURES_MAX:
            self._refuse_for_failed_load(adapter)

    def _refuse_requests_that_need_loads(self):
        """Send the requests that wait for a load to other engines.

        An engine that left one load unanswered may do so with the next
        ones, each of which takes until the order's timeout.
        """
        for adapter in self.scheduler.waiting_adapters():
            slot = self.scheduler.resident.get(adapter)
            if slot is None or slot.state is not _scheduler.SlotState.READY:
                self._refuse_for_failed_load(adapter)

    def _refuse_for_failed_load(self, adapter):
        self._load_failures.pop(adapter, None)
        self._refuse_tickets(
            self.scheduler.take_waiting(adapter),
            lambda: exceptions.LoadFailed(retry_after_s=LOAD_RETRY_DELAY_S),
        )

    def _refuse_tickets(self, tickets, make_error):
        """Fail requests that have not started."""
        for ticket in tickets:
            pending = self._pending.pop(ticket.order, None)
            if pending is not None:
                pending.error = make_error()
                pending.wakeup.set()

    def activate(self, fence):
        """Start owning the endpoint under a new fencing number."""
        self.fence = fence
        self.active = True
        self.ready = False
        self._engine_restarted = False
        for slot in self.scheduler.resident.values():
            slot.adopted = True

    def deactivate(self):
        """Stop owning the endpoint; running requests continue to their end."""
        self.active = False
        self.ready = False
        self._refuse_waiting_requests(exceptions.NotOwner)
        self._hooks.state_changed(self.name)

    def _refuse_waiting_requests(self, make_error):
        waiting = [
            ticket
            for adapter in self.scheduler.waiting_adapters()
            for ticket in self.scheduler.take_waiting(adapter)
        ]
        self._refuse_tickets(waiting, make_error)

    def update(self, entry, rules):
        """Apply a changed endpoint entry or changed scheduler rules."""
        self.entry = entry
        self.scheduler.batch = entry.batch
        self.scheduler.rules = rules

    def set_draining(self, draining):
        """Stop or resume accepting new requests.

        When draining starts, waiting requests are refused so that they
        are retried on another endpoint; running requests continue.
        """
        if draining and not self.draining:
            self.draining = True
            self._refuse_waiting_requests(exceptions.NotOwner)
        self.draining = draining

    def has_recent_load_failure(self):
        """Return whether a load failed here recently."""
        return self._now() < self._failing_until_s

    def stop(self):
        """Cancel the owner's tasks."""
        self.scope.cancel()

    def is_idle(self):
        """Return whether this node has no request or order on the endpoint."""
        busy = (
            self._pending
            or self.orders_in_flight
            or self._uncertain_adapters()
        )
        return not busy

    async def run_report_polling(self):
        """Poll and apply the engine's reports until the task is cancelled."""
        while True:
            if self.active:
                await self._poll_report()
            await trio.sleep(REPORT_INTERVAL_S)

    async def _poll_report(self):
        try:
            if not self.ready:
                await self._announce_fence()
            report = await self._engine.report()
        except OSError:
            self._hooks.count("report_failures", "unreachable")
            return
        except exceptions.ColtsfootsailError as exc:
            self._hooks.count("order_failures", exc.code)
            return
        self._apply_report(report)
        self.ready = True
        self.schedule()

    async def _announce_fence(self):
        """Make an engine that checks fencing refuse earlier owners' orders."""
        if self._guards.may_order() and self.entry.fencing:
            await self._engine.announce_fence(self.fence)

    def _apply_report(self, report):
        self._last_report_s = self._now()
        if self._incarnation not in (None, report.incarnation):
            self.scheduler.note_restart(report.resident, report.asked_s)
            self._engine_restarted = True
            self._uncertain_until_s.clear()
            self._may_still_run_since_s.clear()
            self._missing_reports.clear()
        self._incarnation = report.incarnation
        self._add_reported_adapters(report)
        self._remove_missing_adapters(report)
        self._confirm_finished_requests(report)
        self._protect_adapters_of_earlier_holders()

    def _add_reported_adapters(self, report):
        for adapter in report.resident:
            slot = self.scheduler.resident.get(adapter)
            if slot is None:
                self.scheduler.loaded(adapter, report.asked_s)
                self.scheduler.resident[adapter].adopted = True
            elif slot.state is _scheduler.SlotState.UNSURE:
                slot.state = _scheduler.SlotState.READY

    def _remove_missing_adapters(self, report):
        """Drop adapters that consecutive reports did not list."""
        for adapter, slot in list(self.scheduler.resident.items()):
            if adapter in report.resident or slot.since_s >= report.asked_s:
                self._missing_reports.pop(adapter, None)
                continue
            age_s = self._now() - slot.since_s
            unsure = slot.state is _scheduler.SlotState.UNSURE
            if unsure and age_s < ORDER_EXPIRY_S:
                continue
            if unsure or slot.state is _scheduler.SlotState.READY:
                self._missing_reports[adapter] += 1
            if self._missing_reports[adapter] >= MISSING_REPORTS_MAX:
                del self._missing_reports[adapter]
                self.scheduler.evicted(adapter)

    def _confirm_finished_requests(self, report):
        """Clear adapters on which no request of unknown outcome runs."""
        for adapter, since_s in list(self._may_still_run_since_s.items()):
            slot = self.scheduler.resident.get(adapter)
            running = int(report.running.get(adapter, 0))
            known_running = slot.running if slot else 0
            if report.sampled_s > since_s and running <= known_running:
                del self._may_still_run_since_s[adapter]
                self.scheduler.clear_lingering(adapter)

    def _protect_adapters_of_earlier_holders(self):
        """Mark the adapters that earlier owners may still use or evict.

        Earlier owners may still run requests on adapters that this node
        did not load itself, so these are not evicted.  Adapters named in
        recorded orders of earlier owners may still be evicted, so
        protected requests do not start on them.
        """
        holders = self._earlier_holders()
        may_be_evicted = {
            adapter for holder in holders for adapter in holder.adapters
        }
        for adapter, slot in self.scheduler.resident.items():
            slot.eviction_pending = adapter in may_be_evicted
            pinned = slot.adopted and holders
            slot.pinned_until_s = math.inf if pinned else 0.0

    def _earlier_holders(self):
        return () if self._engine_restarted else self._guards.earlier_holders()


async def _cancel_after(wait, scope):
    await wait()
    scope.cancel()
