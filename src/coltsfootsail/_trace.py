"""Request traces for the policy bench, made from a seed."""

import dataclasses
import itertools
import random

ZIPF_EXPONENT = 1.0
WARMUP_S = 900.0
DAY_LENGTH_S = 2700.0
NIGHT_LENGTH_S = 1500.0
MORNING_START_S = 1000.0
POPULARITY_SHIFT_S = 1500.0
PREFIXES_PER_ADAPTER = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request of a trace.

    :param priority_class: name of its priority class; ``rank`` and
        ``protected`` are those of the class.
    :param tokens: tokens to generate.
    :param prefix: number that identifies the start of its prompt in the
        prefix cache.
    """

    at_s: float
    adapter: str
    priority_class: str
    team: str
    rank: int
    protected: bool
    tokens: int
    prefix: int


@dataclasses.dataclass(frozen=True, slots=True)
class GroupTraffic:
    """Poisson traffic to one group of adapters.

    :param group: prefix of the group.
    :param rates: pairs of start time in seconds and requests per second;
        each rate holds until the next.
    :param tokens: tokens that each request generates.
    :param initial_requests: requests that arrive together at time 0.
    :param shift_s: when other adapters become the popular ones, or None.
    """

    group: str
    rates: tuple
    tokens: int
    initial_requests: int = 0
    shift_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Faults to inject into a replay.

    :param restarts: pairs of time and engine number; the engine loses its
        adapters.
    :param owner_changes: pairs of time and engine number; the new owner
        knows nothing of the engine's past, and pins the adapters that it
        finds loaded.
    :param load_failure_share: share of loads that fail.
    :param no_eviction_span: start and end of a time without evictions, or
        None.
    :param store_rate_factor: factor on the weight store's load rate.
    """

    restarts: tuple = ()
    owner_changes: tuple = ()
    load_failure_share: float = 0.0
    no_eviction_span: tuple | None = None
    store_rate_factor: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A trace to make and the faults to replay it under.

    :param traffic: tuple of ``GroupTraffic``.
    :param warmup_s: requests before this time are replayed but left out
        of the results.
    """

    name: str
    length_s: float
    traffic: tuple
    faults: Faults = Faults()
    warmup_s: float = WARMUP_S


_DAY_RATES = {
    "checkout": ((0.0, 2.0),),
    "counter": ((0.0, 1.6),),
    "evening": ((0.0, 0.1), (1800.0, 0.4)),
    "overnight": ((0.0, 0.1),),
}
_NIGHT_RATES = {
    "checkout": ((0.0, 0.4), (MORNING_START_S, 1.6)),
    "counter": ((0.0, 0.3), (MORNING_START_S, 1.6)),
    "evening": ((0.0, 0.05),),
    "overnight": ((0.0, 0.0),),
}
NIGHT_BATCH_REQUESTS = 20000
NIGHT_BATCH_TOKENS = 200
FLOOD_RATE_PER_S = 25.0
FLOOD_START_S = 1200.0
FLOOD_END_S = 1500.0


def _group_traffic(deployment, rates, **options):
    return tuple(
        GroupTraffic(
            group.prefix, rates[group.priority], group.tokens, **options
        )
        for group in deployment.groups
    )


def _night_traffic(deployment):
    return tuple(
        dataclasses.replace(
            traffic,
            initial_requests=NIGHT_BATCH_REQUESTS,
            tokens=NIGHT_BATCH_TOKENS,
        )
        if group.priority == "overnight"
        else traffic
        for group, traffic in zip(
            deployment.groups,
            _group_traffic(deployment, _NIGHT_RATES),
            strict=True,
        )
    )


def _flood_traffic(deployment):
    """Make day traffic in which the last group's rate rises for a while."""
    traffic = _group_traffic(deployment, _DAY_RATES)
    flooded = dataclasses.replace(
        traffic[-1],
        rates=(
            (0.0, 0.1),
            (FLOOD_START_S, FLOOD_RATE_PER_S),
            (FLOOD_END_S, 0.1),
        ),
    )
    return (*traffic[:-1], flooded)


def scenarios(deployment):
    """List the scenarios of a deployment by name.

    :param deployment: a ``Deployment``.
    :returns: dict of name to ``Scenario``.
    """
    day = _group_traffic(deployment, _DAY_RATES)
    shifted = _group_traffic(
        deployment, _DAY_RATES, shift_s=POPULARITY_SHIFT_S
    )
    restarts = ((1500.0, 0), (1505.0, 1), (2100.0, 2))
    all_scenarios = [
        Scenario("day", DAY_LENGTH_S, day),
        Scenario(
            "night", NIGHT_LENGTH_S, _night_traffic(deployment), warmup_s=0.0
        ),
        Scenario("shift", DAY_LENGTH_S, shifted),
        Scenario("restarts", DAY_LENGTH_S, day, Faults(restarts=restarts)),
        Scenario(
            "failing_loads", DAY_LENGTH_S, day, Faults(load_failure_share=0.15)
        ),
        Scenario(
            "no_eviction",
            DAY_LENGTH_S,
            day,
            Faults(no_eviction_span=(1500.0, 2100.0)),
        ),
        Scenario(
            "owner_change",
            DAY_LENGTH_S,
            day,
            Faults(owner_changes=((1500.0, 0), (1800.0, 1))),
        ),
        Scenario(
            "half_rate", DAY_LENGTH_S, day, Faults(store_rate_factor=0.5)
        ),
        Scenario("flood", DAY_LENGTH_S, _flood_traffic(deployment)),
    ]
    return {scenario.name: scenario for scenario in all_scenarios}


class ZipfPopularity:
    """Zipf popularity of a group's adapters, in random order.

    ``shares`` are the shares of the traffic, in the order of ``names``.
    """

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

    def draw(self, rng):
        """Draw an adapter by popularity."""
        return rng.choices(self.names, cum_weights=self._cumulative)[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """The requests of a scenario and the rates they were drawn from.

    :param arrivals: list of ``Arrival`` in order of time.
    :param rate: ``(adapter, now_s) -> float``, the rate of the requests
        for an adapter, in requests per second.
    """

    arrivals: list
    rate: object


def _rate_at(rates, now_s):
    current = 0.0
    for since_s, rate in rates:
        if since_s <= now_s:
            current = rate
    return current


def _arrival_times(traffic, length_s, rng):
    bounds = [since_s for since_s, _ in traffic.rates[1:]] + [length_s]
    for (since_s, rate), until_s in zip(traffic.rates, bounds, strict=True):
        now_s = since_s
        while rate > 0:
            now_s += rng.expovariate(rate)
            if now_s >= until_s:
                break
            yield now_s


def make_trace(deployment, scenario, seed):
    """Draw the trace of a scenario.

    :returns: a ``Trace``; the same for the same seed.
    """
    rng = random.Random(f"{deployment.name}/{scenario.name}/{seed}")
    arrivals, shares = [], {}
    groups = {group.prefix: group for group in deployment.groups}
    for traffic in scenario.traffic:
        group = groups[traffic.group]
        before = ZipfPopularity(group, rng)
        after = ZipfPopularity(group, rng) if traffic.shift_s else before
        shift_s = traffic.shift_s or scenario.length_s
        times = [0.0] * traffic.initial_requests
        times += _arrival_times(traffic, scenario.length_s, rng)
        for at_s in times:
            popularity = before if at_s < shift_s else after
            arrivals.append(
                _make_arrival(
                    deployment, group, traffic, popularity, at_s, rng
                )
            )
        _add_shares(shares, traffic, before, 0.0, shift_s)
        _add_shares(shares, traffic, after, shift_s, scenario.length_s)
    arrivals.sort(key=lambda item: (item.at_s, item.adapter))

    def rate(adapter, now_s):
        return sum(
            share * _rate_at(traffic.rates, now_s)
            for traffic, share, since_s, until_s in shares.get(adapter, ())
            if since_s <= now_s < until_s
        )

    return Trace(arrivals, rate)


def _add_shares(shares, traffic, popularity, since_s, until_s):
    for name, share in zip(popularity.names, popularity.shares, strict=True):
        shares.setdefault(name, []).append((traffic, share, since_s, until_s))


def _make_arrival(deployment, group, traffic, popularity, at_s, rng):
    class_settings = deployment.classes[group.priority]
    return Arrival(
        at_s=at_s,
        adapter=popularity.draw(rng),
        priority_class=group.priority,
        team=group.team,
        rank=class_settings.rank,
        protected=class_settings.protected,
        tokens=traffic.tokens,
        prefix=rng.randrange(PREFIXES_PER_ADAPTER),
    )
