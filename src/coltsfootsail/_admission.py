"""When an engine's waiting requests may start, and which are turned away.

Pure: state and time in, decisions out.  An engine reads prompts between
the tokens of its running requests, so prompts that start too close
together stretch the pauses of every stream; requests are therefore let in
at the pace at which the engine reads.  It answers these loads: a burst of
one kind of request (the more urgent first, the rest refused at once with a
retry time), rare adapters all at once (those that wait for a load do not
hold up the others), and callers that come back (they queue like all).
"""

import dataclasses

PACE = 1.5  # time between prompts over the time to read them
READ_TOKENS_PER_S = 19000.0  # prior of an engine's reading speed
FIRST_EVENT_S = 0.12  # from a start on an idle engine to its first event
MEMORY_SHARE = 0.92  # of the memory that running requests may fill
HOLD_OBJECTIVES = 2.2  # waits longer than this many objectives are ended
HOLD_MIN_S = 1.0  # also for what came late from another engine
QUEUE_MAX = 256
RUN_S = 1.5  # prior of how long a request runs
RUN_WEIGHT = 0.1  # of the newest in the mean time of a run


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A request that wants to start.

    :param number: unique on this engine, in order of arrival.
    :param adapter: adapter key, or the model's name.
    :param version: lowest version that may serve it.
    :param read_tokens: prompt tokens that must be read.
    :param memory_tokens: what it may fill of the engine's memory.
    :param objective_s: when its first event should be there.
    :param until_s: when the request expires.
    """

    number: int
    adapter: str
    version: int
    read_tokens: int
    memory_tokens: int
    priority: int
    arrived_s: float
    objective_s: float
    until_s: float

    @property
    def on_time_s(self):
        """Latest start for a first event within the objective."""
        read_s = self.read_tokens / READ_TOKENS_PER_S
        return self.objective_s - FIRST_EVENT_S - read_s

    @property
    def hold_until_s(self):
        """When it is refused with a retry time."""
        length_s = (self.objective_s - self.arrived_s) * HOLD_OBJECTIVES
        hold_s = max(HOLD_MIN_S, length_s)
        return min(self.until_s, self.arrived_s + hold_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A request may start now."""

    ask: Ask


@dataclasses.dataclass(frozen=True, slots=True)
class TurnAway:
    """A request was not run and may come back after a while."""

    ask: Ask
    retry_after_s: float
    reason: str


class Admission:
    """The queue of one engine.

    :param slots: requests that it runs at once.
    :param memory_tokens: tokens that fit its memory.
    """

    def __init__(self, slots, memory_tokens):
        self._slots = slots
        self._memory = memory_tokens * MEMORY_SHARE
        self._used = 0
        self._next_s = 0.0
        self._run_s = RUN_S
        self._started_s = {}
        self.waiting = []
        self.running = {}

    # -- queries ----------------------------------------------------

    def backlog_s(self, now_s, priority=9):
        """Estimate how long a request would wait for its start.

        It waits for prompts to be read, and for a slot.
        """
        ahead = [ask for ask in self.waiting if ask.priority <= priority]
        tokens = sum(ask.read_tokens for ask in ahead)
        pace_s = tokens * PACE / READ_TOKENS_PER_S
        pace_s += max(0.0, self._next_s - now_s)
        return max(pace_s, self._slot_wait_s(len(ahead)))

    def _slot_wait_s(self, ahead):
        """Estimate the wait for a slot behind some others."""
        excess = len(self.running) + ahead + 1 - self._slots
        return max(0, excess) * self._run_s / self._slots

    def wanted(self, now_s):
        """List the adapters that requests wait for.

        :returns: pairs of adapter and version, most urgent first.
        """
        found = {}
        for ask in sorted(self.waiting, key=lambda a: _order(a, now_s)):
            found.setdefault(ask.adapter, ask.version)
            found[ask.adapter] = max(found[ask.adapter], ask.version)
        return list(found.items())

    # -- changes ----------------------------------------------------

    def add(self, ask):
        """Queue a request.

        :returns: a ``TurnAway``, or None if it waits now.
        """
        if ask.memory_tokens > self._memory:
            return TurnAway(ask, 1.0, "larger than the engine")
        if len(self.waiting) >= QUEUE_MAX:
            return TurnAway(ask, 1.0, "queue full")
        self.waiting.append(ask)
        return None

    def withdraw(self, number, now_s=None):
        """Forget a request that waits or runs.

        :param now_s: when a run ended, if it did so by itself.
        :returns: its ``Ask``, or None.
        """
        ask = self.running.pop(number, None)
        if ask is not None:
            self._used -= ask.memory_tokens
            started_s = self._started_s.pop(number)
            if now_s is not None:
                error_s = now_s - started_s - self._run_s
                self._run_s += RUN_WEIGHT * error_s
            return ask
        for ask in self.waiting:
            if ask.number == number:
                self.waiting.remove(ask)
                return ask
        return None

    def step(self, now_s, ready):
        """Decide what can be decided now.

        :param ready: ``(adapter, version) -> bool``.
        :returns: list of ``Grant`` and ``TurnAway``.
        """
        decisions = []
        for ask in [a for a in self.waiting if now_s >= a.hold_until_s]:
            self.waiting.remove(ask)
            retry_s = self.backlog_s(now_s, ask.priority)
            decisions.append(TurnAway(ask, max(0.3, retry_s), "overload"))
        while self._next_s <= now_s and len(self.running) < self._slots:
            ask = self._choose(now_s, ready)
            if ask is None:
                break
            self._start(ask, now_s)
            decisions.append(Grant(ask))
        return decisions

    def _choose(self, now_s, ready):
        best = None
        for ask in self.waiting:
            if not ready(ask.adapter, ask.version):
                continue
            if self._used + ask.memory_tokens > self._memory:
                continue
            entry = _order(ask, now_s)
            if best is None or entry < best[0]:
                best = (entry, ask)
        return best[1] if best else None

    def _start(self, ask, now_s):
        self.waiting.remove(ask)
        self.running[ask.number] = ask
        self._started_s[ask.number] = now_s
        self._used += ask.memory_tokens
        read_s = ask.read_tokens / READ_TOKENS_PER_S
        self._next_s = max(now_s, self._next_s) + PACE * read_s

    def wake_s(self, now_s):
        """Tell when the next decision may fall due, or None."""
        if not self.waiting:
            return None
        due_s = min(ask.hold_until_s for ask in self.waiting)
        if self._next_s > now_s:
            due_s = min(due_s, self._next_s)
        return due_s


def _order(ask, now_s):
    """Order requests: in time before late, urgent first, then by age."""
    return now_s > ask.on_time_s, ask.priority, ask.number
