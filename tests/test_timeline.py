"""Tests of timelines from node logs."""

import pytest

from coltsfootsail import _timeline

LOG = """\
9.900 g0 {"message": "node_started", "node": "g0"}
10.100 g0 {"message": "request", "id": "r1", "route": "notes"}
10.300 g0 {"message": "answered", "id": "r1", "sends": 1}
11.200 g1 {"message": "request", "id": "r2", "route": "notes"}
11.950 g1 {"message": "refused", "id": "r2", "code": "turned_away"}
11.960 g1 {"message": "store_back", "after_s": 4.0}
not a line of a log
"""


def test_requests_are_counted_by_second_beside_state_changes():
    timeline = _timeline.read([LOG.splitlines()])
    assert timeline.counts == {
        "answered": [1, 0, 0],
        "refused: turned_away": [0, 0, 1],
        "requests": [1, 1, 0],
    }
    marks = [(mark.at_s, mark.node, mark.event) for mark in timeline.marks]
    assert marks == [(0.0, "g0", "node_started"), (2.06, "g1", "store_back")]


def test_dates_and_times_of_log_lines_are_read():
    line = (
        '{"time": "2026-12-03 10:00:0%d,500", "message": "request", '
        '"id": "r%d"}'
    )
    timeline = _timeline.read([[line % (second, second) for second in (0, 3)]])
    assert timeline.counts == {"requests": [1, 0, 0, 1]}


def test_long_runs_get_longer_steps():
    lines = [
        f'{at} g0 {{"message": "request", "id": "r"}}' for at in (0, 10**7)
    ]
    timeline = _timeline.read([lines])
    assert timeline.step_s == 100.0
    assert sum(timeline.counts["requests"]) == 2


def test_input_without_a_time_is_an_error():
    with pytest.raises(ValueError, match="time"):
        _timeline.read([["nothing"]])


def test_description_lists_peaks_and_state_changes():
    lines = list(_timeline.describe(_timeline.read([LOG.splitlines()])))
    assert "requests: 2, at most 1 in 1 s at 0 s" in lines
    assert "2.060 g1 store_back" in lines
