"""Upstreams that leave, whoever says so, in whatever order."""

from __future__ import annotations

import itertools

import pytest

from beamhatch.relay.model import Address, Incarnation, Phase, ServiceName, Upstream, UpstreamId
from beamhatch.relay.upstreams.departures import MOST_KEPT, Departures
from beamhatch.relay.upstreams.listing import TOMBSTONE_LIFE, Entry, Listing

SERVICE = ServiceName("s")
NOW = 100.0
ID = UpstreamId("a")


def make(born: int, *, draining: bool = False) -> Upstream:
    return Upstream(ID, SERVICE, Address("a", 1), "a", draining, Phase.PLAIN, 9, started_at_ms=born)


def test_it_holds_for_one_life_and_no_word_of_the_store_about_that_undoes_it() -> None:
    listing = Listing()
    listing.take(Entry(ID, 1, make(1)), NOW)
    assert listing.note_leaving(Incarnation(ID, 1), NOW)
    assert listing.list_usable(SERVICE, NOW) == []
    assert not listing.note_leaving(Incarnation(ID, 1), NOW)
    listing.take(Entry(ID, 2, make(1)), NOW)
    assert listing.list_usable(SERVICE, NOW) == []
    listing.take(Entry(ID, 3, make(2)), NOW)
    assert listing.list_usable(SERVICE, NOW) == [make(2)]
    listing.take(Entry(ID, 4, make(1)), NOW)
    assert listing.list_usable(SERVICE, NOW) == []


def test_it_is_not_used_as_one_whose_entry_lapsed() -> None:
    listing = Listing()
    listing.take(Entry(ID, 1, make(1)), NOW)
    listing.note_leaving(Incarnation(ID, 1), NOW)
    listing.take(Entry(ID, 2, None), NOW)
    assert listing.list_usable(SERVICE, NOW + 0.1) == []
    assert listing.list_lasting(SERVICE, NOW + 0.1) == []


@pytest.mark.parametrize("order", list(itertools.permutations(range(4))))
def test_whatever_order_the_news_come_in_the_same_is_believed(order: tuple[int, ...]) -> None:
    listing = Listing()
    steps = [
        lambda: listing.take(Entry(ID, 1, make(1)), NOW),
        lambda: listing.take(Entry(ID, 2, make(1, draining=True)), NOW),
        lambda: listing.note_leaving(Incarnation(ID, 1), NOW),
        lambda: listing.take(Entry(ID, 3, make(2)), NOW),
    ]
    for number in order:
        steps[number]()
    assert listing.list_usable(SERVICE, NOW) == [make(2)]
    assert listing.list_leaving(SERVICE) == []


def test_it_is_heard_of_before_the_upstream_is_listed() -> None:
    listing = Listing()
    listing.note_leaving(Incarnation(ID, 1), NOW)
    listing.take(Entry(ID, 1, make(1)), NOW)
    assert listing.list_usable(SERVICE, NOW) == []
    assert listing.list_leaving(SERVICE) == [make(1)]


def test_what_the_store_has_told_is_not_told_to_peers() -> None:
    departures = Departures()
    departures.take(Incarnation(ID, 1), NOW)
    departures.take(Incarnation(ID, 2), NOW, by_store=True)
    assert departures.list_untold() == [Incarnation(ID, 1)]
    departures.take(Incarnation(ID, 1), NOW, by_store=True)
    assert departures.list_untold() == []


def test_old_ones_are_dropped_once_nobody_lists_them_and_the_oldest_where_there_are_too_many() -> None:
    listing = Listing()
    listing.take(Entry(ID, 1, make(1)), NOW)
    listing.note_leaving(Incarnation(ID, 1), NOW)
    listing.note_leaving(Incarnation(UpstreamId("unknown"), 1), NOW)
    listing.forget_old(NOW + TOMBSTONE_LIFE + 1)
    assert listing.departures.list_untold() == [Incarnation(ID, 1)]
    departures = Departures()
    for number in range(MOST_KEPT + 1):
        departures.take(Incarnation(ID, number), NOW)
    assert len(departures) == MOST_KEPT
    assert not departures.has(Incarnation(ID, 0))
