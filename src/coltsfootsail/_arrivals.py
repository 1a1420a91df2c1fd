"""Load patterns and arrivals for the admission bench.

A pattern sets the request rate of each kind and the popularity of the
adapters over time, the faults of engines and the behaviour of callers.
The same seed gives the same arrivals.
"""

import bisect
import dataclasses
import itertools
import math
import random

from coltsfootsail import exceptions

SWING_S = 13.0  # length of a wave of demand


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request, to engines or to a plain service.

    :param rate_per_s: requests per second under the ``quiet`` pattern.
    :param shared_tokens: prompt tokens that all requests of the kind for
        an adapter share.
    :param unshared_tokens: mean number of the other prompt tokens.
    :param answer_events: mean number of events in an answer.
    :param objective_s: latest first event of an answer that is in time.
    :param max_gap_s: longest pause in an answer that is in time.
    :param deadline_s: when a caller gives up.
    :param in_time_credit: credit for an answer in time.
    :param late_credit: credit for a late answer.
    :param is_plain: whether a plain service answers it.
    """

    name: str
    path: str
    rate_per_s: float
    shared_tokens: int
    unshared_tokens: int
    answer_events: int
    objective_s: float
    max_gap_s: float
    deadline_s: float
    in_time_credit: float
    late_credit: float
    is_plain: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentSize:
    """The size of a deployment.

    :param kinds: tuple of ``RequestKind``.
    :param slots: requests that an engine runs at once.
    :param kv_tokens: tokens that the KV cache of an engine holds.
    :param adapter_slots: adapters that an engine holds.
    :param tokens_per_event: tokens in an event of an answer.
    :param adapters: number of adapters that callers ask for.
    :param popularity_exponent: exponent of the adapters' popularity by
        rank.
    :param load_s: time of a load at full speed.
    :param full_speed_loads: concurrent loads, over all engines, up to which
        each goes at full speed.
    :param prompt_tokens_per_s: how fast an engine reads prompts.
    :param step_s: time of a decoding step of an engine.
    :param speeds: factors on the speed of the engines, given to them in turn.
    :param plain_servers: number of servers of the plain service.
    :param plain_slots: requests that each of them runs at once.
    :param plain_work_s: how long each request runs there.
    :param workspaces: number of workspaces that the requests are made for.
    """

    kinds: tuple
    nodes: int
    engines: int
    slots: int
    kv_tokens: int
    adapter_slots: int
    tokens_per_event: int
    adapters: int
    popularity_exponent: float
    load_s: float
    full_speed_loads: int
    prompt_tokens_per_s: float = 19_100.0
    step_s: float = 0.00887
    speeds: tuple = (1.0,)
    plain_servers: int = 0
    plain_slots: int = 6
    plain_work_s: float = 0.09
    workspaces: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request to send.

    :param at_s: when, from the start of the run.
    :param leaves_after_s: time after which the caller gives up early, or
        None.
    :param retries_immediately: whether the caller repeats a refused request
        without the wait that the refusal asks for.
    :param workspace: name of the workspace that it is made for.
    """

    at_s: float
    kind: RequestKind
    adapter: str
    prompt_tokens: int
    output_tokens: int
    leaves_after_s: float | None = None
    retries_immediately: bool = False
    workspace: str = ""


def _kind(
    name,
    rate_per_s,
    tokens,
    answer_events,
    max_gap_s,
    deadline_s,
    in_time_credit,
    late_credit,
):
    shared_tokens, unshared_tokens = tokens
    return RequestKind(
        name,
        f"/{name}/",
        rate_per_s,
        shared_tokens,
        unshared_tokens,
        answer_events,
        1.0,
        max_gap_s,
        deadline_s,
        in_time_credit,
        late_credit,
    )


SHOP = DeploymentSize(
    kinds=(
        _kind("note", 16.4, (350, 1110), 57, 0.3, 15.0, 1.8, 0.55),
        _kind("summary", 2.28, (350, 1110), 57, 0.3, 25.0, 3.6, 1.1),
        _kind("caption", 10.0, (155, 491), 23, 0.3, 8.0, 2.6, 0.77),
    ),
    nodes=3,
    engines=5,
    slots=64,
    kv_tokens=120_658,
    adapter_slots=17,
    tokens_per_event=3,
    adapters=3000,
    popularity_exponent=1.1,
    load_s=0.25,
    full_speed_loads=8,
)
GROWN = dataclasses.replace(
    SHOP,
    kinds=(
        _kind("note", 120.0, (350, 1110), 43, 0.4, 15.1, 2.6, 0.78),
        _kind("summary", 16.7, (350, 1110), 43, 0.4, 25.2, 1.3, 0.39),
        _kind("caption", 73.4, (155, 491), 17, 0.4, 8.0, 1.8, 0.55),
    ),
    engines=30,
    kv_tokens=120_039,
    adapter_slots=14,
    tokens_per_event=4,
    adapters=10_000,
    load_s=0.288,
    full_speed_loads=48,
)
FEW_SLOTS = dataclasses.replace(
    GROWN,
    kinds=(
        _kind("summary-ur", 144.0, (350, 1110), 34, 0.3, 12.1, 1.8, 0.55),
        _kind("summary-en", 20.1, (350, 1110), 34, 0.3, 25.2, 3.6, 1.1),
        _kind("clause", 88.6, (155, 491), 14, 0.3, 8.0, 2.5, 0.76),
    ),
    engines=70,
    slots=12,
    kv_tokens=60_172,
    adapter_slots=8,
    tokens_per_event=5,
    full_speed_loads=64,
)
# Engines of one speed, and the same number of three speeds.
EVEN = dataclasses.replace(
    GROWN,
    kinds=(
        _kind("note", 113.0, (350, 1110), 43, 0.3, 15.0, 2.6, 0.78),
        _kind("summary", 16.0, (350, 1110), 43, 0.3, 25.0, 1.3, 0.39),
        _kind("caption", 70.0, (155, 491), 17, 0.3, 8.0, 1.8, 0.55),
    ),
    engines=45,
    slots=24,
    adapter_slots=11,
    full_speed_loads=64,
    step_s=0.00947,
)
UNEVEN = dataclasses.replace(EVEN, speeds=(0.6, 1.0, 1.6))
# Engines that read and decode faster, for more callers.
FAST = dataclasses.replace(
    SHOP,
    kinds=(
        _kind("live", 38.8, (198, 628), 58, 0.3, 15.0, 2.1, 0.64),
        _kind("batch", 5.4, (198, 628), 58, 0.3, 15.0, 2.1, 0.64),
        _kind("tag", 7.1, (568, 1800), 5, 0.3, 3.0, 0.93, 0.28),
    ),
    engines=6,
    kv_tokens=134_000,
    adapter_slots=25,
    tokens_per_event=5,
    prompt_tokens_per_s=29_400.0,
    step_s=0.0051,
)
# Few slots of a plain service, half of them taken on average.
COUNTER = dataclasses.replace(
    SHOP,
    kinds=(
        RequestKind(
            "order", "/order/", 60.0, 0, 0, 1, 0.4, 1.0, 3.0, 1.0, 0.3, True
        ),
        RequestKind(
            "lookup", "/lookup/", 40.0, 0, 0, 1, 0.4, 1.0, 3.0, 1.0, 0.3, True
        ),
    ),
    engines=1,
    plain_servers=3,
)
# Engines whose adapter slots bind before their other capacity does.
WORKSPACES = dataclasses.replace(
    GROWN,
    kinds=(
        _kind("paid", 20.6, (350, 1110), 43, 0.3, 15.0, 2.6, 0.78),
        dataclasses.replace(
            _kind("free", 5.0, (350, 1110), 43, 0.3, 25.0, 1.3, 0.39),
            objective_s=2.0,
        ),
        dataclasses.replace(
            _kind("letter", 13.0, (155, 491), 17, 0.3, 8.0, 1.8, 0.55),
            objective_s=0.8,
        ),
    ),
    nodes=3,
    engines=4,
    slots=48,
    kv_tokens=129_425,
    adapter_slots=16,
    adapters=2000,
    full_speed_loads=9,
    workspaces=16,
)
SIZES = {
    "workspaces": WORKSPACES,
    "counter": COUNTER,
    "shop": SHOP,
    "shop-grown": GROWN,
    "few-slots": FEW_SLOTS,
    "fast": FAST,
    "even": EVEN,
    "uneven": UNEVEN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPattern:
    """A load pattern.

    :param rate_factor: ``(kind, share of the run) -> factor`` on the rate
        of the kind.
    :param swing: share by which all rates rise and fall in waves of
        ``SWING_S``.
    :param popularity_shift: share of the run after which other adapters
        are the popular ones, or None.
    :param uniform: ``(share of the run) -> bool``, whether all adapters
        are equally popular, so that rare ones prevail.
    :param fault: ``none``, ``engine_gone``, ``engines_gone``, ``all_empty``,
        ``all_busy``, ``slow_weights`` or ``key_revoked``, injected half way
        through the run.
    :param late_orders: ``(share of the run) -> float``, share of the orders
        that the engines leave unanswered and carry out later.
    :param leave_share: share of the callers who leave early.
    :param immediate_retry_share: share of the callers who retry a refused
        request immediately.
    :param has_keys: whether requests need keys.
    :param hot_factor: ``(share of the run) -> factor`` on the rate of the
        first workspace.
    """

    rate_factor: object = lambda kind, run_share: 1.0
    swing: float = 0.0
    popularity_shift: float | None = None
    uniform: object = lambda run_share: False
    fault: str = "none"
    late_orders: object = lambda run_share: 0.0
    leave_share: float = 0.0
    immediate_retry_share: float = 0.0
    has_keys: bool = False
    hot_factor: object = lambda run_share: 1.0

    def factor(self, kind, at_s, length_s):
        """Get the factor on the rate of a kind at a time of the run."""
        wave = 1.0 + self.swing * math.sin(2.0 * math.pi * at_s / SWING_S)
        return wave * self.rate_factor(kind, at_s / length_s)


HOT_FACTOR = 7.5
HOT_SHARE = (0.4, 0.4 + 6.5 / 40.0)  # 6.5 s of a run of 40 s


def _in_middle(run_share):
    return 0.35 <= run_share < 0.6


def _hot_factor(run_share):
    return HOT_FACTOR if HOT_SHARE[0] <= run_share < HOT_SHARE[1] else 1.0


def _too_little_room(kind, run_share):
    """Send 1.7 times of all requests, and 2.4 times of the free ones."""
    if not _in_middle(run_share):
        return 1.0
    return 2.4 if kind.name == "free" else 1.7


PATTERNS = {
    "quiet": LoadPattern(),
    "swing": LoadPattern(swing=0.55),
    "wave": LoadPattern(
        rate_factor=lambda kind, run_share: (
            2.2 if _in_middle(run_share) else 1.0
        )
    ),
    "burst": LoadPattern(
        rate_factor=lambda kind, run_share: (
            4.0 if _in_middle(run_share) and kind.name == "caption" else 1.0
        )
    ),
    "rare": LoadPattern(uniform=_in_middle),
    "hot": LoadPattern(hot_factor=_hot_factor),
    "little_room": LoadPattern(rate_factor=_too_little_room),
    "shift": LoadPattern(popularity_shift=0.5),
    "engine_gone": LoadPattern(fault="engine_gone"),
    "engines_gone": LoadPattern(fault="engines_gone"),
    "all_empty": LoadPattern(fault="all_empty"),
    "all_busy": LoadPattern(fault="all_busy"),
    "slow_weights": LoadPattern(
        uniform=lambda run_share: run_share >= 0.5, fault="slow_weights"
    ),
    "late_orders": LoadPattern(
        late_orders=lambda run_share: 0.3 if _in_middle(run_share) else 0.0
    ),
    "repeaters": LoadPattern(
        rate_factor=lambda kind, run_share: (
            2.2 if _in_middle(run_share) else 1.0
        ),
        immediate_retry_share=0.5,
    ),
    "leavers": LoadPattern(
        rate_factor=lambda kind, run_share: (
            2.2 if _in_middle(run_share) else 1.0
        ),
        leave_share=0.3,
    ),
    "key_revoked": LoadPattern(fault="key_revoked", has_keys=True),
}


def look_up(table, name, what):
    """Look up an entry of a table by name.

    :param what: what the table holds, for the message.
    :raises BadField: if there is none of that name.
    """
    if name not in table:
        known = ", ".join(table)
        raise exceptions.BadField(f"no {what} {name!r}; known: {known}")
    return table[name]


class _AdapterSampler:
    """Draws adapters at random, by popularity."""

    def __init__(self, size, rng):
        self._rng = rng
        self._count = size.adapters
        weights = [
            rank**-size.popularity_exponent
            for rank in range(1, self._count + 1)
        ]
        self._cumulative_weights = list(itertools.accumulate(weights))
        self._adapter_numbers = list(range(self._count))
        rng.shuffle(self._adapter_numbers)

    def draw(self, uniform, shifted):
        """Draw an adapter.

        :param uniform: give all adapters the same probability.
        :param shifted: make other adapters the popular ones.
        """
        if uniform:
            rank = self._rng.randrange(self._count)
        else:
            point = self._rng.random() * self._cumulative_weights[-1]
            rank = bisect.bisect_left(self._cumulative_weights, point)
        if shifted:
            rank = (rank + self._count // 2) % self._count
        return f"base/a{self._adapter_numbers[rank]}"


def make_arrivals(size, pattern, length_s, seed):
    """Draw the arrivals of a run.

    :returns: list of ``Arrival`` in order of time.
    """
    rng = random.Random(f"arrivals/{seed}")
    adapters = _AdapterSampler(size, rng)
    arrivals = []
    for kind in size.kinds:
        at_s = 0.0
        while True:
            factor = pattern.factor(kind, at_s, length_s)
            at_s += rng.expovariate(kind.rate_per_s * factor)
            if at_s >= length_s:
                break
            arrivals.append(_make_arrival(at_s, kind, size, pattern, rng))
    arrivals.sort(key=lambda arrival: arrival.at_s)
    arrivals = _with_workspaces(arrivals, size, seed)
    # The others are the same with and without the hot workspace.
    arrivals += _hot_arrivals(size, pattern, length_s, seed)
    share_per_s = 1.0 / length_s
    arrivals = [
        dataclasses.replace(
            arrival,
            adapter=adapters.draw(
                pattern.uniform(arrival.at_s * share_per_s),
                pattern.popularity_shift is not None
                and arrival.at_s * share_per_s >= pattern.popularity_shift,
            ),
        )
        for arrival in arrivals
    ]
    arrivals.sort(key=lambda arrival: arrival.at_s)
    return arrivals


def _with_workspaces(arrivals, size, seed):
    if not size.workspaces:
        return arrivals
    rng = random.Random(f"workspaces/{seed}")
    return [
        dataclasses.replace(
            arrival, workspace=f"w{rng.randrange(size.workspaces)}"
        )
        for arrival in arrivals
    ]


def _hot_arrivals(size, pattern, length_s, seed):
    """Draw what the first workspace sends beside its usual load."""
    if not size.workspaces:
        return []
    rng = random.Random(f"hot/{seed}")
    arrivals = []
    for kind in size.kinds:
        extra_per_s = (HOT_FACTOR - 1.0) * kind.rate_per_s / size.workspaces
        at_s = rng.expovariate(extra_per_s)
        while at_s < length_s:
            if pattern.hot_factor(at_s / length_s) > 1.0:
                arrival = _make_arrival(at_s, kind, size, pattern, rng)
                arrivals.append(dataclasses.replace(arrival, workspace="w0"))
            at_s += rng.expovariate(extra_per_s)
    return arrivals


def _make_arrival(at_s, kind, size, pattern, rng):
    leaves_after_s = None
    if rng.random() < pattern.leave_share:
        leaves_after_s = rng.uniform(0.5, 3.0)
    prompt_tokens = kind.shared_tokens + max(
        20, int(rng.gauss(kind.unshared_tokens, 0.3 * kind.unshared_tokens))
    )
    answer_events = max(
        2, int(rng.gauss(kind.answer_events, 0.3 * kind.answer_events))
    )
    return Arrival(
        at_s=at_s,
        kind=kind,
        adapter="",
        prompt_tokens=prompt_tokens,
        output_tokens=answer_events * size.tokens_per_event,
        leaves_after_s=leaves_after_s,
        retries_immediately=rng.random() < pattern.immediate_retry_share,
    )
