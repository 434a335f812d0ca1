"""The outcomes of a request as reported to callers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Reason(Enum):
    """The reason for an outcome; values are stable and may be matched by programs."""

    ANSWERED = "answered"
    BAD_REQUEST = "bad_request"
    UNKNOWN_MODEL = "unknown_model"
    OVERLOADED = "overloaded"
    LIMIT_REACHED = "limit_reached"
    RATE_LIMITED = "rate_limited"
    DEADLINE = "deadline"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_LOST = "upstream_lost"
    CALLER_GONE = "caller_gone"
    STOPPING = "stopping"
    SUPERSEDED = "superseded"
    KEY_IN_USE = "key_in_use"
    KEY_MISMATCH = "key_mismatch"
    ANSWER_NOT_KEPT = "answer_not_kept"
    RECORDS_UNREACHABLE = "records_unreachable"
    RECORDS_FULL = "records_full"
    NOT_READY = "not_ready"


@dataclass(frozen=True, slots=True)
class Answered:
    """The upstream's complete response was forwarded."""

    status: int = 200


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request provably has not run: it was not sent to an upstream, or the upstream refused it."""

    reason: Reason
    detail: str = ""
    retry_after: float | None = None
    """Seconds after which the caller may retry; None if a retry does not help."""


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ran and ended without a complete response."""

    reason: Reason
    detail: str = ""
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run."""

    reason: Reason
    detail: str = ""
    retry_after: float | None = None


Outcome = Answered | NotRun | Failed | Unknown

_OUTCOME_NAMES: dict[type[Outcome], str] = {
    Answered: "answered",
    NotRun: "not_run",
    Failed: "failed",
    Unknown: "unknown",
}


def name_outcome(outcome: Outcome) -> str:
    """Return the name of an outcome as used in responses, logs and metrics."""
    return _OUTCOME_NAMES[type(outcome)]
