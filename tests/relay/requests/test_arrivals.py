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
from beamhatch.relay.requests.request import MAX_PREFILLS, RelayRequest, Send
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
    """Return the arrivals beyond the first; the first prompt that an engine takes up is none."""
    taken_up = [one for one in sends if one[0] is Stage.PREFILL and one[1] != "rejected"]
    return max(0, len(sends) - len(taken_up[:1]) - 1)


def list_series() -> list[tuple[tuple[Stage, str], ...]]:
    """Return all series of up to four sends that a request may make."""
    series = [one for length in (1, 2, 3, 4) for one in product(OUTCOMES, repeat=length)]
    return [one for one in series if sum(stage is Stage.PREFILL for stage, _ in one) <= MAX_PREFILLS]


@pytest.mark.parametrize("sends", list_series())
def test_arrivals_beyond_the_first_are_not_counted(sends: tuple[tuple[Stage, str], ...]) -> None:
    request = RelayRequest(RequestFacts("q", None, None, 5000, 100), ROUTE, Service(SERVICE, EngineSpec(16, 1000, 0.5)))
    budget = RetryBudget(RetryBudgetLimits())
    for stage, outcome in sends:
        send = Send(stage, ENGINE)
        request.record_sent(send, budget, 1.0)
        if outcome == "rejected":
            request.record_not_run(send)
            if stage is Stage.PREFILL:
                request.retries.record_prompt_rejected(budget, 1.0)
        elif outcome == "failed":
            request.record_failed(send)
        else:
            request.record_prefilled(Handle("k", ENGINE, 1.0))
    counted = len(budget._retries)
    assert count_beyond_first(sends) <= counted <= count_beyond_first(sends) + 1
