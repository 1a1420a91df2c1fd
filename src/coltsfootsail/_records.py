"""Records kept in the KV service, as msgpack of plain tables."""

import dataclasses

import msgpack

from coltsfootsail import _schema
from coltsfootsail import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A live node: where it is and how to reach it."""

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
    :returns: plain data by node name, in order.
    """
    return {
        name: {
            "admin_address": found.admin_address,
            "data_centre": found.data_centre,
            "draining": found.draining,
        }
        for name, found in sorted(members.items())
    }


def make_member(node, incarnation, lease, draining):
    """Make a node's record.

    :param node: its ``NodeSettings``.
    :param lease: number of the lease that the record hangs on.
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
    """A role held by a node; the key's mod revision is its fence."""

    node: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """A node that may still use an endpoint.

    :param adapters: named by orders that it may have outstanding.
    """

    node: str
    incarnation: str
    adapters: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Intent:
    """All nodes that may still use an endpoint, its owner last.

    It outlives leases: a holder removes itself once it has no request
    running and no order outstanding there.
    """

    holders: tuple[Holder, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StrikeRecord:
    """Strikes against a request content."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Sets or deletes one entry; ``old`` is the value it replaced.

    Values are msgpack of the entry; empty means that there is none.
    """

    section: str
    key: str
    old: bytes
    new: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRoot:
    """The configuration in force: its revision and its chunks' hashes.

    :param delta: the operations that made it from the revision before,
        if they are few.
    """

    revision: int
    nonce: str
    chunks: tuple[bytes, ...]
    delta: tuple[Operation, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigChange:
    """One accepted change, with what it replaced.

    :param truncated: it was too large to keep its operations.
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


def loads(data, kind):
    """Decode a record.

    :param data: bytes.
    :param kind: its class.
    :raises WireError: if the bytes are no such record.
    """
    try:
        value = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as exc:
        raise exceptions.WireError(f"{kind.__name__}: {exc}") from exc
    record, problems = _schema.structure(value, kind)
    if problems:
        raise exceptions.WireError(f"{kind.__name__}: {problems[0]}")
    return record
