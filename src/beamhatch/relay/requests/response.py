"""A buffered upstream response, and the statuses that say a request has not run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.relay.upstreams.call import ResponseHead

MAY_HAVE_RUN_STATUS = 502
"""Status of an error response of the relay if the request may have run."""

TIMEOUT_STATUS = 504
"""Status of a request that timed out and may have run."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses of responses which guarantee that the request has not run."""


@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """A complete response of an upstream."""

    head: ResponseHead
    body: bytes
