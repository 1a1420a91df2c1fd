"""The node's side of one engine: its queue, its book and its orders.

``Orderer`` runs while this node holds the engine's claim.  Grants are
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
DOWN_S = 1.0  # an engine that refuses connections is left alone so long
IDLE_S = 1.0
POLL_S = 0.15  # between reports while an order is under way

Answer = engines.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Tools:
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


class Orderer:
    """Owns one engine on behalf of a node.

    :param server: the ``Server``.
    :param engine: its ``Engine``.
    :param claims: the node's ``Claims``.
    :param tools: ``Tools``.
    """

    def __init__(self, server, engine, claims, tools):
        self.server = server
        self._engine = engine
        self._claims = claims
        self._client = tools.client
        self._now = tools.now
        self._metrics = tools.metrics
        self._count = tools.metrics.count
        self._holder = tools.holder
        self._popularity = tools.popularity
        self._where = _metrics.Labels(service=server.service)
        self._ordered_s = {}
        self.book = _book.Book(engine, tools.popularity.rate)
        self.parts = _grants.PromptParts()
        self.queue = _admission.Admission(engine.slots, engine.memory_tokens)
        self._numbers = itertools.count(1)
        self._replies = {}
        self._ordered = False
        self._down_until_s = 0.0
        self._wake = trio.Event()
        self._orders = trio.Event()

    # -- asks -------------------------------------------------------

    def down(self):
        """Say whether the engine refused connections a moment ago."""
        return self._now() < self._down_until_s

    def active(self):
        """Say whether loads can be ordered now."""
        known = self.book.sequence is not None
        return known and self._claims.may_order(self.server.name)

    def state(self, wish):
        """Name the state of a wish's adapter, for the log."""
        if "/" not in wish.adapter:
            return "base"
        place = self.book.held.get(wish.adapter)
        if place is None:
            return "absent" if self.active() else "absent, no orders"
        if place.blocked:
            return "blocked"
        if place.version < wish.version:
            return "old"
        return "held" if place.ready_s <= self._now() else "loading"

    def has_model(self, wish):
        """Say whether the engine holds the base model of a wish."""
        return wish.adapter.partition("/")[0] in self.book.models

    def holds(self, wish):
        """Say whether a wish needs no order."""
        if "/" not in wish.adapter:
            return True
        place = self.book.held.get(wish.adapter)
        return place is not None and place.version >= wish.version

    def backlog_s(self):
        """Estimate the wait for a start."""
        return self.queue.backlog_s(self._now())

    def ask(self, make, reply):
        """Queue a request.

        :param make: ``(number) -> Ask``.
        :param reply: called once with ``Grant`` or ``TurnAway``.
        :returns: the request's number, for ``end``.
        """
        ask = make(next(self._numbers))
        if "/" in ask.adapter:
            self._popularity.add(ask.adapter, self._now())
        refused = self.queue.add(ask)
        if refused is not None:
            reply(refused)
            return ask.number
        self._replies[ask.number] = reply
        self.step()
        self._orders.set()
        return ask.number

    def end(self, number):
        """Note that a request has ended or is wanted no more."""
        self._replies.pop(number, None)
        was_running = number in self.queue.running
        ask = self.queue.withdraw(number, self._now())
        if ask is None:
            return
        if was_running:
            self.book.end(ask.adapter)
        self._wake.set()
        self._orders.set()

    def absent(self, adapter):
        """Note that the engine refused a request for lack of its adapter."""
        self.book.absent(adapter, self._now())
        self._orders.set()

    def unreachable(self):
        """Note that the engine refused a connection."""
        if not self.down():
            _logs.state("engine_down", server=self.server.name)
        self._down_until_s = self._now() + DOWN_S
        self.book.sequence = None
        self._turn_all_away("engine down")

    def close(self, why):
        """Turn all waiting requests away, to other engines."""
        self._turn_all_away(why)

    def _turn_all_away(self, why):
        for ask in list(self.queue.waiting):
            self.queue.withdraw(ask.number)
            self._answer(_admission.TurnAway(ask, 0.1, why))

    def _ready(self, adapter, version):
        if "/" not in adapter:
            return True
        return self.book.ready(adapter, version, self._now())

    def _answer(self, decision):
        reply = self._replies.pop(decision.ask.number, None)
        if reply is not None:
            reply(decision)

    def step(self):
        """Grant and turn away what can be decided now."""
        if self.down():
            return
        for decision in self.queue.step(self._now(), self._ready):
            if isinstance(decision, _admission.Grant):
                self._note_grant(decision.ask)
            self._answer(decision)

    def _note_grant(self, ask):
        now_s = self._now()
        self.book.start(ask.adapter)
        waited_s = now_s - ask.arrived_s
        self._metrics.observe("queue_seconds", waited_s, self._where)
        ordered_s = self._ordered_s.pop(ask.adapter, None)
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
            self.step()
            now_s = self._now()
            due_s = self.queue.wake_s(now_s)
            pause_s = IDLE_S if due_s is None else max(0.004, due_s - now_s)
            if self.queue.waiting:
                pause_s = min(pause_s, 0.02)
            self._wake = trio.Event()
            with trio.move_on_after(pause_s):
                await self._wake.wait()

    async def _run_orders(self):
        while True:
            worked = False
            if self._claims.may_order(self.server.name) and not self.down():
                worked = await self._order_once()
            if worked:
                continue
            self._orders = trio.Event()
            pause_s = 0.03 if self.queue.waiting else IDLE_S
            with trio.move_on_after(pause_s):
                await self._orders.wait()

    async def _order_once(self):
        """Give the next order, if one is due.

        :returns: whether there may be another at once.
        """
        if self.book.sequence is None:
            return await self._settle()
        if self.book.model_pending or self.book.blocked(self._now()):
            await trio.sleep(POLL_S)
            return await self._settle()
        now_s = self._now()
        plan = self.book.plan(self.queue.wanted(now_s), now_s)
        if plan is None:
            return False
        await self._give(plan)
        return True

    async def _settle(self):
        """Learn the engine's state from its report."""
        if self._ordered:
            await trio.sleep(REPORT_LAG_S)
        try:
            report = await engines.report(
                self._client, self.server, REPORT_TIMEOUT_S
            )
        except (OSError, exceptions.BadField) as exc:
            self._count("report_failures", type(exc).__name__)
            _logs.state(
                "report_failed", server=self.server.name, reason=repr(exc)
            )
            if isinstance(exc, ConnectionRefusedError):
                self.unreachable()
            return False
        self.book.take_report(report, self._now())
        for adapter in [a for a in self._ordered_s if a not in self.book.held]:
            del self._ordered_s[adapter]
        self._wake.set()
        return True

    async def _give(self, plan):
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
        self._ordered = True
        try:
            answer = await engines.give(
                self._client, self.server, order, ORDER_TIMEOUT_S
            )
        except OSError as exc:
            self._count("order_failures", type(exc).__name__)
            _logs.state("order_unanswered", server=name, reason=repr(exc))
            self.book.sequence = None
            if isinstance(exc, ConnectionRefusedError):
                self.unreachable()
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
        _APPLY[answer](self, plan)

    def _accepted(self, plan):
        now_s = self._now()
        if plan.load:
            self.book.loading(plan.adapter, plan.version, now_s)
            self._ordered_s[plan.adapter] = now_s
        else:
            self.book.waits(plan.adapter, now_s)
            self._forget(plan.adapter)
        self._wake.set()

    def _forget(self, adapter):
        self.parts.forget(adapter)
        self._ordered_s.pop(adapter, None)

    def _holds(self, plan):
        if not plan.load:
            self.book.dropped(plan.adapter)
            self._forget(plan.adapter)
            return
        # The engine held it already: the report tells what else differs.
        self.book.sequence = None

    def _conflict(self, plan):
        self.book.sequence = None

    def _fenced(self, plan):
        self._claims.superseded(self.server.name, 2**63)

    def _refused(self, plan):
        self.book.sequence = None


_APPLY = {
    Answer.ACCEPTED: Orderer._accepted,
    Answer.HOLDS: Orderer._holds,
    Answer.CONFLICT: Orderer._conflict,
    Answer.OTHER_SERVER: Orderer._conflict,
    Answer.FENCED: Orderer._fenced,
    Answer.REFUSED: Orderer._refused,
}
