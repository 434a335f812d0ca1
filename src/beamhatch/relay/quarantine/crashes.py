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

SAME_CRASH_WINDOW_S = 1.0
"""Seconds within which parts tell of one end of an upstream: peers hear in 0.3 s, and a restart takes 2 s or more."""

RETENTION_S = 3600.0
"""Seconds for which an end is remembered: longer than two quarantines, so that what breaks behind the first counts."""

MAX_CRASHES = 256
"""Ends that are remembered: an hour's at ten times the rate of the size to design for, 620 restarts a day."""

MAX_RUNS = 64
"""Runs of one end that are kept, the youngest first: the streams that an engine of the size to design for has."""

MAX_ANNOUNCED_RUNS = 8
"""Runs of one end that one VM tells, the youngest first: at the size to design for it has one or two there."""


class BrokenRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that broke when its upstream ended."""

    fingerprint: Fingerprint
    duration_ms: int
    """Milliseconds that it had run."""


class CrashUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What one VM knows of the end of an upstream."""

    upstream: str
    age: float
    """Seconds since."""
    runs: list[BrokenRun]


@dataclass(slots=True)
class UpstreamCrash:
    """The end of an upstream, as far as it is known."""

    upstream: UpstreamId
    at: float
    """Monotonic seconds of this VM."""
    run_durations: dict[Fingerprint, float] = field(default_factory=dict)
    """The seconds that each request had run there."""

    def to_update(self, now: float) -> CrashUpdate:
        """Return it as peers are told."""
        broken = [
            BrokenRun(fingerprint, round(1000 * duration)) for fingerprint, duration in self.run_durations.items()
        ]
        return CrashUpdate(self.upstream, round(max(0.0, now - self.at), 3), broken)


@dataclass(slots=True)
class UpstreamCrashes:
    """All ends that are remembered, oldest first."""

    _crashes: list[UpstreamCrash] = field(default_factory=list)

    def __iter__(self) -> Iterator[UpstreamCrash]:
        """Return the ends, oldest first."""
        return iter(self._crashes)

    def __len__(self) -> int:
        """Return how many are remembered."""
        return len(self._crashes)

    def apply_update(self, update: CrashUpdate, now: float) -> CrashUpdate | None:
        """Take in what a VM saw of an end; return the part that was not known."""
        at = now - max(0.0, update.age)
        if update.age > RETENTION_S:
            return None
        crash = self._get_or_add(UpstreamId(update.upstream), at)
        added = []
        for run in update.runs:
            if run.fingerprint not in crash.run_durations and len(crash.run_durations) < MAX_RUNS:
                crash.run_durations[run.fingerprint] = max(0, run.duration_ms) / 1000
                added.append(run)
        return CrashUpdate(update.upstream, update.age, added) if added else None

    def forget(self, fingerprint: Fingerprint, until: float) -> bool:
        """Forget a request's part in all ends up to a time; return whether it had any."""
        found = False
        for crash in self._crashes:
            if crash.at <= until and crash.run_durations.pop(fingerprint, None) is not None:
                found = True
        return found

    def count(self, fingerprint: Fingerprint) -> int:
        """Return at how many ends a run of a request broke."""
        return sum(fingerprint in end.run_durations for end in self._crashes)

    def remove_expired(self, now: float) -> None:
        """Drop ends that were long ago, and those in which nobody has a part any more."""
        self._crashes = [end for end in self._crashes if now - end.at <= RETENTION_S and end.run_durations]

    def _get_or_add(self, upstream: UpstreamId, at: float) -> UpstreamCrash:
        for crash in reversed(self._crashes):
            if crash.upstream == upstream and abs(crash.at - at) < SAME_CRASH_WINDOW_S:
                return crash
        crash = UpstreamCrash(upstream, at)
        self._crashes.append(crash)
        self._crashes.sort(key=lambda one: one.at)
        del self._crashes[:-MAX_CRASHES]
        return crash
