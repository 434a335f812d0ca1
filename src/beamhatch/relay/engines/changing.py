"""Which engines were ordered to play another part and are not done yet.

Such an engine lets its runs end, turns new requests away, and may set memory aside for them all the same. So all VMs
pass it over until its entry shows the new part. The VM that gave the order tells its peers, and these tell theirs. An
order that was not answered may be carried out late, or never: its engine is used until it turns a request away.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import msgspec

from beamhatch.relay.model import Phase, UpstreamId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from beamhatch.relay.model import Upstream

LONGEST_CHANGE = 20.0
"""Seconds after which an engine is used again though its entry never showed the new part."""

LEAST_LEFT = 0.5
"""Seconds below which a change that a peer tells of is not taken in: it is over for whoever told it first."""


class ChangeNews(msgspec.Struct, array_like=True, frozen=True):
    """What VMs tell each other of an engine that was ordered to play another part."""

    phase: Phase
    """The new part."""
    seconds: float
    """How long it may still take."""
    certain: bool
    """False where the order was not answered."""


@dataclass(frozen=True, slots=True)
class _Change:
    phase: Phase
    until: float
    certain: bool


@dataclass(slots=True)
class Changes:
    """The changes under way, by engine."""

    _by_upstream: dict[UpstreamId, _Change] = field(default_factory=dict)

    def take(self, upstream: UpstreamId, news: ChangeNews, now: float) -> bool:
        """Take in that an engine changes its part, or may; return whether that is news."""
        known = self._find(upstream, now)
        if news.seconds < LEAST_LEFT or (known is not None and (known.certain or not news.certain)):
            return False
        self._by_upstream[upstream] = _Change(news.phase, now + min(news.seconds, LONGEST_CHANGE), news.certain)
        return True

    def confirm(self, upstream: UpstreamId, now: float) -> bool:
        """Note that an engine turned a request away; return whether that makes its change certain."""
        known = self._find(upstream, now)
        if known is None or known.certain:
            return False
        self._by_upstream[upstream] = replace(known, certain=True)
        return True

    def end(self, upstream: UpstreamId, phase: Phase | None) -> None:
        """Note what the entry of an engine shows: its part, or None where it is gone."""
        change = self._by_upstream.get(upstream)
        if change is not None and phase in (None, change.phase):
            del self._by_upstream[upstream]

    def list_news(self, now: float) -> dict[str, ChangeNews]:
        """Return what peers are told, by engine."""
        return {
            str(upstream): ChangeNews(change.phase, round(change.until - now, 2), change.certain)
            for upstream, change in self._by_upstream.items()
            if now < change.until
        }

    def pass_over(self, upstreams: list[Upstream], now: float) -> list[Upstream]:
        """Return those that are not certain to be changing."""
        if not self._by_upstream:
            return upstreams
        return [one for one in upstreams if not self._is_certain(one.id, now)]

    def foresee(self, upstreams: Iterable[Upstream], now: float) -> list[Upstream]:
        """Return all of them, those that are changing, or may be, with the part that they will play."""
        foreseen = []
        for one in upstreams:
            change = self._find(one.id, now)
            foreseen.append(one if change is None else replace(one, phase=change.phase))
        return foreseen

    def is_under_way(self, upstream: UpstreamId, now: float) -> bool:
        """Tell whether an engine is changing, or may be."""
        return self._find(upstream, now) is not None

    def _is_certain(self, upstream: UpstreamId, now: float) -> bool:
        change = self._find(upstream, now)
        return change is not None and change.certain

    def _find(self, upstream: UpstreamId, now: float) -> _Change | None:
        change = self._by_upstream.get(upstream)
        if change is not None and now >= change.until:
            del self._by_upstream[upstream]
            return None
        return change
