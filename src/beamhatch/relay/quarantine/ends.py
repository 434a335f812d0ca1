"""The ends of upstreams that VMs saw, each with the requests whose runs broke at it.

An upstream's end is one fact, which several VMs see a part of: each tells the runs that it had there, and all VMs put
the parts together. No part is ever taken back but by a run of the same request that came to a good end later.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from beamhatch.relay.model import Fingerprint, UpstreamId

if TYPE_CHECKING:
    from collections.abc import Iterator

SAME_END = 1.0
"""Seconds within which parts tell of one end of an upstream: peers hear in 0.3 s, and a restart takes 2 s or more."""

MEMORY = 3600.0
"""Seconds for which an end is remembered: longer than two quarantines, so that what breaks behind the first counts."""

MOST_ENDS = 256
"""Ends that are remembered: an hour's at ten times the rate of the size to design for, 620 restarts a day."""

MOST_RUNS = 64
"""Runs of one end that are kept, the youngest first: the streams that an engine of the size to design for has."""

MOST_TOLD = 8
"""Runs of one end that one VM tells, the youngest first: at the size to design for it has one or two there."""


class BrokenRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that broke when its upstream ended."""

    fingerprint: Fingerprint
    ran: int
    """Milliseconds that it had run."""


class EndNews(msgspec.Struct, frozen=True, array_like=True):
    """What one VM knows of the end of an upstream."""

    upstream: str
    age: float
    """Seconds since."""
    runs: list[BrokenRun]


@dataclass(slots=True)
class UpstreamEnd:
    """The end of an upstream, as far as it is known."""

    upstream: UpstreamId
    at: float
    """Monotonic seconds of this VM."""
    runs: dict[Fingerprint, float] = field(default_factory=dict)
    """The seconds that each request had run there."""

    def tell(self, now: float) -> EndNews:
        """Return it as peers are told."""
        runs = [BrokenRun(fingerprint, round(1000 * ran)) for fingerprint, ran in self.runs.items()]
        return EndNews(self.upstream, round(max(0.0, now - self.at), 3), runs)


@dataclass(slots=True)
class UpstreamEnds:
    """All ends that are remembered, oldest first."""

    _ends: list[UpstreamEnd] = field(default_factory=list)

    def __iter__(self) -> Iterator[UpstreamEnd]:
        """Return the ends, oldest first."""
        return iter(self._ends)

    def __len__(self) -> int:
        """Return how many are remembered."""
        return len(self._ends)

    def take(self, news: EndNews, now: float) -> EndNews | None:
        """Take in what a VM saw of an end; return the part that was not known."""
        at = now - max(0.0, news.age)
        if news.age > MEMORY:
            return None
        end = self._find(UpstreamId(news.upstream), at)
        fresh = []
        for run in news.runs:
            if run.fingerprint not in end.runs and len(end.runs) < MOST_RUNS:
                end.runs[run.fingerprint] = max(0, run.ran) / 1000
                fresh.append(run)
        return EndNews(news.upstream, news.age, fresh) if fresh else None

    def forget(self, fingerprint: Fingerprint, until: float) -> bool:
        """Forget a request's part in all ends up to a time; return whether it had any."""
        found = False
        for end in self._ends:
            if end.at <= until and end.runs.pop(fingerprint, None) is not None:
                found = True
        return found

    def count(self, fingerprint: Fingerprint) -> int:
        """Return at how many ends a run of a request broke."""
        return sum(fingerprint in end.runs for end in self._ends)

    def forget_old(self, now: float) -> None:
        """Drop ends that were long ago, and those in which nobody has a part any more."""
        self._ends = [end for end in self._ends if now - end.at <= MEMORY and end.runs]

    def _find(self, upstream: UpstreamId, at: float) -> UpstreamEnd:
        for end in reversed(self._ends):
            if end.upstream == upstream and abs(end.at - at) < SAME_END:
                return end
        end = UpstreamEnd(upstream, at)
        self._ends.append(end)
        self._ends.sort(key=lambda one: one.at)
        del self._ends[:-MOST_ENDS]
        return end
