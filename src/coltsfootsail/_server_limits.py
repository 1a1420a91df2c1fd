"""The limits that servers in need name in their answers.

An answer that names a limit shows that it held when the answer's head was
read, one that names none that it had ended when the request was sent.  Of
several observations of a server the latest by these times is kept, so that
the answer to an earlier request never ends a limit that was named later.
"""

import dataclasses
import math

from coltsfootsail import _logs

UNLIMITED = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What an answer showed of its server's limit.

    :param per_s: requests a second over all nodes, ``UNLIMITED`` for none.
    :param at_s: the time for which it is known.
    """

    per_s: float
    at_s: float


class ServerLimits:
    """The latest observation of each server's limit.

    :param now: closure that reads the clock.
    :param count: ``(counter, reason)``.
    """

    def __init__(self, now, count):
        self._now = now
        self._count = count
        self._observations = {}

    def per_s(self, server_name):
        """Get a server's limit, ``UNLIMITED`` if it names none."""
        observation = self._observations.get(server_name)
        return UNLIMITED if observation is None else observation.per_s

    def is_limited(self, server_name):
        """Tell whether a server names a limit."""
        return self.per_s(server_name) < UNLIMITED

    def keep(self, names):
        """Forget the servers that are not in ``names``."""
        for name in [n for n in self._observations if n not in names]:
            del self._observations[name]

    def note_answer(self, server_name, stated_per_s, sent_s, succeeded):
        """Note the head of a server's answer that has just been read.

        :param stated_per_s: the limit that it names, None for none.
        :param sent_s: when the request was sent.
        :param succeeded: whether the answer is a success; a failure that
            names no limit may come from something in between.
        """
        if stated_per_s is not None:
            self._note(server_name, Observation(stated_per_s, self._now()))
        elif succeeded and self.is_limited(server_name):
            self._note(server_name, Observation(UNLIMITED, sent_s))

    def _note(self, server_name, observation):
        known = self._observations.get(server_name)
        if known is not None and known.at_s > observation.at_s:
            return
        self._observations[server_name] = observation
        before = UNLIMITED if known is None else known.per_s
        if observation.per_s != before:
            self._record_change(server_name, before, observation.per_s)

    def _record_change(self, server_name, before, per_s):
        is_named, was_named = per_s < UNLIMITED, before < UNLIMITED
        change = _CHANGES[was_named, is_named]
        self._count("server_limits", change)
        _logs.state(
            "server_limit",
            server=server_name,
            change=change,
            per_s=per_s if is_named else None,
            before_per_s=before if was_named else None,
        )


_CHANGES = {
    (False, True): "named",
    (True, True): "changed",
    (True, False): "ended",
}
