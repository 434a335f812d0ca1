"""Check the events of a stream: whole ones only, with ids that rise by one."""

from __future__ import annotations

from dataclasses import dataclass

MOST_BYTES = 256 * 1024
"""Bytes of one event at the most."""


@dataclass(frozen=True, slots=True)
class Events:
    """Whole events that may be passed on, as bytes, and the id of the last one (None: it had none)."""

    data: bytes
    last: int | None


class StreamError(ValueError):
    """A stream whose events do not follow each other."""


class EventChecker:
    """Cuts a stream into whole events and checks that none is lost, repeated or foreign."""

    def __init__(self, after: int | None) -> None:
        """Start behind an event that the caller already has."""
        self._last = after
        self._rest = b""

    @property
    def is_whole(self) -> bool:
        """Tell whether the stream stands between two events."""
        return not self._rest.strip()

    def feed(self, data: bytes) -> Events:
        """Take bytes as they come; return the events that are whole by now.

        :raises StreamError: where an event's id is not the next one
        """
        self._rest += data
        end = self._rest.rfind(b"\n\n")
        if end < 0:
            if len(self._rest) > MOST_BYTES:
                raise StreamError("an event is too long")
            return Events(b"", self._last)
        whole, self._rest = self._rest[: end + 2], self._rest[end + 2 :]
        for line in whole.split(b"\n"):
            if line.startswith(b"id:"):
                self._take_id(line[3:].strip())
        return Events(whole, self._last)

    def _take_id(self, text: bytes) -> None:
        if not text.isdigit():
            raise StreamError(f"an event has the id {text[:40]!r}")
        number = int(text)
        if self._last is not None and number != self._last + 1:
            raise StreamError(f"event {number} follows event {self._last}")
        self._last = number
