"""What upstreams say of themselves in their answers, whatever they answer: that they leave, or want rest.

The one place that takes it in, for each kind of call to an upstream.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.relay.choosing.rests import Rests
from beamhatch.relay.upstreams.departures import Departures
from beamhatch.relay.upstreams.http_client import AnswerSink

if TYPE_CHECKING:
    from collections.abc import Collection

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.api import AnswerFacts, Dialect
    from beamhatch.relay.model import Upstream, UpstreamId
    from beamhatch.relay.upstreams.http_client import Fault, Head

MEMORY = 120.0
"""Seconds for which it is remembered that an upstream leaves that is listed nowhere: longer than old news travel."""

MISDIRECTED = 421
"""The status of an upstream that is not the one that was meant."""


@dataclass(slots=True)
class Announcements:
    """Reads the heads of upstreams' answers, and keeps what they say of the upstreams."""

    clock: Clock
    journal: Journal
    tally: Tally
    dialect: Dialect
    departures: Departures = field(default_factory=Departures)
    rests: Rests = field(default_factory=Rests)

    def read(self, upstream: Upstream, head: Head) -> AnswerFacts:
        """Return what the head of an upstream's answer says, and take in what it says of the upstream."""
        facts = self.dialect.read_answer(head.status, head.headers)
        if head.status != MISDIRECTED:  # else it is another one's word
            self._take(upstream, facts)
        return facts

    def _take(self, upstream: Upstream, facts: AnswerFacts) -> None:
        now = self.clock.now()
        if facts.leaving and self.departures.take(upstream.life, now):
            self.tally.count("announcements_total", "leaving")
            self.journal.write("LISTING", "says that it leaves", upstream=upstream.id, source="its answer")
        if facts.rest is not None:
            self.tally.count("announcements_total", "rest")
            if self.rests.take(upstream.life, facts.rest, now):
                self.journal.write("LISTING", "asks for rest", upstream=upstream.id, seconds=facts.rest)

    def forget_old(self, listed: Collection[UpstreamId]) -> None:
        """Drop what was said by upstreams that are known no longer."""
        self.departures.forget_old(listed, self.clock.now() - MEMORY)
        self.rests.keep_only(listed)

    def note_sent(self, upstream: Upstream) -> dict[str, object]:
        """Count a request that goes to an upstream in spite of what it said; return what its line is to tell."""
        now = self.clock.now()
        told: dict[str, object] = {}
        if self.departures.has(upstream.life):
            told["leaving"] = True
            self.tally.count("sent_in_spite_total", "leaving")
        end = self.rests.find_end(upstream.life, now)
        if end is not None:
            told["rest_left"] = round(end - now, 3)
            self.tally.count("sent_in_spite_total", "rest")
        return told


class AnnouncementSink(AnswerSink):
    """Takes notice of what an upstream says of itself, and of nothing else in its answer."""

    def __init__(self, announcements: Announcements, upstream: Upstream) -> None:
        self._announcements = announcements
        self._upstream = upstream

    def take_head(self, head: Head) -> None:
        """Take in what it says."""
        self._announcements.read(self._upstream, head)

    def take_data(self, data: bytes) -> None:
        """Take no notice."""

    def take_end(self) -> None:
        """Take no notice."""

    def take_fault(self, fault: Fault, detail: str) -> None:
        """Take no notice."""
