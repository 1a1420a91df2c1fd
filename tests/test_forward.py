"""Tests of forwarded requests."""

import pytest
import trio
import trio.testing

from coltsfootsail import _forward
from coltsfootsail import _inference
from coltsfootsail import _wire
from coltsfootsail import exceptions
from coltsfootsail.standins import network as memory


def test_forward_is_cancelled_if_the_caller_stops_reading(virtual):
    async def main():
        net = memory.MemoryNetwork()

        async def owner(stream):
            messages = _wire.MessageStream(stream)
            await messages.receive()
            await messages.send(_wire.AnswerHead(200, ()))
            await messages.send(_wire.AnswerData(b"x"))
            await trio.sleep_forever()

        async def start(status, headers):
            await trio.lowlevel.checkpoint()

        async def block(*args):
            await trio.sleep_forever()

        sink = _inference.ResponseSink(
            start=start, write=block, end=block, hangup=block
        )
        msg = _wire.Forward("r", "e", "/v1/completions", (), b"", 60.0)
        async with trio.open_nursery() as nursery:
            await nursery.start(net.network("o").serve, "o:1", owner)
            with trio.fail_after(2 * _forward.WRITE_TIMEOUT_S):
                with pytest.raises(exceptions.CallerGone):
                    await _forward.send(net.network("n"), "o:1", msg, sink)
            nursery.cancel_scope.cancel()

    virtual(main)


@pytest.mark.parametrize("status", [0, 199, 600])
def test_status_outside_of_the_protocol_is_no_answer(virtual, status):
    # The node that forwards passed it on to the caller.
    calls = []

    async def main():
        net = memory.MemoryNetwork()

        async def owner(stream):
            messages = _wire.MessageStream(stream)
            await messages.receive()
            await messages.send(_wire.AnswerHead(status, ()))
            await messages.send(_wire.AnswerEnd(0))

        async def note(*args):
            calls.append(args)

        sink = _inference.ResponseSink(
            start=note, write=note, end=note, hangup=trio.sleep_forever
        )
        msg = _wire.Forward("r", "e", "/v1/completions", (), b"", 60.0)
        async with trio.open_nursery() as nursery:
            await nursery.start(net.network("o").serve, "o:1", owner)
            with pytest.raises(exceptions.OutcomeUnknown):
                await _forward.send(net.network("n"), "o:1", msg, sink)
            nursery.cancel_scope.cancel()

    virtual(main)
    assert not calls
