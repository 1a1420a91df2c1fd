"""Records of what servers ran and callers were told, one line each."""

import dataclasses
import json
import os
import time


@dataclasses.dataclass(frozen=True, slots=True)
class RunBegin:
    """A server has begun to run a request.

    :param run: unique number of the run.
    :param content: id of the content, the same in all the caller's retries.
    :param attempt: id of the caller's attempt.
    """

    at_s: float
    run: str
    server: str
    kind: str
    content: str
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """A run has ended.

    :param how: ``done``, ``dropped`` or what the server did instead.
    """

    at_s: float
    run: str
    how: str


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a caller was told about one attempt.

    :param status: of a complete answer, or 0.
    :param what: ``answer``, or how the attempt failed.
    :param right: whether a success had the content's whole body.
    :param node: the node that it was sent to; empty if there was none.
    :param sent_s: when its last byte was sent.
    :param versions: of the software that wrote the events that the caller
        has, over all its attempts.
    :param key: the caller's key, empty for none.
    :param due_s: when its deadline or its route's timeout ends it, 0 if it
        was not sent.
    """

    at_s: float
    kind: str
    content: str
    attempt: str
    status: int
    what: str
    right: bool = True
    node: str = ""
    sent_s: float = 0.0
    versions: tuple = ()
    key: str = ""
    due_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Revocation:
    """The store has acknowledged that a key is revoked."""

    at_s: float
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """All nodes are asked to stop, since the soak ends."""

    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault was applied until ``until_s``.

    :param target: name of a process or of a link.
    """

    at_s: float
    until_s: float
    target: str
    what: str


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order of a node has arrived at an engine.

    :param holder: name of the node.
    :param fence: its fencing number.
    """

    at_s: float
    server: str
    holder: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A server has begun to name a limit.

    :param per_s: requests a second, None for no limit any more.
    """

    at_s: float
    server: str
    per_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """A server has stated something in the answer to a request.

    :param what: ``leaving`` or ``busy``.
    :param for_s: for how long it is busy.
    """

    at_s: float
    server: str
    attempt: str
    what: str
    for_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request has arrived at a server."""

    at_s: float
    server: str
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A server was ended by a part of a request's prompt."""

    at_s: float
    server: str
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fall:
    """A brittle server fell over, for it had to refuse too many requests."""

    at_s: float
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class Memory:
    """The memory of a node's process.

    :param process: its number.
    """

    at_s: float
    node: str
    process: int
    resident_mb: float


_TYPES = {
    each.__name__: each
    for each in (
        RunBegin,
        RunEnd,
        Result,
        Revocation,
        Stop,
        Fault,
        Order,
        Limit,
        Statement,
        Arrival,
        Crash,
        Fall,
        Memory,
    )
}


def now_s():
    """Read the clock that all processes of a soak share, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Writer:
    """Appends records to a file, each with one write that can't be torn.

    :param path: the file.
    """

    def __init__(self, path):
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(path, flags, 0o644)

    def write(self, record):
        """Append a record."""
        line = json.dumps([type(record).__name__, dataclasses.asdict(record)])
        os.write(self._descriptor, line.encode() + b"\n")


def read(directory):
    """Read all records of a soak, ordered by time.

    :param directory: ``pathlib.Path`` with files that end in ``.records``.
    """
    found = []
    for path in sorted(directory.glob("*.records")):
        # The last line may still be in the making.
        lines = path.read_text().rpartition("\n")[0].splitlines()
        for name, fields in map(json.loads, lines):
            found.append(_TYPES[name](**fields))
    return sorted(found, key=lambda record: record.at_s)
