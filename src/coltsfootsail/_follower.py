"""Keeps a node's configuration up to date.

The configuration is read from the KV service, by watch and by polling,
or from a peer that has a higher revision.  A node that can't tell whether
its configuration is still the accepted one takes no requests.  So an edit
takes effect everywhere within seconds, even if some nodes are
disconnected.
"""

import contextlib

import trio

from coltsfootsail import _config
from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _records
from coltsfootsail import _wire
from coltsfootsail import exceptions

POLL_INTERVAL_S = 3.0
PEER_CHECK_INTERVAL_S = 1.0
PEER_TIMEOUT_S = 5.0
FRESHNESS_LIMIT_S = 6.0


class ConfigFollower:
    """Follows the configuration for one node.

    :param kv: a ``KvClient``.
    :param cluster: a ``ClusterView``.
    :param mesh: a ``Mesh``.
    :param network: a ``Network``.
    :param region_size: ``() -> int``, number of nodes last seen in the
        region.
    :param activate: ``(Stored) -> bool``, activates a configuration if its
        revision is higher.
    :param active: ``() -> Stored``, the active configuration.
    :param peer_address: ``(node) -> address`` or None.
    :param seeds: peer addresses to ask while there is neither a
        configuration nor a linked peer.
    :param on_peer_view: ``()``, called when a peer's view was adopted.
    :param count: ``(counter, reason)``.
    """

    def __init__(
        self,
        kv,
        cluster,
        mesh,
        network,
        region_size,
        activate,
        active,
        peer_address,
        seeds,
        on_peer_view,
        count,
    ):
        self._kv = kv
        self._cluster = cluster
        self._mesh = mesh
        self._network = network
        self._region_size = region_size
        self._activate = activate
        self._active = active
        self._peer_address = peer_address
        self._seeds = seeds
        self._on_peer_view = on_peer_view
        self._count = count
        self._config_changed = trio.Event()
        self._fresh_at_s = float("-inf")

    def is_fresh(self):
        """Return whether the configuration is known to be the accepted one."""
        return self._network.now() - self._fresh_at_s < FRESHNESS_LIMIT_S

    def on_change(self, keys):
        """Handle a change of watched keys.

        :param keys: set of the changed keys; None if any may have changed.
        """
        if keys is None or _keys.CONFIG_ROOT in keys:
            self._apply_watched_root()
            self._config_changed.set()

    def _apply_watched_root(self):
        root = self._cluster.config_root()
        if root is None:
            return
        advanced = _config.apply_delta(self._active(), root, 0)
        if advanced is not None:
            self._activate(advanced)

    async def run(self):
        """Follow the store and the peers until the task is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_store)
            nursery.start_soon(self._follow_peers)

    async def _follow_store(self):
        backoff = _kv.Backoff(first_s=0.2, limit_s=2.0)
        while True:
            asked_s = self._network.now()
            try:
                stored = await _config.refresh(self._kv, self._active())
            except (
                exceptions.KvError,
                exceptions.WireError,
                exceptions.DocumentError,
            ) as exc:
                self._count("config", exc.code)
                await trio.sleep(0.1 + backoff.next_s())
                continue
            backoff.reset()
            self._activate(stored)
            if stored.root.revision >= self._newest_known_revision():
                self._fresh_at_s = max(self._fresh_at_s, asked_s)
            with trio.move_on_after(_kv.jittered(POLL_INTERVAL_S)):
                await self._config_changed.wait()
            self._config_changed = trio.Event()

    def _newest_known_revision(self):
        root = self._cluster.config_root()
        heartbeats = self._mesh.heartbeats().values()
        revisions = [heartbeat.revision for heartbeat in heartbeats]
        revisions.append(root.revision if root else 0)
        return max(revisions)

    async def _follow_peers(self):
        while True:
            heartbeats = self._mesh.heartbeats()
            own_revision = self._active().root.revision
            ahead = [
                node
                for node, heartbeat in heartbeats.items()
                if heartbeat.revision > own_revision
            ]
            if not own_revision and not heartbeats:
                await self._fetch_from_seeds()
            elif ahead:
                await self._fetch_from(self._peer_address(min(ahead)))
            elif own_revision:
                self._fresh_at_s = max(
                    self._fresh_at_s, self._majority_heard_s()
                )
            await trio.sleep(_kv.jittered(PEER_CHECK_INTERVAL_S))

    def _majority_heard_s(self):
        """Return up to when this node was linked to most of its region.

        :returns: when the last peer needed for a majority was heard from.
        """
        needed = self._region_size() // 2
        heard_s = self._mesh.last_heard_s()
        if not needed:
            return self._network.now()
        if len(heard_s) < needed:
            return float("-inf")
        return heard_s[needed - 1]

    async def _fetch_from_seeds(self):
        """Fetch from the seeds until the KV service has answered."""
        for address in self._seeds:
            if self._cluster.revision:
                return
            await self._fetch_from(address)

    async def _fetch_from(self, address):
        """Fetch and activate the configuration that a peer holds."""
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
                    self._network, address, self._active()
                )
            if self._activate(stored):
                self._count("config", "from_peer")
            if self._cluster.adopt_peer_view(view):
                self._on_peer_view()


async def fetch(network, address, stored):
    """Fetch a peer's configuration.

    Only the chunks that differ from the configuration held are sent.

    :param address: the peer's address.
    :param stored: the ``Stored`` held already.
    :returns: tuple of a ``Stored`` and the peer's view as KV entries.
    :raises OSError: if the peer can't be reached.
    :raises WireError: if the peer's messages are not a configuration.
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
                raise exceptions.WireError("not a configuration message")
    root = _records.loads(msg.root, _records.ConfigRoot)
    return _config.assemble(stored, root, chunks), view


async def serve(messages, msg, stored, view):
    """Send the configuration to a peer that asks for it.

    :param messages: the ``MessageStream`` of the peer.
    :param msg: the ``ConfigRequest``.
    :param stored: the ``Stored`` to send.
    :param view: members and claims as KV entries.
    """
    positions = _config.missing_chunks(stored.root, msg.digests)
    chunks = _config.encode_chunks(stored.document, positions)
    for position, data in chunks.items():
        await messages.send(_wire.ConfigChunk(position, data))
    for entry in view:
        await messages.send(
            _wire.ViewEntry(entry.key, entry.value, entry.mod_revision)
        )
    await messages.send(_wire.ConfigEnd(_records.dumps(stored.root)))
