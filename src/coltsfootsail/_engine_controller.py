"""Control of one engine by the node that owns it: queue, state and orders.

An ``EngineController`` runs while this node holds the engine's claim.  On
each change it decides at once which queued requests get a grant.  Orders,
which load and unload adapters, are sent one after the other.  Each states
how many orders the engine must have accepted so far.  One that is left
unanswered can therefore be followed by another at once: the engine accepts
at most one of them, and refuses those that arrive late.
"""

import dataclasses
import itertools

import trio

from coltsfootsail import _adapter_slots
from coltsfootsail import _admission
from coltsfootsail import _answer_times
from coltsfootsail import _crash_checks
from coltsfootsail import _engine_speed
from coltsfootsail import _grants
from coltsfootsail import _logs
from coltsfootsail import _metrics
from coltsfootsail import _tasks
from coltsfootsail import exceptions
from coltsfootsail.platform import engines

ORDER_TIMEOUT_MAX_S = 0.5
REPORT_TIMEOUT_S = 0.5
REPORT_LAG_S = 0.12  # a report shows the engine's state at this age
DOWN_PERIOD_S = 1.0  # without grants or orders after a refused connection
IDLE_WAIT_S = 1.0  # longest pause of the loops
REPORT_POLL_S = 0.15  # between reports while an order is in progress

OrderAnswer = engines.OrderAnswer
# Reasons that the counter names otherwise.
_COUNTED_REASONS = {_admission.MEMORY_REASON: "memory"}


@dataclasses.dataclass(frozen=True, slots=True)
class ControllerDependencies:
    """Objects that all controllers of a node share.

    :param client: an ``HttpClient`` for orders and reports.
    :param popularity: the ``Popularity`` of adapters.
    :param now: closure that reads the clock.
    :param metrics: the node's ``Metrics``.
    :param holder: the node's name, stated in its orders.
    :param limit_per_s: ``(server name) -> float``, the limit that a server
        names.
    :param refusals_per_s: ``(server name) -> float``, the refusals that a
        server can bear.
    :param takes_requests: ``(server name) -> bool``, whether a server may be
        sent anything now.
    :param find: ``async (server) -> Finding``, finds out why a server did not
        accept a connection.
    :param speeds: the node's ``ServerSpeeds``.
    :param born_ms: ``(server name) -> int``, the latest known start of a
        server, 0 if none is known.
    :param note_start: ``(server name, born_ms)``, called with the start that
        a server states in an answer; calls ``restart`` if it is a later one.
    """

    client: object
    popularity: object
    now: object
    metrics: object
    holder: str
    limit_per_s: object
    refusals_per_s: object
    takes_requests: object
    find: object
    speeds: object
    born_ms: object
    note_start: object


class EngineController:
    """Schedules the requests and adapters of one engine.

    :param server: the engine's ``Server``.
    :param engine: its ``EngineSpec``.
    :param claims: the node's ``EngineClaims``.
    :param dependencies: ``ControllerDependencies``.
    """

    def __init__(self, server, engine, claims, dependencies):
        self.server = server
        self._engine = engine
        self._claims = claims
        self._client = dependencies.client
        self._now = dependencies.now
        self._metrics = dependencies.metrics
        self._count = dependencies.metrics.count
        self._holder = dependencies.holder
        self._popularity = dependencies.popularity
        self._limit_per_s = dependencies.limit_per_s
        self._refusals_per_s = dependencies.refusals_per_s
        self._takes_requests = dependencies.takes_requests
        self._find = dependencies.find
        self._speeds = dependencies.speeds
        self._note_start = dependencies.note_start
        self._born_ms = dependencies.born_ms(server.name)
        self._tasks = _tasks.TaskGroup("server", self._count)
        self._labels = _metrics.Labels(service=server.service)
        self.queue = _admission.AdmissionQueue(
            engine.slots, engine.memory_tokens
        )
        self._numbers = itertools.count(1)
        self._replies = {}
        self._has_ordered = False
        self._is_read_early = False
        self._begin_start()
        self._admission_wake = trio.Event()
        self._orders_wake = trio.Event()

    def _begin_start(self):
        """Begin to learn of a start of the engine."""
        self._speed = _engine_speed.EngineSpeed()
        self._load_ordered_s = {}
        self.adapter_slots = _adapter_slots.AdapterSlots(
            self._engine, self._popularity.rate
        )
        self._prefix_cache = _grants.PrefixCacheEstimate()
        self._answer_times = _answer_times.AnswerTimes(ORDER_TIMEOUT_MAX_S)
        self._down_until_s = 0.0

    def restart(self, server, born_ms):
        """Forget all of the engine, which has started again.

        The requests that ran on it have ended; the nodes that sent them find
        out by their connections.  The next order follows a report.

        :param server: its ``Server`` as registered now.
        :param born_ms: its present start.
        """
        self.server = server
        if born_ms <= self._born_ms:
            return
        self._born_ms = born_ms
        for number in list(self.queue.running):
            self.queue.withdraw(number)
        self.queue.forget_speed()
        self._begin_start()
        self.turn_away_waiting("no model yet")
        self._orders_wake.set()

    def _is_outdated(self, born_ms):
        """Note the start that an answer states.

        :returns: whether the answer is from before the latest start.
        """
        if born_ms > self._born_ms:
            self._note_start(self.server.name, born_ms)
            if self._born_ms:
                self.restart(self.server, born_ms)
            self._born_ms = born_ms
        return 0 < born_ms < self._born_ms

    def is_down(self):
        """Tell whether the engine has just refused a connection."""
        return self._now() < self._down_until_s

    def can_order(self):
        """Tell whether orders can be sent now.

        That needs the claim and a report of the engine's state.
        """
        is_known = self.adapter_slots.sequence is not None
        return is_known and self._claims.may_order(self.server.name)

    def adapter_state(self, request):
        """Name the state of a request's adapter, for the log."""
        if "/" not in request.adapter:
            return "base"
        slot = self.adapter_slots.held.get(request.adapter)
        if slot is None:
            return "absent" if self.can_order() else "absent, no orders"
        if slot.blocked:
            return "blocked"
        if slot.version < request.version:
            return "old"
        return "held" if slot.ready_s <= self._now() else "loading"

    def has_base_model(self, request):
        """Tell whether the engine holds the base model of a request."""
        return request.adapter.partition("/")[0] in self.adapter_slots.models

    def holds_adapter(self, request):
        """Tell whether the engine holds what a request needs."""
        if "/" not in request.adapter:
            return True
        slot = self.adapter_slots.held.get(request.adapter)
        return slot is not None and slot.version >= request.version

    def runs_older_version(self, request):
        """Tell whether a request must wait for runs of an older version."""
        slot = self.adapter_slots.held.get(request.adapter)
        if slot is None or not slot.running:
            return False
        return slot.version < request.version

    def check_grantable(self, request):
        """Refuse a request that the engine can't serve soon.

        :raises TurnedAway: with the reason.
        """
        if self.is_down():
            raise exceptions.TurnedAway("engine down", 0.2)
        if not self.has_base_model(request):
            raise exceptions.TurnedAway("no model yet", 0.3)
        if not self.can_order() and not self.holds_adapter(request):
            raise exceptions.TurnedAway("no orders yet", 0.2)
        if request.may_move and self.runs_older_version(request):
            raise exceptions.TurnedAway(_grants.OLDER_VERSION_RUNS, 0.3)

    def uncached_tokens(self, request):
        """Estimate the prompt tokens that the engine has to process."""
        return self._prefix_cache.uncached_tokens(request)

    def _apply_limit(self):
        limit_per_s = self._limit_per_s(self.server.name)
        self.queue.set_limit(limit_per_s, self._now())

    def backlog_s(self):
        """Estimate how long a new request would wait for a grant."""
        self._apply_limit()
        return self.queue.backlog_s(self._now())

    def enqueue(self, grant_request, create_admission_request, reply):
        """Queue a request.

        :param grant_request: the ``GrantRequest``.
        :param create_admission_request: ``(number) -> AdmissionRequest``.
        :param reply: called once with ``Grant`` or ``TurnAway``.
        :returns: the request's number, for ``end_grant``.
        """
        self._apply_limit()
        request = create_admission_request(next(self._numbers))
        if "/" in request.adapter:
            self._popularity.add(request.adapter, self._now())
        request = self._with_load_work(request)
        rejection = self.queue.add(
            request, self._load_wait_s(request), self._load_waits_s
        )
        if rejection is not None:
            self._count_turned_away(rejection)
            reply(rejection)
            return request.number

        def on_decision(decision):
            if isinstance(decision, _admission.Grant):
                self._prefix_cache.record(grant_request)
            reply(decision)

        self._replies[request.number] = request, on_decision
        try:
            self.run_admission()
        except Exception:
            self.end_grant(request.number, grant_request, _grants.GrantUse())
            raise
        self._orders_wake.set()
        return request.number

    def _load_wait_s(self, request):
        """Estimate how long a request has to wait for its adapter."""
        if "/" not in request.adapter:
            return 0.0
        now_s = self._now()
        ahead = self.queue.adapters_ahead(request, now_s)
        return self.adapter_slots.load_wait_s(
            request.adapter,
            request.version,
            len(ahead - self.adapter_slots.held.keys()),
            now_s,
            self.queue.mean_run_s,
        )

    def _load_waits_s(self, requests):
        """Estimate how long requests have to wait for their adapters."""
        return self.adapter_slots.load_waits_s(
            requests, self._now(), self.queue.mean_run_s
        )

    def _with_load_work(self, request):
        """Add the engine time that the load of its adapter takes."""
        if not request.workspace or self.holds_adapter(request):
            return request
        load_work_s = _adapter_slots.COLD_LOAD_S / _adapter_slots.LOADS_MAX
        return dataclasses.replace(request, load_work_s=load_work_s)

    def _count_turned_away(self, decision):
        reason = _COUNTED_REASONS.get(decision.reason, decision.reason)
        labels = dataclasses.replace(
            self._labels, workspace=decision.request.workspace
        )
        self._count("owner_refusals", reason, labels=labels)

    def end_grant(self, number, grant_request, use):
        """Remove a request that has ended or been withdrawn.

        :param grant_request: the ``GrantRequest``.
        :param use: a ``GrantUse``.
        """
        try:
            self._note_outcome(grant_request, use)
        finally:
            self._remove(number, use)

    def _note_outcome(self, grant_request, use):
        if use.outcome is _grants.GrantOutcome.ABSENT:
            self.note_adapter_absent(grant_request.adapter)
        elif use.outcome is _grants.GrantOutcome.UNREACHABLE:
            # The grant may outlive this controller, and the check with it.
            self._tasks.start_soon(
                self._check_unreachable, "request", use.node
            )
        elif use.outcome is _grants.GrantOutcome.FULL:
            refusals_per_s = self._refusals_per_s(self.server.name)
            self.queue.note_refused(refusals_per_s, self._now())

    def _remove(self, number, use):
        self._replies.pop(number, None)
        was_running = number in self.queue.running
        request = self.queue.withdraw(
            number, self._now(), use.first_event_s or None
        )
        if request is None:
            return
        if was_running:
            self.adapter_slots.end(request.adapter)
            self._speeds.note_run(
                self._speed, self.server, use.events, use.stream_s
            )
        self._admission_wake.set()
        self._orders_wake.set()

    def note_adapter_absent(self, adapter):
        """Record that the engine rejected a request for a missing adapter."""
        self.adapter_slots.note_missing(adapter, self._now())
        self._orders_wake.set()

    async def _check_unreachable(self, source, node=""):
        """Record that the engine is down, if others can't reach it either.

        :param source: what a connection was for.
        :param node: the other node that could not make it, empty for this
            one.
        """
        finding = await self._find(self.server)
        if finding is _crash_checks.Finding.CRASHED:
            self._note_down(source, node)

    def _note_down(self, source, node):
        """Record that the engine is down.

        :param source: what the connection was for.
        :param node: the other node that reported it, empty for this one.
        """
        if not self.is_down():
            _logs.state(
                "engine_down",
                server=self.server.name,
                source=source,
                told_by=node,
            )
        self._down_until_s = self._now() + DOWN_PERIOD_S
        self.adapter_slots.sequence = None
        self.turn_away_waiting("engine down")

    def turn_away_waiting(self, reason, retry_s=0.1):
        """Reject all waiting requests, so that they try other engines.

        After an error some may have been decided, but not told so.
        """
        for request, _ in list(self._replies.values()):
            self.queue.withdraw(request.number)
            self._deliver(_admission.TurnAway(request, retry_s, reason))

    def _is_ready(self, adapter, version):
        if "/" not in adapter:
            return True
        return self.adapter_slots.ready(adapter, version, self._now())

    def _deliver(self, decision):
        number = decision.request.number
        if number in self._replies:
            _, reply = self._replies[number]
            reply(decision)
            del self._replies[number]

    def run_admission(self):
        """Grant or reject the requests that can be decided now."""
        if self.is_down():
            return
        self._apply_limit()
        for decision in self.queue.decide(
            self._now(),
            self._is_ready,
            self._load_wait_s,
            self._load_waits_s,
        ):
            if isinstance(decision, _admission.Grant):
                self._record_grant(decision.request)
            else:
                self._count_turned_away(decision)
            self._deliver(decision)

    def _record_grant(self, request):
        now_s = self._now()
        self.adapter_slots.start(request.adapter)
        waited_s = now_s - request.arrived_s
        self._metrics.observe("queue_seconds", waited_s, self._labels)
        ordered_s = self._load_ordered_s.pop(request.adapter, None)
        if ordered_s is not None:
            load_s = now_s - ordered_s
            self._metrics.observe("load_seconds", load_s, self._labels)

    async def run(self):
        """Grant requests and send orders until cancelled."""
        async with self._tasks.opened(), trio.open_nursery() as nursery:
            nursery.start_soon(self._run_grants)
            nursery.start_soon(self._run_orders)

    async def _run_grants(self):
        while True:
            self.run_admission()
            now_s = self._now()
            due_s = self.queue.next_decision_s(now_s)
            pause_s = (
                IDLE_WAIT_S if due_s is None else max(0.004, due_s - now_s)
            )
            if self.queue.waiting:
                pause_s = min(pause_s, 0.02)
            self._admission_wake = trio.Event()
            with trio.move_on_after(pause_s):
                await self._admission_wake.wait()

    async def _run_orders(self):
        while True:
            may_continue = False
            if self._is_open():
                may_continue = await self._send_next_order()
            if may_continue:
                continue
            self._orders_wake = trio.Event()
            pause_s = 0.03 if self.queue.waiting else IDLE_WAIT_S
            with trio.move_on_after(pause_s):
                await self._orders_wake.wait()

    def _is_open(self):
        return self._takes_requests(self.server.name) and not self.is_down()

    async def _send_next_order(self):
        """Send the next order, or read a report where one is needed first.

        The state is read before this node may give orders, so that requests
        for loaded adapters need not wait, and again once it may, since the
        former owner may have given some.

        :returns: whether another order may be due at once.
        """
        may_order = self._claims.may_order(self.server.name)
        if may_order and self._is_read_early:
            self.adapter_slots.sequence = None
        self._is_read_early = not may_order
        # Without a sequence number the engine's state is not known.
        if self.adapter_slots.sequence is None:
            return await self._refresh_slots()
        if not may_order:
            return False
        if self.adapter_slots.model_pending or self.adapter_slots.blocked(
            self._now()
        ):
            await trio.sleep(REPORT_POLL_S)
            return await self._refresh_slots()
        now_s = self._now()
        plan = self.adapter_slots.plan(
            self.queue.wanted_adapters(now_s),
            now_s,
            yielding=self.queue.yielding_adapters(now_s),
        )
        if plan is None:
            return False
        await self._send_order(plan)
        return True

    async def _refresh_slots(self):
        """Replace the known state of the engine by its report.

        :returns: whether a report was read.
        """
        if self._has_ordered:
            await trio.sleep(REPORT_LAG_S)
        try:
            report = await engines.fetch_report(
                self._client, self.server, REPORT_TIMEOUT_S
            )
        except (OSError, exceptions.BadField) as exc:
            self._count("report_failures", type(exc).__name__)
            _logs.state(
                "report_failed", server=self.server.name, reason=repr(exc)
            )
            if isinstance(exc, OSError):
                await self._check_unreachable("report")
            return False
        self._claims.note_answer(self.server.name)
        if self._is_outdated(report.born_ms):
            self._count("report_failures", "outdated")
            return False
        self.adapter_slots.apply_report(report, self._now())
        for adapter in [
            a for a in self._load_ordered_s if a not in self.adapter_slots.held
        ]:
            del self._load_ordered_s[adapter]
        self._admission_wake.set()
        return True

    async def _send_order(self, plan):
        name = self.server.name
        order = engines.Order(
            load=plan.load,
            adapter=plan.adapter,
            sequence=self.adapter_slots.sequence,
            holder=self._holder,
            fence=self._claims.fence(name),
            version=plan.version,
        )
        self._claims.note_order(name)
        self._has_ordered = True
        sent_s, born_ms = self._now(), self._born_ms
        try:
            reply = await engines.send_order(
                self._client,
                self.server,
                order,
                self._answer_times.timeout_s(),
            )
        except OSError as exc:
            await self._on_unanswered(exc)
            return
        self._claims.note_answer(name)
        self._is_outdated(reply.born_ms)
        if born_ms and born_ms != self._born_ms:
            # The engine has started again since its state was read: the
            # order may have matched its new count by chance.
            self._count("order_failures", "restarted")
            self.adapter_slots.sequence = None
            return
        answer = reply.answer
        self._answer_times.add(self._now() - sent_s)
        self._count("orders", answer.value)
        _logs.detail(
            "order",
            server=name,
            load=plan.load,
            adapter=plan.adapter,
            version=plan.version,
            sequence=order.sequence,
            answer=answer.value,
        )
        if self.adapter_slots.sequence != order.sequence:
            # The engine was found to be down while the order was sent, so
            # that its state must be read from a report.
            self.adapter_slots.sequence = None
            return
        _ANSWER_HANDLERS[answer](self, plan)

    async def _on_unanswered(self, exc):
        """Repeat an order, or read the engine's state if that is no use."""
        self._count("order_failures", type(exc).__name__)
        _logs.state(
            "order_unanswered", server=self.server.name, reason=repr(exc)
        )
        if isinstance(exc, TimeoutError) and self._answer_times.add_timeout():
            return
        self.adapter_slots.sequence = None
        if isinstance(exc, ConnectionRefusedError):
            await self._check_unreachable("order")

    def _on_accepted(self, plan):
        now_s = self._now()
        if plan.load:
            self.adapter_slots.note_load(plan.adapter, plan.version, now_s)
            self._load_ordered_s[plan.adapter] = now_s
        else:
            self.adapter_slots.note_deferred_unload(plan.adapter, now_s)
            self._forget_adapter(plan.adapter)
        self._admission_wake.set()

    def _forget_adapter(self, adapter):
        self._prefix_cache.forget(adapter)
        self._load_ordered_s.pop(adapter, None)

    def _on_holds(self, plan):
        if not plan.load:
            self.adapter_slots.note_unload(plan.adapter)
            self._forget_adapter(plan.adapter)
            return
        # The engine held the adapter already, so the known state was wrong
        # and must be read from a report.
        self.adapter_slots.sequence = None

    def _on_conflict(self, plan):
        self.adapter_slots.sequence = None

    def _on_fenced(self, plan):
        # The newer owner's fence is not known: any that is larger will do.
        self._claims.superseded(self.server.name, 2**63)

    def _on_refused(self, plan):
        self.adapter_slots.sequence = None


_ANSWER_HANDLERS = {
    OrderAnswer.ACCEPTED: EngineController._on_accepted,
    OrderAnswer.HOLDS: EngineController._on_holds,
    OrderAnswer.CONFLICT: EngineController._on_conflict,
    OrderAnswer.OTHER_SERVER: EngineController._on_conflict,
    OrderAnswer.FENCED: EngineController._on_fenced,
    OrderAnswer.REFUSED: EngineController._on_refused,
}
