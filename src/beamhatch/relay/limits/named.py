"""Which upstreams name a limit in their answers, and what it is."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from beamhatch.relay.model import Life, UpstreamId


@dataclass(slots=True)
class NamedLimits:
    """The newest limit of each life that names one, in requests a second from all VMs together."""

    _rates: dict[Life, float] = field(default_factory=dict)

    def take(self, life: Life, rate: float | None) -> bool:
        """Take in what an answer names, None for nothing; return whether that is news."""
        if rate == self._rates.get(life):
            return False
        if rate is None:
            del self._rates[life]
        else:
            self._rates[life] = rate
        return True

    def find(self, life: Life) -> float | None:
        """Return the limit of a life, None where it names none."""
        return self._rates.get(life)

    def count(self) -> int:
        """Return how many lives name one."""
        return len(self._rates)

    def keep_only(self, listed: Collection[UpstreamId]) -> None:
        """Drop those of upstreams that are not known any more."""
        self._rates = {life: rate for life, rate in self._rates.items() if life.id in listed}
