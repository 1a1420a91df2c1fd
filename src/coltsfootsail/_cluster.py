"""What a node knows of the others, from the KV service's watch."""

import contextlib
import dataclasses

import trio

from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _records
from coltsfootsail import exceptions

WATCH_IDLE_S = 30.0

_KINDS = (
    (_keys.MEMBERS, _records.Member),
    (_keys.CLAIMS, _records.Claim),
    (_keys.INTENTS, _records.Intent),
    (_keys.STRIKES, _records.StrikeRecord),
    (_keys.CONFIG_ROOT, _records.ConfigRoot),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """A record with the revision at which it was written."""

    record: object
    revision: int


class ClusterView:
    """Members, claims, intents and strikes, as last seen.

    While the KV service is down the last view stands.
    """

    def __init__(self):
        self._held = {}
        self.revision = 0
        self.synced = trio.Event()

    def _get(self, key):
        held = self._held.get(key)
        return held.record if held else None

    def _under(self, prefix):
        return {
            key.removeprefix(prefix): held
            for key, held in self._held.items()
            if key.startswith(prefix)
        }

    def members(self):
        """List the live members by name."""
        found = self._under(_keys.MEMBERS)
        return {name: held.record for name, held in found.items()}

    def member(self, node):
        """Get a live member, or None."""
        return self._get(_keys.member(node))

    def claim(self, endpoint):
        """Get the claim on an endpoint as ``Held``, or None."""
        return self._held.get(_keys.claim(endpoint))

    def permits(self, region):
        """Get the claim on a region's weight store, or None."""
        return self._held.get(_keys.permits(region))

    def intent(self, endpoint):
        """Get who may still use an endpoint as ``Held``, or None."""
        return self._held.get(_keys.intent(endpoint))

    def strikes(self, fingerprint):
        """Count the strikes against a request content."""
        record = self._get(_keys.strike(fingerprint))
        return record.count if record else 0

    def config_root(self):
        """Get the root of the stored configuration, or None."""
        return self._get(_keys.CONFIG_ROOT)

    def entries(self):
        """List members and claims as KV entries, for a peer."""
        kept = (_keys.MEMBERS, _keys.CLAIMS)
        return [
            _kv.Entry(key, _records.dumps(held.record), 0, held.revision, 0)
            for key, held in self._held.items()
            if key.startswith(kept)
        ]

    def learn(self, entries):
        """Take a peer's view, if nothing was read from the store yet.

        :returns: whether it was taken.
        """
        if self.revision or not entries:
            return False
        for entry in entries:
            self._put(entry)
        return True

    def reset(self, snapshot):
        """Replace the view by a snapshot of the store.

        :returns: whether it was taken; an older one is not.
        """
        if snapshot.revision < self.revision:
            return False
        self._held = {}
        for entry in snapshot.entries:
            self._put(entry)
        self.revision = snapshot.revision
        self.synced.set()
        return True

    def _put(self, entry):
        for prefix, kind in _KINDS:
            if not entry.key.startswith(prefix):
                continue
            with contextlib.suppress(exceptions.WireError):
                record = _records.loads(entry.value, kind)
                self._held[entry.key] = Held(record, entry.mod_revision)
            return

    def apply(self, events):
        """Apply a batch of watched changes.

        :returns: set of the keys that changed.
        """
        changed = set()
        for event in events:
            entry = event.entry
            if entry.mod_revision <= self.revision:
                continue
            changed.add(entry.key)
            if event.deleted:
                self._held.pop(entry.key, None)
            else:
                self._put(entry)
        newest = [event.entry.mod_revision for event in events]
        self.revision = max([self.revision, *newest])
        return changed


async def follow(kv, cluster, on_change, backoff=None):
    """Keep a ``ClusterView`` up to date for as long as the task runs.

    After every break the whole prefix is read again, so a gap in the
    watch can't hide a change.

    :param kv: a ``KvClient``.
    :param cluster: the view to keep.
    :param on_change: called with the set of changed keys, or None when
        all may have changed.
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
