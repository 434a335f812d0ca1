"""Limit retries to a share of the recent requests plus this VM's part of a slack that all VMs share."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

SAFETY_FACTOR = 0.8
"""Share of the allowance that is used, since the number of other VMs and what they sent is known only roughly."""

MIN_VMS = 6
"""Minimum number of VMs that the slack is divided by."""


@dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """The limits on retries for all VMs together, in any window."""

    ratio: float = 0.2
    """Retries allowed per request."""
    slack: float = 50.0
    """Retries allowed in addition."""
    window_s: float = 10.0


FIRST_WINDOW_SHARE = 0.3
"""Share of the slack that a VM uses in its first window, since it does not know what it sent before a restart."""


@dataclass(slots=True)
class RetryBudget:
    """A count of this VM's requests and retries to one service in a sliding window."""

    limits: RetryBudgetLimits
    started_at: float = -1e9
    """Monotonic time in seconds at which the VM started."""
    _requests: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def record_request(self, now: float) -> None:
        """Count a request from a caller."""
        self._requests.append(now)

    def record_retry(self, now: float) -> None:
        """Count a retry."""
        self._retries.append(now)

    def allows(self, now: float, vm_count: int) -> bool:
        """Return whether one more retry is allowed when the slack is shared by this many VMs."""
        self._trim(now)
        slack = self.limits.slack / max(MIN_VMS, vm_count)
        if now - self.started_at < self.limits.window_s:
            slack *= FIRST_WINDOW_SHARE
        allowance = self.limits.ratio * len(self._requests) + slack
        return len(self._retries) + 1 <= SAFETY_FACTOR * allowance

    def _trim(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self.limits.window_s:
                times.popleft()
