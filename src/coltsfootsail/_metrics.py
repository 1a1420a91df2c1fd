"""Counters, gauges and histograms of one node.

``COUNTERS``, ``GAUGES`` and ``HISTOGRAMS`` are the one table of what is
measured; docs/OPERATIONS.md lists it.  They are kept in plain tables and
rendered in Prometheus' text format, by OpenTelemetry, only when asked.
"""

import bisect
import collections
import dataclasses
import importlib

COUNTERS = {
    "requests": "Requests by outcome",
    "refusals": "Requests ended by an error, by its code",
    "retries": "Further attempts, by the code of the failed one",
    "turned_away": "Starts that owners did not grant, by reason",
    "retries_denied": "Attempts not made, by reason",
    "forwards": "Requests passed on to the owner",
    "loads": "Adapter loads that succeeded, by cause",
    "load_failures": "Adapter loads that failed",
    "evictions": "Adapters evicted",
    "lost_adapters": "Adapters that an engine dropped by itself",
    "order_failures": "Orders to engines that failed, by code",
    "report_failures": "Engine reports that could not be read",
    "strikes": "Strikes against request contents",
    "kv_calls": "Calls to the KV service, by kind",
    "kv_state": "Changes of the KV service's reachability",
    "lease": "Changes of the node's lease",
    "claims": "Claims taken, lost and handed over",
    "peer_links": "Links to peers that came up or went down",
    "peer_messages": "Messages from peers that were refused",
    "config": "Configurations put in force or refused",
    "ledger": "Ledger results by kind",
    "tokens": "Events relayed to callers",
    "orders": "Orders to engines, by answer",
}


GAUGES = {
    "configuration_version": "Version of the configuration in force",
    "configuration_age_seconds": "Time since the store was last heard",
    "servers": "Servers that take requests, by service",
    "claims": "Engines that this node gives orders to",
    "lease_left_seconds": "How long the node may still trust its lease",
    "open_requests": "Requests of callers under way",
    "linked_nodes": "Nodes of the region with a live link",
    "nodes": "Nodes registered in the store",
    "waiting": "Requests that wait for a start, by engine owned",
    "running": "Requests started and not ended, by engine owned",
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
ROUTES_MAX = 64  # names of routes kept apart; all others are one
OTHERS = "(others)"


@dataclasses.dataclass(frozen=True, slots=True)
class Labels:
    """Which route and service a measurement belongs to, if any."""

    route: str = ""
    service: str = ""


NO_LABELS = Labels()


class Histogram:
    """Counts of values by bucket; the last bucket has no bound."""

    def __init__(self):
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total = 0.0

    def add(self, value):
        """Count one value."""
        self.counts[bisect.bisect_left(BUCKETS_S, value)] += 1
        self.total += value


class Metrics:
    """What one node has measured.

    Each is kept in a plain table that is read when it is asked for, so
    that counting costs one dictionary operation.
    """

    def __init__(self):
        self._counts = {name: collections.Counter() for name in COUNTERS}
        self._histograms = {name: {} for name in HISTOGRAMS}
        self._gauges = {}
        self._routes = set()
        self._export = None

    def _bounded(self, labels):
        """Keep the number of route names bounded."""
        if labels.route in self._routes or not labels.route:
            return labels
        if len(self._routes) < ROUTES_MAX:
            self._routes.add(labels.route)
            return labels
        return Labels(OTHERS, labels.service)

    def count(self, name, reason, amount=1, labels=NO_LABELS):
        """Add to a counter.

        :param name: a key of ``COUNTERS``.
        :param reason: the label.
        :param labels: a ``Labels``.
        """
        self._counts[name][reason, self._bounded(labels)] += amount

    def observe(self, name, value, labels=NO_LABELS):
        """Add to a histogram.

        :param name: a key of ``HISTOGRAMS``.
        :param value: what was measured, in the unit of the name.
        """
        rows = self._histograms[name]
        labels = self._bounded(labels)
        found = rows.get(labels)
        if found is None:
            found = rows[labels] = Histogram()
        found.add(value)

    def register_gauge(self, name, read):
        """Set what a gauge shows.

        :param name: a key of ``GAUGES``.
        :param read: closure that returns a dict of label to number.
        """
        self._gauges[name] = read

    def counter_total(self, name, reason):
        """Read a counter, over all routes."""
        return self.counter_totals().get(name, {}).get(reason, 0)

    def counter_totals(self):
        """Sum all counts that are not zero, over all routes.

        :returns: dict of counter name to dict of reason to count.
        """
        found = {}
        for name, counts in self._counts.items():
            for (reason, _), count in counts.items():
                row = found.setdefault(name, collections.Counter())
                row[reason] += count
        return found

    def read_gauges(self):
        """Read all gauges.

        :returns: dict of gauge name to dict of label to number.
        """
        return {name: read() for name, read in self._gauges.items()}

    def quantiles(self, share):
        """Estimate a quantile of each histogram, over all routes.

        :param share: between 0 and 1.
        :returns: dict of histogram name to the bound of the bucket that
            holds the quantile; the largest bound stands for all above.
        """
        found = {}
        for name, rows in self._histograms.items():
            columns = zip(*(row.counts for row in rows.values()), strict=True)
            counts = [sum(column) for column in columns]
            if counts:
                found[name] = _quantile(counts, share)
        return found

    def render(self):
        """Render everything in Prometheus' text format.

        The exporter is imported when it is first asked: it is larger
        than the rest of a daemon.

        :returns: bytes.
        """
        if self._export is None:
            module = importlib.import_module("coltsfootsail._exporter")
            self._export = module.make(
                self._counts, self._gauges, self._histograms
            )
        return self._export()


def _quantile(counts, share):
    wanted = share * sum(counts)
    below = 0
    for bound, count in zip(BUCKETS_S, counts, strict=False):
        below += count
        if below >= wanted:
            return bound
    return BUCKETS_S[-1]
