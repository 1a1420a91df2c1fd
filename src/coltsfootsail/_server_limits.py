"""The limits that servers in need state in their answers.

There are two kinds: the requests a second that a server takes, and the
requests a second that a brittle one can refuse for want of room.

An answer that names a limit shows that it held when the answer's head was
read, one that names none that it had ended when the request was sent.  Of
several observations of a server the latest by these times is kept, so that
the answer to an earlier request never ends a limit that was named later.

Nodes tell each other of each change that they observe, as soon as the head of
an answer is read, so that whichever grants the starts at the server knows it.
Nodes that get a new link tell each other all that they know.

A server whose registration is lost, as with a store that comes back from an
older copy, serves on and may be registered again.  Until then its limit is
set aside.
"""

import dataclasses
import math

from coltsfootsail import _logs
from coltsfootsail import _wire

TRANSIT_S = 0.2  # longest way of a message that its age does not include
UNLIMITED = math.inf
FORGET_AFTER_S = 600.0  # after a server was last registered


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What an answer showed of its server's limit.

    :param per_s: requests a second over all nodes, ``UNLIMITED`` for none.
    :param at_s: the time for which it is known.
    """

    per_s: float
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitKind:
    """What a limit limits, and how it is told.

    :param name: for the log.
    :param message: class of the messages to other nodes.
    """

    name: str
    message: type


REQUESTS = LimitKind("requests", _wire.ServerLimit)
REFUSALS = LimitKind("refusals", _wire.ServerBrittle)


class ServerLimits:
    """The latest observation of each server's limit.

    :param now: closure that reads the clock.
    :param count: ``(counter, reason)``.
    :param tell_all: ``(message)``, sends to all nodes.
    :param kind: a ``LimitKind``.
    """

    def __init__(self, now, count, tell_all, kind=REQUESTS):
        self._now = now
        self._count = count
        self._tell_all = tell_all
        self._kind = kind
        self._observations = {}
        self._observe_from_s = {}
        self._set_aside = {}

    def per_s(self, server_name):
        """Get a server's limit, ``UNLIMITED`` if it names none."""
        observation = self._observations.get(server_name)
        return UNLIMITED if observation is None else observation.per_s

    def is_limited(self, server_name):
        """Tell whether a server names a limit."""
        return self.per_s(server_name) < UNLIMITED

    def keep(self, names):
        """Set aside what servers named that are not in ``names``.

        It holds again if they are back within ``FORGET_AFTER_S``.
        """
        now_s = self._now()
        for name in [n for n in self._observations if n not in names]:
            self._set_aside[name] = now_s, self._observations.pop(name)
        for name in [n for n in self._observe_from_s if n not in names]:
            del self._observe_from_s[name]
        for name, (gone_s, observation) in list(self._set_aside.items()):
            if name in names:
                self._observations.setdefault(name, observation)
            if name in names or now_s - gone_s > FORGET_AFTER_S:
                del self._set_aside[name]

    def forget(self, name):
        """Forget what a server named before it started again."""
        self._observations.pop(name, None)
        self._set_aside.pop(name, None)
        self._observe_from_s[name] = self._now()

    def note_answer(self, server_name, stated_per_s, sent_s, succeeded):
        """Note the head of a server's answer that has just been read.

        :param stated_per_s: the limit that it names, None for none.
        :param sent_s: when the request was sent.
        :param succeeded: whether the answer is a success; a failure that
            names no limit may come from something in between.
        """
        if stated_per_s is not None:
            observation = Observation(stated_per_s, self._now())
        elif succeeded and self.is_limited(server_name):
            observation = Observation(UNLIMITED, sent_s)
        else:
            return
        if self._note(server_name, observation, ""):
            self._tell_all(self._message(server_name))

    def learn(self, msg, node):
        """Note what another node observed.

        :param msg: a message of the kind.
        :param node: the node that sent it.
        """
        observation = Observation(msg.per_s, self._now() - msg.age_s)
        self._note(msg.server, observation, node)

    def messages(self):
        """Make the messages that tell another node all that is known."""
        return [self._message(name) for name in self._observations]

    def _message(self, server_name):
        observation = self._observations[server_name]
        age_s = float(self._now() - observation.at_s)
        return self._kind.message(server_name, observation.per_s, age_s)

    def _note(self, server_name, observation, node):
        """Keep an observation unless a later one is known.

        :param node: the node that told it, empty for this one.
        :returns: whether the limit is another one than before.
        """
        from_s = self._observe_from_s.get(server_name, -math.inf)
        if observation.at_s < from_s + (TRANSIT_S if node else 0.0):
            return False
        known = self._observations.get(server_name)
        if known is not None and known.at_s > observation.at_s:
            return False
        self._observations[server_name] = observation
        before_per_s = UNLIMITED if known is None else known.per_s
        if observation.per_s == before_per_s:
            return False
        is_named = observation.per_s < UNLIMITED
        was_named = before_per_s < UNLIMITED
        change = _CHANGES[was_named, is_named]
        self._count("server_limits", change)
        _logs.state(
            "server_limit",
            kind=self._kind.name,
            server=server_name,
            change=change,
            per_s=observation.per_s if is_named else None,
            before_per_s=before_per_s if was_named else None,
            told_by=node,
        )
        return True


_CHANGES = {
    (False, True): "named",
    (True, True): "changed",
    (True, False): "ended",
}
