"""The halls that operators have evacuated, as reported by the store and by peers.

Each report carries the store's revision at which the evacuation began or ended. The highest revision wins, so reports
may arrive in any order and from any source.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from beamhatch.relay.topology import Topology

if TYPE_CHECKING:
    from collections.abc import Iterable

    from beamhatch.relay.model import Upstream

MAX_UNCONFIGURED_HALLS = 64
"""Maximum number of evacuations kept for halls that are not in the settings.

It bounds the memory that arbitrary hall names can take up.
"""

NEVER = float("-inf")


class Evacuation(msgspec.Struct, frozen=True, array_like=True):
    """The start or end of a hall's evacuation."""

    hall: str
    revision: int
    active: bool
    """False if the evacuation has ended."""


@dataclass(slots=True)
class Evacuations:
    """The evacuations that this VM knows of."""

    places: Topology = field(default_factory=Topology)
    complete: bool = False
    """True once a full snapshot of the store's evacuations was applied, read by this VM or by a peer."""
    as_of: int = 0
    """The revision up to which all evacuations are known.

    A hall without an entry was not evacuated at this revision. Evacuations that ended by then are therefore dropped,
    and older reports are ignored.
    """
    latest_end_at: float = NEVER
    """When an evacuation last ended, in seconds on this VM's monotonic clock."""
    has_overflowed: bool = False
    """True if an evacuation was discarded because too many are kept, so that the known ones are incomplete."""
    _known: dict[str, Evacuation] = field(default_factory=dict)
    _ended_at: dict[str, float] = field(default_factory=dict)

    def apply(self, update: Evacuation, now: float) -> bool:
        """Apply a report on one hall; return whether the hall's state changed."""
        known = self._known.get(update.hall)
        if update.revision <= (self.as_of if known is None else known.revision):
            return False
        if known is None and not self._has_room(update.hall):
            self.has_overflowed = self.has_overflowed or update.active
            return False
        self._known[update.hall] = update
        was_active = known is not None and known.active
        if was_active and not update.active:
            self._record_end(update.hall, now)
        return was_active is not update.active

    def apply_snapshot(self, evacuations: Iterable[Evacuation], revision: int, now: float) -> list[Evacuation]:
        """Apply all evacuations known at a revision, and end older ones that are missing; return the changes."""
        listed = list(evacuations)
        halls = {update.hall for update in listed}
        ended = [
            Evacuation(known.hall, revision, False)
            for known in self._known.values()
            if known.active and known.hall not in halls and known.revision < revision
        ]
        self.complete = True
        self.has_overflowed = False
        changed = [update for update in [*listed, *ended] if self.apply(update, now)]
        self.record_known_up_to(revision)
        return changed

    def record_known_up_to(self, revision: int) -> None:
        """Record that all reports up to a revision were applied, and drop evacuations that ended by then."""
        self.as_of = max(self.as_of, revision)
        old = [one.hall for one in self._known.values() if not one.active and one.revision <= self.as_of]
        for hall in old:
            del self._known[hall]

    def is_evacuated(self, hall: str) -> bool:
        """Return whether a hall is evacuated, so that no new requests may be sent to it."""
        known = self._known.get(hall)
        return known is not None and known.active

    def exclude_evacuated(self, upstreams: Iterable[Upstream]) -> list[Upstream]:
        """Return the given upstreams without those in evacuated halls."""
        return [one for one in upstreams if not self.is_evacuated(one.hall)]

    def get_end_time(self, hall: str) -> float:
        """Return when a hall's evacuation last ended, in seconds on this VM's monotonic clock, or ``NEVER``."""
        return self._ended_at.get(hall, NEVER)

    def list_evacuated(self) -> list[str]:
        """Return the evacuated halls."""
        return [known.hall for known in self._known.values() if known.active]

    def list_updates(self) -> list[Evacuation]:
        """Return the evacuations in progress and those that ended after the revision ``as_of``."""
        return list(self._known.values())

    def _has_room(self, hall: str) -> bool:
        """Return whether a report on one more hall can be kept; there is always room for halls in the settings."""
        configured = self.places.regions
        return hall in configured or sum(one not in configured for one in self._known) < MAX_UNCONFIGURED_HALLS

    def _record_end(self, hall: str, now: float) -> None:
        self.latest_end_at = now
        self._ended_at.pop(hall, None)
        self._ended_at[hall] = now
        while len(self._ended_at) > MAX_UNCONFIGURED_HALLS + len(self.places.regions):
            del self._ended_at[next(iter(self._ended_at))]
