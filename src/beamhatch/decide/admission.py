"""Limits of concurrency and rate for each workspace."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.decide.outcome import NotRun, Reason

if TYPE_CHECKING:
    from beamhatch.ids import WorkspaceName


@dataclass(slots=True)
class _Use:
    open: int = 0
    tokens: float = 0.0
    filled: float | None = None


@dataclass(slots=True)
class Admission:
    """Counts what each workspace has under way, and how fast it asks."""

    _uses: dict[WorkspaceName, _Use] = field(default_factory=dict)

    def enter(self, workspace: WorkspaceName, concurrency: int, rate: float, now: float) -> NotRun | None:
        """Let a request in, or return why not.

        :param concurrency: requests that the workspace may have under way
        :param rate: requests a second, with a burst of one second's worth
        """
        use = self._uses.setdefault(workspace, _Use())
        self._fill(use, rate, now)
        if use.open >= concurrency:
            return NotRun(Reason.LIMIT_REACHED, f"the workspace has {use.open} requests under way", 1.0)
        if use.tokens < 1:
            return NotRun(Reason.RATE_LIMITED, "the workspace asks too fast", round((1 - use.tokens) / rate, 3))
        use.tokens -= 1
        use.open += 1
        return None

    def leave(self, workspace: WorkspaceName) -> None:
        """Note that a request which was let in has ended."""
        self._uses[workspace].open -= 1

    def _fill(self, use: _Use, rate: float, now: float) -> None:
        most = max(1.0, rate)
        if use.filled is None:
            use.tokens = most
        else:
            use.tokens = min(most, use.tokens + (now - use.filled) * rate)
        use.filled = now
