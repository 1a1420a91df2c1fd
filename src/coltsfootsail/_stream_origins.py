"""The software version at which each stream began, known over all nodes.

What servers of two software versions write does not fit together, so a
stream goes on only at the version that wrote its first event.  A caller may
take its stream up at any node, also after the first one has failed.  While a
service has servers of several versions, the node at which a stream begins
therefore tells some others, chosen by a hash of the request's id, and a node
that does not know a stream asks them.  Streams are also recorded in the store
meanwhile, for the case that all nodes lose their memory.
"""

import bisect
import collections
import collections.abc
import dataclasses
import functools
import hashlib
import itertools

import trio

from coltsfootsail import _logs
from coltsfootsail import _stream_records
from coltsfootsail import _wire

COPIES = 3  # nodes that are told of a stream
NODES_ASKED = 4  # one of those told may rank lower after a node was added
KEEP_S = 60.0  # a caller takes a stream up within this time
REPLY_TIMEOUT_S = 0.25
CONTACT_MAX_S = 4.0  # without word from the store other nodes are asked
RETELL_MAX = 1000  # streams told at once when a second version appears


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where a stream began.

    :param software: version of the software of the server that wrote its
        first event.
    """

    service: str
    software: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    origin: Origin
    noted_s: float
    is_own: bool
    is_recorded: bool = False


async def _read_nothing(service):
    return frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class StreamStore:
    """What the store keeps of streams.

    :param list_slots: lists the records as ``StreamSlot``.
    :param record: ``(request id, service, software)`` records a stream.
    :param wait_until_read: async, waits at a node's start until the records
        were read, for as long as requests are held.
    :param read_versions: ``async (service)``, reads which software versions
        the registered servers of a service have, none if the store does not
        answer.
    """

    list_slots: collections.abc.Callable = tuple
    record: collections.abc.Callable = lambda *stream: None
    wait_until_read: collections.abc.Callable = trio.lowlevel.checkpoint
    read_versions: collections.abc.Callable = _read_nothing


def _position(text):
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest)


@functools.lru_cache(maxsize=4)
def _ring(nodes):
    """Order nodes by the hashes of their names.

    :param nodes: tuple of names.
    :returns: list of hashes, and list of names in the same order.
    """
    pairs = sorted((_position(node), node) for node in nodes)
    return [pair[0] for pair in pairs], [pair[1] for pair in pairs]


def choose_nodes(request_id, nodes, count):
    """Choose nodes by consistent hashing of a request's id.

    :param nodes: tuple of the names to choose from.
    :param count: number of names to return, if there are as many.
    :returns: list of names.
    """
    positions, names = _ring(nodes)
    first = bisect.bisect(positions, _position(request_id))
    return [
        names[(first + offset) % len(names)]
        for offset in range(min(count, len(names)))
    ]


class _Question:
    """A question to other nodes, and the replies that are still due.

    ``known`` is the origin that a node knows.

    :param asked: number of nodes that were asked.
    """

    def __init__(self, asked):
        self._asked = asked
        self._missing = asked
        self._only = collections.Counter()
        self.known = None
        self.event = trio.Event()

        if not asked:
            self.event.set()

    def agreed(self):
        """Get the only origin that most nodes take for possible, or None.

        A few may have been cut off from the others together.
        """
        for origin, count in self._only.most_common(1):
            if 2 * count > self._asked:
                return origin
        return None

    def resolve(self, msg):
        if msg.known:
            self.known = Origin(msg.service, msg.software)
            self.event.set()
        elif msg.service:
            self._only[Origin(msg.service, msg.software)] += 1
        self.note_reply()

    def note_reply(self):
        self._missing -= 1
        if not self._missing:
            self.event.set()


class StreamOrigins:
    """Where the streams of the last ``KEEP_S`` began, as far as known here.

    :param view: a ``DeploymentView``.
    :param mesh: a ``Mesh``.
    :param now: closure that reads the clock.
    :param store: a ``StreamStore``.
    :param wall: closure that reads the time of day, None where servers do
        not state when they started.
    :param count: ``(counter, reason)``.
    """

    def __init__(
        self,
        view,
        mesh,
        now,
        store=None,
        wall=None,
        count=lambda counter, reason: None,
    ):
        self._store = store or StreamStore()
        self._wall = wall
        self._count = count
        self._view = view
        self._mesh = mesh
        self._now = now
        self._started_s = now()
        self._entries = {}
        self._seen_s = collections.defaultdict(dict)
        self._registered = set()
        self._with_several = set()
        self._numbers = itertools.count(1)
        self._questions = {}

    def _note(self, request_id, origin, is_own, is_recorded=False):
        self._drop_old()
        self._entries.pop(request_id, None)
        self._entries[request_id] = _Entry(
            origin, self._now(), is_own, is_recorded
        )

    def _drop_old(self):
        oldest_s = self._now() - KEEP_S
        while self._entries:
            request_id = next(iter(self._entries))
            if self._entries[request_id].noted_s >= oldest_s:
                return
            del self._entries[request_id]

    def _get(self, request_id):
        self._drop_old()
        entry = self._entries.get(request_id)
        return None if entry is None else entry.origin

    def note_servers(self):
        """Note the versions of the servers that are registered now.

        When a service gets a second version, the streams that began here
        before are told.
        """
        now_s = self._now()
        before, self._registered = (
            self._registered,
            {
                (server.service, server.software)
                for server in self._view.servers.values()
            },
        )
        # What was registered before has left only now.
        for service, software in before | self._registered:
            self._seen_s[service][software] = now_s
        for service, seen_s in self._seen_s.items():
            for software in [s for s in seen_s if seen_s[s] < now_s - KEEP_S]:
                del seen_s[software]
            if len(seen_s) <= 1:
                self._with_several.discard(service)
            elif service not in self._with_several:
                self._with_several.add(service)
                self._tell_own(service)

    def _only_origin(self, service):
        """Get where every recent stream of a service began, if there is one.

        A node that has started lately relies on the store, which shows the
        engines that have left.
        """
        versions = set(self._seen_s.get(service, ()))
        if len(versions) != 1:
            return None
        if self._now() - self._started_s < KEEP_S and (
            any(
                name not in self._view.servers
                for name in self._view.previously_claimed()
            )
            or self._are_all_new(service)
        ):
            return None
        slots = self._store.list_slots()
        if _stream_records.list_versions(slots, service) - versions:
            return None
        return Origin(service, next(iter(versions)))

    def _are_all_new(self, service):
        """Tell whether all servers of a service have started lately.

        They may have replaced others of the same names.
        """
        if self._wall is None:
            return False
        oldest_ms = (self._wall() - KEEP_S) * 1000
        born_ms = [
            server.born_ms
            for server in self._view.servers.values()
            if server.service == service
        ]
        return bool(born_ms) and min(born_ms) > max(0, oldest_ms)

    def _is_view_recent(self):
        contact_s = self._view.last_contact_s
        return contact_s is not None and (
            self._now() - contact_s < CONTACT_MAX_S
        )

    def note_begun(self, request_id, origin, is_recorded=True):
        """Note that a stream began, or was taken up, at this node.

        :param is_recorded: whether it is recorded in the store while its
            service has servers of several versions.
        """
        self._note(request_id, origin, True, is_recorded)
        if origin.service in self._with_several:
            self._tell(request_id, origin)
            if is_recorded:
                self._record(request_id, origin)

    def _record(self, request_id, origin):
        self._store.record(request_id, origin.service, origin.software)

    def _tell_own(self, service):
        self._drop_old()
        own = [
            (request_id, entry)
            for request_id, entry in self._entries.items()
            if entry.is_own and entry.origin.service == service
        ]
        for request_id, entry in own[-RETELL_MAX:]:
            self._tell(request_id, entry.origin)
        for request_id, entry in own:
            if entry.is_recorded:
                self._record(request_id, entry.origin)

    def _tell(self, request_id, origin):
        msg = _wire.StreamBegun(request_id, origin.service, origin.software)
        for node in self._nodes(request_id, COPIES):
            self._mesh.send(node, msg)

    def _nodes(self, request_id, count):
        nodes = tuple(
            node
            for node in sorted(self._mesh.linked_nodes())
            if self._mesh.knows(node, _wire.StreamBegun)
        )
        return choose_nodes(request_id, nodes, count)

    def learn(self, msg):
        """Note a stream that began at another node."""
        origin = Origin(msg.service, msg.software)
        self._note(msg.request_id, origin, is_own=False)
        # The sender may have seen servers that this node has not seen yet.
        self._seen_s[msg.service][msg.software] = self._now()

    def answer(self, msg):
        """Make the reply to a ``StreamQuery``."""
        known = self._get(msg.request_id)
        origin = known or self._only_origin(msg.service) or Origin("", "")
        return _wire.StreamReply(
            msg.number, known is not None, origin.service, origin.software
        )

    def handle_reply(self, msg):
        """Handle a ``StreamReply``."""
        question = self._questions.get(msg.number)
        if question is not None:
            question.resolve(msg)

    async def find(self, request_id, service):
        """Find where a stream began.

        A node that has not yet seen a service's second version may know of
        only one that is possible, so others are asked first.

        :param request_id: id of the request whose answer brought its first
            event, empty if the caller names none.
        :param service: the service that it is sent to now.
        :returns: an ``Origin``, or None if it is not known.
        """
        origin, source = await self._find(request_id, service)
        self._count("streams_taken_up", source)
        _logs.detail(
            "stream_taken_up",
            id=request_id,
            source=source,
            software="" if origin is None else origin.software,
        )
        return origin

    async def _find(self, request_id, service):
        """Find where a stream began, and from which source.

        :returns: tuple of ``Origin`` or None, and the source.
        """
        origin = self._get(request_id)
        if origin is not None:
            return origin, "memory"
        agreed = None
        if request_id:
            question = await self._ask(request_id, service)
            if question.known is not None:
                return question.known, "peer"
            agreed = question.agreed()
        await self._store.wait_until_read()
        stored = _stream_records.find_versions(
            self._store.list_slots(), request_id
        )
        if len(stored) > 1:
            return None, "conflict"
        if stored:
            return Origin(*stored.pop()), "store"
        only = await self._confirm_only(service, agreed)
        return only, "unknown" if only is None else "only_version"

    async def _confirm_only(self, service, agreed):
        """Get the only possible origin of a stream, None if it is not sure.

        Servers of another version may have joined in the time since this
        node heard from the store.

        :param agreed: the only one as far as most other nodes have seen.
        """
        if not self._is_view_recent():
            return agreed
        only = self._only_origin(service)
        if only is None or only == agreed:
            return only
        versions = await self._store.read_versions(service)
        return only if versions == {only.software} else None

    async def _ask(self, request_id, service):
        """Ask other nodes where a stream began.

        :returns: the ``_Question``, with what they replied in time.
        """
        number = next(self._numbers)
        msg = _wire.StreamQuery(number, request_id, service)
        nodes = self._nodes(request_id, NODES_ASKED)
        question = self._questions[number] = _Question(len(nodes))
        try:
            for node in nodes:
                if not self._mesh.send(node, msg):
                    question.note_reply()
            with trio.move_on_after(REPLY_TIMEOUT_S):
                await question.event.wait()
        finally:
            del self._questions[number]
        return question
