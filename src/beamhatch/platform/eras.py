"""The order of what the store tells, also where it has come back from a copy and gives revisions out again.

The store says in each answer how often it has come back (its era). A position is the era above the revision, one whole
number: what was written behind a return is newer than all before it, wherever revisions are compared or handed on, and
tokens of orders rise. A store that tells no era has positions that are its revisions.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from beamhatch.relay.api import Headers

Era = NewType("Era", int)
"""How often the store has come back, as it counts; 0 where it does not tell."""

ERA_STEP = 1 << 32
"""Revisions of one era at the most. With it, a position is exact in a number of 53 bits up to era 2,000,000."""

FIRST_ERA = 1
"""The era of a store that has never come back from a copy."""

SETTLE_TIME = 4.0
"""Seconds behind a return in which nobody is taken as gone for standing in no list.

Upstreams and operators write theirs again: an upstream each 1.2 s, and one whose lease lapsed within 2 s.
"""

HEADER = "store-era"


def make_position(era: Era, revision: int) -> int:
    """Return where a revision stands in the order of all that the store ever told."""
    return era * ERA_STEP + revision


def find_era(position: int) -> Era:
    """Return the era of a position."""
    return Era(position // ERA_STEP)


def find_revision(position: int) -> int:
    """Return the revision of a position, as the store knows it."""
    return position % ERA_STEP


def read_era(headers: Headers) -> Era:
    """Return the era that an answer tells, 0 where it tells none that can be read."""
    for name, value in headers:
        if name.lower() == HEADER and value.isascii() and value.isdigit() and len(value) <= 6:
            return Era(int(value))
    return Era(0)


@dataclass(slots=True)
class EraWatch:
    """The newest era that the store has told this VM, and when it rose."""

    era: Era | None = None
    """None before the first answer."""
    settled_at: float = float("-inf")
    """From when on lists are whole again, in monotonic seconds."""
    first_at: float = float("inf")
    """When the store told its era first."""

    @property
    def has_come_back(self) -> bool:
        """Tell whether the store has come back from a copy at any time, so that what it lacks may have been there."""
        return (self.era or 0) > FIRST_ERA or self.settled_at > float("-inf")

    def take(self, era: Era, now: float) -> bool:
        """Take in the era of an answer; return whether the store has come back since the last one."""
        before = self.era
        if before is not None and era <= before:
            return False
        self.era = era
        if before is None:
            self.first_at = now
            return False
        self.settled_at = now + SETTLE_TIME
        return True

    def note_known(self, era: Era, now: float) -> None:
        """Take in the era of what peers told.

        Where it is older, the store came back a moment before this VM first asked it. A list that is taken as whole
        then would end evacuations, and drop upstreams, that are still to be written again.
        """
        if self.era is not None and era < self.era and self.settled_at < self.first_at:
            self.settled_at = now + SETTLE_TIME

    def may_have_come_back(self, now: float) -> bool:
        """Tell whether the store may have come back a moment before its first answer, as far as it knows of itself."""
        return bool(self.era) and now < self.first_at + SETTLE_TIME

    def is_settled(self, now: float) -> bool:
        """Tell whether what a list lacks is gone."""
        return now >= self.settled_at
