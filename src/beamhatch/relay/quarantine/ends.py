"""Known crashes of upstreams, each with the requests whose runs broke there.

Each VM announces its own broken runs, and all VMs merge them. A run is removed when the same request succeeds later, or
when its crash is removed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from beamhatch.relay.model import Fingerprint, UpstreamId
from beamhatch.relay.quarantine.crash_index import CrashIndex
from beamhatch.relay.quarantine.digests import split_combination

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

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


MAX_CRASH_PARTS = 512
"""Maximum number of prompt parts kept per crash, over all its runs."""


class Prompt(msgspec.Struct, frozen=True, array_like=True):
    """Properties of a run that it may share with others, as digests."""

    service: Fingerprint
    proven: tuple[Fingerprint, ...] = ()
    """Parts that the VM knows to have been used without a crash."""
    unproven: tuple[Fingerprint, ...] = ()
    undecided: tuple[Fingerprint, ...] = ()
    """Parts of which the VM can't tell, as nothing of the service has succeeded there."""
    workspace: Fingerprint | None = None

    @property
    def parts(self) -> tuple[Fingerprint, ...]:
        """Return all parts, unproven ones first."""
        return self.unproven + self.undecided + self.proven

    def list_members(self) -> list[Fingerprint]:
        """Return the digests that fingerprints of quarantines may consist of."""
        return [*self.parts] if self.workspace is None else [*self.parts, self.workspace]

    def limit_parts(self, count: int) -> Prompt:
        """Return the prompt with at most ``count`` parts, unproven ones first."""
        if len(self.parts) <= count:
            return self
        kept = set(self.parts[: max(0, count)])
        return msgspec.structs.replace(
            self,
            proven=tuple(part for part in self.proven if part in kept),
            unproven=tuple(part for part in self.unproven if part in kept),
            undecided=tuple(part for part in self.undecided if part in kept),
        )


class BrokenRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that broke when its upstream crashed."""

    fingerprint: Fingerprint
    duration_ms: int
    """Milliseconds from the start of the run to the crash."""
    prompt: Prompt | None = None
    """None if the prompt has no parts that other requests may share."""
    excused: bool = False
    """Whether the crash is not attributed to this request as a whole, since it succeeded shortly before."""


class CrashUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Announcement of a crash of an upstream, with runs that broke."""

    upstream: str
    age: float
    """Seconds since the crash."""
    runs: list[BrokenRun]
    version: str = ""
    """Software version of the upstream."""


@dataclass(slots=True)
class UpstreamCrash:
    """A crash of an upstream, with the runs known to have broken."""

    upstream: UpstreamId
    at: float
    """Time of the crash on this VM's monotonic clock."""
    run_durations: dict[Fingerprint, float] = field(default_factory=dict)
    """Seconds for which each request had run, without those that are excused."""
    version: str = ""
    """Software version of the upstream."""
    runs: dict[Fingerprint, BrokenRun] = field(default_factory=dict)
    """Runs whose prompt has parts, including excused ones."""
    recovered_at: float = float("inf")
    """Start of the first success known of the service after the crash, at its software version."""

    def to_update(self, now: float) -> CrashUpdate:
        """Return the update that peers are sent."""
        broken = [
            BrokenRun(fingerprint, round(1000 * duration))
            for fingerprint, duration in self.run_durations.items()
            if fingerprint not in self.runs
        ]
        age = round(max(0.0, now - self.at), 3)
        return CrashUpdate(self.upstream, age, [*self.runs.values(), *broken], self.version)

    def add(self, run: BrokenRun) -> bool:
        """Add a run; return False if it is known or there are too many."""
        count = len(self.run_durations.keys() | self.runs.keys())
        if run.fingerprint in self.run_durations or run.fingerprint in self.runs or count >= MAX_RUNS:
            return False
        if not run.excused:
            self.run_durations[run.fingerprint] = max(0, run.duration_ms) / 1000
        if run.prompt is not None:
            room = MAX_CRASH_PARTS - sum(len(one.prompt.parts) for one in self.runs.values() if one.prompt is not None)
            self.runs[run.fingerprint] = msgspec.structs.replace(run, prompt=run.prompt.limit_parts(room))
        return True

    def excuse(self, request: Fingerprint) -> bool:
        """Attribute the crash no longer to a request as a whole; return whether it was attributable to it."""
        run = self.runs.get(request)
        if run is not None:
            self.runs[request] = msgspec.structs.replace(run, excused=True)
        return self.run_durations.pop(request, None) is not None

    def list_runs_with_prompt(self) -> list[tuple[BrokenRun, Prompt]]:
        """Return the runs whose prompt has parts, with the prompt."""
        return [(run, run.prompt) for run in self.runs.values() if run.prompt is not None]

    def list_parts_of(self, request: Fingerprint) -> tuple[Fingerprint, ...]:
        """Return the service and the parts of a request's run, none without a prompt."""
        run = self.runs.get(request)
        return () if run is None or run.prompt is None else (run.prompt.service, *run.prompt.parts)

    @property
    def is_needed(self) -> bool:
        """Return whether any run is known."""
        return bool(self.run_durations or self.runs)

    def has_run_with(self, members: Sequence[Fingerprint]) -> bool:
        """Return whether one of the runs has all of these digests."""
        return any(
            all(member in run.prompt.list_members() for member in members)
            for run in self.runs.values()
            if run.prompt is not None
        )


@dataclass(slots=True)
class UpstreamCrashes:
    """The known crashes, oldest first."""

    index: CrashIndex = field(default_factory=CrashIndex)
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
        crash.version = crash.version or update.version
        added = [run for run in update.runs if crash.add(run)]
        for run in added:
            self.index.add(crash, crash.list_parts_of(run.fingerprint))
        return CrashUpdate(update.upstream, update.age, added, update.version) if added else None

    def record_recovery(self, service: Fingerprint, version: str, began_at: float) -> None:
        """Record a success of a service, for the crashes before it that had none."""
        for crash in self.index.get(service):
            if crash.version == version and crash.at < began_at < crash.recovered_at:
                crash.recovered_at = began_at

    def forget(self, fingerprint: Fingerprint, until: float) -> bool:
        """Excuse a request from all crashes up to ``until``; return whether any was attributable to it.

        The crashes remain attributable to parts of its prompt: it may have succeeded at another version.
        """
        found = False
        for crash in self._crashes:
            if crash.at <= until:
                found = crash.excuse(fingerprint) or found
        return found

    def count(self, fingerprint: Fingerprint) -> int:
        """Return the number of crashes that a request was part of."""
        return sum(fingerprint in crash.run_durations for crash in self._crashes)

    def list_with(self, fingerprint: Fingerprint) -> list[UpstreamCrash]:
        """Return the crashes that a request, or a run with all digests of a combination, was part of."""
        own = [crash for crash in self._crashes if fingerprint in crash.run_durations]
        return own or self.index.list_with(split_combination(fingerprint))

    def remove_expired(self, now: float) -> None:
        """Remove crashes older than ``RETENTION_S`` and those without runs."""
        self._keep([crash for crash in self._crashes if now - crash.at <= RETENTION_S and crash.is_needed])

    def _keep(self, kept: list[UpstreamCrash]) -> None:
        """Drop all other crashes."""
        if len(kept) < len(self._crashes):
            ids = {id(crash) for crash in kept}
            for crash in self._crashes:
                if id(crash) not in ids:
                    self.index.discard(crash, {part for one in crash.runs for part in crash.list_parts_of(one)})
            self._crashes = kept

    def _get_or_add(self, upstream: UpstreamId, at: float) -> UpstreamCrash:
        for crash in reversed(self._crashes):
            if crash.upstream == upstream and abs(crash.at - at) < SAME_CRASH_WINDOW_S:
                return crash
        crash = UpstreamCrash(upstream, at)
        self._crashes.append(crash)
        self._crashes.sort(key=lambda one: one.at)
        self._keep(self._crashes[-MAX_CRASHES:])
        return crash
