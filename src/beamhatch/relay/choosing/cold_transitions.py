"""Detect when upstreams turn cold and warm, for the log."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.relay.model import UpstreamId

CHECK_INTERVAL_S = 1.0
"""Interval of checks for upstreams that are no longer cold; they run only while some are cold."""

MAX_LOGGED_UPSTREAMS = 8
"""Maximum number of upstreams listed in one log line; the line has the total count too."""


@dataclass(slots=True)
class ColdTransitions:
    """Set of cold upstreams that reports each change once."""

    cold: set[UpstreamId] = field(default_factory=set)

    def record_cold(self, upstreams: Iterable[UpstreamId]) -> list[UpstreamId]:
        """Record upstreams that announced that they are cold; return those that were warm before."""
        turned = [upstream for upstream in upstreams if upstream not in self.cold]
        self.cold.update(turned)
        return turned

    def pop_warm(self, find_cold_until: Callable[[UpstreamId], float], now: float) -> list[UpstreamId]:
        """Remove and return the upstreams that are warm again, or no longer known."""
        warm = [upstream for upstream in self.cold if find_cold_until(upstream) <= now]
        self.cold.difference_update(warm)
        return sorted(warm)


class ColdLog:
    """Log of the upstreams that turn cold and warm."""

    def __init__(self, clock: Clock, journal: Journal, find_cold_until: Callable[[UpstreamId], float]) -> None:
        """Create a log.

        :param find_cold_until: returns the monotonic seconds until which an upstream is cold
        """
        self._clock = clock
        self._journal = journal
        self._find_cold_until = find_cold_until
        self.transitions = ColdTransitions()
        self._check: Any = None
        """Timer of the next check."""

    def record_cold(self, upstreams: Iterable[UpstreamId], source: str) -> None:
        """Log the upstreams that became cold, and schedule the check for those that no longer are."""
        became_cold = self.transitions.record_cold(upstreams)
        if became_cold:
            self._journal.write(
                "COLD", "cold", count=len(became_cold), upstreams=became_cold[:MAX_LOGGED_UPSTREAMS], source=source
            )
            self._schedule_check()

    def _schedule_check(self) -> None:
        if self._check is None and self.transitions.cold:
            self._check = self._clock.call_later(CHECK_INTERVAL_S, self._log_warm)

    def _log_warm(self) -> None:
        self._check = None
        warm = self.transitions.pop_warm(self._find_cold_until, self._clock.now())
        if warm:
            self._journal.write("COLD", "warm", count=len(warm), upstreams=warm[:MAX_LOGGED_UPSTREAMS])
        self._schedule_check()
