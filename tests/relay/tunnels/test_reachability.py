"""Which upstreams a VM believes to reach."""

from __future__ import annotations

from beamhatch.relay.model import Address
from beamhatch.relay.tunnels.reachability import FAILURE_TTL_S, Reachability, ReachChange

ADDRESSES = [Address(f"10.0.0.{number}", 80) for number in range(6)]
FIRST, SECOND, THIRD = ADDRESSES[:3]
LISTED = 9


def fail(reachability: Reachability, address: Address, now: float = 0.0, *, listed: int = LISTED) -> ReachChange:
    return reachability.record_unreachable(address, listed, now)


def test_one_refusal_is_no_lost_link() -> None:
    reachability = Reachability()
    assert fail(reachability, FIRST, 0.0) is ReachChange.NONE
    assert not reachability.is_out_of_reach(FIRST)
    assert not reachability.is_suspect(FIRST, 0.0)


def test_an_address_that_fails_twice_is_out_of_reach_until_a_connection_is_made() -> None:
    reachability = Reachability()
    fail(reachability, FIRST, 0.0)
    assert fail(reachability, FIRST, 1.0) is ReachChange.LOST
    assert reachability.list_blocked() == [FIRST]
    assert not reachability.is_out_of_reach(SECOND)
    assert reachability.record_connected(FIRST) is ReachChange.REGAINED
    assert not reachability.list_blocked()


def test_three_addresses_that_fail_in_a_row_have_others_probed_and_five_cut_the_vm_off() -> None:
    reachability = Reachability()
    changes = [fail(reachability, one) for one in ADDRESSES[:5]]
    assert changes == [ReachChange.NONE, ReachChange.NONE, ReachChange.CHECK, ReachChange.NONE, ReachChange.CUT_OFF]
    assert reachability.is_out_of_reach(Address("never tried", 80))
    assert reachability.record_connected(SECOND) is ReachChange.RECONNECTED
    assert not reachability.is_cut_off


def test_one_service_that_is_lost_does_not_cut_the_vm_off() -> None:
    reachability = Reachability()
    for one in (FIRST, SECOND, THIRD):
        fail(reachability, one)
    assert reachability.is_out_of_reach(Address("never tried", 80))
    assert reachability.record_connected(ADDRESSES[5]) is ReachChange.NONE
    assert not reachability.is_out_of_reach(Address("never tried", 80))


def test_a_vm_with_few_upstreams_is_cut_off_when_all_fail() -> None:
    reachability = Reachability()
    assert fail(reachability, FIRST, listed=2) is ReachChange.NONE
    assert fail(reachability, SECOND, listed=2) is ReachChange.CUT_OFF


def test_a_connection_to_any_upstream_ends_the_row() -> None:
    reachability = Reachability()
    fail(reachability, FIRST, 0.0)
    fail(reachability, SECOND, 0.0)
    assert reachability.is_suspect(SECOND, 0.0)
    reachability.record_connected(THIRD)
    assert fail(reachability, THIRD, 0.1) is ReachChange.NONE
    assert not reachability.is_cut_off


def test_failures_far_apart_are_no_row() -> None:
    reachability = Reachability()
    for number, one in enumerate((FIRST, SECOND, THIRD)):
        fail(reachability, one, number * FAILURE_TTL_S)
    assert not reachability.is_cut_off


def test_addresses_that_are_no_longer_listed_are_forgotten() -> None:
    reachability = Reachability()
    fail(reachability, FIRST, 0.0)
    fail(reachability, FIRST, 0.0)
    reachability.keep_only({SECOND})
    assert not reachability.list_blocked()
