"""Records the messages and stored records of a build for its successors.

    python tools/record_formats.py tests/builds/released.json

Run it only at a release: tests/builds/test_formats.py checks that each later
build decodes what is recorded.
"""

import dataclasses
import json
import pathlib
import sys
import typing

from coltsfootsail import _records
from coltsfootsail import _wire

RECORDS = (
    _records.Member,
    _records.Claim,
    _records.Holder,
    _records.Wait,
    _records.SettledEra,
)
_SAMPLES = {
    bool: True,
    int: 7,
    float: 1.5,
    str: "text",
    bytes: b"\x00\xff",
    tuple: (("a", 1), ("b", 2)),
    tuple[str, ...]: ("a", "b"),
}


def make_sample(record_class):
    """Make an instance in which no field has its default.

    :param record_class: a data class.
    """
    hints = typing.get_type_hints(record_class)
    return record_class(
        **{
            field.name: _SAMPLES[hints[field.name]]
            for field in dataclasses.fields(record_class)
        }
    )


def describe(record_class, encode):
    """Describe a data class: its name, its fields and an encoded sample."""
    hints = typing.get_type_hints(record_class)
    return {
        "name": record_class.__name__,
        "fields": {name: str(hint) for name, hint in hints.items()},
        "data": encode(make_sample(record_class)).hex(),
    }


def describe_formats():
    """Describe all messages and stored records of this build."""
    return {
        "messages": [describe(each, _wire.encode) for each in _wire.MESSAGES],
        "records": [describe(each, _records.dumps) for each in RECORDS],
    }


def main():
    """Write the description to the file that the command line names."""
    text = json.dumps(describe_formats(), indent=1) + "\n"
    pathlib.Path(sys.argv[1]).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
