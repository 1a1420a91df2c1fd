"""Requests to plain services: one answer, whole or not at all."""

from coltsfootsail import _calls
from coltsfootsail import exceptions

FIRST_SHARE = 0.5  # of the time, for an attempt that another may follow


class Plain:
    """Sends requests to plain servers.

    :param gateway: the ``Gateway`` whose parts it uses.
    :param sender: a ``Sender``.
    """

    def __init__(self, gateway, sender):
        self._gateway = gateway
        self._sender = sender
        self._count = gateway.metrics.count

    async def answer(self, call):
        """Get an answer, repeating where that is allowed.

        :returns: an ``Answer``.
        """
        failure = exceptions.NoEndpoint(retry_after_s=_calls.RETRY_AFTER_S)
        answer = None
        while True:
            try:
                found = await self._attempt(call)
            except exceptions.RetryBudgetSpent:
                break
            except exceptions.DeadlineExceeded as exc:
                failure = exc
                break
            except exceptions.ColtsfootsailError as exc:
                failure = exc
                self._count("retries", exc.code, labels=call.where)
                if not call.may_repeat(exc):
                    break
                if isinstance(exc, exceptions.NoEndpoint):
                    break
                continue
            answer = found
            if not call.route.repeatable or found.status < 500:
                break
        if answer is not None:
            return answer
        raise _calls.truth(failure, call)

    async def _attempt(self, call):
        gateway = self._gateway
        servers = gateway.view.takers(call.service)
        server = gateway.balance.choose(servers, call.tried)
        if server is None:
            why = "no connection free" if servers else "no server"
            raise exceptions.NoEndpoint(
                why, retry_after_s=_calls.RETRY_AFTER_S
            )
        left_s = self._sender.left_s(call)
        if call.route.repeatable and call.sends + 1 < call.route.attempts:
            left_s = left_s * FIRST_SHARE
        self._sender.check(call, server)
        call.ran.add(server.name)
        balance = gateway.balance
        balance.begin(server)
        failed = None
        try:
            sent = self._sender.sent(call, server)
            answer = await gateway.upstream.fetch(server, sent, left_s)
            failed = answer.status >= 500
            if answer.status in (429, 503) and not call.route.repeatable:
                raise exceptions.OutcomeUnknown(f"status {answer.status}")
            return answer
        except exceptions.EndpointUnreachable:
            call.ran.discard(server.name)
            balance.unreachable(server)
            failed = True
            raise
        except exceptions.EndpointNotRun:
            call.ran.discard(server.name)
            raise
        except exceptions.ColtsfootsailError as exc:
            failed = True
            self._sender.note_break(call, server, exc)
            raise
        finally:
            balance.end(server, failed)
