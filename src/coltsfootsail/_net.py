"""The network and the clock that a process uses, as plain functions.

Tests replace TCP by streams in memory and the clock by virtual time, by
passing a different ``Network``.  Addresses are ``"ip:port"`` strings.
"""

import collections.abc
import contextlib
import dataclasses
import errno
import select
import socket
import struct
import time

import trio

from coltsfootsail import _logs
from coltsfootsail import exceptions

CONNECT_TIMEOUT_S = 2.0
UNACKED_TIMEOUT_MS = 10_000
UNREAD_BYTES = 65_536  # that a host takes in for a process that is silent
UNREAD_TIMEOUT_MS = 10_000  # for more than that
BACKLOG = 1024
# When resources are exhausted, accepting pauses instead of failing.
ACCEPT_PAUSE_S = 0.1
SHORTAGE_ERRNOS = {
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOMEM,
    errno.ENOBUFS,
}
# Errors of the new connection, by accept(2), which leave the listener sound.
ACCEPT_SKIP_ERRNOS = {
    errno.ECONNABORTED,
    errno.EHOSTDOWN,
    errno.EHOSTUNREACH,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENONET,
    errno.ENOPROTOOPT,
    errno.EOPNOTSUPP,
    errno.EPERM,
    errno.EPROTO,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Network:
    """How a process connects, accepts connections and reads the clock.

    :param open_stream: ``async (address) -> trio.abc.Stream``; raises
        ``OSError``.
    :param serve: ``async (address, handler, task_status, make_room)``; runs
        ``handler(stream)`` for each connection until cancelled.  The closure
        ``async make_room()`` closes an idle connection when none can be
        accepted, and tells whether there was one.
    :param now: seconds on a clock that keeps counting while the host is
        suspended.
    :param wall: seconds by the time of day, which may jump.
    """

    open_stream: collections.abc.Callable
    serve: collections.abc.Callable
    now: collections.abc.Callable
    wall: collections.abc.Callable = time.time


def boottime_s():
    """Read a monotonic clock that also counts time spent suspended.

    :returns: seconds since the host started.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def split_address(address):
    """Split ``"ip:port"``.

    :param address: the text to split; IPv6 addresses are in brackets.
    :returns: tuple of host and port.
    :raises BadField: if the host or the port is missing.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise exceptions.BadField(f"not an address: {address!r}")
    return host.strip("[]"), int(port)


def _set_user_timeout(stream, unacked_timeout_ms):
    stream.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_timeout_ms
    )


def set_reset_on_close(stream, resets):
    """Choose how a TCP connection ends when it is closed, or its process.

    :param stream: a stream; one that is no TCP connection is left as it is.
    :param resets: whether it ends by a reset, which shows that what was sent
        is not complete, or in order.
    """
    if isinstance(stream, trio.SocketStream):
        linger = struct.pack("ii", int(resets), 0)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def lost_errno(exc):
    """Get the error number of a connection that was lost while sending.

    The kernel tells the loss of a connection once; whoever reads next gets
    the end of the stream instead.  EPIPE is told where the far end had ended
    what it sends before, so that reading gets that end in any case.

    :param exc: an error of a stream.
    :returns: None if the far end has ended in order, or if the stream is no
        TCP connection, and tells a loss to the reader too.
    """
    cause = exc.__cause__
    if not isinstance(cause, OSError) or cause.errno == errno.EPIPE:
        return None
    return cause.errno


class UnreadAllowance:
    """Waits longer for a far end that may leave a part of a message unread.

    The timeout for unacknowledged bytes also runs while the far end has no
    room for more, which a silent process has not.

    :param stream: a stream; one that is no TCP connection is left as it is.
    """

    def __init__(self, stream):
        self._stream = stream
        self._sent_bytes = 0
        self._before_ms = None

    def note_sending(self, size_bytes):
        """Note a part of the message before it is sent."""
        self._sent_bytes += size_bytes
        is_large = self._sent_bytes > UNREAD_BYTES
        is_tcp = isinstance(self._stream, trio.SocketStream)
        if not is_large or not is_tcp or self._before_ms is not None:
            return
        self._before_ms = self._stream.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        timeout_ms = max(self._before_ms, UNREAD_TIMEOUT_MS)
        _set_user_timeout(self._stream, timeout_ms)

    def note_read(self):
        """Note that the far end has read the message."""
        self._sent_bytes = 0
        before_ms, self._before_ms = self._before_ms, None
        if before_ms is not None:
            _set_user_timeout(self._stream, before_ms)


@contextlib.contextmanager
def allow_unread(stream, size_bytes):
    """Send a message of this size in the block, and wait until it is read."""
    allowance = UnreadAllowance(stream)
    allowance.note_sending(size_bytes)
    try:
        yield
    finally:
        allowance.note_read()


async def _open_tcp(address, connect_timeout_s, unacked_timeout_ms):
    try:
        host, port = split_address(address)
        with trio.fail_after(connect_timeout_s):
            stream = await trio.open_tcp_stream(host, port)
            _set_user_timeout(stream, unacked_timeout_ms)
            return stream
    except trio.TooSlowError as exc:
        raise OSError(errno.ETIMEDOUT, f"connect to {address}") from exc
    except (ValueError, exceptions.BadField) as exc:
        # Such as a host name with an empty or too long label.
        raise OSError(errno.EINVAL, f"connect to {address!r}") from exc
    except OSError as exc:
        raise _first_failure(exc) from exc


def _first_failure(exc):
    """Get the error of the first attempt, whose type tells what failed.

    ``trio.open_tcp_stream`` raises a plain ``OSError`` for all attempts.
    """
    failures = exc.__cause__
    if isinstance(failures, BaseExceptionGroup):
        return failures.exceptions[0]
    return exc


def is_shortage(exc):
    """Tell whether an ``OSError`` shows that this host lacks resources.

    It then says nothing about the far end.
    """
    return exc.errno in SHORTAGE_ERRNOS


def with_input(streams):
    """Get the streams that received bytes or were closed by the far end.

    :returns: a set of those that are TCP connections.
    """
    poll = select.poll()
    by_descriptor = {}
    for stream in streams:
        sock = getattr(stream, "socket", None)
        if sock is not None:
            by_descriptor[sock.fileno()] = stream
            poll.register(sock.fileno(), select.POLLIN | select.POLLHUP)
    return {by_descriptor[descriptor] for descriptor, _ in poll.poll(0)}


async def _no_room():
    """Close no connection."""
    return False


async def _accept_connections(
    listener, handler, unacked_timeout_ms, make_room, nursery
):
    """Serve new connections until cancelled, and refuse them from then on."""
    async with listener:
        while True:
            stream = await _accept(listener, make_room)
            if stream is not None:
                _set_user_timeout(stream, unacked_timeout_ms)
                nursery.start_soon(_handle_and_close, handler, stream)


async def _accept(listener, make_room):
    """Accept a connection; None after an error that concerns it alone."""
    try:
        return await listener.accept()
    except OSError as exc:
        if not is_shortage(exc) and exc.errno not in ACCEPT_SKIP_ERRNOS:
            raise
        has_closed = is_shortage(exc) and await make_room()
        _logs.detail("accept_failed", reason=repr(exc), closed_idle=has_closed)
        if is_shortage(exc):
            await trio.sleep(0.0 if has_closed else ACCEPT_PAUSE_S)
        return None


async def _handle_and_close(handler, stream):
    async with stream:
        await handler(stream)


async def _serve_tcp(
    address,
    handler,
    unacked_timeout_ms,
    make_room,
    task_status=trio.TASK_STATUS_IGNORED,
):
    host, port = split_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
    bound = listeners[0].socket.getsockname()
    async with trio.open_nursery() as nursery:
        for listener in listeners:
            nursery.start_soon(
                _accept_connections,
                listener,
                handler,
                unacked_timeout_ms,
                make_room,
                nursery,
            )
        task_status.started(f"{bound[0]}:{bound[1]}")


def tcp_network(
    connect_timeout_s=CONNECT_TIMEOUT_S, unacked_timeout_ms=UNACKED_TIMEOUT_MS
):
    """Make the network that production uses, over TCP.

    :param connect_timeout_s: longest wait for a new connection, in seconds.
    :param unacked_timeout_ms: how many milliseconds sent bytes may stay
        unacknowledged before the connection is closed.
    :returns: a ``Network`` over TCP and the host's boot-time clock.
    """

    async def open_stream(address):
        return await _open_tcp(address, connect_timeout_s, unacked_timeout_ms)

    async def serve(
        address,
        handler,
        task_status=trio.TASK_STATUS_IGNORED,
        make_room=_no_room,
    ):
        await _serve_tcp(
            address, handler, unacked_timeout_ms, make_room, task_status
        )

    return Network(open_stream=open_stream, serve=serve, now=boottime_s)
