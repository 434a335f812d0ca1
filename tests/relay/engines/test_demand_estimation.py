"""Estimation of the demand of one VM's streams."""

from __future__ import annotations

import pytest

from beamhatch.relay.engines.demand import DemandEstimator


def test_running_streams_count_in_residence() -> None:
    demand = DemandEstimator()
    for start in range(12):
        demand.begin_stream(100.0 + start)
    for start in range(12):
        if start % 2:
            demand.end_stream(100.0 + start, 113.0)
    # Six streams ended after a mean of 7 s. Six are still running, and each counts with the mean of the durations
    # longer than its age. The mean stays above 7 s despite the prior of 3.3 s, which has the weight of three streams.
    assert 7.0 < demand.estimate_residence(113.0) < 10.0


@pytest.mark.parametrize("guess", [0.7, 1.0, 1.4])
@pytest.mark.parametrize("seconds", [1.0, 2.0, 4.0, 6.0])
def test_residence_is_predicted_before_streams_end(seconds: float, guess: float) -> None:
    demand = DemandEstimator()
    began: list[float] = []
    tokens = 600
    for step in range(120):
        now = 100.0 + 0.2 * step
        demand.record_prompt(3000, guess * tokens, now)
        demand.begin_stream(now)
        demand.record_first_event(0.3)
        began.append(now)
        while began and began[0] + seconds + 0.3 <= now:
            demand.end_stream(began.pop(0), now)
        for _ in began:
            demand.record_tokens(int(0.2 * tokens / seconds), 0.2, now)
        if step >= 7:
            assert demand.estimate_residence(now) == pytest.approx(seconds + 0.3, rel=0.5), step
    assert demand.estimate_residence(now) == pytest.approx(seconds + 0.3, rel=0.2)


def test_residence_of_steady_traffic_is_its_mean() -> None:
    demand = DemandEstimator()
    for step in range(400):
        now = 100.0 + step * 0.5
        demand.record_prompt(5000, 500, now)
        demand.begin_stream(now)
        if step >= 8:
            demand.record_tokens(500, 4.0, now)
            demand.end_stream(now - 4.0, now)
    assert demand.estimate_residence(299.5) == pytest.approx(4.0, rel=0.15)
    assert demand.mean_answer_tokens == pytest.approx(500, rel=0.05)


def test_old_streams_are_forgotten() -> None:
    demand = DemandEstimator()
    for step in range(200):
        demand.record_prompt(1000, 20, 100.0 + step)
        demand.begin_stream(100.0 + step)
        demand.record_first_event(0.01)
        demand.record_tokens(20, 0.1, 100.0 + step)
        demand.end_stream(100.0 + step, 100.0 + step + 0.1)
    assert demand.estimate_residence(300.0) < 0.5
    for step in range(60):
        demand.begin_stream(400.0 + 10 * step)
        demand.end_stream(400.0 + 10 * step, 408.0 + 10 * step)
    assert demand.estimate_residence(1000.0) > 5.0


def test_rates_cover_the_window_only() -> None:
    demand = DemandEstimator()
    for step in range(8):
        demand.record_prompt(1000, 500, 100.0 + step)
        demand.record_wait(100.0 + step)
    assert demand.compute_prompt_rate(107.0) == 1250.0
    assert demand.compute_wait_rate(107.0) == 1.25
    assert demand.compute_prompt_rate(120.0) == 0.0


def test_rate_window_of_new_vm_starts_at_first_prompt() -> None:
    demand = DemandEstimator()
    for step in range(12):
        demand.record_prompt(1000, 500, 100.0 + 0.2 * step)
    assert demand.compute_prompt_rate(102.4) == pytest.approx(5000.0)
    single_prompt = DemandEstimator()
    single_prompt.record_prompt(1000, 500, 100.0)
    assert single_prompt.compute_prompt_rate(100.1) == 500.0
