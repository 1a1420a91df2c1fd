"""Counters of one node, by OpenTelemetry, in Prometheus' text format.

``COUNTERS`` is the one table of counters; docs/OPERATIONS.md lists it.
"""

import collections

from opentelemetry.exporter import prometheus as exporter
from opentelemetry import metrics as api
from opentelemetry.sdk import metrics
import prometheus_client

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
}


class Metrics:
    """Counters by name and reason.

    The counts are kept in a plain table that OpenTelemetry observes when
    it is asked, so that counting costs one dictionary operation.
    """

    def __init__(self):
        self._counts = {name: collections.Counter() for name in COUNTERS}
        self._registry = prometheus_client.CollectorRegistry()
        reader = exporter.PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self._registry,
        )
        self._provider = metrics.MeterProvider(
            metric_readers=[reader], shutdown_on_exit=False
        )
        meter = self._provider.get_meter("coltsfootsail")
        for name, text in COUNTERS.items():
            meter.create_observable_counter(
                f"coltsfootsail_{name}",
                callbacks=[self._observer(name)],
                description=text,
            )

    def _observer(self, name):
        def observe(_options):
            return [
                api.Observation(count, {"reason": reason})
                for reason, count in self._counts[name].items()
            ]

        return observe

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

        :returns: bytes.
        """
        return prometheus_client.generate_latest(self._registry)
