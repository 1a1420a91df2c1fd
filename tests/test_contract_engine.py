"""The engine edge against its stand-in, faults included."""

import json

import pytest
import trio

from coltsfootsail import _engine
from coltsfootsail import _http
from coltsfootsail import _outcomes
from coltsfootsail import _relay
from coltsfootsail import exceptions
from coltsfootsail.standins import engine as standin
from coltsfootsail.standins import network as memory
from coltsfootsail.standins import platform

ADDRESS = "engine:1"
FAULTS = standin.EngineFault


@pytest.fixture
def edge(virtual):
    """Run a function with the engine edge and the stand-in behind it."""

    def run(main, fencing=True, slots=2):
        async def body():
            net = memory.MemoryNetwork()
            store = platform.WeightStoreStandIn(2.0)
            service = standin.EngineStandIn("e", slots, 4, store, fencing)
            network = net.network("node")
            client = _http.HttpClient(network)
            engine = _engine.EngineClient(client, ADDRESS, network.now)
            async with trio.open_nursery() as nursery:
                serve = net.network("engine").serve
                await nursery.start(serve, ADDRESS, service.serve)
                await main(engine, service)
                nursery.cancel_scope.cancel()

        virtual(body)

    return run


def test_orders_change_what_is_resident(edge):
    async def main(engine, service):
        await engine.load("a@v1", 1)
        await engine.load("b@v1", 1)
        await engine.unload("a@v1", 1)
        report = await engine.report()
        assert report.resident == ("b@v1",)

    edge(main)


@pytest.mark.parametrize("fencing", [True, False])
def test_old_fencing_numbers_are_refused_where_checked(edge, fencing):
    async def main(engine, service):
        await engine.load("a@v1", 7)
        if fencing:
            with pytest.raises(exceptions.OrderRefused):
                await engine.unload("a@v1", 6)
        else:
            await engine.unload("a@v1", 6)
        assert (service.resident() == ["a@v1"]) is fencing

    edge(main, fencing=fencing)


def test_an_engine_loaded_over_its_slots_evicts_by_itself(edge):
    async def main(engine, service):
        for name in ("a@v1", "b@v1", "c@v1"):
            await engine.load(name, 1)
        assert service.overloaded == 1
        assert service.resident() == ["b@v1", "c@v1"]

    edge(main)


@pytest.mark.parametrize(
    ("fault", "error"),
    [
        (FAULTS.LOAD_FAILS, exceptions.OrderRefused),
        (FAULTS.LOAD_HANGS, exceptions.OrderUnsure),
        (FAULTS.SILENT, exceptions.OrderUnsure),
    ],
)
def test_failing_loads_have_types(edge, fault, error):
    async def main(engine, service):
        service.fault = fault
        with pytest.raises(error):
            await engine.load("a@v1", 1)

    edge(main)


async def _completion(engine, stream, adapter="a@v1", request_id="r1"):
    """Run a completion through the relay's checks."""
    value = {
        "model": adapter,
        "prompt": "hi",
        "max_tokens": 6,
        "stream": stream,
    }
    headers = [("host", ADDRESS), ("x-request-id", request_id)]
    async with engine.exchange() as exchange:
        body = json.dumps(value).encode()
        await exchange.send("POST", "/v1/completions", headers, body)
        status = await exchange.read_head()
        if status != 200:
            return status
        if not stream:
            answer = await exchange.read_body(100_000)
            _relay.check_body(answer, request_id, adapter)
            return answer
        checker = _relay.EventChecker(request_id, adapter)
        found = b""
        while exchange.phase is not _http.Phase.DONE:
            found += checker.feed(await exchange.read_some())
        checker.finish()
        return found


@pytest.mark.parametrize("stream", [True, False])
def test_whole_answers_pass_the_checks(edge, stream):
    async def main(engine, service):
        await engine.load("a@v1", 1)
        answer = await _completion(engine, stream)
        assert b"a@v1|hi|5" in answer

    edge(main)


def test_an_adapter_not_resident_is_refused(edge):
    async def main(engine, service):
        assert await _completion(engine, True) == 404
        assert service.runs == []

    edge(main)


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize("fault", [FAULTS.WRONG_VERSION, FAULTS.CROSSED])
def test_answers_of_others_are_mismatches(edge, fault, stream):
    async def main(engine, service):
        await engine.load("a@v1", 1)
        await _completion(engine, stream)
        service.fault = fault
        with pytest.raises(exceptions.AnswerMismatch):
            await _completion(engine, stream, request_id="r2")

    edge(main)


def test_a_truncated_stream_is_an_error(edge):
    async def main(engine, service):
        await engine.load("a@v1", 1)
        service.fault = FAULTS.TRUNCATED
        with pytest.raises(
            (exceptions.AnswerTruncated, *_outcomes.EXCHANGE_ERRORS)
        ):
            await _completion(engine, True)

    edge(main)


def test_a_crash_empties_the_engine_and_shows_in_the_report(edge):
    async def main(engine, service):
        await engine.load("a@v1", 1)
        before = await engine.report()
        service.crash()
        after = await engine.report()
        assert after.resident == ()
        assert after.incarnation != before.incarnation

    edge(main)


def test_load_reports_lag(edge):
    async def main(engine, service):
        await engine.load("a@v1", 1)
        await engine.report()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_completion, engine, True)
            await trio.sleep(0.05)
            report = await engine.report()
            assert report.sampled_s < report.asked_s
            assert report.running.get("a@v1", 0) == 0

    edge(main)
