"""Renders a node's measurements, by OpenTelemetry, as Prometheus' text.

OpenTelemetry has no histogram that is read when asked, so the tables of
buckets go to the same registry by a collector of their own.
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


def make(counts, gauges, histograms):
    """Build an exporter.

    :param counts: dict of counter name to a dict of reason and ``Labels``
        to count, read at each export.
    :param gauges: dict of gauge name to a closure that returns a dict of
        label to number.
    :param histograms: dict of histogram name to a dict of ``Labels`` to
        ``Histogram``.
    :returns: closure that renders everything as bytes.
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
    registry.register(_Histograms(histograms))
    return functools.partial(prometheus_client.generate_latest, registry)


def _observe_counts(counts, _options):
    return [
        api.Observation(count, _labels(where, reason=reason))
        for (reason, where), count in counts.items()
    ]


def _observe_gauge(read, _options):
    return [
        api.Observation(value, {"of": label} if label else {})
        for label, value in read().items()
    ]


def _labels(where, **labels):
    if where.route:
        labels["route"] = where.route
    if where.service:
        labels["service"] = where.service
    return labels


class _Histograms:
    """Collects the tables of buckets."""

    def __init__(self, histograms):
        self._histograms = histograms

    def collect(self):
        """Yield a family for each histogram."""
        for name, rows in self._histograms.items():
            family = core.HistogramMetricFamily(
                PREFIX + name,
                _metrics.HISTOGRAMS[name],
                labels=("route", "service"),
            )
            for where, row in rows.items():
                family.add_metric(
                    (where.route, where.service),
                    buckets=_buckets(row.counts),
                    sum_value=row.total,
                )
            yield family


def _buckets(counts):
    bounds = [*map(str, _metrics.BUCKETS_S), "+Inf"]
    return list(zip(bounds, itertools.accumulate(counts), strict=True))
