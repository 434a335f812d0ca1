"""Coroutines that run beside the requests of a VM until they are stopped."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

if TYPE_CHECKING:
    from beamhatch.clock import Clock


class BackgroundTask(ABC):
    """A coroutine that is started again some time after it ended with an error."""

    def __init__(self, clock: Clock, restart_delay_s: float) -> None:
        """Create a task that does not run yet.

        :param restart_delay_s: seconds from an error to the next start
        """
        self.clock = clock
        self._restart_delay_s = restart_delay_s
        self._running: defer.Deferred[None] | None = None
        self._restart_timer: Any = None

    def start(self) -> None:
        """Start the coroutine."""
        self._restart_timer = None
        self._running = defer.ensureDeferred(self.run())
        self._running.addErrback(self._handle_exit)

    def stop(self) -> None:
        """Cancel the coroutine, and do not start it again."""
        running, self._running = self._running, None
        timer, self._restart_timer = self._restart_timer, None
        if timer is not None and timer.active():
            timer.cancel()
        if running is not None:
            running.cancel()

    @abstractmethod
    async def run(self) -> None:
        """Run until cancelled."""

    @abstractmethod
    def report_error(self, traceback: str) -> None:
        """Log an error that ended the coroutine."""

    def _handle_exit(self, failure: Any) -> None:
        if failure.check(defer.CancelledError):
            return
        self.report_error(failure.getTraceback())
        self._restart_timer = self.clock.call_later(self._restart_delay_s, self.start)
