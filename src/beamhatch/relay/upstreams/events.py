"""Check the events of a stream: whole ones only, with ids that rise by one."""

from __future__ import annotations

from dataclasses import dataclass

MAX_EVENT_BYTES = 256 * 1024
"""Bytes of one event at the most."""


@dataclass(frozen=True, slots=True)
class EventBatch:
    """Whole events that may be passed on, as bytes, and the id of the last one (None: it had none)."""

    data: bytes
    last_id: int | None


class StreamError(ValueError):
    """A stream whose events do not follow each other."""


class EventChecker:
    """Cuts a stream into whole events and checks that none is lost, repeated or foreign."""

    def __init__(self, last_id: int | None) -> None:
        """Start behind an event that the caller already has."""
        self._last_id = last_id
        self._buffer = b""

    @property
    def is_complete(self) -> bool:
        """Tell whether the stream stands between two events."""
        return not self._buffer.strip()

    def feed(self, data: bytes) -> EventBatch:
        """Take bytes as they come; return the events that are whole by now.

        :raises StreamError: where an event's id is not the next one
        """
        self._buffer += data
        end = self._buffer.rfind(b"\n\n")
        if end < 0:
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise StreamError("an event is too long")
            return EventBatch(b"", self._last_id)
        whole, self._buffer = self._buffer[: end + 2], self._buffer[end + 2 :]
        for line in whole.split(b"\n"):
            if line.startswith(b"id:"):
                self._check_id(line[3:].strip())
        return EventBatch(whole, self._last_id)

    def _check_id(self, text: bytes) -> None:
        if not text.isdigit():
            raise StreamError(f"an event has the id {text[:40]!r}")
        number = int(text)
        if self._last_id is not None and number != self._last_id + 1:
            raise StreamError(f"event {number} follows event {self._last_id}")
        self._last_id = number
