"""Which runs of nodes are known to have ended.

A run has ended if its node is a member with another incarnation, if its
host refuses connections to the peer port, or if its host is off the list.
"""

import trio

from coltsfootsail import _kv

PROBE_S = 2.0


class Runs:
    """Ended runs of nodes, and since when they are known to have ended.

    :param cluster: a ``ClusterView``.
    :param hosts: a ``HostList``.
    :param network: a ``Network``.
    :param now: closure that reads the clock.
    """

    def __init__(self, cluster, hosts, network, now):
        self._cluster = cluster
        self._hosts = hosts
        self._network = network
        self._now = now
        self._gone_since_s = {}
        self.seen = {}

    def note_members(self):
        """Remember where members were, for when they are gone."""
        self.seen.update(self._cluster.members())

    def is_alive(self, node, incarnation):
        """Say whether a run of a node is a member."""
        member = self._cluster.member(node)
        return member is not None and member.incarnation == incarnation

    def gone_s(self, node, incarnation):
        """Tell for how long a run is known to have ended.

        :returns: seconds; negative while it may run.
        """
        since_s = self._gone_since_s.get((node, incarnation))
        host_s = self._hosts.gone_s(node)
        if since_s is None:
            return host_s
        return max(host_s, self._now() - since_s)

    async def run(self, doubtful):
        """Probe doubtful runs while the task runs.

        :param doubtful: ``() -> set`` of pairs of node and incarnation.
        """
        while True:
            for found in sorted(doubtful()):
                await self._probe(*found)
            await trio.sleep(_kv.jittered(PROBE_S))

    async def _probe(self, node, incarnation):
        member = self._cluster.member(node)
        if member is not None:
            if member.incarnation != incarnation:
                self._note_gone(node, incarnation)
            return
        seen = self.seen.get(node)
        if seen is None:
            return
        try:
            stream = await self._network.open_stream(seen.peer_address)
        except ConnectionRefusedError:
            self._note_gone(node, incarnation)
        except OSError:
            return
        else:
            await trio.aclose_forcefully(stream)

    def _note_gone(self, node, incarnation):
        self._gone_since_s.setdefault((node, incarnation), self._now())
