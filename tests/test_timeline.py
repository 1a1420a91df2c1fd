"""Timelines from the logs of nodes."""

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


def test_requests_are_counted_by_second_beside_changes_of_state():
    found = _timeline.read([LOG.splitlines()])
    assert found.counts == {
        "answered": [1, 0, 0],
        "refused: turned_away": [0, 0, 1],
        "requests": [1, 1, 0],
    }
    marks = [(mark.at_s, mark.node, mark.event) for mark in found.marks]
    assert marks == [(0.0, "g0", "node_started"), (2.06, "g1", "store_back")]


def test_times_of_plain_logs_are_read():
    line = (
        '{"time": "2026-12-03 10:00:0%d,500", "message": "request", '
        '"id": "r%d"}'
    )
    found = _timeline.read([[line % (n, n) for n in (0, 3)]])
    assert found.counts == {"requests": [1, 0, 0, 1]}


def test_long_runs_get_longer_steps():
    lines = [
        f'{at} g0 {{"message": "request", "id": "r"}}' for at in (0, 10**7)
    ]
    found = _timeline.read([lines])
    assert found.step_s == 100.0
    assert sum(found.counts["requests"]) == 2


def test_input_without_a_time_is_refused():
    with pytest.raises(ValueError, match="time"):
        _timeline.read([["nothing"]])


def test_lines_for_people_name_peaks_and_changes():
    lines = list(_timeline.describe(_timeline.read([LOG.splitlines()])))
    assert "requests: 2, at most 1 in 1 s at 0 s" in lines
    assert "2.060 g1 store_back" in lines
