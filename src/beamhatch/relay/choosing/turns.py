"""Give each VM a short turn to send requests to each cold upstream, one after the other.

Turns are scheduled by the upstream's remaining cold time, which VMs know without messages among them. That time
may differ between VMs, so VMs with different turns may send in the same second.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.choosing.cold_gate import CountingGate
from beamhatch.relay.model import hash_to_fraction

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.choosing.cold_gate import ColdLimit, KnownVms
    from beamhatch.relay.model import ColdTerms, Upstream, UpstreamId

TURN_S = 0.5
"""Length of a turn in seconds."""

MAX_COUNTDOWN_SKEW_S = 1.0
"""Maximum difference between VMs in the remaining cold time of an upstream, in seconds."""

MIN_ROUND_S = 1.0 + MAX_COUNTDOWN_SKEW_S + TURN_S
"""Minimum length of a round: the part of the schedule whose turns may overlap one second of real time."""


class RoundRobinGate(CountingGate):
    """Gate that is open during this VM's turns."""

    def __init__(
        self, vms: KnownVms, bound: ColdLimit, started: float, find_cold_until: Callable[[UpstreamId], float]
    ) -> None:
        super().__init__(vms, bound, started)
        self._find_cold_until = find_cold_until
        self._ranks: dict[UpstreamId, int] = {}

    def on_view_changed(self) -> None:
        """Clear the ranks, which depend on the known VMs."""
        self._ranks.clear()

    def count_allowed(self, upstream: Upstream, terms: ColdTerms, now: float) -> int:
        """Return 0 outside this VM's turn; during it an equal part of the limit, but at least 1."""
        if self._get_wait_for_turn(upstream.id, terms, now) > 0:
            return 0
        return max(1, int(self.limit.compute_limit(terms) / self.vm_count))

    def get_wait_for_allowance(self, upstream: Upstream, terms: ColdTerms, now: float) -> float:
        """Return the seconds until this VM's next turn."""
        return max(0.0, self._get_wait_for_turn(upstream.id, terms, now))

    def _get_wait_for_turn(self, upstream: UpstreamId, terms: ColdTerms, now: float) -> float:
        """Return the seconds until this VM's turn begins, 0 or less during it; if the limit is below 1, until warm."""
        limit = self.limit.compute_limit(terms)
        if limit < 1 + 1e-9:
            return self._find_cold_until(upstream) - now
        rate = (limit - 1) / MIN_ROUND_S
        period = max(self.vm_count / rate, MIN_ROUND_S)
        left = self._find_cold_until(upstream) - now
        wait = (left - self._get_rank(upstream) / rate) % period
        return wait - period if wait > period - TURN_S else wait

    def _get_rank(self, upstream: UpstreamId) -> int:
        rank = self._ranks.get(upstream)
        if rank is None:
            own = hash_to_fraction(f"{upstream}/{self.vms.own_name}")
            rank = sum(hash_to_fraction(f"{upstream}/{name}") > own for name in self.list_others())
            self._ranks[upstream] = rank
        return rank
