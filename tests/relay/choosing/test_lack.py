"""What is told where nothing may be sent to any upstream."""

from __future__ import annotations

import random

from beamhatch.relay.choosing.eligibility import Eligibility, Obstacle
from beamhatch.relay.choosing.lack import EMPTIED_WAIT, LEAVING_WAIT, TRIAL_WAIT, find_lack, spread_return
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
    listing.take_whole([Entry(one.id, 1, one) for one in upstreams], 1, NOW)
    return Eligibility(listing)


def test_nothing_lacks_while_one_may_be_sent_to() -> None:
    upstreams = make_upstreams("ab")
    eligibility = make_eligibility(upstreams)
    eligibility.listing.note_leaving(upstreams[0].incarnation, NOW)
    assert find_lack(eligibility, upstreams, None, None, NOW) is None
    assert find_lack(eligibility, [], None, None, NOW) is None


def test_where_all_leave_or_lie_in_emptied_halls_that_is_told() -> None:
    upstreams = make_upstreams("ab")
    eligibility = make_eligibility(upstreams)
    for one in upstreams:
        eligibility.listing.note_leaving(one.incarnation, NOW)
    lack = find_lack(eligibility, upstreams, None, None, NOW)
    assert lack is not None
    assert (lack.obstacle, lack.wait) == (Obstacle.LEAVING, LEAVING_WAIT)
    for hall in "ab":
        eligibility.evacuations.take(Evacuation(hall, 2, True), NOW)
    lack = find_lack(eligibility, upstreams, None, None, NOW)
    assert lack is not None
    assert (lack.obstacle, lack.wait) == (Obstacle.EMPTIED, EMPTIED_WAIT)


def test_where_any_rests_the_end_of_the_first_rest_is_told() -> None:
    upstreams = make_upstreams("abc")
    eligibility = make_eligibility(upstreams)
    eligibility.listing.note_leaving(upstreams[0].incarnation, NOW)
    eligibility.rests.take(upstreams[1].incarnation, 5.0, NOW)
    eligibility.rests.take(upstreams[2].incarnation, 3.0, NOW)
    lack = find_lack(eligibility, upstreams, None, None, NOW + 1.0)
    assert lack is not None
    assert lack.obstacle is Obstacle.RESTING
    assert 2.0 <= lack.wait <= 2.75


def test_while_a_first_request_tries_whether_one_is_back_others_may_come_soon() -> None:
    upstreams = make_upstreams("a")
    eligibility = make_eligibility(upstreams)
    eligibility.rests.take(upstreams[0].incarnation, 1.0, NOW)
    eligibility.rests.begin(upstreams[0].incarnation, NOW + 2.0)
    lack = find_lack(eligibility, upstreams, None, None, NOW + 2.0)
    assert lack is not None
    assert (lack.obstacle, lack.wait) == (Obstacle.RESTING, TRIAL_WAIT)


def play_returns(rate: int, rest: float) -> list[float]:
    """Return when callers come back that were refused in a rest, in seconds behind its end."""
    return [
        spread_return(rest - at, random.random(), owed=False) - (rest - at)
        for at in (number / rate for number in range(round(rate * rest)))
    ]


def test_callers_that_were_refused_in_a_rest_come_back_one_after_the_other() -> None:
    for seed in range(200):
        random.seed(seed)
        returns = sorted(play_returns(10, 3.0))
        assert len(returns) == 30
        assert returns[0] >= 0
        busiest = max(sum(at <= other < at + 0.1 for other in returns) for at in returns)
        assert busiest <= 30 / 3


def test_callers_that_came_back_before_go_first() -> None:
    for wait in (0.05, 1.0, 3.0):
        latest_owed = spread_return(wait, 0.999, owed=True)
        earliest_new = spread_return(wait, 0.0, owed=False)
        assert wait <= latest_owed <= earliest_new
