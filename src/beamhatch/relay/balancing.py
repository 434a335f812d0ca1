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
    from collections.abc import Sequence

LEAST_WAIT_RATE = 0.8
"""Requests a second, over all VMs, that find decode memory full before an engine is moved there."""

MOST_PREFILL_USE = 0.75
"""Share of the remaining prefill engines' rate that prompts may take after a move."""

PAUSE = 9.0
"""Seconds between two changes: the first has to show before there is evidence for another."""


@dataclass(frozen=True, slots=True)
class Pressure:
    """What all VMs together ask of a service's engines, as far as it is known."""

    prompt_rate: float
    """Prompt tokens a second."""
    wait_rate: float
    """Requests a second that find decode memory full."""


@dataclass(frozen=True, slots=True)
class PhaseChange:
    """Have an engine play another part."""

    upstream: Upstream
    phase: Phase


def choose_change(engines: Sequence[Upstream], pressure: Pressure) -> PhaseChange | None:
    """Return the change that is due, or None."""
    prefills = [one for one in engines if one.phase is Phase.PREFILL]
    decodes = [one for one in engines if one.phase is Phase.DECODE]
    if not prefills and len(decodes) > 1:
        return PhaseChange(_choose_from(decodes, prefills), Phase.PREFILL)
    if not decodes and len(prefills) > 1:
        return PhaseChange(_choose_from(prefills, decodes), Phase.DECODE)
    if len(prefills) < 2 or pressure.wait_rate < LEAST_WAIT_RATE:
        return None
    if pressure.prompt_rate > MOST_PREFILL_USE * PREFILL_RATE * (len(prefills) - 1):
        return None
    return PhaseChange(_choose_from(prefills, decodes), Phase.DECODE)


def _choose_from(engines: Sequence[Upstream], others: Sequence[Upstream]) -> Upstream:
    """Return an engine of a hall that keeps one of its part, and has few of the other."""
    here = Counter(one.hall for one in engines)
    there = Counter(one.hall for one in others)
    return min(engines, key=lambda one: (there[one.hall] - here[one.hall], one.id))
