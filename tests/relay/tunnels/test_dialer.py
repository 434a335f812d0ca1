"""Which way a connection takes."""

from __future__ import annotations

from beamhatch.relay.tunnels.dialer import MAX_TUNNEL_ATTEMPTS, Way, choose_way


def choose(
    *,
    direct_tried: bool = False,
    tunnels_tried: int = 0,
    reach: bool = True,
    cut_off: bool = False,
    suspect: bool = False,
    proxy: bool = True,
) -> Way | None:
    return choose_way(
        direct_tried=direct_tried,
        tunnels_tried=tunnels_tried,
        out_of_reach=not reach or cut_off,
        is_suspect=suspect or not reach or cut_off,
        has_proxy=proxy,
        try_direct=not cut_off,
    )


def test_the_direct_way_comes_first_while_links_are_believed_to_work() -> None:
    assert choose() is Way.DIRECT
    assert choose(suspect=True) is Way.DIRECT


def test_an_upstream_that_refuses_alone_is_not_asked_by_way_of_a_peer() -> None:
    assert choose(direct_tried=True) is None


def test_a_peer_follows_a_direct_failure_where_links_are_suspected() -> None:
    assert choose(direct_tried=True, suspect=True) is Way.TUNNEL


def test_a_peer_comes_first_where_the_address_is_out_of_reach_and_the_direct_way_last() -> None:
    assert choose(reach=False) is Way.TUNNEL
    assert choose(reach=False, tunnels_tried=MAX_TUNNEL_ATTEMPTS) is Way.DIRECT
    assert choose(reach=False, tunnels_tried=MAX_TUNNEL_ATTEMPTS, direct_tried=True) is None


def test_a_vm_that_is_cut_off_and_has_no_peer_fails_at_once() -> None:
    assert choose(cut_off=True, proxy=False) is None
