"""Compare policies on live traffic, by their decisions on the same requests and the results of those they served."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

MAX_SAMPLES = 5000
Z_SCORE = 1.96
"""Standard errors of a 95 % confidence interval."""
MIN_SAMPLES = 30


class Verdict(Enum):
    """The result of a significance test."""

    BETTER = "better"
    WORSE = "worse"
    NO_DIFFERENCE = "no_difference_seen"
    TOO_FEW = "too_few_requests"


@dataclass(frozen=True, slots=True)
class Sample:
    """The measurements of one request, in seconds and tokens."""

    met_targets: bool
    """True if the request met both latency targets."""
    first_token: float | None
    pace: float | None
    prefilled_tokens: int
    wasted_tokens: int


@dataclass(frozen=True, slots=True)
class Interval:
    """A proportion with its 95 % confidence interval."""

    value: float
    low: float
    high: float


@dataclass(slots=True)
class PolicyStats:
    """The most recent requests served by a policy."""

    samples: deque[Sample] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))

    def add(self, sample: Sample) -> None:
        """Add the measurements of one request."""
        self.samples.append(sample)

    def compute_goodput(self) -> Interval:
        """Return the proportion of requests that met both targets."""
        return _compute_share(sum(sample.met_targets for sample in self.samples), len(self.samples))

    def compute_waste(self) -> Interval:
        """Return the proportion of prefilled tokens that were wasted; requests, not tokens, are the sample size."""
        prefilled = sum(sample.prefilled_tokens for sample in self.samples)
        wasted = sum(sample.wasted_tokens for sample in self.samples)
        share = wasted / prefilled if prefilled else 0.0
        requests = sum(1 for sample in self.samples if sample.prefilled_tokens)
        margin = Z_SCORE * math.sqrt(share * (1 - share) / requests) if requests else 0.0
        return Interval(share, max(0.0, share - margin), min(1.0, share + margin))

    def compute_percentile(self, name: str, fraction: float) -> float | None:
        """Return a percentile of ``first_token`` or ``pace`` in seconds, or None without samples."""
        values = sorted(value for sample in self.samples if (value := getattr(sample, name)) is not None)
        return values[min(len(values) - 1, int(len(values) * fraction))] if values else None


@dataclass(slots=True)
class Agreement:
    """The decisions of a compared policy on requests that another policy served."""

    asked: int = 0
    same: int = 0
    waited: int = 0
    sooner: float = 0.0
    """Sum of the seconds by which the compared policy predicted earlier first tokens."""


@dataclass(slots=True)
class PolicyComparison:
    """The statistics of all policies on this VM."""

    stats: dict[str, PolicyStats] = field(default_factory=dict)
    agreements: dict[tuple[str, str], Agreement] = field(default_factory=dict)
    """By serving policy and compared policy."""

    def record_served(self, policy: str, sample: Sample) -> None:
        """Record the measurements of a request that a policy served."""
        self.stats.setdefault(policy, PolicyStats()).add(sample)

    def record_decision(self, serving: str, compared: str, same: bool | None, sooner: float) -> None:
        """Record a decision of a compared policy; ``same`` is None if that policy would have let the request wait."""
        agreement = self.agreements.setdefault((serving, compared), Agreement())
        agreement.asked += 1
        agreement.same += bool(same)
        agreement.waited += same is None
        agreement.sooner += sooner


def compare_shares(
    first: Interval, second: Interval, first_count: int, second_count: int, *, more_is_better: bool
) -> Verdict:
    """Return whether the second of two proportions is significantly better or worse than the first."""
    if min(first_count, second_count) < MIN_SAMPLES:
        return Verdict.TOO_FEW
    error = math.sqrt(first.value * (1 - first.value) / first_count + second.value * (1 - second.value) / second_count)
    difference = second.value - first.value
    if abs(difference) <= Z_SCORE * error or difference == 0:
        return Verdict.NO_DIFFERENCE
    return Verdict.BETTER if (difference > 0) == more_is_better else Verdict.WORSE


def _compute_share(hits: int, count: int) -> Interval:
    """Return a proportion with its Wilson score interval."""
    if count == 0:
        return Interval(0.0, 0.0, 1.0)
    share = hits / count
    square = Z_SCORE**2
    center = (share + square / (2 * count)) / (1 + square / count)
    margin = Z_SCORE * math.sqrt(share * (1 - share) / count + square / (4 * count**2)) / (1 + square / count)
    return Interval(share, max(0.0, center - margin), min(1.0, center + margin))
