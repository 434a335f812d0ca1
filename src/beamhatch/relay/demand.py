"""How much the streams of one VM ask of the engines: prompts to read, waits for decode memory, and its use.

Means over streams that have ended would be of the short ones as long as the long ones run. So the time and the tokens
of all streams, running ones too, are divided by the number of those that ended.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

WINDOW = 4.0
"""Seconds over which rates are counted: some streams' time."""

LEAST_WINDOW = 2.0
"""Seconds over which rates are counted at the least where this VM has just begun to serve."""

MEMORY = 20.0
"""Seconds after which what was seen counts 1/e: long enough for a mean of a VM that gets a stream a second."""

LEAST_WEIGHT = 0.05
"""Weight of one more prompt in the running mean: the mean is of the last 20 or so."""

PRIOR_RESIDENCE = 3.0
"""Seconds that a stream holds decode memory, before any was seen: 600 tokens of 5 ms."""

PRIOR_PROMPT = 3000.0
"""Tokens of a prompt before any was seen, between those of the measured deployments; the first one replaces it."""

PRIOR_ANSWER = 600.0
"""Tokens before any were seen, in the order of what the measured deployments' streams have; soon outweighed."""

PRIOR_STREAMS = 1.0
"""Streams for which the prior counts."""


@dataclass(slots=True)
class Demand:
    """Sliding sums of one service."""

    prompt: float = PRIOR_PROMPT
    """Running mean of the tokens of a prompt."""

    _prompts: deque[tuple[float, int]] = field(default_factory=deque)
    _waits: deque[float] = field(default_factory=deque)
    _seen_prompts: int = 0
    _first_at: float | None = None
    """When the first prompt came, in monotonic seconds."""
    _streams: int = 0
    """Streams that hold decode memory."""
    _stream_seconds: float = 0.0
    _tokens: float = 0.0
    _ended: float = 0.0
    """Sums over streams, of which old parts fade."""
    _faded_at: float = 0.0

    def note_prompt(self, tokens: int, now: float) -> None:
        """Count a request by the tokens of its prompt."""
        if self._first_at is None:
            self._first_at = now
        self._prompts.append((now, tokens))
        self._seen_prompts += 1
        self.prompt += max(LEAST_WEIGHT, 1 / self._seen_prompts) * (tokens - self.prompt)

    def begin_stream(self, now: float) -> None:
        """Count a stream that has decode memory from now on."""
        self._fade(now)
        self._streams += 1

    def note_tokens(self, tokens: int, now: float) -> None:
        """Count tokens that a stream made."""
        self._fade(now)
        self._tokens += tokens

    def end_stream(self, now: float) -> None:
        """Count a stream that gave its decode memory back."""
        self._fade(now)
        self._streams -= 1
        self._ended += 1

    def find_residence(self, now: float) -> float:
        """Return the seconds for which a stream holds decode memory in the mean."""
        self._fade(now)
        return (self._stream_seconds + PRIOR_STREAMS * PRIOR_RESIDENCE) / (self._ended + PRIOR_STREAMS)

    def find_answer(self, now: float) -> float:
        """Return the tokens of an answer in the mean."""
        self._fade(now)
        return (self._tokens + PRIOR_STREAMS * PRIOR_ANSWER) / (self._ended + PRIOR_STREAMS)

    def note_wait(self, now: float) -> None:
        """Count a request that found decode memory full."""
        self._waits.append(now)

    def count_prompt_rate(self, now: float) -> float:
        """Return the prompt tokens a second of late."""
        while self._prompts and self._prompts[0][0] < now - WINDOW:
            self._prompts.popleft()
        return sum(tokens for _, tokens in self._prompts) / self._find_window(now)

    def _find_window(self, now: float) -> float:
        """Return the seconds over which prompts were counted: fewer as long as this VM has served for a short time."""
        served = WINDOW if self._first_at is None else now - self._first_at
        return min(WINDOW, max(LEAST_WINDOW, served))

    def count_wait_rate(self, now: float) -> float:
        """Return the requests a second that found decode memory full of late."""
        while self._waits and self._waits[0] < now - WINDOW:
            self._waits.popleft()
        return len(self._waits) / WINDOW

    def _fade(self, now: float) -> None:
        """Add the time of the running streams since the last call, and let what is older count less."""
        passed, self._faded_at = now - self._faded_at, now
        kept = math.exp(-passed / MEMORY)
        self._stream_seconds = self._stream_seconds * kept + self._streams * MEMORY * (1 - kept)
        self._tokens *= kept
        self._ended *= kept
