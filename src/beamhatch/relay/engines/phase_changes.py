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

MAX_CHANGE_S = 20.0
"""Seconds after which an engine is used again though its entry never showed the new part."""

MIN_REMAINING_S = 0.5
"""Seconds below which a change that a peer tells of is not taken in: it is over for whoever told it first."""


class PhaseChangeUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What VMs tell each other of an engine that was ordered to play another part."""

    phase: Phase
    """The new part."""
    remaining_s: float
    """How long it may still take."""
    confirmed: bool
    """False where the order was not answered."""


@dataclass(frozen=True, slots=True)
class _PendingChange:
    phase: Phase
    until: float
    confirmed: bool


@dataclass(slots=True)
class PendingPhaseChanges:
    """The changes under way, by engine."""

    _by_upstream: dict[UpstreamId, _PendingChange] = field(default_factory=dict)

    def apply_update(self, upstream: UpstreamId, update: PhaseChangeUpdate, now: float) -> bool:
        """Take in that an engine changes its part, or may; return whether that is news."""
        known = self._get_pending(upstream, now)
        if update.remaining_s < MIN_REMAINING_S or (known is not None and (known.confirmed or not update.confirmed)):
            return False
        self._by_upstream[upstream] = _PendingChange(
            update.phase, now + min(update.remaining_s, MAX_CHANGE_S), update.confirmed
        )
        return True

    def confirm(self, upstream: UpstreamId, now: float) -> bool:
        """Note that an engine turned a request away; return whether that makes its change certain."""
        known = self._get_pending(upstream, now)
        if known is None or known.confirmed:
            return False
        self._by_upstream[upstream] = replace(known, confirmed=True)
        return True

    def record_entry(self, upstream: UpstreamId, phase: Phase | None) -> None:
        """Note what the entry of an engine shows: its part, or None where it is gone."""
        change = self._by_upstream.get(upstream)
        if change is not None and phase in (None, change.phase):
            del self._by_upstream[upstream]

    def list_updates(self, now: float) -> dict[str, PhaseChangeUpdate]:
        """Return what peers are told, by engine."""
        return {
            str(upstream): PhaseChangeUpdate(change.phase, round(change.until - now, 2), change.confirmed)
            for upstream, change in self._by_upstream.items()
            if now < change.until
        }

    def exclude_changing(self, upstreams: list[Upstream], now: float) -> list[Upstream]:
        """Return those that are not certain to be changing."""
        if not self._by_upstream:
            return upstreams
        return [one for one in upstreams if not self._is_confirmed(one.id, now)]

    def with_expected_phases(self, upstreams: Iterable[Upstream], now: float) -> list[Upstream]:
        """Return all of them, those that are changing, or may be, with the part that they will play."""
        expected = []
        for one in upstreams:
            change = self._get_pending(one.id, now)
            expected.append(one if change is None else replace(one, phase=change.phase))
        return expected

    def is_pending(self, upstream: UpstreamId, now: float) -> bool:
        """Tell whether an engine is changing, or may be."""
        return self._get_pending(upstream, now) is not None

    def _is_confirmed(self, upstream: UpstreamId, now: float) -> bool:
        change = self._get_pending(upstream, now)
        return change is not None and change.confirmed

    def _get_pending(self, upstream: UpstreamId, now: float) -> _PendingChange | None:
        change = self._by_upstream.get(upstream)
        if change is not None and now >= change.until:
            del self._by_upstream[upstream]
            return None
        return change
