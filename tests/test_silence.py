"""Giving a silent server up, without harm to what the caller gets."""

import types

import pytest
import trio
import trio.testing

from coltsfootsail import _http
from coltsfootsail import _streams

EVENT = b"id: 1\ndata: x\n\n"


class Caller:
    """A caller's side that records what reaches it."""

    def __init__(self, write_s=0.0):
        self.parts = []
        self._write_s = write_s

    async def start(self, status, headers):
        await trio.lowlevel.checkpoint()
        self.parts.append("head")

    async def write(self, data):
        await trio.sleep(self._write_s)
        self.parts.append(data)

    async def end(self):
        await trio.lowlevel.checkpoint()
        self.parts.append("end")


class Exchange:
    """A server's answer whose parts come after given delays."""

    def __init__(self, *delays_s):
        self.status = 200
        self.headers = ()
        self.phase = _http.Phase.ANSWERING
        self._delays_s = list(delays_s)

    async def read_some(self):
        await trio.sleep(self._delays_s.pop(0))
        if not self._delays_s:
            self.phase = _http.Phase.DONE
        return EVENT


@pytest.fixture
def relay():
    """Relay an exchange under a guard; return guard, sink and parts."""

    def run(exchange, write_s=0.0, late=False):
        async def main():
            caller = Caller(write_s)
            sink = _streams._StreamSink(caller, tuple, trio.current_time)
            gateway = types.SimpleNamespace(
                now=trio.current_time,
                metrics=types.SimpleNamespace(count=lambda *args: None),
            )
            streams = _streams.StreamForwarder(gateway, None)
            with _streams._SilenceTimeout(1.0) as guard:
                if late:
                    guard._scope.cancel()
                await streams._relay(exchange, sink, caller, guard)
            return guard, sink, caller.parts

        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, clock=clock)

    return run


def test_head_that_comes_when_the_server_was_given_up_is_not_passed_on(relay):
    """Else its head would be lost, and another server's events follow."""
    guard, sink, parts = relay(Exchange(0.1), late=True)
    assert guard.expired and not sink.started
    assert parts == []


def test_event_that_comes_too_late_is_not_counted_as_passed_on(relay):
    guard, sink, parts = relay(Exchange(0.1, 1.5, 0.1))
    assert parts == ["head", EVENT]
    assert guard.expired


def test_slow_caller_is_not_taken_for_a_silent_server(relay):
    guard, _, parts = relay(Exchange(0.1, 0.1), write_s=9.0)
    assert not guard.expired
    assert parts == ["head", EVENT, EVENT, "end"]
