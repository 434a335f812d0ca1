"""Bounds of what an upstream may send in response to one call, however the bytes are framed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

DEFAULT_MAX_BODY_BYTES = 64 * 1024
"""Maximum size of a body of which no more than a few values are read."""

MAX_OVERHEAD_BYTES = 256 * 1024
"""Bytes beside the body, which are allowed in addition to as many as the body has.

They are heads, chunk sizes, trailers, and responses that are skipped.
"""

MAX_SKIPPED_RESPONSES = 16
"""Interim responses and responses to other requests; parsing them takes far longer than reading them."""


class Excess(Enum):
    """Which bound a response exceeds."""

    BODY = "the body is too large"
    OVERHEAD = "too many bytes beside the body"
    SKIPPED = "too many interim responses or responses to other requests"


@dataclass(slots=True)
class ResponseBounds:
    """What has been received in response to one call."""

    max_body_bytes: int | None = DEFAULT_MAX_BODY_BYTES
    """None if the receiver bounds the body itself."""
    _received_bytes: int = 0
    _body_bytes: int = 0
    _skipped_responses: int = 0

    def record_received(self, size: int) -> None:
        """Record bytes read from the connection."""
        self._received_bytes += size

    def record_body(self, size: int) -> None:
        """Record bytes of the body among them."""
        self._body_bytes += size

    def record_skipped(self) -> None:
        """Record the head of a response that is not the final one to this call."""
        self._skipped_responses += 1

    def find_excess(self) -> Excess | None:
        """Return the bound that is exceeded, or None."""
        if self._skipped_responses > MAX_SKIPPED_RESPONSES:
            return Excess.SKIPPED
        if self.max_body_bytes is not None and self._body_bytes > self.max_body_bytes:
            return Excess.BODY
        overhead = self._received_bytes - self._body_bytes
        if overhead > MAX_OVERHEAD_BYTES + self._body_bytes:
            return Excess.OVERHEAD
        return None
