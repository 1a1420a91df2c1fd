"""Exports a table of counters by OpenTelemetry, as Prometheus' text."""

import functools

from opentelemetry.exporter import prometheus as exporter
from opentelemetry import metrics as api
from opentelemetry.sdk import metrics
import prometheus_client


def make(counts, descriptions):
    """Build an exporter of counters.

    :param counts: dict of counter name to dict of reason to count, read
        at each export.
    :param descriptions: dict of counter name to its description.
    :returns: closure that renders all counters as bytes.
    """
    registry = prometheus_client.CollectorRegistry()
    reader = exporter.PrometheusMetricReader(
        disable_target_info=True, scope_info_enabled=False, registry=registry
    )
    provider = metrics.MeterProvider(
        metric_readers=[reader], shutdown_on_exit=False
    )
    meter = provider.get_meter("coltsfootsail")
    for name, text in descriptions.items():
        meter.create_observable_counter(
            f"coltsfootsail_{name}",
            callbacks=[functools.partial(_observe, counts[name])],
            description=text,
        )
    return functools.partial(prometheus_client.generate_latest, registry)


def _observe(counts, _options):
    return [
        api.Observation(count, {"reason": reason})
        for reason, count in counts.items()
    ]
