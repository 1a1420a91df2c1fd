"""Which endpoints should serve an adapter, and which node owns one.

Rendezvous hashing (Thaler and Ravishankar, 1998) gives stable ranks
without shared state.
"""

import dataclasses
import enum
import functools
import hashlib

RANK_CACHE_SIZE = 8192
PREFERRED_ENDPOINTS = 3
HOME_STEP = 0.1


class Residence(enum.IntEnum):
    """State of an adapter on an endpoint; a lower value is better."""

    LOADED = 0
    LOADING = 1
    FREE_SLOT = 2
    EVICTION = 3
    FAILING = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint as placement sees it.

    :param load: running and waiting requests over batch places.
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

    :param key: what is placed.
    :param names: tuple of names to place it on.
    :param count: how many to return.
    :returns: tuple of names, best first.
    """
    ranked = sorted(names, key=lambda name: _score(name, key), reverse=True)
    return tuple(ranked[:count])


def _spill_penalty(residence, load):
    """Weigh a place: waiting for a load costs more than a busy batch.

    The unit is one full batch: a resident adapter on an endpoint with
    that many requests is as good as loading it on an idle one.
    """
    return _RESIDENCE_COST[residence] + max(0.0, load - 0.75)


_RESIDENCE_COST = {
    Residence.LOADED: 0.0,
    Residence.LOADING: 0.25,
    Residence.FREE_SLOT: 1.0,
    Residence.EVICTION: 1.25,
    Residence.FAILING: 4.0,
}


def rank_endpoints(adapter, names, look, holders=()):
    """Choose the endpoint for a request.

    Only the adapter's homes and the endpoints known to hold it are looked
    at, so the cost does not grow with the fleet.

    :param adapter: ``name@version``.
    :param names: tuple of endpoints that could serve it.
    :param look: ``(endpoint) -> Candidate`` or None.
    :param holders: endpoints said to hold the adapter.
    :returns: endpoint names, best first.
    """
    ranked = rendezvous_ranking(adapter, names)
    others = [name for name in holders if name not in ranked]
    ranked = [*ranked, *sorted(others)[:PREFERRED_ENDPOINTS]]
    found = []
    for position, name in enumerate(ranked):
        candidate = look(name)
        if candidate is None:
            continue
        cost = _spill_penalty(candidate.residence, candidate.load)
        distance = 0.0 if candidate.local else 0.05
        found.append((cost + distance + HOME_STEP * position, name))
    return [name for _, name in sorted(found)]


def rank_nodes(endpoint, same_data_centre, same_region):
    """Rank the nodes that may own an endpoint.

    :param endpoint: its name.
    :param same_data_centre: live nodes of its data centre.
    :param same_region: the other live nodes of its region.
    :returns: list of nodes, best first.
    """
    near = rendezvous_ranking(endpoint, tuple(sorted(same_data_centre)), 3)
    far = rendezvous_ranking(endpoint, tuple(sorted(same_region)), 2)
    return [*near, *far]
