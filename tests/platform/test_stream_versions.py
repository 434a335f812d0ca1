"""Streams of a service whose upstreams run two versions of the software."""

from __future__ import annotations

import pytest

from beamhatch.relay.model import ServiceName, SoftwareVersion
from beamhatch.relay.streams.message import MAX_DATAGRAM_BYTES
from tests.support.platform import Platform, make_platform
from tests.support.version_fleet import VersionFleet


def list_sent(platform: Platform, request: str) -> list[dict[str, object]]:
    lines = platform.journals["vm1"].lines
    return [line for line in lines if line["event"] == "sent" and line["request"] == request]


def test_log_lines_tell_the_version_that_began_a_stream_and_each_one_that_continued_it() -> None:
    platform = make_platform(prefill=1, decode=2)
    for number in range(2):
        platform.upstreams[f"decode-{number}"].cut_after = 4  # type: ignore[attr-defined]
    platform.finish(platform.call("/resumable/x", "q1"))
    begun, *continued = [line for line in list_sent(platform, "q1") if line["stage"] != "prefill"]
    assert begun["software"] == "v1"
    assert "after_event" not in begun
    assert [(line["after_event"], line["begun_by"], line["software"]) for line in continued] == [(4, "v1", "v1")]
    tally = platform.vms["vm1"].core.tally
    assert tally.counts["streams_continued_total", "same"] == 1


def test_log_lines_tell_that_a_caller_resumes_a_stream_and_where_it_began() -> None:
    platform = make_platform()
    platform.finish(platform.call("/resumable/x", "q2", headers={"Last-Event-Id": "3", "Resumes": "q1"}))
    line = next(line for line in platform.journals["vm1"].lines if line["event"] == "resumes a stream")
    assert (line["request"], line["began_as"], line["last_event"]) == ("q2", "q1", 3)


def assert_streams_outlast_their_vms(fleet: VersionFleet) -> None:
    """Kill the two VMs where streams began, and check that they go on elsewhere at their version."""
    fleet.kill("vm0", None)
    fleet.kill("vm1", None)
    fleet.run(8.0)
    assert not fleet.list_mixed()
    went_on, resumed = fleet.count_resumed()
    assert went_on >= 0.9 * resumed > 0


def count_records_sent(fleet: VersionFleet) -> int:
    tallies = [vm.core.tally for vm in fleet.platform.vms.values()]
    return sum(tally.counts["stream_datagrams_sent_total", "RecordPut"] for tally in tallies)


def test_a_service_with_one_version_sends_no_records_and_all_its_streams_go_on() -> None:
    fleet = VersionFleet(versions=["v1"])
    fleet.begin_streams(24, "vm0", "vm1")
    fleet.kill("vm0", None)
    fleet.kill("vm1", None)
    fleet.run(8.0)
    assert count_records_sent(fleet) == 0
    went_on, resumed = fleet.count_resumed()
    assert resumed == 24
    assert went_on == 24


def test_a_caller_waits_for_vms_that_are_gone_though_its_service_has_one_version() -> None:
    fleet = VersionFleet(versions=["v1"])
    fleet.begin_streams(1, "vm0")
    fleet.kill("vm0", None)
    fleet.run(0.5)
    (found,) = [
        line for vm in fleet.list_vms() for line in fleet.platform.journals[vm].lines if line["event"] == "origin"
    ]
    assert found["found"] == "only_version"
    assert found["seconds"] < 0.05


def test_streams_that_began_before_the_second_version_appeared_are_recorded_then() -> None:
    fleet = VersionFleet(versions=["v1"])
    fleet.begin_streams(60, "vm0")
    fleet.add_engines(7, "v2")
    fleet.add_engines(8, "v2")
    fleet.run(0.5)
    assert 0 < fleet.platform.network.largest_datagram <= MAX_DATAGRAM_BYTES
    fleet.kill("vm0", None)
    fleet.run(8.0)
    assert not fleet.list_mixed()
    went_on, resumed = fleet.count_resumed()
    assert went_on == resumed > 50


def test_a_vm_that_lists_one_version_goes_on_with_a_stream_of_one_that_is_gone() -> None:
    fleet = VersionFleet(versions=["v1"], engines=3)
    fleet.begin_streams(12, "vm0")
    for number in range(3):
        fleet.add_engines(10 + number, "v2")
    fleet.run(0.5)
    for number in range(3):
        fleet.platform.remove(f"prefill-{number}")
        fleet.platform.remove(f"decode-{number}")
    fleet.kill("vm0", None)
    for vm in ("vm1", "vm2", "vm3"):
        fleet.kill(vm, 0.2)
    fleet.run(8.0)
    assert not fleet.list_mixed()


def test_records_get_through_though_datagrams_are_lost() -> None:
    fleet = VersionFleet()
    fleet.platform.network.datagram_loss = 0.3
    fleet.begin_streams(24, "vm0", "vm1")
    assert_streams_outlast_their_vms(fleet)


def test_few_vms_of_a_larger_fleet_hold_a_record_and_it_is_found() -> None:
    fleet = VersionFleet(18)
    fleet.begin_streams(24, "vm0", "vm1")
    assert count_records_sent(fleet) == 24 * 3
    assert_streams_outlast_their_vms(fleet)


@pytest.mark.parametrize("resumes", ["unheard-of", "x" * 5000, ""])
def test_a_stream_that_nobody_recorded_is_refused_at_once_and_has_not_run(resumes: str) -> None:
    fleet = VersionFleet()
    headers = {"Last-Event-Id": "3", "Resumes": resumes}
    caller = fleet.platform.call("/resumable/x", "q1", vm="vm0", headers=headers)
    began = fleet.now
    fleet.platform.finish(caller)
    assert caller.status == 503
    assert "retry-after" not in caller.head.lower()
    assert fleet.now - began < 0.05
    assert not fleet.platform.ledger.runs["q1"]


def test_a_stream_that_silent_vms_may_have_recorded_is_refused_with_a_time_to_come_back() -> None:
    fleet = VersionFleet()
    for vm in ("vm1", "vm2", "vm3", "vm4", "vm5"):
        fleet.platform.network.cut_between("vm0", vm)
    headers = {"Last-Event-Id": "3", "Resumes": "q0"}
    caller = fleet.platform.finish(fleet.platform.call("/resumable/x", "q1", vm="vm0", headers=headers))
    assert caller.status == 503
    assert "retry-after" in caller.head.lower()


def test_a_stream_of_another_service_is_not_continued() -> None:
    fleet = VersionFleet()
    core = fleet.platform.vms["vm1"].core
    core.origins.record_begun("q0", ServiceName("others"), SoftwareVersion("v1"), 14.0)
    headers = {"Last-Event-Id": "3", "Resumes": "q0"}
    caller = fleet.platform.finish(fleet.platform.call("/resumable/x", "q1", vm="vm1", headers=headers))
    assert caller.status == 503
    assert not fleet.platform.ledger.runs["q1"]


def test_a_caller_that_leaves_during_the_search_leaves_nothing_behind() -> None:
    fleet = VersionFleet()
    for vm in ("vm1", "vm2", "vm3", "vm4", "vm5"):
        fleet.platform.network.cut_between("vm0", vm)
    headers = {"Last-Event-Id": "3", "Resumes": "q0"}
    caller = fleet.platform.call("/resumable/x", "q1", vm="vm0", headers=headers)
    fleet.platform.network.run(0.05)
    caller.leave()
    fleet.platform.network.run(1.0)
    assert not fleet.platform.vms["vm0"].core.exchanges
    assert not fleet.platform.ledger.arrivals["q1"]


@pytest.mark.parametrize("outage_s", [0.5, 60.0])
def test_a_stream_goes_on_at_another_version_at_a_vm_that_was_cut_off_as_it_appeared(outage_s: float) -> None:
    fleet = VersionFleet(versions=["v1"], engines=2)
    for other in ("vm1", "vm2", "vm3", "vm4", "vm5", "store"):
        fleet.platform.network.cut_between("vm0", other)
    fleet.run(3.0)
    for number in range(6, 12):
        fleet.add_engines(number, "v2")
    fleet.run(outage_s)
    begun = fleet.begin_streams(48, "vm1", "vm2")
    assert any(fleet.list_versions(one) == {"v2"} for one in begun)
    for one in begun:
        headers = {"Last-Event-Id": str(one.last_event), "Resumes": str(one.first_request)}
        caller = fleet.platform.call("/resumable/x", f"crossed-{one.first_request}", vm="vm0", headers=headers)
        assert fleet.platform.finish(caller).status == 503
        assert caller.retry_after_s
