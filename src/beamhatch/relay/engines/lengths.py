"""Predict output lengths from the outputs that completed recently.

A caller's estimate of its output is noisy, so it is combined with the recent geometric mean. The memory to reserve is
set so that ``COVERED_SHARE`` of the outputs fit.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from statistics import fmean
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.relay.model import RequestFacts

PRIOR_SHARE = 0.4
"""Expected output as a share of the request's output limit, until enough outputs have completed."""

PRIOR_TOKENS = 400.0
"""Expected output tokens if the request has no limit, until enough outputs have completed."""

ESTIMATE_WEIGHT = 0.64
"""Weight of a caller's estimate in the weighted geometric mean of it and the recent mean.

The variance of the logarithms of lengths, divided by the sum of it and that of the estimates' errors: 0.67² / (0.67² +
0.5²).
"""

COVERED_SHARE = 0.75
"""Share of the outputs that should fit into the reserved tokens.

A lower share admits more streams, but more of them run out of memory and need another prefill.
"""

MAX_SAMPLES = 64
"""Maximum number of recent outputs that are kept."""

MIN_SAMPLES = 8
"""Number of outputs below which the priors apply."""

PRIOR_RESERVE_RATIO = 1.3
"""Ratio of reserved to expected tokens, until enough outputs have completed."""

PRIOR_MEAN_RATIO = 1.13
"""Ratio of mean to expected tokens, until enough outputs have completed.

The expected length is a median. With log-normal errors of standard deviation 0.5, the mean is exp(0.5² / 2) times it.
"""


@dataclass(frozen=True, slots=True)
class _CompletedOutput:
    estimate: int
    """Tokens that the caller expected; 0 if it gave no estimate."""
    tokens: int


@dataclass(slots=True)
class OutputLengths:
    """The recent output lengths of one service."""

    _outputs: deque[_CompletedOutput] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    _typical_tokens: float = 0.0
    """Geometric mean of the output tokens; 0 if too few outputs have completed."""
    _reserve_ratio: float = PRIOR_RESERVE_RATIO
    _mean_ratio: float = PRIOR_MEAN_RATIO

    def record(self, facts: RequestFacts, tokens: int) -> None:
        """Record the length of a completed output."""
        self._outputs.append(_CompletedOutput(facts.output_estimate, max(1, tokens)))
        if len(self._outputs) < MIN_SAMPLES:
            return
        self._typical_tokens = math.exp(fmean(math.log(one.tokens) for one in self._outputs))
        ratios = sorted(one.tokens / _weigh_estimate(one.estimate, self._typical_tokens) for one in self._outputs)
        self._reserve_ratio = ratios[int(COVERED_SHARE * len(ratios))]
        self._mean_ratio = fmean(ratios)

    def compute_reserve_tokens(self, facts: RequestFacts) -> int:
        """Return the number of tokens to reserve for an output."""
        tokens = math.ceil(self._reserve_ratio * self._compute_expected_tokens(facts))
        return min(tokens, facts.output_tokens) if facts.output_tokens else tokens

    def compute_mean_tokens(self, facts: RequestFacts) -> float:
        """Return the predicted mean output tokens of requests with the same estimate and limit."""
        mean = self._mean_ratio * self._compute_expected_tokens(facts)
        return min(mean, facts.output_tokens) if facts.output_tokens else mean

    def _compute_expected_tokens(self, facts: RequestFacts) -> float:
        return _weigh_estimate(facts.output_estimate, self._typical_tokens or _get_prior_tokens(facts))


def _weigh_estimate(estimate: int, typical_tokens: float) -> float:
    """Return the weighted geometric mean of a caller's estimate, if any, and the typical length."""
    return float(estimate**ESTIMATE_WEIGHT * typical_tokens ** (1 - ESTIMATE_WEIGHT)) if estimate else typical_tokens


def _get_prior_tokens(facts: RequestFacts) -> float:
    return PRIOR_SHARE * facts.output_tokens if facts.output_tokens else PRIOR_TOKENS
