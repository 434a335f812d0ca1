"""Where halls lie: which region each is in, and how far they are from each other."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

RegionName = NewType("RegionName", str)
"""Name of a region, a set of halls near each other."""

DEFAULT_REGION = RegionName("")
"""The region of halls that the settings don't place: where they place none, all are in one."""


class Distance(IntEnum):
    """How far two halls are from each other; a larger one is dearer and slower."""

    SAME_HALL = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@dataclass(frozen=True, slots=True)
class Topology:
    """The halls of a deployment, as the settings place them."""

    regions: Mapping[str, RegionName] = field(default_factory=dict)
    """The region of each hall."""
    _distances: dict[tuple[str, str], Distance] = field(default_factory=dict, compare=False, repr=False)
    """What was measured before: choices ask for dozens of halls each, and there are few."""

    def get_region(self, hall: str) -> RegionName:
        """Return the region of a hall."""
        return self.regions.get(hall, DEFAULT_REGION)

    def is_in_regions(self, hall: str, regions: Collection[RegionName]) -> bool:
        """Tell whether a hall is known to be in one of some regions; of one that the settings don't place, none is."""
        return self.regions.get(hall) in regions

    def has_hall_in(self, regions: Collection[RegionName]) -> bool:
        """Tell whether the settings place any hall in one of some regions."""
        return any(region in regions for region in self.regions.values())

    def is_known(self, hall: str) -> bool:
        """Tell whether the settings place a hall; where they place none, all are known."""
        return not self.regions or hall in self.regions

    def get_distance(self, hall: str, other: str) -> Distance:
        """Return how far two halls are from each other."""
        found = self._distances.get((hall, other))
        if found is None:
            found = self._distances[hall, other] = self._compute_distance(hall, other)
        return found

    def _compute_distance(self, hall: str, other: str) -> Distance:
        if hall == other:
            return Distance.SAME_HALL
        same = self.get_region(hall) == self.get_region(other)
        return Distance.SAME_REGION if same else Distance.OTHER_REGION
