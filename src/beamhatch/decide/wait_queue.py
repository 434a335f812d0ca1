"""The order in which waiting requests are served.

By priority; within a priority those that can still meet their target before those that cannot; among workspaces by
weighted fair shares; within a workspace by due time. A request that has waited long moves up a priority, so that
every class moves on.
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
"""Every so many turns, a request that is already late goes first."""


Lane = tuple[Priority, bool]
"""A priority, and whether its requests are late."""


class _WorkspaceQueue:
    """The waiting requests of one workspace in one lane, in the order of their latest starts."""

    def __init__(self) -> None:
        self.needs: SortedKeyList = SortedKeyList(key=lambda need: (need.latest_start, need.request))


@dataclass(slots=True)
class WaitQueue:
    """All waiting requests of one pool."""

    needs: dict[RequestId, ResourceNeed] = field(default_factory=dict)
    _tokens: dict[Lane, int] = field(default_factory=dict)
    _queues: dict[Lane, dict[WorkspaceName, _WorkspaceQueue]] = field(default_factory=dict)
    _served: dict[WorkspaceName, float] = field(default_factory=dict)
    _lanes: dict[RequestId, Lane] = field(default_factory=dict)
    _virtual_time: float = 0.0
    _turns: int = 0

    def __len__(self) -> int:
        return len(self.needs)

    def add(self, need: ResourceNeed, *, late: bool) -> None:
        """Let a request wait."""
        self.needs[need.request] = need
        self._served[need.workspace] = max(self._served.get(need.workspace, 0.0), self._virtual_time)
        self._insert(need, (need.priority, late))

    def remove(self, request: RequestId) -> ResourceNeed | None:
        """Take a request out, without serving it."""
        need = self.needs.pop(request, None)
        if need is not None:
            self._discard(need)
        return need

    def pop_for_start(self, request: RequestId) -> None:
        """Take a request out because it is served now, and charge its workspace."""
        need = self.remove(request)
        if need is None:
            return
        self._turns += 1
        self._virtual_time = self._served[need.workspace]
        self._served[need.workspace] += need.tokens / need.weight

    def iterate_next(self) -> Iterator[ResourceNeed]:
        """Yield the requests that are next, one of each line, best first."""
        for lane in self._order_lanes():
            lines = self._queues.get(lane, {})
            for workspace in sorted(lines, key=lambda name: self._served[name]):
                yield lines[workspace].needs[0]

    def precedes_all(self, priority: Priority) -> bool:
        """Tell whether a request that comes now goes before all that wait."""
        return not any(self._tokens.get(lane) for lane in self._queues if lane <= (priority, False))

    def count_tokens_before(self, priority: Priority) -> int:
        """Return the KV tokens of those that go before a request that comes now and is on time."""
        return sum(tokens for lane, tokens in self._tokens.items() if lane <= (priority, False))

    def count_tokens(self) -> int:
        """Return the KV tokens of all that wait."""
        return sum(self._tokens.values())

    def count_late_tokens(self) -> int:
        """Return the KV tokens of those that are late."""
        return sum(tokens for (_, late), tokens in self._tokens.items() if late)

    def move_late(self, now: float) -> None:
        """Move those that can't meet their target any more behind the others of their priority."""
        for priority in Priority:
            for line in list(self._queues.get((priority, False), {}).values()):
                while line.needs and line.needs[0].latest_start < now:
                    need = line.needs[0]
                    self._discard(need)
                    self._insert(need, (priority, True))

    def get_least_urgent_late(self) -> ResourceNeed | None:
        """Return the late request that matters least: of the lowest priority, the one that came last."""
        for priority in reversed(Priority):
            lines = self._queues.get((priority, True), {})
            if lines:
                return max((line.needs[-1] for line in lines.values()), key=lambda need: need.arrival_time)
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
        lines = self._queues[lane]
        lines[need.workspace].needs.remove(need)
        if not lines[need.workspace].needs:
            del lines[need.workspace]
