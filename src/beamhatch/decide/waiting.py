"""The queue of the requests that wait for capacity of one pool.

Requests are ordered by priority, then on-time requests before late ones, then by weighted fair sharing among
workspaces, then by latest start. Every ``LATE_TURN_PERIOD``-th turn serves late requests of all priorities first.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sortedcontainers import SortedKeyList

from beamhatch.decide.call import Priority

if TYPE_CHECKING:
    from collections.abc import Iterator

    from beamhatch.decide.policy.api import ResourceNeed
    from beamhatch.ids import RequestId, WorkspaceName

LATE_TURN_PERIOD = 32
"""Number of turns of which one serves late requests first."""


Lane = tuple[Priority, bool]
"""A priority, and whether its requests are late."""


class _WorkspaceQueue:
    """The queued requests of one workspace in one lane, sorted by latest start."""

    def __init__(self) -> None:
        self.needs: SortedKeyList = SortedKeyList(key=lambda need: (need.latest_start, need.request))


@dataclass(slots=True)
class WaitQueue:
    """The queued requests of one pool."""

    needs: dict[RequestId, ResourceNeed] = field(default_factory=dict)
    _tokens: dict[Lane, int] = field(default_factory=dict)
    _queues: dict[Lane, dict[WorkspaceName, _WorkspaceQueue]] = field(default_factory=dict)
    _service_received: dict[WorkspaceName, float] = field(default_factory=dict)
    _lanes: dict[RequestId, Lane] = field(default_factory=dict)
    _virtual_time: float = 0.0
    _turns: int = 0

    def __len__(self) -> int:
        return len(self.needs)

    def add(self, need: ResourceNeed, *, late: bool) -> None:
        """Add a request to the queue."""
        self.needs[need.request] = need
        self._service_received[need.workspace] = max(
            self._service_received.get(need.workspace, 0.0), self._virtual_time
        )
        self._insert(need, (need.priority, late))

    def remove(self, request: RequestId) -> ResourceNeed | None:
        """Remove a request without charging its workspace."""
        need = self.needs.pop(request, None)
        if need is not None:
            self._discard(need)
        return need

    def pop_for_start(self, request: RequestId) -> None:
        """Remove a request that starts now, and charge its workspace."""
        need = self.remove(request)
        if need is None:
            return
        self._turns += 1
        self._virtual_time = self._service_received[need.workspace]
        self._service_received[need.workspace] += need.tokens / need.weight

    def iterate_next(self) -> Iterator[ResourceNeed]:
        """Yield the first request of each workspace and lane, in the order in which they are served."""
        for lane in self._order_lanes():
            queues = self._queues.get(lane, {})
            for workspace in sorted(queues, key=lambda name: self._service_received[name]):
                yield queues[workspace].needs[0]

    def precedes_all(self, priority: Priority) -> bool:
        """Return whether a new on-time request of this priority precedes all queued requests."""
        return not any(self._tokens.get(lane) for lane in self._queues if lane <= (priority, False))

    def count_tokens_before(self, priority: Priority) -> int:
        """Return the KV tokens of the requests that precede a new on-time request of this priority."""
        return sum(tokens for lane, tokens in self._tokens.items() if lane <= (priority, False))

    def count_tokens(self) -> int:
        """Return the KV tokens of all queued requests."""
        return sum(self._tokens.values())

    def count_late_tokens(self) -> int:
        """Return the KV tokens of all late requests."""
        return sum(tokens for (_, late), tokens in self._tokens.items() if late)

    def move_late(self, now: float) -> None:
        """Move requests whose latest start has passed to the late lane of their priority."""
        for priority in Priority:
            for queue in list(self._queues.get((priority, False), {}).values()):
                while queue.needs and queue.needs[0].latest_start < now:
                    need = queue.needs[0]
                    self._discard(need)
                    self._insert(need, (priority, True))

    def get_least_urgent_late(self) -> ResourceNeed | None:
        """Return a late request of the lowest priority, the most recent among the last of each workspace."""
        for priority in reversed(Priority):
            queues = self._queues.get((priority, True), {})
            if queues:
                return max((queue.needs[-1] for queue in queues.values()), key=lambda need: need.arrival_time)
        return None

    def _order_lanes(self) -> list[Lane]:
        late_first = self._turns % LATE_TURN_PERIOD == LATE_TURN_PERIOD - 1
        if late_first:
            return [(priority, late) for late in (True, False) for priority in Priority]
        return [(priority, late) for priority in Priority for late in (False, True)]

    def _insert(self, need: ResourceNeed, lane: Lane) -> None:
        self._lanes[need.request] = lane
        self._tokens[lane] = self._tokens.get(lane, 0) + need.tokens
        self._queues.setdefault(lane, {}).setdefault(need.workspace, _WorkspaceQueue()).needs.add(need)

    def _discard(self, need: ResourceNeed) -> None:
        lane = self._lanes.pop(need.request)
        self._tokens[lane] -= need.tokens
        queues = self._queues[lane]
        queues[need.workspace].needs.remove(need)
        if not queues[need.workspace].needs:
            del queues[need.workspace]
