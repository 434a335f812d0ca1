"""Most new connections reach one VM, whose link holds fewer requests than that."""

from __future__ import annotations

import pytest

from tests.support.skew_fleet import LINK_MBIT_PER_S, SkewFleet

AIM = 0.95
"""Least share of requests served at the first try that a VM has read, of the share before."""

CONTACT_S = 3.0
USUAL_RATE = 40.0
"""Requests per second to all VMs."""

CROWD_RATE = 160.0
"""Requests per second while most new connections go to one VM, whose link holds some seventy."""

SURGE_RATE = 200.0
"""Requests per second that all VMs together hold with room to spare."""


def check_served(fleet: SkewFleet, before: tuple[float, float], during: tuple[float, float]) -> None:
    """Check that requests are served, and on time, as often as before."""
    assert fleet.compute_served(*during) >= AIM * fleet.compute_served(*before)
    assert fleet.compute_on_time(*during) >= AIM * fleet.compute_on_time(*before)
    assert fleet.count_unread(*during) == 0


@pytest.mark.parametrize(
    ("keeps", "seed"),
    [(False, 0), (False, 1), (True, 0), (True, 1), (True, 1014)],
    ids=["new-0", "new-1", "kept-0", "kept-1", "kept-1014"],
)
def test_a_vm_whose_link_is_full_takes_no_more_requests_than_it_can_serve(keeps: bool, seed: int) -> None:
    fleet = SkewFleet(keeps=keeps, seed=seed)
    usual = fleet.run(6.0, USUAL_RATE)
    fleet.crowded = "vm0"
    crowded = fleet.run(9.0, CROWD_RATE)
    end = fleet.now
    fleet.finish()
    check_served(fleet, (usual, crowded), (crowded, crowded + CONTACT_S))
    check_served(fleet, (usual, crowded), (crowded + CONTACT_S, end))


@pytest.mark.parametrize("seed", [0, 106, 112])
def test_a_crowd_that_moves_on_to_another_vm_is_served(seed: int) -> None:
    fleet = SkewFleet(seed=seed)
    usual = fleet.run(6.0, USUAL_RATE)
    crowded = fleet.now
    for vm in ("vm0", "vm3", "vm0"):
        fleet.crowded = vm
        fleet.run(3.0, CROWD_RATE)
    end = fleet.now
    fleet.finish()
    check_served(fleet, (usual, crowded), (crowded, end))


def test_a_link_that_is_slower_than_the_settings_say_is_not_filled() -> None:
    fleet = SkewFleet(told_mbit_per_s=10 * LINK_MBIT_PER_S)
    usual = fleet.run(6.0, USUAL_RATE)
    fleet.crowded = "vm0"
    crowded = fleet.run(9.0, CROWD_RATE)
    end = fleet.now
    fleet.finish()
    check_served(fleet, (usual, crowded), (crowded + CONTACT_S, end))


def test_a_surge_of_all_callers_that_the_vms_can_serve_is_not_taken_for_a_crowd() -> None:
    fleet = SkewFleet()
    fleet.run(6.0, USUAL_RATE)
    surge = fleet.run(9.0, SURGE_RATE)
    end = fleet.now
    fleet.finish()
    calls = fleet.list_calls(surge, end)
    assert fleet.compute_on_time(surge, end) >= AIM
    assert sum(len(one.tries) for one in calls) <= 1.05 * len(calls)
