"""Tests of the engine client against its stand-in, with faults."""

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
def run_with_engine(virtual):
    """Run an async test function with an engine client and its stand-in."""

    def run(main, fencing=True, slots=2):
        async def body():
            net = memory.MemoryNetwork()
            store = platform.WeightStoreStandIn(2.0)
            standin_engine = standin.EngineStandIn(
                "e", slots, 4, store, fencing
            )
            network = net.network("node")
            client = _http.HttpClient(network)
            engine_client = _engine.EngineClient(client, ADDRESS, network.now)
            async with trio.open_nursery() as nursery:
                serve = net.network("engine").serve
                await nursery.start(serve, ADDRESS, standin_engine.serve)
                await main(engine_client, standin_engine)
                nursery.cancel_scope.cancel()

        virtual(body)

    return run


def test_orders_change_the_resident_adapters(run_with_engine):
    async def main(engine_client, standin_engine):
        await engine_client.load("a@v1", 1)
        await engine_client.load("b@v1", 1)
        await engine_client.unload("a@v1", 1)
        report = await engine_client.report()
        assert report.resident == ("b@v1",)

    run_with_engine(main)


@pytest.mark.parametrize("fencing", [True, False])
def test_old_fencing_numbers_are_refused_if_the_engine_checks_them(
    run_with_engine, fencing
):
    async def main(engine_client, standin_engine):
        await engine_client.load("a@v1", 7)
        if fencing:
            with pytest.raises(exceptions.OrderRefused):
                await engine_client.unload("a@v1", 6)
        else:
            await engine_client.unload("a@v1", 6)
        assert (standin_engine.resident() == ["a@v1"]) is fencing

    run_with_engine(main, fencing=fencing)


def test_engine_loaded_beyond_its_slots_evicts_an_adapter(run_with_engine):
    async def main(engine_client, standin_engine):
        for name in ("a@v1", "b@v1", "c@v1"):
            await engine_client.load(name, 1)
        assert standin_engine.overloaded == 1
        assert standin_engine.resident() == ["b@v1", "c@v1"]

    run_with_engine(main)


@pytest.mark.parametrize(
    ("fault", "error"),
    [
        (FAULTS.LOAD_FAILS, exceptions.OrderRefused),
        (FAULTS.LOAD_HANGS, exceptions.OrderUnsure),
        (FAULTS.SILENT, exceptions.OrderUnsure),
    ],
)
def test_failed_loads_raise_typed_errors(run_with_engine, fault, error):
    async def main(engine_client, standin_engine):
        standin_engine.fault = fault
        with pytest.raises(error):
            await engine_client.load("a@v1", 1)

    run_with_engine(main)


async def _completion(engine_client, stream, adapter="a@v1", request_id="r1"):
    """Run a completion through the relay's checks."""
    value = {
        "model": adapter,
        "prompt": "hi",
        "max_tokens": 6,
        "stream": stream,
    }
    headers = [("host", ADDRESS), ("x-request-id", request_id)]
    async with engine_client.exchange() as exchange:
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
        events = b""
        while exchange.phase is not _http.Phase.DONE:
            events += checker.feed(await exchange.read_some())
        checker.finish()
        return events


@pytest.mark.parametrize("stream", [True, False])
def test_complete_answers_pass_the_checks(run_with_engine, stream):
    async def main(engine_client, standin_engine):
        await engine_client.load("a@v1", 1)
        answer = await _completion(engine_client, stream)
        assert b"a@v1|hi|5" in answer

    run_with_engine(main)


def test_completion_on_a_missing_adapter_is_refused(run_with_engine):
    async def main(engine_client, standin_engine):
        assert await _completion(engine_client, True) == 404
        assert standin_engine.runs == []

    run_with_engine(main)


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize("fault", [FAULTS.WRONG_VERSION, FAULTS.CROSSED])
def test_answers_to_other_requests_are_mismatches(
    run_with_engine, fault, stream
):
    async def main(engine_client, standin_engine):
        await engine_client.load("a@v1", 1)
        await _completion(engine_client, stream)
        standin_engine.fault = fault
        with pytest.raises(exceptions.AnswerMismatch):
            await _completion(engine_client, stream, request_id="r2")

    run_with_engine(main)


def test_truncated_stream_is_an_error(run_with_engine):
    async def main(engine_client, standin_engine):
        await engine_client.load("a@v1", 1)
        standin_engine.fault = FAULTS.TRUNCATED
        with pytest.raises(
            (exceptions.AnswerTruncated, *_outcomes.EXCHANGE_ERRORS)
        ):
            await _completion(engine_client, True)

    run_with_engine(main)


def test_report_shows_that_a_crash_emptied_the_engine(run_with_engine):
    async def main(engine_client, standin_engine):
        await engine_client.load("a@v1", 1)
        before = await engine_client.report()
        standin_engine.crash()
        after = await engine_client.report()
        assert after.resident == ()
        assert after.incarnation != before.incarnation

    run_with_engine(main)


def test_load_reports_lag_behind(run_with_engine):
    async def main(engine_client, standin_engine):
        await engine_client.load("a@v1", 1)
        await engine_client.report()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_completion, engine_client, True)
            await trio.sleep(0.05)
            report = await engine_client.report()
            assert report.sampled_s < report.asked_s
            assert report.running.get("a@v1", 0) == 0

    run_with_engine(main)
