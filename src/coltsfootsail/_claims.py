"""Ownership of engines by claims in the key-value store.

Only the node that holds an engine's claim gives it orders.  The claim is
attached to the node's lease, and its revision is the fencing number of
the orders.  A second record without a lease names the last holder.  A
successor gives no order before the last holder has reported when it gave
its last one, or before the last holder's lease can no longer be valid.  A
third record names the nodes that it waits for until then, for a successor
of its own, or for itself after a restart.

When the store comes back from an older copy, it may have lost claims and
the records of their holders.  All claims are then taken again, and no node
gives an order until no lease of the era before can be valid.  A record of
the era tells nodes that start later that this time has passed.
"""

import dataclasses
import math

import trio

from coltsfootsail import _eras
from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _logs
from coltsfootsail import _placement
from coltsfootsail import _records
from coltsfootsail import exceptions

CHECK_INTERVAL_S = 0.25
CANDIDATE_TURN_S = 1.5  # time for a candidate to claim before the next may
SWEEP_INTERVAL_S = 30.0
FORGET_AFTER_S = 60.0  # live servers register again seconds after an outage
CLOCK_SLACK_S = 0.3  # for clock differences and the transit of an order
STARTUP_DELAY_S = 1.2  # lets other new nodes register before the first claim


@dataclasses.dataclass(slots=True)
class HeldClaim:
    """A claim of this node.

    :param era: era of the store in which it was taken.
    :param revision: revision of the claim in that era.
    :param may_order_until_s: for each node that held it before, when that
        node can no longer order; no order may be given earlier.
    :param wait_is_recorded: whether the store has a record of these nodes.
    """

    era: int
    revision: int
    may_order_until_s: dict[str, float]
    wait_is_recorded: bool

    @property
    def orders_from_s(self):
        """The time before which no order may be given."""
        return max(self.may_order_until_s.values(), default=-math.inf)

    @property
    def fence(self):
        """Fencing number of the orders under this claim."""
        return _eras.fencing_number(self.era, self.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverRules:
    """Time bounds for taking over from another node.

    :param turn_s: least time between the orders of two nodes.
    :param lease_valid_s: how long a holder relies on its last lease renewal.
    """

    turn_s: float
    lease_valid_s: float


def choose_claimant(key, nodes, claim_counts, cap, turn):
    """Choose the node that should claim an engine.

    Nodes at the cap are chosen only if all nodes are at it.

    :param key: the engine's address.
    :param nodes: tuple of live nodes' names.
    :param claim_counts: dict of node to the number of engines it holds.
    :param cap: engines that a node should hold at most.
    :param turn: number of candidates that have missed their turn.
    :returns: a node's name, or None.
    """
    ranked = _placement.rendezvous_ranking(key, nodes, len(nodes))
    below_cap = [node for node in ranked if claim_counts.get(node, 0) < cap]
    ranked = below_cap or ranked
    return ranked[turn % len(ranked)] if ranked else None


class EngineClaims:
    """Takes, checks and releases the engine claims of one node.

    :param identity: the node's name and incarnation.
    :param kv: a ``StoreClient``.
    :param lease: a ``NodeLease``.
    :param view: a ``DeploymentView``.
    :param rules: ``TakeoverRules``.
    :param now: closure that reads the clock.
    :param request_release: ``(node, server, fence)``, asks a former
        holder when it gave its last order.
    :param on_change: called after a claim was taken or given up.
    :param is_cut_off: ``(server, node) -> bool``, whether a node is cut off
        from a server that others reach.
    """

    def __init__(
        self,
        identity,
        kv,
        lease,
        view,
        rules,
        now,
        request_release,
        on_change,
        is_cut_off,
    ):
        self._node, self._incarnation = identity
        self._kv = kv
        self._lease = lease
        self._view = view
        self._rules = rules
        self._now = now
        self._request_release = request_release
        self._on_change = on_change
        self._is_cut_off = is_cut_off
        self._started_s = now()
        self._unclaimed_since_s = {}
        self._last_order_s = {}
        self._unanswered = set()
        self._absent_since_s = {}
        self._successors = {}
        self._refused_at = {}
        self._last_sweep_s = now()
        self._era_orders_from_s = now()
        self.held = {}
        self.may_take_claims = True

    def may_order(self, server):
        """Tell whether an order may be given now."""
        held = self.held.get(server)
        if held is None or held.era != self._kv.era:
            return False
        if not self._lease.valid():
            return False
        return self._now() >= max(held.orders_from_s, self._era_orders_from_s)

    def begin_era(self):
        """Give no orders until holders of the era before can't any more.

        Claims are kept until they are taken again, or taken by another
        node, so that loaded adapters go on being used.
        """
        self._era_orders_from_s = self._now() + self._max_holder_wait_s()
        _logs.state(
            "orders_suspended",
            wait_s=self._max_holder_wait_s(),
            claims=sorted(self.held),
        )

    def _max_holder_wait_s(self):
        """Get the time after which a holder's lease can't be valid."""
        return self._rules.lease_valid_s + self._rules.turn_s + CLOCK_SLACK_S

    def _is_current(self, server):
        """Tell whether this node holds a claim of the store's era."""
        held = self.held.get(server)
        return held is not None and held.era == self._kv.era

    def fence(self, server):
        """Get the fencing number of the orders for a server."""
        return self.held[server].fence

    def note_order(self, server):
        """Note that an order is sent now."""
        self._last_order_s[server] = self._now()
        self._unanswered.add(server)

    def note_answer(self, server):
        """Note that a server has answered an order or a later call.

        An order that it left unanswered may have arrived only now.
        """
        if server in self._unanswered:
            self._unanswered.discard(server)
            self._last_order_s[server] = self._now()

    def idle_s(self, server):
        """Get the seconds since an order of this process can have arrived.

        An order without an answer may still arrive.
        """
        if server in self._unanswered:
            return 0.0
        since_s = self._last_order_s.get(server, self._started_s)
        return self._now() - since_s

    def superseded(self, server, fence, successor=""):
        """Note that another node holds a server's claim.

        :param successor: name of that node, empty if it is not known.
        :returns: seconds since an order of this process can have arrived.
        """
        held = self.held.get(server)
        if held is not None and held.fence < fence:
            self._drop_claim(server, "superseded")
        if successor and fence > self._successors.get(server, ("", 0))[1]:
            self._successors[server] = successor, fence
        return self.idle_s(server)

    def successor(self, server):
        """Get the node that holds a server's claim in place of this one.

        A node that is cut off from the store knows it from the successor.

        :returns: tuple of its name and fencing number; empty and 0 if none
            is known.
        """
        stored = self._view.claim(server)
        known = self._successors.get(server, ("", 0))
        if stored is None or stored[0].node == self._node:
            return known
        fence = _eras.fencing_number(self._view.era, stored[1])
        return max(known, (stored[0].node, fence), key=lambda pair: pair[1])

    def released(self, node, server, fence, idle_s):
        """Apply a former holder's reply about its last order.

        :param idle_s: seconds since that order.
        """
        held = self.held.get(server)
        if held is None or held.fence != fence:
            return
        if node not in held.may_order_until_s:
            return
        wait_s = max(0.0, self._rules.turn_s + CLOCK_SLACK_S - idle_s)
        held.may_order_until_s[node] = min(
            held.may_order_until_s[node], self._now() + wait_s
        )
        _logs.state(
            "claim_cleared", server=server, node=node, wait_s=round(wait_s, 2)
        )

    def _former_holders(self, server):
        """List the other nodes whose orders may still reach a server."""
        holder, _ = self._view.last_holder(server)
        wait, _ = self._view.wait(server)
        nodes = {holder.node} if holder else set()
        if wait:
            nodes.update(wait.nodes)
        return tuple(sorted(nodes - {self._node}))

    def _drop_claim(self, server, why):
        if self.held.pop(server, None) is not None:
            _logs.state("claim_lost", server=server, why=why)

    def _drop_lost_claims(self):
        """Drop claims that the store no longer shows as this process's."""
        for server, held in list(self.held.items()):
            stored = self._view.claim(server)
            if server not in self._view.servers:
                self._drop_claim(server, "server gone")
            elif self._view.era < held.era:
                continue  # the view shows an earlier state of the store
            elif self._view.era > held.era:
                if stored is not None and stored[0].node != self._node:
                    self._drop_claim(server, "another claim")
            elif stored is None:
                if self._view.revision > held.revision:
                    self._drop_claim(server, "claim gone")
            elif stored[1] > held.revision:
                self._drop_claim(server, "another claim")

    def _candidate_turn(self, server):
        since_s = self._unclaimed_since_s.setdefault(server, self._now())
        return int((self._now() - since_s) / CANDIDATE_TURN_S)

    def _claims_to_take(self):
        """List the servers to claim now.

        These are unclaimed engines for which this node is chosen, and
        engines whose stored claim names this node although it holds none:
        it has restarted, the answer to its claim was lost, or the store
        came back from a copy.

        :returns: pairs of server and the revision of the claim to replace,
            0 if there is none.
        """
        engines = self._view.engine_servers()
        nodes = self._candidates()
        claim_counts = {}
        for name in engines:
            stored = self._view.claim(name)
            if stored is not None:
                claim_counts[stored[0].node] = (
                    claim_counts.get(stored[0].node, 0) + 1
                )
        cap = max(1, -(-len(engines) // len(nodes)))
        for name in [
            name for name in self._unclaimed_since_s if name not in engines
        ]:
            del self._unclaimed_since_s[name]
        for name, server in sorted(engines.items()):
            if self._is_current(name):
                continue
            stored = self._view.claim(name)
            if stored is None:
                turn = self._candidate_turn(name)
                if self._now() < self._started_s + STARTUP_DELAY_S:
                    continue
                chosen = choose_claimant(
                    server.address,
                    self._reaching(name, nodes),
                    claim_counts,
                    cap,
                    turn,
                )
                if chosen == self._node:
                    claim_counts[chosen] = claim_counts.get(chosen, 0) + 1
                    yield name, 0
                continue
            self._unclaimed_since_s.pop(name, None)
            claim, revision = stored
            if claim.node == self._node and not self._should_give_up(name):
                yield name, revision

    def _candidates(self):
        """List the names of the nodes that may take claims."""
        nodes = [
            name
            for name, member in self._view.members().items()
            if not member.draining
        ]
        return tuple(sorted({*nodes, self._node}))

    def _reaching(self, server, nodes):
        """Select the nodes that are not cut off from a server, if any."""
        reaching = [n for n in nodes if not self._is_cut_off(server, n)]
        return tuple(reaching) or nodes

    def _should_give_up(self, server):
        """Tell whether another node can reach a server and this one can't."""
        if not self._is_cut_off(server, self._node):
            return False
        return self._node not in self._reaching(server, self._candidates())

    async def _give_up_claims(self):
        """Release the claims on servers that only other nodes reach."""
        for server in [s for s in self.held if self._should_give_up(s)]:
            claim = self.held.get(server)
            if claim is None:
                continue  # released while the store answered for another
            self._drop_claim(server, "cut off")
            self._on_change()
            await self._delete_claim(server, claim)

    async def _take_claim(self, server, revision):
        """Take a claim if the store is as the view shows it.

        :param revision: of the claim to replace, 0 if there is none.
        :returns: whether it was taken.
        :raises KvError: if that is not known.
        """
        former = self._former_holders(server)
        claim = _records.Claim(self._node, self._incarnation)
        result = await self._kv.txn(
            [
                _kv.Compare(_keys.claim(server), "mod", revision),
                _kv.Compare(
                    _keys.intent(server),
                    "mod",
                    self._view.last_holder(server)[1],
                ),
            ],
            [
                *self._record_holders(server, former),
                # The claim is put last, so that the result has its revision.
                _kv.Put(
                    _keys.claim(server),
                    _records.dumps(claim),
                    self._lease.number,
                ),
            ],
        )
        if not result.succeeded:
            return False
        until_s = self._now() + self._max_holder_wait_s()
        self.held[server] = HeldClaim(
            self._kv.era,
            result.revision,
            dict.fromkeys(former, until_s),
            bool(former),
        )
        _logs.state(
            "claim_taken",
            server=server,
            fence=self.held[server].fence,
            former=",".join(former),
            wait_s=round(self._orders_wait_s(server), 2),
        )
        if not self.may_take_claims:
            # The node began to stop while the store answered.
            await self.release()
            return False
        self._on_change()
        return True

    def _record_holders(self, server, former):
        """List the operations that record this node and who it waits for."""
        holder = _records.Holder(self._node, self._incarnation)
        operations = [_kv.Put(_keys.intent(server), _records.dumps(holder))]
        if former:
            wait = _records.Wait(former)
            operations.append(
                _kv.Put(_keys.wait(server), _records.dumps(wait))
            )
        elif self._view.wait(server)[0]:
            operations.append(_kv.Delete(_keys.wait(server)))
        return operations

    def _orders_wait_s(self, server):
        orders_from_s = max(
            self.held[server].orders_from_s, self._era_orders_from_s
        )
        return max(0.0, orders_from_s - self._now())

    def _ask_former_holders(self):
        """Ask former holders for their last order until they reply.

        A node that has restarted since replies for its new incarnation.
        """
        now_s = self._now()
        for server, held in self.held.items():
            if not self._is_current(server):
                continue
            for node, until_s in held.may_order_until_s.items():
                if now_s < until_s:
                    self._request_release(node, server, held.fence)

    async def run(self):
        """Take and check claims until cancelled."""
        await self._view.synced.wait()
        if self._view.settled_era()[0].era < self._view.era:
            self.begin_era()
        while True:
            self._drop_lost_claims()
            self._ask_former_holders()
            view_is_current = self._view.era == self._kv.era
            if view_is_current and self._lease.valid():
                await self._give_up_claims()
                await self._take_claims()
                await self._delete_past_waits()
                await self._settle_era()
            if self._now() - self._last_sweep_s > SWEEP_INTERVAL_S:
                self._last_sweep_s = self._now()
                await self._sweep()
            await trio.sleep(CHECK_INTERVAL_S)

    async def _take_claims(self):
        position = self._view.era, self._view.revision
        for server, revision in list(self._claims_to_take()):
            # After a refusal, the view has to show first why.
            if self._refused_at.get(server) == position:
                continue
            if not self.may_take_claims:
                return
            try:
                if not await self._take_claim(server, revision):
                    self._refused_at[server] = position
            except exceptions.KvError as exc:
                _logs.state("claim_failed", reason=exc.detail)
                return

    async def _delete_past_waits(self):
        """Delete the records of waits that are over."""
        for server, held in list(self.held.items()):
            is_over = self._now() >= held.orders_from_s
            if not (held.wait_is_recorded and is_over):
                continue
            compare = _kv.Compare(_keys.claim(server), "mod", held.revision)
            deletion = _kv.Delete(_keys.wait(server))
            try:
                await self._kv.txn([compare], [deletion])
            except exceptions.KvError as exc:
                _logs.state("wait_not_deleted", reason=exc.detail)
                return
            held.wait_is_recorded = False

    async def _settle_era(self):
        """Record that no holder of an earlier era can give orders."""
        settled, revision = self._view.settled_era()
        era = self._view.era
        if settled.era >= era or self._now() < self._era_orders_from_s:
            return
        nodes = self._candidates()
        if choose_claimant(_keys.ERA, nodes, {}, 1, 0) != self._node:
            return
        compare = _kv.Compare(_keys.ERA, "mod", revision)
        record = _records.dumps(_records.SettledEra(era))
        try:
            await self._kv.txn([compare], [_kv.Put(_keys.ERA, record)])
        except exceptions.KvError as exc:
            _logs.state("era_not_recorded", reason=exc.detail)

    def _stale_holder_records(self):
        """List the servers whose last-holder record this node should delete.

        A record is stale once its server has been absent for a while; one
        node, chosen by rendezvous hash, deletes it.
        """
        now_s = self._now()
        absent = [
            name
            for name in self._view.previously_claimed()
            if name not in self._view.servers
        ]
        self._absent_since_s = {
            name: self._absent_since_s.get(name, now_s) for name in absent
        }
        nodes = tuple(sorted({*self._view.members(), self._node}))
        return [
            name
            for name, since_s in self._absent_since_s.items()
            if now_s - since_s > FORGET_AFTER_S
            and choose_claimant(name, nodes, {}, len(absent), 0) == self._node
        ]

    async def _sweep(self):
        oldest_s = self._now() - FORGET_AFTER_S
        self._successors = {
            name: successor
            for name, successor in self._successors.items()
            if name in self._view.servers
        }
        self._last_order_s = {
            name: ordered_s
            for name, ordered_s in self._last_order_s.items()
            if ordered_s > oldest_s or name in self._view.servers
        }
        self._unanswered &= self._last_order_s.keys()
        self._refused_at = {
            name: position
            for name, position in self._refused_at.items()
            if name in self._view.servers
        }
        for name in self._stale_holder_records():
            deletions = [
                _kv.Delete(_keys.intent(name)),
                _kv.Delete(_keys.wait(name)),
            ]
            try:
                await self._kv.txn([], deletions)
            except exceptions.KvError as exc:
                _logs.state("sweep_failed", reason=exc.detail)
                return

    async def release(self):
        """Delete all claims before a planned stop."""
        self.may_take_claims = False
        held, self.held = self.held, {}
        for server, claim in held.items():
            if claim.era == self._kv.era:
                await self._delete_claim(server, claim)

    async def _delete_claim(self, server, claim):
        """Delete a claim from the store, unless another has replaced it."""
        compare = _kv.Compare(_keys.claim(server), "mod", claim.revision)
        deletion = _kv.Delete(_keys.claim(server))
        try:
            await self._kv.txn([compare], [deletion])
        except exceptions.KvError as exc:
            _logs.state("release_failed", reason=exc.detail)
