"""A run's timeline, from the logs of its nodes.

Requests, answers and refusals are counted by step of time; changes of
state stand beside them, so that what went wrong is seen next to what had
changed.
"""

import collections
import dataclasses
import datetime

from coltsfootsail import _explain

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
STEPS_MAX = 100_000  # a day in seconds; longer runs get longer steps
MARKS = (
    "node_started",
    "node_draining",
    "node_stopped",
    "config_in_force",
    "claim_taken",
    "claim_lost",
    "engine_down",
    "server_gone",
    "store_back",
    "lease",
    "strike",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """A change of state."""

    at_s: float
    node: str
    event: str
    fields: dict


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """Counts by step.

    :param step_s: length of a step.
    :param counts: dict of what is counted to a list, an item a step.
    :param marks: list of ``Mark`` in order of time.
    """

    step_s: float
    counts: dict
    marks: list


def seconds(when):
    """Read the time of a log line.

    :param when: seconds as text, or a date and time.
    :returns: seconds, or None if it is neither.
    """
    try:
        return float(when)
    except ValueError:
        pass
    try:
        return datetime.datetime.strptime(when, TIME_FORMAT).timestamp()
    except ValueError:
        return None


def _name(line):
    if line.event == "refused":
        return f"refused: {line.fields.get('code')}"
    names = {"request": "requests", "answered": "answered"}
    return names.get(line.event, "")


def make(lines, step_s=1.0):
    """Make a timeline.

    :param lines: list of ``_explain.Line``.
    :returns: a ``Timeline`` whose first step begins at 0.
    :raises ValueError: if no line has a time.
    """
    timed = [(seconds(line.when), line) for line in lines]
    timed = [(at_s, line) for at_s, line in timed if at_s is not None]
    if not timed:
        raise ValueError("no line with a time")
    first_s = min(at_s for at_s, _ in timed)
    length_s = max(at_s for at_s, _ in timed) - first_s
    step_s = max(step_s, length_s / STEPS_MAX)
    steps = int(length_s / step_s) + 1
    counts = collections.defaultdict(lambda: [0] * steps)
    marks = []
    for at_s, line in timed:
        after_s = at_s - first_s
        name = _name(line)
        if name:
            counts[name][int(after_s / step_s)] += 1
        elif line.event in MARKS:
            mark = Mark(round(after_s, 3), line.node, line.event, line.fields)
            marks.append(mark)
    marks.sort(key=lambda mark: mark.at_s)
    return Timeline(step_s, dict(sorted(counts.items())), marks)


def read(files, step_s=1.0):
    """Make a timeline of open log files."""
    return make(_explain.read(files), step_s)


def describe(timeline):
    """Say in text lines what a timeline shows."""
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
    """Draw a timeline; needs matplotlib.

    :param path: PNG file to write.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = sorted({mark.event for mark in timeline.marks})
    figure, (top, bottom) = pyplot.subplots(
        2, 1, sharex=True, figsize=(12, 7), layout="constrained"
    )
    for name, counts in timeline.counts.items():
        times = [number * timeline.step_s for number in range(len(counts))]
        top.step(times, counts, where="post", label=name)
    top.set_ylabel(f"in {timeline.step_s:g} s")
    top.legend(loc="upper right", fontsize="small")
    bottom.scatter(
        [mark.at_s for mark in timeline.marks],
        [rows.index(mark.event) for mark in timeline.marks],
        marker="|",
    )
    bottom.set_yticks(range(len(rows)), rows)
    bottom.set_xlabel("s")
    figure.savefig(path)
    pyplot.close(figure)
