"""Recognize requests whose callers probably retry, by the time that is left until their deadlines."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.relay.model import Route

RETRY_TIME_LEFT_SHARE = 0.9
"""A caller with less than this share of the route's longest time left is taken for one that retries."""


@dataclass(slots=True)
class CallerRetries:
    """The longest time left that callers had on each route."""

    enabled: bool = True
    _longest_time_left: dict[str, float] = field(default_factory=dict)
    """Longest time until a caller's deadline on each route, in seconds."""

    def is_retry(self, route: Route, time_left: float | None) -> bool:
        """Return whether a request is probably a retry: its deadline is clearly shorter than others on its route."""
        if time_left is None or not self.enabled:
            return False
        longest = self._longest_time_left[route.name] = max(time_left, self._longest_time_left.get(route.name, 0.0))
        return time_left < RETRY_TIME_LEFT_SHARE * longest
