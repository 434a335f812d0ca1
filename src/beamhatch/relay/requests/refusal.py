"""Refusals of requests that no exchange is started for."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.relay.workspaces.admission import OverQuota, Undecided

if TYPE_CHECKING:
    from beamhatch.relay.quarantine.quarantine import QuarantineEntry
    from beamhatch.relay.workspaces.admission import Decision

OUTDATED_RETRY_S = 0.3
"""Retry-After of a VM that may lack the newest configuration; peers send it within three round trips."""

QUARANTINE_REASON = "each upstream that began to run it, or others with the same prompt parts, has ended"
"""Reason sent to the callers of requests in quarantine."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Reason why a request is refused, with the status of the response."""

    status: int
    detail: str
    retry_after: float | None = None
    """Seconds after which the caller may retry."""


def make_admission_refusal(decision: Decision, version: int) -> Refusal:
    """Return the refusal of a request that was not admitted.

    :param version: version of the configuration by which it was decided
    """
    match decision:
        case OverQuota():
            return Refusal(429, f"the quota of workspace {decision.workspace} is spent", decision.retry_after)
        case Undecided():
            detail = f"the API key is not in version {version}, and there may be a newer one"
            return Refusal(503, detail, OUTDATED_RETRY_S)
        case _:
            return Refusal(401, f"the API key is missing or unknown, by version {version}")


def make_quarantine_refusal(entry: QuarantineEntry, now: float) -> Refusal:
    """Return the refusal of a request in quarantine."""
    return Refusal(503, f"{QUARANTINE_REASON}, fingerprint {entry.fingerprint.hex()}", math.ceil(entry.until - now))
