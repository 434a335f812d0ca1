"""Pending phase changes of engines."""

from __future__ import annotations

from beamhatch.relay.engines.changing import MAX_CHANGE_S, PendingPhaseChanges, PhaseChangeUpdate
from beamhatch.relay.model import Address, Phase, ServiceName, Upstream, UpstreamId

ENGINE = UpstreamId("u1")
NOW = 100.0


def make_upstream(name: str, phase: Phase = Phase.DECODE) -> Upstream:
    return Upstream(UpstreamId(name), ServiceName("s"), Address(name, 1), "a", False, phase, 9)


def make_update(seconds: float = 10.0, *, confirmed: bool = True) -> PhaseChangeUpdate:
    return PhaseChangeUpdate(Phase.PREFILL, seconds, confirmed)


def test_changing_engine_is_excluded_until_its_entry_shows_the_new_phase() -> None:
    changes = PendingPhaseChanges()
    engines = [make_upstream("u1"), make_upstream("u2")]
    assert changes.apply_update(ENGINE, make_update(), NOW)
    assert changes.exclude_changing(engines, NOW) == [engines[1]]
    changes.record_listed_phase(ENGINE, Phase.DECODE)
    assert changes.exclude_changing(engines, NOW) == [engines[1]]
    changes.record_listed_phase(ENGINE, Phase.PREFILL)
    assert changes.exclude_changing(engines, NOW) == engines


def test_change_expires() -> None:
    changes = PendingPhaseChanges()
    changes.apply_update(ENGINE, make_update(1e9), NOW)
    assert changes.exclude_changing([make_upstream("u1")], NOW + MAX_CHANGE_S - 0.1) == []
    assert changes.exclude_changing([make_upstream("u1")], NOW + MAX_CHANGE_S) == [make_upstream("u1")]


def test_engine_is_used_until_its_change_is_confirmed() -> None:
    changes = PendingPhaseChanges()
    changes.apply_update(ENGINE, make_update(confirmed=False), NOW)
    assert changes.exclude_changing([make_upstream("u1")], NOW) == [make_upstream("u1")]
    assert changes.is_pending(ENGINE, NOW)
    assert [one.phase for one in changes.with_expected_phases([make_upstream("u1"), make_upstream("u2")], NOW)] == [
        Phase.PREFILL,
        Phase.DECODE,
    ]
    assert not changes.confirm(UpstreamId("u2"), NOW)
    assert changes.confirm(ENGINE, NOW)
    assert changes.exclude_changing([make_upstream("u1")], NOW) == []


def test_forwarded_updates_expire_at_the_same_time() -> None:
    here, there = PendingPhaseChanges(), PendingPhaseChanges()
    here.apply_update(ENGINE, make_update(10.0), NOW)
    for upstream, update in here.list_updates(NOW + 4).items():
        there.apply_update(UpstreamId(upstream), update, NOW + 4)
    assert not here.apply_update(ENGINE, there.list_updates(NOW + 4)["u1"], NOW + 4)
    assert there.exclude_changing([make_upstream("u1")], NOW + 9.9) == []
    assert there.exclude_changing([make_upstream("u1")], NOW + 10.1) == [make_upstream("u1")]
    assert there.list_updates(NOW + 10.1) == {}


def test_confirmed_change_replaces_unconfirmed() -> None:
    changes = PendingPhaseChanges()
    assert changes.apply_update(ENGINE, make_update(confirmed=False), NOW)
    assert changes.apply_update(ENGINE, make_update(confirmed=True), NOW)
    assert not changes.apply_update(ENGINE, make_update(confirmed=False), NOW)
    assert changes.exclude_changing([make_upstream("u1")], NOW) == []
