"""Circuit breakers and retry budgets."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FAILURES_TO_OPEN = 3
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 10.0


class CircuitState(Enum):
    """The state of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(slots=True)
class CircuitBreaker:
    """A circuit breaker for one upstream, with exponentially growing pauses.

    It opens after ``FAILURES_TO_OPEN`` consecutive failures; after the pause it admits a single probe request.
    """

    state: CircuitState = CircuitState.CLOSED
    failures: int = 0
    open_until: float = 0.0
    _pause: float = MIN_PAUSE_S

    def allows_request(self, now: float) -> bool:
        """Return whether a request may be sent to the upstream."""
        if self.state is CircuitState.OPEN:
            return now >= self.open_until
        return self.state is CircuitState.CLOSED

    def record_dispatch(self, now: float) -> None:
        """Record that a request was sent; after a pause it is the probe request."""
        if self.state is CircuitState.OPEN and now >= self.open_until:
            self.state = CircuitState.HALF_OPEN

    def record_success(self) -> None:
        """Record a successful request, and close the circuit."""
        self.state = CircuitState.CLOSED
        self.failures = 0
        self._pause = MIN_PAUSE_S

    def record_failure(self, now: float) -> None:
        """Record a failed request, and open the circuit if there were enough failures."""
        self.failures += 1
        if self.state is CircuitState.CLOSED and self.failures < FAILURES_TO_OPEN:
            return
        self.state = CircuitState.OPEN
        self.open_until = now + self._pause
        self._pause = min(self._pause * 2, MAX_PAUSE_S)

    def record_release(self) -> None:
        """Record that a request ended without a result; a half-open circuit may then be probed again."""
        if self.state is CircuitState.HALF_OPEN:
            self.state = CircuitState.OPEN


@dataclass(slots=True)
class RetryBudget:
    """A budget that limits retries to a fraction of successes, so that retries do not amplify an outage."""

    retries_per_success: float = 0.1
    max_retries: float = 20.0
    remaining: float = 20.0

    def record_success(self) -> None:
        """Add ``retries_per_success`` to the budget."""
        self.remaining = min(self.max_retries, self.remaining + self.retries_per_success)

    def acquire(self) -> bool:
        """Take one retry from the budget; return whether one was available."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True
