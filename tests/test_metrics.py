"""Tests for counters, gauges and histograms in Prometheus' format."""

import prometheus_client.parser

from coltsfootsail import _metrics


def _samples(metrics):
    """Parse samples by name and labels, leaving out empty labels."""
    text = metrics.render().decode()
    return {
        (
            sample.name,
            tuple(sorted(pair for pair in sample.labels.items() if pair[1])),
        ): sample.value
        for family in prometheus_client.parser.text_string_to_metric_families(
            text
        )
        for sample in family.samples
    }


def test_counters_have_reason_route_and_service_labels():
    metrics = _metrics.Metrics()
    labels = _metrics.Labels("notes", "engines")
    metrics.count("refusals", "overload", labels=labels)
    metrics.count("refusals", "overload")
    samples = _samples(metrics)
    name = "coltsfootsail_refusals_total"
    all_labels = (
        ("reason", "overload"),
        ("route", "notes"),
        ("service", "engines"),
    )
    assert samples[name, all_labels] == 1
    assert samples[name, (("reason", "overload"),)] == 1
    assert metrics.counter_total("refusals", "overload") == 2


def test_histogram_counts_values_per_bucket():
    metrics = _metrics.Metrics()
    labels = _metrics.Labels("notes", "engines")
    for value_s in (0.004, 0.06, 0.07, 99.0):
        metrics.observe("whole_seconds", value_s, labels)
    samples = _samples(metrics)
    label_pairs = (("route", "notes"), ("service", "engines"))
    name = "coltsfootsail_whole_seconds"
    for bound, count in (("0.005", 1), ("0.1", 3), ("20.0", 3), ("+Inf", 4)):
        key = tuple(sorted((("le", bound), *label_pairs)))
        assert samples[f"{name}_bucket", key] == count
    assert samples[f"{name}_sum", label_pairs] == 99.134
    assert metrics.quantiles(0.5) == {"whole_seconds": 0.1}
    assert metrics.quantiles(0.95) == {"whole_seconds": 20.0}


def test_gauges_are_read_at_each_export():
    metrics = _metrics.Metrics()
    values = {}
    metrics.register_gauge("waiting", lambda: values)
    values["engine-1"] = 3
    name = "coltsfootsail_waiting"
    assert _samples(metrics)[name, (("of", "engine-1"),)] == 3
    values["engine-1"] = 0
    assert _samples(metrics)[name, (("of", "engine-1"),)] == 0


def test_number_of_route_labels_is_limited():
    metrics = _metrics.Metrics()
    for number in range(5 * _metrics.ROUTES_MAX):
        labels = _metrics.Labels(f"route-{number}", "engines")
        metrics.count("requests", "answered", labels=labels)
        metrics.observe("whole_seconds", 0.1, labels)
    series = [
        key for key in _samples(metrics) if key[0].endswith("requests_total")
    ]
    assert len(series) == _metrics.ROUTES_MAX + 1
    assert (
        metrics.counter_total("requests", "answered")
        == 5 * _metrics.ROUTES_MAX
    )
