"""Which peer is asked for a newer version, and when."""

from __future__ import annotations

from beamhatch.relay.fleet.lag import ANSWER_TIMEOUT_S, STORE_GRACE_S, Offer, VersionLag


def offer(peer: str, version: int = 2, heard_at: float = 0.0) -> Offer[str]:
    return Offer(peer, version, heard_at)


def test_a_peer_with_a_newer_version_is_asked_at_once() -> None:
    lag = VersionLag[str]()
    assert lag.choose_peer(1, [offer("a"), offer("b", 1)], 0.0, store_may_send=False) == "a"
    assert lag.is_behind


def test_nobody_is_asked_for_what_this_vm_has() -> None:
    lag = VersionLag[str]()
    assert lag.choose_peer(2, [offer("a"), offer("b", 1)], 0.0, store_may_send=False) is None
    assert not lag.is_behind


def test_a_watcher_asks_peers_only_if_the_store_does_not_send_it() -> None:
    lag = VersionLag[str]()
    assert lag.choose_peer(1, [offer("a")], 0.0, store_may_send=True) is None
    assert lag.is_behind
    assert lag.choose_peer(1, [offer("a")], STORE_GRACE_S, store_may_send=True) == "a"


def test_a_peer_that_does_not_answer_is_followed_by_the_one_heard_last() -> None:
    lag = VersionLag[str]()
    assert lag.choose_peer(1, [offer("frozen")], 0.0, store_may_send=False) == "frozen"
    offers = [offer("frozen"), offer("quiet", heard_at=0.1), offer("alive", heard_at=0.2)]
    assert lag.choose_peer(1, offers, ANSWER_TIMEOUT_S / 2, store_may_send=False) is None
    asked = [lag.choose_peer(1, offers, number * ANSWER_TIMEOUT_S, store_may_send=False) for number in (1, 2, 3)]
    assert asked == ["alive", "quiet", "frozen"]


def test_a_version_that_arrived_ends_the_wait_for_answers() -> None:
    lag = VersionLag[str]()
    lag.choose_peer(1, [offer("a")], 0.0, store_may_send=False)
    assert lag.choose_peer(2, [offer("a", 3)], 0.01, store_may_send=False) == "a"
    assert lag.choose_peer(3, [offer("a", 3)], 0.02, store_may_send=False) is None
    assert not lag.is_behind
