"""Full mesh of links between the nodes of a region, with heartbeats.

Of two nodes, the one whose name sorts first opens the link.  The heartbeat
interval grows with the number of links, so a silent peer is not
necessarily down: a peer that is needed and has been silent is pinged
first.  A link that stays silent is closed and opened again.  A broken link
affects routing at once, but never the ownership of endpoints.

In a large mesh most links carry nothing that is needed.  A node may therefore
send heartbeats without news rarely, and watch few peers, the next ones by
name, for their silence.  It tells all others of a watched peer that does not
answer, and each of them pings that peer itself.  What an idle node sends does
not grow with the mesh then.
"""

import bisect
import contextlib
import dataclasses

import trio

from coltsfootsail import _descriptors
from coltsfootsail import _early_forms
from coltsfootsail import _kv
from coltsfootsail import _logs
from coltsfootsail import _tasks
from coltsfootsail import _vocabulary
from coltsfootsail import _wire
from coltsfootsail import exceptions

HEARTBEAT_MIN_S = 0.5
HEARTBEAT_MAX_S = 2.0
HEARTBEAT_PER_LINK_S = 0.025
SILENCE_S = 6.5
REDIAL_S = 1.0
PING_AFTER_S = 0.5  # silence after which a peer is pinged before use
QUEUE_MAX = 2000
LARGE_QUEUED_MAX = 4  # large messages in the queues of all links
SEND_TIMEOUT_S = 10.0
BATCH_MAX = 50  # messages per write, about 8 KB
# Heartbeats without news that may be missing before a peer is pinged.
IDLE_INTERVALS_MAX = 2.0
TEND_INTERVAL_S = 0.25  # between looks at the links


@dataclasses.dataclass(frozen=True, slots=True)
class MeshPace:
    """How often a node shows its peers that it is alive, and looks at them.

    :param silence_s: silence after which a watched link is closed.
    :param redial_s: mean seconds between attempts to reach a peer.
    :param idle_per_link_s: interval of heartbeats without news, for each
        link; 0.0 for no such interval.
    :param watched_max: number of peers whose silence is watched, None for
        all.
    """

    silence_s: float = SILENCE_S
    redial_s: float = REDIAL_S
    idle_per_link_s: float = 0.0
    watched_max: int | None = None


DEFAULT_PACE = MeshPace()


@dataclasses.dataclass(frozen=True, slots=True)
class LinkCallbacks:
    """Callbacks through which the mesh reports to the node.

    :param on_message: ``(node, message)``, for each message other than
        heartbeats, pings and pongs.
    :param on_link_up: ``(node)``.
    :param on_link_down: ``(node)``.
    :param make_heartbeat: ``(reported) -> Heartbeat``, builds the next
        heartbeat for a link; ``reported`` is a dict in which the callback
        records what it already sent on that link.
    :param on_heartbeat: ``(node, Heartbeat)``, for each heartbeat received.
    :param on_skipped: ``(node, what)``, for what is skipped of received
        messages because this build does not know it.
    :param on_vocabulary: ``(node)``, called when a linked node shows that it
        knows further messages.
    :param urgent_status: closure that gets a value whose change is sent to
        all peers at once.
    :param count: ``(counter, reason)``.
    :param hold_memory: makes a context manager that yields the
        ``_held_memory.Account`` of a link that this node opens, or None.
    """

    on_message: object
    on_link_up: object
    on_link_down: object
    make_heartbeat: object
    on_heartbeat: object
    on_skipped: object = lambda node, what: None
    on_vocabulary: object = lambda node: None
    urgent_status: object = lambda: None
    count: object = lambda counter, reason: None
    hold_memory: object = contextlib.nullcontext


@dataclasses.dataclass(slots=True)
class _Link:
    node: str
    stream: _wire.MessageStream
    outbox: object
    cancel_scope: trio.CancelScope
    vocabulary: _vocabulary.PeerVocabulary = dataclasses.field(
        default_factory=_vocabulary.PeerVocabulary
    )
    heartbeat: _wire.Heartbeat | None = None
    last_heard_s: float = 0.0
    pinged_s: float | None = None
    reported: dict = dataclasses.field(default_factory=dict)
    with_heartbeat: list = dataclasses.field(default_factory=list)
    heartbeat_due_s: float = 0.0
    idle_until_s: float = 0.0
    sent_status: tuple = ()
    is_suspect: bool = False
    large: object = None  # message in its queue


@contextlib.contextmanager
def _logged_refusal(node, count):
    """Log and count the message of a node that ends its link."""
    try:
        yield
    except exceptions.WireError as exc:
        count("peer_messages", exc.code)
        _logs.state("peer_message_refused", node=node, why=exc.detail)


class Mesh:
    """The links of one node to its peers.

    :param hello: the ``Hello`` of this node.
    :param network: a ``Network``.
    :param callbacks: ``LinkCallbacks``.
    :param pace: ``MeshPace``.
    :param share: the ``Share`` of descriptors for links that this node opens;
        None for no limit.
    """

    def __init__(
        self, hello, network, callbacks, pace=DEFAULT_PACE, share=None
    ):
        self._hello = hello.announcing()
        self._network = network
        self._callbacks = callbacks
        self._pace = pace
        self._share = share or _descriptors.unlimited()
        self._urgent_status = callbacks.urgent_status()
        self._watched = None
        self._dial_requested = trio.Event()
        self._links = {}
        self._dialing = set()
        self._forms = {}
        self._large_wanted = {}
        self.sent = 0

    def linked_nodes(self):
        """List the nodes that have a live link."""
        return list(self._links)

    def heartbeats(self):
        """Get the last heartbeat of each linked node that has sent one."""
        last = {node: link.heartbeat for node, link in self._links.items()}
        return {
            node: heartbeat for node, heartbeat in last.items() if heartbeat
        }

    def last_heard_s(self):
        """List when each linked node last sent something, newest first."""
        times = [
            link.last_heard_s
            for link in self._links.values()
            if link.heartbeat
        ]
        return sorted(times, reverse=True)

    def dial_now(self):
        """Dial missing peers now instead of after the redial interval."""
        self._dial_requested.set()

    def unanswered_ping_s(self, node):
        """Tell for how long a ping to a node has been unanswered.

        :returns: seconds, 0 without an outstanding ping, or None without a
            live link.
        """
        link = self._links.get(node)
        if link is None:
            return None
        if link.pinged_s is None:
            return 0.0
        return self._network.now() - link.pinged_s

    def ping_if_silent(self, node):
        """Ping a node if nothing was received from it recently."""
        link = self._links.get(node)
        if link is None or link.pinged_s is not None:
            return
        if self._network.now() - link.last_heard_s > PING_AFTER_S:
            self._ping(link)

    def _ping(self, link):
        link.pinged_s = self._network.now()
        self.send(link.node, _wire.Ping())

    def knows(self, node, message_type):
        """Tell whether a linked node decodes a type of message."""
        link = self._links.get(node)
        return link is not None and link.vocabulary.knows(message_type)

    def send(self, node, msg):
        """Queue a message for a node.

        A link whose queue is full is closed.

        :returns: whether it was queued on a live link to a node that knows
            this type of message, which does not mean that it will be
            delivered.
        """
        if not self.knows(node, type(msg)):
            return False
        return self._queue(self._links[node], msg)

    def send_large(self, node, make):
        """Send a message of up to megabytes once few others are queued.

        It is sent once, however often that is asked for meanwhile.

        :param make: ``()``, makes the message when it is queued.
        """
        link = self._links.get(node)
        if link is not None and link.large is None:
            self._large_wanted[node] = make
            self._queue_large()

    def _queue_large(self):
        """Queue the large messages for which there is room."""
        links = self._links.values()
        room = LARGE_QUEUED_MAX - sum(link.large is not None for link in links)
        for node in list(self._large_wanted)[:room]:
            msg = self._large_wanted.pop(node)()
            if self.send(node, msg):
                self._links[node].large = msg

    def _note_sent(self, link, batch):
        if any(msg is link.large for msg in batch):
            link.large = None
            self._queue_large()

    def _queue(self, link, msg):
        try:
            link.outbox.send_nowait(msg)
        except (trio.WouldBlock, trio.BrokenResourceError):
            link.cancel_scope.cancel()
            return False
        self.sent += 1
        return True

    def broadcast(self, msg):
        """Queue a message for all linked nodes."""
        for node in list(self._links):
            self.send(node, msg)

    def send_with_heartbeats(self, msg):
        """Send a message to each linked node together with its heartbeat."""
        for link in self._links.values():
            link.with_heartbeat.append(msg)

    async def run(self, peers, is_registered):
        """Keep links to all peers until cancelled.

        :param peers: ``() -> dict`` of node name to peer address.
        :param is_registered: ``() -> bool``, whether peers can find this
            node's address; if not, this node dials all of them.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.tend_links)
            while True:
                self._dial_requested = trio.Event()
                for node, address in peers().items():
                    is_dialer = self._hello.node < node or not is_registered()
                    has_link = node in self._links or node in self._dialing
                    if is_dialer and not has_link:
                        self._dialing.add(node)
                        nursery.start_soon(
                            _tasks.run_contained,
                            "peer",
                            self._callbacks.count,
                            self._dial,
                            node,
                            address,
                        )
                with trio.move_on_after(_kv.jittered(self._pace.redial_s)):
                    await self._dial_requested.wait()

    async def _dial(self, node, address):
        try:
            with contextlib.suppress(OSError):
                async with (
                    self._share.held(),
                    await self._network.open_stream(address) as stream,
                ):
                    with self._callbacks.hold_memory() as account:
                        messages = _wire.MessageStream(stream, account=account)
                        await messages.send(self._hello)
                        await self._run_link(
                            node, messages, _wire.UNANNOUNCED_PROTOCOL
                        )
        finally:
            self._dialing.discard(node)

    async def serve(self, messages, hello):
        """Run a link that a peer opened, replacing any older one.

        :param messages: a ``MessageStream``.
        :param hello: the ``Hello`` received on it.
        """
        if hello.region != self._hello.region:
            raise exceptions.WireError("peer belongs to another region")
        old_link = self._links.get(hello.node)
        if old_link is not None:
            old_link.cancel_scope.cancel()
        if hello.protocol > _wire.UNANNOUNCED_PROTOCOL:
            # A build that announces no protocol expects no reply.
            await messages.send(self._hello)
        await self._run_link(hello.node, messages, hello.protocol)

    async def _run_link(self, node, messages, protocol):
        """Run a link until it ends.

        :param protocol: the protocol that the peer has announced.
        """
        messages.on_skipped = lambda what: self._callbacks.on_skipped(
            node, what
        )
        forms = self._forms.setdefault(
            node, _early_forms.EarlyForms(self._network.now)
        )
        if protocol == _wire.UNANNOUNCED_PROTOCOL:
            messages.forms = forms
        send_channel, receive_channel = trio.open_memory_channel(QUEUE_MAX)
        with trio.CancelScope() as scope:
            link = _Link(
                node,
                messages,
                send_channel,
                scope,
                _vocabulary.PeerVocabulary(protocol),
            )
            link.last_heard_s = self._network.now()
            if node in self._links:
                # What the peer's former run was sent or had sent is lost.
                self._callbacks.on_link_down(node)
            self._links[node] = link
            self._watched = None
            try:
                self._callbacks.on_link_up(node)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._send_all, link, receive_channel)
                    self._send_heartbeat(link, self._network.now())
                    await self._receive_all(link)
                    nursery.cancel_scope.cancel()
            finally:
                if messages.forms is not None:
                    forms.note_link_end()
                if self._links.get(node) is link:
                    del self._links[node]
                    self._watched = None
                    self._large_wanted.pop(node, None)
                    self._queue_large()
                    self._callbacks.on_link_down(node)
        with trio.CancelScope(shield=True):
            await messages.aclose()

    async def _send_all(self, link, outbox):
        """Send queued messages, up to ``BATCH_MAX`` of them per write."""
        with contextlib.suppress(OSError, trio.TooSlowError):
            async for msg in outbox:
                batch = [msg]
                with contextlib.suppress(trio.WouldBlock, trio.EndOfChannel):
                    while len(batch) < BATCH_MAX:
                        batch.append(outbox.receive_nowait())
                with trio.fail_after(SEND_TIMEOUT_S):
                    await link.stream.send_many(batch)
                if link.large is not None:
                    self._note_sent(link, batch)
        link.cancel_scope.cancel()

    def _heartbeat_interval_s(self):
        """Grow the interval with the links, to bound the total traffic."""
        interval_s = HEARTBEAT_PER_LINK_S * len(self._links)
        return min(HEARTBEAT_MAX_S, max(HEARTBEAT_MIN_S, interval_s))

    def _idle_interval_s(self):
        """Get the interval of heartbeats that have no news."""
        return self._pace.idle_per_link_s * len(self._links)

    def _send_heartbeat(self, link, now_s):
        """Send a heartbeat if it has news, or if the last one is too old."""
        interval_s = _kv.jittered(self._heartbeat_interval_s())
        link.heartbeat_due_s = now_s + interval_s
        heartbeat = self._callbacks.make_heartbeat(link.reported)
        status = heartbeat.revision, heartbeat.kv_ok, heartbeat.ready
        has_news = heartbeat.loads or link.with_heartbeat
        has_news = has_news or status != link.sent_status
        if not has_news and now_s < link.idle_until_s:
            return
        link.idle_until_s = now_s + _kv.jittered(self._idle_interval_s())
        link.sent_status = status
        pending, link.with_heartbeat = link.with_heartbeat, []
        for msg in (heartbeat, *pending):
            self._queue(link, msg)

    def hasten(self, node):
        """Send a node a heartbeat soon, with or without news."""
        link = self._links.get(node)
        if link is not None:
            link.heartbeat_due_s = link.idle_until_s = 0.0

    async def tend_links(self):
        """Send heartbeats and close silent links until cancelled."""
        while True:
            await trio.sleep(TEND_INTERVAL_S)
            now_s = self._network.now()
            status = self._callbacks.urgent_status()
            is_urgent = status != self._urgent_status
            self._urgent_status = status
            watched = self._watched_nodes()
            watched_s = self._pace.silence_s / 2
            unwatched_s = watched_s
            unwatched_s += IDLE_INTERVALS_MAX * self._idle_interval_s()
            for link in list(self._links.values()):
                if is_urgent or now_s >= link.heartbeat_due_s:
                    self._send_heartbeat(link, now_s)
                is_watched = link.node in watched or link.is_suspect
                patience_s = watched_s if is_watched else unwatched_s
                is_silent = now_s - link.last_heard_s >= patience_s
                if is_silent or link.pinged_s is not None:
                    self._check_silence(link, now_s)

    def _watched_nodes(self):
        """Choose the peers to watch: the next ones by name, cyclically.

        Each peer is watched by as many nodes as each node watches.
        """
        count = self._pace.watched_max
        if count is None or count >= len(self._links):
            return self._links
        if self._watched is None:
            names = sorted(self._links)
            start = bisect.bisect(names, self._hello.node)
            chosen = (names[start:] + names[:start])[:count]
            self._watched = frozenset(chosen)
        return self._watched

    def _check_silence(self, link, now_s):
        """Ping a silent peer; close the link if it does not answer."""
        if link.pinged_s is None:
            self._ping(link)
            return
        is_unanswered = now_s - link.pinged_s >= self._pace.silence_s / 2
        if is_unanswered and now_s - link.last_heard_s >= self._pace.silence_s:
            self._close_silent(link)

    def _close_silent(self, link):
        link.cancel_scope.cancel()
        if not link.is_suspect and self._pace.watched_max is not None:
            self.broadcast(_wire.PeerSilent(link.node))

    def _suspect(self, node):
        """Ping a peer that does not answer another node."""
        link = self._links.get(node)
        if link is None:
            return
        link.is_suspect = True
        if link.pinged_s is None:
            self._ping(link)

    async def _receive_all(self, link):
        with (
            contextlib.suppress(OSError),
            _logged_refusal(link.node, self._callbacks.count),
        ):
            while True:
                msg = await link.stream.receive()
                if msg is None:
                    return
                link.last_heard_s = self._network.now()
                link.pinged_s = None
                link.is_suspect = False
                self._dispatch(link, msg)

    def _dispatch(self, link, msg):
        if link.vocabulary.heard(msg):
            self._callbacks.on_vocabulary(link.node)
        if isinstance(msg, _wire.Hello):
            link.stream.forms = None
        if isinstance(msg, _wire.Ping):
            self.send(link.node, _wire.Pong())
        elif isinstance(msg, _wire.PeerSilent):
            self._suspect(msg.node)
        elif isinstance(msg, _wire.Heartbeat):
            link.heartbeat = msg
            self._callbacks.on_heartbeat(link.node, msg)
        elif not isinstance(msg, _wire.Pong | _wire.Hello):
            self._callbacks.on_message(link.node, msg)
