"""How fast the engines of a service read prompts, learned from the prompts that they read for this VM and its peers.

The time of a reading is taken as a line over its tokens: some seconds for the call itself, and some for each token.
Engines of one service are taken to be alike; one that is slower than the others shows in its own standing.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from statistics import linear_regression, pstdev
from typing import TYPE_CHECKING

import msgspec

from beamhatch.relay.model import ServiceName

if TYPE_CHECKING:
    from collections.abc import Sequence

PRIOR_RATE = 30_000.0
"""Prompt tokens a second before any reading was seen.

Between the readers of the deployments that were measured (33,000 and 56,000) and half of them, and soon replaced.
"""

PRIOR_OVERHEAD = 0.05
"""Seconds of a call beside the reading, before any was seen: some round trips and the engine's own."""

WHOLE_SHARE = 0.375
"""Pace of a decode engine that reads a prompt itself, as a share of a prefill engine's, before any was seen.

By the platform's pages it reads at half the pace, in pieces between the steps of its streams, which take a part too.
"""

MOST_SAMPLES = 24
"""Readings that a line is drawn through: some seconds of traffic."""

MOST_UNTOLD = 8
"""Readings that are kept to be told to peers: more than a VM sees between two beats, but for bursts."""

FEWEST_SAMPLES = 8
"""Readings below which the prior is believed: lines through 8 were mostly within 0.15 of those through 24 (trials)."""

FIT_EVERY = 4
"""Readings between two fits; a fit takes 0.1 ms."""

ROUNDS = 4
"""Times that a line is drawn anew through the readings that are nearest to it; the last ones change little."""

UNDISTURBED = 0.25
"""Quantile of the readings by which the line goes: the slower ones had work ahead that nobody told of."""

LEAST_SPREAD = 200.0
"""Standard deviation of the prompts' tokens below which they say nothing of the seconds of a token."""

SLOWEST_RATE = 2_000.0
"""Prompt tokens a second: the lower bound on what is learned."""

FASTEST_RATE = 1_000_000.0
"""The upper bound; both are far outside of what engines do."""


class Reading(msgspec.Struct, array_like=True, frozen=True):
    """A prompt that an engine read for some VM, as VMs tell each other."""

    service: str
    whole: bool
    """True where a decode engine read it between the steps of its streams."""
    tokens: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Pace:
    """A line: seconds of a call, and tokens a second."""

    overhead: float = PRIOR_OVERHEAD
    rate: float = PRIOR_RATE

    def predict(self, tokens: float) -> float:
        """Return the seconds until a prompt is read, by its own tokens and those ahead of it."""
        return self.overhead + tokens / self.rate


@dataclass(slots=True)
class ReadingPace:
    """What the readings of late show."""

    pace: Pace = Pace()
    learned: bool = False
    """True once the pace is what this VM found, from readings."""
    learns: bool = True
    _samples: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=MOST_SAMPLES))
    _untold: deque[tuple[int, float]] = field(default_factory=lambda: deque(maxlen=MOST_UNTOLD))
    """Own readings that peers were not told yet."""
    _unfitted: int = 0

    def note(self, tokens: int, seconds: float) -> None:
        """Take in the reading of a prompt that, as far as was known, had no other one ahead of it."""
        self._untold.append((tokens, seconds))
        self.note_told(tokens, seconds)

    def note_told(self, tokens: int, seconds: float) -> None:
        """Take in such a reading, of this VM's or another one's.

        A VM of a large fleet has a prompt read every few seconds. By own readings alone, 195 VMs went by the prior,
        half of the true rate, for 12 s.
        """
        if not self.learns:
            return
        self._samples.append((float(tokens), seconds))
        self._unfitted += 1
        if len(self._samples) >= FEWEST_SAMPLES and (not self.learned or self._unfitted >= FIT_EVERY):
            self._unfitted = 0
            self.pace = fit_pace(list(self._samples))
            self.learned = True

    def take_untold(self) -> list[tuple[int, float]]:
        """Return the own readings, tokens and seconds, that peers were not told yet; they are taken as told now."""
        untold = list(self._untold)
        self._untold.clear()
        return untold

    def take(self, pace: Pace) -> None:
        """Take over what another VM has found, where this one knows nothing yet."""
        if self.learns and not self.learned:
            self.pace = pace


def fit_pace(samples: Sequence[tuple[float, float]]) -> Pace:
    """Return the line through the undisturbed half of some readings: least trimmed squares.

    :param samples: tokens and seconds of each
    """
    per_token = _find_quantile([(seconds - PRIOR_OVERHEAD) / tokens for tokens, seconds in samples if tokens])
    line = _make_pace(PRIOR_OVERHEAD, per_token)
    for _ in range(ROUNDS):
        residuals = [seconds - line.predict(tokens) for tokens, seconds in samples]
        level = _find_quantile(residuals)
        ranked = sorted(zip(residuals, samples, strict=True), key=lambda pair: abs(pair[0] - level))
        kept = [sample for _, sample in ranked[: max(FEWEST_SAMPLES // 2, len(ranked) // 2)]]
        if pstdev(tokens for tokens, _ in kept) < LEAST_SPREAD:
            break
        fitted = linear_regression([tokens for tokens, _ in kept], [seconds for _, seconds in kept])
        if fitted.slope <= 0:
            break
        line = _make_pace(fitted.intercept, fitted.slope)
    return line


def _find_quantile(values: list[float]) -> float:
    return sorted(values)[int(UNDISTURBED * len(values))]


def _make_pace(overhead: float, per_token: float) -> Pace:
    return Pace(max(0.0, overhead), 1 / min(max(per_token, 1 / FASTEST_RATE), 1 / SLOWEST_RATE))


@dataclass(slots=True)
class EnginePaces:
    """The paces of all services."""

    learns: bool = True
    """False where the prior holds whatever is seen."""
    _readings: dict[ServiceName, ReadingPace] = field(default_factory=dict)
    _whole: dict[ServiceName, ReadingPace] = field(default_factory=dict)

    def get_reading(self, service: ServiceName) -> ReadingPace:
        """Return how fast the prefill engines of a service read."""
        reading = self._readings.get(service)
        if reading is None:
            reading = self._readings[service] = ReadingPace(learns=self.learns)
        return reading

    def note_told(self, reading: Reading) -> None:
        """Take in a peer's reading."""
        service = ServiceName(reading.service)
        pace = self.get_whole(service) if reading.whole else self.get_reading(service)
        pace.note_told(reading.tokens, reading.seconds)

    def take_untold(self) -> list[Reading]:
        """Return this VM's readings that peers were not told yet; they are taken as told now."""
        readings = []
        for whole, paces in ((False, self._readings), (True, self._whole)):
            for service, pace in paces.items():
                readings += [Reading(service, whole, *one) for one in pace.take_untold()]
        return readings

    def get_whole(self, service: ServiceName) -> ReadingPace:
        """Return how fast the decode engines of a service read, between the steps of their streams."""
        whole = self._whole.get(service)
        if whole is None:
            whole = self._whole[service] = ReadingPace(learns=self.learns)
        if not whole.learned:
            reading = self.get_reading(service).pace
            whole.pace = Pace(reading.overhead, WHOLE_SHARE * reading.rate)
        return whole
