"""Base of all attempts to send a request to an upstream: accounting, failures and timeouts."""

from __future__ import annotations

import math
from abc import abstractmethod
from typing import TYPE_CHECKING, Any

from beamhatch.relay.model import Stage
from beamhatch.relay.quarantine.detection import EndVerdict
from beamhatch.relay.requests.request import Setback
from beamhatch.relay.upstreams.announcements import MISDIRECTED
from beamhatch.relay.upstreams.call import CallFailure, ResponseSink

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.api import ResponseFacts
    from beamhatch.relay.choosing.eligibility import SendPermit
    from beamhatch.relay.choosing.pace import PrefillEstimator
    from beamhatch.relay.choosing.rests import BackoffProbe
    from beamhatch.relay.model import Upstream
    from beamhatch.relay.requests.request import Send
    from beamhatch.relay.tunnels.api import Via
    from beamhatch.relay.upstreams.api import AttemptOwner
    from beamhatch.relay.upstreams.call import Call, ResponseHead
    from beamhatch.relay.upstreams.connection import HttpExchange


REJECTION_BODY_TIME_S = 1.0
"""Time from the head to the end of a response whose head proves that the request has not run."""

ERROR_BODY_TIME_S = 3.0
"""The same for other responses that are no success; longer than sound upstreams are silent."""


class Attempt(ResponseSink):
    """Attempt to send a request to one upstream; at its end, the exchange takes the next step."""

    def __init__(self, exchange: AttemptOwner, send: Send) -> None:
        self.exchange = exchange
        self.send = send
        self.core = exchange.core
        self.request = exchange.request
        self.stats = self.core.stats.get(send.upstream.id)
        self.head: ResponseHead | None = None
        self.facts: ResponseFacts | None = None
        self.body = bytearray()
        self.permit: SendPermit | None = None
        """Permit to send to an upstream that is cold or has a limit, held until the request is sent."""
        self._probe: BackoffProbe | None = None
        """Probe of an upstream after its back-off, if this attempt is one."""
        self._http: HttpExchange | None = None
        self._sent = False
        self._via: Via | None = None
        """Peer that the request was sent through; None if it was sent directly."""
        self._ended = False
        self._crash_reported = False
        self._timer: Any = None
        self._body_timer: Any = None
        """Timer until the end of a response that is not a success; None without such a response."""
        self._is_paused = False
        """Whether the response is not read as the caller reads too slowly."""
        self._silence_recorded_at = -math.inf
        """Monotonic time in seconds at which a timeout was recorded last."""
        self._started_at = self.core.clock.now()
        self._responded_at: float | None = None
        """Monotonic time in seconds at which a successful response began."""
        need = self.request.need
        self._tokens = need.prompt_tokens if send.stage is Stage.PREFILL else need.total_tokens
        self._pending_prefill_tokens = 0
        """Prompt tokens that the engine has still to process."""
        self._tokens_ahead = 0
        """Tokens of other prompts pending at the engine, as known when the attempt started."""

    @property
    def sent(self) -> bool:
        """Whether any part of the request was written."""
        return self._sent

    def start(self, call: Call, max_idle_s: float) -> None:
        """Send the request on a connection idle for at most ``max_idle_s``."""
        now = self.core.clock.now()
        self.stats.record_start(self._tokens, now)
        self._probe = self.core.eligibility.backoffs.begin_request(self.send.upstream.incarnation, now)
        if self._needs_prefill:
            self._start_prefill()
        may_pass = self.core.make_hall_filter(self.request.regions)
        http = self.core.client.open(
            self.send.upstream.address,
            call,
            self,
            max_idle_s=max_idle_s,
            may_pass=may_pass,
            correlation=self.exchange.correlation,
        )
        if not self._sent and not self._ended:
            self._restart_timer(self.get_timeout())
        if not self._ended:
            self._http = http

    @property
    def upstream(self) -> Upstream:
        """The upstream that the request is sent to."""
        return self.send.upstream

    @property
    def _needs_prefill(self) -> bool:
        """Whether the upstream has to process the prompt."""
        return self.request.split and self.send.stage in (Stage.PREFILL, Stage.WHOLE)

    def _start_prefill(self) -> None:
        upstream = self.send.upstream.id
        self._tokens_ahead = self.stats.pending_prefill_tokens + self.core.peer_backlog.count_tokens(
            upstream, self.core.clock.now()
        )
        self._pending_prefill_tokens = self.request.need.prompt_tokens
        self.stats.pending_prefill_tokens += self._pending_prefill_tokens
        self.core.on_backlog_change()

    def _end_prefill(self) -> None:
        if self._pending_prefill_tokens:
            self.stats.pending_prefill_tokens -= self._pending_prefill_tokens
            self._pending_prefill_tokens = 0
            self.core.on_backlog_change()

    def _record_prefill(self, estimator: PrefillEstimator) -> None:
        """Add a sample to the estimator, unless other prompts were pending before this one."""
        if not self._tokens_ahead:
            estimator.record_own(self.request.need.prompt_tokens, self.core.clock.now() - self._started_at)

    def cancel(self) -> None:
        """Close the connection, which cancels the upstream's work."""
        if self._ended:
            return
        self._end()
        if self._http is not None:
            self._http.cancel()

    def pause(self) -> None:
        """Stop reading the response, and stop the timeout."""
        self._is_paused = True
        self._stop_timer()
        self._stop_body_timer()
        if self._http is not None:
            self._http.pause()

    def resume(self) -> None:
        """Resume reading the response, and restart the timeout."""
        self._is_paused = False
        if self._http is not None and not self._ended:
            self._http.resume()
            self._restart_timer(self.get_timeout())
            self._limit_body_time()

    def release_held(self) -> None:
        """Continue with what was held back of the response."""

    def is_upstream_active(self) -> bool:
        """Return whether a stream of this VM goes on at the upstream."""
        return self.stats.is_active(self.core.clock.now())

    def wait_again(self, seconds: float) -> None:
        """Wait for the response of a silent upstream, and time out again after some seconds."""
        self._restart_timer(seconds)

    # --- response ----------------------------------------------------------------------------------------------------

    def handle_sent(self, via: Via | None) -> None:
        """Record that the request is being sent, and give the upstream its whole time to respond."""
        self._sent = True
        self.exchange.handle_request_sent(self)
        self._restart_timer(self.get_timeout())
        self._via = via
        if via is not None:
            self.exchange.write_log("sent by way of a peer", to=self.send.upstream.id, proxy=str(via))
        now = self.core.clock.now()
        fields = self.core.announcements.record_send(self.send.upstream)
        if fields:
            planned = round(now - self._started_at, 3)
            self.exchange.write_log("sent in spite of its word", to=self.send.upstream.id, planned=planned, **fields)
        self.request.record_sent(self.send, self.core.get_retry_budget(self.request.service.name), now)
        if self.permit is not None:
            self.permit.use(now)
        else:
            cold = self.core.get_cold_terms(self.request.service.name)
            self.core.eligibility.record_send(self.send.upstream, cold, now)

    def matches(self, head: ResponseHead) -> bool:
        """Return whether a response is to this request."""
        facts = self.core.dialect.read_response(head.status, head.headers)
        own = facts.request_id is None or facts.request_id == self.request.facts.id
        if not own:
            self.core.tally.count("foreign_answers_total")
            self.exchange.write_log("foreign answer dropped", to=self.send.upstream.id, of=facts.request_id)
        return own

    def handle_head(self, head: ResponseHead) -> None:
        """Apply the head of the response."""
        self.head = head
        self.facts = self.core.announcements.handle_head(self.send.upstream, head, self._started_at, is_request=True)
        now = self.core.clock.now()
        self.stats.record_response(now)
        if self.facts.load is not None:
            self.stats.record_load(self.facts.load, now)
        if self._probe is not None:
            self._probe.end(now, answered=not self.has_not_run())
        self._limit_body_time()

    def handle_data(self, data: bytes) -> None:
        """Buffer body data, which the connection bounds."""
        self.body += data

    def is_success(self) -> bool:
        """Return whether the response has the status of a success."""
        return self.head is not None and self.head.status < 300

    def _limit_body_time(self) -> None:
        """Close the connection soon unless the response ends, if it is not a success."""
        self._stop_body_timer()
        if self.head is not None and not self.is_success():
            seconds = REJECTION_BODY_TIME_S if self.has_not_run() else ERROR_BODY_TIME_S
            self._body_timer = self.core.clock.call_later(seconds, self._handle_body_timeout)

    def _handle_body_timeout(self) -> None:
        self._body_timer = None
        if self._http is not None:
            self._http.cancel()
        self.handle_failure(CallFailure.EXCESSIVE, "the response did not end in time")

    def _stop_body_timer(self) -> None:
        timer, self._body_timer = self._body_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def handle_failure(self, failure: CallFailure, detail: str) -> None:
        """Record the failure, and let the exchange try another upstream."""
        if self._ended:
            return
        if failure is CallFailure.EXCESSIVE and self.head is not None and self.has_not_run():
            self._handle_excessive_rejection(detail)
            return
        self._end()
        now = self.core.clock.now()
        if failure is CallFailure.UNREACHED:
            self.stats.record_no_response(now)
        else:
            self.stats.record_failure(now)
        self.core.on_failure()
        self.request.last_setback = Setback.FAILURE
        self.exchange.write_log(
            "send failed",
            to=self.send.upstream.id,
            fault=failure.value,
            detail=detail,
            sent=self._sent,
            stage=self.send.stage.value,
            begun=self.head is not None,
            ran=round(now - self._started_at, 4),
            **self.exchange.digests.describe(),
        )
        self.core.tally.count("send_faults_total", failure.value)
        may_be_crash = failure is CallFailure.BROKEN and self._sent and not self._crash_reported
        if may_be_crash and self.send.stage is not Stage.PREFILL:
            self._report_broken_run(now - self._started_at)
        if self._sent:
            self.request.record_failed(self.send)
        else:
            self.request.record_unreachable(self.send)
        self.exchange.replan_after(self)

    def _handle_excessive_rejection(self, detail: str) -> None:
        """Handle a response whose head proves that the request has not run, though its body is not complete."""
        self.stats.record_failure(self.core.clock.now())
        self.core.tally.count("send_faults_total", CallFailure.EXCESSIVE.value)
        self.exchange.write_log("rejection cut off", to=self.send.upstream.id, detail=detail)
        self.handle_end()

    def _report_broken_run(self, ran: float) -> None:
        """Report a run that may have ended with a crash of the upstream."""
        begun = self.head is not None
        self.core.tally.count("broken_runs_total", "begun" if begun else "unanswered")
        self.core.quarantine_gossip.record_broken_run(
            self.send.upstream, self.exchange.digests, ran, answering=begun, via=self._via
        )

    def handle_not_run(self) -> None:
        """Record that the upstream rejected the request, and let the exchange try another."""
        self._end()
        now = self.core.clock.now()
        assert self.head is not None
        if self.head.status == MISDIRECTED:
            self.stats.record_misdirected(now)
            self.core.client.close_idle(self.send.upstream.address)
        else:
            self.stats.record_busy(now)
        self.request.last_setback = Setback.REJECTION
        self.exchange.write_log(
            "turned away",
            to=self.send.upstream.id,
            status=self.head.status,
            stage=self.send.stage.value,
            names_request=self._names_request,
            first_on_connection=self.head.is_first,
            repeated_on_connection=self.head.is_repeated_call,
            detail=bytes(self.body[:120]).decode("latin-1"),
        )
        self.core.tally.count("turned_away_total", str(self.head.status))
        if self.head.is_repeated_call:
            self.core.tally.count("turned_away_on_used_connections_total", str(self.head.status))
        if self.head.status != MISDIRECTED:
            self.core.record_rejection(self.send.upstream.id)
        self.request.record_not_run(self.send)
        self.handle_rejection(now)
        self.exchange.replan_after(self)

    def handle_rejection(self, now: float) -> None:
        """Handle a rejection beyond recording that the request has not run."""

    @property
    def _names_request(self) -> bool:
        """Whether the response carries the id of the request."""
        return self.facts is not None and self.facts.request_id == self.request.facts.id

    def has_not_run(self) -> bool:
        """Return whether the response proves that the request has not run.

        On a connection that has carried another response, one without an id may belong to another request.
        """
        assert self.head is not None
        assert self.facts is not None
        is_refusal = self.facts.not_run or self.head.status == MISDIRECTED
        return is_refusal and (self._names_request or self.head.is_first)

    def conclude(self, deliver: Callable[[], None]) -> None:
        """Record the success of the attempt, and deliver the response.

        If only the close of the connection marks the end of the response, a crash of the upstream may have truncated
        it. This is determined first, unless the connection went through a peer, which may have failed itself.
        """
        assert self.head is not None
        if not self.head.ends_with_connection:
            self.succeed()
            deliver()
            return
        if self._via is not None:
            self._end_successfully()
            deliver()
            return
        self._stop_timer()
        self.core.quarantine_gossip.check_end(
            self.upstream,
            self.exchange.digests,
            self.core.clock.now() - self._started_at,
            None if self._http is None else self._http.connection,
            lambda verdict: self._handle_verdict(verdict, deliver),
        )

    def _handle_verdict(self, verdict: EndVerdict, deliver: Callable[[], None]) -> None:
        """Handle what is known about the end of a response.

        :param deliver: delivers the response
        """
        if verdict is EndVerdict.COMPLETE:
            self._record_good_end()
        if self._ended:
            return
        if verdict is EndVerdict.UNKNOWN and not self.core.is_leaving(self.upstream):
            self.core.client.probe(self.upstream.address, lambda accepted: self._handle_probe(deliver, accepted))
        elif verdict is EndVerdict.CRASHED:
            self._crash_reported = True
            self.handle_failure(CallFailure.BROKEN, "the upstream crashed as the response ended with its connection")
        else:
            self._end_successfully()
            deliver()

    def _handle_probe(self, deliver: Callable[[], None], accepted: bool) -> None:
        """Handle whether the upstream accepts connections, where no other one shows whether it crashed."""
        # One that leaves ends after its last response.
        is_complete = accepted or self.core.is_leaving(self.upstream)
        self._handle_verdict(EndVerdict.COMPLETE if is_complete else EndVerdict.CRASHED, deliver)

    def succeed(self) -> None:
        """Record the success of the attempt."""
        self._end_successfully()
        if self.send.stage is not Stage.PREFILL:
            self._record_good_end()

    def _end_successfully(self) -> None:
        self._end()
        now = self.core.clock.now()
        self.stats.record_success(now - self._started_at, now)
        self.core.tally.note_latency("send", self.send.stage.value, now - self._started_at)

    def _record_good_end(self) -> None:
        """Record that neither the request nor the parts of its prompt crashed the upstream."""
        self.core.quarantine_gossip.record_success(self.exchange.digests.request)
        self._record_parts_success()

    def _record_parts_success(self) -> None:
        """Record that the parts of the prompt do not crash the upstream, if it responded to them."""
        if self._responded_at is not None:
            gossip = self.core.quarantine_gossip
            gossip.record_parts_success(self.send.upstream, self.exchange.digests, self._responded_at)

    def fail(self, detail: str) -> None:
        """Treat the response as malformed, and close the connection."""
        if self._http is not None:
            self._http.cancel()
        self.handle_failure(CallFailure.MALFORMED, detail)

    # --- timeouts ----------------------------------------------------------------------------------------------------

    @abstractmethod
    def get_timeout(self) -> float:
        """Return the seconds without data after which the upstream is considered unresponsive."""

    @abstractmethod
    def may_abandon(self) -> bool:
        """Return whether the request may be sent to another upstream although this one may still run it."""

    def _handle_timeout(self) -> None:
        self._timer = None
        seeks_another = self.may_abandon()
        self._record_silence(seeks_another=seeks_another)
        if self._sent and self.send.stage is not Stage.PREFILL:
            if seeks_another:
                self.exchange.seek_alternative(self)
        elif seeks_another:
            self._abandon()
        else:
            self._restart_timer(self.get_timeout())

    def _record_silence(self, *, seeks_another: bool) -> None:
        """Record a timeout, unless one was recorded a moment before."""
        now = self.core.clock.now()
        if now - self._silence_recorded_at < self.get_timeout():
            return
        self._silence_recorded_at = now
        if self.stats.responded_at > self._started_at:
            self.stats.record_failure(now)
        else:
            self.stats.record_no_response(now)
            self.core.on_failure()
        self.request.last_setback = Setback.SILENCE
        self.exchange.write_log(
            "silent",
            to=self.send.upstream.id,
            stage=self.send.stage.value,
            seeks_another=seeks_another,
            seconds=round(now - self._started_at, 3),
            **self.core.describe_unresponsive(self.request.service.name),
        )
        self.core.tally.count("silences_total", self.send.stage.value)

    def record_response_after_silence(self) -> None:
        """Record that a silent upstream responds, if it is one."""
        if self._silence_recorded_at == -math.inf:
            return
        self._silence_recorded_at = -math.inf
        self.stats.record_late_response(self.core.clock.now())
        self.core.tally.count("silences_ended_total", "responded")
        self.exchange.write_log("responds again", to=self.send.upstream.id)

    def _abandon(self) -> None:
        """Close the connection, and let the exchange try another upstream."""
        self.cancel()
        if self._sent:
            self.request.record_failed(self.send)
        else:
            self.request.record_unreachable(self.send)
        self.exchange.replan_after(self)

    def _restart_timer(self, seconds: float) -> None:
        self._stop_timer()
        if not self._is_paused:
            self._timer = self.core.clock.call_later(seconds, self._handle_timeout)

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
            if self._probe is not None:
                self._probe.end(now, answered=False)
            self._stop_timer()
            self._stop_body_timer()
            self._end_prefill()
            self.stats.record_end(self._tokens)
            if self._sent and self.send.stage is not Stage.PREFILL and self.request.split:
                self.core.memory_queues.record_freed(self.request.service.name, self.send.upstream.hall)
