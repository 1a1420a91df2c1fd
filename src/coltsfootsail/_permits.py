"""The order in which loads use the weight store.

One node a region holds the queue by a claim.  Urgent classes go first,
within a class the longest wait; the store serves one load at a time.
"""

import contextlib
import dataclasses
import itertools

import trio

from coltsfootsail import _wire
from coltsfootsail import exceptions

BATCH_RANK = 100
TURNS = 16
HOLD_LOADS = 6.0
ASK_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A load that waits for its turn."""

    ticket: str
    node: str
    rank: int
    since_s: float


class PermitQueue:
    """Decides who loads next; no I/O and no clock of its own.

    Asks of rank ``BATCH_RANK`` and above wait for the others, but get one
    grant in ``turns``, so that they don't starve.

    :param width: loads that the store serves at once.
    :param hold_s: a grant held for longer counts as given back.
    """

    def __init__(self, width=1, turns=TURNS, hold_s=float("inf")):
        self._width = width
        self._hold_s = hold_s
        self._turns = turns
        self._urgent_in_row = 0
        self._waiting = {}
        self._granted = {}

    def ask(self, ticket, node, rank, waited_s, now_s):
        """Queue an ask, or change its rank."""
        if ticket not in self._granted:
            since_s = now_s - waited_s
            self._waiting[ticket] = Ask(ticket, node, rank, since_s)

    def done(self, ticket):
        """End a load or withdraw an ask."""
        self._waiting.pop(ticket, None)
        self._granted.pop(ticket, None)

    def drop_node(self, node):
        """Forget the asks of a node that is gone."""
        self._waiting = {
            ticket: ask
            for ticket, ask in self._waiting.items()
            if ask.node != node
        }

    def next(self, now_s):
        """Grant the next load, if the store is free.

        :returns: an ``Ask`` or None.
        """
        self._expire(now_s)
        if len(self._granted) >= self._width or not self._waiting:
            return None
        first = self._first()
        del self._waiting[first.ticket]
        self._granted[first.ticket] = now_s
        return first

    def _first(self):
        """Choose by class and wait; every few turns by class reversed."""
        asks = self._waiting.values()
        others = [ask for ask in asks if ask.rank >= BATCH_RANK]
        self._urgent_in_row += 1
        if others and self._urgent_in_row >= self._turns:
            self._urgent_in_row = 0
            return min(others, key=lambda ask: ask.since_s)
        first = min(asks, key=lambda ask: (ask.rank, ask.since_s))
        if first.rank >= BATCH_RANK:
            self._urgent_in_row = 0
        return first

    def _expire(self, now_s):
        self._granted = {
            ticket: at_s
            for ticket, at_s in self._granted.items()
            if now_s - at_s < self._hold_s
        }


class Permits:
    """A node's way to the weight-store queue of its region.

    :param node: this node's name.
    :param holder: ``() -> node name`` that holds the queue, or None.
    :param send: ``(node, message) -> bool``, whether it was sent.
    :param now: closure that reads the clock.
    :param share_s: ``() -> seconds`` between loads when nobody holds
        the queue.
    :param loads_per_s: rate of the weight store.
    """

    def __init__(self, node, holder, send, now, share_s, loads_per_s):
        self._node = node
        self._holder = holder
        self._send = send
        self._now = now
        self._share_s = share_s
        self._queue = PermitQueue(hold_s=HOLD_LOADS / loads_per_s)
        self._grants = {}
        self._numbers = itertools.count()
        self._last_alone_s = float("-inf")

    @contextlib.asynccontextmanager
    async def permit(self, rank, waited_s):
        """Hold the right to load for the length of a block."""
        ticket = f"{self._node}/{next(self._numbers)}"
        holder = await self._acquire(ticket, rank, waited_s)
        try:
            yield
        finally:
            self._grants.pop(ticket, None)
            self._tell(holder, _wire.PermitDone(ticket))

    async def _acquire(self, ticket, rank, waited_s):
        holder = self._holder()
        if holder is not None:
            event = self._grants[ticket] = trio.Event()
            ask = _wire.PermitRequest(ticket, rank, float(waited_s))
            if self._tell(holder, ask):
                with trio.move_on_after(ASK_TIMEOUT_S):
                    await event.wait()
                    return holder
            self._grants.pop(ticket, None)
            self._tell(holder, _wire.PermitDone(ticket))
        await self._wait_alone()
        return None

    async def _wait_alone(self):
        while True:
            next_s = self._last_alone_s + self._share_s()
            wait_s = next_s - self._now()
            if wait_s <= 0:
                break
            await trio.sleep(wait_s)
        self._last_alone_s = self._now()

    def _tell(self, holder, msg):
        if holder is None:
            return False
        if holder == self._node:
            self.receive(self._node, msg)
            return True
        return self._send(holder, msg)

    def receive(self, node, msg):
        """Take a permit message from a node."""
        handle = _HANDLERS.get(type(msg))
        if handle is None:
            raise exceptions.WireError("not a permit message")
        handle(self, node, msg)
        self._grant()

    def _on_ask(self, node, msg):
        self._queue.ask(msg.ticket, node, msg.rank, msg.waited_s, self._now())

    def _on_done(self, node, msg):
        self._queue.done(msg.ticket)

    def _on_grant(self, node, msg):
        event = self._grants.get(msg.ticket)
        if event is None:
            self._tell(node, _wire.PermitDone(msg.ticket))
            return
        event.set()

    def drop_node(self, node):
        """Forget the asks of a node that is gone."""
        self._queue.drop_node(node)
        self._grant()

    async def run(self):
        """Take back grants that are held for too long."""
        while True:
            await trio.sleep(1.0)
            self._grant()

    def _grant(self):
        granted = self._queue.next(self._now())
        if granted is None:
            return
        self._tell(granted.node, _wire.PermitGrant(granted.ticket))


_HANDLERS = {
    _wire.PermitRequest: Permits._on_ask,
    _wire.PermitDone: Permits._on_done,
    _wire.PermitGrant: Permits._on_grant,
}
