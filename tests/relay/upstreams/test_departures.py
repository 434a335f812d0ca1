"""Upstreams that leave, whoever says so, in whatever order."""

from __future__ import annotations

import itertools

import pytest

from beamhatch.relay.model import Address, Life, Phase, ServiceName, Upstream, UpstreamId
from beamhatch.relay.upstreams.departures import MAX_DEPARTURES, Departures
from beamhatch.relay.upstreams.listing import TOMBSTONE_TTL_S, Entry, Listing

SERVICE = ServiceName("s")
NOW = 100.0
ID = UpstreamId("a")


def make(born: int, *, draining: bool = False) -> Upstream:
    return Upstream(ID, SERVICE, Address("a", 1), "a", draining, Phase.PLAIN, 9, born=born)


def test_it_holds_for_one_life_and_no_word_of_the_store_about_that_undoes_it() -> None:
    listing = Listing()
    listing.apply(Entry(ID, 1, make(1)), NOW)
    assert listing.record_departure(Life(ID, 1), NOW)
    assert listing.list_usable(SERVICE, NOW) == []
    assert not listing.record_departure(Life(ID, 1), NOW)
    listing.apply(Entry(ID, 2, make(1)), NOW)
    assert listing.list_usable(SERVICE, NOW) == []
    listing.apply(Entry(ID, 3, make(2)), NOW)
    assert listing.list_usable(SERVICE, NOW) == [make(2)]
    listing.apply(Entry(ID, 4, make(1)), NOW)
    assert listing.list_usable(SERVICE, NOW) == []


def test_it_is_not_used_as_one_whose_entry_lapsed() -> None:
    listing = Listing()
    listing.apply(Entry(ID, 1, make(1)), NOW)
    listing.record_departure(Life(ID, 1), NOW)
    listing.apply(Entry(ID, 2, None), NOW)
    assert listing.list_usable(SERVICE, NOW + 0.1) == []
    assert listing.list_expected(SERVICE, NOW + 0.1) == []


@pytest.mark.parametrize("order", list(itertools.permutations(range(4))))
def test_whatever_order_the_news_come_in_the_same_is_believed(order: tuple[int, ...]) -> None:
    listing = Listing()
    steps = [
        lambda: listing.apply(Entry(ID, 1, make(1)), NOW),
        lambda: listing.apply(Entry(ID, 2, make(1, draining=True)), NOW),
        lambda: listing.record_departure(Life(ID, 1), NOW),
        lambda: listing.apply(Entry(ID, 3, make(2)), NOW),
    ]
    for number in order:
        steps[number]()
    assert listing.list_usable(SERVICE, NOW) == [make(2)]
    assert listing.list_leaving(SERVICE) == []


def test_it_is_heard_of_before_the_upstream_is_listed() -> None:
    listing = Listing()
    listing.record_departure(Life(ID, 1), NOW)
    listing.apply(Entry(ID, 1, make(1)), NOW)
    assert listing.list_usable(SERVICE, NOW) == []
    assert listing.list_leaving(SERVICE) == [make(1)]


def test_what_the_store_has_told_is_not_told_to_peers() -> None:
    departures = Departures()
    departures.record(Life(ID, 1), NOW)
    departures.record(Life(ID, 2), NOW, by_store=True)
    assert departures.list_unstored() == [Life(ID, 1)]
    departures.record(Life(ID, 1), NOW, by_store=True)
    assert departures.list_unstored() == []


def test_old_ones_are_dropped_once_nobody_lists_them_and_the_oldest_where_there_are_too_many() -> None:
    listing = Listing()
    listing.apply(Entry(ID, 1, make(1)), NOW)
    listing.record_departure(Life(ID, 1), NOW)
    listing.record_departure(Life(UpstreamId("unknown"), 1), NOW)
    listing.drop_expired(NOW + TOMBSTONE_TTL_S + 1)
    assert listing.departures.list_unstored() == [Life(ID, 1)]
    departures = Departures()
    for number in range(MAX_DEPARTURES + 1):
        departures.record(Life(ID, number), NOW)
    assert len(departures) == MAX_DEPARTURES
    assert not departures.has(Life(ID, 0))
