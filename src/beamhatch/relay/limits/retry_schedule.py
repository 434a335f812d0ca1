"""When callers may come back that all upstreams of a service have no room for, by the limits that they name.

This answers the load of callers that want more than all of a service takes: each is told the time at which it should be
its turn, one behind the other at the pace of the limits, so that nobody comes back in vain with all others at once.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

MAX_RETRY_DELAY_S = 3.0
"""Seconds behind which no turn is promised: callers come back within a third of the time they have left, 4 s of 14."""

RETRY_JITTER = 0.3
"""Part by which times differ where no turn can be promised."""


@dataclass(slots=True)
class RetrySchedule:
    """The turns that this VM has promised to callers of one service."""

    _next_slot: float = -math.inf

    def reserve(self, wait: float, rate: float, now: float) -> float:
        """Return the seconds after which a caller is to come back.

        :param wait: seconds until there is room for one
        :param pace: requests a second that are taken from callers of this VM
        """
        interval = 1.0 / rate
        due = max(self._next_slot, now + wait)
        if due - now > MAX_RETRY_DELAY_S:
            return MAX_RETRY_DELAY_S * random.uniform(1.0 - RETRY_JITTER, 1.0)
        self._next_slot = due + interval
        return min(
            MAX_RETRY_DELAY_S, due - now + interval * random.random()
        )  # VMs see room at one moment, and differ by that
