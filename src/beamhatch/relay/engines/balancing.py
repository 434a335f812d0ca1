"""Decide when engines change their part between prefill and decode.

A change takes an engine away for seconds. So it is weighed by what callers would gain of it within some time: the
prompt tokens that are served beyond those of today's split, less those that are not served while the engine is away.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.relay.engines.throughput import CapacityParameters, compute_capacity, find_best_split
from beamhatch.relay.model import Phase, Upstream

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from beamhatch.relay.model import UpstreamId

HORIZON_S = 25.0
"""Seconds for which a split is taken to stay: some times what a change takes."""

DEMAND_FACTOR = 3.0
"""Times the demand of late that is to be expected within the horizon.

The users' bursts are of 1.6 to 2.3 times; with 3 engines change in calm times, when nobody misses them (trials).
"""

MIN_GAIN_SHARE = 0.01
"""Share of the expected prompt tokens that a change has to bring."""

MAX_CHANGING_SHARE = 0.15
"""Share of a service's engines that are away for a change at a time: what is learned of them is never exact.

Up to it, engines follow a first one at once. Where one order was given every 9 s instead, 45 engines had their best
split 16 s late; a day's worth went from 0.392 to 0.515 and from 0.430 to 0.452 (two days, one run each).
"""

REVERSAL_DELAY_S = 9.0
"""Seconds behind a change to one part before one to the other: the first has to show before there is evidence."""


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """What all VMs together ask of a service's engines, as far as it is known."""

    prompt_rate: float
    """Prompt tokens a second of late."""
    wait_rate: float
    """Requests a second that find decode memory full."""
    parameters: CapacityParameters

    @property
    def expected_rate(self) -> float:
        """Return the prompt tokens a second that are to be expected within the horizon."""
        return DEMAND_FACTOR * self.prompt_rate


@dataclass(frozen=True, slots=True)
class Split:
    """How many engines play each part."""

    prefills: int
    decodes: int


NONE_AWAY = Split(0, 0)


@dataclass(frozen=True, slots=True)
class PhaseChange:
    """Have an engine play another part."""

    upstream: Upstream
    phase: Phase


@dataclass(frozen=True, slots=True)
class ChangeEvaluation:
    """What the best change of a split would bring."""

    prefills: int
    decodes: int
    phase: Phase
    count: int = 0
    """Engines that would change to the part, 0 where the split is the best already."""
    gain: float = 0.0
    """Prompt tokens that would be served more within the horizon."""
    min_gain: float = 0.0
    """Prompt tokens that a change has to bring at the least."""

    @property
    def is_due(self) -> bool:
        """Tell whether the change is worth making."""
        return self.count > 0 and self.gain >= self.min_gain


def evaluate_changes(
    engines: Sequence[Upstream], demand: ServiceDemand, switch_time: float, changing: Collection[UpstreamId] = ()
) -> ChangeEvaluation:
    """Return what the best change would bring.

    :param engines: all that are there, those that are changing with the part that they will play
    :param switch_time: seconds that an idle engine needs to change its part
    :param changing: the engines that are away for a change
    """
    split = _count_split(engines)
    away = _count_split([one for one in engines if one.id in changing])
    if not demand.prompt_rate or len(engines) < 2:
        # At the start engines are listed one by one: a part may just not be there yet.
        return ChangeEvaluation(split.prefills, split.decodes, Phase.DECODE)
    best_prefills = find_best_split(len(engines), demand.parameters)
    phase = Phase.DECODE if best_prefills < split.prefills else Phase.PREFILL
    max_count = min(abs(split.prefills - best_prefills), _count_available_changes(split, len(changing)))
    gains = {count: predict_gain(split, count, phase, demand, switch_time, away) for count in range(1, max_count + 1)}
    best = max(gains, key=lambda count: gains[count], default=0)
    needed = MIN_GAIN_SHARE * HORIZON_S * demand.expected_rate
    return ChangeEvaluation(split.prefills, split.decodes, phase, best, gains.get(best, 0.0), needed)


def _count_split(engines: Sequence[Upstream]) -> Split:
    prefills = sum(one.phase is Phase.PREFILL for one in engines)
    return Split(prefills, len(engines) - prefills)


def _count_available_changes(split: Split, changing: int) -> int:
    """Return how many more engines may be away: one in any case where a part has none, and none is on the way."""
    engines = split.prefills + split.decodes
    is_phase_missing = not split.prefills or not split.decodes
    return max(1 if is_phase_missing else 0, max(1, int(MAX_CHANGING_SHARE * engines)) - changing)


def choose_changes(
    engines: Sequence[Upstream], evaluation: ChangeEvaluation, movable: Collection[UpstreamId]
) -> list[PhaseChange]:
    """Return the changes that are due, all in one direction.

    :param movable: the engines that can be had to change now
    """
    if not evaluation.is_due:
        return []
    prefills = [one for one in engines if one.phase is Phase.PREFILL]
    decodes = [one for one in engines if one.phase is Phase.DECODE]
    if evaluation.phase is Phase.DECODE:
        return _choose_engines(prefills, decodes, movable, evaluation.count, evaluation.phase)
    return _choose_engines(decodes, prefills, movable, evaluation.count, evaluation.phase)


def predict_gain(
    split: Split, count: int, phase: Phase, demand: ServiceDemand, switch_time: float, away: Split = NONE_AWAY
) -> float:
    """Return the prompt tokens that are served more within the horizon where some engines change to a part.

    :param split: today's engines, those that are away counted as what they will be
    :param away: the engines among these that serve nobody until their own change is done
    """
    parameters = demand.parameters
    to_decode = count if phase is Phase.DECODE else 0
    to_prefill = count - to_decode
    prefills, decodes = split.prefills, split.decodes
    before = compute_capacity(prefills, decodes, parameters)
    after = compute_capacity(prefills + to_prefill - to_decode, decodes + to_decode - to_prefill, parameters)
    present_prefills, present_decodes = prefills - away.prefills, decodes - away.decodes
    present = compute_capacity(present_prefills, present_decodes, parameters)
    meanwhile = compute_capacity(present_prefills - to_decode, present_decodes - to_prefill, parameters)
    away_time = min(HORIZON_S, switch_time + parameters.residence_s)
    lost = min(demand.prompt_rate, present) - min(demand.prompt_rate, meanwhile)
    gained = min(demand.expected_rate, after) - min(demand.expected_rate, before)
    return (HORIZON_S - away_time) * gained - away_time * lost


def _choose_engines(
    engines: Sequence[Upstream], others: Sequence[Upstream], movable: Collection[UpstreamId], count: int, phase: Phase
) -> list[PhaseChange]:
    """Return changes of engines in halls that keep one of their part, and have few of the other."""
    own_phase = Counter(one.hall for one in engines)
    other_phase = Counter(one.hall for one in others)
    candidates = [one for one in engines if one.id in movable]
    changes: list[PhaseChange] = []
    while candidates and len(changes) < count:
        chosen = min(candidates, key=lambda one: (other_phase[one.hall] - own_phase[one.hall], one.id))
        candidates.remove(chosen)
        own_phase[chosen.hall] -= 1
        other_phase[chosen.hall] += 1
        changes.append(PhaseChange(chosen, phase))
    return changes
