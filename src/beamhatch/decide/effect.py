"""Output effects of the request state machine: the actions that a task must carry out next."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.decide.outcome import Outcome
    from beamhatch.ids import RunId, UpstreamName


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Record the idempotency key on its holders."""


@dataclass(frozen=True, slots=True)
class ChooseFirst:
    """Choose the first upstream, except those that have failed this request."""

    exclude: frozenset[UpstreamName]


@dataclass(frozen=True, slots=True)
class ChooseDecode:
    """Choose a decode engine for the exported KV cache."""

    exclude: frozenset[UpstreamName]


@dataclass(frozen=True, slots=True)
class ReleasePlacement:
    """Release the queue entry and all reservations."""


@dataclass(frozen=True, slots=True)
class StartPrefill:
    """Send the prompt to a prefill engine."""

    run: RunId
    upstream: UpstreamName
    continues_output: bool
    """True if the output that the caller already has is prefilled after the prompt."""


@dataclass(frozen=True, slots=True)
class StartDecode:
    """Have a decode engine fetch the exported KV cache and generate the output."""

    run: RunId
    upstream: UpstreamName
    continues_output: bool


@dataclass(frozen=True, slots=True)
class ResumeDecode:
    """Request the remainder of an interrupted stream from the same engine."""

    run: RunId
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class StartServiceCall:
    """Send the request to a plain service."""

    run: RunId
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class CancelRun:
    """Have an upstream release all resources of a run; repeated until acknowledged."""

    run: RunId
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class FinishRequest:
    """Report the outcome to the caller; the last effect of every request."""

    outcome: Outcome


RequestEffect = (
    WriteRecord
    | ChooseFirst
    | ChooseDecode
    | ReleasePlacement
    | StartPrefill
    | StartDecode
    | ResumeDecode
    | StartServiceCall
    | CancelRun
    | FinishRequest
)
