"""Options, exit codes and output that the commands share."""

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

Json = typing.Annotated[
    bool, cappa.Arg(long="--json", help="Print JSON for programs.")
]
Address = typing.Annotated[
    str, cappa.Arg(long="--address", help="A node's caller address.")
]
AdminAddress = typing.Annotated[
    str, cappa.Arg(long="--admin", help="A node's admin address.")
]
Token = typing.Annotated[
    str, cappa.Arg(long="--token", help="Operator's token.")
]
Operator = typing.Annotated[
    str, cappa.Arg(long="--operator", help="Who makes the change.")
]
Team = typing.Annotated[str, cappa.Arg(long="--team", help="For which team.")]
DryRun = typing.Annotated[
    bool, cappa.Arg(long="--dry-run", help="Check, but change nothing.")
]


def show(value, as_json, lines):
    """Print a value as JSON, or the lines made for people."""
    if as_json:
        print(json.dumps(value, ensure_ascii=False, sort_keys=True))
        return
    for line in lines:
        print(line)
