"""This node's share of the connections that each server accepts.

A server resets connections beyond its limit, whoever opened them, and a
request that was under way on one may have run.  So every node keeps to an
equal share, open and idle connections together.
"""

SHARE = 0.9  # of a server's limit; the rest is for nodes not yet counted
LEAST = 2  # one in use and one about to be


class ConnectionShares:
    """Shares by address.

    :param view: a ``DeploymentView``.
    :param nodes: closure that counts the nodes which share.
    """

    def __init__(self, view, nodes):
        self._view = view
        self._nodes = nodes
        self._generation = None
        self._services = {}

    def _refresh(self):
        if self._generation == self._view.generation:
            return
        self._generation = self._view.generation
        self._services = {
            server.address: server.service
            for server in self._view.servers.values()
        }

    def limit(self, address):
        """Tell how many connections this node may have to a server.

        :param address: ``"ip:port"``.
        :returns: a count; ``LEAST`` where the server is not known.
        """
        self._refresh()
        name = self._services.get(address, "")
        service = self._view.deployment.services.get(name)
        if service is None or not service.connections_max:
            return LEAST
        share = SHARE * service.connections_max / self._nodes()
        return max(LEAST, int(share))
