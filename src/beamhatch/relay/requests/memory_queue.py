"""The line of requests that wait for decode memory: how many may wait, and who goes next.

A place in decode memory comes free as streams end. A VM's own streams tell how often: as many requests may wait as
places are expected to come free before a wait would make an answer late. All others are told at once when to come back.
Between workspaces it goes by their priority, and within one by a :class:`FairOrder`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic, TypeVar

from beamhatch.relay.requests.workspace_scheduler import FifoScheduler, WorkspaceScheduler

if TYPE_CHECKING:
    from beamhatch.relay.workspaces.workspace import WorkspaceName

Waiter = TypeVar("Waiter")

RATE_WINDOW_S = 4.0
"""Seconds over which the rate of freed places is counted."""

MIN_QUEUE_LENGTH = 1
"""Requests that may wait whatever the rate of freed places is, as a VM that sees few can not tell it."""


@dataclass(frozen=True, slots=True)
class Claim:
    """Whose request it is, and how much it asks."""

    workspace: WorkspaceName | None = None
    """None where it belongs to no workspace; all such are treated as of one."""
    priority: int = 0
    """Its rank, 0 for the highest."""
    tokens: int = 0
    """Of decode memory."""


DEFAULT_CLAIM = Claim()


@dataclass(frozen=True, slots=True)
class _QueueEntry(Generic[Waiter]):
    waiter: Waiter
    enqueued_at: float
    on_time_until: float
    waits_until: float
    precedes_late: bool
    claim: Claim

    def is_on_time(self, now: float) -> bool:
        """Tell whether the answer can still be in time."""
        return not self.precedes_late and now < self.on_time_until


@dataclass(slots=True)
class MemoryQueue(Generic[Waiter]):
    """Those that wait, in the order in which they came.

    Those that can still be in time go first. Behind them come those that are owed a place: callers that were refused
    and came back as they were told, and those that have a part of their answer. Both are late whatever is done, and a
    place that they take makes a newcomer late as well. Among those that can be in time, and among the others, the
    higher priority goes first, then the workspace that is next, and within it who is owed a place, and who came first.
    """

    scheduler: WorkspaceScheduler = field(default_factory=FifoScheduler)
    _entries: list[_QueueEntry[Waiter]] = field(default_factory=list)
    _freed_at: deque[float] = field(default_factory=deque)

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._entries)

    def record_freed(self, now: float) -> None:
        """Count a place that one of this VM's streams gave back."""
        self._freed_at.append(now)

    def has_room(self, max_wait_s: float, now: float) -> bool:
        """Tell whether one more may wait, so that it should be served within some seconds."""
        fresh = sum(place.is_on_time(now) for place in self._entries)
        return fresh < max(MIN_QUEUE_LENGTH, self.compute_freed_rate(now) * max_wait_s)

    def compute_freed_rate(self, now: float) -> float:
        """Return the places that came free a second of late."""
        while self._freed_at and self._freed_at[0] < now - RATE_WINDOW_S:
            self._freed_at.popleft()
        return len(self._freed_at) / RATE_WINDOW_S

    def record_served(self, claim: Claim, now: float) -> None:
        """Note that a request got decode memory, whether it waited or not."""
        self.scheduler.record_served(claim.workspace, claim.tokens, now)

    def join(
        self,
        waiter: Waiter,
        on_time_until: float,
        waits_until: float,
        now: float,
        *,
        precedes_late: bool = False,
        claim: Claim = DEFAULT_CLAIM,
    ) -> None:
        """Enter a request that will be late from some time on, and waits up to some time."""
        if all(place.waiter is not waiter for place in self._entries):
            self._entries.append(_QueueEntry(waiter, now, on_time_until, waits_until, precedes_late, claim))

    def find_displaced(self, claim: Claim, now: float) -> Waiter | None:
        """Return who is to give way to a newcomer although he waits, or None.

        It is the last of those that can be in time, where his priority is not higher and his workspace is ahead of the
        newcomer's by more than both requests: so two that ask as much as each other don't drive each other out.
        """
        fresh = [place for place in self._entries if place.is_on_time(now)]
        if not fresh:
            return None
        last = self._sort(fresh, now)[-1]
        lead = self.scheduler.compute_lead(last.claim.workspace, claim.workspace, now)
        gives_way = last.claim.priority >= claim.priority and lead > last.claim.tokens + claim.tokens
        return last.waiter if gives_way else None

    def leave(self, waiter: Waiter) -> None:
        """Drop a request that waits no longer."""
        self._entries = [place for place in self._entries if place.waiter is not waiter]

    def has_on_time(self, now: float) -> bool:
        """Tell whether somebody waits whose answer can still be in time."""
        return any(place.is_on_time(now) for place in self._entries)

    def list_all(self) -> list[Waiter]:
        """Return all who wait."""
        return [place.waiter for place in self._entries]

    def list_due(self, now: float) -> list[Waiter]:
        """Return who goes next, and who has waited for long enough to be given an end."""
        if not self._entries:
            return []
        first = self._sort(self._entries, now)[0]
        ending = [place for place in self._entries if place is not first and now >= place.waits_until]
        return [place.waiter for place in [first, *ending]]

    def _sort(self, entries: list[_QueueEntry[Waiter]], now: float) -> list[_QueueEntry[Waiter]]:
        """Return places in the order of their turns."""
        ranks = {owner: rank for rank, owner in enumerate(self.scheduler.rank(_list_owners(entries), now))}
        return sorted(
            entries,
            key=lambda place: (
                not place.is_on_time(now),
                place.claim.priority,
                ranks.get(place.claim.workspace, 0),
                not place.precedes_late,
                place.enqueued_at,
            ),
        )


def _list_owners(entries: list[_QueueEntry[Waiter]]) -> list[WorkspaceName | None]:
    return [place.claim.workspace for place in entries]
