"""The node's side of one engine: its queue, its book and its orders.

``EngineController`` runs while this node holds the engine's claim.  Grants are
decided at once on each change; orders are sent one after the other, each
with the number of orders that the engine must have accepted so far, so
that a lost or late one shows in the engine's report.
"""

import dataclasses
import itertools

import trio

from coltsfootsail import _admission
from coltsfootsail import _book
from coltsfootsail import _grants
from coltsfootsail import _logs
from coltsfootsail import _metrics
from coltsfootsail import exceptions
from coltsfootsail.platform import engines

ORDER_TIMEOUT_S = 0.5
REPORT_TIMEOUT_S = 0.5
REPORT_LAG_S = 0.12  # a report shows the engine as it was so long ago
DOWN_PERIOD_S = 1.0  # an engine that refuses connections is left alone so long
IDLE_WAIT_S = 1.0
REPORT_POLL_S = 0.15  # between reports while an order is under way

OrderAnswer = engines.OrderAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class ControllerDependencies:
    """What all orderers of a node share.

    :param client: an ``HttpClient`` for orders and reports.
    :param popularity: a ``Popularity`` of adapters.
    :param now: closure that reads the clock.
    :param metrics: the node's ``Metrics``.
    :param holder: name that orders bear.
    """

    client: object
    popularity: object
    now: object
    metrics: object
    holder: str


class EngineController:
    """Owns one engine on behalf of a node.

    :param server: the ``Server``.
    :param engine: its ``EngineSpec``.
    :param claims: the node's ``Claims``.
    :param tools: ``ControllerDependencies``.
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
        self._where = _metrics.Where(service=server.service)
        self._load_ordered_s = {}
        self.book = _book.Book(engine, dependencies.popularity.rate)
        self.prefix_cache = _grants.PrefixCacheEstimate()
        self.queue = _admission.Admission(engine.slots, engine.memory_tokens)
        self._numbers = itertools.count(1)
        self._replies = {}
        self._has_ordered = False
        self._down_until_s = 0.0
        self._admission_wake = trio.Event()
        self._orders_wake = trio.Event()

    # -- asks -------------------------------------------------------

    def is_down(self):
        """Say whether the engine refused connections a moment ago."""
        return self._now() < self._down_until_s

    def can_order(self):
        """Say whether loads can be ordered now."""
        known = self.book.sequence is not None
        return known and self._claims.may_order(self.server.name)

    def adapter_state(self, request):
        """Name the state of a wish's adapter, for the log."""
        if "/" not in request.adapter:
            return "base"
        place = self.book.held.get(request.adapter)
        if place is None:
            return "absent" if self.can_order() else "absent, no orders"
        if place.blocked:
            return "blocked"
        if place.version < request.version:
            return "old"
        return "held" if place.ready_s <= self._now() else "loading"

    def has_base_model(self, request):
        """Say whether the engine holds the base model of a wish."""
        return request.adapter.partition("/")[0] in self.book.models

    def holds_adapter(self, request):
        """Say whether a wish needs no order."""
        if "/" not in request.adapter:
            return True
        place = self.book.held.get(request.adapter)
        return place is not None and place.version >= request.version

    def backlog_s(self):
        """Estimate the wait for a start."""
        return self.queue.backlog_s(self._now())

    def enqueue(self, create_ask, reply):
        """Queue a request.

        :param make: ``(number) -> Ask``.
        :param reply: called once with ``Grant`` or ``TurnAway``.
        :returns: the request's number, for ``end``.
        """
        ask = create_ask(next(self._numbers))
        if "/" in ask.adapter:
            self._popularity.add(ask.adapter, self._now())
        rejection = self.queue.add(ask)
        if rejection is not None:
            reply(rejection)
            return ask.number
        self._replies[ask.number] = reply
        self.run_admission()
        self._orders_wake.set()
        return ask.number

    def finish(self, number):
        """Note that a request has ended or is wanted no more."""
        self._replies.pop(number, None)
        was_running = number in self.queue.running
        ask = self.queue.withdraw(number, self._now())
        if ask is None:
            return
        if was_running:
            self.book.end(ask.adapter)
        self._admission_wake.set()
        self._orders_wake.set()

    def note_adapter_absent(self, adapter):
        """Note that the engine refused a request for lack of its adapter."""
        self.book.absent(adapter, self._now())
        self._orders_wake.set()

    def note_unreachable(self):
        """Note that the engine refused a connection."""
        if not self.is_down():
            _logs.state("engine_down", server=self.server.name)
        self._down_until_s = self._now() + DOWN_PERIOD_S
        self.book.sequence = None
        self._turn_all_away("engine down")

    def turn_away_waiting(self, reason):
        """Turn all waiting requests away, to other engines."""
        self._turn_all_away(reason)

    def _turn_all_away(self, reason):
        for ask in list(self.queue.waiting):
            self.queue.withdraw(ask.number)
            self._deliver(_admission.TurnAway(ask, 0.1, reason))

    def _is_ready(self, adapter, version):
        if "/" not in adapter:
            return True
        return self.book.ready(adapter, version, self._now())

    def _deliver(self, decision):
        reply = self._replies.pop(decision.ask.number, None)
        if reply is not None:
            reply(decision)

    def run_admission(self):
        """Grant and turn away what can be decided now."""
        if self.is_down():
            return
        for decision in self.queue.step(self._now(), self._is_ready):
            if isinstance(decision, _admission.Grant):
                self._record_grant(decision.ask)
            self._deliver(decision)

    def _record_grant(self, ask):
        now_s = self._now()
        self.book.start(ask.adapter)
        waited_s = now_s - ask.arrived_s
        self._metrics.observe("queue_seconds", waited_s, self._where)
        ordered_s = self._load_ordered_s.pop(ask.adapter, None)
        if ordered_s is not None:
            load_s = now_s - ordered_s
            self._metrics.observe("load_seconds", load_s, self._where)

    # -- loops ------------------------------------------------------

    async def run(self):
        """Decide and order until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_grants)
            nursery.start_soon(self._run_orders)

    async def _run_grants(self):
        while True:
            self.run_admission()
            now_s = self._now()
            due_s = self.queue.wake_s(now_s)
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
            sent = False
            if self._claims.may_order(self.server.name) and not self.is_down():
                sent = await self._send_next_order()
            if sent:
                continue
            self._orders_wake = trio.Event()
            pause_s = 0.03 if self.queue.waiting else IDLE_WAIT_S
            with trio.move_on_after(pause_s):
                await self._orders_wake.wait()

    async def _send_next_order(self):
        """Give the next order, if one is due.

        :returns: whether there may be another at once.
        """
        if self.book.sequence is None:
            return await self._refresh_book()
        if self.book.model_pending or self.book.blocked(self._now()):
            await trio.sleep(REPORT_POLL_S)
            return await self._refresh_book()
        now_s = self._now()
        plan = self.book.plan(self.queue.wanted(now_s), now_s)
        if plan is None:
            return False
        await self._send_order(plan)
        return True

    async def _refresh_book(self):
        """Learn the engine's state from its report."""
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
            if isinstance(exc, ConnectionRefusedError):
                self.note_unreachable()
            return False
        self.book.take_report(report, self._now())
        for adapter in [
            a for a in self._load_ordered_s if a not in self.book.held
        ]:
            del self._load_ordered_s[adapter]
        self._admission_wake.set()
        return True

    async def _send_order(self, plan):
        name = self.server.name
        order = engines.Order(
            load=plan.load,
            adapter=plan.adapter,
            sequence=self.book.sequence,
            holder=self._holder,
            fence=self._claims.fence(name),
            version=plan.version,
        )
        self._claims.note_order(name)
        self._has_ordered = True
        try:
            answer = await engines.send_order(
                self._client, self.server, order, ORDER_TIMEOUT_S
            )
        except OSError as exc:
            self._count("order_failures", type(exc).__name__)
            _logs.state("order_unanswered", server=name, reason=repr(exc))
            self.book.sequence = None
            if isinstance(exc, ConnectionRefusedError):
                self.note_unreachable()
            return
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
        if self.book.sequence != order.sequence:
            # The engine was found down meanwhile: its report decides.
            self.book.sequence = None
            return
        _ANSWER_HANDLERS[answer](self, plan)

    def _on_accepted(self, plan):
        now_s = self._now()
        if plan.load:
            self.book.loading(plan.adapter, plan.version, now_s)
            self._load_ordered_s[plan.adapter] = now_s
        else:
            self.book.waits(plan.adapter, now_s)
            self._forget_adapter(plan.adapter)
        self._admission_wake.set()

    def _forget_adapter(self, adapter):
        self.prefix_cache.forget(adapter)
        self._load_ordered_s.pop(adapter, None)

    def _on_holds(self, plan):
        if not plan.load:
            self.book.dropped(plan.adapter)
            self._forget_adapter(plan.adapter)
            return
        # The engine held it already: the report tells what else differs.
        self.book.sequence = None

    def _on_conflict(self, plan):
        self.book.sequence = None

    def _on_fenced(self, plan):
        self._claims.superseded(self.server.name, 2**63)

    def _on_refused(self, plan):
        self.book.sequence = None


_ANSWER_HANDLERS = {
    OrderAnswer.ACCEPTED: EngineController._on_accepted,
    OrderAnswer.HOLDS: EngineController._on_holds,
    OrderAnswer.CONFLICT: EngineController._on_conflict,
    OrderAnswer.OTHER_SERVER: EngineController._on_conflict,
    OrderAnswer.FENCED: EngineController._on_fenced,
    OrderAnswer.REFUSED: EngineController._on_refused,
}
