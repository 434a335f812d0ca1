"""Decide when engines change between prefill and decode.

An engine serves no requests while it changes. The gain of a change is the number of additional prompt tokens served
within ``HORIZON_S``, minus those not served during the change.
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
"""Time for which a new split is assumed to last, in seconds."""

DEMAND_FACTOR = 3.0
"""Factor by which the demand may rise within ``HORIZON_S``."""

MIN_GAIN_SHARE = 0.01
"""Minimum gain of a change, as a share of the prompt tokens expected within ``HORIZON_S``."""

MAX_CHANGING_SHARE = 0.15
"""Maximum share of a service's engines that change at a time.

The estimates that a change is based on are never exact; up to this share, engines may follow the first one at once.
"""

REVERSAL_DELAY_S = 9.0
"""Minimum time between two changes in opposite directions, in seconds.

The demand reports must first reflect the earlier change.
"""


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Demand of all VMs on a service's engines."""

    prompt_rate: float
    """Prompt tokens per second."""
    wait_rate: float
    """Requests per second that find decode memory full."""
    parameters: CapacityParameters

    @property
    def expected_rate(self) -> float:
        """Return the prompt tokens per second to plan for."""
        return DEMAND_FACTOR * self.prompt_rate


@dataclass(frozen=True, slots=True)
class Split:
    """Number of engines in each phase."""

    prefills: int
    decodes: int


NO_ENGINES = Split(0, 0)


@dataclass(frozen=True, slots=True)
class PhaseChange:
    """A change of an engine to another phase."""

    upstream: Upstream
    phase: Phase


@dataclass(frozen=True, slots=True)
class ChangeEvaluation:
    """The best change of a split, and its gain."""

    prefills: int
    decodes: int
    phase: Phase
    count: int = 0
    """Number of engines to change; 0 if the split is already the best."""
    gain: float = 0.0
    """Additional prompt tokens served within ``HORIZON_S``."""
    min_gain: float = 0.0
    """Minimum gain for the change to be made."""

    @property
    def is_due(self) -> bool:
        """Return whether the change is to be made."""
        return self.count > 0 and self.gain >= self.min_gain


def evaluate_changes(
    engines: Sequence[Upstream], demand: ServiceDemand, switch_time: float, changing: Collection[UpstreamId] = ()
) -> ChangeEvaluation:
    """Return the best change of a service's split.

    :param engines: all listed engines; those that are changing have their new phase
    :param switch_time: seconds that an idle engine needs to change its phase
    :param changing: the engines that are changing
    """
    split = _count_split(engines)
    unavailable = _count_split([one for one in engines if one.id in changing])
    if not demand.prompt_rate or len(engines) < 2:
        # Engines are listed one by one at startup, so a phase may not have been listed yet.
        return ChangeEvaluation(split.prefills, split.decodes, Phase.DECODE)
    best_prefills = find_best_split(len(engines), demand.parameters)
    phase = Phase.DECODE if best_prefills < split.prefills else Phase.PREFILL
    max_count = min(abs(split.prefills - best_prefills), _count_available_changes(split, len(changing)))
    gains = {
        count: predict_gain(split, count, phase, demand, switch_time, unavailable) for count in range(1, max_count + 1)
    }
    best = max(gains, key=lambda count: gains[count], default=0)
    min_gain = MIN_GAIN_SHARE * HORIZON_S * demand.expected_rate
    return ChangeEvaluation(split.prefills, split.decodes, phase, best, gains.get(best, 0.0), min_gain)


def _count_split(engines: Sequence[Upstream]) -> Split:
    prefills = sum(one.phase is Phase.PREFILL for one in engines)
    return Split(prefills, len(engines) - prefills)


def _count_available_changes(split: Split, changing: int) -> int:
    """Return how many more engines may change; at least one if a phase has no engine."""
    engines = split.prefills + split.decodes
    is_phase_missing = not split.prefills or not split.decodes
    return max(1 if is_phase_missing else 0, max(1, int(MAX_CHANGING_SHARE * engines)) - changing)


def choose_changes(
    engines: Sequence[Upstream], evaluation: ChangeEvaluation, movable: Collection[UpstreamId]
) -> list[PhaseChange]:
    """Return the changes to make, all in one direction.

    :param movable: the engines that can change now
    """
    if not evaluation.is_due:
        return []
    prefills = [one for one in engines if one.phase is Phase.PREFILL]
    decodes = [one for one in engines if one.phase is Phase.DECODE]
    if evaluation.phase is Phase.DECODE:
        return _choose_engines(prefills, decodes, movable, evaluation.count, evaluation.phase)
    return _choose_engines(decodes, prefills, movable, evaluation.count, evaluation.phase)


def predict_gain(
    split: Split, count: int, phase: Phase, demand: ServiceDemand, switch_time: float, unavailable: Split = NO_ENGINES
) -> float:
    """Return the additional prompt tokens served within ``HORIZON_S`` if ``count`` engines change to ``phase``.

    :param split: the current engines; those that are changing count for their new phase
    :param unavailable: the engines of the split that are changing
    """
    parameters = demand.parameters
    to_decode = count if phase is Phase.DECODE else 0
    to_prefill = count - to_decode
    prefills, decodes = split.prefills, split.decodes
    before = compute_capacity(prefills, decodes, parameters)
    after = compute_capacity(prefills + to_prefill - to_decode, decodes + to_decode - to_prefill, parameters)
    available_prefills, available_decodes = prefills - unavailable.prefills, decodes - unavailable.decodes
    available = compute_capacity(available_prefills, available_decodes, parameters)
    capacity_during_change = compute_capacity(
        available_prefills - to_decode, available_decodes - to_prefill, parameters
    )
    unavailable_s = min(HORIZON_S, switch_time + parameters.residence_s)
    lost = min(demand.prompt_rate, available) - min(demand.prompt_rate, capacity_during_change)
    gained = min(demand.expected_rate, after) - min(demand.expected_rate, before)
    return (HORIZON_S - unavailable_s) * gained - unavailable_s * lost


def _choose_engines(
    engines: Sequence[Upstream], others: Sequence[Upstream], movable: Collection[UpstreamId], count: int, phase: Phase
) -> list[PhaseChange]:
    """Choose engines to change, preferring halls with the largest surplus of the old phase over the new one."""
    old_phase = Counter(one.hall for one in engines)
    new_phase = Counter(one.hall for one in others)
    candidates = [one for one in engines if one.id in movable]
    changes: list[PhaseChange] = []
    while candidates and len(changes) < count:
        chosen = min(candidates, key=lambda one: (new_phase[one.hall] - old_phase[one.hall], one.id))
        candidates.remove(chosen)
        old_phase[chosen.hall] -= 1
        new_phase[chosen.hall] += 1
        changes.append(PhaseChange(chosen, phase))
    return changes
