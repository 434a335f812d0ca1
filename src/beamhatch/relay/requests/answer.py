"""An upstream's answer, complete, and the statuses that are promises."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.relay.upstreams.http_client import ResponseHead

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request has not run."""


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An upstream's answer, complete."""

    head: ResponseHead
    body: bytes
