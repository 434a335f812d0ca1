"""The evacuations aggregate: which halls the operators have emptied, as told by the store and by peers.

Each evacuation carries the store's revision at which it began or ended. Whoever tells it, the higher revision wins, so
the order in which news arrive does not matter, and no belief goes back.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable


class Evacuation(msgspec.Struct, frozen=True, array_like=True):
    """The newest news of one hall."""

    hall: str
    revision: int
    emptied: bool
    """False once the hall was taken back."""


NEVER = float("-inf")


@dataclass(slots=True)
class Evacuations:
    """All halls of which there are news."""

    complete: bool = False
    """True once the whole of what the store has was taken in, read by this VM or by a peer."""
    latest_return: float = NEVER
    """When a hall was last taken back, in monotonic seconds of this VM."""
    _known: dict[str, Evacuation] = field(default_factory=dict)
    _returned_at: dict[str, float] = field(default_factory=dict)

    def take(self, news: Evacuation, now: float) -> bool:
        """Take in news of one hall; return whether they changed what is believed."""
        known = self._known.get(news.hall)
        if known is not None and known.revision >= news.revision:
            return False
        self._known[news.hall] = news
        was_emptied = known is not None and known.emptied
        if was_emptied and not news.emptied:
            self._returned_at[news.hall] = now
            self.latest_return = now
        return was_emptied is not news.emptied

    def take_whole(self, emptied: Iterable[Evacuation], revision: int, now: float) -> list[Evacuation]:
        """Take in all halls that are emptied as of a revision; others no longer are. Return the news."""
        listed = list(emptied)
        halls = {news.hall for news in listed}
        ended = [
            Evacuation(known.hall, revision, False)
            for known in self._known.values()
            if known.emptied and known.hall not in halls and known.revision <= revision
        ]
        self.complete = True
        return [news for news in [*listed, *ended] if self.take(news, now)]

    def is_emptied(self, hall: str) -> bool:
        """Tell whether nothing new is to go to a hall."""
        known = self._known.get(hall)
        return known is not None and known.emptied

    def find_return(self, hall: str) -> float:
        """Return when a hall was taken back, in monotonic seconds of this VM."""
        return self._returned_at.get(hall, NEVER)

    def list_emptied(self) -> list[str]:
        """Return the halls that are emptied."""
        return [known.hall for known in self._known.values() if known.emptied]

    def list_news(self) -> list[Evacuation]:
        """Return the newest news of each hall, ended evacuations among them: peers may know older ones."""
        return list(self._known.values())
