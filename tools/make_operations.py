"""Generates the tables of docs/OPERATIONS.md from the code.

Usage: ``python tools/make_operations.py docs/OPERATIONS.md``.
"""

import ast
import pathlib
import re
import sys

from coltsfootsail import _metrics
from coltsfootsail import _settings
from coltsfootsail import exceptions


def refusal_rows():
    """Generate rows of error codes with status, outcome and meaning."""
    yield "| code | HTTP | outcome | meaning |\n|---|---|---|---|"
    for code, error in exceptions.refusals().items():
        meaning = (error.__doc__ or "").strip().splitlines()[0]
        yield f"| `{code}` | {error.status} | {error.outcome} | {meaning} |"


def counter_rows():
    """Generate rows of the counters."""
    yield "| counter | counts |\n|---|---|"
    for name, text in _metrics.COUNTERS.items():
        yield f"| `coltsfootsail_{name}_total` | {text} |"


def gauge_rows():
    """Generate rows of the gauges."""
    yield "| gauge | shows |\n|---|---|"
    for name, text in _metrics.GAUGES.items():
        yield f"| `coltsfootsail_{name}` | {text} |"


def histogram_rows():
    """Generate rows of the histograms."""
    yield "| histogram | of |\n|---|---|"
    for name, text in _metrics.HISTOGRAMS.items():
        yield f"| `coltsfootsail_{name}` | {text} |"


def setting_rows():
    """Generate rows of the settings with their defaults."""
    yield "| key | default | meaning |\n|---|---|---|"
    for row in _settings.describe():
        default = "required" if row.default is None else f"`{row.default!r}`"
        yield f"| `{row.key}` | {default} | {row.text} |"


LOG_LEVELS = {"state": "INFO", "detail": "DEBUG", "failure": "ERROR"}
SOURCES = pathlib.Path(__file__).parent.parent / "src" / "coltsfootsail"


def _log_calls(tree):
    """Find the calls of ``_logs`` in a syntax tree.

    The event may be a conditional expression with two literals.

    :returns: iterator of (event, level, fields).
    """
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        if not isinstance(node.func, ast.Attribute) or not node.args:
            continue
        module_name = getattr(node.func.value, "id", "")
        if module_name != "_logs" or node.func.attr not in LOG_LEVELS:
            continue
        event = node.args[0]
        event_literals = (
            [event.body, event.orelse]
            if isinstance(event, ast.IfExp)
            else [event]
        )
        fields = [keyword.arg for keyword in node.keywords if keyword.arg]
        for literal in event_literals:
            yield literal.value, LOG_LEVELS[node.func.attr], fields


def event_rows():
    """Generate rows of the log events with their level and fields."""
    fields_by_event = {}
    for path in sorted(SOURCES.glob("*.py")):
        tree = ast.parse(path.read_text(encoding="utf-8"))
        for event, level, fields in _log_calls(tree):
            known_fields = fields_by_event.setdefault((event, level), [])
            known_fields += [
                field for field in fields if field not in known_fields
            ]
    yield "| event | level | fields |\n|---|---|---|"
    for (event, level), fields in sorted(fields_by_event.items()):
        yield f"| `{event}` | {level} | {', '.join(fields)} |"


BLOCKS = {
    "events": event_rows,
    "refusals": refusal_rows,
    "counters": counter_rows,
    "gauges": gauge_rows,
    "histograms": histogram_rows,
    "settings": setting_rows,
}


def fill(text):
    """Replace the generated blocks in the text of a page.

    :returns: the new text.
    """
    for name, rows in BLOCKS.items():
        block = "\n".join(rows())
        text = re.sub(
            rf"(<!-- begin: {name} -->\n).*?(<!-- end: {name} -->)",
            lambda match, block=block: (
                f"{match.group(1)}{block}\n{match.group(2)}"
            ),
            text,
            flags=re.DOTALL,
        )
    return text


def main(path):
    """Update the page at a path."""
    with open(path, encoding="utf-8") as file:
        text = file.read()
    with open(path, "w", encoding="utf-8") as file:
        file.write(fill(text))


if __name__ == "__main__":
    main(sys.argv[1])
