"""What a peer in another hall is told, and what it makes of it."""

from __future__ import annotations

import random

import msgspec
import pytest

from beamhatch.relay.engines.phase_changes import PhaseChangeUpdate
from beamhatch.relay.fleet.evacuations import Evacuation
from beamhatch.relay.fleet.far_words import DEMAND_CHANGE, REPEAT_TIME, SIGN_OF_LIFE, HeardWords, ToldWords
from beamhatch.relay.fleet.gossip_message import Beat, DemandReport, decode, encode
from beamhatch.relay.model import Phase

WHOLE = Beat(
    3,
    70,
    {"models": DemandReport(900, 0.2, 5000, 70, 0.8, 50_000, 0.01, 20_000)},
    reading={"engine-1": 5000},
    evacuations=[],
    adds_up=True,
)


def change(beat: Beat, **changes: object) -> Beat:
    return msgspec.structs.replace(beat, **changes)


def carry(told: ToldWords, heard: HeardWords, whole: Beat, now: float) -> Beat:
    """Return what the peer gets of a beat, having taken it in."""
    news = decode(encode(told.pick_news(whole, now)))
    assert isinstance(news, Beat)
    heard.take(news)
    return news


def test_a_first_beat_has_everything_and_the_next_one_nothing() -> None:
    told, heard = ToldWords(), HeardWords()
    assert carry(told, heard, WHOLE, 0.0) == WHOLE
    assert carry(told, heard, WHOLE, 0.5) == SIGN_OF_LIFE
    assert len(encode(SIGN_OF_LIFE)) < 16


@pytest.mark.parametrize("seed", range(8))
def test_the_receiver_knows_what_the_sender_has_after_each_beat(seed: int) -> None:
    draw = random.Random(seed)
    told, heard = ToldWords(), HeardWords()
    whole, now = WHOLE, 0.0
    for _ in range(300):
        now += draw.choice([0.03, 0.5])
        rate = draw.choice([0.0, 1.0, 1.1, 3.0]) * 900
        whole = change(
            whole,
            version=(whole.version or 0) + draw.choice([0, 0, 1]),
            revision=draw.choice([whole.revision, 0, 90]),
            demands={draw.choice(["models", "others"]): DemandReport(rate, draw.random(), 5000, 70, 0.8)},
            reading={f"engine-{number}": 5000 for number in range(draw.randrange(3))},
            adds_up=draw.random() < 0.5,
        )
        carry(told, heard, whole, now)
        assert (heard.version, heard.revision, heard.adds_up) == (whole.version, whole.revision, whole.adds_up)
        assert heard.reading == whole.reading
        for name, report in whole.demands.items():
            known = heard.demands[name]
            assert abs(known.prompt_rate - report.prompt_rate) <= DEMAND_CHANGE * max(
                known.prompt_rate, report.prompt_rate
            )
            assert abs(known.wait_rate - report.wait_rate) <= DEMAND_CHANGE * max(
                0.2, known.wait_rate, report.wait_rate
            )


def test_demand_that_comes_or_goes_is_told_at_once() -> None:
    told, heard = ToldWords(), HeardWords()
    carry(told, heard, WHOLE, 0.0)
    for report in (DemandReport(prompt_rate=2000), DemandReport(), DemandReport(wait_rate=0.5)):
        assert carry(told, heard, change(WHOLE, demands={"models": report}), 0.1).demands == {"models": report}


def test_faults_are_told_as_they_rise_and_again_while_they_last() -> None:
    told, heard = ToldWords(), HeardWords()
    carry(told, heard, WHOLE, 0.0)
    assert carry(told, heard, change(WHOLE, faulty={"e": 0.3}), 0.1).faulty == {"e": 0.3}
    assert carry(told, heard, change(WHOLE, faulty={"e": 0.28}), 0.6).faulty == {}
    assert carry(told, heard, change(WHOLE, faulty={"e": 0.7}), 0.7).faulty == {"e": 0.7}
    assert carry(told, heard, change(WHOLE, faulty={"e": 0.6}), 0.7 + REPEAT_TIME).faulty == {"e": 0.6}


def test_a_change_of_an_engine_is_told_once_and_again_once_it_is_certain_or_lasts() -> None:
    told, heard = ToldWords(), HeardWords()
    first = {"e": PhaseChangeUpdate(Phase.DECODE, 9.0, False)}
    certain = {"e": PhaseChangeUpdate(Phase.DECODE, 8.0, True)}
    assert carry(told, heard, change(WHOLE, changing=first), 0.0).changing == first
    assert (
        carry(told, heard, change(WHOLE, changing={"e": PhaseChangeUpdate(Phase.DECODE, 8.5, False)}), 0.5).changing
        == {}
    )
    assert carry(told, heard, change(WHOLE, changing=certain), 1.0).changing == certain
    assert carry(told, heard, change(WHOLE, changing=certain), 1.0 + REPEAT_TIME).changing == certain


def test_an_engine_that_changes_anew_is_told_of_anew() -> None:
    told, heard = ToldWords(), HeardWords()
    news = {"e": PhaseChangeUpdate(Phase.DECODE, 9.0, True)}
    carry(told, heard, change(WHOLE, changing=news), 0.0)
    carry(told, heard, WHOLE, 0.5)
    assert carry(told, heard, change(WHOLE, changing=news), 1.0).changing == news


def test_evacuations_are_told_as_they_begin_and_end_and_not_before_they_are_known() -> None:
    told, heard = ToldWords(), HeardWords()
    begun, ended = Evacuation("a", 5, True), Evacuation("a", 9, False)
    assert carry(told, heard, change(WHOLE, evacuations=None), 0.0).evacuations is None
    assert carry(told, heard, WHOLE, 0.1).evacuations == []
    assert carry(told, heard, WHOLE, 0.2).evacuations is None
    assert carry(told, heard, change(WHOLE, evacuations=[begun]), 0.3).evacuations == [begun]
    assert carry(told, heard, change(WHOLE, evacuations=[begun]), 0.4).evacuations is None
    assert carry(told, heard, change(WHOLE, evacuations=[ended]), 0.5).evacuations == [ended]


def test_a_peer_that_is_behind_is_told_all_evacuations_again() -> None:
    told, heard = ToldWords(), HeardWords()
    carry(told, heard, WHOLE, 0.1)
    told.forget_evacuations()
    assert carry(told, heard, WHOLE, 0.2).evacuations == []


def test_readings_of_engines_are_told_as_they_come_and_only_where_they_changed() -> None:
    told = ToldWords()
    assert told.pick_reading({}) is None
    assert told.pick_reading({"e": 5}) == {"e": 5}
    assert told.pick_reading({"e": 5}) is None
    assert told.pick_reading({}) == {}
