"""Tests of the budget of the VM's link."""

from __future__ import annotations

import pytest

from beamhatch.relay.model import RouteName
from beamhatch.relay.overload.costs import RequestCosts
from beamhatch.relay.overload.link import UTILIZATION, UTILIZATION_ALONE, LinkBudget
from beamhatch.relay.overload.meter import LinkBytes

RATE = 1_000_000.0
COST = LinkBytes(10_000, 8_000)


def count_admitted(budget: LinkBudget, seconds: float, demand: float, *, alone: bool) -> int:
    """Return how many of the requests that arrive at a steady rate are admitted."""
    admitted = 0
    for number in range(int(seconds * demand)):
        now = number / demand
        if budget.has_room(now, alone=alone):
            budget.reserve(now)
            budget.replace_reserved(COST, now)
            admitted += 1
    return admitted


def test_requests_use_the_usable_share_of_the_link() -> None:
    admitted = count_admitted(LinkBudget(RATE, 0.0), 60.0, 500.0, alone=False)
    assert admitted * COST.peak == pytest.approx(60.0 * UTILIZATION * RATE, rel=0.02)


def test_a_vm_that_no_other_can_relieve_uses_more_of_its_link() -> None:
    admitted = count_admitted(LinkBudget(RATE, 0.0), 60.0, 500.0, alone=True)
    assert admitted * COST.peak == pytest.approx(60.0 * UTILIZATION_ALONE * RATE, rel=0.02)


def test_demand_below_the_usable_share_is_admitted() -> None:
    assert count_admitted(LinkBudget(RATE, 0.0), 60.0, 60.0, alone=False) == 3600


def test_the_busier_direction_counts() -> None:
    budget = LinkBudget(RATE, 0.0)
    budget.commit(LinkBytes(0, RATE), 0.0)
    assert not budget.has_room(0.0, alone=True)
    budget = LinkBudget(RATE, 0.0)
    budget.commit(LinkBytes(RATE, 0), 0.0)
    assert not budget.has_room(0.0, alone=True)


def test_an_unknown_rate_allows_everything() -> None:
    budget = LinkBudget(0.0, 0.0)
    budget.commit(LinkBytes(1e12, 1e12), 0.0)
    assert budget.has_room(0.0, alone=False)


def test_a_connection_without_a_request_uses_nothing() -> None:
    budget = LinkBudget(RATE, 0.0)
    for _ in range(1000):
        budget.reserve(0.0)
        budget.release(0.0)
    assert budget.describe()["committed_s"] == 0.0


def test_costs_are_learned_from_answered_requests_of_the_same_route() -> None:
    costs = RequestCosts(LinkBudget(RATE, 0.0))
    for _ in range(50):
        costs.budget.reserve(0.0)
        cost = costs.begin(RouteName("streams"), 5000, 0.0)
        cost.record_call()
        cost.record_call()
        for _ in range(70):
            cost.record_response(100)
        cost.record_answered()
        cost.end(0.0)
    before = costs.budget.describe()["committed_s"]
    costs.budget.reserve(0.0)
    costs.begin(RouteName("streams"), 5000, 0.0)
    after = costs.budget.describe()["committed_s"]
    assert isinstance(before, float)
    assert isinstance(after, float)
    assert after - before > 0.02  # two calls of 5 KB, and 70 packets


def test_a_request_that_ends_early_gives_back_what_it_did_not_use() -> None:
    budget = LinkBudget(RATE, 0.0)
    costs = RequestCosts(budget)
    budget.reserve(0.0)
    costs.begin(RouteName("a"), 400_000, 0.0).end(0.0)
    assert budget.describe()["committed_s"] == pytest.approx(0.42, abs=0.02)  # the body was received
