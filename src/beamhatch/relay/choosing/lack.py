"""Detect that no upstream of a service may be sent a request, and estimate when callers should retry.

Requests are refused at once if all upstreams are leaving, backing off, at their limits or in evacuated halls.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.relay.choosing.eligibility import Obstacle

if TYPE_CHECKING:
    from collections.abc import Sequence

    from beamhatch.relay.choosing.eligibility import Eligibility
    from beamhatch.relay.model import ColdTerms, Regions, Upstream

EVACUATED_RETRY_S = 2.0
"""Seconds until a retry if all halls are evacuated, which an operator has to end."""

LEAVING_RETRY_S = 1.0
"""Seconds until a retry if all upstreams are leaving, since replacements usually start in that time.

An upstream that is replaced is back within 2 s.
"""

VERSION_RETRY_S = 2.0
"""Seconds until a retry if no upstream runs the version that began a stream; one that crashed is back in that time."""

PROBE_RETRY_S = 0.1
"""Seconds until a retry if back-offs are over and the first probes are in flight."""

MIN_RETRY_WINDOW_S = 0.5
"""Minimum seconds over which retries are spread, as recovery from a back-off takes about five round trips."""


@dataclass(frozen=True, slots=True)
class Shortage:
    """Reason why no upstream may be sent a request."""

    obstacle: Obstacle
    wait: float
    """Seconds until the shortage may be over."""
    rate: float = 0.0
    """Requests a second that all VMs may send after that, if the upstreams' limits are the obstacle."""


def detect_shortage(
    eligibility: Eligibility, upstreams: Sequence[Upstream], regions: Regions, cold: ColdTerms | None, now: float
) -> Shortage | None:
    """Return the shortage if none of the upstreams may be sent a request, else None.

    Back-offs and limits end without intervention, so the first one to end takes precedence over other obstacles. Cold
    upstreams are no shortage, since they accept more requests soon.
    """
    found = eligibility.count_obstacles(upstreams, regions, cold, now)
    if not found or found.total() < len(upstreams) or Obstacle.COLD in found:
        return None
    temporary = [
        shortage
        for shortage in (_detect_backoff(eligibility, upstreams, now), _detect_limit(eligibility, upstreams, now))
        if shortage
    ]
    if temporary:
        return min(temporary, key=lambda shortage: shortage.wait)
    obstacle = found.most_common(1)[0][0]
    return Shortage(obstacle, EVACUATED_RETRY_S if obstacle is Obstacle.EMPTIED else LEAVING_RETRY_S)


def _detect_backoff(eligibility: Eligibility, answering: Sequence[Upstream], now: float) -> Shortage | None:
    """Return the shortage until the first back-off ends, or None if no upstream has asked for one."""
    backing_off = [one.incarnation for one in answering if not eligibility.backoffs.may_send_to(one, now)]
    if not backing_off:
        return None
    waits = [
        end - now
        for end in (eligibility.backoffs.get_end(incarnation, now) for incarnation in backing_off)
        if end is not None
    ]
    probing = len(backing_off) > len(waits)
    return Shortage(Obstacle.RESTING, PROBE_RETRY_S if probing else min(waits))


def _detect_limit(eligibility: Eligibility, answering: Sequence[Upstream], now: float) -> Shortage | None:
    """Return the shortage until the first limit allows a request, or None if no upstream is excluded by its limit."""
    limits = eligibility.limits
    limited = [
        one.incarnation for one in answering if eligibility.get_obstacle(one, None, None, now) is Obstacle.LIMITED
    ]
    if not limited:
        return None
    return Shortage(
        Obstacle.LIMITED,
        min(limits.compute_wait(incarnation, now) for incarnation in limited),
        limits.compute_total_rate(limited),
    )


def compute_retry_delay(wait: float, draw: float, *, is_retry: bool) -> float:
    """Return the seconds after which a refused caller should retry.

    Retries are spread over a window as long as the wait, so that they do not arrive all at once. Callers that were
    refused before retry in the first half of it, others in the second.

    :param draw: a random number from 0 up to 1, drawn for each caller
    :param is_retry: whether the caller was refused before
    """
    half = max(wait, MIN_RETRY_WINDOW_S) / 2
    return wait + half * draw + (0.0 if is_retry else half)
