"""Known crashes of upstreams, each with the requests whose runs broke there.

Each VM announces its own broken runs, and all VMs merge them. A run is removed when the same request succeeds later, or
when its crash is removed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from beamhatch.relay.model import Fingerprint, UpstreamId

if TYPE_CHECKING:
    from collections.abc import Iterator

SAME_CRASH_WINDOW_S = 1.0
"""Updates on an upstream whose crash times differ by less than this, in seconds, belong to one crash."""

RETENTION_S = 3600.0
"""Time for which a crash is kept, in seconds; also the maximum duration of a quarantine.

Longer than two quarantines, so that crashes before the first one still count.
"""

MAX_CRASHES = 256
"""Maximum number of crashes kept; the oldest are dropped first.

Ten times an hour's crashes in the largest fleet to design for.
"""

MAX_RUNS = 64
"""Maximum number of runs kept per crash.

The streams that an engine of the largest fleet to design for has.
"""

MAX_ANNOUNCED_RUNS = 8
"""Maximum number of runs that a VM announces per crash; the shortest are chosen.

In the largest fleet to design for, a VM has one or two there.
"""


class BrokenRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that broke when its upstream crashed."""

    fingerprint: Fingerprint
    duration_ms: int
    """Milliseconds from the start of the run to the crash."""


class CrashUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Announcement of a crash of an upstream, with runs that broke."""

    upstream: str
    age: float
    """Seconds since the crash."""
    runs: list[BrokenRun]


@dataclass(slots=True)
class UpstreamCrash:
    """A crash of an upstream, with the runs known to have broken."""

    upstream: UpstreamId
    at: float
    """Time of the crash on this VM's monotonic clock."""
    run_durations: dict[Fingerprint, float] = field(default_factory=dict)
    """Seconds for which each request had run."""

    def to_update(self, now: float) -> CrashUpdate:
        """Return the update that peers are sent."""
        broken = [
            BrokenRun(fingerprint, round(1000 * duration)) for fingerprint, duration in self.run_durations.items()
        ]
        return CrashUpdate(self.upstream, round(max(0.0, now - self.at), 3), broken)


@dataclass(slots=True)
class UpstreamCrashes:
    """The known crashes, oldest first."""

    _crashes: list[UpstreamCrash] = field(default_factory=list)

    def __iter__(self) -> Iterator[UpstreamCrash]:
        """Iterate over the crashes, oldest first."""
        return iter(self._crashes)

    def __len__(self) -> int:
        """Return the number of crashes kept."""
        return len(self._crashes)

    def apply_update(self, update: CrashUpdate, now: float) -> CrashUpdate | None:
        """Merge an update; return the part that was not known, or None."""
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
        """Remove a request from all crashes up to ``until``; return whether it was part of any."""
        found = False
        for crash in self._crashes:
            if crash.at <= until and crash.run_durations.pop(fingerprint, None) is not None:
                found = True
        return found

    def count(self, fingerprint: Fingerprint) -> int:
        """Return the number of crashes that a request was part of."""
        return sum(fingerprint in crash.run_durations for crash in self._crashes)

    def remove_expired(self, now: float) -> None:
        """Remove crashes older than ``RETENTION_S`` and those without runs."""
        self._crashes = [crash for crash in self._crashes if now - crash.at <= RETENTION_S and crash.run_durations]

    def _get_or_add(self, upstream: UpstreamId, at: float) -> UpstreamCrash:
        for crash in reversed(self._crashes):
            if crash.upstream == upstream and abs(crash.at - at) < SAME_CRASH_WINDOW_S:
                return crash
        crash = UpstreamCrash(upstream, at)
        self._crashes.append(crash)
        self._crashes.sort(key=lambda one: one.at)
        del self._crashes[:-MAX_CRASHES]
        return crash
