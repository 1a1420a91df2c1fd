"""Passing a request on to the node that owns its endpoint.

Each forwarded request has a stream of its own between two nodes, so that
closing it cancels the request and a slow caller slows only itself.
"""

import contextlib

import trio

from coltsfootsail import _inference
from coltsfootsail import _wire
from coltsfootsail import exceptions

BEAT_S = 2.0
SILENCE_S = 6.5
WRITE_TIMEOUT_S = 30.0
_ERRORS = exceptions.refusals()


def to_message(work, endpoint, now_s):
    """Build the ``Forward`` message for a request."""
    headers = (
        work.adapter,
        work.base,
        work.rank,
        work.protected,
        work.stream,
        work.idempotent,
        work.key,
        work.fingerprint,
        now_s - work.arrival_s,
        work.max_wait_s,
    )
    return _wire.Forward(
        request_id=work.request_id,
        endpoint=endpoint,
        route=work.route,
        headers=headers,
        body=work.body,
        timeout_s=float(work.deadline_s - now_s),
    )


def from_message(msg, now_s):
    """Rebuild the request from a ``Forward`` message.

    :raises WireError: if its fields do not fit.
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
        raise exceptions.WireError("bad forward") from exc


def to_error(msg):
    """Rebuild the typed error that a peer reported."""
    kind = _ERRORS.get(msg.code, exceptions.OutcomeUnknown)
    if issubclass(kind, exceptions.SettingsError):
        kind = exceptions.OutcomeUnknown
    return kind(
        msg.detail,
        outcome=exceptions.Outcome(msg.outcome),
        retry_after_s=msg.retry_after_s or None,
    )


async def send(network, address, msg, sink):
    """Forward a request and pass its answer on.

    :param network: a ``Network``.
    :param address: the owner's peer address.
    :param msg: a ``Forward``.
    :param sink: the ``ResponseSink`` of the caller.
    :raises ColtsfootsailError: with what is true of the request.
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
                failure = await _exchange(stream, msg, sink)
                nursery.cancel_scope.cancel()
    finally:
        await trio.aclose_forcefully(stream)
    if failure is not None:
        raise failure


async def _cancel_after(wait, scope):
    await wait()
    scope.cancel()


async def _exchange(stream, msg, sink):
    messages = _wire.MessageStream(stream)
    try:
        with trio.fail_after(SILENCE_S):
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
    size = 0
    while True:
        with trio.fail_after(SILENCE_S):
            msg = await messages.receive()
        if isinstance(msg, _wire.AnswerData):
            size += len(msg.data)
            await _to_caller(sink.write, msg.data)
        elif isinstance(msg, _wire.AnswerHead):
            await _to_caller(sink.start, msg.status, msg.headers)
        elif isinstance(msg, _wire.AnswerEnd):
            if msg.size_bytes != size:
                raise exceptions.AnswerTruncated()
            await _to_caller(sink.end)
            return
        elif isinstance(msg, _wire.AnswerError):
            raise to_error(msg)
        elif not isinstance(msg, _wire.Heartbeat):
            raise ConnectionError("stream ended")


async def _to_caller(call, *args):
    try:
        with trio.fail_after(WRITE_TIMEOUT_S):
            await call(*args)
    except (OSError, trio.BrokenResourceError, trio.TooSlowError) as exc:
        raise exceptions.CallerGone() from exc


async def serve(messages, msg, run, now_s):
    """Serve a request that a peer forwarded.

    :param messages: the ``MessageStream`` it came on.
    :param msg: the ``Forward``.
    :param run: ``async (endpoint, work, sink)``.
    :param now_s: the time.
    """
    work = from_message(msg, now_s)
    size = 0

    async def start(status, headers):
        pairs = tuple((name, value) for name, value in headers)
        await messages.send(_wire.AnswerHead(status, pairs))

    async def write(data):
        nonlocal size
        size += len(data)
        await messages.send(_wire.AnswerData(data))

    async def end():
        await messages.send(_wire.AnswerEnd(size))

    async def hangup():
        with contextlib.suppress(OSError, exceptions.WireError):
            while await messages.receive() is not None:
                pass

    sink = _inference.ResponseSink(
        start=start, write=write, end=end, hangup=hangup
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_beat, messages)
        with contextlib.suppress(OSError):
            try:
                await run(msg.endpoint, work, sink)
            except exceptions.ColtsfootsailError as exc:
                await messages.send(_to_answer_error(exc))
        nursery.cancel_scope.cancel()


async def _beat(messages):
    with contextlib.suppress(OSError):
        while True:
            await trio.sleep(BEAT_S)
            await messages.send(_wire.Heartbeat(0, True, ()))


def _to_answer_error(exc):
    return _wire.AnswerError(
        code=exc.code,
        outcome=str(exc.outcome),
        detail=exc.detail,
        retry_after_s=float(exc.retry_after_s or 0.0),
    )
