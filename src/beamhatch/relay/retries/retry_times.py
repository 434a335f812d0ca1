"""Times after which callers whose requests were refused should come back."""

from __future__ import annotations

RETRY_AFTER_SHARE = 0.5
"""Share of the target latency after which a refused caller may retry."""

RETRY_JITTER = 0.3
"""Relative jitter of the retry-after time, so that callers refused together do not retry together."""

MAX_RETRY_AFTER_SHARE = 0.33
"""Maximum retry-after time, as a share of the time left until the caller's deadline.

Callers do not wait for longer.
"""

MIN_RETRY_AFTER_S = 0.15
"""Minimum retry-after time, long enough for other VMs to receive updates from this one."""

REGION_RETRY_AFTER_S = 1.0
"""Retry-after time if no upstream in an allowed region can serve the request.

An upstream restarts in about 2 s.
"""


def compute_usual_delay(target_latency: float) -> float:
    """Return the seconds after which a caller may retry if nothing more precise is known."""
    return RETRY_AFTER_SHARE * target_latency


def compute_memory_delay(residence_s: float, draw: float) -> float:
    """Return the seconds after which a caller should retry when decode memory is full.

    :param residence_s: mean time for which streams hold memory
    :param draw: a random number from -1 to 1, drawn for each caller
    """
    return residence_s * (1 + RETRY_JITTER * draw)


def limit_delay(delay: float, time_left: float) -> float:
    """Return a delay that a caller with some seconds until its deadline will wait for."""
    return min(delay, MAX_RETRY_AFTER_SHARE * max(0.0, time_left))


def round_delay(delay: float) -> float:
    """Return a delay as it is told to callers, in seconds with two decimals."""
    return round(max(MIN_RETRY_AFTER_S, delay), 2)
