"""Tests of the priority that admission gives to requests."""

from __future__ import annotations

import pytest

from beamhatch.relay.model import (
    CallerLimits,
    RequestFacts,
    Route,
    RouteKind,
    ServiceName,
    WeightedService,
    make_routing_table,
)
from beamhatch.relay.workspaces.admission import Admission, Admitted
from beamhatch.relay.workspaces.workspace import Workspace, WorkspaceName, digest_key

KEY = digest_key("a key")


@pytest.mark.parametrize(("own", "expected"), [(None, 2), (0, 0), (5, 5)])
def test_a_workspaces_priority_overrides_its_routes(own: int | None, expected: int) -> None:
    route = Route("r", "h", "/", RouteKind.SAFE, (WeightedService(ServiceName("s"), 1.0),), 1.0, 0.1, priority=2)
    workspace = Workspace(WorkspaceName("desk"), (KEY,), priority=own)
    table = make_routing_table(1, [route], [], CallerLimits(), (workspace,))
    decision = Admission().decide(RequestFacts("id", None, key=KEY), route, table, 0.0)
    assert isinstance(decision, Admitted)
    assert decision.priority == expected


def test_without_workspaces_all_requests_have_the_same_priority() -> None:
    route = Route("r", "h", "/", RouteKind.SAFE, (WeightedService(ServiceName("s"), 1.0),), 1.0, 0.1, priority=2)
    decision = Admission().decide(
        RequestFacts("id", None), route, make_routing_table(1, [route], [], CallerLimits()), 0.0
    )
    assert decision == Admitted()
