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
    :param node_count: ``() -> int``, number of nodes that share the
        limits.
    """

    def __init__(self, view, node_count):
        self._view = view
        self._node_count = node_count
        self._cached_generation = None
        self._service_names = {}

    def _refresh(self):
        if self._cached_generation == self._view.generation:
            return
        self._cached_generation = self._view.generation
        self._service_names = {
            server.address: server.service
            for server in self._view.servers.values()
        }

    def addresses(self):
        """Get the addresses of all servers, as the keys of a dict."""
        self._refresh()
        return self._service_names.keys()

    def limit(self, address):
        """Get the number of connections this node may have to a server.

        :param address: ``"ip:port"``.
        :returns: a count; ``MIN_CONNECTIONS`` if the server or its limit is
            unknown.
        """
        self._refresh()
        service_name = self._service_names.get(address, "")
        service = self._view.deployment.services.get(service_name)
        if service is None or not service.connections_max:
            return MIN_CONNECTIONS
        per_node = USABLE_SHARE * service.connections_max / self._node_count()
        return max(MIN_CONNECTIONS, int(per_node))
