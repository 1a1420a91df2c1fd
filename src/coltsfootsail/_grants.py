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

OWNER_SILENCE_MAX_S = (
    0.6  # an owner that owes a sign of life longer is given up
)
OWNER_CHECK_S = 0.2
CACHED_PARTS_MAX = 4000  # prompt parts that an engine is taken to keep


class GrantOutcome(enum.StrEnum):
    """How a started request ended."""

    DONE = "done"
    ABSENT = "absent"
    UNREACHABLE = "unreachable"


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRequest:
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


class PrefixCacheEstimate:
    """Prompt parts that an engine was given to read, for each adapter."""

    def __init__(self):
        self._cached = {}

    def uncached_tokens(self, request):
        """Count the tokens of a prompt that must be read.

        Parts count as read only behind parts that are read.
        """
        cached = 0
        for name, tokens in request.parts[:-1]:
            if (request.adapter, name) not in self._cached:
                break
            cached += tokens
        return max(1, request.prompt_tokens - cached)

    def record(self, request):
        """Note that a prompt is read now."""
        for name, _ in request.parts[:-1]:
            self._cached.pop((request.adapter, name), None)
            self._cached[request.adapter, name] = None
        while len(self._cached) > CACHED_PARTS_MAX:
            del self._cached[next(iter(self._cached))]

    def forget(self, adapter):
        """Note that an adapter was dropped with what was read for it."""
        for key in [key for key in self._cached if key[0] == adapter]:
            del self._cached[key]


class GrantServer:
    """The owner's side: queues wishes of all nodes on owned engines.

    :param orderers: dict of server name to ``Orderer``.
    :param leaving: ``(server name) -> bool``.
    :param now: closure that reads the clock.
    """

    def __init__(self, controllers, is_unavailable, now):
        self._controllers = controllers
        self._is_unavailable = is_unavailable
        self._now = now
        self._remote_grants = {}

    def enqueue(self, server, request, reply):
        """Queue a wish.

        :param reply: called once with ``Grant`` or ``TurnAway``.
        :returns: closure that takes a ``GrantOutcome``, to be called once.
        :raises TurnedAway: at once, if it can't be granted here.
        """
        controller = self._controllers.get(server)
        if controller is None:
            raise exceptions.TurnedAway("not the owner", 0.1)
        if self._is_unavailable(server):
            raise exceptions.TurnedAway("engine leaving", 0.1)
        if controller.is_down():
            raise exceptions.TurnedAway("engine down", 0.2)
        if not controller.has_base_model(request):
            raise exceptions.TurnedAway("no model yet", 0.3)
        if not controller.can_order() and not controller.holds_adapter(
            request
        ):
            raise exceptions.TurnedAway("no orders yet", 0.2)
        uncached = controller.prefix_cache.uncached_tokens(request)
        asked_s = self._now()
        state = controller.adapter_state(request)

        def create_ask(number):
            return _admission.Ask(
                number=number,
                adapter=request.adapter,
                version=request.version,
                read_tokens=uncached,
                memory_tokens=request.prompt_tokens + request.output_tokens,
                priority=request.priority,
                arrived_s=self._now(),
                objective_s=request.objective_s,
                until_s=request.until_s,
            )

        def on_decision(decision):
            is_grant = isinstance(decision, _admission.Grant)
            if is_grant:
                controller.prefix_cache.record(request)
            _logs.detail(
                "grant" if is_grant else "turn_away",
                server=server,
                adapter=request.adapter,
                state=state,
                unread=uncached,
                waited_s=round(self._now() - asked_s, 3),
                running=len(controller.queue.running),
                waiting=len(controller.queue.waiting),
            )
            reply(decision)

        number = controller.enqueue(create_ask, on_decision)

        def end(outcome):
            if outcome is GrantOutcome.ABSENT:
                controller.note_adapter_absent(request.adapter)
            elif outcome is GrantOutcome.UNREACHABLE:
                controller.note_unreachable()
            controller.finish(number)

        return end

    # -- wishes of other nodes --------------------------------------

    def handle_ask(self, node, msg, send):
        """Serve a ``GrantAsk`` of another node.

        :param send: ``(message)`` to that node.
        """
        now_s = self._now()
        request = GrantRequest(
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
                self._remote_grants.pop((node, msg.number), None)
            retry_s = 0.0 if granted else decision.retry_after_s
            reason = "" if granted else decision.reason
            send(self._reply(msg, granted, retry_s, reason))

        try:
            self._remote_grants[node, msg.number] = None
            end = self.enqueue(msg.server, request, reply)
            if (node, msg.number) in self._remote_grants:
                self._remote_grants[node, msg.number] = end
        except exceptions.TurnedAway as exc:
            self._remote_grants.pop((node, msg.number), None)
            send(self._reply(msg, False, exc.retry_after_s, exc.reason))

    def _reply(self, msg, granted, retry_s, reason):
        controller = self._controllers.get(msg.server)
        backlog_s = (
            0.0 if controller is None else float(controller.backlog_s())
        )
        return _wire.GrantReply(
            msg.number, granted, retry_s, reason, backlog_s
        )

    def handle_end(self, node, msg):
        """Take a ``GrantEnd`` of another node."""
        end = self._remote_grants.pop((node, msg.number), None)
        if end is not None and msg.outcome in set(GrantOutcome):
            end(GrantOutcome(msg.outcome))

    def drop_node(self, node):
        """Forget all wishes of a node whose link is down."""
        for key in [key for key in self._remote_grants if key[0] == node]:
            end = self._remote_grants.pop(key)
            if end is not None:
                end(GrantOutcome.DONE)


class _PendingGrant:
    """A wish of this node that waits for its reply."""

    def __init__(self, server):
        self.server = server
        self.event = trio.Event()
        self.reply = None

    def resolve(self, reply):
        self.reply = reply
        self.event.set()


class GrantClient:
    """The entry node's side.

    :param node: this node's name.
    :param desk: this node's own ``GrantServer``.
    :param mesh: a ``Mesh``.
    :param now: closure that reads the clock.
    :param learn: ``(server, backlog_s)``, told with each reply of an owner.
    """

    def __init__(self, node, grant_server, mesh, now, on_backlog):
        self._node = node
        self._grant_server = grant_server
        self._mesh = mesh
        self._now = now
        self._on_backlog = on_backlog
        self._numbers = itertools.count(1)
        self._pending = {}

    def handle_reply(self, msg):
        """Take a ``GrantReply``."""
        pending = self._pending.get(msg.number)
        if pending is not None:
            self._on_backlog(pending.server, msg.backlog_s)
            pending.resolve(msg)

    @contextlib.asynccontextmanager
    async def acquire(self, owner, server, request):
        """Hold a start on an engine.

        Yields a closure that takes a ``GrantOutcome``; without a call the
        start ends as done.

        :raises TurnedAway: if the owner turned the request away.
        :raises OwnerSilent: if the owner can't be reached.
        """
        outcomes = [GrantOutcome.DONE]
        if owner == self._node:
            finish = await self._acquire_locally(server, request)
        else:
            finish = await self._acquire_remotely(owner, server, request)
        try:
            yield outcomes.append
        finally:
            finish(outcomes[-1])

    async def _acquire_locally(self, server, request):
        pending = _PendingGrant(server)
        end = self._grant_server.enqueue(server, request, pending.resolve)
        try:
            await pending.event.wait()
        except trio.Cancelled:
            end(GrantOutcome.DONE)
            raise
        if isinstance(pending.reply, _admission.TurnAway):
            raise exceptions.TurnedAway(
                pending.reply.reason, pending.reply.retry_after_s
            )
        return end

    async def _acquire_remotely(self, owner, server, request):
        number = next(self._numbers)
        now_s = self._now()
        ask = _wire.GrantAsk(
            number,
            server,
            request.adapter,
            request.version,
            request.parts,
            request.prompt_tokens,
            request.output_tokens,
            request.priority,
            float(request.objective_s - now_s),
            float(request.until_s - now_s),
        )

        def end(outcome):
            self._mesh.send(owner, _wire.GrantEnd(number, str(outcome)))

        pending = self._pending[number] = _PendingGrant(server)
        try:
            if not self._mesh.send(owner, ask):
                raise exceptions.OwnerSilent(retry_after_s=0.2)
            self._mesh.rouse(owner)
            await self._wait_for_reply(pending, owner)
        except BaseException:
            end(GrantOutcome.DONE)
            raise
        finally:
            del self._pending[number]
        if not pending.reply.granted:
            raise exceptions.TurnedAway(
                pending.reply.reason, pending.reply.retry_after_s
            )
        return end

    async def _wait_for_reply(self, pending, owner):
        while True:
            with trio.move_on_after(OWNER_CHECK_S):
                await pending.event.wait()
                return
            self._mesh.rouse(owner)
            owed_s = self._mesh.unanswered_s(owner)
            if owed_s is None or owed_s > OWNER_SILENCE_MAX_S:
                raise exceptions.OwnerSilent(retry_after_s=0.2)
