"""Give each VM a short turn to send requests to each cold upstream, one after the other.

Turns are scheduled by the upstream's remaining cold time, which VMs know without messages among them. It may differ
between VMs, so turns of different times of the schedule can fall into the same second.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.choosing.cold_gate import CountingGate
from beamhatch.relay.model import hash_fraction

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.choosing.cold_gate import ColdLimit, KnownVms
    from beamhatch.relay.model import ColdTerms, Upstream, UpstreamId

TURN_S = 0.5
"""Length of a turn in seconds."""

MAX_COUNTDOWN_SKEW_S = 1.0
"""Maximum difference between VMs in the remaining cold time of an upstream, in seconds."""

MIN_ROUND_S = 1.0 + MAX_COUNTDOWN_SKEW_S + TURN_S
"""Seconds of the schedule whose turns may fall into one second of real time."""


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
        """Return 0 outside of this VM's turn, in it 1 or an equal part of the limit, whichever is more."""
        if self._get_wait_for_turn(upstream.id, terms, now) > 0:
            return 0
        return max(1, int(self.limit.compute_limit(terms) / self.vm_count))

    def get_wait_for_allowance(self, upstream: Upstream, terms: ColdTerms, now: float) -> float:
        """Return the seconds until this VM's next turn."""
        return max(0.0, self._get_wait_for_turn(upstream.id, terms, now))

    def _get_wait_for_turn(self, upstream: UpstreamId, terms: ColdTerms, now: float) -> float:
        """Return the seconds until this VM's turn begins; 0 or less during the turn."""
        limit = self.limit.compute_limit(terms)
        if limit < 1 + 1e-9:
            return self._find_cold_until(upstream) - now
        rate = (limit - 1) / MIN_ROUND_S
        period = max(self.vm_count / rate, MIN_ROUND_S)
        left = self._find_cold_until(upstream) - now
        until = (left - self._get_rank(upstream) / rate) % period
        return until - period if until > period - TURN_S else until

    def _get_rank(self, upstream: UpstreamId) -> int:
        rank = self._ranks.get(upstream)
        if rank is None:
            own = hash_fraction(f"{upstream}/{self.vms.own_name}")
            rank = sum(hash_fraction(f"{upstream}/{name}") > own for name in self.list_others())
            self._ranks[upstream] = rank
        return rank
