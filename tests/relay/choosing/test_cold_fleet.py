"""Tests of the limit on requests to cold upstreams over all VMs, with incomplete views of the fleet."""

from __future__ import annotations

import pytest

from beamhatch.relay.choosing.sponsors import SponsorGate
from beamhatch.relay.choosing.turns import RoundRobinGate
from tests.support.cold_fleet import MAX_REQUESTS, ColdFleet, GateClass

GATE_CLASSES = [SponsorGate, RoundRobinGate]
SURGE_RATE = 170.0
"""Requests a second to a cold upstream, ten times its limit."""


@pytest.mark.parametrize("vms", [1, 8, 74, 195])
@pytest.mark.parametrize("kind", GATE_CLASSES)
def test_a_surge_to_a_cold_upstream_is_limited(kind: GateClass, vms: int) -> None:
    fleet = ColdFleet(vms, kind)
    fleet.turn_cold(6.0)
    fleet.run(5.0, SURGE_RATE)
    assert fleet.count_sent() >= 5
    assert fleet.get_max_per_second() <= MAX_REQUESTS


@pytest.mark.parametrize("seed", range(50))
def test_the_limit_holds_under_random_fleet_events(seed: int) -> None:
    fleet = ColdFleet([8, 74][seed % 2], seed=seed)
    fleet.turn_cold(30.0)
    fleet.run_random_events(12.0, SURGE_RATE)
    assert fleet.count_sent()
    assert fleet.get_max_per_second() <= MAX_REQUESTS


@pytest.mark.parametrize("seed", range(4))
def test_the_limit_holds_under_random_events_in_a_large_fleet(seed: int) -> None:
    fleet = ColdFleet(195, seed=seed)
    fleet.turn_cold(30.0)
    fleet.run_random_events(12.0, SURGE_RATE)
    assert fleet.get_max_per_second() <= MAX_REQUESTS


def test_two_separated_parts_stay_within_the_limit() -> None:
    fleet = ColdFleet(74)
    fleet.partition(fleet.vms[:30])
    fleet.restart(list(fleet.vms))
    fleet.run(8.0, 0.0)
    fleet.forget_disconnected()
    fleet.turn_cold(6.0)
    fleet.run(6.0, 10 * SURGE_RATE)
    assert 8 < fleet.get_max_per_second() <= MAX_REQUESTS


def test_restarts_of_all_vms_stay_within_the_limit() -> None:
    fleet = ColdFleet(74)
    fleet.turn_cold(30.0)
    for _ in range(6):
        fleet.run(2.6, 10 * SURGE_RATE)
        fleet.restart(list(fleet.vms))
    assert fleet.get_max_per_second() <= MAX_REQUESTS


def test_isolated_vms_stay_within_the_limit() -> None:
    fleet = ColdFleet(74)
    for side, vm in enumerate(fleet.vms):
        fleet.partition([vm], side)
    fleet.turn_cold(12.0)
    fleet.run(4.0, 10 * SURGE_RATE)
    fleet.restart(fleet.vms[::2])
    fleet.run(6.0, 10 * SURGE_RATE)
    assert fleet.count_sent()
    assert fleet.get_max_per_second() <= MAX_REQUESTS


def test_nearly_all_vms_can_send_to_upstreams_that_stay_cold() -> None:
    fleet = ColdFleet(74, upstreams=15)
    fleet.turn_cold(30.0)
    fleet.run(30.0, 40.0)
    assert len(fleet.sending_vms) >= 0.95 * len(fleet.vms)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("parts", "cold"), [(2, 25.0), (3, 6.0)])
def test_parts_that_forgot_each_other_stay_below_the_bound(parts: int, cold: float, seed: int) -> None:
    """Three parts may exceed the limit, as each uses half of it, and two parts may have sponsors of different terms."""
    fleet = ColdFleet(24, seed=seed)
    for side in range(1, parts):
        fleet.partition(fleet.vms[side::parts], side)
    fleet.restart(list(fleet.vms))
    fleet.run(8.0, 0.0)
    fleet.forget_disconnected()
    fleet.turn_cold(cold)
    fleet.run(cold, 3 * SURGE_RATE)
    assert fleet.get_max_per_second() <= MAX_REQUESTS
