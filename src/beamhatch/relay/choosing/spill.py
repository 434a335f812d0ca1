"""When a request that needs decode memory goes to another hall or region than its VM's."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Sequence
from enum import Enum

from beamhatch.relay.model import Phase, Upstream, UpstreamId
from beamhatch.relay.topology import Distance, RegionName

VAIN_COST = 0.1
"""Seconds that it costs to find that no engine asked has memory: some polls of the line."""

DOUBT = 2.0
"""Engines that are thought to have had memory before any was asked: two refusals make the next one as likely as not."""

IsNear = Callable[[str], bool]
"""Tells whether a hall is in the VM's region."""


class SpillReason(Enum):
    """Why a request runs in another region than that of its VM."""

    NONE_NEAR = "the own region has no engine that may take it"
    PAIR = "the decode engine that has memory for it is there"
    TURNED_AWAY = "engines of the own region had no memory"
    CHEAPER = "it is done sooner there, by load and distance"


def find_reason(usable: Sequence[Upstream], phase: Phase, refused: Collection[UpstreamId], near: IsNear) -> SpillReason:
    """Return why an engine of another region was chosen.

    :param usable: the engines that the choice was among
    :param refused: those that had no memory for the request
    """
    own = [one for one in usable if one.phase is phase and near(one.hall)]
    if not own:
        return SpillReason.NONE_NEAR
    return SpillReason.TURNED_AWAY if any(one.id in refused for one in own) else SpillReason.CHEAPER


CountLoad = Callable[[Upstream], float]
"""Returns the share of an engine's places that are known to be taken; 1 where it has just refused."""


class Spill(ABC):
    """Decides among engines that are drawn, by where they are and by who refused."""

    @abstractmethod
    def narrow(
        self, drawn: Sequence[Upstream], measure: Callable[[str], Distance], count_load: CountLoad
    ) -> Sequence[Upstream]:
        """Return the engines among which the cost decides."""

    @abstractmethod
    def count_cost(self, region: RegionName, refusals: dict[RegionName, int]) -> float:
        """Return the seconds that an engine of a region costs more, as others there have refused this request."""


class PredictedSpill(Spill):
    """All compete by predicted time: load, distance, and the chance that a region which refused is full."""

    def narrow(
        self, drawn: Sequence[Upstream], measure: Callable[[str], Distance], count_load: CountLoad
    ) -> Sequence[Upstream]:
        """Return all."""
        return drawn

    def count_cost(self, region: RegionName, refusals: dict[RegionName, int]) -> float:
        """Return the chance that the region's next engine refuses as well, times what asking in vain costs."""
        refused = refusals.get(region, 0)
        return VAIN_COST * refused / (refused + DOUBT)
