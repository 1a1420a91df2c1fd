"""Checks that docs/OPERATIONS.md lists what the code defines."""

import pathlib

from coltsfootsail import _metrics
from coltsfootsail import _settings
from coltsfootsail import exceptions
from tools import make_operations

DOCS = pathlib.Path(__file__).parent.parent / "docs"


def test_operations_lists_every_code_and_counter():
    text = (DOCS / "OPERATIONS.md").read_text()
    for code, error in exceptions.refusals().items():
        assert f"| `{code}` | {error.status} | {error.outcome} |" in text
    for name in _metrics.COUNTERS:
        assert f"`coltsfootsail_{name}_total`" in text
    for name in (*_metrics.GAUGES, *_metrics.HISTOGRAMS):
        assert f"`coltsfootsail_{name}`" in text


def test_operations_lists_every_setting_with_its_meaning():
    text = (DOCS / "OPERATIONS.md").read_text()
    for row in _settings.describe():
        assert row.text.strip()
        assert f"| `{row.key}` |" in text and row.text in text


def test_error_codes_are_unique():
    codes = []
    pending = [exceptions.ColtsfootsailError]
    while pending:
        exception_class = pending.pop()
        codes.append(exception_class.code)
        pending.extend(exception_class.__subclasses__())
    assert len(codes) == len(set(codes))


def test_operations_lists_every_log_event():
    text = (DOCS / "OPERATIONS.md").read_text()
    rows = list(make_operations.event_rows())
    assert len(rows) > 20
    for row in rows:
        assert row in text
