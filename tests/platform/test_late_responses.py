"""Responses that arrive after their request has begun at an engine of another version."""

from __future__ import annotations

import pytest

from tests.support.version_fleet import VersionFleet

ENGINES = 4
STREAMS = 16

SERVED_SHARE = 0.5
"""Least share of streams that callers get whole; the budget for retries and the memory of one engine bound it."""


def make_fleet(size: int) -> VersionFleet:
    return VersionFleet(size, engines=ENGINES)


def pause(fleet: VersionFleet, version: str, phases: tuple[str, ...], seconds: float) -> None:
    """Have the engines of a version process nothing for a while, and go on with what they were asked."""
    for name, engine in fleet.platform.upstreams.items():
        if name.startswith(phases) and engine.version == version:
            engine.pause_for(seconds)


def cut_links(fleet: VersionFleet, version: str, vms: list[str]) -> None:
    """Cut some VMs from the decode engines of a version, so that their connections hang or go through peers."""
    for engine in fleet.list_decode_engines(version):
        for vm in vms:
            fleet.platform.network.cut_between(vm, engine.address.host)
            fleet.platform.network.callLater(1.5, fleet.platform.network.heal_between, vm, engine.address.host)


def crash(fleet: VersionFleet, version: str, count: int) -> None:
    """Have some decode engines of a version crash, which come back as they were."""
    for engine in fleet.list_decode_engines(version)[:count]:
        engine.crash()


def assert_kept_apart(fleet: VersionFleet) -> None:
    assert not fleet.list_mixed()
    assert sum(one.is_complete for one in fleet.streams) >= SERVED_SHARE * STREAMS


@pytest.mark.parametrize("size", [1, 3])
@pytest.mark.parametrize("phases", [("decode",), ("prefill",), ("prefill", "decode")])
@pytest.mark.parametrize("paused_s", [0.4, 1.0, 2.0])
@pytest.mark.parametrize("crashed_after_s", [0.2, 0.7])
def test_streams_go_on_at_an_engine_of_another_version_that_responds_late(
    size: int, phases: tuple[str, ...], paused_s: float, crashed_after_s: float
) -> None:
    fleet = make_fleet(size)
    pause(fleet, "v2", phases, paused_s)
    for number in range(STREAMS):
        fleet.begin_stream(f"vm{number % size}")
    fleet.run(crashed_after_s)
    crash(fleet, "v1", 1)
    fleet.finish()
    assert_kept_apart(fleet)


@pytest.mark.parametrize("began_s", [0.05, 0.3, 1.0])
@pytest.mark.parametrize("crashed", [0, 1])
def test_streams_go_on_at_an_engine_of_another_version_that_took_over_while_theirs_was_silent(
    began_s: float, crashed: int
) -> None:
    fleet = make_fleet(3)
    for number in range(STREAMS):
        fleet.begin_stream(f"vm{number % 3}")
    fleet.run(began_s)
    pause(fleet, "v1", ("decode",), 1.5)
    fleet.run(0.6)
    crash(fleet, "v2", crashed)
    fleet.finish()
    assert_kept_apart(fleet)


@pytest.mark.parametrize("vms", [["vm0"], ["vm0", "vm1"], ["vm0", "vm1", "vm2"]])
@pytest.mark.parametrize("began_s", [0.0, 0.3])
def test_streams_go_on_at_an_engine_of_another_version_that_is_reached_late(vms: list[str], began_s: float) -> None:
    fleet = make_fleet(3)
    if not began_s:
        cut_links(fleet, "v2", vms)
    for number in range(STREAMS):
        fleet.begin_stream(f"vm{number % 3}")
    fleet.run(began_s)
    if began_s:
        cut_links(fleet, "v2", vms)
    fleet.run(0.4)
    crash(fleet, "v1", 1)
    fleet.finish()
    assert_kept_apart(fleet)


@pytest.mark.parametrize("count", [1, 2])
def test_streams_go_on_at_an_engine_of_another_version_that_comes_back_cold(count: int) -> None:
    fleet = make_fleet(3)
    for engine in fleet.list_decode_engines("v2"):
        fleet.platform.turn_cold(engine.instance, 2.0)
    for number in range(STREAMS):
        fleet.begin_stream(f"vm{number % 3}")
    fleet.run(0.3)
    crash(fleet, "v1", count)
    fleet.finish()
    assert not fleet.list_mixed()
