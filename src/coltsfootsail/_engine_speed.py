"""How fast engines generate tokens, relative to each other.

Answers engines of different hardware, and engines that turn slow for a
while.  The code does no I/O and has no clock.

An engine reads prompts between its steps.  Many events of a stream come
without a prompt in between, so the lower quartile of the times between two
events shows the steps alone.  The step time still grows with the requests
that an engine runs, and that of all engines grows with the load.  An engine
is therefore compared with the others over the same time: its speed is the
median step time of the fleet over its own.  A slow-down of all engines
changes both and leaves the speed as it is.

The speed is rounded to one of a few levels.  A level changes only if the
speed is well beyond the middle between two levels for some time, and then by
one step: each change moves the homes of adapters, which costs loads.
"""

import collections
import math
import statistics

LEVEL_RATIO = 1.6  # of each level to the one below
LEVELS = (0.25, 0.4, 0.625, 1.0, 1.6, 2.5, 4.0)
NOMINAL = 1.0
EVENTS_MIN = 5  # of a stream that shows the step time
GAPS_MAX = 256  # times between events of a stream that are kept
RUNS_MIN = 10  # of an engine, to compare it with the others
ENGINES_MIN = 3  # of a service, to compare them
ENGINES_WANTED = 9  # whose runs make up the step time of the fleet
RUN_AGE_MAX_S = 60.0
ENGINE_RUNS_KEPT = 128
FLEET_RUNS_KEPT = 512
# A level changes if the speed is off by more than this share of a step.
CHANGE_SHARE = 0.7
CHANGE_AFTER_S = 2.0  # for which the speed must be off
# At least this share of the time over which the engines were compared, so
# that a slow-down of all has reached both sides of the comparison.
CHANGE_AFTER_SHARE = 0.5
JUDGE_PAUSE_S = 0.25  # between comparisons of an engine


def nearest_level(speed):
    """Get the level next to a speed."""
    bounded = min(LEVELS[-1], max(LEVELS[0], speed))
    return min(LEVELS, key=lambda level: abs(math.log(bounded / level)))


class EventGaps:
    """The times between the events of a stream from one engine."""

    def __init__(self):
        self.events = 0
        self._gaps_s = []
        self._last_s = None

    def add(self, events, now_s):
        """Note events that came together.

        :param events: their number.
        """
        if not events:
            return
        if self._last_s is not None and len(self._gaps_s) < GAPS_MAX:
            gap_s = (now_s - self._last_s) / events
            self._gaps_s.extend([gap_s] * min(events, GAPS_MAX))
        self.events += events
        self._last_s = now_s

    def undisturbed_s(self):
        """Estimate the time of all events without prompts in between."""
        if not self._gaps_s:
            return 0.0
        quartile_s = sorted(self._gaps_s)[len(self._gaps_s) // 4]
        return quartile_s * (self.events - 1)


def step_s(events, stream_s, event_tokens):
    """Compute the time of a step from a stream.

    The first event has one token, and each other one several.

    :param events: events that were received.
    :param stream_s: time that they took without prompts in between.
    :param event_tokens: tokens of an event.
    :returns: seconds, or None if the stream shows nothing.
    """
    if events < EVENTS_MIN or not 0.0 < stream_s < math.inf:
        return None
    return stream_s / ((events - 1) * max(1, event_tokens))


class FleetSteps:
    """The step times of all engines of a service, as one node saw them."""

    def __init__(self):
        self._runs = collections.deque(maxlen=FLEET_RUNS_KEPT)

    def add(self, server, run_step_s, now_s):
        """Add the step time of a stream that has ended."""
        self._runs.append((now_s, server, run_step_s))
        while self._runs[0][0] < now_s - RUN_AGE_MAX_S:
            self._runs.popleft()

    def forget(self, server):
        """Forget the streams of an engine."""
        kept = [run for run in self._runs if run[1] != server]
        self._runs = collections.deque(kept, maxlen=FLEET_RUNS_KEPT)

    def window(self, engines, now_s, from_s=math.inf):
        """Find the shortest time that has streams of several engines.

        :param engines: number of engines.
        :param from_s: the time must begin no later.
        :returns: tuple of its begin and the median over the engines of their
            step times; None if streams of too few are known.
        """
        by_server = {}
        begin_s = now_s
        for ended_s, server, run_step_s in reversed(self._runs):
            if ended_s < now_s - RUN_AGE_MAX_S:
                break
            if len(by_server) >= engines and ended_s < from_s:
                break
            by_server.setdefault(server, []).append(run_step_s)
            begin_s = ended_s
        if len(by_server) < engines:
            return None
        medians = [statistics.median(runs) for runs in by_server.values()]
        return min(begin_s, from_s), statistics.median(medians)


class EngineSpeed:
    """The step times of one engine, from which its owner learns its level."""

    def __init__(self):
        self._runs = collections.deque(maxlen=ENGINE_RUNS_KEPT)
        self._direction = 0
        self._since_s = 0.0
        self._judge_from_s = -math.inf

    def add(self, run_step_s, now_s):
        """Add the step time of a stream that has ended."""
        self._runs.append((now_s, run_step_s))

    def judge(self, level, fleet, engines, now_s):
        """Compare the engine with the others.

        :param level: the level that is in force.
        :param fleet: the ``FleetSteps`` of its service.
        :param engines: number of engines of the service.
        :returns: the level that is in force from now on.
        """
        if engines < ENGINES_MIN or len(self._runs) < RUNS_MIN:
            return level
        if now_s < self._judge_from_s:
            return level
        self._judge_from_s = now_s + JUDGE_PAUSE_S
        from_s = self._runs[-RUNS_MIN][0]
        if from_s < now_s - RUN_AGE_MAX_S:
            return level
        window = fleet.window(min(engines, ENGINES_WANTED), now_s, from_s)
        if window is None:
            return level
        begin_s, fleet_step_s = window
        own = [run for ended_s, run in self._runs if ended_s >= begin_s]
        speed = fleet_step_s / statistics.median(own)
        steps = math.log(speed / level) / math.log(LEVEL_RATIO)
        if not self._is_off(steps, now_s - begin_s, now_s):
            return level
        self._runs.clear()
        index = LEVELS.index(level) + (1 if steps > 0 else -1)
        return LEVELS[min(len(LEVELS) - 1, max(0, index))]

    def _is_off(self, steps, length_s, now_s):
        """Tell whether the speed has been off the level for long enough.

        :param steps: number of levels by which it is off.
        :param length_s: time over which it was found.
        """
        direction = (steps > CHANGE_SHARE) - (steps < -CHANGE_SHARE)
        if direction != self._direction:
            self._direction, self._since_s = direction, now_s
        after_s = max(CHANGE_AFTER_S, CHANGE_AFTER_SHARE * length_s)
        if not direction or now_s < self._since_s + after_s:
            return False
        self._direction = 0
        return True
