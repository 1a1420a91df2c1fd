"""The state of a caller's request, and the rules for sending it on."""

import contextlib
import dataclasses

from coltsfootsail import _admission
from coltsfootsail import _fleet
from coltsfootsail import _grants
from coltsfootsail import _http
from coltsfootsail import _logs
from coltsfootsail import _metrics
from coltsfootsail import _server_states
from coltsfootsail import _tasks
from coltsfootsail import _upstream
from coltsfootsail import exceptions
from coltsfootsail.platform import messages

SENDS_MAX = 5  # of one request, to all servers together
LOANS_MAX = 2  # of retries of other nodes for one request
ANSWER_MARGIN_S = 0.05  # the final answer leaves this long before it is due
RETRY_AFTER_S = 0.3  # for errors without a retry time of their own
NOT_RUN = exceptions.Outcome.NOT_RUN
_INTERRUPTION_ERRORS = (
    exceptions.OutcomeUnknown,
    exceptions.AnswerTruncated,
    exceptions.EndpointSilent,
)

# Failures of an attempt after which another may succeed a little later.
_PAUSES = (
    exceptions.NoEndpoint,
    exceptions.TurnedAway,
    exceptions.OwnerSilent,
    exceptions.EndpointLeaving,
    exceptions.EndpointBusy,
)

_NO_ROOM_REASONS = frozenset({_admission.LIMIT_REASON, _grants.SERVER_BUSY})


@dataclasses.dataclass(slots=True)
class RequestContext:
    """The state of one request while the gateway handles it.

    :param until_s: when its final answer is due.
    :param owner_wait_until_s: until then the request waits for engines
        without a ready owner.
    :param fingerprint: identifies its content, to recognise requests that
        crash servers.
    :param sends: how often it was sent to a server.
    :param arrivals: how many of these sends may have reached one.
    :param begun: whether a part of its stream has reached the caller.
    :param moved: whether an engine that runs an older version of its
        adapter has been left for another.
    :param tried: names of the servers that it was sent to.
    :param may_have_run: names of the servers that may have run it.
    :param avoided: names of the engines to leave out of the next choice.
    :param interrupted_by: names of the engines that failed while they may
        have run it.
    :param software: the only software version of servers that may go on
        with its stream, None before its first event.
    :param origin_noted: whether this answer has brought an event.
    :param limited: the wait in seconds at each server that has no room for
        it, because of a limit or because it is busy for all nodes.
    :param account: the ``_held_memory.Account`` of its answers.
    :param crash_checked: set when it is known whether the server that
        interrupted it last has crashed, None if none did.
    :param waited_for_limit: whether it has waited for such a server.
    :param workspace: the ``Workspace`` that it is made for, None for none.
    :param reservation: the ``_retries.Reservation`` for its next send, None
        for none.
    :param is_retry_lent: whether another node has paid for its next send.
    :param loans: how many retries other nodes have lent it.
    :param is_moving: whether its last run was given up for another one, which
        has not brought anything yet.
    :param target: the ``_stream_moves.Target`` of its next send, None if that
        has to be chosen.
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
    arrivals: int = 0
    begun: bool = False
    moved: bool = False
    tried: set = dataclasses.field(default_factory=set)
    may_have_run: set = dataclasses.field(default_factory=set)
    avoided: set = dataclasses.field(default_factory=set)
    interrupted_by: set = dataclasses.field(default_factory=set)
    software: str | None = None
    origin_noted: bool = False
    limited: dict = dataclasses.field(default_factory=dict)
    account: object = None
    waited_for_limit: bool = False
    crash_checked: object = None
    workspace: _fleet.Workspace | None = None
    reservation: object = None
    is_retry_lent: bool = False
    loans: int = 0
    is_moving: bool = False
    target: object = None

    @property
    def priority(self):
        """Get its priority, from 0, the most urgent."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority

    @property
    def workspace_name(self):
        """Get the name of its workspace, empty for none."""
        return "" if self.workspace is None else self.workspace.name

    @property
    def outcome(self):
        """Get what is known of whether a server has run it."""
        if self.may_have_run:
            return exceptions.Outcome.UNKNOWN
        return NOT_RUN

    @property
    def labels(self):
        """Get the ``Labels`` of the request's metrics."""
        return _metrics.Labels(self.route.name, self.service)

    @contextlib.contextmanager
    def sending_to(self, server):
        """Note that a server may run the request during a send.

        The note is taken back if the send is known not to have run, unless
        an earlier send to the same server may have.
        """
        is_new = server.name not in self.may_have_run
        self.may_have_run.add(server.name)
        try:
            yield
        except exceptions.ColtsfootsailError as exc:
            if is_new and exc.outcome is NOT_RUN:
                self.may_have_run.discard(server.name)
            raise

    def note_turned_away(self, server, exc):
        """Note that a server's owner did not grant this request."""
        if getattr(exc, "reason", "") in _NO_ROOM_REASONS:
            self.limited[server.name] = exc.retry_after_s

    def no_endpoint(self, reason="", busy_s=None):
        """Make the error that no server is left for this request.

        If limits or busy servers are why, it tells when the first of them
        has room.

        :param busy_s: time until the first busy server takes requests, None
            if none is busy.
        """
        limit_s = min(self.limited.values(), default=None)
        if busy_s is not None and (limit_s is None or busy_s < limit_s):
            return exceptions.NoEndpoint(
                "servers busy",
                retry_after_s=_server_states.spread_return_s(busy_s),
            )
        if limit_s is not None:
            return exceptions.NoEndpoint(
                _admission.LIMIT_REASON, retry_after_s=limit_s
            )
        return exceptions.NoEndpoint(reason, retry_after_s=RETRY_AFTER_S)

    def may_run_elsewhere(self):
        """Tell whether another server may be sent it."""
        has_attempts = len(self.may_have_run) < self.route.attempts
        return has_attempts and self.sends < SENDS_MAX

    def may_go_on_later(self, exc):
        """Tell whether to wait and try again after a failure.

        A request whose run was given up for another one waits for what that
        one lacks, as long as it has time.
        """
        if isinstance(exc, exceptions.RetryBudgetSpent):
            return self.is_moving and self.may_run_elsewhere()
        return self.is_moving and isinstance(exc, _PAUSES)

    def may_retry(self, exc):
        """Tell whether another attempt is safe after a failure."""
        return exc.outcome is NOT_RUN or self.route.repeatable


class SendPolicy:
    """Decides whether a request may be sent, and builds what is sent.

    :param gateway: the ``Gateway``.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._now = gateway.now
        self._count = gateway.metrics.count

    def contained(self, context):
        """Contain the errors of notes about a request."""
        return _tasks.contained(self._count, context.meta.request_id)

    def remaining_s(self, context):
        """Get the time left to a request.

        :raises DeadlineExceeded: if none is left.
        """
        remaining_s = context.until_s - self._now() - ANSWER_MARGIN_S
        if remaining_s <= 0:
            raise exceptions.DeadlineExceeded(retry_after_s=RETRY_AFTER_S)
        return remaining_s

    def build_request(
        self, context, server, priority=None, version=0, last_event_id=None
    ):
        """Build the request to a server.

        :param priority: from 0, the most urgent, to 9, or None.
        :param version: adapter version that the server must hold, 0 for
            any.
        :param last_event_id: id of the event after which a stream is
            resumed, or None.
        :returns: an ``UpstreamRequest``.
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
            self._forwarded_workspace(context),
        )
        return _upstream.UpstreamRequest(
            context.req.method,
            context.req.target,
            tuple(headers),
            context.req.body,
            context.meta.request_id,
        )

    def _forwarded_workspace(self, context):
        if self._gateway.view.deployment.workspaces is None:
            return None
        return context.workspace_name

    def authorize_send(self, context, server):
        """Count a send to a server, or refuse it.

        :returns: what was paid for it, for ``refund``.
        :raises RetryBudgetSpent: if it would exceed a limit on retries.
        :raises Poisoned: if it would crash the server.
        :raises PoisonedPart: if a part of its prompt would.
        :raises EndpointLeaving: if the server has started to leave since it
            was chosen.
        :raises EndpointBusy: if it has asked for a pause since then.
        """
        is_lent, context.is_retry_lent = context.is_retry_lent, False
        self._check_send(context, server)
        paid = None
        budget = self._gateway.retry_budget
        reservation, context.reservation = context.reservation, None
        if reservation is not None:
            paid = self._take_retry(context, budget.redeem, reservation)
        elif context.arrivals and not is_lent:
            paid = self._take_retry(context, budget.spend, context.service)
        context.sends += 1
        context.arrivals += 1
        context.tried.add(server.name)
        return paid

    async def borrow_retry(self, context):
        """Ask another node for a retry if a moved request lacks one.

        The request is to be sent at once then.
        """
        gateway, service = self._gateway, context.service
        if (
            not context.is_moving
            or self.holds_retry(context)
            or context.loans >= LOANS_MAX
            or gateway.retry_budget.allows(service)
        ):
            return
        context.is_retry_lent = await gateway.retry_loans.borrow(
            service, context.meta.request_id
        )
        context.loans += context.is_retry_lent

    def refund(self, context, paid):
        """Give back what was paid for a send that reached no server.

        :param paid: what ``authorize_send`` returned.
        """
        context.arrivals -= 1
        if paid is not None:
            self._gateway.retry_budget.take_back(paid)

    def check_retry(self, context, server):
        """Check that a request may be sent to another server now.

        :raises ColtsfootsailError: as ``authorize_send``.
        """
        self._check_send(context, server)
        if not self._gateway.retry_budget.allows(context.service):
            raise exceptions.RetryBudgetSpent()

    def reserve_retry(self, context, server):
        """Pay for the next send of a request, which is made later.

        :raises ColtsfootsailError: as ``authorize_send``.
        """
        self._check_send(context, server)
        context.reservation = self._take_retry(
            context, self._gateway.retry_budget.reserve, context.service
        )

    def holds_retry(self, context):
        """Tell whether the next send of a request is paid already."""
        reservation = context.reservation
        budget = self._gateway.retry_budget
        return reservation is not None and budget.holds(reservation)

    def release_retry(self, context):
        """Give back what was paid for a send that was not made."""
        reservation, context.reservation = context.reservation, None
        if reservation is not None:
            self._gateway.retry_budget.release(reservation)

    def _check_send(self, context, server):
        states = self._gateway.states
        self._gateway.crashes.check_allowed(context)
        if states.is_unavailable(server.name):
            raise exceptions.EndpointLeaving(states.state(server.name).value)
        if not states.takes_requests(server.name):
            raise exceptions.EndpointBusy(
                retry_after_s=states.busy_s(server.name)
            )
        new_server = server.name not in context.may_have_run
        exhausted = len(context.may_have_run) >= context.route.attempts
        if context.may_have_run and new_server and exhausted:
            raise exceptions.RetryBudgetSpent("attempts of the route")
        if context.sends >= SENDS_MAX:
            raise exceptions.RetryBudgetSpent("sends of one request")

    def _take_retry(self, context, take, source):
        """Take a retry from the budget of the request's service.

        :param take: ``(source)``, returns what was taken, if any.
        :returns: what was taken.
        :raises RetryBudgetSpent: if there is none left.
        """
        inputs = self._gateway.retry_budget.describe(context.service)
        taken = take(source)
        _logs.detail(
            "retry_budget",
            id=context.meta.request_id,
            service=context.service,
            allowed=bool(taken),
            **inputs,
        )
        if not taken:
            self._count("retries_denied", "budget")
            raise exceptions.RetryBudgetSpent()
        return taken

    def unexpected(self, context, server, exc):
        """Log an unexpected error of this node that has ended a send.

        The server is not blamed for it.

        :param exc: the error.
        :returns: a typed error with what is known of the request's outcome.
        """
        self._count("task_errors", "request")
        _logs.failure(
            "send_failed", exc, id=context.meta.request_id, server=server.name
        )
        return exceptions.UnexpectedError(outcome=context.outcome)

    def check_for_crash(self, context, server, exc):
        """Check whether a server that interrupted a request has crashed."""
        if isinstance(exc, _INTERRUPTION_ERRORS):
            was_silent = _upstream.was_silent(exc)
            self._gateway.crashes.interrupted(server, context, was_silent)


def correct_outcome(exc, context):
    """Replace an error that says "not run" if the request may have run."""
    if exc.outcome is NOT_RUN and context.may_have_run:
        return exceptions.EndpointSilent(exc.detail)
    return exc
