"""Tests of quotas in simulated fleets: no window exceeds its bound, and nothing is refused below the quota."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import pytest

from beamhatch.relay.workspaces.quota import STEADY_RATE_SHARE, DemandAllocator, EqualAllocator, QuotaTerms
from beamhatch.relay.workspaces.usage import FleetUsage, Rates, UsageTracker
from tests.support.quota_fleet import Fleet, make_workspace

if TYPE_CHECKING:
    from beamhatch.relay.workspaces.workspace import Workspace

TYPICAL_LOAD = 0.55
"""Typical demand of a workspace as a share of its rate."""

SIZES = [1, 8, 78, 195]

REPEATED_SURGE_SEEDS = [197, 269, 303]
"""Seeds that produce a second surge within the window of the first."""

SURGE_AND_PARTITION_SEEDS = [615, 1044, 1297]
"""Seeds in which a surge coincides with a partition, before VMs detect it."""


class PresetTracker(UsageTracker):
    """A tracker that returns a preset usage."""

    fleet = FleetUsage(1, {})

    def compute_fleet_usage(self, now: float) -> FleetUsage:
        """Return the preset usage."""
        return self.fleet


def make_usage(workspace: Workspace, vms: int, requested: float) -> FleetUsage:
    return FleetUsage(vms, {workspace.name: Rates(round(requested), round(requested))})


def compute_granted_share(fleet: Fleet) -> float:
    return sum(units for _, units in fleet.granted) / sum(units for _, units in fleet.requested)


@pytest.mark.parametrize("vms", SIZES)
@pytest.mark.parametrize("burst", [1.0, 1.7])
def test_nothing_is_refused_below_the_quota(vms: int, burst: float) -> None:
    fleet = Fleet(vms)
    fleet.run(6.0, burst * TYPICAL_LOAD * fleet.quota.rate)
    assert compute_granted_share(fleet) == 1.0


def test_nothing_is_refused_if_all_callers_are_at_few_vms() -> None:
    fleet = Fleet(78)
    fleet.run(6.0, TYPICAL_LOAD * fleet.quota.rate, fleet.vms[:3])
    assert compute_granted_share(fleet) == 1.0


@pytest.mark.parametrize("vms", SIZES)
@pytest.mark.parametrize("times", [2.0, 3.3, 4.4])
def test_a_hot_workspace_gets_its_quota_and_no_more(vms: int, times: float) -> None:
    fleet = Fleet(vms)
    fleet.run(4.0, TYPICAL_LOAD * fleet.quota.rate)
    count_before = len(fleet.granted)
    fleet.run(12.0, times * fleet.quota.rate)
    assert fleet.compute_worst_window() <= 1.0
    granted = sum(units for _, units in fleet.granted[count_before:])
    assert granted >= 12.0 * fleet.quota.rate


def test_a_workspace_that_is_hot_in_one_hall_gets_its_quota_there() -> None:
    fleet = Fleet(78)
    there = [vm for vm in fleet.vms if vm.hall == "hall-1"]
    fleet.run(4.0, TYPICAL_LOAD * fleet.quota.rate)
    count_before = len(fleet.granted)
    fleet.run(12.0, 3.3 * fleet.quota.rate, there)
    assert fleet.compute_worst_window() <= 1.0
    assert sum(units for _, units in fleet.granted[count_before:]) >= 12.0 * fleet.quota.rate


def test_callers_are_treated_alike_in_all_halls() -> None:
    fleet = Fleet(78)
    fleet.run(3.0, 3 * fleet.quota.rate)
    requested: Counter[str] = Counter()
    granted: Counter[str] = Counter()
    for _ in range(20):
        for vm in fleet.vms:
            if fleet.random.random() < 0.8:
                requested[vm.hall] += 1
                granted[vm.hall] += fleet.send_request(vm, 3000)
        fleet.run(0.25)
    shares = [granted[hall] / requested[hall] for hall in ("hall-0", "hall-1", "hall-2")]
    assert max(shares) < 0.5
    assert max(shares) - min(shares) < 0.1


def test_a_partitioned_hall_keeps_to_its_part() -> None:
    fleet = Fleet(78)
    fleet.run(4.0, TYPICAL_LOAD * fleet.quota.rate)
    fleet.cut([vm for vm in fleet.vms if vm.hall == "hall-1"])
    fleet.run(12.0, 3.3 * fleet.quota.rate)
    assert fleet.compute_worst_window() <= 1.0


def test_a_partitioned_hall_grants_typical_load() -> None:
    fleet = Fleet(78)
    fleet.cut([vm for vm in fleet.vms if vm.hall == "hall-1"])
    fleet.run(8.0, TYPICAL_LOAD * fleet.quota.rate)
    assert compute_granted_share(fleet) > 0.995


@pytest.mark.parametrize("vms", [3, 5])
def test_the_only_vm_of_a_hall_can_use_the_quota(vms: int) -> None:
    fleet = Fleet(vms)
    fleet.run(4.0, TYPICAL_LOAD * fleet.quota.rate, [vm for vm in fleet.vms if vm.hall == "hall-2"])
    assert compute_granted_share(fleet) == 1.0


def test_changed_terms_apply_to_the_equal_part() -> None:
    fleet = Fleet(2)
    fleet.cut(fleet.vms, apart=True)
    fleet.run(4.0)
    allocator = fleet.vms[0].allocator
    assert allocator is not None
    allocator.set_terms(QuotaTerms(8.0, 0.1, 100_000_000))
    assert all(fleet.send_request(fleet.vms[0], 100_000) for _ in range(10))


@pytest.mark.parametrize("share", [0.35, 1.0])
def test_isolated_vms_keep_to_their_part(share: float) -> None:
    fleet = Fleet(78)
    fleet.run(4.0, TYPICAL_LOAD * fleet.quota.rate)
    fleet.cut(fleet.vms[: int(share * 78)], apart=True)
    fleet.run(12.0, 3.3 * fleet.quota.rate)
    assert fleet.compute_worst_window() <= 1.0


@pytest.mark.parametrize("share", [0.55, 1.0])
def test_restarts_do_not_exceed_the_window_bound(share: float) -> None:
    fleet = Fleet(78)
    fleet.run(10.0, 3.3 * fleet.quota.rate)
    fleet.restart(fleet.vms[: int(share * 78)])
    fleet.run(8.0, 3.3 * fleet.quota.rate)
    assert fleet.compute_worst_window() <= 1.0


def test_restarted_vms_grant_no_more_than_the_steady_rate() -> None:
    """Restarted VMs must not start with a full burst."""
    fleet = Fleet(24)
    fleet.run(10.0, 3.3 * fleet.quota.rate)
    fleet.restart(fleet.vms)
    count_before = len(fleet.granted)
    fleet.run(0.2, 4.0 * fleet.quota.rate)
    assert sum(units for _, units in fleet.granted[count_before:]) <= 0.2 * 1.3 * fleet.quota.rate


def test_an_excess_is_still_compensated_after_a_partition() -> None:
    workspace = make_workspace(160_000, 160_000)
    terms = QuotaTerms(8.0, 0.1, 190_000)
    assert workspace.quota is not None
    steady_rate = terms.compute_steady_rate(workspace.quota, STEADY_RATE_SHARE)
    tracker = PresetTracker("vm0", "hall-0")
    allocator = DemandAllocator(tracker, lambda: 24, terms)
    for at, vms, requested in [
        (100.0, 24, 4 * steady_rate),
        (101.0, 24, 4 * steady_rate),
        (101.1, 1, 0.0),
        (102.1, 1, 0.0),
    ]:
        tracker.fleet = make_usage(workspace, vms, requested)
        allocator.update((workspace,), at)
    for at in (102.2, 103.2):
        tracker.fleet = make_usage(workspace, 24, 0.5 * steady_rate)
        allocator.update((workspace,), at)
    assert allocator.is_partly_used(workspace.name)


def test_a_lowered_quota_is_enforced_one_window_later() -> None:
    fleet = Fleet(78)
    fleet.run(4.0, TYPICAL_LOAD * fleet.quota.rate)
    fleet.change_quota(32_000, 32_000)
    fleet.run(8.0, TYPICAL_LOAD * 160_000)
    fleet.granted.clear()
    fleet.run(16.0, TYPICAL_LOAD * 160_000)
    assert fleet.compute_worst_window() <= 1.0
    assert sum(units for _, units in fleet.granted) >= 0.9 * 16 * 32_000


def test_refunded_units_can_be_acquired_again() -> None:
    fleet = Fleet(8)
    refused = 0
    for _ in range(100):
        for vm in fleet.vms:
            assert vm.allocator is not None
            if fleet.send_request(vm, 3000):
                vm.allocator.refund(fleet.workspace.name, 3000, fleet.clock.seconds())
            else:
                refused += 1
        fleet.run(0.1)
    assert refused == 0


def test_the_retry_delay_of_a_refused_caller_is_within_the_window() -> None:
    fleet = Fleet(8)
    fleet.run(6.0, 5 * fleet.quota.rate)
    vm = fleet.vms[0]
    assert vm.allocator is not None
    waits = [vm.allocator.acquire(fleet.workspace, 3000, fleet.clock.seconds()) for _ in range(20)]
    delays = [wait for wait in waits if wait is not None]
    assert delays
    assert all(0.1 < wait < fleet.terms.window for wait in delays)


@pytest.mark.parametrize("seed", [*range(50), *REPEATED_SURGE_SEEDS])
def test_no_window_exceeds_its_bound_after_random_events(seed: int) -> None:
    assert run_random_events(seed).compute_worst_window() <= 1.0


@pytest.mark.parametrize("seed", SURGE_AND_PARTITION_SEEDS)
def test_no_window_is_over_where_a_surge_comes_with_a_cut(seed: int) -> None:
    """VMs must not overspend on outdated usage before they detect a partition."""
    assert run_random_events(seed).compute_worst_window() <= 1.0


def run_random_events(seed: int) -> Fleet:
    """Return a fleet after random partitions, restarts and changes of demand."""
    fleet = Fleet(24, seed=seed)
    draw = fleet.random
    for _ in range(6):
        match draw.randrange(4):
            case 0:
                fleet.cut(draw.sample(fleet.vms, draw.randrange(1, 24)), apart=True)
            case 1:
                fleet.cut([vm for vm in fleet.vms if vm.hall == "hall-2"])
            case 2:
                fleet.restart(draw.sample(fleet.vms, draw.randrange(1, 24)))
            case _:
                fleet.cut([])
        fleet.run(draw.uniform(0.5, 4.0), draw.choice([0.55, 1.0, 2.0, 4.0]) * fleet.quota.rate)
    return fleet


def test_equal_parts_refuse_typical_load_that_allocation_by_demand_grants() -> None:
    """Equal parts refuse requests of a workspace below its quota; allocation by demand must not."""
    shares = {}
    for kind in (EqualAllocator, DemandAllocator):
        fleet = Fleet(78, kind=kind, terms=QuotaTerms(8.0, 0.1, 0.0))
        fleet.run(16.0, TYPICAL_LOAD * fleet.quota.rate, fleet.vms[:60])
        shares[kind] = compute_granted_share(fleet)
    assert shares[DemandAllocator] == 1.0
    assert shares[EqualAllocator] < 1.0


def test_few_messages_are_sent_if_no_workspace_is_near_its_quota() -> None:
    """Idle VMs must send only their own rates, and those only to the aggregators of their hall."""
    fleet = Fleet(78)
    fleet.sent = 0
    fleet.run(10.0, 0.3 * fleet.quota.rate)
    assert fleet.sent / 78 / 10.0 < 27


@pytest.mark.parametrize("vms", [8, 24])
def test_a_vm_that_was_alone_refuses_nothing_below_the_quota(vms: int) -> None:
    """A VM that was isolated must not compensate more than its share of an excess once it reconnects."""
    fleet = Fleet(vms, seed=0)
    fleet.run(4.0, 0.5 * fleet.quota.rate)
    fleet.run(1.5, 4.0 * fleet.quota.rate)
    fleet.cut(fleet.vms[:1], apart=True)
    fleet.run(2.0, 0.5 * fleet.quota.rate)
    requested, granted = len(fleet.requested), len(fleet.granted)
    fleet.cut([])
    fleet.run(5.0, 0.5 * fleet.quota.rate)
    assert len(fleet.granted) - granted == len(fleet.requested) - requested
