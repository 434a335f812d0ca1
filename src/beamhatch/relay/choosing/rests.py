"""Track upstreams that have asked this VM to back off, and ramp requests up again afterwards.

After a back-off, one request probes the upstream, and each response allows more in flight. An upstream that asks
one VM to back off may accept requests of others, so back-offs are not shared with peers.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from beamhatch.relay.model import Incarnation, Upstream, UpstreamId

MAX_JITTER = 0.25
"""Maximum random extension of a back-off, as a share of it, so that VMs do not all resume at the same time."""

INITIAL_PROBES = 1
"""Requests that may be in flight after a back-off until the first response."""

RECOVERY_RESPONSES = 16
"""Responses after which an upstream is used without this limit again.

Each response admits two more requests, so they arrive within five round trips.
"""

PROBE_TIMEOUT_S = 1.0
"""Seconds after which a probe without a result no longer counts as in flight.

Longer than the usual target latencies, within which a plain response or the first event arrives.
"""


@dataclass(slots=True)
class _Backoff:
    until: float
    """End of the back-off, in monotonic seconds."""
    responses: int = 0
    """Requests that were answered and not rejected since the end of the back-off."""
    probes: deque[float] = field(default_factory=deque)
    """Send time of each probe in flight."""

    def has_room(self, now: float) -> bool:
        """Return whether one more probe may be sent."""
        while self.probes and self.probes[0] <= now - PROBE_TIMEOUT_S:
            self.probes.popleft()
        return len(self.probes) < INITIAL_PROBES + self.responses


@dataclass(slots=True)
class BackoffProbe:
    """Request to an upstream that is recovering from a back-off; its result is recorded once."""

    backoffs: Backoffs
    incarnation: Incarnation
    _ended: bool = False

    def end(self, now: float, *, answered: bool) -> None:
        """Record the result, unless one was recorded before."""
        if not self._ended:
            self._ended = True
            self.backoffs.end_request(self.incarnation, now, answered=answered)


@dataclass(slots=True)
class Backoffs:
    """Back-offs that upstreams have asked this VM for, by the incarnation that asked."""

    _backoffs: dict[Incarnation, _Backoff] = field(default_factory=dict)
    _ids: set[UpstreamId] = field(default_factory=set)
    """Upstreams that may have a back-off; all others skip the lookup by incarnation."""

    def may_send_to(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream may be sent one more request; see ``may_send_to_incarnation``."""
        return upstream.id not in self._ids or self.may_send_to_incarnation(upstream.incarnation, now)

    def record(self, incarnation: Incarnation, seconds: float, now: float) -> bool:
        """Record a requested back-off, or extend an active one; return True if none was active."""
        until = now + seconds * random.uniform(1.0, 1.0 + MAX_JITTER)
        known = self._backoffs.get(incarnation)
        if known is not None and now < known.until:
            known.until = max(known.until, until)
            return False
        self._backoffs[incarnation] = _Backoff(until)
        self._ids.add(incarnation.id)
        return True

    def get_end(self, incarnation: Incarnation, now: float) -> float | None:
        """Return when an upstream's back-off ends, or None if none is active."""
        backoff = self._backoffs.get(incarnation)
        return backoff.until if backoff is not None and now < backoff.until else None

    def may_send_to_incarnation(self, life: Incarnation, now: float) -> bool:
        """Return whether one more request may be sent to an incarnation, without counting it."""
        backoff = self._backoffs.get(life)
        return backoff is None or (now >= backoff.until and backoff.has_room(now))

    def is_active(self, incarnation: Incarnation, now: float) -> bool:
        """Return whether an upstream's back-off is active."""
        return self.get_end(incarnation, now) is not None

    def begin_request(self, incarnation: Incarnation, now: float) -> BackoffProbe | None:
        """Count a request that is sent; return its probe, or None if the upstream has no back-off or has recovered."""
        backoff = self._backoffs.get(incarnation)
        if backoff is None:
            return None
        backoff.probes.append(now)
        return BackoffProbe(self, incarnation)

    def end_request(self, incarnation: Incarnation, now: float, *, answered: bool) -> None:
        """Record the result of a probe.

        :param answered: whether the upstream answered and did not reject the request
        """
        backoff = self._backoffs.get(incarnation)
        if backoff is None or now < backoff.until:
            return
        if backoff.probes:
            backoff.probes.popleft()
        backoff.responses += answered
        if backoff.responses >= RECOVERY_RESPONSES:
            del self._backoffs[incarnation]

    def count_active(self, now: float) -> int:
        """Return the number of active back-offs."""
        return sum(now < backoff.until for backoff in self._backoffs.values())

    def keep_only(self, listed: Collection[UpstreamId]) -> None:
        """Drop the back-offs of upstreams that are not listed."""
        self._backoffs = {
            incarnation: backoff for incarnation, backoff in self._backoffs.items() if incarnation.id in listed
        }
        self._ids = {incarnation.id for incarnation in self._backoffs}
