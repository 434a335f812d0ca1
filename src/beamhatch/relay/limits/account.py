"""What one upstream that names a limit may be sent, counted by each VM for all of them together.

Every VM keeps the same account: it fills at the rate that the upstream names, and each request of any VM takes one from
it, the own ones at once and those of others when they are told. What is sent before the news arrive makes the level
negative, and is waited for: so the sum over all VMs is the limit itself, however many there are, wherever callers are,
and however late news come; only how much comes at once depends on that.

VMs that see one request come free would all send one. Each therefore draws how far the account has to fill for itself,
anew at each change: the first one sends as its draw is reached, and the others hear of it before theirs are.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.relay.limits.words import Origin

LEAST_PACE = 0.1
"""Requests a second that go to an upstream with a lower limit, 0 included.

It names the limit in its answers alone: without any request nobody would hear that it is over.
"""

SPAN_TIME = 0.1
"""Seconds of the pace over which the VMs' draws are spread: longer than news travel."""

LEAST_SPAN = 1.0
"""Requests over which they are spread at the least."""

OWED_MARGIN = 0.25
"""Requests by which the account has to be fuller for a caller that comes first while others were told to come back."""

REST_MARGIN = 0.25
"""Requests that the account holds beyond the highest draw, so that one is reached for sure."""

REDRAW_TIME = 0.25
"""Seconds for which a draw holds while nothing is sent."""

MOST_DEBT_TIME = 8.0
"""Seconds of the pace by which the level is below 0 at the most, whatever others tell: two of the users' windows."""

LEAST_DEBT = 8.0
"""Requests by which it may be below 0 in any case."""

SPARE_LIFE = 1.0
"""Seconds for which room that was taken and not used is kept for the next request of this VM: the others were told."""

MOST_ORIGINS = 2048
"""Starts of VMs of which an account knows what they sent: three times the VMs of the size to design for."""


@dataclass(slots=True)
class Account:
    """What all VMs together may send to one life of an upstream."""

    rate: float | None
    """Requests a second that the upstream names; None where it names none any more."""
    version: int
    heard_at: float
    """When this VM heard that, in monotonic seconds."""
    at: float
    """When the level was reckoned."""
    place: float = 0.0
    """This VM's place among all, from 0 up to 1: where VMs are many, those with the lowest send."""
    level: float = 0.0
    """Requests that may be sent; what was left over before a limit was named counts for nothing."""
    contended_until: float = -math.inf
    """Until when callers may come back that were refused."""
    _draw: float = math.inf
    _redraw_at: float = -math.inf
    _own_count: int = 0
    """Requests that this VM has taken room for."""
    _counts: dict[Origin, int] = field(default_factory=dict)
    """What the others have sent, as far as they told."""
    _spares: deque[float] = field(default_factory=deque)
    """When each room lapses that was taken and not used."""

    def find_pace(self, share: float) -> float:
        """Return the requests a second that may be sent.

        :param share: part of all VMs that hear of each other; the others take the rest for themselves
        """
        assert self.rate is not None
        return max(self.rate, LEAST_PACE) * share

    def fill(self, share: float, now: float) -> None:
        """Bring the level up to date."""
        if self.rate is not None:
            self.level = min(self._find_depth(), self.level + (now - self.at) * self.find_pace(share))
        self.at = now

    def has_room(self, vms: int, now: float, *, owed: bool) -> bool:
        """Tell whether this VM may send one request now; the level has to be up to date.

        :param owed: whether its caller was refused before
        """
        if self.rate is None or self._has_spare(now):
            return True
        margin = OWED_MARGIN if now < self.contended_until and not owed else 0.0
        return self.level >= self._find_draw(vms, now) + margin

    def find_wait(self, share: float) -> float:
        """Return the seconds until a request should find room, where none has now; the level has to be up to date."""
        wanted = self._draw if math.isfinite(self._draw) else 1.0 + self._find_span()
        return max(0.0, (wanted - self.level) / self.find_pace(share))

    def take(self, now: float) -> int | None:
        """Take room for one request of this VM; return how many it has taken so far, None where that is as before."""
        if self._has_spare(now):
            self._spares.popleft()
            return None
        self._spend(1)
        self._own_count += 1
        return self._own_count

    def give_back(self, now: float) -> None:
        """Keep room that was taken and not used for the next request of this VM."""
        self._spares.append(now + SPARE_LIFE)

    def take_told(self, origin: Origin, count: int, new: int) -> int:
        """Take in what another VM has sent so far; return how much of it is news."""
        known = self._counts.pop(origin, None)
        news = new if known is None else count - known
        self._counts[origin] = count if known is None else max(known, count)
        if len(self._counts) > MOST_ORIGINS:
            del self._counts[next(iter(self._counts))]
        if news > 0:
            self._spend(news)
        return max(0, news)

    def take_rate(self, rate: float | None, version: int, now: float) -> None:
        """Take in what the upstream names from now on; the level has to be up to date."""
        if rate is not None and self.rate is None:
            self.level = min(self.level, 0.0)
        self.rate = rate
        self.version = version
        self.heard_at = now
        self._redraw_at = -math.inf
        if rate is not None:
            self.level = min(self.level, self._find_depth())

    def _spend(self, requests: int) -> None:
        self.level = max(self.level - requests, -self._find_most_debt())
        self._redraw_at = -math.inf

    def _has_spare(self, now: float) -> bool:
        while self._spares and self._spares[0] <= now:
            self._spares.popleft()
        return bool(self._spares)

    def _find_draw(self, vms: int, now: float) -> float:
        if now >= self._redraw_at:
            self._redraw_at = now + REDRAW_TIME
            if vms <= 1:
                self._draw = 1.0
            else:
                self._draw = 1.0 + self._find_span() * random.random()
        return self._draw

    def _find_span(self) -> float:
        return max(LEAST_SPAN, SPAN_TIME * (self.rate or 0.0))

    def _find_depth(self) -> float:
        return 1.0 + self._find_span() + OWED_MARGIN + REST_MARGIN

    def _find_most_debt(self) -> float:
        return max(LEAST_DEBT, MOST_DEBT_TIME * (self.rate or 0.0))
