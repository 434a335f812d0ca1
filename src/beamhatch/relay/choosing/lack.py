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

EMPTIED_WAIT = 2.0
"""Seconds after which a caller may come back where all halls are emptied: an operator has to act first."""

LEAVING_WAIT = 1.0
"""Seconds after which a caller may come back where all upstreams leave: others mostly start before the first leaves,
and an upstream that is replaced is back within 2 s."""

TRIAL_WAIT = 0.1
"""Seconds after which a caller may come back where rests are over and the first requests behind them are under way."""

LEAST_WINDOW = 0.5
"""Seconds over which callers come back at the least: five round trips, in which an upstream is trusted again."""


@dataclass(frozen=True, slots=True)
class Lack:
    """Why nothing may be sent to any upstream."""

    obstacle: Obstacle
    wait: float
    """Seconds until this may be over."""
    pace: float = 0.0
    """Requests a second that all VMs may send behind that, where the upstreams' limits are the obstacle."""


def find_lack(
    eligibility: Eligibility, answering: Sequence[Upstream], regions: Regions, cold: ColdTerms | None, now: float
) -> Lack | None:
    """Return what keeps a request from all of some upstreams, None where nothing does.

    What ends by itself is told, a rest or a limit, whichever ends first. Cold ones bear more in a moment: they are no
    reason to give up.
    """
    found = eligibility.count_obstacles(answering, regions, cold, now)
    if not found or found.total() < len(answering) or Obstacle.COLD in found:
        return None
    passing = [
        lack for lack in (_find_rest(eligibility, answering, now), _find_limit(eligibility, answering, now)) if lack
    ]
    if passing:
        return min(passing, key=lambda lack: lack.wait)
    obstacle = found.most_common(1)[0][0]
    return Lack(obstacle, EMPTIED_WAIT if obstacle is Obstacle.EMPTIED else LEAVING_WAIT)


def _find_rest(eligibility: Eligibility, answering: Sequence[Upstream], now: float) -> Lack | None:
    """Return when the first of some upstreams that rest may be sent something, None where none rests."""
    resting = [one.incarnation for one in answering if not eligibility.rests.may_be_sent(one, now)]
    if not resting:
        return None
    waits = [end - now for end in (eligibility.rests.find_end(life, now) for life in resting) if end is not None]
    trying = len(resting) > len(waits)
    return Lack(Obstacle.RESTING, TRIAL_WAIT if trying else min(waits))


def _find_limit(eligibility: Eligibility, answering: Sequence[Upstream], now: float) -> Lack | None:
    """Return when the first of some upstreams has room that nothing but its limit keeps shut, None where none is."""
    limits = eligibility.limits
    lives = [
        one.incarnation for one in answering if eligibility.find_obstacle(one, None, None, now) is Obstacle.LIMITED
    ]
    if not lives:
        return None
    return Lack(Obstacle.LIMITED, min(limits.find_wait(life, now) for life in lives), limits.find_pace(lives))


def spread_return(wait: float, draw: float, *, owed: bool) -> float:
    """Return the seconds after which one of many callers is to come back that were all told to wait.

    Told the same moment, all that were refused in a rest would come in that moment; so they are spread over as long as
    they waited. Callers that came back before go first.

    :param draw: from 0 up to 1, drawn anew for each caller
    :param owed: whether the caller was refused before
    """
    half = max(wait, LEAST_WINDOW) / 2
    return wait + half * draw + (0.0 if owed else half)
