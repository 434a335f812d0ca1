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

    from beamhatch.relay.model import Incarnation, Upstream, UpstreamId

REST_SPREAD = 0.25
"""Share by which a rest is lengthened at the most, drawn anew for each.

VMs that were turned away at one moment would else come back at one moment.
"""

FIRST_TRIALS = 1
"""Requests that may be under way at an upstream whose rest is over, before any has come to an answer there."""

TRUSTED_ANSWERS = 16
"""Answers behind which an upstream is as any other: each lets two more in, so they come within five round trips."""

TRIAL_TIME = 1.0
"""Seconds behind which a request that has told nothing no longer keeps others away.

The first event of a stream, or the answer of a plain service, comes within its target latency: 0.15 to 0.9 s.
"""


@dataclass(slots=True)
class _Rest:
    until: float
    """Monotonic seconds."""
    answers: int = 0
    """Requests behind the end of the rest that came to an answer, and were not turned away."""
    trials: deque[float] = field(default_factory=deque)
    """When each of those began that are still to tell."""

    def has_room(self, now: float) -> bool:
        """Tell whether one more request may try whether the upstream is back."""
        while self.trials and self.trials[0] <= now - TRIAL_TIME:
            self.trials.popleft()
        return len(self.trials) < FIRST_TRIALS + self.answers


@dataclass(slots=True)
class Trial:
    """A request to an upstream whose rest is over; it tells once whether that is back."""

    rests: Rests
    life: Incarnation
    _told: bool = False

    def end(self, now: float, *, answered: bool) -> None:
        """Tell, unless it has told."""
        if not self._told:
            self._told = True
            self.rests.end(self.life, now, answered=answered)


@dataclass(slots=True)
class Rests:
    """All rests that upstreams have asked this VM for, by the life that asked."""

    _rests: dict[Incarnation, _Rest] = field(default_factory=dict)
    _ids: set[UpstreamId] = field(default_factory=set)
    """Whose lives these are: by them, upstreams that ask nothing are passed at little cost."""

    def may_be_sent(self, upstream: Upstream, now: float) -> bool:
        """Tell whether an upstream may be sent one more request; see ``may_send``."""
        return upstream.id not in self._ids or self.may_send(upstream.incarnation, now)

    def take(self, life: Incarnation, seconds: float, now: float) -> bool:
        """Take in that an upstream wants nothing for some seconds; return whether it was not resting already."""
        until = now + seconds * random.uniform(1.0, 1.0 + REST_SPREAD)
        known = self._rests.get(life)
        if known is not None and now < known.until:
            known.until = max(known.until, until)
            return False
        self._rests[life] = _Rest(until)
        self._ids.add(life.id)
        return True

    def find_end(self, life: Incarnation, now: float) -> float | None:
        """Return when an upstream's rest ends, None where that is over or none was asked."""
        rest = self._rests.get(life)
        return rest.until if rest is not None and now < rest.until else None

    def may_send(self, life: Incarnation, now: float) -> bool:
        """Tell whether an upstream may be sent one more request. It only looks."""
        rest = self._rests.get(life)
        return rest is None or (now >= rest.until and rest.has_room(now))

    def is_resting(self, life: Incarnation, now: float) -> bool:
        """Tell whether an upstream's rest lasts, so that it wants nothing at all."""
        return self.find_end(life, now) is not None

    def begin(self, life: Incarnation, now: float) -> Trial | None:
        """Count a request that is sent; return what it is to tell, None where the upstream did not ask for rest."""
        rest = self._rests.get(life)
        if rest is None:
            return None
        rest.trials.append(now)
        return Trial(self, life)

    def end(self, life: Incarnation, now: float, *, answered: bool) -> None:
        """Note that a request has told what it tells.

        :param answered: whether the upstream answered and did not turn it away
        """
        rest = self._rests.get(life)
        if rest is None or now < rest.until:
            return
        if rest.trials:
            rest.trials.popleft()
        rest.answers += answered
        if rest.answers >= TRUSTED_ANSWERS:
            del self._rests[life]

    def count(self, now: float) -> int:
        """Return how many upstreams are resting."""
        return sum(now < rest.until for rest in self._rests.values())

    def keep_only(self, listed: Collection[UpstreamId]) -> None:
        """Drop those of upstreams that are not known any more."""
        self._rests = {life: rest for life, rest in self._rests.items() if life.id in listed}
        self._ids = {life.id for life in self._rests}
