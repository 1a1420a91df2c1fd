"""Messages and stored records that released builds must decode, and wrote.

``released.json`` was recorded by tools/record_formats.py from the last build
of protocol 1.  docs/PLATFORM.md says how a format may be changed.
"""

import dataclasses
import json
import pathlib

import msgpack
import pytest
import trio
import trio.testing

from coltsfootsail import _records
from coltsfootsail import _vocabulary
from coltsfootsail import _wire
from coltsfootsail import exceptions
from tools import record_formats

RELEASED = json.loads(
    (pathlib.Path(__file__).parent / "released.json").read_text()
)
MESSAGES = pytest.mark.parametrize(
    ("tag", "message"),
    list(enumerate(RELEASED["messages"])),
    ids=[each["name"] for each in RELEASED["messages"]],
)
RECORDS = pytest.mark.parametrize(
    "record", RELEASED["records"], ids=lambda record: record["name"]
)


def _decode(data, skipped=None):
    on_skipped = (lambda what: None) if skipped is None else skipped.append
    return _wire._decode(msgpack.unpackb(data, use_list=False), on_skipped)


def _types(record_class):
    return record_formats.describe(record_class, lambda _: b"")["fields"]


@MESSAGES
def test_message_of_a_released_build_is_decoded(tag, message):
    data = bytes.fromhex(message["data"])
    decoded = _decode(data)
    assert type(decoded).__name__ == message["name"]
    assert _wire.encode(decoded) == data


@MESSAGES
def test_message_that_released_builds_know_is_unchanged(tag, message):
    """Builds of protocol 1 end a link at a field that they do not know."""
    assert _types(_wire.MESSAGES[tag]) == message["fields"]


def test_messages_are_appended_and_sent_only_to_builds_that_know_them():
    released = len(RELEASED["messages"])
    early = _vocabulary.PeerVocabulary()
    announced = _vocabulary.PeerVocabulary(_wire.PROTOCOL)
    for message_type in _wire.MESSAGES[released:]:
        assert not early.knows(message_type)
    for message_type in _wire.MESSAGES:
        assert announced.knows(message_type)


@RECORDS
def test_record_of_a_released_build_is_decoded(record):
    data = bytes.fromhex(record["data"])
    record_class = getattr(_records, record["name"])
    assert _records.dumps(_records.loads(data, record_class)) == data


@RECORDS
def test_record_that_released_builds_know_is_unchanged(record):
    """Released builds refuse a record with a field that they do not know."""
    assert _types(getattr(_records, record["name"])) == record["fields"]


def test_unknown_message_and_further_fields_are_skipped():
    skipped = []
    unknown = msgpack.packb([len(_wire.MESSAGES) + 5, "x", 1])
    assert _decode(unknown, skipped) is None
    pong = msgpack.packb([_wire.MESSAGES.index(_wire.Pong), "new field"])
    assert _decode(pong, skipped) == _wire.Pong()
    assert skipped == [
        f"message {len(_wire.MESSAGES) + 5}",
        "fields of Pong",
    ]


def test_missing_fields_have_their_defaults():
    reply = _wire.GrantReply(3, True, 0.0, "", 0.5)
    tag = _wire.MESSAGES.index(_wire.GrantReply)
    data = msgpack.packb([tag, *dataclasses.astuple(reply)[:5]])
    assert _decode(data) == reply


@pytest.mark.parametrize(
    "value",
    [
        [],
        "text",
        [-1],
        [True],
        [1.0],
        ["0"],
        [0, "node"],
        [0, "node", "region", 5],
    ],
)
def test_malformed_message_is_an_error(value):
    with pytest.raises(exceptions.WireError):
        _decode(msgpack.packb(value))


def test_stream_goes_on_after_a_message_of_an_unknown_kind(virtual):
    async def main():
        left, right = trio.testing.memory_stream_pair()
        skipped = []
        messages = _wire.MessageStream(right, skipped.append)
        await left.send_all(msgpack.packb([99, 1]))
        await left.send_all(_wire.encode(_wire.Ping()))
        assert await messages.receive() == _wire.Ping()
        assert skipped == ["message 99"]

    virtual(main)


@pytest.mark.parametrize(
    ("incarnation", "protocol"),
    [("a1b2", 1), ("a1b2+2", 2), ("a1b2+17", 17), ("a1b2+", 1), ("+x", 1)],
)
def test_protocol_is_read_from_the_first_message(incarnation, protocol):
    assert _wire.Hello("n", "r", incarnation).protocol == protocol


def test_early_peer_is_told_only_what_it_has_shown_to_know():
    peer = _vocabulary.PeerVocabulary()
    assert peer.knows(_wire.GrantRequest)
    assert not peer.knows(_wire.ServerLimit)
    assert peer.heard(_wire.ServerLimit("s", 1.0, 0.0))
    assert peer.knows(_wire.ServerLimit)
    assert not peer.knows(_wire.StreamQuery)
    assert not peer.heard(_wire.Ping())
    assert peer.heard(_wire.StreamBegun("r", "s", "v"))
    assert peer.knows(_wire.StreamQuery)
    assert not peer.knows(_wire.ServerLeaving)


def test_peer_is_told_only_what_its_protocol_has():
    peer = _vocabulary.PeerVocabulary(2)
    assert peer.knows(_wire.ServerBusy) and peer.knows(_wire.StreamQuery)
    assert not peer.knows(_wire.ServerCheck)
    assert _vocabulary.PeerVocabulary(_wire.PROTOCOL + 1).knows(
        _wire.ServerCheck
    )
