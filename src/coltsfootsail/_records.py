"""Records stored in the KV service, encoded as msgpack maps."""

import dataclasses

import msgpack

from coltsfootsail import _schema
from coltsfootsail import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A live node: its location and its addresses.

    :param lease: number of the lease that the record is attached to.
    """

    node: str
    incarnation: str
    region: str
    data_centre: str
    caller_address: str
    peer_address: str
    admin_address: str
    lease: int
    draining: bool = False


def describe_members(members):
    """Describe nodes for a status page.

    :param members: dict of node name to ``Member``.
    :returns: dict of node name to plain data, sorted by name.
    """
    return {
        name: {
            "admin_address": record.admin_address,
            "data_centre": record.data_centre,
            "draining": record.draining,
        }
        for name, record in sorted(members.items())
    }


def make_member(node, incarnation, lease, draining):
    """Make the member record of a node.

    :param node: its ``NodeSettings``.
    :param lease: number of the lease that the record is attached to.
    """
    return Member(
        node=node.name,
        incarnation=incarnation,
        region=node.region,
        data_centre=node.data_centre,
        caller_address=node.caller_address,
        peer_address=node.peer_address,
        admin_address=node.admin_address,
        lease=lease,
        draining=draining,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A node's claim on an endpoint or on the permits of a region.

    The mod revision of its key is the fencing token.
    """

    node: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """A node that may still use an endpoint.

    :param adapters: the adapters of its orders that may be outstanding.
    """

    node: str
    incarnation: str
    adapters: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The nodes whose orders the owner of an endpoint still waits for.

    The record is not attached to a lease, so that an owner that starts again
    goes on waiting.
    """

    nodes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SettledEra:
    """The last era of the store in which no earlier holder can order."""

    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class Intent:
    """All nodes that may still use an endpoint, its owner last.

    The record is not attached to a lease: a holder removes itself when it
    has no request running and no order outstanding on the endpoint.
    """

    holders: tuple[Holder, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StrikeRecord:
    """Number of endpoint crashes during requests with one content."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class BlamedPart:
    """Number of servers that crashed under a part of a prompt."""

    part: str
    crashes: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamGroup:
    """Streams that began at one software version of a service.

    :param digests: digests of their request ids, one after the other.
    """

    service: str
    software: str
    digests: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StreamSlot:
    """Streams that began at one node within some seconds."""

    groups: tuple[StreamGroup, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Sets or deletes one entry of the configuration.

    Values are the entry as msgpack; empty bytes mean that there is none.

    :param old: the value that is replaced.
    """

    section: str
    key: str
    old: bytes
    new: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRoot:
    """The configuration in force: its revision and its chunk hashes.

    :param nonce: identifies the edit that made this revision.
    :param delta: the operations that lead from the previous revision to
        this one; empty if there are too many.
    """

    revision: int
    nonce: str
    chunks: tuple[bytes, ...]
    delta: tuple[Operation, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigChange:
    """An accepted change of the configuration.

    :param nonce: identifies the edit, to find it after a lost reply.
    :param truncated: whether the operations were left out because they
        are too large to store.
    """

    revision: int
    nonce: str
    when: str
    operator: str
    team: str
    operations: tuple[Operation, ...]
    truncated: bool = False


def dumps(record):
    """Encode a record."""
    return msgpack.packb(_schema.unstructure(record))


def loads(data, record_class):
    """Decode a record.

    :param data: bytes.
    :param record_class: class of the record.
    :raises WireError: if the bytes are not a valid record of that class.
    """
    try:
        value = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as exc:
        raise exceptions.WireError(f"{record_class.__name__}: {exc}") from exc
    record, problems = _schema.structure(value, record_class)
    if problems:
        raise exceptions.WireError(f"{record_class.__name__}: {problems[0]}")
    return record
