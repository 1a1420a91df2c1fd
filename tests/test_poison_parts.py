"""Which parts of prompts are blamed for crashes, from evidence alone."""

import itertools

import pytest

from coltsfootsail import _poison_parts

numbers = itertools.count()


@pytest.fixture
def evidence():
    return _poison_parts.PartEvidence()


def _crash(evidence, server, *prompts, at_s=100.0):
    """Add the crash of a server that ran requests with some prompts."""
    for prompt in prompts:
        run = _poison_parts.CrashedRun(
            server,
            f"content {next(numbers)}",
            tuple((part, place) for place, part in enumerate(prompt)),
            at_s,
        )
        evidence.add(run)


def _blamed(evidence, *parts, at_s=101.0):
    verdicts = [evidence.verdict(part) for part in parts]
    return any(each and not each.is_over(at_s) for each in verdicts)


def test_part_is_blamed_for_the_third_crash_under_it(evidence):
    for number in range(3):
        assert not _blamed(evidence, "bad")
        _crash(evidence, f"s{number}", ("bad", f"b{number}"))
    assert _blamed(evidence, "bad")
    assert not _blamed(evidence, "b0", "b1", "b2")


def test_one_request_alone_does_not_get_a_part_blamed(evidence):
    run = _poison_parts.CrashedRun("", "content", (("p", 0),), 100.0)
    for number in range(5):
        evidence.add(
            _poison_parts.CrashedRun(
                f"s{number}", run.content, run.parts, run.at_s
            )
        )
    assert not _blamed(evidence, "p")


def test_several_runs_on_one_server_count_as_one_crash(evidence):
    _crash(evidence, "s0", *[("bad", f"b{n}") for n in range(8)])
    assert not _blamed(evidence, "bad")


def test_part_that_ran_beside_the_blamed_one_is_not_blamed(evidence):
    for number in range(5):
        _crash(
            evidence,
            f"s{number}",
            ("first", "bad", f"c{number}"),
            ("first", "sound", f"d{number}"),
        )
    assert _blamed(evidence, "bad") or _blamed(evidence, "sound")
    _crash(evidence, "s5", ("first", "bad", "c5"))
    assert _blamed(evidence, "bad")
    assert not _blamed(evidence, "first", "sound")


def test_first_part_is_blamed_if_only_it_is_common(evidence):
    for number in range(3):
        _crash(evidence, f"s{number}", ("bad", f"b{number}", f"c{number}"))
    assert _blamed(evidence, "bad")
    assert not _blamed(evidence, "b0", "c0", "b1", "c1", "b2", "c2")


def test_two_crashing_parts_at_once_are_both_blamed(evidence):
    for number in range(6):
        bad = f"bad{number % 2}"
        _crash(evidence, f"s{number}", ("first", bad, f"c{number}"))
        evidence.clear(("first",), 100.0)
    assert _blamed(evidence, "bad0") and _blamed(evidence, "bad1")
    assert not _blamed(evidence, "first")


def test_completed_run_clears_its_parts(evidence):
    for number in range(3):
        _crash(evidence, f"s{number}", ("p", f"b{number}"))
    assert evidence.clear(("p", "other"), 105.0) == ("p",)
    assert not _blamed(evidence, "p", at_s=105.0)
    assert evidence.clear(("p",), 106.0) == ()


def test_part_of_a_recent_completed_run_is_no_suspect(evidence):
    evidence.clear(("sound",), 100.0)
    assert evidence.suspects(("sound", "new"), 110.0) == (("new", 1),)
    later_s = 100.0 + _poison_parts.SOUND_S + 1.0
    assert len(evidence.suspects(("sound", "new"), later_s)) == 2


def test_blame_lasts_longer_after_each_further_crash(evidence):
    for number in range(3):
        _crash(evidence, f"s{number}", ("bad", f"b{number}"))
    first_s = 100.0 + _poison_parts.REFUSED_S
    assert evidence.verdict("bad").refused_until_s == first_s
    _crash(evidence, "s3", ("bad", "b3"), at_s=first_s + 1.0)
    refused_s = _poison_parts.REFUSED_S * _poison_parts.REFUSED_FACTOR
    assert evidence.verdict("bad").refused_until_s == first_s + 1.0 + refused_s
    late_s = first_s + 1.0 + refused_s + _poison_parts.TRIAL_S
    assert evidence.verdict("bad").is_over(late_s)


def test_blame_of_other_nodes_is_taken_over_with_its_crashes(evidence):
    evidence.adopt("bad", 4, 100.0)
    assert evidence.verdict("bad").crashes == 4
    _crash(evidence, "s0", ("bad", "b0"), at_s=200.0)
    assert evidence.verdict("bad").crashes == 5
    assert evidence.clear(("bad",), 300.0) == ("bad",)
    assert evidence.verdict("bad") is None


def test_evidence_is_bounded_and_forgotten(evidence):
    for number in range(2 * _poison_parts.CRASHES_KEPT):
        _crash(evidence, f"s{number}", (f"p{number}",))
    assert len(evidence.runs()) <= _poison_parts.CRASHES_KEPT
    for number in range(2 * _poison_parts.COMPLETED_KEPT):
        evidence.clear((f"q{number}",), 100.0)
    assert len(evidence._completed_s) <= _poison_parts.COMPLETED_KEPT
    late_s = 101.0 + _poison_parts.FORGET_AFTER_S
    _crash(evidence, "late", ("p",), at_s=late_s)
    assert [run.server for run in evidence.runs()] == ["late"]
