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
class AdmissionRequest:
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

    request: AdmissionRequest


@dataclasses.dataclass(frozen=True, slots=True)
class TurnAway:
    """A request was not run and may come back after a while."""

    request: AdmissionRequest
    retry_after_s: float
    reason: str


class AdmissionQueue:
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
        ahead = [
            request for request in self.waiting if request.priority <= priority
        ]
        tokens = sum(request.read_tokens for request in ahead)
        pace_s = tokens * PACE / READ_TOKENS_PER_S
        pace_s += max(0.0, self._next_s - now_s)
        return max(pace_s, self._slot_wait_s(len(ahead)))

    def _slot_wait_s(self, ahead):
        """Estimate the wait for a slot behind some others."""
        excess = len(self.running) + ahead + 1 - self._slots
        return max(0, excess) * self._run_s / self._slots

    def wanted_adapters(self, now_s):
        """List the adapters that requests wait for.

        :returns: pairs of adapter and version, most urgent first.
        """
        found = {}
        for request in sorted(self.waiting, key=lambda a: _order(a, now_s)):
            found.setdefault(request.adapter, request.version)
            found[request.adapter] = max(
                found[request.adapter], request.version
            )
        return list(found.items())

    # -- changes ----------------------------------------------------

    def add(self, request):
        """Queue a request.

        :returns: a ``TurnAway``, or None if it waits now.
        """
        if request.memory_tokens > self._memory:
            return TurnAway(request, 1.0, "larger than the engine")
        if len(self.waiting) >= QUEUE_MAX:
            return TurnAway(request, 1.0, "queue full")
        self.waiting.append(request)
        return None

    def withdraw(self, number, now_s=None):
        """Forget a request that waits or runs.

        :param now_s: when a run ended, if it did so by itself.
        :returns: its ``AdmissionRequest``, or None.
        """
        request = self.running.pop(number, None)
        if request is not None:
            self._used -= request.memory_tokens
            started_s = self._started_s.pop(number)
            if now_s is not None:
                error_s = now_s - started_s - self._run_s
                self._run_s += RUN_WEIGHT * error_s
            return request
        for request in self.waiting:
            if request.number == number:
                self.waiting.remove(request)
                return request
        return None

    def decide(self, now_s, ready):
        """Decide what can be decided now.

        :param ready: ``(adapter, version) -> bool``.
        :returns: list of ``Grant`` and ``TurnAway``.
        """
        decisions = []
        for request in [a for a in self.waiting if now_s >= a.hold_until_s]:
            self.waiting.remove(request)
            retry_s = self.backlog_s(now_s, request.priority)
            decisions.append(TurnAway(request, max(0.3, retry_s), "overload"))
        while self._next_s <= now_s and len(self.running) < self._slots:
            request = self._choose(now_s, ready)
            if request is None:
                break
            self._start(request, now_s)
            decisions.append(Grant(request))
        return decisions

    def _choose(self, now_s, ready):
        best = None
        for request in self.waiting:
            if not ready(request.adapter, request.version):
                continue
            if self._used + request.memory_tokens > self._memory:
                continue
            entry = _order(request, now_s)
            if best is None or entry < best[0]:
                best = (entry, request)
        return best[1] if best else None

    def _start(self, request, now_s):
        self.waiting.remove(request)
        self.running[request.number] = request
        self._started_s[request.number] = now_s
        self._used += request.memory_tokens
        read_s = request.read_tokens / READ_TOKENS_PER_S
        self._next_s = max(now_s, self._next_s) + PACE * read_s

    def next_decision_s(self, now_s):
        """Tell when the next decision may fall due, or None."""
        if not self.waiting:
            return None
        due_s = min(request.hold_until_s for request in self.waiting)
        if self._next_s > now_s:
            due_s = min(due_s, self._next_s)
        return due_s


def _order(request, now_s):
    """Order requests: in time before late, urgent first, then by age."""
    return now_s > request.on_time_s, request.priority, request.number
