"""Tests of the estimation of prefill models from samples."""

from __future__ import annotations

import random

import pytest

from beamhatch.relay.choosing.pace import (
    DECODE_RATE_FACTOR,
    DEFAULT_TOKENS_PER_S,
    MIN_SAMPLES,
    PrefillEstimator,
    PrefillEstimators,
    PrefillModel,
)
from beamhatch.relay.model import ServiceName


def record_prefills(estimator: PrefillEstimator, model: PrefillModel, count: int, seed: int) -> None:
    """Record prefills that follow a model; a third of them also wait for unreported work."""
    rng = random.Random(seed)
    for _ in range(count):
        tokens = int(min(20_000, max(300, rng.lognormvariate(8, 0.5))))
        waited = rng.expovariate(10.0) if rng.random() < 0.33 else 0.0
        estimator.record_own(tokens, model.predict(tokens) + waited + rng.uniform(0, 0.006))


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(
    "pace",
    [PrefillModel(0.05, 33_000), PrefillModel(0.03, 56_000), PrefillModel(0.2, 20_000), PrefillModel(0.01, 6_000)],
)
def test_fits_engines_of_any_speed(pace: PrefillModel, seed: int) -> None:
    estimator = PrefillEstimator()
    record_prefills(estimator, pace, 40, seed)
    for tokens in (1_000, 3_000, 6_000):
        assert estimator.model.predict(tokens) == pytest.approx(pace.predict(tokens), rel=0.15)
    assert estimator.model.rate == pytest.approx(pace.rate, rel=0.3)


def test_uses_the_defaults_until_there_are_enough_samples() -> None:
    estimator = PrefillEstimator()
    record_prefills(estimator, PrefillModel(0.05, 8_000), MIN_SAMPLES - 1, 1)
    assert not estimator.fitted
    assert estimator.model.rate == DEFAULT_TOKENS_PER_S
    record_prefills(estimator, PrefillModel(0.05, 8_000), 1, 2)
    assert estimator.fitted
    assert estimator.model.rate < DEFAULT_TOKENS_PER_S / 2


def test_follows_engines_that_slow_down() -> None:
    estimator = PrefillEstimator()
    record_prefills(estimator, PrefillModel(0.05, 40_000), 40, 1)
    record_prefills(estimator, PrefillModel(0.05, 10_000), 40, 2)
    assert estimator.model.rate == pytest.approx(10_000, rel=0.3)


def test_fits_samples_of_a_single_prompt_length() -> None:
    estimator = PrefillEstimator()
    for _ in range(30):
        estimator.record_own(3_000, 0.15)
    assert estimator.model.predict(3_000) == pytest.approx(0.15, rel=0.01)


def test_adopts_a_model_only_until_its_own_fit() -> None:
    estimator = PrefillEstimator()
    estimator.adopt(PrefillModel(0.1, 5_000))
    assert estimator.model == PrefillModel(0.1, 5_000)
    record_prefills(estimator, PrefillModel(0.05, 33_000), 40, 1)
    fitted = estimator.model
    estimator.adopt(PrefillModel(0.1, 5_000))
    assert estimator.model == fitted


def test_decode_engines_default_to_a_share_of_the_prefill_rate() -> None:
    estimators = PrefillEstimators()
    service = ServiceName("s")
    record_prefills(estimators.get_prefill(service), PrefillModel(0.05, 33_000), 40, 1)
    rate = estimators.get_prefill(service).model.rate
    assert estimators.get_decode(service).model.rate == pytest.approx(DECODE_RATE_FACTOR * rate)
    record_prefills(estimators.get_decode(service), PrefillModel(0.05, 20_000), 40, 1)
    assert estimators.get_decode(service).model.rate == pytest.approx(20_000, rel=0.2)


def test_samples_of_peers_are_used_and_not_forwarded() -> None:
    service = ServiceName("s")
    peers = [PrefillEstimators() for _ in range(8)]
    own = PrefillEstimators()
    for number, peer in enumerate(peers):
        peer.get_prefill(service).record_own(2000 + 700 * number, 0.03 + (2000 + 700 * number) / 55_000)
        peer.get_decode(service).record_own(2000 + 700 * number, 0.03 + (2000 + 700 * number) / 22_000)
        for sample in peer.pop_unsent():
            own.record(sample)
        assert not peer.pop_unsent()
    assert own.get_prefill(service).model.rate == pytest.approx(55_000, rel=0.1)
    assert own.get_decode(service).model.rate == pytest.approx(22_000, rel=0.1)
    assert not own.pop_unsent()
