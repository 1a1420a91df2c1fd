"""Logs: bounded, and never in the way of a request."""

import json
import logging
import os

import pytest

from coltsfootsail import _logs


@pytest.fixture
def pipe():
    """Yield both ends of a pipe and put the logger back after."""
    saved = (_logs.LOGGER.handlers, _logs.LOGGER.level, _logs.LOGGER.propagate)
    reader, writer = os.pipe()
    _logs.configure_pipe(writer)
    yield reader
    os.close(reader)
    os.close(writer)
    handlers, level, propagate = saved
    _logs.LOGGER.handlers = handlers
    _logs.LOGGER.setLevel(level)
    _logs.LOGGER.propagate = propagate


def lines(reader):
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_line_carries_its_fields(pipe):
    _logs.state("lease", node="n1", change="held")
    (found,) = lines(pipe)
    assert found["message"] == "lease"
    assert (found["node"], found["change"]) == ("n1", "held")


def test_full_pipe_stops_nobody_and_what_is_left_out_is_said(pipe):
    for number in range(5000):
        _logs.state("lease", number=number, padding="x" * 100)
    kept = lines(pipe)
    assert len(kept) < 5000
    _logs.state("lease", number=-1)
    (last,) = lines(pipe)
    assert last["left_out"] == 5000 - len(kept)


def test_details_beyond_the_budget_are_left_out(pipe):
    clock = [0.0]
    budget = _logs._Budget(10, 5, lambda: clock[0])
    assert [budget.take() for _ in range(6)] == [True] * 5 + [False]
    clock[0] = 0.35
    assert [budget.take() for _ in range(4)] == [True] * 3 + [False]


def test_reader_that_is_gone_stops_nobody():
    reader, writer = os.pipe()
    handler = _logs.PipeHandler(writer, _logs._Budget(1, 1))
    os.close(reader)
    record = logging.LogRecord("n", logging.INFO, "", 0, "lease", (), None)
    handler.emit(record)
    assert handler.left_out == 1
    os.close(writer)
