"""How much the streams of one VM ask of the engines: prompts to read, and waits for decode memory."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

WINDOW = 4.0
"""Seconds over which demand is counted."""


@dataclass(slots=True)
class Demand:
    """Sliding sums of one service."""

    _prompts: deque[tuple[float, int]] = field(default_factory=deque)
    _waits: deque[float] = field(default_factory=deque)

    def note_prompt(self, tokens: int, now: float) -> None:
        """Count a request by the tokens of its prompt."""
        self._prompts.append((now, tokens))

    def note_wait(self, now: float) -> None:
        """Count a request that found decode memory full."""
        self._waits.append(now)

    def count_prompt_rate(self, now: float) -> float:
        """Return the prompt tokens a second of late."""
        while self._prompts and self._prompts[0][0] < now - WINDOW:
            self._prompts.popleft()
        return sum(tokens for _, tokens in self._prompts) / WINDOW

    def count_wait_rate(self, now: float) -> float:
        """Return the requests a second that found decode memory full of late."""
        while self._waits and self._waits[0] < now - WINDOW:
            self._waits.popleft()
        return len(self._waits) / WINDOW
