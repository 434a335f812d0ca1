"""Baseline policies that use reported loads only, without reservations or queueing."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from beamhatch.decide.policy.api import Policy, UpstreamChoice

if TYPE_CHECKING:
    from beamhatch.decide.fleet import Fleet
    from beamhatch.decide.ledger import Ledger
    from beamhatch.decide.policy.api import ResourceNeed

DEFAULT_SEED = 1


class LeastReportedLoadPolicy(Policy):
    """A policy that chooses the lowest reported load, ignoring requests sent since the report."""

    queues_requests = False

    def choose_first(self, need: ResourceNeed, fleet: Fleet, now: float) -> UpstreamChoice | None:
        """Choose the first upstream only."""
        role = "prefill" if need.output_tokens else "service"
        first = self._choose_by_report(role, need, fleet, now)
        return None if first is None else UpstreamChoice(first, None, now)

    def choose_decode(self, need: ResourceNeed, fleet: Fleet, now: float) -> Ledger | None:
        """Choose the decode engine after the prefill."""
        return self._choose_by_report("decode", need, fleet, now)

    def _choose_by_report(self, role: str, need: ResourceNeed, fleet: Fleet, now: float) -> Ledger | None:
        usable = fleet.list_usable(role, need.exclude, now, limit=len(fleet.ledgers))
        if not usable:
            return None
        return min(usable, key=lambda ledger: _get_reported_load(ledger, role))


class TwoChoicesPolicy(LeastReportedLoadPolicy):
    """A policy that chooses the less loaded of two random upstreams, which reduces herding on stale reports."""

    def __init__(self, parameters: dict[str, float] | None = None) -> None:
        super().__init__(parameters)
        self._random = random.Random(int(self.parameters.get("seed", DEFAULT_SEED)))

    def _choose_by_report(self, role: str, need: ResourceNeed, fleet: Fleet, now: float) -> Ledger | None:
        usable = fleet.list_usable(role, need.exclude, now, limit=len(fleet.ledgers))
        if not usable:
            return None
        drawn = self._random.sample(usable, min(2, len(usable)))
        return min(drawn, key=lambda ledger: _get_reported_load(ledger, role))


def _get_reported_load(ledger: Ledger, role: str) -> float:
    if ledger.report is None:
        return 0
    return ledger.report.held_tokens if role == "decode" else ledger.report.jobs
