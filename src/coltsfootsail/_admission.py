"""Admission control for one engine.

Decides when waiting requests start and which ones are turned away.  The
code does no I/O and has no clock.

Answers waves and bursts beyond what the engine can carry.  An engine
prefills prompts between the decoding steps of its running requests, so
prompts that start too close together delay the next token of every stream.
Requests are therefore admitted at the engine's prefill rate.  Those that
can still meet their objective start first, the more urgent ones before
others.  A request that can't start in time is turned away on arrival, one
that has waited too long later, both with the expected wait as retry time.
Requests that wait for rare adapters to load do not block the others.
Requests of callers that retry are queued like any other.

If the engine names a limit, starts also keep to that rate, and requests
that it makes late are turned away: others can use the starts better.
"""

import collections
import dataclasses
import math

from coltsfootsail import _reading_speed
from coltsfootsail import _token_bucket

PROMPT_SPACING = 1.5  # between starts, in multiples of the prefill time
MEMORY_SHARE = 0.92  # of the memory that running requests may use
MAX_WAIT_OBJECTIVES = 2.2  # longest wait, in multiples of the objective
MAX_WAIT_FLOOR_S = 1.0  # for requests that arrive late from another engine
QUEUE_MAX = 256
RETRY_MIN_S = 0.3  # before a request that waited in vain may come back
INITIAL_RUN_S = 1.5  # mean run time before any run has ended
RUN_EWMA_WEIGHT = 0.1  # of the newest run in the moving average
LIMIT_BURST_S = 0.25  # of a limit's rate, beside one request
# Under a lower limit starts go on at this rate: only an answer can show that
# the limit has ended.
LIMIT_MIN_PER_S = 0.2
LIMIT_WAIT_FLOOR_S = 0.25  # for requests whose objective is near or past
LIMIT_MARGIN_S = 0.05  # by which a start may come later than estimated
# Share of the refusals that a brittle server can bear in ``REFUSALS_S`` after
# which no request starts there for as long.
REFUSALS_SHARE = 0.5
REFUSALS_S = 1.0
LIMIT_REASON = "limit"  # of turning away for the sake of a limit


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request that waits for admission or runs.

    :param number: unique on this engine, in order of arrival.
    :param adapter: adapter key, or the base model's name.
    :param version: lowest adapter version that may serve it.
    :param read_tokens: prompt tokens to prefill; those in the prefix
        cache are not counted.
    :param memory_tokens: upper bound of its use of the engine's memory.
    :param priority: rank of its priority class; lower is more urgent.
    :param arrived_s: when it arrived.
    :param objective_s: when its first event is due.
    :param until_s: when the request expires.
    :param workspace: name of its workspace, empty for none.
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
    workspace: str = ""

    @property
    def reject_at_s(self):
        """When it is turned away if it still waits."""
        objective_wait_s = (
            self.objective_s - self.arrived_s
        ) * MAX_WAIT_OBJECTIVES
        max_wait_s = max(MAX_WAIT_FLOOR_S, objective_wait_s)
        return min(self.until_s, self.arrived_s + max_wait_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The decision to start a request now."""

    request: AdmissionRequest


@dataclasses.dataclass(frozen=True, slots=True)
class TurnAway:
    """The decision to turn away a request, which may be retried later."""

    request: AdmissionRequest
    retry_after_s: float
    reason: str


class AdmissionQueue:
    """The waiting and running requests of one engine.

    :param slots: requests that the engine runs at once.
    :param memory_tokens: tokens that fit into its memory.
    """

    def __init__(self, slots, memory_tokens):
        self._slots = slots
        self._budget_tokens = memory_tokens * MEMORY_SHARE
        self._used_tokens = 0
        self._next_start_s = 0.0
        self._mean_run_s = INITIAL_RUN_S
        self._started_s = {}
        self._reading_speed = _reading_speed.ReadingSpeed()
        self._limit_bucket = None
        self._refused_s = collections.deque()
        self.waiting = []
        self.running = {}

    def set_limit(self, per_s, now_s):
        """Keep starts to a rate.

        :param per_s: starts a second, infinite for no limit.
        """
        if math.isinf(per_s):
            self._limit_bucket = None
            return
        per_s = max(LIMIT_MIN_PER_S, per_s)
        burst = 1.0 + LIMIT_BURST_S * per_s
        if self._limit_bucket is None:
            # Another node may have used up the limit until now.
            self._limit_bucket = _token_bucket.TokenBucket(
                per_s, burst, 0.0, now_s
            )
        elif self._limit_bucket.per_s != per_s:
            self._limit_bucket.set_rate(per_s, burst, now_s)

    def forget_speed(self):
        """Forget how fast the server was, after it has started again."""
        self._mean_run_s = INITIAL_RUN_S
        self._reading_speed = _reading_speed.ReadingSpeed()

    def set_slots(self, slots):
        """Change how many requests run at once."""
        self._slots = slots

    def pause_until(self, until_s):
        """Start no request before a time."""
        self._next_start_s = max(self._next_start_s, until_s)

    def note_refused(self, refusals_per_s, now_s):
        """Note that the server refused a started request for want of room.

        :param refusals_per_s: how many the server can bear, infinite for any
            number.
        """
        self._refused_s.append(now_s)
        while self._refused_s[0] <= now_s - REFUSALS_S:
            self._refused_s.popleft()
        bearable = max(1.0, REFUSALS_SHARE * refusals_per_s * REFUSALS_S)
        if len(self._refused_s) >= bearable:
            self.pause_until(now_s + REFUSALS_S)

    def _reject_at_s(self, request):
        """Get the time when a request is turned away if it still waits."""
        if self._limit_bucket is None:
            return request.reject_at_s
        first_event_s = self._reading_speed.first_event_s(request.read_tokens)
        start_by_s = max(
            request.objective_s - first_event_s,
            request.arrived_s + LIMIT_WAIT_FLOOR_S,
        )
        return min(request.reject_at_s, start_by_s)

    def _limit_wait_s(self, now_s, ahead):
        """Estimate the wait behind ``ahead`` requests under the limit."""
        if self._limit_bucket is None:
            return 0.0
        wait_s = self._limit_bucket.wait_s(now_s, ahead + 1)
        return wait_s and wait_s + LIMIT_MARGIN_S

    def backlog_s(self, now_s, priority=9):
        """Estimate how long a new request would wait for its start.

        The wait is the longest of three: for the prefill of the prompts
        ahead of it, for a free slot, and for the engine's limit.

        :param priority: rank of the request's priority class.
        :returns: seconds.
        """
        ahead = [
            request for request in self.waiting if request.priority <= priority
        ]
        tokens = sum(request.read_tokens for request in ahead)
        prefill_wait_s = PROMPT_SPACING * self._reading_speed.read_s(tokens)
        prefill_wait_s += max(0.0, self._next_start_s - now_s)
        return max(
            prefill_wait_s,
            self._slot_wait_s(len(ahead)),
            self._limit_wait_s(now_s, len(ahead)),
        )

    def _slot_wait_s(self, ahead):
        """Estimate the wait for a slot behind ``ahead`` requests."""
        excess = len(self.running) + ahead + 1 - self._slots
        return max(0, excess) * self._mean_run_s / self._slots

    def wanted_adapters(self, now_s):
        """List the adapters that waiting requests need.

        :returns: pairs of adapter and version, most urgent first.
        """
        versions = {}
        by_urgency = sorted(
            self.waiting, key=lambda request: self._sort_key(request, now_s)
        )
        for request in by_urgency:
            versions.setdefault(request.adapter, request.version)
            versions[request.adapter] = max(
                versions[request.adapter], request.version
            )
        return list(versions.items())

    @property
    def mean_run_s(self):
        """Mean time from the start of a request to its end."""
        return self._mean_run_s

    def adapters_ahead(self, request, now_s):
        """List the adapters of the requests that go before a new one.

        :returns: set of adapter keys, without that of the request.
        """
        key = self._sort_key(request, now_s)
        adapters = {
            waiting.adapter
            for waiting in self.waiting
            if self._sort_key(waiting, now_s) < key
        }
        return adapters - {request.adapter}

    def add(self, request, load_wait_s=0.0):
        """Queue a request, unless it would be turned away later anyway.

        :param load_wait_s: expected wait for the request's adapter.
        :returns: a ``TurnAway``, or None if the request was queued.
        """
        wait_s = max(
            load_wait_s, self.backlog_s(request.arrived_s, request.priority)
        )
        if request.arrived_s + wait_s > self._reject_at_s(request):
            return TurnAway(request, wait_s, self._wait_reason())
        if request.memory_tokens > self._budget_tokens:
            return TurnAway(request, 1.0, "larger than the engine")
        if len(self.waiting) >= QUEUE_MAX:
            return TurnAway(request, 1.0, "queue full")
        self.waiting.append(request)
        return None

    def _wait_reason(self):
        """Get the reason why requests wait for longer than they may."""
        return "overload" if self._limit_bucket is None else LIMIT_REASON

    def withdraw(self, number, now_s=None, first_event_s=None):
        """Remove a waiting or running request.

        :param now_s: when its run ended; None leaves the run out of
            the mean run time.
        :param first_event_s: time from its start to its first event, None
            if it is not known.
        :returns: the ``AdmissionRequest``, or None if it is unknown.
        """
        request = self.running.pop(number, None)
        if request is not None:
            if first_event_s is not None:
                self._reading_speed.add(request.read_tokens, first_event_s)
            self._used_tokens -= request.memory_tokens
            started_s = self._started_s.pop(number)
            if now_s is not None:
                deviation_s = now_s - started_s - self._mean_run_s
                self._mean_run_s += RUN_EWMA_WEIGHT * deviation_s
            return request
        for request in self.waiting:
            if request.number == number:
                self.waiting.remove(request)
                return request
        return None

    def decide(self, now_s, is_ready, load_wait_s=lambda request: 0.0):
        """Turn away overdue requests and start those that may start.

        :param is_ready: ``(adapter, version) -> bool``, whether the engine
            can serve that version now.
        :param load_wait_s: ``(request) -> float``, expected wait for a
            request's adapter.
        :returns: list of ``Grant`` and ``TurnAway``.
        """
        decisions = []
        for request in [
            r for r in self.waiting if now_s >= self._reject_at_s(r)
        ]:
            self.waiting.remove(request)
            retry_s = max(
                RETRY_MIN_S,
                self.backlog_s(now_s, request.priority),
                load_wait_s(request),
            )
            reason = self._wait_reason()
            decisions.append(TurnAway(request, retry_s, reason))
        while self._next_start_s <= now_s and len(self.running) < self._slots:
            request = self._next_startable(now_s, is_ready)
            if request is None or not self._take_from_limit(now_s):
                break
            self._admit(request, now_s)
            decisions.append(Grant(request))
        return decisions

    def _take_from_limit(self, now_s):
        bucket = self._limit_bucket
        return bucket is None or bucket.try_take(now_s)

    def _next_startable(self, now_s, is_ready):
        best = None
        for request in self.waiting:
            if not is_ready(request.adapter, request.version):
                continue
            if self._used_tokens + request.memory_tokens > self._budget_tokens:
                continue
            key = self._sort_key(request, now_s)
            if best is None or key < best[0]:
                best = (key, request)
        return best[1] if best else None

    def _admit(self, request, now_s):
        self.waiting.remove(request)
        self.running[request.number] = request
        self._started_s[request.number] = now_s
        self._used_tokens += request.memory_tokens
        prefill_s = self._reading_speed.read_s(request.read_tokens)
        self._next_start_s = (
            max(now_s, self._next_start_s) + PROMPT_SPACING * prefill_s
        )

    def next_decision_s(self, now_s):
        """Get the time of the next possible decision.

        :returns: a time, or None if no request waits.
        """
        if not self.waiting:
            return None
        due_s = min(self._reject_at_s(request) for request in self.waiting)
        start_s = max(self._next_start_s, self._limit_start_s(now_s))
        if start_s > now_s:
            due_s = min(due_s, start_s)
        return due_s

    def _limit_start_s(self, now_s):
        """Get the time of the next start that the limit allows."""
        bucket = self._limit_bucket
        return now_s if bucket is None else now_s + bucket.wait_s(now_s)

    def _sort_key(self, request, now_s):
        """Order by: objective still reachable, priority class, arrival."""
        first_event_s = self._reading_speed.first_event_s(request.read_tokens)
        is_late = now_s + first_event_s > request.objective_s
        return is_late, request.priority, request.number
