"""Decide what a caller is told whose request is refused."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.relay.requests.unserved import REFUSED_STATUS
from beamhatch.relay.retries.retry_times import (
    compute_memory_delay,
    compute_usual_delay,
    limit_delay,
    round_delay,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.requests.request import Refuse


@dataclass(frozen=True, slots=True)
class CallerError:
    """An error response of the relay."""

    status: int
    reason: str
    retry_after_s: float | None = None
    """Time after which to retry; None if none is told."""


@dataclass(frozen=True, slots=True)
class RefusalTerms:
    """What the time told to a refused caller follows from."""

    target_latency_s: float
    time_left_s: float
    """Seconds until the request times out."""
    estimate_residence: Callable[[], float]
    """Returns the seconds for which a request stays in decode memory."""
    draw_jitter: Callable[[], float]
    """Returns a random number from -1 to 1, so that callers do not return together."""


def make_refusal(step: Refuse, terms: RefusalTerms) -> CallerError:
    """Return the error response of a request that has not run."""
    if step.is_final:
        return CallerError(REFUSED_STATUS, step.reason)
    if step.retry_after_is_minimum:
        return CallerError(REFUSED_STATUS, step.reason, step.retry_after_s)
    return CallerError(REFUSED_STATUS, step.reason, round_delay(_compute_delay(step, terms)))


def _compute_delay(step: Refuse, terms: RefusalTerms) -> float:
    if step.retry_after_s is not None:
        return limit_delay(step.retry_after_s, terms.time_left_s)
    if step.memory_full:
        return limit_delay(compute_memory_delay(terms.estimate_residence(), terms.draw_jitter()), terms.time_left_s)
    return compute_usual_delay(terms.target_latency_s)
