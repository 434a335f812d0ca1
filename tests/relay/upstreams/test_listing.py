"""Which upstreams are usable or expected back."""

from __future__ import annotations

from beamhatch.relay.model import Address, Phase, ServiceName, Upstream, UpstreamId
from beamhatch.relay.upstreams.listing import Entry, Listing

SERVICE = ServiceName("s")
NOW = 100.0


def make(name: str, *, draining: bool = False) -> Upstream:
    return Upstream(UpstreamId(name), SERVICE, Address(name, 1), "a", draining, Phase.PLAIN, 9)


def make_listing(names: str) -> Listing:
    listing = Listing()
    for revision, name in enumerate(names, 1):
        listing.apply(Entry(UpstreamId(name), revision, make(name)), NOW)
    return listing


def remove(listing: Listing, name: str, now: float) -> None:
    listing.apply(Entry(UpstreamId(name), listing.newest_revision + 1, None), now)


def list_names(listing: Listing, now: float) -> str:
    return "".join(sorted(one.id for one in listing.list_usable(SERVICE, now)))


def test_removed_upstream_is_not_used_while_most_are_listed() -> None:
    listing = make_listing("abcd")
    remove(listing, "a", NOW)
    assert list_names(listing, NOW) == "bcd"


def test_upstreams_removed_together_are_used_during_the_grace_period() -> None:
    listing = make_listing("abcd")
    for name in "abcd":
        remove(listing, name, NOW)
    assert list_names(listing, NOW + 0.5) == "abcd"
    listing.apply(Entry(UpstreamId("a"), listing.newest_revision + 1, make("a")), NOW + 0.6)
    assert list_names(listing, NOW + 0.7) == "abcd"
    assert list_names(listing, NOW + listing.gone_grace_s + 0.1) == "a"


def test_departed_upstream_is_never_used_again() -> None:
    listing = make_listing("ab")
    listing.apply(Entry(UpstreamId("a"), 9, make("a", draining=True)), NOW)
    remove(listing, "a", NOW + 0.1)
    remove(listing, "b", NOW + 0.1)
    assert list_names(listing, NOW + 0.2) == "b"
    assert listing.count_departed(SERVICE) == 1


def test_removed_upstream_is_expected_back_for_a_while_but_a_departed_one_is_not() -> None:
    listing = make_listing("abc")
    remove(listing, "a", NOW)
    listing.apply(Entry(UpstreamId("b"), 9, make("b", draining=True)), NOW)
    assert {one.id for one in listing.list_expected(SERVICE, NOW + 4.9)} == {"a", "c"}
    assert {one.id for one in listing.list_expected(SERVICE, NOW + 5.1)} == {"c"}


def test_unresponsive_upstream_and_its_replacement_count_as_one() -> None:
    listing = make_listing("abc")
    listing.apply(Entry(UpstreamId("d"), 9, make("d")), NOW + 2.0)
    unresponsive = {UpstreamId("a")}
    assert {one.id for one in listing.list_expected(SERVICE, NOW + 2.1, unresponsive)} == {"b", "c", "d"}
    assert {one.id for one in listing.list_expected(SERVICE, NOW + 2.1)} == {"a", "b", "c", "d"}


def test_unresponsive_upstream_is_expected_back_until_it_is_replaced() -> None:
    listing = make_listing("abc")
    assert {one.id for one in listing.list_expected(SERVICE, NOW + 9.0, {UpstreamId("a")})} == {"a", "b", "c"}


def test_late_update_does_not_list_an_upstream_that_was_removed_before_the_snapshot() -> None:
    listing = Listing()
    listing.apply_snapshot([Entry(UpstreamId("b"), 3, make("b"))], 5, NOW)
    assert not listing.apply(Entry(UpstreamId("a"), 4, make("a")), NOW + 1.0)
    assert listing.apply(Entry(UpstreamId("a"), 6, make("a")), NOW + 1.0)
    assert list_names(listing, NOW + 1.0) == "ab"


def test_late_update_does_not_list_an_upstream_again_that_was_removed_twice_before_the_snapshot() -> None:
    listing = make_listing("b")
    listing.apply(Entry(UpstreamId("a"), 10, make("a")), NOW)
    listing.apply(Entry(UpstreamId("a"), 11, None), NOW)
    listing.apply_snapshot([Entry(UpstreamId("b"), 3, make("b"))], 13, NOW)
    assert not listing.apply(Entry(UpstreamId("a"), 12, make("a")), NOW + 1.0)
    assert listing.get(UpstreamId("a")) is None


def test_snapshot_lists_an_upstream_whose_entry_is_older_than_the_snapshot_before() -> None:
    listing = Listing()
    listing.apply_snapshot([Entry(UpstreamId("b"), 3, make("b"))], 5, NOW)
    entries = [Entry(UpstreamId("b"), 3, make("b")), Entry(UpstreamId("a"), 4, make("a"))]
    listing.apply_snapshot(entries, 7, NOW + 1.0)
    assert list_names(listing, NOW + 1.0) == "ab"
