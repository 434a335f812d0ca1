"""The closed set of outcomes that a caller can be given."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Reason(Enum):
    """Why a request ended as it did; stable text that programs may match."""

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
    """The upstream's whole answer was passed on."""

    status: int = 200


@dataclass(frozen=True, slots=True)
class NotRun:
    """Proved not to have run: nothing was written to an upstream, or the upstream refused it with proof."""

    reason: Reason
    detail: str = ""
    retry_after: float | None = None
    """Seconds until it is worth asking again; None where asking again does not help."""


@dataclass(frozen=True, slots=True)
class Failed:
    """It ran and ended without a whole answer."""

    reason: Reason
    detail: str = ""
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """It may have run; nobody can tell from here."""

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
    """Return the word for an outcome as it stands in answers, logs and metrics."""
    return _OUTCOME_NAMES[type(outcome)]
