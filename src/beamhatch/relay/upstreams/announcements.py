"""Announcements in the headers of upstreams' responses: departure, back-off and rate limits.

Every kind of call to an upstream passes the heads of its responses to ``Announcements.handle_head``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from beamhatch.relay.choosing.rests import Backoffs
from beamhatch.relay.limits.limits import Limits
from beamhatch.relay.upstreams.call import ResponseSink

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from beamhatch.clock import Clock
    from beamhatch.observe.journal import Journal
    from beamhatch.observe.tally import Tally
    from beamhatch.relay.api import AnnouncedLimit, Dialect, ResponseFacts
    from beamhatch.relay.limits.words import LimitState
    from beamhatch.relay.model import Incarnation, Upstream, UpstreamId
    from beamhatch.relay.upstreams.call import CallFailure, ResponseHead
    from beamhatch.relay.upstreams.connection import HttpExchange
    from beamhatch.relay.upstreams.listing import Listing

LIMIT_LOG_INTERVAL_S = 1.0
"""Minimum time between log lines on limit changes of one upstream, unless a limit appears or disappears."""

MISDIRECTED = 421
"""HTTP status of an upstream that is not the intended one."""


@dataclass(slots=True)
class Announcements:
    """State that upstreams announce in the headers of their responses."""

    clock: Clock
    journal: Journal
    tally: Tally
    dialect: Dialect
    listing: Listing
    backoffs: Backoffs = field(default_factory=Backoffs)
    limits: Limits = field(default_factory=Limits)
    on_restriction: Callable[[Incarnation], None] = lambda incarnation: None
    """Called when an upstream newly announces a departure, a back-off or a limit."""
    on_departure: Callable[[], None] = lambda: None
    """Called when a response announces a departure that was not known before."""
    _limit_logged_at: dict[Incarnation, float] = field(default_factory=dict)
    """Monotonic seconds of the last log line on the limit of each incarnation."""

    def handle_head(
        self, upstream: Upstream, head: ResponseHead, sent_at: float, *, is_request: bool = False
    ) -> ResponseFacts:
        """Parse the head of an upstream's response, and apply its announcements.

        :param sent_at: monotonic seconds when the call was sent
        :param is_request: whether the call was a caller's request, not one about reservations or phases
        """
        facts = self.dialect.read_response(head.status, head.headers)
        if head.status != MISDIRECTED:  # otherwise the response is from another upstream
            self._apply(upstream.incarnation, facts)
            ran = is_request and facts.from_upstream and not facts.not_run
            self._apply_limit(upstream.incarnation, facts.limit, sent_at, clears=ran)
        return facts

    def _apply(self, incarnation: Incarnation, facts: ResponseFacts) -> None:
        if facts.leaving and self.apply_departure(incarnation, "its answer"):
            self.on_departure()
        if facts.backoff is not None:
            self.tally.count("announcements_total", "rest")
            if self.backoffs.record(incarnation, facts.backoff, self.clock.now()):
                self.journal.write("LISTING", "asks for rest", upstream=incarnation.id, seconds=facts.backoff)
                self.on_restriction(incarnation)

    def _apply_limit(
        self, incarnation: Incarnation, limit: AnnouncedLimit | None, sent_at: float, *, clears: bool
    ) -> None:
        """Apply the limit that an upstream announces; a limit that can't be parsed changes nothing.

        :param clears: whether a response without a limit clears the known one, as that of a request that ran does
        """
        if limit is not None:
            self.tally.count("announcements_total", "limit" if limit.rate is not None else "unclear_limit")
        if (limit is None and not clears) or (limit is not None and limit.rate is None):
            return
        before = self.limits.get_rate(incarnation)
        if self.limits.apply_response(incarnation, None if limit is None else limit.rate, sent_at, self.clock.now()):
            self._record_limit_change(incarnation, before, "its answer")

    def apply_limit_state(self, state: LimitState, source: str) -> bool:
        """Apply the state of an upstream's limit that a peer sent; return whether it changed anything."""
        before = self.limits.get_rate(state.incarnation)
        if not self.limits.apply_state(state, self.clock.now()):
            return False
        self._record_limit_change(state.incarnation, before, source)
        return True

    def _record_limit_change(self, incarnation: Incarnation, before: float | None, source: str) -> None:
        """Log a changed limit, rate-limited per incarnation, and report a new one to ``on_restriction``."""
        rate = self.limits.get_rate(incarnation)
        now = self.clock.now()
        appears_or_ends = (rate is None) != (before is None)
        if appears_or_ends or now - self._limit_logged_at.get(incarnation, -math.inf) >= LIMIT_LOG_INTERVAL_S:
            self._limit_logged_at[incarnation] = now
            event = "names a limit" if rate is not None else "names no limit any more"
            state = self.limits.get_log_fields(incarnation)
            self.journal.write(
                "LIMIT", event, upstream=incarnation.id, rate=rate, before=before, source=source, **state
            )
        if before is None and rate is not None:
            self.on_restriction(incarnation)

    def apply_departure(self, incarnation: Incarnation, source: str) -> bool:
        """Record that an upstream announced its departure; return whether that is new."""
        if not self.listing.record_departure(incarnation, self.clock.now()):
            return False
        self.tally.count("announcements_total", "leaving")
        self.journal.write(
            "LISTING", "says that it leaves", upstream=incarnation.id, born=incarnation.born, source=source
        )
        self.on_restriction(incarnation)
        return True

    def list_unstored(self) -> list[Incarnation]:
        """Return the departing incarnations that the store does not list as departing yet, oldest first."""
        return self.listing.departures.list_unstored()

    def record_send(self, upstream: Upstream) -> dict[str, object]:
        """Count a request sent to an upstream despite its announcements; return the fields to log."""
        fields: dict[str, object] = {}
        if self.listing.is_leaving(upstream):
            fields["leaving"] = True
            self.tally.count("sent_in_spite_total", "leaving")
        if self.limits.get_rate(upstream.incarnation) is not None:
            self.tally.count("limited_sends_total")
        now = self.clock.now()
        end = self.backoffs.get_end(upstream.incarnation, now)
        if end is not None:
            fields["rest_left"] = round(end - now, 3)
            self.tally.count("sent_in_spite_total", "rest")
        return fields

    def describe_limit(self, incarnation: Incarnation) -> dict[str, float]:
        """Return the upstream's limit as log fields; empty if it has none."""
        rate = self.limits.get_rate(incarnation)
        return {} if rate is None else {"limit": rate}

    def drop_unlisted(self, listed: Collection[UpstreamId]) -> None:
        """Drop the announcements of upstreams that are not in ``listed``."""
        self.backoffs.keep_only(listed)
        self.limits.remove_unlisted(listed)
        self.limits.remove_expired(self.clock.now())
        self._limit_logged_at = {
            incarnation: at for incarnation, at in self._limit_logged_at.items() if incarnation.id in listed
        }


class AnnouncementSink(ResponseSink):
    """Sink that applies the announcements of a response and ignores the rest."""

    def __init__(self, announcements: Announcements, upstream: Upstream) -> None:
        self._announcements = announcements
        self._upstream = upstream
        self._sent_at = announcements.clock.now()
        self._timer: Any = None

    def limit_time(self, http: HttpExchange, seconds: float) -> None:
        """Close the connection of the call unless the response ends within some seconds."""
        self._timer = self._announcements.clock.call_later(seconds, http.cancel)

    def handle_head(self, head: ResponseHead) -> None:
        """Apply the announcements."""
        self._announcements.handle_head(self._upstream, head, self._sent_at)

    def handle_data(self, data: bytes) -> None:
        """Do nothing."""

    def handle_end(self) -> None:
        """Stop the timer."""
        self._stop_timer()

    def handle_failure(self, failure: CallFailure, detail: str) -> None:
        """Stop the timer."""
        self._stop_timer()

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
