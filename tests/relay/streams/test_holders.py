"""The choice of the VMs that keep the record of a stream, and of those that are asked for it."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from beamhatch.relay.fleet.membership import Member
from beamhatch.relay.streams.holders import (
    ASKED_PER_HALL,
    OTHER_HALL_HOLDERS,
    OWN_HALL_HOLDERS,
    SMALL_FLEET,
    HolderChooser,
)
from beamhatch.relay.streams.records import compute_stream_key

KEYS = [compute_stream_key(f"q{number}") for number in range(400)]


def make_members(vms: int, halls: int) -> list[Member]:
    return [Member(f"10.{n % halls}.0.{n}:1", f"hall-{n % halls}", record_port=2) for n in range(vms)]


def choose_from(members: list[Member], own: Member) -> HolderChooser:
    return HolderChooser([one for one in members if one is not own], own.hall)


def test_in_a_small_fleet_each_vm_keeps_every_record() -> None:
    members = make_members(SMALL_FLEET + 1, 3)
    chooser = choose_from(members, members[0])
    assert chooser.list_holders(KEYS[0]) == chooser.list_asked(KEYS[0]) == members[1:]


@pytest.mark.parametrize(("vms", "halls"), [(24, 3), (74, 6), (300, 6), (590, 11)])
def test_a_vm_of_any_hall_asks_the_holders(vms: int, halls: int) -> None:
    members = make_members(vms, halls)
    for key in KEYS[:40]:
        beginner, asker = random.Random(key).sample(members, 2)
        holders = choose_from(members, beginner).list_holders(key)
        assert [one.hall == beginner.hall for one in holders].count(True) == OWN_HALL_HOLDERS
        assert len(holders) == OWN_HALL_HOLDERS + OTHER_HALL_HOLDERS
        asked = choose_from(members, asker).list_asked(key)
        assert len(asked) <= ASKED_PER_HALL * halls
        assert {one.address for one in holders} <= {one.address for one in [*asked, asker]}


@pytest.mark.parametrize(("vms", "halls"), [(24, 3), (590, 11)])
def test_a_holder_is_asked_though_some_vms_are_known_to_one_side_only(vms: int, halls: int) -> None:
    members = make_members(vms, halls)
    found = 0
    for key in KEYS:
        rng = random.Random(key)
        beginner, asker = rng.sample(members, 2)
        known = [one for one in members if rng.random() > 0.1 or one in (beginner, asker)]
        holders = {one.address for one in choose_from(members, beginner).list_holders(key)}
        asked = {one.address for one in choose_from(known, asker).list_asked(key)}
        found += bool(holders & (asked | {asker.address}))
    assert found >= 0.99 * len(KEYS)


def test_records_are_spread_over_the_vms() -> None:
    members = make_members(74, 6)
    kept: Counter[str] = Counter()
    for own in members:
        chooser = choose_from(members, own)
        for key in KEYS:
            kept.update(one.address for one in chooser.list_holders(key))
    assert max(kept.values()) < 4 * kept.total() / len(members)


def test_one_hall_keeps_all_records_of_its_own() -> None:
    members = make_members(30, 1)
    holders = choose_from(members, members[0]).list_holders(KEYS[0])
    assert len({one.address for one in holders}) == OWN_HALL_HOLDERS + OTHER_HALL_HOLDERS
