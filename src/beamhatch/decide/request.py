"""The request aggregate: every state of one request, and what each input makes of it.

Facts (`fact.py`) are what a task observed;
effects (`effect.py`) are what it must do next. Nothing here reads a clock or a socket, so
every interleaving can be tried in a test.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from beamhatch.decide.effect import (
    AskLanding,
    AskPlacement,
    AskRecord,
    CancelRun,
    Effect,
    Finish,
    FreePlacement,
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
    Fact,
    FirstFrame,
    Landed,
    Placed,
    PlacementRefused,
    PrefillEnded,
    RecordGranted,
    RecordSettled,
    Refused,
    Rejected,
    Stage,
)
from beamhatch.decide.outcome import Answered, Failed, NotRun, Outcome, Reason, Unknown
from beamhatch.ids import RequestId, RunId, UpstreamName

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_PLACEMENTS = 3
"""How often one request may be placed anew after an upstream refused or broke."""

MAX_RESUMES = 2
"""How often one broken stream is resumed before its engine is taken as lost."""


class State(Enum):
    """Where a request stands."""

    RECEIVED = "received"
    RECORDING = "recording"
    QUEUED = "queued"
    PREFILLING = "prefilling"
    LANDING = "landing"
    TRANSFERRING = "transferring"
    DECODING = "decoding"
    SERVING = "serving"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Terms:
    """What the caller asked for, as far as the states depend on it."""

    request: RequestId
    service: bool = False
    streamed: bool = False
    repeatable: bool = True
    keyed: bool = False


@dataclass(slots=True)
class Request:
    """One caller's request and its rules."""

    terms: Terms
    state: State = State.RECEIVED
    outcome: Outcome | None = None
    first: UpstreamName | None = None
    """The prefill engine, or the replica of a plain service."""
    decode: UpstreamName | None = None
    open_runs: dict[RunId, UpstreamName] = field(default_factory=dict)
    """Runs for which an upstream may hold memory."""
    failed_upstreams: set[UpstreamName] = field(default_factory=set)
    may_have_run: bool = False
    """True from the first dispatch on, until that dispatch is refused with proof."""
    has_run: bool = False
    """True once an upstream is known to have worked on it."""
    began_answer: bool = False
    _prefill_run: RunId | None = None
    _decode_run: RunId | None = None
    _placements: int = 0
    _resumes: int = 0
    _runs_started: int = 0
    _in_doubt: bool = False
    """True once a run broke off: no later refusal proves that nothing ran."""

    def step(self, fact: Fact) -> list[Effect]:
        """Take in one fact and return what follows from it; a fact that comes after the end changes nothing."""
        if self.state is State.ENDED:
            return []
        handler = _HANDLERS[type(fact)]
        return handler(self, fact)

    # --- the way through ----------------------------------------------------------------------------------------

    def _begin(self, _: Begin) -> list[Effect]:
        if self.terms.keyed:
            self.state = State.RECORDING
            return [AskRecord()]
        return self._ask_placement()

    def _go_on_recorded(self, _: RecordGranted) -> list[Effect]:
        if self.state is not State.RECORDING:
            return []
        return self._ask_placement()

    def _settle_by_record(self, fact: RecordSettled) -> list[Effect]:
        return self._finish(fact.outcome)

    def _ask_placement(self) -> list[Effect]:
        self.state = State.QUEUED
        self._placements += 1
        return [AskPlacement(frozenset(self.failed_upstreams))]

    def _start_first(self, fact: Placed) -> list[Effect]:
        if self.state is not State.QUEUED:
            return []
        self.may_have_run = True
        self.first = fact.first
        if self.terms.service:
            self.state = State.SERVING
            run = self._open_run(Stage.SERVICE, fact.first)
            return [StartCall(run, fact.first)]
        self.state = State.PREFILLING
        self._prefill_run = self._open_run(Stage.PREFILL, fact.first)
        return [StartPrefill(self._prefill_run, fact.first, self.began_answer)]

    def _end_prefill(self, _: PrefillEnded) -> list[Effect]:
        if self.state is not State.PREFILLING:
            return []
        self.has_run = True
        self.state = State.LANDING
        return [AskLanding(frozenset(self.failed_upstreams))]

    def _land(self, fact: Landed) -> list[Effect]:
        if self.state is not State.LANDING:
            return []
        self.state = State.TRANSFERRING
        self.decode = fact.decode
        self._decode_run = self._open_run(Stage.DECODE, fact.decode)
        return [StartDecode(self._decode_run, fact.decode, self.began_answer)]

    def _begin_answer(self, _: FirstFrame) -> list[Effect]:
        if self.state is not State.TRANSFERRING:
            return []
        self.state = State.DECODING
        self.began_answer = True
        return self._cancel(self._prefill_run)

    def _end(self, fact: Ended) -> list[Effect]:
        self._close(self._decode_run)
        if self.terms.service:
            self.open_runs.clear()
        self.has_run = True
        return self._finish(Answered(fact.status))

    # --- refusals and breaks --------------------------------------------------------------------------------------

    def _refuse_placement(self, fact: PlacementRefused) -> list[Effect]:
        if self.state not in (State.QUEUED, State.LANDING):
            return []
        return self._give_up(fact.reason, fact.detail, fact.retry_after)

    def _pass_on_rejection(self, fact: Rejected) -> list[Effect]:
        self._close(self._run_of(fact.stage))
        return self._finish(Answered(fact.status))

    def _take_refusal(self, fact: Refused) -> list[Effect]:
        if not self._is_current(fact.stage):
            return []
        self._close(self._run_of(fact.stage))
        if fact.stage is not Stage.DECODE:
            self.may_have_run = self.has_run or self._in_doubt
        if fact.export_lost:
            return self._prefill_again(fact.detail, fact.retry_allowed)
        if not self._exclude_current(fact.stage, allowed=fact.retry_allowed):
            return self._give_up(Reason.UPSTREAM_REFUSED, fact.detail, fact.retry_after)
        return self._place_again(fact.stage)

    def _take_break(self, fact: Broke) -> list[Effect]:
        if self.state is State.DECODING and fact.stage is Stage.DECODE:
            return self._take_broken_answer(fact)
        if not self._is_current(fact.stage):
            return []
        self._in_doubt = True
        effects = self._cancel(self._run_of(fact.stage))
        if not self.terms.repeatable:
            return effects + self._finish(Unknown(Reason.UPSTREAM_LOST, fact.detail))
        if not self._exclude_current(fact.stage, allowed=fact.retry_allowed):
            return effects + self._give_up(Reason.UPSTREAM_LOST, fact.detail, None)
        return effects + self._place_again(fact.stage)

    def _take_broken_answer(self, fact: Broke) -> list[Effect]:
        if self._resumes < MAX_RESUMES and self._decode_run is not None and self.decode is not None:
            self._resumes += 1
            return [ResumeDecode(self._decode_run, self.decode)]
        effects = self._cancel(self._decode_run)
        if self.decode is not None:
            self.failed_upstreams.add(self.decode)
        return effects + self._prefill_again(fact.detail, fact.retry_allowed)

    def _prefill_again(self, detail: str, retry_allowed: bool) -> list[Effect]:
        if not self.terms.repeatable or not retry_allowed or self._placements >= MAX_PLACEMENTS:
            return self._give_up(Reason.UPSTREAM_LOST, detail, None)
        effects = self._cancel(self._prefill_run)
        self._resumes = 0
        return [*effects, FreePlacement(), *self._ask_placement()]

    def _place_again(self, stage: Stage) -> list[Effect]:
        if stage is not Stage.DECODE:
            return [FreePlacement(), *self._ask_placement()]
        self.state = State.LANDING
        self._placements += 1
        return [AskLanding(frozenset(self.failed_upstreams))]

    def _exclude_current(self, stage: Stage, *, allowed: bool) -> bool:
        upstream = self.decode if stage is Stage.DECODE else self.first
        if upstream is not None:
            self.failed_upstreams.add(upstream)
        return allowed and self._placements < MAX_PLACEMENTS

    # --- ends -----------------------------------------------------------------------------------------------------

    def _lose_caller(self, _: CallerGone) -> list[Effect]:
        return self._give_up(Reason.CALLER_GONE, "the caller closed its connection", None)

    def _pass_deadline(self, _: DeadlinePassed) -> list[Effect]:
        return self._give_up(Reason.DEADLINE, "the caller's deadline passed", None)

    def _cut(self, fact: Cut) -> list[Effect]:
        return self._give_up(fact.reason, "this entry VM let go of the request", 1.0)

    def _give_up(self, reason: Reason, detail: str, retry_after: float | None) -> list[Effect]:
        if self.has_run:
            return self._finish(Failed(reason, detail, retry_after))
        if self.may_have_run:
            return self._finish(Unknown(reason, detail, retry_after))
        return self._finish(NotRun(reason, detail, retry_after))

    def _finish(self, outcome: Outcome) -> list[Effect]:
        effects: list[Effect] = [CancelRun(run, upstream) for run, upstream in self.open_runs.items()]
        self.open_runs.clear()
        self.state = State.ENDED
        self.outcome = outcome
        return [*effects, FreePlacement(), Finish(outcome)]

    # --- runs -----------------------------------------------------------------------------------------------------

    def _open_run(self, stage: Stage, upstream: UpstreamName) -> RunId:
        self._runs_started += 1
        run = RunId(f"{self.terms.request}-{stage.value}{self._runs_started}")
        self.open_runs[run] = upstream
        return run

    def _close(self, run: RunId | None) -> None:
        if run is not None:
            self.open_runs.pop(run, None)

    def _cancel(self, run: RunId | None) -> list[Effect]:
        if run is None or run not in self.open_runs:
            return []
        return [CancelRun(run, self.open_runs.pop(run))]

    def _run_of(self, stage: Stage) -> RunId | None:
        if stage is Stage.PREFILL:
            return self._prefill_run
        if stage is Stage.DECODE:
            return self._decode_run
        return next(iter(self.open_runs), None)

    def _is_current(self, stage: Stage) -> bool:
        expected = {
            Stage.PREFILL: State.PREFILLING,
            Stage.DECODE: State.TRANSFERRING,
            Stage.SERVICE: State.SERVING,
        }
        return self.state is expected[stage]


_HANDLERS: dict[type[Fact], Callable[..., list[Effect]]] = {
    Begin: Request._begin,
    RecordGranted: Request._go_on_recorded,
    RecordSettled: Request._settle_by_record,
    Placed: Request._start_first,
    Landed: Request._land,
    PlacementRefused: Request._refuse_placement,
    PrefillEnded: Request._end_prefill,
    Rejected: Request._pass_on_rejection,
    Refused: Request._take_refusal,
    Broke: Request._take_break,
    FirstFrame: Request._begin_answer,
    Ended: Request._end,
    CallerGone: Request._lose_caller,
    DeadlinePassed: Request._pass_deadline,
    Cut: Request._cut,
}
