"""Many VMs: what they cost the store and each other, and how fast they learn."""

from __future__ import annotations

import itertools

import pytest

from beamhatch.platform.standin.store import StoreFault
from tests.support.platform import PLAIN, ROUTES, Platform, make_platform, make_route

NEW_ROUTE = make_route("/new/", "safe", PLAIN)
HALLS = ["hall-a", "hall-b", "hall-c"]
QUIET_WATCHES_PER_S = 6 * 2 / 1.0
"""Two watches of each of six VMs, which the store ends after half of the 2 s in which a change has to be known."""


def make_fleet(vms: int) -> Platform:
    """Return a platform with many VMs in three halls that know each other."""
    platform = make_platform()
    for number in range(2, vms + 1):
        platform.add_vm(f"vm{number}", ["vm1:8002"], HALLS[number % 3])
    platform.network.run_until(lambda: all(vm.core.ready for vm in platform.vms.values()))
    platform.network.run(12.0)
    return platform


def count_connections(platform: Platform) -> list[int]:
    return [len(vm._gossip._connections) for vm in platform.vms.values() if vm._gossip is not None]


def count_priced_calls(platform: Platform, seconds: float) -> float:
    store = platform.store
    before = store.calls - 0.9 * store.renewals
    platform.network.run(seconds)
    return store.calls - 0.9 * store.renewals - before


def know_version(platform: Platform, version: int) -> bool:
    return all(vm.core.table is not None and vm.core.table.version == version for vm in platform.vms.values())


def test_all_know_each_other_by_few_connections() -> None:
    platform = make_fleet(24)
    assert {vm.core.vm_count for vm in platform.vms.values()} == {24}
    counts = count_connections(platform)
    assert sum(counts) / len(counts) <= 8.5


def test_the_calls_to_the_store_do_not_grow_with_the_fleet() -> None:
    small, large = (count_priced_calls(make_fleet(vms), 60.0) for vms in (9, 30))
    assert large <= small + 12


def test_changes_of_the_list_cost_calls_of_the_watchers_only() -> None:
    platform = make_fleet(24)
    before, quiet = platform.store.calls, platform.store.quiet_watches
    for number in range(10):
        platform.add_plain(f"late-{number}")
        platform.network.run(1.0)
    quiet = platform.store.quiet_watches - quiet
    assert quiet <= QUIET_WATCHES_PER_S * 10
    assert platform.store.calls - before - quiet <= 10 * 6 + 40
    names = {one.id for vm in platform.vms.values() for one in vm.core.list_usable(ROUTES[0]["service"])}  # type: ignore[arg-type]
    assert len(names) == 12


def test_a_configuration_is_in_force_on_all_at_once() -> None:
    platform = make_fleet(24)
    platform.configure(2, [*ROUTES, NEW_ROUTE])
    platform.network.run(0.2)
    assert know_version(platform, 2)


@pytest.mark.parametrize("dead", [1, 2, 4])
def test_a_configuration_is_in_force_soon_though_watchers_have_just_died(dead: int) -> None:
    platform = make_fleet(18)
    watchers = [name for name, vm in platform.vms.items() if vm._gossip is not None and vm._gossip.should_watch_store()]
    assert len(watchers) == 6
    for name in watchers[:dead]:
        platform.network.cut(name)
        del platform.vms[name]
    platform.configure(2, [*ROUTES, NEW_ROUTE])
    platform.network.run(0.5)
    assert know_version(platform, 2)


def test_others_watch_where_all_watchers_are_gone() -> None:
    platform = make_fleet(12)
    for name in [
        name for name, vm in platform.vms.items() if vm._gossip is not None and vm._gossip.should_watch_store()
    ]:
        platform.network.cut(name)
        del platform.vms[name]
    platform.configure(2, [*ROUTES, NEW_ROUTE])
    platform.network.run_until(lambda: know_version(platform, 2), 6.0)


def test_watches_that_a_silent_store_swallowed_are_made_anew_once_it_is_back() -> None:
    platform = make_fleet(6)
    platform.store.fault = StoreFault.UNRESPONSIVE
    platform.store.abort_connections()
    platform.network.run(6.0)
    platform.store.fault = StoreFault.NONE
    platform.network.run(4.0)
    platform.configure(2, [*ROUTES, NEW_ROUTE])
    platform.network.run(1.0)
    assert know_version(platform, 2)


def test_a_vm_that_starts_asks_its_peers_and_not_the_store() -> None:
    platform = make_fleet(18)
    platform.store.fault = StoreFault.UNAVAILABLE
    before = platform.store.calls
    platform.add_vm("late", ["vm1:8002", "vm2:8002"], "hall-b")
    platform.network.run_until(lambda: platform.vms["late"].core.ready, 1.0)
    assert platform.store.calls == before


def test_connections_that_go_silent_for_good_are_noticed_within_seconds() -> None:
    platform = make_fleet(9)
    platform.network.silence_connections()
    platform.network.run(3.0)
    platform.configure(2, [*ROUTES, NEW_ROUTE])
    platform.network.run(1.5)
    assert know_version(platform, 2)
    assert {vm.core.vm_count for vm in platform.vms.values()} == {9}


def test_requests_are_served_though_connections_to_upstreams_went_silent() -> None:
    platform = make_platform()
    for number in range(4):
        platform.finish(platform.call("/unsafe/x", f"w{number}", body=b"x"))
        platform.finish(platform.call("/stream/x", f"s{number}"))
    platform.network.silence_connections()
    platform.network.run(3.1)
    assert platform.finish(platform.call("/unsafe/x", "q1", body=b"x"), 1.0).status == 200
    assert platform.finish(platform.call("/stream/x", "q2"), 3.0).status == 200


def start_together(platform: Platform, vms: int) -> None:
    """Start VMs of three halls at the same moment, the first three of which are the seeds of all."""
    seeds = [f"new{number}:8002" for number in range(3)]
    for number in range(vms):
        platform.add_vm(f"new{number}", seeds, HALLS[number % 3])


def test_a_fleet_that_starts_before_the_configuration_is_there_asks_the_store_rarely() -> None:
    platform = Platform()
    platform.add_plain("plain-0")
    start_together(platform, 30)
    platform.network.run(6.0)
    assert platform.store.quiet_watches <= QUIET_WATCHES_PER_S * 6.0
    assert platform.store.calls - platform.store.quiet_watches <= 60
    platform.configure(1)
    platform.network.run(0.3)
    assert know_version(platform, 1)
    assert all(vm.core.ready for vm in platform.vms.values())


def test_a_fleet_that_starts_anew_is_ready_soon_and_asks_the_store_rarely() -> None:
    platform = Platform()
    platform.add_plain("plain-0")
    platform.configure(1)
    start_together(platform, 30)
    platform.network.run(0.6)
    assert all(vm.core.ready for vm in platform.vms.values())
    platform.network.run(3.0)
    assert platform.store.quiet_watches <= QUIET_WATCHES_PER_S * 3.6
    assert platform.store.calls - platform.store.quiet_watches <= 45


@pytest.mark.parametrize("after", [0.1, 0.9, 1.1])
def test_a_change_while_a_fleet_starts_is_in_force_soon(after: float) -> None:
    platform = Platform()
    platform.add_plain("plain-0")
    platform.configure(1)
    start_together(platform, 9)
    platform.network.run(after)
    platform.configure(2)
    platform.network.run(1.3)
    assert know_version(platform, 2)


def test_a_vm_whose_seeds_are_down_asks_the_store_itself() -> None:
    platform = make_platform()
    platform.add_vm("alone", ["gone1:8002", "gone2:8002"], "hall-b")
    platform.network.run(0.7)
    assert platform.vms["alone"].core.ready
    platform.configure(2)
    platform.network.run(1.0)
    assert platform.vms["alone"].core.version == 2


def test_islands_find_each_other_once_a_seed_comes_up() -> None:
    platform = make_platform()
    for number in itertools.islice(itertools.count(2), 4):
        platform.add_vm(f"vm{number}", ["late:8002"])
    platform.network.run(10.0)
    assert {vm.core.vm_count for vm in platform.vms.values()} == {1}
    platform.add_vm("late", ["vm1:8002"])
    platform.network.run_until(lambda: {vm.core.vm_count for vm in platform.vms.values()} == {6}, 60.0)


def test_peers_that_went_silent_are_dialled_half_a_second_late() -> None:
    platform = make_fleet(3)
    platform.network.silence_connections()
    alone = 0
    for _ in range(300):
        platform.network.run(0.01)
        alone += sum(vm._gossip is not None and not vm._gossip.has_peers() for vm in platform.vms.values())
    assert alone * 0.01 <= 3 * 0.1


def test_vms_that_stand_still_count_as_alive_as_their_kernels_take_connections() -> None:
    platform = Platform(names_hosts=True)
    platform.configure(1)
    platform.add_plain("plain-0")
    for number in range(8):
        platform.add_vm(f"vm{number}", ["vm0:8002", "vm1:8002"], HALLS[number % 2])
    platform.network.run(12.0)
    hall = {name: vm._gossip for name, vm in platform.vms.items() if vm.settings.hall == HALLS[0]}
    watchers = {name for name, gossip in hall.items() if gossip is not None and gossip.should_watch_store()}
    assert len(watchers) == 2
    for name in watchers:
        platform.network.freeze(name)
    platform.network.run(3.0)
    watching = []
    for _ in range(80):
        platform.network.run(0.1)
        others = [gossip for name, gossip in hall.items() if name not in watchers]
        watching.append(sum(gossip is not None and gossip.should_watch_store() for gossip in others))
    assert watching == [2] * 80
