"""The runtime's clock; the decisions take the time as a number, which tests pause and advance."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

if TYPE_CHECKING:
    from collections.abc import Callable


class Clock:
    """Tells the time and calls back later."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor

    def now(self) -> float:
        """Return seconds that never go back, and that count while the process or the VM stands still."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def tell_wall(self) -> float:
        """Return seconds since 1970, for people and other machines."""
        return time.time()

    def call_later(self, seconds: float, function: Callable[..., Any], *arguments: Any) -> Any:
        """Call a function after some seconds."""
        return self.reactor.callLater(seconds, function, *arguments)


async def sleep(clock: Clock, seconds: float) -> None:
    """Wait for some seconds of a clock."""
    done: defer.Deferred[None] = defer.Deferred()
    clock.call_later(seconds, done.callback, None)
    await done
