"""Tests of the heartbeats sent to peers in other halls and of the state built from them."""

from __future__ import annotations

import random

import msgspec
import pytest

from beamhatch.relay.engines.changing import PhaseChangeUpdate
from beamhatch.relay.fleet.evacuations import Evacuation
from beamhatch.relay.fleet.far_words import (
    EMPTY_HEARTBEAT,
    MIN_DEMAND_CHANGE,
    RESEND_INTERVAL_S,
    ReceivedState,
    SentState,
)
from beamhatch.relay.fleet.gossip_message import DemandReport, Heartbeat, decode, encode
from beamhatch.relay.model import Phase

WHOLE = Heartbeat(
    3,
    70,
    {"models": DemandReport(900, 0.2, 5000, 70, 0.8, 50_000, 0.01, 20_000)},
    reading={"engine-1": 5000},
    evacuations=[],
    adds_up=True,
)


def replace_fields(heartbeat: Heartbeat, **changes: object) -> Heartbeat:
    return msgspec.structs.replace(heartbeat, **changes)


def carry(sent: SentState, received: ReceivedState, whole: Heartbeat, now: float) -> Heartbeat:
    """Return the changes that are sent of a heartbeat, after applying them to the received state."""
    changes = decode(encode(sent.select_changes(whole, now)))
    assert isinstance(changes, Heartbeat)
    received.apply(changes)
    return changes


def test_first_heartbeat_is_complete_and_an_unchanged_one_empty() -> None:
    sent, received = SentState(), ReceivedState()
    assert carry(sent, received, WHOLE, 0.0) == WHOLE
    assert carry(sent, received, WHOLE, 0.5) == EMPTY_HEARTBEAT
    assert len(encode(EMPTY_HEARTBEAT)) < 16


@pytest.mark.parametrize("seed", range(8))
def test_received_state_matches_the_sender_after_each_heartbeat(seed: int) -> None:
    draw = random.Random(seed)
    sent, received = SentState(), ReceivedState()
    whole, now = WHOLE, 0.0
    for _ in range(300):
        now += draw.choice([0.03, 0.5])
        rate = draw.choice([0.0, 1.0, 1.1, 3.0]) * 900
        whole = replace_fields(
            whole,
            version=(whole.version or 0) + draw.choice([0, 0, 1]),
            revision=draw.choice([whole.revision, 0, 90]),
            demands={draw.choice(["models", "others"]): DemandReport(rate, draw.random(), 5000, 70, 0.8)},
            reading={f"engine-{number}": 5000 for number in range(draw.randrange(3))},
            adds_up=draw.random() < 0.5,
        )
        carry(sent, received, whole, now)
        assert (received.version, received.revision, received.is_aggregator) == (
            whole.version,
            whole.revision,
            whole.adds_up,
        )
        assert received.prefill_backlog == whole.reading
        for name, report in whole.demands.items():
            known = received.demands[name]
            assert abs(known.prompt_rate - report.prompt_rate) <= MIN_DEMAND_CHANGE * max(
                known.prompt_rate, report.prompt_rate
            )
            assert abs(known.wait_rate - report.wait_rate) <= MIN_DEMAND_CHANGE * max(
                0.2, known.wait_rate, report.wait_rate
            )


def test_demand_that_appears_or_ends_is_sent_at_once() -> None:
    sent, received = SentState(), ReceivedState()
    carry(sent, received, WHOLE, 0.0)
    for report in (DemandReport(prompt_rate=2000), DemandReport(), DemandReport(wait_rate=0.5)):
        assert carry(sent, received, replace_fields(WHOLE, demands={"models": report}), 0.1).demands == {
            "models": report
        }


def test_faults_are_sent_when_they_rise_and_again_while_they_last() -> None:
    sent, received = SentState(), ReceivedState()
    carry(sent, received, WHOLE, 0.0)
    assert carry(sent, received, replace_fields(WHOLE, faulty={"e": 0.3}), 0.1).faulty == {"e": 0.3}
    assert carry(sent, received, replace_fields(WHOLE, faulty={"e": 0.28}), 0.6).faulty == {}
    assert carry(sent, received, replace_fields(WHOLE, faulty={"e": 0.7}), 0.7).faulty == {"e": 0.7}
    assert carry(sent, received, replace_fields(WHOLE, faulty={"e": 0.6}), 0.7 + RESEND_INTERVAL_S).faulty == {"e": 0.6}


def test_an_engine_change_is_sent_again_once_certain_or_after_the_resend_interval() -> None:
    sent, received = SentState(), ReceivedState()
    first = {"e": PhaseChangeUpdate(Phase.DECODE, 9.0, False)}
    certain = {"e": PhaseChangeUpdate(Phase.DECODE, 8.0, True)}
    assert carry(sent, received, replace_fields(WHOLE, changing=first), 0.0).changing == first
    assert (
        carry(
            sent, received, replace_fields(WHOLE, changing={"e": PhaseChangeUpdate(Phase.DECODE, 8.5, False)}), 0.5
        ).changing
        == {}
    )
    assert carry(sent, received, replace_fields(WHOLE, changing=certain), 1.0).changing == certain
    assert carry(sent, received, replace_fields(WHOLE, changing=certain), 1.0 + RESEND_INTERVAL_S).changing == certain


def test_a_repeated_engine_change_is_sent_again() -> None:
    sent, received = SentState(), ReceivedState()
    news = {"e": PhaseChangeUpdate(Phase.DECODE, 9.0, True)}
    carry(sent, received, replace_fields(WHOLE, changing=news), 0.0)
    carry(sent, received, WHOLE, 0.5)
    assert carry(sent, received, replace_fields(WHOLE, changing=news), 1.0).changing == news


def test_evacuations_are_sent_when_they_begin_or_end_and_once_known() -> None:
    sent, received = SentState(), ReceivedState()
    begun, ended = Evacuation("a", 5, True), Evacuation("a", 9, False)
    assert carry(sent, received, replace_fields(WHOLE, evacuations=None), 0.0).evacuations is None
    assert carry(sent, received, WHOLE, 0.1).evacuations == []
    assert carry(sent, received, WHOLE, 0.2).evacuations is None
    assert carry(sent, received, replace_fields(WHOLE, evacuations=[begun]), 0.3).evacuations == [begun]
    assert carry(sent, received, replace_fields(WHOLE, evacuations=[begun]), 0.4).evacuations is None
    assert carry(sent, received, replace_fields(WHOLE, evacuations=[ended]), 0.5).evacuations == [ended]


def test_reset_sends_all_evacuations_again() -> None:
    sent, received = SentState(), ReceivedState()
    carry(sent, received, WHOLE, 0.1)
    sent.reset_evacuations()
    assert carry(sent, received, WHOLE, 0.2).evacuations == []


def test_prefill_backlog_is_sent_only_when_changed() -> None:
    sent = SentState()
    assert sent.select_backlog({}) is None
    assert sent.select_backlog({"e": 5}) == {"e": 5}
    assert sent.select_backlog({"e": 5}) is None
    assert sent.select_backlog({}) == {}
