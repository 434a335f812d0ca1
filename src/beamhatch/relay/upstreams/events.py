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
    has_events: bool
    """Whether the data has any event; otherwise it has only comments and blank lines."""


class StreamError(ValueError):
    """Error of a stream with invalid, missing or repeated events."""


class EventChecker:
    """Splitter of a stream into complete events that checks the sequence of their ids."""

    def __init__(self, last_id: int | None, max_events: int | None = None) -> None:
        """Start after the event ``last_id``; None accepts any first id.

        :param max_events: number of events that the stream may have from here on; None for any
        """
        self._last_id = last_id
        self._events_left = max_events
        self._buffer = b""
        self._bytes_without_event = 0
        """Bytes of comments and blank lines since the last event."""

    @property
    def is_complete(self) -> bool:
        """Whether no event is partially received."""
        return not self._buffer.strip()

    def feed(self, data: bytes) -> EventBatch:
        """Add received bytes; return the events that they complete.

        :raises StreamError: if an id is invalid or not the next one, an event is too large, there are too many, or too
            many bytes arrive without one
        """
        self._buffer += data
        end = self._buffer.rfind(b"\n\n")
        if end < 0:
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise StreamError("event too large")
            return EventBatch(b"", self._last_id, has_events=False)
        whole, self._buffer = self._buffer[: end + 2], self._buffer[end + 2 :]
        events = 0
        for event in whole.split(b"\n\n"):
            events += self._check_event(event)
        self._count_events(events, len(whole))
        return EventBatch(whole, self._last_id, has_events=events > 0)

    def _check_event(self, event: bytes) -> bool:
        """Check the id of an event, and return whether it is one: comments and blank lines alone are none."""
        is_event = False
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                self._check_id(line[3:].strip())
            is_event = is_event or (bool(line) and not line.startswith(b":"))
        return is_event

    def _count_events(self, events: int, size: int) -> None:
        self._bytes_without_event = 0 if events else self._bytes_without_event + size
        if self._bytes_without_event > MAX_EVENT_BYTES:
            raise StreamError("too many bytes without an event")
        if self._events_left is not None:
            self._events_left -= events
            if self._events_left < 0:
                raise StreamError("more events than the output has tokens")

    def _check_id(self, text: bytes) -> None:
        if not text.isdigit():
            raise StreamError(f"invalid event id {text[:40]!r}")
        number = int(text)
        if self._last_id is not None and number != self._last_id + 1:
            raise StreamError(f"event {number} received after event {self._last_id}")
        self._last_id = number
