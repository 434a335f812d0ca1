"""The HTTP form of outcomes, in the error format that OpenAI's clients read.

This module is the one place where outcomes become statuses; docs/callers.md shows the same table.
"""

from __future__ import annotations

import json
import math

from beamhatch.decide.outcome import Answered, NotRun, Outcome, Reason, name_outcome

STATUS: dict[Reason, int] = {
    Reason.ANSWERED: 200,
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_MODEL: 404,
    Reason.OVERLOADED: 503,
    Reason.LIMIT_REACHED: 429,
    Reason.RATE_LIMITED: 429,
    Reason.DEADLINE: 504,
    Reason.NO_UPSTREAM: 503,
    Reason.UPSTREAM_REFUSED: 503,
    Reason.UPSTREAM_LOST: 502,
    Reason.CALLER_GONE: 499,
    Reason.STOPPING: 503,
    Reason.SUPERSEDED: 502,
    Reason.KEY_IN_USE: 409,
    Reason.KEY_MISMATCH: 422,
    Reason.ANSWER_NOT_KEPT: 410,
    Reason.RECORDS_UNREACHABLE: 503,
    Reason.RECORDS_FULL: 503,
    Reason.NOT_READY: 503,
}

_TYPES = {400: "invalid_request_error", 404: "invalid_request_error", 422: "invalid_request_error"}


def encode_outcome(outcome: Outcome, request: str, parameter: str | None = None) -> bytes:
    """Return the body of an answer that says how a request ended."""
    assert not isinstance(outcome, Answered)
    status = STATUS[outcome.reason]
    return json.dumps(
        {
            "error": {
                "message": outcome.detail or outcome.reason.value,
                "type": _TYPES.get(status, "beamhatch_error"),
                "param": parameter,
                "code": outcome.reason.value,
            },
            "outcome": name_outcome(outcome),
            "ran": {"not_run": False, "failed": True}.get(name_outcome(outcome)),
            "request": request,
            "retry_after": outcome.retry_after,
        }
    ).encode()


def list_headers(outcome: Outcome, request: str) -> list[tuple[str, str]]:
    """Return the headers that say how a request ended."""
    headers = [("Beamhatch-Outcome", name_outcome(outcome)), ("Beamhatch-Request", request)]
    if not isinstance(outcome, Answered) and outcome.retry_after is not None:
        headers.append(("Retry-After", str(max(1, math.ceil(outcome.retry_after)))))
        headers.append(("Retry-After-Ms", str(max(1, int(outcome.retry_after * 1000)))))
    if not isinstance(outcome, Answered) and not isinstance(outcome, NotRun):
        headers.append(("X-Should-Retry", "false"))
    return headers
