"""The effects that a request asks for: what a task must do next."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.decide.outcome import Outcome
    from beamhatch.ids import RunId, UpstreamName


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Record the caller's key on its holders."""


@dataclass(frozen=True, slots=True)
class ChooseFirst:
    """Choose upstreams for the request, leaving out those that failed it."""

    exclude: frozenset[UpstreamName]


@dataclass(frozen=True, slots=True)
class ChooseDecode:
    """Choose a decode engine for the export that is held."""

    exclude: frozenset[UpstreamName]


@dataclass(frozen=True, slots=True)
class ReleasePlacement:
    """Give back queue place and reservations."""


@dataclass(frozen=True, slots=True)
class StartPrefill:
    """Send the prompt to a prefill engine."""

    run: RunId
    upstream: UpstreamName
    continues_output: bool
    """True where what the caller already has is to be prefilled behind the prompt."""


@dataclass(frozen=True, slots=True)
class StartDecode:
    """Have a decode engine fetch the export and generate."""

    run: RunId
    upstream: UpstreamName
    continues_output: bool


@dataclass(frozen=True, slots=True)
class ResumeDecode:
    """Ask the same engine for the rest of a stream that broke."""

    run: RunId
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class StartServiceCall:
    """Send the request to a plain service."""

    run: RunId
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class CancelRun:
    """Have an upstream let go of everything it holds for a run; repeated until it is acknowledged."""

    run: RunId
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class FinishRequest:
    """Tell the caller how it ended; the last effect of every request."""

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
