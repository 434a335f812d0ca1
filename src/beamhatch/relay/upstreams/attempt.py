"""What all sends to an upstream have in common: what is entered, what a fault leads to, how long to wait for a sign."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING, Any

from beamhatch.relay.model import Stage
from beamhatch.relay.upstreams.announcements import MISDIRECTED
from beamhatch.relay.upstreams.http_client import AnswerSink, Fault

if TYPE_CHECKING:
    from beamhatch.relay.api import ResponseFacts
    from beamhatch.relay.choosing.eligibility import SendPermit
    from beamhatch.relay.choosing.pace import ReadingPace
    from beamhatch.relay.choosing.rests import Trial
    from beamhatch.relay.model import Upstream
    from beamhatch.relay.requests.exchange import RelayExchange
    from beamhatch.relay.requests.request import Send
    from beamhatch.relay.upstreams.http_client import Call, Exchange, Head


class Attempt(AnswerSink):
    """One send; it ends by telling the exchange what to do next."""

    def __init__(self, exchange: RelayExchange, send: Send) -> None:
        self.exchange = exchange
        self.send = send
        self.core = exchange.core
        self.request = exchange.request
        self.standing = self.core.stats.get(send.upstream.id)
        self.head: Head | None = None
        self.facts: ResponseFacts | None = None
        self.body = bytearray()
        self.permit: SendPermit | None = None
        """Room at an upstream that is cold or names a limit, held until the request goes out."""
        self._trial: Trial | None = None
        """Tells whether the upstream is back behind a rest."""
        self._http: Exchange | None = None
        self._sent = False
        self._ended = False
        self._timer: Any = None
        self._started_at = self.core.clock.now()
        need = self.request.need
        self._tokens = need.prompt_tokens if send.stage is Stage.PREFILL else need.tokens
        self._unread = 0
        """Tokens of the prompt that the engine has still to read."""
        self._tokens_ahead = 0
        """Tokens of other prompts that it had to read first, as far as they were known at the start."""

    @property
    def sent(self) -> bool:
        """Tell whether the request was written, or begun to be."""
        return self._sent

    def start(self, call: Call, most_idle: float) -> None:
        """Send the request."""
        now = self.core.clock.now()
        self.standing.begin(self._tokens, now)
        self._trial = self.core.eligibility.rests.begin(self.send.upstream.incarnation, now)
        if self._reads:
            self._begin_reading()
        self._wait(self.get_patience())
        http = self.core.client.open(self.send.upstream.address, call, self, most_idle=most_idle)
        if not self._ended:
            self._http = http

    @property
    def upstream(self) -> Upstream:
        """Return whom it is sent to."""
        return self.send.upstream

    @property
    def _reads(self) -> bool:
        """Tell whether the upstream has to read the prompt."""
        return self.request.split and self.send.stage in (Stage.PREFILL, Stage.WHOLE)

    def _begin_reading(self) -> None:
        upstream = self.send.upstream.id
        self._tokens_ahead = self.standing.reading + self.core.peer_backlog.count_tokens(
            upstream, self.core.clock.now()
        )
        self._unread = self.request.need.prompt_tokens
        self.standing.reading += self._unread
        self.core.on_backlog_change()

    def _end_reading(self) -> None:
        if self._unread:
            self.standing.reading -= self._unread
            self._unread = 0
            self.core.on_backlog_change()

    def _note_reading(self, pace: ReadingPace) -> None:
        """Learn from a prompt that was read, unless it had to wait for others."""
        if not self._tokens_ahead:
            pace.note(self.request.need.prompt_tokens, self.core.clock.now() - self._started_at)

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
        now = self.core.clock.now()
        told = self.core.announcements.note_sent(self.send.upstream)
        if told:
            planned = round(now - self._started_at, 3)
            self.exchange.write_log("sent in spite of its word", to=self.send.upstream.id, planned=planned, **told)
        self.request.note_sent(self.send, self.core.get_retry_budget(self.request.service.name), now)
        if self.permit is not None:
            self.permit.use(now)
        else:
            self.core.eligibility.note_send(self.send.upstream, self.request.service.cold, now)

    def is_own(self, head: Head) -> bool:
        """Tell whether an answer is to this request."""
        facts = self.core.dialect.read_response(head.status, head.headers)
        own = facts.request_id is None or facts.request_id == self.request.facts.id
        if not own:
            self.core.tally.count("foreign_answers_total")
            self.exchange.write_log("foreign answer dropped", to=self.send.upstream.id, of=facts.request_id)
        return own

    def take_head(self, head: Head) -> None:
        """Take the head of the answer."""
        self.head = head
        self.facts = self.core.announcements.read(self.send.upstream, head, self._started_at, of_request=True)
        now = self.core.clock.now()
        self.standing.note_alive(now)
        if self.facts.load is not None:
            self.standing.note_load(self.facts.load, now)
        if self._trial is not None:
            self._trial.end(now, answered=not self.has_not_run())

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
        self.core.on_failure()
        self.exchange.write_log(
            "send failed",
            to=self.send.upstream.id,
            fault=fault.value,
            detail=detail,
            sent=self._sent,
            stage=self.send.stage.value,
            begun=self.head is not None,
            ran=round(now - self._started_at, 4),
            fingerprint=self.exchange.fingerprint.hex(),
        )
        self.core.tally.count("send_faults_total", fault.value)
        if fault is Fault.BROKEN and self._sent and self.send.stage is not Stage.PREFILL:
            self._report_broken_run(now - self._started_at)
        if self._sent:
            self.request.note_broken(self.send)
        else:
            self.request.note_unreached(self.send)
        self.exchange.go_on_elsewhere(self)

    def _report_broken_run(self, ran: float) -> None:
        """Tell of a run whose upstream may have ended; a prompt that is only read runs nothing."""
        begun = self.head is not None
        self.core.tally.count("broken_runs_total", "begun" if begun else "unanswered")
        self.core.quarantine_gossip.note_broken(self.send.upstream, self.exchange.fingerprint, ran, begun=begun)

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
        if self.head.status != MISDIRECTED:
            self.core.record_rejection(self.send.upstream.id)
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
        if self.send.stage is not Stage.PREFILL:
            self.core.quarantine_gossip.note_good(self.exchange.fingerprint)
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
            self.core.on_failure()
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
            now = self.core.clock.now()
            if self.permit is not None:
                self.permit.drop(now)
            if self._trial is not None:
                self._trial.end(now, answered=False)
            self._stop_timer()
            self._end_reading()
            self.standing.end(self._tokens)
            if self._sent and self.send.stage is not Stage.PREFILL and self.request.split:
                self.core.memory_queues.note_freed(self.request.service.name, self.send.upstream.hall)
