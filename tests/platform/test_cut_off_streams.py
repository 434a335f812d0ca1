"""Streams that callers resume at VMs that do not reach the store, or not the other halls either."""

from __future__ import annotations

import pytest

from beamhatch.platform.standin.store import StoreFault
from beamhatch.relay.streams.version_recorder import EXPERIENCE_S
from tests.support.platform import make_platform
from tests.support.version_fleet import VersionFleet

ENGINES = 3
STREAMS = 24

RESUMED_SHARE = 0.95
"""Least share of streams that go on whose version still serves."""


def make_fleet(size: int) -> VersionFleet:
    fleet = VersionFleet(size, versions=("v1",), engines=ENGINES)
    fleet.honours_retry_after = True
    return fleet


def list_vms(fleet: VersionFleet, *, in_first_hall: bool) -> list[str]:
    return [vm for vm in fleet.list_vms() if (fleet.halls[vm] == "hall-a") is in_first_hall]


def cut_first_hall(fleet: VersionFleet) -> None:
    """Cut the VMs of one hall from the others and from the store; all of them reach the engines."""
    for vm in list_vms(fleet, in_first_hall=True):
        fleet.platform.network.cut_between(vm, "store")
        for other in list_vms(fleet, in_first_hall=False):
            fleet.platform.network.cut_between(vm, other)


def add_newer_engines(fleet: VersionFleet) -> None:
    for number in range(ENGINES):
        fleet.add_engines(10 + number, "v2")


def assert_most_go_on(fleet: VersionFleet) -> None:
    went_on, resumed = fleet.count_resumed()
    assert not fleet.list_mixed()
    assert resumed
    assert went_on >= RESUMED_SHARE * resumed


@pytest.mark.parametrize("size", [6, 18])
@pytest.mark.parametrize("cut_for_s", [0.2, 2.0, 8.0])
def test_streams_go_on_at_another_version_in_a_hall_that_was_cut_off_before_theirs_appeared(
    size: int, cut_for_s: float
) -> None:
    fleet = make_fleet(size)
    cut_first_hall(fleet)
    fleet.run(cut_for_s)
    add_newer_engines(fleet)
    fleet.run(1.0)
    elsewhere = list_vms(fleet, in_first_hall=False)
    fleet.begin_streams(STREAMS, *elsewhere)
    assert any(fleet.list_versions(one) == {"v2"} for one in fleet.streams)
    for vm in elsewhere:
        fleet.kill(vm, 20.0)
    fleet.finish()
    assert not fleet.list_mixed()


@pytest.mark.parametrize("size", [6, 18])
@pytest.mark.parametrize("cut_for_s", [3.0, 8.0, 70.0])
def test_streams_of_a_hall_that_is_cut_off_end_as_one_of_its_vms_is_killed(size: int, cut_for_s: float) -> None:
    fleet = make_fleet(size)
    fleet.returns_near = True
    cut_first_hall(fleet)
    fleet.run(cut_for_s)
    inside = list_vms(fleet, in_first_hall=True)
    fleet.begin_streams(STREAMS, *inside)
    fleet.kill(inside[0], 6.0)
    fleet.finish()
    assert_most_go_on(fleet)


@pytest.mark.parametrize(("size", "lost_for_s"), [(3, 0.2), (3, 3.0), (6, 0.2), (18, 0.2), (18, 3.0)])
@pytest.mark.parametrize("fault", [StoreFault.UNAVAILABLE, StoreFault.UNRESPONSIVE])
def test_streams_end_as_a_vm_is_killed_while_no_vm_reaches_the_store(
    size: int, lost_for_s: float, fault: StoreFault
) -> None:
    fleet = make_fleet(size)
    fleet.platform.store.fault = fault
    fleet.run(lost_for_s)
    vms = fleet.list_vms()
    fleet.begin_streams(STREAMS, *vms[: size // 2])
    fleet.kill(vms[0], 6.0)
    fleet.finish()
    assert_most_go_on(fleet)


def test_a_stream_waits_for_good_at_the_only_vm_while_the_store_does_not_answer() -> None:
    platform = make_platform()
    platform.network.run(EXPERIENCE_S)
    platform.store.fault = StoreFault.UNAVAILABLE
    platform.network.run(3.0)
    headers = {"Last-Event-Id": "3", "Resumes": "q0"}
    for number in range(3):
        caller = platform.finish(platform.call("/resumable/x", f"q{number + 1}", headers=headers))
        assert caller.status == 200


def test_each_stream_that_callers_resume_costs_a_call_to_the_store() -> None:
    fleet = make_fleet(18)
    fleet.begin_streams(STREAMS, "vm0", "vm1")
    fleet.run(0.05)
    calls = fleet.platform.store.calls
    fleet.kill("vm0", 20.0)
    fleet.run(1.5)
    _, resumed = fleet.count_resumed()
    quiet = make_fleet(18)
    before = quiet.platform.store.calls
    quiet.kill("vm0", 20.0)
    quiet.run(1.5)
    assert resumed >= STREAMS / 2
    assert fleet.platform.store.calls - calls <= quiet.platform.store.calls - before + resumed / 2 + 18


@pytest.mark.parametrize("cut_for_s", [1.0, 1.2, 3.0])
def test_streams_go_on_at_another_version_as_the_vms_that_knew_it_end_and_a_cut_is_over(cut_for_s: float) -> None:
    fleet = make_fleet(4)
    cut_first_hall(fleet)
    add_newer_engines(fleet)
    fleet.run(cut_for_s)
    elsewhere = list_vms(fleet, in_first_hall=False)
    fleet.begin_streams(STREAMS, *elsewhere)
    assert any(fleet.list_versions(one) == {"v2"} for one in fleet.streams)
    fleet.platform.store.fault = StoreFault.UNAVAILABLE
    for vm in elsewhere:
        fleet.kill(vm, 20.0)
    network = fleet.platform.network
    for vm in list_vms(fleet, in_first_hall=True):
        for other in elsewhere:
            network.heal_between(vm, other)
    fleet.finish()
    assert not fleet.list_mixed()
