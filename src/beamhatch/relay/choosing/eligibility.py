"""Which upstreams a request may go to at all. What each of them would cost is another matter, of the chooser.

Every decision that sends anything asks here, so that a new condition holds for all of them: first and repeated sends,
prompts and streams, plain services, memory that is set aside.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from beamhatch.relay.choosing.cold import ColdGate, OpenGate, Permit
from beamhatch.relay.choosing.rests import Rests
from beamhatch.relay.fleet.evacuations import Evacuations
from beamhatch.relay.limits.limits import LimitPermit, Limits
from beamhatch.relay.topology import Topology

if TYPE_CHECKING:
    from collections.abc import Iterable

    from beamhatch.relay.model import ColdTerms, Regions, Upstream
    from beamhatch.relay.upstreams.listing import Listing


class Obstacle(Enum):
    """Why an upstream may not be sent a request."""

    EMPTIED = "the operators have emptied its hall"
    LEAVING = "it leaves"
    REGION = "it is in no region that the request may be served in"
    RESTING = "it has asked for rest"
    LIMITED = "it takes no more now, by the limit that it names"
    COLD = "it is cold, and bears no more now"


@dataclass(frozen=True, slots=True)
class SendPermit:
    """Room for one request at an upstream that is cold, names a limit, or both."""

    cold: Permit | None
    limited: LimitPermit | None

    def use(self, now: float) -> None:
        """Use the room: the request goes out now."""
        if self.cold is not None:
            self.cold.use(now)
        if self.limited is not None:
            self.limited.use(now)

    def drop(self, now: float) -> None:
        """Give the room back, unless the request went out."""
        if self.cold is not None:
            self.cold.drop(now)
        if self.limited is not None:
            self.limited.drop(now)


@dataclass(slots=True)
class Eligibility:
    """Knows what stands between requests and upstreams."""

    listing: Listing
    places: Topology = field(default_factory=Topology)
    evacuations: Evacuations = field(default_factory=Evacuations)
    gate: ColdGate = field(default_factory=OpenGate)
    rests: Rests = field(default_factory=Rests)
    limits: Limits = field(default_factory=Limits)

    def find_obstacle(
        self, upstream: Upstream, regions: Regions, cold: ColdTerms | None, now: float, *, owed: bool = False
    ) -> Obstacle | None:
        """Return why an upstream may not be sent a request, or None where it may.

        :param regions: the regions that the request may be served in; None where it may be in any
        :param cold: what upstreams of the service bear while they are cold; None where that is as much as ever
        :param owed: whether its caller was refused before
        """
        if self.evacuations.is_emptied(upstream.hall):
            return Obstacle.EMPTIED
        if self.listing.is_leaving(upstream):
            return Obstacle.LEAVING
        if not self.lies_in(upstream, regions):
            return Obstacle.REGION
        if not self.rests.may_be_sent(upstream, now):
            return Obstacle.RESTING
        if not self.limits.may_be_sent(upstream, now, owed=owed):
            return Obstacle.LIMITED
        return Obstacle.COLD if self.is_shut(upstream, cold, now) else None

    def lies_in(self, upstream: Upstream, regions: Regions) -> bool:
        """Tell whether an upstream is in one of the regions that a request may be served in."""
        return regions is None or self.places.is_in_regions(upstream.hall, regions)

    def is_cold(self, upstream: Upstream, cold: ColdTerms, now: float) -> bool:
        """Tell whether an upstream is cold, or may be as its hall was taken back a moment ago."""
        return now < self.find_cold_until(upstream, cold)

    def _may_any_be_cold(self, cold: ColdTerms, now: float) -> bool:
        return now < max(self.listing.latest_cold, self.evacuations.latest_return + cold.duration)

    def find_cold_until(self, upstream: Upstream, cold: ColdTerms) -> float:
        """Return until when an upstream is taken as cold, in monotonic seconds."""
        returned = self.evacuations.find_return(upstream.hall)
        return max(self.listing.find_cold_until(upstream.id), returned + cold.duration)

    def find_wait(self, upstream: Upstream, cold: ColdTerms, now: float) -> float:
        """Return the seconds until this VM may send to a cold upstream, at the latest when that is warm."""
        warm_in = max(0.0, self.find_cold_until(upstream, cold) - now)
        return min(warm_in, self.gate.find_wait(upstream, cold, now))

    def take_permit(self, upstream: Upstream, cold: ColdTerms | None, now: float) -> SendPermit | None:
        """Hold room for a request that is to go to an upstream; None where that is warm, and names no limit."""
        limited = self.limits.hold(upstream.incarnation, now)
        if cold is None or not self.is_cold(upstream, cold, now):
            return None if limited is None else SendPermit(None, limited)
        self.gate.hold(upstream.id, now)
        return SendPermit(Permit(self.gate, upstream.id), limited)

    def is_shut(self, upstream: Upstream, cold: ColdTerms | None, now: float) -> bool:
        """Tell whether a cold upstream bears no more from this VM now."""
        return cold is not None and self.is_cold(upstream, cold, now) and not self.gate.may_send(upstream, cold, now)

    def note_send(self, upstream: Upstream, cold: ColdTerms | None, now: float) -> None:
        """Count a request that goes to an upstream without a permit."""
        self.limits.spend(upstream.incarnation, now)
        if cold is not None and self.is_cold(upstream, cold, now):
            self.gate.note_sent(upstream.id, now)

    def list_eligible(
        self,
        upstreams: Iterable[Upstream],
        regions: Regions,
        cold: ColdTerms | None,
        now: float,
        *,
        owed: bool = False,
    ) -> list[Upstream]:
        """Return those of some upstreams that a request may go to."""
        if cold is not None and not self._may_any_be_cold(cold, now):
            cold = None  # 1,000 warm upstreams are looked through in a third of the time
        return [one for one in upstreams if self.find_obstacle(one, regions, cold, now, owed=owed) is None]

    def count_obstacles(
        self, upstreams: Iterable[Upstream], regions: Regions, cold: ColdTerms | None, now: float
    ) -> Counter[Obstacle]:
        """Return how many of some upstreams each obstacle keeps a request from, for who asks why it was refused."""
        found = (self.find_obstacle(one, regions, cold, now) for one in upstreams)
        return Counter(obstacle for obstacle in found if obstacle is not None)
