"""The fallbacks of a request."""

from __future__ import annotations

from typing import cast

from beamhatch.relay.model import RequestFacts, Route, RouteKind, Service, ServiceName, UpstreamId, WeightedService
from beamhatch.relay.requests.failover import HANDOVER_TIMEOUT_S, Failover
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

    def pause(self) -> None:
        self.calls.append("pause")

    def resume_reading(self) -> None:
        self.calls.append("resume")

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
    assert setup.request.silent_upstreams == {"a", "b"}
    assert setup.failover.remove(cast("Attempt", setup.attempts[0]))
    assert not setup.failover.remove(cast("Attempt", setup.attempts[0]))
    assert setup.request.silent_upstreams == {"b"}
    assert setup.failover.pop_last() is cast("Attempt", setup.attempts[1])
    assert not setup.failover.active
    assert not setup.request.silent_upstreams


def test_fallbacks_are_cancelled_where_the_handover_takes_too_long() -> None:
    setup = Setup()
    setup.failover.suspend()
    setup.network.run(HANDOVER_TIMEOUT_S - 0.01)
    assert setup.calls == [["pause"], ["pause"]]
    setup.network.run(0.02)
    assert setup.calls == [["pause", "cancel"], ["pause", "cancel"]]
    assert not setup.failover.active
    assert not setup.request.silent_upstreams


def test_fallbacks_are_read_again_where_the_other_upstream_does_not_take_the_request() -> None:
    setup = Setup()
    setup.failover.suspend()
    setup.network.run(HANDOVER_TIMEOUT_S / 2)
    setup.failover.resume()
    setup.network.run(2 * HANDOVER_TIMEOUT_S)
    assert setup.calls == [["pause", "resume"], ["pause", "resume"]]
    assert setup.failover.active


def test_fallbacks_that_were_not_suspended_are_not_resumed() -> None:
    setup = Setup()
    setup.failover.resume()
    assert setup.calls == [[], []]
