"""Sends a started request to its engine and passes the answer on.

One attempt; what is true after each failure is looked up in
``_outcomes``.  Nothing reaches the caller unchecked.
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
REFUSING_STATUSES = frozenset({404, 429, 503})
RETRY_AFTER_S = 2.0
WATCH_STEP_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """What an attempt needs of the owner, as closures.

    :param engine: an ``Engine``.
    :param limits: ``LimitSettings``.
    :param now: reads the clock.
    :param may_dispatch: ``() -> bool``; the claim was not seen lost.
    :param is_answering: ``() -> bool``; the engine answers reports.
    :param forgotten: ``(adapter)``; the engine does not know it.
    :param count: ``(counter, reason, amount)``.
    """

    engine: _engine.Engine
    limits: object
    now: collections.abc.Callable
    may_dispatch: collections.abc.Callable
    is_answering: collections.abc.Callable
    forgotten: collections.abc.Callable
    count: collections.abc.Callable


async def attempt(line, work, sink):
    """Send a request to the engine once.

    :param line: a ``Line``.
    :param work: the ``InferenceRequest``.
    :param sink: the ``ResponseSink`` of the caller.
    :returns: None, or the typed error that ended it.
    """
    phase = _http.Phase.CONNECTING
    try:
        async with line.engine.exchange() as exchange:
            try:
                await _send(line, exchange, work)
                await _pass_answer(line, exchange, work, sink)
            finally:
                phase = exchange.phase
    except exceptions.ColtsfootsailError as exc:
        return exc
    except _outcomes.EXCHANGE_ERRORS as exc:
        verdict = _outcomes.verdict(phase, _outcomes.classify(exc))
        return verdict.error(f"{verdict.error.__doc__} ({exc})")
    return None


async def _send(line, exchange, work):
    headers = [
        ("host", line.engine.address),
        ("content-type", "application/json"),
        (_engine.REQUEST_ID_HEADER, work.request_id),
    ]
    if work.key:
        headers.append(("idempotency-key", work.key))
    if not line.may_dispatch():
        raise exceptions.LeaseLapsed(retry_after_s=RETRY_AFTER_S)
    with trio.fail_after(line.limits.silence_timeout_s):
        await exchange.send("POST", work.route, headers, work.body)
    await _read_head(line, exchange, work)


async def _read_head(line, exchange, work):
    """Wait for the head of the answer.

    A stream's head comes soon.  An answer in one piece comes when all of
    it is generated, so it is waited for while the engine answers
    reports.
    """
    now_s = line.now()
    until_s = now_s + line.limits.silence_timeout_s
    if not work.stream:
        until_s = now_s + line.limits.request_timeout_s
    while line.now() < until_s:
        with trio.move_on_after(WATCH_STEP_S):
            await exchange.read_head()
            return
        if not work.stream and not line.is_answering():
            break
    raise trio.TooSlowError


async def _pass_answer(line, exchange, work, sink):
    if exchange.status in REFUSING_STATUSES:
        if exchange.status == _engine.NOT_FOUND_STATUS:
            line.forgotten(work.adapter)
        raise exceptions.EndpointRefused(f"status {exchange.status}")
    echoed = exchange.header(_engine.REQUEST_ID_HEADER, work.request_id)
    if echoed != work.request_id:
        raise exceptions.AnswerMismatch("answer to another request")
    if work.stream and exchange.status == _engine.SUCCESS_STATUS:
        await _pass_events(line, exchange, work, sink)
    else:
        await _pass_body(line, exchange, work, sink)


async def _pass_body(line, exchange, work, sink):
    with trio.fail_after(line.limits.request_timeout_s):
        body = await exchange.read_body(ANSWER_BYTES_MAX)
    if exchange.status == _engine.SUCCESS_STATUS:
        _relay.check_body(body, work.request_id, work.adapter)
    headers = _kept_headers(exchange, len(body))
    await _to_caller(sink.start, exchange.status, headers)
    await _to_caller(sink.write, body)
    await _to_caller(sink.end)


async def _pass_events(line, exchange, work, sink):
    """Pass events on, as many at a time as one read brought.

    One cancel scope watches the whole stream; moving its deadline every
    ``WATCH_STEP_S`` costs less than a scope for each read.
    """
    checker = _relay.EventChecker(work.request_id, work.adapter)
    silence_s = line.limits.silence_timeout_s + WATCH_STEP_S
    started = writing = False
    moved_s = -math.inf
    with trio.CancelScope() as scope:
        while exchange.phase is not _http.Phase.DONE:
            now_s = trio.current_time()
            if now_s - moved_s > WATCH_STEP_S:
                scope.deadline = now_s + silence_s
                moved_s = now_s
            data = await exchange.read_some()
            whole = checker.feed(data) if data else b""
            if not whole:
                continue
            writing = True
            if not started:
                started = True
                headers = _kept_headers(exchange, None)
                await _to_caller(sink.start, exchange.status, headers)
            await _to_caller(sink.write, whole)
            writing = False
    if scope.cancelled_caught:
        raise exceptions.CallerGone() if writing else trio.TooSlowError
    line.count("tokens", "relayed", checker.events)
    checker.finish()
    await _to_caller(sink.end)


async def _to_caller(send, *args):
    try:
        await send(*args)
    except _outcomes.EXCHANGE_ERRORS as exc:
        raise exceptions.CallerGone() from exc


def _kept_headers(exchange, length):
    headers = [
        (name, value)
        for name, value in exchange.headers
        if name in ("content-type", _engine.REQUEST_ID_HEADER)
    ]
    if length is not None:
        headers.append(("content-length", str(length)))
    return headers
