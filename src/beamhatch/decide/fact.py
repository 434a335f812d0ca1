"""The facts that a request takes in: what a task observed of its caller, its record and its upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.decide.outcome import Outcome, Reason
    from beamhatch.ids import UpstreamName


class Stage(Enum):
    """The kind of work that an upstream does for a request."""

    PREFILL = "p"
    DECODE = "d"
    SERVICE = "s"


@dataclass(frozen=True, slots=True)
class RequestValidated:
    """The request is whole and valid."""


@dataclass(frozen=True, slots=True)
class RecordGranted:
    """Enough holders have recorded the caller's key for this request."""


@dataclass(frozen=True, slots=True)
class RecordSettled:
    """The caller's key is taken, or could not be recorded: this is the answer."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class FirstChosen:
    """The upstream for the first stage was chosen; a place to land may be counted on besides."""

    first: UpstreamName


@dataclass(frozen=True, slots=True)
class DecodeChosen:
    """A decode engine was chosen for a prefill that has ended."""

    decode: UpstreamName


@dataclass(frozen=True, slots=True)
class PlacementFailed:
    """No place can be had in time."""

    reason: Reason
    detail: str = ""
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class PrefillCompleted:
    """The prefill engine holds the exported KV cache."""


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """The upstream answered that the request itself is wrong; its answer is passed on."""

    stage: Stage
    status: int


@dataclass(frozen=True, slots=True)
class UpstreamRefused:
    """The upstream refused, with proof that it did not run."""

    stage: Stage
    detail: str
    retry_allowed: bool
    retry_after: float | None = None
    export_lost: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamFailed:
    """The exchange with the upstream broke off; it may have run."""

    stage: Stage
    detail: str
    retry_allowed: bool


@dataclass(frozen=True, slots=True)
class DecodeStarted:
    """The decode engine holds the KV cache and its answer has begun."""


@dataclass(frozen=True, slots=True)
class ResponseCompleted:
    """The whole answer was passed on."""

    status: int = 200


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection, or stopped reading for too long."""


@dataclass(frozen=True, slots=True)
class DeadlineExceeded:
    """The caller's own deadline passed."""


@dataclass(frozen=True, slots=True)
class RequestAborted:
    """The VM must let go of the request now."""

    reason: Reason


RequestEvent = (
    RequestValidated
    | RecordGranted
    | RecordSettled
    | FirstChosen
    | DecodeChosen
    | PlacementFailed
    | PrefillCompleted
    | RequestRejected
    | UpstreamRefused
    | UpstreamFailed
    | DecodeStarted
    | ResponseCompleted
    | CallerDisconnected
    | DeadlineExceeded
    | RequestAborted
)
