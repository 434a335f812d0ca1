"""Each VM has a short turn at each cold upstream, one behind the other on the upstream's own countdown.

The countdown is all that VMs have in common without a message. Where it differs by a second from VM to VM, a second of
true time sees the turns of two seconds and those that began before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.choosing.cold import CountingGate
from beamhatch.relay.model import hash_to_fraction

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.choosing.cold import ColdBound, KnownVms
    from beamhatch.relay.model import ColdTerms, Upstream, UpstreamId

TURN = 0.5
"""Seconds of a turn: a VM of many has a request in it now and then."""

LATEST_NEWS = 1.0
"""Seconds by which VMs' countdowns differ at the most."""

SHORTEST_ROUND = 1.0 + LATEST_NEWS + TURN
"""Seconds of countdowns whose turns may fall into one second."""


class TurnGate(CountingGate):
    """Lets each VM send one request in its turn."""

    def __init__(
        self, vms: KnownVms, bound: ColdBound, started: float, find_cold_until: Callable[[UpstreamId], float]
    ) -> None:
        super().__init__(vms, bound, started)
        self._find_cold_until = find_cold_until
        self._ranks: dict[UpstreamId, int] = {}

    def take_view(self) -> None:
        """Work the order out anew."""
        self._ranks.clear()

    def count_allowed(self, upstream: Upstream, terms: ColdTerms, now: float) -> int:
        """Return this VM's part in its turn: 1, or more where all VMs may have theirs in one second."""
        if self._find_until_turn(upstream.id, terms, now) > 0:
            return 0
        return max(1, int(self.bound.count(terms) / self.size))

    def find_opening(self, upstream: Upstream, terms: ColdTerms, now: float) -> float:
        """Return the seconds until this VM's next turn."""
        return max(0.0, self._find_until_turn(upstream.id, terms, now))

    def _find_until_turn(self, upstream: UpstreamId, terms: ColdTerms, now: float) -> float:
        """Return the seconds until this VM's turn begins; not above 0 during it."""
        most = self.bound.count(terms)
        if most < 1 + 1e-9:
            return self._find_cold_until(upstream) - now
        rate = (most - 1) / SHORTEST_ROUND
        period = max(self.size / rate, SHORTEST_ROUND)
        left = self._find_cold_until(upstream) - now
        until = (left - self._find_rank(upstream) / rate) % period
        return until - period if until > period - TURN else until

    def _find_rank(self, upstream: UpstreamId) -> int:
        rank = self._ranks.get(upstream)
        if rank is None:
            own = hash_to_fraction(f"{upstream}/{self.vms.own}")
            rank = sum(hash_to_fraction(f"{upstream}/{name}") > own for name in self.list_others())
            self._ranks[upstream] = rank
        return rank
