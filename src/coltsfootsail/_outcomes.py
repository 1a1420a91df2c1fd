"""What is true of a request when its exchange with an endpoint fails.

The table gives for each phase and each failure the error to report and
whether another attempt may follow.
"""

import dataclasses
import enum

import h11
import trio

from coltsfootsail import _http
from coltsfootsail import exceptions

Phase = _http.Phase


class Failure(enum.Enum):
    """How an exchange failed."""

    BROKEN = "broken"
    SILENT = "silent"
    REFUSED = "refused"
    MISMATCH = "mismatch"


class Retry(enum.Enum):
    """Which requests may be tried again after a failure."""

    ANY = "any"
    IDEMPOTENT = "idempotent"
    NONE = "none"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The error to report and who may try again."""

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
UNLISTED = Verdict(exceptions.OutcomeUnknown, Retry.NONE)

RETRIABLE_CODES = frozenset(
    kind.code
    for kind in (
        exceptions.EndpointUnreachable,
        exceptions.EndpointRefused,
        exceptions.NotOwner,
        exceptions.NoOwner,
        exceptions.LeaseLapsed,
        exceptions.LoadFailed,
    )
)


def verdict(phase, failure):
    """Look up the table.

    :returns: a ``Verdict``.
    """
    return VERDICTS.get((phase, failure), UNLISTED)


def classify(exc):
    """Tell which failure an exception of an exchange stands for.

    :returns: a ``Failure``.
    """
    if isinstance(exc, trio.TooSlowError | TimeoutError):
        return Failure.SILENT
    if isinstance(exc, exceptions.AnswerMismatch):
        return Failure.MISMATCH
    return Failure.BROKEN


def may_retry(exc, idempotent):
    """Say whether a failed attempt may be followed by another.

    Only asked while nothing of the answer has reached the caller.

    :param exc: the typed error of the attempt.
    :param idempotent: whether the request may run more than once.
    """
    if exc.outcome is exceptions.Outcome.NOT_RUN:
        return exc.code in RETRIABLE_CODES
    return idempotent and exc.code in _AFTER_SENT


_AFTER_SENT = frozenset(
    found.error.code
    for found in VERDICTS.values()
    if found.retry is Retry.IDEMPOTENT
)

EXCHANGE_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    h11.ProtocolError,
)
