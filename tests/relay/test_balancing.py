"""When an engine changes its part."""

from __future__ import annotations

from dataclasses import replace

from beamhatch.relay.balancing import PhaseChange, Pressure, choose_changes, find_best_split, predict_reading
from beamhatch.relay.model import Address, Phase, ServiceName, Upstream, UpstreamId

KV = 60_000


def make_engines(prefills: int, decodes: int) -> list[Upstream]:
    phases = [Phase.PREFILL] * prefills + [Phase.DECODE] * decodes
    return [
        Upstream(
            UpstreamId(f"u{number}"), ServiceName("s"), Address("h", number), f"hall-{number % 3}", False, phase, 9
        )
        for number, phase in enumerate(phases)
    ]


def choose(prefills: int, decodes: int, rate: float, waits: float) -> Phase | None:
    engines = make_engines(prefills, decodes)
    changes = choose_changes(engines, Pressure(rate, waits, 3.7), KV, {one.id for one in engines})
    return changes[0].phase if changes else None


def test_nothing_changes_without_pressure() -> None:
    assert choose(2, 1, 5_000, 0.0) is None


def test_a_prefill_engine_moves_where_decode_memory_is_short() -> None:
    assert choose(2, 1, 26_000, 3.0) is Phase.DECODE
    assert choose(4, 5, 75_000, 2.0) is Phase.DECODE


def test_the_last_engine_of_a_part_stays() -> None:
    assert choose(1, 2, 30_000, 5.0) is None
    assert choose(1, 1, 30_000, 5.0) is None
    assert choose(0, 1, 30_000, 5.0) is None


def test_a_part_without_engines_gets_one() -> None:
    assert choose(0, 3, 10_000, 5.0) is Phase.PREFILL
    assert choose(3, 0, 10_000, 5.0) is Phase.DECODE


def test_a_decode_engine_moves_where_prompts_wait() -> None:
    assert choose(1, 8, 50_000, 0.0) is Phase.PREFILL


def test_a_balanced_service_is_left_alone_under_pressure() -> None:
    assert choose(2, 5, 90_000, 5.0) is None


def test_a_change_does_not_bring_about_the_next() -> None:
    for rate in (10_000, 40_000, 90_000):
        for engines in range(2, 12):
            prefills = 1
            for _ in range(12):
                phase = choose(prefills, engines - prefills, rate, 5.0)
                if phase is None:
                    break
                prefills += 1 if phase is Phase.PREFILL else -1
            assert choose(prefills, engines - prefills, rate, 5.0) is None


def test_only_an_engine_that_can_be_had_changes() -> None:
    engines = make_engines(2, 1)
    pressure = Pressure(26_000, 3.0, 3.7)
    assert choose_changes(engines, pressure, KV, {engines[1].id}) == [PhaseChange(engines[1], Phase.DECODE)]
    assert choose_changes(engines, pressure, KV, set()) == []


def test_a_large_service_goes_to_its_best_split_in_few_steps() -> None:
    pressure = Pressure(400_000, 0.0, 3.0)
    phases = [one.phase for one in make_engines(24, 46)]
    rounds = 0
    while True:
        engines = [replace(one, phase=phase) for one, phase in zip(make_engines(24, 46), phases, strict=True)]
        changes = choose_changes(engines, pressure, KV, {one.id for one in engines})
        if not changes:
            break
        rounds += 1
        for change in changes:
            phases[int(change.upstream.id[1:])] = change.phase
    wanted = find_best_split(70, pressure, KV)
    assert rounds <= 2
    assert abs(phases.count(Phase.PREFILL) - wanted) <= 3


def test_no_more_change_at_once_than_the_others_bear() -> None:
    engines = make_engines(40, 30)
    everyone = {one.id for one in engines}
    light, heavy = (choose_changes(engines, Pressure(rate, 0.0, 3.0), KV, everyone) for rate in (400_000, 1_000_000))
    assert len(light) == 10
    assert 1 < len(heavy) < 10
    assert predict_reading(40 - len(heavy), Pressure(1_000_000, 0.0, 3.0)) <= 0.7


def test_halls_keep_engines_of_both_parts() -> None:
    engines = make_engines(12, 18)
    changes = choose_changes(engines, Pressure(200_000, 0.0, 6.0), KV, {one.id for one in engines})
    assert len({change.upstream.hall for change in changes}) == 3


def test_nothing_changes_before_anybody_asks() -> None:
    engines = make_engines(0, 3)
    assert choose_changes(engines, Pressure(0.0, 0.0, 3.0), KV, {one.id for one in engines}) == []
