"""A network in memory, with faults between named hosts.

Addresses are ``host:port`` where host is any name.  A fault is set on a
pair of hosts; each direction has its own.
"""

import collections
import dataclasses
import enum
import math

import trio

from coltsfootsail import _net

BUFFER_BYTES = 262_144


class LinkFault(enum.Enum):
    """What happens to bytes from one host to another."""

    NONE = "none"
    SILENT = "silent"
    HELD = "held"
    REFUSED = "refused"


@dataclasses.dataclass(slots=True)
class _Pipe:
    source: str
    target: str
    parts: collections.deque
    size: int = 0
    closed: bool = False
    broken: bool = False
    lost: bool = False
    held: bool = False
    event: trio.Event = dataclasses.field(default_factory=trio.Event)

    def wake(self):
        """Wake both ends to look again."""
        event, self.event = self.event, trio.Event()
        event.set()


class MemoryStream(trio.abc.Stream):
    """One end of a connection in memory."""

    def __init__(self, net, inbound, outbound):
        self._net = net
        self._in = inbound
        self._out = outbound
        self._closed = False

    async def send_all(self, data):
        """Send bytes, waiting while the buffer is full."""
        await trio.lowlevel.checkpoint_if_cancelled()
        await self._net.wait_running(self._out.source)
        if self._closed:
            raise trio.ClosedResourceError
        if self._out.broken:
            raise trio.BrokenResourceError
        fault = self._net.fault(self._out)
        self._out.lost = self._out.lost or fault is LinkFault.SILENT
        self._out.held = self._out.held or fault is LinkFault.HELD
        if self._out.lost or not data:
            return
        self._out.parts.append(bytes(data))
        self._out.size += len(data)
        self._out.wake()
        while self._out.size > BUFFER_BYTES and not self._out.broken:
            await self._out.event.wait()

    async def wait_send_all_might_not_block(self):
        """Return at once."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        """Receive bytes; empty at the end of the stream."""
        await trio.lowlevel.checkpoint()
        while True:
            await self._net.wait_running(self._in.target)
            if self._closed:
                raise trio.ClosedResourceError
            if self._in.parts and not self._in.held:
                return self._take(max_bytes or 65536)
            if self._in.broken:
                raise trio.BrokenResourceError
            if self._in.closed and not (self._in.lost or self._in.held):
                return b""
            await self._in.event.wait()

    def _take(self, max_bytes):
        data = self._in.parts.popleft()
        if len(data) > max_bytes:
            self._in.parts.appendleft(data[max_bytes:])
            data = data[:max_bytes]
        self._in.size -= len(data)
        self._in.wake()
        return data

    async def aclose(self):
        """Close the connection."""
        if not self._closed:
            self._closed = True
            if self._net.fault(self._out) is LinkFault.SILENT:
                self._out.lost = True
            self._out.closed = True
            self._in.broken = True
            self._out.wake()
            self._in.wake()
        await trio.lowlevel.checkpoint()


class MemoryNetwork:
    """All hosts of a test and the faults between them."""

    def __init__(self):
        self._handlers = {}
        self._faults = {}
        self._paused = set()
        self._pipes = []
        self._change = trio.Event()
        self.connects = collections.Counter()

    def network(self, host):
        """Make the ``Network`` that a host sees."""

        async def open_stream(address):
            return await self._open(host, address)

        return _net.Network(
            open_stream=open_stream,
            serve=self._serve,
            now=trio.current_time,
        )

    def _wake_all(self):
        event, self._change = self._change, trio.Event()
        event.set()
        for pipe in self._pipes:
            pipe.wake()

    async def wait_running(self, host):
        """Wait while a host is paused."""
        while host in self._paused:
            await self._change.wait()

    def pause(self, host):
        """Stop all input and output of a host."""
        self._paused.add(host)

    def resume(self, host):
        """Let a host go on."""
        self._paused.discard(host)
        self._wake_all()

    def set_fault(self, source, target, fault):
        """Set the fault from one host to another."""
        self._faults[source, target] = fault

    def cut(self, source, target, fault=LinkFault.SILENT):
        """Set a fault in both directions."""
        self.set_fault(source, target, fault)
        self.set_fault(target, source, fault)

    def heal(self):
        """Remove all faults between hosts and deliver what was held."""
        self._faults.clear()
        for pipe in self._pipes:
            pipe.held = False
        self._wake_all()

    def fault(self, pipe):
        """Tell the fault on the way of a pipe."""
        key = (pipe.source, pipe.target)
        return self._faults.get(key, LinkFault.NONE)

    def silence_open(self, source, target):
        """Make open connections between two hosts silent for good.

        New connections work.
        """
        ends = {source, target}
        for pipe in self._pipes:
            if {pipe.source, pipe.target} == ends:
                pipe.lost = True

    def break_host(self, host):
        """Break all connections of a host and stop its listeners."""
        for pipe in self._pipes:
            if host in (pipe.source, pipe.target):
                pipe.broken = True
        self._wake_all()

    async def _open(self, host, address):
        await trio.lowlevel.checkpoint()
        target = address.rpartition(":")[0]
        self.connects[address] += 1
        there = self._faults.get((host, target), LinkFault.NONE)
        back = self._faults.get((target, host), LinkFault.NONE)
        if LinkFault.SILENT in (there, back):
            await trio.sleep(_net.CONNECT_TIMEOUT_S)
            raise TimeoutError(address)
        served = self._handlers.get(address)
        if served is None or LinkFault.REFUSED in (there, back):
            raise ConnectionRefusedError(address)
        out = _Pipe(host, target, collections.deque())
        back_pipe = _Pipe(target, host, collections.deque())
        self._pipes = [
            pipe for pipe in self._pipes if not (pipe.closed and pipe.broken)
        ]
        self._pipes += [out, back_pipe]
        handler, nursery = served
        remote = MemoryStream(self, out, back_pipe)
        nursery.start_soon(self._run, handler, remote)
        return MemoryStream(self, back_pipe, out)

    @staticmethod
    async def _run(handler, stream):
        async with stream:
            await handler(stream)

    async def _serve(
        self, address, handler, task_status=trio.TASK_STATUS_IGNORED
    ):
        async with trio.open_nursery() as nursery:
            self._handlers[address] = (handler, nursery)
            task_status.started(address)
            try:
                await trio.sleep(math.inf)
            finally:
                del self._handlers[address]
