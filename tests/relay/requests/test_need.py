"""The needs of a request, as passed to the chooser."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.choosing.chooser import LeastCostChooser, RequestRequirements
from beamhatch.relay.choosing.distance import EVENT_BYTES, compute_cache_transfer
from beamhatch.relay.choosing.standing import UpstreamStatsRegistry
from beamhatch.relay.model import (
    Address,
    EngineSpec,
    Handle,
    Phase,
    RequestFacts,
    Reservation,
    Route,
    RouteKind,
    Service,
    ServiceName,
    Upstream,
    UpstreamId,
    WeightedService,
)
from beamhatch.relay.requests.request import RelayRequest, Reserve
from beamhatch.relay.retries.budget import RetryBudget, RetryBudgetLimits

if TYPE_CHECKING:
    from collections.abc import Sequence

SERVICE = ServiceName("s")
ENGINE = EngineSpec(16, 45_026, 0.5, 2.0, tokens_per_event=2, kv_bytes_per_token=18_432, link_bytes_per_s=35e9)
NOW = 100.0


def make_request() -> RelayRequest:
    route = Route("r", "h", "/", RouteKind.STREAMING, (WeightedService(SERVICE, 1),), 14.0, 0.9)
    facts = RequestFacts("q", None, None, 5000, 100)
    return RelayRequest(facts, route, Service(SERVICE, ENGINE), reserved_output_tokens=80, body_bytes=700)


def make_upstream(name: str, hall: str) -> Upstream:
    return Upstream(UpstreamId(name), SERVICE, Address(name, 1), hall, False, Phase.DECODE, 16)


class RecordingChooser(LeastCostChooser):
    """A chooser that records the needs it is called with."""

    def __init__(self) -> None:
        super().__init__(UpstreamStatsRegistry(), "a")
        self.needs: list[RequestRequirements] = []

    def choose_decode(
        self,
        usable: Sequence[Upstream],
        need: RequestRequirements,
        tried: set[UpstreamId],
        now: float,
        *,
        handle: Handle | None,
        kv_tokens: int,
    ) -> Upstream | None:
        self.needs.append(need)
        return super().choose_decode(usable, need, tried, now, handle=handle, kv_tokens=kv_tokens)


def test_need_has_the_sizes_of_cache_body_and_output() -> None:
    need = make_request().need
    assert need.cache == compute_cache_transfer(ENGINE, 5000)
    assert need.body_bytes == 700
    assert need.response_bytes == 40 * EVENT_BYTES


def test_need_has_the_hall_of_the_reservation() -> None:
    request = make_request()
    assert request.need.decode_hall == ""
    request.record_reserved(Reservation("v", make_upstream("u", "b"), NOW + 2))
    assert request.need.decode_hall == "b"


def test_need_has_the_halls_of_engines_without_memory() -> None:
    request, chooser, budget = make_request(), RecordingChooser(), RetryBudget(RetryBudgetLimits())
    usable = [make_upstream("u1", "a"), make_upstream("u2", "a"), make_upstream("u3", "b")]
    for _ in range(3):
        step = request.plan(usable, chooser, budget, 1, NOW)
        assert isinstance(step, Reserve)
        request.obstacles.record_full(step.upstream.id)
    assert [sorted(need.refused_halls) for need in chooser.needs] == [[], ["a"], ["a", "a"]]
