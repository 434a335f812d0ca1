"""The state machine of one request: it consumes events (`fact.py`) and returns effects (`effect.py`).

It uses no clock and performs no I/O, so tests can exercise every interleaving of events.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from beamhatch.decide.effect import (
    CancelRun,
    ChooseDecode,
    ChooseFirst,
    FinishRequest,
    ReleasePlacement,
    RequestEffect,
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
    PlacementFailed,
    PrefillCompleted,
    RecordGranted,
    RecordSettled,
    RequestAborted,
    RequestEvent,
    RequestRejected,
    RequestValidated,
    ResponseCompleted,
    Stage,
    UpstreamFailed,
    UpstreamRefused,
)
from beamhatch.decide.outcome import Answered, Failed, NotRun, Outcome, Reason, Unknown
from beamhatch.ids import RequestId, RunId, UpstreamName

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_PLACEMENTS = 3
"""Number of placements of one request, including the first."""

MAX_RESUMES = 2
"""Number of times an interrupted stream is resumed before its engine counts as failed."""


class RequestState(Enum):
    """The state of a request."""

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
class RequestTerms:
    """The properties of the caller's request that affect state transitions."""

    request: RequestId
    service: bool = False
    streamed: bool = False
    repeatable: bool = True
    keyed: bool = False


@dataclass(slots=True)
class Request:
    """The state machine of one caller's request."""

    terms: RequestTerms
    state: RequestState = RequestState.RECEIVED
    outcome: Outcome | None = None
    first: UpstreamName | None = None
    """The prefill engine, or the replica of a plain service."""
    decode: UpstreamName | None = None
    open_runs: dict[RunId, UpstreamName] = field(default_factory=dict)
    """Runs for which an upstream may hold resources."""
    failed_upstreams: set[UpstreamName] = field(default_factory=set)
    may_have_run: bool = False
    """True from a dispatch to the first upstream until that upstream provably refuses it."""
    has_run: bool = False
    """True once an upstream is known to have run the request."""
    response_started: bool = False
    _prefill_run: RunId | None = None
    _decode_run: RunId | None = None
    _placements: int = 0
    _resumes: int = 0
    _runs_started: int = 0
    _has_unproven_run: bool = False
    """True once a run was interrupted: a later refusal then does not prove that the request has not run."""

    def handle(self, event: RequestEvent) -> list[RequestEffect]:
        """Handle one event and return the resulting effects; events after the end are ignored."""
        if self.state is RequestState.ENDED:
            return []
        handler = _HANDLERS[type(event)]
        return handler(self, event)

    # --- normal path --------------------------------------------------------------------------------------------

    def _handle_validated(self, _: RequestValidated) -> list[RequestEffect]:
        if self.terms.keyed:
            self.state = RequestState.RECORDING
            return [WriteRecord()]
        return self._choose_first()

    def _handle_record_granted(self, _: RecordGranted) -> list[RequestEffect]:
        if self.state is not RequestState.RECORDING:
            return []
        return self._choose_first()

    def _handle_record_settled(self, event: RecordSettled) -> list[RequestEffect]:
        return self._finish(event.outcome)

    def _choose_first(self) -> list[RequestEffect]:
        self.state = RequestState.QUEUED
        self._placements += 1
        return [ChooseFirst(frozenset(self.failed_upstreams))]

    def _handle_first_chosen(self, event: FirstChosen) -> list[RequestEffect]:
        if self.state is not RequestState.QUEUED:
            return []
        self.may_have_run = True
        self.first = event.first
        if self.terms.service:
            self.state = RequestState.SERVING
            run = self._open_run(Stage.SERVICE, event.first)
            return [StartServiceCall(run, event.first)]
        self.state = RequestState.PREFILLING
        self._prefill_run = self._open_run(Stage.PREFILL, event.first)
        return [StartPrefill(self._prefill_run, event.first, self.response_started)]

    def _handle_prefill_completed(self, _: PrefillCompleted) -> list[RequestEffect]:
        if self.state is not RequestState.PREFILLING:
            return []
        self.has_run = True
        self.state = RequestState.LANDING
        return [ChooseDecode(frozenset(self.failed_upstreams))]

    def _handle_decode_chosen(self, event: DecodeChosen) -> list[RequestEffect]:
        if self.state is not RequestState.LANDING:
            return []
        self.state = RequestState.TRANSFERRING
        self.decode = event.decode
        self._decode_run = self._open_run(Stage.DECODE, event.decode)
        return [StartDecode(self._decode_run, event.decode, self.response_started)]

    def _handle_decode_started(self, _: DecodeStarted) -> list[RequestEffect]:
        if self.state is not RequestState.TRANSFERRING:
            return []
        self.state = RequestState.DECODING
        self.response_started = True
        return self._cancel_run(self._prefill_run)

    def _handle_response_completed(self, event: ResponseCompleted) -> list[RequestEffect]:
        self._close_run(self._decode_run)
        if self.terms.service:
            self.open_runs.clear()
        self.has_run = True
        return self._finish(Answered(event.status))

    # --- refusals and failures ------------------------------------------------------------------------------------

    def _handle_placement_failed(self, event: PlacementFailed) -> list[RequestEffect]:
        if self.state not in (RequestState.QUEUED, RequestState.LANDING):
            return []
        return self._give_up(event.reason, event.detail, event.retry_after)

    def _handle_request_rejected(self, event: RequestRejected) -> list[RequestEffect]:
        self._close_run(self._get_run(event.stage))
        return self._finish(Answered(event.status))

    def _handle_upstream_refused(self, event: UpstreamRefused) -> list[RequestEffect]:
        if not self._is_current(event.stage):
            return []
        self._close_run(self._get_run(event.stage))
        if event.stage is not Stage.DECODE:
            self.may_have_run = self.has_run or self._has_unproven_run
        if event.export_lost:
            return self._restart_prefill(event.detail, event.retry_allowed)
        if not self._exclude_current(event.stage, allowed=event.retry_allowed):
            return self._give_up(Reason.UPSTREAM_REFUSED, event.detail, event.retry_after)
        return self._choose_again(event.stage)

    def _handle_upstream_failed(self, event: UpstreamFailed) -> list[RequestEffect]:
        if self.state is RequestState.DECODING and event.stage is Stage.DECODE:
            return self._recover_stream(event)
        if not self._is_current(event.stage):
            return []
        self._has_unproven_run = True
        effects = self._cancel_run(self._get_run(event.stage))
        if not self.terms.repeatable:
            return effects + self._finish(Unknown(Reason.UPSTREAM_LOST, event.detail))
        if not self._exclude_current(event.stage, allowed=event.retry_allowed):
            return effects + self._give_up(Reason.UPSTREAM_LOST, event.detail, None)
        return effects + self._choose_again(event.stage)

    def _recover_stream(self, event: UpstreamFailed) -> list[RequestEffect]:
        if self._resumes < MAX_RESUMES and self._decode_run is not None and self.decode is not None:
            self._resumes += 1
            return [ResumeDecode(self._decode_run, self.decode)]
        effects = self._cancel_run(self._decode_run)
        if self.decode is not None:
            self.failed_upstreams.add(self.decode)
        return effects + self._restart_prefill(event.detail, event.retry_allowed)

    def _restart_prefill(self, detail: str, retry_allowed: bool) -> list[RequestEffect]:
        if not self.terms.repeatable or not retry_allowed or self._placements >= MAX_PLACEMENTS:
            return self._give_up(Reason.UPSTREAM_LOST, detail, None)
        effects = self._cancel_run(self._prefill_run)
        self._resumes = 0
        return [*effects, ReleasePlacement(), *self._choose_first()]

    def _choose_again(self, stage: Stage) -> list[RequestEffect]:
        if stage is not Stage.DECODE:
            return [ReleasePlacement(), *self._choose_first()]
        self.state = RequestState.LANDING
        self._placements += 1
        return [ChooseDecode(frozenset(self.failed_upstreams))]

    def _exclude_current(self, stage: Stage, *, allowed: bool) -> bool:
        upstream = self.decode if stage is Stage.DECODE else self.first
        if upstream is not None:
            self.failed_upstreams.add(upstream)
        return allowed and self._placements < MAX_PLACEMENTS

    # --- ends -----------------------------------------------------------------------------------------------------

    def _handle_caller_disconnected(self, _: CallerDisconnected) -> list[RequestEffect]:
        return self._give_up(Reason.CALLER_GONE, "the caller closed its connection", None)

    def _handle_deadline_exceeded(self, _: DeadlineExceeded) -> list[RequestEffect]:
        return self._give_up(Reason.DEADLINE, "the caller's deadline passed", None)

    def _handle_aborted(self, event: RequestAborted) -> list[RequestEffect]:
        return self._give_up(event.reason, "this entry VM let go of the request", 1.0)

    def _give_up(self, reason: Reason, detail: str, retry_after: float | None) -> list[RequestEffect]:
        if self.has_run:
            return self._finish(Failed(reason, detail, retry_after))
        if self.may_have_run:
            return self._finish(Unknown(reason, detail, retry_after))
        return self._finish(NotRun(reason, detail, retry_after))

    def _finish(self, outcome: Outcome) -> list[RequestEffect]:
        effects: list[RequestEffect] = [CancelRun(run, upstream) for run, upstream in self.open_runs.items()]
        self.open_runs.clear()
        self.state = RequestState.ENDED
        self.outcome = outcome
        return [*effects, ReleasePlacement(), FinishRequest(outcome)]

    # --- runs -----------------------------------------------------------------------------------------------------

    def _open_run(self, stage: Stage, upstream: UpstreamName) -> RunId:
        self._runs_started += 1
        run = RunId(f"{self.terms.request}-{stage.value}{self._runs_started}")
        self.open_runs[run] = upstream
        return run

    def _close_run(self, run: RunId | None) -> None:
        if run is not None:
            self.open_runs.pop(run, None)

    def _cancel_run(self, run: RunId | None) -> list[RequestEffect]:
        if run is None or run not in self.open_runs:
            return []
        return [CancelRun(run, self.open_runs.pop(run))]

    def _get_run(self, stage: Stage) -> RunId | None:
        if stage is Stage.PREFILL:
            return self._prefill_run
        if stage is Stage.DECODE:
            return self._decode_run
        return next(iter(self.open_runs), None)

    def _is_current(self, stage: Stage) -> bool:
        expected = {
            Stage.PREFILL: RequestState.PREFILLING,
            Stage.DECODE: RequestState.TRANSFERRING,
            Stage.SERVICE: RequestState.SERVING,
        }
        return self.state is expected[stage]


_HANDLERS: dict[type[RequestEvent], Callable[..., list[RequestEffect]]] = {
    RequestValidated: Request._handle_validated,
    RecordGranted: Request._handle_record_granted,
    RecordSettled: Request._handle_record_settled,
    FirstChosen: Request._handle_first_chosen,
    DecodeChosen: Request._handle_decode_chosen,
    PlacementFailed: Request._handle_placement_failed,
    PrefillCompleted: Request._handle_prefill_completed,
    RequestRejected: Request._handle_request_rejected,
    UpstreamRefused: Request._handle_upstream_refused,
    UpstreamFailed: Request._handle_upstream_failed,
    DecodeStarted: Request._handle_decode_started,
    ResponseCompleted: Request._handle_response_completed,
    CallerDisconnected: Request._handle_caller_disconnected,
    DeadlineExceeded: Request._handle_deadline_exceeded,
    RequestAborted: Request._handle_aborted,
}
