"""Servers that stop sending a stream, for a while or for good.

Neither their silence nor a move to another server may lose or truncate
anything that the caller gets.
"""

import dataclasses
import random
import types

import pytest
import trio
import trio.testing

from coltsfootsail import _dropped_runs
from coltsfootsail import _gateway
from coltsfootsail import _held_memory
from coltsfootsail import _http
from coltsfootsail import _stream_moves
from coltsfootsail import _stream_sink
from coltsfootsail import _streams
from coltsfootsail import _tasks
from coltsfootsail import exceptions
from tests import gateways

EVENT = b"id: 1\ndata: x\n\n"


class CallerResponse:
    """Stands in for the response to the caller and records its parts."""

    def __init__(self, write_s=0.0):
        self.parts = []
        self._write_s = write_s

    async def start(self, status, headers):
        await trio.lowlevel.checkpoint()
        self.parts.append("head")

    async def write(self, data):
        await trio.sleep(self._write_s)
        self.parts.append(data)

    async def end(self):
        await trio.lowlevel.checkpoint()
        self.parts.append("end")


class Exchange:
    """Stands in for a server's answer whose parts come after delays."""

    def __init__(self, *delays_s):
        self.status = 200
        self.headers = ()
        self.phase = _http.Phase.ANSWERING
        self._delays_s = list(delays_s)

    async def read_some(self):
        # What has arrived is read even if the task is cancelled meanwhile.
        with trio.CancelScope(shield=True):
            await trio.sleep(self._delays_s.pop(0))
        if not self._delays_s:
            self.phase = _http.Phase.DONE
        return EVENT


@pytest.fixture
def relay():
    """Relay an exchange that is left as soon as its server may be left.

    Returns whether it was left, the sink and the parts that reached the
    caller.
    """

    def run(exchange, write_s=0.0, late=False):
        async def main():
            caller = CallerResponse(write_s)
            memory = _held_memory.HeldMemory(1 << 24)
            account = _held_memory.Account(memory, _held_memory.ANSWER)
            sink = _stream_sink.StreamSink(
                caller, tuple, trio.current_time, account
            )
            gateway = types.SimpleNamespace(
                now=trio.current_time,
                metrics=types.SimpleNamespace(count=lambda *args: None),
            )
            streams = _streams.StreamForwarder(gateway, None)
            silence, scope = _stream_moves.Silence(), trio.CancelScope()

            async def leave():
                await silence.wait_until_due()
                scope.cancel()

            async def read():
                with scope:
                    await streams._relay(exchange, sink, caller, silence)

            if late:
                scope.cancel()
            await _tasks.run_with_background(leave, read)
            return scope.cancelled_caught, sink, caller.parts

        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, clock=clock)

    return run


def test_head_that_arrives_after_its_server_was_left_is_not_passed_on(relay):
    """The sink must still send the head of the next server.

    Otherwise the caller would get that server's events without a head.
    """
    was_left, sink, parts = relay(Exchange(0.1), late=True)
    assert was_left and not sink.started
    assert parts == []


def test_event_that_arrives_after_its_server_was_left_is_not_passed_on(relay):
    was_left, sink, parts = relay(Exchange(0.1, 1.6, 0.1))
    assert parts == ["head", EVENT]
    assert was_left


def test_server_is_not_left_because_of_a_slow_caller(relay):
    was_left, _, parts = relay(Exchange(0.1, 0.1), write_s=9.0)
    assert not was_left
    assert parts == ["head", EVENT, EVENT, "end"]


class Trickle:
    """Stands in for a server that never completes its next event.

    :param parts: pairs of a delay and the bytes that follow it.
    """

    def __init__(self, *parts):
        self.status = 200
        self.headers = ()
        self.phase = _http.Phase.ANSWERING
        self._parts = list(parts)

    async def read_some(self):
        delay_s, data = self._parts.pop(0)
        await trio.sleep(delay_s)
        if not self._parts:
            self.phase = _http.Phase.DONE
        return data


@pytest.mark.parametrize(
    "data", [b"x", b": ping\n\n", b"\n\n"], ids=["byte", "comment", "blank"]
)
def test_stalled_stream_that_sends_a_little_now_and_then_is_left(relay, data):
    parts = [(0.1, EVENT), *[(0.4, data)] * 20]
    was_left, _, received = relay(Trickle(*parts))
    assert was_left
    assert received[:2] == ["head", EVENT]
    assert received.count(EVENT) == 1


def test_slow_stream_whose_events_come_in_time_is_not_cut(relay):
    halves = [(0.7, EVENT[:9]), (0.7, EVENT[9:])] * 6
    was_left, _, received = relay(Trickle((0.1, EVENT), *halves))
    assert not was_left
    assert received == ["head", *[EVENT] * 7, "end"]


SHORT_SILENCES_S = (0.5, 1.0, 1.3)


def _pause_again_and_again(fleet, hosts, pause_s):
    async def run():
        while True:
            for host in hosts:
                fleet.net.pause(host)
                await trio.sleep(pause_s)
                fleet.net.resume(host)
                await trio.sleep(1.0)

    return run


@pytest.mark.parametrize("pause_s", SHORT_SILENCES_S)
@pytest.mark.parametrize("path", ["/notes/1", "/prints/1", "/orders/9"])
def test_sound_server_that_is_silent_for_a_second_is_waited_for(path, pause_s):
    async def scenario(fleet):
        replies = []
        for engine in fleet.engines:
            engine.adapter_slots = 8
            engine.events = 20

        async def send(number):
            fields = {}
            if path != "/orders/9":
                fields["adapter"] = f"base/a{number % 3}"
            request_id = f"r{number}"
            reply = await fleet.call(
                path, request_id=request_id, deadline_ms=15000, **fields
            )
            replies.append(reply)

        hosts = ["e0", "e1", "s0", "s1"]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_pause_again_and_again(fleet, hosts, pause_s))
            async with trio.open_nursery() as callers:
                for number in range(60):
                    callers.start_soon(send, number)
                    await trio.sleep(0.25)
            nursery.cancel_scope.cancel()
        assert all(each.status == 200 and each.whole for each in replies)
        runs = [
            run.request_id
            for server in (*fleet.engines, *fleet.shop_servers)
            for run in server.runs
        ]
        assert len(runs) == len(set(runs)) == 60
        for gateway in fleet.gateways.values():
            assert not gateway.reach.is_isolated()
            assert "strikes" not in gateway.metrics.counter_totals()

    gateways.run(scenario, nodes=2)


# Longer than a gateway waits for an event before it looks for another engine.
LONG_SILENCES_S = (1.6, 2.2, 3.0)
EVENTS = b"".join(f"id: {n}\ndata: @1 {n}\n\n".encode() for n in range(20))


class NoRetriesFleet(gateways.Fleet):
    """A fleet whose gateways have no retry to spend."""

    retry_extra = 0.0

    def make_gateway(self, name):
        """Make a gateway that is not started yet."""
        settings = gateways.settings(name)
        gateway = dataclasses.replace(
            settings.gateway,
            retry_extra=self.retry_extra,
            retry_window_s=10.0,
        )
        settings = dataclasses.replace(settings, gateway=gateway)
        return _gateway.Gateway(settings, self.net.network(name))


class OneRetryFleet(NoRetriesFleet):
    """A fleet each of whose two gateways has one retry to spend."""

    retry_extra = 5.0


# From a server's silence until its stream is sent elsewhere or ended.
DARK_S = 2.2
GONE_S = 2.2
HANG_S = 2.95


async def _add_resumable_route(fleet, **fields):
    """Add the route ``/deeds/`` of streams that may last 15 s."""
    route = gateways.route(
        "/deeds/",
        "streaming",
        "engines",
        resumable=True,
        **{"timeoutMs": 15000, **fields},
    )
    fleet.store.put("op/config", gateways.configuration(2, [route]))
    for engine in fleet.engines:
        engine.events = 20
    await trio.sleep(2.5)


async def _call_stream(fleet, change, begin_s=0.3, **fields):
    """Send a resumable stream, and change something once it has begun.

    :param change: ``async (engine)``, called with the engine that runs it.
    :param begin_s: time until the change; 0 for before it is sent there.
    :returns: a ``Reply``.
    """
    replies = []

    async def call():
        fields.setdefault("deadline_ms", 14000)
        reply = await fleet.call("/deeds/1", adapter="base", **fields)
        replies.append(reply)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await trio.sleep(begin_s)
        await change(fleet.engines[0])
    return replies[0]


def _pause_host(fleet, pause_s):
    """Make a change that pauses an engine's host for a time."""

    async def change(engine):
        host = fleet.host_of(engine)
        fleet.net.pause(host)
        await trio.sleep(pause_s)
        fleet.net.resume(host)

    return change


def _runs(fleet):
    return [run for engine in fleet.engines for run in engine.runs]


@pytest.mark.parametrize("pause_s", LONG_SILENCES_S)
def test_silent_server_ends_no_stream_without_a_retry_to_spend(pause_s):
    """Guards against giving up a run before the next one may be sent."""

    async def scenario(fleet):
        await _add_resumable_route(fleet)
        reply = await _call_stream(fleet, _pause_host(fleet, pause_s))
        assert reply.whole and reply.body == EVENTS
        assert len(_runs(fleet)) == 1

    gateways.run(scenario, make_fleet=NoRetriesFleet)


@pytest.mark.parametrize("pause_s", [*LONG_SILENCES_S, 5.0])
@pytest.mark.parametrize("begin_s", [0.0, 0.3], ids=["head", "event"])
def test_suspended_server_goes_on_with_its_stream(pause_s, begin_s):
    """It accepts connections, and gives no report."""

    async def scenario(fleet):
        await _add_resumable_route(fleet)
        change = _pause_host(fleet, pause_s)
        reply = await _call_stream(fleet, change, begin_s=begin_s)
        assert reply.whole and reply.body == EVENTS
        assert len(_runs(fleet)) == 1

    gateways.run(scenario)


def _stall(engine, silence_s, at=5):
    """Let a run of an engine stall, while it answers all else.

    It notices only when it writes that its connection was closed.
    """
    original = engine._event_numbers

    async def event_numbers(run, after):
        async for number in original(run, after):
            if number == at:
                await trio.sleep(silence_s)
            yield number

    engine._event_numbers = event_numbers


def _stalling(fleet, silence_s):
    """Make the engine that is chosen first stall each run."""
    _stall(fleet.engines[0], silence_s)


async def _change_nothing(engine):
    await trio.lowlevel.checkpoint()


def _no_grants(fleet, enqueue):
    """Make a change after which no owner grants anything."""

    async def change(engine):
        await trio.lowlevel.checkpoint()
        for gateway in fleet.gateways.values():
            gateway.grant_server.enqueue = enqueue

    return change


def _reject(server_name, request, reply):
    raise exceptions.TurnedAway("overload", 0.1)


def _ignore(server_name, request, reply):
    return lambda use: None


@pytest.mark.parametrize("enqueue", [_reject, _ignore])
@pytest.mark.parametrize("silence_s", LONG_SILENCES_S)
def test_silent_server_ends_no_stream_without_a_grant(enqueue, silence_s):
    async def scenario(fleet):
        await _add_resumable_route(fleet)
        _stalling(fleet, silence_s)
        reply = await _call_stream(fleet, _no_grants(fleet, enqueue))
        assert reply.whole and reply.body == EVENTS
        assert len(_runs(fleet)) == 1
        _assert_no_retry(fleet)

    gateways.run(scenario)


def _assert_no_retry(fleet):
    budget = fleet.gateways["g0"].retry_budget.describe("engines")
    assert (budget["retries"], budget["reserved"]) == (0, 0)


@pytest.mark.parametrize("silence_s", LONG_SILENCES_S)
def test_silent_server_ends_no_stream_without_another_engine(silence_s):
    async def scenario(fleet):
        await _add_resumable_route(fleet)
        _stalling(fleet, silence_s)
        reply = await _call_stream(fleet, _change_nothing)
        assert reply.whole and reply.body == EVENTS
        assert len(_runs(fleet)) == 1

    gateways.run(scenario, engines=1)


@pytest.mark.parametrize("silence_s", [*LONG_SILENCES_S, 6.0])
def test_silent_server_ends_no_stream_without_an_attempt_left(silence_s):
    async def scenario(fleet):
        await _add_resumable_route(fleet, attempts=1)
        _stalling(fleet, silence_s)
        reply = await _call_stream(fleet, _change_nothing)
        assert reply.whole and reply.body == EVENTS
        assert len(_runs(fleet)) == 1

    gateways.run(scenario)


def _answer_late(engine, delay_s):
    """Let an engine answer each request for its report late."""
    original = engine._handle

    async def handle(req, resp):
        if req.path == "/v1/report":
            await trio.sleep(delay_s)
        await original(req, resp)

    engine._handle = handle


def test_server_that_goes_on_while_a_move_is_prepared_keeps_its_stream():
    async def scenario(fleet):
        await _add_resumable_route(fleet)
        _stalling(fleet, 1.7)
        _answer_late(fleet.engines[0], 0.3)
        reply = await _call_stream(fleet, _change_nothing)
        assert reply.whole and reply.body == EVENTS
        assert len(_runs(fleet)) == 1
        _assert_no_retry(fleet)

    gateways.run(scenario)


@pytest.mark.parametrize("pause_s", [*LONG_SILENCES_S, 5.0])
def test_gateway_that_was_paused_reads_first_what_has_arrived(pause_s):
    async def scenario(fleet):
        await _add_resumable_route(fleet)

        async def pause(engine):
            fleet.net.pause("g0")
            await trio.sleep(pause_s)
            fleet.net.resume("g0")

        reply = await _call_stream(fleet, pause)
        assert reply.whole and reply.body == EVENTS
        assert len(_runs(fleet)) == 1

    gateways.run(scenario)


@pytest.mark.parametrize("seed", range(1, 6))
def test_timers_that_ran_out_in_a_pause_move_no_stream(seed):
    """After a pause of all processes, events and timers are due at once."""

    async def scenario(fleet):
        await _add_resumable_route(fleet)

        async def jump(engine):
            await trio.lowlevel.checkpoint()
            trio.lowlevel.current_clock().jump(2.0)

        reply = await _call_stream(fleet, jump)
        assert reply.whole and reply.body == EVENTS
        assert len(_runs(fleet)) == 1

    gateways.run(scenario, seed=seed)


def _cut_off(fleet, engine):
    for node in fleet.names:
        fleet.net.cut(node, fleet.host_of(engine))


def test_stream_of_a_dark_server_is_moved_in_time():
    async def scenario(fleet):
        await _add_resumable_route(fleet)
        cut_s = []

        async def cut(engine):
            await trio.lowlevel.checkpoint()
            _cut_off(fleet, engine)
            cut_s.append(trio.current_time())

        reply = await _call_stream(fleet, cut)
        assert reply.whole and reply.body == EVENTS
        first, second = sorted(_runs(fleet), key=lambda run: run.started_s)
        assert second.started_s - cut_s[0] <= DARK_S

    gateways.run(scenario)


@pytest.mark.parametrize("pause_s", [2.2, 3.0, 5.0])
def test_dark_server_that_goes_on_earns_its_request_no_strike(pause_s):
    """Guards against requests refused because their server was paused."""

    async def scenario(fleet):
        await _add_resumable_route(fleet)

        async def cut(engine):
            _cut_off(fleet, engine)
            await trio.sleep(pause_s)
            fleet.net.heal()

        reply = await _call_stream(fleet, cut)
        assert reply.whole and reply.body == EVENTS
        await trio.sleep(3.0)
        for gateway in fleet.gateways.values():
            assert "strikes" not in gateway.metrics.counter_totals()

    gateways.run(scenario)


def test_stream_of_a_server_that_is_gone_ends_if_it_cannot_be_moved():
    """Without a registration and a connection it is not only silent."""

    async def scenario(fleet):
        await _add_resumable_route(fleet)
        cut_s = []

        async def cut(engine):
            await trio.lowlevel.checkpoint()
            _cut_off(fleet, engine)
            fleet.store.drop(f"servers/{engine.name}")
            cut_s.append(trio.current_time())

        reply = await _call_stream(fleet, cut)
        assert not reply.whole
        assert trio.current_time() - cut_s[0] <= GONE_S

    gateways.run(scenario, make_fleet=NoRetriesFleet)


def test_stream_of_a_server_that_hangs_is_moved_in_time():
    async def scenario(fleet):
        await _add_resumable_route(fleet)
        _stalling(fleet, 2.6)
        began_s = trio.current_time()
        reply = await _call_stream(fleet, _change_nothing)
        assert reply.whole and reply.body == EVENTS
        first, second = sorted(_runs(fleet), key=lambda run: run.started_s)
        assert second.started_s - began_s <= HANG_S
        budget = fleet.gateways["g0"].retry_budget.describe("engines")
        assert (budget["reserved"], second.request_id) == (0, "r1")

    gateways.run(scenario)


def test_server_that_is_suspended_after_a_move_began_is_waited_for():
    """Guards against a cut because a report is late."""

    async def scenario(fleet):
        await _add_resumable_route(fleet)
        _stalling(fleet, 1.7)

        async def suspend(engine):
            await trio.sleep(1.55)
            await _pause_host(fleet, 3.0)(engine)

        reply = await _call_stream(fleet, suspend)
        assert reply.whole and reply.body == EVENTS
        assert len(_runs(fleet)) == 2

    gateways.run(scenario)


@pytest.mark.parametrize("change", ["engine leaves", "owner pauses"])
def test_move_whose_engine_or_owner_leaves_is_paid_once(change):
    async def scenario(fleet):
        await _add_resumable_route(fleet)
        await trio.sleep(20.0)  # until the nodes have a share
        _stalling(fleet, 4.0)

        async def lose_grant(engine):
            await trio.sleep(2.0)
            target = fleet.engines[1]
            if change == "engine leaves":
                target.draining = True
                target.register()
            else:
                await _pause_owner(fleet, target)

        reply = await _call_stream(fleet, lose_grant, node=fleet.names[0])
        assert reply.whole and reply.body == EVENTS
        assert len(_runs(fleet)) == 2
        counts = fleet.gateways["g0"].metrics.counter_totals()
        assert "retries_denied" not in counts

    gateways.run(scenario, engines=3, make_fleet=OneRetryFleet)


async def _pause_owner(fleet, engine):
    owner = fleet.owner(engine)
    if owner != "g0":
        fleet.net.pause(owner)
        await trio.sleep(4.0)
        fleet.net.resume(owner)


@pytest.mark.parametrize("seed", range(3))
def test_wait_for_the_end_of_a_silence_ends(seed, monkeypatch):
    """Guards against a pause that is too short to move the clock."""
    rng = random.Random(seed)
    pauses = []

    def count_calls(original):
        async def sleep(when_s):
            pauses.append(when_s)
            assert len(pauses) <= 5, pauses
            await original(when_s)

        return sleep

    sleep = trio.sleep
    monkeypatch.setattr(trio, "sleep", count_calls(trio.sleep))
    monkeypatch.setattr(trio, "sleep_until", count_calls(trio.sleep_until))

    async def main():
        for _ in range(200):
            await sleep(rng.uniform(0.0, 1.0))
            silence = _stream_moves.Silence()
            silence.note_event()
            pauses.clear()
            await silence.wait_until_due()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def _refuse_next_run(engine):
    """Let an engine refuse the next request that it is sent."""
    original = engine._run

    async def run(req, resp):
        engine._run = original
        engine._note_arrival(req)
        await resp.reply(421, b"", engine._base_headers(req))

    engine._run = run


def _refusing(fleet):
    async def change(engine):
        await trio.lowlevel.checkpoint()
        _refuse_next_run(fleet.engines[1])

    return change


def _unreachable(fleet):
    async def change(engine):
        await trio.sleep(2.0)
        fleet.scopes["e1"].cancel()
        fleet.net.break_host("e1")
        await trio.sleep(3.5)
        await fleet.listen("e1:80", fleet.engines[1].serve)

    return change


@pytest.mark.parametrize("deadline_ms", [14_000, 30_000])
@pytest.mark.parametrize("make_change", [_refusing, _unreachable])
def test_move_whose_send_is_not_run_ends_no_stream(make_change, deadline_ms):
    """Guards against a run that is given up for a single try."""

    async def scenario(fleet):
        await _add_resumable_route(fleet, timeoutMs=deadline_ms + 1000)
        await trio.sleep(20.0)  # until the nodes have a share
        _stalling(fleet, 4.0)
        change = make_change(fleet)
        reply = await _call_stream(fleet, change, deadline_ms=deadline_ms)
        assert reply.whole and reply.body == EVENTS

    gateways.run(scenario, make_fleet=OneRetryFleet)


def test_run_that_hangs_holds_no_retry_for_long():
    """The run is never dropped, though its engine answers all else."""

    async def scenario(fleet):
        await _add_resumable_route(fleet)
        await trio.sleep(20.0)  # until the nodes have a share
        _stalling(fleet, 60.0)
        reserved = []

        async def watch(engine):
            for _ in range(26):
                await trio.sleep(0.5)
                budget = fleet.gateways["g0"].retry_budget
                reserved.append(budget.describe("engines")["reserved"])

        await _call_stream(fleet, watch)
        assert sum(reserved) * 0.5 <= 3.0

    gateways.run(scenario, make_fleet=OneRetryFleet)


def test_silent_streams_of_an_engine_share_the_question_what_it_runs():
    class Client:
        asked = 0

        async def is_accepting(self, address, timeout_s):
            self.asked += 1
            await trio.sleep(0.3)
            return False

    client = Client()
    reports = _dropped_runs.RunReports(client)
    server = types.SimpleNamespace(name="i-e0", address="e0:80")
    found = []

    async def ask():
        while trio.current_time() < 3.0:
            found.append(await reports.find_contact(server))
            await trio.sleep(0.1)

    async def main():
        async with trio.open_nursery() as nursery:
            for _ in range(60):
                nursery.start_soon(ask)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert client.asked <= 10
    assert set(found) == {_dropped_runs.Contact.NONE}


def test_moved_stream_is_sent_at_once_after_its_grant(monkeypatch):
    """Guards against prompts that are spaced by older grants."""
    granted_s, waits_s = [], []
    acquire = _stream_moves.Target.acquire

    async def note_grant(self, grant_client):
        is_new = self.use is None
        await acquire(self, grant_client)
        if is_new:
            granted_s.append(trio.current_time())

    monkeypatch.setattr(_stream_moves.Target, "acquire", note_grant)

    async def scenario(fleet):
        await _add_resumable_route(fleet)
        await trio.sleep(20.0)  # until the nodes have a share
        _stalling(fleet, 3.0)
        for gateway in fleet.gateways.values():
            _watch_sends(gateway.upstream, granted_s, waits_s)
        reply = await _call_stream(fleet, _change_nothing)
        assert reply.whole and reply.body == EVENTS
        assert len(waits_s) == 2
        assert max(waits_s) <= _stream_moves.GRANT_AGE_S

    gateways.run(scenario, make_fleet=OneRetryFleet)


def _watch_sends(upstream, granted_s, waits_s):
    """Note how long before each send the last grant was had."""
    send = upstream.send

    async def send_noted(*arguments, **options):
        waits_s.append(trio.current_time() - granted_s[-1])
        await send(*arguments, **options)

    upstream.send = send_noted


def _fail_once(monkeypatch, owner, name):
    """Let the next call of a function fail.

    :returns: list of the failed calls.
    """
    original, failed = getattr(owner, name), []

    def call(*args, **fields):
        if not failed:
            failed.append(args)
            raise KeyError(name)
        return original(*args, **fields)

    monkeypatch.setattr(owner, name, call)
    return failed


def _move_failures(caplog):
    return [r.id for r in caplog.records if r.message == "move_failed"]


@pytest.mark.provokes_errors
@pytest.mark.parametrize(
    "step",
    [
        "engine_selector.choose",
        "upstream.find_contact",
        "retry_budget.reserve",
    ],
)
def test_error_in_the_search_for_an_engine_ends_no_search(
    monkeypatch, caplog, step
):
    # The stream stayed with its silent engine until its deadline.
    async def scenario(fleet):
        await _add_resumable_route(fleet)
        owner, name = step.split(".")
        failed = []

        async def cut(engine):
            await trio.lowlevel.checkpoint()
            _cut_off(fleet, engine)
            failed.append(
                _fail_once(
                    monkeypatch, getattr(fleet.gateways["g0"], owner), name
                )
            )

        reply = await _call_stream(fleet, cut)
        assert reply.whole and reply.body == EVENTS
        assert all(failed) and _move_failures(caplog) == ["r1"]

    gateways.run(scenario)


@pytest.mark.provokes_errors
@pytest.mark.parametrize("step", ["reach.silence_s", "retry_budget.allows"])
def test_error_in_the_search_for_a_server_ends_no_search(
    monkeypatch, caplog, step
):
    # As above, for a plain service.
    async def scenario(fleet):
        owner, name = step.split(".")
        for shop in fleet.shop_servers:
            shop.work_s = 60.0

        async def call():
            replies.append(await fleet.call("/stock/1", deadline_ms=4000))

        replies = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(0.2)
            failed = _fail_once(
                monkeypatch, getattr(fleet.gateways["g0"], owner), name
            )
            for shop in fleet.shop_servers:
                shop.work_s = 0.1
        assert replies[0].status == 200
        assert failed and _move_failures(caplog) == ["r1"]

    gateways.run(scenario)
