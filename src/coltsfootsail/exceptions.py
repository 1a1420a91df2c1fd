"""All errors that coltsfootsail reports, with a common base class.

Each class has a stable ``code``, an HTTP ``status`` and the ``outcome`` of
the request that it ended.  ``refusals()`` lists them all; the codes label
the refusal counters, and the list in docs/OPERATIONS.md is made from it.
The docstring of a class is the default message of its errors.
"""

import enum


class Outcome(enum.StrEnum):
    """What is known about whether a request was run."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ColtsfootsailError(Exception):
    """Root of all errors.

    :param detail: a sentence for the reader, without secrets.
    :param outcome: overrides the outcome of the class.
    :param retry_after_s: when the caller may try again, in seconds.
    """

    code = "internal_error"
    status = 500
    outcome = Outcome.UNKNOWN

    def __init__(self, detail="", *, outcome=None, retry_after_s=None):
        super().__init__(detail or self.code)
        self.detail = detail or (self.__doc__ or self.code).strip()
        self.retry_after_s = retry_after_s
        if outcome is not None:
            self.outcome = outcome


class UnexpectedError(ColtsfootsailError):
    """An error that the code does not expect ended the request."""

    code = "unexpected_error"


class Refusal(ColtsfootsailError):
    """A request was refused before anything ran."""

    code = "refused"
    status = 503
    outcome = Outcome.NOT_RUN


class BadRequest(Refusal):
    """The request is not well formed."""

    code = "bad_request"
    status = 400


class BadHttp(BadRequest):
    """The bytes received are not valid HTTP/1.1."""

    code = "bad_http"


class BadJson(BadRequest):
    """The body is not a JSON object."""

    code = "bad_json"


class BadField(BadRequest):
    """A field of the request is missing or of the wrong type."""

    code = "bad_field"


class BadDeadline(BadRequest):
    """The deadline header is not a positive number of seconds."""

    code = "bad_deadline"


class HeaderTooLarge(Refusal):
    """The request header exceeds the configured size."""

    code = "header_too_large"
    status = 431


class BodyTooLarge(Refusal):
    """The request body exceeds the configured size."""

    code = "body_too_large"
    status = 413


class RequestTimeout(Refusal):
    """The caller did not send its request in time."""

    code = "request_timeout"
    status = 408


class ReadFailed(Refusal):
    """An error that the code does not expect ended the request's reading."""

    code = "read_failed"


class NotFound(Refusal):
    """No such path."""

    code = "not_found"
    status = 404


class MethodNotAllowed(Refusal):
    """The path does not accept this method."""

    code = "method_not_allowed"
    status = 405


class Unauthorized(Refusal):
    """The token is missing, unknown or lacks the needed right."""

    code = "unauthorized"
    status = 401


class UnknownKey(Refusal):
    """No workspace has this key."""

    code = "unknown_key"
    status = 401


class MissingKey(UnknownKey):
    """The route needs a key."""

    code = "missing_key"


class ConfigurationUnproven(Refusal):
    """The key can't be checked: the configuration may be out of date."""

    code = "configuration_unproven"


class UnknownAdapter(Refusal):
    """No adapter or routing rule has this name."""

    code = "unknown_adapter"
    status = 404


class UnknownVersion(Refusal):
    """The adapter has no such version."""

    code = "unknown_version"
    status = 404


class TooManyConnections(Refusal):
    """The node has reached its limit of open connections."""

    code = "too_many_connections"


class TooManyRequests(Refusal):
    """The node or team has reached its limit of concurrent requests."""

    code = "too_many_requests"
    status = 429


class MemoryFull(Refusal):
    """The node holds as much for callers and servers as it may."""

    code = "memory_full"


class OverQuota(Refusal):
    """The workspace has used what its quota allows at this time."""

    code = "over_quota"
    status = 429


class QueueFull(Refusal):
    """The queue for the endpoint is full."""

    code = "queue_full"
    status = 429


class DeadlineExceeded(Refusal):
    """The deadline passed before the request could start."""

    code = "deadline_exceeded"
    status = 504


class Draining(Refusal):
    """The node is stopping and takes no new requests."""

    code = "draining"


class NoEndpoint(Refusal):
    """No endpoint can serve this request now."""

    code = "no_endpoint"


class NoOwner(Refusal):
    """No reachable node owns an endpoint that can serve this request."""

    code = "no_owner"


class NotOwner(Refusal):
    """This node does not own the endpoint it was asked to use."""

    code = "not_owner"


class LeaseLapsed(Refusal):
    """This node can't prove that its lease is valid."""

    code = "lease_lapsed"


class LoadFailed(Refusal):
    """The adapter could not be loaded."""

    code = "load_failed"


class Poisoned(Refusal):
    """Requests with this content crash endpoints."""

    code = "poisoned"
    status = 422


class PoisonedPart(Refusal):
    """Requests with a part of this prompt crash endpoints."""

    code = "poisoned_part"


class UnknownStream(Refusal):
    """It is not known at which software version the stream began."""

    code = "unknown_stream"


class RetryBudgetSpent(Refusal):
    """The attempt did not run and the node's retry budget is spent."""

    code = "retry_budget_spent"


class EndpointUnreachable(Refusal):
    """The endpoint could not be reached."""

    code = "endpoint_unreachable"
    status = 502


class EndpointRefused(Refusal):
    """The endpoint refused the request before running it."""

    code = "endpoint_refused"
    status = 502


class EndpointLeaving(Refusal):
    """The endpoint began to leave while the request waited for it."""

    code = "endpoint_leaving"


class EndpointBusy(Refusal):
    """The endpoint asked this node to send it nothing for a while."""

    code = "endpoint_busy"


class EndpointNotRun(Refusal):
    """The endpoint stated that it did not run the request."""

    code = "endpoint_not_run"


class EndpointFull(EndpointNotRun):
    """The endpoint had no room for the request."""

    code = "endpoint_full"


class TurnedAway(Refusal):
    """The owner of an engine turned the request away.

    :param reason: the owner's reason.
    """

    code = "turned_away"

    def __init__(self, reason="", retry_after_s=None):
        super().__init__(reason, retry_after_s=retry_after_s)
        self.reason = reason


class OwnerSilent(Refusal):
    """The owner of an engine can't be reached."""

    code = "owner_silent"


class NoConfiguration(Refusal):
    """No configuration is in force on this node yet."""

    code = "no_configuration"


class StaleConfiguration(Refusal):
    """This node is cut off and may have missed a configuration."""

    code = "stale_configuration"


class KeyRequired(Refusal):
    """A non-idempotent call needs an Idempotency-Key header."""

    code = "key_required"
    status = 400


class KeyExpired(Refusal):
    """The idempotency key is older than the ledger's retention."""

    code = "key_expired"
    status = 409


class KeyReused(Refusal):
    """The idempotency key was used before with other content."""

    code = "key_reused"
    status = 422


class KeyInProgress(ColtsfootsailError):
    """A request with this idempotency key is running."""

    code = "key_in_progress"
    status = 409
    outcome = Outcome.UNKNOWN


class LedgerUnavailable(Refusal):
    """The ledger can't be written, so nothing was run."""

    code = "ledger_unavailable"


class LedgerFull(Refusal):
    """The ledger bucket of this key is full."""

    code = "ledger_full"


class OutcomeUnknown(ColtsfootsailError):
    """The request was sent; whether it ran is not known."""

    code = "outcome_unknown"
    status = 502
    outcome = Outcome.UNKNOWN


class AnswerLost(ColtsfootsailError):
    """The request ran, but its answer can't be given again."""

    code = "answer_lost"
    status = 409
    outcome = Outcome.RAN


class AnswerTruncated(ColtsfootsailError):
    """The answer broke off before its end."""

    code = "answer_truncated"
    status = 502
    outcome = Outcome.UNKNOWN


class AnswerMismatch(ColtsfootsailError):
    """The endpoint answered for another request, adapter or version."""

    code = "answer_mismatch"
    status = 502
    outcome = Outcome.UNKNOWN


class EndpointSilent(ColtsfootsailError):
    """The endpoint sent nothing for longer than allowed."""

    code = "endpoint_silent"
    status = 504
    outcome = Outcome.UNKNOWN


class OrderUnsure(ColtsfootsailError):
    """An order to an engine may have taken effect, or may yet."""

    code = "order_unsure"


class OrderRefused(ColtsfootsailError):
    """An engine refused an order, which will not take effect."""

    code = "order_refused"
    outcome = Outcome.NOT_RUN


class CallerGone(ColtsfootsailError):
    """The caller closed its connection before the answer was whole."""

    code = "caller_gone"
    status = 502


class SettingsError(ColtsfootsailError):
    """The settings file has mistakes.

    :param problems: one ``Problem`` per mistake.
    """

    code = "bad_settings"
    outcome = Outcome.NOT_RUN

    def __init__(self, problems):
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


class DocumentError(SettingsError):
    """The configuration document has mistakes."""

    code = "bad_document"
    status = 422


class EditConflict(ColtsfootsailError):
    """Another edit changed the same entry first."""

    code = "edit_conflict"
    status = 409
    outcome = Outcome.NOT_RUN


class KvError(ColtsfootsailError):
    """The KV service failed; ``outcome`` says whether a write applied."""

    code = "kv_unavailable"
    status = 503
    outcome = Outcome.UNKNOWN


class KvHistoryGone(KvError):
    """The store no longer has the changes that a watch asked for."""

    code = "kv_history_gone"


class KvEraChanged(KvError):
    """The store came back from an older copy while a call was answered."""

    code = "kv_era_changed"


class WireError(ColtsfootsailError):
    """A peer sent something that is not a known message."""

    code = "bad_peer_message"
    outcome = Outcome.NOT_RUN


class ClientError(ColtsfootsailError):
    """A server answered a client call with an error."""

    code = "server_error"


def refusals():
    """List every error class by code.

    :returns: dict of code to class, sorted by code.
    """
    classes = {}
    pending = [ColtsfootsailError]
    while pending:
        error_class = pending.pop()
        classes[error_class.code] = error_class
        pending.extend(error_class.__subclasses__())
    return dict(sorted(classes.items()))
