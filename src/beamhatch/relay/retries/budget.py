"""Limit retries to a share of the recent requests, plus this VM's part of a fixed number that all VMs share."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

SAFETY_FACTOR = 0.8
"""Share of the allowance that is used, since the number of other VMs is known only approximately."""

MIN_VMS = 6
"""Minimum number of VMs among which the slack is divided."""


@dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """The limits on retries of all VMs together within one window."""

    ratio: float = 0.2
    """Retries allowed per request."""
    slack: float = 50.0
    """Retries allowed in addition to that, whatever the number of requests."""
    window_s: float = 10.0


FIRST_WINDOW_SHARE = 0.3
"""Share of the slack that a VM uses in its first window, since retries from before a restart are not counted."""


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

    def record_retry(self, now: float, count: int = 1) -> None:
        """Count some retries."""
        self._retries.extend([now] * count)

    def withdraw_retry(self, at: float, count: int) -> None:
        """Take back some retries that were counted at a time, as they were not made."""
        for _ in range(min(count, self._retries.count(at))):
            self._retries.remove(at)

    def allows(self, now: float, vm_count: int, count: int = 1) -> bool:
        """Return whether some more retries are allowed if ``vm_count`` VMs share the slack."""
        self._trim(now)
        slack = self.limits.slack / max(MIN_VMS, vm_count)
        if now - self.started_at < self.limits.window_s:
            slack *= FIRST_WINDOW_SHARE
        allowance = self.limits.ratio * len(self._requests) + slack
        return len(self._retries) + count <= SAFETY_FACTOR * allowance

    def _trim(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self.limits.window_s:
                times.popleft()
