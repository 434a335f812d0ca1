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
from beamhatch.relay.quarantine.attribution import LEAST_ENDS, Attribution, CoverAttribution
from beamhatch.relay.quarantine.ends import MEMORY, EndNews, UpstreamEnds

if TYPE_CHECKING:
    from collections.abc import Collection

    from beamhatch.relay.quarantine.attribution import Causes

HOLD_TIME = 600.0
"""Seconds behind the last end that it caused for which a request is sent to nothing: the longest lease of the store.

Each try costs an upstream and all that runs there, so the time is doubled with each further end, up to ``MEMORY``.
"""

GOOD_TIME = 60.0
"""Seconds behind a good end of a request in which a run of it that breaks is no sign against it.

A lookup that many callers make is aboard of whatever ends, for whatever reason. Longer than a hall is cut off, so that
it is protected still when its upstreams are back; short, as an upstream's next version may end by what the last bore.
"""

MOST_GOOD = 1024
"""Requests whose good end is remembered, the latest first: 0.2 MB. Popular ones stay among them."""

MOST_CLEARED = 512
"""Requests of which it is remembered when they were cleared: news of before may still be on their way."""

MOST_TOLD = 256
"""Requests that are held as others told it."""


class ClearNews(msgspec.Struct, frozen=True, array_like=True):
    """A request came to a good end: what was held against it before is void."""

    fingerprint: Fingerprint
    age: float
    """Seconds since."""


class HoldNews(msgspec.Struct, frozen=True, array_like=True):
    """A request is in quarantine by what the store keeps, though the ends may be forgotten."""

    fingerprint: Fingerprint
    age: float
    """Seconds since it was written to the store, at the most."""
    left: float
    """Seconds for which it still holds."""


@dataclass(frozen=True, slots=True)
class Hold:
    """A request that is sent to nothing."""

    until: float
    """Monotonic seconds."""
    ends: int
    """Ends that it explains; 0 where these are not known here."""


@dataclass(frozen=True, slots=True)
class Clearing:
    """What a good end cleared a request of."""

    was_held: bool
    ends: int
    """Ends at which a run of it had broken."""


@dataclass(frozen=True, slots=True)
class _Told:
    begun_at: float
    until: float
    is_kept: bool = True
    """False where a restored store lacks it."""


@dataclass(slots=True)
class Quarantine:
    """What one VM knows of requests that end upstreams."""

    ends: UpstreamEnds = field(default_factory=UpstreamEnds)
    attribution: Attribution = field(default_factory=CoverAttribution)
    _attributed: dict[Fingerprint, Hold] = field(default_factory=dict)
    """By the ends that this VM knows."""
    _told: dict[Fingerprint, _Told] = field(default_factory=dict)
    """By what the store keeps."""
    _good: OrderedDict[Fingerprint, float] = field(default_factory=OrderedDict)
    _cleared: OrderedDict[Fingerprint, float] = field(default_factory=OrderedDict)

    def find_hold(self, fingerprint: Fingerprint, now: float) -> Hold | None:
        """Return for how long a request is sent to nothing, None where it may be sent."""
        found = self._attributed.get(fingerprint)
        told = self._told.get(fingerprint)
        until = max(0.0 if found is None else found.until, 0.0 if told is None else told.until)
        return Hold(until, 0 if found is None else found.ends) if now < until else None

    def is_told(self, fingerprint: Fingerprint, now: float) -> bool:
        """Tell whether the store keeps the quarantine of a request, as far as this VM knows."""
        told = self._told.get(fingerprint)
        return told is not None and told.is_kept and now < told.until

    def count(self, now: float) -> int:
        """Return how many requests are in quarantine."""
        return sum(self.find_hold(one, now) is not None for one in {*self._attributed, *self._told})

    # --- ends --------------------------------------------------------------------------------------------------------

    def take_end(self, news: EndNews, now: float) -> EndNews | None:
        """Take in what a VM saw of an upstream's end; return the part that was not known."""
        at = now - news.age
        runs = [run for run in news.runs if self._cleared.get(run.fingerprint, float("-inf")) < at]
        return self.ends.take(EndNews(news.upstream, news.age, runs), now) if runs else None

    def attribute(self, now: float) -> Causes:
        """Work out which requests caused the ends; return those that are held from now on and were not."""
        self.ends.forget_old(now)
        before = self._attributed
        causes = self.attribution.find_causes(self.ends)
        self._attributed = {found: Hold(self._find_until(found, ends), ends) for found, ends in causes.items()}
        return {
            found: ends
            for found, ends in causes.items()
            if now < self._attributed[found].until and (found not in before or before[found].ends < ends)
        }

    def _find_until(self, fingerprint: Fingerprint, ends: int) -> float:
        last = max(end.at for end in self.ends if fingerprint in end.runs)
        return last + min(MEMORY, HOLD_TIME * 2.0 ** min(8, ends - LEAST_ENDS))

    # --- good ends ---------------------------------------------------------------------------------------------------

    def note_good(self, fingerprint: Fingerprint, now: float) -> Clearing | None:
        """Note that a run came to a good end; return what that clears its request of, None where there is nothing."""
        _put(self._good, fingerprint, now, MOST_GOOD)
        was_held = fingerprint in self._attributed or fingerprint in self._told
        ends = self.ends.count(fingerprint) if len(self.ends) else 0
        if not was_held and not ends:
            return None
        self.clear(fingerprint, now)
        return Clearing(was_held, ends)

    def list_cleared(self, news: EndNews, now: float) -> list[ClearNews]:
        """Return which requests that had a part in an end came to a good end here before it."""
        at = now - news.age
        cleared = []
        for run in news.runs:
            good_at = self._good.get(run.fingerprint, self._cleared.get(run.fingerprint, at))
            if good_at < at:
                cleared.append(ClearNews(run.fingerprint, round(now - good_at, 3)))
        return cleared

    def is_good(self, fingerprint: Fingerprint, now: float) -> bool:
        """Tell whether a run of a request came to a good end here of late."""
        return now - self._good.get(fingerprint, float("-inf")) < GOOD_TIME

    def clear(self, fingerprint: Fingerprint, at: float) -> bool:
        """Void what is held against a request up to a time; return whether there was anything."""
        if self._cleared.get(fingerprint, float("-inf")) >= at:
            return False
        _put(self._cleared, fingerprint, at, MOST_CLEARED)
        told = self._told.get(fingerprint)
        had_told = told is not None and told.begun_at <= at
        if had_told:
            del self._told[fingerprint]
        had_part = self.ends.forget(fingerprint, at)
        if had_part:
            self._attributed.pop(fingerprint, None)
        return had_told or had_part

    # --- what the store keeps ----------------------------------------------------------------------------------------

    def take_hold(self, news: HoldNews, now: float) -> bool:
        """Take in that the store keeps a request's quarantine; return whether that is news."""
        fingerprint = news.fingerprint
        begun_at = now - max(0.0, news.age)
        known = self._told.get(fingerprint)
        if news.left <= 0 or self._cleared.get(fingerprint, float("-inf")) >= begun_at:
            return False
        if known is not None and now < known.until:
            self._told[fingerprint] = replace(known, is_kept=True)
            return False
        if len(self._told) >= MOST_TOLD:
            self._told = {found: told for found, told in self._told.items() if now < told.until}
        if len(self._told) >= MOST_TOLD:
            return False
        self._told[fingerprint] = _Told(begun_at, now + min(news.left, HOLD_TIME))
        return True

    def note_missing(self, kept: Collection[Fingerprint], now: float) -> list[Fingerprint]:
        """Take in that a restored store keeps these alone; return the requests in quarantine that it lacks."""
        held = [one for one in {*self._attributed, *self._told} if self.find_hold(one, now) is not None]
        missing = [one for one in held if one not in kept]
        for fingerprint in missing:
            if fingerprint in self._told:
                self._told[fingerprint] = replace(self._told[fingerprint], is_kept=False)
        return missing

    def list_cleared_among(self, kept: Collection[Fingerprint], now: float) -> list[Fingerprint]:
        """Return the requests that the store keeps though they were cleared, and not held again since."""
        return [one for one in kept if one in self._cleared and self.find_hold(one, now) is None]

    def end_told_but(self, kept: Collection[Fingerprint]) -> None:
        """Take in that the store keeps the quarantine of no other requests."""
        self._told = {found: told for found, told in self._told.items() if found in kept}

    def list_told(self, now: float) -> list[HoldNews]:
        """Return what the store keeps, as peers are told."""
        return [
            HoldNews(found, round(now - told.begun_at, 1), round(told.until - now, 1))
            for found, told in self._told.items()
            if now < told.until
        ]


def _put(memory: OrderedDict[Fingerprint, float], fingerprint: Fingerprint, at: float, most: int) -> None:
    memory[fingerprint] = at
    memory.move_to_end(fingerprint)
    while len(memory) > most:
        memory.popitem(last=False)
