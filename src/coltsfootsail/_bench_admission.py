"""The admission bench: real gateways under load, in virtual time.

The gateways run unchanged on an in-memory network; the engines and the
store are stand-ins.  The bench tells how many callers are served in time
under a load pattern; a run takes seconds of real time.
"""

import collections
import dataclasses
import math
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
from coltsfootsail.standins import servers
from coltsfootsail.standins import store
from coltsfootsail.standins import users

LENGTH_S = 40.0
SLOW_WEIGHTS_LOADS = 1  # at full speed, while the weight store is slow
BUSY_S = 4.0  # during which all engines refuse
AT_ONCE_S = 0.2  # in which a refusal counts as immediate
STARTUP_S = 8.0  # time to claim the engines and load the base models
REGISTER_INTERVAL_S = 1.2  # how often an engine updates its entry
MAX_RETRIES = 1
REVOCATION_S = 5.0
KEYS = tuple(f"key-{number}" for number in range(6))
REVOKED_KEY = KEYS[0]
WORKSPACE_HEADER = "bench-workspace"  # names the workspace, without keys
HOT_WORKSPACE = "w0"
# Adapters with fewer requests do not count as never served.
FREQUENT_REQUESTS = 4


@dataclasses.dataclass(slots=True)
class CallOutcome:
    """How a call ended.

    :param end: ``in_time``, ``late``, ``refused``, ``failed`` or ``left``.
    :param first_s: time from the first attempt to the first event.
    :param refused_s: longest time that an attempt waited for its refusal,
        None if none was refused.
    :param key: the caller's key, empty for none.
    :param sent_s: when the last attempt was sent.
    """

    arrival: _arrivals.Arrival
    end: str
    key: str = ""
    sent_s: float = 0.0
    first_s: float | None = None
    refused_s: float | None = None


def _tenants(keys):
    """Make the configuration of tenants, one for each key."""
    return [{"name": f"t-{key}", "apiKeys": [key]} for key in keys]


def _configuration(size):
    routes = [
        users.route(
            kind.path,
            "mutating" if kind.is_plain else "streaming",
            "shop" if kind.is_plain else "engines",
            timeoutMs=round(kind.deadline_s * 1000),
            sloMs=round(kind.objective_s * 1000),
            priority=number,
        )
        for number, kind in enumerate(size.kinds, 1)
    ]
    engine = {
        **users.ENGINE,
        "slots": size.slots,
        "kvTokens": size.kv_tokens,
        "stride": size.tokens_per_event,
        "adapterSlots": size.adapter_slots,
    }
    services = [
        {"name": "engines", "maxConns": 370, "engine": engine},
        {"name": "shop", "maxConns": 110},
    ]
    raw = users.configuration(1)
    return {**raw, "routes": routes, "services": services}


class Simulation:
    """One run of a load pattern.

    :param size: a ``DeploymentSize``.
    :param pattern: a ``LoadPattern``.
    """

    def __init__(self, size, pattern, seed, length_s=LENGTH_S):
        self.size = size
        self.length_s = length_s
        self.outcomes = []
        self.engines = []
        self.gateways = []
        self.revoked_s = math.inf
        self.weights = batch.WeightStore(size.full_speed_loads)
        self._pattern = pattern
        self._arrivals = _arrivals.make_arrivals(size, pattern, length_s, seed)
        self._rng = random.Random(f"callers/{seed}")
        self._order_rng = random.Random(f"orders/{seed}")
        self._network = memory.MemoryNetwork()
        self._store = store.StoreStandIn()
        self._node_names = [f"g{number}" for number in range(size.nodes)]
        self._callers = _http.HttpClient(self._network.network("callers"))
        self._engine_scopes = {}
        self._configuration = _configuration(size)
        self._key_rng = random.Random(f"keys/{seed}")
        if pattern.has_keys:
            self._configuration["tenants"] = _tenants(KEYS)

    async def run(self):
        """Start the deployment and send all arrivals to it."""
        async with trio.open_nursery() as nursery:
            await self._start(nursery)
            await trio.sleep(STARTUP_S)
            begun_s = trio.current_time()
            async with trio.open_nursery() as callers:
                callers.start_soon(self._inject_fault)
                for arrival in self._arrivals:
                    await trio.sleep_until(begun_s + arrival.at_s)
                    callers.start_soon(self._call, arrival)
            nursery.cancel_scope.cancel()

    async def _start(self, nursery):
        await nursery.start(
            self._network.network("store").serve,
            "store:1",
            self._store.connection_handler("store:1"),
        )
        self._store.put("op/config", self._configuration)
        for number in range(self.size.engines):
            await self._start_engine(number, nursery)
        for number in range(self.size.plain_servers):
            await self._start_plain_server(number, nursery)
        for name in self._node_names:
            addresses = {
                f"{name}/{listener}": f"{name}:{port}"
                for listener, port in _LISTENER_PORTS
            }
            addresses |= {f"{n}/peer": f"{n}:81" for n in self._node_names}
            settings = _demo_gateways.node_settings(
                name, {**addresses, "store": "store:1"}, self._node_names
            )
            if self._pattern.has_keys:
                changed = dataclasses.replace(
                    settings.gateway, revocation_s=REVOCATION_S
                )
                settings = dataclasses.replace(settings, gateway=changed)
            network = self._network.network(name)
            gateway = _gateway.Gateway(settings, network)
            if self.size.workspaces:
                _attach_workspaces(gateway.engine_selector)
            self.gateways.append(gateway)
            nursery.start_soon(gateway.run)

    async def _start_engine(self, number, nursery):
        size = self.size
        factor = size.speeds[number % len(size.speeds)]
        speed = batch.ServerSpec(
            slots=size.slots,
            memory_tokens=size.kv_tokens,
            step_s=size.step_s / factor,
            prefill_tokens_per_s=size.prompt_tokens_per_s * factor,
            stride=size.tokens_per_event,
            cold_s=size.load_s,
        )
        name = f"e{number}"
        engine = batch.BatchServer(
            f"i-{name}",
            self._store,
            f"{name}:80",
            self.weights,
            speed,
            size.adapter_slots,
            nursery,
        )
        engine.is_order_late = self._is_order_late
        self.engines.append(engine)
        serve = self._network.network(name).serve
        scope = self._engine_scopes[engine] = trio.CancelScope()

        async def run(task_status):
            with scope:
                await serve(engine.address, engine.serve, task_status)

        await nursery.start(run)
        nursery.start_soon(self._register, engine)

    async def _start_plain_server(self, number, nursery):
        name = f"s{number}"
        server = servers.PlainServer(f"i-{name}")
        server.slots = self.size.plain_slots
        server.work_s = self.size.plain_work_s
        await nursery.start(
            self._network.network(name).serve, f"{name}:80", server.serve
        )
        entry = users.plain_entry(f"{name}:80")
        self._store.put(f"servers/{server.name}", entry)

    def _is_order_late(self):
        run_share = (trio.current_time() - STARTUP_S) / self.length_s
        late_share = self._pattern.late_orders(run_share)
        return self._order_rng.random() < late_share

    async def _register(self, engine):
        """Write the engine's entry whenever its adapters or models change.

        The entry is deleted once the engine is gone.
        """
        registered = None
        while not self._engine_scopes[engine].cancel_called:
            current = (dict(engine.adapters), dict(engine.models))
            if current != registered:
                registered = current
                engine.register()
            await trio.sleep(REGISTER_INTERVAL_S)
        self._store.drop(f"servers/{engine.name}")

    async def _inject_fault(self):
        await trio.sleep(self.length_s / 2)
        await _FAULTS[self._pattern.fault](self)

    async def _no_fault(self):
        pass

    async def _stop_one_engine(self):
        self._engine_scopes[self.engines[0]].cancel()

    async def _stop_a_third_of_the_engines(self):
        for engine in self.engines[::3]:
            self._engine_scopes[engine].cancel()

    async def _restart_all_engines(self):
        for engine in self.engines:
            engine.restart()

    async def _slow_weights(self):
        self.weights.full_speed_loads = SLOW_WEIGHTS_LOADS

    async def _revoke_key(self):
        """Revoke a key while a third of the nodes can't reach the store.

        One of these can't reach the other nodes either.
        """
        isolated = self._node_names[0]
        for name in self._node_names[::3]:
            self._network.cut(name, "store")
        for name in self._node_names[1:]:
            self._network.cut(isolated, name)
        changed = {**self._configuration, "version": 2}
        changed["tenants"] = _tenants(KEYS[1:])
        self._store.put("op/config", changed)
        self.revoked_s = trio.current_time()

    async def _refuse_at_all_engines(self):
        """Let all engines ask for a pause of ``BUSY_S``."""
        until_s = trio.current_time() + BUSY_S
        while trio.current_time() < until_s:
            left_s = until_s - trio.current_time()
            for engine in self.engines:
                engine.busy = f"{left_s:.2f}"
            await trio.sleep(0.1)
        for engine in self.engines:
            engine.busy = None

    async def _call(self, arrival):
        """Send a request as a caller does, with a retry if refused."""
        begun_s = trio.current_time()
        until_s = begun_s + arrival.kind.deadline_s
        if arrival.leaves_after_s is not None:
            until_s = min(until_s, begun_s + arrival.leaves_after_s)
        outcome = CallOutcome(arrival, "failed")
        if self._pattern.has_keys:
            outcome.key = self._key_rng.choice(KEYS)
        self.outcomes.append(outcome)
        with trio.CancelScope(deadline=until_s) as scope:
            for attempt in range(1 + MAX_RETRIES):
                retry_s = await self._attempt(outcome, begun_s, until_s)
                if retry_s is None:
                    return
                outcome.end = "refused"
                if attempt < MAX_RETRIES and not arrival.retries_immediately:
                    await trio.sleep(retry_s)
        if scope.cancelled_caught and arrival.leaves_after_s is not None:
            outcome.end = "left"

    async def _attempt(self, outcome, begun_s, until_s):
        """Send one attempt.

        :returns: seconds to wait before a retry if it was refused, else
            None.
        """
        address = f"{self._rng.choice(self._node_names)}:80"
        sent_s = trio.current_time()
        left_s = until_s - sent_s
        headers = _headers(outcome.arrival, left_s, self._rng)
        if outcome.key:
            headers.append((messages.AUTHORIZATION, f"Bearer {outcome.key}"))
        outcome.sent_s = sent_s
        try:
            async with self._callers.exchange(address) as exchange:
                await exchange.send(
                    "POST", outcome.arrival.kind.path, headers, b"x"
                )
                status = await exchange.read_head()
                if status == 503:
                    await exchange.read_body(1 << 20)
                    after_s = trio.current_time() - sent_s
                    outcome.refused_s = max(outcome.refused_s or 0.0, after_s)
                    return float(exchange.header("retry-after", "0.3"))
                if status == 401:
                    outcome.end = "refused"
                if status == 200:
                    await self._read_answer(exchange, outcome, begun_s)
        except (OSError, trio.BrokenResourceError, h11.ProtocolError):
            outcome.end = "failed"
        return None

    async def _read_answer(self, exchange, outcome, begun_s):
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
        in_time = first_s <= kind.objective_s and pause_s <= kind.max_gap_s
        outcome.end = "in_time" if in_time else "late"


_FAULTS = {
    "none": Simulation._no_fault,
    "engine_gone": Simulation._stop_one_engine,
    "engines_gone": Simulation._stop_a_third_of_the_engines,
    "all_empty": Simulation._restart_all_engines,
    "all_busy": Simulation._refuse_at_all_engines,
    "slow_weights": Simulation._slow_weights,
    "key_revoked": Simulation._revoke_key,
}
_LISTENER_PORTS = (
    ("caller", 80),
    ("peer", 81),
    ("ready", 82),
    ("directory", 83),
)


def _attach_workspaces(selector):
    """Take the workspaces of requests from a header of the bench."""
    make_request = selector.grant_request

    def grant_request(context):
        workspace = context.req.header(WORKSPACE_HEADER)
        return dataclasses.replace(make_request(context), workspace=workspace)

    selector.grant_request = grant_request


def _headers(arrival, left_s, rng):
    kind = arrival.kind
    unshared_tokens = arrival.prompt_tokens - kind.shared_tokens
    request_id = f"{rng.getrandbits(64):016x}"
    headers = [
        *([(WORKSPACE_HEADER, arrival.workspace)] * bool(arrival.workspace)),
        ("host", users.HOST),
        (messages.REQUEST_ID, request_id),
        (messages.DEADLINE, str(round(left_s * 1000))),
    ]
    if kind.is_plain:
        return headers
    return [
        *headers,
        (messages.MODEL, arrival.adapter),
        (messages.TOKENS, f"{arrival.prompt_tokens},{arrival.output_tokens}"),
        (
            messages.PROMPT_PREFIX,
            f"{kind.name}:{kind.shared_tokens},"
            f"{request_id[:8]}:{unshared_tokens}",
        ),
    ]


def _ratio(numerator, denominator):
    return round(numerator / denominator, 4) if denominator else 0.0


def _summarise_kind(kind, outcomes):
    """Summarise the calls of a kind.

    ``credit`` is the share of the credit that is earned when all answers
    are in time.  Callers who left early are not part of the shares.
    """
    ends = collections.Counter(outcome.end for outcome in outcomes)
    answerable = len(outcomes) - ends["left"]
    first_times = sorted(o.first_s for o in outcomes if o.first_s is not None)
    credit = (
        ends["in_time"] * kind.in_time_credit + ends["late"] * kind.late_credit
    )
    waits_s = sorted(o.refused_s for o in outcomes if o.refused_s is not None)
    return {
        "asked": len(outcomes),
        "refusal_p50_s": _quantile(waits_s, 0.5),
        "refusal_p90_s": _quantile(waits_s, 0.9),
        "refusal_max_s": _quantile(waits_s, 1.0),
        **{name: ends[name] for name in _ENDS},
        "in_time_share": _ratio(ends["in_time"], answerable),
        "served_share": _ratio(ends["in_time"] + ends["late"], answerable),
        "largest_served_share": _largest_served_share(outcomes),
        "credit": _ratio(credit, answerable * kind.in_time_credit),
        "refused_at_once": _refused_at_once_share(outcomes),
        "first_p50_s": _quantile(first_times, 0.5),
        "first_p99_s": _quantile(first_times, 0.99),
    }


def _quantile(values, fraction):
    """Get a quantile of sorted values, None without values."""
    if not values:
        return None
    index = min(len(values) - 1, int(len(values) * fraction))
    return round(values[index], 3)


def _summarise_workspaces(simulation):
    """Summarise the hot workspace and all others, in and out of its time."""
    if not simulation.size.workspaces:
        return {}
    begin, end = _arrivals.HOT_SHARE
    groups = collections.defaultdict(list)
    for outcome in simulation.outcomes:
        arrival = outcome.arrival
        is_hot = arrival.workspace == HOT_WORKSPACE
        is_during = begin <= arrival.at_s / simulation.length_s < end
        name = "hot" if is_hot else "others"
        name = f"{name} {'during' if is_during else 'outside'}"
        groups[name].append(outcome)
        groups[f"{name} {arrival.kind.name}"].append(outcome)
    return {
        name: _summarise_ends(outcomes)
        for name, outcomes in sorted(groups.items())
    }


def _summarise_ends(outcomes):
    ends = collections.Counter(outcome.end for outcome in outcomes)
    waits_s = sorted(o.refused_s for o in outcomes if o.refused_s is not None)
    return {
        "asked": len(outcomes),
        **{name: ends[name] for name in _ENDS},
        "in_time_share": _ratio(ends["in_time"], len(outcomes)),
        "refusal_p50_s": _quantile(waits_s, 0.5),
        "refusal_p90_s": _quantile(waits_s, 0.9),
    }


def _refused_at_once_share(outcomes):
    """Compute how many of the refused requests did not wait for it."""
    waits_s = [o.refused_s for o in outcomes if o.refused_s is not None]
    return _ratio(sum(each <= AT_ONCE_S for each in waits_s), len(waits_s))


_ENDS = ("in_time", "late", "refused", "failed", "left")
_SERVED = frozenset({"in_time", "late"})


def _largest_served_share(outcomes):
    """Compute the served share of the largest tenth of the requests."""
    answerable = [outcome for outcome in outcomes if outcome.end != "left"]
    answerable.sort(
        key=lambda o: o.arrival.prompt_tokens + o.arrival.output_tokens
    )
    largest = answerable[-max(1, len(answerable) // 10) :]
    return _ratio(sum(o.end in _SERVED for o in largest), len(largest))


def _count_never_served(outcomes):
    """Count the frequently requested adapters that were never served."""
    requested, served = collections.Counter(), collections.Counter()
    for outcome in outcomes:
        requested[outcome.arrival.adapter] += 1
        served[outcome.arrival.adapter] += outcome.end in _SERVED
    frequent = [
        name for name, count in requested.items() if count >= FREQUENT_REQUESTS
    ]
    return sum(not served[name] for name in frequent)


def _summarise_revocation(simulation):
    """Summarise the requests that were sent after a key was revoked.

    ``served_late`` counts those with that key that were served although they
    were sent after the bound.
    """
    since_s = simulation.revoked_s
    after = [o for o in simulation.outcomes if o.sent_s > since_s]
    revoked = [o for o in after if o.key == REVOKED_KEY]
    late = [o for o in revoked if o.sent_s > since_s + REVOCATION_S]
    others = [o for o in after if o.key != REVOKED_KEY]
    return {
        "asked": len(revoked),
        "served": sum(o.end in _SERVED for o in revoked),
        "asked_late": len(late),
        "served_late": sum(o.end in _SERVED for o in late),
        "others_asked": len(others),
        "others_served": sum(o.end in _SERVED for o in others),
    }


def summarise(simulation):
    """Summarise a run.

    ``busiest`` is the number of requests that ran on the busiest engine
    over the mean of all engines; ``running`` is the mean number of
    requests running on an engine.

    :returns: plain data.
    """
    kinds = {
        kind.name: _summarise_kind(
            kind, [o for o in simulation.outcomes if o.arrival.kind is kind]
        )
        for kind in simulation.size.kinds
    }
    full_credits = {
        kind.name: kind.in_time_credit
        * (kinds[kind.name]["asked"] - kinds[kind.name]["left"])
        for kind in simulation.size.kinds
    }
    credit = sum(
        kinds[name]["credit"] * full_credit
        for name, full_credit in full_credits.items()
    )
    run_counts = [len(engine.runs) for engine in simulation.engines]
    return {
        "kinds": kinds,
        "workspaces": _summarise_workspaces(simulation),
        "credit": _ratio(credit, sum(full_credits.values())),
        "loads": simulation.weights.loads,
        "orders": sum(len(engine.orders) for engine in simulation.engines),
        "preempted": sum(engine.preempted for engine in simulation.engines),
        "busiest": _ratio(max(run_counts) * len(run_counts), sum(run_counts)),
        "running": _ratio(
            sum(engine.run_s for engine in simulation.engines),
            simulation.length_s * len(run_counts),
        ),
        "adapters_asked": len(
            {o.arrival.adapter for o in simulation.outcomes}
        ),
        "adapters_never_served": _count_never_served(simulation.outcomes),
        "seconds": _ends_by_second(simulation),
        "revocation": _summarise_revocation(simulation),
    }


def _ends_by_second(simulation):
    """Count the requests that arrived in each second by how they ended."""
    rows = [collections.Counter() for _ in range(int(simulation.length_s) + 1)]
    for outcome in simulation.outcomes:
        rows[int(outcome.arrival.at_s)][outcome.end] += 1
    return [{name: row[name] for name in _ENDS if row[name]} for row in rows]


def run(size_name, pattern_name, seed, length_s=LENGTH_S):
    """Run a load pattern in virtual time.

    The same seed gives the same arrivals, but not the same order of tasks
    that are ready at the same time, so two results differ in the third
    digit.

    :returns: the result as plain data.
    :raises BadField: if a name is not known.
    """
    size = _arrivals.look_up(_arrivals.SIZES, size_name, "size")
    pattern = _arrivals.look_up(_arrivals.PATTERNS, pattern_name, "pattern")
    simulation = Simulation(size, pattern, seed, length_s)
    random.seed(f"jitter/{seed}")
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(simulation.run, clock=clock)
    return {
        "size": size_name,
        "pattern": pattern_name,
        "seed": seed,
        **summarise(simulation),
    }


def plot(result, path):
    """Draw the run by second; needs the optional extra ``plot``.

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
    """Render a result as text."""
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
            f"refused at once {row['refused_at_once']:.2f}  "
            f"first event p50 {row['first_p50_s']} s, "
            f"largest tenth served {row['largest_served_share']:.2f} of "
            f"{row['served_share']:.2f}, refusals after p50 "
            f"{row['refusal_p50_s']} s, p90 {row['refusal_p90_s']} s"
        )
    for name, row in result["workspaces"].items():
        yield (
            f"{name:21} asked {row['asked']:5}  in time {row['in_time']:5}  "
            f"late {row['late']:4}  refused {row['refused']:4}  "
            f"failed {row['failed']:4}  in time {row['in_time_share']:.3f}, "
            f"refusals after p50 {row['refusal_p50_s']} s, "
            f"p90 {row['refusal_p90_s']} s"
        )
    if result["revocation"]["asked"]:
        yield "revoked key: " + "  ".join(
            f"{name.replace('_', ' ')} {count}"
            for name, count in result["revocation"].items()
        )
