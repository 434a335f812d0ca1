"""Quarantine of requests that crash upstreams.

Quarantines are recomputed from the known crashes on each change, so VMs that know the same crashes quarantine the same
requests. A request that only ran at the same time is released when later crashes show another cause.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import msgspec

from beamhatch.relay.model import Fingerprint
from beamhatch.relay.quarantine.attribution import MIN_CRASHES, Attribution, CoverAttribution
from beamhatch.relay.quarantine.ends import RETENTION_S, CrashUpdate, UpstreamCrashes

if TYPE_CHECKING:
    from collections.abc import Collection

    from beamhatch.relay.quarantine.attribution import Causes

BASE_QUARANTINE_S = 600.0
"""Base duration of a quarantine from the last crash of the request, in seconds; also the longest lease in the store.

Doubled for each crash beyond ``MIN_CRASHES``, up to ``RETENTION_S``.
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
    """The quarantine of a request."""

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
    _attributed: dict[Fingerprint, QuarantineEntry] = field(default_factory=dict)
    """Quarantines computed from the known crashes."""
    _stored: dict[Fingerprint, _ReportedQuarantine] = field(default_factory=dict)
    """Quarantines that the store or peers reported."""
    _successes: OrderedDict[Fingerprint, float] = field(default_factory=OrderedDict)
    _cleared: OrderedDict[Fingerprint, float] = field(default_factory=OrderedDict)

    def get_entry(self, fingerprint: Fingerprint, now: float) -> QuarantineEntry | None:
        """Return the quarantine of a request, or None if it may be sent."""
        attributed = self._attributed.get(fingerprint)
        stored = self._stored.get(fingerprint)
        until = max(0.0 if attributed is None else attributed.until, 0.0 if stored is None else stored.until)
        return QuarantineEntry(until, 0 if attributed is None else attributed.crash_count) if now < until else None

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
        runs = [run for run in update.runs if self._cleared.get(run.fingerprint, float("-inf")) < at]
        return self.crashes.apply_update(CrashUpdate(update.upstream, update.age, runs), now) if runs else None

    def attribute(self, now: float) -> Causes:
        """Recompute the quarantines; return the requests that are new or have more crashes than before."""
        self.crashes.remove_expired(now)
        before = self._attributed
        causes = self.attribution.find_causes(self.crashes)
        self._attributed = {
            one: QuarantineEntry(self._compute_expiry(one, count), count) for one, count in causes.items()
        }
        return {
            one: count
            for one, count in causes.items()
            if now < self._attributed[one].until and (one not in before or before[one].crash_count < count)
        }

    def _compute_expiry(self, fingerprint: Fingerprint, crash_count: int) -> float:
        last = max(crash.at for crash in self.crashes if fingerprint in crash.run_durations)
        return last + min(RETENTION_S, BASE_QUARANTINE_S * 2.0 ** min(8, crash_count - MIN_CRASHES))

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
