"""The pages list what the code has."""

import pathlib

from coltsfootsail import _metrics
from coltsfootsail import _settings
from coltsfootsail import exceptions
from tools import make_operations

DOCS = pathlib.Path(__file__).parent.parent / "docs"


def test_operations_lists_every_code_and_counter():
    text = (DOCS / "OPERATIONS.md").read_text()
    for code, kind in exceptions.refusals().items():
        assert f"| `{code}` | {kind.status} | {kind.outcome} |" in text
    for name in _metrics.COUNTERS:
        assert f"`coltsfootsail_{name}_total`" in text
    for name in (*_metrics.GAUGES, *_metrics.HISTOGRAMS):
        assert f"`coltsfootsail_{name}`" in text


def test_operations_lists_every_setting_with_its_meaning():
    text = (DOCS / "OPERATIONS.md").read_text()
    for row in _settings.describe():
        assert row.text.strip()
        assert f"| `{row.key}` |" in text and row.text in text


def test_every_error_has_a_code_of_its_own():
    found = []
    todo = [exceptions.ColtsfootsailError]
    while todo:
        kind = todo.pop()
        found.append(kind.code)
        todo.extend(kind.__subclasses__())
    assert len(found) == len(set(found))


def test_operations_lists_every_log_event():
    text = (DOCS / "OPERATIONS.md").read_text()
    rows = list(make_operations.event_rows())
    assert len(rows) > 20
    for row in rows:
        assert row in text
