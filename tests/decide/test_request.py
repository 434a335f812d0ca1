"""The request state machine under arbitrary interleavings of events."""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from beamhatch.decide.effect import (
    CancelRun,
    ChooseDecode,
    ChooseFirst,
    FinishRequest,
    ResumeDecode,
    StartDecode,
    StartPrefill,
    StartServiceCall,
)
from beamhatch.decide.fact import (
    CallerDisconnected,
    DeadlineExceeded,
    DecodeChosen,
    DecodeStarted,
    FirstChosen,
    PlacementFailed,
    PrefillCompleted,
    RecordGranted,
    RecordSettled,
    RequestAborted,
    RequestValidated,
    ResponseCompleted,
    Stage,
    UpstreamFailed,
    UpstreamRefused,
)
from beamhatch.decide.outcome import Answered, NotRun, Reason, Unknown
from beamhatch.decide.request import Request, RequestState, RequestTerms
from beamhatch.ids import RequestId, UpstreamName


class RequestMachine(RuleBasedStateMachine):
    """Feeds events in any order, and records the runs that upstreams were asked to start and cancel."""

    def __init__(self) -> None:
        super().__init__()
        self.request: Request | None = None
        self.started: list[Any] = []
        self.proved_idle: set[str] = set()
        self.held: set[str] = set()
        self.finishes: list[Any] = []

    @precondition(lambda self: self.request is None)
    @rule(service=st.booleans(), repeatable=st.booleans(), keyed=st.booleans(), streamed=st.booleans())
    def begin(self, service: bool, repeatable: bool, keyed: bool, streamed: bool) -> None:
        self.request = Request(RequestTerms(RequestId("r"), service, streamed, repeatable, keyed))
        self.feed(RequestValidated())

    @precondition(lambda self: self.request is not None)
    @rule(
        fact=st.one_of(
            st.just(RecordGranted()),
            st.just(RecordSettled(Unknown(Reason.KEY_IN_USE))),
            st.sampled_from([FirstChosen(UpstreamName("p1")), FirstChosen(UpstreamName("p2"))]),
            st.sampled_from([DecodeChosen(UpstreamName("d1")), DecodeChosen(UpstreamName("d2"))]),
            st.just(PlacementFailed(Reason.OVERLOADED)),
            st.just(PrefillCompleted()),
            st.just(DecodeStarted()),
            st.just(CallerDisconnected()),
            st.just(DeadlineExceeded()),
            st.just(RequestAborted(Reason.SUPERSEDED)),
        )
    )
    def fact(self, fact: Any) -> None:
        self.feed(fact)

    @precondition(lambda self: self.request is not None)
    @rule(stage=st.sampled_from(Stage), retry=st.booleans(), lost=st.booleans())
    def refuse(self, stage: Stage, retry: bool, lost: bool) -> None:
        """The upstream of a stage under way refuses with proof."""
        run = self.find_current(stage)
        if run is not None:
            self.proved_idle.add(run)
            self.held.discard(run)
            self.feed(UpstreamRefused(stage, "no", retry, export_lost=lost and stage is Stage.DECODE))

    @precondition(lambda self: self.request is not None)
    @rule(stage=st.sampled_from(Stage), retry=st.booleans())
    def lose(self, stage: Stage, retry: bool) -> None:
        if self.find_current(stage) is not None:
            self.feed(UpstreamFailed(stage, "lost", retry))

    @precondition(lambda self: self.request is not None)
    @rule()
    def end(self) -> None:
        if self.request is not None and self.request.state in (RequestState.DECODING, RequestState.SERVING):
            self.held.discard(self.started[-1].run)
            self.feed(ResponseCompleted())

    def find_current(self, stage: Stage) -> str | None:
        assert self.request is not None
        states = {
            Stage.PREFILL: (RequestState.PREFILLING,),
            Stage.DECODE: (RequestState.TRANSFERRING, RequestState.DECODING),
            Stage.SERVICE: (RequestState.SERVING,),
        }
        return self.started[-1].run if self.started and self.request.state in states[stage] else None

    def feed(self, fact: Any) -> None:
        assert self.request is not None
        for effect in self.request.handle(fact):
            if isinstance(effect, StartPrefill | StartDecode | StartServiceCall):
                if not isinstance(effect, StartServiceCall):
                    assert effect.continues_output == self.request.response_started, "afresh behind sent text"
                self.started.append(effect)
                self.held.add(effect.run)
            elif isinstance(effect, CancelRun):
                assert effect.run in self.held, "cancelled what was not started"
                self.held.discard(effect.run)
            elif isinstance(effect, FinishRequest):
                self.finishes.append(effect.outcome)
            else:
                assert not self.finishes, f"{effect} after the end"

    @invariant()
    def it_is_answered_once(self) -> None:
        assert len(self.finishes) <= 1
        assert bool(self.finishes) == (self.request is not None and self.request.state is RequestState.ENDED)

    @invariant()
    def nothing_is_held_after_the_end(self) -> None:
        if self.finishes:
            running = self.held
            assert not running or (isinstance(self.finishes[0], Answered) and self.request.terms.service)  # type: ignore[union-attr]

    @invariant()
    def not_run_is_true(self) -> None:
        if self.finishes and isinstance(self.finishes[0], NotRun):
            assert all(effect.run in self.proved_idle for effect in self.started)

    @invariant()
    def a_non_repeatable_stage_is_sent_again_only_after_a_proved_refusal(self) -> None:
        if self.request is None or self.request.terms.repeatable:
            return
        for kind in (StartPrefill, StartServiceCall):
            runs = [effect.run for effect in self.started if isinstance(effect, kind)]
            assert all(run in self.proved_idle for run in runs[:-1])


TestRequest = RequestMachine.TestCase


def test_effects_of_a_streamed_request() -> None:
    request = Request(RequestTerms(RequestId("r"), streamed=True, keyed=True))
    steps: list[tuple[Any, type[Any]]] = [
        (RecordGranted(), ChooseFirst),
        (FirstChosen(UpstreamName("p")), StartPrefill),
        (PrefillCompleted(), ChooseDecode),
        (DecodeChosen(UpstreamName("d")), StartDecode),
        (DecodeStarted(), CancelRun),
        (UpstreamFailed(Stage.DECODE, "reset", True), ResumeDecode),
    ]
    request.handle(RequestValidated())
    for fact, expected in steps:
        assert isinstance(request.handle(fact)[0], expected)
    assert request.handle(ResponseCompleted())[-1] == FinishRequest(Answered(200))
