"""Placement of adapters on endpoints, and of endpoints on owner nodes.

Rendezvous hashing (Thaler and Ravishankar, 1998) gives every node the
same stable ranking without shared state.
"""

import dataclasses
import enum
import functools
import hashlib
import math

RANK_CACHE_SIZE = 8192
KEY_MAX_CHARS = 256  # of an item that a caller names
HASH_RANGE = 2.0**64
PREFERRED_ENDPOINTS = 3  # first endpoints of an adapter's ranking
RANK_COST = 0.1  # per rank, so that an adapter stays on few endpoints


class Residence(enum.IntEnum):
    """Whether an endpoint has an adapter; a lower value is better.

    If it does not, the value tells what a load needs.  ``FAILING`` stands
    for an endpoint whose loads fail.
    """

    LOADED = 0
    LOADING = 1
    FREE_SLOT = 2
    EVICTION = 3
    FAILING = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """The state of an endpoint with regard to one adapter.

    :param load: running and waiting requests per place in the batch.
    :param local: whether it is in the caller's data centre.
    """

    name: str
    residence: Residence
    load: float
    local: bool = True


def _score(name, key):
    digest = hashlib.blake2b(f"{name}/{key}".encode(), digest_size=8)
    return int.from_bytes(digest.digest())


@functools.lru_cache(maxsize=RANK_CACHE_SIZE)
def rendezvous_ranking(key, names, count=PREFERRED_ENDPOINTS):
    """Rank names for a key by rendezvous hash.

    :param key: the item to place.
    :param names: tuple of the names to rank.
    :param count: number of names to return.
    :returns: tuple of names, best first.
    """
    ranked = sorted(names, key=lambda name: _score(name, key), reverse=True)
    return tuple(ranked[:count])


def short_key(key):
    """Get a key that the caches can keep in place of one of any length.

    :returns: the key, or a digest of a long one.
    """
    if len(key) <= KEY_MAX_CHARS:
        return key
    return hashlib.sha256(key.encode("utf-8", "replace")).hexdigest()


@functools.lru_cache(maxsize=RANK_CACHE_SIZE)
def weighted_ranking(key, names, weights, count=PREFERRED_ENDPOINTS):
    """Rank names for a key by weighted rendezvous hash.

    A name comes first with a probability that is its share of all weights.
    A changed weight moves only the keys that this name wins or loses.  With
    equal weights the ranking is that of ``rendezvous_ranking``.

    :param key: the item to place.
    :param names: tuple of the names to rank.
    :param weights: tuple of the weight of each name, above 0; empty if all
        are equal.
    :param count: number of names to return.
    :returns: tuple of names, best first.
    """
    if len(set(weights)) <= 1:
        return rendezvous_ranking(key, names, count)

    def rank(pair):
        name, weight = pair
        score = _score(name, key)
        share = (score + 0.5) / HASH_RANGE
        return weight / -math.log(share) if share < 1.0 else math.inf, score

    ranked = sorted(zip(names, weights, strict=True), key=rank, reverse=True)
    return tuple(name for name, _ in ranked[:count])


def _serving_cost(residence, load):
    """Get the cost of serving an adapter on an endpoint.

    Waiting for a load costs more than a busy batch.  The unit is one full
    batch: serving a resident adapter behind that many requests costs as
    much as loading it into a free slot of an idle endpoint.
    """
    return _RESIDENCE_COST[residence] + max(0.0, load - 0.75)


_RESIDENCE_COST = {
    Residence.LOADED: 0.0,
    Residence.LOADING: 0.25,
    Residence.FREE_SLOT: 1.0,
    Residence.EVICTION: 1.25,
    Residence.FAILING: 4.0,
}


def rank_endpoints(adapter, names, describe, holders=()):
    """Rank the endpoints for a request.

    Only the adapter's preferred endpoints and those that hold it are
    examined, so the cost does not grow with the number of endpoints.

    :param adapter: ``name@version``.
    :param names: tuple of the endpoints that could serve it.
    :param describe: ``(endpoint) -> Candidate``, or None if it can't be
        used.
    :param holders: endpoints that announced the adapter as loaded.
    :returns: endpoint names, best first.
    """
    ranked = rendezvous_ranking(adapter, names)
    other_holders = [name for name in holders if name not in ranked]
    ranked = [*ranked, *sorted(other_holders)[:PREFERRED_ENDPOINTS]]
    costs = []
    for rank, name in enumerate(ranked):
        candidate = describe(name)
        if candidate is None:
            continue
        cost = _serving_cost(candidate.residence, candidate.load)
        distance_cost = 0.0 if candidate.local else 0.05
        costs.append((cost + distance_cost + RANK_COST * rank, name))
    return [name for _, name in sorted(costs)]


def rank_nodes(endpoint, same_data_centre, same_region):
    """Rank the nodes that may own an endpoint, its data centre's first.

    :param endpoint: its name.
    :param same_data_centre: live nodes of its data centre.
    :param same_region: the other live nodes of its region.
    :returns: list of nodes, best first.
    """
    in_data_centre = rendezvous_ranking(
        endpoint, tuple(sorted(same_data_centre)), 3
    )
    in_region = rendezvous_ranking(endpoint, tuple(sorted(same_region)), 2)
    return [*in_data_centre, *in_region]
