"""Budget of the VM's link: how many bytes the accepted requests will still put on it."""

from __future__ import annotations

from beamhatch.relay.overload.api import Resource, ResourceName
from beamhatch.relay.overload.meter import LinkBytes

UTILIZATION = 0.7
"""Share of the link's rate that requests may use; with more, bursts wait for tens of milliseconds."""

UTILIZATION_ALONE = 0.95
"""The same where no other VM could serve the callers."""

BURST_S = 0.5
"""Seconds of the usable rate that may be committed at once while demand is below that rate on average."""

CROWDED_BURST_S = 0.2
"""The same while demand exceeds that rate."""

RELAXED_S = 0.05
"""Seconds of the usable rate below which demand no longer counts as exceeding it."""

MEAN_WEIGHT = 0.05
"""Weight of the newest request in the mean cost."""

INITIAL_MEAN = LinkBytes(4096, 4096)
"""Assumed cost of a request before any was seen."""


class LinkBudget(Resource):
    """Leaky bucket for each direction of the link, filled by the expected bytes of requests when they are accepted.

    A request's bytes pass the link over seconds, so the level is not what waits at the link. In steady state, the
    accepted requests use the usable share of the link's rate.
    """

    name = ResourceName.LINK

    def __init__(self, bytes_per_s: float, now: float) -> None:
        """Create an empty bucket.

        :param bytes_per_s: rate of the link in each direction; 0 if unknown, which allows everything
        """
        self._bytes_per_s = bytes_per_s
        self._level = LinkBytes()
        self._leaked_at = now
        self._usable_share = UTILIZATION_ALONE
        self._mean = INITIAL_MEAN
        self._is_crowded = False
        """Whether demand exceeds the usable rate."""

    def has_room(self, now: float, *, alone: bool) -> bool:
        """Return whether the level leaves room for a request of mean cost."""
        if not self._bytes_per_s:
            return True
        self._leak(now)
        self._usable_share = UTILIZATION_ALONE if alone else UTILIZATION
        committed_s = self._level.peak / (self._usable_share * self._bytes_per_s)
        if self._is_crowded:
            self._is_crowded = committed_s > RELAXED_S
        else:
            self._is_crowded = committed_s > BURST_S
        return committed_s <= (CROWDED_BURST_S if self._is_crowded else BURST_S)

    def describe(self) -> dict[str, object]:
        """Return the seconds for which the committed bytes use the link, and the mean cost of a request."""
        if not self._bytes_per_s:
            return {}
        return {
            "committed_s": round(self._level.peak / self._bytes_per_s, 3),
            "mean_request": round(self._mean.peak),
        }

    def reserve(self, now: float) -> None:
        """Commit the mean cost for a request that has not been read."""
        self.commit(self._mean, now)

    def release(self, now: float) -> None:
        """Take back the mean cost for a request that never came."""
        self.commit(self._mean.scale(-1), now)

    def replace_reserved(self, cost: LinkBytes, now: float) -> None:
        """Commit the expected cost of a request that has been read, in place of the mean cost."""
        self.commit(cost - self._mean, now)
        self._mean = self._mean.scale(1 - MEAN_WEIGHT) + cost.scale(MEAN_WEIGHT)

    def commit(self, cost: LinkBytes, now: float) -> None:
        """Commit bytes to the link; a negative cost takes back bytes that were committed."""
        self._leak(now)
        self._level = self._level + cost

    def _leak(self, now: float) -> None:
        leaked = (now - self._leaked_at) * self._usable_share * self._bytes_per_s
        self._leaked_at = now
        self._level = LinkBytes(max(0.0, self._level.received - leaked), max(0.0, self._level.sent - leaked))
