"""Detection of node incarnations that have ended.

An incarnation is one lifetime of a node's process.  It has ended if the
node is a member with another incarnation, if its host refuses connections
to the peer port, or if its host was removed from the host list.
"""

import trio

from coltsfootsail import _kv

PROBE_INTERVAL_S = 2.0


class IncarnationTracker:
    """Tracks which incarnations have ended, and since when this is known.

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
        self._ended_since_s = {}
        self.last_members = {}

    def note_members(self):
        """Remember the members, to probe them once they are gone."""
        self.last_members.update(self._cluster.members())

    def is_alive(self, node, incarnation):
        """Tell whether an incarnation of a node is a member."""
        member = self._cluster.member(node)
        return member is not None and member.incarnation == incarnation

    def gone_s(self, node, incarnation):
        """Get the time since an incarnation is known to have ended.

        :returns: seconds; negative while it may still run.
        """
        since_s = self._ended_since_s.get((node, incarnation))
        host_gone_s = self._hosts.gone_s(node)
        if since_s is None:
            return host_gone_s
        return max(host_gone_s, self._now() - since_s)

    async def run(self, doubtful):
        """Probe doubtful incarnations until cancelled.

        :param doubtful: ``() -> set`` of pairs of node and incarnation.
        """
        while True:
            for incarnation_key in sorted(doubtful()):
                await self._probe(*incarnation_key)
            await trio.sleep(_kv.jittered(PROBE_INTERVAL_S))

    async def _probe(self, node, incarnation):
        member = self._cluster.member(node)
        if member is not None:
            if member.incarnation != incarnation:
                self._note_ended(node, incarnation)
            return
        last_member = self.last_members.get(node)
        if last_member is None:
            return
        try:
            stream = await self._network.open_stream(last_member.peer_address)
        except ConnectionRefusedError:
            self._note_ended(node, incarnation)
        except OSError:
            return
        else:
            await trio.aclose_forcefully(stream)

    def _note_ended(self, node, incarnation):
        self._ended_since_s.setdefault((node, incarnation), self._now())
