"""The state of each server, from all that it states about itself.

A server states things in its registration and in its answers, which may
disagree and come in any order.  ``_RULES`` lists the states; of those whose
statement is in force, the first one holds.  Leaving is never taken back:
either statement of it is enough.  All statements are bound to the server's
name, which is new with each start, so that another server at the same
address has stated nothing yet.

What a server states of leaving is told to all nodes.  How long it is busy
concerns this node only, but an engine's owner is told: one that has asked
several nodes for a pause is taken to want nothing from any, so that requests
need not wait for it in vain.
"""

import enum
import random

from coltsfootsail import _logs
from coltsfootsail import _wire

FORGET_AFTER_S = 600.0  # after a server was last registered
# Callers that are turned away while all servers are busy come back within
# this share of the wait after its end.
RETURN_SPREAD_SHARE = 0.25
RETURN_SPREAD_MIN_S = 0.2
# Nodes that have not heard of a server's restart may still tell for this time
# what it stated before.
RESTART_NEWS_S = 3.0
BUSY_NODES_MIN = 2  # nodes that a server asks for a pause, to be busy for all


class State(enum.StrEnum):
    """What a server may be sent."""

    GONE = "gone"
    LEAVING = "leaving"
    BUSY = "busy"
    LIMITED = "limited"
    BRITTLE = "brittle"
    COLD = "cold"
    READY = "ready"


TAKES_REQUESTS = frozenset(
    {State.LIMITED, State.BRITTLE, State.COLD, State.READY}
)
_UNAVAILABLE = frozenset({State.GONE, State.LEAVING})


def spread_return_s(wait_s):
    """Choose when a caller may come back who was turned away for a wait."""
    spread_s = max(RETURN_SPREAD_MIN_S, RETURN_SPREAD_SHARE * wait_s)
    return wait_s + random.uniform(0.0, spread_s)


class ServerStates:
    """The servers' states as this node knows them.

    ``generation`` increases whenever a server begins to leave.

    :param view: a ``DeploymentView``.
    :param limits: the node's ``ServerLimits`` of requests.
    :param refusals: the node's ``ServerLimits`` of refusals.
    :param now: closure that reads the clock.
    :param count: ``(counter, reason)``.
    :param on_closed: ``(server name)``, called when a server states that it
        takes no more requests for good or for a while.
    :param tell_all: ``(message)``, sends to all nodes.
    :param tell_owner: ``(message)``, sends to the owner of its server.
    """

    def __init__(
        self,
        view,
        limits,
        refusals,
        now,
        count,
        on_closed,
        tell_all,
        tell_owner,
    ):
        self._view = view
        self._limits = limits
        self._refusals = refusals
        self._now = now
        self._count = count
        self._on_closed = on_closed
        self._tell_all = tell_all
        self._tell_owner = tell_owner
        self._leaving = {}
        self._busy_until_s = {}
        self._told_busy_s = {}
        self._cold = {}
        self._problems = {}
        self._restarted_s = {}
        self.generation = 0

    def state(self, name):
        """Get a server's ``State``."""
        for state, holds in _RULES:
            if holds(self, name):
                return state
        return State.READY

    def takes_requests(self, name):
        """Tell whether a server may be sent a request now."""
        return self.state(name) in TAKES_REQUESTS

    def is_unavailable(self, name):
        """Tell whether a server is gone or leaving."""
        return self.state(name) in _UNAVAILABLE

    def available_servers(self, service):
        """List a service's servers that do not leave, also busy ones."""
        return [
            server
            for server in self._view.available_servers(service)
            if server.name not in self._leaving
        ]

    def busy_s(self, name):
        """Get the time until a server takes requests, 0 if it is not busy."""
        return max(0.0, self._busy_until_s.get(name, 0.0) - self._now())

    def is_cold(self, name):
        """Tell whether a server is still slow after its start."""
        return self._now() < self._cold.get(name, (0.0, 0.0))[1]

    def describe_closed(self, service):
        """Name the servers of a service that take no requests, for the log.

        :returns: text, empty if there are none.
        """
        servers = self._view.servers
        return " ".join(
            f"{name}:{self.state(name)}"
            for name in self._leaving.keys() | self._busy_until_s.keys()
            if name in servers
            and servers[name].service == service
            and not self.takes_requests(name)
        )

    def soonest_s(self, service):
        """Get the time until the first busy server takes requests.

        :returns: seconds, or None if none of the service is busy.
        """
        waits_s = [
            self.busy_s(server.name)
            for server in self.available_servers(service)
        ]
        return min((each for each in waits_s if each), default=None)

    def note_answer(self, name, statements, status):
        """Note the head of a server's answer.

        :param statements: a ``messages.Statements``.
        :param status: the status of the answer.
        """
        self._record_problems(name, statements.problems)
        if statements.leaving and self.note_leaving(name, f"answer {status}"):
            self._tell_all(_wire.ServerLeaving(name))
        if statements.retry_after_s:
            self._note_busy(name, statements.retry_after_s)

    def _record_problems(self, name, problems):
        """Log what can't be read of a server's answers when it changes."""
        if problems == self._problems.get(name, ()):
            return
        self._problems[name] = problems
        for problem in problems:
            _logs.state("statement_unreadable", server=name, reason=problem)

    def note_leaving(self, name, source):
        """Note that a server leaves.

        :param source: where this was read, for the log.
        :returns: whether it was not known before.
        """
        is_new = name not in self._leaving
        self._leaving[name] = self._now()
        if is_new:
            self.generation += 1
            self._record(name, State.LEAVING, source, None)
            self._on_closed(name)
        return is_new

    def _has_just_restarted(self, name):
        restarted_s = self._restarted_s.get(name)
        if restarted_s is None:
            return False
        return self._now() < restarted_s + RESTART_NEWS_S

    def learn_leaving(self, name, node):
        """Note that a server told another node that it leaves."""
        if not self._has_just_restarted(name):
            self.note_leaving(name, f"node {node}")

    def forget(self, name):
        """Forget what a server stated before it started again."""
        self._restarted_s[name] = self._now()
        for table in (
            self._leaving,
            self._busy_until_s,
            self._told_busy_s,
            self._cold,
            self._problems,
        ):
            table.pop(name, None)
        self.generation += 1

    def _note_busy(self, name, retry_after_s):
        before_s = self.busy_s(name)
        if retry_after_s <= before_s:
            return
        self._busy_until_s[name] = self._now() + retry_after_s
        if not before_s:
            self._record(name, State.BUSY, "answer 503", retry_after_s)
            self._on_closed(name)
        self._tell_owner(_wire.ServerBusy(name, float(retry_after_s)))

    def learn_busy(self, msg, node):
        """Note that an engine of this node asked another node for a pause.

        :param msg: a ``ServerBusy``.
        """
        if self._has_just_restarted(msg.server):
            return
        now_s = self._now()
        told_s = {
            each: until_s
            for each, until_s in self._told_busy_s.get(msg.server, {}).items()
            if until_s > now_s
        }
        told_s[node] = now_s + msg.for_s
        before_s = self.busy_for_all_s(msg.server)
        self._told_busy_s[msg.server] = told_s
        if not before_s and self.busy_for_all_s(msg.server):
            self._on_closed(msg.server)

    def busy_for_all_s(self, name):
        """Get the time for which an engine is taken to be busy for all nodes.

        :returns: seconds, 0.0 unless it asked several nodes for a pause.
        """
        told_s = sorted(self._told_busy_s.get(name, {}).values())
        if len(told_s) < BUSY_NODES_MIN:
            return 0.0
        return max(0.0, told_s[-BUSY_NODES_MIN] - self._now())

    def _record(self, name, state, source, for_s):
        self._count("server_statements", state.value)
        _logs.state(
            "server_statement",
            server=name,
            state=state.value,
            source=source,
            for_s=for_s,
        )

    def note_servers(self):
        """Note what the registrations state."""
        for name, server in self._view.servers.items():
            if server.draining:
                self.note_leaving(name, "registration")
            elif name in self._leaving:
                self._leaving[name] = self._now()
            if self._cold.get(name, (0.0, 0.0))[0] != server.cold_left_s:
                until_s = self._now() + server.cold_left_s
                self._cold[name] = server.cold_left_s, until_s

    def stated_leaving(self):
        """List the servers that leave, though their registration does not say.

        :returns: list of names.
        """
        registered = self._view.servers
        return [
            name
            for name in self._leaving
            if name in registered and not registered[name].draining
        ]

    def sweep(self):
        """Forget the servers that left long ago."""
        oldest_s = self._now() - FORGET_AFTER_S
        registered = self._view.servers
        for name in [
            name
            for name, seen_s in self._leaving.items()
            if name not in registered and seen_s < oldest_s
        ]:
            del self._leaving[name]
        for table in (
            self._busy_until_s,
            self._told_busy_s,
            self._cold,
            self._problems,
            self._restarted_s,
        ):
            for name in [name for name in table if name not in registered]:
                if not self.busy_s(name):
                    del table[name]


# The first state that holds is the server's.
_RULES = (
    (State.GONE, lambda states, name: name not in states._view.servers),
    (State.LEAVING, lambda states, name: name in states._leaving),
    (State.BUSY, lambda states, name: states.busy_s(name) > 0.0),
    (State.LIMITED, lambda states, name: states._limits.is_limited(name)),
    (
        State.BRITTLE,
        lambda states, name: states._refusals.is_limited(name),
    ),
    (State.COLD, lambda states, name: states.is_cold(name)),
)
