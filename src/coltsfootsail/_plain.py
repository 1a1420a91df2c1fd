"""Forwarding of requests to plain services.

A caller gets a complete answer or an error, never a part of an answer.
A server that names a limit is sent only what its owner grants.
"""

import contextlib
import dataclasses
import functools

import trio

from coltsfootsail import _grants
from coltsfootsail import _logs
from coltsfootsail import _reach
from coltsfootsail import _request_context
from coltsfootsail import _tasks
from coltsfootsail import _upstream
from coltsfootsail import exceptions

# Share of the remaining time after which an attempt may be left for another.
FIRST_ATTEMPT_SHARE = 0.5
MOVE_CHECK_S = 0.25  # between looks for what another attempt lacks
# Longest silence of a server to move to, as a share of that of the first.
MOVE_SILENCE_SHARE = 0.5
# For a grant at a limited server while others may take the request.
GRANT_AT_ONCE_S = 0.05
_FINAL_ERRORS = (
    exceptions.NoEndpoint,
    exceptions.Poisoned,
    exceptions.PoisonedPart,
    exceptions.TooManyConnections,
)
# After which a server has not failed.
_BLAMELESS_ERRORS = (
    exceptions.EndpointNotRun,
    exceptions.MemoryFull,
    exceptions.UnexpectedError,
)


@dataclasses.dataclass(slots=True)
class _Attempt:
    """A send to a server that has been granted and authorized.

    :param stack: holds the grant.
    :param paid: what was paid for the send.
    :param scope: cancels the send when another attempt takes its place.
    :param successor: that attempt, None if there is none.
    """

    server: object
    stack: contextlib.AsyncExitStack
    paid: object
    scope: trio.CancelScope
    successor: object = None


class PlainServiceForwarder:
    """Sends requests to the servers of plain services.

    :param gateway: the ``Gateway``.
    :param send_policy: a ``SendPolicy``.
    """

    def __init__(self, gateway, send_policy):
        self._gateway = gateway
        self._send_policy = send_policy
        self._now = gateway.now
        self._count = gateway.metrics.count

    async def forward(self, context):
        """Get an answer, with retries where they are allowed.

        If several attempts fail, the last answer of a server is preferred
        to an error of the gateway's own.

        :returns: an ``UpstreamResponse``.
        """
        with self._send_policy.contained(context):
            self._gateway.retry_budget.request(context.service)
        error = context.no_endpoint()
        response = None
        while True:
            try:
                latest = await self._attempt(context)
            except exceptions.DeadlineExceeded as exc:
                error = exc
                break
            except exceptions.ColtsfootsailError as exc:
                if await self._may_go_on(context, exc):
                    continue
                if isinstance(exc, exceptions.RetryBudgetSpent):
                    break
                error = exc
                self._note_retry(context, exc)
                if not context.may_retry(exc):
                    break
                if isinstance(exc, _FINAL_ERRORS):
                    break
                if self._is_time_up(context):
                    break
                await self._gateway.crashes.wait_until_checked(context)
                continue
            response = latest
            context.is_moving = False
            if not context.route.repeatable or latest.status < 500:
                break
        if response is not None:
            return response
        raise _request_context.correct_outcome(error, context)

    async def _may_go_on(self, context, exc):
        """Wait for what a request lacks whose first server was left.

        :returns: whether another attempt is to be made.
        """
        context.is_moving = context.is_moving and exc.outcome is (
            _request_context.NOT_RUN
        )
        if not context.may_go_on_later(exc) or self._is_time_up(context):
            return False
        await trio.sleep(min(MOVE_CHECK_S, self._left_s(context.until_s)))
        context.limited.clear()
        return True

    def _is_time_up(self, context):
        margin_s = _request_context.ANSWER_MARGIN_S
        return self._left_s(context.until_s) <= margin_s

    async def _attempt(self, context):
        """Send a request, also to further servers if the first is silent.

        :returns: an ``UpstreamResponse``.
        """
        return await self._send_or_move(context, await self._prepare(context))

    async def _send_or_move(self, context, attempt):
        try:
            async with attempt.stack:
                return await self._send(context, attempt)
        except exceptions.ColtsfootsailError as exc:
            successor, attempt.successor = attempt.successor, None
            if successor is None:
                raise
            self._note_retry(context, exc)
            context.is_moving = True
            return await self._send_or_move(context, successor)
        finally:
            if attempt.successor is not None:
                with self._send_policy.contained(context):
                    await attempt.successor.stack.aclose()

    def _note_retry(self, context, exc):
        with self._send_policy.contained(context):
            self._count("retries", exc.code, labels=context.labels)

    def _usable_servers(self, context):
        gateway = self._gateway
        return [
            server
            for server in gateway.states.available_servers(context.service)
            if not gateway.states.busy_s(server.name)
            and gateway.reach.is_usable(server.name)
        ]

    async def _prepare(self, context):
        """Choose a server, and get all that a send to it needs.

        :returns: an ``_Attempt``.
        """
        gateway = self._gateway
        servers = self._usable_servers(context)
        candidates = [s for s in servers if s.name not in context.limited]
        server = gateway.balancer.choose(candidates, context.tried)
        if server is not None:
            until_s = self._now() + GRANT_AT_ONCE_S
            return await self._authorize(context, server, until_s)
        if context.limited and not context.waited_for_limit:
            context.waited_for_limit = True
            server = min(
                (s for s in servers if s.name in context.limited),
                key=lambda each: context.limited[each.name],
                default=None,
            )
        if server is None:
            reason = "no connection free" if servers else "no server"
            raise context.no_endpoint(
                reason, gateway.states.soonest_s(context.service)
            )
        return await self._authorize(context, server, context.until_s)

    async def _authorize(self, context, server, until_s):
        """Get a grant and the permission for a send to a server.

        :param until_s: when the request for the grant expires.
        :returns: an ``_Attempt``.
        """
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(
                self._granted(context, server, until_s)
            )
            await self._send_policy.borrow_retry(context)
            self._send_policy.remaining_s(context)
            paid = self._send_policy.authorize_send(context, server)
            return _Attempt(server, stack.pop_all(), paid, trio.CancelScope())

    async def _move_when_silent(self, context, attempt):
        """Let another attempt take the place of one that is silent.

        The server may still answer, so the attempt goes on until the other
        one may be sent.
        """
        begun_s = self._now()
        left_s = self._left_s(context.until_s)
        await trio.sleep(FIRST_ATTEMPT_SHARE * left_s)
        while attempt.successor is None:
            silence_s = MOVE_SILENCE_SHARE * (self._now() - begun_s)
            try:
                attempt.successor = await self._prepare_move(
                    context, silence_s
                )
            except Exception as exc:
                _logs.failure(
                    "move_failed",
                    exc,
                    id=context.meta.request_id,
                    server=attempt.server.name,
                )
            if attempt.successor is None:
                await trio.sleep(MOVE_CHECK_S)
        attempt.scope.cancel()

    async def _prepare_move(self, context, silence_s):
        """Prepare an attempt that may take the place of a silent one.

        :param silence_s: longest silence of its server.
        :returns: an ``_Attempt``, or None if there can be none now.
        """
        gateway = self._gateway
        servers = [
            server
            for server in self._usable_servers(context)
            if server.name not in context.limited
            and self._is_better(context, server, silence_s)
        ]
        server = gateway.balancer.choose(servers, context.tried)
        if server is None or not gateway.retry_budget.allows(context.service):
            return None
        until_s = self._now() + GRANT_AT_ONCE_S
        try:
            return await self._authorize(context, server, until_s)
        except exceptions.ColtsfootsailError as exc:
            _logs.detail(
                "move_refused",
                id=context.meta.request_id,
                server=server.name,
                code=exc.code,
                why=exc.detail,
            )
            return None

    def _is_better(self, context, server, silence_s):
        """Tell whether a server may answer sooner than the silent one."""
        reach = self._gateway.reach
        if reach.is_cut_off(server.name):
            return True
        is_new = server.name not in context.may_have_run
        return is_new and reach.silence_s(server.name) <= silence_s

    @contextlib.asynccontextmanager
    async def _granted(self, context, server, until_s):
        """Hold a grant if the server names a limit.

        :param until_s: when the request for it expires.
        :raises TurnedAway: if there is no room for the request in time.
        :raises OwnerSilent: if the node that grants does not answer.
        """
        gateway = self._gateway
        if not gateway.limited_servers.needs_grant(server.name):
            yield
            return
        request = _grants.GrantRequest(
            adapter="",
            version=0,
            parts=(),
            prompt_tokens=0,
            output_tokens=0,
            priority=context.priority,
            objective_s=context.received_s + context.route.objective_s,
            until_s=min(context.until_s, until_s),
            workspace=context.workspace_name,
            request_id=context.meta.request_id,
        )
        owner = gateway.limited_servers.owner(server)
        grant = gateway.grant_client.acquire(owner, server.name, request)
        async with contextlib.AsyncExitStack() as stack:
            try:
                with trio.fail_after(self._left_s(request.until_s)):
                    use = await stack.enter_async_context(grant)
            except trio.TooSlowError as exc:
                context.limited[server.name] = _request_context.RETRY_AFTER_S
                raise exceptions.OwnerSilent() from exc
            except (exceptions.TurnedAway, exceptions.OwnerSilent) as exc:
                context.limited[server.name] = exc.retry_after_s
                raise
            try:
                yield
            except exceptions.EndpointFull:
                use.outcome = _grants.GrantOutcome.FULL
                raise

    def _left_s(self, until_s):
        return max(0.0, until_s - self._now())

    async def _send(self, context, attempt):
        gateway = self._gateway
        server = attempt.server
        balancer = gateway.balancer
        balancer.begin(server)
        failed = None
        try:
            request = self._send_policy.build_request(context, server)
            _logs.detail(
                "sent",
                id=context.meta.request_id,
                server=server.name,
                after_s=round(self._now() - context.received_s, 3),
                sends=context.sends,
                closed=gateway.states.describe_closed(context.service),
            )
            with context.sending_to(server):
                response = await self._fetch(context, attempt, request)
                failed = response.status >= 500
                if not context.route.repeatable:
                    _upstream.check_no_false_promise(response.status)
                return response
        except exceptions.EndpointUnreachable:
            self._send_policy.refund(context, attempt.paid)
            if await gateway.reach.find(server) in _reach.PAUSING:
                balancer.unreachable(server)
                failed = True
            raise
        except exceptions.TooManyConnections:
            self._send_policy.refund(context, attempt.paid)
            raise
        except _BLAMELESS_ERRORS:
            raise
        except exceptions.ColtsfootsailError as exc:
            failed = True
            self._send_policy.check_for_crash(context, server, exc)
            raise
        except Exception as exc:
            raise self._send_policy.unexpected(context, server, exc) from exc
        finally:
            with self._send_policy.contained(context):
                balancer.end(server, failed)

    async def _fetch(self, context, attempt, request):
        """Send a request until it is answered or moves to another server.

        :raises EndpointSilent: if it moves, or its time is up.
        """
        may_move = (
            context.route.repeatable and context.sends < context.route.attempts
        )
        fetch = functools.partial(
            self._gateway.upstream.fetch,
            attempt.server,
            request,
            self._send_policy.remaining_s(context),
            context.account,
        )
        if not may_move:
            return await fetch()
        with attempt.scope:
            return await _tasks.run_with_background(
                self._move_when_silent, fetch, context, attempt
            )
        raise exceptions.EndpointSilent("moved to another server")
