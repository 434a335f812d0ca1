"""Where halls lie: which region each is in, and how far they are from each other."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

RegionName = NewType("RegionName", str)
"""Name of a region, a set of halls near each other."""

EVERYWHERE = RegionName("")
"""The region of halls that the settings don't place: where they place none, all are in one."""


class Distance(IntEnum):
    """How far two halls are from each other; a larger one is dearer and slower."""

    SAME_HALL = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@dataclass(frozen=True, slots=True)
class Places:
    """The halls of a deployment, as the settings place them."""

    regions: Mapping[str, RegionName] = field(default_factory=dict)
    """The region of each hall."""
    _measured: dict[tuple[str, str], Distance] = field(default_factory=dict, compare=False, repr=False)
    """What was measured before: choices ask for dozens of halls each, and there are few."""

    def find_region(self, hall: str) -> RegionName:
        """Return the region of a hall."""
        return self.regions.get(hall, EVERYWHERE)

    def lies_in(self, hall: str, regions: Collection[RegionName]) -> bool:
        """Tell whether a hall is known to be in one of some regions; of one that the settings don't place, none is."""
        return self.regions.get(hall) in regions

    def has_any(self, regions: Collection[RegionName]) -> bool:
        """Tell whether the settings place any hall in one of some regions."""
        return any(region in regions for region in self.regions.values())

    def knows(self, hall: str) -> bool:
        """Tell whether the settings place a hall; where they place none, all are known."""
        return not self.regions or hall in self.regions

    def measure(self, hall: str, other: str) -> Distance:
        """Return how far two halls are from each other."""
        found = self._measured.get((hall, other))
        if found is None:
            found = self._measured[hall, other] = self._measure(hall, other)
        return found

    def _measure(self, hall: str, other: str) -> Distance:
        if hall == other:
            return Distance.SAME_HALL
        same = self.find_region(hall) == self.find_region(other)
        return Distance.SAME_REGION if same else Distance.OTHER_REGION
