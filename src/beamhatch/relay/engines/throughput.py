"""How many prompt tokens a second a number of prefill and decode engines can take in, by what is known of them.

A stream holds decode memory from its reservation to its end. What the prefill engines can't read, decode engines read
themselves; their streams stand still meanwhile, and so hold their memory for longer.
"""

from __future__ import annotations

from dataclasses import dataclass

from beamhatch.relay.choosing.pace import PRIOR_RATE, WHOLE_SHARE

MAX_PREFILL_UTILIZATION = 0.9
"""Share of a prefill engine's time that is counted on: above it prompts wait long behind each other."""

BISECTION_STEPS = 18
"""Halvings of the range in which the answer lies: to 1 part in 260,000."""


@dataclass(frozen=True, slots=True)
class CapacityParameters:
    """What engines of a service can do, and what a stream asks of them."""

    kv_tokens: int
    """KV memory of one engine, in tokens."""
    prompt_tokens: float
    """Tokens of a prompt in the mean."""
    answer_tokens: float
    """Tokens of an answer in the mean."""
    residence_s: float
    """Seconds from the reservation of decode memory to the end of a stream in the mean."""
    prefill_rate: float = PRIOR_RATE
    """Prompt tokens a second that a prefill engine reads."""
    local_prefill_rate: float = WHOLE_SHARE * PRIOR_RATE
    """Prompt tokens a second that a decode engine reads between the steps of its streams."""

    @property
    def kv_seconds_per_prompt_token(self) -> float:
        """Return for how long the memory of one prompt token is held, with the answer's part of the memory."""
        return self.residence_s * (1 + self.answer_tokens / max(1.0, self.prompt_tokens))


def compute_capacity(prefills: int, decodes: int, parameters: CapacityParameters) -> float:
    """Return the prompt tokens a second that some engines can take in, 0 without a decode engine."""
    if decodes < 1:
        return 0.0
    low, high = 0.0, decodes * parameters.kv_tokens / parameters.kv_seconds_per_prompt_token
    if _can_sustain(high, prefills, decodes, parameters):
        return high
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if _can_sustain(middle, prefills, decodes, parameters):
            low = middle
        else:
            high = middle
    return low


def find_best_split(engines: int, parameters: CapacityParameters) -> int:
    """Return how many of some engines should be prefill engines: at least one, and at least one should not.

    The capacity rises with prefill engines up to the best number and falls behind it.
    """
    low, high = 1, engines - 1
    while low < high:
        middle = (low + high) // 2
        capacity = compute_capacity(middle, engines - middle, parameters)
        if compute_capacity(middle + 1, engines - middle - 1, parameters) > capacity:
            low = middle + 1
        else:
            high = middle
    return low


def _can_sustain(rate: float, prefills: int, decodes: int, parameters: CapacityParameters) -> bool:
    prefill_capacity = prefills * parameters.prefill_rate * MAX_PREFILL_UTILIZATION
    local_share = max(0.0, rate - prefill_capacity) / (decodes * parameters.local_prefill_rate)
    if local_share >= 1:
        return False
    return rate * parameters.kv_seconds_per_prompt_token / (1 - local_share) <= decodes * parameters.kv_tokens
