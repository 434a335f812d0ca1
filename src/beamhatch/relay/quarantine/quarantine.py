"""Quarantine of requests that crash upstreams, each alone or by a combination of properties that several share.

Quarantines are recomputed from the known crashes on each change, so VMs that know the same crashes quarantine the same
requests. A request that only ran at the same time is released when later crashes show another cause.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import msgspec

from beamhatch.relay.model import Fingerprint
from beamhatch.relay.quarantine.attribution import (
    MIN_CRASHES,
    MIN_UNEXPLAINED_CRASHES,
    Attribution,
    CoverAttribution,
)
from beamhatch.relay.quarantine.digests import is_combined_of, split_combination
from beamhatch.relay.quarantine.ends import RETENTION_S, CrashUpdate, Prompt, UpstreamCrashes
from beamhatch.relay.quarantine.part_attribution import PartAttribution
from beamhatch.relay.quarantine.part_successes import PartSuccesses

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence, Set

    from beamhatch.relay.quarantine.attribution import Causes
    from beamhatch.relay.quarantine.digests import RequestDigests
    from beamhatch.relay.quarantine.ends import UpstreamCrash
    from beamhatch.relay.quarantine.part_attribution import PartCauses
    from beamhatch.relay.quarantine.part_successes import PartSuccessUpdate

BASE_QUARANTINE_S = 600.0
"""Base duration of a quarantine from the last crash of the request, in seconds; also the longest lease in the store.

Doubled for each crash beyond ``MIN_CRASHES``, up to ``RETENTION_S``.
"""

MAX_RELEASE_DELAY_S = 300.0
"""Maximum time that a VM adds to quarantines, in seconds, which each VM draws for itself.

Otherwise all VMs would send the requests again at the same time, before the first crash could be reported.
"""

SUCCESS_GRACE_S = 60.0
"""Time after a success in which a broken run does not count against the request, in seconds.

A request that many callers send runs on most upstreams that crash, without being the cause. The time is short because
a request that succeeded on one version of an upstream may crash the next version. It exceeds the usual duration of a
partition, so that the request is still protected when the upstreams are back.
"""

MAX_SUCCESSES = 1024
"""Maximum number of successes kept; the oldest are dropped first."""

MAX_CLEARED = 512
"""Maximum number of clear times kept; updates older than the clear time of their request are ignored."""

MAX_STORED_QUARANTINES = 256
"""Maximum number of quarantines kept that were reported by the store or by peers."""


class ClearUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Announcement that a request succeeded, so its earlier crashes are ignored."""

    fingerprint: Fingerprint
    age: float
    """Seconds since the success."""


class StoredQuarantineUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Announcement that the store contains a quarantine, whose crashes may be unknown to the receiver."""

    fingerprint: Fingerprint
    age: float
    """Maximum number of seconds since it was stored."""
    remaining: float
    """Seconds until it expires."""


@dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """The quarantine of a request, or of all requests with a combination of properties."""

    fingerprint: Fingerprint
    until: float
    """Time of expiry on the monotonic clock."""
    crash_count: int
    """Number of crashes attributed to the request; 0 if the quarantine is only known from the store or peers."""


@dataclass(frozen=True, slots=True)
class ClearResult:
    """Quarantine and crashes of a request that were removed by its success."""

    was_quarantined: bool
    crash_count: int
    """Number of crashes that the request was part of."""


@dataclass(frozen=True, slots=True)
class _ReportedQuarantine:
    stored_at: float
    until: float
    is_stored: bool = True
    """False if a restored store does not contain it."""


@dataclass(slots=True)
class Quarantine:
    """The quarantines and crashes known to one VM."""

    crashes: UpstreamCrashes = field(default_factory=UpstreamCrashes)
    attribution: Attribution = field(default_factory=CoverAttribution)
    part_successes: PartSuccesses = field(default_factory=PartSuccesses)
    release_delay_s: float = 0.0
    """Time that this VM adds to quarantines, in seconds."""
    _attributed: dict[Fingerprint, QuarantineEntry] = field(default_factory=dict)
    """Quarantines computed from the known crashes."""
    _overruled: set[Fingerprint] = field(default_factory=set)
    """Stored quarantines that the crashes known to this VM don't support."""
    _stored: dict[Fingerprint, _ReportedQuarantine] = field(default_factory=dict)
    """Quarantines that the store or peers reported."""
    _successes: OrderedDict[Fingerprint, float] = field(default_factory=OrderedDict)
    _cleared: OrderedDict[Fingerprint, float] = field(default_factory=OrderedDict)

    def get_entry(self, fingerprint: Fingerprint, now: float) -> QuarantineEntry | None:
        """Return the quarantine of a request, or None if it may be sent."""
        attributed = self._attributed.get(fingerprint)
        stored = None if fingerprint in self._overruled else self._stored.get(fingerprint)
        until = max(0.0 if attributed is None else attributed.until, 0.0 if stored is None else stored.until)
        count = 0 if attributed is None else attributed.crash_count
        return QuarantineEntry(fingerprint, until, count) if now < until else None

    def find_entry(self, digests: RequestDigests, now: float) -> QuarantineEntry | None:
        """Return the quarantine that applies to a request the longest, or None if it may be sent."""
        if not self._attributed and not self._stored:
            return None
        members = digests.list_members()
        matching = [one for one in {*self._attributed, *self._stored} if is_combined_of(one, members)]
        found = (self.get_entry(one, now) for one in matching)
        return max((one for one in found if one is not None), key=lambda one: one.until, default=None)

    def is_stored(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether the store is known to contain the quarantine of a request."""
        stored = self._stored.get(fingerprint)
        return stored is not None and stored.is_stored and now < stored.until

    def count(self, now: float) -> int:
        """Return the number of requests in quarantine."""
        return sum(self.get_entry(one, now) is not None for one in {*self._attributed, *self._stored})

    # --- crashes ------------------------------------------------------------------------------------------------------

    def apply_crash(self, update: CrashUpdate, now: float) -> CrashUpdate | None:
        """Merge an update on a crash; return the part that was not known, or None."""
        at = now - update.age
        runs = [
            msgspec.structs.replace(run, excused=run.excused or self._cleared.get(run.fingerprint, float("-inf")) >= at)
            for run in update.runs
        ]
        runs = [run for run in runs if not run.excused or run.prompt is not None]
        return self.crashes.apply_update(msgspec.structs.replace(update, runs=runs), now) if runs else None

    def attribute(self, now: float) -> Causes:
        """Recompute the quarantines; return the fingerprints that are new or have more crashes than before."""
        self.crashes.remove_expired(now)
        before = self._attributed
        crashes = list(self.crashes)
        parts = PartAttribution(self.part_successes, self.crashes.index)
        found = parts.find_causes(crashes, now)
        requests = self.attribution.find_causes(crashes, found.explained)
        self._attributed = {
            one: QuarantineEntry(one, self._compute_expiry(cause.last_at, cause.crash_count), cause.crash_count)
            for one, cause in found.causes.items()
        }
        for one, count in requests.items():
            last_at = max(crash.at for crash in crashes if one in crash.run_durations)
            self._attributed[one] = QuarantineEntry(one, self._compute_expiry(last_at, count), count)
        self._overruled = {
            one
            for one in self._stored
            if one not in self._attributed and self._is_overruled(one, crashes, found, parts)
        }
        return {
            one: entry.crash_count
            for one, entry in self._attributed.items()
            if now < entry.until and (one not in before or before[one].crash_count < entry.crash_count)
        }

    # --- parts of prompts ---------------------------------------------------------------------------------------------

    def describe_prompt(self, digests: RequestDigests) -> Prompt | None:
        """Return the properties that a request may share with others, None without any."""
        if not digests.parts:
            return None
        is_known = self.part_successes.has_any
        if not is_known(digests.service):
            return Prompt(digests.service, undecided=digests.parts, workspace=digests.workspace)
        proven = tuple(part for part in digests.parts if is_known(part))
        unproven = tuple(part for part in digests.parts if not is_known(part))
        return Prompt(digests.service, proven, unproven, workspace=digests.workspace)

    def record_part_success(self, part: Fingerprint, version: str, began_at: float) -> bool:
        """Record a success of a part or service; return whether it refutes crashes, or is the first one known."""
        successes = self.part_successes
        related = [crash for crash in self.crashes.index.get(part) if crash.version == version]
        before = sum(successes.has_since(part, version, crash.at) for crash in related)
        is_first = not successes.has_any(part)
        successes.record(part, version, began_at)
        return is_first or sum(successes.has_since(part, version, crash.at) for crash in related) > before

    def list_suspicious_parts(self) -> set[Fingerprint]:
        """Return the parts and services whose next success is news to peers."""
        return PartAttribution(self.part_successes, self.crashes.index).list_suspicious()

    def list_contradicting_successes(
        self, update: CrashUpdate, suspicious: Set[Fingerprint], now: float
    ) -> list[PartSuccessUpdate]:
        """Return this VM's successes of suspicious parts that the sender of a crash update did not know of."""
        unproven = {part for run in update.runs if run.prompt is not None for part in run.prompt.unproven}
        return self.part_successes.list_updates(sorted(unproven & suspicious), now)

    def list_part_successes(self, max_count: int, now: float) -> list[PartSuccessUpdate]:
        """Return the successes of the parts and services that known crashes name, those of the newest crashes first."""
        newest = reversed(list(self.crashes))
        parts = dict.fromkeys(part for crash in newest for run in crash.runs for part in crash.list_parts_of(run))
        return self.part_successes.list_updates(parts, now)[:max_count]

    def is_attributed(self, fingerprint: Fingerprint) -> bool:
        """Return whether crashes known to this VM are attributed to a fingerprint."""
        return fingerprint in self._attributed

    def list_attributed(self) -> list[Fingerprint]:
        """Return the fingerprints that crashes known to this VM are attributed to."""
        return list(self._attributed)

    def _is_overruled(
        self, fingerprint: Fingerprint, crashes: Sequence[UpstreamCrash], found: PartCauses, parts: PartAttribution
    ) -> bool:
        """Return whether enough crashes with a fingerprint are known to judge it, and too few speak against it."""
        members = split_combination(fingerprint)
        with_it = {id(crash) for crash in self.crashes.index.list_with(members)}
        if len(with_it) < MIN_CRASHES:
            return False
        seen = {index for index, crash in enumerate(crashes) if id(crash) in with_it}
        return len((seen & parts.list_unrefuted(members, crashes)) - found.explained) < MIN_UNEXPLAINED_CRASHES

    def _compute_expiry(self, last_at: float, crash_count: int) -> float:
        duration = min(RETENTION_S, BASE_QUARANTINE_S * 2.0 ** min(8, crash_count - MIN_CRASHES))
        return last_at + duration + self.release_delay_s

    # --- successes ----------------------------------------------------------------------------------------------------

    def record_success(self, fingerprint: Fingerprint, now: float) -> ClearResult | None:
        """Record a success; return what was removed, or None if the request had neither quarantine nor crashes."""
        _put_newest(self._successes, fingerprint, now, MAX_SUCCESSES)
        was_quarantined = fingerprint in self._attributed or fingerprint in self._stored
        crash_count = self.crashes.count(fingerprint) if len(self.crashes) else 0
        if not was_quarantined and not crash_count:
            return None
        self.clear(fingerprint, now)
        return ClearResult(was_quarantined, crash_count)

    def list_clear_updates(self, update: CrashUpdate, now: float) -> list[ClearUpdate]:
        """Return clear updates for the requests in a crash update that succeeded before the crash."""
        at = now - update.age
        cleared = []
        for run in update.runs:
            success_at = self._successes.get(run.fingerprint, self._cleared.get(run.fingerprint, at))
            if success_at < at:
                cleared.append(ClearUpdate(run.fingerprint, round(now - success_at, 3)))
        return cleared

    def succeeded_recently(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request succeeded here within the last ``SUCCESS_GRACE_S`` seconds."""
        return now - self._successes.get(fingerprint, float("-inf")) < SUCCESS_GRACE_S

    def clear(self, fingerprint: Fingerprint, at: float) -> bool:
        """Remove the crashes and stored quarantine of a request up to ``at``; return whether there were any."""
        if self._cleared.get(fingerprint, float("-inf")) >= at:
            return False
        _put_newest(self._cleared, fingerprint, at, MAX_CLEARED)
        stored = self._stored.get(fingerprint)
        had_stored = stored is not None and stored.stored_at <= at
        if had_stored:
            del self._stored[fingerprint]
        had_crashes = self.crashes.forget(fingerprint, at)
        if had_crashes:
            self._attributed.pop(fingerprint, None)
        return had_stored or had_crashes

    # --- stored quarantines -------------------------------------------------------------------------------------------

    def apply_stored_update(self, update: StoredQuarantineUpdate, now: float) -> bool:
        """Record that the store contains a request's quarantine; return whether that is new to this VM."""
        fingerprint = update.fingerprint
        stored_at = now - max(0.0, update.age)
        known = self._stored.get(fingerprint)
        if update.remaining <= 0 or self._cleared.get(fingerprint, float("-inf")) >= stored_at:
            return False
        if known is not None and now < known.until:
            self._stored[fingerprint] = replace(known, is_stored=True)
            return False
        if len(self._stored) >= MAX_STORED_QUARANTINES:
            self._stored = {one: entry for one, entry in self._stored.items() if now < entry.until}
        if len(self._stored) >= MAX_STORED_QUARANTINES:
            return False
        self._stored[fingerprint] = _ReportedQuarantine(stored_at, now + min(update.remaining, BASE_QUARANTINE_S))
        return True

    def mark_missing(self, stored: Collection[Fingerprint], now: float) -> list[Fingerprint]:
        """Return the quarantined requests that are missing from a restored store, and mark them as not stored."""
        quarantined = [one for one in {*self._attributed, *self._stored} if self.get_entry(one, now) is not None]
        missing = [one for one in quarantined if one not in stored]
        for fingerprint in missing:
            if fingerprint in self._stored:
                self._stored[fingerprint] = replace(self._stored[fingerprint], is_stored=False)
        return missing

    def list_cleared_among(self, stored: Collection[Fingerprint], now: float) -> list[Fingerprint]:
        """Return the stored requests that were cleared and are not in quarantine."""
        return [one for one in stored if one in self._cleared and self.get_entry(one, now) is None]

    def retain_stored(self, stored: Collection[Fingerprint]) -> None:
        """Remove the stored quarantines that the store no longer contains."""
        self._stored = {one: entry for one, entry in self._stored.items() if one in stored}

    def list_stored(self, now: float) -> list[StoredQuarantineUpdate]:
        """Return the stored quarantines as updates for peers."""
        return [
            StoredQuarantineUpdate(one, round(now - entry.stored_at, 1), round(entry.until - now, 1))
            for one, entry in self._stored.items()
            if now < entry.until
        ]


def _put_newest(
    entries: OrderedDict[Fingerprint, float], fingerprint: Fingerprint, at: float, max_entries: int
) -> None:
    entries[fingerprint] = at
    entries.move_to_end(fingerprint)
    while len(entries) > max_entries:
        entries.popitem(last=False)
