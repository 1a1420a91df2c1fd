"""Computes the tables of docs/CAPACITY.md from the capacity benches.

Usage: ``python -m coltsfootsail._capacity docs/CAPACITY.md NODE_MB
GATEWAY_MB``.  NODE_MB and GATEWAY_MB are the resident memory of a process
that has only imported the node, or the gateway; ``make capacity`` measures
them.  Only the text between ``<!-- begin: NAME -->`` and
``<!-- end: NAME -->`` changes.
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
TRAFFIC_BUDGET_BYTES_PER_S = 18_000
KV_WRITES_MAX_PER_S = 300
KV_READS_MAX_PER_S = 2000
ACK_BYTES = 52  # a TCP acknowledgement without data
ENTRY_EVENTS_PER_WAKE = 2  # an adapter that wakes is loaded, later evicted
KV_EVENTS_PER_CLAIM = 4  # claim and holder: each deleted, then written again
CLAIM_EVENT_BYTES = 260  # JSON in base64 and a share of the watch response
KV_CALL_BYTES = 600  # request, answer and acknowledgements
GATEWAY_RENEW_S = 1.5  # time between lease renewals in deployed gateways


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The size of deployment that the users require.

    :param tokens_per_s: token events of all streams.
    :param adapter_churn_per_hour: share of the adapters that come into use
        in an hour; they wake, in the words of the page.
    :param slots: adapters that an engine holds.
    :param loads_per_region_per_s: rate limit of a region's weight store.
    :param keyed_request_share: share of the requests that use the ledger,
        as they carry an idempotency key.
    """

    nodes: int = 330
    regions: int = 4
    endpoints: int = 2700
    adapters: int = 50_000
    requests_per_s: float = 17_000.0
    tokens_per_s: float = 5_600_000.0
    config_changes_per_day: float = 1600.0
    adapter_churn_per_hour: float = 0.082
    host_failures_per_day: float = 32.0
    host_replacements_per_day: float = 300.0
    slots: int = 8
    lease_renew_s: float = 5.0
    loads_per_region_per_s: float = 30.0
    keyed_request_share: float = 0.01

    @property
    def peers_per_node(self):
        """Number of other nodes in a node's region; it links to each."""
        return round(self.nodes / self.regions) - 1

    @property
    def endpoints_per_region(self):
        """Number of endpoints in a region."""
        return self.endpoints / self.regions

    @property
    def endpoints_per_node(self):
        """Number of endpoints that a node owns."""
        return self.endpoints / self.nodes

    @property
    def heartbeat_s(self):
        """Time between two heartbeats that a node sends on a link."""
        interval_s = _mesh.HEARTBEAT_PER_LINK_S * self.peers_per_node
        return min(_mesh.HEARTBEAT_MAX_S, interval_s)

    @property
    def heartbeats_per_s(self):
        """Heartbeats per second that a node sends, and that it receives."""
        return self.peers_per_node / self.heartbeat_s

    @property
    def config_changes_per_s(self):
        """Configuration changes per second."""
        return self.config_changes_per_day / 86400.0

    @property
    def adapter_wakes_per_s(self):
        """Adapters that wake per second, over all regions."""
        return self.adapters * self.adapter_churn_per_hour / 3600.0

    @property
    def host_restarts_per_s(self):
        """Hosts that stop and start again per second."""
        return (
            self.host_failures_per_day + self.host_replacements_per_day
        ) / 86400.0

    @property
    def kv_calls_per_s(self):
        """KV calls of a gateway per second: long polls and renewals."""
        return 1 / _view.WATCH_WAIT_S + 1 / GATEWAY_RENEW_S

    @property
    def residency_changes_per_s(self):
        """Residency changes per second in a region.

        A load makes two: one adapter is evicted and one is added.
        """
        return 2 * self.loads_per_region_per_s


def _table(header, rows):
    lines = ["| " + " | ".join(header) + " |"]
    lines.append("|" + "---|" * len(header))
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def _slopes_table(result, _target):
    rows = [
        (part, name.replace("_", " "), f"{value:.1f}")
        for part, values in result.items()
        for name, value in values.items()
    ]
    return _table(("kind", "of", "slope"), rows)


def _memory_rows(result, target):
    """List a node's state as tuples of name, count and bytes each."""
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
            target.endpoints_per_region,
            memory["residency_row"],
        ),
        (
            "popularity of awake adapters",
            target.adapters * target.adapter_churn_per_hour,
            memory["popularity_row"],
        ),
        ("links", target.peers_per_node, memory["peer_link"]),
    ]


def memory_mb(result, target):
    """Compute the memory of a node at the target size, in MB."""
    rows = _memory_rows(result, target)
    return sum(count * size for _, count, size in rows) / 1e6


def _memory_table(result, target):
    rows = [
        (
            name,
            f"{count:.0f}",
            f"{bytes_each:.0f}",
            f"{count * bytes_each / 1e6:.2f}",
        )
        for name, count, bytes_each in _memory_rows(result, target)
    ]
    total = memory_mb(result, target)
    rows.append(("**sum**", "", "", f"**{total:.1f}**"))
    rows.append(("budget", "", "", f"{MEMORY_BUDGET_MB:.0f}"))
    return _table(("state of a node", "count", "bytes each", "MB"), rows)


def _cpu_rows(result, target):
    """List a node's control work.

    :returns: list of tuples: the work, times per second, role of the node,
        microseconds each.
    """
    cpu = result["cpu_us"]
    scans_per_s = 2.0
    change_us = (
        cpu["config_change_fixed"]
        + cpu["config_change_per_adapter"] * target.adapters
    )
    claim_events_per_s = (
        2 * target.host_failures_per_day / 86400.0 * target.endpoints_per_node
    )
    return [
        (
            "heartbeats and loads, sent and received",
            target.heartbeats_per_s,
            "member",
            cpu["heartbeat"],
        ),
        (
            "residency changes received",
            target.residency_changes_per_s,
            "member",
            cpu["residency_change"],
        ),
        (
            "residency changes sent, a link each",
            target.residency_changes_per_s
            / (target.peers_per_node + 1)
            * target.peers_per_node,
            "owner",
            cpu["residency_encode"],
        ),
        (
            "claim scan, two a second",
            scans_per_s * target.endpoints_per_region,
            "member",
            cpu["claims_scan_per_endpoint"],
        ),
        (
            "owner scan, two a second",
            scans_per_s * target.endpoints_per_region,
            "owner",
            cpu["claims_scan_per_endpoint"],
        ),
        (
            "configuration changes",
            target.config_changes_per_s,
            "configuration reader",
            change_us,
        ),
        (
            "claims watched after failures",
            claim_events_per_s,
            "member",
            cpu["claims_scan_per_endpoint"] * target.endpoints_per_region,
        ),
    ]


def cpu_share(result, target):
    """Compute the share of a core that a node's control work takes."""
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
    header = ("control work of a node", "role", "a second", "µs each", "core")
    return _table(header, rows)


def _traffic_rows(result, target):
    """List a node's control traffic.

    :returns: list of tuples: the traffic, times per second, bytes each.
    """
    message_bytes = result["message_bytes"]
    residency_sent_per_s = (
        target.residency_changes_per_s
        / (target.peers_per_node + 1)
        * target.peers_per_node
    )
    residency_bytes = message_bytes["residency_change"]
    return [
        (
            "heartbeats out",
            target.heartbeats_per_s,
            message_bytes["heartbeat"],
        ),
        ("heartbeats in", target.heartbeats_per_s, message_bytes["heartbeat"]),
        ("acknowledgements", target.heartbeats_per_s, ACK_BYTES),
        (
            "residency out, with heartbeats",
            residency_sent_per_s,
            residency_bytes,
        ),
        ("residency in", target.residency_changes_per_s, residency_bytes),
        (
            "configuration roots in",
            target.config_changes_per_s,
            message_bytes["config_root"],
        ),
        ("lease renewals", 1 / target.lease_renew_s, 600.0),
    ]


def traffic_bytes_per_s(result, target):
    """Compute a node's control traffic, both ways, in bytes per second."""
    rows = _traffic_rows(result, target)
    return sum(rate * size for _, rate, size in rows)


def _traffic_table(result, target):
    rows = [
        (name, f"{rate:.2f}", f"{size:.0f}", f"{rate * size / 1e3:.2f}")
        for name, rate, size in _traffic_rows(result, target)
    ]
    total = traffic_bytes_per_s(result, target)
    rows.append(("**sum**", "", "", f"**{total / 1e3:.2f}**"))
    rows.append(("budget", "", "", f"{TRAFFIC_BUDGET_BYTES_PER_S / 1e3:.0f}"))
    return _table(("traffic of a node", "a second", "bytes", "KB/s"), rows)


def _kv_rows(target):
    """List the calls to the KV store.

    The first five rows are the steady state.

    :returns: list of tuples: the cause, writes per second, reads per
        second, the mechanism.
    """
    renewals_per_s = target.nodes / target.lease_renew_s
    swaps_per_s = target.loads_per_region_per_s * target.regions / 2
    keyed_requests_per_s = target.requests_per_s * target.keyed_request_share
    rack_nodes = 10
    data_centre_nodes = target.nodes / 9
    data_centre_claims = target.endpoints / 9
    return [
        ("lease renewals", renewals_per_s, 0.0, "one lease a node"),
        (
            "configuration changes",
            target.config_changes_per_s,
            0.1,
            "root by CAS; the watch event carries the delta",
        ),
        (
            "records before orders",
            swaps_per_s,
            swaps_per_s,
            "one write a swap, on endpoints that ignore fencing only",
        ),
        (
            "ledger, one claim in ten a write",
            2 * keyed_requests_per_s / 10,
            keyed_requests_per_s / 10,
            "claims of a bucket share a compare-and-swap",
        ),
        ("configuration poll", 0.0, target.nodes / 3.0, "one read in 3 s"),
        (
            "a rack of 10 nodes lost, over 5 s",
            rack_nodes * target.endpoints_per_node / 5,
            rack_nodes * target.endpoints_per_node / 5,
            "claims by rank, a second apart",
        ),
        (
            "a data centre lost, over 10 s",
            data_centre_claims / 10,
            data_centre_claims / 10,
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
            300 * (3 + 2 * target.endpoints_per_node) / 86400,
            300 * 12 / 86400,
            "eight chunk reads of 32 a start",
        ),
        ("of a lost centre, nodes", data_centre_nodes / 10, 0.0, "members"),
    ]


def _kv_table(_result, target):
    rows = [
        (name, f"{writes:.1f}", f"{reads:.1f}", mechanism)
        for name, writes, reads, mechanism in _kv_rows(target)
    ]
    steady = _kv_rows(target)[:5]
    writes = sum(row[1] for row in steady)
    reads = sum(row[2] for row in steady)
    rows.append(
        ("**steady state**", f"**{writes:.0f}**", f"**{reads:.0f}**", "")
    )
    rows.append(
        ("budget", str(KV_WRITES_MAX_PER_S), str(KV_READS_MAX_PER_S), "")
    )
    return _table(("KV calls", "writes/s", "reads/s", "mechanism"), rows)


def _data_path_table(result, target):
    cpu = result["cpu_us"]
    requests_per_s = target.requests_per_s / target.nodes
    tokens_per_s = target.tokens_per_s / target.nodes
    rows = [
        ("requests a node and second", f"{requests_per_s:.1f}"),
        ("token events a node and second", f"{tokens_per_s:.0f}"),
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
            f"{target.adapter_wakes_per_s:.2f}",
        ),
    ]
    return _table(("data path of a node", "figure"), rows)


def gateway_control_rows(result, target):
    """List a gateway's control work at the target size.

    :returns: list of tuples: the work, times per second, microseconds
        each, bytes each.
    """
    cpu = result["gateway_cpu_us"]
    sizes = result["gateway_message_bytes"]
    heartbeat_us = result["cpu_us"]["heartbeat"]
    heartbeat_bytes = 2 * result["message_bytes"]["heartbeat"] + ACK_BYTES
    entry_changes_per_s = (
        ENTRY_EVENTS_PER_WAKE * target.adapter_wakes_per_s
        + target.host_restarts_per_s
    )
    scans_per_s = 1 / _claims.CHECK_INTERVAL_S
    return [
        (
            "heartbeats, sent and received",
            target.heartbeats_per_s,
            heartbeat_us,
            heartbeat_bytes,
        ),
        (
            "look for vacant engines",
            scans_per_s,
            cpu["scan_per_engine"] * target.endpoints,
            0,
        ),
        (
            "entries of engines that change",
            entry_changes_per_s,
            cpu["server_event"],
            sizes["server_event"],
        ),
        (
            "members and claims that change",
            KV_EVENTS_PER_CLAIM
            * target.endpoints_per_node
            * target.host_restarts_per_s,
            cpu["server_event"],
            CLAIM_EVENT_BYTES,
        ),
        (
            "waiting calls and renewals",
            target.kv_calls_per_s,
            0,
            KV_CALL_BYTES,
        ),
    ]


def gateway_request_rows(result, target):
    """List a gateway's work that grows with the rate of requests.

    :returns: list of tuples as in ``gateway_control_rows``.
    """
    grant_us = 2 * result["gateway_cpu_us"]["grant"]
    grant_bytes = 2 * result["gateway_message_bytes"]["grant"]
    starts_per_s = target.requests_per_s / target.nodes
    entry_changes_per_s = 2 * target.loads_per_region_per_s * target.regions
    return [
        ("starts asked for and granted", starts_per_s, grant_us, grant_bytes),
        (
            "entries that change, every region's weight store at its limit",
            entry_changes_per_s,
            result["gateway_cpu_us"]["server_event"],
            result["gateway_message_bytes"]["server_event"],
        ),
    ]


def _work_table(rows, work_header, budget):
    """Make a table of work with its sums.

    :param rows: tuples as in ``gateway_control_rows``.
    :param budget: further rows, after the sums.
    """
    lines = []
    core_share = traffic_kb_per_s = 0.0
    for work, per_s, us_each, bytes_each in rows:
        core_share += per_s * us_each / 1e6
        traffic_kb_per_s += per_s * bytes_each / 1e3
        lines.append(
            (
                work,
                f"{per_s:.2f}",
                f"{us_each:.1f}",
                f"{per_s * us_each / 1e4:.3f} %",
                f"{per_s * bytes_each / 1e3:.2f}",
            )
        )
    lines.append(
        ("**sum**", "", "", f"{core_share:.2%}", f"{traffic_kb_per_s:.1f}")
    )
    lines += budget
    return _table((work_header, "a second", "µs each", "core", "KB/s"), lines)


def _gateway_control_table(result, target):
    return _work_table(
        gateway_control_rows(result, target),
        "control work of a gateway",
        [("budget", "", "", f"{CPU_BUDGET_SHARE:.1%}", "18")],
    )


def _gateway_request_table(result, target):
    return _work_table(
        gateway_request_rows(result, target),
        "work of a gateway by requests",
        [],
    )


def _gateway_memory_table(result, target):
    memory = result["gateway_memory_bytes"]
    node_memory = result["memory_bytes"]
    rows = [
        ("interpreter and libraries", 1, memory["imports"]),
        ("engine entries", target.endpoints, memory["server"]),
        ("claims and holders", target.endpoints, memory["claim_and_holder"]),
        ("members", target.nodes, node_memory["member"]),
        (
            "popularity of awake adapters",
            target.adapters * target.adapter_churn_per_hour,
            node_memory["popularity_row"],
        ),
        ("links", target.peers_per_node, node_memory["peer_link"]),
    ]
    lines = [
        (
            name,
            f"{count:.0f}",
            f"{bytes_each:.0f}",
            f"{count * bytes_each / 1e6:.2f}",
        )
        for name, count, bytes_each in rows
    ]
    total = sum(count * bytes_each for _, count, bytes_each in rows) / 1e6
    lines.append(("**sum**", "", "", f"**{total:.1f}**"))
    lines.append(("budget", "", "", f"{MEMORY_BUDGET_MB:.0f}"))
    return _table(("state of a gateway", "count", "bytes each", "MB"), lines)


TABLES = {
    "gateway": _gateway_control_table,
    "gateway-requests": _gateway_request_table,
    "gateway-memory": _gateway_memory_table,
    "slopes": _slopes_table,
    "memory": _memory_table,
    "cpu": _cpu_table,
    "bytes": _traffic_table,
    "kv": _kv_table,
    "requests": _data_path_table,
}


def update_page(text, result, target):
    """Replace the generated tables of a page.

    :param text: the page.
    :param result: the results of the capacity benches.
    :returns: the page with current tables.
    """
    for name, make_table in TABLES.items():
        if f"<!-- begin: {name} -->" not in text:
            continue
        pattern = rf"(<!-- begin: {name} -->\n).*?(<!-- end: {name} -->)"
        table = make_table(result, target)
        text = re.sub(
            pattern,
            lambda match, table=table: (
                f"{match.group(1)}{table}\n{match.group(2)}"
            ),
            text,
            flags=re.DOTALL,
        )
    return text


def main(path, node_imports_mb, gateway_imports_mb):
    """Run the capacity benches and update the page at a path.

    :param node_imports_mb: memory of a process that imported the node.
    :param gateway_imports_mb: the same for the gateway.
    """
    result = _bench_capacity.run()
    result["memory_bytes"]["imports"] = float(node_imports_mb) * 1e6
    result.update(_bench_gateway.run())
    result["gateway_memory_bytes"]["imports"] = float(gateway_imports_mb) * 1e6
    with open(path, encoding="utf-8") as file:
        text = file.read()
    with open(path, "w", encoding="utf-8") as file:
        file.write(update_page(text, result, Target()))


if __name__ == "__main__":
    main(*sys.argv[1:4])
