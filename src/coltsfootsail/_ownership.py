"""Which endpoints this node claims, keeps and hands over.

A claim is a key on the node's lease, taken by compare-and-swap; its mod
revision is the fencing number.  Beside it stands the record of all nodes
that may still use the endpoint; it outlives leases.
"""

import dataclasses
import math

import trio

from coltsfootsail import _document
from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _placement
from coltsfootsail import _records
from coltsfootsail import exceptions

STEP_S = 0.5
RANK_DELAY_S = 1.0
LOAD_FACTOR = 1.25
ORDER_LINGER_S = 60.0
CLAIMS_PER_S = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Which run of which node this is, and where."""

    node: str
    incarnation: str
    region: str
    data_centre: str


def share_max(endpoints, nodes):
    """Bound how many endpoints one node claims.

    Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with
    Bounded Loads", 2018.
    """
    return math.ceil(LOAD_FACTOR * endpoints / max(1, nodes))


def ranking(endpoint, entry, members, counts, limit):
    """Rank the members that may claim an endpoint.

    :param members: dict of name to ``Member``, draining ones left out.
    :param counts: dict of name to endpoints owned.
    :param limit: nodes that own this many are left out.
    :returns: list of names, best first.
    """
    near, far = [], []
    for name, member in members.items():
        if counts.get(name, 0) >= limit:
            continue
        same = member.data_centre == entry.data_centre
        (near if same else far).append(name)
    return _placement.rank_nodes(endpoint, near, far)


class Ownership:
    """Takes, follows and gives away claims.

    :param identity: ``Identity`` of this node.
    :param kv: a ``KvClient``.
    :param cluster: a ``ClusterView``.
    :param lease: a ``NodeLease``.
    :param document: ``() -> Document`` in force.
    :param gone_s: ``(node, incarnation) -> seconds`` since that run of
        the node is known to have ended; negative while it may run.
    :param now: closure that reads the clock.
    :param count: ``(counter, reason)``.
    """

    def __init__(
        self, identity, kv, cluster, lease, document, gone_s, now, count
    ):
        self._me = identity
        self._kv = kv
        self._cluster = cluster
        self._lease = lease
        self._document = document
        self._gone_s = gone_s
        self._now = now
        self._count = count
        self._listed_of = None
        self._listed = {}
        self._vacant_since_s = {}
        self._skip_until_s = {}

    def _mine(self, record):
        return (record.node, record.incarnation) == (
            self._me.node,
            self._me.incarnation,
        )

    def fence(self, endpoint):
        """Get the fencing number of this node's claim; 0 without one."""
        held = self._cluster.claim(endpoint)
        if held is None or not self._mine(held.record):
            return 0
        return held.revision

    def owner(self, endpoint):
        """Get the node that owns an endpoint, or None."""
        held = self._cluster.claim(endpoint)
        return held.record.node if held else None

    def unresolved(self, endpoint, request_timeout_s):
        """List earlier holders that may still use an endpoint.

        A run of a node that ended can have no request running after the
        request timeout and no order under way after the linger time.
        """
        held = self._cluster.intent(endpoint)
        if held is None:
            return ()
        return tuple(
            holder
            for holder in held.record.holders
            if not self._mine(holder)
            and not self._is_over(holder, request_timeout_s)
        )

    def _is_over(self, holder, request_timeout_s):
        gone_s = self._gone_s(holder.node, holder.incarnation)
        if holder.adapters:
            return gone_s > max(request_timeout_s, ORDER_LINGER_S)
        return gone_s > request_timeout_s

    def _members(self):
        return {
            name: member
            for name, member in self._cluster.members().items()
            if member.region == self._me.region and not member.draining
        }

    def engines(self):
        """List the engines that nodes of this region may own.

        :returns: dict of name to entry; made once per document.
        """
        document = self._document()
        if self._listed_of is not document:
            kind = _document.EndpointKind.ENGINE
            self._listed_of = document
            self._listed = {
                name: entry
                for name, entry in document.endpoints.items()
                if entry.kind is kind and entry.region in ("", self._me.region)
            }
        return self._listed

    def _counts(self, engines):
        counts = {}
        for endpoint in engines:
            owner = self.owner(endpoint)
            if owner is not None:
                counts[owner] = counts.get(owner, 0) + 1
        return counts

    def claimable_endpoints(self):
        """List the vacant endpoints that this node should claim now."""
        members = self._members()
        if self._me.node not in members:
            return []
        engines = self.engines()
        counts = self._counts(engines)
        limit = share_max(len(engines), len(members))
        found = []
        for endpoint, entry in engines.items():
            if self.owner(endpoint) is not None:
                self._vacant_since_s.pop(endpoint, None)
                continue
            ranked = ranking(endpoint, entry, members, counts, limit)
            if self._due(endpoint, ranked):
                found.append(endpoint)
        return found

    def _due(self, endpoint, ranked):
        now_s = self._now()
        since_s = self._vacant_since_s.setdefault(endpoint, now_s)
        if self._me.node not in ranked:
            return False
        if self._skip_until_s.get(endpoint, 0.0) > now_s:
            return False
        delay_s = RANK_DELAY_S * ranked.index(self._me.node)
        return now_s - since_s >= delay_s

    async def run(self, active):
        """Claim vacant roles for as long as the task runs.

        :param active: ``() -> bool``, false while the node drains.
        """
        while True:
            if active() and self._lease.valid() and self._lease.kv_ok:
                await self._step()
            await trio.sleep(_kv.jittered(STEP_S))

    async def _step(self):
        for endpoint in self.claimable_endpoints():
            if not self._lease.valid():
                return
            try:
                await self._claim(endpoint)
            except exceptions.KvError:
                self._skip_until_s[endpoint] = self._now() + 2.0
                return
            await trio.sleep(len(self._members()) / CLAIMS_PER_S)
        await self._claim_permits()

    async def _claim(self, endpoint):
        held = await self._kv.get(_keys.intent(endpoint))
        intent = _records.Intent()
        if held is not None:
            intent = _records.loads(held.value, _records.Intent)
        others = [
            holder for holder in intent.holders if not self._mine(holder)
        ]
        compares = [
            _kv.Compare(_keys.claim(endpoint), "mod", 0),
            _kv.Compare(
                _keys.intent(endpoint),
                "mod",
                held.mod_revision if held else 0,
            ),
        ]
        puts = self._puts(endpoint, others, self._me, self._lease.number)
        result = await self._kv.txn(compares, puts)
        self._count("claims", "taken" if result.succeeded else "raced")
        self._skip_until_s[endpoint] = self._now() + 1.0

    def _puts(self, endpoint, others, owner, lease):
        claim = _records.Claim(owner.node, owner.incarnation)
        mine = _records.Holder(owner.node, owner.incarnation)
        intent = _records.Intent((*others, mine))
        return [
            _kv.Put(_keys.claim(endpoint), _records.dumps(claim), lease),
            _kv.Put(_keys.intent(endpoint), _records.dumps(intent)),
        ]

    async def _claim_permits(self):
        members = self._members()
        if self._cluster.permits(self._me.region) is not None or not members:
            return
        ranked = _placement.homes("weight-store", tuple(sorted(members)))
        if self._me.node != ranked[0]:
            return
        key = _keys.permits(self._me.region)
        claim = _records.Claim(self._me.node, self._me.incarnation)
        put = _kv.Put(key, _records.dumps(claim), self._lease.number)
        try:
            await self._kv.txn([_kv.Compare(key, "mod", 0)], [put])
        except exceptions.KvError:
            return

    async def record(self, endpoint, fence, adapters):
        """Note the orders about to be given to an endpoint.

        The write succeeds only under this node's claim, so an order that
        is noted was allowed at that moment.

        :raises NotOwner: if the claim is no longer held.
        :raises KvError: if the service did not answer.
        """
        key = _keys.intent(endpoint)
        held = await self._kv.get(key)
        if held is None:
            raise exceptions.NotOwner()
        intent = _records.loads(held.value, _records.Intent)
        mine = _records.Holder(self._me.node, self._me.incarnation, adapters)
        others = [
            holder for holder in intent.holders if not self._mine(holder)
        ]
        compares = [
            _kv.Compare(_keys.claim(endpoint), "mod", fence),
            _kv.Compare(key, "mod", held.mod_revision),
        ]
        intent = _records.Intent((*others, mine))
        put = _kv.Put(key, _records.dumps(intent))
        result = await self._kv.txn(compares, [put])
        if not result.succeeded:
            raise exceptions.NotOwner()

    async def resolve(self, endpoint):
        """Remove this node from the holders of an endpoint it gave up.

        Called once it has nothing running and no order outstanding.

        :returns: whether it is removed.
        """
        key = _keys.intent(endpoint)
        try:
            held = await self._kv.get(key)
            if held is None:
                return True
            intent = _records.loads(held.value, _records.Intent)
            others = tuple(
                holder for holder in intent.holders if not self._mine(holder)
            )
            if others == intent.holders:
                return True
            compare = _kv.Compare(key, "mod", held.mod_revision)
            put = _kv.Put(key, _records.dumps(_records.Intent(others)))
            return (await self._kv.txn([compare], [put])).succeeded
        except exceptions.KvError:
            return False

    async def hand_over(self, endpoint):
        """Give a claim to the best other node.

        :returns: whether the claim moved.
        """
        fence = self.fence(endpoint)
        entry = self._document().endpoints.get(endpoint)
        members = self._members()
        members.pop(self._me.node, None)
        if not fence or entry is None or not members:
            return False
        ranked = ranking(endpoint, entry, members, {}, math.inf)
        if not ranked:
            return False
        target = members[ranked[0]]
        try:
            moved = await self._move(endpoint, fence, target)
        except exceptions.KvError:
            return False
        self._count("claims", "handed_over" if moved else "raced")
        return moved

    async def _move(self, endpoint, fence, target):
        held = await self._kv.get(_keys.intent(endpoint))
        if held is None:
            return False
        intent = _records.loads(held.value, _records.Intent)
        compares = [
            _kv.Compare(_keys.claim(endpoint), "mod", fence),
            _kv.Compare(_keys.intent(endpoint), "mod", held.mod_revision),
        ]
        others = [
            holder
            for holder in intent.holders
            if (holder.node, holder.incarnation)
            != (target.node, target.incarnation)
        ]
        puts = self._puts(endpoint, others, target, target.lease)
        result = await self._kv.txn(compares, puts)
        return result.succeeded
