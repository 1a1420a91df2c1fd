"""Counters of one node, by OpenTelemetry, in Prometheus' text format.

``COUNTERS`` is the one table of counters; docs/OPERATIONS.md lists it.
"""

import collections
import importlib

COUNTERS = {
    "requests": "Requests by class and outcome",
    "refusals": "Requests ended by an error, by its code",
    "retries": "Further attempts, by the code of the failed one",
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


class Metrics:
    """Counters by name and reason.

    The counts are kept in a plain table that OpenTelemetry observes when
    it is asked, so that counting costs one dictionary operation.
    """

    def __init__(self):
        self._counts = {name: collections.Counter() for name in COUNTERS}
        self._export = None

    def count(self, name, reason, amount=1):
        """Add to a counter.

        :param name: a key of ``COUNTERS``.
        :param reason: the label.
        """
        self._counts[name][reason] += amount

    def value(self, name, reason):
        """Read a counter."""
        return self._counts[name][reason]

    def table(self):
        """Copy all counts that are not zero.

        :returns: dict of counter name to dict of reason to count.
        """
        return {
            name: dict(counts)
            for name, counts in self._counts.items()
            if counts
        }

    def text(self):
        """Render all counters in Prometheus' text format.

        The exporter is imported when it is first asked: it is larger
        than the rest of a daemon.

        :returns: bytes.
        """
        if self._export is None:
            module = importlib.import_module("coltsfootsail._exporter")
            self._export = module.make(self._counts, COUNTERS)
        return self._export()
