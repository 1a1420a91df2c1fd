"""Tests of tracing requests through logs."""

import json

import pytest

from coltsfootsail import _cli
from coltsfootsail import _explain

LOG_LINES = [
    {"message": "request", "id": "r1", "route": "notes", "version": 5},
    {"message": "grant", "server": "e1", "adapter": "m/a1"},
    {"message": "sent", "id": "r1", "server": "e1", "after_s": 1.4},
    {"message": "answered", "id": "r1", "sends": 1},
    {"message": "request", "id": "r2", "route": "notes", "version": 5},
    {
        "message": "refused",
        "id": "r2",
        "code": "turned_away",
        "outcome": "not_run",
        "why": "overload",
        "begun": False,
    },
]


def log_text(prefix=""):
    lines = [prefix + json.dumps({"time": "t", **line}) for line in LOG_LINES]
    return "\n".join(["not a log line", "{broken", *lines]) + "\n"


@pytest.fixture
def log_path(tmp_path):
    path = tmp_path / "n1.log"
    path.write_text(log_text("  7.25 edge-1 "))
    return str(path)


def test_trace_of_a_refused_request_ends_with_the_reason(log_path, capsys):
    assert _cli.run(["explain", "r2", log_path]) == 0
    out = capsys.readouterr().out
    assert out.startswith("7.25 edge-1 request route=notes")
    assert "end: turned_away (not_run): overload" in out


def test_trace_shows_changes_of_state_while_a_request_was_handled():
    lines = [
        (1.0, {"message": "store_era", "era": 1, "old_era": 0}),
        (2.0, {"message": "request", "id": "r1", "route": "notes"}),
        (3.0, {"message": "store_era", "era": 2, "old_era": 1}),
        (4.0, {"message": "answered", "id": "r1", "sends": 1}),
        (5.0, {"message": "store_era", "era": 3, "old_era": 2}),
    ]
    text = "".join(f"{at_s} n1 {json.dumps(line)}\n" for at_s, line in lines)
    trace = list(_explain.trace(_explain.read([text.splitlines()]), "r1"))
    assert [line.split()[2] for line in trace[:-1]] == [
        "request",
        "store_era",
        "answered",
    ]
    assert "era=2 old_era=1" in trace[1]


def test_unknown_request_id_is_an_error(log_path, capsys):
    assert _cli.run(["explain", "r9", log_path]) != 0
    assert "r9" in capsys.readouterr().err


def test_requests_with_a_problem_are_summarized(log_path, capsys):
    assert _cli.run(["explain", "--why", "refused", log_path, "--json"]) == 0
    summary = json.loads(capsys.readouterr().out)
    assert summary["requests"] == [["all", 1]]
    assert summary["reason"] == [["turned_away (not_run): overload", 1]]
    assert _cli.run(["explain", "--why", "late", log_path]) == 0
    assert "e1" in capsys.readouterr().out


def test_lines_without_time_and_node_are_read():
    lines = _explain.read([log_text().splitlines()])
    assert [line.event for line in lines][:2] == ["request", "grant"]
    assert lines[0].when == "t"
