"""Which engine should serve a request, and whom to ask for a start.

Each adapter has its engines in an order of its own, by rendezvous hash of
their addresses, so that it is fetched from the weight store by few.  The
next in order takes over where the first can't be used or has a backlog
that costs more than a second fetch.
"""

from coltsfootsail import _grants
from coltsfootsail import _placement
from coltsfootsail import _popularity

RANKS = 10  # engines in an adapter's order that are compared
LOAD_COST_S = 0.45  # backlog worth as much as one more load and place
HOT_RATE_S = 1.0  # asked for more often, an adapter's loads cost less each
RANK_COST_S = 0.02  # for each place in the order, to keep adapters together
HALF_LIFE_S = 20.0  # over which this node counts what it is asked for
DOWN_S = 1.0
STALE_S = 0.5  # an owner that owes a sign of life longer is not asked


class Placing:
    """Chooses engines for one node.

    :param node: this node's name.
    :param view: a ``View``.
    :param mesh: a ``Mesh``.
    :param backlog: ``(server name) -> float``, seconds, as last received.
    :param now: closure that reads the clock.
    """

    def __init__(self, node, view, mesh, backlog, now):
        self._node = node
        self._view = view
        self._mesh = mesh
        self._backlog = backlog
        self._now = now
        self._down = {}
        self._generation = None
        self._sets = {}
        self._asked = _popularity.Popularity(HALF_LIFE_S, prior_s=HALF_LIFE_S)

    def unreachable(self, server):
        """Note that an engine refused a connection."""
        now_s = self._now()
        for name in [n for n, until in self._down.items() if until <= now_s]:
            del self._down[name]
        self._down[server.name] = now_s + DOWN_S

    def note(self, adapter):
        """Count a request of a caller.

        The first one of an adapter counts nothing: with many nodes a
        single request would look like a high rate over all of them.
        """
        weight = 1.0 if adapter in self._asked else 0.0
        self._asked.add(adapter, self._now(), weight)

    def sweep(self):
        """Forget adapters that are asked for no more."""
        self._asked.sweep(self._now())

    def _load_cost_s(self, adapter):
        """Tell how much backlog one more load of an adapter is worth.

        A load for a single request costs a place for as long as that
        runs; one of an adapter that is asked for often serves many.
        """
        nodes = len(self._mesh.linked_nodes()) + 1
        rate_s = self._asked.rate(adapter, self._now()) * nodes
        return LOAD_COST_S * HOT_RATE_S / max(HOT_RATE_S, rate_s)

    def wish(self, call):
        """Make the ``Wish`` of a request.

        A stream that broke off is resumed before others begin: its caller
        leaves after a pause of seconds.
        """
        prompt = call.meta.prompt
        since_s = self._now() if call.begun else call.received_s
        return _grants.Wish(
            adapter=prompt.adapter,
            version=self._view.versions.get(prompt.adapter, 0),
            parts=prompt.parts,
            prompt_tokens=prompt.prompt_tokens,
            output_tokens=prompt.output_tokens,
            priority=0 if call.begun else call.route.priority,
            objective_s=since_s + call.route.objective_s,
            until_s=call.until_s,
        )

    def _engines(self, service, model):
        """List a service's engines, those that hold the model if any do.

        :returns: tuple of their addresses and dict of address to name.
        """
        if self._generation != self._view.generation:
            self._generation = self._view.generation
            self._sets.clear()
        found = self._sets.get((service, model))
        if found is None:
            engines = [
                server
                for server in self._view.servers.values()
                if server.service == service and not server.draining
            ]
            # Of two entries with one address the newer one is answered.
            engines.sort(key=lambda engine: engine.created)
            loaded = [e for e in engines if model in e.models]
            names = {e.address: e.name for e in loaded or engines}
            found = tuple(sorted(names)), names
            self._sets[service, model] = found
        return found

    def _can_take(self, call, server):
        down = self._down.get(server.name, 0.0) > self._now()
        return not down and server.name not in call.avoided

    def owner(self, server):
        """Get the node to ask for a start, or None if none is heard."""
        found = self._view.claim(server.name)
        if found is None:
            return None
        node = found[0].node
        if node == self._node:
            return node
        owed_s = self._mesh.unanswered_ping_s(node)
        if owed_s is None or owed_s > STALE_S:
            return None
        return node

    def _ranked(self, call, wish):
        """List the engines to compare, the adapter's first ones first."""
        addresses, names = self._engines(call.service, call.meta.prompt.model)
        if "/" in wish.adapter:
            count = RANKS + 2 + len(call.avoided) + len(self._down)
            addresses = _placement.homes(wish.adapter, addresses, count)
        else:
            addresses = sorted(
                addresses, key=lambda address: self._backlog(names[address])
            )
        servers = [self._view.servers[names[each]] for each in addresses]
        return [each for each in servers if self._can_take(call, each)]

    def choose(self, call):
        """Choose an engine.

        :returns: tuple of ``Server``, owner or None where the request
            goes there without a start, and ``Wish``; None if there is
            nothing to choose.
        """
        wish = self.wish(call)
        ranked = self._ranked(call, wish)
        load_s = self._load_cost_s(wish.adapter)
        best = None
        for rank, server in enumerate(ranked):
            owner = self.owner(server)
            holds = self._holds(server, wish)
            if owner is None and not holds:
                continue
            load_cost_s = 0.0 if holds or not rank else load_s
            cost = self._backlog(server.name) + load_cost_s
            cost += RANK_COST_S * rank
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
