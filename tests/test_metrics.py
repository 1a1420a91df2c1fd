"""Counters, gauges and histograms, and their text."""

import prometheus_client.parser

from coltsfootsail import _metrics


def _samples(metrics):
    """Read samples by name and labels; empty labels count as none."""
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


def test_counts_bear_reason_route_and_service():
    metrics = _metrics.Metrics()
    where = _metrics.Labels("notes", "engines")
    metrics.count("refusals", "overload", labels=where)
    metrics.count("refusals", "overload")
    found = _samples(metrics)
    name = "coltsfootsail_refusals_total"
    whole = (
        ("reason", "overload"),
        ("route", "notes"),
        ("service", "engines"),
    )
    assert found[name, whole] == 1
    assert found[name, (("reason", "overload"),)] == 1
    assert metrics.counter_total("refusals", "overload") == 2


def test_histogram_counts_by_bucket():
    metrics = _metrics.Metrics()
    where = _metrics.Labels("notes", "engines")
    for value_s in (0.004, 0.06, 0.07, 99.0):
        metrics.observe("whole_seconds", value_s, where)
    found = _samples(metrics)
    labels = (("route", "notes"), ("service", "engines"))
    name = "coltsfootsail_whole_seconds"
    for bound, count in (("0.005", 1), ("0.1", 3), ("20.0", 3), ("+Inf", 4)):
        key = tuple(sorted((("le", bound), *labels)))
        assert found[f"{name}_bucket", key] == count
    assert found[f"{name}_sum", labels] == 99.134
    assert metrics.quantiles(0.5) == {"whole_seconds": 0.1}
    assert metrics.quantiles(0.95) == {"whole_seconds": 20.0}


def test_gauges_are_read_when_asked():
    metrics = _metrics.Metrics()
    levels = {}
    metrics.register_gauge("waiting", lambda: levels)
    levels["engine-1"] = 3
    name = "coltsfootsail_waiting"
    assert _samples(metrics)[name, (("of", "engine-1"),)] == 3
    levels["engine-1"] = 0
    assert _samples(metrics)[name, (("of", "engine-1"),)] == 0


def test_names_of_routes_are_bounded():
    metrics = _metrics.Metrics()
    for number in range(5 * _metrics.ROUTES_MAX):
        where = _metrics.Labels(f"route-{number}", "engines")
        metrics.count("requests", "answered", labels=where)
        metrics.observe("whole_seconds", 0.1, where)
    rows = [
        key for key in _samples(metrics) if key[0].endswith("requests_total")
    ]
    assert len(rows) == _metrics.ROUTES_MAX + 1
    assert (
        metrics.counter_total("requests", "answered")
        == 5 * _metrics.ROUTES_MAX
    )
