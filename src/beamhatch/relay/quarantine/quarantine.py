"""Which requests are in quarantine, and until when.

Quarantines are computed again from the known crashes with each change, so VMs that know the same crashes quarantine the
same requests, and one that only co-ran is released once more is known.
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
"""Quarantine after the last crash that a request caused, in seconds; also the store's longest lease.

Doubled with each further crash, up to ``RETENTION_S``.
"""

SUCCESS_GRACE_S = 60.0
"""Time after a success in which a broken run does not count against the request, in seconds.

It protects requests that many callers make, which run on whatever upstream crashes. It is short since a new version of
an upstream may crash by a request that the last one served.
"""

MAX_SUCCESSES = 1024
"""Maximum number of successes kept, the latest first."""

MAX_CLEARED = 512
"""Maximum number of clearings kept; these void older updates that still arrive."""

MAX_STORED_QUARANTINES = 256
"""Maximum number of quarantines kept that the store or peers reported."""


class ClearUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A request succeeded: crashes before that do not count against it."""

    fingerprint: Fingerprint
    age: float
    """Seconds since the success."""


class StoredQuarantineUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A request is in quarantine according to the store, whether or not its crashes are known."""

    fingerprint: Fingerprint
    age: float
    """Upper bound on the seconds since it was written to the store."""
    remaining: float
    """Seconds until it expires."""


@dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """The quarantine of a request."""

    until: float
    """Time of expiry on the monotonic clock."""
    crash_count: int
    """Number of crashes attributed to the request; 0 if none are known here."""


@dataclass(frozen=True, slots=True)
class ClearResult:
    """What a success cleared a request of."""

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
        found = self._attributed.get(fingerprint)
        stored = self._stored.get(fingerprint)
        until = max(0.0 if found is None else found.until, 0.0 if stored is None else stored.until)
        return QuarantineEntry(until, 0 if found is None else found.crash_count) if now < until else None

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
        """Compute the quarantines again; return the requests that are new or have more crashes than before."""
        self.crashes.remove_expired(now)
        before = self._attributed
        causes = self.attribution.find_causes(self.crashes)
        self._attributed = {
            found: QuarantineEntry(self._compute_expiry(found, count), count) for found, count in causes.items()
        }
        return {
            found: count
            for found, count in causes.items()
            if now < self._attributed[found].until and (found not in before or before[found].crash_count < count)
        }

    def _compute_expiry(self, fingerprint: Fingerprint, crash_count: int) -> float:
        last = max(crash.at for crash in self.crashes if fingerprint in crash.run_durations)
        return last + min(RETENTION_S, BASE_QUARANTINE_S * 2.0 ** min(8, crash_count - MIN_CRASHES))

    # --- successes ----------------------------------------------------------------------------------------------------

    def record_success(self, fingerprint: Fingerprint, now: float) -> ClearResult | None:
        """Record a success; return what it clears the request of, or None if nothing was held against it."""
        _put_newest(self._successes, fingerprint, now, MAX_SUCCESSES)
        was_held = fingerprint in self._attributed or fingerprint in self._stored
        crash_count = self.crashes.count(fingerprint) if len(self.crashes) else 0
        if not was_held and not crash_count:
            return None
        self.clear(fingerprint, now)
        return ClearResult(was_held, crash_count)

    def list_clear_updates(self, update: CrashUpdate, now: float) -> list[ClearUpdate]:
        """Return updates on the requests of a crash that succeeded before it."""
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
        """Remove crashes and stored quarantine of a request up to a time; return whether there were any."""
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
        """Record that the store contains a request's quarantine; return whether that is new."""
        fingerprint = update.fingerprint
        stored_at = now - max(0.0, update.age)
        known = self._stored.get(fingerprint)
        if update.remaining <= 0 or self._cleared.get(fingerprint, float("-inf")) >= stored_at:
            return False
        if known is not None and now < known.until:
            self._stored[fingerprint] = replace(known, is_stored=True)
            return False
        if len(self._stored) >= MAX_STORED_QUARANTINES:
            self._stored = {found: hold for found, hold in self._stored.items() if now < hold.until}
        if len(self._stored) >= MAX_STORED_QUARANTINES:
            return False
        self._stored[fingerprint] = _ReportedQuarantine(stored_at, now + min(update.remaining, BASE_QUARANTINE_S))
        return True

    def mark_missing(self, stored: Collection[Fingerprint], now: float) -> list[Fingerprint]:
        """Return the quarantined requests that a restored store lacks, and mark them as not stored."""
        held = [one for one in {*self._attributed, *self._stored} if self.get_entry(one, now) is not None]
        missing = [one for one in held if one not in stored]
        for fingerprint in missing:
            if fingerprint in self._stored:
                self._stored[fingerprint] = replace(self._stored[fingerprint], is_stored=False)
        return missing

    def list_cleared_among(self, stored: Collection[Fingerprint], now: float) -> list[Fingerprint]:
        """Return the stored requests that were cleared and are not in quarantine."""
        return [one for one in stored if one in self._cleared and self.get_entry(one, now) is None]

    def retain_stored(self, stored: Collection[Fingerprint]) -> None:
        """Remove the stored quarantines that the store no longer contains."""
        self._stored = {found: hold for found, hold in self._stored.items() if found in stored}

    def list_stored(self, now: float) -> list[StoredQuarantineUpdate]:
        """Return the updates on stored quarantines that peers are sent."""
        return [
            StoredQuarantineUpdate(found, round(now - hold.stored_at, 1), round(hold.until - now, 1))
            for found, hold in self._stored.items()
            if now < hold.until
        ]


def _put_newest(
    entries: OrderedDict[Fingerprint, float], fingerprint: Fingerprint, at: float, max_entries: int
) -> None:
    entries[fingerprint] = at
    entries.move_to_end(fingerprint)
    while len(entries) > max_entries:
        entries.popitem(last=False)
