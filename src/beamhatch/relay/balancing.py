"""Decide when an engine changes its part between prefill and decode.

A change takes an engine away for seconds, so it is made only where it gains much, for few engines at a time, and never
takes the last engine of a part.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.relay.choosing import PREFILL_RATE
from beamhatch.relay.model import Phase, Upstream

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from beamhatch.relay.model import UpstreamId

LEAST_WAIT_RATE = 0.8
"""Requests a second, over all VMs, that find decode memory full and so show that a part is short."""

HIGH_USE = 0.35
"""Use of the busier part from which on a change is made before anybody has to wait."""

WORTHWHILE = 0.92
"""Share of today's use of the busier part that a change has to bring it under."""

PREFILL_SHARE = 0.9
"""Share of a prefill engine's time that is counted on: above it prompts wait long behind each other."""

MOST_AT_ONCE = 0.15
"""Share of a service's engines that change at once."""

BEARABLE_USE = 0.7
"""Use of the engines that stay while more than one changes."""

PAUSE = 9.0
"""Seconds between two changes: the first has to show before there is evidence for another."""


@dataclass(frozen=True, slots=True)
class Pressure:
    """What all VMs together ask of a service's engines, as far as it is known."""

    prompt_rate: float
    """Prompt tokens a second."""
    wait_rate: float
    """Requests a second that find decode memory full."""
    memory_seconds: float
    """Seconds for which a prompt token's memory is held at a decode engine, with its share of the answer's memory."""


@dataclass(frozen=True, slots=True)
class PhaseChange:
    """Have an engine play another part."""

    upstream: Upstream
    phase: Phase


def choose_changes(
    engines: Sequence[Upstream], pressure: Pressure, kv_tokens: int, movable: Collection[UpstreamId]
) -> list[PhaseChange]:
    """Return the changes that are due, all in one direction.

    :param engines: all that are there, those that are changing with the part that they will play
    :param kv_tokens: the memory of one engine
    :param movable: the engines that can be had to change now
    """
    if not pressure.prompt_rate:
        return []  # at the start engines are listed one by one: a part may just not be there yet
    prefills = [one for one in engines if one.phase is Phase.PREFILL]
    decodes = [one for one in engines if one.phase is Phase.DECODE]
    today = predict_use(len(prefills), len(decodes), pressure, kv_tokens)
    if len(engines) < 2 or (pressure.wait_rate < LEAST_WAIT_RATE and today < HIGH_USE):
        return []
    wanted = find_best_split(len(engines), pressure, kv_tokens)
    if predict_use(wanted, len(engines) - wanted, pressure, kv_tokens) >= WORTHWHILE * today:
        return []
    most = min(abs(len(prefills) - wanted), max(1, int(MOST_AT_ONCE * len(engines))))
    if wanted < len(prefills):
        staying = [predict_reading(len(prefills) - away, pressure) for away in range(1, most + 1)]
        return _choose_from(prefills, decodes, movable, _count_bearable(staying), Phase.DECODE)
    staying = [predict_holding(len(decodes) - away, pressure, kv_tokens) for away in range(1, most + 1)]
    return _choose_from(decodes, prefills, movable, _count_bearable(staying), Phase.PREFILL)


def predict_use(prefills: int, decodes: int, pressure: Pressure, kv_tokens: int) -> float:
    """Return the use of the busier part: 1 is all that it can do."""
    return max(predict_reading(prefills, pressure), predict_holding(decodes, pressure, kv_tokens))


def predict_reading(prefills: int, pressure: Pressure) -> float:
    """Return the use of some prefill engines' time."""
    if prefills < 1:
        return float("inf")
    return pressure.prompt_rate / (PREFILL_RATE * PREFILL_SHARE * prefills)


def predict_holding(decodes: int, pressure: Pressure, kv_tokens: int) -> float:
    """Return the use of some decode engines' memory."""
    if decodes < 1:
        return float("inf")
    return pressure.prompt_rate * pressure.memory_seconds / (kv_tokens * decodes)


def find_best_split(engines: int, pressure: Pressure, kv_tokens: int) -> int:
    """Return how many of some engines should be prefill engines, so that the busier part is used least."""
    reading = 1 / (PREFILL_RATE * PREFILL_SHARE)
    holding = pressure.memory_seconds / kv_tokens
    even = int(engines * reading / (reading + holding))
    candidates = [min(max(1, count), engines - 1) for count in (even, even + 1)]
    return min(candidates, key=lambda count: predict_use(count, engines - count, pressure, kv_tokens))


def _count_bearable(staying: Sequence[float]) -> int:
    """Return how many engines may be away at once, at least one.

    :param staying: the use of those that stay while one is away, two are, and so on
    """
    return max(1, sum(use <= BEARABLE_USE for use in staying))


def _choose_from(
    engines: Sequence[Upstream], others: Sequence[Upstream], movable: Collection[UpstreamId], count: int, phase: Phase
) -> list[PhaseChange]:
    """Return changes of engines in halls that keep one of their part, and have few of the other."""
    here = Counter(one.hall for one in engines)
    there = Counter(one.hall for one in others)
    free = [one for one in engines if one.id in movable]
    changes: list[PhaseChange] = []
    while free and len(changes) < count:
        chosen = min(free, key=lambda one: (there[one.hall] - here[one.hall], one.id))
        free.remove(chosen)
        here[chosen.hall] -= 1
        there[chosen.hall] += 1
        changes.append(PhaseChange(chosen, phase))
    return changes
