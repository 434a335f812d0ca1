"""What a number of engines can take in."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beamhatch.relay.engines.throughput import PREFILL_SHARE, EngineFigures, find_best_split, find_capacity

FIGURES = EngineFigures(
    kv_tokens=41_000, prompt=3200.0, answer=640.0, residence=3.5, read_rate=33_000.0, whole_rate=12_000.0
)

figures = st.builds(
    EngineFigures,
    kv_tokens=st.integers(5_000, 500_000),
    prompt=st.floats(100, 20_000),
    answer=st.floats(10, 5_000),
    residence=st.floats(0.1, 30),
    read_rate=st.floats(3_000, 300_000),
    whole_rate=st.floats(1_000, 150_000),
)


def test_decode_memory_bounds_where_prefill_engines_are_many() -> None:
    assert find_capacity(9, 3, FIGURES) == pytest.approx(3 * 41_000 / FIGURES.memory_seconds, rel=1e-4)


def test_what_prefill_engines_can_not_read_decode_engines_do_for_less() -> None:
    by_prefills = FIGURES.read_rate * PREFILL_SHARE
    few_readers = replace(FIGURES, read_rate=10_000.0)
    assert by_prefills < find_capacity(1, 6, FIGURES) < 6 * 41_000 / FIGURES.memory_seconds
    assert 9_000 < find_capacity(1, 6, few_readers) < find_capacity(1, 6, FIGURES)


def test_without_a_decode_engine_nothing_is_taken_in() -> None:
    assert find_capacity(5, 0, FIGURES) == 0.0


@given(figures, st.integers(0, 20), st.integers(0, 20))
def test_one_more_engine_never_takes_in_less(found: EngineFigures, prefills: int, decodes: int) -> None:
    here = find_capacity(prefills, decodes, found)
    assert find_capacity(prefills + 1, decodes, found) >= here * 0.9999
    assert find_capacity(prefills, decodes + 1, found) >= here * 0.9999


@given(figures, st.integers(2, 40))
def test_no_split_takes_in_clearly_more_than_the_best(found: EngineFigures, engines: int) -> None:
    best = find_best_split(engines, found)
    assert 1 <= best <= engines - 1
    capacity = find_capacity(best, engines - best, found)
    assert all(find_capacity(count, engines - count, found) <= capacity * 1.001 for count in range(1, engines))
