"""What one upstream that names a limit may be sent, counted by each VM for all of them together.

Every VM keeps the same account: it fills at the rate that the upstream names, and each request of any VM takes one from
it, the own ones at once and those of others when they are told. What is sent before the news arrive makes the level
negative, and is waited for: so the sum over all VMs is the limit itself, however many there are, wherever callers are,
and however late news come; only how much comes at once depends on that.

VMs that see one request come free would all send one. Each therefore draws how far the account has to fill for itself,
anew at each change: the first one sends as its draw is reached, and the others hear of it before theirs are.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.relay.limits.messages import Origin

MIN_RATE_PER_S = 0.1
"""Requests a second that go to an upstream with a lower limit, 0 included.

It names the limit in its answers alone: without any request nobody would hear that it is over.
"""

THRESHOLD_SPREAD_S = 0.1
"""Seconds of the pace over which the VMs' draws are spread: longer than news travel."""

MIN_THRESHOLD_SPREAD = 1.0
"""Requests over which they are spread at the least."""

RETRY_PRIORITY_MARGIN = 0.25
"""Requests by which the account has to be fuller for a caller that comes first while others were told to come back."""

CAPACITY_MARGIN = 0.25
"""Requests that the account holds beyond the highest draw, so that one is reached for sure."""

THRESHOLD_TTL_S = 0.25
"""Seconds for which a draw holds while nothing is sent."""

MAX_DEBT_S = 8.0
"""Seconds of the pace by which the level is below 0 at the most, whatever others tell: two of the users' windows."""

MIN_DEBT_LIMIT = 8.0
"""Requests by which it may be below 0 in any case."""

RELEASED_PERMIT_TTL_S = 1.0
"""Seconds for which room that was taken and not used is kept for the next request of this VM: the others were told."""

MAX_ORIGINS = 2048
"""Starts of VMs of which an account knows what they sent: three times the VMs of the size to design for."""


@dataclass(slots=True)
class SharedBucket:
    """What all VMs together may send to one life of an upstream."""

    rate: float | None
    """Requests a second that the upstream names; None where it names none any more."""
    version: int
    rate_received_at: float
    """When this VM heard that, in monotonic seconds."""
    refilled_at: float
    """When the level was reckoned."""
    position: float = 0.0
    """This VM's place among all, from 0 up to 1: where VMs are many, those with the lowest send."""
    level: float = 0.0
    """Requests that may be sent; what was left over before a limit was named counts for nothing."""
    retries_expected_until: float = -math.inf
    """Until when callers may come back that were refused."""
    _threshold: float = math.inf
    _threshold_expires_at: float = -math.inf
    _acquired: int = 0
    """Requests that this VM has taken room for."""
    _totals_by_origin: dict[Origin, int] = field(default_factory=dict)
    """What the others have sent, as far as they told."""
    _released_permits: deque[float] = field(default_factory=deque)
    """When each room lapses that was taken and not used."""

    def compute_allowed_rate(self, share: float) -> float:
        """Return the requests a second that may be sent.

        :param share: part of all VMs that hear of each other; the others take the rest for themselves
        """
        assert self.rate is not None
        return max(self.rate, MIN_RATE_PER_S) * share

    def refill(self, share: float, now: float) -> None:
        """Bring the level up to date."""
        if self.rate is not None:
            self.level = min(
                self._compute_capacity(), self.level + (now - self.refilled_at) * self.compute_allowed_rate(share)
            )
        self.refilled_at = now

    def has_capacity(self, vms: int, now: float, *, is_retry: bool) -> bool:
        """Tell whether this VM may send one request now; the level has to be up to date.

        :param owed: whether its caller was refused before
        """
        if self.rate is None or self._has_released_permit(now):
            return True
        margin = RETRY_PRIORITY_MARGIN if now < self.retries_expected_until and not is_retry else 0.0
        return self.level >= self._get_threshold(vms, now) + margin

    def compute_wait(self, share: float) -> float:
        """Return the seconds until a request should find room, where none has now; the level has to be up to date."""
        threshold = self._threshold if math.isfinite(self._threshold) else 1.0 + self._compute_threshold_spread()
        return max(0.0, (threshold - self.level) / self.compute_allowed_rate(share))

    def acquire(self, now: float) -> int | None:
        """Take room for one request of this VM; return how many it has taken so far, None where that is as before."""
        if self._has_released_permit(now):
            self._released_permits.popleft()
            return None
        self._deduct(1)
        self._acquired += 1
        return self._acquired

    def release(self, now: float) -> None:
        """Keep room that was taken and not used for the next request of this VM."""
        self._released_permits.append(now + RELEASED_PERMIT_TTL_S)

    def apply_total(self, origin: Origin, total: int, new: int) -> int:
        """Take in what another VM has sent so far; return how much of it is news."""
        known = self._totals_by_origin.pop(origin, None)
        added = new if known is None else total - known
        self._totals_by_origin[origin] = total if known is None else max(known, total)
        if len(self._totals_by_origin) > MAX_ORIGINS:
            del self._totals_by_origin[next(iter(self._totals_by_origin))]
        if added > 0:
            self._deduct(added)
        return max(0, added)

    def apply_rate(self, rate: float | None, version: int, now: float) -> None:
        """Take in what the upstream names from now on; the level has to be up to date."""
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
