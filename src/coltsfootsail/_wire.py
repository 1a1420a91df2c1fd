"""Messages between nodes: typed, as msgpack on a stream.

A message is an array of its tag and its fields in order.  Unknown tags
and wrong field counts are errors, never guesses.
"""

import dataclasses

import msgpack
import trio

from coltsfootsail import exceptions

MESSAGE_BYTES_MAX = 4_194_304
RECEIVE_BYTES = 65536
READ_BYTES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Opens a link: who calls, and since when it runs."""

    node: str
    region: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that the sender lives, with its revision and its view of KV.

    :param loads: pairs of an owned endpoint and its load level, those
        that changed since the last heartbeat on this link.
    :param ready: whether callers should use the sender.
    """

    revision: int
    kv_ok: bool
    loads: tuple = ()
    ready: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Residency:
    """Adapters that became resident on an endpoint or left it.

    ``full`` says that all slots are taken, ``failing`` that a load
    failed there a short while ago.
    """

    endpoint: str
    added: tuple
    removed: tuple
    full: bool
    failing: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Strike:
    """A request fingerprint that ran when an endpoint crashed."""

    fingerprint: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """Asks for the right to load from the weight store."""

    ticket: str
    rank: int
    waited_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PermitGrant:
    """Grants a load."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class PermitDone:
    """Ends a load or withdraws an ask."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRequest:
    """Asks a peer for its configuration, by the hashes held."""

    digests: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigChunk:
    """A chunk of the configuration that the asker lacks."""

    position: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ViewEntry:
    """A member or claim as the sender last saw it in the KV service."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigEnd:
    """Ends the chunks with the root that they belong to."""

    root: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """A request passed on to the owner of its endpoint."""

    request_id: str
    endpoint: str
    route: str
    headers: tuple
    body: bytes
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of a forwarded request's answer."""

    status: int
    headers: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerData:
    """A part of the body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The answer is whole."""

    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerError:
    """The request ended in a typed error."""

    code: str
    outcome: str
    detail: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRequest:
    """Asks an engine's owner for a start.

    :param number: chosen by the asker.
    :param objective_s: time left to the first event's objective.
    :param until_s: time left to the request.
    """

    number: int
    server: str
    adapter: str
    version: int
    parts: tuple
    prompt_tokens: int
    output_tokens: int
    priority: int
    objective_s: float
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GrantReply:
    """Grants a start or turns the request away.

    :param backlog_s: the engine's backlog now, fresher than heartbeats.
    """

    number: int
    granted: bool
    retry_after_s: float
    reason: str
    backlog_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GrantEnd:
    """Ends a start or withdraws an ask; ``outcome`` is a ``_grants.End``."""

    number: int
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Tells a former holder that its claim was taken over."""

    server: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """Says for how long the former holder has given no order."""

    server: str
    fence: int
    idle_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks a peer that has been silent for a while for a sign of life."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """The reply to a ``Ping``."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentUpdate:
    """Configuration and adapter versions for a node that lacks them."""

    deployment: bytes
    versions: tuple


MESSAGES = (
    Hello,
    Heartbeat,
    Residency,
    Strike,
    PermitRequest,
    PermitGrant,
    PermitDone,
    ConfigRequest,
    ConfigChunk,
    ViewEntry,
    ConfigEnd,
    Forward,
    AnswerHead,
    AnswerData,
    AnswerEnd,
    AnswerError,
    GrantRequest,
    GrantReply,
    GrantEnd,
    ReleaseRequest,
    Released,
    DeploymentUpdate,
    Ping,
    Pong,
)
_TAGS = {kind: tag for tag, kind in enumerate(MESSAGES)}
_NAMES = {
    kind: tuple(field.name for field in dataclasses.fields(kind))
    for kind in MESSAGES
}
_TYPES = {
    kind: tuple(field.type for field in dataclasses.fields(kind))
    for kind in MESSAGES
}


def encode(msg):
    """Encode one message.

    :param msg: an instance of a class in ``MESSAGES``.
    :returns: bytes.
    """
    kind = type(msg)
    fields = [getattr(msg, name) for name in _NAMES[kind]]
    return msgpack.packb([_TAGS[kind], *fields])


def _decode(value):
    if not isinstance(value, tuple) or not value:
        raise exceptions.WireError("not a message")
    tag = value[0]
    if type(tag) is not int or not 0 <= tag < len(MESSAGES):
        raise exceptions.WireError("unknown message")
    kind = MESSAGES[tag]
    fields = value[1:]
    types = _TYPES[kind]
    if len(fields) != len(types):
        raise exceptions.WireError(f"{kind.__name__}: wrong field count")
    for field, wanted in zip(fields, types, strict=True):
        if type(field) is not wanted:
            raise exceptions.WireError(f"{kind.__name__}: wrong field type")
    return kind(*fields)


class MessageStream:
    """Sends and receives messages on a ``trio.abc.Stream``."""

    def __init__(self, stream):
        self._stream = stream
        self._lock = trio.Lock()
        self._unpacker = msgpack.Unpacker(
            use_list=False,
            read_size=READ_BYTES,
            max_buffer_size=MESSAGE_BYTES_MAX,
        )
        self.sent_bytes = 0

    async def send(self, msg):
        """Send one message, whole.

        :raises OSError: if the stream has failed.
        """
        await self.send_many((msg,))

    async def send_many(self, msgs):
        """Send messages in one write.

        :raises OSError: if the stream has failed.
        """
        data = b"".join(map(encode, msgs))
        try:
            async with self._lock:
                await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise ConnectionError(str(exc)) from exc
        self.sent_bytes += len(data)

    async def receive(self):
        """Receive one message.

        :returns: a message, or None at the end of the stream.
        :raises WireError: if the bytes are not a known message.
        :raises OSError: if the stream has failed.
        """
        while True:
            try:
                return _decode(next(self._unpacker))
            except StopIteration:
                pass
            except exceptions.WireError:
                raise
            except (ValueError, msgpack.UnpackException) as exc:
                raise exceptions.WireError(str(exc)) from exc
            try:
                data = await self._stream.receive_some(RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                raise ConnectionError(str(exc)) from exc
            if not data:
                return None
            try:
                self._unpacker.feed(data)
            except msgpack.BufferFull as exc:
                raise exceptions.WireError("message too large") from exc

    async def aclose(self):
        """Close the stream at once."""
        await trio.aclose_forcefully(self._stream)
