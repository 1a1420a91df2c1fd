"""Works docs/CAPACITY.md out from measured slopes.

Usage: ``python -m coltsfootsail._capacity docs/CAPACITY.md NODE_MB
GATEWAY_MB``, with the memory of a process that has imported the node, or
the gateway, and nothing else, as ``make capacity`` measures it.  Only
the text between ``<!-- begin: NAME -->`` and ``<!-- end: NAME -->``
changes.
"""

import dataclasses
import re
import sys

from coltsfootsail import _bench_capacity
from coltsfootsail import _bench_gateway
from coltsfootsail import _claims
from coltsfootsail import _mesh
from coltsfootsail import _ownership
from coltsfootsail import _view

CPU_BUDGET_SHARE = 0.023
MEMORY_BUDGET_MB = 64.0
BYTES_BUDGET_S = 18_000
KV_WRITES_MAX_S = 300
KV_READS_MAX_S = 2000
ACK_BYTES = 52
EVENTS_PER_WAKE = 2  # an adapter that wakes is loaded, and dropped later
EVENTS_PER_CLAIM = 4  # claim and record, given up and taken again
CLAIM_EVENT_BYTES = 260  # a record in JSON and base64, with its share
WATCH_BYTES = 600  # request, answer and acknowledgements
GATEWAY_RENEW_S = 1.5  # between renewals, as deployed


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The size to carry, from the users' letter."""

    nodes: int = 330
    regions: int = 4
    endpoints: int = 2700
    adapters: int = 50_000
    requests_s: float = 17_000.0
    tokens_s: float = 5_600_000.0
    changes_day: float = 1600.0
    churn_hour: float = 0.082
    failures_day: float = 32.0
    replacements_day: float = 300.0
    slots: int = 8
    lease_renew_s: float = 5.0
    loads_region_s: float = 30.0
    once_share: float = 0.01

    @property
    def peers(self):
        """Links of a node: the other nodes of its region."""
        return round(self.nodes / self.regions) - 1

    @property
    def endpoints_region(self):
        """Endpoints of a region."""
        return self.endpoints / self.regions

    @property
    def owned(self):
        """Endpoints that a node owns."""
        return self.endpoints / self.nodes

    @property
    def heartbeat_s(self):
        """Time between heartbeats of a link."""
        wanted_s = _mesh.HEARTBEAT_PER_LINK_S * self.peers
        return min(_mesh.HEARTBEAT_MAX_S, wanted_s)

    @property
    def beats_s(self):
        """Heartbeats that a node sends, and receives, in a second."""
        return self.peers / self.heartbeat_s

    @property
    def changes_s(self):
        """Configuration changes in a second."""
        return self.changes_day / 86400.0

    @property
    def wakes_s(self):
        """Adapters that wake in a second, over all regions."""
        return self.adapters * self.churn_hour / 3600.0

    @property
    def replacements_s(self):
        """Hosts that stop and start again in a second."""
        return (self.failures_day + self.replacements_day) / 86400.0

    @property
    def watches_s(self):
        """Waiting calls that a node makes in a second, and renewals."""
        return 1 / _view.WATCH_WAIT_S + 1 / GATEWAY_RENEW_S

    @property
    def residency_s(self):
        """Residency changes of a region in a second; a load makes two."""
        return 2 * self.loads_region_s


def _table(head, rows):
    lines = ["| " + " | ".join(head) + " |"]
    lines.append("|" + "---|" * len(head))
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def _slopes(result, _target):
    rows = [
        (part, name.replace("_", " "), f"{value:.1f}")
        for part, values in result.items()
        for name, value in values.items()
    ]
    return _table(("kind", "of", "slope"), rows)


def _memory_rows(result, target):
    memory = result["memory_bytes"]
    return [
        ("interpreter and libraries", 1, memory["imports"]),
        ("adapters", target.adapters, memory["adapter"]),
        ("endpoint entries", target.endpoints, memory["endpoint_entry"]),
        (
            "claims and holders",
            target.endpoints,
            memory["claim"],
        ),
        ("members", target.nodes, memory["member"]),
        (
            "residency of the region",
            target.endpoints_region,
            memory["residency_row"],
        ),
        (
            "popularity of awake adapters",
            target.adapters * target.churn_hour,
            memory["popularity_row"],
        ),
        ("links", target.peers, memory["peer_link"]),
    ]


def memory_mb(result, target):
    """Compute the memory of a node at target size, in MB."""
    rows = _memory_rows(result, target)
    return sum(count * size for _, count, size in rows) / 1e6


def _memory_table(result, target):
    rows = [
        (name, f"{count:.0f}", f"{size:.0f}", f"{count * size / 1e6:.2f}")
        for name, count, size in _memory_rows(result, target)
    ]
    total = memory_mb(result, target)
    rows.append(("**sum**", "", "", f"**{total:.1f}**"))
    rows.append(("budget", "", "", f"{MEMORY_BUDGET_MB:.0f}"))
    return _table(("state of a node", "count", "bytes each", "MB"), rows)


def _cpu_rows(result, target):
    cpu = result["cpu_us"]
    scans_s = 2.0
    change_us = (
        cpu["config_change_fixed"]
        + cpu["config_change_per_adapter"] * target.adapters
    )
    claims_s = 2 * target.failures_day / 86400.0 * target.owned
    return [
        (
            "heartbeats and loads, sent and received",
            target.beats_s,
            "member",
            cpu["heartbeat"],
        ),
        (
            "residency changes received",
            target.residency_s,
            "member",
            cpu["residency_change"],
        ),
        (
            "residency changes sent, a link each",
            target.residency_s / (target.peers + 1) * target.peers,
            "owner",
            cpu["residency_encode"],
        ),
        (
            "claim scan, two a second",
            scans_s * target.endpoints_region,
            "member",
            cpu["claims_scan_per_endpoint"],
        ),
        (
            "owner scan, two a second",
            scans_s * target.endpoints_region,
            "owner",
            cpu["claims_scan_per_endpoint"],
        ),
        (
            "configuration changes",
            target.changes_s,
            "configuration reader",
            change_us,
        ),
        (
            "claims watched after failures",
            claims_s,
            "member",
            cpu["claims_scan_per_endpoint"] * target.endpoints_region,
        ),
    ]


def cpu_share(result, target):
    """Compute the share of a core that control takes on a node."""
    rows = _cpu_rows(result, target)
    return sum(rate * cost_us for _, rate, _, cost_us in rows) / 1e6


def _cpu_table(result, target):
    rows = [
        (
            name,
            role,
            f"{rate:.2f}",
            f"{cost_us:.1f}",
            f"{rate * cost_us / 1e4:.3f} %",
        )
        for name, rate, role, cost_us in _cpu_rows(result, target)
    ]
    share = cpu_share(result, target)
    rows.append(("**sum**", "", "", "", f"**{share * 100:.2f} %**"))
    rows.append(("budget", "", "", "", f"{CPU_BUDGET_SHARE * 100:.1f} %"))
    head = ("control work of a node", "role", "a second", "µs each", "core")
    return _table(head, rows)


def _bytes_rows(result, target):
    sizes = result["message_bytes"]
    sent = target.residency_s / (target.peers + 1) * target.peers
    residency = sizes["residency_change"]
    return [
        ("heartbeats out", target.beats_s, sizes["heartbeat"]),
        ("heartbeats in", target.beats_s, sizes["heartbeat"]),
        ("acknowledgements", target.beats_s, ACK_BYTES),
        ("residency out, with heartbeats", sent, residency),
        ("residency in", target.residency_s, residency),
        ("configuration roots in", target.changes_s, sizes["config_root"]),
        ("lease renewals", 1 / target.lease_renew_s, 600.0),
    ]


def bytes_s(result, target):
    """Compute the bytes a second that control sends and receives."""
    rows = _bytes_rows(result, target)
    return sum(rate * size for _, rate, size in rows)


def _bytes_table(result, target):
    rows = [
        (name, f"{rate:.2f}", f"{size:.0f}", f"{rate * size / 1e3:.2f}")
        for name, rate, size in _bytes_rows(result, target)
    ]
    total = bytes_s(result, target)
    rows.append(("**sum**", "", "", f"**{total / 1e3:.2f}**"))
    rows.append(("budget", "", "", f"{BYTES_BUDGET_S / 1e3:.0f}"))
    return _table(("traffic of a node", "a second", "bytes", "KB/s"), rows)


def _kv_rows(target):
    renewals = target.nodes / target.lease_renew_s
    evictions = target.loads_region_s * target.regions / 2
    once = target.requests_s * target.once_share
    rack = 10
    centre_nodes = target.nodes / 9
    centre_claims = target.endpoints / 9
    return [
        ("lease renewals", renewals, 0.0, "one lease a node"),
        (
            "configuration changes",
            target.changes_s,
            0.1,
            "root by CAS; the watch event carries the delta",
        ),
        (
            "records before orders",
            evictions,
            evictions,
            "one write a swap, on endpoints that ignore fencing only",
        ),
        (
            "ledger, one claim in ten a write",
            2 * once / 10,
            once / 10,
            "claims of a bucket share a compare-and-swap",
        ),
        ("configuration poll", 0.0, target.nodes / 3.0, "one read in 3 s"),
        (
            "a rack of 10 nodes lost, over 5 s",
            rack * target.owned / 5,
            rack * target.owned / 5,
            "claims by rank, a second apart",
        ),
        (
            "a data centre lost, over 10 s",
            centre_claims / 10,
            centre_claims / 10,
            "as above; its endpoints are gone with it",
        ),
        (
            "return after an outage",
            target.nodes * 2 / 10 + target.regions * _ownership.CLAIMS_PER_S,
            target.nodes * 12 / 10,
            "backoff up to 10 s with jitter; 50 claims/s a region",
        ),
        (
            "300 replacements a day",
            300 * (3 + 2 * target.owned) / 86400,
            300 * 12 / 86400,
            "eight chunk reads of 32 a start",
        ),
        ("of a lost centre, nodes", centre_nodes / 10, 0.0, "members"),
    ]


def _kv_table(_result, target):
    rows = [
        (name, f"{writes:.1f}", f"{reads:.1f}", how)
        for name, writes, reads, how in _kv_rows(target)
    ]
    steady = _kv_rows(target)[:5]
    writes = sum(row[1] for row in steady)
    reads = sum(row[2] for row in steady)
    rows.append(
        ("**steady state**", f"**{writes:.0f}**", f"**{reads:.0f}**", "")
    )
    rows.append(("budget", str(KV_WRITES_MAX_S), str(KV_READS_MAX_S), ""))
    return _table(("KV calls", "writes/s", "reads/s", "mechanism"), rows)


def _request_table(result, target):
    cpu = result["cpu_us"]
    requests = target.requests_s / target.nodes
    tokens = target.tokens_s / target.nodes
    rows = [
        ("requests a node and second", f"{requests:.1f}"),
        ("token events a node and second", f"{tokens:.0f}"),
        (
            "placement, 675 endpoints, µs",
            f"{cpu['placement_675_endpoints']:.1f}",
        ),
        (
            "placement, 11 endpoints, µs",
            f"{cpu['placement_11_endpoints']:.1f}",
        ),
        (
            "first placement of an adapter, µs",
            f"{cpu['cold_placement_675_endpoints']:.0f}",
        ),
        ("scheduling of a request, µs", f"{cpu['schedule']:.1f}"),
        (
            "adapters that wake, a second",
            f"{target.wakes_s:.2f}",
        ),
    ]
    return _table(("data path of a node", "figure"), rows)


def gateway_rows(result, target):
    """List a gateway's control work at the target size.

    :returns: tuples of work, times a second, µs each, bytes each.
    """
    cpu = result["gateway_cpu_us"]
    size = result["gateway_message_bytes"]
    heartbeat = result["cpu_us"]["heartbeat"]
    beat_bytes = 2 * result["message_bytes"]["heartbeat"] + ACK_BYTES
    entries_s = EVENTS_PER_WAKE * target.wakes_s + target.replacements_s
    scans_s = 1 / _claims.CHECK_INTERVAL_S
    return [
        (
            "heartbeats, sent and received",
            target.beats_s,
            heartbeat,
            beat_bytes,
        ),
        (
            "look for vacant engines",
            scans_s,
            cpu["scan_per_engine"] * target.endpoints,
            0,
        ),
        (
            "entries of engines that change",
            entries_s,
            cpu["server_event"],
            size["server_event"],
        ),
        (
            "members and claims that change",
            EVENTS_PER_CLAIM * target.owned * target.replacements_s,
            cpu["server_event"],
            CLAIM_EVENT_BYTES,
        ),
        ("waiting calls and renewals", target.watches_s, 0, WATCH_BYTES),
    ]


def request_rows(result, target):
    """List what the starts of requests cost a gateway.

    :returns: tuples like those of ``gateway_rows``.
    """
    grant_us = 2 * result["gateway_cpu_us"]["grant"]
    grant_bytes = 2 * result["gateway_message_bytes"]["grant"]
    starts_s = target.requests_s / target.nodes
    loads_s = 2 * target.loads_region_s * target.regions
    return [
        ("starts asked for and granted", starts_s, grant_us, grant_bytes),
        (
            "entries that change, every region's weight store at its limit",
            loads_s,
            result["gateway_cpu_us"]["server_event"],
            result["gateway_message_bytes"]["server_event"],
        ),
    ]


def _work_table(rows, head, budget):
    lines = []
    core = traffic = 0.0
    for work, per_s, each_us, each_bytes in rows:
        core += per_s * each_us / 1e6
        traffic += per_s * each_bytes / 1e3
        lines.append(
            (
                work,
                f"{per_s:.2f}",
                f"{each_us:.1f}",
                f"{per_s * each_us / 1e4:.3f} %",
                f"{per_s * each_bytes / 1e3:.2f}",
            )
        )
    lines.append(("**sum**", "", "", f"{core:.2%}", f"{traffic:.1f}"))
    lines += budget
    return _table((head, "a second", "µs each", "core", "KB/s"), lines)


def _gateway_table(result, target):
    return _work_table(
        gateway_rows(result, target),
        "control work of a gateway",
        [("budget", "", "", f"{CPU_BUDGET_SHARE:.1%}", "18")],
    )


def _gateway_request_table(result, target):
    return _work_table(
        request_rows(result, target), "work of a gateway by requests", []
    )


def _gateway_memory_table(result, target):
    memory = result["gateway_memory_bytes"]
    shared = result["memory_bytes"]
    rows = [
        ("interpreter and libraries", 1, memory["imports"]),
        ("engine entries", target.endpoints, memory["server"]),
        ("claims and holders", target.endpoints, memory["claim_and_holder"]),
        ("members", target.nodes, shared["member"]),
        (
            "popularity of awake adapters",
            target.adapters * target.churn_hour,
            shared["popularity_row"],
        ),
        ("links", target.peers, shared["peer_link"]),
    ]
    lines = [
        (name, f"{count:.0f}", f"{each:.0f}", f"{count * each / 1e6:.2f}")
        for name, count, each in rows
    ]
    total = sum(count * each for _, count, each in rows) / 1e6
    lines.append(("**sum**", "", "", f"**{total:.1f}**"))
    lines.append(("budget", "", "", f"{MEMORY_BUDGET_MB:.0f}"))
    return _table(("state of a gateway", "count", "bytes each", "MB"), lines)


BLOCKS = {
    "gateway": _gateway_table,
    "gateway-requests": _gateway_request_table,
    "gateway-memory": _gateway_memory_table,
    "slopes": _slopes,
    "memory": _memory_table,
    "cpu": _cpu_table,
    "bytes": _bytes_table,
    "kv": _kv_table,
    "requests": _request_table,
}


def fill(text, result, target):
    """Replace the generated blocks of the page.

    :param text: the page.
    :returns: the page with current figures.
    """
    for name, make in BLOCKS.items():
        if f"<!-- begin: {name} -->" not in text:
            continue
        pattern = rf"(<!-- begin: {name} -->\n).*?(<!-- end: {name} -->)"
        block = make(result, target)
        text = re.sub(
            pattern,
            lambda match, block=block: (
                f"{match.group(1)}{block}\n{match.group(2)}"
            ),
            text,
            flags=re.DOTALL,
        )
    return text


def main(path, imports_mb, gateway_mb):
    """Measure and rewrite the page at a path."""
    result = _bench_capacity.run()
    result["memory_bytes"]["imports"] = float(imports_mb) * 1e6
    result.update(_bench_gateway.run())
    result["gateway_memory_bytes"]["imports"] = float(gateway_mb) * 1e6
    with open(path, encoding="utf-8") as file:
        text = file.read()
    with open(path, "w", encoding="utf-8") as file:
        file.write(fill(text, result, Target()))


if __name__ == "__main__":
    main(*sys.argv[1:4])
