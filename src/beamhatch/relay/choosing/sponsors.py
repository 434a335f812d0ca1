"""A few VMs send to each cold upstream, and all others nothing.

Which ones follows from the names of the VMs that are known of, by rendezvous hashing, so VMs that know of the same ones
agree without a message. Together they have half of what the upstream bears: two views that have nothing in common, as
those of a fleet in two parts that forgot each other, still sum up to no more than all of it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from beamhatch.relay.choosing.cold import CountingGate
from beamhatch.relay.model import hash_fraction

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.choosing.cold import ColdBound, KnownVms
    from beamhatch.relay.model import ColdTerms, Upstream, UpstreamId

VIEWS = 2
"""Views without a VM in common that together stay below what an upstream bears."""

TERM = 10.0
"""Seconds for which the same VMs send to an upstream that stays cold for long; then it is the turn of others."""

TERM_GAP = 2.0
"""Seconds between two terms: how late it is known that an upstream is cold, and the second that the bound is of."""

MOST_ANSWERS = 4096
"""Upstreams for which it is kept whether this VM sends to them."""


class SponsorGate(CountingGate):
    """Lets the few VMs send that go first in an order of their own for each upstream."""

    def __init__(
        self, vms: KnownVms, bound: ColdBound, started: float, find_cold_until: Callable[[UpstreamId], float]
    ) -> None:
        super().__init__(vms, bound, started)
        self._find_cold_until = find_cold_until
        self._answers: dict[tuple[UpstreamId, int], bool] = {}

    def take_view(self) -> None:
        """Choose anew."""
        self._answers.clear()

    def count_allowed(self, upstream: Upstream, terms: ColdTerms, now: float) -> int:
        """Return this VM's part of any second, 0 where others send."""
        part = int(self.bound.count(terms) / VIEWS)
        sponsors = min(part, self.size)
        if not sponsors:
            return 0
        term = self._find_term(upstream, terms, now)
        if term is None or not self._is_sponsor(upstream.id, term, sponsors):
            return 0
        return part // sponsors

    def find_opening(self, upstream: Upstream, terms: ColdTerms, now: float) -> float:
        """Return no time: it is the turn of other VMs, and callers that come back reach one of them."""
        return math.inf

    def _find_term(self, upstream: Upstream, terms: ColdTerms, now: float) -> int | None:
        """Return the number of the term, counted from the end of the cold time, or None between two of them."""
        left = max(0.0, self._find_cold_until(upstream.id) - now)
        term = int(left // TERM)
        end = (term + 1) * TERM
        had_one_before = max(terms.start_time, upstream.cold_left) > end
        return None if had_one_before and left > end - TERM_GAP else term

    def _is_sponsor(self, upstream: UpstreamId, term: int, sponsors: int) -> bool:
        key = upstream, term
        answer = self._answers.get(key)
        if answer is None:
            if len(self._answers) >= MOST_ANSWERS:
                self._answers.clear()
            answer = self._answers[key] = self._goes_first(f"{upstream}/{term}/", sponsors)
        return answer

    def _goes_first(self, order: str, sponsors: int) -> bool:
        """Tell whether fewer than some VMs go before this one; it looks no further than it needs to."""
        own = hash_fraction(order + self.vms.own)
        ahead = 0
        for name in self.list_others():
            ahead += hash_fraction(order + name) > own
            if ahead >= sponsors:
                return False
        return True
