"""Schedules the retries of callers that were refused because all upstreams of a service are at their rate limits.

Each caller is given a slot of its own at the allowed rate, so that callers do not all retry at the same time.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

MAX_RETRY_DELAY_S = 3.0
"""Longest delay that a caller is given; slots further ahead are not reserved.

Callers wait for up to a third of the time they have left.
"""

RETRY_JITTER = 0.3
"""Relative jitter of the delay if no slot is reserved."""


@dataclass(slots=True)
class RetrySchedule:
    """The retry slots that this VM has reserved for callers of one service."""

    _next_slot: float = -math.inf

    def reserve(self, wait: float, rate: float, now: float) -> float:
        """Reserve the next slot; return the seconds after which the caller should retry.

        :param wait: seconds until the first request can be accepted
        :param rate: requests per second accepted from callers of this VM
        """
        interval = 1.0 / rate
        due = max(self._next_slot, now + wait)
        if due - now > MAX_RETRY_DELAY_S:
            return MAX_RETRY_DELAY_S * random.uniform(1.0 - RETRY_JITTER, 1.0)
        self._next_slot = due + interval
        # All VMs see free capacity at the same time, so their retries are spread.
        return min(MAX_RETRY_DELAY_S, due - now + interval * random.random())
