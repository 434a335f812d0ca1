"""Limit how often a function is called."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock


class Throttle:
    """A function call limited to once per interval, which combines the requests made in the meantime."""

    def __init__(self, clock: Clock, min_interval: float, function: Callable[[], None]) -> None:
        """Create a throttle for a function.

        :param min_interval: minimum seconds between two calls
        """
        self._clock = clock
        self._min_interval = min_interval
        self._function = function
        self._pending = False
        self._called_at = float("-inf")

    def request(self) -> None:
        """Schedule a call for as soon as the interval allows, unless one is pending."""
        if not self._pending:
            self._pending = True
            wait = self._called_at + self._min_interval - self._clock.now()
            self._clock.call_later(max(0.0, wait), self._call)

    def record_call(self) -> None:
        """Record that the function's work was done by other means, so that the interval starts now."""
        self._called_at = self._clock.now()

    def _call(self) -> None:
        self._pending = False
        self._called_at = self._clock.now()
        self._function()
