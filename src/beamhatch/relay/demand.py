"""How much the streams of one VM ask of the engines: prompts to read, and waits for decode memory."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

MEAN_WEIGHT = 0.1
WINDOW = 4.0
"""Seconds over which demand is counted."""


@dataclass(slots=True)
class Demand:
    """Sliding sums of one service."""

    residence: float = 2.0
    """Running mean of the seconds that a stream is at a decode engine."""
    prompt: float = 1000.0
    """Running mean of the tokens of a prompt."""
    answer: float = 400.0
    """Tokens that an answer takes beside its prompt, as they are reserved."""

    _prompts: deque[tuple[float, int]] = field(default_factory=deque)
    _waits: deque[float] = field(default_factory=deque)

    def note_prompt(self, tokens: int, now: float) -> None:
        """Count a request by the tokens of its prompt."""
        self._prompts.append((now, tokens))
        self.prompt += MEAN_WEIGHT * (tokens - self.prompt)

    def note_stream(self, seconds: float) -> None:
        """Count a stream that ended whole."""
        self.residence += MEAN_WEIGHT * (seconds - self.residence)

    def count_memory_seconds(self) -> float:
        """Return for how long the memory of one prompt token is held, with the answer's part of the memory."""
        return self.residence * (1 + self.answer / max(1.0, self.prompt))

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
