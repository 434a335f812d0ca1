"""Departures of upstreams, whatever their source and order."""

from __future__ import annotations

import itertools

import pytest

from beamhatch.relay.model import Address, Incarnation, Phase, ServiceName, Upstream, UpstreamId
from beamhatch.relay.upstreams.departures import MAX_DEPARTURES, Departures
from beamhatch.relay.upstreams.listing import TOMBSTONE_TTL_S, Entry, Listing

SERVICE = ServiceName("s")
NOW = 100.0
ID = UpstreamId("a")


def make(born: int, *, draining: bool = False) -> Upstream:
    return Upstream(ID, SERVICE, Address("a", 1), "a", draining, Phase.PLAIN, 9, born=born)


def test_departure_holds_for_one_incarnation_and_is_not_reverted_by_the_store() -> None:
    listing = Listing()
    listing.apply(Entry(ID, 1, make(1)), NOW)
    assert listing.record_departure(Incarnation(ID, 1), NOW)
    assert listing.list_usable(SERVICE, NOW) == []
    assert not listing.record_departure(Incarnation(ID, 1), NOW)
    listing.apply(Entry(ID, 2, make(1)), NOW)
    assert listing.list_usable(SERVICE, NOW) == []
    listing.apply(Entry(ID, 3, make(2)), NOW)
    assert listing.list_usable(SERVICE, NOW) == [make(2)]
    listing.apply(Entry(ID, 4, make(1)), NOW)
    assert listing.list_usable(SERVICE, NOW) == []


def test_departed_upstream_is_not_used_after_its_entry_is_removed() -> None:
    listing = Listing()
    listing.apply(Entry(ID, 1, make(1)), NOW)
    listing.record_departure(Incarnation(ID, 1), NOW)
    listing.apply(Entry(ID, 2, None), NOW)
    assert listing.list_usable(SERVICE, NOW + 0.1) == []
    assert listing.list_expected(SERVICE, NOW + 0.1) == []


@pytest.mark.parametrize("order", list(itertools.permutations(range(4))))
def test_order_of_updates_does_not_matter(order: tuple[int, ...]) -> None:
    listing = Listing()
    steps = [
        lambda: listing.apply(Entry(ID, 1, make(1)), NOW),
        lambda: listing.apply(Entry(ID, 2, make(1, draining=True)), NOW),
        lambda: listing.record_departure(Incarnation(ID, 1), NOW),
        lambda: listing.apply(Entry(ID, 3, make(2)), NOW),
    ]
    for number in order:
        steps[number]()
    assert listing.list_usable(SERVICE, NOW) == [make(2)]
    assert listing.list_leaving(SERVICE) == []


def test_departure_can_be_recorded_before_the_upstream_is_listed() -> None:
    listing = Listing()
    listing.record_departure(Incarnation(ID, 1), NOW)
    listing.apply(Entry(ID, 1, make(1)), NOW)
    assert listing.list_usable(SERVICE, NOW) == []
    assert listing.list_leaving(SERVICE) == [make(1)]


def test_departures_in_the_store_are_not_listed_as_unstored() -> None:
    departures = Departures()
    departures.record(Incarnation(ID, 1), NOW)
    departures.record(Incarnation(ID, 2), NOW, by_store=True)
    assert departures.list_unstored() == [Incarnation(ID, 1)]
    departures.record(Incarnation(ID, 1), NOW, by_store=True)
    assert departures.list_unstored() == []


def test_expired_and_excess_departures_are_dropped() -> None:
    listing = Listing()
    listing.apply(Entry(ID, 1, make(1)), NOW)
    listing.record_departure(Incarnation(ID, 1), NOW)
    listing.record_departure(Incarnation(UpstreamId("unknown"), 1), NOW)
    listing.drop_expired(NOW + TOMBSTONE_TTL_S + 1)
    assert listing.departures.list_unstored() == [Incarnation(ID, 1)]
    departures = Departures()
    for number in range(MAX_DEPARTURES + 1):
        departures.record(Incarnation(ID, number), NOW)
    assert len(departures) == MAX_DEPARTURES
    assert not departures.has(Incarnation(ID, 0))
