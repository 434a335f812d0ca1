"""A circuit breaker for one upstream, and a budget for retries."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FAILURES_TO_OPEN = 3
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 10.0


class CircuitState(Enum):
    """Whether an upstream is given work."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(slots=True)
class CircuitBreaker:
    """Opens after several failures in a row, and lets a single request through to try again."""

    state: CircuitState = CircuitState.CLOSED
    failures: int = 0
    open_until: float = 0.0
    _pause: float = MIN_PAUSE_S

    def allows_request(self, now: float) -> bool:
        """Tell whether the upstream may be given a request now."""
        if self.state is CircuitState.OPEN:
            return now >= self.open_until
        return self.state is CircuitState.CLOSED

    def record_dispatch(self, now: float) -> None:
        """Note that a request was sent; after a pause it is the one that tries."""
        if self.state is CircuitState.OPEN and now >= self.open_until:
            self.state = CircuitState.HALF_OPEN

    def record_success(self) -> None:
        """Note that the upstream did its work."""
        self.state = CircuitState.CLOSED
        self.failures = 0
        self._pause = MIN_PAUSE_S

    def record_failure(self, now: float) -> None:
        """Note that the upstream failed a request."""
        self.failures += 1
        if self.state is CircuitState.CLOSED and self.failures < FAILURES_TO_OPEN:
            return
        self.state = CircuitState.OPEN
        self.open_until = now + self._pause
        self._pause = min(self._pause * 2, MAX_PAUSE_S)

    def record_release(self) -> None:
        """Note that a request ended without saying anything of the upstream."""
        if self.state is CircuitState.HALF_OPEN:
            self.state = CircuitState.OPEN


@dataclass(slots=True)
class RetryBudget:
    """Allows retries as a share of successes, so that an outage is not multiplied."""

    retries_per_success: float = 0.1
    max_retries: float = 20.0
    remaining: float = 20.0

    def record_success(self) -> None:
        """Earn a part of a retry."""
        self.remaining = min(self.max_retries, self.remaining + self.retries_per_success)

    def acquire(self) -> bool:
        """Take one retry out of the budget; return whether there was one."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True
