"""Queue requests that wait for decode memory: admission to the queue, and the order of service.

A slot in decode memory is freed when a stream ends. The queue has room for as many requests on time as slots are
expected to be freed in time, at the rate at which this VM's own streams end; others are refused at once with a
retry-after time. Requests are served by priority, and within one priority in the order of a
:class:`WorkspaceScheduler`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic, TypeVar

from beamhatch.relay.waiting.fair_order import FifoScheduler, WorkspaceScheduler

if TYPE_CHECKING:
    from beamhatch.relay.workspaces.workspace import WorkspaceName

Waiter = TypeVar("Waiter")

RATE_WINDOW_S = 4.0
"""Period over which the rate of freed slots is measured."""

MIN_QUEUE_LENGTH = 1
"""Number of requests that may always wait, since a VM with little traffic cannot measure the rate of freed slots."""


@dataclass(frozen=True, slots=True)
class Claim:
    """The workspace and priority of a request, and the decode memory that it needs."""

    workspace: WorkspaceName | None = None
    """None if the request has no workspace; all such requests are treated as one workspace."""
    priority: int = 0
    """The highest priority is 0."""
    tokens: int = 0
    """Tokens of decode memory."""


DEFAULT_CLAIM = Claim()


@dataclass(frozen=True, slots=True)
class _QueueEntry(Generic[Waiter]):
    waiter: Waiter
    enqueued_at: float
    on_time_until: float
    waits_until: float
    late_with_precedence: bool
    claim: Claim

    def is_on_time(self, now: float) -> bool:
        """Return whether the request counts as on time; one that is late with precedence never does."""
        return not self.late_with_precedence and now < self.on_time_until


@dataclass(slots=True)
class MemoryQueue(Generic[Waiter]):
    """The requests of one VM that wait for decode memory of a service in the same regions.

    Requests that can still be on time are served before all others, since serving a late one first would make them late
    too. Within both groups the order is: higher priority, then the workspace that the scheduler ranks first, then
    late requests with precedence (for example, if the caller retries after a refusal or already has a part of the
    response), then arrival.
    """

    scheduler: WorkspaceScheduler = field(default_factory=FifoScheduler)
    _entries: list[_QueueEntry[Waiter]] = field(default_factory=list)
    _freed_at: deque[float] = field(default_factory=deque)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._entries)

    def record_freed(self, now: float) -> None:
        """Count a slot freed by one of this VM's streams."""
        self._freed_at.append(now)

    def has_room(self, max_wait_s: float, now: float) -> bool:
        """Return whether a new request may wait.

        It may if a slot is expected for it within ``max_wait_s``, or if fewer than ``MIN_QUEUE_LENGTH`` requests on
        time wait.
        """
        on_time = sum(entry.is_on_time(now) for entry in self._entries)
        return on_time < max(MIN_QUEUE_LENGTH, self.compute_freed_rate(now) * max_wait_s)

    def compute_freed_rate(self, now: float) -> float:
        """Return the slots freed per second in the last ``RATE_WINDOW_S``."""
        while self._freed_at and self._freed_at[0] < now - RATE_WINDOW_S:
            self._freed_at.popleft()
        return len(self._freed_at) / RATE_WINDOW_S

    def record_served(self, claim: Claim, now: float) -> None:
        """Record that a request got decode memory, whether it waited or not."""
        self.scheduler.record_served(claim.workspace, claim.tokens, now)

    def add(
        self,
        waiter: Waiter,
        on_time_until: float,
        waits_until: float,
        now: float,
        *,
        late_with_precedence: bool = False,
        claim: Claim = DEFAULT_CLAIM,
    ) -> None:
        """Append a request, unless it is in the queue already.

        :param on_time_until: monotonic time in seconds from which on the response is late
        :param waits_until: monotonic time in seconds up to which the request waits
        :param late_with_precedence: count the request as late, but serve it before other late ones of its workspace
        """
        if all(entry.waiter is not waiter for entry in self._entries):
            self._entries.append(_QueueEntry(waiter, now, on_time_until, waits_until, late_with_precedence, claim))

    def find_displaced(self, claim: Claim, now: float) -> Waiter | None:
        """Return the waiting request that a new one displaces, or None.

        This is the last of those on time, if its priority is not higher and its workspace was served more than the new
        request's, by more than the tokens of both requests, so that two workspaces with equal load do not displace each
        other's requests.
        """
        on_time = [entry for entry in self._entries if entry.is_on_time(now)]
        if not on_time:
            return None
        last = self._sort(on_time, now)[-1]
        lead = self.scheduler.compute_lead(last.claim.workspace, claim.workspace, now)
        is_displaced = last.claim.priority >= claim.priority and lead > last.claim.tokens + claim.tokens
        return last.waiter if is_displaced else None

    def remove(self, waiter: Waiter) -> None:
        """Remove a request, if it is in the queue."""
        self._entries = [entry for entry in self._entries if entry.waiter is not waiter]

    def has_on_time(self, now: float) -> bool:
        """Return whether any waiting request is on time."""
        return any(entry.is_on_time(now) for entry in self._entries)

    def list_all(self) -> list[Waiter]:
        """Return all waiting requests."""
        return [entry.waiter for entry in self._entries]

    def list_in_order(self, now: float) -> list[Waiter]:
        """Return all waiting requests in the order of service."""
        return [entry.waiter for entry in self._sort(self._entries, now)]

    def list_due(self, now: float) -> list[Waiter]:
        """Return the request that is next, followed by those whose waiting time is over."""
        if not self._entries:
            return []
        first = self._sort(self._entries, now)[0]
        expired = [entry for entry in self._entries if entry is not first and now >= entry.waits_until]
        return [entry.waiter for entry in [first, *expired]]

    def _sort(self, entries: list[_QueueEntry[Waiter]], now: float) -> list[_QueueEntry[Waiter]]:
        """Return entries in the order of service."""
        ranks = {owner: rank for rank, owner in enumerate(self.scheduler.rank(_list_owners(entries), now))}
        return sorted(
            entries,
            key=lambda entry: (
                not entry.is_on_time(now),
                entry.claim.priority,
                ranks.get(entry.claim.workspace, 0),
                not entry.late_with_precedence,
                entry.enqueued_at,
            ),
        )


def _list_owners(entries: list[_QueueEntry[Waiter]]) -> list[WorkspaceName | None]:
    return [entry.claim.workspace for entry in entries]
