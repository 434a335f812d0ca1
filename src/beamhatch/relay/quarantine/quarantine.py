"""The quarantine aggregate: which requests end what runs them, and for how long they are sent to nothing.

It is worked out anew from the ends that are known, so VMs that know the same keep the same requests away, and one that
stood beside a deadly request is let go as soon as more is known.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import msgspec

from beamhatch.relay.model import Fingerprint
from beamhatch.relay.quarantine.attribution import MIN_CRASHES, Attribution, CoverAttribution
from beamhatch.relay.quarantine.crashes import RETENTION_S, CrashUpdate, UpstreamCrashes

if TYPE_CHECKING:
    from collections.abc import Collection

    from beamhatch.relay.quarantine.attribution import Causes

HOLD_S = 600.0
"""Seconds behind the last end that it caused for which a request is sent to nothing: the longest lease of the store.

Each try costs an upstream and all that runs there, so the time is doubled with each further end, up to ``RETENTION_S``.
"""

SUCCESS_GRACE_S = 60.0
"""Seconds behind a good end of a request in which a run of it that breaks is no sign against it.

A lookup that many callers make is aboard of whatever ends, for whatever reason. Longer than a hall is cut off, so that
it is protected still when its upstreams are back; short, as an upstream's next version may end by what the last bore.
"""

MAX_SUCCESSES = 1024
"""Requests whose good end is remembered, the latest first: 0.2 MB. Popular ones stay among them."""

MAX_CLEARED = 512
"""Requests of which it is remembered when they were cleared: news of before may still be on their way."""

MAX_STORED_HOLDS = 256
"""Requests that are held as others told it."""


class ClearUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A request came to a good end: what was held against it before is void."""

    fingerprint: Fingerprint
    age: float
    """Seconds since."""


class HoldUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A request is in quarantine by what the store keeps, though the ends may be forgotten."""

    fingerprint: Fingerprint
    age: float
    """Seconds since it was written to the store, at the most."""
    remaining: float
    """Seconds for which it still holds."""


@dataclass(frozen=True, slots=True)
class Hold:
    """A request that is sent to nothing."""

    until: float
    """Monotonic seconds."""
    crash_count: int
    """Ends that it explains; 0 where these are not known here."""


@dataclass(frozen=True, slots=True)
class ClearResult:
    """What a good end cleared a request of."""

    was_held: bool
    crash_count: int
    """Ends at which a run of it had broken."""


@dataclass(frozen=True, slots=True)
class _StoredHold:
    stored_at: float
    until: float
    is_stored: bool = True
    """False where a restored store lacks it."""


@dataclass(slots=True)
class Quarantine:
    """What one VM knows of requests that end upstreams."""

    crashes: UpstreamCrashes = field(default_factory=UpstreamCrashes)
    attribution: Attribution = field(default_factory=CoverAttribution)
    _attributed: dict[Fingerprint, Hold] = field(default_factory=dict)
    """By the ends that this VM knows."""
    _stored: dict[Fingerprint, _StoredHold] = field(default_factory=dict)
    """By what the store keeps."""
    _successes: OrderedDict[Fingerprint, float] = field(default_factory=OrderedDict)
    _cleared: OrderedDict[Fingerprint, float] = field(default_factory=OrderedDict)

    def get_hold(self, fingerprint: Fingerprint, now: float) -> Hold | None:
        """Return for how long a request is sent to nothing, None where it may be sent."""
        found = self._attributed.get(fingerprint)
        stored = self._stored.get(fingerprint)
        until = max(0.0 if found is None else found.until, 0.0 if stored is None else stored.until)
        return Hold(until, 0 if found is None else found.crash_count) if now < until else None

    def is_stored(self, fingerprint: Fingerprint, now: float) -> bool:
        """Tell whether the store keeps the quarantine of a request, as far as this VM knows."""
        stored = self._stored.get(fingerprint)
        return stored is not None and stored.is_stored and now < stored.until

    def count(self, now: float) -> int:
        """Return how many requests are in quarantine."""
        return sum(self.get_hold(one, now) is not None for one in {*self._attributed, *self._stored})

    # --- ends --------------------------------------------------------------------------------------------------------

    def apply_crash(self, update: CrashUpdate, now: float) -> CrashUpdate | None:
        """Take in what a VM saw of an upstream's end; return the part that was not known."""
        at = now - update.age
        runs = [run for run in update.runs if self._cleared.get(run.fingerprint, float("-inf")) < at]
        return self.crashes.apply_update(CrashUpdate(update.upstream, update.age, runs), now) if runs else None

    def attribute(self, now: float) -> Causes:
        """Work out which requests caused the ends; return those that are held from now on and were not."""
        self.crashes.remove_expired(now)
        before = self._attributed
        causes = self.attribution.find_causes(self.crashes)
        self._attributed = {found: Hold(self._compute_hold_end(found, count), count) for found, count in causes.items()}
        return {
            found: ends
            for found, ends in causes.items()
            if now < self._attributed[found].until and (found not in before or before[found].crash_count < ends)
        }

    def _compute_hold_end(self, fingerprint: Fingerprint, crash_count: int) -> float:
        last = max(end.at for end in self.crashes if fingerprint in end.run_durations)
        return last + min(RETENTION_S, HOLD_S * 2.0 ** min(8, crash_count - MIN_CRASHES))

    # --- good ends ---------------------------------------------------------------------------------------------------

    def record_success(self, fingerprint: Fingerprint, now: float) -> ClearResult | None:
        """Note that a run came to a good end; return what that clears its request of, None where there is nothing."""
        _put_newest(self._successes, fingerprint, now, MAX_SUCCESSES)
        was_held = fingerprint in self._attributed or fingerprint in self._stored
        crash_count = self.crashes.count(fingerprint) if len(self.crashes) else 0
        if not was_held and not crash_count:
            return None
        self.clear(fingerprint, now)
        return ClearResult(was_held, crash_count)

    def list_clear_updates(self, update: CrashUpdate, now: float) -> list[ClearUpdate]:
        """Return which requests that had a part in an end came to a good end here before it."""
        at = now - update.age
        cleared = []
        for run in update.runs:
            success_at = self._successes.get(run.fingerprint, self._cleared.get(run.fingerprint, at))
            if success_at < at:
                cleared.append(ClearUpdate(run.fingerprint, round(now - success_at, 3)))
        return cleared

    def succeeded_recently(self, fingerprint: Fingerprint, now: float) -> bool:
        """Tell whether a run of a request came to a good end here of late."""
        return now - self._successes.get(fingerprint, float("-inf")) < SUCCESS_GRACE_S

    def clear(self, fingerprint: Fingerprint, at: float) -> bool:
        """Void what is held against a request up to a time; return whether there was anything."""
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

    # --- what the store keeps ----------------------------------------------------------------------------------------

    def apply_stored_hold(self, update: HoldUpdate, now: float) -> bool:
        """Take in that the store keeps a request's quarantine; return whether that is news."""
        fingerprint = update.fingerprint
        stored_at = now - max(0.0, update.age)
        known = self._stored.get(fingerprint)
        if update.remaining <= 0 or self._cleared.get(fingerprint, float("-inf")) >= stored_at:
            return False
        if known is not None and now < known.until:
            self._stored[fingerprint] = replace(known, is_stored=True)
            return False
        if len(self._stored) >= MAX_STORED_HOLDS:
            self._stored = {found: told for found, told in self._stored.items() if now < told.until}
        if len(self._stored) >= MAX_STORED_HOLDS:
            return False
        self._stored[fingerprint] = _StoredHold(stored_at, now + min(update.remaining, HOLD_S))
        return True

    def mark_missing(self, stored: Collection[Fingerprint], now: float) -> list[Fingerprint]:
        """Take in that a restored store keeps these alone; return the requests in quarantine that it lacks."""
        held = [one for one in {*self._attributed, *self._stored} if self.get_hold(one, now) is not None]
        missing = [one for one in held if one not in stored]
        for fingerprint in missing:
            if fingerprint in self._stored:
                self._stored[fingerprint] = replace(self._stored[fingerprint], is_stored=False)
        return missing

    def list_cleared_among(self, stored: Collection[Fingerprint], now: float) -> list[Fingerprint]:
        """Return the requests that the store keeps though they were cleared, and not held again since."""
        return [one for one in stored if one in self._cleared and self.get_hold(one, now) is None]

    def retain_stored(self, stored: Collection[Fingerprint]) -> None:
        """Take in that the store keeps the quarantine of no other requests."""
        self._stored = {found: told for found, told in self._stored.items() if found in stored}

    def list_stored(self, now: float) -> list[HoldUpdate]:
        """Return what the store keeps, as peers are told."""
        return [
            HoldUpdate(found, round(now - told.stored_at, 1), round(told.until - now, 1))
            for found, told in self._stored.items()
            if now < told.until
        ]


def _put_newest(
    entries: OrderedDict[Fingerprint, float], fingerprint: Fingerprint, at: float, max_entries: int
) -> None:
    entries[fingerprint] = at
    entries.move_to_end(fingerprint)
    while len(entries) > max_entries:
        entries.popitem(last=False)
