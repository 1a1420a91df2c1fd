"""A gateway's view of the deployment, followed from the platform's store.

Configuration and adapter versions only ever go up, whatever a late read,
a gap in the watch or a peer says.  While the store is away the last view
stands.
"""

import collections

import trio

from coltsfootsail import _fleet
from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _logs
from coltsfootsail import _records
from coltsfootsail import exceptions
from coltsfootsail.platform import registry

WATCH_WAIT_S = 2.0  # a silent connection is noticed in this time
WATCH_PAUSE_SHARE = 0.4  # of the time for news, to gather changes
OUTAGE_MIN_S = 3.5  # without an answer; entries expire after 3.6 s of silence
REREGISTRATION_S = 2.0  # servers write their entries again within this time
REREGISTRATION_POLL_S = 0.2
STARTUP_S = 3.0
STARTUP_POLL_S = 0.2
ALL_KEYS = ""

_RECORD_CLASSES = (
    (_keys.MEMBERS, _records.Member),
    (_keys.CLAIMS, _records.Claim),
    (_keys.INTENTS, _records.Holder),
)


def _routing_fields(server):
    """Get what decides whether requests may be sent to a server."""
    return server.service, server.address, server.draining, server.models


class DeploymentView:
    """Configuration, servers, versions, members and claims.

    ``generation`` rises whenever the servers to send requests to change.

    :param kv: a ``StoreClient``.
    :param now: closure that reads the clock in seconds.
    :param on_change: called with the set of changed keys, or None when
        all may have changed.
    :param news_s: a change must be in force in this time.
    """

    def __init__(self, kv, now, on_change, propagation_s=2.0):
        self._kv = kv
        self._now = now
        self._on_change = on_change
        self._started_s = now()
        self._store_returned_s = None
        self._unconfirmed = set()
        self._batch_pause_s = WATCH_PAUSE_SHARE * propagation_s
        self._handlers = (
            (registry.CONFIG_KEY, self._apply_deployment_entry),
            (registry.VERSION_PREFIX, self._apply_version_entry),
            (registry.SERVER_PREFIX, self._apply_server_entry),
            (_keys.STATE, self._apply_record_entry),
        )
        self.deployment = _fleet.EMPTY_DEPLOYMENT
        self.routes = _fleet.RouteTable(_fleet.EMPTY_DEPLOYMENT)
        self.raw_deployment = b""
        self.versions = {}
        self.servers = {}
        self.generation = 0
        self._records = {prefix: {} for prefix, _ in _RECORD_CLASSES}
        self.revision = 0
        self.last_contact_s = None
        self.synced = trio.Event()
        self.populated = trio.Event()
        self._entries = {}

    # -- reading ----------------------------------------------------

    def members(self):
        """List the registered nodes by name."""
        return {
            record.node: record
            for record, _ in self._records[_keys.MEMBERS].values()
        }

    def member_count(self):
        """Count the registered nodes."""
        return len(self._records[_keys.MEMBERS])

    def is_member(self, node):
        """Say whether a node is registered."""
        return _keys.member(node) in self._records[_keys.MEMBERS]

    def claim(self, server):
        """Get the claim on a server.

        :returns: tuple of ``Claim`` and its revision, or None.
        """
        return self._records[_keys.CLAIMS].get(_keys.claim(server))

    def last_holder(self, server):
        """Get the node that last claimed a server, empty if none did."""
        found = self._records[_keys.INTENTS].get(_keys.intent(server))
        return found[0].node if found else ""

    def previously_claimed(self):
        """List the servers, present or not, that were ever claimed."""
        return [
            key.removeprefix(_keys.INTENTS)
            for key in self._records[_keys.INTENTS]
        ]

    def age_s(self):
        """Tell how long ago the store was heard, None before the first."""
        return (
            None
            if self.last_contact_s is None
            else self._now() - self.last_contact_s
        )

    def available_servers(self, service):
        """List a service's servers that may take new requests."""
        return [
            server
            for server in self.servers.values()
            if server.service == service and not server.draining
        ]

    def service_counts(self):
        """Count the servers that take requests, by service."""
        return collections.Counter(
            server.service
            for server in self.servers.values()
            if not server.draining
        )

    def engine_servers(self):
        """List the servers that take orders, those that leave included."""
        return {
            name: server
            for name, server in self.servers.items()
            if self.engine_spec(server) is not None
        }

    def is_unavailable(self, name):
        """Say whether a server is gone or takes no new requests."""
        server = self.servers.get(name)
        return server is None or server.draining

    def engine_spec(self, server):
        """Get a server's ``EngineSpec``, or None for a plain one."""
        service = self.deployment.services.get(server.service)
        return service.engine if service else None

    # -- taking -----------------------------------------------------

    def _apply_deployment_entry(self, entry, deleted):
        if deleted:
            return
        try:
            found = registry.decode_deployment(entry.value)
        except exceptions.BadField as exc:
            _logs.state("config_unreadable", reason=exc.detail)
            return
        self.apply_deployment(found, entry.value)

    def apply_deployment(self, found, raw):
        """Take a configuration if its version is higher.

        :returns: whether it was taken.
        """
        if found.version <= self.deployment.version:
            return False
        self.deployment = found
        self.routes = _fleet.RouteTable(found)
        self.raw_deployment = raw
        _logs.state(
            "config_in_force", version=found.version, routes=len(found.routes)
        )
        return True

    def _apply_version_entry(self, entry, deleted):
        if deleted:
            return
        try:
            key, version = registry.decode_adapter_version(entry.value)
        except exceptions.BadField as exc:
            _logs.state("version_unreadable", reason=exc.detail)
            return
        self.raise_version(key, version)

    def raise_version(self, key, version):
        """Take a declared version of an adapter if it is higher."""
        if version > self.versions.get(key, 0):
            self.versions[key] = version
            _logs.state("adapter_version", adapter=key, version=version)

    def _apply_server_entry(self, entry, deleted):
        name = entry.key.removeprefix(registry.SERVER_PREFIX)
        if deleted:
            self._remove_server(name)
            return
        try:
            found = registry.decode_server(entry)
        except exceptions.BadField as exc:
            self.servers.pop(name, None)
            self.generation += 1
            _logs.state("server_unreadable", reason=exc.detail)
            return
        old = self.servers.get(name)
        self.servers[name] = found
        self._unconfirmed.discard(name)
        if old is None or _routing_fields(old) != _routing_fields(found):
            self.generation += 1
        if old is None or old.draining != found.draining:
            _logs.state(
                "server",
                server=name,
                service=found.service,
                draining=found.draining,
                address=found.address,
            )

    def _remove_server(self, name):
        """Forget a server, unless its entry expired in an outage."""
        if name not in self.servers:
            return
        if self._store_just_returned():
            self._unconfirmed.add(name)
            return
        del self.servers[name]
        self._unconfirmed.discard(name)
        self.generation += 1
        _logs.state("server_gone", server=name)

    def _store_just_returned(self):
        """Say whether the store came back so recently that entries lack."""
        if self._store_returned_s is None:
            return False
        return self._now() < self._store_returned_s + REREGISTRATION_S

    def _note_contact(self):
        """Note that the store answered, before its answer is taken."""
        now_s = self._now()
        if (
            self.last_contact_s is not None
            and now_s - self.last_contact_s > OUTAGE_MIN_S
        ):
            self._store_returned_s = now_s
            _logs.state(
                "store_back", after_s=round(now_s - self.last_contact_s, 1)
            )
        if self._unconfirmed and not self._store_just_returned():
            for name in list(self._unconfirmed):
                self._remove_server(name)

    def _apply_record_entry(self, entry, deleted):
        for prefix, record_class in _RECORD_CLASSES:
            if not entry.key.startswith(prefix):
                continue
            if deleted:
                self._records[prefix].pop(entry.key, None)
                return
            try:
                record = _records.loads(entry.value, record_class)
            except exceptions.WireError as exc:
                _logs.state("record_unreadable", key=entry.key, why=str(exc))
                return
            self._records[prefix][entry.key] = (record, entry.mod_revision)

    def apply_entry(self, entry, deleted=False):
        """Take one entry of the store, or its removal."""
        if deleted:
            self._entries.pop(entry.key, None)
        else:
            self._entries[entry.key] = entry
        for prefix, handler in self._handlers:
            if entry.key.startswith(prefix):
                handler(entry, deleted)
                return

    def entries(self):
        """List the entries as last seen, for a node that starts."""
        return list(self._entries.values())

    def apply_peer_entries(self, entries):
        """Take a peer's entries, until the store itself was read.

        :returns: whether they were taken.
        """
        if self.synced.is_set() or not entries:
            return False
        for entry in entries:
            self.apply_entry(entry)
        self.populated.set()
        self._on_change(None)
        return True

    def apply_snapshot(self, snapshot):
        """Take all entries of the store; what is missing has gone."""
        present = {entry.key for entry in snapshot.entries}
        for key in [key for key in self._entries if key not in present]:
            del self._entries[key]
        for records in self._records.values():
            for key in [key for key in records if key not in present]:
                del records[key]
        for name in list(self.servers):
            if registry.SERVER_PREFIX + name not in present:
                self._remove_server(name)
        for entry in snapshot.entries:
            self.apply_entry(entry)
        self.revision = snapshot.revision
        self._notify_change(None)
        self.synced.set()
        self.populated.set()

    def _notify_change(self, changed):
        self.last_contact_s = self._now()
        if changed is None or changed:
            self._on_change(changed)

    # -- following --------------------------------------------------

    async def run(self):
        """Follow the store for as long as the task runs."""
        backoff = _kv.Backoff(first_s=0.2, limit_s=1.0)
        while True:
            try:
                snapshot = await self._kv.range(ALL_KEYS)
                self._note_contact()
                self.apply_snapshot(snapshot)
                backoff.reset()
                await self._watch(backoff)
            except exceptions.KvHistoryGone:
                _logs.state("watch_behind", revision=self.revision)
            except exceptions.KvError as exc:
                _logs.state("store_read_failed", reason=exc.detail)
                await trio.sleep(0.1 + backoff.next_s())

    async def _watch(self, backoff):
        while True:
            try:
                wait_s = (
                    REREGISTRATION_POLL_S
                    if self._unconfirmed
                    else WATCH_WAIT_S
                )
                events, revision = await self._kv.changes(
                    ALL_KEYS, self.revision, wait_s
                )
            except exceptions.KvHistoryGone:
                raise
            except exceptions.KvError as exc:
                # The position stands: the next call goes on from it.
                _logs.state("watch_failed", reason=exc.detail)
                await trio.sleep(0.05 + backoff.next_s())
                continue
            backoff.reset()
            self._note_contact()
            for event in events:
                self.apply_entry(event.entry, event.deleted)
            self.revision = max(self.revision, revision)
            self._notify_change({event.entry.key for event in events})
            if events:
                await trio.sleep(self._watch_pause_s())

    def _watch_pause_s(self):
        """Follow closely while owners, peers or servers show up."""
        if self._unconfirmed:
            return REREGISTRATION_POLL_S
        if self._now() < self._started_s + STARTUP_S:
            return STARTUP_POLL_S
        return self._batch_pause_s
