"""Limit requests to each cold upstream by letting only a few VMs, its sponsors, send them.

Sponsors are chosen by consistent hashing over the known VMs, so VMs with the same view agree without messages. Together
they use half of the upstream's limit, so that the sponsors of two disjoint views still stay within it.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from typing import TYPE_CHECKING

from beamhatch.relay.choosing.cold_gate import CountingGate
from beamhatch.relay.model import hash_to_fraction

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.choosing.cold_gate import ColdLimit, KnownVms
    from beamhatch.relay.model import ColdTerms, Upstream, UpstreamId

MAX_DISJOINT_VIEWS = 2
"""Number of disjoint views whose sponsors together stay within an upstream's limit."""

SPONSOR_TERM_S = 10.0
"""Seconds after which an upstream that is still cold gets other sponsors."""

SPONSOR_TERM_GAP_S = 2.0
"""Seconds without sponsors between two terms: the delay of updates between VMs, plus the second of the limit."""


class SponsorGate(CountingGate):
    """Gate that is open on the VMs whose hashes follow that of the upstream."""

    def __init__(
        self, vms: KnownVms, bound: ColdLimit, started: float, find_cold_until: Callable[[UpstreamId], float]
    ) -> None:
        super().__init__(vms, bound, started)
        self._find_cold_until = find_cold_until
        self._own = hash_to_fraction(vms.own_name)
        self._ring = [self._own]
        """Sorted hashes of all known VMs."""
        self._not_sponsored: set[UpstreamId] = set()
        """Upstreams that this VM does not sponsor, cached until the next refresh of the view."""

    def on_view_changed(self) -> None:
        """Rebuild the hash ring."""
        self._ring = sorted([self._own, *map(hash_to_fraction, self.list_others())])

    def may_send(self, upstream: Upstream, terms: ColdTerms, now: float) -> bool:
        """Return whether one more request may be sent now."""
        if self.is_view_fresh(now) and upstream.id in self._not_sponsored:
            return False
        return super().may_send(upstream, terms, now)

    def on_view_refreshed(self) -> None:
        """Clear the cache of upstreams that this VM does not sponsor."""
        self._not_sponsored.clear()

    def count_allowed(self, upstream: Upstream, terms: ColdTerms, now: float) -> int:
        """Return this sponsor's part of the limit, or 0 if this VM is no sponsor now."""
        part = int(self.limit.compute_limit(terms) / MAX_DISJOINT_VIEWS)
        sponsors = min(part, self.vm_count)
        if not sponsors:
            return 0
        term = self._get_term(upstream, terms, now)
        if term is None:
            return 0
        if not self._is_sponsor(upstream.id, term, sponsors):
            self._not_sponsored.add(upstream.id)
            return 0
        self._not_sponsored.discard(upstream.id)  # may have become a sponsor since the last refresh
        return 1 if self.is_discovering(now) else part // sponsors

    def get_wait_for_allowance(self, upstream: Upstream, terms: ColdTerms, now: float) -> float:
        """Return infinity, since it is unknown when this VM is a sponsor; callers that retry may reach one that is."""
        return math.inf

    def _get_term(self, upstream: Upstream, terms: ColdTerms, now: float) -> int | None:
        """Return the number of the term, counted back from the end of the cold time, or None between two terms."""
        left = max(0.0, self._find_cold_until(upstream.id) - now)
        term = int(left // SPONSOR_TERM_S)
        end = (term + 1) * SPONSOR_TERM_S
        has_previous_term = max(terms.duration, upstream.cold_left) > end
        return None if has_previous_term and left > end - SPONSOR_TERM_GAP_S else term

    def _is_sponsor(self, upstream: UpstreamId, term: int, sponsors: int) -> bool:
        """Return whether this VM is among the first VMs that follow the upstream on the hash ring."""
        first = bisect_left(self._ring, hash_to_fraction(f"{upstream}/{term}"))
        own = bisect_left(self._ring, self._own)
        return (own - first) % len(self._ring) < sponsors
