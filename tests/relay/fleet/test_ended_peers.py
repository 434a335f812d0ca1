"""Peers whose processes have ended."""

from __future__ import annotations

from beamhatch.relay.fleet.ended_peers import EndedPeers

HOST = "127.0.0.1"


def end(revision: int = 7) -> EndedPeers:
    peers = EndedPeers()
    peers.record_lost(HOST, revision)
    peers.record_refused(HOST)
    return peers


def test_a_peer_has_ended_whose_connection_broke_and_whose_host_refuses_another() -> None:
    assert end().has_ended(HOST, 7)


def test_a_peer_that_knew_of_more_upstreams_is_not_told() -> None:
    assert not end(revision=8).has_ended(HOST, 7)


def test_a_refusal_alone_does_not_tell_what_the_peer_knew() -> None:
    peers = EndedPeers()
    peers.record_refused(HOST)
    assert not peers.has_ended(HOST, 7)


def test_a_broken_connection_alone_may_be_a_cut() -> None:
    peers = EndedPeers()
    peers.record_lost(HOST, 7)
    assert not peers.has_ended(HOST, 7)


def test_a_refusal_behind_a_connection_that_timed_out_may_follow_a_cut() -> None:
    peers = EndedPeers()
    peers.record_lost(HOST, 7)
    peers.forget(HOST)
    peers.record_refused(HOST)
    assert not peers.has_ended(HOST, 7)


def test_a_peer_that_was_met_again_runs() -> None:
    peers = end()
    peers.forget(HOST)
    assert not peers.has_ended(HOST, 7)


def test_peers_that_are_no_members_are_forgotten() -> None:
    peers = end()
    peers.keep({"127.0.0.2"})
    assert not peers.has_ended(HOST, 7)
