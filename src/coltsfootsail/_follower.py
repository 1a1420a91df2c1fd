"""Keeps the configuration of a node in force and fresh.

It comes from the KV service by watch and by poll, or from a peer that has
a higher revision.  A node that can't tell whether its configuration is
still the accepted one takes no requests, so that an edit is in force
everywhere within seconds even where nodes are cut off.
"""

import contextlib

import trio

from coltsfootsail import _config
from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _records
from coltsfootsail import _wire
from coltsfootsail import exceptions

POLL_S = 3.0
PEER_CHECK_S = 1.0
PEER_TIMEOUT_S = 5.0
FRESH_S = 6.0


class Follower:
    """Follows the configuration for one node.

    :param kv: a ``KvClient``.
    :param cluster: a ``Cluster``.
    :param mesh: a ``Mesh``.
    :param network: a ``Network``.
    :param region_size: ``() -> int``, nodes last seen in the region.
    :param take: ``(Stored) -> bool``, puts a higher revision in force.
    :param held: ``() -> Stored`` in force.
    :param peer_address: ``(node) -> address`` or None.
    :param seeds: peer addresses to ask while nothing is known.
    :param learned: ``()``, called when a peer's view was taken.
    :param count: ``(counter, reason)``.
    """

    def __init__(
        self,
        kv,
        cluster,
        mesh,
        network,
        region_size,
        take,
        held,
        peer_address,
        seeds,
        learned,
        count,
    ):
        self._kv = kv
        self._cluster = cluster
        self._mesh = mesh
        self._network = network
        self._region_size = region_size
        self._take = take
        self._held = held
        self._peer_address = peer_address
        self._seeds = seeds
        self._learned = learned
        self._count = count
        self._changed = trio.Event()
        self._fresh_s = float("-inf")

    def fresh(self):
        """Say whether the configuration is surely the accepted one."""
        return self._network.now() - self._fresh_s < FRESH_S

    def on_change(self, keys):
        """Take note of a change in the watched keys."""
        if keys is None or _keys.CONFIG_ROOT in keys:
            self._follow_watch()
            self._changed.set()

    def _follow_watch(self):
        root = self._cluster.config_root()
        if root is None:
            return
        advanced = _config.apply_delta(self._held(), root, 0)
        if advanced is not None:
            self._take(advanced)

    async def run(self):
        """Follow the store and the peers while the task runs."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_store)
            nursery.start_soon(self._run_peers)

    async def _run_store(self):
        backoff = _kv.Backoff(first_s=0.2, limit_s=2.0)
        while True:
            asked_s = self._network.now()
            try:
                stored = await _config.refresh(self._kv, self._held())
            except (
                exceptions.KvError,
                exceptions.WireError,
                exceptions.DocumentError,
            ) as exc:
                self._count("config", exc.code)
                await trio.sleep(0.1 + backoff.next_s())
                continue
            backoff.reset()
            self._take(stored)
            if stored.root.revision >= self._newest_seen():
                self._fresh_s = max(self._fresh_s, asked_s)
            with trio.move_on_after(_kv.jittered(POLL_S)):
                await self._changed.wait()
            self._changed = trio.Event()

    def _newest_seen(self):
        root = self._cluster.config_root()
        beats = self._mesh.heartbeats().values()
        revisions = [beat.revision for beat in beats]
        revisions.append(root.revision if root else 0)
        return max(revisions)

    async def _run_peers(self):
        while True:
            beats = self._mesh.heartbeats()
            mine = self._held().root.revision
            ahead = [n for n, beat in beats.items() if beat.revision > mine]
            if not mine and not beats:
                await self._ask_seeds()
            elif ahead:
                await self._ask(self._peer_address(min(ahead)))
            elif mine:
                self._fresh_s = max(self._fresh_s, self._majority_s())
            await trio.sleep(_kv.jittered(PEER_CHECK_S))

    def _majority_s(self):
        """Tell up to when a majority of the region was surely linked.

        :returns: when the last peer needed for it was heard of.
        """
        needed = self._region_size() // 2
        heard_s = self._mesh.last_heard_s()
        if not needed:
            return self._network.now()
        if len(heard_s) < needed:
            return float("-inf")
        return heard_s[needed - 1]

    async def _ask_seeds(self):
        """Learn from any seed while the KV service tells nothing."""
        for address in self._seeds:
            if self._cluster.revision:
                return
            await self._ask(address)

    async def _ask(self, address):
        """Take the configuration that a peer holds."""
        if address is None:
            return
        with contextlib.suppress(
            OSError,
            trio.TooSlowError,
            exceptions.WireError,
            exceptions.DocumentError,
        ):
            with trio.fail_after(PEER_TIMEOUT_S):
                stored, view = await fetch(
                    self._network, address, self._held()
                )
            if self._take(stored):
                self._count("config", "from_peer")
            if self._cluster.learn(view):
                self._learned()


async def fetch(network, address, stored):
    """Fetch a peer's configuration.

    :param address: the peer's address.
    :param stored: the ``Stored`` held already.
    :returns: tuple of a ``Stored`` and the peer's view as entries.
    :raises OSError: if the peer can't be reached.
    :raises WireError: if what it sends does not fit.
    """
    stream = await network.open_stream(address)
    async with stream:
        messages = _wire.MessageStream(stream)
        await messages.send(_wire.ConfigRequest(stored.root.chunks))
        chunks, view = {}, []
        while True:
            msg = await messages.receive()
            if isinstance(msg, _wire.ConfigEnd):
                break
            if isinstance(msg, _wire.ConfigChunk):
                chunks[msg.position] = msg.data
            elif isinstance(msg, _wire.ViewEntry):
                entry = _kv.Entry(msg.key, msg.value, 0, msg.revision, 0)
                view.append(entry)
            else:
                raise exceptions.WireError("not a configuration")
    root = _records.loads(msg.root, _records.ConfigRoot)
    return _config.assemble(stored, root, chunks), view


async def serve(messages, msg, stored, view):
    """Send the configuration held to a peer that asks.

    :param messages: the ``MessageStream``.
    :param msg: the ``ConfigRequest``.
    :param stored: the ``Stored`` held.
    :param view: members and claims as entries.
    """
    wanted = _config.missing_chunks(stored.root, msg.digests)
    chunks = _config.encode_chunks(stored.document, wanted)
    for position, data in chunks.items():
        await messages.send(_wire.ConfigChunk(position, data))
    for entry in view:
        await messages.send(
            _wire.ViewEntry(entry.key, entry.value, entry.mod_revision)
        )
    await messages.send(_wire.ConfigEnd(_records.dumps(stored.root)))
