"""Traffic, fault windows and checks of the promises.

The checks compare what callers received with what the stand-ins
recorded; nothing that nodes say of themselves counts.
"""

import collections
import dataclasses
import json
import math
import random
import uuid

import trio

from coltsfootsail import _config
from coltsfootsail import _demo
from coltsfootsail import _deployment
from coltsfootsail import _document
from coltsfootsail import _http
from coltsfootsail import _kv
from coltsfootsail import exceptions
from tests import conftest

WARM_S = 5.0
FAULT_S = 25.0
AFTER_S = 15.0
SETTLE_S = 45.0
RATE_PER_S = 12.0
CALL_TIMEOUT_S = 40.0
SLOTS = 3
TOKENS = 12
ORDER_REPEATS = 4
PROBE = "probe"
PROBE_VERSIONS = tuple(f"v{number:03d}" for number in range(40))
IN_FORCE_S = 9.0
DRAIN_S = 3.0
OPERATOR_PAUSE_S = 1.0


@dataclasses.dataclass(slots=True)
class Sent:
    """A request as its caller saw it."""

    kind: str
    content: str
    adapter: str = ""
    key: str = ""
    started_s: float = 0.0
    ended_s: float = 0.0
    state: str = "none"
    code: str = ""
    problem: str = ""


@dataclasses.dataclass(slots=True)
class Drained:
    """What must get no new work, and from when to when."""

    since_s: float
    kind: str
    name: str
    until_s: float = math.inf


@dataclasses.dataclass(slots=True)
class World:
    """One run: the system, its traffic and what was changed."""

    system: object
    rng: random.Random
    sent: list = dataclasses.field(default_factory=list)
    accepted: list = dataclasses.field(default_factory=list)
    ordered: list = dataclasses.field(default_factory=list)
    drained: list = dataclasses.field(default_factory=list)
    kept: dict = dataclasses.field(default_factory=dict)
    pins: list = dataclasses.field(default_factory=list)
    stopped: bool = False
    poison: str = ""
    planned: bool = False

    def victim(self, pool):
        """Pick a name the same way for the same seed."""
        return sorted(pool)[self.rng.randrange(len(pool))]


def probe_document(system):
    """The deployment's document with an adapter whose pin is changed."""
    document = system.document()
    first = next(iter(document.adapters.values()))
    adapter = dataclasses.replace(
        first, versions=PROBE_VERSIONS, pin=PROBE_VERSIONS[0]
    )
    adapters = {**document.adapters, PROBE: adapter}
    return dataclasses.replace(document, adapters=adapters)


def uuid7(now_s, rng):
    """Make a UUIDv7 at a time (RFC 9562, section 5.7)."""
    stamp = int(now_s * 1000) << 80
    tail = rng.getrandbits(74)
    high, low = tail >> 62, tail & ((1 << 62) - 1)
    value = stamp | 0x7 << 76 | high << 64 | 0b10 << 62 | low
    return str(uuid.UUID(int=value))


async def _address(world, model):
    """Ask nodes for an address until one answers, as callers do.

    Callers of the probe also use any address that they were told of and
    that has not lapsed.
    """
    now_s = trio.current_time()
    kept = [name for name, until_s in world.kept.items() if until_s > now_s]
    if model == PROBE and kept:
        return world.victim(kept)
    hosts = list(world.system.hosts)
    world.rng.shuffle(hosts)
    for host in hosts[:4]:
        try:
            _, route = await world.system.client.call_json(
                world.system.caller_address(host),
                "GET",
                f"/v1/route?model={model}",
                timeout_s=2.0,
            )
            until_s = now_s + route["ttl_s"]
            world.kept.update(dict.fromkeys(route["addresses"], until_s))
            return route["addresses"][0]
        except (OSError, KeyError, IndexError):
            continue
    return None


async def _send(world, sent, method, target, value, headers=()):
    """Send a request once and note how it ended."""
    now = trio.current_time
    sent.started_s = now()
    address = await _address(world, sent.adapter)
    body = json.dumps(value, ensure_ascii=False).encode()
    if address is None:
        sent.state = "no_address"
        sent.ended_s = now()
        return None
    try:
        status, _, answer = await world.system.client.call(
            address,
            method,
            target,
            headers=headers,
            body=body,
            timeout_s=CALL_TIMEOUT_S,
            fresh=True,
        )
    except OSError:
        sent.state, sent.code = "broken", "connection"
        sent.ended_s = now()
        return None
    sent.ended_s = now()
    if status != 200:
        error = json.loads(answer).get("error", {})
        if isinstance(error, str):
            sent.state, sent.code = "passed_on", str(status)
            return None
        sent.state, sent.code = error["outcome"], error["code"]
        return None
    return answer


async def send_completion(world, kind, adapter, stream, prompt=None):
    """Send one completion and check its answer."""
    content = prompt or f"p-{world.rng.getrandbits(64):x}"
    sent = Sent(kind, content, adapter)
    world.sent.append(sent)
    value = {
        "model": adapter,
        "prompt": content,
        "max_tokens": TOKENS,
        "stream": stream,
    }
    answer = await _send(world, sent, "POST", "/v1/completions", value)
    if answer is None:
        return sent
    found = _demo.read_completion(200, answer, stream)
    if found is None:
        sent.state, sent.code = "broken", "not_whole"
        return sent
    sent.state = "answered"
    if kind == PROBE:
        sent.adapter = found[0]
        adapter = found[0] if found[0].startswith(PROBE + "@") else adapter
    sent.problem = _demo.check_completion(found, adapter, content, TOKENS)
    return sent


async def send_order(world, path):
    """Send a non-idempotent call, repeating it as callers do."""
    key = uuid7(conftest.WALL_START_S + trio.current_time(), world.rng)
    for _ in range(ORDER_REPEATS):
        sent = Sent("order", key, key=key)
        world.sent.append(sent)
        headers = [("idempotency-key", key)]
        answer = await _send(world, sent, "POST", path, {"o": key}, headers)
        if answer is not None:
            sent.state = "answered"
            if key not in json.loads(answer)["echo"]:
                sent.problem = "answer to another order"
            return
        await trio.sleep(1.0)


def _once_path(deployment):
    for call in deployment.calls:
        rest = call.path.removeprefix(deployment.service_prefix)
        if call.method == "POST" and rest not in deployment.idempotent_paths:
            return call.path
    raise AssertionError("no such call")


def _pick_adapter(world, group):
    """Pick an adapter with skewed popularity."""
    names = _deployment.adapter_names(group)
    position = min(int(world.rng.paretovariate(1.0)) - 1, len(names) - 1)
    version = ("v1", "v2")[world.rng.random() < 0.8]
    return f"{names[position]}@{version}"


async def traffic(world):
    """Send the deployment's mix until the world stops."""
    deployment = world.system.deployment
    path = _once_path(deployment)
    async with trio.open_nursery() as nursery:
        while not world.stopped:
            draw = world.rng.random()
            if draw < 0.2:
                nursery.start_soon(send_order, world, path)
            elif draw < 0.25:
                nursery.start_soon(send_completion, world, PROBE, PROBE, False)
            else:
                group = deployment.groups[
                    world.rng.randrange(len(deployment.groups))
                ]
                nursery.start_soon(
                    send_completion,
                    world,
                    group.priority,
                    _pick_adapter(world, group),
                    group.stream,
                )
            await trio.sleep(world.rng.expovariate(RATE_PER_S))


def operator_kv(world, name="operator"):
    """Make an operator's own client of the KV service."""
    client = _http.HttpClient(world.system.network_of(name))
    return _kv.KvClient(client, [world.system.addresses["kv"]])


async def change_pins(world):
    """Move the probe's pin ahead every few seconds, as operators do."""
    kv = operator_kv(world)
    stored = _config.EMPTY
    for version in PROBE_VERSIONS[1:]:
        await trio.sleep(4.0)
        if world.stopped:
            return
        try:
            stored = await _config.refresh(kv, stored)
            old = stored.document.adapters[PROBE]
            new = dataclasses.replace(old, pin=version)
            operation = _config.make_operation("adapters", PROBE, old, new)
            await _config.apply(kv, _config.Edit((operation,)), stored)
        except exceptions.ColtsfootsailError:
            continue
        world.pins.append((trio.current_time(), version))


async def apply_entry(world, section, key, entry, wanted=lambda: True):
    """Set an entry of the configuration, as often as it takes.

    While the KV service is away an edit ends in a typed error, and the
    operator sends it again.  An edit whose answer was lost is there then.

    :param wanted: closure that says whether the operator still wants it.
    :returns: whether it was accepted.
    """
    kv = operator_kv(world)
    while wanted():
        try:
            stored = await _config.refresh(kv, _config.EMPTY)
            old = getattr(stored.document, section).get(key)
            operation = _config.make_operation(section, key, old, entry)
            await _config.apply(kv, _config.Edit((operation,)), stored)
        except exceptions.KvError:
            await trio.sleep(OPERATOR_PAUSE_S)
        else:
            return True
    return False


async def drain_order(world, kind, name):
    """Order a drain beside the run, since it may meet a dead service."""
    world.ordered.append((kind, name))
    world.system._nursery.start_soon(_order_drain, world, kind, name)
    await trio.lowlevel.checkpoint()


async def _order_drain(world, kind, name):
    entry = _document.Drain(kind, name)
    key = f"{kind}-{name}"
    if await apply_entry(
        world, "drains", key, entry, lambda: (kind, name) in world.ordered
    ):
        world.drained.append(Drained(trio.current_time(), kind, name))


async def undrain(world):
    """Take all drain orders back, those not yet accepted included."""
    ordered, world.ordered = world.ordered, []
    for item in world.drained:
        item.until_s = trio.current_time()
    for kind, name in ordered:
        await apply_entry(world, "drains", f"{kind}-{name}", None)


# -- checks -------------------------------------------------------------


def _runs(world):
    return [run for item in world.system.engines.values() for run in item.runs]


def check_answers(world):
    """Each answer is of the named adapter and version, whole, one's own."""
    return [
        f"{sent.adapter} {sent.content}: {sent.problem}"
        for sent in world.sent
        if sent.state == "answered" and sent.problem
    ]


def check_evictions(world):
    """No adapter is evicted while a protected request runs on it."""
    return [
        f"{name}: {eviction.adapter} at {eviction.at_s:.2f}"
        for name, item in world.system.engines.items()
        for eviction in item.evictions
        if any(run.protected for run in eviction.running)
    ]


def check_not_run(world):
    """A request refused as not run was not run."""
    prompts = collections.Counter(run.prompt for run in _runs(world))
    found = []
    for sent in world.sent:
        if sent.state != "not_run" or sent.kind == "order":
            continue
        if sent.content != world.poison and prompts[sent.content]:
            found.append(f"{sent.content}: {sent.code}")
    return found


def _order_runs(world, key):
    services = world.system.services.values()
    return sum(item.runs[key] for item in services)


def check_orders(world):
    """A non-idempotent request runs at most once."""
    keys = {sent.key for sent in world.sent if sent.key}
    return [
        f"{key} ran {_order_runs(world, key)} times"
        for key in sorted(keys)
        if _order_runs(world, key) > 1
    ]


def check_orders_not_run(world):
    """An order of which no attempt was more than not run did not run."""
    states = collections.defaultdict(set)
    for sent in world.sent:
        if sent.key:
            states[sent.key].add(sent.state)
    return [
        f"{key} ran though refused"
        for key, seen in sorted(states.items())
        if seen <= {"not_run", "no_address"} and _order_runs(world, key)
    ]


def check_config(world):
    """Accepted pins are in force in time, and versions never go back."""
    found = []
    latest = {}
    probes = [s for s in world.sent if s.kind == PROBE]
    for sent in sorted(probes, key=lambda item: item.ended_s):
        if sent.state != "answered":
            continue
        version = sent.adapter.partition("@")[2]
        due = [
            pin
            for at_s, pin in world.pins
            if at_s + IN_FORCE_S < sent.started_s
        ]
        if due and version < due[-1]:
            found.append(f"{version} at {sent.started_s:.1f}, due {due[-1]}")
        latest[version] = sent.started_s
    return found


def check_drained(world):
    """A drained endpoint gets no new work after a few seconds."""
    found = []
    for item in world.drained:
        for key, entry in world.system.document().endpoints.items():
            drain = _document.Drain(item.kind, item.name)
            document = _document.Document(drains={"d": drain})
            if not _document.is_drained(document, key, entry):
                continue
            engine = world.system.engines.get(key)
            late = [
                run
                for run in (engine.runs if engine else ())
                if item.since_s + DRAIN_S < run.started_s < item.until_s
            ]
            found += [f"{key}: run at {run.started_s:.1f}" for run in late]
    return found


def check_planned(world):
    """Planned changes cut off no request."""
    if not world.planned:
        return []
    return [
        f"{sent.kind} {sent.content}: {sent.code} at {sent.ended_s:.1f}"
        for sent in world.sent
        if sent.state in ("broken", "unknown")
    ]


CHECKS = {
    "planned": check_planned,
    "answers": check_answers,
    "evictions": check_evictions,
    "not_run": check_not_run,
    "orders": check_orders,
    "orders_not_run": check_orders_not_run,
    "config": check_config,
    "drained": check_drained,
}


def violations(world):
    """Run all checks.

    :returns: dict of promise to list of violations, empty ones left out.
    """
    found = {name: check(world) for name, check in CHECKS.items()}
    return {name: rows for name, rows in found.items() if rows}


def summary(world):
    """Count how the requests of a run ended."""
    states = collections.Counter(sent.state for sent in world.sent)
    codes = collections.Counter(sent.code for sent in world.sent if sent.code)
    total = len(world.sent)
    share = states["answered"] / total if total else 0.0
    return {
        "requests": total,
        "answered_share": round(share, 3),
        "states": dict(states),
        "codes": dict(codes),
    }


def row(world, name, faults):
    """Describe a run for the table of faults."""
    found = violations(world)
    counts = {promise: len(found.get(promise, ())) for promise in CHECKS}
    label = "+".join(fault.name for fault in faults)
    return {
        "name": name,
        "faults": label,
        "violations": counts,
        **summary(world),
    }


async def run_world(system, faults, seed, check_at_end=None):
    """Run traffic through fault windows.

    :param system: an ``Embedded`` in memory.
    :param faults: list of ``Fault``; all are on in the same window.
    :returns: the ``World``.
    """
    world = World(system, random.Random(seed))
    world.planned = all(fault.planned for fault in faults)
    async with trio.open_nursery() as nursery:
        await system.start_standins(nursery)
        system._nursery = nursery
        await system.store_document(probe_document(system))
        for host in system.hosts:
            await system.start_node(host, nursery)
        await system.wait_ready()
        async with trio.open_nursery() as clients:
            clients.start_soon(traffic, world)
            clients.start_soon(change_pins, world)
            await trio.sleep(WARM_S)
            for fault in faults:
                await fault.apply(world)
            await trio.sleep(FAULT_S)
            for fault in faults:
                await fault.heal(world)
            await trio.sleep(AFTER_S)
            world.stopped = True
            with trio.move_on_after(SETTLE_S):
                while any(not sent.ended_s for sent in world.sent):
                    await trio.sleep(0.5)
            clients.cancel_scope.cancel()
        if check_at_end is not None:
            await check_at_end(world)
        nursery.cancel_scope.cancel()
    return world
