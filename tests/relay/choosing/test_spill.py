"""Tests that requests spill to other regions when needed, and stay in their own when it has capacity again."""

from __future__ import annotations

from collections import Counter

import pytest

from beamhatch.relay.choosing.chooser import MAX_CANDIDATES, LeastCostChooser
from beamhatch.relay.choosing.spill import CostSpillPolicy
from beamhatch.relay.choosing.standing import UpstreamStatsRegistry
from beamhatch.relay.mechanism import NONE_DISABLED, DisabledMechanisms, Mechanism
from beamhatch.relay.model import Address, Phase, ServiceName, Upstream, UpstreamId
from beamhatch.relay.topology import Distance
from tests.relay.choosing.spill_simulation import PLACES, REGIONS, RingSpillPolicy, Simulation

LENGTH, BEGIN, END = 12.0, 3.0, 9.0
"""Seconds of a simulation, and the start and end of the disturbance of one region."""


def get_normal_rate(hall: str, now: float) -> float:
    return 1.0


def get_surge_rate(hall: str, now: float) -> float:
    return 2.2 if hall[0] == "x" and BEGIN <= now < END else 1.0


def is_unlisted(hall: str, now: float) -> bool:
    return hall[0] == "x" and BEGIN <= now < END


def test_requests_stay_in_their_region_under_normal_load() -> None:
    outcome = Simulation(CostSpillPolicy, 1).run(LENGTH, get_normal_rate)
    assert outcome.far_share < 0.01
    assert outcome.late_or_lost_share == 0


def test_requests_leave_their_region_without_distance_costs() -> None:
    outcome = Simulation(CostSpillPolicy, 1, frozenset({Mechanism.DISTANCE_COST, Mechanism.NEAR_CANDIDATES})).run(
        LENGTH, get_normal_rate
    )
    assert outcome.far_share > 0.3


def test_a_surge_spills_and_is_served_in_time() -> None:
    outcome = Simulation(CostSpillPolicy, 1).run(LENGTH, get_surge_rate)
    assert outcome.late_or_lost_share < 0.005
    assert 0.02 < outcome.far_share < 0.25


@pytest.mark.parametrize(
    ("make_spill", "without"), [(CostSpillPolicy, frozenset({Mechanism.SPILL})), (RingSpillPolicy, NONE_DISABLED)]
)
def test_requests_are_late_if_refusals_have_no_cost(
    make_spill: type[CostSpillPolicy | RingSpillPolicy], without: DisabledMechanisms
) -> None:
    """Without a cost for refusals, many requests of a surge are late, since a VM knows the loads of few engines."""
    assert Simulation(make_spill, 1, without).run(LENGTH, get_surge_rate).late_or_lost_share > 0.02


def test_a_region_without_engines_is_served_by_others_until_its_engines_are_listed_again() -> None:
    outcome = Simulation(CostSpillPolicy, 1).run(LENGTH, get_normal_rate, is_unlisted)
    assert outcome.late_or_lost_share < 0.005
    by_second = [outcome.far_by_second[second] for second in range(int(LENGTH))]
    assert min(by_second[int(BEGIN) : int(END)]) > 30
    assert sum(by_second[int(END) :]) <= 6


def sample_distances(without: DisabledMechanisms, runs: int = 200) -> Counter[Distance]:
    engines = [
        Upstream(UpstreamId(f"{hall}{n}"), ServiceName("s"), Address("h", n), hall, False, Phase.DECODE, 16)
        for hall in REGIONS
        for n in range(10)
    ]
    chooser = LeastCostChooser(UpstreamStatsRegistry(), "x1", without=without, places=PLACES)
    sampled = [one for _ in range(runs) for one in chooser._sample(engines, Phase.DECODE, set(), 1.0, "x1")]
    assert len(sampled) == MAX_CANDIDATES * runs
    return Counter(PLACES.get_distance("x1", one.hall) for one in sampled)


def test_most_candidates_are_near_and_some_are_far() -> None:
    sampled = sample_distances(NONE_DISABLED)
    total = sum(sampled.values())
    assert sampled[Distance.SAME_HALL] + sampled[Distance.SAME_REGION] > 0.6 * total
    assert sampled[Distance.OTHER_REGION] > 0.15 * total
    anywhere = sample_distances(frozenset({Mechanism.NEAR_CANDIDATES}))
    assert anywhere[Distance.SAME_HALL] < 0.25 * total
