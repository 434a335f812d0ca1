"""What cold upstreams get from all VMs together, whatever the VMs know of each other."""

from __future__ import annotations

import pytest

from beamhatch.relay.choosing.round_robin_gate import RoundRobinGate
from beamhatch.relay.choosing.sponsor_gate import SponsorGate
from tests.support.cold_fleet import MAX_REQUESTS, ColdFleet, Kind

KINDS = [SponsorGate, RoundRobinGate]
HIGH = 170.0
"""Requests a second for a cold upstream: ten times what it may get."""


@pytest.mark.parametrize("vms", [1, 8, 74, 195])
@pytest.mark.parametrize("kind", KINDS)
def test_a_cold_upstream_gets_some_of_a_surge_and_no_more_than_it_bears(kind: Kind, vms: int) -> None:
    fleet = ColdFleet(vms, kind)
    fleet.turn_cold(6.0)
    fleet.run(5.0, HIGH)
    assert fleet.count_sent() >= 5
    assert fleet.get_max_per_second() <= MAX_REQUESTS


@pytest.mark.parametrize("seed", range(50))
def test_no_second_is_over_whatever_happens_to_the_fleet(seed: int) -> None:
    fleet = ColdFleet([8, 74][seed % 2], seed=seed)
    fleet.turn_cold(30.0)
    fleet.draw_events(12.0, HIGH)
    assert fleet.count_sent()
    assert fleet.get_max_per_second() <= MAX_REQUESTS


@pytest.mark.parametrize("seed", range(4))
def test_no_second_of_a_large_fleet_is_over(seed: int) -> None:
    fleet = ColdFleet(195, seed=seed)
    fleet.turn_cold(30.0)
    fleet.draw_events(12.0, HIGH)
    assert fleet.get_max_per_second() <= MAX_REQUESTS


def test_two_parts_that_forgot_each_other_stay_below_the_bound_together() -> None:
    fleet = ColdFleet(74)
    fleet.cut(fleet.vms[:30])
    fleet.restart(list(fleet.vms))
    fleet.run(8.0, 0.0)
    fleet.forget()
    fleet.turn_cold(6.0)
    fleet.run(6.0, 10 * HIGH)
    assert 8 < fleet.get_max_per_second() <= MAX_REQUESTS


def test_all_vms_that_restart_at_once_stay_below_the_bound() -> None:
    fleet = ColdFleet(74)
    fleet.turn_cold(30.0)
    for _ in range(6):
        fleet.run(2.6, 10 * HIGH)
        fleet.restart(list(fleet.vms))
    assert fleet.get_max_per_second() <= MAX_REQUESTS


def test_vms_cut_apart_one_by_one_stay_below_the_bound() -> None:
    fleet = ColdFleet(74)
    for side, vm in enumerate(fleet.vms):
        fleet.cut([vm], side)
    fleet.turn_cold(12.0)
    fleet.run(4.0, 10 * HIGH)
    fleet.restart(fleet.vms[::2])
    fleet.run(6.0, 10 * HIGH)
    assert fleet.count_sent()
    assert fleet.get_max_per_second() <= MAX_REQUESTS


def test_every_vm_of_a_fleet_gets_through_while_all_upstreams_stay_cold_for_long() -> None:
    fleet = ColdFleet(74, upstreams=15)
    fleet.turn_cold(30.0)
    fleet.run(30.0, 40.0)
    assert len(fleet.served) >= 0.95 * len(fleet.vms)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("parts", "cold"), [(2, 25.0), (3, 6.0)])
def test_parts_that_forgot_each_other_stay_below_the_bound(parts: int, cold: float, seed: int) -> None:
    """Each part may use half of the bound, so the sum holds for two parts, and for the first term of sponsors alone.

    Two parts have sponsors of different terms where an upstream stays cold for 25 s: up to 20 in a second where 17 are
    borne. Three parts have half of the bound each: 24.
    """
    fleet = ColdFleet(24, seed=seed)
    for side in range(1, parts):
        fleet.cut(fleet.vms[side::parts], side)
    fleet.restart(list(fleet.vms))
    fleet.run(8.0, 0.0)
    fleet.forget()
    fleet.turn_cold(cold)
    fleet.run(cold, 3 * HIGH)
    assert fleet.get_max_per_second() <= MAX_REQUESTS
