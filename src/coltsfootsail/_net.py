"""The network and clock that a process runs on, as plain functions.

A ``Network`` is two closures, so that tests put streams in memory and
virtual time in the place of TCP without the code above noticing.
Addresses are ``"ip:port"`` strings.
"""

import collections.abc
import dataclasses
import errno
import socket
import time

import trio

from coltsfootsail import exceptions

CONNECT_TIMEOUT_S = 2.0
UNACKED_MS = 10_000
BACKLOG = 1024
ACCEPT_PAUSE_S = 0.1
ACCEPT_PAUSE_ERRNOS = {
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOMEM,
    errno.ENOBUFS,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Network:
    """How a process reaches others and is reached.

    :param open_stream: ``async (address) -> trio.abc.Stream``; raises
        ``OSError``.
    :param serve: ``async (address, handler, task_status)``; runs
        ``handler(stream)`` for each connection until cancelled.
    :param now: seconds on a clock that keeps counting while the host is
        suspended.
    """

    open_stream: collections.abc.Callable
    serve: collections.abc.Callable
    now: collections.abc.Callable


def boottime_s():
    """Read the clock that counts time spent suspended.

    :returns: seconds since the host started.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def split_address(address):
    """Split ``"ip:port"``.

    :param address: the text to split; IPv6 addresses stand in brackets.
    :returns: tuple of host and port.
    :raises BadField: if there is no port.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise exceptions.BadField(f"not an address: {address!r}")
    return host.strip("[]"), int(port)


def _set_user_timeout(stream, unacked_ms):
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_ms)


async def _open_tcp(address, connect_timeout_s, unacked_ms):
    host, port = split_address(address)
    try:
        with trio.fail_after(connect_timeout_s):
            stream = await trio.open_tcp_stream(host, port)
            _set_user_timeout(stream, unacked_ms)
            return stream
    except trio.TooSlowError as exc:
        raise OSError(errno.ETIMEDOUT, f"connect to {address}") from exc


async def _accept(listener, handler, unacked_ms, nursery):
    while True:
        try:
            stream = await listener.accept()
        except OSError as exc:
            if exc.errno not in ACCEPT_PAUSE_ERRNOS:
                raise
            await trio.sleep(ACCEPT_PAUSE_S)
            continue
        _set_user_timeout(stream, unacked_ms)
        nursery.start_soon(_handle, handler, stream)


async def _handle(handler, stream):
    async with stream:
        await handler(stream)


async def _serve_tcp(
    address, handler, unacked_ms, task_status=trio.TASK_STATUS_IGNORED
):
    host, port = split_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
    bound = listeners[0].socket.getsockname()
    async with trio.open_nursery() as nursery:
        for listener in listeners:
            nursery.start_soon(_accept, listener, handler, unacked_ms, nursery)
        task_status.started(f"{bound[0]}:{bound[1]}")


def tcp_network(connect_timeout_s=CONNECT_TIMEOUT_S, unacked_ms=UNACKED_MS):
    """Make the network that production uses.

    :param connect_timeout_s: longest wait for a new connection.
    :param unacked_ms: how long sent bytes may stay unacknowledged before
        the connection counts as broken.
    :returns: a ``Network`` over TCP and the host's boot-time clock.
    """

    async def open_stream(address):
        return await _open_tcp(address, connect_timeout_s, unacked_ms)

    async def serve(address, handler, task_status=trio.TASK_STATUS_IGNORED):
        await _serve_tcp(address, handler, unacked_ms, task_status)

    return Network(open_stream=open_stream, serve=serve, now=boottime_s)
