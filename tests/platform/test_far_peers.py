"""What crosses halls: few bytes, and no later than what is told within a hall."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from beamhatch.relay.engines.changing import PhaseChangeUpdate
from beamhatch.relay.model import Phase, ServiceName, UpstreamId
from beamhatch.relay.topology import RegionName, Topology
from beamhatch.relay.workspaces.workspace import WorkspaceName
from tests.support.platform import MODEL, PLAIN, ROUTES, Platform, make_route, make_workspace

if TYPE_CHECKING:
    from beamhatch.relay.daemon import Daemon

KEY = "k" * 32
HALLS = [f"hall-{number}" for number in range(6)]
REGION_OF = {hall: RegionName(f"region-{number // 2}") for number, hall in enumerate(HALLS)}
REGION_DELAY = 0.012

MOST_IDLE_BYTES = 669
"""A VM and second: a quarter of the 2,676 that were told while all peers were told everything (this fleet, counted)."""

MOST_START_BYTES = 12_800
"""A VM in its first 16 s: a third of what it was then (38,617; a fleet of 30)."""

MOST_HEAL_BYTES = 200_000
"""Of the whole fleet while a cut hall of four VMs comes back: 120,000 were counted, and 310,000 before."""


def make_fleet(vms: int, halls: int = 6) -> Platform:
    """Return a platform of several halls whose VMs know each other; connections are known by who dialled."""
    platform = Platform(places=Topology(REGION_OF), names_hosts=True)
    hall_of = {f"vm{number}": HALLS[number % halls] for number in range(vms)}

    def find_delay(here: str, there: str) -> float:
        near = REGION_OF.get(hall_of.get(here, "")) == REGION_OF.get(hall_of.get(there, ""))
        return 0.001 if near else REGION_DELAY

    platform.network.find_delay = find_delay
    platform.configure(1, None, [make_workspace("desk", KEY, rate=100_000, burst=100_000)])
    for number in range(6):
        platform.halls[f"engine-{number}"] = HALLS[number % halls]
        platform.add_engine(f"engine-{number}", "prefill" if number % 2 else "decode")
        platform.add_plain(f"plain-{number}")
    for name, hall in hall_of.items():
        platform.add_vm(name, ["vm0:8002", "vm1:8002"], hall)
    platform.network.run(16.0)
    return platform


def list_hall(platform: Platform, hall: str) -> list[str]:
    return [name for name, vm in platform.vms.items() if vm.settings.hall == hall]


def count_across(platform: Platform) -> int:
    """Return the bytes that VMs told VMs of other halls."""
    return sum(
        value
        for vm in platform.vms.values()
        for (name, label), value in vm.tally.counts.items()
        if name == "peer_bytes_total" and not label.endswith("same_hall")
    )


def count_adding(platform: Platform) -> int:
    return sum(vm._gossip.membership.is_watcher() for vm in platform.vms.values() if vm._gossip is not None)


def kill(platform: Platform, names: list[str]) -> None:
    """Cut VMs off for good; nobody is told."""
    for name in names:
        platform.network.cut(name)
        del platform.vms[name]


def count_heard(vm: Daemon) -> int:
    """Return how many VMs the usage of quotas covers that a VM knows."""
    return vm._usage_gossip.tracker.compute_fleet_usage(vm.clock.now()).vms


def know_version(platform: Platform, version: int) -> bool:
    return all(vm.core.version == version for vm in platform.vms.values())


def test_a_fleet_where_nothing_changes_sends_few_bytes_across_halls() -> None:
    platform = make_fleet(24)
    before = count_across(platform)
    platform.network.run(10.0)
    assert (count_across(platform) - before) / 24 / 10.0 < MOST_IDLE_BYTES


def test_usage_is_known_over_all_halls() -> None:
    platform = make_fleet(24)
    platform.network.run(2.0)
    assert {count_heard(vm) for vm in platform.vms.values()} == {24}


def test_what_a_workspace_asks_in_one_hall_is_known_in_all_within_a_second() -> None:
    platform = make_fleet(24)
    asking = platform.vms[list_hall(platform, HALLS[2])[-1]]
    asking._usage_gossip.tracker.local.record_requested(WorkspaceName("desk"), 100_000, asking.clock.now())
    knowing = platform.vms.values()

    def is_known() -> bool:
        fleets = [vm._usage_gossip.tracker.compute_fleet_usage(vm.clock.now()) for vm in knowing]
        return all(WorkspaceName("desk") in fleet.rates for fleet in fleets)

    platform.network.run_until(is_known, 1.0)


def test_usage_of_a_hall_is_known_again_soon_after_those_that_add_up_died() -> None:
    platform = make_fleet(24)
    adding = [name for name in list_hall(platform, HALLS[1]) if platform.vms[name]._gossip.membership.is_watcher()]  # type: ignore[union-attr]
    assert len(adding) == 2
    kill(platform, adding)
    platform.network.run_until(lambda: {count_heard(vm) for vm in platform.vms.values()} == {22}, 5.0)


@pytest.mark.parametrize("hall", [0, 3])
def test_a_cut_hall_goes_on_and_comes_back_without_a_storm_or_a_step_back(hall: int) -> None:
    platform = make_fleet(24)
    cut = list_hall(platform, HALLS[hall])
    for name in cut:
        platform.network.cut(name)
    platform.network.run(6.0)
    platform.configure(2, [*ROUTES, make_route("/new/", "safe", PLAIN)])
    platform.network.run(3.0)
    assert all(vm.core.version == (1 if name in cut else 2) for name, vm in platform.vms.items())
    for name in cut:
        platform.network.heal(name)
    before = count_across(platform)
    platform.network.run_until(lambda: know_version(platform, 2), 6.0)
    platform.network.run(1.0)
    assert count_across(platform) - before < MOST_HEAL_BYTES
    platform.network.run(20.0)
    assert {vm.core.vm_count for vm in platform.vms.values()} == {24}
    assert know_version(platform, 2)
    assert count_adding(platform) == 12


def test_a_vm_whose_whole_hall_is_dead_learns_from_other_halls() -> None:
    platform = make_fleet(24)
    *dead, left = list_hall(platform, HALLS[4])
    kill(platform, dead)
    platform.network.run(4.0)
    platform.configure(2, [*ROUTES, make_route("/new/", "safe", PLAIN)])
    platform.network.run(0.5)
    assert platform.vms[left].core.version == 2
    assert platform.vms[left]._gossip.has_peers()  # type: ignore[union-attr]


def test_faults_changes_and_demand_cross_halls_at_once() -> None:
    platform = make_fleet(12)
    teller = platform.vms["vm3"]
    gossip = teller._gossip
    assert gossip is not None
    far = [one for one in gossip.list_connections() if one.hall != teller.settings.hall]
    assert far
    for _ in range(6):
        teller.core.stats.get(UpstreamId("plain-1")).record_failure(teller.clock.now())
    teller.core.get_demand(ServiceName(MODEL)).record_prompt(5000, 70, teller.clock.now())
    teller.core.apply_phase_change(UpstreamId("engine-0"), PhaseChangeUpdate(Phase.PREFILL, 5.0, True), "test")
    teller.core.on_change()
    platform.network.run(0.1)
    for connection in far:
        hearer = platform.vms[connection.vm]
        now = hearer.clock.now()
        assert hearer.core.stats.get(UpstreamId("plain-1")).get_failure_rate(now) > 0.5
        assert hearer.core.phase_changes.is_pending(UpstreamId("engine-0"), now)
        assert hearer._gossip is not None
        reports = [told.get(ServiceName(MODEL)) for told in hearer._gossip._fleet_demand.list_values(now)]
        assert any(report is not None and report.prompt_rate > 0 for report in reports)


def test_demand_that_does_not_change_stays_known_across_halls() -> None:
    platform = make_fleet(12)
    for vm in platform.vms.values():
        vm.core.get_demand(ServiceName(MODEL)).record_prompt(5000, 70, vm.clock.now())
    platform.network.run(8.0)
    for vm in platform.vms.values():
        assert vm._gossip is not None
        heard = [told for told in vm._gossip._fleet_demand.list_values(vm.clock.now()) if ServiceName(MODEL) in told]
        assert len(heard) == len({connection.vm for connection in vm._gossip.list_connections()})


@pytest.mark.parametrize("dead", [2, 4, 6])
def test_news_are_known_at_once_though_watchers_have_just_died(dead: int) -> None:
    platform = make_fleet(36)
    kill(
        platform,
        [name for name, vm in platform.vms.items() if vm._gossip is not None and vm._gossip.should_watch_store()][
            :dead
        ],
    )
    platform.configure(2, [*ROUTES, make_route("/new/", "safe", PLAIN)])
    platform.store.put(f"op/evacuate/{HALLS[0]}", {})
    platform.drain("plain-5")
    platform.network.run(0.5)
    assert know_version(platform, 2)
    for vm in platform.vms.values():
        assert vm.core.eligibility.evacuations.is_evacuated(HALLS[0])
        assert all(one.id != "plain-5" for one in vm.core.list_usable(ServiceName(PLAIN)))


def test_vms_of_other_halls_are_not_forgotten_though_few_are_mentioned_again() -> None:
    platform = make_fleet(18)
    for _ in range(9):
        platform.network.run(10.0)
        assert {vm.core.vm_count for vm in platform.vms.values()} == {18}


def test_a_fleet_that_starts_knows_all_its_vms_soon() -> None:
    platform = Platform(places=Topology(REGION_OF), names_hosts=True)
    platform.configure(1)
    platform.add_plain("plain-0")
    for number in range(30):
        platform.add_vm(f"vm{number}", ["vm0:8002", "vm1:8002"], HALLS[number % 6])
    platform.network.run_until(lambda: {vm.core.vm_count for vm in platform.vms.values()} == {30}, 1.1)
    platform.network.run(15.0)
    assert count_across(platform) / 30 < MOST_START_BYTES
