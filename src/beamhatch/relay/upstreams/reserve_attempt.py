"""Attempt to reserve memory at a decode engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from beamhatch.relay.model import Reservation
from beamhatch.relay.requests.release import release_reservation
from beamhatch.relay.upstreams.announcements import MISDIRECTED
from beamhatch.relay.upstreams.call import CallFailure, ResponseSink

if TYPE_CHECKING:
    from beamhatch.relay.choosing.rests import BackoffProbe
    from beamhatch.relay.model import Upstream
    from beamhatch.relay.requests.request import Reserve
    from beamhatch.relay.tunnels.api import Via
    from beamhatch.relay.upstreams.api import AttemptOwner
    from beamhatch.relay.upstreams.call import Call, ResponseHead
    from beamhatch.relay.upstreams.connection import HttpExchange

GRANTED = 200
"""HTTP status of a granted reservation."""

TIMEOUT_S = 0.12
"""Time after which another engine is asked too; short, as engines usually respond within milliseconds."""

HASTY_TIMEOUT_S = 0.03
"""The same after several engines did not respond, so that a sound one is found in time among many silent ones."""


class ReserveAttempt(ResponseSink):
    """Attempt to reserve memory at a decode engine; it runs nothing and does not count as a send."""

    def __init__(self, exchange: AttemptOwner, step: Reserve) -> None:
        self.core = exchange.core
        self._exchange = exchange
        self._step = step
        self._head: ResponseHead | None = None
        self._body = bytearray()
        self._http: HttpExchange | None = None
        self._ended = False
        self.sent = False
        """True once any part of the call was written."""
        self._started_at = self.core.clock.now()
        self._probe: BackoffProbe | None = None
        """Probe of the engine after its back-off, if this attempt is one."""
        timeout_s = HASTY_TIMEOUT_S if exchange.request.obstacles.asks_in_haste else TIMEOUT_S
        self._timer: Any = self.core.clock.call_later(timeout_s, self._handle_timeout)

    @property
    def upstream(self) -> Upstream:
        """The engine that is asked for memory."""
        return self._step.upstream

    def start(self, call: Call) -> None:
        """Send the call."""
        now = self.core.clock.now()
        self.core.stats.get(self._step.upstream.id).sent_at = now
        self._probe = self.core.eligibility.backoffs.begin_request(self._step.upstream.incarnation, now)
        http = self.core.client.open(self._step.upstream.address, call, self)
        if not self._ended:
            self._http = http

    def cancel(self) -> None:
        """Stop waiting for the response; memory that it grants is released."""
        if not self._ended:
            self._end()
            self._abandon()

    def _abandon(self) -> None:
        """Leave the call to a receiver of late responses, or cancel it if nothing was sent."""
        http, self._http = self._http, None
        if http is None:
            return
        if self.sent:
            http.sink = LateReservation(self._exchange, self._step, http, self._head, self._body, self._started_at)
        else:
            http.cancel()

    def pause(self) -> None:
        """Do nothing: the response is not forwarded to the caller."""

    def resume(self) -> None:
        """Do nothing."""

    def handle_sent(self, via: Via | None) -> None:
        """Record the send, and log it if it goes against the engine's announcements."""
        self.sent = True
        fields = self.core.announcements.record_send(self._step.upstream)
        if fields:
            self._exchange.write_log("asked in spite of its word", to=self._step.upstream.id, **fields)

    def handle_head(self, head: ResponseHead) -> None:
        """Apply the announcements in the head of the response."""
        self._head = head
        self.core.announcements.handle_head(self._step.upstream, head, self._started_at)

    def handle_data(self, data: bytes) -> None:
        """Buffer body data."""
        self._body += data

    def handle_end(self) -> None:
        """Record the result, and let the exchange go on."""
        assert self._head is not None
        if self._ended:
            return
        self._end()
        now = self.core.clock.now()
        upstream = self._step.upstream
        stats = self.core.stats.get(upstream.id)
        stats.record_response(now)
        found = self.core.dialect.read_reservation(bytes(self._body)) if self._head.status == GRANTED else None
        self.core.tally.count("reservations_total", str(self._head.status))
        if found is not None:
            self._exchange.handle_reserved(Reservation(found, upstream, now + self._step.lifetime_s))
        elif self._head.status == MISDIRECTED:
            stats.record_misdirected(now)
            self._exchange.request.obstacles.record_reserve_failed(upstream.id)
        elif self.core.eligibility.is_in_regions(upstream, self._exchange.request.regions):
            self._exchange.request.obstacles.record_full(upstream.id)
        self._exchange.write_log("reserved" if found else "not reserved", to=upstream.id, status=self._head.status)
        self._exchange.replan_after(self)

    def handle_failure(self, failure: CallFailure, detail: str) -> None:
        """Record the failure, and let the exchange try another upstream."""
        if self._ended:
            return
        self._end()
        upstream = self._step.upstream
        self.core.stats.get(upstream.id).record_no_response(self.core.clock.now())
        self._exchange.request.obstacles.record_reserve_failed(upstream.id)
        self._exchange.write_log("not reserved", to=upstream.id, fault=failure.value, detail=detail)
        self._exchange.replan_after(self)

    def _handle_timeout(self) -> None:
        self._abandon()
        self._end()
        upstream = self._step.upstream
        self.core.stats.get(upstream.id).record_no_response(self.core.clock.now())
        self._exchange.request.obstacles.record_reserve_unanswered(upstream.id)
        self._exchange.write_log("not reserved", to=upstream.id, detail="no answer in time")
        self._exchange.replan_after(self)

    def _end(self) -> None:
        self._ended = True
        if self._timer.active():
            self._timer.cancel()
        if self._probe is not None:
            answered = self._head is not None and self._head.status == GRANTED
            self._probe.end(self.core.clock.now(), answered=answered)


class LateReservation(ResponseSink):
    """Receiver of a late response to a reservation; memory that the request does not need any more is released."""

    def __init__(
        self,
        exchange: AttemptOwner,
        step: Reserve,
        http: HttpExchange,
        head: ResponseHead | None,
        body: bytearray,
        asked_at: float,
    ) -> None:
        """Begin to wait for the rest of the response, until memory granted now would have expired.

        :param head: the head of the response if it has arrived
        :param body: what has arrived of the body
        :param asked_at: monotonic time in seconds of the call
        """
        core = exchange.core
        self._exchange = exchange
        self._core = core
        self._step = step
        self._head = head
        self._body = body
        self._asked_at = asked_at
        self._timer: Any = core.clock.call_later(step.lifetime_s, http.cancel)

    def handle_head(self, head: ResponseHead) -> None:
        """Apply the announcements in the head of the response."""
        self._head = head
        self._core.announcements.handle_head(self._step.upstream, head, self._asked_at)

    def handle_data(self, data: bytes) -> None:
        """Buffer body data."""
        self._body += data

    def handle_end(self) -> None:
        """Offer the memory that was granted to the request, and release it if the request does not need it."""
        self._timer.cancel()
        assert self._head is not None
        now = self._core.clock.now()
        upstream = self._step.upstream
        self._core.stats.get(upstream.id).record_late_response(now)
        found = self._core.dialect.read_reservation(bytes(self._body)) if self._head.status == GRANTED else None
        if found is None:
            self._exchange.handle_late_rejection(upstream)
            return
        reservation = Reservation(found, upstream, now + self._step.lifetime_s)
        if self._exchange.accept_late_reservation(reservation):
            self._core.tally.count("reservations_used_late_total")
            return
        self._core.tally.count("reservations_released_late_total")
        release_reservation(self._core, reservation, self._exchange.write_log)

    def handle_failure(self, failure: CallFailure, detail: str) -> None:
        """Let the request go on without this engine; memory that was granted expires there."""
        self._timer.cancel()
        self._exchange.handle_late_failure(self._step.upstream)
