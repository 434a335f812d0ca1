"""Capacity of prefill and decode engines."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beamhatch.relay.engines.throughput import (
    MAX_PREFILL_UTILIZATION,
    CapacityParameters,
    compute_capacity,
    find_best_split,
)

PARAMETERS = CapacityParameters(
    kv_tokens=41_000,
    prompt_tokens=3200.0,
    answer_tokens=640.0,
    residence_s=3.5,
    prefill_rate=33_000.0,
    local_prefill_rate=12_000.0,
)

capacity_parameters = st.builds(
    CapacityParameters,
    kv_tokens=st.integers(5_000, 500_000),
    prompt_tokens=st.floats(100, 20_000),
    answer_tokens=st.floats(10, 5_000),
    residence_s=st.floats(0.1, 30),
    prefill_rate=st.floats(3_000, 300_000),
    local_prefill_rate=st.floats(1_000, 150_000),
)


def test_capacity_is_bounded_by_decode_memory() -> None:
    assert compute_capacity(9, 3, PARAMETERS) == pytest.approx(
        3 * 41_000 / PARAMETERS.kv_seconds_per_prompt_token, rel=1e-4
    )


def test_decode_engines_process_excess_prompts_at_lower_capacity() -> None:
    prefill_capacity = PARAMETERS.prefill_rate * MAX_PREFILL_UTILIZATION
    slow_prefill = replace(PARAMETERS, prefill_rate=10_000.0)
    assert prefill_capacity < compute_capacity(1, 6, PARAMETERS) < 6 * 41_000 / PARAMETERS.kv_seconds_per_prompt_token
    assert 9_000 < compute_capacity(1, 6, slow_prefill) < compute_capacity(1, 6, PARAMETERS)


def test_capacity_is_zero_without_decode_engine() -> None:
    assert compute_capacity(5, 0, PARAMETERS) == 0.0


@given(capacity_parameters, st.integers(0, 20), st.integers(0, 20))
def test_additional_engine_never_reduces_capacity(parameters: CapacityParameters, prefills: int, decodes: int) -> None:
    capacity = compute_capacity(prefills, decodes, parameters)
    assert compute_capacity(prefills + 1, decodes, parameters) >= capacity * 0.9999
    assert compute_capacity(prefills, decodes + 1, parameters) >= capacity * 0.9999


@given(capacity_parameters, st.integers(2, 40))
def test_no_split_has_clearly_higher_capacity_than_best(parameters: CapacityParameters, engines: int) -> None:
    best = find_best_split(engines, parameters)
    assert 1 <= best <= engines - 1
    capacity = compute_capacity(best, engines - best, parameters)
    assert all(compute_capacity(count, engines - count, parameters) <= capacity * 1.001 for count in range(1, engines))
