"""One request of a caller on its way, and the rules for sending it."""

import dataclasses

from coltsfootsail import _fleet
from coltsfootsail import _http
from coltsfootsail import _metrics
from coltsfootsail import _upstream
from coltsfootsail import exceptions
from coltsfootsail.platform import messages

SENDS_MAX = 5
ANSWER_MARGIN_S = 0.05  # the final answer leaves so long before the limit
RETRY_AFTER_S = 0.3
NOT_RUN = exceptions.Outcome.NOT_RUN
_BROKEN_OFF_ERRORS = (
    exceptions.OutcomeUnknown,
    exceptions.AnswerTruncated,
    exceptions.EndpointSilent,
)


@dataclasses.dataclass(slots=True)
class RequestContext:
    """One request on its way.

    :param until_s: when its final answer is due.
    :param sends: how often it was sent to a server.
    :param begun: whether a part of its stream has reached the caller.
    :param patient_until_s: until then owners that start are waited for.
    :param avoided: engines whose owners did not grant a start.
    :param broken: engines that broke the request off.
    """

    req: _http.HttpRequest
    meta: messages.RequestMetadata
    route: _fleet.Route
    service: str
    received_s: float
    until_s: float
    owner_wait_until_s: float
    fingerprint: str
    sends: int = 0
    begun: bool = False
    tried: set = dataclasses.field(default_factory=set)
    may_have_run: set = dataclasses.field(default_factory=set)
    avoided: set = dataclasses.field(default_factory=set)
    broken_off: set = dataclasses.field(default_factory=set)

    @property
    def where(self):
        """Get the ``Where`` of measurements."""
        return _metrics.Where(self.route.name, self.service)

    def may_retry(self, exc):
        """Say whether a failure allows another attempt."""
        return exc.outcome is NOT_RUN or self.route.repeatable


class SendPolicy:
    """Decides whether a request may be sent, and makes what is sent.

    :param gateway: the ``Gateway`` whose parts it uses.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._now = gateway.now
        self._count = gateway.metrics.count

    def remaining_s(self, context):
        """Tell how long a request may still run.

        :raises DeadlineExceeded: if its time is up.
        """
        remaining_s = context.until_s - self._now() - ANSWER_MARGIN_S
        if remaining_s <= 0:
            raise exceptions.DeadlineExceeded(retry_after_s=RETRY_AFTER_S)
        return remaining_s

    def build_request(
        self, context, server, priority=None, version=0, last_event_id=None
    ):
        """Make what goes to a server.

        :param last: id of the last event passed on, to resume after.
        """
        remaining_s = min(
            context.until_s - self._now(), context.route.timeout_s
        )
        headers = messages.forward_headers(
            context.req.headers,
            server,
            remaining_s,
            priority,
            version,
            last_event_id,
        )
        return _upstream.UpstreamRequest(
            context.req.method,
            context.req.target,
            tuple(headers),
            context.req.body,
            context.meta.request_id,
        )

    def authorize_send(self, context, server):
        """Allow another send, or refuse it.

        :raises RetryBudgetSpent: if it would exceed a bound.
        :raises EndpointLeaving: if the server began to leave meanwhile.
        """
        if self._gateway.view.is_unavailable(server.name):
            raise exceptions.EndpointLeaving()
        new_server = server.name not in context.may_have_run
        full = len(context.may_have_run) >= context.route.attempts
        if context.may_have_run and new_server and full:
            raise exceptions.RetryBudgetSpent("attempts of the route")
        if context.sends >= SENDS_MAX:
            raise exceptions.RetryBudgetSpent("sends of one request")
        if context.sends and not self._gateway.retry_budget.spend(
            context.service
        ):
            self._count("retries_denied", "budget")
            raise exceptions.RetryBudgetSpent()
        context.sends += 1
        context.tried.add(server.name)

    def check_for_crash(self, context, server, exc):
        """Look for a crash where a server broke a request off."""
        if isinstance(exc, _BROKEN_OFF_ERRORS):
            self._gateway.check_for_crash(server, context.fingerprint)


def correct_outcome(exc, context):
    """Never say "not run" of a request that may have run."""
    if exc.outcome is NOT_RUN and context.may_have_run:
        return exceptions.EndpointSilent(exc.detail)
    return exc
