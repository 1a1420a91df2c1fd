"""Permits to load adapters from the weight store of a region.

One node per region holds the permit queue, by a claim in the key-value
store.  More urgent classes go first, and within a class the longest wait.
The weight store serves one load at a time.
"""

import contextlib
import dataclasses
import itertools

import trio

from coltsfootsail import _wire
from coltsfootsail import exceptions

BATCH_RANK = 100  # loads for batch requests have this rank or a higher one
BATCH_GRANT_INTERVAL = 16  # one grant in so many is for a batch load
HOLD_MAX_LOADS = 6.0  # a permit expires after the time of so many loads
ASK_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """A load that waits for its permit."""

    ticket: str
    node: str
    rank: int
    since_s: float


class PermitQueue:
    """Decides which load goes next, without I/O or a clock.

    Requests of rank ``BATCH_RANK`` and above wait for all others, but get
    one grant in ``batch_interval``, so that they do not starve.

    :param concurrency: number of loads that the store serves at once.
    :param hold_s: a permit held for longer expires.
    """

    def __init__(
        self,
        concurrency=1,
        batch_interval=BATCH_GRANT_INTERVAL,
        hold_s=float("inf"),
    ):
        self._concurrency = concurrency
        self._hold_s = hold_s
        self._batch_interval = batch_interval
        self._urgent_streak = 0
        self._waiting = {}
        self._granted = {}

    def ask(self, ticket, node, rank, waited_s, now_s):
        """Queue a request for a permit, or change its rank.

        :param waited_s: how long the load has waited already.
        """
        if ticket not in self._granted:
            since_s = now_s - waited_s
            self._waiting[ticket] = PermitRequest(ticket, node, rank, since_s)

    def done(self, ticket):
        """Return a permit or withdraw a request for one."""
        self._waiting.pop(ticket, None)
        self._granted.pop(ticket, None)

    def drop_node(self, node):
        """Forget the waiting requests of a node that is gone."""
        self._waiting = {
            ticket: request
            for ticket, request in self._waiting.items()
            if request.node != node
        }

    def next(self, now_s):
        """Grant the next permit, if the store is free.

        :returns: a ``PermitRequest`` or None.
        """
        self._expire(now_s)
        if len(self._granted) >= self._concurrency or not self._waiting:
            return None
        chosen = self._choose()
        del self._waiting[chosen.ticket]
        self._granted[chosen.ticket] = now_s
        return chosen

    def _choose(self):
        """Choose by rank and wait, but regularly the oldest batch load."""
        requests = self._waiting.values()
        batch = [request for request in requests if request.rank >= BATCH_RANK]
        self._urgent_streak += 1
        if batch and self._urgent_streak >= self._batch_interval:
            self._urgent_streak = 0
            return min(batch, key=lambda request: request.since_s)
        chosen = min(
            requests, key=lambda request: (request.rank, request.since_s)
        )
        if chosen.rank >= BATCH_RANK:
            self._urgent_streak = 0
        return chosen

    def _expire(self, now_s):
        self._granted = {
            ticket: granted_s
            for ticket, granted_s in self._granted.items()
            if now_s - granted_s < self._hold_s
        }


class Permits:
    """Gets a node's permits, and keeps the queue if the node holds it.

    :param node: this node's name.
    :param holder: ``() -> node name`` that holds the queue, or None.
    :param send: ``(node, message) -> bool``, whether it was sent.
    :param now: closure that reads the clock.
    :param interval_s: ``() -> seconds`` between this node's loads while
        no holder can be reached.
    :param loads_per_s: rate of the weight store.
    """

    def __init__(self, node, holder, send, now, interval_s, loads_per_s):
        self._node = node
        self._find_holder = holder
        self._send = send
        self._now = now
        self._interval_s = interval_s
        self._queue = PermitQueue(hold_s=HOLD_MAX_LOADS / loads_per_s)
        self._grant_events = {}
        self._numbers = itertools.count()
        self._last_unqueued_s = float("-inf")

    @contextlib.asynccontextmanager
    async def permit(self, rank, waited_s):
        """Hold a permit while the block runs.

        If the holder of the queue does not answer in time, the load goes
        on at the interval of a node without one.

        :param rank: rank of the load; lower goes first.
        :param waited_s: how long it has waited already.
        """
        ticket = f"{self._node}/{next(self._numbers)}"
        holder = await self._acquire(ticket, rank, waited_s)
        try:
            yield
        finally:
            self._grant_events.pop(ticket, None)
            self._send_to(holder, _wire.PermitDone(ticket))

    async def _acquire(self, ticket, rank, waited_s):
        holder = self._find_holder()
        if holder is not None:
            event = self._grant_events[ticket] = trio.Event()
            request = _wire.PermitRequest(ticket, rank, float(waited_s))
            if self._send_to(holder, request):
                with trio.move_on_after(ASK_TIMEOUT_S):
                    await event.wait()
                    return holder
            self._grant_events.pop(ticket, None)
            self._send_to(holder, _wire.PermitDone(ticket))
        await self._wait_unqueued()
        return None

    async def _wait_unqueued(self):
        while True:
            next_s = self._last_unqueued_s + self._interval_s()
            wait_s = next_s - self._now()
            if wait_s <= 0:
                break
            await trio.sleep(wait_s)
        self._last_unqueued_s = self._now()

    def _send_to(self, holder, msg):
        if holder is None:
            return False
        if holder == self._node:
            self.receive(self._node, msg)
            return True
        return self._send(holder, msg)

    def receive(self, node, msg):
        """Handle a permit message from a node.

        :raises WireError: if it is of another type.
        """
        handler = _HANDLERS.get(type(msg))
        if handler is None:
            raise exceptions.WireError("not a permit message")
        handler(self, node, msg)
        self._grant_next()

    def _on_ask(self, node, msg):
        self._queue.ask(msg.ticket, node, msg.rank, msg.waited_s, self._now())

    def _on_done(self, node, msg):
        self._queue.done(msg.ticket)

    def _on_grant(self, node, msg):
        event = self._grant_events.get(msg.ticket)
        if event is None:
            self._send_to(node, _wire.PermitDone(msg.ticket))
            return
        event.set()

    def drop_node(self, node):
        """Forget the waiting requests of a node that is gone."""
        self._queue.drop_node(node)
        self._grant_next()

    async def run(self):
        """Expire permits that are held for too long, until cancelled."""
        while True:
            await trio.sleep(1.0)
            self._grant_next()

    def _grant_next(self):
        granted = self._queue.next(self._now())
        if granted is None:
            return
        self._send_to(granted.node, _wire.PermitGrant(granted.ticket))


_HANDLERS = {
    _wire.PermitRequest: Permits._on_ask,
    _wire.PermitDone: Permits._on_done,
    _wire.PermitGrant: Permits._on_grant,
}
