"""How long answers become, learned from answers that ended.

A caller may say how many tokens it expects. Such a guess is right in the middle and often far off, so it is weighed
against what answers of late had, and the memory that is set aside covers most of the answers that such guesses led to.
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
"""Share of the most tokens that an answer may have which it is thought to have, before any ended.

The answers of the deployments that were measured had 0.42 of it in the mean.
"""

PRIOR_TOKENS = 400.0
"""The same where the request does not say what the most is."""

GUESS_WEIGHT = 0.64
"""Weight of a caller's guess against the mean, on a scale of ratios.

Lengths spread by 0.67 and the errors of guesses by 0.5, in logarithms, on two deployments: 0.67² / (0.67² + 0.5²).
"""

COVERED = 0.75
"""Share of the answers that what is set aside has room for.

Less room lets more streams in, and has more of them read anew as the memory runs out.
"""

MOST_SAMPLES = 64
"""Answers of late that are looked at: a minute of one VM's traffic."""

FEWEST_SAMPLES = 8
"""Answers below which the prior is believed."""

PRIOR_RATIO = 1.3
"""Ratio of the room that is set aside to the expected length, before enough answers ended."""

PRIOR_MEAN_RATIO = 1.13
"""Ratio of the mean length to the expected one, which is a median, before enough answers ended.

The mean of a ratio whose logarithm has a spread of 0.5, as guesses had on two deployments: exp(0.5² / 2).
"""


@dataclass(frozen=True, slots=True)
class _Ended:
    guess: int
    """Tokens that the caller expected; 0 where it did not say."""
    tokens: int


@dataclass(slots=True)
class AnswerLengths:
    """What the answers of one service had of late."""

    _answers: deque[_Ended] = field(default_factory=lambda: deque(maxlen=MOST_SAMPLES))
    _usual: float = 0.0
    """Geometric mean of the tokens, 0 where too few answers ended."""
    _ratio: float = PRIOR_RATIO
    _mean_ratio: float = PRIOR_MEAN_RATIO

    def note(self, facts: RequestFacts, tokens: int) -> None:
        """Take in an answer that ended whole."""
        self._answers.append(_Ended(facts.output_estimate, max(1, tokens)))
        if len(self._answers) < FEWEST_SAMPLES:
            return
        self._usual = math.exp(fmean(math.log(one.tokens) for one in self._answers))
        ratios = sorted(one.tokens / _expect(one.guess, self._usual) for one in self._answers)
        self._ratio = ratios[int(COVERED * len(ratios))]
        self._mean_ratio = fmean(ratios)

    def find_room(self, facts: RequestFacts) -> int:
        """Return the tokens to set aside for an answer."""
        room = math.ceil(self._ratio * self._expect(facts))
        return min(room, facts.output_tokens) if facts.output_tokens else room

    def find_mean(self, facts: RequestFacts) -> float:
        """Return the tokens that such answers have in the mean."""
        mean = self._mean_ratio * self._expect(facts)
        return min(mean, facts.output_tokens) if facts.output_tokens else mean

    def _expect(self, facts: RequestFacts) -> float:
        return _expect(facts.output_estimate, self._usual or _guess_unseen(facts))


def _expect(guess: int, usual: float) -> float:
    """Return the tokens that an answer is expected to have."""
    return float(guess**GUESS_WEIGHT * usual ** (1 - GUESS_WEIGHT)) if guess else usual


def _guess_unseen(facts: RequestFacts) -> float:
    return PRIOR_SHARE * facts.output_tokens if facts.output_tokens else PRIOR_TOKENS
