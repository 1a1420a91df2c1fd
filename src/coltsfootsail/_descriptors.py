"""The file descriptors of a process, by what their connections serve.

Callers, servers and peers choose how many connections there are.  Each use
has descriptors of its own that no other use can take, and all uses share the
remainder.
"""

import collections
import contextlib
import dataclasses
import errno
import resource

from coltsfootsail import _logs

FILES = 200  # of the platform's limit, reserved for files
OWN_MIN = 8  # of each use
CALLER_BYTES = 41_000  # of a caller's connection until its head is whole
UNLIMITED = 1 << 40


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """What connections serve.

    :param name: label of its metrics.
    :param own_share: share of all descriptors that no other use can take.
    """

    name: str
    own_share: float


CALLERS = Use("callers", 0.22)
REFUSALS = Use("refusals", 0.03)  # callers that there is no room for
PAGES = Use("pages", 0.04)
SERVERS = Use("servers", 0.14)
PEERS = Use("peers", 0.24)
STORE = Use("store", 0.02)
USES = (CALLERS, REFUSALS, PAGES, SERVERS, PEERS, STORE)
PROCESS_SHARE = 0.03  # for listeners, the log and what trio needs


class NoDescriptor(OSError):
    """This process has no descriptor left for a connection."""

    def __init__(self, text):
        super().__init__(errno.EMFILE, text)


def usable(descriptors):
    """Get how many descriptors a process may use for connections.

    :param descriptors: how many the platform gives it.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        limit = descriptors
    limit = min(limit, descriptors)
    return max(limit - FILES, limit // 2)


def _part(share, total):
    return max(OWN_MIN, int(share * total))


class Descriptors:
    """The descriptors of one process.

    :param total: how many it may use for connections.
    :param most: dict of ``Use`` to the most that it may take.
    """

    def __init__(self, total=UNLIMITED, most=None):
        self._total = total - _part(PROCESS_SHARE, total)
        self._most = most or {}
        self._own = {use: _part(use.own_share, total) for use in USES}
        self._in_use = collections.Counter()

    def take(self, use):
        """Take a descriptor; tell whether there was one.

        :param use: a ``Use``.
        """
        if not self._has_room(use):
            return False
        self._in_use[use] += 1
        return True

    def give_back(self, use):
        """Return a descriptor."""
        self._in_use[use] -= 1

    def _has_room(self, use):
        if self._in_use[use] >= self._most.get(use, self._total):
            return False
        if self._in_use[use] < self._own[use]:
            return True
        taken = (max(self._own[each], self._in_use[each]) for each in USES)
        return sum(taken) < self._total

    def gauge(self):
        """Count the descriptors in use.

        :returns: dict of the name of a use to a number.
        """
        return {use.name: self._in_use[use] for use in USES}

    def describe(self):
        """List the descriptors in use, for the log."""
        return " ".join(f"{name}={n}" for name, n in self.gauge().items())


class Share:
    """The descriptors for one use, for which idle connections are closed.

    :param descriptors: the process's ``Descriptors``.
    :param use: a ``Use``.
    :param count: ``(counter, reason)``.
    """

    def __init__(self, descriptors, use, count=lambda counter, reason: None):
        self._descriptors = descriptors
        self._use = use
        self._count = count
        self._closers = []

    def add_idle(self, close_one):
        """Add idle connections that may be closed for others.

        :param close_one: ``async ()``, closes the one that has been idle for
            longest and tells whether there was one.
        """
        self._closers.append(close_one)

    async def take(self):
        """Take a descriptor; tell whether there was one."""
        while not self._descriptors.take(self._use):
            if not await self.close_idle():
                self._count("connections_refused", self._use.name)
                _logs.detail(
                    "no_descriptor",
                    use=self._use.name,
                    in_use=self._descriptors.describe(),
                )
                return False
        return True

    def give_back(self):
        """Return a descriptor."""
        self._descriptors.give_back(self._use)

    @contextlib.asynccontextmanager
    async def held(self):
        """Hold a descriptor in the block.

        :raises NoDescriptor: if there is none.
        """
        if not await self.take():
            raise NoDescriptor(self._use.name)
        try:
            yield
        finally:
            self.give_back()

    async def close_idle(self):
        """Close an idle connection; tell whether there was one."""
        for close_one in self._closers:
            if await close_one():
                self._count("connections_closed", self._use.name)
                _logs.detail(
                    "idle_connection_closed",
                    use=self._use.name,
                    in_use=self._descriptors.describe(),
                )
                return True
        return False


def unlimited():
    """Make a ``Share`` that always has descriptors."""
    return Share(Descriptors(), SERVERS)
