"""Which server of a plain service gets the next request.

Each node judges by what it saw itself: open requests, failures, refused
connections.  A server that fails part of its requests gets few, but some,
so that its recovery is seen; if all fail alike, none is preferred.
"""

import dataclasses
import math

FAILURE_WEIGHT = 0.12  # of the newest result in a server's failure share
FAILURE_COST = 3.0  # a failing server is worth this many more open requests
FAR_COST = 1.2  # open requests by which a near server is preferred
DOWN_FIRST_S = 0.5
DOWN_MAX_S = 4.0


@dataclasses.dataclass(slots=True)
class _Row:
    open: int = 0
    failures: float = 0.0
    down_until_s: float = 0.0
    down_s: float = DOWN_FIRST_S


class LoadBalancer:
    """Open requests and failures by server, as this node saw them.

    :param data_centre: where this node is.
    :param now: closure that reads the clock.
    :param rng: source of randomness, to break ties.
    :param room: ``(address) -> int``, requests that this node may have
        open at a server.
    """

    def __init__(self, data_centre, now, rng, room=lambda address: math.inf):
        self._data_centre = data_centre
        self._now = now
        self._rng = rng
        self._room = room
        self._rows = {}

    def _row(self, server):
        return self._rows.setdefault(server.name, _Row())

    def keep(self, names):
        """Forget servers that are not among names."""
        for name in [name for name in self._rows if name not in names]:
            del self._rows[name]

    def down(self, server):
        """Say whether a server refused a connection a moment ago."""
        row = self._rows.get(server.name)
        return row is not None and self._now() < row.down_until_s

    def _has_room(self, server):
        return self._row(server).open < self._room(server.address)

    def choose(self, servers, tried=()):
        """Choose a server.

        :param servers: the ``Server`` list to choose from.
        :param tried: names to use only if nothing else is left.
        :returns: a ``Server``, or None if none has a connection free.
        """
        servers = [each for each in servers if self._has_room(each)]
        if not servers:
            return None
        least = min(self._row(server).failures for server in servers)

        def cost(server):
            row = self._row(server)
            far = server.data_centre != self._data_centre
            load = row.open * 6.0 / max(1, server.slots)
            failing = FAILURE_COST * (row.failures - least)
            noise = self._rng.random() * 0.3
            return (
                self.down(server) + 2 * (server.name in tried),
                load + failing + far * FAR_COST + noise,
            )

        return min(servers, key=cost)

    def begin(self, server):
        """Note that a request is sent."""
        self._row(server).open += 1

    def end(self, server, failed):
        """Note how a request ended.

        :param failed: True or False, or None if it tells nothing.
        """
        row = self._row(server)
        row.open = max(0, row.open - 1)
        if failed is None:
            return
        row.failures += FAILURE_WEIGHT * (failed - row.failures)
        if not failed:
            row.down_s = DOWN_FIRST_S

    def unreachable(self, server):
        """Note that a server refused a connection."""
        row = self._row(server)
        row.down_until_s = self._now() + row.down_s
        row.down_s = min(DOWN_MAX_S, row.down_s * 2)
