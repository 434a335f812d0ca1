"""Which upstreams are cold, as operators are told."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from beamhatch.relay.model import UpstreamId


@dataclass(slots=True)
class ColdTransitions:
    """Tells each upstream that turns cold, and each that is warm again, once."""

    cold: set[UpstreamId] = field(default_factory=set)

    def record_cold(self, upstreams: Iterable[UpstreamId]) -> list[UpstreamId]:
        """Take in which upstreams said that they are cold; return those that were warm."""
        turned = [upstream for upstream in upstreams if upstream not in self.cold]
        self.cold.update(turned)
        return turned

    def pop_warm(self, find_cold_until: Callable[[UpstreamId], float], now: float) -> list[UpstreamId]:
        """Return those that are warm again, or gone and forgotten."""
        warm = [upstream for upstream in self.cold if find_cold_until(upstream) <= now]
        self.cold.difference_update(warm)
        return sorted(warm)
