"""What this VM's own traffic shows of each upstream: work under way, load, faults."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.relay.model import UpstreamId

FAILURE_HALF_LIFE_S = 4.0
"""Seconds after which a fault weighs half."""

FAILURE_WEIGHT = 0.25
"""How far one more outcome moves the share of faults."""

MIN_UNRESPONSIVE_PAUSE_S = 0.8
"""Seconds for which a silent upstream is passed over at first; each pause is twice the last."""

MAX_UNRESPONSIVE_PAUSE_S = 4.0
"""Seconds for which an upstream that does not answer at all is passed over."""

UNREACHABLE_THRESHOLD = 2
"""Silences in a row, without any sign between them, from which on an upstream is known to answer nobody."""

PROBE_INTERVAL_S = 0.4
"""Seconds between two requests that still try an upstream which answers nobody: about as long as one waits there.

So callers are refused for no longer than that once it answers again.
"""

MIN_MISDIRECTED_PAUSE_S = 2.0
"""Seconds for the first time; each pause is twice the last."""

MAX_MISDIRECTED_PAUSE_S = 30.0
"""Seconds for which an upstream that says that it is another one is passed over."""

BUSY_PAUSE_S = 0.6
"""Seconds for which an upstream that turned a request away is passed over where there are others."""

HINT_WEIGHT = 0.8
"""How much of what another VM tells of an upstream's faults is believed."""

UNRESPONSIVE_FAILURE_RATE = 0.5
"""Share of faults from which on an upstream is taken not to answer: half of its work, of which little is left soon."""

LOAD_TTL_S = 0.6
"""Seconds for which a load that an upstream told is believed."""

LATENCY_WEIGHT = 0.15
"""Weight of one more observation in the running mean: the mean is of the last ten or so."""


@dataclass(frozen=True, slots=True)
class Load:
    """What an upstream tells of its load: requests running, waiting, and its slots."""

    running: int
    waiting: int
    slots: int


@dataclass(slots=True)
class UpstreamStats:
    """One upstream."""

    running: int = 0
    """Requests of this VM under way there."""
    tokens: int = 0
    """Tokens of these: prompts for prefill, KV memory for decode."""
    pending_prefill_tokens: int = 0
    """Tokens of this VM's prompts that are still to be read there."""
    latency: float = 0.0
    """Running mean of the seconds of one piece of work; 0 where none ended yet."""
    succeeded_at: float = -1e9
    unresponsive_count: int = 0
    """Connections refused or unanswered in a row."""
    unresponsive_until: float = -1e9
    sent_at: float = -1e9
    """When this VM sent it something last."""
    misdirected_count: int = 0
    misdirected_until: float = -1e9
    busy_until: float = -1e9
    lapsed_until: float = -1e9
    """Until when its handles are taken to lapse at once."""
    _failure_rate: float = 0.0
    """By own work and by what other VMs tell."""
    _own_failure_rate: float = 0.0
    """By own work only: this is what other VMs are told."""
    _failure_rate_at: float = 0.0
    _others: int = 0
    _load_at: float = -1e9

    def record_start(self, tokens: int, now: float) -> None:
        """Enter work that is sent."""
        self.sent_at = now
        self.running += 1
        self.tokens += tokens

    def reset(self) -> None:
        """Forget what its earlier life showed; work of this VM that is still to end there stays counted."""
        fresh = UpstreamStats(self.running, self.tokens, self.pending_prefill_tokens)
        for each in fields(self):
            setattr(self, each.name, getattr(fresh, each.name))

    def is_unreachable(self, now: float) -> bool:
        """Tell whether it is known to answer nobody, and whether it does so still was tried just now."""
        silent = self.unresponsive_count >= UNREACHABLE_THRESHOLD and now < self.unresponsive_until
        return silent and now - self.sent_at < PROBE_INTERVAL_S

    def record_end(self, tokens: int) -> None:
        """Enter that work ended, however it did."""
        self.running -= 1
        self.tokens -= tokens

    def record_success(self, seconds: float, now: float) -> None:
        """Note that a piece of work was done."""
        self.latency = seconds if not self.latency else self.latency + LATENCY_WEIGHT * (seconds - self.latency)
        self.succeeded_at = now
        self.unresponsive_count = 0
        self.unresponsive_until = -1e9
        self.misdirected_count = 0
        self._update_failure_rate(0.0, now)

    def record_response(self, now: float) -> None:
        """Note that it answers, whatever the answer is."""
        self.unresponsive_count = 0
        self.unresponsive_until = -1e9
        self.succeeded_at = max(self.succeeded_at, now)

    def record_failure(self, now: float) -> None:
        """Note that it failed a piece of work."""
        self._update_failure_rate(1.0, now)

    def record_no_response(self, now: float) -> None:
        """Note that it could not be reached, or did not answer in its time."""
        self._update_failure_rate(1.0, now)
        pause = min(MAX_UNRESPONSIVE_PAUSE_S, MIN_UNRESPONSIVE_PAUSE_S * 2**self.unresponsive_count)
        self.unresponsive_count += 1
        self.unresponsive_until = now + pause

    def record_busy(self, now: float) -> None:
        """Note that it turned a request away."""
        self.busy_until = now + BUSY_PAUSE_S

    def apply_hint(self, faults: float, now: float) -> None:
        """Take in the share of faults that another VM saw."""
        believed = HINT_WEIGHT * faults
        if believed > self.get_failure_rate(now):
            self._own_failure_rate = self.get_own_failure_rate(now)
            self._failure_rate = believed
            self._failure_rate_at = now

    def record_misdirected(self, now: float) -> None:
        """Note that another upstream has its address."""
        pause = min(MAX_MISDIRECTED_PAUSE_S, MIN_MISDIRECTED_PAUSE_S * 2**self.misdirected_count)
        self.misdirected_count += 1
        self.misdirected_until = now + pause

    def record_load(self, load: Load, now: float) -> None:
        """Take in what it tells of its load."""
        self._others = max(0, load.running + load.waiting - self.running)
        self._load_at = now

    def estimate_other_requests(self, now: float) -> float:
        """Return how many requests of other VMs are thought to be there."""
        age = now - self._load_at
        return self._others * max(0.0, 1.0 - age / LOAD_TTL_S)

    def get_failure_rate(self, now: float) -> float:
        """Return the share of work that it failed of late."""
        return self._failure_rate * 0.5 ** ((now - self._failure_rate_at) / FAILURE_HALF_LIFE_S)

    def get_own_failure_rate(self, now: float) -> float:
        """Return the share of this VM's own work that it failed of late."""
        return self._own_failure_rate * 0.5 ** ((now - self._failure_rate_at) / FAILURE_HALF_LIFE_S)

    def _update_failure_rate(self, outcome: float, now: float) -> None:
        current = self.get_failure_rate(now)
        own = self.get_own_failure_rate(now)
        self._failure_rate = current + FAILURE_WEIGHT * (outcome - current)
        self._own_failure_rate = own + FAILURE_WEIGHT * (outcome - own)
        self._failure_rate_at = now


@dataclass(slots=True)
class UpstreamStatsRegistry:
    """All upstreams by id."""

    _stats: dict[UpstreamId, UpstreamStats] = field(default_factory=dict)

    def get(self, upstream: UpstreamId) -> UpstreamStats:
        """Return the standing of an upstream, a new one where it is not known."""
        standing = self._stats.get(upstream)
        if standing is None:
            standing = self._stats[upstream] = UpstreamStats()
        return standing

    def list_failing(self, least: float, now: float) -> dict[str, float]:
        """Return the upstreams that failed a large enough share of their work, with that share."""
        faults = {str(name): round(one.get_own_failure_rate(now), 2) for name, one in self._stats.items()}
        return {name: share for name, share in faults.items() if share >= least}

    def list_unresponsive(self, now: float) -> set[UpstreamId]:
        """Return the upstreams that do not answer, by own work or by what other VMs tell."""
        return {
            name
            for name, one in self._stats.items()
            if now < one.unresponsive_until or one.get_failure_rate(now) >= UNRESPONSIVE_FAILURE_RATE
        }

    def list_pending_prefill(self) -> dict[str, int]:
        """Return the tokens of this VM's prompts that are still to be read, by engine."""
        return {
            str(name): one.pending_prefill_tokens for name, one in self._stats.items() if one.pending_prefill_tokens
        }

    def keep_only(self, wanted: set[UpstreamId]) -> None:
        """Drop upstreams that are gone and have no work."""
        dropped = [name for name, one in self._stats.items() if name not in wanted and not one.running]
        for name in dropped:
            del self._stats[name]
