"""Which node gives orders to which engine, by claims in the store.

One node at a time holds an engine's claim, on its lease; the claim's
revision is the fencing number of its orders.  Beside the claim, without a
lease, is a record of who held it last.  A successor gives no order before
the last holder has replied when it gave its last one, or before that
holder's validity window has expired.
"""

import dataclasses

import trio

from coltsfootsail import _keys
from coltsfootsail import _kv
from coltsfootsail import _logs
from coltsfootsail import _placement
from coltsfootsail import _records
from coltsfootsail import exceptions

STEP_S = 0.25
TURN_S = 1.5  # an absent candidate's turn passes to the next after this
SWEEP_S = 30.0
FORGET_S = 60.0  # entries of live servers are back seconds after an outage
SLACK_S = 0.3  # clocks of two hosts and the way of an order
MEET_S = 1.2  # a new node first lets the others show up in the store


@dataclasses.dataclass(slots=True)
class Held:
    """A claim of this node.

    :param fence: revision of the claim.
    :param orders_from_s: no order may be given before this time.
    :param former: the node that held it before, empty if none did.
    """

    fence: int
    orders_from_s: float
    former: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """Bounds for taking over from another node.

    :param turn_s: orders of two nodes must lie this far apart.
    :param proof_s: how long a holder may trust its last renewal.
    """

    turn_s: float
    proof_s: float


def candidate(key, nodes, owned, cap, turn):
    """Choose who should claim an engine.

    :param key: the engine's address.
    :param nodes: tuple of live nodes' names.
    :param owned: dict of node to the number of engines it holds.
    :param cap: engines that a node should hold at most.
    :param turn: how many candidates have let their turn pass.
    :returns: a node's name, or None.
    """
    ranked = _placement.homes(key, nodes, len(nodes))
    free = [node for node in ranked if owned.get(node, 0) < cap]
    ranked = free or ranked
    return ranked[turn % len(ranked)] if ranked else None


class Claims:
    """The claims of one node.

    :param identity: the node's name and incarnation.
    :param kv: a ``StoreClient``.
    :param lease: a ``NodeLease``.
    :param view: a ``DeploymentView``.
    :param rules: ``Rules``.
    :param now: closure that reads the clock.
    :param ask_release: ``(node, server, fence)`` asks a former holder to
        say when it gave its last order.
    :param on_taken: called when a claim was taken.
    """

    def __init__(
        self, identity, kv, lease, view, rules, now, ask_release, on_taken
    ):
        self._node, self._incarnation = identity
        self._kv = kv
        self._lease = lease
        self._view = view
        self._rules = rules
        self._now = now
        self._ask_release = ask_release
        self._on_taken = on_taken
        self._started_s = now()
        self._free_since = {}
        self._ordered = {}
        self._absent_since = {}
        self._swept_s = now()
        self.held = {}
        self.taking = True

    # -- proof ------------------------------------------------------

    def may_order(self, server):
        """Say whether an order may be given right now."""
        held = self.held.get(server)
        if held is None or not self._lease.valid():
            return False
        return self._now() >= held.orders_from_s

    def fence(self, server):
        """Get the fencing number for orders."""
        return self.held[server].fence

    def note_order(self, server):
        """Note that an order leaves now."""
        self._ordered[server] = self._now()

    def idle_s(self, server):
        """Tell for how long this run has given a server no order."""
        since_s = self._ordered.get(server, self._started_s)
        return self._now() - since_s

    # -- taking over ------------------------------------------------

    def superseded(self, server, fence):
        """Note that another node holds a server's claim.

        :returns: for how long this run has given it no order.
        """
        held = self.held.get(server)
        if held is not None and held.fence < fence:
            self._lose(server, "superseded")
        return self.idle_s(server)

    def released(self, server, fence, idle_s):
        """Take the former holder's reply on its last order."""
        held = self.held.get(server)
        if held is None or held.fence != fence:
            return
        wait_s = max(0.0, self._rules.turn_s + SLACK_S - idle_s)
        held.orders_from_s = min(held.orders_from_s, self._now() + wait_s)
        _logs.state("claim_cleared", server=server, wait_s=round(wait_s, 2))

    def _orders_from_s(self, server, former):
        now_s = self._now()
        if former in ("", self._node):
            return now_s
        longest_s = self._rules.proof_s + self._rules.turn_s + SLACK_S
        return now_s + longest_s

    def _lose(self, server, why):
        if self.held.pop(server, None) is not None:
            _logs.state("claim_lost", server=server, why=why)

    def _check_held(self):
        """Drop claims that the store no longer shows as this run's."""
        for server, held in list(self.held.items()):
            found = self._view.claim(server)
            if server not in self._view.servers:
                self._lose(server, "server gone")
            elif found is None:
                if self._view.revision > held.fence:
                    self._lose(server, "claim gone")
            elif found[1] > held.fence:
                self._lose(server, "another claim")

    def _turn(self, server):
        since_s = self._free_since.setdefault(server, self._now())
        return int((self._now() - since_s) / TURN_S)

    def _wanted(self):
        """List the servers to claim now, with what the store shows."""
        engines = self._view.engine_servers()
        nodes = [
            name
            for name, member in self._view.members().items()
            if not member.draining
        ]
        nodes = tuple(sorted({*nodes, self._node}))
        owned = {}
        for name in engines:
            found = self._view.claim(name)
            if found is not None:
                owned[found[0].node] = owned.get(found[0].node, 0) + 1
        cap = max(1, -(-len(engines) // len(nodes)))
        for name in [name for name in self._free_since if name not in engines]:
            del self._free_since[name]
        for name, server in sorted(engines.items()):
            if name in self.held:
                continue
            found = self._view.claim(name)
            if found is None:
                turn = self._turn(name)
                if self._now() < self._started_s + MEET_S:
                    continue
                chosen = candidate(server.address, nodes, owned, cap, turn)
                if chosen == self._node:
                    owned[chosen] = owned.get(chosen, 0) + 1
                    yield name, 0
                continue
            self._free_since.pop(name, None)
            claim, revision = found
            former_run = claim.incarnation != self._incarnation
            if claim.node == self._node and former_run:
                yield name, revision

    async def _take(self, server, revision):
        former = self._view.last_holder(server)
        claim = _records.Claim(self._node, self._incarnation)
        holder = _records.Holder(self._node, self._incarnation)
        result = await self._kv.txn(
            [_kv.Compare(_keys.claim(server), "mod", revision)],
            # The claim comes last: the answer tells its revision.
            [
                _kv.Put(_keys.intent(server), _records.dumps(holder)),
                _kv.Put(
                    _keys.claim(server),
                    _records.dumps(claim),
                    self._lease.number,
                ),
            ],
        )
        if not result.succeeded:
            return
        self.held[server] = Held(
            result.revision, self._orders_from_s(server, former), former
        )
        _logs.state(
            "claim_taken",
            server=server,
            fence=result.revision,
            former=former,
            wait_s=round(self.held[server].orders_from_s - self._now(), 2),
        )
        self._on_taken()

    def _ask_former(self):
        """Ask former holders until they reply.

        One that has started again since answers for its own run.
        """
        for server, held in self.held.items():
            if self._now() < held.orders_from_s:
                self._ask_release(held.former, server, held.fence)

    async def run(self):
        """Take and check claims for as long as the task runs."""
        await self._view.synced.wait()
        while True:
            self._check_held()
            self._ask_former()
            if self.taking and self._lease.valid():
                for server, revision in list(self._wanted()):
                    try:
                        await self._take(server, revision)
                    except exceptions.KvError as exc:
                        _logs.state("claim_failed", reason=exc.detail)
                        break
            if self._now() - self._swept_s > SWEEP_S:
                self._swept_s = self._now()
                await self._sweep()
            await trio.sleep(STEP_S)

    def _forgettable(self):
        """List the servers whose record of the last holder is stale.

        One node at a time, by rank, removes a record.
        """
        now_s = self._now()
        gone = [
            name
            for name in self._view.previously_claimed()
            if name not in self._view.servers
        ]
        self._absent_since = {
            name: self._absent_since.get(name, now_s) for name in gone
        }
        nodes = tuple(sorted({*self._view.members(), self._node}))
        return [
            name
            for name, since_s in self._absent_since.items()
            if now_s - since_s > FORGET_S
            and candidate(name, nodes, {}, len(gone), 0) == self._node
        ]

    async def _sweep(self):
        oldest_s = self._now() - FORGET_S
        self._ordered = {
            name: at_s
            for name, at_s in self._ordered.items()
            if at_s > oldest_s or name in self._view.servers
        }
        for name in self._forgettable():
            drop = _kv.Delete(_keys.intent(name))
            try:
                await self._kv.txn([], [drop])
            except exceptions.KvError as exc:
                _logs.state("sweep_failed", reason=exc.detail)
                return

    async def release(self):
        """Give all claims back before a planned stop."""
        self.taking = False
        held, self.held = self.held, {}
        for server, claim in held.items():
            compare = _kv.Compare(_keys.claim(server), "mod", claim.fence)
            drop = _kv.Delete(_keys.claim(server))
            try:
                await self._kv.txn([compare], [drop])
            except exceptions.KvError as exc:
                _logs.state("release_failed", reason=exc.detail)
