"""Decide what becomes of a request that no upstream can take at the moment."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.relay.requests.failover import SEARCH_INTERVAL_S
from beamhatch.relay.requests.request import Fail
from beamhatch.relay.retries.retry_times import compute_usual_delay, limit_delay, round_delay

if TYPE_CHECKING:
    from beamhatch.relay.requests.request import Refuse

REFUSED_STATUS = 503
"""Status of an error response of the relay if the request has not run."""

MIN_COLD_WAIT_S = 0.02
"""Minimum wait for a cold upstream, which bounds how often a waiting request is planned again."""

COLD_MARGIN_S = 0.002
"""Delay added to the wait for a cold upstream, since timers may fire slightly early."""


@dataclass(frozen=True, slots=True)
class Circumstances:
    """What the decision depends on, apart from the planned step. All times are in seconds."""

    cold_wait_s: float | None
    """Time until a cold upstream has room; None if none could serve the request."""
    cold_time_left_s: float
    """Time for which the request may wait for a cold upstream."""
    memory_time_left_s: float
    """Time for which the request may wait for decode memory and be on time."""
    awaits_late_memory: bool
    """Whether an engine may still grant memory that it was asked for."""
    may_search: bool
    """Whether the caller of a stream that may have run goes on waiting."""
    time_left_s: float
    """Time until the request times out."""
    target_latency_s: float
    is_only_vm: bool


@dataclass(frozen=True, slots=True)
class WaitForCold:
    """Plan again once a cold upstream has room."""

    after_s: float
    wait_s: float
    """Time until the upstream has room."""


@dataclass(frozen=True, slots=True)
class WaitForMemory:
    """Plan again at the end of the time for which the request may wait for memory."""

    after_s: float


@dataclass(frozen=True, slots=True)
class SearchOn:
    """Seek an upstream again soon."""

    after_s: float
    obstacle: str
    """Why no upstream can take the request now."""


@dataclass(frozen=True, slots=True)
class RefuseAsCold:
    """Refuse the request, as its upstreams are cold for too long."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class End:
    """End the request as planned."""

    step: Refuse | Fail
    is_cold: bool = False
    """Whether a cold upstream would have room too late."""


Outcome = WaitForCold | WaitForMemory | SearchOn | RefuseAsCold | End


def decide_unserved(step: Refuse | Fail, now: Circumstances) -> Outcome:
    """Return what becomes of a request whose plan is to refuse it or to fail."""
    if now.cold_wait_s is not None:
        return _decide_cold(step, now, now.cold_wait_s)
    if step.no_upstream and now.awaits_late_memory and now.memory_time_left_s > 0:
        return WaitForMemory(now.memory_time_left_s)
    if now.may_search:
        return SearchOn(SEARCH_INTERVAL_S, step.reason)
    return End(step)


def _decide_cold(step: Refuse | Fail, now: Circumstances, wait_s: float) -> Outcome:
    if wait_s < now.cold_time_left_s:
        return WaitForCold(max(wait_s, MIN_COLD_WAIT_S) + COLD_MARGIN_S, wait_s)
    if isinstance(step, Fail):
        return End(step, is_cold=True)
    # The retry may reach another VM, which may have room earlier.
    usual_s = wait_s if now.is_only_vm else compute_usual_delay(now.target_latency_s)
    return RefuseAsCold(round_delay(limit_delay(min(wait_s, usual_s), now.time_left_s)))
