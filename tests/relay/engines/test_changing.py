"""What is believed of engines that were ordered to play another part."""

from __future__ import annotations

from beamhatch.relay.engines.phase_changes import MAX_CHANGE_S, PendingPhaseChanges, PhaseChangeUpdate
from beamhatch.relay.model import Address, Phase, ServiceName, Upstream, UpstreamId

ENGINE = UpstreamId("u1")
NOW = 100.0


def make(name: str, phase: Phase = Phase.DECODE) -> Upstream:
    return Upstream(UpstreamId(name), ServiceName("s"), Address(name, 1), "a", False, phase, 9)


def news(seconds: float = 10.0, *, certain: bool = True) -> PhaseChangeUpdate:
    return PhaseChangeUpdate(Phase.PREFILL, seconds, certain)


def test_an_engine_that_is_changing_is_passed_over_until_its_entry_shows_the_new_part() -> None:
    changes = PendingPhaseChanges()
    engines = [make("u1"), make("u2")]
    assert changes.apply_update(ENGINE, news(), NOW)
    assert changes.exclude_changing(engines, NOW) == [engines[1]]
    changes.record_entry(ENGINE, Phase.DECODE)
    assert changes.exclude_changing(engines, NOW) == [engines[1]]
    changes.record_entry(ENGINE, Phase.PREFILL)
    assert changes.exclude_changing(engines, NOW) == engines


def test_a_change_is_not_believed_for_ever() -> None:
    changes = PendingPhaseChanges()
    changes.apply_update(ENGINE, news(1e9), NOW)
    assert changes.exclude_changing([make("u1")], NOW + MAX_CHANGE_S - 0.1) == []
    assert changes.exclude_changing([make("u1")], NOW + MAX_CHANGE_S) == [make("u1")]


def test_an_engine_is_used_until_its_uncertain_change_shows() -> None:
    changes = PendingPhaseChanges()
    changes.apply_update(ENGINE, news(certain=False), NOW)
    assert changes.exclude_changing([make("u1")], NOW) == [make("u1")]
    assert changes.is_pending(ENGINE, NOW)
    assert [one.phase for one in changes.with_expected_phases([make("u1"), make("u2")], NOW)] == [
        Phase.PREFILL,
        Phase.DECODE,
    ]
    assert not changes.confirm(UpstreamId("u2"), NOW)
    assert changes.confirm(ENGINE, NOW)
    assert changes.exclude_changing([make("u1")], NOW) == []


def test_news_are_told_on_and_end_everywhere() -> None:
    here, there = PendingPhaseChanges(), PendingPhaseChanges()
    here.apply_update(ENGINE, news(10.0), NOW)
    for upstream, told in here.list_updates(NOW + 4).items():
        there.apply_update(UpstreamId(upstream), told, NOW + 4)
    assert not here.apply_update(ENGINE, there.list_updates(NOW + 4)["u1"], NOW + 4)
    assert there.exclude_changing([make("u1")], NOW + 9.9) == []
    assert there.exclude_changing([make("u1")], NOW + 10.1) == [make("u1")]
    assert there.list_updates(NOW + 10.1) == {}


def test_what_is_certain_takes_the_place_of_what_is_not() -> None:
    changes = PendingPhaseChanges()
    assert changes.apply_update(ENGINE, news(certain=False), NOW)
    assert changes.apply_update(ENGINE, news(certain=True), NOW)
    assert not changes.apply_update(ENGINE, news(certain=False), NOW)
    assert changes.exclude_changing([make("u1")], NOW) == []
