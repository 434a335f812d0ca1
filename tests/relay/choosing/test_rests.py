"""Upstreams that have asked for rest, and how a VM comes back to them."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beamhatch.relay.choosing.rests import REST_SPREAD, TRIAL_TIME, TRUSTED_ANSWERS, Rests
from beamhatch.relay.model import Incarnation, UpstreamId

ONE = Incarnation(UpstreamId("one"), 1)
NOW = 100.0
LONGEST = 3.0 * (1 + REST_SPREAD)


def make_rested() -> tuple[Rests, float]:
    """Return rests with one of 3 s that is over, and the time."""
    rests = Rests()
    rests.take(ONE, 3.0, NOW)
    return rests, NOW + LONGEST


def test_nothing_is_sent_for_as_long_as_was_asked() -> None:
    rests = Rests()
    assert rests.may_send(ONE, NOW)
    assert rests.take(ONE, 3.0, NOW)
    assert not rests.may_send(ONE, NOW + 3.0)
    assert rests.is_resting(ONE, NOW + 2.99)
    assert rests.may_send(ONE, NOW + LONGEST)


def test_a_shorter_word_does_not_end_a_rest_earlier_and_a_longer_one_lengthens_it() -> None:
    rests = Rests()
    rests.take(ONE, 3.0, NOW)
    assert not rests.take(ONE, 0.5, NOW + 1.0)
    assert not rests.may_send(ONE, NOW + 2.99)
    assert not rests.take(ONE, 9.0, NOW + 2.0)
    assert not rests.may_send(ONE, NOW + 10.9)


def test_another_life_did_not_ask() -> None:
    rests = Rests()
    rests.take(ONE, 3.0, NOW)
    assert rests.may_send(Incarnation(ONE.id, 2), NOW)
    assert not rests.may_send(ONE, NOW)


def test_one_request_tries_first_and_each_answer_lets_two_more_in() -> None:
    rests, now = make_rested()
    allowed = []
    for _ in range(4):
        trials = []
        while rests.may_send(ONE, now):
            trial = rests.begin(ONE, now)
            assert trial is not None
            trials.append(trial)
        allowed.append(len(trials))
        now += 0.1
        for trial in trials:
            trial.end(now, answered=True)
    assert allowed == [1, 2, 4, 8]


def test_behind_enough_answers_it_is_as_any_other() -> None:
    rests, now = make_rested()
    for _ in range(TRUSTED_ANSWERS):
        trial = rests.begin(ONE, now)
        assert trial is not None
        trial.end(now, answered=True)
    assert rests.begin(ONE, now) is None


def test_a_trial_tells_once_and_one_that_failed_lets_nobody_more_in() -> None:
    rests, now = make_rested()
    trial = rests.begin(ONE, now)
    assert trial is not None
    assert not rests.may_send(ONE, now)
    trial.end(now, answered=False)
    trial.end(now, answered=True)
    assert rests.may_send(ONE, now)
    rests.begin(ONE, now)
    assert not rests.may_send(ONE, now)


def test_a_trial_that_tells_nothing_keeps_nobody_away_for_long() -> None:
    rests, now = make_rested()
    rests.begin(ONE, now)
    assert not rests.may_send(ONE, now + TRIAL_TIME - 0.01)
    assert rests.may_send(ONE, now + TRIAL_TIME)


def test_a_trial_that_is_asked_for_rest_begins_it_anew() -> None:
    rests, now = make_rested()
    trial = rests.begin(ONE, now)
    assert trial is not None
    assert rests.take(ONE, 3.0, now)
    trial.end(now, answered=False)
    assert not rests.may_send(ONE, now + 2.9)


def test_what_is_listed_no_longer_is_forgotten() -> None:
    rests = Rests()
    rests.take(ONE, 3.0, NOW)
    rests.keep_only({ONE.id})
    assert rests.count(NOW) == 1
    rests.keep_only(set())
    assert rests.count(NOW) == 0


@pytest.mark.parametrize("vms", [8, 74, 195, 300])
def test_machines_that_were_turned_away_at_one_moment_come_back_apart(vms: int) -> None:
    random.seed(vms)  # by chance alone, 7 of 2,000 draws of 74 VMs have more than a tenth in one bin
    busiest = []
    for _ in range(100):
        ends = Counter[int]()
        for _ in range(vms):
            rests = Rests()
            rests.take(ONE, 3.0, NOW)
            end = rests.find_end(ONE, NOW)
            assert end is not None
            ends[int(100 * (end - NOW))] += 1
        busiest.append(max(ends.values()))
    assert max(busiest) <= max(4, vms / 10)


@given(st.lists(st.tuples(st.floats(0, 2), st.none() | st.floats(0.01, 5)), max_size=40), st.integers())
def test_no_rest_is_broken_whatever_is_asked_when(steps: list[tuple[float, float | None]], seed: int) -> None:
    random.seed(seed)
    rests = Rests()
    now, until = NOW, 0.0
    for gap, asked in steps:
        now += gap
        if asked is not None:
            rests.take(ONE, asked, now)
            until = max(until, now + asked)
        assert not (rests.may_send(ONE, now) and now < until - 1e-6)
