"""Each VM has a short turn at each cold upstream, one behind the other on the upstream's own countdown.

The countdown is all that VMs have in common without a message. Where it differs by a second from VM to VM, a second of
true time sees the turns of two seconds and those that began before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.choosing.cold_gate import CountingGate
from beamhatch.relay.model import hash_fraction

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.choosing.cold_gate import ColdBound, KnownVms
    from beamhatch.relay.model import ColdTerms, Upstream, UpstreamId

TURN_S = 0.5
"""Seconds of a turn: a VM of many has a request in it now and then."""

MAX_COUNTDOWN_SKEW_S = 1.0
"""Seconds by which VMs' countdowns differ at the most."""

MIN_ROUND_S = 1.0 + MAX_COUNTDOWN_SKEW_S + TURN_S
"""Seconds of countdowns whose turns may fall into one second."""


class RoundRobinGate(CountingGate):
    """Lets each VM send one request in its turn."""

    def __init__(
        self, vms: KnownVms, bound: ColdBound, started: float, find_cold_until: Callable[[UpstreamId], float]
    ) -> None:
        super().__init__(vms, bound, started)
        self._find_cold_until = find_cold_until
        self._ranks: dict[UpstreamId, int] = {}

    def on_view_changed(self) -> None:
        """Work the order out anew."""
        self._ranks.clear()

    def count_allowed(self, upstream: Upstream, terms: ColdTerms, now: float) -> int:
        """Return this VM's part in its turn: 1, or more where all VMs may have theirs in one second."""
        if self._get_wait_for_turn(upstream.id, terms, now) > 0:
            return 0
        return max(1, int(self.bound.compute_limit(terms) / self.vm_count))

    def get_wait_for_allowance(self, upstream: Upstream, terms: ColdTerms, now: float) -> float:
        """Return the seconds until this VM's next turn."""
        return max(0.0, self._get_wait_for_turn(upstream.id, terms, now))

    def _get_wait_for_turn(self, upstream: UpstreamId, terms: ColdTerms, now: float) -> float:
        """Return the seconds until this VM's turn begins; not above 0 during it."""
        most = self.bound.compute_limit(terms)
        if most < 1 + 1e-9:
            return self._find_cold_until(upstream) - now
        rate = (most - 1) / MIN_ROUND_S
        period = max(self.vm_count / rate, MIN_ROUND_S)
        left = self._find_cold_until(upstream) - now
        until = (left - self._get_rank(upstream) / rate) % period
        return until - period if until > period - TURN_S else until

    def _get_rank(self, upstream: UpstreamId) -> int:
        rank = self._ranks.get(upstream)
        if rank is None:
            own = hash_fraction(f"{upstream}/{self.vms.own}")
            rank = sum(hash_fraction(f"{upstream}/{name}") > own for name in self.list_others())
            self._ranks[upstream] = rank
        return rank
