"""How long prompts took of late, from call to answer: what a busy engine takes must not be mistaken for silence."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

WINDOW_S = 4.0
"""Seconds for which a time counts: as long as the bursts of the measured deployments."""

MAX_TIMES = 32
"""Times that are kept at the most: more than a VM of a small fleet has in the window."""


@dataclass(slots=True)
class PrefillTimes:
    """The times of the prompts that one VM had read, at whichever engine."""

    _times: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=MAX_TIMES))

    def record(self, seconds: float, now: float) -> None:
        """Note a prompt that was read."""
        self._times.append((now, seconds))

    def get_longest(self, now: float) -> float:
        """Return the longest time of late, 0 where there was none."""
        return max((seconds for at, seconds in self._times if now - at < WINDOW_S), default=0.0)
