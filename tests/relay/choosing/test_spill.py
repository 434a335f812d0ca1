"""When requests go to another region, and that they come back."""

from __future__ import annotations

from collections import Counter

import pytest

from beamhatch.relay.choosing.chooser import LOOKED_AT, LeastCost
from beamhatch.relay.choosing.spill import PredictedSpill
from beamhatch.relay.choosing.standing import Standings
from beamhatch.relay.mechanism import NONE_DISABLED, DisabledMechanisms, Mechanism
from beamhatch.relay.model import Address, Phase, ServiceName, Upstream, UpstreamId
from beamhatch.relay.topology import Distance
from tests.relay.choosing.spill_play import PLACES, REGIONS, Play, RingSpill

LENGTH, BEGIN, END = 12.0, 3.0, 9.0
"""Seconds of a play, and from when to when one region is in trouble."""


def play_calm(hall: str, now: float) -> float:
    return 1.0


def play_surge(hall: str, now: float) -> float:
    return 2.2 if hall[0] == "x" and BEGIN <= now < END else 1.0


def is_gone(hall: str, now: float) -> bool:
    return hall[0] == "x" and BEGIN <= now < END


def test_in_calm_everybody_stays_in_its_region() -> None:
    count = Play(PredictedSpill, 1).run(LENGTH, play_calm)
    assert count.far < 0.01
    assert count.missed == 0


def test_without_distance_costs_they_do_not() -> None:
    count = Play(PredictedSpill, 1, frozenset({Mechanism.DISTANCE_COST, Mechanism.NEAR_CANDIDATES})).run(
        LENGTH, play_calm
    )
    assert count.far > 0.3


def test_what_a_region_cannot_bear_spills_and_is_in_time() -> None:
    count = Play(PredictedSpill, 1).run(LENGTH, play_surge)
    assert count.missed < 0.005
    assert 0.02 < count.far < 0.25


@pytest.mark.parametrize(
    ("make_spill", "without"), [(PredictedSpill, frozenset({Mechanism.SPILL})), (RingSpill, NONE_DISABLED)]
)
def test_where_refusals_say_nothing_of_a_region_its_callers_wait_for_it(
    make_spill: type[PredictedSpill | RingSpill], without: DisabledMechanisms
) -> None:
    """What the kept way is compared with: rings go by loads that a VM mostly does not know."""
    assert Play(make_spill, 1, without).run(LENGTH, play_surge).missed > 0.02


def test_a_region_without_engines_is_served_by_the_others_and_has_its_own_back_at_once() -> None:
    count = Play(PredictedSpill, 1).run(LENGTH, play_calm, is_gone)
    assert count.missed < 0.005
    by_second = [count.far_by_second[second] for second in range(int(LENGTH))]
    assert min(by_second[int(BEGIN) : int(END)]) > 30
    assert sum(by_second[int(END) :]) <= 6


def draw(without: DisabledMechanisms, runs: int = 200) -> Counter[Distance]:
    engines = [
        Upstream(UpstreamId(f"{hall}{n}"), ServiceName("s"), Address("h", n), hall, False, Phase.DECODE, 16)
        for hall in REGIONS
        for n in range(10)
    ]
    chooser = LeastCost(Standings(), "x1", without=without, places=PLACES)
    drawn = [one for _ in range(runs) for one in chooser._draw(engines, Phase.DECODE, set(), 1.0, "x1")]
    assert len(drawn) == LOOKED_AT * runs
    return Counter(PLACES.get_distance("x1", one.hall) for one in drawn)


def test_most_of_those_that_are_weighed_are_near_and_some_are_far() -> None:
    drawn = draw(NONE_DISABLED)
    total = sum(drawn.values())
    assert drawn[Distance.SAME_HALL] + drawn[Distance.SAME_REGION] > 0.6 * total
    assert drawn[Distance.OTHER_REGION] > 0.15 * total
    anywhere = draw(frozenset({Mechanism.NEAR_CANDIDATES}))
    assert anywhere[Distance.SAME_HALL] < 0.25 * total
