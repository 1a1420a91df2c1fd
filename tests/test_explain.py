"""Following requests through logs."""

import json

import pytest

from coltsfootsail import _cli
from coltsfootsail import _explain

LOG = [
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


def text(prefix=""):
    lines = [prefix + json.dumps({"time": "t", **line}) for line in LOG]
    return "\n".join(["not a log line", "{broken", *lines]) + "\n"


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "n1.log"
    path.write_text(text("  7.25 edge-1 "))
    return str(path)


def test_way_of_a_request_ends_with_its_reason(log, capsys):
    assert _cli.run(["explain", "r2", log]) == 0
    out = capsys.readouterr().out
    assert out.startswith("7.25 edge-1 request route=notes")
    assert "end: turned_away (not_run): overload" in out


def test_unknown_request_is_an_error(log, capsys):
    assert _cli.run(["explain", "r9", log]) != 0
    assert "r9" in capsys.readouterr().err


def test_sets_are_summed_up(log, capsys):
    assert _cli.run(["explain", "--why", "refused", log, "--json"]) == 0
    found = json.loads(capsys.readouterr().out)
    assert found["requests"] == [["all", 1]]
    assert found["reason"] == [["turned_away (not_run): overload", 1]]
    assert _cli.run(["explain", "--why", "late", log]) == 0
    assert "e1" in capsys.readouterr().out


def test_lines_without_a_prefix_are_read():
    lines = _explain.read([text().splitlines()])
    assert [line.event for line in lines][:2] == ["request", "grant"]
    assert lines[0].when == "t"
