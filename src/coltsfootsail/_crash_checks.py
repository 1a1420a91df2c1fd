"""Checks whether a server has crashed.

A server that this node can't connect to may be cut off from this node alone.
It has crashed only if another node, which reaches other servers, can't connect
to it either.  Witnesses are asked in several data centres, since all nodes of
one may be cut off together.
"""

import enum
import itertools
import math
import random

import trio

from coltsfootsail import _logs
from coltsfootsail import _wire

CONNECT_TIMEOUT_S = 0.5
REPLY_TIMEOUT_S = 1.2  # two connection attempts of the witness, and the way
CRASH_VALID_S = 1.0  # a crash that was found is not checked again
CONTACT_VALID_S = 0.3  # a server that answered counts as reached for this long
WITNESSES_MAX = 4
CRASHED_MIN = 2  # witnesses of a crash after which no further reply is needed
OTHERS_MAX = 8  # servers that are tried to prove a node's own connectivity


class Finding(enum.StrEnum):
    """What a node knows of a server.

    ``CUT_OFF`` means that only this node can't reach it, ``UNKNOWN`` that
    nobody can tell.
    """

    REACHED = "reached"
    CRASHED = "crashed"
    CUT_OFF = "cut_off"
    UNKNOWN = "unknown"


class _Check:
    """One check, which several tasks may wait for."""

    def __init__(self):
        self.done = trio.Event()
        self.finding = Finding.UNKNOWN
        self.valid_until_s = math.inf


class CrashChecks:
    """Checks servers for this node and for others.

    :param view: a ``DeploymentView``.
    :param mesh: a ``Mesh``.
    :param is_accepting: ``async (address, timeout_s) -> bool``, whether a new
        connection can be made; raises ``OSError`` if this process lacks a
        descriptor for it.
    :param may_witness: ``(node, server) -> bool``, whether a node may be
        able to connect to a server.
    :param now: closure that reads the clock.
    """

    def __init__(self, view, mesh, is_accepting, may_witness, now):
        self._view = view
        self._mesh = mesh
        self._is_accepting = is_accepting
        self._may_witness = may_witness
        self._now = now
        self._numbers = itertools.count(1)
        self._contacts_s = {}
        self._checks = {}
        self._probes = {}
        self._questions = {}

    def note_contact(self, server_name):
        """Note that a server has just answered this node."""
        self._contacts_s[server_name] = self._now()

    def keep(self, names):
        """Forget the servers that are not in ``names``."""
        for table in (self._contacts_s, self._checks, self._probes):
            for name in [name for name in table if name not in names]:
                del table[name]

    async def check(self, server):
        """Find out whether a server has crashed.

        :param server: a ``Server``.
        :returns: a ``Finding``.
        """
        return await self._share(self._checks, server, self._check)

    async def _share(self, checks, server, run):
        """Let several tasks share one check of a server.

        Only a crash is remembered: a server that was reached may have
        crashed since.
        """
        check = checks.get(server.name)
        if check is not None and self._now() < check.valid_until_s:
            await check.done.wait()
            return check.finding
        check = checks[server.name] = _Check()
        try:
            check.finding = await run(server)
        finally:
            check.valid_until_s = self._now()
            if check.finding is Finding.CRASHED:
                check.valid_until_s += CRASH_VALID_S
            check.done.set()
        return check.finding

    async def _check(self, server):
        own = await self._probe(server)
        if own is not Finding.CRASHED:
            return own
        witnesses = self._witnesses(server)
        if not witnesses:
            is_connected = await self._is_connected(server)
            return Finding.CRASHED if is_connected else Finding.UNKNOWN
        return _conclude(await self._ask(server, witnesses))

    async def reaches(self, server):
        """Tell whether a new connection to a server can be made."""
        return await self._connect(server) is Finding.REACHED

    async def _probe(self, server):
        """Try to connect to a server.

        :returns: ``UNKNOWN`` if this process lacks a descriptor for that.
        """
        return await self._share(self._probes, server, self._connect)

    async def _connect(self, server):
        try:
            is_accepting = await self._is_accepting(
                server.address, CONNECT_TIMEOUT_S
            )
        except OSError as exc:
            _logs.detail("check_failed", server=server.name, reason=repr(exc))
            return Finding.UNKNOWN
        if is_accepting:
            self.note_contact(server.name)
            return Finding.REACHED
        return Finding.CRASHED

    async def _is_connected(self, server):
        """Tell whether this node reaches other servers, if there are any."""
        others = [
            each
            for each in self._view.servers.values()
            if each.name != server.name and each.address != server.address
        ]
        oldest_s = self._now() - CONTACT_VALID_S
        if not others or any(
            self._contacts_s.get(each.name, oldest_s) > oldest_s
            for each in others
        ):
            return True
        reached = []

        async def try_to_reach(other):
            if await self._connect(other) is Finding.REACHED:
                reached.append(other)
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for other in random.sample(others, min(OTHERS_MAX, len(others))):
                nursery.start_soon(try_to_reach, other)
        return bool(reached)

    def _witnesses(self, server):
        """Choose the nodes to ask about a server.

        Those of each data centre are asked in turn.
        """
        members = self._view.members()
        groups = {}
        for node, heartbeat in self._mesh.heartbeats().items():
            knows = self._mesh.knows(node, _wire.ServerCheck)
            if heartbeat.ready and knows and self._may_witness(node, server):
                member = members.get(node)
                data_centre = member.data_centre if member else ""
                groups.setdefault(data_centre, []).append(node)
        for nodes in groups.values():
            random.shuffle(nodes)
        in_turn = itertools.chain(*itertools.zip_longest(*groups.values()))
        return [node for node in in_turn if node][:WITNESSES_MAX]

    async def _ask(self, server, witnesses):
        """Ask nodes what they know of a server.

        :returns: list of the ``Finding`` of each that replied.
        """
        number = next(self._numbers)
        findings = []
        send_channel, receive_channel = trio.open_memory_channel(math.inf)
        self._questions[number] = send_channel
        try:
            question = _wire.ServerCheck(number, server.name)
            asked = [n for n in witnesses if self._mesh.send(n, question)]
            with trio.move_on_after(REPLY_TIMEOUT_S):
                while len(findings) < len(asked):
                    findings.append(await receive_channel.receive())
                    if _is_conclusive(findings):
                        break
        finally:
            del self._questions[number]
        return findings

    def handle_reply(self, msg):
        """Handle another node's ``ServerCheckReply``."""
        question = self._questions.get(msg.number)
        if question is not None and msg.finding in set(Finding):
            question.send_nowait(Finding(msg.finding))

    async def answer(self, msg):
        """Answer another node's question about a server.

        :param msg: a ``ServerCheck``.
        :returns: a ``ServerCheckReply``.
        """
        server = self._view.servers.get(msg.server)
        finding = Finding.UNKNOWN
        if server is not None:
            finding = await self._probe(server)
        if finding is Finding.CRASHED and not await self._is_connected(server):
            finding = Finding.UNKNOWN
        return _wire.ServerCheckReply(msg.number, finding.value)


def _is_conclusive(findings):
    """Tell whether no further witness needs to reply."""
    if Finding.REACHED in findings:
        return True
    return findings.count(Finding.CRASHED) >= CRASHED_MIN


def _conclude(findings):
    """Conclude from the findings of witnesses.

    :returns: a ``Finding``.
    """
    if Finding.REACHED in findings:
        return Finding.CUT_OFF
    return Finding.CRASHED if Finding.CRASHED in findings else Finding.UNKNOWN
