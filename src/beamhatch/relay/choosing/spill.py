"""Decide when a request that needs decode memory spills over to a hall or region other than its VM's."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Sequence
from enum import Enum

from beamhatch.relay.model import Phase, Upstream, UpstreamId
from beamhatch.relay.topology import Distance, RegionName

FAILED_ROUND_COST_S = 0.1
"""Cost of a round of reservation attempts in which no engine had memory."""

REFUSAL_PRIOR = 2.0
"""Number of refusals by a region's engines after which the next one is expected to refuse with probability 0.5."""

IsNear = Callable[[str], bool]
"""Returns whether a hall is in the VM's region."""


class SpillReason(Enum):
    """Reason why a request runs in a region other than its VM's; names in lower case are metric labels."""

    NONE_NEAR = "the own region has no engine that may take it"
    PAIR = "the decode engine that has memory for it is there"
    TURNED_AWAY = "engines of the own region had no memory"
    CHEAPER = "it is done sooner there, by load and distance"


def get_spill_reason(
    usable: Sequence[Upstream], phase: Phase, refused: Collection[UpstreamId], is_near: IsNear
) -> SpillReason:
    """Return why an engine of another region was chosen.

    :param usable: the engines that were available for the choice
    :param refused: the engines that had no memory for the request
    :param is_near: returns whether a hall is in the VM's region
    """
    local = [one for one in usable if one.phase is phase and is_near(one.hall)]
    if not local:
        return SpillReason.NONE_NEAR
    return SpillReason.TURNED_AWAY if any(one.id in refused for one in local) else SpillReason.CHEAPER


EstimateLoad = Callable[[Upstream], float]
"""Returns the estimated share of an engine's slots that are in use; 1 for an engine whose hall has refused."""


class SpillPolicy(ABC):
    """Policy that filters sampled engines and adds to their costs, by their location and earlier refusals."""

    @abstractmethod
    def filter(
        self, sampled: Sequence[Upstream], get_distance: Callable[[str], Distance], estimate_load: EstimateLoad
    ) -> Sequence[Upstream]:
        """Return the engines whose costs are to be compared."""

    @abstractmethod
    def compute_cost(self, region: RegionName, refusals: dict[RegionName, int]) -> float:
        """Return the additional cost of a region's engines in seconds.

        :param refusals: how many engines of each region have refused this request
        """


class CostSpillPolicy(SpillPolicy):
    """Policy that compares all engines, and adds to the cost of each the probable cost of a refusal in its region."""

    def filter(
        self, sampled: Sequence[Upstream], get_distance: Callable[[str], Distance], estimate_load: EstimateLoad
    ) -> Sequence[Upstream]:
        """Return all sampled engines."""
        return sampled

    def compute_cost(self, region: RegionName, refusals: dict[RegionName, int]) -> float:
        """Return the probability that the region's next engine refuses, times the cost of a failed round."""
        refused = refusals.get(region, 0)
        return FAILED_ROUND_COST_S * refused / (refused + REFUSAL_PRIOR)
