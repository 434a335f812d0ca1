"""Tests of back-offs and of the probes after them."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beamhatch.relay.choosing.rests import MAX_JITTER, PROBE_TIMEOUT_S, RECOVERY_RESPONSES, Backoffs
from beamhatch.relay.model import Incarnation, UpstreamId

ONE = Incarnation(UpstreamId("one"), 1)
NOW = 100.0
MAX_BACKOFF_S = 3.0 * (1 + MAX_JITTER)


def make_ended_backoff() -> tuple[Backoffs, float]:
    """Return back-offs with one that has just ended, and the current time."""
    backoffs = Backoffs()
    backoffs.record(ONE, 3.0, NOW)
    return backoffs, NOW + MAX_BACKOFF_S


def test_nothing_is_sent_during_a_backoff() -> None:
    backoffs = Backoffs()
    assert backoffs.may_send_to_incarnation(ONE, NOW)
    assert backoffs.record(ONE, 3.0, NOW)
    assert not backoffs.may_send_to_incarnation(ONE, NOW + 3.0)
    assert backoffs.is_active(ONE, NOW + 2.99)
    assert backoffs.may_send_to_incarnation(ONE, NOW + MAX_BACKOFF_S)


def test_a_backoff_can_be_extended_and_not_shortened() -> None:
    backoffs = Backoffs()
    backoffs.record(ONE, 3.0, NOW)
    assert not backoffs.record(ONE, 0.5, NOW + 1.0)
    assert not backoffs.may_send_to_incarnation(ONE, NOW + 2.99)
    assert not backoffs.record(ONE, 9.0, NOW + 2.0)
    assert not backoffs.may_send_to_incarnation(ONE, NOW + 10.9)


def test_a_backoff_does_not_apply_to_other_incarnations() -> None:
    backoffs = Backoffs()
    backoffs.record(ONE, 3.0, NOW)
    assert backoffs.may_send_to_incarnation(Incarnation(ONE.id, 2), NOW)
    assert not backoffs.may_send_to_incarnation(ONE, NOW)


def test_each_answered_probe_allows_two_more() -> None:
    backoffs, now = make_ended_backoff()
    allowed = []
    for _ in range(4):
        probes = []
        while backoffs.may_send_to_incarnation(ONE, now):
            probe = backoffs.begin_request(ONE, now)
            assert probe is not None
            probes.append(probe)
        allowed.append(len(probes))
        now += 0.1
        for probe in probes:
            probe.end(now, answered=True)
    assert allowed == [1, 2, 4, 8]


def test_probing_ends_after_enough_answers() -> None:
    backoffs, now = make_ended_backoff()
    for _ in range(RECOVERY_RESPONSES):
        probe = backoffs.begin_request(ONE, now)
        assert probe is not None
        probe.end(now, answered=True)
    assert backoffs.begin_request(ONE, now) is None


def test_a_probe_is_counted_once_and_a_failed_one_allows_no_more() -> None:
    backoffs, now = make_ended_backoff()
    probe = backoffs.begin_request(ONE, now)
    assert probe is not None
    assert not backoffs.may_send_to_incarnation(ONE, now)
    probe.end(now, answered=False)
    probe.end(now, answered=True)
    assert backoffs.may_send_to_incarnation(ONE, now)
    backoffs.begin_request(ONE, now)
    assert not backoffs.may_send_to_incarnation(ONE, now)


def test_a_probe_without_a_result_times_out() -> None:
    backoffs, now = make_ended_backoff()
    backoffs.begin_request(ONE, now)
    assert not backoffs.may_send_to_incarnation(ONE, now + PROBE_TIMEOUT_S - 0.01)
    assert backoffs.may_send_to_incarnation(ONE, now + PROBE_TIMEOUT_S)


def test_a_probe_may_start_another_backoff() -> None:
    backoffs, now = make_ended_backoff()
    probe = backoffs.begin_request(ONE, now)
    assert probe is not None
    assert backoffs.record(ONE, 3.0, now)
    probe.end(now, answered=False)
    assert not backoffs.may_send_to_incarnation(ONE, now + 2.9)


def test_unlisted_upstreams_are_dropped() -> None:
    backoffs = Backoffs()
    backoffs.record(ONE, 3.0, NOW)
    backoffs.keep_only({ONE.id})
    assert backoffs.count_active(NOW) == 1
    backoffs.keep_only(set())
    assert backoffs.count_active(NOW) == 0


@pytest.mark.parametrize("vms", [8, 74, 195, 300])
def test_vms_that_were_rejected_together_resume_at_different_times(vms: int) -> None:
    random.seed(vms)  # other seeds may exceed the bound by chance
    busiest = []
    for _ in range(100):
        ends = Counter[int]()
        for _ in range(vms):
            backoffs = Backoffs()
            backoffs.record(ONE, 3.0, NOW)
            end = backoffs.get_end(ONE, NOW)
            assert end is not None
            ends[int(100 * (end - NOW))] += 1
        busiest.append(max(ends.values()))
    assert max(busiest) <= max(4, vms / 10)


@given(st.lists(st.tuples(st.floats(0, 2), st.none() | st.floats(0.01, 5)), max_size=40), st.integers())
def test_no_rest_is_broken_whatever_is_asked_when(steps: list[tuple[float, float | None]], seed: int) -> None:
    random.seed(seed)
    rests = Backoffs()
    now, until = NOW, 0.0
    for gap, asked in steps:
        now += gap
        if asked is not None:
            rests.record(ONE, asked, now)
            until = max(until, now + asked)
        assert not (rests.may_send_to_incarnation(ONE, now) and now < until - 1e-6)
