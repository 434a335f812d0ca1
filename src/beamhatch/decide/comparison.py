"""Compare policies on live traffic: their decisions on the same requests, and how the requests they served went."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

MAX_SAMPLES = 5000
Z_SCORE = 1.96
"""Standard errors that make a difference real, at 95 in 100."""
MIN_SAMPLES = 30


class Verdict(Enum):
    """Whether a difference is more than chance."""

    BETTER = "better"
    WORSE = "worse"
    NO_DIFFERENCE = "no_difference_seen"
    TOO_FEW = "too_few_requests"


@dataclass(frozen=True, slots=True)
class Sample:
    """How one request went."""

    met_targets: bool
    """Within both latency targets."""
    first_token: float | None
    pace: float | None
    prefilled_tokens: int
    wasted_tokens: int


@dataclass(frozen=True, slots=True)
class Interval:
    """A share with its 95 in 100 interval."""

    value: float
    low: float
    high: float


@dataclass(slots=True)
class PolicyStats:
    """The last requests that a policy served."""

    samples: deque[Sample] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))

    def add(self, sample: Sample) -> None:
        """Take in one request."""
        self.samples.append(sample)

    def compute_goodput(self) -> Interval:
        """Return the share of requests within both targets."""
        return _compute_share(sum(sample.met_targets for sample in self.samples), len(self.samples))

    def compute_waste(self) -> Interval:
        """Return the share of prefilled tokens that were wasted; the interval counts requests, not tokens."""
        prefilled = sum(sample.prefilled_tokens for sample in self.samples)
        wasted = sum(sample.wasted_tokens for sample in self.samples)
        share = wasted / prefilled if prefilled else 0.0
        requests = sum(1 for sample in self.samples if sample.prefilled_tokens)
        spread = Z_SCORE * math.sqrt(share * (1 - share) / requests) if requests else 0.0
        return Interval(share, max(0.0, share - spread), min(1.0, share + spread))

    def compute_percentile(self, name: str, fraction: float) -> float | None:
        """Return a percentile of ``first_token`` or ``pace`` in seconds."""
        values = sorted(value for sample in self.samples if (value := getattr(sample, name)) is not None)
        return values[min(len(values) - 1, int(len(values) * fraction))] if values else None


@dataclass(slots=True)
class Agreement:
    """What a compared policy would have decided where another served."""

    asked: int = 0
    same: int = 0
    waited: int = 0
    sooner: float = 0.0
    """Sum of the seconds by which it expected the first token sooner than the serving policy did."""


@dataclass(slots=True)
class PolicyComparison:
    """All tallies of this VM."""

    stats: dict[str, PolicyStats] = field(default_factory=dict)
    agreements: dict[tuple[str, str], Agreement] = field(default_factory=dict)
    """By serving and compared policy."""

    def record_served(self, policy: str, sample: Sample) -> None:
        """Take in how a request of a policy went."""
        self.stats.setdefault(policy, PolicyStats()).add(sample)

    def record_decision(self, serving: str, compared: str, same: bool | None, sooner: float) -> None:
        """Take in a decision without effect; ``same`` is None where the compared policy would have waited."""
        agreement = self.agreements.setdefault((serving, compared), Agreement())
        agreement.asked += 1
        agreement.same += bool(same)
        agreement.waited += same is None
        agreement.sooner += sooner


def compare_shares(
    first: Interval, second: Interval, first_count: int, second_count: int, *, more_is_better: bool
) -> Verdict:
    """Tell whether the second of two shares is really better than the first."""
    if min(first_count, second_count) < MIN_SAMPLES:
        return Verdict.TOO_FEW
    error = math.sqrt(first.value * (1 - first.value) / first_count + second.value * (1 - second.value) / second_count)
    difference = second.value - first.value
    if abs(difference) <= Z_SCORE * error or difference == 0:
        return Verdict.NO_DIFFERENCE
    return Verdict.BETTER if (difference > 0) == more_is_better else Verdict.WORSE


def _compute_share(hits: int, count: int) -> Interval:
    """Return a share with its Wilson interval."""
    if count == 0:
        return Interval(0.0, 0.0, 1.0)
    share = hits / count
    square = Z_SCORE**2
    center = (share + square / (2 * count)) / (1 + square / count)
    spread = Z_SCORE * math.sqrt(share * (1 - share) / count + square / (4 * count**2)) / (1 + square / count)
    return Interval(share, max(0.0, center - spread), min(1.0, center + spread))
