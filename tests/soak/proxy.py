"""A loopback proxy on one link that delays, cuts, splits and resets.

Orderly ends and resets of either side are passed on as what they are.
"""

import dataclasses
import errno

import trio

from coltsfootsail import _net
from tests.soak import protocol

READ_BYTES = 65536
TO_SERVER, TO_CLIENT = 0, 1


@dataclasses.dataclass(slots=True)
class Link:
    """The faults of one link, for all its connections.

    :param delay_s: how long each read is held back.
    :param silent: directions in which nothing is passed on any more, by
        connections open while it is set.
    :param split: whether each byte is written by itself.
    :param hold_end: whether orderly ends are held back.
    """

    delay_s: float = 0.0
    silent: frozenset = frozenset()
    split: bool = False
    hold_end: bool = False


class Proxy:
    """Passes the connections to one address on to another.

    :param target: address to connect to.
    """

    def __init__(self, target):
        self.link = Link()
        self._target = target
        self._open = set()

    def reset_all(self):
        """Reset both sides of all open connections."""
        for scope in list(self._open):
            scope.cancel()

    async def serve(self, client):
        """Pass one connection on."""
        try:
            server = await _net.tcp_network().open_stream(self._target)
        except OSError:
            protocol.reset(client)
            return
        pair = {TO_SERVER: (client, server), TO_CLIENT: (server, client)}
        scope = trio.CancelScope()
        self._open.add(scope)
        try:
            with scope:
                async with trio.open_nursery() as nursery:
                    for direction, streams in pair.items():
                        nursery.start_soon(
                            self._pump, direction, *streams, scope
                        )
        finally:
            self._open.discard(scope)
            if scope.cancel_called:
                protocol.reset(server)
                protocol.reset(client)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(server)

    async def _pump(self, direction, source, sink, scope):
        silent = False
        while True:
            try:
                data = await source.receive_some(READ_BYTES)
            except trio.BrokenResourceError:
                scope.cancel()
                return
            silent = silent or direction in self.link.silent
            while not data and self.link.hold_end:
                await trio.sleep(0.05)
            if silent and data:
                continue
            if silent:
                await trio.sleep_forever()
            await trio.sleep(self.link.delay_s)
            try:
                await self._write(sink, data)
            except trio.BrokenResourceError:
                scope.cancel()
                return
            if not data:
                return

    async def _write(self, sink, data):
        if not data:
            try:
                await sink.send_eof()
            except OSError as exc:
                # The other side has already ended the connection.
                if exc.errno != errno.ENOTCONN:
                    raise
            return
        step = 1 if self.link.split else len(data)
        for start in range(0, len(data), step):
            await sink.send_all(data[start : start + step])
