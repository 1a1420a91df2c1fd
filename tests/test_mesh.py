"""Tests for the links between nodes."""

import trio

from coltsfootsail import _mesh
from coltsfootsail import _wire


class RecordingStream:
    """Keeps each write to the stream."""

    def __init__(self):
        self.writes = []

    async def send_all(self, data):
        """Record one write; takes 10 ms, like a slow peer."""
        self.writes.append(data)
        await trio.sleep(0.01)


def _grant_ends(count):
    return [_wire.GrantEnd(number, "done") for number in range(count)]


def test_queued_messages_are_batched_into_few_writes(virtual):
    async def main():
        stream = RecordingStream()
        send, receive = trio.open_memory_channel(200)
        link = _mesh._Link(
            "n2", _wire.MessageStream(stream), send, trio.CancelScope()
        )
        for msg in _grant_ends(120):
            send.send_nowait(msg)
        send.close()
        await _mesh.Mesh._send_all(None, link, receive)
        expected = b"".join(map(_wire.encode, _grant_ends(120)))
        assert b"".join(stream.writes) == expected
        assert len(stream.writes) == 3

    virtual(main)
