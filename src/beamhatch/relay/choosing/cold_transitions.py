"""Detect when upstreams turn cold and warm, for the log."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from beamhatch.relay.model import UpstreamId


@dataclass(slots=True)
class ColdTransitions:
    """Set of cold upstreams that reports each change once."""

    cold: set[UpstreamId] = field(default_factory=set)

    def record_cold(self, upstreams: Iterable[UpstreamId]) -> list[UpstreamId]:
        """Record upstreams that announced that they are cold; return those that were warm before."""
        turned = [upstream for upstream in upstreams if upstream not in self.cold]
        self.cold.update(turned)
        return turned

    def pop_warm(self, find_cold_until: Callable[[UpstreamId], float], now: float) -> list[UpstreamId]:
        """Remove and return the upstreams that are warm again, or no longer known."""
        warm = [upstream for upstream in self.cold if find_cold_until(upstream) <= now]
        self.cold.difference_update(warm)
        return sorted(warm)
