"""Nodes that share a retry budget, with a store that they see late."""

import dataclasses
import itertools
import random

from coltsfootsail import _membership
from coltsfootsail import _retries
from tests import retry_windows

STEP_S = 0.1
TTL_S = 8.0  # of registrations
DRAIN_S = 3.0  # for which the registration of a node that stops is seen
LEASE_S = 6.0  # for which a node relies on a renewal
RENEW_S = 1.5
ANSWER_AGE_MAX_S = 5.8  # of what a node knows of the store
RELOAD_S = 2.0  # by when a node has changed bounds
BOUNDS = _retries.WindowBounds(0.2, 58.0, 10.0)
SERVICE = "shop"


@dataclasses.dataclass(frozen=True)
class _Member:
    draining: bool


class Node:
    """One process of a node; it is its own view and its own lease."""

    def __init__(self, world, name):
        self.name = name
        self._world = world
        self._members = {}
        self._read_s = self._renewed_s = -100.0
        self._renew_at_s = world.now_s
        self._read_at_s = world.now_s
        self.answer_age_max_s = ANSWER_AGE_MAX_S
        self.share = _membership.NodeShare(
            name, self, self, world.bounds.window_s, world.now
        )
        self.reload_at_s = 0.0
        self.budget = _retries.WindowBudget(
            world.bounds, self.share.share, world.now
        )

    def members(self):
        return self._members

    def answer_age_s(self):
        return self._world.now_s - self._read_s

    def valid(self):
        return self._world.now_s < self._renewed_s + LEASE_S

    def step(self):
        """Renew the registration, read the store and apply settings."""
        now_s, world = self._world.now_s, self._world
        if self.name not in world.cut:
            if now_s >= self._renew_at_s:
                world.registered_s[self.name] = self._renewed_s = now_s
                self._renew_at_s = now_s + RENEW_S
            if now_s >= self._read_at_s:
                self._members = world.members()
                self._read_s = now_s
                self._read_at_s = now_s + world.rng.uniform(0.2, 5.6)
        if self.reload_at_s and now_s >= self.reload_at_s:
            self.reload_at_s = 0.0
            self.share.set_window(world.bounds.window_s)
            self.budget.set_bounds(world.bounds)
        self.share.note()


class World:
    """The nodes, the store, and what callers and servers have seen.

    :param count: number of nodes at the beginning.
    :param seed: of delays and whatever else is random.
    """

    def __init__(self, count, seed):
        self.rng = random.Random(seed)
        self.now_s = 1000.0
        self.bounds = BOUNDS
        self._replaced = []  # pairs of bounds and their last time of use
        self.registered_s = {}
        self.drained_s = {}
        self.cut = set()
        self.nodes = {}
        self.starts = {f"n{number}": 0.0 for number in range(count)}
        self._numbers = itertools.count()
        self.requests_s = []
        self.retries_s = []

    def now(self):
        return self.now_s

    def members(self):
        """Get the registrations that the store has."""
        found = {}
        for name, renewed_s in self.registered_s.items():
            drained_s = self.drained_s.get(name)
            end_s = renewed_s + TTL_S
            if drained_s is not None:
                end_s = drained_s + DRAIN_S
            if self.now_s < end_s:
                found[name] = _Member(drained_s is not None)
        return found

    def _pick(self, number):
        """Choose a node, None if all are down."""
        names = sorted(self.nodes)
        return names[number % len(names)] if names else None

    def calm(self, duration_s, calls_per_s):
        """Let time pass in which no request needs a retry.

        :param calls_per_s: requests of callers to each node.
        """
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self._step(calls_per_s)

    def failing(self, duration_s, calls_per_s):
        """Let time pass in which nodes send all the retries that they may."""
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self._step(calls_per_s)
            for node in self.nodes.values():
                while node.budget.spend(SERVICE):
                    self.retries_s.append(self.now_s)

    def _step(self, calls_per_s):
        self.now_s += STEP_S
        for name, start_s in list(self.starts.items()):
            if self.now_s >= start_s:
                del self.starts[name]
                self.nodes[name] = Node(self, name)
        for node in self.nodes.values():
            node.step()
            wanted = calls_per_s * STEP_S + self.rng.random()
            for _ in range(int(wanted)):
                self.requests_s.append(self.now_s)
                node.budget.request(SERVICE)

    def kill(self, number, down_s):
        """Kill a node; another process starts later."""
        name = self._pick(number)
        if name:
            del self.nodes[name]
            self.starts[name] = self.now_s + down_s

    def kill_all(self, down_s):
        """Kill all nodes."""
        while self.nodes:
            self.kill(0, down_s)

    def join(self, count):
        """Add nodes."""
        for _ in range(count):
            self.starts[f"j{next(self._numbers)}"] = self.now_s

    def remove(self, count):
        """Remove nodes for good, after a drain."""
        for name in sorted(self.nodes)[: min(count, len(self.nodes) - 1)]:
            del self.nodes[name]
            self.drained_s[name] = self.now_s

    def cut_off(self, count):
        """Cut some nodes off from the store, and join all others to it."""
        self.cut = set(sorted(self.nodes)[:count])

    def set_bounds(self, ratio, extra):
        """Change the bounds; each node learns of it at a time of its own."""
        self._replaced.append((self.bounds, self.now_s + RELOAD_S))
        self.bounds = _retries.WindowBounds(ratio, extra, BOUNDS.window_s)
        for node in self.nodes.values():
            node.reload_at_s = self.now_s + self.rng.uniform(0.0, RELOAD_S)

    def _bounds_at(self, start_s):
        """Get what any of the bounds used since then allows."""
        used = [bounds for bounds, end_s in self._replaced if end_s > start_s]
        used.append(self.bounds)
        return retry_windows.Bounds(
            max(bounds.ratio for bounds in used),
            max(bounds.extra for bounds in used),
            BOUNDS.window_s,
        )

    def worst_window(self):
        """Find the window that exceeds the bounds most, None for none."""
        return retry_windows.worst_window(
            self.requests_s, self.retries_s, self._bounds_at
        )
