"""The queues for decode memory of one VM, and the timers at which waiting requests ask for memory again."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

from beamhatch.relay.model import Regions, ServiceName, SoftwareVersion
from beamhatch.relay.waiting.fair_order import FifoScheduler, StartTimeFairScheduler, WorkspaceScheduler
from beamhatch.relay.waiting.line import DEFAULT_CLAIM, Claim, MemoryQueue

if TYPE_CHECKING:
    from collections.abc import Sequence

    from beamhatch.clock import Clock
    from beamhatch.relay.choosing.eligibility import Eligibility

POLL_INTERVAL_S = 0.04
"""Interval at which the next request in a queue asks for decode memory if it is on time."""

LATE_POLL_INTERVAL_S = 0.2
"""Interval at which the next request in a queue asks for decode memory if it is late.

It is longer than ``POLL_INTERVAL_S`` so that VMs with requests on time get most of the freed slots.
"""

FREED_DELAY_S = 0.003
"""Delay after the end of a stream before a request on time asks for its memory, which an engine frees meanwhile."""

LATE_FREED_DELAY_S = 0.06
"""Delay after the end of a stream before a late request asks for its memory.

It is longer than ``POLL_INTERVAL_S`` so that requests on time at other VMs ask first.
"""

REQUESTS_PER_GRANT = 2
"""Number of requests that ask for memory after a grant.

With more than one, a queue empties although new requests join it as fast as engines respond.
"""


class QueuedRequest(ABC):
    """A request that can wait in a queue for decode memory."""

    @abstractmethod
    def advance(self) -> None:
        """Carry out the next step; called when the request is next or its waiting time is over."""

    @abstractmethod
    def handle_displaced(self, claim: Claim) -> None:
        """Leave the queue in favour of a new request whose workspace was served less."""

    @property
    @abstractmethod
    def has_attempt(self) -> bool:
        """Return whether a call to an upstream is under way for this request."""


@dataclass(frozen=True, slots=True)
class _PendingPoll:
    """The next time at which the requests of a queue ask for decode memory."""

    due: float
    """Monotonic time in seconds."""
    timer: Any


class QueueKey(NamedTuple):
    """The key of a queue.

    Requests restricted to different regions or versions wait in separate queues, so that one without free memory does
    not block the others.
    """

    service: ServiceName
    regions: Regions
    version: SoftwareVersion | None = None
    """Version that began the streams that the requests continue; None for streams that have not begun."""


@dataclass(frozen=True, slots=True)
class QueueOptions:
    """How long and with which precedence a request waits; times are monotonic, in seconds."""

    on_time_until: float
    """Time from which on the response is late."""
    waits_until: float
    """Time up to which the request waits."""
    late_with_precedence: bool
    """Whether the request counts as late, but is served before other late ones of its workspace."""
    claim: Claim = DEFAULT_CLAIM


class MemoryQueues:
    """The memory queues of one VM, one for each service and set of regions."""

    def __init__(self, clock: Clock, eligibility: Eligibility, *, fair: bool) -> None:
        """Create an empty set of queues.

        :param fair: whether decode memory is shared fairly between workspaces; otherwise first in, first out
        """
        self._clock = clock
        self._eligibility = eligibility
        self._queues: dict[QueueKey, MemoryQueue[QueuedRequest]] = {}
        self._schedulers: defaultdict[ServiceName, WorkspaceScheduler] = defaultdict(
            StartTimeFairScheduler if fair else FifoScheduler
        )
        """The scheduler of each service, shared by its queues."""
        self._pending_polls: dict[QueueKey, _PendingPoll] = {}
        """The next poll of each queue."""

    def list_all(self) -> Sequence[tuple[QueueKey, MemoryQueue[QueuedRequest]]]:
        """Return all queues with their keys."""
        return list(self._queues.items())

    def get(
        self, service: ServiceName, regions: Regions = None, version: SoftwareVersion | None = None
    ) -> MemoryQueue[QueuedRequest]:
        """Return the queue for the decode memory of a service's engines of some regions and version."""
        key = QueueKey(service, regions, version)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = MemoryQueue(self._schedulers[service])
        return queue

    def enqueue(self, waiter: QueuedRequest, key: QueueKey, options: QueueOptions) -> None:
        """Queue a request; its ``advance`` is called when it is next, or when its waiting time is over."""
        now = self._clock.now()
        queue = self.get(*key)
        queue.add(
            waiter,
            options.on_time_until,
            options.waits_until,
            now,
            late_with_precedence=options.late_with_precedence,
            claim=options.claim,
        )
        self._schedule_poll(key)

    def record_granted(self, key: QueueKey) -> None:
        """Record that the engine asked first had memory, so that the next requests of a queue ask at once."""
        self._clock.call_later(0.0, self._advance_next, key)

    def _advance_next(self, key: QueueKey) -> None:
        queue = self._queues.get(key)
        if queue is None:
            return
        idle = [waiter for waiter in queue.list_in_order(self._clock.now()) if not waiter.has_attempt]
        for waiter in idle[:REQUESTS_PER_GRANT]:
            waiter.advance()

    def record_freed(self, service: ServiceName, hall: str = "") -> None:
        """Record that a stream of this VM freed memory in a hall, and schedule polls of the queues that may use it."""
        now = self._clock.now()
        self.get(service)
        for key, queue in self._queues.items():
            if key.service == service and (
                key.regions is None or self._eligibility.places.is_in_regions(hall, key.regions)
            ):
                queue.record_freed(now)
                self._schedule_poll_within(FREED_DELAY_S if queue.has_on_time(now) else LATE_FREED_DELAY_S, key)

    def _poll(self, key: QueueKey) -> None:
        self._pending_polls.pop(key, None)
        for waiter in self._queues[key].list_due(self._clock.now()):
            waiter.advance()
        if key.version is not None and not len(self._queues[key]):
            del self._queues[key]
            return
        self._schedule_poll(key)

    def _schedule_poll(self, key: QueueKey) -> None:
        """Schedule the next regular poll, unless the queue is empty."""
        on_time = self._queues[key].has_on_time(self._clock.now())
        interval = POLL_INTERVAL_S if on_time else LATE_POLL_INTERVAL_S
        self._schedule_poll_within(interval * random.uniform(0.6, 1.4), key)

    def _schedule_poll_within(self, seconds: float, key: QueueKey) -> None:
        """Poll after some seconds at the latest, unless the queue is empty."""
        if not len(self._queues[key]):
            return
        due = self._clock.now() + seconds
        pending = self._pending_polls.get(key)
        if pending is not None and pending.due <= due:
            return
        if pending is not None:
            pending.timer.cancel()
        self._pending_polls[key] = _PendingPoll(due, self._clock.call_later(seconds, self._poll, key))
