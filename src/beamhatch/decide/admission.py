"""Concurrency and rate limits for workspaces."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.decide.outcome import NotRun, Reason

if TYPE_CHECKING:
    from beamhatch.ids import WorkspaceName


@dataclass(slots=True)
class _Usage:
    open_requests: int = 0
    tokens: float = 0.0
    refilled_at: float | None = None


@dataclass(slots=True)
class Admission:
    """The open requests and the token bucket of each workspace."""

    _usages: dict[WorkspaceName, _Usage] = field(default_factory=dict)

    def admit(self, workspace: WorkspaceName, concurrency: int, rate: float, now: float) -> NotRun | None:
        """Admit a request, or return the outcome that refuses it.

        :param concurrency: maximum number of open requests
        :param rate: requests per second; the burst is one second's worth, at least one request
        """
        use = self._usages.setdefault(workspace, _Usage())
        self._refill(use, rate, now)
        if use.open_requests >= concurrency:
            return NotRun(Reason.LIMIT_REACHED, f"the workspace has {use.open_requests} requests under way", 1.0)
        if use.tokens < 1:
            return NotRun(Reason.RATE_LIMITED, "the workspace asks too fast", round((1 - use.tokens) / rate, 3))
        use.tokens -= 1
        use.open_requests += 1
        return None

    def release(self, workspace: WorkspaceName) -> None:
        """Record that an admitted request has ended."""
        self._usages[workspace].open_requests -= 1

    def _refill(self, use: _Usage, rate: float, now: float) -> None:
        capacity = max(1.0, rate)
        if use.refilled_at is None:
            use.tokens = capacity
        else:
            use.tokens = min(capacity, use.tokens + (now - use.refilled_at) * rate)
        use.refilled_at = now
