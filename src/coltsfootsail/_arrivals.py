"""Load patterns for the admission bench: who asks what, and when.

A pattern is a rate by kind and time, a choice of adapters by time, and
what happens to engines and callers.  Everything is drawn from one seed.
"""

import bisect
import dataclasses
import itertools
import random

from coltsfootsail import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request.

    :param rate_s: requests a second on a quiet day.
    :param shared: prompt tokens that requests for an adapter share.
    :param own: mean of the other prompt tokens.
    :param events: mean length of an answer.
    :param gap_s: longest pause of an answer that is in time.
    :param worth: of an answer in time.
    :param late: of one that is not.
    """

    name: str
    path: str
    rate_s: float
    shared: int
    own: int
    events: int
    objective_s: float
    gap_s: float
    deadline_s: float
    worth: float
    late: float


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """One deployment.

    :param spread: exponent of the adapters' popularity by rank.
    :param places: adapters that an engine holds.
    :param loads_at_once: loads that go at full speed over all engines.
    """

    kinds: tuple
    nodes: int
    engines: int
    slots: int
    memory_tokens: int
    places: int
    stride: int
    adapters: int
    spread: float
    cold_s: float
    loads_at_once: int


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that a caller is about to make."""

    at_s: float
    kind: Kind
    adapter: str
    prompt_tokens: int
    output_tokens: int
    leaves_s: float | None = None
    repeats_at_once: bool = False


def _kind(name, rate_s, tokens, events, gap_s, deadline_s, worth, late):
    shared, own = tokens
    return Kind(
        name,
        f"/{name}/",
        rate_s,
        shared,
        own,
        events,
        1.0,
        gap_s,
        deadline_s,
        worth,
        late,
    )


SHOP = Size(
    kinds=(
        _kind("note", 16.4, (350, 1110), 57, 0.3, 15.0, 1.8, 0.55),
        _kind("summary", 2.28, (350, 1110), 57, 0.3, 25.0, 3.6, 1.1),
        _kind("caption", 10.0, (155, 491), 23, 0.3, 8.0, 2.6, 0.77),
    ),
    nodes=3,
    engines=5,
    slots=64,
    memory_tokens=120_658,
    places=17,
    stride=3,
    adapters=3000,
    spread=1.1,
    cold_s=0.25,
    loads_at_once=8,
)
GROWN = dataclasses.replace(
    SHOP,
    kinds=(
        _kind("note", 120.0, (350, 1110), 43, 0.4, 15.1, 2.6, 0.78),
        _kind("summary", 16.7, (350, 1110), 43, 0.4, 25.2, 1.3, 0.39),
        _kind("caption", 73.4, (155, 491), 17, 0.4, 8.0, 1.8, 0.55),
    ),
    engines=30,
    memory_tokens=120_039,
    places=14,
    stride=4,
    adapters=10_000,
    cold_s=0.288,
    loads_at_once=48,
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
    memory_tokens=60_172,
    places=8,
    stride=5,
    loads_at_once=64,
)
SIZES = {"shop": SHOP, "shop-grown": GROWN, "few-slots": FEW_SLOTS}


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A load pattern.

    :param rate: ``(kind, share of the day) -> factor``.
    :param shift: share of the day at which other adapters become the
        popular ones, or None.
    :param rare: ``(share of the day) -> bool``, whether only rare
        adapters are asked for.
    :param fault: ``none``, ``engine_gone`` or ``all_empty``, at half.
    :param leave_share: share of the callers who leave early.
    :param at_once_share: share of the callers who repeat at once.
    """

    rate: object = lambda kind, at: 1.0
    shift: float | None = None
    rare: object = lambda at: False
    fault: str = "none"
    leave_share: float = 0.0
    at_once_share: float = 0.0


def _middle(at):
    return 0.35 <= at < 0.6


PATTERNS = {
    "quiet": Pattern(),
    "wave": Pattern(rate=lambda kind, at: 2.2 if _middle(at) else 1.0),
    "burst": Pattern(
        rate=lambda kind, at: (
            4.0 if _middle(at) and kind.name == "caption" else 1.0
        )
    ),
    "rare": Pattern(rare=_middle),
    "shift": Pattern(shift=0.5),
    "engine_gone": Pattern(fault="engine_gone"),
    "all_empty": Pattern(fault="all_empty"),
    "repeaters": Pattern(
        rate=lambda kind, at: 2.2 if _middle(at) else 1.0, at_once_share=0.5
    ),
    "leavers": Pattern(
        rate=lambda kind, at: 2.2 if _middle(at) else 1.0, leave_share=0.3
    ),
}


def find(table, name, what):
    """Get an entry of a table.

    :raises BadField: if there is none of that name.
    """
    if name not in table:
        known = ", ".join(table)
        raise exceptions.BadField(f"no {what} {name!r}; known: {known}")
    return table[name]


class _Adapters:
    """Draws adapters by popularity."""

    def __init__(self, size, rng):
        self._rng = rng
        self._count = size.adapters
        weights = [rank**-size.spread for rank in range(1, self._count + 1)]
        self._sums = list(itertools.accumulate(weights))
        self._order = list(range(self._count))
        rng.shuffle(self._order)

    def draw(self, rare, shifted):
        """Draw one.

        :param rare: take any with equal chance.
        :param shifted: other adapters are the popular ones.
        """
        if rare:
            rank = self._rng.randrange(self._count)
        else:
            point = self._rng.random() * self._sums[-1]
            rank = bisect.bisect_left(self._sums, point)
        if shifted:
            rank = (rank + self._count // 2) % self._count
        return f"base/a{self._order[rank]}"


def make(size, pattern, length_s, seed):
    """Draw the arrivals of a day.

    :returns: list of ``Arrival`` in order of time.
    """
    rng = random.Random(f"arrivals/{seed}")
    adapters = _Adapters(size, rng)
    found = []
    for kind in size.kinds:
        at_s = 0.0
        while True:
            factor = pattern.rate(kind, at_s / length_s)
            at_s += rng.expovariate(kind.rate_s * factor)
            if at_s >= length_s:
                break
            found.append(_arrival(at_s, kind, size, pattern, rng, adapters))
    found.sort(key=lambda arrival: arrival.at_s)
    share = 1.0 / length_s
    return [
        dataclasses.replace(
            arrival,
            adapter=adapters.draw(
                pattern.rare(arrival.at_s * share),
                pattern.shift is not None
                and arrival.at_s * share >= pattern.shift,
            ),
        )
        for arrival in found
    ]


def _arrival(at_s, kind, size, pattern, rng, adapters):
    leaves_s = None
    if rng.random() < pattern.leave_share:
        leaves_s = rng.uniform(0.5, 3.0)
    prompt = kind.shared + max(20, int(rng.gauss(kind.own, 0.3 * kind.own)))
    events = max(2, int(rng.gauss(kind.events, 0.3 * kind.events)))
    return Arrival(
        at_s=at_s,
        kind=kind,
        adapter="",
        prompt_tokens=prompt,
        output_tokens=events * size.stride,
        leaves_s=leaves_s,
        repeats_at_once=rng.random() < pattern.at_once_share,
    )
