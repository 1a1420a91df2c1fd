"""The speed levels of all engines, as their owners have learned them.

An engine's owner tells all nodes when its level changes, so that all place
adapters alike.  Nodes that get a new link are told the levels that are not
nominal: by the engine's owner, and by everyone where it has none, or one that
is not linked.  A level holds for one start of the engine, which its ``born``
shows; of several levels the latest is kept.
"""

import collections
import dataclasses

from coltsfootsail import _engine_speed
from coltsfootsail import _logs
from coltsfootsail import _wire

STEP_VALID_S = 1.0  # before a fleet's step time is computed again
LABELS = {level: f"{level:g}" for level in _engine_speed.LEVELS}


@dataclasses.dataclass(frozen=True, slots=True)
class KnownLevel:
    """A speed level.

    :param born_ms: the start of the engine for which it holds.
    :param at_s: when it was learned.
    """

    level: float
    born_ms: int
    at_s: float


class ServerSpeeds:
    """The levels of engines, and the step times that this node saw.

    ``generation`` increases whenever a level changes.

    :param view: a ``DeploymentView``.
    :param now: closure that reads the clock.
    :param count: ``(counter, reason)``.
    :param tell_all: ``(message)``, sends to all nodes.
    :param owner: ``(server name)``, the node that holds its claim, or None.
    :param node: this node's name.
    """

    def __init__(self, view, now, count, tell_all, owner, node):
        self._view = view
        self._now = now
        self._count = count
        self._tell_all = tell_all
        self._owner = owner
        self._node = node
        self._levels = {}
        self._fleet_steps = collections.defaultdict(_engine_speed.FleetSteps)
        self._steps_s = {}
        self._engine_counts = (None, {})
        self.generation = 0

    def level(self, name):
        """Get an engine's level, nominal unless another is known."""
        known = self._levels.get(name)
        return _engine_speed.NOMINAL if known is None else known.level

    def step_s(self, service):
        """Get the step time of a common engine of a service.

        :returns: seconds, or None if this node has seen too few engines.
        """
        now_s = self._now()
        until_s, known_step_s = self._steps_s.get(service, (0.0, None))
        if now_s < until_s or service not in self._fleet_steps:
            return known_step_s
        window = self._fleet_steps[service].window(
            _engine_speed.ENGINES_WANTED, now_s
        )
        known_step_s = None if window is None else window[1]
        self._steps_s[service] = now_s + STEP_VALID_S, known_step_s
        return known_step_s

    def gauge(self):
        """Count the engines by level, for the metrics."""
        names = [n for n in self._levels if n in self._view.servers]
        labels = [LABELS[self.level(name)] for name in names]
        counts = collections.Counter(labels)
        engines = sum(self._count_engines().values())
        counts[LABELS[_engine_speed.NOMINAL]] += engines - len(names)
        return dict(counts)

    def _count_engines(self):
        """Count the engines of each service."""
        generation, counts = self._engine_counts
        if generation != self._view.generation:
            counts = collections.Counter(
                server.service
                for server in self._view.engine_servers().values()
            )
            self._engine_counts = self._view.generation, counts
        return counts

    def note_stream(self, server, events, stream_s):
        """Note a stream that this node relayed.

        :param server: the ``Server`` that sent it.
        """
        run_step_s = self._run_step_s(server, events, stream_s)
        if run_step_s is not None:
            fleet = self._fleet_steps[server.service]
            fleet.add(server.name, run_step_s, self._now())

    def _run_step_s(self, server, events, stream_s):
        engine = self._view.engine_spec(server)
        if engine is None:
            return None
        return _engine_speed.step_s(events, stream_s, engine.event_tokens)

    def note_run(self, speed, server, events, stream_s):
        """Learn from a stream of an engine that this node owns.

        :param speed: the engine's ``EngineSpeed``.
        """
        run_step_s = self._run_step_s(server, events, stream_s)
        if run_step_s is None:
            return
        now_s = self._now()
        speed.add(run_step_s, now_s)
        fleet = self._fleet_steps[server.service]
        engines = self._count_engines()[server.service]
        before = self.level(server.name)
        level = speed.judge(before, fleet, engines, now_s)
        if level != before:
            self._announce(server.name, level)

    def _born_ms(self, name):
        server = self._view.servers.get(name)
        return 0 if server is None else server.born_ms

    def _announce(self, name, level):
        known = KnownLevel(level, self._born_ms(name), self._now())
        if self._note(name, known, ""):
            self._tell_all(self._message(name))

    def learn(self, msg, node):
        """Note what another node tells.

        :param msg: a ``ServerSpeed``.
        :param node: the node that sent it.
        """
        if msg.born_ms < self._born_ms(msg.server):
            return
        level = _engine_speed.nearest_level(msg.level)
        at_s = self._now() - msg.age_s
        is_new = self._note(
            msg.server, KnownLevel(level, msg.born_ms, at_s), node
        )
        if is_new and self._owner(msg.server) == self._node:
            # Nodes that were linked before the owner knew it lack it.
            self._tell_all(self._message(msg.server))

    def _note(self, name, known, node):
        """Keep a level unless a later one is known.

        :param node: the node that told it, empty for this one.
        :returns: whether the level is another one than before.
        """
        before = self._levels.get(name)
        key = known.born_ms, known.at_s
        if before is not None and key < (before.born_ms, before.at_s):
            return False
        before_level = self.level(name)
        self._levels[name] = known
        if known.level == before_level:
            return False
        self.generation += 1
        change = "raised" if known.level > before_level else "lowered"
        self._count("engine_levels", change)
        _logs.state(
            "engine_level",
            server=name,
            level=known.level,
            before=before_level,
            told_by=node,
        )
        return True

    def _message(self, name):
        known = self._levels[name]
        age_s = max(0.0, float(self._now() - known.at_s))
        return _wire.ServerSpeed(name, known.level, known.born_ms, age_s)

    def messages(self, node, linked):
        """Make the messages that tell a node with a new link of the levels.

        :param node: the node.
        :param linked: names of the nodes that this one has a link to.
        """
        tellers = {None, self._node, node}
        owners = {name: self._owner(name) for name in self._levels}
        return [
            self._message(name)
            for name, owner in owners.items()
            if self.level(name) != _engine_speed.NOMINAL
            and (owner in tellers or owner not in linked)
        ]

    def forget(self, name, born_ms):
        """Forget an engine that has started again.

        :param born_ms: its present start; a level for it is kept.
        """
        for fleet in self._fleet_steps.values():
            fleet.forget(name)
        known = self._levels.get(name)
        if known is None or known.born_ms >= born_ms:
            return
        if self.level(name) != _engine_speed.NOMINAL:
            self.generation += 1
            self._count("engine_levels", "forgotten")
            _logs.state(
                "engine_level",
                server=name,
                level=_engine_speed.NOMINAL,
                before=self.level(name),
                told_by="",
            )
        del self._levels[name]

    def keep(self, names):
        """Forget the servers that are not in ``names``."""
        for name in [name for name in self._levels if name not in names]:
            del self._levels[name]
            self.generation += 1
