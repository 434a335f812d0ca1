"""How many prompt tokens a second a number of prefill and decode engines can take in, by what is known of them.

A stream holds decode memory from its reservation to its end. What the prefill engines can't read, decode engines read
themselves; their streams stand still meanwhile, and so hold their memory for longer.
"""

from __future__ import annotations

from dataclasses import dataclass

from beamhatch.relay.choosing.prefill_model import DECODE_RATE_FACTOR, DEFAULT_TOKENS_PER_S

PREFILL_SHARE = 0.9
"""Share of a prefill engine's time that is counted on: above it prompts wait long behind each other."""

ROUNDS = 18
"""Halvings of the range in which the answer lies: to 1 part in 260,000."""


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """What engines of a service can do, and what a stream asks of them."""

    kv_tokens: int
    """KV memory of one engine, in tokens."""
    prompt: float
    """Tokens of a prompt in the mean."""
    answer: float
    """Tokens of an answer in the mean."""
    residence: float
    """Seconds from the reservation of decode memory to the end of a stream in the mean."""
    read_rate: float = DEFAULT_TOKENS_PER_S
    """Prompt tokens a second that a prefill engine reads."""
    whole_rate: float = DECODE_RATE_FACTOR * DEFAULT_TOKENS_PER_S
    """Prompt tokens a second that a decode engine reads between the steps of its streams."""

    @property
    def memory_seconds(self) -> float:
        """Return for how long the memory of one prompt token is held, with the answer's part of the memory."""
        return self.residence * (1 + self.answer / max(1.0, self.prompt))


def find_capacity(prefills: int, decodes: int, figures: EngineFigures) -> float:
    """Return the prompt tokens a second that some engines can take in, 0 without a decode engine."""
    if decodes < 1:
        return 0.0
    low, high = 0.0, decodes * figures.kv_tokens / figures.memory_seconds
    if _can_take(high, prefills, decodes, figures):
        return high
    for _ in range(ROUNDS):
        middle = (low + high) / 2
        if _can_take(middle, prefills, decodes, figures):
            low = middle
        else:
            high = middle
    return low


def find_best_split(engines: int, figures: EngineFigures) -> int:
    """Return how many of some engines should be prefill engines: at least one, and at least one should not.

    The capacity rises with prefill engines up to the best number and falls behind it.
    """
    low, high = 1, engines - 1
    while low < high:
        middle = (low + high) // 2
        here = find_capacity(middle, engines - middle, figures)
        if find_capacity(middle + 1, engines - middle - 1, figures) > here:
            low = middle + 1
        else:
            high = middle
    return low


def _can_take(rate: float, prefills: int, decodes: int, figures: EngineFigures) -> bool:
    by_prefills = prefills * figures.read_rate * PREFILL_SHARE
    reading = max(0.0, rate - by_prefills) / (decodes * figures.whole_rate)
    if reading >= 1:
        return False
    return rate * figures.memory_seconds / (1 - reading) <= decodes * figures.kv_tokens
