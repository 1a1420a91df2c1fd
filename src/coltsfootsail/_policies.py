"""Policies for the policy bench.

Besides the project's policy there are baselines to compare it with, and
bounds: policies that know what a real node cannot know.
"""

import bisect
import collections
import itertools
import math
import random

from coltsfootsail import _placement
from coltsfootsail import _policy
from coltsfootsail import _popularity
from coltsfootsail import _replay
from coltsfootsail import _scheduler

BASELINES = ("random", "round_robin", "least_loaded_lru", "plain_hash")
BOUNDS = ("known_popularity", "clairvoyant")


def _ignore_arrival(arrival):
    return None


def _zero_value(adapter, now_s):
    return 0.0


_LRU_RULES = _scheduler.Rules(
    value=_zero_value,
    gather=False,
    protect=False,
    reserve=0,
    protected_slot_share=0.0,
)


def _make_baseline(name, choose_engine):
    return _replay.Policy(
        name, choose_engine, _LRU_RULES, lambda plan: 0, _ignore_arrival
    )


def _make_random(deployment, trace, seed):
    rng = random.Random(f"random/{seed}")

    def choose_engine(replay, arrival):
        return rng.randrange(len(replay.engines))

    return _make_baseline("random", choose_engine)


def _make_round_robin(deployment, trace, seed):
    turns = itertools.count()

    def choose_engine(replay, arrival):
        return next(turns) % len(replay.engines)

    return _make_baseline("round_robin", choose_engine)


def _make_least_loaded(deployment, trace, seed):
    def choose_engine(replay, arrival):
        return min(
            range(len(replay.engines)),
            key=lambda number: replay.engines[number].scheduler.load,
        )

    return _make_baseline("least_loaded_lru", choose_engine)


def _make_plain_hash(deployment, trace, seed):
    names = tuple(str(number) for number in range(deployment.engines))

    def choose_engine(replay, arrival):
        return int(_placement.rendezvous_ranking(arrival.adapter, names, 1)[0])

    return _make_baseline("plain_hash", choose_engine)


def _candidate_lookup(replay, adapter):
    """Make the function that describes engines to placement.

    The description has what a node learns from residency messages.

    :returns: ``(engine name) -> Candidate``.
    """

    def look(name):
        scheduler = replay.engines[int(name)].scheduler
        slot = scheduler.resident.get(adapter)
        if slot is not None:
            residence = _policy.RESIDENCE_BY_SLOT_STATE[slot.state]
        elif scheduler.waiting_for(adapter):
            residence = _placement.Residence.LOADING
        elif len(scheduler.resident) < scheduler.slots:
            residence = _placement.Residence.FREE_SLOT
        else:
            residence = _placement.Residence.EVICTION
        return _placement.Candidate(name, residence, scheduler.load)

    return look


def _make_placement_policy(name, deployment, value, on_arrival):
    """Make a policy with the project's placement and rules.

    :param value: ``(adapter, now_s) -> float``, value of keeping it loaded.
    """
    names = tuple(str(number) for number in range(deployment.engines))

    def choose_engine(replay, arrival):
        holders = [
            str(number)
            for number in replay.engines_by_adapter[arrival.adapter]
        ]
        look = _candidate_lookup(replay, arrival.adapter)
        ranked = _placement.rank_endpoints(
            arrival.adapter, names, look, holders
        )
        return int(ranked[0])

    return _replay.Policy(
        name,
        choose_engine,
        _policy.make_rules(value),
        _policy.permit_rank,
        on_arrival,
    )


def _make_coltsfootsail(deployment, trace, seed):
    popularity = _popularity.Popularity(_policy.HALF_LIFE_S)

    def on_arrival(arrival):
        weight = _policy.popularity_weight(arrival.protected)
        popularity.add(arrival.adapter, arrival.at_s, weight)

    return _make_placement_policy(
        "coltsfootsail", deployment, popularity.rate, on_arrival
    )


def _make_initial(deployment, trace, seed):
    """Make the first version of the project's policy.

    Its popularity is a plain exponential average: a half-life of 900 s,
    and a weight of 0.02 for requests without protection.
    """
    decay = math.log(2) / 900.0
    counts = {}

    def value(adapter, now_s):
        count, since_s = counts.get(adapter, (0.0, now_s))
        return count * math.exp(-decay * (now_s - since_s)) * decay

    def on_arrival(arrival):
        count = value(arrival.adapter, arrival.at_s) / decay
        weight = 1.0 if arrival.protected else 0.02
        counts[arrival.adapter] = (count + weight, arrival.at_s)

    return _make_placement_policy("initial", deployment, value, on_arrival)


def _make_known_popularity(deployment, trace, seed):
    """Make the project's policy with the true request rates."""
    protected = {
        arrival.adapter for arrival in trace.arrivals if arrival.protected
    }

    def value(adapter, now_s):
        weight = _policy.popularity_weight(adapter in protected)
        return weight * trace.rate(adapter, now_s)

    return _make_placement_policy(
        "known_popularity", deployment, value, _ignore_arrival
    )


def _make_clairvoyant(deployment, trace, seed):
    """Make a policy that keeps the adapters that are needed soonest.

    It knows the times of all protected requests of the trace.
    """
    arrival_times = collections.defaultdict(list)
    for arrival in trace.arrivals:
        if arrival.protected:
            arrival_times[arrival.adapter].append(arrival.at_s)

    def value(adapter, now_s):
        times = arrival_times.get(adapter, ())
        position = bisect.bisect_right(times, now_s)
        if position == len(times):
            return 0.0
        return 1.0 / (0.001 + times[position] - now_s)

    return _make_placement_policy(
        "clairvoyant", deployment, value, _ignore_arrival
    )


POLICY_FACTORIES = {
    "coltsfootsail": _make_coltsfootsail,
    "initial": _make_initial,
    "random": _make_random,
    "round_robin": _make_round_robin,
    "least_loaded_lru": _make_least_loaded,
    "plain_hash": _make_plain_hash,
    "known_popularity": _make_known_popularity,
    "clairvoyant": _make_clairvoyant,
}
