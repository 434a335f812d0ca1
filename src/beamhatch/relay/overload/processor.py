"""Load of the processor, seen by the delay of timers in the event loop."""

from __future__ import annotations

from collections import deque

from beamhatch.relay.overload.api import Resource, ResourceName

MAX_DELAY_S = 0.05
"""Delay of a timer from which the event loop counts as late."""

LATE_TICKS = 3
"""Number of ticks in a row that must be late, so that a single long callback or a frozen process does not count."""


class LoopDelay(Resource):
    """Delays of the last ticks of the event loop.

    A VM that no other could relieve accepts all connections: refusing them would not serve more callers.
    """

    name = ResourceName.PROCESSOR

    def __init__(self) -> None:
        self._delays: deque[float] = deque(maxlen=LATE_TICKS)

    def record_tick(self, delay: float) -> None:
        """Record by how many seconds a regular timer fired late."""
        self._delays.append(delay)

    def has_room(self, now: float, *, alone: bool) -> bool:
        """Return whether one of the last ticks was in time."""
        return alone or self._get_least_delay() < MAX_DELAY_S

    def describe(self) -> dict[str, object]:
        """Return the least delay of the last ticks."""
        return {"least_delay": round(self._get_least_delay(), 3)}

    def _get_least_delay(self) -> float:
        return min(self._delays) if len(self._delays) == LATE_TICKS else 0.0
