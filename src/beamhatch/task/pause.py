"""Notice that this process stood still.

A process that was stopped or starved for longer than its peers wait before they take it as dead must not act on what
it held before. The check is made directly before each act, because after a pause the sockets may be served before any
timer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.observe.log import Part, get_log

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.clock import Clock

BEAT = 0.1
"""Seconds between two beats."""


class PauseGuard:
    """Beats while the process runs; a beat that comes too late tells of a pause."""

    def __init__(self, clock: Clock, limit: float) -> None:
        self._clock = clock
        self._limit = limit
        self.last = clock.now()
        """When the process was last seen to run; right after a check, the time."""
        self._on_pause: list[Callable[[float], None]] = []
        self._log = get_log(Part.ROUTER)

    def start(self) -> None:
        """Begin to beat."""
        self.check()
        self._clock.call_later(BEAT, self.start)

    def call_on_pause(self, function: Callable[[float], None]) -> None:
        """Have a function called with the seconds of each pause."""
        self._on_pause.append(function)

    def check(self) -> bool:
        """Return True if the process has been running; after a pause, first tell those who asked."""
        now = self._clock.now()
        stood = now - self.last
        self.last = now
        if stood <= self._limit:
            return True
        self._log.warning("This process stood still, and lets go of what it held.", seconds=round(stood, 2))
        for function in self._on_pause:
            function(stood)
        return False
