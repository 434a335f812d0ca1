"""Decisions on phase changes of engines."""

from __future__ import annotations

from dataclasses import replace

import pytest

from beamhatch.relay.engines.balancing import (
    PhaseChange,
    ServiceDemand,
    Split,
    choose_changes,
    evaluate_changes,
    predict_gain,
)
from beamhatch.relay.engines.throughput import CapacityParameters, find_best_split
from beamhatch.relay.model import Address, Phase, ServiceName, Upstream, UpstreamId

PARAMETERS = CapacityParameters(
    kv_tokens=60_000,
    prompt_tokens=5000.0,
    answer_tokens=800.0,
    residence_s=3.2,
    prefill_rate=52_000.0,
    local_prefill_rate=20_000.0,
)
SLOW_PREFILL = replace(PARAMETERS, prefill_rate=8_000.0, local_prefill_rate=3_000.0)
SMALL_MEMORY = replace(PARAMETERS, kv_tokens=18_000)
SWITCH_TIME_S = 6.0


def make_engines(prefills: int, decodes: int) -> list[Upstream]:
    phases = [Phase.PREFILL] * prefills + [Phase.DECODE] * decodes
    return [
        Upstream(
            UpstreamId(f"u{number}"), ServiceName("s"), Address("h", number), f"hall-{number % 3}", False, phase, 9
        )
        for number, phase in enumerate(phases)
    ]


def evaluate_and_choose(engines: list[Upstream], demand: ServiceDemand) -> list[PhaseChange]:
    return choose_changes(engines, evaluate_changes(engines, demand, SWITCH_TIME_S), {one.id for one in engines})


def choose_phase(prefills: int, decodes: int, rate: float, parameters: CapacityParameters = PARAMETERS) -> Phase | None:
    changes = evaluate_and_choose(make_engines(prefills, decodes), ServiceDemand(rate, 0.0, parameters))
    return changes[0].phase if changes else None


def test_no_change_at_low_demand() -> None:
    assert choose_phase(2, 1, 500) is None


def test_prefill_engine_changes_on_shortage_of_decode_memory() -> None:
    assert choose_phase(2, 1, 15_000) is Phase.DECODE
    assert choose_phase(4, 5, 75_000) is Phase.DECODE


def test_last_engine_of_a_phase_stays() -> None:
    assert choose_phase(1, 2, 30_000) is None
    assert choose_phase(1, 1, 30_000) is None


def test_phase_without_engines_gets_one() -> None:
    assert choose_phase(0, 4, 30_000) is Phase.PREFILL
    assert choose_phase(0, 4, 10_000, SLOW_PREFILL) is Phase.PREFILL
    assert choose_phase(3, 0, 10_000) is Phase.DECODE


def test_no_prefill_engine_is_added_if_decode_engines_suffice() -> None:
    assert choose_phase(0, 4, 5_000) is None


def test_decode_engine_changes_if_prompts_queue() -> None:
    assert choose_phase(1, 8, 30_000, SLOW_PREFILL) is Phase.PREFILL


@pytest.mark.parametrize("figures", [PARAMETERS, SLOW_PREFILL, SMALL_MEMORY])
def test_best_split_stays_at_any_demand(figures: CapacityParameters) -> None:
    best = find_best_split(7, figures)
    for rate in (5_000, 50_000, 500_000):
        assert choose_phase(best, 7 - best, rate, figures) is None


@pytest.mark.parametrize("figures", [PARAMETERS, SLOW_PREFILL, SMALL_MEMORY])
def test_changes_converge(figures: CapacityParameters) -> None:
    for rate in (10_000, 40_000, 90_000):
        for engines in range(2, 12):
            prefills = 1
            for _ in range(12):
                phase = choose_phase(prefills, engines - prefills, rate, figures)
                if phase is None:
                    break
                prefills += 1 if phase is Phase.PREFILL else -1
            assert choose_phase(prefills, engines - prefills, rate, figures) is None


def test_gain_accounts_for_duration_of_change() -> None:
    low, high = ServiceDemand(6_000, 0.0, PARAMETERS), ServiceDemand(60_000, 0.0, PARAMETERS)
    assert predict_gain(Split(2, 3), 1, Phase.DECODE, low, SWITCH_TIME_S) >= predict_gain(
        Split(2, 3), 1, Phase.DECODE, low, 3 * SWITCH_TIME_S
    )
    gain_of_fast_switch = predict_gain(Split(0, 4), 1, Phase.PREFILL, high, SWITCH_TIME_S)
    assert gain_of_fast_switch > 0
    assert predict_gain(Split(0, 4), 1, Phase.PREFILL, high, 3 * SWITCH_TIME_S) < gain_of_fast_switch
    assert predict_gain(Split(1, 3), 1, Phase.PREFILL, high, SWITCH_TIME_S) < 0


def test_only_movable_engines_change() -> None:
    engines = make_engines(2, 1)
    evaluation = evaluate_changes(engines, ServiceDemand(26_000, 0.0, PARAMETERS), SWITCH_TIME_S)
    assert choose_changes(engines, evaluation, {engines[1].id}) == [PhaseChange(engines[1], Phase.DECODE)]
    assert choose_changes(engines, evaluation, set()) == []


def test_large_service_reaches_its_best_split_in_few_steps() -> None:
    demand = ServiceDemand(400_000, 0.0, PARAMETERS)
    phases = [one.phase for one in make_engines(24, 46)]
    rounds = 0
    while True:
        engines = [replace(one, phase=phase) for one, phase in zip(make_engines(24, 46), phases, strict=True)]
        changes = evaluate_and_choose(engines, demand)
        if not changes:
            break
        rounds += 1
        for one in changes:
            phases[int(one.upstream.id[1:])] = one.phase
    best_prefills = find_best_split(70, PARAMETERS)
    assert rounds <= 3
    assert abs(phases.count(Phase.PREFILL) - best_prefills) <= 3


def test_number_of_simultaneous_changes_is_bounded() -> None:
    engines = make_engines(40, 30)
    light, heavy = (evaluate_and_choose(engines, ServiceDemand(rate, 0.0, PARAMETERS)) for rate in (300_000, 2_400_000))
    assert len(light) == 10
    assert 1 <= len(heavy) <= 10
    demand = ServiceDemand(2_400_000, 0.0, PARAMETERS)
    gain = predict_gain(Split(40, 30), len(heavy), Phase.DECODE, demand, SWITCH_TIME_S)
    assert all(
        gain >= predict_gain(Split(40, 30), count, Phase.DECODE, demand, SWITCH_TIME_S) for count in range(1, 11)
    )


def test_changes_are_spread_over_halls() -> None:
    engines = make_engines(15, 15)
    changes = evaluate_and_choose(engines, ServiceDemand(200_000, 0.0, PARAMETERS))
    assert len(changes) >= 3
    assert len({one.upstream.hall for one in changes}) == 3


def test_no_change_without_demand() -> None:
    assert evaluate_and_choose(make_engines(0, 3), ServiceDemand(0.0, 0.0, PARAMETERS)) == []


def make_changing(count: int) -> tuple[list[Upstream], set[UpstreamId]]:
    """Return 16 prefill and 29 decode engines, some of which are changing from prefill to decode."""
    engines = make_engines(16, 29)
    changing = {one.id for one in engines[:count]}
    return [replace(one, phase=Phase.DECODE) if one.id in changing else one for one in engines], changing


def test_more_engines_change_while_a_first_one_is_changing() -> None:
    demand = ServiceDemand(160_000, 0.0, SMALL_MEMORY)
    engines, changing = make_changing(1)
    evaluation = evaluate_changes(engines, demand, SWITCH_TIME_S, changing)
    assert evaluation.is_due
    assert evaluation.phase is Phase.DECODE
    assert evaluation.count == 5


@pytest.mark.parametrize("count", [6, 7, 9])
def test_no_change_while_many_engines_are_changing(count: int) -> None:
    engines, changing = make_changing(count)
    assert not evaluate_changes(engines, ServiceDemand(160_000, 0.0, SMALL_MEMORY), SWITCH_TIME_S, changing).is_due


def test_phase_without_engines_gets_one_while_others_change() -> None:
    engines = make_engines(0, 6)
    assert evaluate_changes(engines, ServiceDemand(30_000, 0.0, PARAMETERS), SWITCH_TIME_S, {engines[0].id}).count == 1


def test_changing_engines_reduce_gain() -> None:
    demand = ServiceDemand(26_000, 0.0, PARAMETERS)
    gain_without_others_changing = predict_gain(Split(0, 4), 1, Phase.PREFILL, demand, SWITCH_TIME_S)
    assert (
        predict_gain(Split(0, 4), 1, Phase.PREFILL, demand, SWITCH_TIME_S, unavailable=Split(0, 2))
        < gain_without_others_changing
    )
