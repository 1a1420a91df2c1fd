"""A gateway's copy of the deployment, kept up to date from the store.

Versions of the configuration and of adapters never decrease, even if a
stale read, a gap in the watch or a peer delivers an older one.  While the
store is unavailable, the last copy stays in use.
"""

import collections
import contextlib
import dataclasses

import trio

from coltsfootsail import _access
from coltsfootsail import _departed
from coltsfootsail import _eras
from coltsfootsail import _fleet
from coltsfootsail import _freshness
from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _logs
from coltsfootsail import _records
from coltsfootsail import _tasks
from coltsfootsail import exceptions
from coltsfootsail.platform import registry

WATCH_WAIT_S = 2.0  # bounds the time until a dead connection is noticed
ANSWER_S = 1.0  # of the store to a call, beside the time that it is held
WATCH_PAUSE_SHARE = 0.4  # of the propagation time, spent to batch changes
# What a longer propagation time leaves beside that pause is enough for a
# watch that has to be repeated.
WATCH_MARGIN_S = 1.2
# A store that did not answer for this long may have dropped the entries of
# live servers, which expire after 3.6 s without a renewal.
OUTAGE_MIN_S = 3.5
REREGISTRATION_S = 2.0  # servers write their entries again within this time
REREGISTRATION_POLL_S = 0.2
STARTUP_S = 3.0  # after its start, a node follows changes more closely
STARTUP_POLL_S = 0.2
# Nodes that start together wake each other's watches, so that all their calls
# would grow with the square of their number.
STARTUP_POLL_PER_MEMBER_S = 0.01
ALL_KEYS = ""  # the prefix of every key

_RECORD_CLASSES = (
    (_keys.MEMBERS, _records.Member),
    (_keys.CLAIMS, _records.Claim),
    (_keys.INTENTS, _records.Holder),
    (_keys.WAITS, _records.Wait),
    (_keys.ERA, _records.SettledEra),
    (_keys.STRIKES, _records.StrikeRecord),
    (_keys.BLAMED_PARTS, _records.BlamedPart),
    (_keys.STREAMS, _records.StreamSlot),
)
_NO_STRIKES = (_records.StrikeRecord(0), 0)
_NO_SETTLED_ERA = (_records.SettledEra(_eras.FIRST_ERA), 0)


def _routing_fields(server):
    """Get the fields that decide which requests a server may be sent."""
    return (
        server.service,
        server.address,
        server.draining,
        server.models,
        server.software,
        server.born_ms,
    )


class DeploymentView:
    """Configuration, servers, adapter versions, members and claims.

    ``generation`` increases whenever the servers that requests may be sent
    to change.  ``populated`` is set when entries were read from the store
    or a peer, ``synced`` when the store itself was read.

    :param kv: a ``StoreClient``.
    :param now: closure that reads the clock in seconds.
    :param on_change: called with the set of changed keys, or None when
        all may have changed; returns False to be called again soon.
    :param propagation_s: a change must be applied within this time.
    :param freshness: the ``Freshness`` of the configuration, None where
        nobody asks for it.
    :param on_restart: ``(server name)``, called when a server is found to
        have started again under its name.
    :param count: ``(counter, reason)``.
    """

    def __init__(
        self,
        kv,
        now,
        on_change,
        propagation_s=2.0,
        freshness=None,
        on_restart=lambda name: None,
        count=lambda counter, reason: None,
    ):
        self._kv = kv
        self._now = now
        self._on_change = on_change
        self._on_restart = on_restart
        self._count = count
        self._is_heard = True
        # What failed to be applied, to be tried again.
        self._unapplied = {}
        self._started_s = now()
        self._store_returned_s = None
        self._unconfirmed = set()
        self._freshness = freshness or _freshness.Freshness(
            _access.ProofLimits(), now
        )
        self._batch_pause_s = self._freshness.watch_pause_s(
            max(
                WATCH_PAUSE_SHARE * propagation_s,
                propagation_s - WATCH_MARGIN_S,
            )
        )
        self._handlers = (
            (registry.CONFIG_KEY, self._apply_deployment_entry),
            (registry.VERSION_PREFIX, self._apply_version_entry),
            (registry.SERVER_PREFIX, self._apply_server_entry),
            (_keys.STATE, self._apply_record_entry),
        )
        self.deployment = _fleet.EMPTY_DEPLOYMENT
        self.routes = _fleet.RouteTable(_fleet.EMPTY_DEPLOYMENT)
        self.keys = None
        self.raw_deployment = b""
        self._stored_version = 0
        self.versions = {}
        self.servers = {}
        self.generation = 0
        self._records = {prefix: {} for prefix, _ in _RECORD_CLASSES}
        self.revision = 0
        self.era = _eras.FIRST_ERA
        self._departed = _departed.DepartedServers()
        self._starts = _departed.ServerStarts()
        self.last_contact_s = None
        self.synced = trio.Event()
        self.populated = trio.Event()
        self._entries = {}

    def members(self):
        """Get the registered nodes.

        :returns: dict of node name to ``Member``.
        """
        return {
            record.node: record
            for record, _ in self._records[_keys.MEMBERS].values()
        }

    def members_by_age(self):
        """List the names of the registered nodes.

        Those come first that have been registered for longest, without a
        time in which their registration had expired.
        """
        ages = {
            name: self._entries[_keys.member(name)].create_revision
            for name in self.members()
        }
        return sorted(ages, key=lambda name: (ages[name], name))

    def member_count(self):
        """Count the registered nodes."""
        return len(self._records[_keys.MEMBERS])

    def is_member(self, node):
        """Tell whether a node is registered."""
        return _keys.member(node) in self._records[_keys.MEMBERS]

    def claim(self, server):
        """Get the claim on a server.

        :param server: the server's name.
        :returns: tuple of ``Claim`` and its revision, or None.
        """
        return self._records[_keys.CLAIMS].get(_keys.claim(server))

    def last_holder(self, server):
        """Get the record of the node that last claimed a server.

        :returns: tuple of ``Holder`` and its revision; None and 0 if there is
            no record.
        """
        return self._records[_keys.INTENTS].get(
            _keys.intent(server), (None, 0)
        )

    def wait(self, server):
        """Get the record of the nodes that a server's owner waits for.

        :returns: tuple of ``Wait`` and its revision; None and 0 if there is
            no record.
        """
        return self._records[_keys.WAITS].get(_keys.wait(server), (None, 0))

    def strike_count(self, content):
        """Get the number of crashes stored against a request's content."""
        record, _ = self._records[_keys.STRIKES].get(
            _keys.strike(content), _NO_STRIKES
        )
        return record.count

    def blamed_parts(self):
        """List the parts of prompts that are blamed for crashes.

        :returns: tuples of ``BlamedPart`` and its revision.
        """
        return list(self._records[_keys.BLAMED_PARTS].values())

    def stream_slots(self):
        """List the records of streams that began at any node.

        :returns: list of ``StreamSlot``.
        """
        slots = self._records[_keys.STREAMS].values()
        return [record for record, _ in slots]

    def settled_era(self):
        """Get the era in which no holder of an earlier one can order.

        :returns: tuple of ``SettledEra`` and its revision, 0 if there is
            no such record.
        """
        return self._records[_keys.ERA].get(_keys.ERA, _NO_SETTLED_ERA)

    def previously_claimed(self):
        """List the names of all servers with a record of a claim.

        Servers that are gone are included.
        """
        return [
            key.removeprefix(_keys.INTENTS)
            for key in self._records[_keys.INTENTS]
        ]

    def age_s(self):
        """Get the time since the store last answered, None if it never did."""
        return (
            None
            if self.last_contact_s is None
            else self._now() - self.last_contact_s
        )

    def answer_age_s(self):
        """Get the age of what is known of the store, infinite for nothing."""
        return self._freshness.answer_age_s()

    @property
    def answer_age_max_s(self):
        """The greatest such age while the store answers in time."""
        return 2 * WATCH_WAIT_S + self._batch_pause_s + ANSWER_S

    def available_servers(self, service):
        """List a service's servers that accept new requests."""
        return [
            server
            for server in self.servers.values()
            if server.service == service and not server.draining
        ]

    def service_counts(self):
        """Count the servers that accept new requests, by service."""
        return collections.Counter(
            server.service
            for server in self.servers.values()
            if not server.draining
        )

    def engine_servers(self):
        """Get the servers that are engines, including draining ones.

        :returns: dict of name to ``Server``.
        """
        return {
            name: server
            for name, server in self.servers.items()
            if self.engine_spec(server) is not None
        }

    def engine_spec(self, server):
        """Get a server's ``EngineSpec``, or None for a plain service."""
        service = self.deployment.services.get(server.service)
        return service.engine if service else None

    def _apply_deployment_entry(self, entry, deleted):
        if deleted:
            return
        try:
            deployment = registry.decode_deployment(entry.value)
        except exceptions.BadField as exc:
            _logs.state("config_unreadable", reason=exc.detail)
            return
        self._stored_version = deployment.version
        self.apply_deployment(deployment, entry.value)

    def apply_deployment(self, deployment, raw):
        """Apply a configuration if its version is higher.

        It is applied as a whole, or not at all.

        :param raw: its encoded form, to be sent to peers without the keys.
        """
        if deployment.version > self.deployment.version:
            self._try_to_apply(
                registry.CONFIG_KEY,
                self._put_in_force,
                deployment,
                raw,
                version=deployment.version,
                in_force=self.deployment.version,
            )

    def _try_to_apply(self, key, apply, *args, **about):
        """Apply a change; after an error, log it and keep it to try again.

        :param key: of the changed entry.
        :param about: fields of the log line of an error.
        """
        self._unapplied.pop(key, None)
        if not _tasks.call_contained(
            "view", self._count, apply, *args, key=key, **about
        ):
            self._unapplied[key] = (apply, args, about)

    def _try_again(self):
        """Try again to apply the changes that failed."""
        for key, (apply, args, about) in list(self._unapplied.items()):
            self._try_to_apply(key, apply, *args, **about)

    def _put_in_force(self, deployment, raw):
        if deployment.version <= self.deployment.version:
            return
        routes = _fleet.RouteTable(deployment)
        keys = None
        if deployment.workspaces is not None:
            keys = _fleet.KeyTable(deployment)
        raw_deployment = registry.redact_keys(raw)
        self.deployment = deployment
        self.routes = routes
        self.keys = keys
        self.raw_deployment = raw_deployment
        self._apply_withheld_servers()
        _logs.state(
            "config_in_force",
            version=deployment.version,
            routes=len(deployment.routes),
        )

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
        """Apply the declared version of an adapter if it is higher."""
        if version > self.versions.get(key, 0):
            self.versions[key] = version
            _logs.state("adapter_version", adapter=key, version=version)

    def _apply_server_entry(self, entry, deleted):
        name = entry.key.removeprefix(registry.SERVER_PREFIX)
        if deleted:
            self._departed.note_changed(name)
            self._remove_server(name)
            return
        try:
            server = registry.decode_server(entry)
            self._check_service(server)
        except exceptions.BadField as exc:
            self._departed.note_changed(name)
            self.servers.pop(name, None)
            self._unconfirmed.discard(name)
            self.generation += 1
            _logs.state("server_unreadable", reason=exc.detail)
            return
        if self._starts.is_earlier(name, server.born_ms):
            _logs.state("server_outdated", server=name, born_ms=server.born_ms)
            return
        self._departed.note_changed(name)
        old = self.servers.get(name)
        self.servers[name] = server
        self._note_registered_start(old, server)
        self._unconfirmed.discard(name)
        if old is None or _routing_fields(old) != _routing_fields(server):
            self.generation += 1
        if old is None or old.draining != server.draining:
            _logs.state(
                "server",
                server=name,
                service=server.service,
                draining=server.draining,
                address=server.address,
                software=server.software,
            )

    def _check_service(self, server):
        """Check that the configuration has a server's service.

        :raises BadField: if it does not.
        """
        services = self.deployment.services
        if server.service not in services:
            raise exceptions.BadField(f"{server.name}: unknown service")

    def _apply_withheld_servers(self):
        """Apply the entries of servers whose service was not configured."""
        for key, entry in list(self._entries.items()):
            name = key.removeprefix(registry.SERVER_PREFIX)
            if name != key and name not in self.servers:
                self._try_to_apply(key, self._apply_server_entry, entry, False)

    def _note_registered_start(self, old, server):
        """Note the start that a registration states.

        A report may have shown the restart before; what the registration of
        the start before stated is then dropped only now.
        """
        is_restart = self._starts.note(server.name, server.born_ms)
        if old is not None and 0 < old.born_ms < server.born_ms:
            is_restart = True
        if is_restart:
            self._note_restart(server.name, server.born_ms, "registration")

    def _note_restart(self, name, born_ms, source):
        self.generation += 1
        _logs.state(
            "server_restarted", server=name, born_ms=born_ms, source=source
        )
        self._on_restart(name)

    def born_ms(self, name):
        """Get the latest known start of a server, 0 if none is known."""
        return self._starts.born_ms(name)

    def note_start(self, name, born_ms):
        """Note the start that a server stated in an answer."""
        if name in self.servers and self._starts.note(name, born_ms):
            self._note_restart(name, born_ms, "answer")

    def _remove_server(self, name):
        """Remove a server, unless its entry may have expired in an outage.

        In that case the server is kept until it had time to register again.
        """
        if name not in self.servers:
            return
        if self._store_just_returned():
            self._unconfirmed.add(name)
            return
        del self.servers[name]
        self._unconfirmed.discard(name)
        self._departed.note_gone(name, self._now())
        self._starts.note_gone(name, self._now())
        self.generation += 1
        _logs.state("server_gone", server=name)

    def _store_just_returned(self):
        """Tell whether servers may still have to register again."""
        if self._store_returned_s is None:
            return False
        return self._now() < self._store_returned_s + REREGISTRATION_S

    def _note_contact(self):
        """Record that the store answered, before its answer is applied."""
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
        for entry in self._departed.take_confirmed(now_s):
            self.apply_entry(entry)
        self._try_again()

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
        """Apply one entry of the store, or its deletion."""
        if deleted:
            self._entries.pop(entry.key, None)
        elif entry.key != registry.CONFIG_KEY:
            self._entries[entry.key] = entry
        for prefix, handler in self._handlers:
            if entry.key.startswith(prefix):
                self._try_to_apply(entry.key, handler, entry, deleted)
                break
        if entry.key == registry.CONFIG_KEY and not deleted:
            self._keep_deployment_entry(entry)

    def _keep_deployment_entry(self, entry):
        """Keep the configuration in force, without the callers' keys."""
        if self.raw_deployment:
            self._entries[entry.key] = dataclasses.replace(
                entry, value=self.raw_deployment
            )

    def entries(self):
        """List the entries as last seen, to be sent to starting nodes.

        The configuration is the one in force, without the callers' keys.
        """
        return list(self._entries.values())

    def apply_peer_entries(self, entries):
        """Apply a peer's entries, unless the store itself was read.

        :returns: whether they were applied.
        """
        if self.synced.is_set() or not entries:
            return False
        for entry in entries:
            self.apply_entry(entry)
        self.populated.set()
        self._tell(None)
        return True

    def _begin_era(self, snapshot):
        """Prepare for the entries of a copy that lacks the last seconds.

        Servers register again within seconds, so those that the copy lacks
        are kept meanwhile.
        """
        _logs.state(
            "store_era",
            era=snapshot.era,
            revision=snapshot.revision,
            old_era=self.era,
            old_revision=self.revision,
        )
        self._store_returned_s = self._now()
        self._freshness.note_new_era()

    def _is_outdated(self, entry):
        """Tell whether a copy shows a server as it was before it left.

        A server that has begun to drain never takes requests again, unless
        it has started again since.
        """
        name = entry.key.removeprefix(registry.SERVER_PREFIX)
        if name == entry.key or self._shows_later_start(name, entry):
            return False
        known = self.servers.get(name)
        if known is None:
            return self._departed.withhold(name, entry, self._now())
        return known.draining

    def _shows_later_start(self, name, entry):
        try:
            born_ms = registry.decode_server(entry).born_ms
        except exceptions.BadField:
            return False
        return self._starts.is_later(name, born_ms)

    def apply_snapshot(self, snapshot):
        """Apply all entries of the store, and remove those it lacks.

        Of a store that came back from an older copy, entries of servers
        that have left since are not applied.
        """
        is_copy = self.synced.is_set() and snapshot.era > self.era
        if is_copy:
            self._begin_era(snapshot)
        present = {entry.key for entry in snapshot.entries}
        self._unapplied.clear()
        # What an unreadable entry hides must not count as proven.
        self._stored_version = 0
        for key in [key for key in self._entries if key not in present]:
            del self._entries[key]
        for records in self._records.values():
            for key in [key for key in records if key not in present]:
                del records[key]
        for name in list(self.servers):
            if registry.SERVER_PREFIX + name not in present:
                self._remove_server(name)
        for entry in snapshot.entries:
            if not (is_copy and self._is_outdated(entry)):
                self.apply_entry(entry)
        self.era = snapshot.era
        self.revision = snapshot.revision
        if not self.synced.is_set() and self.settled_era()[0].era < self.era:
            self._freshness.note_new_era()
        self._notify_change(None)
        self.synced.set()
        self.populated.set()

    def _notify_change(self, changed):
        self.last_contact_s = self._now()
        if changed is None or changed or not self._is_heard:
            self._tell(changed)

    def _tell(self, changed):
        self._is_heard = self._on_change(changed) is not False

    async def run(self):
        """Follow the store until cancelled."""
        backoff = _kv.Backoff(first_s=0.2, limit_s=1.0)
        while True:
            sent_s = self._now()
            try:
                snapshot = await self._kv.range(ALL_KEYS)
                self._note_contact()
                self.apply_snapshot(snapshot)
                self._note_proof(sent_s)
                backoff.reset()
                await self._watch(backoff)
            except exceptions.KvHistoryGone:
                _logs.state("watch_behind", revision=self.revision)
            except exceptions.KvEraChanged as exc:
                _logs.state("store_read_again", reason=exc.detail)
            except exceptions.KvError as exc:
                _logs.state("store_read_failed", reason=exc.detail)
                await trio.sleep(0.1 + backoff.next_s())

    async def read_versions(self, service):
        """Read which software versions a service's servers have.

        Nothing of it is applied.

        :returns: set of text, empty if the store does not answer in time.
        """
        versions = set()
        with trio.move_on_after(ANSWER_S):
            try:
                snapshot = await self._kv.range(registry.SERVER_PREFIX)
            except exceptions.KvError as exc:
                _logs.state("store_read_failed", reason=exc.detail)
                return versions
            for entry in snapshot.entries:
                with contextlib.suppress(exceptions.BadField):
                    server = registry.decode_server(entry)
                    if server.service == service:
                        versions.add(server.software)
        return versions

    def _note_proof(self, sent_s):
        """Note a call to the store, after its answer has been applied.

        A store that came back from an older copy may show another version
        than the one in force, which proves nothing.
        """
        is_in_force = (
            registry.CONFIG_KEY not in self._unapplied
            and self._stored_version == self.deployment.version
        )
        self._freshness.note_store_answer(sent_s, is_in_force)

    async def _watch(self, backoff):
        """Apply changes until all entries must be read again."""
        while self._kv.era == self.era:
            try:
                wait_s = self._freshness.watch_wait_s(
                    WATCH_WAIT_S, self._batch_pause_s
                )
                if self._unconfirmed:
                    wait_s = min(wait_s, REREGISTRATION_POLL_S)
                sent_s = self._now()
                events, revision = await self._kv.changes(
                    ALL_KEYS, self.revision, wait_s
                )
            except (exceptions.KvHistoryGone, exceptions.KvEraChanged):
                raise
            except exceptions.KvError as exc:
                # The revision is unchanged, so that the next call continues
                # where this one failed.
                _logs.state("watch_failed", reason=exc.detail)
                await trio.sleep(0.05 + backoff.next_s())
                continue
            backoff.reset()
            self._note_contact()
            for event in events:
                self.apply_entry(event.entry, event.deleted)
            self.revision = max(self.revision, revision)
            self._note_proof(sent_s)
            self._notify_change({event.entry.key for event in events})
            if events:
                await trio.sleep(self._watch_pause_s())

    def _watch_pause_s(self):
        """Get the pause between watches, in which changes are batched.

        It is short while nodes or servers are expected to register.
        """
        if self._unconfirmed:
            return REREGISTRATION_POLL_S
        if self._now() < self._started_s + STARTUP_S:
            pause_s = self.member_count() * STARTUP_POLL_PER_MEMBER_S
            return min(self._batch_pause_s, max(STARTUP_POLL_S, pause_s))
        return self._batch_pause_s
