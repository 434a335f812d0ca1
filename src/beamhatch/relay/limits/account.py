"""A token bucket for one rate-limited upstream, replicated on every VM.

Each VM refills its copy at the announced rate and deducts the requests of all VMs: its own immediately, those of others
when their counts arrive. Requests that other VMs sent before their counts arrived can make the level negative.

To keep VMs that see free capacity from all sending at once, each VM sends only while the level is at or above a random
threshold. It draws a new threshold after each deduction, after each change of the rate, and when the old one expires.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.relay.limits.words import Origin

MIN_RATE_PER_S = 0.1
"""Lowest rate at which requests are sent, even if the limit is lower or 0.

Upstreams announce limits only in responses, so without requests a raised or withdrawn limit would go unnoticed.
"""

THRESHOLD_SPREAD_S = 0.1
"""Range of the thresholds, as the seconds in which it accrues at the announced rate.

Exceeds the delay of updates between VMs.
"""

MIN_THRESHOLD_SPREAD = 1.0
"""Minimum range of the thresholds, in requests."""

RETRY_PRIORITY_MARGIN = 0.25
"""Extra requests that the level must hold for a first attempt while retries of refused callers are expected."""

CAPACITY_MARGIN = 0.25
"""Capacity beyond the highest threshold, in requests, so that every threshold can be reached."""

THRESHOLD_TTL_S = 0.25
"""Seconds after which a threshold is drawn again if the level was not changed by requests."""

MAX_DEBT_S = 8.0
"""Maximum debt, as the seconds in which it is repaid at the announced rate; counts beyond it are ignored."""

MIN_DEBT_LIMIT = 8.0
"""Lower bound of the maximum debt, in requests."""

RELEASED_PERMIT_TTL_S = 1.0
"""Seconds for which a released permit can be reused by this VM; other VMs have already deducted it."""

MAX_ORIGINS = 2048
"""Number of origins whose totals a bucket keeps.

Three times the VMs of the largest fleet to design for.
"""


@dataclass(slots=True)
class SharedBucket:
    """The requests that all VMs together may send to one incarnation of an upstream."""

    rate: float | None
    """Announced limit in requests per second; None if it was withdrawn."""
    version: int
    rate_received_at: float
    """When this VM learned of the rate, in monotonic seconds."""
    refilled_at: float
    """When the level was last brought up to date."""
    position: float = 0.0
    """This VM's position in [0, 1); in large fleets only the VMs with the lowest positions send."""
    level: float = 0.0
    """Requests that may be sent; negative if more were sent. Starts at 0 or below when a limit is announced."""
    retries_expected_until: float = -math.inf
    """Until when refused callers may retry, in monotonic seconds."""
    _threshold: float = math.inf
    _threshold_expires_at: float = -math.inf
    _acquired: int = 0
    """Total of requests acquired by this VM."""
    _totals_by_origin: dict[Origin, int] = field(default_factory=dict)
    """Totals last received from other VMs."""
    _released_permits: deque[float] = field(default_factory=deque)
    """When each released permit expires."""

    def compute_allowed_rate(self, share: float) -> float:
        """Return the requests per second that the VMs in contact with each other may send.

        :param share: these VMs as a share of all; the remaining rate is left to the others
        """
        assert self.rate is not None
        return max(self.rate, MIN_RATE_PER_S) * share

    def refill(self, share: float, now: float) -> None:
        """Add what has accrued since the last refill."""
        if self.rate is not None:
            self.level = min(
                self._compute_capacity(), self.level + (now - self.refilled_at) * self.compute_allowed_rate(share)
            )
        self.refilled_at = now

    def has_capacity(self, vms: int, now: float, *, is_retry: bool) -> bool:
        """Return whether this VM may send one request now; call ``refill`` first.

        :param is_retry: whether the caller was refused before
        """
        if self.rate is None or self._has_released_permit(now):
            return True
        margin = RETRY_PRIORITY_MARGIN if now < self.retries_expected_until and not is_retry else 0.0
        return self.level >= self._get_threshold(vms, now) + margin

    def compute_wait(self, share: float) -> float:
        """Return the estimated seconds until the level reaches the threshold; call ``refill`` first."""
        threshold = self._threshold if math.isfinite(self._threshold) else 1.0 + self._compute_threshold_spread()
        return max(0.0, (threshold - self.level) / self.compute_allowed_rate(share))

    def acquire(self, now: float) -> int | None:
        """Acquire one request; return the new total of this VM, or None if a released permit was reused."""
        if self._has_released_permit(now):
            self._released_permits.popleft()
            return None
        self._deduct(1)
        self._acquired += 1
        return self._acquired

    def release(self, now: float) -> None:
        """Keep an unused permit for the next request of this VM."""
        self._released_permits.append(now + RELEASED_PERMIT_TTL_S)

    def apply_total(self, origin: Origin, total: int, new: int) -> int:
        """Apply the total of another VM; return how many requests it adds."""
        known = self._totals_by_origin.pop(origin, None)
        added = new if known is None else total - known
        self._totals_by_origin[origin] = total if known is None else max(known, total)
        if len(self._totals_by_origin) > MAX_ORIGINS:
            del self._totals_by_origin[next(iter(self._totals_by_origin))]
        if added > 0:
            self._deduct(added)
        return max(0, added)

    def apply_rate(self, rate: float | None, version: int, now: float) -> None:
        """Apply a changed limit, None for none; call ``refill`` first."""
        if rate is not None and self.rate is None:
            self.level = min(self.level, 0.0)
        self.rate = rate
        self.version = version
        self.rate_received_at = now
        self._threshold_expires_at = -math.inf
        if rate is not None:
            self.level = min(self.level, self._compute_capacity())

    def _deduct(self, requests: int) -> None:
        self.level = max(self.level - requests, -self._compute_max_debt())
        self._threshold_expires_at = -math.inf

    def _has_released_permit(self, now: float) -> bool:
        while self._released_permits and self._released_permits[0] <= now:
            self._released_permits.popleft()
        return bool(self._released_permits)

    def _get_threshold(self, vms: int, now: float) -> float:
        if now >= self._threshold_expires_at:
            self._threshold_expires_at = now + THRESHOLD_TTL_S
            if vms <= 1:
                self._threshold = 1.0
            else:
                self._threshold = 1.0 + self._compute_threshold_spread() * random.random()
        return self._threshold

    def _compute_threshold_spread(self) -> float:
        return max(MIN_THRESHOLD_SPREAD, THRESHOLD_SPREAD_S * (self.rate or 0.0))

    def _compute_capacity(self) -> float:
        return 1.0 + self._compute_threshold_spread() + RETRY_PRIORITY_MARGIN + CAPACITY_MARGIN

    def _compute_max_debt(self) -> float:
        return max(MIN_DEBT_LIMIT, MAX_DEBT_S * (self.rate or 0.0))
