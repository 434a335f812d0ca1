"""Topology of a deployment: the region of each hall, and the distance between halls."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

RegionName = NewType("RegionName", str)
"""Name of a region, a set of nearby halls."""

DEFAULT_REGION = RegionName("")
"""Region of halls that the settings assign to none."""


class Distance(IntEnum):
    """Distance between two halls, in ascending order of cost and latency."""

    SAME_HALL = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@dataclass(frozen=True, slots=True)
class Topology:
    """Halls of a deployment, by the regions that the settings assign."""

    regions: Mapping[str, RegionName] = field(default_factory=dict)
    """The region of each hall."""
    _distances: dict[tuple[str, str], Distance] = field(default_factory=dict, compare=False, repr=False)
    """Distances by pair of halls, cached since each choice of an upstream looks up many."""

    def get_region(self, hall: str) -> RegionName:
        """Return the region of a hall, ``DEFAULT_REGION`` where the settings assign none."""
        return self.regions.get(hall, DEFAULT_REGION)

    def is_in_regions(self, hall: str, regions: Collection[RegionName]) -> bool:
        """Return whether the settings assign a hall to one of the given regions."""
        return self.regions.get(hall) in regions

    def has_hall_in(self, regions: Collection[RegionName]) -> bool:
        """Return whether the settings assign any hall to one of the given regions."""
        return any(region in regions for region in self.regions.values())

    def is_known(self, hall: str) -> bool:
        """Return whether the settings assign a region to a hall; if they assign none at all, every hall is known."""
        return not self.regions or hall in self.regions

    def get_distance(self, hall: str, other: str) -> Distance:
        """Return the distance between two halls."""
        found = self._distances.get((hall, other))
        if found is None:
            found = self._distances[hall, other] = self._compute_distance(hall, other)
        return found

    def _compute_distance(self, hall: str, other: str) -> Distance:
        if hall == other:
            return Distance.SAME_HALL
        same = self.get_region(hall) == self.get_region(other)
        return Distance.SAME_REGION if same else Distance.OTHER_REGION
