"""Limits on this node's connections to each server.

A server resets connections beyond its limit, whichever node opened them,
and a request in progress on such a connection may have run.  Every node
therefore keeps to an equal share of the limit, counting both busy and
idle connections.
"""

USABLE_SHARE = 0.9  # of a server's limit; the rest is for nodes not yet known
MIN_CONNECTIONS = 2  # one in use and one being opened


class ConnectionLimits:
    """This node's connection limit for each server address.

    :param view: a ``DeploymentView``.
    :param nodes: ``() -> int``, number of nodes that share the limits.
    """

    def __init__(self, view, nodes):
        self._view = view
        self._nodes = nodes
        self._cached_generation = None
        self._service_of = {}

    def _refresh(self):
        if self._cached_generation == self._view.generation:
            return
        self._cached_generation = self._view.generation
        self._service_of = {
            server.address: server.service
            for server in self._view.servers.values()
        }

    def limit(self, address):
        """Get the number of connections this node may have to a server.

        :param address: ``"ip:port"``.
        :returns: a count; ``MIN_CONNECTIONS`` if the server or its limit is
            unknown.
        """
        self._refresh()
        name = self._service_of.get(address, "")
        service = self._view.deployment.services.get(name)
        if service is None or not service.connections_max:
            return MIN_CONNECTIONS
        per_node = USABLE_SHARE * service.connections_max / self._nodes()
        return max(MIN_CONNECTIONS, int(per_node))
