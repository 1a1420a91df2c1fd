"""Whether a caller's key lets its request run.

The decision needs the configuration in force and the age of the proof that
it is in force.  It is made when a request arrives: what a caller sent later
than a revocation allows arrives later too, so that a request which was
accepted need not be checked again.  The code does no I/O and reads no clock.
"""

import dataclasses
import enum
import math

from coltsfootsail import _fleet
from coltsfootsail import exceptions

# Covers the drift of two hosts' clocks within the time of a revocation.
MARGIN_S = 0.3
# A proof is renewed within this share of the time of a revocation.
RENEWAL_SHARE = 0.6
# Without that time, the age up to which a watch of the store is recent.
RECENT_S = 6.0
STALE_RETRY_S = 0.5  # other nodes, or this one a little later, have a proof


class Reason(enum.StrEnum):
    """Why a request was accepted or refused."""

    OPEN = "open"
    ACCEPTED = "accepted"
    MISSING_KEY = "missing_key"
    UNKNOWN_KEY = "unknown_key"
    STALE = "stale"


@dataclasses.dataclass(frozen=True, slots=True)
class ProofLimits:
    """How old the proof of the configuration may be.

    :param accept_s: for a request to be accepted by its key.
    :param refuse_s: for a key to be called unknown, and the age at which the
        proof is due to be renewed.
    """

    accept_s: float = math.inf
    refuse_s: float = RECENT_S


def proof_limits(revocation_s):
    """Get the limits for a time of revocations.

    :param revocation_s: time after which no request with a revoked key may
        run, 0 for no such time.
    :returns: a ``ProofLimits``.
    """
    if not revocation_s:
        return ProofLimits()
    return ProofLimits(
        max(0.0, revocation_s - MARGIN_S), RENEWAL_SHARE * revocation_s
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether a request may run.

    :param workspace: the ``Workspace`` that it is made for, None for none.
    """

    reason: Reason
    workspace: _fleet.Workspace | None = None

    def check(self):
        """Raise the error of a request that may not run.

        :raises MissingKey: if it has no key.
        :raises UnknownKey: if its key is not known.
        :raises ConfigurationUnproven: if the configuration may be stale.
        """
        if self.reason in _ERRORS:
            raise _ERRORS[self.reason]()


_ERRORS = {
    Reason.MISSING_KEY: exceptions.MissingKey,
    Reason.UNKNOWN_KEY: exceptions.UnknownKey,
    Reason.STALE: lambda: exceptions.ConfigurationUnproven(
        retry_after_s=STALE_RETRY_S
    ),
}


def decide(is_public, key, keys, age_s, limits):
    """Decide whether a request may run.

    :param is_public: whether its route needs no key.
    :param key: the caller's key, empty for none.
    :param keys: the ``KeyTable`` of the configuration in force, None if
        requests need no keys.
    :param age_s: age of the proof of that configuration, infinite for none.
    :param limits: a ``ProofLimits``.
    :returns: a ``Decision``.
    """
    if keys is None:
        return Decision(Reason.OPEN)
    workspace = keys.find(key)
    is_proven = age_s < limits.accept_s
    if workspace is not None and is_proven:
        return Decision(Reason.ACCEPTED, workspace)
    if is_public:
        return Decision(Reason.OPEN)
    if not key:
        return Decision(Reason.MISSING_KEY)
    if workspace is None and age_s <= limits.refuse_s:
        return Decision(Reason.UNKNOWN_KEY)
    return Decision(Reason.STALE)
