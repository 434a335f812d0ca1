"""The budget of repeated sends: a share of the requests, and a part of the slack that all VMs have together."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

SAFETY_FACTOR = 0.8
"""Share of the allowance that is used: what other VMs hold and how many they are is known only about."""

MIN_VMS = 6
"""VMs that the slack is divided by at the least, as long as fewer are known."""


@dataclass(frozen=True, slots=True)
class RetryBudgetTerms:
    """The bounds that hold for all VMs together, in any window."""

    ratio: float = 0.2
    slack: float = 50.0
    window_s: float = 10.0
    """Seconds."""


FIRST_WINDOW_SHARE = 0.3
"""Share of the slack that a VM uses in its first window: one that restarts forgot what it sent before."""


@dataclass(slots=True)
class RetryBudget:
    """Counts this VM's requests and repeated sends to one service in a sliding window."""

    terms: RetryBudgetTerms
    started_at: float = -1e9
    """When the VM started, in monotonic seconds."""
    _requests: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)

    def record_retry(self, now: float) -> None:
        """Count a send beyond a request's first."""
        self._retries.append(now)

    def allows(self, now: float, vm_count: int) -> bool:
        """Tell whether one more repeated send fits, given the number of VMs that share the slack."""
        self._trim(now)
        slack = self.terms.slack / max(MIN_VMS, vm_count)
        if now - self.started_at < self.terms.window_s:
            slack *= FIRST_WINDOW_SHARE
        allowance = self.terms.ratio * len(self._requests) + slack
        return len(self._retries) + 1 <= SAFETY_FACTOR * allowance

    def _trim(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self.terms.window_s:
                times.popleft()
