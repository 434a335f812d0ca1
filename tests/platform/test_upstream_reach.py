"""VMs that lost their own links to upstreams, while callers, the store and peers still reach them."""

from __future__ import annotations

import pytest

from tests.support.configuration_fleet import CONTACT_S
from tests.support.reach_fleet import Loss, ReachFleet

LOSS_S = 12.0
"""Seconds for which the links are lost."""

FAILURES_ALLOWED = 10
"""First tries at VMs without links that may fail, whatever their number."""

FAILURE_SHARE_ALLOWED = 1 / 50
"""Share of first tries at these VMs that may fail in addition."""

SERVED_SHARE = 2 / 3
"""How often these VMs must serve first tries, as a share of how often the others do, if more than that fail."""


def keeps_bound(fleet: ReachFleet, lost: list[str], since: float, until: float) -> bool:
    """Return whether VMs without links served their callers as the platform demands."""
    others = [vm for vm in fleet.platform.vms if vm not in lost]
    served, sent = fleet.count(lost, since, until)
    served_by_others, sent_to_others = fleet.count(others, since, until)
    if sent - served <= FAILURES_ALLOWED + FAILURE_SHARE_ALLOWED * sent:
        return True
    return served * sent_to_others >= SERVED_SHARE * served_by_others * sent


def play(fleet: ReachFleet, lost: list[str], how: Loss) -> tuple[float, float]:
    """Take the links of some VMs while callers go on, and return from when to when these VMs are held to the bound."""
    fleet.run(2.0)
    began = fleet.now
    fleet.lose(lost, how)
    fleet.run(LOSS_S)
    ended = fleet.now
    fleet.heal(lost)
    fleet.run(4.0)
    fleet.finish()
    return began + CONTACT_S, ended


@pytest.mark.parametrize("how", Loss, ids=lambda how: how.value)
def test_half_of_the_vms_serve_nothing_as_they_lost_their_links_to_upstreams(how: Loss) -> None:
    fleet = ReachFleet()
    lost = ["vm0", "vm2", "vm4"]
    since, until = play(fleet, lost, how)
    assert keeps_bound(fleet, lost, since, until), (fleet.count(lost, since, until), fleet.count_statuses(lost, since))
    assert not fleet.list_run_twice()
    assert not fleet.list_falsely_refused()


@pytest.mark.parametrize("how", Loss, ids=lambda how: how.value)
def test_a_hall_serves_nothing_as_all_its_vms_lost_their_links_to_upstreams(how: Loss) -> None:
    fleet = ReachFleet(size=9)
    lost = fleet.list_hall("hall-b")
    since, until = play(fleet, lost, how)
    assert keeps_bound(fleet, lost, since, until), (fleet.count(lost, since, until), fleet.count_statuses(lost, since))
    assert not fleet.list_run_twice()
    assert not fleet.list_falsely_refused()
