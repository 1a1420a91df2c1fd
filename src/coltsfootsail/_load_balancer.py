"""Load balancing over the servers of a plain service.

Each node uses only its own observations: open requests, failures and
refused connections.  A server that fails some of its requests still gets
a few, so that its recovery is noticed.  If all servers fail at the same
rate, none is preferred.
"""

import dataclasses
import math

FAILURE_EWMA_WEIGHT = 0.12  # of the newest result in the moving average
FAILURE_COST = 3.0  # in open requests, for a server that always fails
REMOTE_COST = 1.2  # in open requests, for a server in another data centre
COLD_LOAD_FACTOR = 2.0  # on the open requests of a server that is cold
LIMIT_COST_PER_S = 10.0  # in open requests, for the wait at a limited server
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0


@dataclasses.dataclass(slots=True)
class _ServerState:
    open: int = 0
    failure_rate: float = 0.0
    down_until_s: float = 0.0
    backoff_s: float = FIRST_BACKOFF_S


class LoadBalancer:
    """Chooses servers by the open requests and failures that this node saw.

    :param data_centre: this node's data centre.
    :param now: closure that reads the clock.
    :param rng: source of randomness, to break ties.
    :param connection_limit: ``(address) -> int``, requests that this node
        may have open at a server.
    :param limit_wait_s: ``(server name) -> float``, the wait for a start
        under the server's limit.
    :param is_cold: ``(server name) -> bool``, whether the server is still
        slow after its start.
    """

    def __init__(
        self,
        data_centre,
        now,
        rng,
        connection_limit=lambda address: math.inf,
        limit_wait_s=lambda name: 0.0,
        is_cold=lambda name: False,
    ):
        self._data_centre = data_centre
        self._now = now
        self._rng = rng
        self._connection_limit = connection_limit
        self._limit_wait_s = limit_wait_s
        self._is_cold = is_cold
        self._states = {}

    def _state(self, server):
        return self._states.setdefault(server.name, _ServerState())

    def keep(self, names):
        """Forget the servers that are not in ``names``."""
        for name in [name for name in self._states if name not in names]:
            del self._states[name]

    def down(self, server):
        """Tell whether a server is in backoff after a refused connection."""
        state = self._states.get(server.name)
        return state is not None and self._now() < state.down_until_s

    def _has_capacity(self, server):
        return self._state(server).open < self._connection_limit(
            server.address
        )

    def choose(self, servers, tried=()):
        """Choose a server.

        :param servers: list of ``Server`` to choose from.
        :param tried: names of servers to use only if no other is left.
        :returns: a ``Server``, or None if none has capacity.
        """
        servers = [each for each in servers if self._has_capacity(each)]
        if not servers:
            return None
        lowest_failure_rate = min(
            self._state(server).failure_rate for server in servers
        )

        def cost(server):
            state = self._state(server)
            remote = server.data_centre != self._data_centre
            load = (state.open + 1) * 6.0 / max(1, server.slots)
            if self._is_cold(server.name):
                load *= COLD_LOAD_FACTOR
            failure_cost = FAILURE_COST * (
                state.failure_rate - lowest_failure_rate
            )
            limit_cost = LIMIT_COST_PER_S * self._limit_wait_s(server.name)
            noise = self._rng.random() * 0.3
            return (
                self.down(server) + 2 * (server.name in tried),
                load
                + failure_cost
                + limit_cost
                + remote * REMOTE_COST
                + noise,
            )

        return min(servers, key=cost)

    def begin(self, server):
        """Count a request that is sent to a server."""
        self._state(server).open += 1

    def end(self, server, failed):
        """Note how a request ended.

        :param failed: whether it failed, or None if that is unknown.
        """
        state = self._state(server)
        state.open = max(0, state.open - 1)
        if failed is None:
            return
        state.failure_rate += FAILURE_EWMA_WEIGHT * (
            failed - state.failure_rate
        )
        if not failed:
            state.backoff_s = FIRST_BACKOFF_S

    def unreachable(self, server):
        """Note a refused connection and double the server's next backoff."""
        state = self._state(server)
        state.down_until_s = self._now() + state.backoff_s
        state.backoff_s = min(MAX_BACKOFF_S, state.backoff_s * 2)
