"""The faults that the tests inject."""

import collections.abc
import dataclasses

import trio

from coltsfootsail import _document
from coltsfootsail.standins import engine
from coltsfootsail.standins import kv
from coltsfootsail.standins import network
from coltsfootsail.standins import platform
from tests.faults import harness

PAUSE_S = 60.0
SHIFT_GROUP = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault and the functions that inject and remove it.

    :param apply: ``async (scenario)``.
    :param heal: ``async (scenario)``.
    :param planned: whether it is a planned change, during which no
        request may be interrupted.
    """

    name: str
    apply: collections.abc.Callable
    heal: collections.abc.Callable
    planned: bool = False


async def _no_change(scenario):
    await trio.lowlevel.checkpoint()


async def _services_lose_replies(scenario):
    for standin in scenario.system.services.values():
        standin.fault = platform.ServiceFault.LOST_REPLY
    await trio.lowlevel.checkpoint()


async def _services_recover(scenario):
    for standin in scenario.system.services.values():
        standin.fault = platform.ServiceFault.NONE
    await trio.lowlevel.checkpoint()


def _engine_fault(fault):
    async def apply(scenario):
        name = scenario.choose(scenario.system.engines)
        scenario.system.engines[name].fault = fault
        await trio.lowlevel.checkpoint()

    async def heal(scenario):
        for standin in scenario.system.engines.values():
            standin.fault = engine.EngineFault.NONE
        await trio.lowlevel.checkpoint()

    return Fault(f"engine_{fault.value}", apply, heal)


def _kv_fault(fault):
    async def apply(scenario):
        scenario.system.kv.set_fault(fault)
        await trio.lowlevel.checkpoint()

    async def heal(scenario):
        scenario.system.kv.set_fault(kv.KvFault.NONE)
        await trio.lowlevel.checkpoint()

    return Fault(f"kv_{fault.value}", apply, heal)


def _service_fault(fault):
    async def apply(scenario):
        name = scenario.choose(scenario.system.services)
        scenario.system.services[name].fault = fault
        await trio.lowlevel.checkpoint()

    return Fault(f"service_{fault.value}", apply, _services_recover)


async def _crash_engines(scenario):
    for _ in range(4):
        for standin in scenario.system.engines.values():
            standin.crash()
        await trio.sleep(2.0)


async def _expire_lease(scenario):
    host = _owning_host(scenario)
    key = f"/coltsfootsail/state/members/{host}"
    scenario.system.kv.drop_lease_of(key)
    await trio.lowlevel.checkpoint()


def _owning_host(scenario):
    hosts = [
        host
        for host, node in scenario.system.live().items()
        if any(owner.active for owner in dict(node.owners.items()).values())
    ]
    return scenario.choose(hosts)


async def _pause_node(scenario):
    host = _owning_host(scenario)
    scenario.system.net.pause(host)
    await trio.sleep(PAUSE_S - harness.FAULT_S)


async def _resume_nodes(scenario):
    for host in scenario.system.hosts:
        scenario.system.net.resume(host)
    await trio.lowlevel.checkpoint()


async def _kill_node(scenario):
    host = _owning_host(scenario)
    scenario.system.kill(host)
    scenario.system.net.break_host(host)
    await trio.lowlevel.checkpoint()


async def _restart_nodes(scenario):
    for host in sorted(scenario.system.down):
        await scenario.system.start_node(host)


async def _replace_host(scenario):
    await _kill_node(scenario)
    for host in scenario.system.down:
        scenario.system.host_list.set_state(host, "gone")


async def _restore_host(scenario):
    for host in sorted(scenario.system.down):
        scenario.system.host_list.set_state(host, "live")
    await _restart_nodes(scenario)


def _partition(name, others, fault=network.LinkFault.SILENT, one_way=False):
    async def apply(scenario):
        net, host = scenario.system.net, _owning_host(scenario)
        for other in others(scenario, host):
            if one_way:
                net.set_fault(host, other, fault)
            else:
                net.cut(host, other, fault)
        await trio.lowlevel.checkpoint()

    async def heal(scenario):
        scenario.system.net.heal()
        await trio.lowlevel.checkpoint()

    return Fault(name, apply, heal)


def _peers(scenario, host):
    return [other for other in scenario.system.hosts if other != host]


def _engines(scenario, host):
    return list(scenario.system.engines)


def _kv_host(scenario, host):
    return ["kv"]


def _all_but_callers(scenario, host):
    return ["kv", "hosts", *_peers(scenario, host), *_engines(scenario, host)]


async def _silence_open_connections(scenario):
    net, host = scenario.system.net, _owning_host(scenario)
    others = [*_peers(scenario, host), *_engines(scenario, host), "kv"]
    for other in others:
        net.silence_open(host, other)
    await trio.lowlevel.checkpoint()


async def _lose_data_centre(scenario):
    system = scenario.system
    data_centre = system.deployment.data_centres[0]
    unreachable = [
        host
        for host, location in system.hosts.items()
        if location == data_centre
    ]
    entries = system.document().endpoints
    unreachable += [
        name
        for name, entry in entries.items()
        if entry.data_centre == data_centre
    ]
    all_hosts = {*system.hosts, *entries, "kv", "hosts", "caller", "operator"}
    for name in unreachable:
        for other in all_hosts - {name}:
            system.net.cut(name, other)
    await trio.lowlevel.checkpoint()


async def _heal_network(scenario):
    scenario.system.net.heal()
    await trio.lowlevel.checkpoint()


async def _send_poisoned_requests(scenario):
    scenario.poison = "poison-pill"
    for standin in scenario.system.engines.values():
        standin.poison = (scenario.poison,)
    group = scenario.system.deployment.groups[0]
    adapter = f"{group.prefix}-0003@v2"
    for _ in range(6):
        await harness.send_completion(
            scenario, "poison", adapter, False, scenario.poison
        )
        await trio.sleep(0.5)


async def _drain_endpoint(scenario):
    name = scenario.choose(scenario.system.engines)
    kind = _document.DrainKind.ENDPOINT
    await harness.request_drain(scenario, kind, name)


async def _drain_data_centre(scenario):
    data_centre = scenario.system.deployment.data_centres[0]
    kind = _document.DrainKind.DATA_CENTRE
    await harness.request_drain(scenario, kind, data_centre)


async def _mark_host_leaving(scenario):
    name = f"host-{scenario.choose(scenario.system.engines)}"
    scenario.system.host_list.set_state(name, "leaving")
    shown_s = trio.current_time() + scenario.system.host_list.lag_s
    kind = _document.DrainKind.HOST
    scenario.drain_windows.append(harness.DrainWindow(shown_s, kind, name))
    await trio.lowlevel.checkpoint()


async def _drain_node(scenario):
    host = _owning_host(scenario)
    node = scenario.system.nodes[host]
    scenario.system._nursery.start_soon(node.drain)
    await trio.lowlevel.checkpoint()


async def _host_list_down(scenario):
    scenario.system.host_list.down = True
    await trio.lowlevel.checkpoint()


async def _host_list_up(scenario):
    scenario.system.host_list.down = False
    await trio.lowlevel.checkpoint()


async def _disconnect_callers(scenario):
    """Disconnect callers while the engine runs their requests."""
    group = scenario.system.deployment.groups[0]
    for number in range(10):
        adapter = f"{group.prefix}-{number:04d}@v1"
        with trio.move_on_after(0.6 + 0.1 * number):
            await harness.send_completion(
                scenario, group.priority, adapter, group.stream
            )
        scenario.sent[-1].ended_s = scenario.sent[-1].ended_s or 1.0


async def _shift_popularity(scenario):
    """Send requests to adapters that were not requested before."""
    group = scenario.system.deployment.groups[0]
    async with trio.open_nursery() as nursery:
        for number in range(40):
            name = f"{group.prefix}-{19 - number % 8:04d}@v2"
            nursery.start_soon(
                harness.send_completion, scenario, group.priority, name, True
            )


def _clock_step(name, step_s):
    async def apply(scenario):
        scenario.system.clock_step_s[_owning_host(scenario)] = step_s
        await trio.lowlevel.checkpoint()

    async def heal(scenario):
        scenario.system.clock_step_s.clear()
        await trio.lowlevel.checkpoint()

    return Fault(name, apply, heal)


ENGINE_FAULTS = [
    _engine_fault(fault)
    for fault in engine.EngineFault
    if fault is not engine.EngineFault.NONE
]
KV_FAULTS = [
    _kv_fault(fault) for fault in kv.KvFault if fault is not kv.KvFault.NONE
]
SERVICE_FAULTS = [
    _service_fault(fault)
    for fault in platform.ServiceFault
    if fault is not platform.ServiceFault.NONE
]

FAULTS = [
    Fault("none", _no_change, _no_change, planned=True),
    *ENGINE_FAULTS,
    *KV_FAULTS,
    *SERVICE_FAULTS,
    Fault("services_lose_replies", _services_lose_replies, _services_recover),
    Fault("engines_crash", _crash_engines, _no_change),
    Fault("lease_lapses", _expire_lease, _no_change),
    Fault("node_paused", _pause_node, _resume_nodes),
    Fault("node_killed", _kill_node, _restart_nodes),
    Fault("host_replaced", _replace_host, _restore_host),
    _partition("cut_from_kv", _kv_host),
    _partition("cut_from_peers", _peers),
    _partition("cut_from_engines", _engines),
    _partition("cut_from_all_but_callers", _all_but_callers),
    _partition("one_way_to_peers", _peers, one_way=True),
    _partition("held_to_engines", _engines, network.LinkFault.HELD, True),
    Fault("open_connections_silent", _silence_open_connections, _no_change),
    Fault("data_centre_lost", _lose_data_centre, _heal_network),
    Fault("poisoned_request", _send_poisoned_requests, _no_change),
    Fault("endpoint_drained", _drain_endpoint, harness.undrain, planned=True),
    Fault(
        "data_centre_drained",
        _drain_data_centre,
        harness.undrain,
        planned=True,
    ),
    Fault("host_leaving", _mark_host_leaving, _no_change, planned=True),
    Fault("node_stopped", _drain_node, _restart_nodes, planned=True),
    Fault("host_list_down", _host_list_down, _host_list_up),
    Fault("callers_hang_up", _disconnect_callers, _no_change),
    _clock_step("clock_ahead", 3 * 86400.0),
    _clock_step("clock_behind", -3 * 86400.0),
    Fault("popularity_shift", _shift_popularity, _no_change),
]
BY_NAME = {fault.name: fault for fault in FAULTS}
