"""Track each upstream's requests in flight, load and failures, as seen by this VM."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from beamhatch.relay.model import UpstreamId

FAILURE_HALF_LIFE_S = 4.0
"""Seconds in which a failure rate without new results halves."""

FAILURE_WEIGHT = 0.25
"""Weight of a new result in the moving average of the failure rate."""

MIN_UNRESPONSIVE_PAUSE_S = 0.8
"""First pause after a missing response; each further pause is twice as long."""

MAX_UNRESPONSIVE_PAUSE_S = 4.0
"""Longest pause after a missing response."""

UNREACHABLE_THRESHOLD = 2
"""Consecutive requests without a response after which an upstream counts as unreachable."""

PROBE_INTERVAL_S = 0.4
"""Seconds between two requests that probe an unreachable upstream.

About as long as a request waits there, so that callers are refused for no longer than that once it responds again.
"""

MAX_EVENT_GAP_S = 0.5
"""Time without an event of any stream after which an engine counts as silent; events are some tens of ms apart."""

MAX_PAUSE_S = 3.0
"""Time without an event of any stream after which an engine does not count as silent any more."""

MIN_MISDIRECTED_PAUSE_S = 2.0
"""First pause after a misdirected request; each further pause is twice as long."""

MAX_MISDIRECTED_PAUSE_S = 30.0
"""Longest pause after a misdirected request, to which another upstream at the same address responded."""

BUSY_PAUSE_S = 0.6
"""Seconds for which an upstream that rejected a request is avoided."""

PEER_FAILURE_RATE_WEIGHT = 0.8
"""Factor on a failure rate that another VM reports."""

UNRESPONSIVE_FAILURE_RATE = 0.5
"""Failure rate at and above which an upstream counts as unresponsive."""

LOAD_TTL_S = 0.6
"""Seconds over which the weight of a reported load falls to 0."""

LATENCY_WEIGHT = 0.15
"""Weight of a new result in the moving average of the latency.

The average covers about the last ten results.
"""


@dataclass(frozen=True, slots=True)
class Load:
    """Load that an upstream reports: numbers of running requests, waiting requests and slots."""

    running: int
    waiting: int
    slots: int


@dataclass(slots=True)
class UpstreamStats:
    """Statistics of one upstream."""

    running: int = 0
    """Requests of this VM in flight."""
    tokens: int = 0
    """Tokens of these requests: prompts for prefill, KV memory for decode."""
    pending_prefill_tokens: int = 0
    """Tokens of this VM's prompts that are not prefilled yet."""
    latency: float = 0.0
    """Moving average of the seconds per request; 0 before the first success."""
    responded_at: float = -1e9
    """Time of the last response to this VM."""
    streams: int = 0
    """Streams of this VM that have begun, and are read."""
    event_at: float = -1e9
    """Time of the last event of any of them."""
    unresponsive_count: int = 0
    """Consecutive connections that were refused or got no response."""
    unresponsive_until: float = -1e9
    sent_at: float = -1e9
    """Time of this VM's last request."""
    misdirected_count: int = 0
    misdirected_until: float = -1e9
    busy_until: float = -1e9
    drops_caches_until: float = -1e9
    """Until when it is assumed to drop KV caches before they are fetched."""
    _failure_rate: float = 0.0
    """Of this VM's requests, raised by the reports of other VMs."""
    _own_failure_rate: float = 0.0
    """Of this VM's requests only, as reported to other VMs."""
    _failure_rate_at: float = 0.0
    _other_requests: int = 0
    """Requests of other VMs, by the last load report."""
    _load_at: float = -1e9

    def record_start(self, tokens: int, now: float) -> None:
        """Record a request that is sent."""
        self.sent_at = now
        self.running += 1
        self.tokens += tokens

    def reset(self) -> None:
        """Reset all statistics for a new incarnation, except for requests in flight."""
        fresh = UpstreamStats(self.running, self.tokens, self.pending_prefill_tokens, streams=self.streams)
        for each in fields(self):
            setattr(self, each.name, getattr(fresh, each.name))

    def forget_failures(self) -> None:
        """Forget failures that were due to this VM's own links, or to a pause of the upstream."""
        self.unresponsive_count = 0
        self.unresponsive_until = -1e9
        self._failure_rate = self._own_failure_rate = 0.0

    def drop_peer_failure_rate(self) -> None:
        """Go back to the failure rate of this VM's own requests."""
        self._failure_rate = self._own_failure_rate

    def should_skip(self, now: float) -> bool:
        """Return whether it is unreachable and not due for another probe."""
        unreachable = self.unresponsive_count >= UNREACHABLE_THRESHOLD and now < self.unresponsive_until
        return unreachable and now - self.sent_at < PROBE_INTERVAL_S

    def record_end(self, tokens: int) -> None:
        """Record the end of a request, successful or not."""
        self.running -= 1
        self.tokens -= tokens

    def record_success(self, seconds: float, now: float) -> None:
        """Record a successful request and its latency."""
        self.latency = seconds if not self.latency else self.latency + LATENCY_WEIGHT * (seconds - self.latency)
        self.responded_at = now
        self.unresponsive_count = 0
        self.unresponsive_until = -1e9
        self.misdirected_count = 0
        self._update_failure_rate(0.0, now)

    def record_response(self, now: float) -> None:
        """Record any response, which shows that the upstream is reachable."""
        self.unresponsive_count = 0
        self.unresponsive_until = -1e9
        self.responded_at = max(self.responded_at, now)

    def record_late_response(self, now: float) -> None:
        """Record a response after a timeout, which shows that the upstream had not failed."""
        self.forget_failures()
        self.record_response(now)

    def record_event(self, now: float) -> None:
        """Record an event of a stream."""
        self.event_at = now

    def is_silent(self, now: float) -> bool:
        """Return whether streams have begun and none of them has gone on for a while.

        An engine that pauses may still answer other calls. After some time, the connections may be stuck rather than
        the engine paused.
        """
        return self.streams > 0 and MAX_EVENT_GAP_S < now - self.event_at <= MAX_PAUSE_S

    def is_active(self, now: float) -> bool:
        """Return whether a stream goes on."""
        return self.streams > 0 and now - self.event_at <= MAX_EVENT_GAP_S

    def record_failure(self, now: float) -> None:
        """Record a failed request."""
        self._update_failure_rate(1.0, now)

    def record_no_response(self, now: float) -> None:
        """Record that it could not be reached or did not respond in time."""
        self._update_failure_rate(1.0, now)
        pause = min(MAX_UNRESPONSIVE_PAUSE_S, MIN_UNRESPONSIVE_PAUSE_S * 2**self.unresponsive_count)
        self.unresponsive_count += 1
        self.unresponsive_until = now + pause

    def record_busy(self, now: float) -> None:
        """Record that it rejected a request."""
        self.busy_until = now + BUSY_PAUSE_S

    def apply_peer_failure_rate(self, failure_rate: float, now: float) -> None:
        """Apply a failure rate that another VM reports, if it is still higher than the known one after weighting."""
        weighted = PEER_FAILURE_RATE_WEIGHT * failure_rate
        if weighted > self.get_failure_rate(now):
            self._own_failure_rate = self.get_own_failure_rate(now)
            self._failure_rate = weighted
            self._failure_rate_at = now

    def record_misdirected(self, now: float) -> None:
        """Record that another upstream responded at its address."""
        pause = min(MAX_MISDIRECTED_PAUSE_S, MIN_MISDIRECTED_PAUSE_S * 2**self.misdirected_count)
        self.misdirected_count += 1
        self.misdirected_until = now + pause

    def record_load(self, load: Load, now: float) -> None:
        """Record the load that it reports."""
        self._other_requests = max(0, load.running + load.waiting - self.running)
        self._load_at = now

    def estimate_other_requests(self, now: float) -> float:
        """Return the estimated number of requests of other VMs."""
        age = now - self._load_at
        return self._other_requests * max(0.0, 1.0 - age / LOAD_TTL_S)

    def get_failure_rate(self, now: float) -> float:
        """Return the recent failure rate, including reports of other VMs."""
        return self._failure_rate * 0.5 ** ((now - self._failure_rate_at) / FAILURE_HALF_LIFE_S)

    def get_own_failure_rate(self, now: float) -> float:
        """Return the recent failure rate of this VM's own requests."""
        return self._own_failure_rate * 0.5 ** ((now - self._failure_rate_at) / FAILURE_HALF_LIFE_S)

    def _update_failure_rate(self, outcome: float, now: float) -> None:
        current = self.get_failure_rate(now)
        own = self.get_own_failure_rate(now)
        self._failure_rate = current + FAILURE_WEIGHT * (outcome - current)
        self._own_failure_rate = own + FAILURE_WEIGHT * (outcome - own)
        self._failure_rate_at = now


@dataclass(slots=True)
class UpstreamStatsRegistry:
    """Statistics of all upstreams by id."""

    _stats: dict[UpstreamId, UpstreamStats] = field(default_factory=dict)

    def get(self, upstream: UpstreamId) -> UpstreamStats:
        """Return the statistics of an upstream, after creating them if missing."""
        stats = self._stats.get(upstream)
        if stats is None:
            stats = self._stats[upstream] = UpstreamStats()
        return stats

    def get_own_failure_rates(self, min_rate: float, now: float) -> dict[str, float]:
        """Return the failure rates of this VM's requests by upstream, without those below ``min_rate``."""
        rates = {str(name): round(one.get_own_failure_rate(now), 2) for name, one in self._stats.items()}
        return {name: rate for name, rate in rates.items() if rate >= min_rate}

    def forget_failures(self, upstreams: Iterable[UpstreamId] | None = None) -> None:
        """Forget the failures of some upstreams, or of all, that were due to this VM's own links."""
        for name in list(self._stats) if upstreams is None else upstreams:
            self.get(name).forget_failures()

    def drop_peer_failure_rates(self) -> None:
        """Go back to the failure rates of this VM's own requests."""
        for one in self._stats.values():
            one.drop_peer_failure_rate()

    def list_unresponsive(self, now: float) -> set[UpstreamId]:
        """Return the upstreams that are unresponsive according to own requests or reports of other VMs."""
        return {
            name
            for name, one in self._stats.items()
            if now < one.unresponsive_until or one.get_failure_rate(now) >= UNRESPONSIVE_FAILURE_RATE
        }

    def get_pending_prefill_tokens(self) -> dict[str, int]:
        """Return the tokens of this VM's prompts that are not prefilled yet, by engine."""
        return {
            str(name): one.pending_prefill_tokens for name, one in self._stats.items() if one.pending_prefill_tokens
        }

    def keep_only(self, wanted: set[UpstreamId]) -> None:
        """Drop the statistics of other upstreams, unless they have requests in flight."""
        dropped = [name for name, one in self._stats.items() if name not in wanted and not one.running]
        for name in dropped:
            del self._stats[name]
