"""What upstreams say of themselves in their answers, whatever they answer: that they leave, want rest, or a limit.

The one place that takes it in, for each kind of call to an upstream: what concerns all calls would be missed by kinds
of call that each read what they need.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.relay.choosing.rests import Rests
from beamhatch.relay.limits.limits import Limits
from beamhatch.relay.upstreams.http_client import ResponseSink

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.api import AnswerFacts, Dialect, NamedLimit
    from beamhatch.relay.limits.words import LimitWord
    from beamhatch.relay.model import Life, Upstream, UpstreamId
    from beamhatch.relay.upstreams.http_client import CallFailure, ResponseHead
    from beamhatch.relay.upstreams.listing import Listing

LIMIT_LOG_INTERVAL_S = 1.0
"""Seconds between two lines on changes of one upstream's limit."""

MISDIRECTED = 421
"""The status of an upstream that is not the one that was meant."""


@dataclass(slots=True)
class Announcements:
    """Reads the heads of upstreams' answers, and keeps what they say of the upstreams."""

    clock: Clock
    journal: Journal
    tally: Tally
    dialect: Dialect
    listing: Listing
    backoffs: Rests = field(default_factory=Rests)
    limits: Limits = field(default_factory=Limits)
    on_restriction: Callable[[Life], None] = lambda life: None
    """Called when an upstream may be sent nothing from now on that it might be sent before."""
    on_departure: Callable[[], None] = lambda: None
    """Called when an upstream has told this VM that it leaves, and the store has not."""
    _limit_logged_at: dict[Life, float] = field(default_factory=dict)
    """When the last line was written on the limit of each life, in monotonic seconds."""

    def handle_head(
        self, upstream: Upstream, head: ResponseHead, sent_at: float, *, is_request: bool = False
    ) -> AnswerFacts:
        """Return what the head of an upstream's answer says, and take in what it says of the upstream.

        :param asked_at: when the call went out that is answered, in monotonic seconds
        :param of_request: whether that was a caller's request, and not a call about memory or parts
        """
        facts = self.dialect.read_answer(head.status, head.headers)
        if head.status != MISDIRECTED:  # else it is another one's word
            self._apply(upstream.life, facts)
            ran = is_request and facts.signed and not facts.not_run
            self._apply_limit(upstream.life, facts.limit, sent_at, clears=ran)
        return facts

    def _apply(self, life: Life, facts: AnswerFacts) -> None:
        if facts.leaving and self.apply_departure(life, "its answer"):
            self.on_departure()
        if facts.rest is not None:
            self.tally.count("announcements_total", "rest")
            if self.backoffs.take(life, facts.rest, self.clock.now()):
                self.journal.write("LISTING", "asks for rest", upstream=life.id, seconds=facts.rest)
                self.on_restriction(life)

    def _apply_limit(self, life: Life, limit: NamedLimit | None, sent_at: float, *, clears: bool) -> None:
        """Take in the limit that an upstream names, or that it names none; what can't be read changes nothing.

        :param ends: whether an answer without the word takes a limit back: that of a request that was run
        """
        if limit is not None:
            self.tally.count("announcements_total", "limit" if limit.rate is not None else "unclear_limit")
        if (limit is None and not clears) or (limit is not None and limit.rate is None):
            return
        before = self.limits.find(life)
        if self.limits.take(life, None if limit is None else limit.rate, sent_at, self.clock.now()):
            self._record_limit_change(life, before, "its answer")

    def apply_limit_state(self, state: LimitWord, source: str) -> bool:
        """Take in what a peer knows of an upstream's limit; return whether that is news."""
        before = self.limits.find(state.life)
        if not self.limits.take_word(state, self.clock.now()):
            return False
        self._record_limit_change(state.life, before, source)
        return True

    def _record_limit_change(self, life: Life, before: float | None, source: str) -> None:
        """Write a line on a changed limit, at most one a second for each upstream, and tell of a new one."""
        rate = self.limits.find(life)
        now = self.clock.now()
        is_turn = (rate is None) != (before is None)
        if is_turn or now - self._limit_logged_at.get(life, -math.inf) >= LIMIT_LOG_INTERVAL_S:
            self._limit_logged_at[life] = now
            event = "names a limit" if rate is not None else "names no limit any more"
            part = self.limits.describe(life)
            self.journal.write("LIMIT", event, upstream=life.id, rate=rate, before=before, source=source, **part)
        if before is None and rate is not None:
            self.on_restriction(life)

    def apply_departure(self, life: Life, source: str) -> bool:
        """Take in that an upstream leaves, by its own word; return whether that is news."""
        if not self.listing.record_departure(life, self.clock.now()):
            return False
        self.tally.count("announcements_total", "leaving")
        self.journal.write("LISTING", "says that it leaves", upstream=life.id, born=life.born, source=source)
        self.on_restriction(life)
        return True

    def list_unstored(self) -> list[Life]:
        """Return the lives that leave and of which the store has not told yet, oldest first."""
        return self.listing.departures.list_unstored()

    def record_send(self, upstream: Upstream) -> dict[str, object]:
        """Count a request that goes to an upstream in spite of what it said; return what its line is to tell."""
        told: dict[str, object] = {}
        if self.listing.is_leaving(upstream):
            told["leaving"] = True
            self.tally.count("sent_in_spite_total", "leaving")
        if self.limits.find(upstream.life) is not None:
            self.tally.count("limited_sends_total")
        now = self.clock.now()
        end = self.backoffs.find_end(upstream.life, now)
        if end is not None:
            told["rest_left"] = round(end - now, 3)
            self.tally.count("sent_in_spite_total", "rest")
        return told

    def describe_limit(self, life: Life) -> dict[str, float]:
        """Return what the line of a send tells of the limit that its upstream names; nothing where it names none."""
        rate = self.limits.find(life)
        return {} if rate is None else {"limit": rate}

    def drop_unlisted(self, listed: Collection[UpstreamId]) -> None:
        """Drop what was said by upstreams that are known no longer."""
        self.backoffs.keep_only(listed)
        self.limits.keep_only(listed)
        self.limits.forget_old(self.clock.now())
        self._limit_logged_at = {life: at for life, at in self._limit_logged_at.items() if life.id in listed}


class AnnouncementSink(ResponseSink):
    """Takes notice of what an upstream says of itself, and of nothing else in its answer."""

    def __init__(self, announcements: Announcements, upstream: Upstream) -> None:
        self._announcements = announcements
        self._upstream = upstream
        self._sent_at = announcements.clock.now()

    def handle_head(self, head: ResponseHead) -> None:
        """Take in what it says."""
        self._announcements.handle_head(self._upstream, head, self._sent_at)

    def handle_data(self, data: bytes) -> None:
        """Take no notice."""

    def handle_end(self) -> None:
        """Take no notice."""

    def handle_failure(self, fault: CallFailure, detail: str) -> None:
        """Take no notice."""
