"""Tests of the reduced heartbeats to peers in other halls, and of the state that the receivers build from them."""

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

FULL_HEARTBEAT = Heartbeat(
    3,
    70,
    {"models": DemandReport(900, 0.2, 5000, 70, 0.8, 50_000, 0.01, 20_000)},
    reading={"engine-1": 5000},
    evacuations=[],
    adds_up=True,
)


def replace_fields(heartbeat: Heartbeat, **changes: object) -> Heartbeat:
    return msgspec.structs.replace(heartbeat, **changes)


def send_and_apply(sent: SentState, received: ReceivedState, heartbeat: Heartbeat, now: float) -> Heartbeat:
    """Select the changes of a heartbeat, apply them to the received state, and return them."""
    changes = decode(encode(sent.select_changes(heartbeat, now)))
    assert isinstance(changes, Heartbeat)
    received.apply(changes)
    return changes


def test_first_heartbeat_is_complete_and_an_unchanged_one_empty() -> None:
    sent, received = SentState(), ReceivedState()
    assert send_and_apply(sent, received, FULL_HEARTBEAT, 0.0) == FULL_HEARTBEAT
    assert send_and_apply(sent, received, FULL_HEARTBEAT, 0.5) == EMPTY_HEARTBEAT
    assert len(encode(EMPTY_HEARTBEAT)) < 16


@pytest.mark.parametrize("seed", range(8))
def test_received_state_matches_the_sender_after_each_heartbeat(seed: int) -> None:
    draw = random.Random(seed)
    sent, received = SentState(), ReceivedState()
    heartbeat, now = FULL_HEARTBEAT, 0.0
    for _ in range(300):
        now += draw.choice([0.03, 0.5])
        rate = draw.choice([0.0, 1.0, 1.1, 3.0]) * 900
        heartbeat = replace_fields(
            heartbeat,
            version=(heartbeat.version or 0) + draw.choice([0, 0, 1]),
            revision=draw.choice([heartbeat.revision, 0, 90]),
            demands={draw.choice(["models", "others"]): DemandReport(rate, draw.random(), 5000, 70, 0.8)},
            reading={f"engine-{number}": 5000 for number in range(draw.randrange(3))},
            adds_up=draw.random() < 0.5,
        )
        send_and_apply(sent, received, heartbeat, now)
        assert (received.version, received.revision, received.is_aggregator) == (
            heartbeat.version,
            heartbeat.revision,
            heartbeat.adds_up,
        )
        assert received.prefill_backlog == heartbeat.reading
        for name, report in heartbeat.demands.items():
            known = received.demands[name]
            assert abs(known.prompt_rate - report.prompt_rate) <= MIN_DEMAND_CHANGE * max(
                known.prompt_rate, report.prompt_rate
            )
            assert abs(known.wait_rate - report.wait_rate) <= MIN_DEMAND_CHANGE * max(
                0.2, known.wait_rate, report.wait_rate
            )


def test_demand_that_appears_or_ends_is_sent_at_once() -> None:
    sent, received = SentState(), ReceivedState()
    send_and_apply(sent, received, FULL_HEARTBEAT, 0.0)
    for report in (DemandReport(prompt_rate=2000), DemandReport(), DemandReport(wait_rate=0.5)):
        assert send_and_apply(
            sent, received, replace_fields(FULL_HEARTBEAT, demands={"models": report}), 0.1
        ).demands == {"models": report}


def test_faults_are_sent_when_they_rise_and_again_while_they_last() -> None:
    sent, received = SentState(), ReceivedState()
    send_and_apply(sent, received, FULL_HEARTBEAT, 0.0)
    assert send_and_apply(sent, received, replace_fields(FULL_HEARTBEAT, faulty={"e": 0.3}), 0.1).faulty == {"e": 0.3}
    assert send_and_apply(sent, received, replace_fields(FULL_HEARTBEAT, faulty={"e": 0.28}), 0.6).faulty == {}
    assert send_and_apply(sent, received, replace_fields(FULL_HEARTBEAT, faulty={"e": 0.7}), 0.7).faulty == {"e": 0.7}
    assert send_and_apply(
        sent, received, replace_fields(FULL_HEARTBEAT, faulty={"e": 0.6}), 0.7 + RESEND_INTERVAL_S
    ).faulty == {"e": 0.6}


def test_an_engine_change_is_sent_again_once_confirmed_or_after_the_resend_interval() -> None:
    sent, received = SentState(), ReceivedState()
    first = {"e": PhaseChangeUpdate(Phase.DECODE, 9.0, False)}
    confirmed = {"e": PhaseChangeUpdate(Phase.DECODE, 8.0, True)}
    assert send_and_apply(sent, received, replace_fields(FULL_HEARTBEAT, changing=first), 0.0).changing == first
    assert (
        send_and_apply(
            sent,
            received,
            replace_fields(FULL_HEARTBEAT, changing={"e": PhaseChangeUpdate(Phase.DECODE, 8.5, False)}),
            0.5,
        ).changing
        == {}
    )
    assert send_and_apply(sent, received, replace_fields(FULL_HEARTBEAT, changing=confirmed), 1.0).changing == confirmed
    assert (
        send_and_apply(
            sent, received, replace_fields(FULL_HEARTBEAT, changing=confirmed), 1.0 + RESEND_INTERVAL_S
        ).changing
        == confirmed
    )


def test_a_repeated_engine_change_is_sent_again() -> None:
    sent, received = SentState(), ReceivedState()
    update = {"e": PhaseChangeUpdate(Phase.DECODE, 9.0, True)}
    send_and_apply(sent, received, replace_fields(FULL_HEARTBEAT, changing=update), 0.0)
    send_and_apply(sent, received, FULL_HEARTBEAT, 0.5)
    assert send_and_apply(sent, received, replace_fields(FULL_HEARTBEAT, changing=update), 1.0).changing == update


def test_evacuations_are_sent_once_known_and_when_one_begins_or_ends() -> None:
    sent, received = SentState(), ReceivedState()
    begun, ended = Evacuation("a", 5, True), Evacuation("a", 9, False)
    assert send_and_apply(sent, received, replace_fields(FULL_HEARTBEAT, evacuations=None), 0.0).evacuations is None
    assert send_and_apply(sent, received, FULL_HEARTBEAT, 0.1).evacuations == []
    assert send_and_apply(sent, received, FULL_HEARTBEAT, 0.2).evacuations is None
    assert send_and_apply(sent, received, replace_fields(FULL_HEARTBEAT, evacuations=[begun]), 0.3).evacuations == [
        begun
    ]
    assert send_and_apply(sent, received, replace_fields(FULL_HEARTBEAT, evacuations=[begun]), 0.4).evacuations is None
    assert send_and_apply(sent, received, replace_fields(FULL_HEARTBEAT, evacuations=[ended]), 0.5).evacuations == [
        ended
    ]


def test_reset_sends_all_evacuations_again() -> None:
    sent, received = SentState(), ReceivedState()
    send_and_apply(sent, received, FULL_HEARTBEAT, 0.1)
    sent.reset_evacuations()
    assert send_and_apply(sent, received, FULL_HEARTBEAT, 0.2).evacuations == []


def test_prefill_backlog_is_sent_only_when_changed() -> None:
    sent = SentState()
    assert sent.select_backlog({}) is None
    assert sent.select_backlog({"e": 5}) == {"e": 5}
    assert sent.select_backlog({"e": 5}) is None
    assert sent.select_backlog({}) == {}
