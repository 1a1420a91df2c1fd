"""Forwards requests to the node that owns their endpoint.

Each forwarded request has its own connection between the two nodes, so
closing it cancels the request, and a slow caller delays only its own
answer.
"""

import contextlib

import trio

from coltsfootsail import _inference
from coltsfootsail import _wire
from coltsfootsail import exceptions

HEARTBEAT_S = 2.0
SILENCE_TIMEOUT_S = 6.5
WRITE_TIMEOUT_S = 30.0
_ERRORS = exceptions.refusals()


def to_message(request, endpoint, now_s):
    """Build the ``Forward`` message for a request."""
    headers = (
        request.adapter,
        request.base,
        request.rank,
        request.protected,
        request.stream,
        request.idempotent,
        request.key,
        request.fingerprint,
        now_s - request.arrival_s,
        request.max_wait_s,
    )
    return _wire.Forward(
        request_id=request.request_id,
        endpoint=endpoint,
        route=request.route,
        headers=headers,
        body=request.body,
        timeout_s=float(request.deadline_s - now_s),
    )


def from_message(msg, now_s):
    """Rebuild the request from a ``Forward`` message.

    :raises WireError: if the number or a type of its headers is wrong.
    """
    try:
        (
            adapter,
            base,
            rank,
            protected,
            stream,
            idempotent,
            key,
            fingerprint,
            waited_s,
            max_wait_s,
        ) = msg.headers
        return _inference.InferenceRequest(
            request_id=msg.request_id,
            route=msg.route,
            adapter=adapter,
            base=base,
            rank=int(rank),
            protected=bool(protected),
            stream=bool(stream),
            idempotent=bool(idempotent),
            key=key,
            body=msg.body,
            fingerprint=fingerprint,
            arrival_s=now_s - float(waited_s),
            deadline_s=now_s + msg.timeout_s,
            max_wait_s=float(max_wait_s),
        )
    except (ValueError, TypeError) as exc:
        raise exceptions.WireError("invalid forwarded request") from exc


def to_error(msg):
    """Rebuild the typed error that a peer reported."""
    error_class = _ERRORS.get(msg.code, exceptions.OutcomeUnknown)
    if issubclass(error_class, exceptions.SettingsError):
        error_class = exceptions.OutcomeUnknown
    return error_class(
        msg.detail,
        outcome=exceptions.Outcome(msg.outcome),
        retry_after_s=msg.retry_after_s or None,
    )


async def send(network, address, msg, sink):
    """Forward a request and relay its answer.

    :param network: a ``Network``.
    :param address: the owner's peer address.
    :param msg: a ``Forward``.
    :param sink: the ``ResponseSink`` of the caller.
    :raises ColtsfootsailError: its outcome says whether the request was
        run.
    """
    try:
        stream = await network.open_stream(address)
    except OSError as exc:
        raise exceptions.NoOwner(f"owner not reachable: {exc}") from exc
    failure = exceptions.CallerGone()
    try:
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_after, sink.hangup, scope)
                failure = await _forward_request(stream, msg, sink)
                nursery.cancel_scope.cancel()
    finally:
        await trio.aclose_forcefully(stream)
    if failure is not None:
        raise failure


async def _cancel_after(wait, scope):
    await wait()
    scope.cancel()


async def _forward_request(stream, msg, sink):
    messages = _wire.MessageStream(stream)
    try:
        with trio.fail_after(SILENCE_TIMEOUT_S):
            await messages.send(msg)
        await _receive_answer(messages, sink)
    except exceptions.WireError as exc:
        return exceptions.OutcomeUnknown(f"bad answer of a peer: {exc}")
    except exceptions.ColtsfootsailError as exc:
        return exc
    except (OSError, trio.TooSlowError) as exc:
        return exceptions.OutcomeUnknown(f"lost the owner: {exc}")
    return None


async def _receive_answer(messages, sink):
    received_bytes = 0
    while True:
        with trio.fail_after(SILENCE_TIMEOUT_S):
            msg = await messages.receive_answer()
        if isinstance(msg, _wire.AnswerData):
            received_bytes += len(msg.data)
            await _call_sink(sink.write, msg.data)
        elif isinstance(msg, _wire.AnswerHead):
            await _call_sink(sink.start, msg.status, msg.headers)
        elif isinstance(msg, _wire.AnswerEnd):
            if msg.size_bytes != received_bytes:
                raise exceptions.AnswerTruncated()
            await _call_sink(sink.end)
            return
        elif isinstance(msg, _wire.AnswerError):
            raise to_error(msg)
        elif not isinstance(msg, _wire.Heartbeat):
            raise ConnectionError("stream ended")


async def _call_sink(call, *args):
    try:
        with trio.fail_after(WRITE_TIMEOUT_S):
            await call(*args)
    except (OSError, trio.BrokenResourceError, trio.TooSlowError) as exc:
        raise exceptions.CallerGone() from exc


async def serve(messages, msg, serve_request, now_s):
    """Serve a request that a peer forwarded.

    :param messages: the ``MessageStream`` on which it arrived.
    :param msg: the ``Forward``.
    :param serve_request: ``async (endpoint, request, sink)``.
    :param now_s: the current time in seconds.
    """
    request = from_message(msg, now_s)
    sent_bytes = 0

    async def start(status, headers):
        pairs = tuple((name, value) for name, value in headers)
        await messages.send(_wire.AnswerHead(status, pairs))

    async def write(data):
        nonlocal sent_bytes
        sent_bytes += len(data)
        await messages.send(_wire.AnswerData(data))

    async def end():
        await messages.send(_wire.AnswerEnd(sent_bytes))

    async def hangup():
        with contextlib.suppress(OSError, exceptions.WireError):
            while await messages.receive() is not None:
                pass

    sink = _inference.ResponseSink(
        start=start, write=write, end=end, hangup=hangup
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_heartbeats, messages)
        with contextlib.suppress(OSError):
            try:
                await serve_request(msg.endpoint, request, sink)
            except exceptions.ColtsfootsailError as exc:
                await messages.send(to_answer_error(exc))
        nursery.cancel_scope.cancel()


async def _send_heartbeats(messages):
    with contextlib.suppress(OSError):
        while True:
            await trio.sleep(HEARTBEAT_S)
            await messages.send(_wire.Heartbeat(0, True, ()))


def to_answer_error(exc):
    """Make the ``AnswerError`` that tells a peer of a typed error."""
    return _wire.AnswerError(
        code=exc.code,
        outcome=str(exc.outcome),
        detail=exc.detail,
        retry_after_s=float(exc.retry_after_s or 0.0),
    )
