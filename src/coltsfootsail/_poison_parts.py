"""Evidence of which parts of prompts crash servers.

A crash is a server's end while it ran requests; each of their parts may have
caused it.  A part is blamed when several servers have crashed under it, in
requests of different contents.  Of several such parts the one that most
crashes have in common is blamed, and these crashes count against no other
part: what merely ran beside it is cleared.  A completed run clears its parts
in any case.

Requests with a blamed part are refused for a while.  Then it is on trial: one
request at a time may run, which either clears it or gets it blamed for one
more crash and refused for longer.

The code does no I/O and has no clock.
"""

import collections
import dataclasses

CRASHES_MIN = 3  # of servers under one part, to blame it
CONTENTS_MIN = 2  # different requests among them
REFUSED_S = 10.0  # after the last crash
REFUSED_FACTOR = 4.0  # on this time, for each further crash
REFUSED_MAX_S = 600.0
TRIAL_S = 60.0  # without a crash, after which any request may run
CRASHES_KEPT = 64
FORGET_AFTER_S = 3600.0
COMPLETED_KEPT = 5000  # parts
# A part of a run that completed this recently is not held against a crash.
SOUND_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The blame of a part.

    :param crashes: number of servers that crashed under it.
    :param refused_until_s: until when all requests with it are refused.
    """

    crashes: int
    refused_until_s: float

    def is_over(self, now_s):
        """Tell whether requests with it may run without a trial."""
        return now_s >= self.refused_until_s + TRIAL_S


@dataclasses.dataclass(frozen=True, slots=True)
class CrashedRun:
    """A request that ran when its server crashed.

    :param content: fingerprint of the request.
    :param parts: pairs of a part's id and its place in the prompt.
    :param at_s: when the crash was found.
    :param told_by: the node that told of it, empty for this one.
    """

    server: str
    content: str
    parts: tuple
    at_s: float
    told_by: str = ""


@dataclasses.dataclass(slots=True)
class _Crash:
    at_s: float
    runs: dict = dataclasses.field(default_factory=dict)

    def parts(self):
        """List the parts of all runs."""
        return {part for run in self.runs.values() for part, _ in run.parts}


class PartEvidence:
    """The crashes of servers and the parts of the requests that they ran."""

    def __init__(self):
        self._crashes = {}
        self._completed_s = {}
        self._verdicts = {}
        self._adopted = {}

    def suspects(self, parts, now_s):
        """Select the parts that no recent run has completed with.

        :param parts: ids in the order of the prompt.
        :returns: tuple of pairs of id and place.
        """
        return tuple(
            (part, place)
            for place, part in enumerate(parts)
            if not self.is_sound(part, now_s)
        )

    def is_sound(self, part, now_s):
        """Tell whether a run with a part has completed recently."""
        completed_s = self._completed_s.get(part)
        return completed_s is not None and now_s < completed_s + SOUND_S

    def add(self, run):
        """Add a run to the evidence.

        :param run: a ``CrashedRun``.
        :returns: the parts that are blamed for more crashes than before.
        """
        self._prune(run.at_s)
        crash = self._crashes.setdefault(run.server, _Crash(run.at_s))
        if run.content in crash.runs:
            return ()
        crash.runs[run.content] = run
        return self._judge()

    def clear(self, parts, now_s):
        """Note that a run with some parts was completed.

        :returns: those parts that were under suspicion.
        """
        for part in parts:
            self._completed_s.pop(part, None)
            self._completed_s[part] = now_s
        while len(self._completed_s) > COMPLETED_KEPT:
            del self._completed_s[next(iter(self._completed_s))]
        if not (self._crashes or self._adopted):
            return ()
        suspected = {*self._adopted}
        suspected.update(*(c.parts() for c in self._crashes.values()))
        cleared = suspected.intersection(parts)
        if cleared:
            self._remove(cleared)
            self._judge()
        return tuple(sorted(cleared))

    def adopt(self, part, crashes, now_s):
        """Take over a blame whose evidence this node does not have.

        :param crashes: number of servers that crashed under the part.
        """
        self._adopted[part] = crashes, now_s
        self._judge()

    def _remove(self, cleared):
        for part in cleared:
            self._adopted.pop(part, None)
        for crash in self._crashes.values():
            for content, run in crash.runs.items():
                left = tuple(p for p in run.parts if p[0] not in cleared)
                crash.runs[content] = dataclasses.replace(run, parts=left)

    def _prune(self, now_s):
        for server in [
            server
            for server, crash in self._crashes.items()
            if crash.at_s < now_s - FORGET_AFTER_S
        ]:
            del self._crashes[server]
        for part in [
            part
            for part, (_, adopted_s) in self._adopted.items()
            if adopted_s < now_s - FORGET_AFTER_S
        ]:
            del self._adopted[part]
        while len(self._crashes) >= CRASHES_KEPT:
            del self._crashes[next(iter(self._crashes))]

    def runs(self):
        """List all ``CrashedRun`` that still speak against a part."""
        return [
            run
            for crash in self._crashes.values()
            for run in crash.runs.values()
            if run.parts
        ]

    def verdict(self, part):
        """Get the ``Verdict`` on a part, None if it is not blamed."""
        return self._verdicts.get(part)

    def _judge(self):
        """Find the parts to blame.

        :returns: those that are blamed for more crashes than before.
        """
        verdicts = {}
        unexplained = list(self._crashes.values())
        while True:
            found = _most_suspect(unexplained)
            if found is None:
                break
            explained = [c for c in unexplained if found in c.parts()]
            unexplained = [c for c in unexplained if found not in c.parts()]
            last_s = max(crash.at_s for crash in explained)
            verdicts[found] = _make_verdict(len(explained), last_s)
        for part, (crashes, adopted_s) in self._adopted.items():
            if part not in verdicts:
                own_s = [c.at_s for c in unexplained if part in c.parts()]
                verdicts[part] = _make_verdict(
                    crashes + len(own_s), max([adopted_s, *own_s])
                )
        before, self._verdicts = self._verdicts, verdicts
        return tuple(
            part
            for part, verdict in verdicts.items()
            if part not in before or verdict.crashes > before[part].crashes
        )


def _most_suspect(crashes):
    """Find the part that most crashes have in common.

    Of several, the one furthest from the start of its prompt is taken: those
    before it are shared by more requests.

    :returns: a part's id, or None if too little speaks against any.
    """
    counts = collections.Counter(
        part for crash in crashes for part in crash.parts()
    )
    contents = collections.defaultdict(set)
    places = {}
    for crash in crashes:
        for run in crash.runs.values():
            for part, place in run.parts:
                contents[part].add(run.content)
                places[part] = max(place, places.get(part, 0))
    suspects = [
        part
        for part, count in counts.items()
        if count >= CRASHES_MIN and len(contents[part]) >= CONTENTS_MIN
    ]
    return max(
        suspects,
        key=lambda part: (counts[part], places[part], part),
        default=None,
    )


def _make_verdict(crashes, last_s):
    """Blame a part for some crashes.

    :param last_s: when the last of them was found.
    """
    refused_s = REFUSED_S * REFUSED_FACTOR ** max(0, crashes - CRASHES_MIN)
    return Verdict(crashes, last_s + min(REFUSED_MAX_S, refused_s))
