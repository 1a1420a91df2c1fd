"""Fills the tables of docs/OPERATIONS.md from the code.

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
    """List error codes with status, outcome and meaning."""
    yield "| code | HTTP | outcome | meaning |\n|---|---|---|---|"
    for code, kind in exceptions.refusals().items():
        meaning = (kind.__doc__ or "").strip().splitlines()[0]
        yield f"| `{code}` | {kind.status} | {kind.outcome} | {meaning} |"


def counter_rows():
    """List the counters."""
    yield "| counter | counts |\n|---|---|"
    for name, text in _metrics.COUNTERS.items():
        yield f"| `coltsfootsail_{name}_total` | {text} |"


def gauge_rows():
    """List the gauges."""
    yield "| gauge | shows |\n|---|---|"
    for name, text in _metrics.GAUGES.items():
        yield f"| `coltsfootsail_{name}` | {text} |"


def histogram_rows():
    """List the histograms."""
    yield "| histogram | of |\n|---|---|"
    for name, text in _metrics.HISTOGRAMS.items():
        yield f"| `coltsfootsail_{name}` | {text} |"


def setting_rows():
    """List the settings with their defaults."""
    yield "| key | default | meaning |\n|---|---|---|"
    for row in _settings.describe():
        default = "required" if row.default is None else f"`{row.default!r}`"
        yield f"| `{row.key}` | {default} | {row.text} |"


LOG_LEVELS = {"state": "INFO", "detail": "DEBUG", "failure": "ERROR"}
SOURCES = pathlib.Path(__file__).parent.parent / "src" / "coltsfootsail"


def _log_calls(tree):
    """Find the calls that write a log line with a fixed name."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        if not isinstance(node.func, ast.Attribute) or not node.args:
            continue
        owner = getattr(node.func.value, "id", "")
        if owner != "_logs" or node.func.attr not in LOG_LEVELS:
            continue
        names = node.args[0]
        choices = (
            [names.body, names.orelse]
            if isinstance(names, ast.IfExp)
            else [names]
        )
        fields = [word.arg for word in node.keywords if word.arg]
        for choice in choices:
            yield choice.value, LOG_LEVELS[node.func.attr], fields


def event_rows():
    """List the log lines with their level and fields."""
    found = {}
    for path in sorted(SOURCES.glob("*.py")):
        tree = ast.parse(path.read_text(encoding="utf-8"))
        for event, level, fields in _log_calls(tree):
            known = found.setdefault((event, level), [])
            known += [field for field in fields if field not in known]
    yield "| event | level | fields |\n|---|---|---|"
    for (event, level), fields in sorted(found.items()):
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
    """Replace the generated blocks of the page."""
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
    """Rewrite the page at a path."""
    with open(path, encoding="utf-8") as file:
        text = file.read()
    with open(path, "w", encoding="utf-8") as file:
        file.write(fill(text))


if __name__ == "__main__":
    main(sys.argv[1])
