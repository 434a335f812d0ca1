"""Engines that were ordered to change their phase and have not finished.

A changing engine rejects new requests, so all VMs exclude it until its entry in the listing of upstreams shows the new
phase. VMs gossip the changes. A change whose order was not answered is unconfirmed: the engine is used until it rejects
a request.
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
"""Maximum duration of a change, in seconds; after it, the engine is used again in any case."""

MIN_REMAINING_S = 0.5
"""Updates with fewer seconds remaining than this are ignored.

The change has then ended for the VM that announced it.
"""


class PhaseChangeUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A pending phase change, as sent to peers."""

    phase: Phase
    """The new phase."""
    remaining_s: float
    """Maximum time until the change ends, in seconds."""
    confirmed: bool
    """False if the order was not answered."""


@dataclass(frozen=True, slots=True)
class _PendingChange:
    phase: Phase
    until: float
    confirmed: bool


@dataclass(slots=True)
class PendingPhaseChanges:
    """The pending phase changes, by engine."""

    _by_upstream: dict[UpstreamId, _PendingChange] = field(default_factory=dict)

    def apply_update(self, upstream: UpstreamId, update: PhaseChangeUpdate, now: float) -> bool:
        """Record that an engine is, or may be, changing; return whether that is new."""
        known = self._get_pending(upstream, now)
        if update.remaining_s < MIN_REMAINING_S or (known is not None and (known.confirmed or not update.confirmed)):
            return False
        self._by_upstream[upstream] = _PendingChange(
            update.phase, now + min(update.remaining_s, MAX_CHANGE_S), update.confirmed
        )
        return True

    def confirm(self, upstream: UpstreamId, now: float) -> bool:
        """Record that an engine rejected a request; return whether that confirms a pending change."""
        known = self._get_pending(upstream, now)
        if known is None or known.confirmed:
            return False
        self._by_upstream[upstream] = replace(known, confirmed=True)
        return True

    def discard_unconfirmed(self, upstream: UpstreamId) -> None:
        """Forget the change of an engine that has not accepted its order, unless that is known from elsewhere."""
        known = self._by_upstream.get(upstream)
        if known is not None and not known.confirmed:
            del self._by_upstream[upstream]

    def record_listed_phase(self, upstream: UpstreamId, phase: Phase | None) -> None:
        """Record the listed phase of an engine, or None if it is no longer listed; either may end its change."""
        change = self._by_upstream.get(upstream)
        if change is not None and phase in (None, change.phase):
            del self._by_upstream[upstream]

    def list_updates(self, now: float) -> dict[str, PhaseChangeUpdate]:
        """Return the pending changes as updates for peers, by engine."""
        return {
            str(upstream): PhaseChangeUpdate(change.phase, round(change.until - now, 2), change.confirmed)
            for upstream, change in self._by_upstream.items()
            if now < change.until
        }

    def exclude_changing(self, upstreams: list[Upstream], now: float) -> list[Upstream]:
        """Return the upstreams without a confirmed change."""
        if not self._by_upstream:
            return upstreams
        return [one for one in upstreams if not self.is_confirmed(one.id, now)]

    def with_expected_phases(self, upstreams: Iterable[Upstream], now: float) -> list[Upstream]:
        """Return the upstreams, with the new phase for those that are, or may be, changing."""
        expected = []
        for one in upstreams:
            change = self._get_pending(one.id, now)
            expected.append(one if change is None else replace(one, phase=change.phase))
        return expected

    def is_pending(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether an engine is, or may be, changing."""
        return self._get_pending(upstream, now) is not None

    def is_confirmed(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether an engine is known to be changing."""
        change = self._get_pending(upstream, now)
        return change is not None and change.confirmed

    def _get_pending(self, upstream: UpstreamId, now: float) -> _PendingChange | None:
        change = self._by_upstream.get(upstream)
        if change is not None and now >= change.until:
            del self._by_upstream[upstream]
            return None
        return change
