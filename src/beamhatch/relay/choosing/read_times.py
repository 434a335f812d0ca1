"""How long prompts took of late, from call to answer: what a busy engine takes must not be mistaken for silence."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

WINDOW = 4.0
"""Seconds for which a time counts: as long as the bursts of the measured deployments."""

MOST_TIMES = 32
"""Times that are kept at the most: more than a VM of a small fleet has in the window."""


@dataclass(slots=True)
class ReadTimes:
    """The times of the prompts that one VM had read, at whichever engine."""

    _times: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=MOST_TIMES))

    def note(self, seconds: float, now: float) -> None:
        """Note a prompt that was read."""
        self._times.append((now, seconds))

    def find_slowest(self, now: float) -> float:
        """Return the longest time of late, 0 where there was none."""
        return max((seconds for at, seconds in self._times if now - at < WINDOW), default=0.0)
