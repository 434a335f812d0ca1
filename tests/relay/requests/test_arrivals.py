"""How many arrivals of a request count as retries."""

from __future__ import annotations

from itertools import product

import pytest

from beamhatch.relay.model import (
    Address,
    EngineSpec,
    Handle,
    Phase,
    RequestFacts,
    Route,
    RouteKind,
    Service,
    ServiceName,
    Stage,
    Upstream,
    UpstreamId,
    WeightedService,
)
from beamhatch.relay.requests.request import RelayRequest, Send
from beamhatch.relay.retries.budget import RetryBudget, RetryBudgetLimits

SERVICE = ServiceName("s")
ROUTE = Route("r", "h", "/", RouteKind.STREAMING, (WeightedService(SERVICE, 1),), 14.0, 0.9, 4, resumable=True)
ENGINE = Upstream(UpstreamId("e"), SERVICE, Address("e", 1), "h", False, Phase.DECODE, 16)

OUTCOMES = [
    (Stage.PREFILL, "rejected"),
    (Stage.PREFILL, "failed"),
    (Stage.PREFILL, "taken"),
    (Stage.DECODE, "rejected"),
    (Stage.WHOLE, "rejected"),
    (Stage.WHOLE, "failed"),
]


def count_beyond_first(sends: tuple[tuple[Stage, str], ...]) -> int:
    """Return the arrivals beyond the first; the first prompt that an engine reads is none."""
    read = [number for number, (stage, outcome) in enumerate(sends) if (stage, outcome) == (Stage.PREFILL, "taken")]
    return max(0, len(sends) - len(read[:1]) - 1)


@pytest.mark.parametrize("sends", [sends for length in (1, 2, 3, 4) for sends in product(OUTCOMES, repeat=length)])
def test_arrivals_beyond_the_first_are_not_counted(sends: tuple[tuple[Stage, str], ...]) -> None:
    request = RelayRequest(RequestFacts("q", None, None, 5000, 100), ROUTE, Service(SERVICE, EngineSpec(16, 1000, 0.5)))
    budget = RetryBudget(RetryBudgetLimits())
    for stage, outcome in sends:
        send = Send(stage, ENGINE)
        request.record_sent(send, budget, 1.0)
        if outcome == "rejected":
            request.record_not_run(send)
        elif outcome == "failed":
            request.record_failed(send)
        else:
            request.record_prefilled(Handle("k", ENGINE, 1.0))
    counted = len(budget._retries)
    assert count_beyond_first(sends) <= counted <= count_beyond_first(sends) + 1
