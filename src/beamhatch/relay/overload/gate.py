"""Whether a VM accepts one more connection of a caller; decided without clock or socket."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.relay.overload.api import Resource, ResourceName

SHEDDING_HOLD_S = 1.0
"""Seconds without an exhausted resource after which a VM no longer counts as shedding."""


class ConnectionGate:
    """Decision over all resources of a VM."""

    def __init__(self, resources: Sequence[Resource]) -> None:
        self._resources = resources
        self._exhausted_at = float("-inf")
        self.is_alone: Callable[[], bool] = lambda: True
        """Returns whether no other VM is known that could serve callers refused here."""

    def find_exhausted(self, now: float) -> ResourceName | None:
        """Return the resource that has no room for one more connection, or None."""
        alone = self.is_alone()
        for one in self._resources:
            if not one.has_room(now, alone=alone):
                self._exhausted_at = now
                return one.name
        return None

    def is_shedding(self, now: float) -> bool:
        """Return whether a resource is exhausted, or was a moment ago."""
        return now - self._exhausted_at < SHEDDING_HOLD_S

    def should_release_callers(self, now: float) -> bool:
        """Return whether callers should open a new connection for their next request, which may reach another VM."""
        return self.is_shedding(now) and not self.is_alone()

    def describe(self) -> dict[str, object]:
        """Return the log fields of all resources."""
        return {key: value for one in self._resources for key, value in one.describe().items()}
