"""How fast engines read, learned from readings."""

from __future__ import annotations

import random

import pytest

from beamhatch.relay.choosing.prefill_model import (
    DECODE_RATE_FACTOR,
    DEFAULT_TOKENS_PER_S,
    MIN_SAMPLES,
    PrefillEstimator,
    PrefillEstimators,
    PrefillModel,
)
from beamhatch.relay.model import ServiceName


def read(reading: PrefillEstimator, pace: PrefillModel, count: int, seed: int) -> None:
    """Have an engine of a pace read prompts; a third of them wait behind others that nobody told of."""
    draw = random.Random(seed)
    for _ in range(count):
        tokens = int(min(20_000, max(300, draw.lognormvariate(8, 0.5))))
        waited = draw.expovariate(10.0) if draw.random() < 0.33 else 0.0
        reading.record_own(tokens, pace.predict(tokens) + waited + draw.uniform(0, 0.006))


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(
    "pace",
    [PrefillModel(0.05, 33_000), PrefillModel(0.03, 56_000), PrefillModel(0.2, 20_000), PrefillModel(0.01, 6_000)],
)
def test_finds_the_pace_of_engines_of_any_speed(pace: PrefillModel, seed: int) -> None:
    reading = PrefillEstimator()
    read(reading, pace, 40, seed)
    for tokens in (1_000, 3_000, 6_000):
        assert reading.model.predict(tokens) == pytest.approx(pace.predict(tokens), rel=0.15)
    assert reading.model.rate == pytest.approx(pace.rate, rel=0.3)


def test_goes_by_the_prior_until_enough_was_seen() -> None:
    reading = PrefillEstimator()
    read(reading, PrefillModel(0.05, 8_000), MIN_SAMPLES - 1, 1)
    assert not reading.fitted
    assert reading.model.rate == DEFAULT_TOKENS_PER_S
    read(reading, PrefillModel(0.05, 8_000), 1, 2)
    assert reading.fitted
    assert reading.model.rate < DEFAULT_TOKENS_PER_S / 2


def test_follows_engines_that_turn_slow() -> None:
    reading = PrefillEstimator()
    read(reading, PrefillModel(0.05, 40_000), 40, 1)
    read(reading, PrefillModel(0.05, 10_000), 40, 2)
    assert reading.model.rate == pytest.approx(10_000, rel=0.3)


def test_readings_that_are_all_alike_give_a_pace_nevertheless() -> None:
    reading = PrefillEstimator()
    for _ in range(30):
        reading.record_own(3_000, 0.15)
    assert reading.model.predict(3_000) == pytest.approx(0.15, rel=0.01)


def test_believes_another_vm_only_as_long_as_it_knows_nothing_itself() -> None:
    reading = PrefillEstimator()
    reading.adopt(PrefillModel(0.1, 5_000))
    assert reading.model == PrefillModel(0.1, 5_000)
    read(reading, PrefillModel(0.05, 33_000), 40, 1)
    found = reading.model
    reading.adopt(PrefillModel(0.1, 5_000))
    assert reading.model == found


def test_decode_engines_are_taken_to_read_more_slowly_until_they_were_seen_to() -> None:
    paces = PrefillEstimators()
    service = ServiceName("s")
    read(paces.get_prefill(service), PrefillModel(0.05, 33_000), 40, 1)
    rate = paces.get_prefill(service).model.rate
    assert paces.get_decode(service).model.rate == pytest.approx(DECODE_RATE_FACTOR * rate)
    read(paces.get_decode(service), PrefillModel(0.05, 20_000), 40, 1)
    assert paces.get_decode(service).model.rate == pytest.approx(20_000, rel=0.2)


def test_readings_of_peers_are_learned_from_and_not_told_on() -> None:
    service = ServiceName("s")
    peers = [PrefillEstimators() for _ in range(8)]
    own = PrefillEstimators()
    for number, peer in enumerate(peers):
        peer.get_prefill(service).record_own(2000 + 700 * number, 0.03 + (2000 + 700 * number) / 55_000)
        peer.get_decode(service).record_own(2000 + 700 * number, 0.03 + (2000 + 700 * number) / 22_000)
        for reading in peer.pop_unsent():
            own.record(reading)
        assert not peer.pop_unsent()
    assert own.get_prefill(service).model.rate == pytest.approx(55_000, rel=0.1)
    assert own.get_decode(service).model.rate == pytest.approx(22_000, rel=0.1)
    assert not own.pop_unsent()
