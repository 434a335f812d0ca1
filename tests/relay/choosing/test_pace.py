"""How fast engines read, learned from readings."""

from __future__ import annotations

import random

import pytest

from beamhatch.relay.choosing.pace import FEWEST_SAMPLES, PRIOR_RATE, WHOLE_SHARE, EnginePaces, Pace, ReadingPace
from beamhatch.relay.model import ServiceName


def read(reading: ReadingPace, pace: Pace, count: int, seed: int) -> None:
    """Have an engine of a pace read prompts; a third of them wait behind others that nobody told of."""
    draw = random.Random(seed)
    for _ in range(count):
        tokens = int(min(20_000, max(300, draw.lognormvariate(8, 0.5))))
        waited = draw.expovariate(10.0) if draw.random() < 0.33 else 0.0
        reading.note(tokens, pace.predict(tokens) + waited + draw.uniform(0, 0.006))


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("pace", [Pace(0.05, 33_000), Pace(0.03, 56_000), Pace(0.2, 20_000), Pace(0.01, 6_000)])
def test_finds_the_pace_of_engines_of_any_speed(pace: Pace, seed: int) -> None:
    reading = ReadingPace()
    read(reading, pace, 40, seed)
    for tokens in (1_000, 3_000, 6_000):
        assert reading.pace.predict(tokens) == pytest.approx(pace.predict(tokens), rel=0.15)
    assert reading.pace.rate == pytest.approx(pace.rate, rel=0.3)


def test_goes_by_the_prior_until_enough_was_seen() -> None:
    reading = ReadingPace()
    read(reading, Pace(0.05, 8_000), FEWEST_SAMPLES - 1, 1)
    assert not reading.learned
    assert reading.pace.rate == PRIOR_RATE
    read(reading, Pace(0.05, 8_000), 1, 2)
    assert reading.learned
    assert reading.pace.rate < PRIOR_RATE / 2


def test_follows_engines_that_turn_slow() -> None:
    reading = ReadingPace()
    read(reading, Pace(0.05, 40_000), 40, 1)
    read(reading, Pace(0.05, 10_000), 40, 2)
    assert reading.pace.rate == pytest.approx(10_000, rel=0.3)


def test_readings_that_are_all_alike_give_a_pace_nevertheless() -> None:
    reading = ReadingPace()
    for _ in range(30):
        reading.note(3_000, 0.15)
    assert reading.pace.predict(3_000) == pytest.approx(0.15, rel=0.01)


def test_believes_another_vm_only_as_long_as_it_knows_nothing_itself() -> None:
    reading = ReadingPace()
    reading.take(Pace(0.1, 5_000))
    assert reading.pace == Pace(0.1, 5_000)
    read(reading, Pace(0.05, 33_000), 40, 1)
    found = reading.pace
    reading.take(Pace(0.1, 5_000))
    assert reading.pace == found


def test_decode_engines_are_taken_to_read_more_slowly_until_they_were_seen_to() -> None:
    paces = EnginePaces()
    service = ServiceName("s")
    read(paces.get_reading(service), Pace(0.05, 33_000), 40, 1)
    rate = paces.get_reading(service).pace.rate
    assert paces.get_whole(service).pace.rate == pytest.approx(WHOLE_SHARE * rate)
    read(paces.get_whole(service), Pace(0.05, 20_000), 40, 1)
    assert paces.get_whole(service).pace.rate == pytest.approx(20_000, rel=0.2)


def test_readings_of_peers_are_learned_from_and_not_told_on() -> None:
    service = ServiceName("s")
    peers = [EnginePaces() for _ in range(8)]
    own = EnginePaces()
    for number, peer in enumerate(peers):
        peer.get_reading(service).note(2000 + 700 * number, 0.03 + (2000 + 700 * number) / 55_000)
        peer.get_whole(service).note(2000 + 700 * number, 0.03 + (2000 + 700 * number) / 22_000)
        for reading in peer.take_untold():
            own.note_told(reading)
        assert not peer.take_untold()
    assert own.get_reading(service).pace.rate == pytest.approx(55_000, rel=0.1)
    assert own.get_whole(service).pace.rate == pytest.approx(22_000, rel=0.1)
    assert not own.take_untold()
