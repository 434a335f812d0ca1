"""One request's task: it feeds the request aggregate with what happens, and does what the aggregate says.

Follow a request here: ``begin`` takes it in, each ``_do_…`` method carries out one effect, and each ``take_…`` method
brings in what an upstream sent.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any, TypeVar

from twisted.internet import defer
from twisted.python.failure import Failure

from beamhatch.decide.effect import (
    CancelRun,
    ChooseDecode,
    ChooseFirst,
    FinishRequest,
    ReleasePlacement,
    ResumeDecode,
    StartDecode,
    StartPrefill,
    StartServiceCall,
    WriteRecord,
)
from beamhatch.decide.fact import (
    CallerDisconnected,
    DeadlineExceeded,
    DecodeChosen,
    DecodeStarted,
    FirstChosen,
    PrefillCompleted,
    RecordGranted,
    RecordSettled,
    RequestAborted,
    RequestRejected,
    RequestValidated,
    ResponseCompleted,
    Stage,
    UpstreamFailed,
    UpstreamRefused,
)
from beamhatch.decide.idempotency import StoredResponse
from beamhatch.decide.outcome import Answered, Outcome, Reason, name_outcome
from beamhatch.decide.policy.api import ResourceNeed
from beamhatch.decide.request import Request, RequestState, RequestTerms
from beamhatch.edge.upstream.api import AnswerSink, AnswerStream, Break, Export, Refusal, Rejection, Sent, Whole
from beamhatch.edge.upstream.frames import DONE
from beamhatch.task.sent import SentFrames

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from beamhatch.decide.call import Call
    from beamhatch.decide.effect import RequestEffect
    from beamhatch.decide.fact import RequestEvent
    from beamhatch.edge.caller.api import CallerAnswer
    from beamhatch.observe.trace import Span
    from beamhatch.task.router import Router

T = TypeVar("T")

_STREAM = (("Content-Type", "text/event-stream"),)


class Exchange(AnswerSink):
    """One caller's request on its way through this VM."""

    def __init__(self, router: Router, call: Call, answer: CallerAnswer) -> None:
        self.call = call
        self.serving = router.find_serving(call)
        self.policy = self.serving.policy
        self.last_frame_at = 0.0
        self.frames = 0
        self._router = router
        self._answer = answer
        terms = RequestTerms(call.request, call.service, call.streamed, call.repeatable, keyed=call.key is not None)
        self.request = Request(terms)
        self._facts: deque[RequestEvent] = deque()
        self._feeding = False
        self._export: Export | None = None
        self._stream: AnswerStream | None = None
        self._waiting: defer.Deferred[None] | None = None
        self._offset = 0
        self._first_frame_at: float | None = None
        self._stage_began = 0.0
        self._sent = SentFrames(router.settings.limits.stream_bytes)
        self._sent_before: Sent | None = None
        self._kept: StoredResponse | None = None
        self._whole: Whole | Rejection | None = None
        self._slow_since: float | None = None
        self.trace, self._root = router.tracer.begin(call.request, call.traceparent)
        self._span: Span | None = None

    def begin(self) -> None:
        """Take the request in."""
        call = self.call
        self._root.attributes.update(workspace=call.workspace, target=call.target)
        call.traceparent = self._root.to_header()
        self._answer.watch(self._lose_caller, self._pause, self._go_on)
        self.feed(RequestValidated())

    def feed(self, fact: RequestEvent) -> None:
        """Bring in a fact and carry out what follows, one after the other."""
        self._facts.append(fact)
        if self._feeding:
            return
        self._router.guard.check()
        if self._router.letting_go and isinstance(fact, FirstChosen | DecodeChosen):
            self._facts.clear()
            return
        self._feeding = True
        try:
            while self._facts:
                for effect in self.request.handle(self._facts.popleft()):
                    _DOERS[type(effect)](self, effect)
        except Exception:  # whatever it is, this request's state can't be trusted any more
            self._router.stop_on_broken_invariant(Failure())
        finally:
            self._feeding = False

    def check_times(self, now: float) -> None:
        """Notice a passed deadline, a stalled transfer, a silent stream, and a caller that no longer reads."""
        timing = self._router.settings.timing
        if self.call.deadline is not None and now >= self.call.deadline:
            self.feed(DeadlineExceeded())
        elif self._slow_since is not None and now - self._slow_since > timing.stall_limit:
            self.feed(CallerDisconnected())
        elif self.request.state is RequestState.TRANSFERRING and now - self._stage_began > timing.first_frame_limit:
            self._drop_stream()
            self._break(Stage.DECODE, "the transfer stalled")
        elif self.request.state is RequestState.DECODING and self._slow_since is None:
            silent_since = max(self.last_frame_at, self._stage_began)
            if self.call.streamed and now - silent_since > timing.frame_limit:
                self._drop_stream()
                self._break(Stage.DECODE, "the stream fell silent")

    # --- effects --------------------------------------------------------------------------------------------------

    def _do_ask_record(self, _: WriteRecord) -> None:
        self._start_span("record")
        self._wait(self._router.records.claim(self.call), self._take_claim)

    def _take_claim(self, claim: StoredResponse | Outcome | None) -> None:
        if claim is None:
            self.feed(RecordGranted())
        elif isinstance(claim, StoredResponse):
            self._kept = claim
            self.feed(RecordSettled(Answered(claim.status)))
        else:
            self.feed(RecordSettled(claim))

    def _do_ask_placement(self, effect: ChooseFirst) -> None:
        self._start_span("queue")
        call = self.call
        need = ResourceNeed(
            request=call.request,
            workspace=call.workspace,
            prompt_tokens=call.prompt_tokens,
            output_tokens=0 if call.service else call.output_tokens,
            arrival_time=call.arrival_time,
            priority=call.priority,
            first_token_target=call.first_token_target,
            token_interval_target=call.token_interval_target,
            deadline=call.deadline,
            drop_if_late=call.drop_if_late,
            weight=self._router.pools.find_weight(call.workspace),
            blocks=call.blocks,
            exclude=effect.exclude,
            labels=call.labels,
            policy=self.policy,
        )
        self._router.pools.ask_start(call, need, self.serving.compared_policies)

    def _do_ask_landing(self, effect: ChooseDecode) -> None:
        self._start_span("reserve")
        self._router.pools.ask_landing(self.call, effect.exclude)

    def _do_free_placement(self, _: ReleasePlacement) -> None:
        self._router.pools.free(self.call)

    def _do_start_prefill(self, effect: StartPrefill) -> None:
        self._start_span("prefill", upstream=effect.upstream)
        self._sent_before = self._read_sent() if effect.continues_output else None
        self._router.guard_runs(effect.run, effect.upstream)
        engine = self._router.pools.find_engine(effect.upstream)
        if engine is None:
            self._refuse(Stage.PREFILL, Refusal("the engine is gone"))
            return
        behind = self._sent_before.text if self._sent_before else None
        limit = self._router.settings.timing.prefill_limit
        self._wait(engine.prefill(self.call, effect.run, behind, limit), self._take_prefill)

    def _take_prefill(self, result: Export | Rejection | Refusal | Break) -> None:
        if not isinstance(result, Export):
            self.take_stage_fault(Stage.PREFILL, result)
            return
        if not self._router.guard.check():
            return
        self._export = result
        self._router.metrics.prefilled.inc(result.tokens)
        if self.request.first is not None:
            self._router.pools.note_success(self.call, self.request.first)
        self.feed(PrefillCompleted())

    def _do_start_decode(self, effect: StartDecode) -> None:
        self._start_span("transfer", upstream=effect.upstream)
        self._router.guard_runs(effect.run, effect.upstream)
        self._stage_began = self._router.clock.now()
        self._offset = 0
        engine = self._router.pools.find_engine(effect.upstream)
        if engine is None or self._export is None:
            self._refuse(Stage.DECODE, Refusal("the engine is gone"))
            return
        self._stream = engine.decode(self.call, effect.run, self._export, self._sent_before, self)

    def _do_resume_decode(self, effect: ResumeDecode) -> None:
        self._router.metrics.resumes.inc()
        self._start_span("resume", upstream=effect.upstream, offset=self._offset)
        self._stage_began = self._router.clock.now()
        self._drop_stream()
        engine = self._router.pools.find_engine(effect.upstream)
        if engine is None:
            self._break(Stage.DECODE, "the engine is gone")
            return
        self._stream = engine.resume(self.call, effect.run, self._offset, self)

    def _do_start_call(self, effect: StartServiceCall) -> None:
        self._start_span("service", upstream=effect.upstream)
        service = self._router.pools.find_service(effect.upstream)
        if service is None:
            self._refuse(Stage.SERVICE, Refusal("the service is gone"))
            return
        limit = self._router.settings.timing.service_limit
        self._wait(service.ask(self.call, effect.run, limit), self._take_service)

    def _take_service(self, result: Whole | Refusal | Break) -> None:
        if not isinstance(result, Whole):
            self.take_stage_fault(Stage.SERVICE, result)
            return
        if self.request.first is not None:
            self._router.pools.note_success(self.call, self.request.first)
        self.take_whole(result)

    def _do_cancel_run(self, effect: CancelRun) -> None:
        if not self.call.service:
            self._router.canceller.cancel(effect.run, effect.upstream)

    def _do_finish(self, effect: FinishRequest) -> None:
        outcome = effect.outcome
        self._drop_stream()
        if self._waiting is not None:
            self._waiting.cancel()
        # a VM that is lost right after its answer would else leave a key whose repeats are told that nobody knows
        self._close_record(outcome).addCallback(lambda _: self._end(outcome))

    def _end(self, outcome: Outcome) -> None:
        self._tell_caller(outcome)
        self._count(outcome)
        self._root.attributes.update(outcome=name_outcome(outcome))
        self._router.tracer.finish(self.trace)
        self._router.forget(self)

    # --- what the upstream sends -----------------------------------------------------------------------------------

    def take_head(self) -> None:
        """Note the first sign that the decode engine has begun."""
        self._take_first_frame()

    def take_frames(self, data: bytes, last_offset: int) -> None:
        """Pass frames on to the caller."""
        guard = self._router.guard
        if not guard.check():
            return
        self.last_frame_at = guard.last
        self._offset = last_offset
        if self._first_frame_at is None or self.request.state is RequestState.TRANSFERRING:
            self._take_first_frame()
        if self.request.state is not RequestState.DECODING:
            return
        self.frames += 1
        self._sent.add(data)
        self._answer.write(data)

    def take_whole(self, whole: Whole) -> None:
        """Pass a whole answer on to the caller."""
        if not self._router.guard.check():
            return
        if self.request.state is RequestState.TRANSFERRING:
            self._take_first_frame()
        self._whole = whole
        self.feed(ResponseCompleted(whole.status))

    def take_end(self) -> None:
        """Note that the stream is whole."""
        self.feed(ResponseCompleted())

    def take_fault(self, fault: Rejection | Refusal | Break) -> None:
        """Bring in a fault of the decode engine."""
        self.take_stage_fault(Stage.DECODE, fault)

    def count_dropped(self, frames: int) -> None:
        """Count frames that were late or foreign."""
        self._router.metrics.frames_dropped.inc(frames)

    def take_stage_fault(self, stage: Stage, fault: Rejection | Refusal | Break) -> None:
        """Bring in a fault of any stage."""
        if isinstance(fault, Rejection):
            self._whole = fault
            self.feed(RequestRejected(stage, fault.status))
        elif isinstance(fault, Refusal):
            self._refuse(stage, fault)
        else:
            self._break(stage, fault.detail)

    def _refuse(self, stage: Stage, refusal: Refusal) -> None:
        if self.request.state is RequestState.DECODING:
            self._break(stage, refusal.detail)
            return
        self._note_failure(stage)
        allowed = self._router.pools.spend_retry(self.call)
        self.feed(UpstreamRefused(stage, refusal.detail, allowed, refusal.retry_after, refusal.export_lost))

    def _break(self, stage: Stage, detail: str) -> None:
        if self.request.state is RequestState.DECODING and self._close_finished_text():
            return
        self._note_failure(stage)
        allowed = self._router.pools.spend_retry(self.call) and self._can_go_on()
        self.feed(UpstreamFailed(stage, detail, allowed))

    def _take_first_frame(self) -> None:
        if self._first_frame_at is None:
            self._first_frame_at = self._router.clock.now()
            self._router.metrics.first_token.labels(self.policy).observe(self._first_frame_at - self.call.arrival_time)
            if self.call.streamed:
                self._answer.begin_stream()
        if self.request.state is RequestState.TRANSFERRING:
            self._router.pools.note_landed(self.call)
            self._start_span("decode")
            self.feed(DecodeStarted())

    # --- going on after a break ------------------------------------------------------------------------------------

    def _can_go_on(self) -> bool:
        """Tell whether what the caller has can be continued by another engine."""
        if self.frames == 0:
            return True
        return self.call.streamed and self._sent.read() is not None

    def _read_sent(self) -> Sent | None:
        if self.frames == 0:
            return None
        reading = self._sent.read()
        return reading.sent if reading else None

    def _close_finished_text(self) -> bool:
        """End a stream of which only the closing frame is missing; return whether that was so."""
        if not self.call.streamed or self.frames == 0:
            return False
        reading = self._sent.read()
        wants_usage = (self.call.fields.get("stream_options") or {}).get("include_usage")
        if reading is None or not reading.finished or (wants_usage and not reading.has_usage):
            return False
        self._sent.add(DONE)
        self._answer.write(DONE)
        self.feed(ResponseCompleted())
        return True

    def _note_failure(self, stage: Stage) -> None:
        upstream = self.request.decode if stage is Stage.DECODE else self.request.first
        if upstream is not None:
            self._router.pools.note_failure(self.call, upstream)

    # --- the caller ------------------------------------------------------------------------------------------------

    def _lose_caller(self) -> None:
        self.feed(CallerDisconnected())

    def _pause(self) -> None:
        if self._slow_since is None:
            self._slow_since = self._router.clock.now()
        if self._stream is not None:
            self._stream.pause()

    def _go_on(self) -> None:
        self._slow_since = None
        if self._stream is not None:
            self._stream.go_on()

    def cut(self, reason: Reason) -> None:
        """Let go of the request now."""
        self.feed(RequestAborted(reason))

    def _tell_caller(self, outcome: Outcome) -> None:
        if not isinstance(outcome, Answered):
            self._answer.fail(outcome)
        elif self._kept is not None:
            self._answer.send_whole(self._kept.status, self._kept.headers, self._kept.body or b"")
        elif isinstance(self._whole, Whole):
            self._answer.send_whole(self._whole.status, self._whole.headers, self._whole.body)
        elif isinstance(self._whole, Rejection):
            headers = (("Content-Type", self._whole.content_type),)
            self._answer.send_whole(self._whole.status, headers, self._whole.body)
        else:
            self._answer.end_stream()

    def _close_record(self, outcome: Outcome) -> defer.Deferred[None]:
        """Settle the key; return what fires once the caller may be told."""
        records = self._router.records
        if self.call.key is None or self._kept is not None:
            return defer.succeed(None)
        if isinstance(outcome, Answered) and isinstance(self._whole, Whole):
            return records.keep(self.call, outcome, self._whole.headers, self._whole.body)
        if isinstance(outcome, Answered) and self._whole is None:
            body = self._sent.join() if self._sent.complete else None
            return records.keep(self.call, outcome, _STREAM, body)
        if isinstance(self._whole, Rejection):
            records.drop(self.call)
        else:
            records.close(self.call, outcome)
        return defer.succeed(None)

    def _count(self, outcome: Outcome) -> None:
        self._router.count(self, outcome, self._first_frame_at)

    # --- small parts -----------------------------------------------------------------------------------------------

    def _wait(self, work: Coroutine[Any, Any, T], take: Callable[[T], None]) -> None:
        """Run work whose result is brought in, unless the request has ended by then."""

        def finish(result: T) -> None:
            self._waiting = None
            if self.request.state is not RequestState.ENDED:
                take(result)

        waiting: defer.Deferred[Any] = defer.ensureDeferred(work)
        self._waiting = waiting
        waiting.addCallback(finish)
        waiting.addErrback(self._take_error)

    def _take_error(self, failure: Failure) -> None:
        if not failure.check(defer.CancelledError):
            self._router.stop_on_broken_invariant(failure)

    def _start_span(self, name: str, **attributes: str | int | float) -> None:
        self._router.tracer.end(self._span)
        self._span = self._router.tracer.start(self.trace, name, **attributes)

    def _drop_stream(self) -> None:
        if self._stream is not None:
            self._stream.abandon()
            self._stream = None


_DOERS: dict[type[RequestEffect], Callable[..., None]] = {
    WriteRecord: Exchange._do_ask_record,
    ChooseFirst: Exchange._do_ask_placement,
    ChooseDecode: Exchange._do_ask_landing,
    ReleasePlacement: Exchange._do_free_placement,
    StartPrefill: Exchange._do_start_prefill,
    StartDecode: Exchange._do_start_decode,
    ResumeDecode: Exchange._do_resume_decode,
    StartServiceCall: Exchange._do_start_call,
    CancelRun: Exchange._do_cancel_run,
    FinishRequest: Exchange._do_finish,
}
