"""Sends a request to its engine once and relays the answer.

If the attempt fails, the table in ``_outcomes`` gives the error that says
whether the request was run.  Nothing reaches the caller unchecked.
"""

import collections.abc
import dataclasses
import math

import trio

from coltsfootsail import _engine
from coltsfootsail import _http
from coltsfootsail import _outcomes
from coltsfootsail import _relay
from coltsfootsail import exceptions

ANSWER_BYTES_MAX = 16_777_216
REFUSAL_STATUSES = frozenset({404, 429, 503})
RETRY_AFTER_S = 2.0
SILENCE_CHECK_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptContext:
    """What an attempt needs from the endpoint's owner.

    :param engine: an ``EngineClient``.
    :param limits: ``LimitSettings``.
    :param now: returns the current time in seconds.
    :param may_dispatch: ``() -> bool``; the node has not seen its claim
        on the endpoint lost.
    :param is_answering: ``() -> bool``; the engine answers report requests.
    :param adapter_unknown: ``(adapter)``; called if the engine answers
        that it does not know the adapter.
    :param count: ``(counter, reason, amount)``.
    """

    engine: _engine.EngineClient
    limits: object
    now: collections.abc.Callable
    may_dispatch: collections.abc.Callable
    is_answering: collections.abc.Callable
    adapter_unknown: collections.abc.Callable
    count: collections.abc.Callable


async def attempt(context, request, sink):
    """Send a request to the engine once.

    :param context: an ``AttemptContext``.
    :param request: the ``InferenceRequest``.
    :param sink: the ``ResponseSink`` of the caller.
    :returns: None, or the typed error that ended the attempt.
    """
    phase = _http.Phase.CONNECTING
    try:
        async with context.engine.exchange() as exchange:
            try:
                await _send(context, exchange, request)
                await _relay_answer(context, exchange, request, sink)
            finally:
                phase = exchange.phase
    except exceptions.ColtsfootsailError as exc:
        return exc
    except _outcomes.EXCHANGE_ERRORS as exc:
        verdict = _outcomes.verdict(phase, _outcomes.classify(exc))
        return verdict.error(f"{verdict.error.__doc__} ({exc})")
    return None


async def _send(context, exchange, request):
    headers = [
        ("host", context.engine.address),
        ("content-type", "application/json"),
        (_engine.REQUEST_ID_HEADER, request.request_id),
    ]
    if request.key:
        headers.append(("idempotency-key", request.key))
    if not context.may_dispatch():
        raise exceptions.LeaseLapsed(retry_after_s=RETRY_AFTER_S)
    with trio.fail_after(context.limits.silence_timeout_s):
        await exchange.send("POST", request.route, headers, request.body)
    await _read_head(context, exchange, request)


async def _read_head(context, exchange, request):
    """Wait for the head of the answer.

    The head of a stream arrives early.  The head of a complete answer
    arrives only when the whole text is generated, so the wait continues
    as long as the engine answers report requests.
    """
    now_s = context.now()
    until_s = now_s + context.limits.silence_timeout_s
    if not request.stream:
        until_s = now_s + context.limits.request_timeout_s
    while context.now() < until_s:
        with trio.move_on_after(SILENCE_CHECK_S):
            await exchange.read_head()
            return
        if not request.stream and not context.is_answering():
            break
    raise trio.TooSlowError


async def _relay_answer(context, exchange, request, sink):
    if exchange.status in REFUSAL_STATUSES:
        if exchange.status == _engine.NOT_FOUND_STATUS:
            context.adapter_unknown(request.adapter)
        raise exceptions.EndpointRefused(f"status {exchange.status}")
    echoed = exchange.header(_engine.REQUEST_ID_HEADER, request.request_id)
    if echoed != request.request_id:
        raise exceptions.AnswerMismatch("answer to another request")
    if request.stream and exchange.status == _engine.SUCCESS_STATUS:
        await _relay_events(context, exchange, request, sink)
    else:
        await _relay_body(context, exchange, request, sink)


async def _relay_body(context, exchange, request, sink):
    with trio.fail_after(context.limits.request_timeout_s):
        body = await exchange.read_body(ANSWER_BYTES_MAX)
    if exchange.status == _engine.SUCCESS_STATUS:
        _relay.check_body(body, request.request_id, request.adapter)
    headers = _relayed_headers(exchange, len(body))
    await _call_sink(sink.start, exchange.status, headers)
    await _call_sink(sink.write, body)
    await _call_sink(sink.end)


async def _relay_events(context, exchange, request, sink):
    """Relay the events of a stream, all those of one read at a time.

    One cancel scope covers the whole stream; moving its deadline every
    ``SILENCE_CHECK_S`` costs less than a new scope for each read.
    """
    checker = _relay.EventChecker(request.request_id, request.adapter)
    silence_s = context.limits.silence_timeout_s + SILENCE_CHECK_S
    started = writing = False
    deadline_set_s = -math.inf
    with trio.CancelScope() as scope:
        while exchange.phase is not _http.Phase.DONE:
            now_s = trio.current_time()
            if now_s - deadline_set_s > SILENCE_CHECK_S:
                scope.deadline = now_s + silence_s
                deadline_set_s = now_s
            data = await exchange.read_some()
            events = checker.feed(data) if data else b""
            if not events:
                continue
            writing = True
            if not started:
                started = True
                headers = _relayed_headers(exchange, None)
                await _call_sink(sink.start, exchange.status, headers)
            await _call_sink(sink.write, events)
            writing = False
    if scope.cancelled_caught:
        raise exceptions.CallerGone() if writing else trio.TooSlowError
    context.count("tokens", "relayed", checker.events)
    checker.finish()
    await _call_sink(sink.end)


async def _call_sink(call, *args):
    try:
        await call(*args)
    except _outcomes.EXCHANGE_ERRORS as exc:
        raise exceptions.CallerGone() from exc


def _relayed_headers(exchange, length):
    headers = [
        (name, value)
        for name, value in exchange.headers
        if name in ("content-type", _engine.REQUEST_ID_HEADER)
    ]
    if length is not None:
        headers.append(("content-length", str(length)))
    return headers
