"""A day of load in virtual time: real gateways, modelled engines.

Everything of the gateways runs as it is, on a network in memory; only
the servers and the store are stand-ins.  It answers how many callers are
served in time under a load pattern, within seconds.
"""

import collections
import dataclasses
import random

import h11
import trio
import trio.testing

from coltsfootsail import _arrivals
from coltsfootsail import _demo_gateways
from coltsfootsail import _gateway
from coltsfootsail import _http
from coltsfootsail.platform import messages
from coltsfootsail.standins import batch
from coltsfootsail.standins import network as memory
from coltsfootsail.standins import store
from coltsfootsail.standins import users

LENGTH_S = 40.0
START_S = 8.0  # for claims and base models before the first request
REGISTER_S = 1.2  # between the heartbeats of a server
RETRIES = 1
OFTEN = 4  # requests for an adapter from which its neglect is counted


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a caller got.

    :param end: ``in_time``, ``late``, ``refused``, ``failed`` or ``left``.
    :param first_s: to its first event, from the first attempt.
    """

    arrival: _arrivals.Arrival
    end: str
    first_s: float | None = None


def _configuration(size):
    routes = [
        users.route(
            kind.path,
            "streaming",
            "engines",
            timeoutMs=round(kind.deadline_s * 1000),
            sloMs=round(kind.objective_s * 1000),
            priority=number,
        )
        for number, kind in enumerate(size.kinds, 1)
    ]
    engine = {
        **users.ENGINE,
        "slots": size.slots,
        "kvTokens": size.memory_tokens,
        "stride": size.stride,
        "adapterSlots": size.places,
    }
    services = [{"name": "engines", "maxConns": 370, "engine": engine}]
    raw = users.configuration(1)
    return {**raw, "routes": routes, "services": services}


class Day:
    """One day of a size and pattern.

    :param size: a ``Size``.
    :param pattern: a ``Pattern``.
    """

    def __init__(self, size, pattern, seed, length_s=LENGTH_S):
        self.size = size
        self.length_s = length_s
        self.outcomes = []
        self.engines = []
        self.gateways = []
        self.weights = batch.WeightStore(size.loads_at_once)
        self._pattern = pattern
        self._arrivals = _arrivals.make(size, pattern, length_s, seed)
        self._rng = random.Random(f"callers/{seed}")
        self._net = memory.MemoryNetwork()
        self._store = store.StoreStandIn()
        self._names = [f"g{number}" for number in range(size.nodes)]
        self._callers = _http.HttpClient(self._net.network("callers"))
        self._scopes = {}

    # -- the deployment ---------------------------------------------

    async def run(self):
        """Play the day."""
        async with trio.open_nursery() as nursery:
            await self._start(nursery)
            await trio.sleep(START_S)
            begun_s = trio.current_time()
            async with trio.open_nursery() as callers:
                callers.start_soon(self._fault)
                for arrival in self._arrivals:
                    await trio.sleep_until(begun_s + arrival.at_s)
                    callers.start_soon(self._call, arrival)
            nursery.cancel_scope.cancel()

    async def _start(self, nursery):
        await nursery.start(
            self._net.network("store").serve,
            "store:1",
            self._store.connection_handler("store:1"),
        )
        self._store.put("op/config", _configuration(self.size))
        for number in range(self.size.engines):
            await self._start_engine(number, nursery)
        for name in self._names:
            at = {f"{name}/{part}": f"{name}:{port}" for part, port in _PORTS}
            at |= {f"{n}/peer": f"{n}:81" for n in self._names}
            settings = _demo_gateways.node_settings(
                name, {**at, "store": "store:1"}, self._names
            )
            network = self._net.network(name)
            gateway = _gateway.Gateway(settings, network)
            self.gateways.append(gateway)
            nursery.start_soon(gateway.run)

    async def _start_engine(self, number, nursery):
        size = self.size
        speed = batch.ServerSpec(
            slots=size.slots,
            memory_tokens=size.memory_tokens,
            stride=size.stride,
            cold_s=size.cold_s,
        )
        name = f"e{number}"
        engine = batch.BatchServer(
            f"i-{name}",
            self._store,
            f"{name}:80",
            self.weights,
            speed,
            size.places,
            nursery,
        )
        self.engines.append(engine)
        serve = self._net.network(name).serve
        scope = self._scopes[engine] = trio.CancelScope()

        async def run(task_status):
            with scope:
                await serve(engine.address, engine.serve, task_status)

        await nursery.start(run)
        nursery.start_soon(self._register, engine)

    async def _register(self, engine):
        """Write the engine's entry whenever it has changed."""
        told = None
        while not self._scopes[engine].cancel_called:
            state = (dict(engine.adapters), dict(engine.models))
            if state != told:
                told = state
                engine.register()
            await trio.sleep(REGISTER_S)
        self._store.drop(f"servers/{engine.name}")

    async def _fault(self):
        await trio.sleep(self.length_s / 2)
        if self._pattern.fault == "engine_gone":
            self._scopes[self.engines[0]].cancel()
        elif self._pattern.fault == "all_empty":
            for engine in self.engines:
                engine.restart()

    # -- callers ----------------------------------------------------

    async def _call(self, arrival):
        """Ask as a caller does, and come back once when refused."""
        begun_s = trio.current_time()
        until_s = begun_s + arrival.kind.deadline_s
        if arrival.leaves_s is not None:
            until_s = min(until_s, begun_s + arrival.leaves_s)
        outcome = Outcome(arrival, "failed")
        self.outcomes.append(outcome)
        with trio.CancelScope(deadline=until_s) as scope:
            for attempt in range(1 + RETRIES):
                retry_s = await self._attempt(outcome, begun_s, until_s)
                if retry_s is None:
                    return
                outcome.end = "refused"
                if attempt < RETRIES and not arrival.repeats_at_once:
                    await trio.sleep(retry_s)
        if scope.cancelled_caught and arrival.leaves_s is not None:
            outcome.end = "left"

    async def _attempt(self, outcome, begun_s, until_s):
        """Send one attempt.

        :returns: when to come back if it was refused, else None.
        """
        address = f"{self._rng.choice(self._names)}:80"
        left_s = until_s - trio.current_time()
        fields = _headers(outcome.arrival, left_s, self._rng)
        try:
            async with self._callers.exchange(address) as exchange:
                await exchange.send(
                    "POST", outcome.arrival.kind.path, fields, b"x"
                )
                status = await exchange.read_head()
                if status == 503:
                    await exchange.read_body(1 << 20)
                    return float(exchange.header("retry-after", "0.3"))
                if status == 200:
                    await self._read(exchange, outcome, begun_s)
        except (OSError, trio.BrokenResourceError, h11.ProtocolError):
            outcome.end = "failed"
        return None

    async def _read(self, exchange, outcome, begun_s):
        kind = outcome.arrival.kind
        last_s, pause_s, first_s = None, 0.0, None
        while exchange.phase is not _http.Phase.DONE:
            data = await exchange.read_some()
            now_s = trio.current_time()
            if data and first_s is None:
                first_s = now_s - begun_s
            elif data:
                pause_s = max(pause_s, now_s - last_s)
            last_s = now_s
        outcome.first_s = first_s
        in_time = first_s <= kind.objective_s and pause_s <= kind.gap_s
        outcome.end = "in_time" if in_time else "late"


_PORTS = (("caller", 80), ("peer", 81), ("ready", 82), ("directory", 83))


def _headers(arrival, left_s, rng):
    kind = arrival.kind
    own = arrival.prompt_tokens - kind.shared
    name = f"{rng.getrandbits(64):016x}"
    return [
        ("host", users.HOST),
        (messages.REQUEST_ID, name),
        (messages.DEADLINE, str(round(left_s * 1000))),
        (messages.MODEL, arrival.adapter),
        (messages.TOKENS, f"{arrival.prompt_tokens},{arrival.output_tokens}"),
        (messages.PREFIX, f"{kind.name}:{kind.shared},{name[:8]}:{own}"),
    ]


def _share(part, whole):
    return round(part / whole, 4) if whole else 0.0


def _kind_row(kind, outcomes):
    ends = collections.Counter(outcome.end for outcome in outcomes)
    owed = len(outcomes) - ends["left"]
    times = sorted(o.first_s for o in outcomes if o.first_s is not None)
    earned = ends["in_time"] * kind.worth + ends["late"] * kind.late
    return {
        "asked": len(outcomes),
        **{name: ends[name] for name in _ENDS},
        "in_time_share": _share(ends["in_time"], owed),
        "served_share": _share(ends["in_time"] + ends["late"], owed),
        "largest_served_share": _largest_share(outcomes),
        "credit": _share(earned, owed * kind.worth),
        "first_p50_s": round(times[len(times) // 2], 3) if times else None,
        "first_p99_s": (
            round(times[int(len(times) * 0.99)], 3) if times else None
        ),
    }


_ENDS = ("in_time", "late", "refused", "failed", "left")
_SERVED = frozenset({"in_time", "late"})


def _largest_share(outcomes):
    """Tell how many of the largest tenth were served."""
    owed = [outcome for outcome in outcomes if outcome.end != "left"]
    owed.sort(key=lambda o: o.arrival.prompt_tokens + o.arrival.output_tokens)
    largest = owed[-max(1, len(owed) // 10) :]
    return _share(sum(o.end in _SERVED for o in largest), len(largest))


def _never_served(outcomes):
    """Count the adapters asked for often and never served."""
    asked, served = collections.Counter(), collections.Counter()
    for outcome in outcomes:
        asked[outcome.arrival.adapter] += 1
        served[outcome.arrival.adapter] += outcome.end in _SERVED
    often = [name for name, count in asked.items() if count >= OFTEN]
    return sum(not served[name] for name in often)


def summarise(day):
    """Describe a day that was played.

    :returns: plain data.
    """
    kinds = {
        kind.name: _kind_row(
            kind, [o for o in day.outcomes if o.arrival.kind is kind]
        )
        for kind in day.size.kinds
    }
    owed = {
        kind.name: kind.worth
        * (kinds[kind.name]["asked"] - kinds[kind.name]["left"])
        for kind in day.size.kinds
    }
    earned = sum(kinds[name]["credit"] * worth for name, worth in owed.items())
    runs = [len(engine.runs) for engine in day.engines]
    return {
        "kinds": kinds,
        "credit": _share(earned, sum(owed.values())),
        "loads": day.weights.loads,
        "orders": sum(len(engine.orders) for engine in day.engines),
        "preempted": sum(engine.preempted for engine in day.engines),
        "busiest": _share(max(runs) * len(runs), sum(runs)),
        "running": _share(
            sum(engine.run_s for engine in day.engines),
            day.length_s * len(runs),
        ),
        "adapters_asked": len({o.arrival.adapter for o in day.outcomes}),
        "adapters_never_served": _never_served(day.outcomes),
        "seconds": _seconds(day),
    }


def _seconds(day):
    """Count the requests of each second by how they ended."""
    rows = [collections.Counter() for _ in range(int(day.length_s) + 1)]
    for outcome in day.outcomes:
        rows[int(outcome.arrival.at_s)][outcome.end] += 1
    return [{name: row[name] for name in _ENDS if row[name]} for row in rows]


def run(size_name, pattern_name, seed, length_s=LENGTH_S):
    """Play one day in virtual time.

    The arrivals are the same for the same seed; which of two tasks runs
    first is not, so results differ in the third figure.

    :returns: the result as plain data.
    :raises BadField: if a name is not known.
    """
    size = _arrivals.find(_arrivals.SIZES, size_name, "size")
    pattern = _arrivals.find(_arrivals.PATTERNS, pattern_name, "pattern")
    day = Day(size, pattern, seed, length_s)
    random.seed(f"jitter/{seed}")
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(day.run, clock=clock)
    return {
        "size": size_name,
        "pattern": pattern_name,
        "seed": seed,
        **summarise(day),
    }


def plot(result, path):
    """Draw the day by second; needs the optional extra ``plot``.

    :param path: PNG file to write.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = result["seconds"]
    figure, axes = pyplot.subplots(figsize=(11, 4), layout="constrained")
    series = [[row.get(name, 0) for row in rows] for name in _ENDS]
    axes.stackplot(range(len(rows)), series, labels=_ENDS, step="post")
    axes.set_xlabel("s")
    axes.set_ylabel("requests in a second")
    axes.legend(loc="upper right", fontsize="small")
    axes.set_title(
        f"{result['size']}, {result['pattern']}, seed {result['seed']}"
    )
    figure.savefig(path)
    pyplot.close(figure)


def lines(result):
    """Render a result for people."""
    yield (
        f"{result['size']}, {result['pattern']}, seed {result['seed']}: "
        f"credit {result['credit']:.3f}, {result['loads']} loads of "
        f"{result['adapters_asked']} adapters asked for, "
        f"{result['orders']} orders, busiest engine "
        f"{result['busiest']:.2f} of the mean"
    )
    for name, row in result["kinds"].items():
        yield (
            f"{name:10} asked {row['asked']:5}  in time {row['in_time']:5}  "
            f"late {row['late']:4}  refused {row['refused']:4}  "
            f"failed {row['failed']:4}  credit {row['credit']:.3f}  "
            f"first event p50 {row['first_p50_s']} s"
        )
