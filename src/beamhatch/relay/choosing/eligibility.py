"""Decide which upstreams a request may be sent to.

Every code path that sends a request uses these checks, including retries and memory reservations. The chooser then
compares the costs of the eligible upstreams.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from beamhatch.relay.choosing.cold_gate import ColdGate, ColdPermit, UnlimitedGate
from beamhatch.relay.choosing.rests import Backoffs
from beamhatch.relay.fleet.evacuations import Evacuations
from beamhatch.relay.limits.limits import LimitPermit, Limits
from beamhatch.relay.topology import Topology

if TYPE_CHECKING:
    from collections.abc import Iterable

    from beamhatch.relay.model import ColdTerms, Regions, Upstream
    from beamhatch.relay.upstreams.listing import Listing


class Obstacle(Enum):
    """Reason why an upstream may not be sent a request; names in lower case are metric labels and log fields."""

    EMPTIED = "the operators have emptied its hall"
    LEAVING = "it leaves"
    REGION = "it is in no region that the request may be served in"
    RESTING = "it has asked for rest"
    LIMITED = "it takes no more now, by the limit that it names"
    COLD = "it is cold, and bears no more now"
    VERSION = "it runs another version of the software than the one that began the stream"


@dataclass(frozen=True, slots=True)
class SendPermit:
    """Reservation for one request to an upstream that is cold, has announced a limit, or both."""

    cold: ColdPermit | None
    limited: LimitPermit | None

    def use(self, now: float) -> None:
        """Count the request as sent, which uses up the reservation."""
        if self.cold is not None:
            self.cold.use(now)
        if self.limited is not None:
            self.limited.use(now)

    def drop(self, now: float) -> None:
        """Release the reservation, unless the request was sent."""
        if self.cold is not None:
            self.cold.drop(now)
        if self.limited is not None:
            self.limited.drop(now)


@dataclass(slots=True)
class Eligibility:
    """Conditions under which upstreams may be sent requests."""

    listing: Listing
    places: Topology = field(default_factory=Topology)
    evacuations: Evacuations = field(default_factory=Evacuations)
    gate: ColdGate = field(default_factory=UnlimitedGate)
    backoffs: Backoffs = field(default_factory=Backoffs)
    limits: Limits = field(default_factory=Limits)

    def get_obstacle(
        self, upstream: Upstream, regions: Regions, cold: ColdTerms | None, now: float, *, is_retry: bool = False
    ) -> Obstacle | None:
        """Return why an upstream may not be sent a request, or None if it may.

        :param regions: the regions that the request may be served in; None allows any
        :param cold: the limits of the service's cold upstreams; None if they are not limited
        :param is_retry: whether the caller was refused before and retries now
        """
        if self.evacuations.is_evacuated(upstream.hall):
            return Obstacle.EMPTIED
        if self.listing.is_leaving(upstream):
            return Obstacle.LEAVING
        if not self.is_in_regions(upstream, regions):
            return Obstacle.REGION
        if not self.backoffs.may_send_to(upstream, now):
            return Obstacle.RESTING
        if not self.limits.may_send_to(upstream, now, is_retry=is_retry):
            return Obstacle.LIMITED
        return Obstacle.COLD if self.is_cold_blocked(upstream, cold, now) else None

    def is_in_regions(self, upstream: Upstream, regions: Regions) -> bool:
        """Return whether an upstream is in one of the regions that a request may be served in."""
        return regions is None or self.places.is_in_regions(upstream.hall, regions)

    def is_cold(self, upstream: Upstream, cold: ColdTerms, now: float) -> bool:
        """Return whether an upstream counts as cold, as it also does for some time after its hall's evacuation ends."""
        return now < self.get_cold_until(upstream, cold)

    def _may_any_be_cold(self, cold: ColdTerms, now: float) -> bool:
        return now < max(self.listing.latest_cold_until, self.evacuations.latest_end_at + cold.duration)

    def get_cold_until(self, upstream: Upstream, cold: ColdTerms) -> float:
        """Return until when an upstream counts as cold, in monotonic seconds."""
        evacuation_end = self.evacuations.get_end_time(upstream.hall)
        return max(self.listing.get_cold_until(upstream.id), evacuation_end + cold.duration)

    def get_cold_wait(self, upstream: Upstream, cold: ColdTerms, now: float) -> float:
        """Return the seconds until this VM may send to a cold upstream, at most until it is warm."""
        warm_in = max(0.0, self.get_cold_until(upstream, cold) - now)
        return min(warm_in, self.gate.get_wait(upstream, cold, now))

    def acquire_permit(self, upstream: Upstream, cold: ColdTerms | None, now: float) -> SendPermit | None:
        """Reserve one request to an upstream; return None if it is warm and has no limit, so that none is needed."""
        limited = self.limits.acquire_permit(upstream.incarnation, now)
        if cold is None or not self.is_cold(upstream, cold, now):
            return None if limited is None else SendPermit(None, limited)
        self.gate.reserve(upstream.id, now)
        return SendPermit(ColdPermit(self.gate, upstream.id), limited)

    def is_cold_blocked(self, upstream: Upstream, cold: ColdTerms | None, now: float) -> bool:
        """Return whether an upstream is cold and the gate allows no further request from this VM now."""
        return cold is not None and self.is_cold(upstream, cold, now) and not self.gate.may_send(upstream, cold, now)

    def record_send(self, upstream: Upstream, cold: ColdTerms | None, now: float) -> None:
        """Count a request that is sent without reserving a permit first."""
        self.limits.record_request(upstream.incarnation, now)
        if cold is not None and self.is_cold(upstream, cold, now):
            self.gate.record_sent(upstream.id, now)

    def list_eligible(
        self,
        upstreams: Iterable[Upstream],
        regions: Regions,
        cold: ColdTerms | None,
        now: float,
        *,
        is_retry: bool = False,
    ) -> list[Upstream]:
        """Return the upstreams that a request may be sent to."""
        if cold is not None and not self._may_any_be_cold(cold, now):
            cold = None  # none is cold: avoids checking each upstream
        return [one for one in upstreams if self.get_obstacle(one, regions, cold, now, is_retry=is_retry) is None]

    def count_obstacles(
        self, upstreams: Iterable[Upstream], regions: Regions, cold: ColdTerms | None, now: float
    ) -> Counter[Obstacle]:
        """Return the number of upstreams that each obstacle excludes."""
        found = (self.get_obstacle(one, regions, cold, now) for one in upstreams)
        return Counter(obstacle for obstacle in found if obstacle is not None)
