"""Shared options, exit codes and output of the commands."""

import json
import typing

import cappa

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_NOT_RUN = 3
EXIT_UNKNOWN = 4
EXIT_UNREACHABLE = 5
EXIT_CONFLICT = 6
DEFAULT_ADDRESS = "127.0.0.1:8080"
DEFAULT_ADMIN = "127.0.0.1:8081"

Json = typing.Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")]
Address = typing.Annotated[
    str, cappa.Arg(long="--address", help="Address of a node for callers.")
]
AdminAddress = typing.Annotated[
    str, cappa.Arg(long="--admin", help="Address of a node for operators.")
]
Token = typing.Annotated[
    str, cappa.Arg(long="--token", help="Access token of the operator.")
]
Operator = typing.Annotated[
    str, cappa.Arg(long="--operator", help="Name of the operator.")
]
Team = typing.Annotated[
    str, cappa.Arg(long="--team", help="Team that the change is for.")
]
DryRun = typing.Annotated[
    bool, cappa.Arg(long="--dry-run", help="Check without changing.")
]


def show(value, as_json, lines):
    """Print the result of a command.

    :param value: printed as JSON if ``as_json`` is true.
    :param lines: printed as text otherwise.
    """
    if as_json:
        print(json.dumps(value, ensure_ascii=False, sort_keys=True))
        return
    for line in lines:
        print(line)
