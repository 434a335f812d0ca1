"""Estimate the demand of one VM's streams.

The demand consists of the prompt rate, the rate of waits for decode memory, and the residence: the time for which a
stream holds decode memory. The mean residence includes running streams, as ended streams alone would bias it towards
short ones. A running stream counts with the mean duration of the ended streams that lasted longer than its age. Until
streams have ended, the residence is predicted from the expected tokens and the token rate.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

RATE_WINDOW_S = 4.0
"""Window of the prompt and wait rates, in seconds."""

MIN_RATE_WINDOW_S = 2.0
"""Minimum window of the prompt rate soon after the first prompt, in seconds."""

DECAY_TIME_S = 20.0
"""Time constant of the exponential decay of token sums, in seconds.

Long enough for a mean on a VM that gets one stream a second.
"""

MIN_PROMPT_WEIGHT = 0.05
"""Minimum weight of a new prompt in the running means.

The means cover about the last 20 prompts.
"""

PRIOR_TOKEN_TIME_S = 0.005
"""Assumed seconds per token before any token was recorded."""

PRIOR_TOKEN_COUNT = 200.0
"""Weight of ``PRIOR_TOKEN_TIME_S`` in the mean, in tokens."""

PRIOR_FIRST_EVENT_S = 0.3
"""Assumed seconds from the reservation of decode memory to a stream's first event."""

FIRST_EVENT_WEIGHT = 0.1
"""Weight of a new first-event time in the running mean.

The mean covers about the last ten.
"""

PRIOR_PROMPT_TOKENS = 3000.0
"""Assumed tokens of a prompt before the first request was recorded."""

PRIOR_ANSWER_TOKENS = 600.0
"""Assumed tokens of an answer before the first request was recorded."""

PRIOR_STREAM_COUNT = 3
"""Weight of the predicted residence in the mean, as a number of ended streams."""

MAX_ENDED_STREAMS = 24
"""Maximum number of ended streams kept."""


@dataclass(slots=True)
class DemandEstimator:
    """Estimator of the demand of one service."""

    mean_prompt_tokens: float = PRIOR_PROMPT_TOKENS
    """Running mean of the tokens per prompt."""

    _prompts: deque[tuple[float, int]] = field(default_factory=deque)
    _waits: deque[float] = field(default_factory=deque)
    _prompt_count: int = 0
    _first_prompt_at: float | None = None
    """Time of the first prompt, on the monotonic clock."""
    mean_answer_tokens: float = PRIOR_ANSWER_TOKENS
    """Running mean of the expected tokens per answer."""
    _stream_starts: list[float] = field(default_factory=list)
    """Start times of the streams that hold decode memory, on the monotonic clock."""
    _ended_durations: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_ENDED_STREAMS))
    """Seconds for which the last ended streams held decode memory."""
    _mean_first_event_s: float = PRIOR_FIRST_EVENT_S
    _tokens: float = 0.0
    """Exponentially decayed sum of the recorded tokens."""
    _token_seconds: float = 0.0
    """Exponentially decayed sum of the seconds that these tokens took."""
    _decayed_at: float = 0.0

    def record_prompt(self, tokens: int, expected_answer: float, now: float) -> None:
        """Record a request by the tokens of its prompt and the expected tokens of its answer."""
        if self._first_prompt_at is None:
            self._first_prompt_at = now
        self._prompts.append((now, tokens))
        self._prompt_count += 1
        weight = max(MIN_PROMPT_WEIGHT, 1 / self._prompt_count)
        self.mean_prompt_tokens += weight * (tokens - self.mean_prompt_tokens)
        self.mean_answer_tokens += weight * (expected_answer - self.mean_answer_tokens)

    def discard_last_prompt(self, tokens: int) -> None:
        """Remove the last prompt from the rate, if it has this number of tokens, after its request was refused.

        Prompts refused for lack of decode memory would otherwise cause engines to change to prefill.
        """
        if self._prompts and self._prompts[-1][1] == tokens:
            self._prompts.pop()

    def begin_stream(self, now: float) -> None:
        """Record that a stream reserved decode memory."""
        self._stream_starts.append(now)

    def record_first_event(self, seconds: float) -> None:
        """Record the seconds from a stream's reservation of decode memory to its first event."""
        self._mean_first_event_s += FIRST_EVENT_WEIGHT * (seconds - self._mean_first_event_s)

    def record_tokens(self, tokens: int, seconds: float, now: float) -> None:
        """Record tokens that a stream generated after its first event, and the seconds that these took."""
        self._decay(now)
        self._tokens += tokens
        self._token_seconds += seconds

    def end_stream(self, started_at: float, now: float) -> None:
        """Record that the stream started at ``started_at`` released its decode memory."""
        self._stream_starts.remove(started_at)
        self._ended_durations.append(now - started_at)

    def estimate_residence(self, now: float) -> float:
        """Return the mean number of seconds for which a stream holds decode memory."""
        known = [*self._ended_durations, *[self._predict_residence()] * PRIOR_STREAM_COUNT]
        running = [_predict_duration(now - started_at, known) for started_at in self._stream_starts]
        return (sum(known) + sum(running)) / (len(known) + len(running))

    def _predict_residence(self) -> float:
        """Return the residence predicted from expected tokens and the token rate."""
        token_seconds = self._token_seconds + PRIOR_TOKEN_COUNT * PRIOR_TOKEN_TIME_S
        return self._mean_first_event_s + self.mean_answer_tokens * token_seconds / (self._tokens + PRIOR_TOKEN_COUNT)

    def record_wait(self, now: float) -> None:
        """Record a request that found decode memory full."""
        self._waits.append(now)

    def compute_prompt_rate(self, now: float) -> float:
        """Return the prompt tokens per second in the window, ``RATE_WINDOW_S`` or shorter after the first prompt."""
        while self._prompts and self._prompts[0][0] < now - RATE_WINDOW_S:
            self._prompts.popleft()
        return sum(tokens for _, tokens in self._prompts) / self._get_window(now)

    def _get_window(self, now: float) -> float:
        """Return the window of the prompt rate in seconds, which is shorter soon after the first prompt."""
        elapsed = RATE_WINDOW_S if self._first_prompt_at is None else now - self._first_prompt_at
        return min(RATE_WINDOW_S, max(MIN_RATE_WINDOW_S, elapsed))

    def compute_wait_rate(self, now: float) -> float:
        """Return the requests per second that found decode memory full in the last ``RATE_WINDOW_S``."""
        while self._waits and self._waits[0] < now - RATE_WINDOW_S:
            self._waits.popleft()
        return len(self._waits) / RATE_WINDOW_S

    def _decay(self, now: float) -> None:
        """Decay the token sums by the time since the last call."""
        elapsed, self._decayed_at = now - self._decayed_at, now
        factor = math.exp(-elapsed / DECAY_TIME_S)
        self._tokens *= factor
        self._token_seconds *= factor


def _predict_duration(age: float, durations: Sequence[float]) -> float:
    """Return the expected total duration of a stream that has run for ``age`` seconds.

    :param durations: the durations of other streams, in seconds
    """
    longer = [seconds for seconds in durations if seconds > age]
    return sum(longer) / len(longer) if longer else age
