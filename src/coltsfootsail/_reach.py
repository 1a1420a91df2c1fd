"""Which servers this node and the others are cut off from.

A node is cut off from a server that it can't connect to while another node
can, as ``_crash_checks`` finds out.  It tells all others, so that none relies
on it for that server, and tries again until it can connect.  A node that
reaches none of the servers that it tries is taken to be cut off from all.

Open connections may hang while a server can't be reached.  A server that has
been sent requests and has answered none for a while is therefore tried with a
new connection.
"""

import dataclasses
import random

import trio

from coltsfootsail import _crash_checks
from coltsfootsail import _logs
from coltsfootsail import _tasks
from coltsfootsail import _wire

RETRY_S = 0.5  # between attempts to connect to servers that were cut off
TRIED_MAX = 16  # servers that are tried at a time
FIND_WAIT_S = 0.6  # longest wait of a request for a finding
RELAY_SILENCE_MAX_S = 0.5  # of a node that is sent through
# Silence of a server that was sent a request, after which it is tried; twice
# as long after each time that it was reached.
SILENCE_S = 0.6
SILENCE_CHECK_S = 0.2  # between looks for silent servers
Finding = _crash_checks.Finding
# Findings after which a server is not chosen for a while.
PAUSING = frozenset({Finding.CRASHED, Finding.UNKNOWN})


@dataclasses.dataclass(frozen=True, slots=True)
class Cuts:
    """What a node is cut off from.

    :param servers: names of servers.
    :param is_isolated: whether it is cut off from all servers.
    """

    servers: frozenset = frozenset()
    is_isolated: bool = False

    def include(self, server_name):
        """Tell whether a server is among them."""
        return self.is_isolated or server_name in self.servers


NO_CUTS = Cuts()


@dataclasses.dataclass(slots=True)
class _Silence:
    """The silence of a server that was sent a request.

    :param begun_s: when the request was sent.
    :param check_at_s: when to try it.
    :param wait_s: how long was waited for that.
    """

    begun_s: float
    check_at_s: float
    wait_s: float = SILENCE_S


class Reach:
    """What this node knows of cuts between nodes and servers.

    :param node: this node's name.
    :param data_centre: this node's data centre.
    :param view: a ``DeploymentView``.
    :param mesh: a ``Mesh``.
    :param checks: the node's ``CrashChecks``.
    :param now: closure that reads the clock.
    :param count: ``(counter, reason)``.
    :param drop_connections: ``async (address)``, closes the kept connections
        to a server.
    """

    def __init__(
        self,
        node,
        data_centre,
        view,
        mesh,
        checks,
        now,
        count,
        drop_connections,
    ):
        self._node = node
        self._data_centre = data_centre
        self._view = view
        self._mesh = mesh
        self._checks = checks
        self._now = now
        self._count = count
        self._drop_connections = drop_connections
        self._silences = {}
        self._own = NO_CUTS
        self._peers = {}
        self._tasks = _tasks.TaskGroup("server", count)
        self._changed = trio.Event()

    def note_sent(self, server_name):
        """Note that a request is sent to a server on a connection."""
        if server_name not in self._silences:
            now_s = self._now()
            silence = _Silence(now_s, now_s + SILENCE_S)
            self._silences[server_name] = silence

    def silence_s(self, server_name):
        """Get for how long a server has left all requests unanswered."""
        silence = self._silences.get(server_name)
        return 0.0 if silence is None else self._now() - silence.begun_s

    def note_contact(self, server_name):
        """Note that a server has just answered a request."""
        self._silences.pop(server_name, None)
        self._checks.note_contact(server_name)

    def is_cut_off(self, server_name, node=None):
        """Tell whether a node is cut off from a server.

        :param node: its name, this node by default.
        """
        return self._cuts(node).include(server_name)

    def is_isolated(self, node=None):
        """Tell whether a node is cut off from all servers."""
        return self._cuts(node).is_isolated

    def _cuts(self, node):
        if node in (None, self._node):
            return self._own
        return self._peers.get(node, NO_CUTS)

    def relay(self, server_name):
        """Choose a node to send through to a server.

        Nodes of this node's data centre are preferred.

        :returns: its name and peer address; None if this node is not cut off
            from the server, or no node is known to reach it.
        """
        if not self.is_cut_off(server_name):
            return None
        members = self._view.members()
        nodes = [
            node
            for node, heartbeat in self._mesh.heartbeats().items()
            if heartbeat.ready
            and node in members
            and self._mesh.knows(node, _wire.RelayRequest)
            and not self.is_cut_off(server_name, node)
            and self._mesh.unanswered_ping_s(node) <= RELAY_SILENCE_MAX_S
        ]
        near = [
            node
            for node in nodes
            if members[node].data_centre == self._data_centre
        ]
        if not nodes:
            return None
        node = random.choice(near or nodes)
        return node, members[node].peer_address

    def is_usable(self, server_name):
        """Tell whether requests can be sent to a server in some way."""
        if not self.is_cut_off(server_name):
            return True
        return self.relay(server_name) is not None

    async def find(self, server):
        """Find out why a server did not accept a connection.

        :param server: a ``Server``.
        :returns: a ``Finding``, ``UNKNOWN`` if it takes too long.
        """
        if self.is_cut_off(server.name):
            return Finding.CUT_OFF
        found = []

        async def check():
            found.append(await self._check(server))
            done.set()

        done = trio.Event()
        self._tasks.start_soon(check)
        with trio.move_on_after(FIND_WAIT_S):
            await done.wait()
        return found[0] if found else Finding.UNKNOWN

    async def _check(self, server):
        finding = await self._checks.check(server)
        is_new = not self.is_cut_off(server.name)
        if finding is Finding.CUT_OFF and is_new:
            self._set_own(self._own.servers | {server.name}, False)
            self._tasks.start_soon(self._survey)
        return finding

    async def _survey(self):
        """Try other servers, and note which of them this node can't reach."""
        servers = [
            each
            for each in self._view.servers.values()
            if not self.is_cut_off(each.name)
        ]
        tried = random.sample(servers, min(TRIED_MAX, len(servers)))
        cut_off = set()

        async def try_server(server):
            if await self._checks.check(server) is Finding.CUT_OFF:
                cut_off.add(server.name)

        async with trio.open_nursery() as nursery:
            for server in tried:
                nursery.start_soon(try_server, server)
        is_isolated = len(cut_off) == len(tried)
        self._set_own(self._own.servers | cut_off, is_isolated)

    def _set_own(self, servers, is_isolated):
        cuts = Cuts(frozenset(servers), is_isolated)
        if cuts == self._own:
            return
        before, self._own = self._own, cuts
        for name, server in self._view.servers.items():
            if cuts.include(name) and not before.include(name):
                # They may stay silent when the cut has ended.
                self._tasks.start_soon(self._drop_connections, server.address)
        self._changed.set()
        self._count("server_cuts", "cut" if servers else "ended")
        _logs.state(
            "cut_off" if servers else "cut_ended",
            node=self._node,
            servers=" ".join(sorted(servers)),
            isolated=is_isolated,
        )
        self._mesh.broadcast(self._message())

    def _message(self):
        servers = tuple(sorted(self._own.servers))
        return _wire.CutOff(servers, self._own.is_isolated)

    def messages(self):
        """Make the messages that tell a node with a new link of the cuts."""
        return [self._message()] if self._own.servers else []

    def learn(self, msg, node):
        """Note what another node is cut off from.

        :param msg: a ``CutOff``.
        """
        cuts = Cuts(frozenset(map(str, msg.servers)), msg.isolated)
        if cuts == NO_CUTS:
            self._peers.pop(node, None)
        else:
            self._peers[node] = cuts

    def forget(self, node):
        """Forget the cuts of a node whose link is down."""
        self._peers.pop(node, None)

    def keep(self, names):
        """Forget the servers that are not in ``names``."""
        for name in [name for name in self._silences if name not in names]:
            del self._silences[name]
        left = self._own.servers.intersection(names)
        if left != self._own.servers:
            self._set_own(left, self._own.is_isolated and bool(left))

    async def run(self):
        """Try servers that were cut off until cancelled."""
        async with self._tasks.opened(), trio.open_nursery() as nursery:
            nursery.start_soon(
                _tasks.run_again, "server", self._count, self._watch_silences
            )
            while True:
                if not self._own.servers:
                    self._changed = trio.Event()
                    await self._changed.wait()
                await trio.sleep(RETRY_S)
                await _tasks.run_contained("server", self._count, self._retry)

    async def _watch_silences(self):
        """Try servers that have been silent for too long."""
        while True:
            await trio.sleep(SILENCE_CHECK_S)
            now_s = self._now()
            for name, silence in list(self._silences.items()):
                server = self._view.servers.get(name)
                if server is not None and now_s >= silence.check_at_s:
                    silence.wait_s *= 2
                    silence.check_at_s = now_s + silence.wait_s
                    self._tasks.start_soon(self.find, server)

    async def _retry(self):
        """Try some of the servers that were cut off."""
        names = [n for n in self._own.servers if n in self._view.servers]
        reached = set()

        async def try_server(server):
            if await self._checks.reaches(server):
                reached.add(server.name)

        async with trio.open_nursery() as nursery:
            for name in random.sample(names, min(TRIED_MAX, len(names))):
                server = self._view.servers[name]
                nursery.start_soon(try_server, server)
        if reached:
            self._set_own(self._own.servers - reached, False)
