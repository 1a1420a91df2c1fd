"""HTTP/1.1 messages: the code that the server and the client share."""

import dataclasses
import enum
import json
import re

import h11
import trio

from coltsfootsail import exceptions

RECEIVE_BYTES = 65536
HEADERS_MAX = 128  # of a request or an answer
FINAL_STATUSES = range(200, 600)  # RFC 9110, section 15
EVENTS_PER_TURN = 64  # parts of a body read before other tasks run
_FOLDED_LINE = re.compile(rb"\n[ \t]")
_LAST_CHUNK = re.compile(rb"0+[ \t]*(;.*)?\r?")
STREAM_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.BusyResourceError,
    h11.ProtocolError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits that a server applies to one connection.

    Sizes are in bytes, times in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 1_048_576
    read_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    write_timeout_s: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A received request; header names are in lower case.

    :param headers: not printed, because they may hold a caller's key.
    :param body: its only copy, which is not to be changed.
    """

    method: str
    target: str
    headers: tuple = dataclasses.field(repr=False)
    body: bytes | bytearray

    def header(self, name, default=""):
        """Get a header's first value.

        :param name: lower-case header name.
        :param default: what to return if the header is absent.
        :returns: the value as text.
        """
        return find_header(self.headers, name, default)

    @property
    def path(self):
        """The target without its query string."""
        return self.target.partition("?")[0]

    @property
    def query(self):
        """The query string, still percent-encoded."""
        return self.target.partition("?")[2]

    def json(self):
        """Decode the body as a JSON object.

        :returns: a dict.
        :raises BadJson: if the body is anything else.
        """
        try:
            value = json.loads(self.body)
        except (ValueError, RecursionError) as exc:
            raise exceptions.BadJson(f"body is not JSON: {exc}") from exc
        if not isinstance(value, dict):
            raise exceptions.BadJson("body is not a JSON object")
        return value


class AnswerTooLarge(h11.RemoteProtocolError):
    """A server sends more than is read of an answer."""


class Phase(enum.IntEnum):
    """Progress of an exchange with a server."""

    CONNECTING = 0
    SENDING = 1
    SENT = 2
    ANSWERING = 3
    DONE = 4


def without_bytes(exc):
    """Get the text of an h11 error without the bytes that it quotes."""
    text, _, _ = str(exc).partition("bytearray(")
    return text.strip(" :=")


def has_folded_line(data):
    """Tell whether a line of a head continues the one before.

    Such a line may be a field of its own for another reader (RFC 9112,
    section 5.2).

    :param data: the bytes of one or more heads.
    """
    return _FOLDED_LINE.search(data) is not None


def has_folded_trailer(data):
    """Tell whether a line of a trailer continues the one before.

    :param data: bytes that end with the trailer; if there are any before it,
        the last of them are the line of the last chunk.
    """
    for line in reversed(data.split(b"\n")):
        if line.startswith((b" ", b"\t")):
            return True
        if _LAST_CHUNK.fullmatch(line):
            return False
    return False


def join_small(parts):
    """Join the parts of a message, but for large ones, which stay uncopied.

    :param parts: list of bytes-like objects.
    :returns: list of what to send.
    """
    joined = [b""]
    for part in parts:
        if len(part) > RECEIVE_BYTES:
            joined += [part, b""]
        else:
            joined[-1] += part
    return [part for part in joined if part]


def find_header(headers, name, default=""):
    """Get a header's first value.

    :param headers: pairs of text with lower-case names.
    :param name: lower-case header name.
    :param default: what to return if the header is absent.
    """
    for key, value in headers:
        if key == name:
            return value
    return default


def byte_headers(headers):
    """Encode headers, the opposite of ``text_headers``.

    :param headers: pairs of text.
    :returns: list of pairs of bytes.
    """
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers
    ]


def text_headers(headers):
    """Decode headers to text.

    :param headers: pairs of bytes.
    :returns: tuple of pairs of text.
    """
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in headers
    )
