"""How many nodes share what all nodes may do together.

A node whose registration has expired may still run, and it knows of nodes
that joined or left only through the store.  It therefore loses its share
some time after its last contact to the store, and is counted by the others
until then.  A node that has joined waits until others have seen it.

The code of ``Membership`` has no clock: each call states the time.
"""

import dataclasses
import math

import trio

CHECK_INTERVAL_S = 0.5
# Covers the time between two checks.
CHECK_MARGIN_S = 2 * CHECK_INTERVAL_S
# Nodes that others don't count yet may each do what needs no share.
NODE_COUNT_RESERVE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """How long nodes are given to learn of each other.

    :param join_s: a node that has joined has no share for this time.
    :param contact_hold_s: a node keeps its share for this time without
        contact to the store.
    :param departed_hold_s: a node whose registration has vanished is counted
        for this time.
    :param holds_drained: whether that holds for drained nodes too.
    """

    join_s: float
    contact_hold_s: float
    departed_hold_s: float
    holds_drained: bool = False


class Membership:
    """How many nodes have a share, and whether this one has.

    :param rules: ``Rules``.
    """

    def __init__(self, rules):
        self.rules = rules
        self._members = {}
        self._departed = {}
        self._joined_s = None
        self._contact_s = -math.inf

    def note(self, members, in_contact, now_s):
        """Note the state of the registrations.

        :param members: dict of name to whether the node is draining.
        :param in_contact: whether this node is registered, and knows what
            the store has.
        """
        for name, draining in self._members.items():
            is_held = self.rules.holds_drained or not draining
            if name not in members and is_held:
                self._departed[name] = now_s
        for name, since_s in list(self._departed.items()):
            is_over = now_s >= since_s + self.rules.departed_hold_s
            if name in members or is_over:
                del self._departed[name]
        self._members = dict(members)
        if now_s >= self._contact_s + self.rules.contact_hold_s:
            self._joined_s = None
        if in_contact:
            self._contact_s = now_s
            if self._joined_s is None:
                self._joined_s = now_s

    def count(self, now_s):
        """Count the nodes that have a share.

        :returns: a count, None if this node has none.
        """
        if self._joined_s is None:
            return None
        if now_s < self._joined_s + self.rules.join_s:
            return None
        if now_s >= self._contact_s + self.rules.contact_hold_s:
            return None
        return max(1, len(self._members) + len(self._departed))


def window_rules(window_s, known_s):
    """Make the rules for what counts in a sliding window.

    A node that starts waits until what the process before it has used is
    out of the window, and so are the larger shares of nodes that didn't know
    of it.

    :param window_s: length of the window.
    :param known_s: longest time after which nodes in contact with the store
        know of a registration.
    """
    known_s += CHECK_MARGIN_S
    return Rules(
        join_s=window_s + known_s,
        contact_hold_s=CHECK_MARGIN_S,
        departed_hold_s=window_s + CHECK_MARGIN_S,
        holds_drained=True,
    )


class NodeShare:
    """This node's equal share of what all nodes may do in a window.

    :param name: this node's name.
    :param view: a ``DeploymentView``.
    :param lease: the ``NodeLease``.
    :param window_s: length of the window.
    :param now: closure that reads the clock.
    """

    def __init__(self, name, view, lease, window_s, now):
        self._name = name
        self._view = view
        self._lease = lease
        self._now = now
        self._membership = Membership(self._rules(window_s))

    def _rules(self, window_s):
        return window_rules(window_s, self._view.answer_age_max_s)

    def set_window(self, window_s):
        """Change the length of the window."""
        self._membership.rules = self._rules(window_s)

    def note(self):
        """Note the registrations, and whether they are known."""
        members = self._view.members()
        in_contact = (
            self._name in members
            and self._lease.valid()
            and self._view.answer_age_s() <= self._view.answer_age_max_s
        )
        self._membership.note(
            {name: member.draining for name, member in members.items()},
            in_contact,
            self._now(),
        )

    def share(self):
        """Get the share, from 0 to 1; 0 while this node has none."""
        count = self._membership.count(self._now())
        return 0.0 if count is None else 1.0 / (count + NODE_COUNT_RESERVE)

    async def run(self):
        """Follow the registrations until cancelled."""
        while True:
            self.note()
            await trio.sleep(CHECK_INTERVAL_S)
