"""Ask a decode engine to set memory aside."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from beamhatch.relay.model import Reservation
from beamhatch.relay.upstreams.announcements import MISDIRECTED
from beamhatch.relay.upstreams.http_client import AnswerSink, Fault

if TYPE_CHECKING:
    from beamhatch.relay.choosing.rests import Trial
    from beamhatch.relay.model import Upstream
    from beamhatch.relay.requests.exchange import RelayExchange
    from beamhatch.relay.requests.request import Reserve
    from beamhatch.relay.upstreams.http_client import Call, Exchange, Head

MOST_BODY_BYTES = 64 * 1024
"""Bytes of an answer about memory at the most; it has less than a hundred."""

GRANTED = 200
"""The status of an engine that has set memory aside."""

PATIENCE = 0.12
"""Seconds: the answer takes milliseconds, and a new request has a quarter of its target to be refused in."""


class ReserveAttempt(AnswerSink):
    """Asks a decode engine to set memory aside; it runs nothing, and counts as no send."""

    def __init__(self, exchange: RelayExchange, step: Reserve) -> None:
        self.core = exchange.core
        self._exchange = exchange
        self._step = step
        self._head: Head | None = None
        self._body = bytearray()
        self._http: Exchange | None = None
        self._ended = False
        self.sent = False
        """True once the call was written, or begun to be."""
        self._started_at = self.core.clock.now()
        self._trial: Trial | None = None
        """Tells whether the engine is back behind a rest."""
        self._timer: Any = self.core.clock.call_later(PATIENCE, self._run_out)

    @property
    def upstream(self) -> Upstream:
        """Return who is asked."""
        return self._step.upstream

    def start(self, call: Call) -> None:
        """Ask."""
        now = self.core.clock.now()
        self.core.stats.get(self._step.upstream.id).tried_at = now
        self._trial = self.core.eligibility.rests.begin(self._step.upstream.incarnation, now)
        http = self.core.client.open(self._step.upstream.address, call, self)
        if not self._ended:
            self._http = http

    def cancel(self) -> None:
        """Ask no longer; what was set aside meanwhile lapses."""
        if not self._ended:
            self._end()
            if self._http is not None:
                self._http.cancel()

    def pause(self) -> None:
        """Read on: there is nothing to hold up."""

    def go_on(self) -> None:
        """Read on."""

    def note_sent(self) -> None:
        """Note where memory is asked for in spite of what the engine said."""
        self.sent = True
        told = self.core.announcements.note_sent(self._step.upstream)
        if told:
            self._exchange.write_log("asked in spite of its word", to=self._step.upstream.id, **told)

    def take_head(self, head: Head) -> None:
        """Take the head of the answer."""
        self._head = head
        self.core.announcements.read(self._step.upstream, head, self._started_at)

    def take_data(self, data: bytes) -> None:
        """Take a part of the answer."""
        self._body += data[:MOST_BODY_BYTES]

    def take_end(self) -> None:
        """Tell the request what was set aside."""
        assert self._head is not None
        if self._ended:
            return
        self._end()
        now = self.core.clock.now()
        upstream = self._step.upstream
        standing = self.core.stats.get(upstream.id)
        standing.note_alive(now)
        found = self.core.dialect.read_reservation(bytes(self._body)) if self._head.status == GRANTED else None
        self.core.tally.count("reservations_total", str(self._head.status))
        if found is not None:
            self._exchange.leave_line()
            self._exchange.note_memory()
            self._exchange.request.note_reserved(Reservation(found, upstream, now + self._step.lifetime))
        elif self._head.status == MISDIRECTED:
            standing.note_misdirected(now)
            self._exchange.request.note_no_reservation(upstream.id)
        else:
            self._exchange.request.note_full(upstream.id)
        self._exchange.write_log("reserved" if found else "not reserved", to=upstream.id, status=self._head.status)
        self._exchange.go_on_elsewhere(self)

    def take_fault(self, fault: Fault, detail: str) -> None:
        """Go on elsewhere."""
        if self._ended:
            return
        self._end()
        upstream = self._step.upstream
        self.core.stats.get(upstream.id).note_silence(self.core.clock.now())
        self._exchange.request.note_no_reservation(upstream.id)
        self._exchange.write_log("not reserved", to=upstream.id, fault=fault.value, detail=detail)
        self._exchange.go_on_elsewhere(self)

    def _run_out(self) -> None:
        if self._http is not None:
            self._http.cancel()
        self.take_fault(Fault.UNREACHED, "no answer in time")

    def _end(self) -> None:
        self._ended = True
        if self._timer.active():
            self._timer.cancel()
        if self._trial is not None:
            answered = self._head is not None and self._head.status == GRANTED
            self._trial.end(self.core.clock.now(), answered=answered)
