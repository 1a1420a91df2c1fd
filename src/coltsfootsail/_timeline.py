"""Builds a timeline of a run from the logs of its nodes.

It counts requests, answers and refusals in intervals of time and lists
changes of state beside them, so that the possible cause of a problem is
seen next to it.
"""

import collections
import dataclasses

from coltsfootsail import _explain
from coltsfootsail import _log_times

STEPS_MAX = 100_000  # about a day of seconds; longer runs get longer steps
STATE_EVENTS = (
    "node_started",
    "node_draining",
    "node_stopped",
    "config_in_force",
    "claim_taken",
    "claim_lost",
    "orders_suspended",
    "store_era",
    "engine_down",
    "server_gone",
    "store_back",
    "lease",
    "strike",
    "part_blamed",
    "part_tried",
    "parts_cleared",
    "clock_step",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """A change of state.

    :param at_s: time since the first step began.
    """

    at_s: float
    node: str
    event: str
    fields: dict


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """Counts of events in steps of time.

    :param step_s: length of a step.
    :param counts: dict of what is counted to a list of counts, one for
        each step.
    :param marks: list of ``Mark`` in order of time.
    """

    step_s: float
    counts: dict
    marks: list


def _counted_as(line):
    if line.event == "refused":
        return f"refused: {line.fields.get('code')}"
    counted_events = {"request": "requests", "answered": "answered"}
    return counted_events.get(line.event, "")


def build(lines, step_s=1.0):
    """Build a timeline.

    :param lines: list of ``_explain.LogLine``.
    :returns: a ``Timeline`` whose first step begins at 0.
    :raises ValueError: if no line has a time.
    """
    timed = [(_log_times.seconds(line.when), line) for line in lines]
    timed = [(at_s, line) for at_s, line in timed if at_s is not None]
    if not timed:
        raise ValueError("no log line has a time")
    first_s = min(at_s for at_s, _ in timed)
    length_s = max(at_s for at_s, _ in timed) - first_s
    step_s = max(step_s, length_s / STEPS_MAX)
    steps = int(length_s / step_s) + 1
    counts = collections.defaultdict(lambda: [0] * steps)
    marks = []
    for at_s, line in timed:
        offset_s = at_s - first_s
        name = _counted_as(line)
        if name:
            counts[name][int(offset_s / step_s)] += 1
        elif line.event in STATE_EVENTS:
            mark = Mark(round(offset_s, 3), line.node, line.event, line.fields)
            marks.append(mark)
    marks.sort(key=lambda mark: mark.at_s)
    return Timeline(step_s, dict(sorted(counts.items())), marks)


def read(files, step_s=1.0):
    """Build a timeline from open log files.

    :raises ValueError: if no line has a time.
    """
    return build(_explain.read(files), step_s)


def describe(timeline):
    """Describe a timeline in lines of text.

    It gives the total and the peak of each count, then every mark.
    """
    for name, counts in timeline.counts.items():
        peak = max(counts)
        at_s = counts.index(peak) * timeline.step_s
        yield (
            f"{name}: {sum(counts)}, at most {peak} in {timeline.step_s:g} s "
            f"at {at_s:g} s"
        )
    for mark in timeline.marks:
        yield f"{mark.at_s:.3f} {mark.node or '-'} {mark.event}"


def plot(timeline, path):
    """Plot a timeline; requires matplotlib.

    :param path: PNG file to write.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    event_names = sorted({mark.event for mark in timeline.marks})
    figure, (counts_axes, marks_axes) = pyplot.subplots(
        2, 1, sharex=True, figsize=(12, 7), layout="constrained"
    )
    for name, counts in timeline.counts.items():
        times = [number * timeline.step_s for number in range(len(counts))]
        counts_axes.step(times, counts, where="post", label=name)
    counts_axes.set_ylabel(f"in {timeline.step_s:g} s")
    counts_axes.legend(loc="upper right", fontsize="small")
    marks_axes.scatter(
        [mark.at_s for mark in timeline.marks],
        [event_names.index(mark.event) for mark in timeline.marks],
        marker="|",
    )
    marks_axes.set_yticks(range(len(event_names)), event_names)
    marks_axes.set_xlabel("s")
    figure.savefig(path)
    pyplot.close(figure)
