"""Outcome of a request whose exchange with an endpoint has failed.

``VERDICTS`` gives, for the phase of the exchange and the failure, the
error to report and whether another attempt may follow.
"""

import dataclasses
import enum

import h11
import trio

from coltsfootsail import _http
from coltsfootsail import exceptions

Phase = _http.Phase


class Failure(enum.Enum):
    """How an exchange failed.

    ``REFUSED``: the endpoint refused the request before running it.
    ``MISMATCH``: the answer does not belong to the request.
    """

    BROKEN = "broken"
    SILENT = "silent"
    REFUSED = "refused"
    MISMATCH = "mismatch"


class Retry(enum.Enum):
    """Which requests may be retried after a failure."""

    ANY = "any"
    IDEMPOTENT = "idempotent"
    NONE = "none"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The error to report and the requests that may be retried."""

    error: type
    retry: Retry


VERDICTS = {
    (Phase.CONNECTING, Failure.BROKEN): Verdict(
        exceptions.EndpointUnreachable, Retry.ANY
    ),
    (Phase.CONNECTING, Failure.SILENT): Verdict(
        exceptions.EndpointUnreachable, Retry.ANY
    ),
    (Phase.SENDING, Failure.BROKEN): Verdict(
        exceptions.OutcomeUnknown, Retry.IDEMPOTENT
    ),
    (Phase.SENDING, Failure.SILENT): Verdict(
        exceptions.OutcomeUnknown, Retry.IDEMPOTENT
    ),
    (Phase.SENT, Failure.BROKEN): Verdict(
        exceptions.OutcomeUnknown, Retry.IDEMPOTENT
    ),
    (Phase.SENT, Failure.SILENT): Verdict(
        exceptions.EndpointSilent, Retry.IDEMPOTENT
    ),
    (Phase.ANSWERING, Failure.BROKEN): Verdict(
        exceptions.AnswerTruncated, Retry.IDEMPOTENT
    ),
    (Phase.ANSWERING, Failure.SILENT): Verdict(
        exceptions.EndpointSilent, Retry.IDEMPOTENT
    ),
    (Phase.ANSWERING, Failure.REFUSED): Verdict(
        exceptions.EndpointRefused, Retry.ANY
    ),
    (Phase.DONE, Failure.REFUSED): Verdict(
        exceptions.EndpointRefused, Retry.ANY
    ),
    (Phase.ANSWERING, Failure.MISMATCH): Verdict(
        exceptions.AnswerMismatch, Retry.IDEMPOTENT
    ),
    (Phase.DONE, Failure.MISMATCH): Verdict(
        exceptions.AnswerMismatch, Retry.IDEMPOTENT
    ),
}
DEFAULT_VERDICT = Verdict(exceptions.OutcomeUnknown, Retry.NONE)

RETRIABLE_CODES = frozenset(
    error.code
    for error in (
        exceptions.EndpointUnreachable,
        exceptions.EndpointRefused,
        exceptions.NotOwner,
        exceptions.NoOwner,
        exceptions.LeaseLapsed,
        exceptions.LoadFailed,
    )
)


def verdict(phase, failure):
    """Get the verdict on a failure in a phase of an exchange.

    :returns: a ``Verdict``.
    """
    return VERDICTS.get((phase, failure), DEFAULT_VERDICT)


def classify(exc):
    """Classify an exception that an exchange raised.

    :returns: a ``Failure``.
    """
    if isinstance(exc, trio.TooSlowError | TimeoutError):
        return Failure.SILENT
    if isinstance(exc, exceptions.AnswerMismatch):
        return Failure.MISMATCH
    return Failure.BROKEN


def may_retry(exc, idempotent):
    """Tell whether another attempt may follow a failed one.

    This holds only while no part of an answer has reached the caller.

    :param exc: the ``ColtsfootsailError`` of the attempt.
    :param idempotent: whether the request may run more than once.
    """
    if exc.outcome is exceptions.Outcome.NOT_RUN:
        return exc.code in RETRIABLE_CODES
    return idempotent and exc.code in _CODES_RETRIED_IF_IDEMPOTENT


_CODES_RETRIED_IF_IDEMPOTENT = frozenset(
    listed_verdict.error.code
    for listed_verdict in VERDICTS.values()
    if listed_verdict.retry is Retry.IDEMPOTENT
)

EXCHANGE_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    h11.ProtocolError,
)
