"""The number of tokens reserved for an output."""

from __future__ import annotations

import math
import random

import pytest

from beamhatch.relay.engines.lengths import COVERED_SHARE, MIN_SAMPLES, OutputLengths
from beamhatch.relay.model import RequestFacts


def make_facts(*, estimate: int = 0, max_tokens: int = 1500) -> RequestFacts:
    return RequestFacts("q", None, None, 3000, max_tokens, (), estimate)


def draw_outputs(count: int, seed: int, *, error_stdev: float) -> list[tuple[RequestFacts, int]]:
    """Return requests and their output tokens; the estimates have a log-normal error."""
    draw = random.Random(seed)
    outputs = []
    for _ in range(count):
        tokens = int(min(1500, max(20, draw.lognormvariate(6.2, 0.7))))
        estimate = max(1, int(tokens * math.exp(draw.gauss(0, error_stdev))))
        outputs.append((make_facts(estimate=estimate), tokens))
    return outputs


def record_all(outputs: list[tuple[RequestFacts, int]]) -> OutputLengths:
    lengths = OutputLengths()
    for facts, tokens in outputs:
        lengths.record(facts, tokens)
    return lengths


@pytest.mark.parametrize("error_stdev", [0.1, 0.5, 1.5])
@pytest.mark.parametrize("seed", range(4))
def test_reserve_covers_the_configured_share_of_outputs_whatever_the_estimate_error(
    error_stdev: float, seed: int
) -> None:
    lengths = record_all(draw_outputs(100, seed, error_stdev=error_stdev))
    later = draw_outputs(300, seed + 100, error_stdev=error_stdev)
    covered = sum(tokens <= lengths.compute_reserve_tokens(facts) for facts, tokens in later) / len(later)
    assert COVERED_SHARE - 0.17 < covered < COVERED_SHARE + 0.17


def test_good_estimates_need_a_smaller_reserve() -> None:
    reserves = []
    for error_stdev in (0.1, 1.5):
        lengths = record_all(draw_outputs(100, 1, error_stdev=error_stdev))
        reserves.append(
            sum(lengths.compute_reserve_tokens(facts) for facts, _ in draw_outputs(300, 2, error_stdev=error_stdev))
        )
    assert reserves[0] < reserves[1]


def test_the_reserve_is_not_larger_than_the_output_limit() -> None:
    lengths = record_all(draw_outputs(100, 1, error_stdev=0.5))
    assert lengths.compute_reserve_tokens(make_facts(estimate=90_000, max_tokens=1500)) == 1500
    assert lengths.compute_reserve_tokens(make_facts(estimate=0, max_tokens=40)) == 40


def test_the_reserve_follows_the_output_limit_until_outputs_have_completed() -> None:
    lengths = OutputLengths()
    assert lengths.compute_reserve_tokens(make_facts(max_tokens=1500)) == math.ceil(1.3 * 0.4 * 1500)
    assert lengths.compute_reserve_tokens(make_facts(max_tokens=0)) > 0
    for _ in range(MIN_SAMPLES):
        lengths.record(make_facts(), 100)
    assert lengths.compute_reserve_tokens(make_facts()) == pytest.approx(100, abs=2)


def test_empty_outputs_are_accepted() -> None:
    lengths = OutputLengths()
    for _ in range(20):
        lengths.record(make_facts(estimate=1), 0)
    assert lengths.compute_reserve_tokens(make_facts(estimate=500)) >= 0
