"""Traffic, fault windows and the checks of the system's guarantees.

The checks compare what callers received with what the stand-ins
recorded; they use nothing that the nodes report about themselves.
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

WARM_UP_S = 5.0
FAULT_S = 25.0
RECOVERY_S = 15.0
SETTLE_S = 45.0
REQUESTS_PER_S = 12.0
CALL_TIMEOUT_S = 40.0
ENGINE_SLOTS = 3
TOKENS = 12
ORDER_ATTEMPTS_MAX = 4
PROBE = "probe"
PROBE_VERSIONS = tuple(f"v{number:03d}" for number in range(40))
CONFIG_DELAY_MAX_S = 9.0
DRAIN_DELAY_MAX_S = 3.0
OPERATOR_RETRY_DELAY_S = 1.0


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request as its caller saw it.

    :param category: the priority class, ``"order"`` or ``"probe"``.
    :param content: the prompt or the idempotency key.
    :param outcome: how it ended, ``"none"`` while it runs.
    :param code: the error code, or the status of a forwarded error.
    :param problem: what is wrong with the answer, empty if nothing is.
    """

    category: str
    content: str
    adapter: str = ""
    key: str = ""
    started_s: float = 0.0
    ended_s: float = 0.0
    outcome: str = "none"
    code: str = ""
    problem: str = ""


@dataclasses.dataclass(slots=True)
class DrainWindow:
    """An endpoint, host or data centre and the time when it is drained.

    :param kind: a ``DrainKind``.
    """

    since_s: float
    kind: str
    name: str
    until_s: float = math.inf


@dataclasses.dataclass(slots=True)
class Scenario:
    """One run: the system, its traffic and the changes made to it.

    :param known_addresses: dict of address to the end of its TTL.
    :param accepted_pins: list of time and version.
    :param planned: whether all faults are planned changes.
    """

    system: object
    rng: random.Random
    sent: list = dataclasses.field(default_factory=list)
    accepted: list = dataclasses.field(default_factory=list)
    requested_drains: list = dataclasses.field(default_factory=list)
    drain_windows: list = dataclasses.field(default_factory=list)
    known_addresses: dict = dataclasses.field(default_factory=dict)
    accepted_pins: list = dataclasses.field(default_factory=list)
    stopped: bool = False
    poison: str = ""
    planned: bool = False

    def choose(self, pool):
        """Choose a name at random, reproducibly for a seed."""
        return sorted(pool)[self.rng.randrange(len(pool))]


def probe_document(system):
    """Return the deployment's document with the probe adapter added."""
    document = system.document()
    first = next(iter(document.adapters.values()))
    adapter = dataclasses.replace(
        first, versions=PROBE_VERSIONS, pin=PROBE_VERSIONS[0]
    )
    adapters = {**document.adapters, PROBE: adapter}
    return dataclasses.replace(document, adapters=adapters)


def uuid7(now_s, rng):
    """Create a UUIDv7 for a time (RFC 9562, section 5.7)."""
    stamp = int(now_s * 1000) << 80
    tail = rng.getrandbits(74)
    high, low = tail >> 62, tail & ((1 << 62) - 1)
    value = stamp | 0x7 << 76 | high << 64 | 0b10 << 62 | low
    return str(uuid.UUID(int=value))


async def _choose_address(scenario, model):
    """Ask nodes for an address until one answers, as callers do.

    Probe requests also use any address from an earlier answer whose TTL
    has not expired.
    """
    now_s = trio.current_time()
    unexpired = [
        name
        for name, until_s in scenario.known_addresses.items()
        if until_s > now_s
    ]
    if model == PROBE and unexpired:
        return scenario.choose(unexpired)
    hosts = list(scenario.system.hosts)
    scenario.rng.shuffle(hosts)
    for host in hosts[:4]:
        try:
            _, route = await scenario.system.client.call_json(
                scenario.system.caller_address(host),
                "GET",
                f"/v1/route?model={model}",
                timeout_s=2.0,
            )
            until_s = now_s + route["ttl_s"]
            scenario.known_addresses.update(
                dict.fromkeys(route["addresses"], until_s)
            )
            return route["addresses"][0]
        except (OSError, KeyError, IndexError):
            continue
    return None


async def _send_request(scenario, sent, method, target, value, headers=()):
    """Send a request once and record its outcome.

    :returns: the body of a successful answer, or None.
    """
    now = trio.current_time
    sent.started_s = now()
    address = await _choose_address(scenario, sent.adapter)
    body = json.dumps(value, ensure_ascii=False).encode()
    if address is None:
        sent.outcome = "no_address"
        sent.ended_s = now()
        return None
    try:
        status, _, answer = await scenario.system.client.call(
            address,
            method,
            target,
            headers=headers,
            body=body,
            timeout_s=CALL_TIMEOUT_S,
            fresh=True,
        )
    except OSError:
        sent.outcome, sent.code = "broken", "connection"
        sent.ended_s = now()
        return None
    sent.ended_s = now()
    if status != 200:
        error = json.loads(answer).get("error", {})
        if isinstance(error, str):
            sent.outcome, sent.code = "passed_on", str(status)
            return None
        sent.outcome, sent.code = error["outcome"], error["code"]
        return None
    return answer


async def send_completion(scenario, category, adapter, stream, prompt=None):
    """Send one completion and check its answer.

    :returns: the ``SentRequest``.
    """
    content = prompt or f"p-{scenario.rng.getrandbits(64):x}"
    sent = SentRequest(category, content, adapter)
    scenario.sent.append(sent)
    value = {
        "model": adapter,
        "prompt": content,
        "max_tokens": TOKENS,
        "stream": stream,
    }
    answer = await _send_request(
        scenario, sent, "POST", "/v1/completions", value
    )
    if answer is None:
        return sent
    completion = _demo.read_completion(200, answer, stream)
    if completion is None:
        sent.outcome, sent.code = "broken", "not_whole"
        return sent
    sent.outcome = "answered"
    if category == PROBE:
        sent.adapter = completion[0]
        adapter = (
            completion[0] if completion[0].startswith(PROBE + "@") else adapter
        )
    sent.problem = _demo.check_completion(completion, adapter, content, TOKENS)
    return sent


async def send_order(scenario, path):
    """Send a non-idempotent call and retry it with the same key."""
    key = uuid7(conftest.WALL_START_S + trio.current_time(), scenario.rng)
    for _ in range(ORDER_ATTEMPTS_MAX):
        sent = SentRequest("order", key, key=key)
        scenario.sent.append(sent)
        headers = [("idempotency-key", key)]
        answer = await _send_request(
            scenario, sent, "POST", path, {"o": key}, headers
        )
        if answer is not None:
            sent.outcome = "answered"
            if key not in json.loads(answer)["echo"]:
                sent.problem = "answer to another order"
            return
        await trio.sleep(1.0)


def _non_idempotent_path(deployment):
    for call in deployment.calls:
        rest = call.path.removeprefix(deployment.service_prefix)
        if call.method == "POST" and rest not in deployment.idempotent_paths:
            return call.path
    raise AssertionError("the deployment has no non-idempotent call")


def _pick_adapter(scenario, group):
    """Pick an adapter with skewed popularity."""
    names = _deployment.adapter_names(group)
    position = min(int(scenario.rng.paretovariate(1.0)) - 1, len(names) - 1)
    version = ("v1", "v2")[scenario.rng.random() < 0.8]
    return f"{names[position]}@{version}"


async def send_traffic(scenario):
    """Send the deployment's mix of requests until the scenario stops."""
    deployment = scenario.system.deployment
    path = _non_idempotent_path(deployment)
    async with trio.open_nursery() as nursery:
        while not scenario.stopped:
            draw = scenario.rng.random()
            if draw < 0.2:
                nursery.start_soon(send_order, scenario, path)
            elif draw < 0.25:
                nursery.start_soon(
                    send_completion, scenario, PROBE, PROBE, False
                )
            else:
                group = deployment.groups[
                    scenario.rng.randrange(len(deployment.groups))
                ]
                nursery.start_soon(
                    send_completion,
                    scenario,
                    group.priority,
                    _pick_adapter(scenario, group),
                    group.stream,
                )
            await trio.sleep(scenario.rng.expovariate(REQUESTS_PER_S))


def operator_kv(scenario, name="operator"):
    """Create a KV client on a host of its own."""
    client = _http.HttpClient(scenario.system.network_of(name))
    return _kv.KvClient(client, [scenario.system.addresses["kv"]])


async def change_probe_pin(scenario):
    """Pin the probe to its next version every few seconds."""
    kv = operator_kv(scenario)
    stored = _config.EMPTY
    for version in PROBE_VERSIONS[1:]:
        await trio.sleep(4.0)
        if scenario.stopped:
            return
        try:
            stored = await _config.refresh(kv, stored)
            old = stored.document.adapters[PROBE]
            new = dataclasses.replace(old, pin=version)
            operation = _config.make_operation("adapters", PROBE, old, new)
            await _config.apply(kv, _config.Edit((operation,)), stored)
        except exceptions.ColtsfootsailError:
            continue
        scenario.accepted_pins.append((trio.current_time(), version))


async def set_entry(scenario, section, key, entry, is_wanted=lambda: True):
    """Set an entry of the configuration, retrying until it is accepted.

    While the KV service is unavailable an edit raises a typed error and
    is sent again.  If only the answer was lost, the repeated edit finds
    the entry set already.

    :param is_wanted: callable; retries stop once it returns False.
    :returns: whether the edit was accepted.
    """
    kv = operator_kv(scenario)
    while is_wanted():
        try:
            stored = await _config.refresh(kv, _config.EMPTY)
            old = getattr(stored.document, section).get(key)
            operation = _config.make_operation(section, key, old, entry)
            await _config.apply(kv, _config.Edit((operation,)), stored)
        except exceptions.KvError:
            await trio.sleep(OPERATOR_RETRY_DELAY_S)
        else:
            return True
    return False


async def request_drain(scenario, kind, name):
    """Request a drain in the background; the KV service may be down."""
    scenario.requested_drains.append((kind, name))
    scenario.system._nursery.start_soon(_apply_drain, scenario, kind, name)
    await trio.lowlevel.checkpoint()


async def _apply_drain(scenario, kind, name):
    entry = _document.Drain(kind, name)
    key = f"{kind}-{name}"
    if await set_entry(
        scenario,
        "drains",
        key,
        entry,
        lambda: (kind, name) in scenario.requested_drains,
    ):
        scenario.drain_windows.append(
            DrainWindow(trio.current_time(), kind, name)
        )


async def undrain(scenario):
    """Withdraw all drains, those not yet accepted included."""
    requested, scenario.requested_drains = scenario.requested_drains, []
    for window in scenario.drain_windows:
        window.until_s = trio.current_time()
    for kind, name in requested:
        await set_entry(scenario, "drains", f"{kind}-{name}", None)


def _runs(scenario):
    return [
        run
        for engine in scenario.system.engines.values()
        for run in engine.runs
    ]


def check_answers(scenario):
    """Each answer is complete and from the requested adapter and version.

    It answers the caller's own request.
    """
    return [
        f"{sent.adapter} {sent.content}: {sent.problem}"
        for sent in scenario.sent
        if sent.outcome == "answered" and sent.problem
    ]


def check_evictions(scenario):
    """No adapter is evicted while a protected request runs on it."""
    return [
        f"{name}: {eviction.adapter} at {eviction.at_s:.2f}"
        for name, engine in scenario.system.engines.items()
        for eviction in engine.evictions
        if any(run.protected for run in eviction.running)
    ]


def check_not_run(scenario):
    """A request refused as not run was not run."""
    prompts = collections.Counter(run.prompt for run in _runs(scenario))
    problems = []
    for sent in scenario.sent:
        if sent.outcome != "not_run" or sent.category == "order":
            continue
        if sent.content != scenario.poison and prompts[sent.content]:
            problems.append(f"{sent.content}: {sent.code}")
    return problems


def _service_runs(scenario, key):
    services = scenario.system.services.values()
    return sum(service.runs[key] for service in services)


def check_orders(scenario):
    """A non-idempotent request runs at most once."""
    keys = {sent.key for sent in scenario.sent if sent.key}
    return [
        f"{key} ran {_service_runs(scenario, key)} times"
        for key in sorted(keys)
        if _service_runs(scenario, key) > 1
    ]


def check_orders_not_run(scenario):
    """An order did not run if all its attempts were reported as not run."""
    outcomes = collections.defaultdict(set)
    for sent in scenario.sent:
        if sent.key:
            outcomes[sent.key].add(sent.outcome)
    return [
        f"{key} ran though refused"
        for key, seen in sorted(outcomes.items())
        if seen <= {"not_run", "no_address"} and _service_runs(scenario, key)
    ]


def check_config(scenario):
    """Accepted pins take effect in time, and versions never go back."""
    problems = []
    latest = {}
    probes = [
        request for request in scenario.sent if request.category == PROBE
    ]
    for sent in sorted(probes, key=lambda probe: probe.ended_s):
        if sent.outcome != "answered":
            continue
        version = sent.adapter.partition("@")[2]
        due = [
            pin
            for at_s, pin in scenario.accepted_pins
            if at_s + CONFIG_DELAY_MAX_S < sent.started_s
        ]
        if due and version < due[-1]:
            problems.append(
                f"{version} at {sent.started_s:.1f}, due {due[-1]}"
            )
        latest[version] = sent.started_s
    return problems


def check_drained(scenario):
    """A drained endpoint gets no new requests after a few seconds."""
    problems = []
    for window in scenario.drain_windows:
        for key, entry in scenario.system.document().endpoints.items():
            drain = _document.Drain(window.kind, window.name)
            document = _document.Document(drains={"d": drain})
            if not _document.is_drained(document, key, entry):
                continue
            engine = scenario.system.engines.get(key)
            late = [
                run
                for run in (engine.runs if engine else ())
                if window.since_s + DRAIN_DELAY_MAX_S
                < run.started_s
                < window.until_s
            ]
            problems += [f"{key}: run at {run.started_s:.1f}" for run in late]
    return problems


def check_planned(scenario):
    """Planned changes interrupt no request."""
    if not scenario.planned:
        return []
    return [
        f"{sent.category} {sent.content}: {sent.code} at {sent.ended_s:.1f}"
        for sent in scenario.sent
        if sent.outcome in ("broken", "unknown")
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


def violations(scenario):
    """Run all checks.

    :returns: dict of check name to its violations, without empty ones.
    """
    by_check = {name: check(scenario) for name, check in CHECKS.items()}
    return {name: rows for name, rows in by_check.items() if rows}


def summary(scenario):
    """Count the outcomes of a run's requests."""
    outcomes = collections.Counter(sent.outcome for sent in scenario.sent)
    codes = collections.Counter(
        sent.code for sent in scenario.sent if sent.code
    )
    total = len(scenario.sent)
    share = outcomes["answered"] / total if total else 0.0
    return {
        "requests": total,
        "answered_share": round(share, 3),
        "states": dict(outcomes),
        "codes": dict(codes),
    }


def table_row(scenario, name, faults):
    """Describe a run for the table of faults."""
    by_check = violations(scenario)
    counts = {check: len(by_check.get(check, ())) for check in CHECKS}
    label = "+".join(fault.name for fault in faults)
    return {
        "name": name,
        "faults": label,
        "violations": counts,
        **summary(scenario),
    }


async def run_scenario(system, faults, seed, check_at_end=None):
    """Run traffic through fault windows.

    :param system: an ``Embedded`` in memory.
    :param faults: list of ``Fault``; all are active in the same window.
    :param seed: seed of the traffic and of the choice of faulty parts.
    :param check_at_end: ``async (scenario)``, called before the system is
        stopped.
    :returns: the ``Scenario``.
    """
    scenario = Scenario(system, random.Random(seed))
    scenario.planned = all(fault.planned for fault in faults)
    async with trio.open_nursery() as nursery:
        await system.start_standins(nursery)
        system._nursery = nursery
        await system.store_document(probe_document(system))
        for host in system.hosts:
            await system.start_node(host, nursery)
        await system.wait_ready()
        async with trio.open_nursery() as clients:
            clients.start_soon(send_traffic, scenario)
            clients.start_soon(change_probe_pin, scenario)
            await trio.sleep(WARM_UP_S)
            for fault in faults:
                await fault.apply(scenario)
            await trio.sleep(FAULT_S)
            for fault in faults:
                await fault.heal(scenario)
            await trio.sleep(RECOVERY_S)
            scenario.stopped = True
            with trio.move_on_after(SETTLE_S):
                while any(not sent.ended_s for sent in scenario.sent):
                    await trio.sleep(0.5)
            clients.cancel_scope.cancel()
        if check_at_end is not None:
            await check_at_end(scenario)
        nursery.cancel_scope.cancel()
    return scenario
