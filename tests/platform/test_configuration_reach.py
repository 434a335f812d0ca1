"""The four ways in which a configuration can fail to hold, under each disruption of the ways on which VMs learn it."""

from __future__ import annotations

import random

import pytest

from tests.support.configuration_fleet import ConfigurationFleet
from tests.support.configuration_spell import Case, Outcome, Way, list_pair_cases, list_single_cases, play
from tests.support.configuration_troubles import Restart, Silence, SomeSilence, StoreSilence, VmCut, WatchSilence

PAIRS = 24
"""Pairs of disruptions that are played each time; ``python -m tests.soak.configurations`` plays all."""


FOUND = [
    Case(Way.PEER, (StoreSilence, SomeSilence), 2.5),
    Case(Way.PEER, (VmCut, Restart), 1.0),
]
"""Pairs that once broke a bound."""


def draw_pairs() -> list[Case]:
    """Return some pairs of disruptions."""
    return random.Random(0).sample(list(list_pair_cases(0)), PAIRS)


@pytest.fixture(scope="module", params=[*list_single_cases(), *FOUND, *draw_pairs()], ids=str)
def outcome(request: pytest.FixtureRequest) -> Outcome:
    """What was seen in one spell."""
    return play(request.param)


def test_no_vm_in_touch_is_late(outcome: Outcome) -> None:
    assert not outcome.list_of("late")


def test_no_version_comes_back_older_in_the_life_of_a_process(outcome: Outcome) -> None:
    assert not outcome.list_of("older than before")


def test_no_invalid_configuration_is_put_in_force(outcome: Outcome) -> None:
    assert not outcome.list_of("invalid")


def test_the_route_that_was_added_last_is_served_by_all_vms(outcome: Outcome) -> None:
    assert not outcome.unserved


def wait_for_newest(fleet: ConfigurationFleet) -> float:
    """Have the operators write a version, and return the seconds until all VMs have it in force."""
    version = fleet.acknowledge()
    began = fleet.now
    fleet.platform.network.run_until(lambda: all(vm.core.version == version for vm in fleet.platform.vms.values()))
    return fleet.now - began


def test_a_change_is_late_for_20_s_as_the_watch_on_the_store_is_silent() -> None:
    """Any moment of the watch, which is sent anew about each second or each 20."""
    for moment in (0.0, 0.3, 0.6, 0.9):
        fleet = ConfigurationFleet()
        fleet.run(moment)
        WatchSilence(random.Random(0)).strike(fleet)
        assert wait_for_newest(fleet) < 2.0


def test_a_change_is_late_as_connections_go_silent_again_while_they_are_made_anew() -> None:
    for gap in (0.5, 1.5, 2.5):
        fleet = ConfigurationFleet()
        for _ in range(2):
            Silence(random.Random(0)).strike(fleet)
            fleet.run(gap)
        fleet.run(3.0 - gap)
        assert wait_for_newest(fleet) < 2.0


class LeaseWatchSilence(WatchSilence):
    """Only connections on which a watch of the leadership waits go silent."""

    prefix = "beamhatch%2F"


def list_leaders(fleet: ConfigurationFleet) -> list[str]:
    now = fleet.now
    return [name for name, vm in fleet.platform.vms.items() if vm.leadership and vm.leadership.lease.holds(now)]


def test_a_leader_is_missing_for_up_to_20_s_as_the_watches_of_its_lease_are_silent() -> None:
    fleet = ConfigurationFleet(size=3)
    fleet.run(2.0)
    (leader,) = list_leaders(fleet)
    LeaseWatchSilence(random.Random(0)).strike(fleet)
    fleet.platform.network.kill(leader, resets=False)
    del fleet.platform.vms[leader]
    fleet.platform.network.run(3.0 + 3.0 + 1.0 + 2.0)  # the lease, the watch, its margin, reads and claims
    assert len(list_leaders(fleet)) == 1
