"""One part of a prompt crashes every engine that begins to write on it, and no two requests with it are alike."""

from __future__ import annotations

from functools import partial

import pytest

from beamhatch.relay.model import Fingerprint, ServiceName
from beamhatch.relay.quarantine.digests import RequestDigests, split_combination
from tests.support.configuration_fleet import CONTACT_S
from tests.support.part_fleet import MAX_MORE_SENDS, MIN_BEGUN_SHARE, Deadly, PartFleet
from tests.support.platform import MODEL

QUIET_S = 4.0
"""Seconds of sound requests only, before the first deadly one."""


def check(fleet: PartFleet, part: str = "dead") -> None:
    """Check that the part reaches no more engines than allowed, and that no sound request is held for it."""
    assert fleet.count_late_sends(part) <= MAX_MORE_SENDS
    crashes = [crash.at for crash in fleet.platform.ledger.crashes if crash.part == part]
    since = sorted(crashes)[:5][-1] + 2 * CONTACT_S
    before = fleet.compute_begun_share(0.0, min(crashes))
    assert fleet.compute_begun_share(since, fleet.now - 2.0) >= MIN_BEGUN_SHARE * before
    assert fleet.count_held(since) == 0


@pytest.mark.parametrize("size", [3, 9])
@pytest.mark.parametrize(
    "deadly",
    [
        pytest.param(Deadly(position=1), id="second"),
        pytest.param(Deadly(position=3), id="last but one"),
        pytest.param(Deadly(position=0), id="first"),
        pytest.param(Deadly(count=5, interval_s=2.0), id="five at once"),
        pytest.param(Deadly(count=5, interval_s=4.0), id="five at once, seldom"),
        pytest.param(Deadly(interval_s=2.5), id="seldom"),
        pytest.param(Deadly(path="/stream/"), id="not resumable"),
        pytest.param(Deadly(others=5, position=4), id="seven parts"),
        pytest.param(Deadly(first_parts=("f0",)), id="one first part"),
        pytest.param(Deadly(companions=("c1",)), id="with a part that stands beside it always"),
    ],
)
def test_requests_with_a_part_that_crashes_engines_are_kept_from_the_rest(deadly: Deadly, size: int) -> None:
    fleet = PartFleet(size)
    fleet.run(QUIET_S)
    fleet.run(24.0, deadly)
    check(fleet)


def test_it_is_kept_away_though_engines_crash_before_the_head_of_the_answer() -> None:
    fleet = PartFleet()
    for engine in fleet.list_engines():
        engine.responds_before_crash = False
    fleet.run(QUIET_S)
    fleet.run(20.0, Deadly())
    check(fleet)


def test_it_is_kept_away_though_all_share_the_other_parts() -> None:
    fleet = PartFleet(others=("01", "02", "03"))
    fleet.run(QUIET_S)
    fleet.run(20.0, Deadly(first_parts=("f0",)))
    check(fleet)


def test_two_parts_in_turn_are_both_kept_away() -> None:
    fleet = PartFleet()
    fleet.run(QUIET_S)
    fleet.run(24.0, Deadly(interval_s=1.0), Deadly("fatal", interval_s=1.0, position=2))
    check(fleet)
    check(fleet, "fatal")


def test_it_is_kept_away_beside_a_request_that_crashes_engines_by_itself() -> None:
    fleet = PartFleet()
    fleet.platform.ledger.crash_inducing.add("/resumable/alone")
    fleet.run(QUIET_S)

    def ask_alone() -> None:
        vm = fleet.rng.choice(list(fleet.platform.vms))
        prompt = {"Token-Count": "1000,30", "Prompt-Prefix": "f0:100,01:100,mine:800"}
        fleet.platform.call("/resumable/alone", f"{fleet.rng.randrange(2**63):016x}", vm=vm, headers=prompt)

    fleet.run(20.0, Deadly(), events=[(0.25 + 0.5 * number, ask_alone) for number in range(36)])
    check(fleet)
    alone = sorted(crash.at for crash in fleet.platform.ledger.crashes if crash.target == "/resumable/alone")
    late = [at for at, target in fleet.platform.ledger.sends if target == "/resumable/alone"]
    assert len(alone) >= 3
    assert sum(at > alone[2] + CONTACT_S for at in late) <= MAX_MORE_SENDS


def test_a_part_that_was_sound_for_a_while_is_kept_away_once_it_crashes_engines() -> None:
    fleet = PartFleet(crash_inducing=())
    deadly = Deadly()
    fleet.run(QUIET_S + 8.0, deadly)
    assert not fleet.platform.ledger.crashes
    fleet.platform.ledger.crash_inducing_parts["dead"] = None
    fleet.run(24.0, deadly)
    check(fleet)


def test_a_part_that_crashes_one_version_only_is_kept_away() -> None:
    fleet = PartFleet(versions=("v1", "v2"), crash_inducing=())
    fleet.platform.ledger.crash_inducing_parts["dead"] = "v2"
    fleet.run(QUIET_S)
    fleet.run(24.0, Deadly())
    check(fleet)


def test_it_is_kept_away_while_the_store_is_cut_off() -> None:
    fleet = PartFleet()
    fleet.run(QUIET_S)
    network = fleet.platform.network
    fleet.run(20.0, Deadly(), events=[(1.0, lambda: network.cut("store")), (13.0, lambda: network.heal("store"))])
    check(fleet)


def test_it_is_kept_away_by_vms_that_are_killed_in_turn() -> None:
    fleet = PartFleet()
    fleet.run(QUIET_S)
    kills = [(4.0 + 2.0 * number, partial(fleet.kill_vm, f"vm{number % 3}")) for number in range(8)]
    fleet.run(24.0, Deadly(), events=kills)
    assert fleet.count_late_sends() <= MAX_MORE_SENDS


def test_it_is_kept_away_by_vms_that_all_restart_at_once() -> None:
    fleet = PartFleet()
    fleet.run(QUIET_S)
    fleet.run(6.0, Deadly())

    def restart_all() -> None:
        for vm in list(fleet.platform.vms):
            fleet.kill_vm(vm)

    restart_all()
    fleet.platform.network.run(CONTACT_S)
    before = len(fleet.platform.ledger.part_sends)
    fleet.run(14.0, Deadly())
    assert len(fleet.platform.ledger.part_sends) - before <= MAX_MORE_SENDS


def test_it_is_kept_away_by_a_hall_that_is_cut_off_from_the_others() -> None:
    fleet = PartFleet(9)
    fleet.run(QUIET_S)
    network = fleet.platform.network
    pairs = [(f"vm{one}", f"vm{two}") for one in range(0, 9, 3) for two in range(9) if two % 3]
    fleet.run(3.0, Deadly(), events=[(1.5, partial(network.cut_between, *pair)) for pair in pairs])
    fleet.run(9.0, Deadly())
    for pair in pairs:
        network.heal_between(*pair)
    fleet.run(CONTACT_S, Deadly())
    before = len(fleet.platform.ledger.part_sends)
    fleet.run(12.0, Deadly())
    assert len(fleet.platform.ledger.part_sends) - before <= MAX_MORE_SENDS


def test_it_is_kept_away_by_vms_that_reach_engines_through_a_peer_only() -> None:
    fleet = PartFleet(6)
    fleet.run(QUIET_S)
    lost = ("vm0", "vm1", "vm2", "vm3")
    fleet.cut_from_engines(lost)
    fleet.run(4.0)
    assert not fleet.platform.ledger.crashes
    fleet.run(20.0, Deadly(vms=lost))
    assert fleet.count_late_sends() <= MAX_MORE_SENDS
    assert fleet.count_held(fleet.platform.ledger.crashes[-1].at + 2 * CONTACT_S) == 0


def test_a_peer_that_dies_is_no_crash_of_the_engines_that_are_reached_through_it() -> None:
    fleet = PartFleet(3)
    fleet.run(QUIET_S)
    fleet.cut_from_engines(("vm0", "vm1"))
    fleet.run(4.0)
    assert sum(vm.tally.counts["tunnels_asked_total", "opened"] for vm in fleet.platform.vms.values())
    before = sum(vm.tally.counts["upstream_ends_total", ""] for vm in fleet.platform.vms.values())
    fleet.kill_vm("vm2")
    fleet.run(1.0)
    ends = [vm.tally.counts["upstream_ends_total", ""] for name, vm in fleet.platform.vms.items() if name != "vm2"]
    assert sum(ends) == before


def count_gossip_bytes(fleet: PartFleet) -> int:
    """Return the bytes that VMs sent each other on quarantines."""
    counts = [vm.tally.counts for vm in fleet.platform.vms.values()]
    return sum(
        size for one in counts for (name, kind), size in one.items() if name == "peer_bytes_total" and "quaran" in kind
    )


def test_a_part_that_succeeds_is_released_on_all_vms_and_in_the_store() -> None:
    fleet = PartFleet()
    fleet.run(QUIET_S)
    fleet.run(8.0, Deadly())
    (held,) = {one for vm in fleet.platform.vms.values() for one in vm.core.quarantine.list_attributed()}
    keys = "beamhatch/quarantine/"
    assert fleet.platform.store.get_newest_revision(f"{keys}{held.hex()}")
    core = fleet.platform.vms["vm1"].core
    digests = RequestDigests(Fingerprint(b"request."), Fingerprint(b"service."), tuple(split_combination(held)))
    upstream = core.listing.list_usable(ServiceName(MODEL), fleet.now)[0]
    core.quarantine_gossip.record_parts_success(upstream, digests, fleet.now)
    fleet.platform.network.run(2.0)
    assert not any(vm.core.quarantine.count(fleet.now) for vm in fleet.platform.vms.values())
    assert not fleet.platform.store.get_newest_revision(f"{keys}{held.hex()}")
    before = count_gossip_bytes(fleet)
    assert before > 0
    fleet.platform.ledger.crash_inducing_parts.clear()
    fleet.run(8.0, Deadly())
    assert count_gossip_bytes(fleet) == before
    assert fleet.deadly[-6][1].status == 200


# --- sound requests ---------------------------------------------------------------------------------------------------


def crash_at(fleet: PartFleet, *names: str) -> None:
    """Crash engines for reasons of their own."""
    for name in names:
        fleet.platform.upstreams[name].crash()


@pytest.mark.parametrize("rare_share", [0.0, 0.5])
def test_nobody_is_held_while_engines_crash_at_random_and_all_share_parts(rare_share: float) -> None:
    fleet = PartFleet(others=("01", "02"), rare_share=rare_share)
    fleet.run(QUIET_S)
    crashes = [(1.0 * number, partial(crash_at, fleet, f"decode-{number % 12}")) for number in range(14)]
    fleet.run(18.0, events=crashes)
    assert fleet.count_held() == 0
    assert fleet.compute_begun_share(0.0, fleet.now - 2.0) >= 0.95


def test_nobody_is_held_while_two_engines_crash_together_again_and_again() -> None:
    fleet = PartFleet(others=("01", "02"))
    fleet.run(QUIET_S)
    pairs = [(2.0 * number, (f"decode-{2 * number % 12}", f"decode-{(2 * number + 1) % 12}")) for number in range(10)]
    fleet.run(22.0, events=[(at, partial(crash_at, fleet, *names)) for at, names in pairs])
    assert fleet.count_held() == 0


def test_nobody_is_held_where_all_engines_crash_at_once_again_and_again() -> None:
    fleet = PartFleet(others=("01", "02"))
    fleet.run(QUIET_S)
    names = [f"decode-{number}" for number in range(12)]
    fleet.run(22.0, events=[(5.0 * number, partial(crash_at, fleet, *names)) for number in range(4)])
    assert fleet.count_held() == 0


def test_nobody_is_held_where_vms_just_started_and_engines_crash_in_turn() -> None:
    fleet = PartFleet(others=("01", "02"))
    crashes = [(0.3 + 0.15 * number, partial(crash_at, fleet, f"decode-{number}")) for number in range(6)]
    fleet.run(10.0, events=crashes)
    assert fleet.count_held() == 0


def test_a_caller_that_crashes_engines_on_purpose_gets_no_part_of_others_held() -> None:
    workspaces: list[dict[str, object]] = [
        {"name": name, "api_keys": [f"key-{name}"], "priority": 1} for name in ("alpha", "beta")
    ]
    fleet = PartFleet(workspaces=workspaces, sound_headers={"Authorization": "Bearer key-alpha"})
    fleet.run(QUIET_S)
    hostile = {"Authorization": "Bearer key-beta"}
    shared = Deadly(part="01", position=1, others=0, headers=lambda _: hostile)
    targets: list[float] = []

    def crash_some() -> None:
        running = [one for one in fleet.list_engines() if one.running and one.listening]
        if running:
            targets.append(fleet.now)
            running[0].crash()

    fleet.run(16.0, shared, events=[(0.1 + 0.5 * number, crash_some) for number in range(20)])
    assert len(targets) >= 10
    assert fleet.count_held() == 0


def test_hundreds_of_parts_do_not_hide_the_one_that_crashes_engines() -> None:
    fleet = PartFleet()
    fleet.run(QUIET_S)
    fleet.run(20.0, Deadly(others=150, position=120))
    check(fleet)
