"""Tests of the detection of shortages and of the retries of refused callers."""

from __future__ import annotations

import random

from beamhatch.relay.choosing.eligibility import Eligibility, Obstacle
from beamhatch.relay.choosing.lack import (
    EVACUATED_RETRY_S,
    LEAVING_RETRY_S,
    PROBE_RETRY_S,
    compute_retry_delay,
    detect_shortage,
)
from beamhatch.relay.fleet.evacuations import Evacuation
from beamhatch.relay.model import Address, Phase, ServiceName, Upstream, UpstreamId
from beamhatch.relay.upstreams.listing import Entry, Listing

NOW = 100.0


def make_upstreams(halls: str) -> list[Upstream]:
    return [
        Upstream(UpstreamId(f"u-{hall}"), ServiceName("s"), Address(hall, 1), hall, False, Phase.PLAIN, 6)
        for hall in halls
    ]


def make_eligibility(upstreams: list[Upstream]) -> Eligibility:
    listing = Listing()
    listing.apply_snapshot([Entry(one.id, 1, one) for one in upstreams], 1, NOW)
    return Eligibility(listing)


def test_there_is_no_shortage_while_one_upstream_may_be_sent_requests() -> None:
    upstreams = make_upstreams("ab")
    eligibility = make_eligibility(upstreams)
    eligibility.listing.record_departure(upstreams[0].incarnation, NOW)
    assert detect_shortage(eligibility, upstreams, None, None, NOW) is None
    assert detect_shortage(eligibility, [], None, None, NOW) is None


def test_leaving_and_evacuated_upstreams_are_a_shortage() -> None:
    upstreams = make_upstreams("ab")
    eligibility = make_eligibility(upstreams)
    for one in upstreams:
        eligibility.listing.record_departure(one.incarnation, NOW)
    shortage = detect_shortage(eligibility, upstreams, None, None, NOW)
    assert shortage is not None
    assert (shortage.obstacle, shortage.wait) == (Obstacle.LEAVING, LEAVING_RETRY_S)
    for hall in "ab":
        eligibility.evacuations.apply(Evacuation(hall, 2, True), NOW)
    shortage = detect_shortage(eligibility, upstreams, None, None, NOW)
    assert shortage is not None
    assert (shortage.obstacle, shortage.wait) == (Obstacle.EMPTIED, EVACUATED_RETRY_S)


def test_the_wait_lasts_until_the_first_backoff_ends() -> None:
    upstreams = make_upstreams("abc")
    eligibility = make_eligibility(upstreams)
    eligibility.listing.record_departure(upstreams[0].incarnation, NOW)
    eligibility.backoffs.record(upstreams[1].incarnation, 5.0, NOW)
    eligibility.backoffs.record(upstreams[2].incarnation, 3.0, NOW)
    shortage = detect_shortage(eligibility, upstreams, None, None, NOW + 1.0)
    assert shortage is not None
    assert shortage.obstacle is Obstacle.RESTING
    assert 2.0 <= shortage.wait <= 2.75


def test_the_wait_is_short_while_a_probe_is_in_flight() -> None:
    upstreams = make_upstreams("a")
    eligibility = make_eligibility(upstreams)
    eligibility.backoffs.record(upstreams[0].incarnation, 1.0, NOW)
    eligibility.backoffs.begin_request(upstreams[0].incarnation, NOW + 2.0)
    shortage = detect_shortage(eligibility, upstreams, None, None, NOW + 2.0)
    assert shortage is not None
    assert (shortage.obstacle, shortage.wait) == (Obstacle.RESTING, PROBE_RETRY_S)


def simulate_retries(rate: int, backoff: float) -> list[float]:
    """Return when callers that were refused during a back-off retry, in seconds after its end."""
    return [
        compute_retry_delay(backoff - at, random.random(), is_retry=False) - (backoff - at)
        for at in (number / rate for number in range(round(rate * backoff)))
    ]


def test_retries_after_a_backoff_are_spread() -> None:
    for seed in range(200):
        random.seed(seed)
        retries = sorted(simulate_retries(10, 3.0))
        assert len(retries) == 30
        assert retries[0] >= 0
        busiest = max(sum(at <= other < at + 0.1 for other in retries) for at in retries)
        assert busiest <= 30 / 3


def test_callers_that_were_refused_before_retry_first() -> None:
    for wait in (0.05, 1.0, 3.0):
        latest_refused_before = compute_retry_delay(wait, 0.999, is_retry=True)
        earliest_first_refused = compute_retry_delay(wait, 0.0, is_retry=False)
        assert wait <= latest_refused_before <= earliest_first_refused
