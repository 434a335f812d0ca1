"""Split a stream into complete events, and check that their ids increase by one."""

from __future__ import annotations

from dataclasses import dataclass

MAX_EVENT_BYTES = 256 * 1024
"""Maximum size of one event."""


@dataclass(frozen=True, slots=True)
class EventBatch:
    """Complete events as bytes, and the id of the last event so far (None if none is known)."""

    data: bytes
    last_id: int | None


class StreamError(ValueError):
    """Error of a stream with invalid, missing or repeated events."""


class EventChecker:
    """Splitter of a stream into complete events that checks the sequence of their ids."""

    def __init__(self, last_id: int | None) -> None:
        """Start after the event ``last_id``; None accepts any first id."""
        self._last_id = last_id
        self._buffer = b""

    @property
    def is_complete(self) -> bool:
        """Whether no event is partially received."""
        return not self._buffer.strip()

    def feed(self, data: bytes) -> EventBatch:
        """Add received bytes; return the events that they complete.

        :raises StreamError: if an id is invalid or not the next one, or an event is too large
        """
        self._buffer += data
        end = self._buffer.rfind(b"\n\n")
        if end < 0:
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise StreamError("event too large")
            return EventBatch(b"", self._last_id)
        whole, self._buffer = self._buffer[: end + 2], self._buffer[end + 2 :]
        for line in whole.split(b"\n"):
            if line.startswith(b"id:"):
                self._check_id(line[3:].strip())
        return EventBatch(whole, self._last_id)

    def _check_id(self, text: bytes) -> None:
        if not text.isdigit():
            raise StreamError(f"invalid event id {text[:40]!r}")
        number = int(text)
        if self._last_id is not None and number != self._last_id + 1:
            raise StreamError(f"event {number} received after event {self._last_id}")
        self._last_id = number
