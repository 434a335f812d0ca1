"""The place of one request in the queue for decode memory, and how long it holds memory."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.relay.waiting.memory_lines import QueuedRequest, QueueKey, QueueOptions

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.core import Core
    from beamhatch.relay.requests.request import RelayRequest
    from beamhatch.relay.waiting.line import Claim, MemoryQueue


@dataclass(frozen=True, slots=True)
class QueueTerms:
    """How a request enters the queue."""

    deadline: float
    """Monotonic time in seconds by which it has to have memory to be on time."""
    has_precedence: bool
    """Whether it may enter a full queue, since its caller was put off before."""
    is_new_wait: bool
    """Whether the wait counts as demand, as no upstream has the request."""


class QueuePlace:
    """The place of one request."""

    def __init__(
        self, core: Core, request: RelayRequest, claim: Claim, owner: QueuedRequest, write_log: Callable[..., None]
    ) -> None:
        self._core = core
        self._request = request
        self._claim = claim
        self._owner = owner
        self._write_log = write_log
        self.is_waiting = False
        self._acquired_at: float | None = None
        """Monotonic time in seconds at which the request got decode memory."""

    @property
    def _queue(self) -> MemoryQueue[QueuedRequest]:
        return self._core.memory_queues.get(*self._key)

    @property
    def _key(self) -> QueueKey:
        """Return the key of the queue that the request uses."""
        return QueueKey(self._request.service.name, self._request.regions, self._request.version)

    def has_others_on_time(self, now: float) -> bool:
        """Return whether requests wait that would be on time."""
        return self._queue.has_on_time(now)

    def enter(self, terms: QueueTerms, max_wait_s: float) -> bool:
        """Enter the queue or wait on in it; return False if it is full.

        :param max_wait_s: longest wait after which a new request would be on time
        """
        now = self._core.clock.now()
        queue = self._queue
        if not self.is_waiting:
            if terms.is_new_wait:
                self._core.get_demand(self._request.service.name).record_wait(now)
            if not terms.has_precedence and not queue.has_room(max_wait_s, now) and not self._displace(now):
                return False
            self.is_waiting = True
            self._request.record_waiting(now)
            self._write_log("waits", **self._describe(now))
        options = QueueOptions(terms.deadline, now + self._request.max_memory_wait_s, terms.has_precedence, self._claim)
        self._core.memory_queues.enqueue(self._owner, self._key, options)
        return True

    def _displace(self, now: float) -> bool:
        """Make room in a full queue by displacing a request of a workspace that was served more, if there is one."""
        displaced = self._queue.find_displaced(self._claim, now)
        if displaced is not None and displaced.has_attempt:
            displaced = None  # its reservation may be about to succeed
        self._write_log("line is full", **self._describe(now), goes_before=displaced is not None)
        if displaced is None:
            return False
        displaced.handle_displaced(self._claim)
        return True

    def _describe(self, now: float) -> dict[str, object]:
        queue = self._queue
        return {
            "waiting": len(queue),
            "freed_per_second": queue.compute_freed_rate(now),
            "workspace": self._claim.workspace,
        }

    def record_displaced(self, claim: Claim) -> None:
        """Record that the request gives way to one of a workspace that was served less."""
        self._core.tally.count("line_displaced_total")
        self._write_log("gives way", workspace=self._claim.workspace, to=claim.workspace)

    def leave(self) -> None:
        """Leave the queue, if the request waits there."""
        if self.is_waiting:
            self.is_waiting = False
            self._queue.remove(self._owner)

    def record_acquired(self) -> None:
        """Record that the request holds decode memory from now on, until its end."""
        if self._acquired_at is not None:
            return
        self._acquired_at = self._core.clock.now()
        service = self._request.service.name
        self._core.get_demand(service).begin_stream(self._acquired_at)
        self._core.memory_queues.get(service).record_served(self._claim, self._acquired_at)
        if not self._request.obstacles.full:
            self._core.memory_queues.record_granted(self._key)

    def record_first_event(self) -> None:
        """Record how long decode memory was held before the first event, when that event arrives."""
        if self._acquired_at is not None and not self._request.response_begun:
            seconds = self._core.clock.now() - self._acquired_at
            self._core.get_demand(self._request.service.name).record_first_event(seconds)

    def end(self) -> None:
        """Leave the queue, and record the end of the time for which memory was held."""
        self.leave()
        if self._acquired_at is not None:
            demand = self._core.get_demand(self._request.service.name)
            demand.end_stream(self._acquired_at, self._core.clock.now())
