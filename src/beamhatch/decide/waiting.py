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

    from beamhatch.decide.policy.api import Need
    from beamhatch.ids import RequestId, WorkspaceName

LATE_TURN = 8
"""Every so many turns, a request that is already late goes first."""


@dataclass(slots=True)
class _Line:
    """The waiting requests of one workspace and priority, in the order of their due times."""

    needs: SortedKeyList = field(default_factory=lambda: SortedKeyList(key=lambda need: (need.due, need.request)))


@dataclass(slots=True)
class Waiting:
    """All waiting requests of one pool."""

    lead: float = 0.0
    """Seconds that a request needs from its start to its first token; what is due sooner is late."""
    needs: dict[RequestId, Need] = field(default_factory=dict)
    tokens: int = 0
    """KV tokens that all of them need."""
    _lines: dict[tuple[Priority, bool], dict[WorkspaceName, _Line]] = field(default_factory=dict)
    _served: dict[WorkspaceName, float] = field(default_factory=dict)
    _where: dict[RequestId, tuple[Priority, bool]] = field(default_factory=dict)
    _floor: float = 0.0
    _turns: int = 0

    def __len__(self) -> int:
        return len(self.needs)

    def add(self, need: Need, now: float) -> None:
        """Let a request wait."""
        self.needs[need.request] = need
        self.tokens += need.tokens
        self._served[need.workspace] = max(self._served.get(need.workspace, 0.0), self._floor)
        self._enter(need, late=need.due - self.lead <= now)

    def remove(self, request: RequestId) -> Need | None:
        """Take a request out, without serving it."""
        need = self.needs.pop(request, None)
        if need is not None:
            self.tokens -= need.tokens
            self._leave(need)
        return need

    def serve(self, request: RequestId) -> None:
        """Take a request out because it is served now, and charge its workspace."""
        need = self.remove(request)
        if need is None:
            return
        self._turns += 1
        self._floor = self._served[need.workspace]
        self._served[need.workspace] += need.tokens / need.weight

    def list_next(self, now: float) -> Iterator[Need]:
        """Yield the requests that are next, one of each line, best first."""
        self._move_late(now)
        keys = [(priority, late) for priority in Priority for late in (False, True)]
        if self._turns % LATE_TURN == LATE_TURN - 1:
            keys = [(priority, late) for priority in Priority for late in (True, False)]
        for key in keys:
            lines = self._lines.get(key, {})
            for workspace in sorted(lines, key=lambda name: self._served[name]):
                yield lines[workspace].needs[0]

    def _move_late(self, now: float) -> None:
        for priority in Priority:
            lines = self._lines.get((priority, False), {})
            for workspace in list(lines):
                line = lines[workspace]
                while line.needs and line.needs[0].due - self.lead <= now:
                    need = line.needs[0]
                    self._leave(need)
                    self._enter(need, late=True)

    def _enter(self, need: Need, *, late: bool) -> None:
        key = (need.priority, late)
        self._where[need.request] = key
        self._lines.setdefault(key, {}).setdefault(need.workspace, _Line()).needs.add(need)

    def _leave(self, need: Need) -> None:
        key = self._where.pop(need.request)
        lines = self._lines[key]
        lines[need.workspace].needs.remove(need)
        if not lines[need.workspace].needs:
            del lines[need.workspace]
