"""What refused callers are told."""

from __future__ import annotations

import pytest

from beamhatch.relay.requests.ending import CallerError, RefusalTerms, make_refusal
from beamhatch.relay.requests.request import Refuse
from beamhatch.relay.retries.retry_times import compute_memory_delay, compute_usual_delay, limit_delay, round_delay

RESIDENCE_S = 2.0


def make_terms(time_left_s: float = 10.0) -> RefusalTerms:
    return RefusalTerms(0.9, time_left_s, lambda: RESIDENCE_S, lambda: 0.5)


def test_a_final_refusal_names_no_time() -> None:
    assert make_refusal(Refuse("x", retry_after_s=3.0, is_final=True), make_terms()) == CallerError(503, "x", None)


def test_a_minimum_is_not_limited_by_the_deadline() -> None:
    step = Refuse("x", retry_after_s=60.0, retry_after_is_minimum=True)
    assert make_refusal(step, make_terms()) == CallerError(503, "x", 60.0)


@pytest.mark.parametrize("time_left_s", [0.5, 10.0])
def test_a_known_time_is_limited_by_the_deadline(time_left_s: float) -> None:
    told = make_refusal(Refuse("x", retry_after_s=4.0), make_terms(time_left_s)).retry_after_s
    assert told == round_delay(limit_delay(4.0, time_left_s))


def test_full_memory_is_told_by_how_long_requests_stay_there() -> None:
    told = make_refusal(Refuse("x", memory_full=True), make_terms()).retry_after_s
    assert told == round_delay(limit_delay(compute_memory_delay(RESIDENCE_S, 0.5), 10.0))


def test_other_refusals_are_told_by_the_target_latency() -> None:
    assert make_refusal(Refuse("x"), make_terms()).retry_after_s == round_delay(compute_usual_delay(0.9))
