"""How much the streams of one VM ask of the engines: prompts to read, waits for decode memory, and its use.

Means over streams that have ended would be of the short ones as long as the long ones run. So a stream that runs counts
as long as those took in the mean that ran on beyond its age. Before enough have ended, their time follows from the
tokens that callers expect and from the pace at which tokens come, which shows within a second.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

RATE_WINDOW_S = 4.0
"""Seconds over which rates are counted: some streams' time."""

MIN_RATE_WINDOW_S = 2.0
"""Seconds over which rates are counted at the least where this VM has just begun to serve."""

DECAY_TIME_S = 20.0
"""Seconds after which what was seen counts 1/e: long enough for a mean of a VM that gets a stream a second."""

MIN_PROMPT_WEIGHT = 0.05
"""Weight of one more prompt in the running mean: the mean is of the last 20 or so."""

PRIOR_TOKEN_TIME_S = 0.005
"""Seconds of a token before any was seen; by the measured deployments' sheets a step takes 3.4 to 5.1 ms and more."""

PRIOR_TOKEN_COUNT = 200.0
"""Tokens for which that prior counts: those of a few events."""

PRIOR_FIRST_EVENT_S = 0.3
"""Seconds from the reservation of decode memory to a first event before any was seen, as long as a prompt is read."""

FIRST_EVENT_WEIGHT = 0.1
"""Weight of one more such time in the running mean: the mean is of the last ten or so."""

PRIOR_PROMPT_TOKENS = 3000.0
"""Tokens of a prompt before any was seen, between those of the measured deployments; the first one replaces it."""

PRIOR_ANSWER_TOKENS = 600.0
"""Tokens before any were seen, in the order of what the measured deployments' streams have; soon outweighed."""

PRIOR_STREAM_COUNT = 3
"""Ended streams for which the time counts that follows from expected tokens and their pace."""

MAX_ENDED_STREAMS = 24
"""Ended streams of late that are looked at: some seconds of a VM's share of a busy service."""


@dataclass(slots=True)
class DemandEstimator:
    """Sliding sums of one service."""

    mean_prompt_tokens: float = PRIOR_PROMPT_TOKENS
    """Running mean of the tokens of a prompt."""

    _prompts: deque[tuple[float, int]] = field(default_factory=deque)
    _waits: deque[float] = field(default_factory=deque)
    _prompt_count: int = 0
    _first_prompt_at: float | None = None
    """When the first prompt came, in monotonic seconds."""
    mean_answer_tokens: float = PRIOR_ANSWER_TOKENS
    """Running mean of the tokens that are expected of an answer."""
    _stream_starts: list[float] = field(default_factory=list)
    """When each stream that holds decode memory began, in monotonic seconds."""
    _ended_durations: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_ENDED_STREAMS))
    """Seconds for which those held it that ended of late."""
    _mean_first_event_s: float = PRIOR_FIRST_EVENT_S
    _tokens: float = 0.0
    _token_seconds: float = 0.0
    """Sums over the events of streams behind each one's first, of which old parts fade."""
    _decayed_at: float = 0.0

    def record_prompt(self, tokens: int, expected_answer: float, now: float) -> None:
        """Count a request by the tokens of its prompt, and those that are expected of its answer."""
        if self._first_prompt_at is None:
            self._first_prompt_at = now
        self._prompts.append((now, tokens))
        self._prompt_count += 1
        weight = max(MIN_PROMPT_WEIGHT, 1 / self._prompt_count)
        self.mean_prompt_tokens += weight * (tokens - self.mean_prompt_tokens)
        self.mean_answer_tokens += weight * (expected_answer - self.mean_answer_tokens)

    def discard_last_prompt(self, tokens: int) -> None:
        """Count the last prompt no more where it was of so many tokens: it was refused, and nobody reads it.

        Prompts that decode engines had no room for would else have these become prefill engines.
        """
        if self._prompts and self._prompts[-1][1] == tokens:
            self._prompts.pop()

    def begin_stream(self, now: float) -> None:
        """Count a stream that has decode memory from now on."""
        self._stream_starts.append(now)

    def record_first_event(self, seconds: float) -> None:
        """Take in how long a stream had decode memory before its first event."""
        self._mean_first_event_s += FIRST_EVENT_WEIGHT * (seconds - self._mean_first_event_s)

    def record_tokens(self, tokens: int, seconds: float, now: float) -> None:
        """Take in tokens that a stream made in some seconds."""
        self._decay(now)
        self._tokens += tokens
        self._token_seconds += seconds

    def end_stream(self, started_at: float, now: float) -> None:
        """Count a stream that gave its decode memory back, which it had since some time."""
        self._stream_starts.remove(started_at)
        self._ended_durations.append(now - started_at)

    def estimate_residence(self, now: float) -> float:
        """Return the seconds for which a stream holds decode memory in the mean."""
        known = [*self._ended_durations, *[self._predict_residence()] * PRIOR_STREAM_COUNT]
        running = [_predict_duration(now - began, known) for began in self._stream_starts]
        return (sum(known) + sum(running)) / (len(known) + len(running))

    def _predict_residence(self) -> float:
        """Return the seconds for which a stream should hold decode memory, by expected tokens and their pace."""
        token_seconds = self._token_seconds + PRIOR_TOKEN_COUNT * PRIOR_TOKEN_TIME_S
        return self._mean_first_event_s + self.mean_answer_tokens * token_seconds / (self._tokens + PRIOR_TOKEN_COUNT)

    def record_wait(self, now: float) -> None:
        """Count a request that found decode memory full."""
        self._waits.append(now)

    def compute_prompt_rate(self, now: float) -> float:
        """Return the prompt tokens a second of late."""
        while self._prompts and self._prompts[0][0] < now - RATE_WINDOW_S:
            self._prompts.popleft()
        return sum(tokens for _, tokens in self._prompts) / self._get_window(now)

    def _get_window(self, now: float) -> float:
        """Return the seconds over which prompts were counted: fewer as long as this VM has served for a short time."""
        served = RATE_WINDOW_S if self._first_prompt_at is None else now - self._first_prompt_at
        return min(RATE_WINDOW_S, max(MIN_RATE_WINDOW_S, served))

    def compute_wait_rate(self, now: float) -> float:
        """Return the requests a second that found decode memory full of late."""
        while self._waits and self._waits[0] < now - RATE_WINDOW_S:
            self._waits.popleft()
        return len(self._waits) / RATE_WINDOW_S

    def _decay(self, now: float) -> None:
        """Let what is older count less."""
        elapsed, self._decayed_at = now - self._decayed_at, now
        factor = math.exp(-elapsed / DECAY_TIME_S)
        self._tokens *= factor
        self._token_seconds *= factor


def _predict_duration(age: float, durations: Sequence[float]) -> float:
    """Return the seconds that a stream of some age will have taken in the mean once it has ended.

    :param known: the seconds that others took
    """
    longer = [seconds for seconds in durations if seconds > age]
    return sum(longer) / len(longer) if longer else age
