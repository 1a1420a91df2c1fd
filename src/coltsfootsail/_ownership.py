"""Claims endpoints for this node and hands them over.

A claim is a key attached to the node's lease and taken by
compare-and-swap; its mod revision is the fencing number.  A second
record, the intent, lists all nodes that may still use the endpoint; it is
not attached to a lease and so outlives the claims.
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

CLAIM_INTERVAL_S = 0.5
RANK_DELAY_S = 1.0  # wait before a claim per higher-ranked node
LOAD_FACTOR = 1.25
ORDER_EXPIRY_S = 60.0  # an unanswered order takes no effect after this
CLAIMS_PER_S = 50.0  # by all nodes of a region together


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Name, incarnation and location of a node.

    :param incarnation: identifies one run of the node's process.
    """

    node: str
    incarnation: str
    region: str
    data_centre: str


def max_endpoints_per_node(endpoints, nodes):
    """Return how many endpoints one node may own at most.

    Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with
    Bounded Loads", 2018.
    """
    return math.ceil(LOAD_FACTOR * endpoints / max(1, nodes))


def rank_candidates(endpoint, entry, members, counts, limit):
    """Rank the members that may claim an endpoint.

    Members in the endpoint's data centre come before the others.

    :param members: dict of name to ``Member``, without draining ones.
    :param counts: dict of name to number of endpoints owned.
    :param limit: nodes that own this many are left out.
    :returns: list of names, best first.
    """
    near, far = [], []
    for name, member in members.items():
        if counts.get(name, 0) >= limit:
            continue
        same_data_centre = member.data_centre == entry.data_centre
        (near if same_data_centre else far).append(name)
    return _placement.rank_nodes(endpoint, near, far)


class Ownership:
    """Takes claims on endpoints and transfers them to other nodes.

    :param identity: ``Identity`` of this node.
    :param kv: a ``KvClient``.
    :param cluster: a ``ClusterView``.
    :param lease: a ``NodeLease``.
    :param document: ``() -> Document``, of the active configuration.
    :param ended_for_s: ``(node, incarnation) -> seconds`` since that run of
        the node is known to have ended; negative while it may run.
    :param now: callable that returns the current time in seconds.
    :param count: ``(counter, reason)``.
    """

    def __init__(
        self, identity, kv, cluster, lease, document, ended_for_s, now, count
    ):
        self._identity = identity
        self._kv = kv
        self._cluster = cluster
        self._lease = lease
        self._document = document
        self._ended_for_s = ended_for_s
        self._now = now
        self._count = count
        self._region_engines_document = None
        self._region_engines = {}
        self._vacant_since_s = {}
        self._skip_until_s = {}

    def _is_own(self, record):
        return (record.node, record.incarnation) == (
            self._identity.node,
            self._identity.incarnation,
        )

    def fence(self, endpoint):
        """Get the fencing number of this node's claim; 0 without one."""
        claim = self._cluster.claim(endpoint)
        if claim is None or not self._is_own(claim.record):
            return 0
        return claim.revision

    def owner(self, endpoint):
        """Get the node that owns an endpoint, or None."""
        claim = self._cluster.claim(endpoint)
        return claim.record.node if claim else None

    def earlier_holders(self, endpoint, request_timeout_s):
        """List earlier holders that may still use an endpoint.

        Once a node's run has ended, its requests end within the request
        timeout and its orders take no effect after ``ORDER_EXPIRY_S``.

        :returns: tuple of ``Holder``; one whose orders have expired has no
            adapters.
        """
        intent = self._cluster.intent(endpoint)
        if intent is None:
            return ()
        earlier = [
            self._without_expired_orders(holder)
            for holder in intent.record.holders
            if not self._is_own(holder)
        ]
        return tuple(
            holder
            for holder in earlier
            if holder.adapters
            or self._ended_for_s(holder.node, holder.incarnation)
            <= request_timeout_s
        )

    def _without_expired_orders(self, holder):
        ended_for_s = self._ended_for_s(holder.node, holder.incarnation)
        if ended_for_s <= ORDER_EXPIRY_S:
            return holder
        return dataclasses.replace(holder, adapters=())

    def _eligible_members(self):
        return {
            name: member
            for name, member in self._cluster.members().items()
            if member.region == self._identity.region and not member.draining
        }

    def region_engines(self):
        """List the engines that nodes of this region may own.

        :returns: dict of name to entry, cached for each document.
        """
        document = self._document()
        if self._region_engines_document is not document:
            kind = _document.EndpointKind.ENGINE
            self._region_engines_document = document
            self._region_engines = {
                name: entry
                for name, entry in document.endpoints.items()
                if entry.kind is kind
                and entry.region in ("", self._identity.region)
            }
        return self._region_engines

    def _owned_counts(self, engines):
        counts = {}
        for endpoint in engines:
            owner = self.owner(endpoint)
            if owner is not None:
                counts[owner] = counts.get(owner, 0) + 1
        return counts

    def claimable_endpoints(self):
        """List the vacant endpoints that this node should claim now."""
        members = self._eligible_members()
        if self._identity.node not in members:
            return []
        engines = self.region_engines()
        counts = self._owned_counts(engines)
        limit = max_endpoints_per_node(len(engines), len(members))
        claimable = []
        for endpoint, entry in engines.items():
            if self.owner(endpoint) is not None:
                self._vacant_since_s.pop(endpoint, None)
                continue
            ranked = rank_candidates(endpoint, entry, members, counts, limit)
            if self._is_turn(endpoint, ranked):
                claimable.append(endpoint)
        return claimable

    def _is_turn(self, endpoint, ranked):
        now_s = self._now()
        since_s = self._vacant_since_s.setdefault(endpoint, now_s)
        if self._identity.node not in ranked:
            return False
        if self._skip_until_s.get(endpoint, 0.0) > now_s:
            return False
        delay_s = RANK_DELAY_S * ranked.index(self._identity.node)
        return now_s - since_s >= delay_s

    async def run(self, may_claim):
        """Claim vacant endpoints and the weight store until cancelled.

        :param may_claim: ``() -> bool``, false while the node drains.
        """
        while True:
            if may_claim() and self._lease.valid() and self._lease.kv_ok:
                await self._claim_vacant()
            await trio.sleep(_kv.jittered(CLAIM_INTERVAL_S))

    async def _claim_vacant(self):
        for endpoint in self.claimable_endpoints():
            if not self._lease.valid():
                return
            try:
                await self._claim(endpoint)
            except exceptions.KvError:
                self._skip_until_s[endpoint] = self._now() + 2.0
                return
            await trio.sleep(len(self._eligible_members()) / CLAIMS_PER_S)
        await self._claim_weight_store()

    async def _claim(self, endpoint):
        stored = await self._kv.get(_keys.intent(endpoint))
        intent = _records.Intent()
        if stored is not None:
            intent = _records.loads(stored.value, _records.Intent)
        others = [
            holder for holder in intent.holders if not self._is_own(holder)
        ]
        compares = [
            _kv.Compare(_keys.claim(endpoint), "mod", 0),
            _kv.Compare(
                _keys.intent(endpoint),
                "mod",
                stored.mod_revision if stored else 0,
            ),
        ]
        puts = self._claim_puts(
            endpoint, others, self._identity, self._lease.number
        )
        result = await self._kv.txn(compares, puts)
        self._count("claims", "taken" if result.succeeded else "raced")
        self._skip_until_s[endpoint] = self._now() + 1.0

    def _claim_puts(self, endpoint, others, owner, lease):
        claim = _records.Claim(owner.node, owner.incarnation)
        new_holder = _records.Holder(owner.node, owner.incarnation)
        intent = _records.Intent((*others, new_holder))
        return [
            _kv.Put(_keys.claim(endpoint), _records.dumps(claim), lease),
            _kv.Put(_keys.intent(endpoint), _records.dumps(intent)),
        ]

    async def _claim_weight_store(self):
        members = self._eligible_members()
        if (
            self._cluster.permit_claim(self._identity.region) is not None
            or not members
        ):
            return
        ranked = _placement.rendezvous_ranking(
            "weight-store", tuple(sorted(members))
        )
        if self._identity.node != ranked[0]:
            return
        key = _keys.permits(self._identity.region)
        claim = _records.Claim(self._identity.node, self._identity.incarnation)
        put = _kv.Put(key, _records.dumps(claim), self._lease.number)
        try:
            await self._kv.txn([_kv.Compare(key, "mod", 0)], [put])
        except exceptions.KvError:
            return

    async def record_orders(self, endpoint, fence, adapters):
        """Record the orders that are about to be sent to an endpoint.

        The write succeeds only while this node holds the claim, so a
        recorded order was allowed at that moment.

        :param fence: the fencing number of this node's claim.
        :param adapters: the adapters named by the orders.
        :raises NotOwner: if the claim is no longer held.
        :raises KvError: if the KV service did not answer.
        """
        key = _keys.intent(endpoint)
        stored = await self._kv.get(key)
        if stored is None:
            raise exceptions.NotOwner()
        intent = _records.loads(stored.value, _records.Intent)
        new_holder = _records.Holder(
            self._identity.node, self._identity.incarnation, adapters
        )
        others = [
            holder for holder in intent.holders if not self._is_own(holder)
        ]
        compares = [
            _kv.Compare(_keys.claim(endpoint), "mod", fence),
            _kv.Compare(key, "mod", stored.mod_revision),
        ]
        intent = _records.Intent((*others, new_holder))
        put = _kv.Put(key, _records.dumps(intent))
        result = await self._kv.txn(compares, [put])
        if not result.succeeded:
            raise exceptions.NotOwner()

    async def remove_holder(self, endpoint):
        """Remove this node from the holders of an endpoint it gave up.

        Called once this node has no request running and no order in
        flight there.

        :returns: whether the node is no longer listed.
        """
        key = _keys.intent(endpoint)
        try:
            stored = await self._kv.get(key)
            if stored is None:
                return True
            intent = _records.loads(stored.value, _records.Intent)
            others = tuple(
                holder for holder in intent.holders if not self._is_own(holder)
            )
            if others == intent.holders:
                return True
            compare = _kv.Compare(key, "mod", stored.mod_revision)
            put = _kv.Put(key, _records.dumps(_records.Intent(others)))
            return (await self._kv.txn([compare], [put])).succeeded
        except exceptions.KvError:
            return False

    async def hand_over(self, endpoint):
        """Transfer a claim to the highest-ranked other node.

        :returns: whether the claim was transferred.
        """
        fence = self.fence(endpoint)
        entry = self._document().endpoints.get(endpoint)
        members = self._eligible_members()
        members.pop(self._identity.node, None)
        if not fence or entry is None or not members:
            return False
        ranked = rank_candidates(endpoint, entry, members, {}, math.inf)
        if not ranked:
            return False
        successor = members[ranked[0]]
        try:
            transferred = await self._transfer_claim(
                endpoint, fence, successor
            )
        except exceptions.KvError:
            return False
        self._count("claims", "handed_over" if transferred else "raced")
        return transferred

    async def _transfer_claim(self, endpoint, fence, successor):
        stored = await self._kv.get(_keys.intent(endpoint))
        if stored is None:
            return False
        intent = _records.loads(stored.value, _records.Intent)
        compares = [
            _kv.Compare(_keys.claim(endpoint), "mod", fence),
            _kv.Compare(_keys.intent(endpoint), "mod", stored.mod_revision),
        ]
        others = [
            holder
            for holder in intent.holders
            if (holder.node, holder.incarnation)
            != (successor.node, successor.incarnation)
        ]
        puts = self._claim_puts(endpoint, others, successor, successor.lease)
        result = await self._kv.txn(compares, puts)
        return result.succeeded
