"""The naive policy: the least reported load at each stage, no reservation, no waiting."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from beamhatch.decide.policy.api import Choice, Policy

if TYPE_CHECKING:
    from beamhatch.decide.fleet import Fleet
    from beamhatch.decide.ledger import Ledger
    from beamhatch.decide.policy.api import Need

FIRST_SEED = 1


class Naive(Policy):
    """Sends each stage to the upstream whose last report was the lowest, without counting what was sent since."""

    queues = False

    def start(self, need: Need, fleet: Fleet, now: float) -> Choice | None:
        """Choose the first stage only."""
        role = "prefill" if need.output_tokens else "service"
        first = self._choose(role, need, fleet, now)
        return None if first is None else Choice(first, None, now)

    def land(self, need: Need, fleet: Fleet, now: float) -> Ledger | None:
        """Choose the decode engine when the prefill has ended."""
        return self._choose("decode", need, fleet, now)

    def _choose(self, role: str, need: Need, fleet: Fleet, now: float) -> Ledger | None:
        usable = fleet.list_usable(role, need.exclude, now, most=len(fleet.ledgers))
        if not usable:
            return None
        return min(usable, key=lambda ledger: _reported(ledger, role))


class TwoChoices(Naive):
    """Takes the better of two upstreams drawn at random: lagging reports then herd less."""

    def __init__(self, parameters: dict[str, float] | None = None) -> None:
        super().__init__(parameters)
        self._random = random.Random(int(self.parameters.get("seed", FIRST_SEED)))

    def _choose(self, role: str, need: Need, fleet: Fleet, now: float) -> Ledger | None:
        usable = fleet.list_usable(role, need.exclude, now, most=len(fleet.ledgers))
        if not usable:
            return None
        drawn = self._random.sample(usable, min(2, len(usable)))
        return min(drawn, key=lambda ledger: _reported(ledger, role))


def _reported(ledger: Ledger, role: str) -> float:
    if ledger.report is None:
        return 0
    return ledger.report.held_tokens if role == "decode" else ledger.report.jobs
