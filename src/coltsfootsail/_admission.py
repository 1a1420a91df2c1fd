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

Requests of one priority share the engine fairly between workspaces.  While a
request of a workspace waits, the start of every waiting request is projected
on each arrival and decision, and those that can no longer start in time are
turned away at once.  Without workspaces requests are only turned away on
arrival, or once they have waited too long.

If the engine names a limit, starts also keep to that rate, and requests
that it makes late are turned away: others can use the starts better.
"""

import collections
import dataclasses
import math
import typing

from coltsfootsail import _fair_share
from coltsfootsail import _large_requests
from coltsfootsail import _projection
from coltsfootsail import _reading_speed
from coltsfootsail import _return_times
from coltsfootsail import _token_bucket

PROMPT_SPACING = 1.5  # between starts, in multiples of the prefill time
MEMORY_SHARE = 0.92  # of the memory that running requests may use
MAX_WAIT_OBJECTIVES = 2.2  # longest wait, in multiples of the objective
MAX_WAIT_FLOOR_S = 1.0  # for requests that arrive late from another engine
QUEUE_MAX = 256
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
# Reasons of turning away.
LIMIT_REASON = "limit"
OVERLOAD_REASON = "overload"
DISPLACED_REASON = "displaced"
MEMORY_REASON = "larger than the engine"
QUEUE_REASON = "queue full"
# A queued request is turned away early only if its expected wait exceeds the
# time left to it by this much: the estimate may be too long.
EARLY_FACTOR = 1.1
EARLY_MARGIN_S = 0.05
# The same for those that wait for adapter slots: when one becomes free depends
# on the requests that are still to come for the adapters that are held.
EARLY_LOAD_FACTOR = 2.0
RUNS_LEARNED = 5  # ended runs from which the mean run time may be trusted
SWAPS_MAX = 3  # requests that yield for their work, in one decision
# Share of the time left to a request after which memory is kept free for it.
MEMORY_WAIT_SHARE = 0.5
WORK_MIN_S = 0.001
# Adapters that only requests this far above their workspace's fair share
# wait for may be unloaded for others.
YIELD_LEAD_S = 0.1
TOKEN_KEPT_SHARE = 0.96  # of the weight of earlier runs, by each ended one


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
    :param output_tokens: expected length of its answer, 0 if not known.
    :param load_work_s: engine time for loading its adapter.
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
    output_tokens: int = 0
    load_work_s: float = 0.0

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


class _Place(typing.NamedTuple):
    """The place of a waiting request in the order of starts.

    :param is_late: whether it can no longer meet its objective.
    :param start_tag: from the fair share of its workspace.
    """

    is_late: bool
    priority: int
    start_tag: float
    number: int
    request: AdmissionRequest
    work_s: float = 0.0


def _no_loads(requests):
    return [0.0] * len(requests)


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
        self._shares = collections.defaultdict(_fair_share.FairShare)
        self._large_requests = _large_requests.LargeRequests()
        self._return_times = _return_times.ReturnTimes()
        self._charged_run_s = {}
        self._ended_runs = 0
        self._ended_run_s = 0.0
        self._ended_tokens = 0.0
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

    def _expected_run_s(self, request):
        """Estimate the time from a request's start to its end."""
        if not request.output_tokens or not self._ended_tokens:
            return self._mean_run_s
        return request.output_tokens * self._ended_run_s / self._ended_tokens

    def _work_s(self, request):
        """Estimate the engine time that a request takes.

        A run shares the engine with those in the other slots.
        """
        work_s = self._reading_speed.read_s(request.read_tokens)
        work_s += self._expected_run_s(request) / self._slots
        if self._limit_bucket is not None:
            work_s += 1.0 / self._limit_bucket.per_s
        return max(WORK_MIN_S, work_s + request.load_work_s)

    def _order(self, requests, now_s):
        """Sort requests into the order in which they are to start.

        :returns: list of ``_Place``.
        """
        if not any(request.workspace for request in requests):
            keys = [
                (*self._sort_key(request, now_s), request)
                for request in requests
            ]
            return [
                _Place(is_late, priority, 0.0, number, request)
                for is_late, priority, number, request in sorted(keys)
            ]
        groups = collections.defaultdict(list)
        for request in requests:
            is_late, priority, number = self._sort_key(request, now_s)
            entry = is_late, number, request, self._work_s(request)
            groups[priority].append(entry)
        places = []
        for priority, group in groups.items():
            group.sort()
            start_tags = self._shares[priority].start_tags(
                [
                    (request.workspace, work_s)
                    for _, _, request, work_s in group
                ]
            )
            places.extend(
                _Place(is_late, priority, tag, number, request, work_s)
                for (is_late, number, request, work_s), tag in zip(
                    group, start_tags, strict=True
                )
            )
        return sorted(places)

    def wanted_adapters(self, now_s):
        """List the adapters that waiting requests need.

        :returns: pairs of adapter and version, most urgent first.
        """
        versions = {}
        for place in self._order(self.waiting, now_s):
            request = place.request
            versions.setdefault(request.adapter, request.version)
            versions[request.adapter] = max(
                versions[request.adapter], request.version
            )
        return list(versions.items())

    def yielding_adapters(self, now_s):
        """Get the adapters that may be unloaded although requests want them.

        All of these requests are above the fair share of their workspaces.

        :returns: set of adapter keys.
        """
        if not self._is_shared():
            return set()
        leads_s = {}
        for place in self._order(self.waiting, now_s):
            share = self._shares[place.priority]
            leads_s.setdefault(
                place.request.adapter, share.lead_s(place.start_tag)
            )
        return {name for name, s in leads_s.items() if s > YIELD_LEAD_S}

    def _is_shared(self):
        """Tell whether requests of workspaces wait."""
        return any(request.workspace for request in self.waiting)

    @property
    def mean_run_s(self):
        """Mean time from the start of a request to its end."""
        return self._mean_run_s

    def adapters_ahead(self, request, now_s):
        """List the adapters of the requests that go before a new one.

        :returns: set of adapter keys, without that of the request.
        """
        adapters = set()
        for place in self._order([*self.waiting, request], now_s):
            if place.request is request:
                break
            adapters.add(place.request.adapter)
        return adapters - {request.adapter}

    def add(self, request, load_wait_s=0.0, load_waits_s=_no_loads):
        """Queue a request, unless it would be turned away later anyway.

        Those that it displaces are turned away by the next decision.

        :param load_wait_s: expected wait for the request's adapter.
        :param load_waits_s: ``(requests) -> list``, expected waits for the
            adapters of requests that start in this order.
        :returns: a ``TurnAway``, or None if the request was queued.
        """
        if request.memory_tokens > self._budget_tokens:
            return TurnAway(request, 1.0, MEMORY_REASON)
        if request.workspace or self._is_shared():
            rejection = self._reject_shared(request, load_waits_s)
        else:
            rejection = self._reject_unshared(request, load_wait_s)
        if rejection is None:
            self.waiting.append(request)
            self._shares[request.priority].join(request.workspace)
        return rejection

    def _reject_unshared(self, request, load_wait_s):
        wait_s = max(
            load_wait_s, self.backlog_s(request.arrived_s, request.priority)
        )
        if request.arrived_s + wait_s > self._reject_at_s(request):
            return TurnAway(request, wait_s, self._wait_reason())
        if len(self.waiting) >= QUEUE_MAX:
            return TurnAway(request, 1.0, QUEUE_REASON)
        return None

    def _reject_shared(self, request, load_waits_s):
        now_s = request.arrived_s
        self._large_requests.note_asked(self._work_s(request))
        order = self._order([*self.waiting, request], now_s)
        for place, wait_s in self._overdue(
            order, now_s, load_waits_s, request
        ):
            if place.request is request:
                reason = self._wait_reason()
                return self._turn_away(request, now_s, wait_s, reason)
        if len(order) > QUEUE_MAX and order[-1].request is request:
            wait_s = self.backlog_s(now_s, request.priority)
            return self._turn_away(request, now_s, wait_s, QUEUE_REASON)
        return None

    def _turn_away(self, request, now_s, wait_s, reason):
        """Turn away a request with a return time of its own."""
        spacing_s = max(
            PROMPT_SPACING * self._reading_speed.read_s(request.read_tokens),
            self._mean_run_s / self._slots,
        )
        if self._limit_bucket is not None:
            spacing_s = max(spacing_s, 1.0 / self._limit_bucket.per_s)
        retry_s = self._return_times.retry_after_s(
            request.priority, now_s, wait_s, spacing_s
        )
        return TurnAway(request, retry_s, reason)

    def _overdue(self, order, now_s, load_waits_s, newest=None):
        """Find the requests that are to be turned away now.

        :param newest: the request that arrives now, None for none.
        :returns: list of ``_Place`` and expected wait.
        """
        swapped = []
        while True:
            may_swap = len(swapped) < SWAPS_MAX
            overdue, swap = self._project(
                order, now_s, load_waits_s, newest, may_swap
            )
            if swap is None:
                return swapped + overdue
            swapped.append(swap)
            order = [place for place in order if place is not swap[0]]

    def _project(self, order, now_s, load_waits_s, newest, may_swap):
        """Project the starts of requests and find those that come too late.

        :returns: tuple of the list of ``_Place`` and wait of those, and the
            same of one before them that is to go in their stead, or None.
        """
        projection = _projection.Projection(self._bindings(now_s))
        load_waits = load_waits_s([place.request for place in order])
        ahead, overdue = [], []
        for place, load_wait_s in zip(order, load_waits, strict=True):
            request = place.request
            wait_s = projection.wait_s(request, load_wait_s)
            left_s = self._reject_at_s(request) - now_s
            is_new = request is newest
            factor = EARLY_FACTOR
            if wait_s <= load_wait_s:
                factor = EARLY_LOAD_FACTOR
            if not ahead or self._ended_runs < RUNS_LEARNED:
                factor = math.inf
            if self._may_stay(wait_s, left_s, is_new, factor):
                projection.add(request, load_wait_s)
                ahead.append(place)
                continue
            swap = None
            if may_swap and left_s > 0.0 and wait_s > load_wait_s:
                swap = self._costlier(place, ahead, now_s)
            if swap is not None:
                without_s = projection.wait_without_s(request, swap.request)
                if without_s <= left_s:
                    return [], (swap, wait_s)
            overdue.append((place, wait_s))
        return overdue, None

    def _bindings(self, now_s):
        limit_starts, s_per_start = math.inf, 0.0
        if self._limit_bucket is not None:
            s_per_start = 1.0 / self._limit_bucket.per_s
            wait_s = self._limit_bucket.wait_s(now_s, QUEUE_MAX)
            limit_starts = QUEUE_MAX - wait_s / s_per_start
        return _projection.Bindings(
            pause_s=max(0.0, self._next_start_s - now_s),
            read_s_per_token=PROMPT_SPACING * self._reading_speed.read_s(1),
            slots=self._slots - len(self.running),
            s_per_slot=self._mean_run_s / self._slots,
            memory=self._budget_tokens - self._used_tokens,
            s_per_memory=self._mean_run_s / max(1.0, self._budget_tokens),
            limit_starts=limit_starts,
            s_per_start=s_per_start,
        )

    def _may_stay(self, wait_s, left_s, is_new, factor):
        """Tell whether a request may wait for longer.

        :param factor: on the time left to it; infinite while the wait is not
            known or nothing competes with it.
        """
        if left_s <= 0.0:
            return False
        if is_new:
            return wait_s <= left_s
        return wait_s <= left_s * factor + EARLY_MARGIN_S

    def _costlier(self, place, ahead, now_s):
        """Find the request that needs more work for the time left to it.

        Only requests of the same priority and workspace are compared: this
        workspace is the one most above its fair share.

        :returns: a ``_Place``, or None if it is ``place`` itself.
        """
        workspace = place.request.workspace
        if not workspace:
            return None
        candidates = [
            each
            for each in ahead
            if each.priority == place.priority
            and each.is_late == place.is_late
            and each.request.workspace == workspace
            and self._large_requests.may_yield(each.work_s)
        ]
        costliest = max(
            [place, *candidates], key=lambda each: self._cost(each, now_s)
        )
        return None if costliest is place else costliest

    def _cost(self, place, now_s):
        left_s = self._reject_at_s(place.request) - now_s
        return place.work_s / max(WORK_MIN_S, left_s)

    def _wait_reason(self):
        """Get the reason why requests wait for longer than they may."""
        is_limited = self._limit_bucket is not None
        return LIMIT_REASON if is_limited else OVERLOAD_REASON

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
            charged_run_s = self._charged_run_s.pop(number)
            if now_s is not None:
                self._note_run(request, now_s - started_s, charged_run_s)
            return request
        for request in self.waiting:
            if request.number == number:
                self._remove_waiting(request)
                return request
        return None

    def _remove_waiting(self, request):
        self.waiting.remove(request)
        self._shares[request.priority].leave(request.workspace)

    def _note_run(self, request, run_s, charged_run_s):
        """Learn from a run, and charge its workspace what it took."""
        self._mean_run_s += RUN_EWMA_WEIGHT * (run_s - self._mean_run_s)
        self._ended_runs += 1
        if request.output_tokens:
            self._ended_run_s = TOKEN_KEPT_SHARE * self._ended_run_s + run_s
            self._ended_tokens *= TOKEN_KEPT_SHARE
            self._ended_tokens += request.output_tokens
        self._shares[request.priority].correct(
            request.workspace, (run_s - charged_run_s) / self._slots
        )

    def decide(
        self,
        now_s,
        is_ready,
        load_wait_s=lambda request: 0.0,
        load_waits_s=_no_loads,
    ):
        """Turn away overdue requests and start those that may start.

        :param is_ready: ``(adapter, version) -> bool``, whether the engine
            can serve that version now.
        :param load_wait_s: ``(request) -> float``, expected wait for a
            request's adapter.
        :param load_waits_s: as for ``add``.
        :returns: list of ``Grant`` and ``TurnAway``.
        """
        if self._is_shared():
            decisions = self._turn_away_shared(now_s, load_waits_s)
        else:
            decisions = self._turn_away_unshared(now_s, load_wait_s)
        if self._may_start(now_s):
            decisions.extend(self._start(now_s, is_ready))
        return decisions

    def _turn_away_unshared(self, now_s, load_wait_s):
        decisions = []
        for request in [
            r for r in self.waiting if now_s >= self._reject_at_s(r)
        ]:
            self._remove_waiting(request)
            retry_s = max(
                _return_times.RETRY_MIN_S,
                self.backlog_s(now_s, request.priority),
                load_wait_s(request),
            )
            reason = self._wait_reason()
            decisions.append(TurnAway(request, retry_s, reason))
        return decisions

    def _turn_away_shared(self, now_s, load_waits_s):
        order = self._order(self.waiting, now_s)
        overdue = self._overdue(order, now_s, load_waits_s)
        # More urgent requests are told to come back before others.
        overdue.sort(key=lambda pair: pair[0].priority)
        gone = {place.number for place, _ in overdue}
        left = [place for place in order if place.number not in gone]
        overdue.extend(
            (place, self.backlog_s(now_s)) for place in left[QUEUE_MAX:]
        )
        is_limited = self._limit_bucket is not None
        displaced = LIMIT_REASON if is_limited else DISPLACED_REASON
        decisions = []
        for place, wait_s in overdue:
            request = place.request
            self._remove_waiting(request)
            is_expired = now_s >= self._reject_at_s(request)
            reason = self._wait_reason() if is_expired else displaced
            decisions.append(self._turn_away(request, now_s, wait_s, reason))
        return decisions

    def _may_start(self, now_s):
        is_paced = self._next_start_s > now_s
        return not is_paced and len(self.running) < self._slots

    def _start(self, now_s, is_ready):
        """Start requests in order while there is room.

        A start changes neither the order of the others nor what is ready.
        """
        grants = []
        for place in self._order(self.waiting, now_s):
            request = place.request
            if not is_ready(request.adapter, request.version):
                continue
            if self._used_tokens + request.memory_tokens > self._budget_tokens:
                if self._keeps_memory_for(request, now_s):
                    break
                continue
            if not self._may_start(now_s) or not self._take_from_limit(now_s):
                break
            self._admit(request, now_s)
            grants.append(Grant(request))
        return grants

    def _keeps_memory_for(self, request, now_s):
        """Tell whether others must leave memory to a large request."""
        if not request.workspace:
            return False
        longest_s = self._reject_at_s(request) - request.arrived_s
        waited_s = now_s - request.arrived_s
        return waited_s > MEMORY_WAIT_SHARE * longest_s

    def _take_from_limit(self, now_s):
        bucket = self._limit_bucket
        return bucket is None or bucket.try_take(now_s)

    def _admit(self, request, now_s):
        work_s = self._work_s(request)
        self.waiting.remove(request)
        self._shares[request.priority].start(request.workspace, work_s)
        self._large_requests.note_served(work_s)
        self._charged_run_s[request.number] = self._expected_run_s(request)
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
