"""The project's policy, its baselines and its bounds, for the bench."""

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


def _no_note(arrival):
    return None


def _no_value(adapter, now_s):
    return 0.0


_LRU = _scheduler.Rules(
    value=_no_value,
    gather=False,
    protect=False,
    reserve=0,
    protected_slot_share=0.0,
)


def _baseline(name, place):
    return _replay.Policy(name, place, _LRU, lambda plan: 0, _no_note)


def _random(deployment, trace, seed):
    rng = random.Random(f"random/{seed}")

    def place(view, arrival):
        return rng.randrange(len(view.engines))

    return _baseline("random", place)


def _round_robin(deployment, trace, seed):
    turns = itertools.count()

    def place(view, arrival):
        return next(turns) % len(view.engines)

    return _baseline("round_robin", place)


def _least_loaded(deployment, trace, seed):
    def place(view, arrival):
        return min(
            range(len(view.engines)),
            key=lambda number: view.engines[number].scheduler.load,
        )

    return _baseline("least_loaded_lru", place)


def _plain_hash(deployment, trace, seed):
    names = tuple(str(number) for number in range(deployment.engines))

    def place(view, arrival):
        return int(_placement.rendezvous_ranking(arrival.adapter, names, 1)[0])

    return _baseline("plain_hash", place)


def _look(view, adapter):
    """Describe an engine to placement, as residency messages do."""

    def look(name):
        scheduler = view.engines[int(name)].scheduler
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


def _own(name, deployment, value, note):
    names = tuple(str(number) for number in range(deployment.engines))

    def place(view, arrival):
        holders = [str(number) for number in view.holders[arrival.adapter]]
        look = _look(view, arrival.adapter)
        ranked = _placement.rank_endpoints(
            arrival.adapter, names, look, holders
        )
        return int(ranked[0])

    return _replay.Policy(
        name, place, _policy.make_rules(value), _policy.permit_rank, note
    )


def _coltsfootsail(deployment, trace, seed):
    table = _popularity.Popularity(_policy.HALF_LIFE_S)

    def note(arrival):
        weight = _policy.popularity_weight(arrival.protected)
        table.add(arrival.adapter, arrival.at_s, weight)

    return _own("coltsfootsail", deployment, table.rate, note)


def _initial(deployment, trace, seed):
    """The project's decisions before they were measured."""
    decay = math.log(2) / 900.0
    rows = {}

    def value(adapter, now_s):
        count, since_s = rows.get(adapter, (0.0, now_s))
        return count * math.exp(-decay * (now_s - since_s)) * decay

    def note(arrival):
        count = value(arrival.adapter, arrival.at_s) / decay
        weight = 1.0 if arrival.protected else 0.02
        rows[arrival.adapter] = (count + weight, arrival.at_s)

    return _own("initial", deployment, value, note)


def _known_popularity(deployment, trace, seed):
    protected = {
        arrival.adapter for arrival in trace.arrivals if arrival.protected
    }

    def value(adapter, now_s):
        weight = _policy.popularity_weight(adapter in protected)
        return weight * trace.rate(adapter, now_s)

    return _own("known_popularity", deployment, value, _no_note)


def _clairvoyant(deployment, trace, seed):
    """Keeps what is used soonest; knows every coming request."""
    uses = collections.defaultdict(list)
    for arrival in trace.arrivals:
        if arrival.protected:
            uses[arrival.adapter].append(arrival.at_s)

    def value(adapter, now_s):
        times = uses.get(adapter, ())
        position = bisect.bisect_right(times, now_s)
        if position == len(times):
            return 0.0
        return 1.0 / (0.001 + times[position] - now_s)

    return _own("clairvoyant", deployment, value, _no_note)


MAKERS = {
    "coltsfootsail": _coltsfootsail,
    "initial": _initial,
    "random": _random,
    "round_robin": _round_robin,
    "least_loaded_lru": _least_loaded,
    "plain_hash": _plain_hash,
    "known_popularity": _known_popularity,
    "clairvoyant": _clairvoyant,
}
