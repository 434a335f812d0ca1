"""Tests of the prefill backlog reported by peers."""

from __future__ import annotations

from beamhatch.relay.choosing.peer_backlog import PeerBacklog
from beamhatch.relay.fleet.peer_words import VALUE_TTL_S
from beamhatch.relay.model import UpstreamId

ENGINE = UpstreamId("e1")


def test_sums_the_last_report_of_each_peer() -> None:
    backlog = PeerBacklog()
    backlog.record("a", {"e1": 3000, "e2": 500}, 10.0)
    backlog.record("b", {"e1": 1000}, 10.1)
    backlog.record("a", {"e1": 2000}, 10.2)
    assert backlog.count_tokens(ENGINE, 10.3) == 3000
    assert backlog.count_tokens(UpstreamId("e2"), 10.3) == 0


def test_reports_of_disconnected_peers_expire() -> None:
    backlog = PeerBacklog()
    backlog.record("a", {"e1": 3000}, 10.0)
    backlog.record("b", {"e1": 1000}, 11.0)
    assert backlog.count_tokens(ENGINE, 10.5 + VALUE_TTL_S) == 1000
    backlog.drop_expired(10.5 + VALUE_TTL_S)
    assert backlog.count_tokens(ENGINE, 10.0) == 1000
