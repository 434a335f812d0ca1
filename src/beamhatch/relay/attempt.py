"""One send of a request to one upstream, and what is made of the answer."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING, Any

from beamhatch.relay.answer import PROMISES, WholeAnswer
from beamhatch.relay.events import EventChecker, StreamError
from beamhatch.relay.http_client import AnswerSink, Fault
from beamhatch.relay.model import Handle, Reservation, Stage

if TYPE_CHECKING:
    from beamhatch.relay.api import AnswerFacts
    from beamhatch.relay.exchange import RelayExchange
    from beamhatch.relay.http_client import Call, Exchange, Head
    from beamhatch.relay.request import Reserve, Send

MOST_HELD_BYTES = 1024 * 1024
"""Bytes of an answer that are held until it is whole; a longer one is passed on as it comes."""

MISDIRECTED = 421
HANDLE_BODY_BYTES = 64 * 1024

PLAIN_PATIENCE = 0.25
PLAIN_PATIENCE_FACTOR = 4.0
PREFILL_PATIENCE = 0.6
PREFILL_PATIENCE_FACTOR = 4.0
LONGEST_PREFILL = 3.0
"""Seconds for which a prompt waits at an engine that reads others meanwhile."""

FIRST_EVENT_PATIENCE = 1.2
WHOLE_PATIENCE = 2.5
GAP_PATIENCE = 1.0
"""Seconds without a sign after which an upstream is taken to be silent."""

RESERVE_PATIENCE = 0.12
"""Seconds: the answer takes milliseconds, and a new request has a quarter of its target to be refused in."""
LAPSE_PAUSE = 3.0
"""Seconds for which an engine whose handles lapsed is passed over."""


class DropSink(AnswerSink):
    """Takes no notice of an answer."""

    def take_head(self, head: Head) -> None:
        """Take no notice."""

    def take_data(self, data: bytes) -> None:
        """Take no notice."""

    def take_end(self) -> None:
        """Take no notice."""

    def take_fault(self, fault: Fault, detail: str) -> None:
        """Take no notice."""


class Attempt(AnswerSink):
    """One send; it ends by telling the exchange what to do next."""

    def __init__(self, exchange: RelayExchange, send: Send) -> None:
        self.exchange = exchange
        self.send = send
        self.core = exchange.core
        self.request = exchange.request
        self.standing = self.core.standings.get(send.upstream.id)
        self.head: Head | None = None
        self.facts: AnswerFacts | None = None
        self.body = bytearray()
        self._http: Exchange | None = None
        self._sent = False
        self._ended = False
        self._timer: Any = None
        self._started_at = self.core.clock.now()
        need = self.request.need
        self._tokens = need.prompt_tokens if send.stage is Stage.PREFILL else need.tokens

    def start(self, call: Call, most_idle: float) -> None:
        """Send the request."""
        self.standing.begin(self._tokens)
        self._wait(self.get_patience())
        http = self.core.client.open(self.send.upstream.address, call, self, most_idle=most_idle)
        if not self._ended:
            self._http = http

    def cancel(self) -> None:
        """Close the connection; the upstream ends its work."""
        if self._ended:
            return
        self._end()
        if self._http is not None:
            self._http.cancel()

    def pause(self) -> None:
        """Stop reading."""
        self._stop_timer()
        if self._http is not None:
            self._http.pause()

    def go_on(self) -> None:
        """Read again."""
        if self._http is not None and not self._ended:
            self._http.go_on()
            self._wait(self.get_patience())

    # --- what comes back ---------------------------------------------------------------------------------------------

    def note_sent(self) -> None:
        """Enter the send where it counts."""
        self._sent = True
        self.request.note_sent(self.send, self.core.find_budget(self.request.service.name), self.core.clock.now())

    def is_own(self, head: Head) -> bool:
        """Tell whether an answer is to this request."""
        facts = self.core.dialect.read_answer(head.status, head.headers)
        own = facts.request is None or facts.request == self.request.facts.id
        if not own:
            self.core.tally.count("foreign_answers_total")
            self.exchange.write_log("foreign answer dropped", to=self.send.upstream.id, of=facts.request)
        return own

    def take_head(self, head: Head) -> None:
        """Take the head of the answer."""
        self.head = head
        self.facts = self.core.dialect.read_answer(head.status, head.headers)
        now = self.core.clock.now()
        self.standing.note_alive(now)
        if self.facts.load is not None:
            self.standing.note_load(self.facts.load, now)

    def take_fault(self, fault: Fault, detail: str) -> None:
        """Go on elsewhere, as far as that is allowed."""
        if self._ended:
            return
        self._end()
        now = self.core.clock.now()
        if fault is Fault.UNREACHED:
            self.standing.note_silence(now)
        else:
            self.standing.note_fault(now)
        self.core.on_fault()
        self.exchange.write_log(
            "send failed",
            to=self.send.upstream.id,
            fault=fault.value,
            detail=detail,
            sent=self._sent,
            stage=self.send.stage.value,
        )
        self.core.tally.count("send_faults_total", fault.value)
        if self._sent:
            self.request.note_broken(self.send)
        else:
            self.request.note_unreached(self.send)
        self.exchange.go_on_elsewhere(self)

    def take_not_run(self) -> None:
        """Go on elsewhere behind an upstream that turned the request away."""
        self._end()
        now = self.core.clock.now()
        assert self.head is not None
        if self.head.status == MISDIRECTED:
            self.standing.note_misdirected(now)
            self.core.client.close_idle(self.send.upstream.address)
        else:
            self.standing.note_busy(now)
        self.exchange.write_log(
            "turned away",
            to=self.send.upstream.id,
            status=self.head.status,
            stage=self.send.stage.value,
            detail=bytes(self.body[:120]).decode("latin-1"),
        )
        self.core.tally.count("turned_away_total", str(self.head.status))
        self.request.note_not_run(self.send)
        self.note_turned_away(now)
        self.exchange.go_on_elsewhere(self)

    def note_turned_away(self, now: float) -> None:
        """Take in what a refusal says beside that nothing ran."""

    def has_not_run(self) -> bool:
        """Tell whether the answer proves that the request has not run."""
        assert self.head is not None
        assert self.facts is not None
        return self.facts.not_run or self.head.status == MISDIRECTED

    def succeed(self) -> None:
        """Enter that the work was done."""
        self._end()
        now = self.core.clock.now()
        self.standing.note_success(now - self._started_at, now)
        self.core.tally.note_latency("send", self.send.stage.value, now - self._started_at)

    def fail(self, detail: str) -> None:
        """Take the answer as broken, and close the connection."""
        if self._http is not None:
            self._http.cancel()
        self.take_fault(Fault.MALFORMED, detail)

    # --- silence -----------------------------------------------------------------------------------------------------

    @abstractmethod
    def get_patience(self) -> float:
        """Return the seconds without a sign after which the upstream is taken to be silent."""

    @abstractmethod
    def may_abandon(self) -> bool:
        """Tell whether the request may go elsewhere although this upstream may be at work on it."""

    def _run_out(self) -> None:
        self._timer = None
        now = self.core.clock.now()
        if self.standing.succeeded_at > self._started_at:
            self.standing.note_fault(now)
        else:
            self.standing.note_silence(now)
            self.core.on_fault()
        abandoned = self.may_abandon()
        self.exchange.write_log(
            "silent",
            to=self.send.upstream.id,
            stage=self.send.stage.value,
            abandoned=abandoned,
            seconds=round(now - self._started_at, 3),
        )
        self.core.tally.count("silences_total", self.send.stage.value)
        if not abandoned:
            if self.send.stage is Stage.PREFILL:
                self._wait(self.get_patience())
            return
        self.cancel()
        if self._sent:
            self.request.note_broken(self.send)
        else:
            self.request.note_unreached(self.send)
        self.exchange.go_on_elsewhere(self)

    def _wait(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self.core.clock.call_later(seconds, self._run_out)

    def _stop_timer(self) -> None:
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _end(self) -> None:
        if not self._ended:
            self._ended = True
            self._stop_timer()
            self.standing.end(self._tokens)
            if self._sent and self.send.stage is not Stage.PREFILL and self.request.split:
                self.core.note_freed(self.request.service.name)


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
        self._timer: Any = self.core.clock.call_later(RESERVE_PATIENCE, self._run_out)

    def start(self, call: Call) -> None:
        """Ask."""
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

    def take_head(self, head: Head) -> None:
        """Take the head of the answer."""
        self._head = head

    def take_data(self, data: bytes) -> None:
        """Take a part of the answer."""
        self._body += data[:HANDLE_BODY_BYTES]

    def take_end(self) -> None:
        """Tell the request what was set aside."""
        assert self._head is not None
        if self._ended:
            return
        self._end()
        now = self.core.clock.now()
        upstream = self._step.upstream
        standing = self.core.standings.get(upstream.id)
        standing.note_alive(now)
        found = self.core.dialect.read_reservation(bytes(self._body)) if self._head.status == 200 else None
        self.core.tally.count("reservations_total", str(self._head.status))
        if found is not None:
            self._exchange.leave_line()
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
        self.core.standings.get(upstream.id).note_silence(self.core.clock.now())
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


class PrefillAttempt(Attempt):
    """Has an engine read the prompt and hold its KV cache."""

    def take_data(self, data: bytes) -> None:
        """Take a part of the answer."""
        self.body += data
        if len(self.body) > HANDLE_BODY_BYTES:
            self.fail("the answer to a prefill is too long")

    def take_end(self) -> None:
        """Go on to a decode engine."""
        assert self.head is not None
        if self.has_not_run():
            self.take_not_run()
            return
        handle = self.core.dialect.read_handle(bytes(self.body)) if self.head.status == 200 else None
        if handle is None:
            self.take_fault(Fault.MALFORMED, f"status {self.head.status} to a prefill")
            return
        self.succeed()
        self.request.note_prefilled(Handle(handle, self.send.upstream, self.core.clock.now()))
        self.exchange.go_on_elsewhere(self)

    def get_patience(self) -> float:
        """Return the patience: some times what this engine takes at present."""
        return max(PREFILL_PATIENCE, PREFILL_PATIENCE_FACTOR * self.standing.latency)

    def may_abandon(self) -> bool:
        """Tell whether a prefill, which runs nothing, may go elsewhere: not where the engine just has much to read."""
        alive = self.standing.succeeded_at > self._started_at
        waited = self.core.clock.now() - self._started_at
        return not alive or waited > LONGEST_PREFILL


class PlainAttempt(Attempt):
    """Has a plain service answer the whole request; the answer is held until it is whole."""

    def take_data(self, data: bytes) -> None:
        """Take a part of the answer."""
        self.body += data
        if len(self.body) > MOST_HELD_BYTES:
            self.fail("the answer is too long")

    def take_end(self) -> None:
        """Pass the answer on, or go on elsewhere."""
        assert self.head is not None
        assert self.facts is not None
        status = self.head.status
        if self.has_not_run():
            self.take_not_run()
            return
        answer = WholeAnswer(self.head, bytes(self.body))
        if 200 <= status < 300 and (not self.facts.signed or self.facts.encoded):
            self.take_fault(Fault.MALFORMED, "the answer does not bear the upstream's signature")
        elif status >= 500 or status in PROMISES:
            self.exchange.keep_failure(answer)
            self.take_fault(Fault.MALFORMED, f"the upstream failed with {status}")
        else:
            self.succeed()
            self.exchange.pass_on(answer)

    def get_patience(self) -> float:
        """Return the patience: some times what this upstream takes at present."""
        return max(PLAIN_PATIENCE, PLAIN_PATIENCE_FACTOR * self.standing.latency)

    def may_abandon(self) -> bool:
        """Tell whether the request may run again."""
        return not self._sent or self.request.may_run_again


class StreamAttempt(Attempt):
    """Has an engine answer by a stream of events, which are passed on as they come."""

    def __init__(self, exchange: RelayExchange, send: Send) -> None:
        super().__init__(exchange, send)
        self._events = EventChecker(self.request.last_event)

    def take_head(self, head: Head) -> None:
        """Take the head; a stream's is passed on with its first event."""
        super().take_head(head)
        if self._streams and self.send.handle is not None:
            self.request.note_handle_spent()

    def take_data(self, data: bytes) -> None:
        """Pass whole events on."""
        if not self._streams:
            self.body += data
            return
        try:
            events = self._events.feed(data)
        except StreamError as problem:
            self.fail(str(problem))
            return
        if events.data:
            self._pass_on(events.data, events.last)

    def take_end(self) -> None:
        """End the answer, or go on elsewhere."""
        if self.has_not_run():
            self.take_not_run()
        elif not self._streams:
            self._take_failure()
        elif not self._events.is_whole or not self.exchange.request.begun:
            self.take_fault(Fault.BROKEN, "the stream ended inside an event")
        else:
            self.succeed()
            seconds = self.core.clock.now() - self._started_at
            self.core.find_demand(self.request.service.name).note_stream(seconds)
            self.exchange.end_answer()

    def note_turned_away(self, now: float) -> None:
        """Take in that an engine could not have the KV cache."""
        if self.send.handle is not None and self.request.landings_failed:
            holder = self.core.standings.get(self.send.handle.upstream.id)
            holder.lapsed_until = now + LAPSE_PAUSE

    def get_patience(self) -> float:
        """Return the patience with an engine that has to read the prompt, or has it."""
        if self.request.begun:
            return GAP_PATIENCE
        return WHOLE_PATIENCE if self.send.stage is Stage.WHOLE else FIRST_EVENT_PATIENCE

    def may_abandon(self) -> bool:
        """Tell whether the stream may be taken up elsewhere."""
        return not self._sent or self.request.may_run_again

    @property
    def _streams(self) -> bool:
        assert self.head is not None
        assert self.facts is not None
        return self.head.status == 200 and self.facts.signed and not self.facts.encoded

    def _pass_on(self, data: bytes, last: int | None) -> None:
        assert self.head is not None
        if not self.request.begun:
            self.exchange.begin_answer(self.head)
        self.request.note_event(last)
        self.exchange.pass_events(data)
        self._wait(GAP_PATIENCE)

    def _take_failure(self) -> None:
        assert self.head is not None
        status = self.head.status
        if 300 <= status < 500:
            self.succeed()
            self.exchange.pass_on(WholeAnswer(self.head, bytes(self.body)))
            return
        if status >= 500:
            self.exchange.keep_failure(WholeAnswer(self.head, bytes(self.body)))
        self.take_fault(Fault.MALFORMED, f"the upstream failed with {status}")
