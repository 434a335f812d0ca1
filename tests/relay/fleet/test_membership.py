"""Tests of watcher selection, connection targets and reachable shares."""

from __future__ import annotations

import random

import pytest

from beamhatch.relay.fleet.membership import (
    ADDRESS_RETENTION_S,
    EXTRA_PEERS,
    MEMBER_TTL_S,
    STANDBY_WATCHERS_PER_HALL,
    WATCHERS_PER_HALL,
    Member,
    Membership,
)

HALLS = ["a", "b", "c"]


def make_fleet(size: int, link_mbps: float = 0.0) -> list[Member]:
    return [Member(f"10.0.{number}:1", HALLS[number % 3], link_mbps) for number in range(size)]


def make_membership(own: Member, fleet: list[Member], now: float = 0.0) -> Membership:
    membership = Membership(own)
    for member in fleet:
        membership.record_alive(member, 0.0, now)
    return membership


def find_highest_ranked(members: list[Member]) -> Member:
    """Return the member that finds no other ranked above itself."""
    return next(one for one in members if make_membership(one, members).count_higher_ranked() == 0)


def test_members_agree_on_a_few_watchers_in_each_hall() -> None:
    fleet = make_fleet(60)
    watchers = [one for one in fleet if make_membership(one, fleet).is_watcher()]
    assert len(watchers) == WATCHERS_PER_HALL * len(HALLS)
    assert {one.hall for one in watchers} == set(HALLS)


def test_members_with_the_fastest_links_watch() -> None:
    fleet = make_fleet(30)
    strong = [Member(f"10.1.{number}:1", "a", 200.0) for number in range(WATCHERS_PER_HALL)]
    assert all(make_membership(one, [*fleet, *strong]).is_watcher() for one in strong)
    assert not any(make_membership(one, [*fleet, *strong]).is_watcher() for one in fleet if one.hall == "a")


def test_a_vm_without_known_members_watches() -> None:
    assert Membership(Member("x:1", "a")).is_watcher()


def test_the_next_member_watches_while_a_watcher_does_not_answer() -> None:
    fleet = make_fleet(30)
    watchers = [one for one in fleet if one.hall == "a" and make_membership(one, fleet).is_watcher()]
    others = [one for one in fleet if one.hall == "a" and one not in watchers]
    memberships = [make_membership(one, fleet) for one in others]
    for membership in memberships:
        membership.record_unreachable(watchers[0].address, 0.0)
    assert sum(membership.is_watcher() for membership in memberships) == 1
    for membership in memberships:
        membership.record_reachable(watchers[0].address)
    assert not any(membership.is_watcher() for membership in memberships)


@pytest.mark.parametrize("size", [2, 9, 90, 600])
def test_each_vm_has_few_targets_and_the_fleet_is_connected(size: int) -> None:
    fleet = make_fleet(size)
    targets = {one.address: make_membership(one, fleet).list_targets(0.0) for one in fleet}
    assert max(len(found) for found in targets.values()) <= WATCHERS_PER_HALL + EXTRA_PEERS
    joined = {fleet[0].address}
    while True:
        more = {far for near in joined for far in targets[near]} | {
            near for near, found in targets.items() if joined.intersection(found)
        }
        if more <= joined:
            break
        joined |= more
    assert len(joined) == size


def test_a_hall_stays_connected_without_the_other_halls() -> None:
    fleet = [one for one in make_fleet(90) if one.hall == "a"]
    for one in fleet:
        membership = make_membership(one, make_fleet(90))
        for far in make_fleet(90):
            if far.hall != "a":
                membership.record_unreachable(far.address, 0.0)
        targets = membership.list_targets(0.1)
        assert targets
        assert all(address in {near.address for near in fleet} for address in targets)


def test_an_address_that_does_not_answer_is_dialled_less_often_over_time() -> None:
    random.seed(1)
    membership = make_membership(Member("x:1", "a"), [Member("y:1", "a")])
    now, dials = 0.0, 0
    while now < 60.0:
        if membership.list_retries(now) or "y:1" in membership.list_targets(now):
            dials += 1
            membership.record_unreachable("y:1", now)
        now += 0.5
        membership.record_alive(Member("y:1", "a"), 0.0, now)
    assert 4 <= dials <= 9


def test_an_address_that_did_not_answer_once_is_retried_quickly() -> None:
    random.seed(1)
    membership = make_membership(Member("x:1", "a"), [Member("y:1", "a")])
    membership.record_unreachable("y:1", 0.0)
    assert "y:1" in membership.list_retries(0.3)
    membership.record_unreachable("y:1", 0.3)
    assert "y:1" not in membership.list_retries(0.5)
    assert "y:1" in membership.list_retries(0.9)


def test_watchers_are_mentioned_first() -> None:
    fleet = make_fleet(120)
    watching = {one.address for one in fleet if make_membership(one, fleet).is_watcher()}
    own = next(one for one in fleet if one.address not in watching)
    mentioned = [mention.member.address for mention in make_membership(own, fleet).list_mentions(64, 0.0)]
    assert len(mentioned) == len(set(mentioned)) == 64
    assert watching <= set(mentioned)


def test_a_dead_vm_expires_although_others_still_mention_it() -> None:
    fleet = make_fleet(6)
    memberships = [make_membership(one, fleet) for one in fleet[1:]]
    now = 0.0
    while now < MEMBER_TTL_S + 5:
        now += 5.0
        for near in memberships:
            near.drop_expired(now)
            for far in memberships:
                far.record_alive(near.own, 0.0, now)
                for mention in near.list_mentions(64, now):
                    far.record_alive(mention.member, mention.age, now)
    assert all(membership.size == 5 for membership in memberships)


def test_seeds_are_targets_unless_they_recently_failed() -> None:
    membership = Membership(Member("x:1", "a"), ["x:1", "s:1", "t:1"])
    assert membership.list_targets(0.0) == ["s:1", "t:1"]
    membership.record_alive(Member("s:1", "b"), 0.0, 0.0)
    assert membership.list_targets(0.0) == ["s:1", "t:1"]
    membership.record_unreachable("t:1", 0.0)
    assert membership.list_targets(0.1) == ["s:1"]
    assert "t:1" in membership.list_targets(30.0)


def test_addresses_of_former_members_are_kept_for_the_retention_period() -> None:
    fleet = make_fleet(6)
    membership = make_membership(fleet[0], fleet)
    membership.record_alive(fleet[1], 0.0, 100.0)
    membership.drop_expired(100.0)
    assert membership.size == 2
    assert len(membership.list_recent_addresses(100.0)) == 5
    membership.drop_expired(ADDRESS_RETENTION_S + 50.0)
    assert membership.list_recent_addresses(ADDRESS_RETENTION_S + 50.0) == [fleet[1].address]


def test_standby_watchers_watch_only_if_no_watcher_can_reach_the_store() -> None:
    fleet = [Member(f"v{number}:1", "a") for number in range(8)]
    memberships = [make_membership(one, fleet) for one in fleet]
    first = [one.own.address for one in memberships if one.is_watcher()]
    assert len(first) == WATCHERS_PER_HALL

    def report(addresses: list[str], *, store_unreachable: bool) -> int:
        for membership in memberships:
            for address in addresses:
                membership.record_store_access(address, store_unreachable=store_unreachable)
        return sum(membership.is_watcher() for membership in memberships)

    assert report(first[:1], store_unreachable=True) == WATCHERS_PER_HALL
    assert report(first, store_unreachable=True) == WATCHERS_PER_HALL + STANDBY_WATCHERS_PER_HALL
    assert (
        report([one.address for one in fleet], store_unreachable=True) == WATCHERS_PER_HALL + STANDBY_WATCHERS_PER_HALL
    )
    assert report(first[1:], store_unreachable=False) == WATCHERS_PER_HALL


@pytest.mark.parametrize("halls", [2, 3, 4, 5, 6])
def test_watchers_of_all_halls_are_connected_directly(halls: int) -> None:
    fleet = [Member(f"10.0.{number}:1", f"hall-{number % halls}") for number in range(60)]
    watching = {one.address: one for one in fleet if make_membership(one, fleet).is_watcher()}
    pairs = {
        frozenset((near.hall, watching[address].hall))
        for near in watching.values()
        for address in make_membership(near, fleet).list_targets(0.0)
        if address in watching and watching[address].hall != near.hall
    }
    assert len(pairs) == halls * (halls - 1) / 2


@pytest.mark.parametrize("halls", [3, 6, 11])
def test_halls_stay_connected_when_one_watcher_of_each_is_unreachable(halls: int) -> None:
    fleet = [Member(f"10.{copy}.{number}:1", f"hall-{number:02}") for number in range(halls) for copy in range(9)]
    first = [find_highest_ranked([one for one in fleet if one.hall == hall]) for hall in {one.hall for one in fleet}]
    memberships = {one.address: make_membership(one, fleet) for one in fleet if one not in first}
    for membership in memberships.values():
        for gone in first:
            membership.record_unreachable(gone.address, 0.0)
    watching = {address: one for address, one in memberships.items() if one.is_watcher()}
    joined = {next(iter(watching.values())).own.hall}
    links = [
        {near.own.hall, watching[address].own.hall}
        for near in watching.values()
        for address in near.list_targets(0.1)
        if address in watching
    ]
    for _ in range(halls):
        joined |= {hall for link in links if link & joined for hall in link}
    assert len(joined) == halls


def test_a_counterpart_that_does_not_answer_is_replaced_until_its_retry() -> None:
    fleet = make_fleet(30)
    own = next(one for one in fleet if make_membership(one, fleet).is_watcher())
    membership = make_membership(own, fleet)
    far = {one.address: one for one in fleet if one.hall != own.hall}
    before = [address for address in membership.list_targets(0.0) if address in far]
    membership.record_unreachable(before[0], 0.0)
    after = [address for address in membership.list_targets(0.1) if address in far]
    assert before[0] not in after
    assert {far[address].hall for address in after} == {far[address].hall for address in before}
    assert before[0] in membership.list_targets(1.0)


def test_mentions_are_the_unknown_members_and_a_few_known_ones() -> None:
    fleet = make_fleet(50)
    membership = make_membership(fleet[0], fleet)
    known: set[str] = set()
    first = membership.select_mentions(known, 64, 8, 0.0)
    assert len(first) == 49
    known.update(mention.member.address for mention in first)
    assert len(membership.select_mentions(known, 64, 8, 0.0)) == 8
    membership.record_alive(Member("late:1", "a"), 0.0, 1.0)
    assert membership.select_mentions(known, 64, 8, 1.0)[0].member.address == "late:1"


def make_three_hall_membership() -> Membership:
    """Return the membership of one of six VMs in three halls."""
    membership = Membership(Member("a1:1", "a"))
    for address, hall in (("a2:1", "a"), ("b1:1", "b"), ("b2:1", "b"), ("c1:1", "c"), ("c2:1", "c")):
        membership.record_alive(Member(address, hall), 0.0, 100.0)
    return membership


def test_reachable_share_is_one_if_all_halls_are_reachable() -> None:
    assert make_three_hall_membership().compute_reachable_share({"a", "b"}, 101.0) == 1.0
    assert Membership(Member("a1:1", "a")).compute_reachable_share(set(), 101.0) == 1.0


def test_reachable_share_is_that_of_the_own_hall_if_no_other_is_reachable() -> None:
    assert make_three_hall_membership().compute_reachable_share({"a"}, 101.0) == 2 / 6


def test_reachable_share_without_peers_counts_only_the_vm_itself() -> None:
    assert make_three_hall_membership().compute_reachable_share(set(), 101.0) == 1 / 6


def test_reachable_share_excludes_a_hall_that_was_not_seen_recently() -> None:
    membership = make_three_hall_membership()
    for address, hall in (("a2:1", "a"), ("b1:1", "b"), ("b2:1", "b")):
        membership.record_alive(Member(address, hall), 0.0, 120.0)
    assert membership.compute_reachable_share({"a", "b"}, 124.0) == 1.0
    assert membership.compute_reachable_share({"a", "b"}, 126.0) == 4 / 6


def test_reachable_share_excludes_former_members_for_the_retention_period() -> None:
    membership = make_three_hall_membership()
    membership.record_alive(Member("a2:1", "a"), 0.0, 170.0)
    membership.drop_expired(170.0)
    assert membership.size == 2
    assert membership.compute_reachable_share({"a"}, 170.0) == 2 / 6
    membership.record_alive(Member("a2:1", "a"), 0.0, 450.0)
    membership.drop_expired(450.0)
    assert membership.compute_reachable_share({"a"}, 450.0) == 1.0
