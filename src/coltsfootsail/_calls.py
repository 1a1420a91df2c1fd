"""One request of a caller on its way, and the rules for sending it."""

import dataclasses

from coltsfootsail import _fleet
from coltsfootsail import _http
from coltsfootsail import _metrics
from coltsfootsail import _upstream
from coltsfootsail import exceptions
from coltsfootsail.platform import messages

SENDS_MAX = 5
FINAL_MARGIN_S = 0.05  # the final answer leaves so long before the limit
RETRY_AFTER_S = 0.3
NOT_RUN = exceptions.Outcome.NOT_RUN
_BREAKS = (
    exceptions.OutcomeUnknown,
    exceptions.AnswerTruncated,
    exceptions.EndpointSilent,
)


@dataclasses.dataclass(slots=True)
class Call:
    """One request on its way.

    :param until_s: when its final answer is due.
    :param sends: how often it was sent to a server.
    :param begun: whether a part of its stream has reached the caller.
    :param patient_until_s: until then owners that start are waited for.
    :param avoided: engines whose owners did not grant a start.
    :param broken: engines that broke the request off.
    """

    req: _http.HttpRequest
    meta: messages.Meta
    route: _fleet.Route
    service: str
    received_s: float
    until_s: float
    patient_until_s: float
    content: str
    sends: int = 0
    begun: bool = False
    tried: set = dataclasses.field(default_factory=set)
    ran: set = dataclasses.field(default_factory=set)
    avoided: set = dataclasses.field(default_factory=set)
    broken: set = dataclasses.field(default_factory=set)

    @property
    def where(self):
        """Get the ``Labels`` of measurements."""
        return _metrics.Labels(self.route.name, self.service)

    def may_repeat(self, exc):
        """Say whether a failure allows another attempt."""
        return exc.outcome is NOT_RUN or self.route.repeatable


class Sender:
    """Decides whether a request may be sent, and makes what is sent.

    :param gateway: the ``Gateway`` whose parts it uses.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._now = gateway.now
        self._count = gateway.metrics.count

    def left_s(self, call):
        """Tell how long a request may still run.

        :raises DeadlineExceeded: if its time is up.
        """
        left_s = call.until_s - self._now() - FINAL_MARGIN_S
        if left_s <= 0:
            raise exceptions.DeadlineExceeded(retry_after_s=RETRY_AFTER_S)
        return left_s

    def sent(self, call, server, priority=None, version=0, last=None):
        """Make what goes to a server.

        :param last: id of the last event passed on, to resume after.
        """
        left_s = min(call.until_s - self._now(), call.route.timeout_s)
        headers = messages.forward_headers(
            call.req.headers, server, left_s, priority, version, last
        )
        return _upstream.Sent(
            call.req.method,
            call.req.target,
            tuple(headers),
            call.req.body,
            call.meta.request_id,
        )

    def check(self, call, server):
        """Allow another send, or refuse it.

        :raises RetryBudgetSpent: if it would exceed a bound.
        :raises EndpointLeaving: if the server began to leave meanwhile.
        """
        if self._gateway.view.leaving(server.name):
            raise exceptions.EndpointLeaving()
        new_server = server.name not in call.ran
        full = len(call.ran) >= call.route.attempts
        if call.ran and new_server and full:
            raise exceptions.RetryBudgetSpent("attempts of the route")
        if call.sends >= SENDS_MAX:
            raise exceptions.RetryBudgetSpent("sends of one request")
        if call.sends and not self._gateway.budget.spend(call.service):
            self._count("retries_denied", "budget")
            raise exceptions.RetryBudgetSpent()
        call.sends += 1
        call.tried.add(server.name)

    def note_break(self, call, server, exc):
        """Look for a crash where a server broke a request off."""
        if isinstance(exc, _BREAKS):
            self._gateway.suspect(server, call.content)


def truth(exc, call):
    """Never say "not run" of a request that may have run."""
    if exc.outcome is NOT_RUN and call.ran:
        return exceptions.EndpointSilent(exc.detail)
    return exc
