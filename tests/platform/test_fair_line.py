"""A full line, as callers of two workspaces see it."""

from __future__ import annotations

import pytest

from beamhatch.relay.mechanism import NONE_DISABLED, DisabledMechanisms, Mechanism
from beamhatch.relay.model import ServiceName
from beamhatch.relay.topology import RegionName
from beamhatch.relay.workspaces.workspace import WorkspaceName
from tests.support.platform import MODEL, ROUTES, Caller, Platform, make_platform, make_workspace

KEYS = {"desk": "asnmgkcuyj8pjbvk9m68", "back": "k7b2ex5wa5xwyhks8nbk"}


def ask(platform: Platform, workspace: str, request: str, tokens: str = "2000,10") -> Caller:
    headers = {"Authorization": f"Bearer {KEYS[workspace]}", "Token-Count": tokens}
    return platform.call("/stream/x", request, headers=headers)


def fill_line(without: DisabledMechanisms) -> tuple[Platform, Caller]:
    """Have one workspace take all decode memory and the place in line, behind a small request of the other."""
    platform = make_platform(decode=1, without=without)
    platform.configure(2, ROUTES, [make_workspace(name, key) for name, key in KEYS.items()])
    platform.network.run(3.0)
    assert platform.finish(ask(platform, "back", "small")).status == 200
    ask(platform, "desk", "fill", "59000,60")
    platform.network.run(0.1)
    waiting = ask(platform, "desk", "waits")
    platform.network.run(0.05)
    refused = count_refused_reservations(platform)
    # While an engine is asked for memory for a request, the request keeps its place in line.
    platform.network.run_until(lambda: count_refused_reservations(platform) > refused)
    return platform, waiting


def count_refused_reservations(platform: Platform) -> int:
    return platform.journals["vm1"].list_events("waits").count("not reserved")


@pytest.mark.parametrize(("without", "displaced"), [(NONE_DISABLED, True), (frozenset({Mechanism.FAIRNESS}), False)])
def test_a_workspace_that_was_served_little_takes_the_place_in_line(
    without: DisabledMechanisms, *, displaced: bool
) -> None:
    platform, waiting = fill_line(without)
    other = ask(platform, "back", "other")
    platform.network.run(0.05)
    assert (waiting.status, other.status) == ((503, 0) if displaced else (0, 503))
    assert "retry-after" in (waiting if displaced else other).head.lower()


def test_two_requests_of_one_workspace_do_not_drive_each_other_out() -> None:
    platform, waiting = fill_line(NONE_DISABLED)
    again = ask(platform, "desk", "again")
    platform.network.run(0.05)
    assert (waiting.status, again.status) == (0, 503)


def test_lines_of_different_regions_share_what_workspaces_were_served() -> None:
    platform, _ = fill_line(NONE_DISABLED)
    core = platform.vms["vm1"].core
    line = core.memory_queues.get(ServiceName(MODEL), frozenset({RegionName("west")}))
    desk, back = WorkspaceName("desk"), WorkspaceName("back")
    assert line.scheduler.compute_lead(desk, back, platform.clock.now()) > 20_000
