"""What the requests need of the idempotency records."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from beamhatch.decide.idempotency import Record, RecordState, StoredResponse
from beamhatch.decide.outcome import Answered, Failed, NotRun, Outcome, Reason, Unknown, name_outcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from twisted.internet.defer import Deferred

    from beamhatch.decide.call import Call

RETRY_SOON = 1.0
"""Seconds after which a caller may ask again where the records can't be reached or a key is in use."""


class Records(ABC):
    """Takes keys for requests, and keeps how they ended."""

    @abstractmethod
    async def claim(self, call: Call) -> StoredResponse | Outcome | None:
        """Take the key of a call; None says that it is this request's now, anything else is the answer."""

    @abstractmethod
    def close(self, call: Call, outcome: Outcome) -> None:
        """Note how a request ended without an answer; what is proved not to have run frees its key."""

    @abstractmethod
    def keep(
        self, call: Call, outcome: Answered, headers: Sequence[tuple[str, str]], body: bytes | None
    ) -> Deferred[None]:
        """Keep an answer for repeats of its key; fires once it outlasts this VM, or after a short time."""

    @abstractmethod
    def drop(self, call: Call) -> None:
        """Free a key, because its request is proved not to have run."""


def make_kept(outcome: Outcome, headers: Sequence[tuple[str, str]], body: bytes | None, most: int) -> StoredResponse:
    """Return what is kept of an outcome; a body over the limit is left out."""
    reason = Reason.ANSWERED if isinstance(outcome, Answered) else outcome.reason
    detail = "" if isinstance(outcome, Answered) else outcome.detail
    status = outcome.status if isinstance(outcome, Answered) else 0
    kept_body = body if body is not None and len(body) <= most else None
    return StoredResponse(name_outcome(outcome), reason.value, detail, status, tuple(headers), kept_body)


def tell_repeat(record: Record, digest: str) -> StoredResponse | Outcome:
    """Return what a repeat of a key is told where the first request has ended or is lost."""
    if record.digest != digest:
        return NotRun(Reason.KEY_MISMATCH, "the key was used with another body")
    answer = record.response
    if record.state is RecordState.LOST or answer is None:
        return Unknown(Reason.UPSTREAM_LOST, "the entry VM of the first attempt is gone; it may have run")
    if answer.outcome == "answered":
        if answer.body is None:
            return Failed(Reason.ANSWER_NOT_KEPT, "it was answered before; the answer was too long to keep")
        return answer
    kind = Failed if answer.outcome == "failed" else Unknown
    return kind(Reason(answer.reason), answer.detail)
