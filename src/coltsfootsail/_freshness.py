"""Until when the configuration in force is proven to be the store's.

A proof is the time at which a call was sent whose answer shows the
configuration: the store's, when the call was sent or later.  The time of a
peer's proof is taken from the age that the peer states, counted from when
it was asked.  Delays, and nodes that are suspended meanwhile, only make a
proof seem older than it is.
"""

import itertools
import math
import random

import trio

from coltsfootsail import _wire

PEERS_ASKED = 2
ASK_INTERVAL_S = 0.5
CHECK_INTERVAL_S = 0.1
# The store's operator writes again what a copy lacks within this time.
REWRITE_S = 2.0
CALL_S = 0.4  # of a call to the store, beside the time that it is held
HOLD_MIN_S = 0.05


class Freshness:
    """The latest proof of the configuration in force.

    :param limits: a ``ProofLimits``.
    :param now: closure that reads a clock that also counts the time in which
        the host is suspended.
    """

    def __init__(self, limits, now):
        self.limits = limits
        self._now = now
        self._proven_s = -math.inf
        self._stated_s = -math.inf
        self._answered_s = -math.inf
        self._distrusted_until_s = -math.inf

    @property
    def is_needed(self):
        """Whether requests are refused without a proof."""
        return self.limits.accept_s < math.inf

    def age_s(self):
        """Get the age of the proof, infinite if there is none."""
        return self._now() - self._proven_s

    def answer_age_s(self):
        """Get the time since the last call that the store answered."""
        return self._now() - self._answered_s

    def needs_peers(self):
        """Tell whether the store has given no proof for too long."""
        return self._now() - self._stated_s > self.limits.refuse_s

    def note_proof(self, proven_s):
        """Note the time for which the configuration is proven."""
        self._proven_s = max(self._proven_s, proven_s)

    def note_store_answer(self, sent_s, is_in_force):
        """Note a call to the store whose answer has been applied.

        :param sent_s: when it was sent.
        :param is_in_force: whether the configuration that the store has is
            the one in force.
        """
        self._answered_s = sent_s
        if is_in_force and sent_s >= self._distrusted_until_s:
            self._stated_s = sent_s
            self.note_proof(sent_s)

    def note_new_era(self):
        """Note that the store may lack what it acknowledged."""
        self._distrusted_until_s = self._now() + REWRITE_S

    def watch_wait_s(self, longest_s, pause_s):
        """Choose how long the store may hold a watch.

        The proof is as old as two watches and the pause between them before
        the second is answered.  After a time without the store it is asked
        for an answer at once.

        :param longest_s: without a need for proofs.
        :param pause_s: longest pause between two watches.
        """
        if not self.is_needed:
            return longest_s
        if self._now() - self._answered_s > self.limits.refuse_s:
            return HOLD_MIN_S
        spare_s = self.limits.refuse_s - CALL_S - pause_s
        return max(HOLD_MIN_S, min(longest_s, spare_s / 2))

    def watch_pause_s(self, pause_s):
        """Shorten the pause between watches so that proofs are in time."""
        if not self.is_needed:
            return pause_s
        return min(pause_s, (self.limits.refuse_s - CALL_S) / 2)


class PeerProofs:
    """Asks peers for their proofs while the store gives none.

    :param freshness: a ``Freshness``.
    :param version: closure that gets the version in force.
    :param mesh: a ``Mesh``.
    :param now: closure that reads the clock.
    """

    def __init__(self, freshness, version, mesh, now):
        self._freshness = freshness
        self._version = version
        self._mesh = mesh
        self._now = now
        self._numbers = itertools.count(1)
        self._asked_s = {}

    def answer(self, msg):
        """Make the reply to a ``FreshnessQuery``."""
        return _wire.FreshnessReply(
            msg.number, self._version(), float(self._freshness.age_s())
        )

    def handle_reply(self, node, msg):
        """Handle a ``FreshnessReply``.

        It proves something only of the version that both nodes have.
        """
        sent_s = self._asked_s.pop((node, msg.number), None)
        if sent_s is None or not 0 <= msg.age_s < math.inf:
            return
        if msg.version == self._version():
            self._freshness.note_proof(sent_s - msg.age_s)
        elif msg.version > self._version():
            self._mesh.hasten(node)

    def ask(self):
        """Ask some linked peers, if possible ones that reach the store."""
        heartbeats = self._mesh.heartbeats()
        nodes = [
            node
            for node in self._mesh.linked_nodes()
            if self._mesh.knows(node, _wire.FreshnessQuery)
        ]
        random.shuffle(nodes)
        nodes.sort(key=lambda n: not (n in heartbeats and heartbeats[n].kv_ok))
        now_s = self._now()
        oldest_s = now_s - self._freshness.limits.accept_s
        self._asked_s = {
            asked: at_s
            for asked, at_s in self._asked_s.items()
            if at_s > oldest_s
        }
        number = next(self._numbers)
        for node in nodes[:PEERS_ASKED]:
            if self._mesh.send(node, _wire.FreshnessQuery(number)):
                self._asked_s[node, number] = now_s

    async def run(self):
        """Ask peers while the store gives no proof, until cancelled."""
        while True:
            if self._freshness.needs_peers():
                self.ask()
                await trio.sleep(ASK_INTERVAL_S)
            else:
                await trio.sleep(CHECK_INTERVAL_S)
