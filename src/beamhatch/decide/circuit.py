"""A circuit breaker for one upstream, and a budget for retries."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FAILURES_TO_OPEN = 3
FIRST_PAUSE = 0.5
LONGEST_PAUSE = 10.0


class Circuit(Enum):
    """Whether an upstream is given work."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(slots=True)
class Breaker:
    """Opens after several failures in a row, and lets a single request through to try again."""

    state: Circuit = Circuit.CLOSED
    failures: int = 0
    open_until: float = 0.0
    _pause: float = FIRST_PAUSE

    def allows(self, now: float) -> bool:
        """Tell whether the upstream may be given a request now."""
        if self.state is Circuit.OPEN:
            return now >= self.open_until
        return self.state is Circuit.CLOSED

    def note_dispatch(self, now: float) -> None:
        """Note that a request was sent; after a pause it is the one that tries."""
        if self.state is Circuit.OPEN and now >= self.open_until:
            self.state = Circuit.HALF_OPEN

    def note_success(self) -> None:
        """Note that the upstream did its work."""
        self.state = Circuit.CLOSED
        self.failures = 0
        self._pause = FIRST_PAUSE

    def note_failure(self, now: float) -> None:
        """Note that the upstream failed a request."""
        self.failures += 1
        if self.state is Circuit.CLOSED and self.failures < FAILURES_TO_OPEN:
            return
        self.state = Circuit.OPEN
        self.open_until = now + self._pause
        self._pause = min(self._pause * 2, LONGEST_PAUSE)

    def note_release(self) -> None:
        """Note that a request ended without saying anything of the upstream."""
        if self.state is Circuit.HALF_OPEN:
            self.state = Circuit.OPEN


@dataclass(slots=True)
class RetryBudget:
    """Allows retries as a share of successes, so that an outage is not multiplied."""

    share: float = 0.1
    most: float = 20.0
    left: float = 20.0

    def note_success(self) -> None:
        """Earn a part of a retry."""
        self.left = min(self.most, self.left + self.share)

    def spend(self) -> bool:
        """Take one retry out of the budget; return whether there was one."""
        if self.left < 1:
            return False
        self.left -= 1
        return True
