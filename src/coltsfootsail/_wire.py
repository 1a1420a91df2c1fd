"""Messages between nodes, encoded as msgpack on a stream.

A message is an array of its tag, which is the position of its class in
``MESSAGES``, and its fields in order.  Nodes of several builds talk to each
other: a message with an unknown tag and fields after the known ones are
skipped, and fields that are missing at the end have their defaults.  A field
that is missing without a default, or has the wrong type, is an error.

Builds of protocol 1 end a link at any message that they do not know.  A node
announces its protocol in its ``Hello``; one that does not is of protocol 1.
``_vocabulary`` and ``_early_forms`` tell what such a node is sent.
"""

import dataclasses

import msgpack
import trio

from coltsfootsail import _http_messages
from coltsfootsail import _net
from coltsfootsail import exceptions

MESSAGE_BYTES_MAX = 4_194_304
VALUES_MAX = 524_288  # in the arrays and maps of a message
RECEIVE_BYTES = 65536
READ_BYTES = 4096
PROTOCOL = 5
UNANNOUNCED_PROTOCOL = 1
_PROTOCOL_MARK = "+"  # between the incarnation and the protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message on a link; identifies the node and its current run.

    The incarnation ends with the node's protocol, because builds of protocol
    1 know no further field.
    """

    node: str
    region: str
    incarnation: str

    @property
    def protocol(self):
        """The protocol that the node announces."""
        _, mark, number = self.incarnation.partition(_PROTOCOL_MARK)
        if mark and number.isdecimal():
            return int(number)
        return UNANNOUNCED_PROTOCOL

    def announcing(self):
        """Make the ``Hello`` that announces this build's protocol."""
        incarnation = f"{self.incarnation}{_PROTOCOL_MARK}{PROTOCOL}"
        return dataclasses.replace(self, incarnation=incarnation)


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic sign that the sender is alive, with its status.

    :param revision: configuration revision in force on the sender.
    :param kv_ok: whether the sender can reach the KV service.
    :param loads: pairs of an owned endpoint and its load level; only those
        that changed since the last heartbeat on this link.
    :param ready: whether callers should use the sender.
    """

    revision: int
    kv_ok: bool
    loads: tuple = ()
    ready: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Residency:
    """Adapters that were loaded on an endpoint or evicted from it.

    :param full: whether all adapter slots of the endpoint are taken.
    :param failing: whether an adapter load failed there recently.
    """

    endpoint: str
    added: tuple
    removed: tuple
    full: bool
    failing: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Strike:
    """Number of engine crashes during requests with this content.

    A count of 0 clears the fingerprint.
    """

    fingerprint: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """Requests a permit to load an adapter from the weight store."""

    ticket: str
    rank: int
    waited_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PermitGrant:
    """Grants the permit that was requested under the ticket."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class PermitDone:
    """Returns a permit after the load, or withdraws the request."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRequest:
    """Requests a peer's configuration.

    :param digests: hashes of the chunks that the sender already has.
    """

    digests: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigChunk:
    """A configuration chunk that the requester lacks."""

    position: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ViewEntry:
    """A member or claim as the sender last read it from the KV service."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigEnd:
    """Follows the last chunk, with the root that the chunks belong to."""

    root: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """A request that is forwarded to the owner of its endpoint."""

    request_id: str
    endpoint: str
    route: str
    headers: tuple
    body: bytes
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of the answer to a forwarded request."""

    status: int
    headers: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerData:
    """A part of the body of the answer."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnd:
    """Marks the end of a complete answer."""

    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerError:
    """The forwarded request failed with a typed error."""

    code: str
    outcome: str
    detail: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRequest:
    """Asks the owner of an engine for permission to start a request.

    :param number: identifies the grant; chosen by the requester.
    :param parts: pairs of a prompt part's id and its token count.
    :param objective_s: seconds left to meet the objective for the first
        event.
    :param until_s: seconds left until the deadline of the request.
    :param may_move: whether another engine may be asked instead.
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
    may_move: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GrantReply:
    """Grants the start of a request or turns the request away.

    :param backlog_s: current backlog of the engine in seconds, more recent
        than the one in the last heartbeat.
    :param owner: node that owns the engine instead, if the sender does not;
        empty if it knows none.
    :param fence: fencing number of that node's claim.
    """

    number: int
    granted: bool
    retry_after_s: float
    reason: str
    backlog_s: float
    owner: str = ""
    fence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GrantEnd:
    """Ends a granted request or withdraws a ``GrantRequest``.

    :param outcome: value of a ``_grants.GrantOutcome``.
    :param first_event_s: time from the grant's use to the first event; 0.0
        if there was none.
    """

    number: int
    outcome: str
    first_event_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Tells the former owner of an engine that its claim was taken over."""

    server: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """Tells for how long the former owner has sent the engine no order."""

    server: str
    fence: int
    idle_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Checks that a silent peer is still reachable."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """The reply to a ``Ping``."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentUpdate:
    """Configuration and adapter versions for a node that lacks them.

    :param deployment: the stored bytes of the configuration.
    """

    deployment: bytes
    versions: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimit:
    """What an answer showed of a server's limit.

    :param per_s: requests a second over all nodes, infinite for no limit.
    :param age_s: time since the moment for which it is known.
    """

    server: str
    per_s: float
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StreamBegun:
    """Tells at which software version of a service a stream began."""

    request_id: str
    service: str
    software: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamQuery:
    """Asks where a stream began.

    :param number: identifies the question; chosen by the sender.
    :param service: the service that the stream is sent to now.
    """

    number: int
    request_id: str
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamReply:
    """Tells where a stream began.

    :param known: whether the sender knows it.  Otherwise service and software
        are the only ones possible as far as it has seen, or empty.
    """

    number: int
    known: bool
    service: str
    software: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLeaving:
    """Tells that a server stated that it leaves."""

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSilent:
    """Tells that a node does not answer the sender."""

    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServerBusy:
    """Tells an engine's owner that the engine asked the sender for a pause."""

    server: str
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServerCheck:
    """Asks whether the receiver can connect to a server.

    :param number: identifies the question; chosen by the sender.
    """

    number: int
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServerCheckReply:
    """Tells whether the sender can connect to a server.

    :param finding: value of a ``_crash_checks.Finding``.
    """

    number: int
    finding: str


@dataclasses.dataclass(frozen=True, slots=True)
class CrashedRun:
    """Tells of a request that ran when its server crashed.

    :param content: fingerprint of the request.
    :param parts: pairs of the id of a suspected part of its prompt and the
        part's place there.
    :param age_s: time since the crash was found.
    """

    server: str
    content: str
    parts: tuple
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PartsCleared:
    """Tells of suspected parts with which a run was completed."""

    parts: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class CutOff:
    """Tells which servers the sender can't connect to while others can.

    :param servers: their names.
    :param isolated: whether it is cut off from all servers.
    """

    servers: tuple
    isolated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RelayRequest:
    """Asks the receiver to send a request to a server.

    It is the first message on a connection of its own, and the parts of the
    body follow as ``AnswerData``.  The reply is an ``AnswerHead``, with
    ``AnswerData`` and an ``AnswerEnd``, or an ``AnswerError`` at any point.

    :param headers: pairs of name and value.
    """

    server: str
    request_id: str
    method: str
    target: str
    headers: tuple
    body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServerBrittle:
    """What an answer showed of how many requests its server can refuse.

    :param per_s: refusals a second for want of room, infinite for any number.
    :param age_s: time since the moment for which it is known.
    """

    server: str
    per_s: float
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceGrantRequest(GrantRequest):
    """A ``GrantRequest`` for a request of a workspace.

    :param workspace: name of the workspace.
    :param expected_tokens: expected length of the answer, 0 if not known;
        ``output_tokens`` is the greatest.
    """

    workspace: str = ""
    expected_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StreamedGrantEnd(GrantEnd):
    """A ``GrantEnd`` of a stream, with what shows the engine's speed.

    :param events: events that were received.
    :param stream_s: time between the first event and the last one, as if
        all had come at the lower quartile of their distances.
    """

    events: int = 0
    stream_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessQuery:
    """Asks for how recent a configuration the peer has a proof.

    :param number: identifies the query; chosen by the sender.
    """

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessReply:
    """Tells the age of the sender's proof of its configuration.

    :param version: version of the sender's configuration.
    :param age_s: age of the proof, infinite if there is none.
    """

    number: int
    version: int
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaReport:
    """Reports the use of quotas to the holder of a pool.

    :param number: identifies the report; chosen by the sender.
    :param stamp_s: the last stamp of the holder, on its own clock; 0.0 for
        none.
    :param is_lent: whether the sender's entitlement is lent to the holder.
    :param uses: tuples of workspace, tokens wanted, tokens spent since the
        last report (negative if given back), and time in seconds from the
        receipt of the stamp until the tokens that are given back were spent.
    """

    number: int
    stamp_s: float
    is_lent: bool
    uses: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaReply:
    """Grants tokens of a pool, in reply to a ``QuotaReport``.

    :param stamp_s: time of the reply on the sender's clock.
    :param grants: tuples of workspace, tokens granted, time in seconds until
        there is room for what was not granted, and tokens that may be spent
        before they are reported.
    """

    number: int
    stamp_s: float
    grants: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSpeed:
    """Tells the speed level of an engine, as its owner has learned it.

    :param level: factor on the speed of a common engine.
    :param born_ms: the start of the engine for which it holds.
    :param age_s: time since the level was learned.
    """

    server: str
    level: float
    born_ms: int
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRequest:
    """Asks a node for a retry of its part of the budget.

    :param number: identifies the request; chosen by the sender.
    :param service: that the retry is for.
    """

    number: int
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class RetryReply:
    """Lends a retry, or tells that there is none."""

    number: int
    is_lent: bool


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
    ServerLimit,
    StreamBegun,
    StreamQuery,
    StreamReply,
    ServerLeaving,
    PeerSilent,
    ServerBusy,
    ServerCheck,
    ServerCheckReply,
    CrashedRun,
    PartsCleared,
    CutOff,
    RelayRequest,
    ServerBrittle,
    WorkspaceGrantRequest,
    StreamedGrantEnd,
    FreshnessQuery,
    FreshnessReply,
    QuotaReport,
    QuotaReply,
    ServerSpeed,
    RetryRequest,
    RetryReply,
)
_TAGS = {message_type: tag for tag, message_type in enumerate(MESSAGES)}
_FIELD_NAMES = {
    message_type: tuple(
        field.name for field in dataclasses.fields(message_type)
    )
    for message_type in MESSAGES
}
_FIELD_TYPES = {
    message_type: tuple(
        field.type for field in dataclasses.fields(message_type)
    )
    for message_type in MESSAGES
}
_REQUIRED_COUNTS = {
    message_type: sum(
        field.default is dataclasses.MISSING
        for field in dataclasses.fields(message_type)
    )
    for message_type in MESSAGES
}


def encode(msg, field_count=None):
    """Encode one message.

    :param msg: an instance of a class in ``MESSAGES``.
    :param field_count: number of its first fields to encode, None for all.
    :returns: bytes.
    """
    message_type = type(msg)
    names = _FIELD_NAMES[message_type][:field_count]
    fields = [getattr(msg, name) for name in names]
    return msgpack.packb([_TAGS[message_type], *fields])


def _decode(value, on_skipped):
    """Decode one message.

    :param on_skipped: ``(what)``, called for what is skipped.
    :returns: a message, or None if its kind is not known.
    :raises WireError: if it is malformed.
    """
    if not isinstance(value, tuple) or not value:
        raise exceptions.WireError("message is not a non-empty array")
    tag = value[0]
    if type(tag) is not int or tag < 0:
        raise exceptions.WireError("message tag is not a position")
    if tag >= len(MESSAGES):
        on_skipped(f"message {tag}")
        return None
    message_type = MESSAGES[tag]
    field_types = _FIELD_TYPES[message_type]
    fields = value[1 : 1 + len(field_types)]
    if len(fields) < _REQUIRED_COUNTS[message_type]:
        raise exceptions.WireError(
            f"{message_type.__name__}: wrong number of fields"
        )
    if len(value) - 1 > len(field_types):
        on_skipped(f"fields of {message_type.__name__}")
    for field, field_type in zip(fields, field_types, strict=False):
        if type(field) is not field_type:
            raise exceptions.WireError(
                f"{message_type.__name__}: field of the wrong type"
            )
    return message_type(*fields)


class _Decoder:
    """Decodes a stream of values with bounded memory.

    A value's bytes are freed as its parts are decoded, so that the buffer
    alone does not bound it.

    :param account: a ``_held_memory.Account`` from which the bytes of values
        that are not complete are taken, or None.
    """

    def __init__(self, account):
        self._account = account
        self._unpacker = self._make_unpacker()
        self._fed_bytes = 0
        self._decoded_bytes = 0
        self._values = 0
        self._buffer_bytes = 0

    def _make_unpacker(self):
        return msgpack.Unpacker(
            use_list=False,
            read_size=READ_BYTES,
            max_buffer_size=MESSAGE_BYTES_MAX,
            max_array_len=VALUES_MAX,
            max_map_len=VALUES_MAX,
            list_hook=self._count_values,
            object_hook=self._count_values,
        )

    def _count_values(self, container):
        """Count the values of an array or map, and an empty one as one."""
        self._values += len(container) or 1
        if self._values > VALUES_MAX:
            raise exceptions.WireError("message has too many values")
        return container

    def next(self):
        """Get the next value.

        :raises StopIteration: if it is not complete.
        :raises WireError: if it is too large or malformed, or the memory of
            all peers is used up.
        """
        try:
            value = next(self._unpacker)
        except StopIteration:
            self._note_incomplete()
            raise
        except (ValueError, msgpack.UnpackException) as exc:
            raise exceptions.WireError(str(exc)) from exc
        self._decoded_bytes = self._unpacker.tell()
        self._values = 0
        return value

    def feed(self, data):
        """Add received bytes.

        :raises WireError: if the value is too large.
        """
        try:
            self._unpacker.feed(data)
        except msgpack.BufferFull as exc:
            raise exceptions.WireError(
                "message exceeds the size limit"
            ) from exc
        self._fed_bytes += len(data)

    def _note_incomplete(self):
        """Bound the bytes of the value that is not complete, and take them."""
        size_bytes = self._fed_bytes - self._decoded_bytes
        if size_bytes > MESSAGE_BYTES_MAX:
            raise exceptions.WireError("message exceeds the size limit")
        if not size_bytes and self._buffer_bytes > RECEIVE_BYTES:
            self._free_buffer()
        missing_bytes = size_bytes - self._buffer_bytes
        if missing_bytes > 0:
            if self._account and not self._account.take(missing_bytes):
                raise exceptions.WireError("memory of all peers")
            self._buffer_bytes = size_bytes

    def _free_buffer(self):
        """Replace the buffer, which keeps the size of the largest value."""
        if self._account:
            self._account.give_back(self._buffer_bytes)
        self._unpacker = self._make_unpacker()
        self._fed_bytes = self._decoded_bytes = self._buffer_bytes = 0


class MessageStream:
    """Sends and receives messages on a ``trio.abc.Stream``.

    :param on_skipped: ``(what)``, called for what is skipped of received
        messages.
    :param account: a ``_held_memory.Account`` from which the bytes of
        messages that are not complete are taken, or None.

    ``forms``, an ``_early_forms.EarlyForms``, is set while the peer may be of
    a build that knows fewer fields.
    """

    def __init__(self, stream, on_skipped=lambda what: None, account=None):
        self._stream = stream
        self.on_skipped = on_skipped
        self.forms = None
        self._lock = trio.Lock()
        self._decoder = _Decoder(account)
        self.sent_bytes = 0
        self._unread = None

    def allow_unread(self):
        """Let the far end leave a large part of what is sent unread."""
        self._unread = _net.UnreadAllowance(self._stream)

    async def send(self, msg):
        """Send one message.

        :raises OSError: if the stream has failed.
        """
        await self.send_many((msg,))

    async def send_many(self, msgs):
        """Send messages in one write.

        :raises OSError: if the stream has failed.
        """
        data = b"".join(map(self._encode, msgs))
        if self._unread is not None:
            self._unread.note_sending(len(data))
        try:
            async with self._lock:
                await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise ConnectionError(str(exc)) from exc
        self.sent_bytes += len(data)

    def _encode(self, msg):
        if self.forms is None:
            return encode(msg)
        return encode(msg, self.forms.use(type(msg)))

    async def receive(self):
        """Receive one message of a known kind.

        :returns: a message, or None at the end of the stream.
        :raises WireError: if the bytes are not a message.
        :raises OSError: if the stream has failed.
        """
        while True:
            try:
                value = self._decoder.next()
                msg = _decode(value, self.on_skipped)
                if msg is None:
                    continue
                if self.forms is not None:
                    self.forms.note_received(type(msg), len(value) - 1)
                return msg
            except StopIteration:
                pass
            try:
                data = await self._stream.receive_some(RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                raise ConnectionError(str(exc)) from exc
            if not data:
                return None
            self._decoder.feed(data)

    async def receive_answer(self):
        """Receive a part of an answer that another node passes on.

        One of an earlier version passes on any status.

        :returns: a message, or None at the end of the stream.
        :raises WireError: as ``receive``, or if the status is not one of the
            protocol.
        :raises OSError: if the stream has failed.
        """
        msg = await self.receive()
        if (
            isinstance(msg, AnswerHead)
            and msg.status not in _http_messages.FINAL_STATUSES
        ):
            raise exceptions.WireError(f"status {msg.status}")
        return msg

    async def aclose(self):
        """Close the stream at once."""
        await trio.aclose_forcefully(self._stream)
