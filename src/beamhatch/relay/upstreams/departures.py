"""Incarnations of upstreams that are shutting down, as announced by the store, by peers or by themselves.

A departure is final, so the order of updates does not matter, and an older entry of the store can't revert it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from beamhatch.relay.model import Incarnation, UpstreamId

MAX_DEPARTURES = 4096
"""Incarnations kept; the oldest is dropped when there are more.

Over half of the upstreams of the largest fleet to design for; 0.5 MB.
"""


@dataclass(slots=True)
class _Departure:
    received_at: float
    """Monotonic seconds."""
    by_store: bool
    """True once the store lists the departure, so that peers learn of it from there."""


@dataclass(slots=True)
class Departures:
    """Departing incarnations."""

    _known: dict[Incarnation, _Departure] = field(default_factory=dict)
    """In the order of their first announcement."""
    _ids: set[UpstreamId] = field(default_factory=set)
    """Ids of the upstreams in ``_known``, for a fast check of the many that have no departure."""

    def record(self, incarnation: Incarnation, now: float, *, by_store: bool = False) -> bool:
        """Record a departure; return whether it was unknown."""
        known = self._known.get(incarnation)
        if known is not None:
            known.by_store = known.by_store or by_store
            return False
        self._known[incarnation] = _Departure(now, by_store)
        self._ids.add(incarnation.id)
        if len(self._known) > MAX_DEPARTURES:
            del self._known[next(iter(self._known))]
            self._ids = {one.id for one in self._known}
        return True

    def has_upstream(self, upstream: UpstreamId) -> bool:
        """Return whether any incarnation of the upstream is departing."""
        return upstream in self._ids

    def has(self, incarnation: Incarnation) -> bool:
        """Return whether the incarnation is departing."""
        return incarnation in self._known

    def __len__(self) -> int:
        """Return the number of departing incarnations."""
        return len(self._known)

    def list_unstored(self) -> list[Incarnation]:
        """Return the departing incarnations that the store does not list as departing yet, oldest first."""
        return [incarnation for incarnation, departure in self._known.items() if not departure.by_store]

    def drop_expired(self, listed: Collection[UpstreamId], before: float) -> None:
        """Drop departures recorded before a time, in monotonic seconds, of upstreams not in ``listed``."""
        self._known = {
            incarnation: departure
            for incarnation, departure in self._known.items()
            if incarnation.id in listed or departure.received_at >= before
        }
        self._ids = {incarnation.id for incarnation in self._known}
