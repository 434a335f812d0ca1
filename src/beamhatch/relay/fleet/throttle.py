"""Do a thing soon after it was asked for, and not more often than it is worth."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock


class Throttle:
    """Calls a function once for all that is asked for within a gap."""

    def __init__(self, clock: Clock, min_interval: float, function: Callable[[], None]) -> None:
        """Make one.

        :param gap: seconds between two calls at the least
        """
        self._clock = clock
        self._min_interval = min_interval
        self._function = function
        self._pending = False
        self._called_at = float("-inf")

    def request(self) -> None:
        """Have the function called as soon as the gap allows, unless it is about to be."""
        if not self._pending:
            self._pending = True
            wait = self._called_at + self._min_interval - self._clock.now()
            self._clock.call_later(max(0.0, wait), self._call)

    def record_call(self) -> None:
        """Note that what the function does was done just now, by others."""
        self._called_at = self._clock.now()

    def _call(self) -> None:
        self._pending = False
        self._called_at = self._clock.now()
        self._function()
