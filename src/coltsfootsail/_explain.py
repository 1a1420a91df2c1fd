"""Follows a request through the logs of any number of nodes.

Reads JSON lines as nodes write them, with or without a time and a node's
name before each, and needs nothing else.
"""

import collections
import dataclasses
import json

KEPT_OUT = frozenset({"time", "level", "message", "id", "left_out"})
END_EVENTS = frozenset({"answered", "refused", "caller_gone"})
LATE_S = 1.0  # from arrival to the first send


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    :param when: the time as written, or the seconds before the line.
    :param node: the node's name, empty if it is not in the input.
    """

    when: str
    node: str
    event: str
    request_id: str
    fields: dict


def parse(text):
    """Read one line of input.

    :returns: a ``Line``, or None if it is not a log line.
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
    return Line(
        when=words[0] if words else str(value.get("time", "")),
        node=words[1] if len(words) > 1 else str(value.get("node", "")),
        event=str(value["message"]),
        request_id=str(value.get("id", "")),
        fields={k: v for k, v in value.items() if k not in KEPT_OUT},
    )


def read(files):
    """Read log lines from open files.

    :returns: list of ``Line`` in the order of the input.
    """
    found = (parse(text) for file in files for text in file)
    return [line for line in found if line is not None]


def _shown(fields):
    return " ".join(f"{key}={value}" for key, value in fields.items())


def way(lines, request_id):
    """Describe a request's way, a text line for each decision.

    :raises KeyError: if no line names the request.
    """
    own = [line for line in lines if line.request_id == request_id]
    if not own:
        raise KeyError(request_id)
    own.sort(key=lambda line: _order(line.when))
    for line in own:
        yield (
            f"{line.when} {line.node or '-'} {line.event} "
            f"{_shown(line.fields)}"
        )
    yield f"end: {_end(own)}"


def _order(when):
    try:
        return (float(when), "")
    except ValueError:
        return (0.0, when)


def _end(own):
    last = own[-1]
    if last.event == "answered":
        return f"answered after {last.fields.get('sends')} sends"
    if last.event == "refused":
        code, why = last.fields.get("code"), last.fields.get("why")
        outcome = last.fields.get("outcome")
        begun = ", after the answer had begun" if last.fields["begun"] else ""
        return f"{code} ({outcome}): {why}{begun}"
    if last.event == "caller_gone":
        return "the caller left"
    return f"no end in these logs; last: {last.event}"


def _by_request(lines):
    found = collections.defaultdict(list)
    for line in lines:
        if line.request_id:
            found[line.request_id].append(line)
    return found


def _is_refused(own):
    last = own[-1]
    return last.event == "refused" and last.fields["outcome"] == "not_run"


def _is_failed(own):
    last = own[-1]
    return last.event == "refused" and last.fields["outcome"] != "not_run"


def _is_late(own):
    sent = [line.fields["after_s"] for line in own if line.event == "sent"]
    return bool(sent) and sent[0] > LATE_S


SETS = {"refused": _is_refused, "failed": _is_failed, "late": _is_late}


def summary(lines, which):
    """Count the requests of a set by what they have in common.

    :param which: a key of ``SETS``.
    :returns: dict of aspect to list of (value, count), most first.
    """
    chosen = [own for own in _by_request(lines).values() if SETS[which](own)]
    aspects = collections.defaultdict(collections.Counter)
    for own in chosen:
        aspects["requests"]["all"] += 1
        aspects["reason"][_end(own)] += 1
        aspects["node"][own[-1].node or "-"] += 1
        for line in own:
            if line.event == "request":
                aspects["route"][line.fields.get("route")] += 1
                version = line.fields.get("version")
                aspects["configuration"][version] += 1
        for name in {
            line.fields["server"] for line in own if "server" in line.fields
        }:
            aspects["endpoint"][name] += 1
    return {name: counts.most_common(8) for name, counts in aspects.items()}
