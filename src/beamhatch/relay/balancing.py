"""Decide when an engine changes its part between prefill and decode.

A change takes an engine away for seconds, so it is made only on lasting evidence, one at a time, and never takes the
last engine of a part.
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

HIGH_USE = 0.6
"""Use of the busier part from which on a change is made before anybody has to wait."""

WORTHWHILE = 0.85
"""Share of today's use of the busier part that a change has to bring it under."""

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


def choose_change(
    engines: Sequence[Upstream], pressure: Pressure, kv_tokens: int, movable: Collection[UpstreamId]
) -> PhaseChange | None:
    """Return the change that is due, or None.

    :param engines: all that are there, those that are changing with the part that they will play
    :param kv_tokens: the memory of one engine
    :param movable: the engines that can be had to change now
    """
    prefills = [one for one in engines if one.phase is Phase.PREFILL]
    decodes = [one for one in engines if one.phase is Phase.DECODE]
    today = predict_use(len(prefills), len(decodes), pressure, kv_tokens)
    if len(engines) < 2 or (pressure.wait_rate < LEAST_WAIT_RATE and today < HIGH_USE):
        return None
    movable_prefills = [one for one in prefills if one.id in movable]
    movable_decodes = [one for one in decodes if one.id in movable]
    to_decode = predict_use(len(prefills) - 1, len(decodes) + 1, pressure, kv_tokens)
    if movable_prefills and to_decode < WORTHWHILE * today:
        return PhaseChange(_choose_from(movable_prefills, decodes), Phase.DECODE)
    to_prefill = predict_use(len(prefills) + 1, len(decodes) - 1, pressure, kv_tokens)
    if movable_decodes and to_prefill < WORTHWHILE * today:
        return PhaseChange(_choose_from(movable_decodes, prefills), Phase.PREFILL)
    return None


def predict_use(prefills: int, decodes: int, pressure: Pressure, kv_tokens: int) -> float:
    """Return the use of the busier part: 1 is all that it can do."""
    if prefills < 1 or decodes < 1:
        return float("inf")
    reading = pressure.prompt_rate / (PREFILL_RATE * prefills)
    holding = pressure.prompt_rate * pressure.memory_seconds / (kv_tokens * decodes)
    return max(reading, holding)


def _choose_from(engines: Sequence[Upstream], others: Sequence[Upstream]) -> Upstream:
    """Return an engine of a hall that keeps one of its part, and has few of the other."""
    here = Counter(one.hall for one in engines)
    there = Counter(one.hall for one in others)
    return min(engines, key=lambda one: (there[one.hall] - here[one.hall], one.id))
