"""Counters, gauges and histograms of one node.

``COUNTERS``, ``GAUGES`` and ``HISTOGRAMS`` define all metrics;
docs/OPERATIONS.md lists them.  The values are kept in plain dictionaries
and rendered by OpenTelemetry in Prometheus' text format only on request.
"""

import bisect
import collections
import dataclasses
import importlib

COUNTERS = {
    "requests": "Requests by outcome",
    "refusals": "Requests ended by an error, by its code",
    "access": "Requests that need a key or have one, by what was decided",
    "retries": "Further attempts, by the code of the failed one",
    "connections_refused": "Connections not made or not accepted for want of "
    "descriptors, by use",
    "connections_closed": "Idle connections closed for want of descriptors, "
    "by use",
    "sends": "Sends to servers, by what was concluded at their end",
    "server_limits": "Limits that servers named, changed and ended",
    "clock_steps": "Steps of the host's time of day, forward or back",
    "server_statements": "Statements of servers that they leave or are busy",
    "engine_levels": "Speed levels of engines that were raised, lowered or "
    "forgotten",
    "server_restarts": "Servers that started again under their names, by "
    "service",
    "turned_away": "Starts that owners did not grant, by reason",
    "owner_refusals": "Requests that this node turned away as an engine's "
    "owner, by reason and workspace",
    "retries_denied": "Attempts not made, by reason",
    "forwards": "Requests passed on to the owner",
    "loads": "Adapter loads that succeeded, by cause",
    "load_failures": "Adapter loads that failed",
    "evictions": "Adapters evicted",
    "lost_adapters": "Adapters that an engine dropped by itself",
    "order_failures": "Orders to engines that failed, by code",
    "report_failures": "Engine reports that could not be read",
    "strikes": "Strikes against request contents",
    "relays": "Requests sent through other nodes, or for them",
    "server_cuts": "Times that this node was cut off from servers that "
    "others reach, and the ends",
    "poisoned_parts": "Parts of prompts that were blamed for crashes, or "
    "cleared",
    "streams_taken_up": "Streams that callers took up, by where their "
    "software version was found",
    "stream_records": "Streams recorded in the store, the writes of them, "
    "and those that failed",
    "kv_calls": "Calls to the KV service, by kind",
    "kv_state": "Changes of the KV service's reachability",
    "store_eras": "Returns of the store from an older copy",
    "lease": "Changes of the node's lease",
    "claims": "Claims taken, lost and handed over",
    "task_errors": "Tasks that ended by an error in the code, by what they "
    "served",
    "peer_links": "Links to peers that came up or went down",
    "peer_messages": "Messages from peers that were refused",
    "config": "Configurations put in force or refused",
    "ledger": "Ledger results by kind",
    "tokens": "Events relayed to callers",
    "orders": "Orders to engines, by answer",
    "quota_granted": "Use of quotas that was granted, by workspace",
    "quota_refused": "Use of quotas that was refused, by workspace",
    "quota_refunded": "Use of quotas that was given back, by workspace",
}


GAUGES = {
    "configuration_version": "Version of the configuration in force",
    "configuration_age_seconds": "Time since the store was last heard",
    "configuration_proof_age_seconds": "Time for which the configuration has "
    "not been proven to be the store's",
    "servers": "Servers that take requests, by service",
    "engine_speeds": "Engines by speed level, as this node places adapters",
    "claims": "Engines that this node gives orders to",
    "lease_left_seconds": "How long the node may still trust its lease",
    "open_requests": "Requests of callers under way",
    "held_bytes": "Bytes held for callers and servers, by use",
    "held_bytes_peak": "The most bytes that were held at a time",
    "held_bytes_budget": "Bytes that may be held at a time",
    "descriptors": "Descriptors of connections, by what they serve",
    "linked_nodes": "Nodes of the region with a live link",
    "nodes": "Nodes registered in the store",
    "waiting": "Requests that wait for a start, by engine owned",
    "running": "Requests started and not ended, by engine owned",
    "quota_use": "Share of each quota held here that was used in its window",
    "quota_lent_share": "Share of each quota that is lent to this node",
}
HISTOGRAMS = {
    "queue_seconds": "Wait for a start at the engine's owner, by service",
    "grant_seconds": "From the ask for a start to the reply",
    "load_seconds": "From an adapter's order to its first start",
    "first_event_seconds": "From a request to its first event passed on",
    "pause_seconds": "Longest pause of each stream",
    "whole_seconds": "From a request to the end of its answer",
}
BUCKETS_S = (
    *(0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5),
    *(0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 20.0),
)
ROUTES_MAX = 64  # routes with labels of their own, to limit the series
OTHER_ROUTES = "(others)"
WORKSPACES_MAX = 64  # workspaces with labels of their own
OTHER_WORKSPACES = "(others)"


@dataclasses.dataclass(frozen=True, slots=True)
class Labels:
    """What a measurement belongs to; empty for none."""

    route: str = ""
    service: str = ""
    workspace: str = ""


NO_LABELS = Labels()


class Histogram:
    """Counts of values per bucket; the last bucket has no upper bound."""

    def __init__(self):
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total = 0.0

    def add(self, value):
        """Count one value."""
        self.counts[bisect.bisect_left(BUCKETS_S, value)] += 1
        self.total += value


class Metrics:
    """The metrics of one node.

    The values are kept in dictionaries that are read at each export, so
    that counting costs only one dictionary operation.
    """

    def __init__(self):
        self._counts = {name: collections.Counter() for name in COUNTERS}
        self._histograms = {name: {} for name in HISTOGRAMS}
        self._gauges = {}
        self._routes = set()
        self._workspaces = set()
        self._render = None

    def workspace_labels(self, workspace):
        """Make the labels of a workspace; rare ones share one."""
        if workspace not in self._workspaces:
            if len(self._workspaces) >= WORKSPACES_MAX:
                workspace = OTHER_WORKSPACES
            self._workspaces.add(workspace)
        return Labels(workspace=workspace)

    def _limit_routes(self, labels):
        """Replace the route by ``OTHER_ROUTES`` once there are too many."""
        if labels.route in self._routes or not labels.route:
            return labels
        if len(self._routes) < ROUTES_MAX:
            self._routes.add(labels.route)
            return labels
        return dataclasses.replace(labels, route=OTHER_ROUTES)

    def count(self, name, reason, amount=1, labels=NO_LABELS):
        """Add to a counter.

        :param name: a key of ``COUNTERS``.
        :param reason: value of the label ``reason``.
        :param labels: the ``Labels`` of route and service.
        """
        self._counts[name][reason, self._limit_routes(labels)] += amount

    def observe(self, name, value, labels=NO_LABELS):
        """Add to a histogram.

        :param name: a key of ``HISTOGRAMS``.
        :param value: the measured value, in the unit of the name.
        :param labels: the ``Labels`` of route and service.
        """
        histograms = self._histograms[name]
        labels = self._limit_routes(labels)
        histogram = histograms.get(labels)
        if histogram is None:
            histogram = histograms[labels] = Histogram()
        histogram.add(value)

    def register_gauge(self, name, read):
        """Register the function that reads a gauge.

        :param name: a key of ``GAUGES``.
        :param read: closure that returns a dict of label to number; the
            label is empty for a gauge with a single value.
        """
        self._gauges[name] = read

    def counter_total(self, name, reason):
        """Get the total of a counter for one reason, over all routes."""
        return self.counter_totals().get(name, {}).get(reason, 0)

    def counter_totals(self):
        """Sum each counter per reason over all routes.

        Counters that were never incremented are left out.

        :returns: dict of counter name to dict of reason to count.
        """
        totals = {}
        for name, counts in self._counts.items():
            for (reason, _), count in counts.items():
                by_reason = totals.setdefault(name, collections.Counter())
                by_reason[reason] += count
        return totals

    def read_gauges(self):
        """Read all gauges.

        :returns: dict of gauge name to dict of label to number.
        """
        return {name: read() for name, read in self._gauges.items()}

    def quantiles(self, fraction):
        """Estimate a quantile of each histogram, over all routes.

        :param fraction: the quantile, between 0 and 1.
        :returns: dict of histogram name to the upper bound of the bucket
            that holds the quantile, or the largest bound if the quantile
            lies above it.
        """
        quantiles = {}
        for name, histograms in self._histograms.items():
            columns = zip(
                *(histogram.counts for histogram in histograms.values()),
                strict=True,
            )
            counts = [sum(column) for column in columns]
            if counts:
                quantiles[name] = _estimate_quantile(counts, fraction)
        return quantiles

    def render(self):
        """Render all metrics in Prometheus' text format.

        The exporter is imported on the first call, because it needs more
        memory than the rest of a daemon.

        :returns: bytes.
        """
        if self._render is None:
            module = importlib.import_module("coltsfootsail._exporter")
            self._render = module.make_exporter(
                self._counts, self._gauges, self._histograms
            )
        return self._render()


def _estimate_quantile(counts, fraction):
    rank = fraction * sum(counts)
    cumulative = 0
    for bound, count in zip(BUCKETS_S, counts, strict=False):
        cumulative += count
        if cumulative >= rank:
            return bound
    return BUCKETS_S[-1]
