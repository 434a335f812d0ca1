"""Refusals of requests that no exchange is started for."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.relay.workspaces.admission import OverQuota, Undecided

if TYPE_CHECKING:
    from beamhatch.relay.workspaces.admission import Decision

OUTDATED_RETRY_S = 0.3
"""Retry-After of a VM that may lack the newest configuration; peers send it within three round trips."""


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
