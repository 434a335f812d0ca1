"""What other VMs tell that engines have to read."""

from __future__ import annotations

from beamhatch.relay.choosing.peer_work import PeerWork
from beamhatch.relay.fleet.peer_values import VALUE_TTL_S
from beamhatch.relay.model import UpstreamId

ENGINE = UpstreamId("e1")


def test_sums_what_was_told_last_by_each() -> None:
    work = PeerWork()
    work.record("a", {"e1": 3000, "e2": 500}, 10.0)
    work.record("b", {"e1": 1000}, 10.1)
    work.record("a", {"e1": 2000}, 10.2)
    assert work.count_tokens(ENGINE, 10.3) == 3000
    assert work.count_tokens(UpstreamId("e2"), 10.3) == 0


def test_believes_nobody_who_fell_silent() -> None:
    work = PeerWork()
    work.record("a", {"e1": 3000}, 10.0)
    work.record("b", {"e1": 1000}, 11.0)
    assert work.count_tokens(ENGINE, 10.5 + VALUE_TTL_S) == 1000
    work.drop_expired(10.5 + VALUE_TTL_S)
    assert work.count_tokens(ENGINE, 10.0) == 1000
