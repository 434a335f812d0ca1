"""The evacuations aggregate: which halls the operators have emptied, as told by the store and by peers.

Each evacuation carries the store's revision at which it began or ended. Whoever tells it, the higher revision wins, so
the order in which news arrive does not matter, and no belief goes back.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from beamhatch.relay.topology import Topology

if TYPE_CHECKING:
    from collections.abc import Iterable

    from beamhatch.relay.model import Upstream

MOST_UNPLACED = 64
"""Halls that the settings don't place of which news are kept: their names are the store's, and may be anything."""

NEVER = float("-inf")


class Evacuation(msgspec.Struct, frozen=True, array_like=True):
    """The newest news of one hall."""

    hall: str
    revision: int
    emptied: bool
    """False once the hall was taken back."""


@dataclass(slots=True)
class Evacuations:
    """All halls of which there are news."""

    places: Topology = field(default_factory=Topology)
    complete: bool = False
    """True once the whole of what the store has was taken in, read by this VM or by a peer."""
    as_of: int = 0
    """The revision up to which all evacuations are known: a hall that is not known as emptied was not by then.

    So a peer that is behind revives no evacuation that has ended, and ended ones need not be remembered.
    """
    latest_return: float = NEVER
    """When a hall was last taken back, in monotonic seconds of this VM."""
    lacks_room: bool = False
    """True where news of an emptied hall could not be kept: what is known is not all, and not told as such."""
    _known: dict[str, Evacuation] = field(default_factory=dict)
    _returned_at: dict[str, float] = field(default_factory=dict)

    def take(self, news: Evacuation, now: float) -> bool:
        """Take in news of one hall; return whether they changed what is believed."""
        known = self._known.get(news.hall)
        if news.revision <= (self.as_of if known is None else known.revision):
            return False
        if known is None and not self._has_room(news.hall):
            self.lacks_room = self.lacks_room or news.emptied
            return False
        self._known[news.hall] = news
        was_emptied = known is not None and known.emptied
        if was_emptied and not news.emptied:
            self._note_return(news.hall, now)
        return was_emptied is not news.emptied

    def take_whole(self, emptied: Iterable[Evacuation], revision: int, now: float) -> list[Evacuation]:
        """Take in all halls that are emptied as of a revision; others no longer are. Return the news."""
        listed = list(emptied)
        halls = {news.hall for news in listed}
        ended = [
            Evacuation(known.hall, revision, False)
            for known in self._known.values()
            if known.emptied and known.hall not in halls and known.revision < revision
        ]
        self.complete = True
        self.lacks_room = False
        changed = [news for news in [*listed, *ended] if self.take(news, now)]
        self.note_known(revision)
        return changed

    def note_known(self, revision: int) -> None:
        """Note that all news up to a revision were taken in; ended evacuations up to it are forgotten."""
        self.as_of = max(self.as_of, revision)
        old = [one.hall for one in self._known.values() if not one.emptied and one.revision <= self.as_of]
        for hall in old:
            del self._known[hall]

    def is_emptied(self, hall: str) -> bool:
        """Tell whether nothing new is to go to a hall."""
        known = self._known.get(hall)
        return known is not None and known.emptied

    def list_outside(self, upstreams: Iterable[Upstream]) -> list[Upstream]:
        """Return those of some upstreams that are in no emptied hall."""
        return [one for one in upstreams if not self.is_emptied(one.hall)]

    def find_return(self, hall: str) -> float:
        """Return when a hall was taken back, in monotonic seconds of this VM."""
        return self._returned_at.get(hall, NEVER)

    def list_emptied(self) -> list[str]:
        """Return the halls that are emptied."""
        return [known.hall for known in self._known.values() if known.emptied]

    def list_news(self) -> list[Evacuation]:
        """Return the newest news of each hall that is emptied, or whose end is newer than what is known as a whole."""
        return list(self._known.values())

    def _has_room(self, hall: str) -> bool:
        """Tell whether news of one more hall can be kept; those that the settings place always are."""
        placed = self.places.regions
        return hall in placed or sum(one not in placed for one in self._known) < MOST_UNPLACED

    def _note_return(self, hall: str, now: float) -> None:
        self.latest_return = now
        self._returned_at.pop(hall, None)
        self._returned_at[hall] = now
        while len(self._returned_at) > MOST_UNPLACED + len(self.places.regions):
            del self._returned_at[next(iter(self._returned_at))]
