"""The runtime's clock; the decisions take the time as a number, which tests pause and advance."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

if TYPE_CHECKING:
    from collections.abc import Callable


LEAST_SUSPENSION = 0.05
"""Seconds by which the clocks have to part to be made up for: ten times what two readings of them differ by."""


class Clock:
    """Tells the time and calls back later.

    Where the machine is suspended the time goes on, while the reactor's timers stand still: they run on the steady
    clock, which does not count it. The first timer that is set behind it makes up for that, and those that came due
    meanwhile are called at once, as behind a freeze. Relays set timers several times a second.
    """

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self._ahead = self._count_ahead()

    def now(self) -> float:
        """Return seconds that never go back, and that count while the process or the VM stands still."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def tell_wall(self) -> float:
        """Return seconds since 1970, for people and other machines."""
        return time.time()

    def call_later(self, seconds: float, function: Callable[..., Any], *arguments: Any) -> Any:
        """Call a function after some seconds."""
        self._make_up()
        return self.reactor.callLater(seconds, function, *arguments)

    def _count_ahead(self) -> float:
        """Return by how many seconds the time is ahead of the clock that timers run on."""
        return self.now() - float(self.reactor.seconds())

    def _make_up(self) -> None:
        """Move all timers by the seconds for which they stood still."""
        ahead = self._count_ahead()
        missed = ahead - self._ahead
        if missed < LEAST_SUSPENSION:
            return
        self._ahead = ahead
        for timer in self.reactor.getDelayedCalls():
            timer.delay(-missed)


async def sleep(clock: Clock, seconds: float) -> None:
    """Wait for some seconds of a clock."""
    done: defer.Deferred[None] = defer.Deferred()
    clock.call_later(seconds, done.callback, None)
    await done
