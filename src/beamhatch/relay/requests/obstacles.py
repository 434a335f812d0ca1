"""Remember which upstreams did not take one request, and why."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.relay.model import UpstreamId

MAX_UNREACHED = 8
"""Maximum number of upstreams that a request fails to reach, so that it is refused soon where no link works."""

MAX_UNANSWERED = 2
"""Number of decode engines that do not answer after which the others are asked in haste, active ones first."""

MAX_ASKED_IN_VAIN = 24
"""Maximum number of decode engines that do not answer, so that a request is refused soon where many are silent."""

MAX_RESERVE_ATTEMPTS = 4
"""Number of decode engines found without free memory after which the request waits in the queue."""


@dataclass(slots=True)
class Obstacles:
    """What keeps one request from the upstreams that were tried."""

    silent: set[UpstreamId] = field(default_factory=set)
    """Upstreams that may still respond to the request while another one is sought."""
    _refused_by: set[UpstreamId] = field(default_factory=set)
    _failed: set[UpstreamId] = field(default_factory=set)
    """Upstreams that lost the request or could not be reached."""
    _unasked: set[UpstreamId] = field(default_factory=set)
    """Decode engines that could not be asked for memory."""
    _unanswered_by: set[UpstreamId] = field(default_factory=set)
    """Decode engines that did not answer in time when they were asked for memory."""
    _full: set[UpstreamId] = field(default_factory=set)
    """Decode engines found without free memory; cleared when the request waits for memory or gets it."""
    _unreached: int = 0
    """Number of attempts at which an upstream could not be reached."""

    @property
    def tried(self) -> set[UpstreamId]:
        """Return the upstreams that refused the request, failed, could not be reached or are silent."""
        return self._refused_by | self.unavailable

    @property
    def unavailable(self) -> set[UpstreamId]:
        """Return the upstreams that failed, could not be reached or are silent."""
        return self._failed | self._unasked | self._unanswered_by | self.silent

    @property
    def full(self) -> frozenset[UpstreamId]:
        """Return the decode engines found without free memory since the request last waited for memory or got it."""
        return frozenset(self._full)

    @property
    def asks_in_haste(self) -> bool:
        """Return whether so many decode engines did not answer that others are asked one soon after the other."""
        return len(self._unanswered_by) >= MAX_UNANSWERED

    @property
    def has_unanswered(self) -> bool:
        """Return whether a decode engine may still answer that was asked for memory."""
        return bool(self._unanswered_by)

    @property
    def may_ask_another(self) -> bool:
        """Return whether another decode engine is asked for memory before the request waits."""
        return len(self._full) < MAX_RESERVE_ATTEMPTS

    def find_limit(self) -> str | None:
        """Return which limit on upstreams that were tried in vain is reached, or None."""
        if self._unreached >= MAX_UNREACHED:
            return "too many upstreams could not be reached"
        if len(self._unanswered_by) >= MAX_ASKED_IN_VAIN:
            return "too many upstreams did not answer"
        return None

    def has_failed(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream lost the request or could not be reached."""
        return upstream in self._failed

    def forget(self) -> None:
        """Allow upstreams to be asked again that refused the request or did not answer."""
        self._refused_by.clear()
        self._unasked.clear()
        self._unanswered_by.clear()
        self._full.clear()
        self._unreached = 0

    def forget_full(self) -> None:
        """Allow engines to be asked again that had no free memory."""
        self._full.clear()

    # --- what happened -----------------------------------------------------------------------------------------------

    def record_refused(self, upstream: UpstreamId) -> None:
        """Record that an upstream refused the request."""
        self._refused_by.add(upstream)

    def record_failed(self, upstream: UpstreamId) -> None:
        """Record that an upstream failed or closed the connection."""
        self._failed.add(upstream)

    def record_unreachable(self, upstream: UpstreamId) -> None:
        """Record that an upstream could not be reached."""
        self._unreached += 1
        self._failed.add(upstream)

    def record_full(self, upstream: UpstreamId) -> None:
        """Record that a decode engine has no free memory."""
        self._full.add(upstream)
        self._unanswered_by.discard(upstream)

    def record_reserve_failed(self, upstream: UpstreamId) -> None:
        """Record that a call to reserve memory at a decode engine failed."""
        self._unreached += 1
        self.record_reserve_lost(upstream)

    def record_reserve_lost(self, upstream: UpstreamId) -> None:
        """Record that a call for memory that was late will not be answered."""
        self._unanswered_by.discard(upstream)
        self._unasked.add(upstream)

    def record_reserve_unanswered(self, upstream: UpstreamId) -> None:
        """Record that a decode engine that was asked for memory did not answer in time."""
        self._unanswered_by.add(upstream)
