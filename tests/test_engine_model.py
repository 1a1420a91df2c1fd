"""What the owner of an engine learns from its answers."""

import random

import pytest

from coltsfootsail import _answer_times
from coltsfootsail import _reading_speed

PROMPTS = (400, 650, 800, 900, 1400, 2400, 5000)


def _serve(speed, tokens_per_s, count, rng, wait_share=0.0):
    """Let an engine answer requests, some of which wait for others."""
    for _ in range(count):
        tokens = rng.choice(PROMPTS)
        first_event_s = _reading_speed.DELAY_S + tokens / tokens_per_s
        if rng.random() < wait_share:
            first_event_s += rng.uniform(0.0, 0.3)
        speed.add(tokens, first_event_s * rng.uniform(0.95, 1.15))


@pytest.mark.parametrize("factor", [1 / 3, 1.0, 3.0])
def test_speed_of_an_engine_is_learned_from_a_few_seconds_of_load(factor):
    speed = _reading_speed.ReadingSpeed()
    tokens_per_s = factor * _reading_speed.ASSUMED_TOKENS_PER_S
    _serve(speed, tokens_per_s, 60, random.Random(1))
    assert speed.read_s(1000) == pytest.approx(1000 / tokens_per_s, rel=0.15)


def test_engine_that_turns_slow_is_followed_and_recovers():
    speed = _reading_speed.ReadingSpeed()
    rng = random.Random(2)
    _serve(speed, 28000, 100, rng)
    _serve(speed, 7000, 40, rng)
    assert speed.read_s(1000) > 2.5 * 1000 / 28000
    _serve(speed, 28000, 60, rng)
    assert speed.read_s(1000) < 1.25 * 1000 / 28000


def test_waits_of_some_requests_are_not_taken_for_slow_reading():
    speed = _reading_speed.ReadingSpeed()
    _serve(speed, 28000, 200, random.Random(3), wait_share=0.1)
    assert speed.read_s(1000) < 1.4 * 1000 / 28000


def test_timeout_of_orders_follows_the_answer_times():
    times = _answer_times.AnswerTimes(0.5)
    assert times.timeout_s() == 0.5
    for _ in range(20):
        times.add(0.003)
    assert times.timeout_s() == _answer_times.TIMEOUT_MIN_S
    for _ in range(40):
        times.add(0.1)
    assert 0.1 < times.timeout_s() < 0.2


def test_timeout_of_orders_doubles_until_the_longest():
    times = _answer_times.AnswerTimes(0.5)
    times.add(0.003)
    timeouts_s, go_on = [], True
    while go_on:
        timeouts_s.append(times.timeout_s())
        go_on = times.add_timeout()
    assert timeouts_s == [0.05, 0.1, 0.2, 0.4, 0.5]
    times.add(0.003)
    assert times.timeout_s() == _answer_times.TIMEOUT_MIN_S
