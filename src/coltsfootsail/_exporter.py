"""Renders a node's metrics in Prometheus' text format with OpenTelemetry.

OpenTelemetry has no observable histogram, so the histograms are added to
the same Prometheus registry by a collector of their own.
"""

import functools
import itertools

from opentelemetry.exporter import prometheus as exporter
from opentelemetry import metrics as api
from opentelemetry.sdk import metrics
import prometheus_client
from prometheus_client import core

from coltsfootsail import _metrics

PREFIX = "coltsfootsail_"


def make_exporter(counts, gauges, histograms):
    """Build an exporter.

    :param counts: dict of counter name to a dict of reason and ``Labels``
        to count, read at each export.
    :param gauges: dict of gauge name to a closure that returns a dict of
        label to number.
    :param histograms: dict of histogram name to a dict of ``Labels`` to
        ``Histogram``.
    :returns: closure that renders all metrics as bytes.
    """
    registry = prometheus_client.CollectorRegistry()
    reader = exporter.PrometheusMetricReader(
        disable_target_info=True, scope_info_enabled=False, registry=registry
    )
    provider = metrics.MeterProvider(
        metric_readers=[reader], shutdown_on_exit=False
    )
    meter = provider.get_meter("coltsfootsail")
    for name, text in _metrics.COUNTERS.items():
        meter.create_observable_counter(
            PREFIX + name,
            callbacks=[functools.partial(_observe_counts, counts[name])],
            description=text,
        )
    for name, read in gauges.items():
        meter.create_observable_gauge(
            PREFIX + name,
            callbacks=[functools.partial(_observe_gauge, read)],
            description=_metrics.GAUGES[name],
        )
    registry.register(_HistogramCollector(histograms))
    return functools.partial(prometheus_client.generate_latest, registry)


def _observe_counts(counts, _options):
    return [
        api.Observation(count, _to_attributes(labels, reason=reason))
        for (reason, labels), count in counts.items()
    ]


def _observe_gauge(read, _options):
    return [
        api.Observation(value, {"of": label} if label else {})
        for label, value in read().items()
    ]


def _to_attributes(labels, **attributes):
    if labels.route:
        attributes["route"] = labels.route
    if labels.service:
        attributes["service"] = labels.service
    if labels.workspace:
        attributes["workspace"] = labels.workspace
    return attributes


class _HistogramCollector:
    """Prometheus collector that reads the histograms at each export."""

    def __init__(self, histograms):
        self._histograms = histograms

    def collect(self):
        """Yield a family for each histogram."""
        for name, by_labels in self._histograms.items():
            family = core.HistogramMetricFamily(
                PREFIX + name,
                _metrics.HISTOGRAMS[name],
                labels=("route", "service"),
            )
            for labels, histogram in by_labels.items():
                family.add_metric(
                    (labels.route, labels.service),
                    buckets=_cumulative_buckets(histogram.counts),
                    sum_value=histogram.total,
                )
            yield family


def _cumulative_buckets(counts):
    bounds = [*map(str, _metrics.BUCKETS_S), "+Inf"]
    return list(zip(bounds, itertools.accumulate(counts), strict=True))
