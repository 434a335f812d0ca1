"""What keeps a request from all upstreams that could answer it, and when that may be over.

This answers the load of a service of which all upstreams leave, rest, are at their limits, or lie in emptied halls at
once: its requests are refused at once, and their callers told when there is sense in coming back.
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
"""Seconds after which a caller may come back where all halls are emptied: an operator has to act first."""

LEAVING_RETRY_S = 1.0
"""Seconds after which a caller may come back where all upstreams leave: others mostly start before the first leaves,
and an upstream that is replaced is back within 2 s."""

PROBE_RETRY_S = 0.1
"""Seconds after which a caller may come back where rests are over and the first requests behind them are under way."""

MIN_RETRY_WINDOW_S = 0.5
"""Seconds over which callers come back at the least: five round trips, in which an upstream is trusted again."""


@dataclass(frozen=True, slots=True)
class Shortage:
    """Why nothing may be sent to any upstream."""

    obstacle: Obstacle
    wait: float
    """Seconds until this may be over."""
    rate: float = 0.0
    """Requests a second that all VMs may send behind that, where the upstreams' limits are the obstacle."""


def detect_shortage(
    eligibility: Eligibility, answering: Sequence[Upstream], regions: Regions, cold: ColdTerms | None, now: float
) -> Shortage | None:
    """Return what keeps a request from all of some upstreams, None where nothing does.

    What ends by itself is told, a rest or a limit, whichever ends first. Cold ones bear more in a moment: they are no
    reason to give up.
    """
    found = eligibility.count_obstacles(answering, regions, cold, now)
    if not found or found.total() < len(answering) or Obstacle.COLD in found:
        return None
    passing = [
        lack
        for lack in (_detect_backoff(eligibility, answering, now), _detect_limit(eligibility, answering, now))
        if lack
    ]
    if passing:
        return min(passing, key=lambda lack: lack.wait)
    obstacle = found.most_common(1)[0][0]
    return Shortage(obstacle, EVACUATED_RETRY_S if obstacle is Obstacle.EVACUATED else LEAVING_RETRY_S)


def _detect_backoff(eligibility: Eligibility, answering: Sequence[Upstream], now: float) -> Shortage | None:
    """Return when the first of some upstreams that rest may be sent something, None where none rests."""
    resting = [one.life for one in answering if not eligibility.backoffs.may_send_to(one, now)]
    if not resting:
        return None
    waits = [end - now for end in (eligibility.backoffs.get_end(life, now) for life in resting) if end is not None]
    trying = len(resting) > len(waits)
    return Shortage(Obstacle.BACKING_OFF, PROBE_RETRY_S if trying else min(waits))


def _detect_limit(eligibility: Eligibility, answering: Sequence[Upstream], now: float) -> Shortage | None:
    """Return when the first of some upstreams has room that nothing but its limit keeps shut, None where none is."""
    limits = eligibility.limits
    lives = [one.life for one in answering if eligibility.get_obstacle(one, None, None, now) is Obstacle.LIMITED]
    if not lives:
        return None
    return Shortage(Obstacle.LIMITED, min(limits.find_wait(life, now) for life in lives), limits.find_pace(lives))


def spread_retry(wait: float, draw: float, *, owed: bool) -> float:
    """Return the seconds after which one of many callers is to come back that were all told to wait.

    Told the same moment, all that were refused in a rest would come in that moment; so they are spread over as long as
    they waited. Callers that came back before go first.

    :param draw: from 0 up to 1, drawn anew for each caller
    :param owed: whether the caller was refused before
    """
    half = max(wait, MIN_RETRY_WINDOW_S) / 2
    return wait + half * draw + (0.0 if owed else half)
