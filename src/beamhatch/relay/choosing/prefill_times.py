"""Track prefill times, from request to response, so that a busy engine is not mistaken for an unresponsive one."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

WINDOW_S = 4.0
"""Seconds for which a recorded time is used."""

MAX_TIMES = 32


@dataclass(slots=True)
class PrefillTimes:
    """Prefill times of one VM's requests, over all engines."""

    _times: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=MAX_TIMES))

    def record(self, seconds: float, now: float) -> None:
        """Record the time of a prefill."""
        self._times.append((now, seconds))

    def get_longest(self, now: float) -> float:
        """Return the longest time within the window, 0 if there is none."""
        return max((seconds for at, seconds in self._times if now - at < WINDOW_S), default=0.0)
