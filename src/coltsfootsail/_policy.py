"""The parameters of the project's policy, for nodes and bench alike."""

from coltsfootsail import _permits
from coltsfootsail import _placement
from coltsfootsail import _scheduler

BATCH_WEIGHT = 0.02
HALF_LIFE_S = 900.0

RESIDENCE_BY_SLOT_STATE = {
    _scheduler.SlotState.READY: _placement.Residence.LOADED,
    _scheduler.SlotState.LOADING: _placement.Residence.LOADING,
    _scheduler.SlotState.EVICTING: _placement.Residence.EVICTION,
    _scheduler.SlotState.UNSURE: _placement.Residence.EVICTION,
}


def make_rules(value, batch_age_s=600.0):
    """Build the scheduler's rules.

    :param value: ``(adapter, now_s) -> float``, worth of keeping it.
    :returns: ``Rules``.
    """
    return _scheduler.Rules(value=value, batch_age_s=batch_age_s)


def popularity_weight(protected):
    """Weigh a request in an adapter's popularity.

    One load serves many gathered batch requests, so each counts less.
    """
    return 1.0 if protected else BATCH_WEIGHT


def permit_rank(plan):
    """Rank a load at the weight store; lower goes first."""
    if plan.protected:
        return plan.rank
    return _permits.BATCH_RANK + plan.rank
