"""Connections that callers have opened to this node.

When there is no room for another one, the connection that has waited for a
request for longest is closed.  If none waits, the new connection's first
request is refused.  Few connections at a time are open for that.
"""

import contextlib
import dataclasses
import functools

import trio

from coltsfootsail import _net
from coltsfootsail import exceptions

REFUSAL_WAIT_S = 2.0  # for a request that is only refused
RETRY_AFTER_S = 1.0


class Connections:
    """The connections of one listener.

    :param share: the ``Share`` of descriptors for those that are served.
    :param spare: the ``Share`` for those that are only refused.
    """

    def __init__(self, share, spare):
        self.share = share
        self.spare = spare
        self.idle = {share: {}, spare: {}}
        for each in (share, spare):
            each.add_idle(functools.partial(self._close_longest_idle, each))

    async def serve(self, serve, stream):
        """Serve a connection, unless there is no descriptor left for it.

        :param serve: ``async (stream, Connection)``.
        """
        for share in (self.share, self.spare):
            if await share.take():
                break
        else:
            return
        connection = Connection(self, stream, share)
        try:
            with connection.scope:
                await serve(stream, connection)
        finally:
            connection.give_back()

    async def _close_longest_idle(self, share):
        """Close the connection that has waited for a request for longest.

        One that has just received something is not closed.
        """
        idle = self.idle[share]
        for connection in idle:
            if not _net.with_input([connection.stream]):
                connection.scope.cancel()
                connection.give_back()
                return True
        return False


class Connection:
    """The place of one connection among the others.

    :param connections: the ``Connections``.
    :param stream: its stream.
    :param share: the ``Share`` that its descriptor belongs to.
    """

    def __init__(self, connections, stream, share):
        self.scope = trio.CancelScope()
        self.stream = stream
        self._connections = connections
        self._share = share

    def give_back(self):
        """Return the descriptor, unless it was passed on already."""
        share, self._share = self._share, None
        if share is not None:
            self._connections.idle[share].pop(self, None)
            share.give_back()

    def _is_spare(self):
        return self._share is self._connections.spare

    @contextlib.contextmanager
    def waiting(self):
        """Wait in the block for a request, unless others need the room.

        A connection that is only to be refused waits until the head of its
        request is whole.
        """
        idle = self._connections.idle.get(self._share, {})
        idle[self] = None
        yield
        if not self._is_spare():
            idle.pop(self, None)

    async def admit(self):
        """Move to those that are served if there is room by now."""
        share = self._connections.share
        if self._share is not share and await share.take():
            self.give_back()
            self._share = share

    def check(self):
        """Refuse a request that there is no room for.

        :raises TooManyConnections: if the connection is only to be refused.
        """
        if not self._is_spare():
            return
        self._connections.idle[self._share].pop(self, None)
        raise exceptions.TooManyConnections(retry_after_s=RETRY_AFTER_S)

    def limits(self, limits):
        """Get the limits that apply to this connection.

        :param limits: ``HttpLimits`` of those that are served.
        """
        if not self._is_spare():
            return limits
        return dataclasses.replace(
            limits,
            idle_timeout_s=min(REFUSAL_WAIT_S, limits.idle_timeout_s),
            read_timeout_s=min(REFUSAL_WAIT_S, limits.read_timeout_s),
        )
