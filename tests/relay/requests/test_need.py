"""What a request tells the chooser that it needs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.choosing.chooser import LeastCost, Need
from beamhatch.relay.choosing.distance import EVENT_BYTES, find_cache
from beamhatch.relay.choosing.standing import Standings
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
from beamhatch.relay.requests.budget import Budget, BudgetTerms
from beamhatch.relay.requests.request import RelayRequest, Reserve

if TYPE_CHECKING:
    from collections.abc import Sequence

SERVICE = ServiceName("s")
ENGINE = EngineSpec(16, 45_026, 0.5, 2.0, tokens_per_event=2, kv_bytes_per_token=18_432, link_bytes_per_s=35e9)
NOW = 100.0


def make_request() -> RelayRequest:
    route = Route("r", "h", "/", RouteKind.STREAMING, (WeightedService(SERVICE, 1),), 14.0, 0.9)
    facts = RequestFacts("q", None, None, 5000, 100)
    return RelayRequest(facts, route, Service(SERVICE, ENGINE), answer_room=80, body_bytes=700)


def make_upstream(name: str, hall: str) -> Upstream:
    return Upstream(UpstreamId(name), SERVICE, Address(name, 1), hall, False, Phase.DECODE, 16)


class RecordingChooser(LeastCost):
    """Keeps what it was asked for."""

    def __init__(self) -> None:
        super().__init__(Standings(), "a")
        self.needs: list[Need] = []

    def choose_decode(
        self,
        usable: Sequence[Upstream],
        need: Need,
        tried: set[UpstreamId],
        now: float,
        *,
        handle: Handle | None,
        kv_tokens: int,
    ) -> Upstream | None:
        self.needs.append(need)
        return super().choose_decode(usable, need, tried, now, handle=handle, kv_tokens=kv_tokens)


def test_tells_the_bytes_of_its_cache_its_body_and_its_answer() -> None:
    need = make_request().need
    assert need.cache == find_cache(ENGINE, 5000)
    assert need.body_bytes == 700
    assert need.answer_bytes == 40 * EVENT_BYTES


def test_tells_where_it_has_memory() -> None:
    request = make_request()
    assert request.need.decode_hall == ""
    request.note_reserved(Reservation("v", make_upstream("u", "b"), NOW + 2))
    assert request.need.decode_hall == "b"


def test_tells_the_halls_of_the_engines_that_refused_it() -> None:
    request, chooser, budget = make_request(), RecordingChooser(), Budget(BudgetTerms())
    usable = [make_upstream("u1", "a"), make_upstream("u2", "a"), make_upstream("u3", "b")]
    for _ in range(3):
        step = request.plan(usable, chooser, budget, 1, NOW)
        assert isinstance(step, Reserve)
        request.note_full(step.upstream.id)
    assert [sorted(need.refused_halls) for need in chooser.needs] == [[], ["a"], ["a", "a"]]
