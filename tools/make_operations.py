"""Fills the tables of docs/OPERATIONS.md from the code.

Usage: ``python tools/make_operations.py docs/OPERATIONS.md``.
"""

import dataclasses
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


def setting_rows():
    """List the settings with their defaults."""
    yield "| key | default |\n|---|---|"
    for section in dataclasses.fields(_settings.Settings):
        if not dataclasses.is_dataclass(section.type):
            yield f"| `{section.name}` | `{section.default!r}` |"
            continue
        for field in dataclasses.fields(section.type):
            missing = field.default is dataclasses.MISSING
            default = "required" if missing else f"`{field.default!r}`"
            yield f"| `{section.name}.{field.name}` | {default} |"


BLOCKS = {
    "refusals": refusal_rows,
    "counters": counter_rows,
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
