"""Structured log lines on standard output: one JSON object a line, bounded, and never waited for.

A reader that stops reading costs lines, not requests: what does not fit is left out and counted, and the next line that
is written says how many were.
"""

from __future__ import annotations

import errno
import os
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from beamhatch.clock import Clock

MOST_WAITING = 256 * 1024
"""Bytes that wait for the reader at the most."""

LINES_PER_SECOND = 400.0
MOST_AT_ONCE = 800.0
RETRY_INTERVAL = 0.05
_encode = msgspec.json.Encoder(enc_hook=str).encode


class Journal:
    """Writes the lines of one process."""

    def __init__(self, clock: Clock, descriptor: int = 1, **fields: str) -> None:
        self._clock = clock
        self._descriptor = descriptor
        self._fields = fields
        self._waiting = bytearray()
        self._tokens = MOST_AT_ONCE
        self._filled_at = clock.now()
        self._scheduled = False
        self.left_out = 0
        """Lines left out so far."""
        self._left_out_told = 0

    def write(self, part: str, event: str, **fields: object) -> None:
        """Write one line.

        :param part: the part of the program, such as ``RELAY``
        :param event: what happened
        :param fields: the inputs that decided it, their age or version, and the outcome
        """
        if not self._take_token():
            self.left_out += 1
            return
        line = self._make_line(part, event, fields)
        if len(self._waiting) + len(line) > MOST_WAITING:
            self.left_out += 1
            return
        self._left_out_told = self.left_out
        self._waiting += line
        self._schedule(0)

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        self._scheduled = False
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting[:65536])
            except OSError as problem:
                self._take_error(problem)
                return
            del self._waiting[:written]

    def _take_error(self, problem: OSError) -> None:
        if problem.errno in (errno.EAGAIN, errno.EINTR):
            self._schedule(RETRY_INTERVAL)
        else:
            self._waiting.clear()

    def _schedule(self, seconds: float) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._clock.call_later(seconds, self.flush)

    def _take_token(self) -> bool:
        now = self._clock.now()
        self._tokens = min(MOST_AT_ONCE, self._tokens + (now - self._filled_at) * LINES_PER_SECOND)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _make_line(self, part: str, event: str, fields: dict[str, object]) -> bytes:
        line: dict[str, object] = {"at": round(self._clock.now(), 4), "part": part, "event": event}
        line.update(self._fields)
        line.update(fields)
        if self.left_out > self._left_out_told:
            line["lines_left_out"] = self.left_out - self._left_out_told
        return _encode(line) + b"\n"


def make_nonblocking(descriptor: int) -> None:
    """Have writes to a descriptor return at once where the reader does not read."""
    os.set_blocking(descriptor, False)
