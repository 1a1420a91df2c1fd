"""Moves of streams from silent engines to others.

A silent engine may go on at any time.  Its run is given up only once another
engine may be sent the stream: the send is allowed and paid, the engine's owner
has granted it, and the silent engine can be asked whether it still runs the
stream.  Until then the run goes on, and an event ends the search.
"""

import contextlib
import dataclasses
import math

import trio

from coltsfootsail import _dropped_runs
from coltsfootsail import _logs
from coltsfootsail import exceptions

# Silence of a server after which another is looked for.
FIRST_BYTE_TIMEOUT_S = 1.8
EVENT_TIMEOUT_S = 1.5
HELD_CHECK_S = 0.1
CONTACT_AGE_S = 0.5  # the server was found to be reached or not this long ago
# Owners space the prompts of an engine by the times of their grants, so that a
# grant is good only for a send at once.
GRANT_AGE_S = 0.1
# Between attempts to move a stream, twice as long after each.
PAUSE_MIN_S = 0.25
PAUSE_MAX_S = 1.0


def pauses_s():
    """Yield the pauses between attempts to find an engine for a stream."""
    pause_s = PAUSE_MIN_S
    while True:
        yield pause_s
        pause_s = min(PAUSE_MAX_S, 2 * pause_s)


class Silence:
    """The time in which a server has sent no event of a stream.

    Bytes without an event do not end it: a stalled server may go on sending
    some.  It is held during writes to the caller: a write that is cancelled
    would lose a part of the answer or truncate it.

    :param may_move: whether the stream may be moved at all.
    """

    def __init__(self, may_move=True):
        self.may_move = may_move
        self._since_s = trio.current_time()
        self._due_s = self._since_s + FIRST_BYTE_TIMEOUT_S
        self._is_held = False
        self._scope = None

    @property
    def duration_s(self):
        """Get its length so far."""
        return trio.current_time() - self._since_s

    def is_due(self):
        """Tell whether the stream may be moved now."""
        return not self._is_held and trio.current_time() >= self._due_s

    def note_event(self):
        """Begin anew after an event."""
        self._since_s = trio.current_time()
        self._due_s = self._since_s + EVENT_TIMEOUT_S
        if self._scope is not None:
            self._scope.cancel()

    async def hold(self):
        """Allow no move, or let the cancellation of one through."""
        self._is_held = True
        await trio.lowlevel.checkpoint_if_cancelled()

    def release(self):
        """Allow a move again."""
        self._is_held = False

    async def wait_until_due(self):
        """Wait until the stream may be moved."""
        while not self.is_due():
            now_s = trio.current_time()
            if now_s >= self._due_s:
                await trio.sleep(HELD_CHECK_S)
            else:
                # After the first event it may be due sooner.
                soonest_s = now_s + EVENT_TIMEOUT_S
                await trio.sleep_until(min(self._due_s, soonest_s))

    @contextlib.contextmanager
    def until_event(self):
        """Cancel the block at the next event."""
        with trio.CancelScope() as self._scope:
            try:
                yield
            finally:
                self._scope = None


class Target:
    """An engine that a stream is to be sent to, and the grant for it.

    :param server: the ``Server``.
    :param owner: the node that grants; None to send without a grant.
    :param grant_request: a ``GrantRequest``.

    ``use`` is the ``GrantUse`` of the grant, None without one.
    """

    def __init__(self, server, owner, grant_request):
        self.server = server
        self.owner = owner
        self.grant_request = grant_request
        self.use = None
        self._granted_s = math.inf
        self._stack = contextlib.AsyncExitStack()

    async def acquire(self, grant_client):
        """Get the grant, unless it is held or none is needed.

        :raises TurnedAway: if the owner rejected the request.
        :raises OwnerSilent: if the owner does not answer.
        """
        if self.owner is None or self.use is not None:
            return
        grant = grant_client.acquire(
            self.owner, self.server.name, self.grant_request
        )
        self.use = await self._stack.enter_async_context(grant)
        self._granted_s = trio.current_time()

    async def aclose(self):
        """Give the grant back."""
        await self._stack.aclose()

    def is_current(self, gateway):
        """Tell whether the stream can still be sent to the engine.

        A grant that is not used at once has to be asked for again.
        An owner that can't be reached now keeps what it has granted.
        """
        name, request = self.server.name, self.grant_request
        version = gateway.view.versions.get(request.adapter, 0)
        owner = gateway.engine_selector.owner(self.server)
        granted_ago_s = trio.current_time() - self._granted_s
        return (
            granted_ago_s <= GRANT_AGE_S
            and name in gateway.view.servers
            and gateway.states.takes_requests(name)
            and not gateway.states.is_unavailable(name)
            and owner in (None, self.owner)
            and version == request.version
        )


class Mover:
    """Moves one run of a stream while its server is silent.

    :param gateway: the ``Gateway``.
    :param send_policy: a ``SendPolicy``.
    :param context: the request's ``RequestContext``.
    :param server: the ``Server`` that runs the stream.
    :param silence: the server's ``Silence``.

    ``target`` is the ``Target`` of the move, None if there is none.
    ``scope`` is the cancel scope of the run, cancelled by a move or if the
    server is gone.  ``is_unreachable`` tells whether the server accepted no
    connection then.
    """

    def __init__(self, gateway, send_policy, context, server, silence):
        self._gateway = gateway
        self._send_policy = send_policy
        self._context = context
        self._server = server
        self._silence = silence
        self._avoided = set()
        self.scope = trio.CancelScope()
        self.target = None
        self.is_unreachable = False

    async def run(self):
        """Look for a move in each silence until one is made."""
        while not self.scope.cancel_called:
            await self._silence.wait_until_due()
            with self._silence.until_event():
                await self._search()

    async def _search(self):
        last = ""
        for pause_s in pauses_s():
            try:
                lacks = await self._try_to_move()
            except Exception as exc:
                lacks = exceptions.UnexpectedError.code
                _logs.failure(
                    "move_failed",
                    exc,
                    id=self._context.meta.request_id,
                    server=self._server.name,
                )
            if not lacks:
                return
            if lacks != last:
                last = lacks
                _logs.detail(
                    "silent_attempt_kept",
                    id=self._context.meta.request_id,
                    server=self._server.name,
                    lacks=lacks,
                    **self._state(),
                )
            await trio.sleep(pause_s)

    async def _try_to_move(self):
        """Move the stream if all that this takes is at hand.

        :returns: what is missing, empty if the run has been given up.
        """
        if not self._is_registered():
            contact = await self._contact()
            if contact in _dropped_runs.GONE:
                return await self._end_run(contact)
        if not self._context.may_run_elsewhere():
            return "attempt"
        target = self._choose()
        if target is None:
            self._avoided.clear()
            return "engine"
        try:
            return await self._move_to(target)
        except (exceptions.TurnedAway, exceptions.OwnerSilent) as exc:
            self._avoided.add(target.server.name)
            return exc.detail
        except exceptions.ColtsfootsailError as exc:
            return exc.code
        finally:
            if self.target is None:
                await target.aclose()

    async def _move_to(self, target):
        """Move the stream if its server can be asked about its run.

        :returns: what is missing, empty if the run has been given up.
        """
        self._send_policy.check_retry(self._context, target.server)
        asked_s = trio.current_time()
        contact = await self._contact()
        if contact in _dropped_runs.MOVABLE:
            await target.acquire(self._gateway.grant_client)
            if trio.current_time() - asked_s > CONTACT_AGE_S:
                contact = await self._contact()
        if contact not in _dropped_runs.MOVABLE:
            return "report"
        return await self._end_run(contact, target)

    async def _contact(self):
        return await self._gateway.upstream.find_contact(self._server)

    def _is_registered(self):
        return self._server.name in self._gateway.view.servers

    def _choose(self):
        """Choose another engine.

        Those that interrupted the stream are chosen only if there is no
        other.

        :returns: a ``Target``, or None.
        """
        context = self._context
        avoided = {self._server.name, *self._avoided}
        for names in (avoided | context.interrupted_by, avoided):
            choice = self._gateway.engine_selector.choose(
                dataclasses.replace(
                    context, avoided=names, begun=context.origin_noted
                )
            )
            if choice is not None:
                return Target(*choice)
        return None

    async def _end_run(self, contact, target=None):
        """Give the run up, unless its server goes on.

        :param target: the ``Target`` of a move, None if the server is gone.
        :returns: what is missing, empty if the run has been given up.
        """
        # After a pause of this node, what has arrived is read first.
        for _ in range(2):
            await trio.lowlevel.checkpoint()
        if not self._silence.is_due():
            return "silence"
        if target is not None:
            self._send_policy.reserve_retry(self._context, target.server)
            self.target = target
        self.is_unreachable = contact is _dropped_runs.Contact.NONE
        self.scope.cancel()
        _logs.detail(
            "silent_attempt_ended",
            id=self._context.meta.request_id,
            server=self._server.name,
            contact=contact.value,
            paid=target is not None,
            granted=target is not None and target.use is not None,
            next_server="" if target is None else target.server.name,
            **self._state(),
        )
        return ""

    def _state(self):
        """Get the inputs of a decision, for the log."""
        context = self._context
        return {
            "silent_s": round(self._silence.duration_s, 3),
            "registered": self._is_registered(),
            "sends": context.sends,
            "attempts": context.route.attempts,
            **self._gateway.retry_budget.describe(context.service),
        }


def clear_rejections(context):
    """Let all engines be chosen again, but for those that failed."""
    context.limited.clear()
    context.avoided = set(context.interrupted_by)
