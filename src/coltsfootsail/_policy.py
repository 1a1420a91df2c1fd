"""Parameters of the scheduling policy, shared by nodes and policy bench."""

from coltsfootsail import _permits
from coltsfootsail import _placement
from coltsfootsail import _scheduler

BATCH_REQUEST_WEIGHT = 0.02
HALF_LIFE_S = 900.0

RESIDENCE_BY_SLOT_STATE = {
    _scheduler.SlotState.READY: _placement.Residence.LOADED,
    _scheduler.SlotState.LOADING: _placement.Residence.LOADING,
    _scheduler.SlotState.EVICTING: _placement.Residence.EVICTION,
    _scheduler.SlotState.UNSURE: _placement.Residence.EVICTION,
}


def make_rules(value, batch_age_s=600.0):
    """Build the scheduler's rules.

    :param value: ``(adapter, now_s) -> float``, value of keeping an adapter
        resident.
    :param batch_age_s: wait after which a batch request takes precedence.
    :returns: ``Rules``.
    """
    return _scheduler.Rules(value=value, batch_age_s=batch_age_s)


def popularity_weight(protected):
    """Get the weight of a request in an adapter's request rate.

    One load serves many queued batch requests, so each counts less.
    """
    return 1.0 if protected else BATCH_REQUEST_WEIGHT


def permit_rank(plan):
    """Get the rank of a load in the permit queue; lower goes first."""
    if plan.protected:
        return plan.rank
    return _permits.BATCH_RANK + plan.rank
