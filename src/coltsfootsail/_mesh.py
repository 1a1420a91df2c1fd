"""Links between the nodes of a region, with heartbeats.

Of two nodes the one with the smaller name dials.  Heartbeats become rarer
with the number of links, so silence alone says nothing: a peer that is
needed and has been silent for a while is asked for a sign of life.  A link
that stays silent is closed and replaced.  A broken link changes routing at
once; it never changes who owns what.
"""

import contextlib
import dataclasses

import trio

from coltsfootsail import _kv
from coltsfootsail import _wire
from coltsfootsail import exceptions

HEARTBEAT_MIN_S = 0.5
HEARTBEAT_MAX_S = 2.0
HEARTBEAT_PER_LINK_S = 0.025
SILENCE_S = 6.5
REDIAL_S = 1.0
PING_AFTER_S = 0.5  # of silence, where the peer is about to be asked
QUEUE_MAX = 2000
BATCH_MAX = 50  # messages in one write, about 8 KB


@dataclasses.dataclass(frozen=True, slots=True)
class LinkCallbacks:
    """What the mesh tells the node, as closures.

    :param on_message: ``(node, message)``.
    :param on_link_up: ``(node)``.
    :param on_link_down: ``(node)``.
    :param make_heartbeat: ``(told) -> Heartbeat`` to send; ``told`` is a dict
        that the closure keeps for the link.
    :param on_heartbeat: ``(node, Heartbeat)``, one was received.
    """

    on_message: object
    on_link_up: object
    on_link_down: object
    make_heartbeat: object
    on_heartbeat: object


@dataclasses.dataclass(slots=True)
class _Link:
    node: str
    stream: _wire.MessageStream
    outbox: object
    scope: trio.CancelScope
    heartbeat: _wire.Heartbeat | None = None
    heard_s: float = 0.0
    pinged_s: float | None = None
    told: dict = dataclasses.field(default_factory=dict)
    pending: list = dataclasses.field(default_factory=list)


class Mesh:
    """The links of one node.

    :param hello: the ``Hello`` of this node.
    :param network: a ``Network``.
    :param callbacks: ``LinkCallbacks``.
    :param silence_s: a link silent for longer is closed.
    :param redial_s: mean time between attempts to reach a peer.
    """

    def __init__(
        self,
        hello,
        network,
        callbacks,
        silence_s=SILENCE_S,
        redial_s=REDIAL_S,
    ):
        self._hello = hello
        self._network = network
        self._callbacks = callbacks
        self._silence_s = silence_s
        self._redial_s = redial_s
        self._news = trio.Event()
        self._links = {}
        self._dialing = set()
        self.sent = 0

    def linked_nodes(self):
        """List the nodes with a live link."""
        return list(self._links)

    def heartbeats(self):
        """List the last heartbeat of each linked node that sent one."""
        beats = {node: link.heartbeat for node, link in self._links.items()}
        return {node: beat for node, beat in beats.items() if beat}

    def last_heard_s(self):
        """List when each linked node was last heard of, newest first."""
        times = [
            link.heard_s for link in self._links.values() if link.heartbeat
        ]
        return sorted(times, reverse=True)

    def dial_now(self):
        """Look at once whether there are peers to dial."""
        self._news.set()

    def unanswered_ping_s(self, node):
        """Tell for how long a node has owed a sign of life.

        :returns: seconds, 0 if it owes none, or None without a live link.
        """
        link = self._links.get(node)
        if link is None:
            return None
        if link.pinged_s is None:
            return 0.0
        return self._network.now() - link.pinged_s

    def ping_if_silent(self, node):
        """Ask a node for a sign of life if it has been silent a while."""
        link = self._links.get(node)
        if link is None or link.pinged_s is not None:
            return
        if self._network.now() - link.heard_s > PING_AFTER_S:
            self._ping(link)

    def _ping(self, link):
        link.pinged_s = self._network.now()
        self.send(link.node, _wire.Ping())

    def send(self, node, msg):
        """Queue a message for a node.

        :returns: whether a live link took it; that is no receipt.
        """
        link = self._links.get(node)
        if link is None:
            return False
        try:
            link.outbox.send_nowait(msg)
        except trio.WouldBlock:
            link.scope.cancel()
            return False
        self.sent += 1
        return True

    def broadcast(self, msg):
        """Queue a message for all linked nodes."""
        for node in list(self._links):
            self.send(node, msg)

    def send_with_heartbeats(self, msg):
        """Send a message to all linked nodes with the next heartbeats."""
        for link in self._links.values():
            link.pending.append(msg)
            self.sent += 1

    async def run(self, peers, listed):
        """Keep links to peers for as long as the task runs.

        :param peers: ``() -> dict`` of node name to peer address.
        :param listed: ``() -> bool``, whether peers know this node; if
            not, it dials them all.
        """
        async with trio.open_nursery() as nursery:
            while True:
                self._news = trio.Event()
                for node, address in peers().items():
                    mine = self._hello.node < node or not listed()
                    busy = node in self._links or node in self._dialing
                    if mine and not busy:
                        self._dialing.add(node)
                        nursery.start_soon(self._dial, node, address)
                with trio.move_on_after(_kv.jittered(self._redial_s)):
                    await self._news.wait()

    async def _dial(self, node, address):
        try:
            with contextlib.suppress(OSError):
                stream = await self._network.open_stream(address)
                async with stream:
                    messages = _wire.MessageStream(stream)
                    await messages.send(self._hello)
                    await self._run_link(node, messages)
        finally:
            self._dialing.discard(node)

    async def serve(self, messages, hello):
        """Run a link that a peer opened.

        :param messages: a ``MessageStream``.
        :param hello: the ``Hello`` received on it.
        """
        if hello.region != self._hello.region:
            raise exceptions.WireError("a node of another region")
        old = self._links.get(hello.node)
        if old is not None:
            old.scope.cancel()
        await self._run_link(hello.node, messages)

    async def _run_link(self, node, messages):
        send_channel, receive_channel = trio.open_memory_channel(QUEUE_MAX)
        with trio.CancelScope() as scope:
            link = _Link(node, messages, send_channel, scope)
            link.heard_s = self._network.now()
            self._links[node] = link
            self._callbacks.on_link_up(node)
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._send_all, link, receive_channel)
                    nursery.start_soon(self._beat, link)
                    await self._receive_all(link)
                    nursery.cancel_scope.cancel()
            finally:
                if self._links.get(node) is link:
                    del self._links[node]
                    self._callbacks.on_link_down(node)
        with trio.CancelScope(shield=True):
            await messages.aclose()

    async def _send_all(self, link, outbox):
        """Send what is queued, all that waits in one write."""
        with contextlib.suppress(OSError):
            async for msg in outbox:
                batch = [msg]
                with contextlib.suppress(trio.WouldBlock, trio.EndOfChannel):
                    while len(batch) < BATCH_MAX:
                        batch.append(outbox.receive_nowait())
                await link.stream.send_many(batch)
        link.scope.cancel()

    def _heartbeat_s(self):
        """Beat more rarely with more links: the total stays bounded."""
        wanted_s = HEARTBEAT_PER_LINK_S * len(self._links)
        return min(HEARTBEAT_MAX_S, max(HEARTBEAT_MIN_S, wanted_s))

    async def _beat(self, link):
        with contextlib.suppress(OSError):
            while True:
                pending, link.pending = link.pending, []
                beat = self._callbacks.make_heartbeat(link.told)
                await link.stream.send_many((beat, *pending))
                await trio.sleep(_kv.jittered(self._heartbeat_s()))
        link.scope.cancel()

    async def _receive_all(self, link):
        with contextlib.suppress(OSError, exceptions.WireError):
            while True:
                msg = await self._receive(link)
                if msg is None:
                    return
                link.heard_s = self._network.now()
                link.pinged_s = None
                self._take(link, msg)

    async def _receive(self, link):
        """Wait for a message; ask for one before silence is too long.

        :returns: a message, or None at the end or after the silence.
        """
        half_s = self._silence_s / 2
        with trio.move_on_after(half_s):
            return await link.stream.receive()
        self._ping(link)
        with trio.move_on_after(half_s):
            return await link.stream.receive()
        return None

    def _take(self, link, msg):
        if isinstance(msg, _wire.Ping):
            self.send(link.node, _wire.Pong())
        elif isinstance(msg, _wire.Heartbeat):
            link.heartbeat = msg
            self._callbacks.on_heartbeat(link.node, msg)
        elif not isinstance(msg, _wire.Pong):
            self._callbacks.on_message(link.node, msg)
