"""Selection of the engine for a request, and of the node that owns it.

Every adapter has its own order of engines, by rendezvous hash of their
addresses, so that few engines fetch it from the weight store.  The next
engine in the order is used if the first is unavailable or has a backlog
that costs more than another load.  This answers a few popular adapters
among many rare ones: the popular ones spread over engines, the rare ones
take one adapter slot each.

The order is weighted by the engines' speeds, because a slow engine holds its
adapter slots for longer.  Of engines of different speeds, the one at which a
request is expected to end first costs least.
"""

from coltsfootsail import _adapter_slots
from coltsfootsail import _eras
from coltsfootsail import _grants
from coltsfootsail import _placement
from coltsfootsail import _popularity
from coltsfootsail import _reading_speed
from coltsfootsail import _server_states
from coltsfootsail import _wire

COMPARED_ENGINES = 10  # first engines of an adapter's order
# Backlog that outweighs a load: the request waits for it, the adapter that
# it evicts has to be loaded again, and another load is delayed meanwhile.
LOAD_COST_S = 3 * _adapter_slots.COLD_LOAD_S
HOT_RATE_PER_S = 1.0  # above this request rate a load costs less
RANK_COST_S = 0.02  # per place in the order, to keep adapters on few engines
# Of the time by which an engine runs a request longer or shorter than a common
# one.  In full it outweighs a load, and requests leave the engines that hold
# their adapters for the fastest ones, which are then full.
RUN_COST_SHARE = 0.2
STEP_S = 0.009  # of a common engine, while no other step time is known
# While an engine reads a prompt, the streams that it runs get no event.
READING_SHARE = 0.8  # of the longest pause, that one prompt may take
# A longer one makes all of them late, which is worse than another load.
LATE_STREAMS_COST_S = 1.2 * LOAD_COST_S
RATE_HALF_LIFE_S = 20.0  # of this node's request counts
REFUSED_PAUSE_S = 1.0  # an engine is not chosen after a refused connection
# An owner that leaves a ping unanswered for longer is not asked for grants.
OWNER_SILENCE_MAX_S = 0.5


# Messages that an engine's owner must know while the engine is in a state.
_NEEDED_MESSAGES = {
    _server_states.State.LIMITED: _wire.ServerLimit,
    _server_states.State.BRITTLE: _wire.ServerBrittle,
}


class EngineSelector:
    """Chooses the engine and its owner for each request of one node.

    :param node: this node's name.
    :param view: a ``DeploymentView``.
    :param mesh: a ``Mesh``.
    :param backlog: ``(server name) -> float``, last known backlog in
        seconds.
    :param states: the node's ``ServerStates``.
    :param is_usable: ``(server name) -> bool``, whether requests can be sent
        there from this node in some way.
    :param now: closure that reads the clock.
    :param speeds: the node's ``ServerSpeeds``.
    """

    def __init__(
        self, node, view, mesh, backlog, states, is_usable, now, speeds
    ):
        self._node = node
        self._view = view
        self._mesh = mesh
        self._backlog = backlog
        self._states = states
        self._is_usable = is_usable
        self._now = now
        self._speeds = speeds
        self._down_until_s = {}
        self._named_owners = {}
        self._cached_generation = None
        self._engines_cache = {}
        self._rates = _popularity.Popularity(
            RATE_HALF_LIFE_S, prior_s=RATE_HALF_LIFE_S
        )

    def unreachable(self, server):
        """Note that an engine refused a connection."""
        now_s = self._now()
        for name in [
            n for n, until_s in self._down_until_s.items() if until_s <= now_s
        ]:
            del self._down_until_s[name]
        self._down_until_s[server.name] = now_s + REFUSED_PAUSE_S

    def forget(self, name):
        """Forget that an engine refused connections before its restart."""
        self._down_until_s.pop(name, None)

    def count_request(self, adapter):
        """Count a caller's request in the adapter's request rate.

        The first request of an adapter has no weight: multiplied by the
        number of nodes, it would look like a high rate.
        """
        weight = 1.0 if adapter in self._rates else 0.0
        self._rates.add(adapter, self._now(), weight)

    def sweep(self):
        """Forget adapters and engines that are no longer used."""
        self._rates.sweep(self._now())
        for name in [
            n for n in self._named_owners if n not in self._view.servers
        ]:
            del self._named_owners[name]

    def _load_cost_s(self, adapter):
        """Get the backlog that outweighs one more load of an adapter.

        A load of a rare adapter takes an adapter slot for one request,
        one of a popular adapter serves many.  The rate over all nodes is
        estimated from this node's own.

        :returns: seconds.
        """
        nodes = len(self._mesh.linked_nodes()) + 1
        rate_per_s = self._rates.rate(adapter, self._now()) * nodes
        return LOAD_COST_S * HOT_RATE_PER_S / max(HOT_RATE_PER_S, rate_per_s)

    def grant_request(self, context):
        """Make the ``GrantRequest`` of a request.

        An interrupted stream gets the highest priority, because its
        caller gives up after a pause of some seconds.
        """
        prompt = context.meta.prompt
        objective_from_s = self._now() if context.begun else context.received_s
        return _grants.GrantRequest(
            adapter=prompt.adapter,
            version=self._view.versions.get(prompt.adapter, 0),
            parts=prompt.parts,
            prompt_tokens=prompt.prompt_tokens,
            output_tokens=prompt.output_tokens,
            priority=0 if context.begun else context.priority,
            objective_s=objective_from_s + context.route.objective_s,
            until_s=context.until_s,
            may_move=not context.moved,
            workspace=context.workspace_name,
            expected_tokens=prompt.expected_tokens,
            request_id=context.meta.request_id,
        )

    def has_engine(self, context):
        """Tell whether an engine may serve a request, now or soon."""
        _, names, _ = self._engines(context)
        return any(
            name not in context.limited and self._states.takes_requests(name)
            for name in names.values()
        )

    def _engines(self, context):
        """List the engines for a request that do not leave.

        They have the software version that began its stream.  If any of
        them hold the base model, only those are listed.

        :returns: sorted tuple of addresses, dict of address to name, and
            tuple of the speed level of each, empty if all are equal.
        """
        generation = (
            self._view.generation,
            self._states.generation,
            self._speeds.generation,
        )
        if self._cached_generation != generation:
            self._cached_generation = generation
            self._engines_cache.clear()
        model = context.meta.prompt.model
        key = context.service, model, context.software
        cached = self._engines_cache.get(key)
        if cached is None:
            engines = [
                server
                for server in self._states.available_servers(context.service)
                if context.software in (None, server.software)
            ]
            # The newest of several entries with one address is the valid one.
            engines.sort(key=lambda engine: engine.created)
            with_model = [e for e in engines if model in e.models]
            names = {e.address: e.name for e in with_model or engines}
            addresses = tuple(sorted(names))
            levels = tuple(self._speeds.level(names[a]) for a in addresses)
            if len(set(levels)) == 1:
                levels = ()  # nothing to weigh, and faster to look up
            cached = addresses, names, levels
            self._engines_cache[key] = cached
        return cached

    def _is_eligible(self, context, server):
        refused = self._down_until_s.get(server.name, 0.0) > self._now()
        left_out = (
            server.name in context.avoided or server.name in context.limited
        )
        is_busy = self._states.busy_s(server.name) > 0.0
        if refused or left_out or is_busy:
            return False
        return self._is_usable(server.name)

    def note_owner(self, server_name, node, fence):
        """Note the owner that the former owner of an engine named."""
        if fence > self._named_owners.get(server_name, ("", 0))[1]:
            self._named_owners[server_name] = node, fence

    def _newest_owner(self, server):
        """Get the owner with the highest fencing number, or None."""
        claim = self._view.claim(server.name)
        named, named_fence = self._named_owners.get(server.name, (None, 0))
        if claim is None:
            return named
        fence = _eras.fencing_number(self._view.era, claim[1])
        return named if named_fence > fence else claim[0].node

    def owner(self, server):
        """Get the node that owns an engine.

        A node that is cut off from the store may know a newer owner from
        the former one.

        :returns: its name, or None if there is no owner or no live link
            to it.
        """
        node = self._newest_owner(server)
        if node in (None, self._node):
            return node
        silence_s = self._mesh.unanswered_ping_s(node)
        if silence_s is None or silence_s > OWNER_SILENCE_MAX_S:
            return None
        return node

    def _rank_engines(self, context, request):
        """List the eligible engines in order of preference.

        An adapter has its own order; requests for a base model go to the
        engine with the smallest backlog.
        """
        addresses, names, levels = self._engines(context)
        if "/" in request.adapter:
            count = (
                COMPARED_ENGINES
                + 2
                + len(context.avoided)
                + len(self._down_until_s)
            )
            addresses = _placement.weighted_ranking(
                _placement.short_key(request.adapter),
                addresses,
                levels,
                count,
            )
        else:
            addresses = sorted(
                addresses, key=lambda address: self._backlog(names[address])
            )
        servers = [self._view.servers[names[each]] for each in addresses]
        return [each for each in servers if self._is_eligible(context, each)]

    def choose(self, context):
        """Choose an engine.

        An engine without a reachable owner can only serve what it has
        loaded, and nothing while it names a limit or is brittle.

        :returns: tuple of ``Server``, owner and ``GrantRequest``, or None
            if no engine can serve the request.  The owner is None if the
            request is to be sent without the owner's grant.
        """
        request = self.grant_request(context)
        ranked = self._rank_engines(context, request)
        load_penalty_s = self._load_cost_s(request.adapter)
        best = None
        for rank, server in enumerate(ranked):
            owner = self.owner(server)
            is_loaded = self._is_loaded(server, request)
            needs = _NEEDED_MESSAGES.get(self._states.state(server.name))
            if needs is not None and not self._is_told(owner, needs):
                continue
            if owner is None and not is_loaded:
                continue
            load_cost_s = 0.0 if is_loaded or not rank else load_penalty_s
            cost = self._backlog(server.name) + load_cost_s
            cost += RANK_COST_S * rank
            cost += self._run_cost_s(
                server, request, is_loaded, context.route.gap_s
            )
            if best is None or cost < best[0]:
                best = (cost, server, owner)
            if rank + 1 >= COMPARED_ENGINES and best is not None:
                break
        if best is None:
            return None
        return best[1], best[2], request

    def _run_cost_s(self, server, request, is_loaded, gap_s):
        """Get the cost of a longer run than on a common engine.

        :param gap_s: the longest pause allowed between events, 0 for any.
        :returns: seconds, exactly 0 for an engine of the nominal level.
        """
        level = self._speeds.level(server.name)
        slowness = 1.0 / level - 1.0
        if not slowness:
            return 0.0
        tokens = request.prompt_tokens
        if is_loaded and request.parts:
            tokens = request.parts[-1][1]
        read_s = tokens / _reading_speed.ASSUMED_TOKENS_PER_S
        step_s = self._speeds.step_s(server.service) or STEP_S
        run_s = read_s + request.expected_tokens * step_s
        cost_s = RUN_COST_SHARE * slowness * run_s
        if gap_s and read_s / level > READING_SHARE * gap_s:
            cost_s += LATE_STREAMS_COST_S
        return cost_s

    def _is_told(self, owner, message):
        """Tell whether an engine's owner is told what the engine states.

        A node of an early build knows nothing of it, and grants without.
        """
        if owner in (None, self._node):
            return owner is not None
        return self._mesh.knows(owner, message)

    def _is_loaded(self, server, request):
        if "/" not in request.adapter:
            return True
        return server.adapters.get(request.adapter, -1) >= request.version
