"""Grants: permissions to start a request on an engine.

Each engine has an owner, the node that schedules its requests.  The entry
node, which holds the caller's connection, asks the owner for a grant and
then sends the request to the engine itself.  No request passes through the
owner, so an owner that stops or hangs interrupts no running request.
"""

import contextlib
import dataclasses
import enum
import itertools

import trio

from coltsfootsail import _admission
from coltsfootsail import _logs
from coltsfootsail import _tasks
from coltsfootsail import _wire
from coltsfootsail import exceptions

# An owner that leaves a ping unanswered for longer counts as unreachable.
OWNER_SILENCE_MAX_S = 0.6
OWNER_CHECK_S = 0.2  # interval of checks while a reply is pending
# Reasons of a rejection.
OLDER_VERSION_RUNS = "older version runs"
SERVER_CLOSED = "server closed"
SERVER_BUSY = "server busy"
OWNER_FAILED = "owner failed"
FAILED_RETRY_S = 0.1  # stated after an unexpected error of the owner
CACHED_PARTS_MAX = 4000  # prompt parts assumed to fit the prefix cache


class GrantOutcome(enum.StrEnum):
    """How a granted request ended.

    ``ABSENT`` means that the engine does not hold the adapter,
    ``UNREACHABLE`` that it accepted no connection, and ``FULL`` that a
    brittle server had no room for it.
    """

    DONE = "done"
    ABSENT = "absent"
    UNREACHABLE = "unreachable"
    FULL = "full"


@dataclasses.dataclass(slots=True)
class GrantUse:
    """What became of a grant, to be reported to the owner.

    :param first_event_s: time from the grant's use to the first event; 0.0
        if there was none.
    :param node: the other node that used it, empty for this one.
    :param events: events that were received.
    :param stream_s: time between the first event and the last one, as if
        all had come at the lower quartile of their distances.
    """

    outcome: GrantOutcome = GrantOutcome.DONE
    first_event_s: float = 0.0
    node: str = ""
    events: int = 0
    stream_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRequest:
    """An entry node's request for a grant, with the resources it needs.

    :param adapter: adapter key, or the name of the base model.
    :param version: lowest adapter version that may serve the request.
    :param parts: pairs of a prompt part's id and its token count.
    :param objective_s: absolute time by which the first event is due.
    :param until_s: absolute time at which the request expires.
    :param output_tokens: greatest length of the answer.
    :param may_move: whether another engine may be asked instead.
    :param workspace: name of the workspace that the request is made for,
        empty for none.
    :param expected_tokens: expected length of the answer, 0 if not known.
    :param request_id: for the log of the node that asks, empty at others.
    """

    adapter: str
    version: int
    parts: tuple
    prompt_tokens: int
    output_tokens: int
    priority: int
    objective_s: float
    until_s: float
    may_move: bool = False
    workspace: str = ""
    expected_tokens: int = 0
    request_id: str = ""


class PrefixCacheEstimate:
    """Estimates which prompt parts an engine holds in its prefix cache.

    Engine reports do not list the cache, so the estimate follows the
    prompts of granted requests, for each adapter.
    """

    def __init__(self):
        self._cached = {}

    def uncached_tokens(self, request):
        """Count the prompt tokens that the engine still has to process.

        A part is cached only if all parts before it are cached.  The last
        part always counts as uncached.
        """
        cached = 0
        for part_id, tokens in request.parts[:-1]:
            if (request.adapter, part_id) not in self._cached:
                break
            cached += tokens
        return max(1, request.prompt_tokens - cached)

    def record(self, request):
        """Record that the engine processes a prompt now."""
        for part_id, _ in request.parts[:-1]:
            self._cached.pop((request.adapter, part_id), None)
            self._cached[request.adapter, part_id] = None
        while len(self._cached) > CACHED_PARTS_MAX:
            del self._cached[next(iter(self._cached))]

    def forget(self, adapter):
        """Remove the entries of an adapter that the engine unloaded."""
        for key in [key for key in self._cached if key[0] == adapter]:
            del self._cached[key]


class GrantServer:
    """The owner's side: queues the requests of all nodes for its engines.

    :param controller: ``(server name)``, the ``EngineController`` or
        ``LimitController`` of a server, None if this node has none.
    :param is_unavailable: ``(server name) -> bool``, whether the server is
        gone or leaving.
    :param busy_s: ``(server name) -> float``, for how long the server is
        busy for all nodes.
    :param successor: ``(server name) -> (node, fence)``, the node that owns
        the server instead of this one.
    :param now: closure that reads the clock.
    """

    def __init__(self, controller, is_unavailable, busy_s, successor, now):
        self._controller = controller
        self._is_unavailable = is_unavailable
        self._busy_s = busy_s
        self._successor = successor
        self._now = now
        self._remote_grants = {}

    def enqueue(self, server_name, request, reply):
        """Queue a request for a grant.

        :param request: a ``GrantRequest``.
        :param reply: called once with ``Grant`` or ``TurnAway``.
        :returns: closure that takes a ``GrantUse``, to be called once
            when the granted request has ended or the grant is not wanted
            any more.
        :raises TurnedAway: at once, if this node can't grant it.
        """
        controller = self._controller(server_name)
        if controller is None:
            raise exceptions.TurnedAway("not the owner", 0.1)
        if self._is_unavailable(server_name):
            raise exceptions.TurnedAway("engine leaving", 0.1)
        busy_s = self._busy_s(server_name)
        if busy_s:
            raise exceptions.TurnedAway(SERVER_BUSY, busy_s)
        controller.check_grantable(request)
        uncached = controller.uncached_tokens(request)
        enqueued_s = self._now()
        adapter_state = controller.adapter_state(request)

        def create_admission_request(number):
            return _admission.AdmissionRequest(
                number=number,
                adapter=request.adapter,
                version=request.version,
                read_tokens=uncached,
                memory_tokens=request.prompt_tokens + request.output_tokens,
                priority=request.priority,
                arrived_s=self._now(),
                objective_s=request.objective_s,
                until_s=request.until_s,
                workspace=request.workspace,
                output_tokens=request.expected_tokens or request.output_tokens,
            )

        def on_decision(decision):
            is_grant = isinstance(decision, _admission.Grant)
            _logs.detail(
                "grant" if is_grant else "turn_away",
                server=server_name,
                adapter=request.adapter,
                state=adapter_state,
                unread=uncached,
                waited_s=round(self._now() - enqueued_s, 3),
                running=len(controller.queue.running),
                waiting=len(controller.queue.waiting),
            )
            reply(decision)

        number = controller.enqueue(
            request, create_admission_request, on_decision
        )

        def end(use):
            # Neither the request's answer nor other grants depend on it.
            try:
                controller.end_grant(number, request, use)
            except Exception as exc:
                _logs.failure("grant_end_failed", exc, server=server_name)

        return end

    def handle_request(self, node, msg, send):
        """Handle another node's request for a grant.

        :param msg: a ``_wire.GrantRequest`` or ``WorkspaceGrantRequest``.
        :param send: ``(message)``, sends to that node.
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
            msg.may_move,
            getattr(msg, "workspace", ""),
            getattr(msg, "expected_tokens", 0),
        )

        def reply(decision):
            granted = isinstance(decision, _admission.Grant)
            if not granted:
                self._remote_grants.pop((node, msg.number), None)
            retry_s = 0.0 if granted else decision.retry_after_s
            reason = "" if granted else decision.reason
            send(self._reply(msg, granted, retry_s, reason))

        try:
            # ``reply`` may be called within ``enqueue``; the entry shows
            # afterwards whether the request was rejected.
            self._remote_grants[node, msg.number] = None
            end = self.enqueue(msg.server, request, reply)
            if (node, msg.number) in self._remote_grants:
                self._remote_grants[node, msg.number] = end
        except exceptions.TurnedAway as exc:
            self._remote_grants.pop((node, msg.number), None)
            send(self._reply(msg, False, exc.retry_after_s, exc.reason))
        except Exception as exc:
            self._remote_grants.pop((node, msg.number), None)
            _logs.failure("grant_failed", exc, node=node, server=msg.server)
            send(
                _wire.GrantReply(
                    msg.number, False, FAILED_RETRY_S, OWNER_FAILED, 0.0, "", 0
                )
            )

    def _reply(self, msg, granted, retry_s, reason):
        controller = self._controller(msg.server)
        backlog_s = (
            0.0 if controller is None else float(controller.backlog_s())
        )
        owner, fence = "", 0
        if controller is None:
            owner, fence = self._successor(msg.server)
        return _wire.GrantReply(
            msg.number, granted, retry_s, reason, backlog_s, owner, fence
        )

    def handle_end(self, node, msg):
        """Handle a ``GrantEnd`` of another node."""
        end = self._remote_grants.pop((node, msg.number), None)
        if end is not None and msg.outcome in set(GrantOutcome):
            outcome = GrantOutcome(msg.outcome)
            events = getattr(msg, "events", 0)
            stream_s = getattr(msg, "stream_s", 0.0)
            end(GrantUse(outcome, msg.first_event_s, node, events, stream_s))

    def drop_node(self, node):
        """End all grants and requests of a node whose link is down."""
        for key in [key for key in self._remote_grants if key[0] == node]:
            end = self._remote_grants.pop(key)
            if end is not None:
                end(GrantUse())


class _PendingGrant:
    """A request of this node that waits for the owner's reply."""

    def __init__(self, server_name, owner=""):
        self.server = server_name
        self.owner = owner
        self.event = trio.Event()
        self.reply = None
        self.is_left = False

    def resolve(self, reply):
        self.reply = reply
        self.event.set()


class GrantClient:
    """The entry node's side: gets grants from the owners of engines.

    :param node: this node's name.
    :param grant_server: this node's own ``GrantServer``.
    :param mesh: a ``Mesh``.
    :param now: closure that reads the clock.
    :param on_backlog: ``(server name, backlog_s)``, called with each reply
        of an owner.
    :param on_owner: ``(server name, node, fence)``, called when a former
        owner names its successor.
    :param count: ``(counter, reason)``.
    """

    def __init__(
        self,
        node,
        grant_server,
        mesh,
        now,
        on_backlog,
        on_owner,
        count=lambda counter, reason: None,
    ):
        self._node = node
        self._grant_server = grant_server
        self._mesh = mesh
        self._now = now
        self._on_backlog = on_backlog
        self._on_owner = on_owner
        self._count = count
        self._numbers = itertools.count(1)
        self._pending = {}
        self._local = []

    def handle_reply(self, msg):
        """Handle a ``GrantReply`` of an owner."""
        pending = self._pending.get(msg.number)
        if pending is not None:
            pending.resolve(msg)
            self._on_backlog(pending.server, msg.backlog_s)
            if msg.owner:
                self._on_owner(pending.server, msg.owner, msg.fence)

    def drop_node(self, node):
        """End the waits for replies of a node whose link is down."""
        for pending in self._pending.values():
            if pending.owner == node:
                pending.resolve(None)

    def leave_server(self, name):
        """End the waits for a server that takes no more requests."""
        for pending in [*self._pending.values(), *self._local]:
            if pending.server == name:
                pending.is_left = True
                pending.event.set()

    @contextlib.asynccontextmanager
    async def acquire(self, owner, server_name, request):
        """Hold a grant for an engine.

        Yields the ``GrantUse`` to report at the end.

        :param owner: name of the node that owns the engine.
        :param server_name: the engine's name.
        :param request: a ``GrantRequest``.
        :raises TurnedAway: if the owner rejected the request.
        :raises OwnerSilent: if the owner does not answer.
        """
        use = GrantUse()
        if owner == self._node:
            finish = await self._acquire_locally(server_name, request)
        else:
            finish = await self._acquire_remotely(owner, server_name, request)
        try:
            yield use
        finally:
            with _tasks.contained(
                self._count, request.request_id, server_name
            ):
                finish(use)

    async def _acquire_locally(self, server_name, request):
        pending = _PendingGrant(server_name)
        end = self._grant_server.enqueue(server_name, request, pending.resolve)
        self._local.append(pending)
        try:
            await pending.event.wait()
            _check_not_left(pending)
        except BaseException:
            end(GrantUse())
            raise
        finally:
            self._local.remove(pending)
        if isinstance(pending.reply, _admission.TurnAway):
            raise exceptions.TurnedAway(
                pending.reply.reason, pending.reply.retry_after_s
            )
        return end

    async def _acquire_remotely(self, owner, server_name, request):
        number = next(self._numbers)
        now_s = self._now()
        fields = (
            number,
            server_name,
            request.adapter,
            request.version,
            request.parts,
            request.prompt_tokens,
            request.output_tokens,
            request.priority,
            float(request.objective_s - now_s),
            float(request.until_s - now_s),
            request.may_move,
        )
        msg = _wire.GrantRequest(*fields)
        if request.workspace and self._mesh.knows(
            owner, _wire.WorkspaceGrantRequest
        ):
            msg = _wire.WorkspaceGrantRequest(
                *fields, request.workspace, request.expected_tokens
            )

        def end(use):
            outcome = use.outcome
            knows_full = self._mesh.knows(owner, _wire.ServerBrittle)
            if outcome is GrantOutcome.FULL and not knows_full:
                outcome = GrantOutcome.DONE
            fields = number, str(outcome), use.first_event_s
            msg = _wire.GrantEnd(*fields)
            if use.events and self._mesh.knows(owner, _wire.StreamedGrantEnd):
                msg = _wire.StreamedGrantEnd(
                    *fields, use.events, float(use.stream_s)
                )
            self._mesh.send(owner, msg)

        pending = _PendingGrant(server_name, owner)
        self._pending[number] = pending
        try:
            if not self._mesh.send(owner, msg):
                raise exceptions.OwnerSilent(retry_after_s=0.2)
            self._mesh.ping_if_silent(owner)
            await self._wait_for_reply(pending, owner)
            _check_not_left(pending)
        except BaseException:
            end(GrantUse())
            raise
        finally:
            del self._pending[number]
        if pending.reply is None:
            raise exceptions.OwnerSilent(retry_after_s=0.2)
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
            self._mesh.ping_if_silent(owner)
            silence_s = self._mesh.unanswered_ping_s(owner)
            if silence_s is None or silence_s > OWNER_SILENCE_MAX_S:
                raise exceptions.OwnerSilent(retry_after_s=0.2)


def _check_not_left(pending):
    """Raise if a grant is no longer wanted for its server.

    :raises TurnedAway: if the server was closed before the owner replied.
    """
    if pending.is_left and pending.reply is None:
        raise exceptions.TurnedAway(SERVER_CLOSED, 0.1)
