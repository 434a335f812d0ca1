"""What upstreams say of themselves in their answers, whatever they answer: that they leave, want rest, or a limit.

The one place that takes it in, for each kind of call to an upstream: what concerns all calls would be missed by kinds
of call that each read what they need.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.relay.choosing.rests import Backoffs
from beamhatch.relay.limits.limits import Limits
from beamhatch.relay.upstreams.http_client import AnswerSink

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.api import AnswerFacts, Dialect, NamedLimit
    from beamhatch.relay.limits.words import LimitState
    from beamhatch.relay.model import Life, Upstream, UpstreamId
    from beamhatch.relay.upstreams.http_client import Fault, Head
    from beamhatch.relay.upstreams.listing import Listing

LIMIT_LINE_GAP = 1.0
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
    rests: Backoffs = field(default_factory=Backoffs)
    limits: Limits = field(default_factory=Limits)
    on_news: Callable[[Life], None] = lambda life: None
    """Called when an upstream may be sent nothing from now on that it might be sent before."""
    on_departure: Callable[[], None] = lambda: None
    """Called when an upstream has told this VM that it leaves, and the store has not."""
    _limits_written: dict[Life, float] = field(default_factory=dict)
    """When the last line was written on the limit of each life, in monotonic seconds."""

    def read(self, upstream: Upstream, head: Head, asked_at: float, *, of_request: bool = False) -> AnswerFacts:
        """Return what the head of an upstream's answer says, and take in what it says of the upstream.

        :param asked_at: when the call went out that is answered, in monotonic seconds
        :param of_request: whether that was a caller's request, and not a call about memory or parts
        """
        facts = self.dialect.read_answer(head.status, head.headers)
        if head.status != MISDIRECTED:  # else it is another one's word
            self._take(upstream.life, facts)
            ran = of_request and facts.signed and not facts.not_run
            self._take_limit(upstream.life, facts.limit, asked_at, ends=ran)
        return facts

    def _take(self, life: Life, facts: AnswerFacts) -> None:
        if facts.leaving and self.take_departure(life, "its answer"):
            self.on_departure()
        if facts.rest is not None:
            self.tally.count("announcements_total", "rest")
            if self.rests.record(life, facts.rest, self.clock.now()):
                self.journal.write("LISTING", "asks for rest", upstream=life.id, seconds=facts.rest)
                self.on_news(life)

    def _take_limit(self, life: Life, limit: NamedLimit | None, asked_at: float, *, ends: bool) -> None:
        """Take in the limit that an upstream names, or that it names none; what can't be read changes nothing.

        :param ends: whether an answer without the word takes a limit back: that of a request that was run
        """
        if limit is not None:
            self.tally.count("announcements_total", "limit" if limit.rate is not None else "unclear_limit")
        if (limit is None and not ends) or (limit is not None and limit.rate is None):
            return
        before = self.limits.get_rate(life)
        if self.limits.apply_response(life, None if limit is None else limit.rate, asked_at, self.clock.now()):
            self._note_limit(life, before, "its answer")

    def take_limit_word(self, word: LimitState, source: str) -> bool:
        """Take in what a peer knows of an upstream's limit; return whether that is news."""
        before = self.limits.get_rate(word.incarnation)
        if not self.limits.apply_state(word, self.clock.now()):
            return False
        self._note_limit(word.incarnation, before, source)
        return True

    def _note_limit(self, life: Life, before: float | None, source: str) -> None:
        """Write a line on a changed limit, at most one a second for each upstream, and tell of a new one."""
        rate = self.limits.get_rate(life)
        now = self.clock.now()
        is_turn = (rate is None) != (before is None)
        if is_turn or now - self._limits_written.get(life, -math.inf) >= LIMIT_LINE_GAP:
            self._limits_written[life] = now
            event = "names a limit" if rate is not None else "names no limit any more"
            part = self.limits.get_log_fields(life)
            self.journal.write("LIMIT", event, upstream=life.id, rate=rate, before=before, source=source, **part)
        if before is None and rate is not None:
            self.on_news(life)

    def take_departure(self, life: Life, source: str) -> bool:
        """Take in that an upstream leaves, by its own word; return whether that is news."""
        if not self.listing.note_leaving(life, self.clock.now()):
            return False
        self.tally.count("announcements_total", "leaving")
        self.journal.write("LISTING", "says that it leaves", upstream=life.id, born=life.born, source=source)
        self.on_news(life)
        return True

    def list_untold(self) -> list[Life]:
        """Return the lives that leave and of which the store has not told yet, oldest first."""
        return self.listing.departures.list_untold()

    def note_sent(self, upstream: Upstream) -> dict[str, object]:
        """Count a request that goes to an upstream in spite of what it said; return what its line is to tell."""
        told: dict[str, object] = {}
        if self.listing.is_leaving(upstream):
            told["leaving"] = True
            self.tally.count("sent_in_spite_total", "leaving")
        if self.limits.get_rate(upstream.life) is not None:
            self.tally.count("limited_sends_total")
        now = self.clock.now()
        end = self.rests.get_end(upstream.life, now)
        if end is not None:
            told["rest_left"] = round(end - now, 3)
            self.tally.count("sent_in_spite_total", "rest")
        return told

    def describe_limit(self, life: Life) -> dict[str, float]:
        """Return what the line of a send tells of the limit that its upstream names; nothing where it names none."""
        rate = self.limits.get_rate(life)
        return {} if rate is None else {"limit": rate}

    def forget_old(self, listed: Collection[UpstreamId]) -> None:
        """Drop what was said by upstreams that are known no longer."""
        self.rests.keep_only(listed)
        self.limits.remove_unlisted(listed)
        self.limits.remove_expired(self.clock.now())
        self._limits_written = {life: at for life, at in self._limits_written.items() if life.id in listed}


class AnnouncementSink(AnswerSink):
    """Takes notice of what an upstream says of itself, and of nothing else in its answer."""

    def __init__(self, announcements: Announcements, upstream: Upstream) -> None:
        self._announcements = announcements
        self._upstream = upstream
        self._asked_at = announcements.clock.now()

    def take_head(self, head: Head) -> None:
        """Take in what it says."""
        self._announcements.read(self._upstream, head, self._asked_at)

    def take_data(self, data: bytes) -> None:
        """Take no notice."""

    def take_end(self) -> None:
        """Take no notice."""

    def take_fault(self, fault: Fault, detail: str) -> None:
        """Take no notice."""
