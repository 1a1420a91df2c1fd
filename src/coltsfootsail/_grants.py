"""Starts on engines: asked for by entry nodes, granted by owners.

A request never passes through an engine's owner: the entry node asks for
a start, then talks to the engine itself.  An owner that stops or falls
silent therefore cuts off nobody.
"""

import contextlib
import dataclasses
import enum
import itertools

import trio

from coltsfootsail import _admission
from coltsfootsail import _logs
from coltsfootsail import _wire
from coltsfootsail import exceptions

STALE_S = 0.6  # an owner that owes a sign of life longer is given up
CHECK_S = 0.2
SEEN_PARTS_MAX = 4000  # prompt parts that an engine is taken to keep


class End(enum.StrEnum):
    """How a started request ended."""

    DONE = "done"
    ABSENT = "absent"
    UNREACHABLE = "unreachable"


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """What an entry node asks of an engine.

    :param parts: pairs of prompt part and its tokens.
    :param objective_s: absolute time of the first event's objective.
    :param until_s: absolute time at which the request expires.
    """

    adapter: str
    version: int
    parts: tuple
    prompt_tokens: int
    output_tokens: int
    priority: int
    objective_s: float
    until_s: float


class PromptParts:
    """Prompt parts that an engine was given to read, for each adapter."""

    def __init__(self):
        self._seen = {}

    def unread(self, wish):
        """Count the tokens of a prompt that must be read.

        Parts count as read only behind parts that are read.
        """
        read = 0
        for name, tokens in wish.parts[:-1]:
            if (wish.adapter, name) not in self._seen:
                break
            read += tokens
        return max(1, wish.prompt_tokens - read)

    def note(self, wish):
        """Note that a prompt is read now."""
        for name, _ in wish.parts[:-1]:
            self._seen.pop((wish.adapter, name), None)
            self._seen[wish.adapter, name] = None
        while len(self._seen) > SEEN_PARTS_MAX:
            del self._seen[next(iter(self._seen))]

    def forget(self, adapter):
        """Note that an adapter was dropped with what was read for it."""
        for key in [key for key in self._seen if key[0] == adapter]:
            del self._seen[key]


class Desk:
    """The owner's side: queues wishes of all nodes on owned engines.

    :param orderers: dict of server name to ``Orderer``.
    :param leaving: ``(server name) -> bool``.
    :param now: closure that reads the clock.
    """

    def __init__(self, orderers, leaving, now):
        self._orderers = orderers
        self._leaving = leaving
        self._now = now
        self._remote = {}

    def queue(self, server, wish, reply):
        """Queue a wish.

        :param reply: called once with ``Grant`` or ``TurnAway``.
        :returns: closure that takes an ``End``, to be called once.
        :raises TurnedAway: at once, if it can't be granted here.
        """
        orderer = self._orderers.get(server)
        if orderer is None:
            raise exceptions.TurnedAway("not the owner", 0.1)
        if self._leaving(server):
            raise exceptions.TurnedAway("engine leaving", 0.1)
        if orderer.down():
            raise exceptions.TurnedAway("engine down", 0.2)
        if not orderer.has_model(wish):
            raise exceptions.TurnedAway("no model yet", 0.3)
        if not orderer.active() and not orderer.holds(wish):
            raise exceptions.TurnedAway("no orders yet", 0.2)
        unread = orderer.parts.unread(wish)
        asked_s = self._now()
        state = orderer.state(wish)

        def make(number):
            return _admission.Ask(
                number=number,
                adapter=wish.adapter,
                version=wish.version,
                read_tokens=unread,
                memory_tokens=wish.prompt_tokens + wish.output_tokens,
                priority=wish.priority,
                arrived_s=self._now(),
                objective_s=wish.objective_s,
                until_s=wish.until_s,
            )

        def granted(decision):
            is_grant = isinstance(decision, _admission.Grant)
            if is_grant:
                orderer.parts.note(wish)
            _logs.detail(
                "grant" if is_grant else "turn_away",
                server=server,
                adapter=wish.adapter,
                state=state,
                unread=unread,
                waited_s=round(self._now() - asked_s, 3),
                running=len(orderer.queue.running),
                waiting=len(orderer.queue.waiting),
            )
            reply(decision)

        number = orderer.ask(make, granted)

        def end(how):
            if how is End.ABSENT:
                orderer.absent(wish.adapter)
            elif how is End.UNREACHABLE:
                orderer.unreachable()
            orderer.end(number)

        return end

    # -- wishes of other nodes --------------------------------------

    def ask(self, node, msg, send):
        """Serve a ``GrantRequest`` of another node.

        :param send: ``(message)`` to that node.
        """
        now_s = self._now()
        wish = Wish(
            msg.adapter,
            msg.version,
            tuple(tuple(part) for part in msg.parts),
            msg.prompt_tokens,
            msg.output_tokens,
            msg.priority,
            now_s + msg.objective_s,
            now_s + msg.until_s,
        )

        def reply(decision):
            granted = isinstance(decision, _admission.Grant)
            if not granted:
                self._remote.pop((node, msg.number), None)
            retry_s = 0.0 if granted else decision.retry_after_s
            reason = "" if granted else decision.reason
            send(self._reply(msg, granted, retry_s, reason))

        try:
            self._remote[node, msg.number] = None
            end = self.queue(msg.server, wish, reply)
            if (node, msg.number) in self._remote:
                self._remote[node, msg.number] = end
        except exceptions.TurnedAway as exc:
            self._remote.pop((node, msg.number), None)
            send(self._reply(msg, False, exc.retry_after_s, exc.reason))

    def _reply(self, msg, granted, retry_s, reason):
        orderer = self._orderers.get(msg.server)
        backlog_s = 0.0 if orderer is None else float(orderer.backlog_s())
        return _wire.GrantReply(
            msg.number, granted, retry_s, reason, backlog_s
        )

    def end(self, node, msg):
        """Take a ``GrantEnd`` of another node."""
        end = self._remote.pop((node, msg.number), None)
        if end is not None and msg.outcome in set(End):
            end(End(msg.outcome))

    def drop_node(self, node):
        """Forget all wishes of a node whose link is down."""
        for key in [key for key in self._remote if key[0] == node]:
            end = self._remote.pop(key)
            if end is not None:
                end(End.DONE)


class _Waiter:
    """A wish of this node that waits for its reply."""

    def __init__(self, server):
        self.server = server
        self.event = trio.Event()
        self.reply = None

    def set(self, reply):
        self.reply = reply
        self.event.set()


class Asker:
    """The entry node's side.

    :param node: this node's name.
    :param desk: this node's own ``Desk``.
    :param mesh: a ``Mesh``.
    :param now: closure that reads the clock.
    :param learn: ``(server, backlog_s)``, told with each reply of an owner.
    """

    def __init__(self, node, desk, mesh, now, learn):
        self._node = node
        self._desk = desk
        self._mesh = mesh
        self._now = now
        self._learn = learn
        self._numbers = itertools.count(1)
        self._waiters = {}

    def reply(self, msg):
        """Take a ``GrantReply``."""
        waiter = self._waiters.get(msg.number)
        if waiter is not None:
            self._learn(waiter.server, msg.backlog_s)
            waiter.set(msg)

    @contextlib.asynccontextmanager
    async def start(self, owner, server, wish):
        """Hold a start on an engine.

        Yields a closure that takes an ``End``; without a call the start
        ends as done.

        :raises TurnedAway: if the owner turned the request away.
        :raises OwnerSilent: if the owner can't be reached.
        """
        ends = [End.DONE]
        if owner == self._node:
            finish = await self._ask_here(server, wish)
        else:
            finish = await self._ask_there(owner, server, wish)
        try:
            yield ends.append
        finally:
            finish(ends[-1])

    async def _ask_here(self, server, wish):
        waiter = _Waiter(server)
        end = self._desk.queue(server, wish, waiter.set)
        try:
            await waiter.event.wait()
        except trio.Cancelled:
            end(End.DONE)
            raise
        if isinstance(waiter.reply, _admission.TurnAway):
            raise exceptions.TurnedAway(
                waiter.reply.reason, waiter.reply.retry_after_s
            )
        return end

    async def _ask_there(self, owner, server, wish):
        number = next(self._numbers)
        now_s = self._now()
        ask = _wire.GrantRequest(
            number,
            server,
            wish.adapter,
            wish.version,
            wish.parts,
            wish.prompt_tokens,
            wish.output_tokens,
            wish.priority,
            float(wish.objective_s - now_s),
            float(wish.until_s - now_s),
        )

        def end(how):
            self._mesh.send(owner, _wire.GrantEnd(number, str(how)))

        waiter = self._waiters[number] = _Waiter(server)
        try:
            if not self._mesh.send(owner, ask):
                raise exceptions.OwnerSilent(retry_after_s=0.2)
            self._mesh.ping_if_silent(owner)
            await self._wait(waiter, owner)
        except BaseException:
            end(End.DONE)
            raise
        finally:
            del self._waiters[number]
        if not waiter.reply.granted:
            raise exceptions.TurnedAway(
                waiter.reply.reason, waiter.reply.retry_after_s
            )
        return end

    async def _wait(self, waiter, owner):
        while True:
            with trio.move_on_after(CHECK_S):
                await waiter.event.wait()
                return
            self._mesh.ping_if_silent(owner)
            owed_s = self._mesh.unanswered_ping_s(owner)
            if owed_s is None or owed_s > STALE_S:
                raise exceptions.OwnerSilent(retry_after_s=0.2)
