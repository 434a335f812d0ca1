"""The lines for decode memory of one VM, and when those that wait in them ask again."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

from beamhatch.relay.model import Regions, ServiceName
from beamhatch.relay.requests.memory_queue import DEFAULT_CLAIM, Claim, MemoryQueue
from beamhatch.relay.requests.workspace_scheduler import FifoScheduler, StartTimeFairScheduler, WorkspaceScheduler

if TYPE_CHECKING:
    from collections.abc import Sequence

    from beamhatch.clock import Clock
    from beamhatch.relay.choosing.eligibility import Eligibility

POLL_INTERVAL_S = 0.04
"""Seconds between two times that the first in line asks for decode memory."""

LATE_POLL_INTERVAL_S = 0.2
"""Seconds between two such times where the first in line is late already.

VMs whose first can be in time ask five times as often, and so get most of the places that come free, whichever VM's
stream gave them back. With the order of the line it gains 0.015 (0.007) of a day's worth (20 days, and 15 others).
"""

FREED_DELAY_S = 0.003
"""Seconds in which an engine gives memory back when a stream has ended."""

LATE_FREED_DELAY_S = 0.06
"""Seconds behind which one that is late asks for memory that was given back: more than a poll of the others."""


class QueuedRequest(ABC):
    """A request that may wait."""

    @abstractmethod
    def advance(self) -> None:
        """Go on, as it is its turn, or it has waited for long enough."""

    @abstractmethod
    def handle_displaced(self, claim: Claim) -> None:
        """Leave the line to a request of a workspace that was served less."""

    @property
    @abstractmethod
    def has_attempt(self) -> bool:
        """Tell whether something is being asked of an upstream for it."""


@dataclass(frozen=True, slots=True)
class _PendingPoll:
    """The next time that those who wait in a line ask for decode memory."""

    due: float
    """Monotonic seconds."""
    timer: Any


class QueueKey(NamedTuple):
    """Whose line it is. Who may be served elsewhere is not held up by those for whom there is no memory."""

    service: ServiceName
    regions: Regions


@dataclass(frozen=True, slots=True)
class QueueTerms:
    """How a request waits; times are in monotonic seconds."""

    on_time_until: float
    """From when on its answer is late."""
    waits_until: float
    """Until when it waits."""
    precedes_late: bool
    """Whether it goes before those that came just now."""
    claim: Claim = DEFAULT_CLAIM


class MemoryQueues:
    """All lines, by service and regions."""

    def __init__(self, clock: Clock, eligibility: Eligibility, *, fair: bool) -> None:
        """Make them.

        :param fair: whether decode memory is shared between workspaces; else whoever came first is next
        """
        self._clock = clock
        self._eligibility = eligibility
        self._queues: dict[QueueKey, MemoryQueue[QueuedRequest]] = {}
        self._schedulers: defaultdict[ServiceName, WorkspaceScheduler] = defaultdict(
            StartTimeFairScheduler if fair else FifoScheduler
        )
        """Who is next for the decode memory of each service, whatever line he waits in."""
        self._pending_polls: dict[QueueKey, _PendingPoll] = {}
        """The next poll of each line."""

    def list_all(self) -> Sequence[tuple[QueueKey, MemoryQueue[QueuedRequest]]]:
        """Return all lines."""
        return list(self._queues.items())

    def get(self, service: ServiceName, regions: Regions = None) -> MemoryQueue[QueuedRequest]:
        """Return the line for the decode memory of a service in some regions."""
        key = QueueKey(service, regions)
        line = self._queues.get(key)
        if line is None:
            line = self._queues[key] = MemoryQueue(self._schedulers[service])
        return line

    def enqueue(self, waiter: QueuedRequest, key: QueueKey, terms: QueueTerms) -> None:
        """Let a request wait; it is asked to go on when it is its turn, or when it has waited for long enough."""
        now = self._clock.now()
        line = self.get(key.service, key.regions)
        line.join(
            waiter, terms.on_time_until, terms.waits_until, now, precedes_late=terms.precedes_late, claim=terms.claim
        )
        self._schedule_poll(key)

    def record_freed(self, service: ServiceName, hall: str = "") -> None:
        """Note that one of this VM's streams gave memory back in a hall: who waits for that has a chance now."""
        now = self._clock.now()
        self.get(service)
        for key, line in self._queues.items():
            if key.service == service and (key.regions is None or self._eligibility.places.lies_in(hall, key.regions)):
                line.record_freed(now)
                self._schedule_poll_within(FREED_DELAY_S if line.has_on_time(now) else LATE_FREED_DELAY_S, key)

    def _poll(self, key: QueueKey) -> None:
        self._pending_polls.pop(key, None)
        for waiter in self._queues[key].list_due(self._clock.now()):
            waiter.advance()
        self._schedule_poll(key)

    def _schedule_poll(self, key: QueueKey) -> None:
        """Go on to poll as long as anybody waits, whoever leaves the line meanwhile."""
        fresh = self._queues[key].has_on_time(self._clock.now())
        interval = POLL_INTERVAL_S if fresh else LATE_POLL_INTERVAL_S
        self._schedule_poll_within(interval * random.uniform(0.6, 1.4), key)

    def _schedule_poll_within(self, seconds: float, key: QueueKey) -> None:
        """Poll after some seconds, unless a poll is due before."""
        if not len(self._queues[key]):
            return
        due = self._clock.now() + seconds
        pending = self._pending_polls.get(key)
        if pending is not None and pending.due <= due:
            return
        if pending is not None:
            pending.timer.cancel()
        self._pending_polls[key] = _PendingPoll(due, self._clock.call_later(seconds, self._poll, key))
