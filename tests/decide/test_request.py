"""The request aggregate under every interleaving of facts."""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from beamhatch.decide.effect import (
    AskLanding,
    AskPlacement,
    CancelRun,
    Finish,
    ResumeDecode,
    StartCall,
    StartDecode,
    StartPrefill,
)
from beamhatch.decide.fact import (
    Begin,
    Broke,
    CallerGone,
    Cut,
    DeadlinePassed,
    Ended,
    FirstFrame,
    Landed,
    Placed,
    PlacementRefused,
    PrefillEnded,
    RecordGranted,
    RecordSettled,
    Refused,
    Stage,
)
from beamhatch.decide.outcome import Answered, NotRun, Reason, Unknown
from beamhatch.decide.request import Request, State, Terms
from beamhatch.ids import RequestId, UpstreamName


class RequestMachine(RuleBasedStateMachine):
    """Feeds facts in any order, and keeps a naive record of what the upstreams were told."""

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
        self.request = Request(Terms(RequestId("r"), service, streamed, repeatable, keyed))
        self.feed(Begin())

    @precondition(lambda self: self.request is not None)
    @rule(
        fact=st.one_of(
            st.just(RecordGranted()),
            st.just(RecordSettled(Unknown(Reason.KEY_IN_USE))),
            st.sampled_from([Placed(UpstreamName("p1")), Placed(UpstreamName("p2"))]),
            st.sampled_from([Landed(UpstreamName("d1")), Landed(UpstreamName("d2"))]),
            st.just(PlacementRefused(Reason.OVERLOADED)),
            st.just(PrefillEnded()),
            st.just(FirstFrame()),
            st.just(CallerGone()),
            st.just(DeadlinePassed()),
            st.just(Cut(Reason.SUPERSEDED)),
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
            self.feed(Refused(stage, "no", retry, export_lost=lost and stage is Stage.DECODE))

    @precondition(lambda self: self.request is not None)
    @rule(stage=st.sampled_from(Stage), retry=st.booleans())
    def lose(self, stage: Stage, retry: bool) -> None:
        if self.find_current(stage) is not None:
            self.feed(Broke(stage, "lost", retry))

    @precondition(lambda self: self.request is not None)
    @rule()
    def end(self) -> None:
        if self.request is not None and self.request.state in (State.DECODING, State.SERVING):
            self.held.discard(self.started[-1].run)
            self.feed(Ended())

    def find_current(self, stage: Stage) -> str | None:
        assert self.request is not None
        states = {
            Stage.PREFILL: (State.PREFILLING,),
            Stage.DECODE: (State.TRANSFERRING, State.DECODING),
            Stage.SERVICE: (State.SERVING,),
        }
        return self.started[-1].run if self.started and self.request.state in states[stage] else None

    def feed(self, fact: Any) -> None:
        assert self.request is not None
        for effect in self.request.step(fact):
            if isinstance(effect, StartPrefill | StartDecode | StartCall):
                if not isinstance(effect, StartCall):
                    assert effect.behind_sent == self.request.began_answer, "afresh behind sent text"
                self.started.append(effect)
                self.held.add(effect.run)
            elif isinstance(effect, CancelRun):
                assert effect.run in self.held, "cancelled what was not started"
                self.held.discard(effect.run)
            elif isinstance(effect, Finish):
                self.finishes.append(effect.outcome)
            else:
                assert not self.finishes, f"{effect} after the end"

    @invariant()
    def it_is_answered_once(self) -> None:
        assert len(self.finishes) <= 1
        assert bool(self.finishes) == (self.request is not None and self.request.state is State.ENDED)

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
        for kind in (StartPrefill, StartCall):
            runs = [effect.run for effect in self.started if isinstance(effect, kind)]
            assert all(run in self.proved_idle for run in runs[:-1])


TestRequest = RequestMachine.TestCase


def test_the_way_through_in_order() -> None:
    request = Request(Terms(RequestId("r"), streamed=True, keyed=True))
    steps: list[tuple[Any, type[Any]]] = [
        (RecordGranted(), AskPlacement),
        (Placed(UpstreamName("p")), StartPrefill),
        (PrefillEnded(), AskLanding),
        (Landed(UpstreamName("d")), StartDecode),
        (FirstFrame(), CancelRun),
        (Broke(Stage.DECODE, "reset", True), ResumeDecode),
    ]
    request.step(Begin())
    for fact, expected in steps:
        assert isinstance(request.step(fact)[0], expected)
    assert request.step(Ended())[-1] == Finish(Answered(200))
