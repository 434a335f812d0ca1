"""Compute the prompt tokens per second that a number of prefill and decode engines can sustain.

A stream holds decode memory from its reservation to the end of the stream. Prompts beyond the capacity of the prefill
engines are processed by decode engines, whose streams are interrupted for that time and hold their memory for longer.
"""

from __future__ import annotations

from dataclasses import dataclass

from beamhatch.relay.choosing.pace import DECODE_RATE_FACTOR, DEFAULT_TOKENS_PER_S

MAX_PREFILL_UTILIZATION = 0.9
"""Maximum share of its time that a prefill engine is planned to be busy; above it, prompts queue for long."""

BISECTION_STEPS = 18
"""Number of bisection steps to compute the capacity."""


@dataclass(frozen=True, slots=True)
class CapacityParameters:
    """Capacity of a service's engines, and the resources that its streams need."""

    kv_tokens: int
    """KV memory of one engine, in tokens."""
    prompt_tokens: float
    """Mean tokens per prompt."""
    answer_tokens: float
    """Mean tokens per answer."""
    residence_s: float
    """Mean seconds from the reservation of decode memory to the end of a stream."""
    prefill_rate: float = DEFAULT_TOKENS_PER_S
    """Prompt tokens per second of a prefill engine."""
    local_prefill_rate: float = DECODE_RATE_FACTOR * DEFAULT_TOKENS_PER_S
    """Prompt tokens per second that a decode engine processes between the steps of its streams."""

    @property
    def kv_seconds_per_prompt_token(self) -> float:
        """Return the KV memory held per prompt token, including the memory for the answer, in token-seconds."""
        return self.residence_s * (1 + self.answer_tokens / max(1.0, self.prompt_tokens))


def compute_capacity(prefills: int, decodes: int, parameters: CapacityParameters) -> float:
    """Return the prompt tokens per second that the engines can sustain, or 0 without a decode engine."""
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
    """Return the number of prefill engines that gives the highest capacity, with at least one engine per phase.

    The search relies on the capacity rising up to the best number of prefill engines and falling after it.
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
