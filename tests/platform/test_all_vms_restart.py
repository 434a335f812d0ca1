"""Streams that callers resume after all VMs were killed, so that nobody's memory tells which version began them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from beamhatch.platform.standin.store import StoreFault
from beamhatch.platform.stream_store import PlatformStreamStore
from beamhatch.relay.store_results import StoreUnavailable
from beamhatch.relay.streams.open_stream_writer import WRITE_INTERVAL_S
from beamhatch.relay.streams.version_recorder import EXPERIENCE_S
from beamhatch.relay.streams.versions import VersionHistory
from tests.support.version_fleet import VersionFleet
from tests.support.version_spell import VersionSpell

if TYPE_CHECKING:
    from collections.abc import Callable

ENGINES = 3
DRAIN_S = 2.4
"""Seconds from the announcement of an engine's departure to its end."""

STREAMS = 24

RESUMED_SHARE = 0.95
"""Least share of streams that go on whose version still serves."""


def make_fleet(size: int = 3, versions: tuple[str, ...] = ("v1",), streams: int = STREAMS) -> VersionFleet:
    """Return a fleet at whose VMs streams have begun, and whose callers come back when they are told to."""
    fleet = VersionFleet(size, versions=versions, engines=ENGINES * len(versions))
    fleet.honours_retry_after = True
    if streams:
        fleet.begin_streams(streams, "vm0", "vm1", "vm2")
    return fleet


def roll_out(fleet: VersionFleet, version: str = "v2") -> None:
    """Start engines of another version, then drain and end the first ones."""
    for number in range(ENGINES):
        fleet.replace(number, 10 + number, version)


def add_newer_engines(fleet: VersionFleet) -> None:
    """Start engines of another version beside the first ones."""
    for number in range(ENGINES):
        fleet.add_engines(10 + number, "v2")


def remove_newer_engines(fleet: VersionFleet) -> None:
    """End these engines at once, with their entries."""
    for number in range(ENGINES):
        fleet.platform.remove(f"prefill-{10 + number}")
        fleet.platform.remove(f"decode-{10 + number}")


def kill_all(fleet: VersionFleet, back_after_s: float = 0.5) -> None:
    for vm in fleet.list_vms():
        fleet.kill(vm, back_after_s)


def assert_most_go_on(fleet: VersionFleet) -> None:
    went_on, resumed = fleet.count_resumed()
    assert not fleet.list_mixed()
    assert resumed >= 12
    assert went_on >= resumed / 2


@pytest.mark.parametrize("size", [3, 9])
@pytest.mark.parametrize("killed_at_s", [0.7, 2.7, 3.9])
@pytest.mark.parametrize("back_after_s", [0.5, 4.0])
def test_streams_go_on_at_another_version_after_all_vms_were_killed_in_a_rollout(
    size: int, killed_at_s: float, back_after_s: float
) -> None:
    fleet = make_fleet(size)
    roll_out(fleet)
    fleet.run(killed_at_s)
    kill_all(fleet, back_after_s)
    fleet.finish()
    assert not fleet.list_mixed()


def test_streams_go_on_at_another_version_that_came_while_no_vm_ran() -> None:
    fleet = make_fleet()
    kill_all(fleet, DRAIN_S + 2.0)
    roll_out(fleet)
    fleet.finish()
    assert not fleet.list_mixed()


def test_streams_go_on_at_another_version_after_the_vms_were_killed_one_by_one() -> None:
    fleet = make_fleet()
    roll_out(fleet)
    fleet.run(DRAIN_S + 0.8)
    for vm in fleet.list_vms():
        fleet.kill(vm, 0.05)
        fleet.run(0.35)
    fleet.finish()
    assert not fleet.list_mixed()


def test_streams_go_on_at_another_version_after_all_vms_were_killed_twice() -> None:
    fleet = make_fleet()
    roll_out(fleet)
    fleet.run(2.7)
    kill_all(fleet)
    fleet.run(2.0)
    kill_all(fleet)
    fleet.finish()
    assert not fleet.list_mixed()


@pytest.mark.parametrize("fault", [StoreFault.UNAVAILABLE, StoreFault.UNRESPONSIVE, StoreFault.RESPONSE_LOST])
def test_streams_go_on_at_another_version_as_the_store_fails_behind_the_restart_of_all_vms(fault: StoreFault) -> None:
    fleet = make_fleet()
    roll_out(fleet)
    fleet.run(2.7)
    kill_all(fleet)
    fleet.run(1.1)
    fleet.platform.store.fault = fault
    fleet.run(4.0)
    fleet.platform.store.fault = StoreFault.NONE
    fleet.finish()
    assert not fleet.list_mixed()


def test_streams_go_on_at_another_version_after_a_restore_lost_the_record_of_versions() -> None:
    fleet = make_fleet()
    backup = fleet.platform.store.make_backup()
    roll_out(fleet)
    fleet.run(DRAIN_S + 1.3)
    kill_all(fleet)
    fleet.platform.store.restore(backup)
    for number in range(ENGINES):
        fleet.platform.store.remove(f"servers/prefill-{number}")
        fleet.platform.store.remove(f"servers/decode-{number}")
        fleet.platform.list_again(f"prefill-{10 + number}")
        fleet.platform.list_again(f"decode-{10 + number}")
    fleet.finish()
    assert not fleet.list_mixed()


def play_version_that_is_gone_behind_a_restart(
    fleet: VersionFleet, prepare: Callable[[], object], age_s: float
) -> None:
    """Start engines of v2, begin streams, and kill all VMs; v2 ends while they are down.

    :param prepare: called before the engines start
    :param age_s: age of the engines as streams begin
    """
    prepare()
    add_newer_engines(fleet)
    fleet.run(age_s)
    fleet.begin_streams(STREAMS, *fleet.list_vms())
    kill_all(fleet, 0.8)
    remove_newer_engines(fleet)
    fleet.finish()


@pytest.mark.parametrize("age_s", [0.04, 0.2])
@pytest.mark.parametrize("lost", ["vm0", "vm1", "vm2"])
def test_streams_go_on_at_another_version_than_one_that_was_not_recorded_before_all_vms_were_killed(
    lost: str, age_s: float
) -> None:
    fleet = make_fleet(streams=0)
    play_version_that_is_gone_behind_a_restart(fleet, lambda: fleet.kill(lost, 5.0, resets=False), age_s)
    assert not fleet.list_mixed()


def fail_to_record_versions(monkeypatch: pytest.MonkeyPatch) -> None:
    async def fail(*_: object, **__: object) -> StoreUnavailable:
        return StoreUnavailable("it takes no writes")

    monkeypatch.setattr(PlatformStreamStore, "write_versions", fail)


def test_streams_go_on_at_another_version_than_one_that_the_store_did_not_take(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = make_fleet(streams=0)
    play_version_that_is_gone_behind_a_restart(fleet, lambda: fail_to_record_versions(monkeypatch), 3.0)
    assert not fleet.list_mixed()
    assert_most_go_on(fleet)


def test_no_stream_begins_though_a_version_serves_that_can_not_be_recorded(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = make_fleet(streams=0)
    fail_to_record_versions(monkeypatch)
    add_newer_engines(fleet)
    fleet.run(0.5)
    fleet.platform.store.fault = StoreFault.UNAVAILABLE
    for engine in fleet.list_decode_engines("v1"):
        engine.restart_time_s = 60.0
        engine.crash()
    fleet.run(1.0)
    for number in range(STREAMS):
        fleet.begin_stream(f"vm{number % 3}")
    fleet.finish()
    assert all(fleet.list_versions(one) == {"v2"} for one in fleet.streams)


@pytest.mark.parametrize("size", [3, 18])
def test_a_vm_does_not_use_a_new_version_long_after_it_was_recorded(size: int) -> None:
    fleet = make_fleet(size, streams=0)
    add_newer_engines(fleet)
    fleet.run(1.2)
    assert not [vm for vm, daemon in fleet.platform.vms.items() if daemon.core.listing.versions.count_unrecorded()]
    fleet.run(1.0)
    calls = fleet.platform.store.calls
    fleet.run(4.0)
    quiet = VersionFleet(size, versions=("v1",), engines=ENGINES)
    before = quiet.platform.store.calls
    quiet.run(4.0)
    assert fleet.platform.store.calls - calls <= quiet.platform.store.calls - before + 2


@pytest.mark.parametrize("size", [3, 9])
@pytest.mark.parametrize("age_s", [0.25, 1.2])
@pytest.mark.parametrize("alive_s", [0.2, 0.4])
def test_streams_do_not_go_on_that_began_shortly_before_all_vms_were_killed(
    size: int, age_s: float, alive_s: float
) -> None:
    fleet = make_fleet(size, streams=0)
    add_newer_engines(fleet)
    fleet.run(age_s)
    fleet.begin_streams(STREAMS, *fleet.list_vms())
    fleet.run(alive_s)
    old = [one for one in fleet.streams if fleet.list_versions(one) == {"v1"}]
    kill_all(fleet, 0.8)
    remove_newer_engines(fleet)
    fleet.finish()
    assert not fleet.list_mixed()
    assert sum(one.is_complete for one in old) >= RESUMED_SHARE * len(old)


@pytest.mark.parametrize("back_after_s", [0.5, 3.0])
def test_no_stream_goes_on_though_both_versions_serve_after_all_vms_were_killed(back_after_s: float) -> None:
    fleet = make_fleet(versions=("v1", "v2"))
    fleet.run(WRITE_INTERVAL_S)
    kill_all(fleet, back_after_s)
    fleet.finish()
    assert_most_go_on(fleet)


def test_no_stream_goes_on_after_a_restore_lost_the_open_streams() -> None:
    fleet = make_fleet(versions=("v1", "v2"), streams=2 * STREAMS)
    backup = fleet.platform.store.make_backup()
    fleet.run(WRITE_INTERVAL_S)
    fleet.platform.store.restore(backup)
    fleet.run(1.5 * WRITE_INTERVAL_S)
    kill_all(fleet)
    fleet.finish()
    assert_most_go_on(fleet)


def test_streams_of_the_only_version_wait_after_all_vms_were_killed() -> None:
    fleet = make_fleet()
    kill_all(fleet)
    fleet.finish()
    assert_most_go_on(fleet)
    lines = [line for vm in fleet.list_vms() for line in fleet.platform.journals[vm].lines]
    assert {line["found"] for line in lines if line["event"] == "origin"} == {"only_version"}


def test_a_vm_that_finds_no_record_of_versions_takes_one_for_the_only_one() -> None:
    fleet = VersionFleet(3, versions=["v1"])
    fleet.platform.store.remove("beamhatch-streams/versions")
    fleet.platform.store.restore(fleet.platform.store.make_backup())
    for number in range(6):
        fleet.platform.list_again(f"prefill-{number}")
        fleet.platform.list_again(f"decode-{number}")
    kill_all(fleet)
    fleet.run(4.0)
    headers = {"Last-Event-Id": "3", "Resumes": "q0"}
    early = fleet.platform.finish(fleet.platform.call("/resumable/x", "q1", vm="vm0", headers=headers))
    assert early.status == 503
    assert "retry-after" in early.head.lower()
    fleet.run(EXPERIENCE_S)
    late = fleet.platform.finish(fleet.platform.call("/resumable/x", "q2", vm="vm0", headers=headers))
    assert late.status == 200


def test_the_store_gets_no_open_streams_of_a_service_with_one_version() -> None:
    fleet = VersionFleet(3, versions=["v1"])
    calls = fleet.platform.store.get_newest_revision("beamhatch-streams/")
    fleet.begin_streams(STREAMS, "vm0", "vm1", "vm2")
    fleet.finish()
    assert fleet.platform.store.get_newest_revision("beamhatch-streams/") == calls


def take_one_version_for_the_only_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(VersionHistory, "is_complete", lambda self, now: True)
    monkeypatch.setattr(VersionHistory, "record_stored", lambda *_: None)


@pytest.mark.parametrize("seed", [0, 1])
def test_streams_go_on_at_another_version_as_all_vms_are_killed_among_other_disruptions(seed: int) -> None:
    spell = VersionSpell(seed, kills_all=True)
    broken = spell.play()
    assert not broken, "\n".join([*broken, *spell.lines])


def test_the_spells_see_a_vm_that_takes_one_version_for_the_only_one(monkeypatch: pytest.MonkeyPatch) -> None:
    take_one_version_for_the_only_one(monkeypatch)
    assert any(VersionSpell(seed, kills_all=True).play() for seed in range(4))
