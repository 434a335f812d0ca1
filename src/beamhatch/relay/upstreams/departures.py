"""Which lives of upstreams are known to leave, whoever said so: the store, the upstream itself, or a peer.

A life that leaves never stays after all, so what is known of it is only ever added to. No order of news matters, and an
entry of the store that is older than the upstream's own word brings nothing back.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from beamhatch.relay.model import Incarnation, UpstreamId

MOST_KEPT = 4096
"""Lives that are remembered, the newest: 0.5 MB. Over half of the upstreams of the size to design for, 6,900."""


@dataclass(slots=True)
class _Departure:
    heard_at: float
    """Monotonic seconds."""
    by_store: bool
    """True once the store has it, so that all who read from there know."""


@dataclass(slots=True)
class Departures:
    """All lives that are known to leave."""

    _known: dict[Incarnation, _Departure] = field(default_factory=dict)
    """In the order in which they were heard of."""
    _ids: set[UpstreamId] = field(default_factory=set)
    """Whose lives these are: most upstreams stay, and are passed by their ids; see ``Rests``."""

    def take(self, life: Incarnation, now: float, *, by_store: bool = False) -> bool:
        """Take in that an upstream leaves; return whether that is news."""
        known = self._known.get(life)
        if known is not None:
            known.by_store = known.by_store or by_store
            return False
        self._known[life] = _Departure(now, by_store)
        self._ids.add(life.id)
        if len(self._known) > MOST_KEPT:
            del self._known[next(iter(self._known))]
            self._ids = {one.id for one in self._known}
        return True

    def may_have(self, upstream: UpstreamId) -> bool:
        """Tell whether any life of an upstream leaves."""
        return upstream in self._ids

    def has(self, life: Incarnation) -> bool:
        """Tell whether a life leaves."""
        return life in self._known

    def __len__(self) -> int:
        """Return how many lives are known to leave."""
        return len(self._known)

    def list_untold(self) -> list[Incarnation]:
        """Return the lives that the store has not told of yet, oldest first."""
        return [life for life, departure in self._known.items() if not departure.by_store]

    def forget_old(self, listed: Collection[UpstreamId], before: float) -> None:
        """Drop lives of upstreams that are listed no longer and were heard of before some time."""
        self._known = {
            life: departure
            for life, departure in self._known.items()
            if life.id in listed or departure.heard_at >= before
        }
        self._ids = {life.id for life in self._known}
