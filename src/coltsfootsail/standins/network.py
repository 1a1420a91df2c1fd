"""An in-memory network with fault injection between named hosts.

Addresses are ``host:port``, where ``host`` is any name.  A fault applies
to one direction between two hosts.
"""

import collections
import dataclasses
import enum
import math

import trio

from coltsfootsail import _net

BUFFER_BYTES = 262_144


class LinkFault(enum.Enum):
    """A fault in the direction from one host to another.

    ``SILENT`` lets connection attempts time out and drops data for the
    rest of a connection, ``HELD`` delays data until the fault is removed,
    and ``REFUSED`` refuses new connections.
    """

    NONE = "none"
    SILENT = "silent"
    HELD = "held"
    REFUSED = "refused"


@dataclasses.dataclass(slots=True)
class _Pipe:
    """One direction of a connection.

    :param chunks: data that the target has not received.
    :param buffered_bytes: total size of ``chunks``.
    :param closed: the source closed the connection.
    :param broken: the target closed it, or a host's connections broke.
    :param lost: data sent from now on is dropped.
    :param unpowered: one end's host has lost power.
    :param held: data stays in ``chunks`` until the fault is removed.
    :param event: set to wake the tasks that wait for a change.
    """

    source: str
    target: str
    chunks: collections.deque
    buffered_bytes: int = 0
    closed: bool = False
    broken: bool = False
    lost: bool = False
    unpowered: bool = False
    held: bool = False
    event: trio.Event = dataclasses.field(default_factory=trio.Event)

    def wake(self):
        """Wake both ends so that they check the state again."""
        event, self.event = self.event, trio.Event()
        event.set()


class MemoryStream(trio.abc.HalfCloseableStream):
    """One end of an in-memory connection."""

    def __init__(self, net, inbound, outbound):
        self._net = net
        self._inbound = inbound
        self._outbound = outbound
        self._closed = False

    async def send_all(self, data):
        """Send bytes; wait while the buffer is full."""
        await trio.lowlevel.checkpoint_if_cancelled()
        await self._net.wait_running(self._outbound.source)
        if self._closed:
            raise trio.ClosedResourceError
        if self._outbound.broken:
            raise trio.BrokenResourceError
        fault = self._net.fault(self._outbound)
        self._outbound.lost = self._outbound.lost or fault is LinkFault.SILENT
        self._outbound.held = self._outbound.held or fault is LinkFault.HELD
        if self._outbound.lost or not data:
            return
        self._outbound.chunks.append(bytes(data))
        self._outbound.buffered_bytes += len(data)
        self._outbound.wake()
        while (
            self._outbound.buffered_bytes > BUFFER_BYTES
            and not self._outbound.broken
        ):
            await self._outbound.event.wait()

    async def send_eof(self):
        """End what this side sends; it may still receive."""
        await trio.lowlevel.checkpoint()
        self._outbound.closed = True
        self._outbound.wake()

    async def wait_send_all_might_not_block(self):
        """Return at once."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        """Receive bytes; return none at the end of the stream."""
        await trio.lowlevel.checkpoint()
        while True:
            await self._net.wait_running(self._inbound.target)
            if self._closed:
                raise trio.ClosedResourceError
            if self._inbound.chunks and not self._inbound.held:
                return self._take(max_bytes or 65536)
            if self._inbound.broken:
                raise trio.BrokenResourceError
            if self._inbound.closed and not (
                self._inbound.lost or self._inbound.held
            ):
                return b""
            await self._inbound.event.wait()

    def _take(self, max_bytes):
        data = self._inbound.chunks.popleft()
        if len(data) > max_bytes:
            self._inbound.chunks.appendleft(data[max_bytes:])
            data = data[:max_bytes]
        self._inbound.buffered_bytes -= len(data)
        self._inbound.wake()
        return data

    async def aclose(self):
        """Close the connection."""
        if not self._closed:
            self._closed = True
            if self._net.fault(self._outbound) is LinkFault.SILENT:
                self._outbound.lost = True
            self._outbound.closed = True
            if not self._outbound.unpowered:
                self._inbound.broken = True
            self._outbound.wake()
            self._inbound.wake()
        await trio.lowlevel.checkpoint()


class MemoryNetwork:
    """All hosts of a test and the faults between them.

    ``connects`` counts the connection attempts by address.  ``clock_step_s``
    is the error of each host's time of day in seconds.
    """

    def __init__(self):
        self._handlers = {}
        self._faults = {}
        self._paused = set()
        self._frozen = set()
        self._pipes = []
        self._hosts_changed = trio.Event()
        self.connects = collections.Counter()
        self.clock_step_s = collections.Counter()

    def network(self, host):
        """Create the ``Network`` of a host."""

        async def open_stream(address):
            return await self._open(host, address)

        return _net.Network(
            open_stream=open_stream,
            serve=self._serve,
            now=trio.current_time,
            wall=lambda: trio.current_time() + self.clock_step_s[host],
        )

    def _wake_all(self):
        event, self._hosts_changed = self._hosts_changed, trio.Event()
        event.set()
        for pipe in self._pipes:
            pipe.wake()

    async def wait_running(self, host):
        """Wait until a host is not paused."""
        while host in self._paused:
            await self._hosts_changed.wait()

    def pause(self, host):
        """Stop all input and output of a host."""
        self._paused.add(host)

    def freeze(self, host):
        """Pause a host that accepts no connections meanwhile."""
        self.pause(host)
        self._frozen.add(host)

    def resume(self, host):
        """Resume a paused host."""
        self._paused.discard(host)
        self._frozen.discard(host)
        self._wake_all()

    def set_fault(self, source, target, fault):
        """Set the fault from one host to another."""
        self._faults[source, target] = fault

    def cut(self, source, target, fault=LinkFault.SILENT):
        """Set a fault in both directions."""
        self.set_fault(source, target, fault)
        self.set_fault(target, source, fault)

    def heal(self):
        """Remove all faults between hosts and deliver held data."""
        self._faults.clear()
        for pipe in self._pipes:
            pipe.held = False
        self._wake_all()

    def fault(self, pipe):
        """Get the fault in the direction of a pipe."""
        key = (pipe.source, pipe.target)
        return self._faults.get(key, LinkFault.NONE)

    def silence_open(self, source, target):
        """Drop all further data on open connections between two hosts.

        New connections are unaffected.
        """
        ends = {source, target}
        for pipe in self._pipes:
            if {pipe.source, pipe.target} == ends:
                pipe.lost = True

    def break_host(self, host):
        """Break all connections of a host; its listeners go on."""
        for pipe in self._pipes:
            if host in (pipe.source, pipe.target):
                pipe.broken = True
        self._wake_all()

    def lose_power(self, host):
        """Drop all further data on a host's connections.

        The far ends do not learn that they have ended.
        """
        for pipe in self._pipes:
            if host in (pipe.source, pipe.target):
                pipe.lost = pipe.unpowered = True

    def break_between(self, source, target):
        """Break the open connections between two hosts."""
        ends = {source, target}
        for pipe in self._pipes:
            if {pipe.source, pipe.target} == ends:
                pipe.broken = True
        self._wake_all()

    def open_connections(self, host):
        """Count the connections that a host has not closed."""
        return sum(p.source == host and not p.closed for p in self._pipes)

    async def _open(self, host, address):
        await trio.lowlevel.checkpoint()
        target = address.rpartition(":")[0]
        self.connects[address] += 1
        await self._wait_thawed(target, address)
        outward_fault = self._faults.get((host, target), LinkFault.NONE)
        return_fault = self._faults.get((target, host), LinkFault.NONE)
        if LinkFault.SILENT in (outward_fault, return_fault):
            await trio.sleep(_net.CONNECT_TIMEOUT_S)
            raise TimeoutError(address)
        listener = self._handlers.get(address)
        if listener is None or LinkFault.REFUSED in (
            outward_fault,
            return_fault,
        ):
            raise ConnectionRefusedError(address)
        outbound = _Pipe(host, target, collections.deque())
        inbound = _Pipe(target, host, collections.deque())
        self._pipes = [
            pipe for pipe in self._pipes if not (pipe.closed and pipe.broken)
        ]
        self._pipes += [outbound, inbound]
        handler, nursery = listener
        remote = MemoryStream(self, outbound, inbound)
        nursery.start_soon(self._run, handler, remote)
        return MemoryStream(self, inbound, outbound)

    async def _wait_thawed(self, host, address):
        """Wait until a host accepts connections.

        :raises TimeoutError: if it takes too long.
        """
        with trio.move_on_after(_net.CONNECT_TIMEOUT_S):
            while host in self._frozen:
                await self._hosts_changed.wait()
            return
        raise TimeoutError(address)

    @staticmethod
    async def _run(handler, stream):
        async with stream:
            await handler(stream)

    async def _serve(
        self,
        address,
        handler,
        task_status=trio.TASK_STATUS_IGNORED,
        make_room=None,
    ):
        async with trio.open_nursery() as nursery:
            entry = self._handlers[address] = (handler, nursery)
            task_status.started(address)
            try:
                await trio.sleep(math.inf)
            finally:
                # Another listener may have taken the address since.
                if self._handlers.get(address) is entry:
                    del self._handlers[address]
