"""Which engines were ordered to play another part and are not done yet.

Such an engine lets its runs end, turns new requests away, and may set memory aside for them all the same. So all VMs
pass it over until its entry shows the new part. The VM that gave the order tells its peers, and these tell theirs.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from beamhatch.relay.model import Phase, UpstreamId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from beamhatch.relay.model import Upstream

LONGEST_CHANGE = 20.0
"""Seconds after which an engine is used again though its entry never showed the new part."""

LEAST_LEFT = 0.5
"""Seconds below which a change that a peer tells of is not taken in: it is over for whoever told it first."""


@dataclass(frozen=True, slots=True)
class Change:
    """An engine's new part, and until when it is believed to be on its way."""

    phase: Phase
    until: float
    """Monotonic seconds."""


@dataclass(slots=True)
class Changes:
    """The changes under way, by engine."""

    _by_upstream: dict[UpstreamId, Change] = field(default_factory=dict)

    def note(self, upstream: UpstreamId, phase: Phase, seconds: float, now: float) -> bool:
        """Note that an engine changes its part for some seconds at the most; return whether that is news."""
        if seconds < LEAST_LEFT or self.find(upstream, now) is not None:
            return False
        self._by_upstream[upstream] = Change(phase, now + min(seconds, LONGEST_CHANGE))
        return True

    def find(self, upstream: UpstreamId, now: float) -> Change | None:
        """Return the change of an engine that is under way, or None."""
        change = self._by_upstream.get(upstream)
        if change is not None and now >= change.until:
            del self._by_upstream[upstream]
            return None
        return change

    def end(self, upstream: UpstreamId, phase: Phase | None) -> None:
        """Note what the entry of an engine shows: its part, or None where it is gone."""
        change = self._by_upstream.get(upstream)
        if change is not None and phase in (None, change.phase):
            del self._by_upstream[upstream]

    def list_left(self, now: float) -> dict[str, tuple[str, float]]:
        """Return the new part and the seconds that are left, by engine, as peers are told."""
        return {
            str(upstream): (change.phase.value, round(change.until - now, 2))
            for upstream, change in self._by_upstream.items()
            if now < change.until
        }

    def pass_over(self, upstreams: list[Upstream], now: float) -> list[Upstream]:
        """Return those that are not changing."""
        if not self._by_upstream:
            return upstreams
        return [one for one in upstreams if self.find(one.id, now) is None]

    def foresee(self, upstreams: Iterable[Upstream], now: float) -> list[Upstream]:
        """Return all of them, those that are changing with the part that they will play."""
        foreseen = []
        for one in upstreams:
            change = self.find(one.id, now)
            foreseen.append(one if change is None else replace(one, phase=change.phase))
        return foreseen
