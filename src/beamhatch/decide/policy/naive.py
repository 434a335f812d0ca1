"""The naive policy: the least reported load at each stage, no reservation, no waiting."""

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
    """Sends each stage to the upstream whose last report was the lowest, without counting what was sent since."""

    queues_requests = False

    def choose_first(self, need: ResourceNeed, fleet: Fleet, now: float) -> UpstreamChoice | None:
        """Choose the first stage only."""
        role = "prefill" if need.output_tokens else "service"
        first = self._choose_by_report(role, need, fleet, now)
        return None if first is None else UpstreamChoice(first, None, now)

    def choose_decode(self, need: ResourceNeed, fleet: Fleet, now: float) -> Ledger | None:
        """Choose the decode engine when the prefill has ended."""
        return self._choose_by_report("decode", need, fleet, now)

    def _choose_by_report(self, role: str, need: ResourceNeed, fleet: Fleet, now: float) -> Ledger | None:
        usable = fleet.list_usable(role, need.exclude, now, limit=len(fleet.ledgers))
        if not usable:
            return None
        return min(usable, key=lambda ledger: _get_reported_load(ledger, role))


class TwoChoicesPolicy(LeastReportedLoadPolicy):
    """Takes the better of two upstreams drawn at random: lagging reports then herd less."""

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
