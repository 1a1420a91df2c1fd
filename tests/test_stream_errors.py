"""Errors of a node's own code while an answer is under way.

Each function that runs after the first events of a stream, or after the head
of a plain answer, raises an error once.
"""

import collections
import functools
import inspect
import logging
import math
import re

import pytest
import trio

from coltsfootsail import _crashes
from coltsfootsail import _engine_selection
from coltsfootsail import _grants
from coltsfootsail import _held_memory
from coltsfootsail import _limited_servers
from coltsfootsail import _load_balancer
from coltsfootsail import _metrics
from coltsfootsail import _plain
from coltsfootsail import _quotas
from coltsfootsail import _reach
from coltsfootsail import _relays
from coltsfootsail import _request_context
from coltsfootsail import _request_handler
from coltsfootsail import _retries
from coltsfootsail import _retry_loans
from coltsfootsail import _server_speeds
from coltsfootsail import _server_states
from coltsfootsail import _stream_moves
from coltsfootsail import _stream_origins
from coltsfootsail import _stream_sink
from coltsfootsail import _streams
from coltsfootsail import _upstream
from coltsfootsail.standins import servers
from tests import gateways

pytestmark = pytest.mark.provokes_errors

MODULES = (
    _crashes,
    _engine_selection,
    _grants,
    _held_memory,
    _limited_servers,
    _load_balancer,
    _metrics,
    _plain,
    _quotas,
    _reach,
    _relays,
    _request_context,
    _request_handler,
    _retries,
    _retry_loans,
    _server_speeds,
    _server_states,
    _stream_moves,
    _stream_origins,
    _stream_sink,
    _streams,
    _upstream,
)
ERRORS = (KeyError("x"), trio.TooSlowError(), trio.ClosedResourceError())
PATHS = ("/prints/1", "/notes/1", "/stock/1", "/orders/1")
STREAMS = PATHS[:2]
SENT_ELSEWHERE = frozenset(
    {"/prints/1", "/stock/1"}
)  # after an error on the path
# On the path of the bytes; the others stand beside it.
BYTES = frozenset(
    {
        "Account._change",
        "Account._large_bytes",
        "Account.give_back",
        "Account.give_back_all",
        "Account.has_room",
        "Account.hold",
        "Account.take",
        "EventSplitter._record_last_id",
        "EventSplitter._take_memory",
        "EventSplitter.feed",
        "EventSplitter.pending",
        "HeldMemory.add",
        "HeldMemory.has_room",
        "ServerAnswer.read_body",
        "ServerAnswer.read_some",
        "Silence.hold",
        "StreamSink.end",
        "StreamSink.write",
    }
)
# What they give back is not given back if they fail themselves.
GIVES_BACK = frozenset(
    {
        "Account.give_back",
        "Account.give_back_all",
        "LoadBalancer._state",
        "LoadBalancer.end",
        "Target.aclose",
    }
)
ENDS = "RequestHandler._record_answered"  # logs the end
AT_TIMES = frozenset({"Silence.is_due"})  # not called in each stream
# In the names of what contains the errors of others.
CONTAINS = re.compile("contained|_give_back")
EVENTS = 5
EVENT_S = 0.3
SETTLE_S = 2.5


class Injection:
    """Lets one call fail after an answer has begun."""

    def __init__(self):
        self.reset()

    def reset(self, target=None, error=None):
        """Begin anew.

        :param target: name of the function that fails, None for none.
        """
        self.target, self.error = target, error
        self.is_armed = self.has_failed = False
        self.called = set()
        self.blamed = []
        self.doubled = []

    def note(self, label):
        """Note a call, which may fail, while a request is handled."""
        if not self.is_armed or gateways.LOGGED.get() is None:
            return
        self.called.add(label)
        if label == self.target and not self.has_failed:
            self.has_failed = True
            raise self.error

    def wrap(self, label, function):
        """Wrap a function so that its calls are noted."""
        if inspect.iscoroutinefunction(function):

            @functools.wraps(function)
            async def wrapped(*args, **fields):
                self.note(label)
                return await function(*args, **fields)

        else:

            @functools.wraps(function)
            def wrapped(owner, *args, **fields):
                if not _is_of_stand_in(owner):
                    self.note(label)
                return function(owner, *args, **fields)

        return wrapped


def _is_of_stand_in(owner):
    """Tell whether memory is held by a stand-in, which has no budget."""
    memory = getattr(owner, "_memory", owner)
    return getattr(memory, "budget_bytes", 0) == math.inf


def _functions(module):
    """List the functions of a module's classes, with their classes."""
    return [
        (owner, name, function)
        for owner in vars(module).values()
        if inspect.isclass(owner) and owner.__module__ == module.__name__
        for name, function in vars(owner).items()
        if inspect.isfunction(function) and not name.startswith("__")
    ]


@pytest.fixture
def injection(monkeypatch):
    state = Injection()
    for module in MODULES:
        for owner, name, function in _functions(module):
            label = f"{owner.__name__}.{name}"
            monkeypatch.setattr(owner, name, state.wrap(label, function))
    write = _stream_sink.StreamSink.write
    check = _upstream._check_response
    interrupted = _crashes.CrashTracker.interrupted

    async def write_and_arm(sink, data):
        shown = await write(sink, data)
        state.is_armed = state.is_armed or sink.shown_steps()[0] >= 2
        return shown

    def check_and_arm(exchange):
        check(exchange)
        content_type = exchange.header("content-type")
        state.is_armed = state.is_armed or content_type != "text/event-stream"

    def note_blame(tracker, server, *args):
        state.blamed.append(server.name)
        interrupted(tracker, server, *args)

    monkeypatch.setattr(_stream_sink.StreamSink, "write", write_and_arm)
    monkeypatch.setattr(_upstream, "_check_response", check_and_arm)

    async def read_and_stay(stream, conn):
        # What follows the answer is cancelled once its caller has left.
        reply = await read_reply(stream, conn)
        await trio.sleep(SETTLE_S)
        return reply

    read_reply = gateways.read_reply
    monkeypatch.setattr(gateways, "read_reply", read_and_stay)
    monkeypatch.setattr(_crashes.CrashTracker, "interrupted", note_blame)
    return state


@pytest.fixture(autouse=True)
def _log_details(caplog):
    caplog.set_level(logging.DEBUG, logger="coltsfootsail")


def _watch_doubles(monkeypatch, fleet, injection):
    """Note requests that two engines run at a time.

    An engine learns of a closed connection by its next event only.
    """
    for engine in fleet.engines:
        engine.event_s = EVENT_S
    stream_events = servers.ModelServer._stream_events

    async def watch(engine, req, resp, run):
        running = [e for e in fleet.engines if run.request_id in e.running]
        if len(running) > 1:
            injection.doubled.append(run.request_id)
        await stream_events(engine, req, resp, run)

    monkeypatch.setattr(servers.ModelServer, "_stream_events", watch)


async def _call(fleet, path, request_id):
    fields = {"adapter": "base/a1"} if path in STREAMS else {}
    return await fleet.call(path, request_id=request_id, **fields)


def _event_ids(reply):
    return [
        int(each) for each in re.findall(rb"^id: (\d+)$", reply.body, re.M)
    ]


def _is_whole(path, reply):
    if path not in STREAMS:
        return reply.whole and reply.status == 200
    expected = list(range(EVENTS))
    ids = _event_ids(reply)
    assert ids == expected[: len(ids)]
    assert not reply.whole or ids == expected
    return reply.whole


def _held(fleet):
    """Count what is held for requests that have ended."""
    held = [e.name for e in fleet.engines if e.running]
    for gateway in fleet.gateways.values():
        for name, each in gateway.owned_engines.controllers.items():
            held += [f"grant at {name}"] * len(each.queue.running)
            held += [f"wait at {name}"] * len(each.queue.waiting)
        held += ["memory"] * bool(gateway.held_memory.held_bytes)
        held += ["connection"] * bool(gateway.upstream._client._in_use)
        held += ["request"] * gateway.request_handler.active_requests
        for service in ("shop", "engines"):
            budget = gateway.retry_budget.describe(service)
            held += ["retry"] * budget["reserved"]
        for state in gateway.balancer._states.values():
            held += ["open"] * state.open
    return collections.Counter(held)


def _failure_lines(caplog, request_id):
    return [
        record.message
        for record in caplog.records
        if record.levelno >= logging.ERROR
        and getattr(record, "id", "") == request_id
    ]


async def _calls_with_errors(fleet, injection, path, error, is_in_path):
    """Call once for each function, which fails in that call.

    :param is_in_path: whether functions on the path of the bytes fail, or
        those beside it.
    :returns: async iterator of the function's name, what is held and the
        reply.
    """
    await _call(fleet, path, "warm")
    injection.reset()
    assert _is_whole(path, await _call(fleet, path, "probe"))
    for label in sorted(injection.called):
        is_meant = not CONTAINS.search(label)
        if is_meant and (label in BYTES) == is_in_path:
            before = _held(fleet)
            injection.reset(label, error)
            reply = await _call(fleet, path, f"at-{label}")
            injection.is_armed = False
            assert injection.has_failed or label in AT_TIMES
            if injection.has_failed:
                yield label, _held(fleet) - before, reply


def _failure_rates(fleet):
    return [
        state.failure_rate
        for gateway in fleet.gateways.values()
        for state in gateway.balancer._states.values()
        if state.failure_rate
    ]


def _case_id(value):
    return type(value).__name__ if isinstance(value, Exception) else value


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("error", ERRORS, ids=_case_id)
def test_error_beside_the_bytes_ends_no_answer(
    monkeypatch, caplog, injection, path, error
):
    faults = {}

    async def scenario(fleet):
        _watch_doubles(monkeypatch, fleet, injection)
        metrics = fleet.gateways["g0"].metrics
        counted = metrics.counter_total("task_errors", "note")
        calls = _calls_with_errors(fleet, injection, path, error, False)
        async for label, held, reply in calls:
            lines = _failure_lines(caplog, f"at-{label}")
            total = metrics.counter_total("task_errors", "note")
            if label == ENDS:
                fleet.unended.clear()
            if label in GIVES_BACK:
                held.clear()
            is_right = (
                _is_whole(path, reply)
                and lines == ["note_failed"]
                and total > counted
                and not fleet.unended
                and not held
                and not injection.blamed
                and not injection.doubled
            )
            if not is_right:
                faults[label] = reply.status, reply.whole, lines, dict(held)
            counted = total
            fleet.unended.clear()
        assert not _failure_rates(fleet)

    gateways.run(scenario)
    assert not faults


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("error", ERRORS, ids=_case_id)
def test_error_on_the_path_of_the_bytes_is_blamed_on_no_server(
    monkeypatch, caplog, injection, path, error
):
    faults = {}

    async def scenario(fleet):
        _watch_doubles(monkeypatch, fleet, injection)
        calls = _calls_with_errors(fleet, injection, path, error, True)
        async for label, held, reply in calls:
            lines = _failure_lines(caplog, f"at-{label}")
            is_whole = _is_whole(path, reply)
            is_right = (
                lines in (["send_failed"], ["request_failed"])
                and (is_whole or path not in SENT_ELSEWHERE)
                and (not held or label in GIVES_BACK)
                and not injection.blamed
                and not injection.doubled
            )
            if not is_right:
                faults[label] = reply.status, reply.whole, lines, dict(held)
        assert not _failure_rates(fleet)

    gateways.run(scenario)
    assert not faults


def _fail_at(monkeypatch, owner, name, call):
    """Let one call of a function fail.

    :param call: which one, from 1.
    """
    function = getattr(owner, name)
    calls = []

    def wrapped(*args, **fields):
        calls.append(args)
        if len(calls) == call:
            raise KeyError(name)
        return function(*args, **fields)

    monkeypatch.setattr(owner, name, wrapped)


def _runs(fleet):
    return sum(len(engine.runs) for engine in fleet.engines)


def test_stream_whose_event_may_be_written_in_part_is_not_resumed(
    monkeypatch, injection
):
    async def scenario(fleet):
        path = "/prints/1"
        await _call(fleet, path, "warm")
        runs = _runs(fleet)
        write = _stream_sink.StreamSink.write

        async def write_failing(sink, data):
            if len(sink.written) == 2:
                _fail_at(monkeypatch, sink._resp, "_encode", 1)
            sink.written.append(data)
            return await write(sink, data)

        monkeypatch.setattr(
            _stream_sink.StreamSink, "written", [], raising=False
        )
        monkeypatch.setattr(_stream_sink.StreamSink, "write", write_failing)
        reply = await _call(fleet, path, "failing")
        assert not reply.whole and _event_ids(reply) == [0, 1]
        assert _runs(fleet) == runs + 1

    gateways.run(scenario)


@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (_request_context.SendPolicy, "authorize_send"),
        (_crashes.CrashTracker, "check_allowed"),
        (_retries.WindowBudget, "spend"),
        (_grants.GrantClient, "acquire"),
    ],
)
def test_error_in_what_may_forbid_a_send_lets_a_stream_go_nowhere(
    monkeypatch, owner, name
):
    async def scenario(fleet):
        path = "/prints/1"
        await fleet.call(path, adapter="base/a1", request_id="warm")
        for engine in fleet.engines:
            engine.cut_after = 1
        runs = _runs(fleet)
        first_s = trio.current_time() + 0.1

        def fail(*args, **fields):
            if trio.current_time() > first_s:
                raise KeyError(name)
            return function(*args, **fields)

        function = getattr(owner, name)
        monkeypatch.setattr(owner, name, fail)
        reply = await fleet.call(path, adapter="base/a1", request_id="cut")
        assert not reply.whole and _event_ids(reply) == [0, 1]
        assert _runs(fleet) == runs + 1

    gateways.run(scenario)
