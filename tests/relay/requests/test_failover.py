"""The fallbacks of a request."""

from __future__ import annotations

from typing import cast

from beamhatch.relay.model import RequestFacts, Route, RouteKind, Service, ServiceName, UpstreamId, WeightedService
from beamhatch.relay.requests.failover import HANDOVER_GRACE_S, HANDOVER_LIMIT_S, Failover
from beamhatch.relay.requests.request import RelayRequest
from beamhatch.relay.upstreams.attempt import Attempt
from tests.support.network import Network, PausedClock

SERVICE = ServiceName("s")


class FakeUpstream:
    hall = "hall-a"

    def __init__(self, name: str) -> None:
        self.id = UpstreamId(name)


class FakeAttempt:
    """An attempt that records what is done with it."""

    def __init__(self, name: str) -> None:
        self.upstream = FakeUpstream(name)
        self.calls: list[str] = []
        self.active = False

    def is_upstream_active(self) -> bool:
        return self.active

    def release_held(self) -> None:
        self.calls.append("release")

    def cancel(self) -> None:
        self.calls.append("cancel")


class Setup:
    """A failover with two fallbacks."""

    def __init__(self) -> None:
        self.network = Network()
        route = Route("r", "h", "/", RouteKind.STREAMING, (WeightedService(SERVICE, 1),), 14.0, 0.9, 3, True)
        self.request = RelayRequest(RequestFacts("q", None, None, 100, 10), route, Service(SERVICE, None))
        self.failover = Failover(PausedClock(self.network), self.request)
        self.attempts = [FakeAttempt("a"), FakeAttempt("b")]
        for attempt in self.attempts:
            self.failover.add(cast("Attempt", attempt))

    @property
    def calls(self) -> list[list[str]]:
        return [attempt.calls for attempt in self.attempts]


def test_upstreams_of_fallbacks_are_silent_until_they_are_removed() -> None:
    setup = Setup()
    assert setup.request.obstacles.silent == {"a", "b"}
    assert setup.failover.remove(cast("Attempt", setup.attempts[0]))
    assert not setup.failover.remove(cast("Attempt", setup.attempts[0]))
    assert setup.request.obstacles.silent == {"b"}
    assert setup.failover.pop_last() is cast("Attempt", setup.attempts[1])
    assert not setup.failover.active
    assert not setup.request.obstacles.silent


def test_a_fallback_that_responds_during_a_handover_is_released_a_little_later() -> None:
    setup = Setup()
    setup.failover.begin_handover()
    setup.network.run(3.0)
    assert not setup.failover.admits(cast("Attempt", setup.attempts[0]))
    setup.network.run(HANDOVER_GRACE_S - 0.01)
    assert not setup.failover.admits(cast("Attempt", setup.attempts[0]))
    assert setup.calls == [[], []]
    setup.network.run(0.02)
    assert setup.calls == [["release"], ["release"]]
    assert setup.failover.admits(cast("Attempt", setup.attempts[0]))


def test_a_fallback_is_released_at_once_where_the_other_upstream_does_not_take_the_stream() -> None:
    setup = Setup()
    setup.failover.begin_handover()
    assert not setup.failover.admits(cast("Attempt", setup.attempts[0]))
    setup.failover.end_handover()
    assert setup.calls == [["release"], ["release"]]
    setup.network.run(2 * HANDOVER_GRACE_S)
    assert setup.calls == [["release"], ["release"]]


def test_a_fallback_continues_at_once_where_nothing_is_handed_over() -> None:
    setup = Setup()
    assert setup.failover.admits(cast("Attempt", setup.attempts[0]))
    setup.failover.begin_handover()
    setup.failover.end_handover()
    assert setup.failover.admits(cast("Attempt", setup.attempts[0]))


def test_an_attempt_that_is_no_fallback_continues_at_once_during_a_handover() -> None:
    setup = Setup()
    setup.failover.begin_handover()
    assert setup.failover.admits(cast("Attempt", FakeAttempt("c")))


def test_fallbacks_that_are_given_up_are_cancelled_and_not_released() -> None:
    setup = Setup()
    setup.failover.begin_handover()
    assert not setup.failover.admits(cast("Attempt", setup.attempts[0]))
    setup.failover.cancel()
    setup.network.run(2 * HANDOVER_GRACE_S)
    assert setup.calls == [["cancel"], ["cancel"]]
    assert not setup.failover.active
    assert not setup.request.obstacles.silent


def test_a_fallback_at_an_engine_that_goes_on_with_others_is_cancelled_soon_after_the_handover() -> None:
    setup = Setup()
    setup.attempts[0].active = True
    setup.failover.begin_handover()
    setup.network.run(HANDOVER_LIMIT_S + 0.01)
    assert setup.calls == [["cancel"], []]
    assert setup.request.obstacles.silent == {"b"}


def test_no_fallback_is_cancelled_where_the_other_upstream_did_not_take_the_stream() -> None:
    setup = Setup()
    setup.attempts[0].active = True
    setup.failover.begin_handover()
    setup.failover.end_handover()
    setup.network.run(2 * HANDOVER_LIMIT_S)
    assert setup.calls == [["release"], ["release"]]
