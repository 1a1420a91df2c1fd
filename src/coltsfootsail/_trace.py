"""Request traces for the policy bench, made from a seed."""

import dataclasses
import itertools
import random

ZIPF_EXPONENT = 1.0
WARM_S = 900.0
DAY_S = 2700.0
NIGHT_S = 1500.0
MORNING_S = 1000.0
SHIFT_S = 1500.0
PREFIXES_PER_ADAPTER = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request of a trace.

    :param tokens: tokens to generate.
    :param prefix: names the start of its prompt, for the prefix cache.
    """

    at_s: float
    adapter: str
    kind: str
    team: str
    rank: int
    protected: bool
    tokens: int
    prefix: int


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Poisson traffic of one group of adapters.

    :param rates: pairs of start time in seconds and requests per second;
        each rate holds until the next.
    :param bulk: requests that arrive together at the first start.
    :param shift_s: when popularity moves to other adapters, or None.
    """

    group: str
    rates: tuple
    tokens: int
    bulk: int = 0
    shift_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """What goes wrong with the inputs of the decisions.

    :param restarts: pairs of time and engine number.
    :param moves: pairs of time and engine number; the owner changes and
        its successor knows nothing.
    :param load_failure_share: share of loads that fail.
    :param no_evict: pair of start and end without evictions, or None.
    :param store_factor: factor on the weight store's rate.
    """

    restarts: tuple = ()
    moves: tuple = ()
    load_failure_share: float = 0.0
    no_evict: tuple | None = None
    store_factor: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A trace to make and the faults to replay it under.

    :param warm_s: requests before this time are replayed, not measured.
    """

    name: str
    length_s: float
    streams: tuple
    faults: Faults = Faults()
    warm_s: float = WARM_S


_DAY_RATES = {
    "checkout": ((0.0, 2.0),),
    "counter": ((0.0, 1.6),),
    "evening": ((0.0, 0.1), (1800.0, 0.4)),
    "overnight": ((0.0, 0.1),),
}
_NIGHT_RATES = {
    "checkout": ((0.0, 0.4), (MORNING_S, 1.6)),
    "counter": ((0.0, 0.3), (MORNING_S, 1.6)),
    "evening": ((0.0, 0.05),),
    "overnight": ((0.0, 0.0),),
}
NIGHT_BULK = 20000
NIGHT_TOKENS = 200
FLOOD_RATE = 25.0
FLOOD_S = 1200.0
FLOOD_END_S = 1500.0


def _rated(deployment, rates, **changes):
    return tuple(
        Stream(group.prefix, rates[group.priority], group.tokens, **changes)
        for group in deployment.groups
    )


def _night(deployment):
    return tuple(
        dataclasses.replace(stream, bulk=NIGHT_BULK, tokens=NIGHT_TOKENS)
        if group.priority == "overnight"
        else stream
        for group, stream in zip(
            deployment.groups, _rated(deployment, _NIGHT_RATES), strict=True
        )
    )


def _flood(deployment):
    """The last group's team sends far more than usual for a while."""
    streams = _rated(deployment, _DAY_RATES)
    flooded = dataclasses.replace(
        streams[-1],
        rates=((0.0, 0.1), (FLOOD_S, FLOOD_RATE), (FLOOD_END_S, 0.1)),
    )
    return (*streams[:-1], flooded)


def scenarios(deployment):
    """List the scenarios of a deployment by name.

    :param deployment: a ``Deployment``.
    :returns: dict of name to ``Scenario``.
    """
    day = _rated(deployment, _DAY_RATES)
    shifted = _rated(deployment, _DAY_RATES, shift_s=SHIFT_S)
    restarts = ((1500.0, 0), (1505.0, 1), (2100.0, 2))
    found = [
        Scenario("day", DAY_S, day),
        Scenario("night", NIGHT_S, _night(deployment), warm_s=0.0),
        Scenario("shift", DAY_S, shifted),
        Scenario("restarts", DAY_S, day, Faults(restarts=restarts)),
        Scenario("failing_loads", DAY_S, day, Faults(load_failure_share=0.15)),
        Scenario("no_eviction", DAY_S, day, Faults(no_evict=(1500.0, 2100.0))),
        Scenario(
            "owner_change",
            DAY_S,
            day,
            Faults(moves=((1500.0, 0), (1800.0, 1))),
        ),
        Scenario("half_rate", DAY_S, day, Faults(store_factor=0.5)),
        Scenario("flood", DAY_S, _flood(deployment)),
    ]
    return {scenario.name: scenario for scenario in found}


class Ranking:
    """Zipf popularity over a group's adapters, shuffled by the seed."""

    def __init__(self, group, rng, exponent=ZIPF_EXPONENT):
        self.names = [
            f"{group.prefix}-{number:04d}@v2"
            for number in range(group.adapters)
        ]
        rng.shuffle(self.names)
        weights = [1 / (rank + 1) ** exponent for rank in range(len(self))]
        self._cumulative = list(itertools.accumulate(weights))
        self.shares = [weight / self._cumulative[-1] for weight in weights]

    def __len__(self):
        return len(self.names)

    def pick(self, rng):
        """Draw an adapter."""
        return rng.choices(self.names, cum_weights=self._cumulative)[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """A whole trace.

    :param arrivals: list of ``Arrival`` by time.
    :param rate: ``(adapter, now_s) -> float``, the true request rate of
        protected requests for an adapter.
    """

    arrivals: list
    rate: object


def _rate_at(rates, now_s):
    current = 0.0
    for since_s, rate in rates:
        if since_s <= now_s:
            current = rate
    return current


def _times(stream, length_s, rng):
    bounds = [since_s for since_s, _ in stream.rates[1:]] + [length_s]
    for (since_s, rate), until_s in zip(stream.rates, bounds, strict=True):
        now_s = since_s
        while rate > 0:
            now_s += rng.expovariate(rate)
            if now_s >= until_s:
                break
            yield now_s


def make(deployment, scenario, seed):
    """Make the trace of a scenario.

    :returns: a ``Trace``; the same for the same seed.
    """
    rng = random.Random(f"{deployment.name}/{scenario.name}/{seed}")
    arrivals, shares = [], {}
    groups = {group.prefix: group for group in deployment.groups}
    for stream in scenario.streams:
        group = groups[stream.group]
        before = Ranking(group, rng)
        after = Ranking(group, rng) if stream.shift_s else before
        shift_s = stream.shift_s or scenario.length_s
        times = [0.0] * stream.bulk
        times += _times(stream, scenario.length_s, rng)
        for at_s in times:
            ranking = before if at_s < shift_s else after
            arrivals.append(
                _arrival(deployment, group, stream, ranking, at_s, rng)
            )
        _note_shares(shares, stream, before, 0.0, shift_s)
        _note_shares(shares, stream, after, shift_s, scenario.length_s)
    arrivals.sort(key=lambda item: (item.at_s, item.adapter))

    def rate(adapter, now_s):
        return sum(
            share * _rate_at(stream.rates, now_s)
            for stream, share, since_s, until_s in shares.get(adapter, ())
            if since_s <= now_s < until_s
        )

    return Trace(arrivals, rate)


def _note_shares(shares, stream, ranking, since_s, until_s):
    for name, share in zip(ranking.names, ranking.shares, strict=True):
        shares.setdefault(name, []).append((stream, share, since_s, until_s))


def _arrival(deployment, group, stream, ranking, at_s, rng):
    kind = deployment.classes[group.priority]
    return Arrival(
        at_s=at_s,
        adapter=ranking.pick(rng),
        kind=group.priority,
        team=group.team,
        rank=kind.rank,
        protected=kind.protected,
        tokens=stream.tokens,
        prefix=rng.randrange(PREFIXES_PER_ADAPTER),
    )
