"""Traces a request through the logs of one or more nodes.

The input is the JSON lines that nodes write.  Each may follow a time and
the name of its node.
"""

import collections
import dataclasses
import json

from coltsfootsail import _log_times

EXCLUDED_FIELDS = frozenset(
    {"time", "level", "message", "id", "left_out", "steady_s"}
)
# Changes of a node's state that bear on the requests of that moment.
STATE_EVENTS = frozenset(
    {
        "store_era",
        "lease",
        "config_in_force",
        "node_draining",
        "node_started",
        "clock_step",
    }
)
END_EVENTS = frozenset({"answered", "refused", "caller_gone"})
# What may have ended a request whose own lines tell no end.
CAUSE_EVENTS = frozenset(
    {"connection_failed", "task_failed", "node_started", "node_stopped"}
)
LATE_S = 1.0  # a request that is first sent later than this is late


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log line.

    :param when: the time before the line, or else the line's own time, as
        text.
    :param node: name of the node; empty if the input does not contain it.
    :param event: the line's message, such as ``request`` or ``refused``.
    :param request_id: id of the request; empty if there is none.
    :param fields: dict of the other fields.
    :param left_out: number of lines that were dropped before it.
    :param steady_s: time by a clock of its host that never jumps, None if it
        has its time from the input.
    """

    when: str
    node: str
    event: str
    request_id: str
    fields: dict
    left_out: int = 0
    steady_s: float | None = None


def parse(text):
    """Read one line of input.

    :returns: a ``LogLine``, or None if the text is not a log line.
    """
    head, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        value = json.loads(brace + rest)
    except ValueError:
        return None
    if not isinstance(value, dict) or "message" not in value:
        return None
    words = head.split()
    return LogLine(
        when=words[0] if words else str(value.get("time", "")),
        node=words[1] if len(words) > 1 else str(value.get("node", "")),
        event=str(value["message"]),
        request_id=str(value.get("id", "")),
        fields={
            key: field
            for key, field in value.items()
            if key not in EXCLUDED_FIELDS
        },
        left_out=value.get("left_out", 0),
        steady_s=None if words else value.get("steady_s"),
    )


def read(files):
    """Read log lines from open files, each of one node.

    :returns: list of ``LogLine`` in the order of the input.
    """
    lines = []
    for file in files:
        parsed = (parse(text) for text in file)
        lines += _log_times.correct([line for line in parsed if line])
    return lines


def _format_fields(fields):
    return " ".join(f"{key}={value}" for key, value in fields.items())


def trace(lines, request_id):
    """Describe the processing of a request.

    :returns: iterator of text: each log line of the request and each change
        of a node's state meanwhile, in order of time, then how the request
        ended.  If no line tells its end, what may have ended it follows.
    :raises KeyError: if no line has the request id.
    """
    request_lines = [line for line in lines if line.request_id == request_id]
    if not request_lines:
        raise KeyError(request_id)
    request_lines.sort(key=_line_time)
    first, last = _line_time(request_lines[0]), _line_time(request_lines[-1])
    state_lines = [
        line
        for line in lines
        if line.event in STATE_EVENTS and first <= _line_time(line) <= last
    ]
    for line in sorted([*request_lines, *state_lines], key=_line_time):
        yield (
            f"{line.when} {line.node or '-'} {line.event} "
            f"{_format_fields(line.fields)}"
        )
    yield f"end: {_describe_end(request_lines)}"
    if _end(request_lines) is None:
        yield from _describe_causes(lines, request_lines[-1])


def _describe_causes(lines, last):
    """Describe the next line of a node that may tell what ended a request.

    :param last: the request's last ``LogLine``.
    :returns: iterator of text, which also tells whether lines were dropped
        until then.
    """
    left_out = 0
    for line in sorted(lines, key=_line_time):
        is_later = _line_time(line) >= _line_time(last)
        if not is_later or (last.node and line.node not in (last.node, "")):
            continue
        left_out += line.left_out
        if line.event in CAUSE_EVENTS:
            yield (
                f"next: {line.when} {line.node or '-'} {line.event} "
                f"{_format_fields(line.fields)}"
            )
            break
    if left_out:
        yield f"lines left out since: {left_out}"


def _end(request_lines):
    """Get the line that tells a request's end, or None.

    Its sends may end later than it does.
    """
    ends = [line for line in request_lines if line.event in END_EVENTS]
    return ends[-1] if ends else None


def _line_time(line):
    """Get the key by which lines are ordered in time."""
    try:
        return (float(line.when), "")
    except ValueError:
        return (0.0, line.when)


def _describe_end(request_lines):
    end = _end(request_lines)
    if end is None:
        return f"no end in these logs; last: {request_lines[-1].event}"
    return _describe_end_line(end) + _describe_error(request_lines)


def _describe_end_line(end):
    if end.event == "answered":
        return f"answered after {end.fields.get('sends')} sends"
    if end.event == "caller_gone":
        return "the caller left"
    code, why = end.fields.get("code"), end.fields.get("why")
    outcome = end.fields.get("outcome")
    begun = ", after the answer had begun" if end.fields["begun"] else ""
    return f"{code} ({outcome}): {why}{begun}"


def _describe_error(request_lines):
    """Name the error in the code that a request met, if any."""
    for line in request_lines:
        if line.event == "request_failed":
            return f"; an error in the code: {line.fields.get('reason')}"
    return ""


def _by_request(lines):
    by_request = collections.defaultdict(list)
    for line in lines:
        if line.request_id:
            by_request[line.request_id].append(line)
    return by_request


def _is_refused(request_lines):
    end = _end(request_lines)
    is_refused = end is not None and end.event == "refused"
    return is_refused and end.fields["outcome"] == "not_run"


def _is_failed(request_lines):
    end = _end(request_lines)
    is_refused = end is not None and end.event == "refused"
    return is_refused and end.fields["outcome"] != "not_run"


def _is_unended(request_lines):
    events = {line.event for line in request_lines}
    return "request" in events and not events & END_EVENTS


def _is_error(request_lines):
    return any(line.event == "request_failed" for line in request_lines)


def _is_late(request_lines):
    sent = [
        line.fields["after_s"]
        for line in request_lines
        if line.event == "sent"
    ]
    return bool(sent) and sent[0] > LATE_S


# A refused request certainly did not run; a failed one may have run.  An
# error is one in the code.
PROBLEM_FILTERS = {
    "refused": _is_refused,
    "failed": _is_failed,
    "late": _is_late,
    "unended": _is_unended,
    "error": _is_error,
}


def summary(lines, problem):
    """Count the requests with a problem by reason, node, route and more.

    :param problem: a key of ``PROBLEM_FILTERS``.
    :returns: dict of aspect to list of (value, count), most frequent
        first.
    """
    matching = [
        request_lines
        for request_lines in _by_request(lines).values()
        if PROBLEM_FILTERS[problem](request_lines)
    ]
    aspects = collections.defaultdict(collections.Counter)
    for request_lines in matching:
        aspects["requests"]["all"] += 1
        aspects["reason"][_describe_end(request_lines)] += 1
        aspects["node"][request_lines[-1].node or "-"] += 1
        for line in request_lines:
            if line.event == "request":
                aspects["route"][line.fields.get("route")] += 1
                version = line.fields.get("version")
                aspects["configuration"][version] += 1
        for server in {
            line.fields["server"]
            for line in request_lines
            if "server" in line.fields
        }:
            aspects["endpoint"][server] += 1
    return {name: counts.most_common(8) for name, counts in aspects.items()}
