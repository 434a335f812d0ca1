"""Input events of the request state machine, from the caller, the idempotency record and the upstreams."""

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
    """The request was received completely and is valid."""


@dataclass(frozen=True, slots=True)
class RecordGranted:
    """A majority of the holders has recorded the idempotency key for this request."""


@dataclass(frozen=True, slots=True)
class RecordSettled:
    """The idempotency key is taken or could not be recorded; the request ends with the given outcome."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class FirstChosen:
    """The upstream of the first stage was chosen; decode memory may have been reserved as well."""

    first: UpstreamName


@dataclass(frozen=True, slots=True)
class DecodeChosen:
    """The decode engine for a completed prefill was chosen."""

    decode: UpstreamName


@dataclass(frozen=True, slots=True)
class PlacementFailed:
    """No upstream is available in time."""

    reason: Reason
    detail: str = ""
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class PrefillCompleted:
    """The prefill engine holds the exported KV cache."""


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """The upstream responded that the request is invalid; its response is forwarded to the caller."""

    stage: Stage
    status: int


@dataclass(frozen=True, slots=True)
class UpstreamRefused:
    """The upstream refused the request and is known not to have run it."""

    stage: Stage
    detail: str
    retry_allowed: bool
    retry_after: float | None = None
    export_lost: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamFailed:
    """The exchange with the upstream was interrupted; the upstream may have run the request."""

    stage: Stage
    detail: str
    retry_allowed: bool


@dataclass(frozen=True, slots=True)
class DecodeStarted:
    """The decode engine holds the KV cache and has begun its response."""


@dataclass(frozen=True, slots=True)
class ResponseCompleted:
    """The complete response was forwarded to the caller."""

    status: int = 200


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection or did not read for too long."""


@dataclass(frozen=True, slots=True)
class DeadlineExceeded:
    """The caller's own deadline passed."""


@dataclass(frozen=True, slots=True)
class RequestAborted:
    """The VM aborts the request, as on shutdown or when another VM supersedes it."""

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
