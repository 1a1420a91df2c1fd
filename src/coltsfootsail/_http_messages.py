"""HTTP/1.1 messages: what servers and clients share."""

import dataclasses
import enum
import json

import h11
import trio

from coltsfootsail import exceptions

RECEIVE_BYTES = 65536
STREAM_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.BusyResourceError,
    h11.ProtocolError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpLimits:
    """What a server takes from one connection.

    Sizes are in bytes, times in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 1_048_576
    read_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    write_timeout_s: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """One received request; header names are lower case."""

    method: str
    target: str
    headers: tuple
    body: bytes

    def header(self, name, default=""):
        """Get a header's first value.

        :param name: lower-case header name.
        :param default: what to return when it is absent.
        :returns: the value as text.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return default

    @property
    def path(self):
        """The target without its query string."""
        return self.target.partition("?")[0]

    @property
    def query(self):
        """The query string, still quoted."""
        return self.target.partition("?")[2]

    def json(self):
        """Decode the body as a JSON object.

        :returns: a dict.
        :raises BadJson: if it is anything else.
        """
        try:
            value = json.loads(self.body)
        except (ValueError, RecursionError) as exc:
            raise exceptions.BadJson(f"body is not JSON: {exc}") from exc
        if not isinstance(value, dict):
            raise exceptions.BadJson("body is not a JSON object")
        return value


class Phase(enum.IntEnum):
    """How far an exchange with a server has got."""

    CONNECTING = 0
    SENDING = 1
    SENT = 2
    ANSWERING = 3
    DONE = 4


async def next_event(conn, stream):
    while True:
        event = conn.next_event()
        if event is not h11.NEED_DATA:
            return event
        if conn.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await stream.send_all(conn.send(go_on))
        conn.receive_data(await stream.receive_some(RECEIVE_BYTES))


def text_headers(headers):
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in headers
    )
