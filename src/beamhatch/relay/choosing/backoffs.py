"""Which upstreams have asked this VM for rest, and how it comes back to them.

This answers the load of an upstream that turns requests away as it is overloaded: repeats that come before it has asked
for them, and all of a VM's requests at the moment in which its time is over. A rest is asked of one VM, so peers
are not told: an upstream that has too much of one VM may have room for others.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from beamhatch.relay.model import Life, Upstream, UpstreamId

MAX_JITTER = 0.25
"""Share by which a rest is lengthened at the most, drawn anew for each.

VMs that were turned away at one moment would else come back at one moment.
"""

INITIAL_PROBES = 1
"""Requests that may be under way at an upstream whose rest is over, before any has come to an answer there."""

RECOVERY_ANSWERS = 16
"""Answers behind which an upstream is as any other: each lets two more in, so they come within five round trips."""

PROBE_TIMEOUT_S = 1.0
"""Seconds behind which a request that has told nothing no longer keeps others away.

The first event of a stream, or the answer of a plain service, comes within its target latency: 0.15 to 0.9 s.
"""


@dataclass(slots=True)
class _Backoff:
    until: float
    """Monotonic seconds."""
    answers: int = 0
    """Requests behind the end of the rest that came to an answer, and were not turned away."""
    probes: deque[float] = field(default_factory=deque)
    """When each of those began that are still to tell."""

    def has_room(self, now: float) -> bool:
        """Tell whether one more request may try whether the upstream is back."""
        while self.probes and self.probes[0] <= now - PROBE_TIMEOUT_S:
            self.probes.popleft()
        return len(self.probes) < INITIAL_PROBES + self.answers


@dataclass(slots=True)
class BackoffProbe:
    """A request to an upstream whose rest is over; it tells once whether that is back."""

    backoffs: Backoffs
    life: Life
    _ended: bool = False

    def end(self, now: float, *, answered: bool) -> None:
        """Tell, unless it has told."""
        if not self._ended:
            self._ended = True
            self.backoffs.end_request(self.life, now, answered=answered)


@dataclass(slots=True)
class Backoffs:
    """All rests that upstreams have asked this VM for, by the life that asked."""

    _backoffs: dict[Life, _Backoff] = field(default_factory=dict)
    _ids: set[UpstreamId] = field(default_factory=set)
    """Whose lives these are: by them, upstreams that ask nothing are passed at little cost."""

    def may_send_to(self, upstream: Upstream, now: float) -> bool:
        """Tell whether an upstream may be sent one more request; see ``may_send``."""
        return upstream.id not in self._ids or self.may_send(upstream.life, now)

    def record(self, life: Life, seconds: float, now: float) -> bool:
        """Take in that an upstream wants nothing for some seconds; return whether it was not resting already."""
        until = now + seconds * random.uniform(1.0, 1.0 + MAX_JITTER)
        known = self._backoffs.get(life)
        if known is not None and now < known.until:
            known.until = max(known.until, until)
            return False
        self._backoffs[life] = _Backoff(until)
        self._ids.add(life.id)
        return True

    def get_end(self, life: Life, now: float) -> float | None:
        """Return when an upstream's rest ends, None where that is over or none was asked."""
        rest = self._backoffs.get(life)
        return rest.until if rest is not None and now < rest.until else None

    def may_send(self, life: Life, now: float) -> bool:
        """Tell whether an upstream may be sent one more request. It only looks."""
        rest = self._backoffs.get(life)
        return rest is None or (now >= rest.until and rest.has_room(now))

    def is_active(self, life: Life, now: float) -> bool:
        """Tell whether an upstream's rest lasts, so that it wants nothing at all."""
        return self.get_end(life, now) is not None

    def begin_request(self, life: Life, now: float) -> BackoffProbe | None:
        """Count a request that is sent; return what it is to tell, None where the upstream did not ask for rest."""
        rest = self._backoffs.get(life)
        if rest is None:
            return None
        rest.probes.append(now)
        return BackoffProbe(self, life)

    def end_request(self, life: Life, now: float, *, answered: bool) -> None:
        """Note that a request has told what it tells.

        :param answered: whether the upstream answered and did not turn it away
        """
        rest = self._backoffs.get(life)
        if rest is None or now < rest.until:
            return
        if rest.probes:
            rest.probes.popleft()
        rest.answers += answered
        if rest.answers >= RECOVERY_ANSWERS:
            del self._backoffs[life]

    def count_active(self, now: float) -> int:
        """Return how many upstreams are resting."""
        return sum(now < rest.until for rest in self._backoffs.values())

    def keep_only(self, listed: Collection[UpstreamId]) -> None:
        """Drop those of upstreams that are not known any more."""
        self._backoffs = {life: rest for life, rest in self._backoffs.items() if life.id in listed}
        self._ids = {life.id for life in self._backoffs}
