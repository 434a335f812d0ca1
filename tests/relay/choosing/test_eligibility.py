"""Tests of the eligibility of upstreams."""

from __future__ import annotations

from beamhatch.relay.choosing.cold_gate import ColdGate
from beamhatch.relay.choosing.eligibility import Eligibility, Obstacle
from beamhatch.relay.fleet.evacuations import Evacuation
from beamhatch.relay.model import Address, ColdTerms, Phase, ServiceName, Upstream, UpstreamId
from beamhatch.relay.topology import Distance, RegionName, Topology
from beamhatch.relay.upstreams.listing import Entry, Listing

WEST = RegionName("west")
EAST = RegionName("east")
PLACES = Topology({"a": WEST, "b": WEST, "c": EAST})
COLD = ColdTerms(3.0, 8.0)


class ClosedGate(ColdGate):
    def __init__(self) -> None:
        self.sent: list[UpstreamId] = []

    def may_send(self, upstream: Upstream, terms: ColdTerms, now: float) -> bool:
        return False

    def reserve(self, upstream: UpstreamId, now: float) -> None:
        pass

    def release(self, upstream: UpstreamId, now: float) -> None:
        pass

    def record_sent(self, upstream: UpstreamId, now: float) -> None:
        self.sent.append(upstream)

    def get_wait(self, upstream: Upstream, terms: ColdTerms, now: float) -> float:
        return 1.0


def make_upstream(hall: str, cold_left: float = 0.0) -> Upstream:
    return Upstream(UpstreamId(f"u-{hall}"), ServiceName("s"), Address(hall, 1), hall, False, Phase.PLAIN, 6, cold_left)


def make_eligibility(*upstreams: Upstream) -> Eligibility:
    listing = Listing()
    listing.apply_snapshot([Entry(one.id, 1, one) for one in upstreams], 1, 10.0)
    return Eligibility(listing, PLACES, gate=ClosedGate())


def test_an_evacuated_hall_gets_nothing_until_its_evacuation_ends() -> None:
    upstreams = [make_upstream("a"), make_upstream("b")]
    eligibility = make_eligibility(*upstreams)
    eligibility.evacuations.apply(Evacuation("a", 2, True), 10.0)
    assert eligibility.list_eligible(upstreams, None, None, 10.0) == upstreams[1:]
    eligibility.evacuations.apply(Evacuation("a", 3, False), 11.0)
    assert eligibility.list_eligible(upstreams, None, None, 11.0) == upstreams


def test_requests_stay_in_their_regions() -> None:
    upstreams = [make_upstream("a"), make_upstream("c")]
    eligibility = make_eligibility(*upstreams)
    assert eligibility.list_eligible(upstreams, frozenset({EAST}), None, 10.0) == upstreams[1:]
    assert eligibility.count_obstacles(upstreams, frozenset(), None, 10.0) == {Obstacle.REGION: 2}


def test_the_gate_applies_to_cold_upstreams_only() -> None:
    upstreams = [make_upstream("a", 2.0), make_upstream("b")]
    eligibility = make_eligibility(*upstreams)
    assert eligibility.list_eligible(upstreams, None, COLD, 11.9) == upstreams[1:]
    assert eligibility.list_eligible(upstreams, None, COLD, 12.1) == upstreams
    for one in upstreams:
        eligibility.record_send(one, COLD, 11.9)
    assert isinstance(eligibility.gate, ClosedGate)
    assert eligibility.gate.sent == [upstreams[0].id]


def test_upstreams_count_as_cold_after_the_evacuation_of_their_hall() -> None:
    upstreams = [make_upstream("a")]
    eligibility = make_eligibility(*upstreams)
    eligibility.evacuations.apply(Evacuation("a", 2, True), 10.0)
    eligibility.evacuations.apply(Evacuation("a", 3, False), 20.0)
    assert not eligibility.list_eligible(upstreams, None, COLD, 22.9)
    assert eligibility.list_eligible(upstreams, None, COLD, 23.1) == upstreams


def test_distances_follow_the_settings() -> None:
    assert PLACES.get_distance("a", "a") is Distance.SAME_HALL
    assert PLACES.get_distance("a", "b") is Distance.SAME_REGION
    assert PLACES.get_distance("a", "c") is Distance.OTHER_REGION
    assert Topology().get_distance("a", "b") is Distance.SAME_REGION
