"""Which upstreams a VM believes to reach."""

from __future__ import annotations

from beamhatch.relay.model import Address
from beamhatch.relay.tunnels.reachability import FAILURE_TTL_S, Reachability, ReachChange

FIRST, SECOND, THIRD = (Address(f"10.0.0.{number}", 80) for number in range(3))


def test_one_refusal_is_no_lost_link() -> None:
    reachability = Reachability()
    assert reachability.record_unreachable(FIRST, 0.0) is ReachChange.NONE
    assert not reachability.is_out_of_reach(FIRST)
    assert not reachability.is_suspect(FIRST, 0.0)


def test_an_address_that_fails_twice_is_out_of_reach_until_a_connection_is_made() -> None:
    reachability = Reachability()
    reachability.record_unreachable(FIRST, 0.0)
    assert reachability.record_unreachable(FIRST, 1.0) is ReachChange.LOST
    assert reachability.list_blocked() == [FIRST]
    assert not reachability.is_out_of_reach(SECOND)
    assert reachability.record_connected(FIRST) is ReachChange.REGAINED
    assert not reachability.list_blocked()


def test_three_addresses_that_fail_in_a_row_cut_the_vm_off() -> None:
    reachability = Reachability()
    changes = [reachability.record_unreachable(one, 0.0) for one in (FIRST, SECOND, THIRD)]
    assert changes == [ReachChange.NONE, ReachChange.NONE, ReachChange.CUT_OFF]
    assert reachability.is_out_of_reach(Address("never tried", 80))
    assert reachability.record_connected(SECOND) is ReachChange.RECONNECTED
    assert not reachability.is_cut_off


def test_a_connection_to_any_upstream_ends_the_row() -> None:
    reachability = Reachability()
    reachability.record_unreachable(FIRST, 0.0)
    reachability.record_unreachable(SECOND, 0.0)
    assert reachability.is_suspect(SECOND, 0.0)
    reachability.record_connected(THIRD)
    assert reachability.record_unreachable(THIRD, 0.1) is ReachChange.NONE
    assert not reachability.is_cut_off


def test_failures_far_apart_are_no_row() -> None:
    reachability = Reachability()
    for number, one in enumerate((FIRST, SECOND, THIRD)):
        reachability.record_unreachable(one, number * FAILURE_TTL_S)
    assert not reachability.is_cut_off


def test_addresses_that_are_no_longer_listed_are_forgotten() -> None:
    reachability = Reachability()
    reachability.record_unreachable(FIRST, 0.0)
    reachability.record_unreachable(FIRST, 0.0)
    reachability.keep_only({SECOND})
    assert not reachability.list_blocked()
