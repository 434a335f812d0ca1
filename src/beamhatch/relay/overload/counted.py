"""Resources that are counted in whole units: memory and descriptors."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.overload.api import Resource, ResourceName

if TYPE_CHECKING:
    from collections.abc import Callable

USABLE_SHARE = 0.8
"""Share of the limit that may be in use when a connection is accepted."""

USABLE_SHARE_ALONE = 0.92
"""The same where no other VM could serve the callers."""


class CountedResource(Resource):
    """Resource with a limit in whole units."""

    def __init__(self, name: ResourceName, limit: int, count_used: Callable[[], int]) -> None:
        """Create a resource.

        :param limit: units in all; 0 if unknown, which allows everything
        :param count_used: returns the units in use
        """
        self.name = name
        self._limit = limit
        self._count_used = count_used

    def has_room(self, now: float, *, alone: bool) -> bool:
        """Return whether the units in use leave enough for one more connection."""
        share = USABLE_SHARE_ALONE if alone else USABLE_SHARE
        return not self._limit or self._count_used() < share * self._limit

    def describe(self) -> dict[str, object]:
        """Return the units in use and their limit."""
        if not self._limit:
            return {}
        return {f"{self.name.value}_used": self._count_used(), f"{self.name.value}_limit": self._limit}
