"""Requests that crash the servers that run them."""

import logging

import trio

from tests import gateways


def _records(caplog, event):
    return [each for each in caplog.records if each.message == event]


def test_log_names_the_request_of_a_strike_and_the_parts_of_its_prompt(caplog):
    async def scenario(fleet):
        for engine in fleet.engines:
            engine.crash_parts = frozenset({"bad"})
            engine.crash = lambda engine=engine: fleet.crash(engine)
        parts = ("shared", "bad", "own")
        await fleet.call("/notes/1", adapter="base/a1", parts=parts)
        await trio.sleep(1.0)

    with caplog.at_level(logging.DEBUG, "coltsfootsail"):
        gateways.run(scenario)
    (request,) = _records(caplog, "request")
    assert request.parts == "shared bad own"
    assert [each.id for each in _records(caplog, "strike")] == ["r1"]


def test_log_tells_a_broken_connection_from_a_crash(caplog):
    async def scenario(fleet):
        fleet.engines[0].cut_after = fleet.engines[1].cut_after = 1
        await fleet.call("/notes/1", adapter="base/a1")
        await trio.sleep(1.0)

    with caplog.at_level(logging.DEBUG, "coltsfootsail"):
        gateways.run(scenario)
    assert [each.id for each in _records(caplog, "no_crash")] == ["r1"]
    assert not _records(caplog, "strike")
