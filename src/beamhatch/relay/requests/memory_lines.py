"""The lines for decode memory of one VM, and when those that wait in them ask again."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

from beamhatch.relay.model import Regions, ServiceName
from beamhatch.relay.requests.fair_order import ArrivalOrder, FairOrder, StartTimeOrder
from beamhatch.relay.requests.line import NO_CLAIM, Claim, Line

if TYPE_CHECKING:
    from collections.abc import Sequence

    from beamhatch.clock import Clock
    from beamhatch.relay.choosing.eligibility import Eligibility

POLL_INTERVAL = 0.04
"""Seconds between two times that the first in line asks for decode memory."""

LATE_POLL_INTERVAL = 0.2
"""Seconds between two such times where the first in line is late already.

VMs whose first can be in time ask five times as often, and so get most of the places that come free, whichever VM's
stream gave them back. With the order of the line it gains 0.015 (0.007) of a day's worth (20 days, and 15 others).
"""

FREED_DELAY = 0.003
"""Seconds in which an engine gives memory back when a stream has ended."""

LATE_FREED_DELAY = 0.06
"""Seconds behind which one that is late asks for memory that was given back: more than a poll of the others."""


class Waiter(ABC):
    """A request that may wait."""

    @abstractmethod
    def advance(self) -> None:
        """Go on, as it is its turn, or it has waited for long enough."""

    @abstractmethod
    def give_way(self, claim: Claim) -> None:
        """Leave the line to a request of a workspace that was served less."""

    @property
    @abstractmethod
    def has_attempt(self) -> bool:
        """Tell whether something is being asked of an upstream for it."""


@dataclass(frozen=True, slots=True)
class _Poll:
    """The next time that those who wait in a line ask for decode memory."""

    due: float
    """Monotonic seconds."""
    timer: Any


class LineKey(NamedTuple):
    """Whose line it is. Who may be served elsewhere is not held up by those for whom there is no memory."""

    service: ServiceName
    regions: Regions


@dataclass(frozen=True, slots=True)
class PlaceTerms:
    """How a request waits; times are in monotonic seconds."""

    late_at: float
    """From when on its answer is late."""
    ends_at: float
    """Until when it waits."""
    owed: bool
    """Whether it goes before those that came just now."""
    claim: Claim = NO_CLAIM


class MemoryLines:
    """All lines, by service and regions."""

    def __init__(self, clock: Clock, eligibility: Eligibility, *, fair: bool) -> None:
        """Make them.

        :param fair: whether decode memory is shared between workspaces; else whoever came first is next
        """
        self._clock = clock
        self._eligibility = eligibility
        self._lines: dict[LineKey, Line[Waiter]] = {}
        self._orders: defaultdict[ServiceName, FairOrder] = defaultdict(StartTimeOrder if fair else ArrivalOrder)
        """Who is next for the decode memory of each service, whatever line he waits in."""
        self._polls: dict[LineKey, _Poll] = {}
        """The next poll of each line."""

    def list_all(self) -> Sequence[tuple[LineKey, Line[Waiter]]]:
        """Return all lines."""
        return list(self._lines.items())

    def find(self, service: ServiceName, regions: Regions = None) -> Line[Waiter]:
        """Return the line for the decode memory of a service in some regions."""
        key = LineKey(service, regions)
        line = self._lines.get(key)
        if line is None:
            line = self._lines[key] = Line(self._orders[service])
        return line

    def wait(self, waiter: Waiter, key: LineKey, place: PlaceTerms) -> None:
        """Let a request wait; it is asked to go on when it is its turn, or when it has waited for long enough."""
        now = self._clock.now()
        line = self.find(key.service, key.regions)
        line.join(waiter, place.late_at, place.ends_at, now, owed=place.owed, claim=place.claim)
        self._poll_soon(key)

    def note_freed(self, service: ServiceName, hall: str = "") -> None:
        """Note that one of this VM's streams gave memory back in a hall: who waits for that has a chance now."""
        now = self._clock.now()
        self.find(service)
        for key, line in self._lines.items():
            if key.service == service and (
                key.regions is None or self._eligibility.places.is_in_regions(hall, key.regions)
            ):
                line.note_freed(now)
                self._poll_in(FREED_DELAY if line.has_fresh(now) else LATE_FREED_DELAY, key)

    def _poll(self, key: LineKey) -> None:
        self._polls.pop(key, None)
        for waiter in self._lines[key].list_turns(self._clock.now()):
            waiter.advance()
        self._poll_soon(key)

    def _poll_soon(self, key: LineKey) -> None:
        """Go on to poll as long as anybody waits, whoever leaves the line meanwhile."""
        fresh = self._lines[key].has_fresh(self._clock.now())
        interval = POLL_INTERVAL if fresh else LATE_POLL_INTERVAL
        self._poll_in(interval * random.uniform(0.6, 1.4), key)

    def _poll_in(self, seconds: float, key: LineKey) -> None:
        """Poll after some seconds, unless a poll is due before."""
        if not len(self._lines[key]):
            return
        due = self._clock.now() + seconds
        pending = self._polls.get(key)
        if pending is not None and pending.due <= due:
            return
        if pending is not None:
            pending.timer.cancel()
        self._polls[key] = _Poll(due, self._clock.call_later(seconds, self._poll, key))
