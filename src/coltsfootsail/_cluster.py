"""A node's view of the shared state, kept current by a watch."""

import contextlib
import dataclasses

import trio

from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _records
from coltsfootsail import exceptions

WATCH_IDLE_S = 30.0

_RECORD_TYPES = (
    (_keys.MEMBERS, _records.Member),
    (_keys.CLAIMS, _records.Claim),
    (_keys.INTENTS, _records.Intent),
    (_keys.STRIKES, _records.StrikeRecord),
    (_keys.CONFIG_ROOT, _records.ConfigRoot),
)


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedRecord:
    """A record and the store revision at which it was written."""

    record: object
    revision: int


class ClusterView:
    """The members, claims, intents and strikes that were last read.

    The view is kept while the KV service is unavailable.
    """

    def __init__(self):
        self._by_key = {}
        self.revision = 0
        self.synced = trio.Event()

    def _record(self, key):
        versioned = self._by_key.get(key)
        return versioned.record if versioned else None

    def _with_prefix(self, prefix):
        return {
            key.removeprefix(prefix): versioned
            for key, versioned in self._by_key.items()
            if key.startswith(prefix)
        }

    def members(self):
        """Get the live members as a dict of name to ``Member``."""
        members = self._with_prefix(_keys.MEMBERS)
        return {name: versioned.record for name, versioned in members.items()}

    def member(self, node):
        """Get a live member, or None."""
        return self._record(_keys.member(node))

    def claim(self, endpoint):
        """Get the claim on an endpoint as ``VersionedRecord``, or None."""
        return self._by_key.get(_keys.claim(endpoint))

    def permit_claim(self, region):
        """Get the claim on a region's weight store, or None."""
        return self._by_key.get(_keys.permits(region))

    def intent(self, endpoint):
        """Get the record of an endpoint's holders, or None.

        :returns: a ``VersionedRecord`` of an ``Intent``.
        """
        return self._by_key.get(_keys.intent(endpoint))

    def strike_count(self, fingerprint):
        """Get the number of strikes against a request."""
        record = self._record(_keys.strike(fingerprint))
        return record.count if record else 0

    def config_root(self):
        """Get the root of the stored configuration, or None."""
        return self._record(_keys.CONFIG_ROOT)

    def entries(self):
        """List members and claims as KV entries, to send to a peer."""
        prefixes = (_keys.MEMBERS, _keys.CLAIMS)
        return [
            _kv.Entry(
                key, _records.dumps(versioned.record), 0, versioned.revision, 0
            )
            for key, versioned in self._by_key.items()
            if key.startswith(prefixes)
        ]

    def adopt_peer_view(self, entries):
        """Use a peer's view if nothing has been read from the store yet.

        :param entries: members and claims as KV entries.
        :returns: whether the view was used.
        """
        if self.revision or not entries:
            return False
        for entry in entries:
            self._put(entry)
        return True

    def reset(self, snapshot):
        """Replace the view with a snapshot of the store.

        :returns: whether it was replaced; an older snapshot is ignored.
        """
        if snapshot.revision < self.revision:
            return False
        self._by_key = {}
        for entry in snapshot.entries:
            self._put(entry)
        self.revision = snapshot.revision
        self.synced.set()
        return True

    def _put(self, entry):
        for prefix, record_type in _RECORD_TYPES:
            if not entry.key.startswith(prefix):
                continue
            with contextlib.suppress(exceptions.WireError):
                record = _records.loads(entry.value, record_type)
                self._by_key[entry.key] = VersionedRecord(
                    record, entry.mod_revision
                )
            return

    def apply(self, events):
        """Apply a batch of watch events.

        :returns: the set of keys that changed.
        """
        changed = set()
        for event in events:
            entry = event.entry
            if entry.mod_revision <= self.revision:
                continue
            changed.add(entry.key)
            if event.deleted:
                self._by_key.pop(entry.key, None)
            else:
                self._put(entry)
        revisions = [event.entry.mod_revision for event in events]
        self.revision = max([self.revision, *revisions])
        return changed


async def follow(kv, cluster, on_change, backoff=None):
    """Keep a ``ClusterView`` up to date until the task is cancelled.

    After each interruption of the watch the whole prefix is read again,
    so that no change in between is missed.

    :param kv: a ``KvClient``.
    :param cluster: the ``ClusterView`` to update.
    :param on_change: called with the set of changed keys, or None if any
        key may have changed.
    :param backoff: a ``Backoff`` between attempts; None for the default.
    """
    backoff = backoff or _kv.Backoff(first_s=0.5)
    while True:
        try:
            snapshot = await kv.range(_keys.STATE)
            if cluster.reset(snapshot):
                on_change(None)
            backoff.reset()
            await _watch(kv, cluster, on_change, snapshot.revision + 1)
        except exceptions.KvError:
            await trio.sleep(0.1 + backoff.next_s())


async def _watch(kv, cluster, on_change, start_revision):
    batches = kv.watch(_keys.STATE, start_revision, WATCH_IDLE_S)
    async with contextlib.aclosing(batches):
        async for events in batches:
            changed = cluster.apply(events)
            if changed:
                on_change(changed)
