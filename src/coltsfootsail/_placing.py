"""Which engine should serve a request, and whom to ask for a start.

Each adapter has its engines in an order of its own, by rendezvous hash of
their addresses, so that it is fetched from the weight store by few.  The
next in order takes over where the first can't be used or has a backlog
that costs more than a second fetch.
"""

from coltsfootsail import _grants
from coltsfootsail import _placement

RANKS = 3  # engines in an adapter's order that are compared
SPILL_S = 0.45  # backlog by which the next engine must be better
HELD_SPILL_S = 0.15  # the same where it is said to hold the adapter
DOWN_S = 1.0
STALE_S = 1.2  # an owner silent for longer is not asked
UNKNOWN_BACKLOG_S = 0.0


class Placing:
    """Chooses engines for one node.

    :param node: this node's name.
    :param view: a ``View``.
    :param mesh: a ``Mesh``.
    :param backlog: ``(server name) -> float``, seconds, as last told.
    :param now: closure that reads the clock.
    """

    def __init__(self, node, view, mesh, backlog, now):
        self._node = node
        self._view = view
        self._mesh = mesh
        self._backlog = backlog
        self._now = now
        self._down = {}

    def unreachable(self, server):
        """Note that an engine refused a connection."""
        self._down[server.name] = self._now() + DOWN_S

    def wish(self, call):
        """Make the ``Wish`` of a request."""
        prompt = call.meta.prompt
        return _grants.Wish(
            adapter=prompt.adapter,
            version=self._view.versions.get(prompt.adapter, 0),
            parts=prompt.parts,
            prompt_tokens=prompt.prompt_tokens,
            output_tokens=prompt.output_tokens,
            priority=call.route.priority,
            objective_s=call.received_s + call.route.objective_s,
            until_s=call.until_s,
        )

    def _usable(self, call):
        """List the engines by address, those with the model if any."""
        now_s = self._now()
        found = {
            server.address: server
            for server in self._view.servers.values()
            if server.service == call.service
            and not server.draining
            and self._down.get(server.name, 0.0) <= now_s
            and server.name not in call.avoided
        }
        model = call.meta.prompt.model
        loaded = {
            address: server
            for address, server in found.items()
            if model in server.models
        }
        return loaded or found

    def owner(self, server):
        """Get the node to ask for a start, or None if none is heard."""
        found = self._view.claim(server.name)
        if found is None:
            return None
        node = found[0].node
        if node == self._node:
            return node
        silent_s = self._mesh.silent_s(node)
        if silent_s is None or silent_s > STALE_S:
            return None
        return node

    def _ranked(self, wish, usable):
        addresses = tuple(sorted(usable))
        if "/" in wish.adapter:
            names = _placement.homes(wish.adapter, addresses, RANKS + 2)
            return [usable[name] for name in names]
        return sorted(
            usable.values(),
            key=lambda server: (self._backlog(server.name), server.address),
        )

    def choose(self, call):
        """Choose an engine.

        :returns: tuple of ``Server``, owner or None where the request
            goes there without a start, and ``Wish``; None if there is
            nothing to choose.
        """
        wish = self.wish(call)
        ranked = self._ranked(wish, self._usable(call))
        best = None
        for rank, server in enumerate(ranked):
            owner = self.owner(server)
            holds = self._holds(server, wish)
            if owner is None and not holds:
                continue
            cost = self._cost(rank, server, holds)
            if server.name in call.ran:
                cost += 5.0
            if best is None or cost < best[0]:
                best = (cost, server, owner)
            if rank + 1 >= RANKS and best is not None:
                break
        if best is None:
            return None
        return best[1], best[2], wish

    def _holds(self, server, wish):
        if "/" not in wish.adapter:
            return True
        return server.adapters.get(wish.adapter, -1) >= wish.version

    def _cost(self, rank, server, holds):
        backlog_s = self._backlog(server.name)
        if rank == 0:
            return backlog_s
        return backlog_s + (HELD_SPILL_S if holds else SPILL_S) * rank
