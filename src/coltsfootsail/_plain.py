"""Forwarding of requests to plain services.

A caller gets a complete answer or an error, never a part of an answer.
A server that names a limit is sent only what its owner grants.
"""

import contextlib

import trio

from coltsfootsail import _grants
from coltsfootsail import _logs
from coltsfootsail import _reach
from coltsfootsail import _request_context
from coltsfootsail import _upstream
from coltsfootsail import exceptions

# Share of the remaining time for an attempt that another may follow.
FIRST_ATTEMPT_SHARE = 0.5
# For a grant at a limited server while others may take the request.
GRANT_AT_ONCE_S = 0.05
_FINAL_ERRORS = (
    exceptions.NoEndpoint,
    exceptions.Poisoned,
    exceptions.PoisonedPart,
)


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
        self._gateway.retry_budget.request(context.service)
        error = context.no_endpoint()
        response = None
        while True:
            try:
                latest = await self._attempt(context)
            except exceptions.RetryBudgetSpent:
                break
            except exceptions.DeadlineExceeded as exc:
                error = exc
                break
            except exceptions.ColtsfootsailError as exc:
                error = exc
                self._count("retries", exc.code, labels=context.labels)
                if not context.may_retry(exc):
                    break
                if isinstance(exc, _FINAL_ERRORS):
                    break
                await self._gateway.crashes.wait_until_checked(context)
                continue
            response = latest
            if not context.route.repeatable or latest.status < 500:
                break
        if response is not None:
            return response
        raise _request_context.correct_outcome(error, context)

    async def _attempt(self, context):
        gateway = self._gateway
        servers = [
            server
            for server in gateway.states.available_servers(context.service)
            if not gateway.states.busy_s(server.name)
            and gateway.reach.is_usable(server.name)
        ]
        candidates = [s for s in servers if s.name not in context.limited]
        server = gateway.balancer.choose(candidates, context.tried)
        if server is not None:
            until_s = self._now() + GRANT_AT_ONCE_S
            async with self._granted(context, server, until_s):
                return await self._send(context, server)
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
        async with self._granted(context, server, context.until_s):
            return await self._send(context, server)

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

    async def _send(self, context, server):
        gateway = self._gateway
        remaining_s = self._send_policy.remaining_s(context)
        if (
            context.route.repeatable
            and context.sends + 1 < context.route.attempts
        ):
            remaining_s = remaining_s * FIRST_ATTEMPT_SHARE
        self._send_policy.authorize_send(context, server)
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
                response = await gateway.upstream.fetch(
                    server, request, remaining_s, context.account
                )
                failed = response.status >= 500
                if not context.route.repeatable:
                    _upstream.check_no_false_promise(response.status)
                return response
        except exceptions.EndpointUnreachable:
            if await gateway.reach.find(server) in _reach.PAUSING:
                balancer.unreachable(server)
                failed = True
            raise
        except exceptions.EndpointNotRun:
            raise
        except exceptions.ColtsfootsailError as exc:
            failed = True
            self._send_policy.check_for_crash(context, server, exc)
            raise
        finally:
            balancer.end(server, failed)
