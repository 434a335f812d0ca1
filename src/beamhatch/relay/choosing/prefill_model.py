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

DEFAULT_TOKENS_PER_S = 30_000.0
"""Prompt tokens a second before any reading was seen.

Between the readers of the deployments that were measured (33,000 and 56,000) and half of them, and soon replaced.
"""

DEFAULT_OVERHEAD_S = 0.05
"""Seconds of a call beside the reading, before any was seen: some round trips and the engine's own."""

DECODE_RATE_FACTOR = 0.375
"""Pace of a decode engine that reads a prompt itself, as a share of a prefill engine's, before any was seen.

By the platform's pages it reads at half the pace, in pieces between the steps of its streams, which take a part too.
"""

MAX_SAMPLES = 24
"""Readings that a line is drawn through: some seconds of traffic."""

MAX_UNSENT = 8
"""Readings that are kept to be told to peers: more than a VM sees between two beats, but for bursts."""

MIN_SAMPLES = 8
"""Readings below which the prior is believed: lines through 8 were mostly within 0.15 of those through 24 (trials)."""

FIT_INTERVAL_SAMPLES = 4
"""Readings between two fits; a fit takes 0.1 ms."""

FIT_ITERATIONS = 4
"""Times that a line is drawn anew through the readings that are nearest to it; the last ones change little."""

FIT_QUANTILE = 0.25
"""Quantile of the readings by which the line goes: the slower ones had work ahead that nobody told of."""

MIN_TOKENS_STDEV = 200.0
"""Standard deviation of the prompts' tokens below which they say nothing of the seconds of a token."""

MIN_TOKENS_PER_S = 2_000.0
"""Prompt tokens a second: the lower bound on what is learned."""

MAX_TOKENS_PER_S = 1_000_000.0
"""The upper bound; both are far outside of what engines do."""


class PrefillSample(msgspec.Struct, array_like=True, frozen=True):
    """A prompt that an engine read for some VM, as VMs tell each other."""

    service: str
    at_decode: bool
    """True where a decode engine read it between the steps of its streams."""
    tokens: int
    seconds: float


@dataclass(frozen=True, slots=True)
class PrefillModel:
    """A line: seconds of a call, and tokens a second."""

    overhead: float = DEFAULT_OVERHEAD_S
    rate: float = DEFAULT_TOKENS_PER_S

    def predict(self, tokens: float) -> float:
        """Return the seconds until a prompt is read, by its own tokens and those ahead of it."""
        return self.overhead + tokens / self.rate


@dataclass(slots=True)
class PrefillEstimator:
    """What the readings of late show."""

    model: PrefillModel = PrefillModel()
    fitted: bool = False
    """True once the pace is what this VM found, from readings."""
    enabled: bool = True
    _samples: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    _unsent: deque[tuple[int, float]] = field(default_factory=lambda: deque(maxlen=MAX_UNSENT))
    """Own readings that peers were not told yet."""
    _unfitted: int = 0

    def record_own(self, tokens: int, seconds: float) -> None:
        """Take in the reading of a prompt that, as far as was known, had no other one ahead of it."""
        self._unsent.append((tokens, seconds))
        self.record(tokens, seconds)

    def record(self, tokens: int, seconds: float) -> None:
        """Take in such a reading, of this VM's or another one's.

        A VM of a large fleet has a prompt read every few seconds. By own readings alone, 195 VMs went by the prior,
        half of the true rate, for 12 s.
        """
        if not self.enabled:
            return
        self._samples.append((float(tokens), seconds))
        self._unfitted += 1
        if len(self._samples) >= MIN_SAMPLES and (not self.fitted or self._unfitted >= FIT_INTERVAL_SAMPLES):
            self._unfitted = 0
            self.model = fit_model(list(self._samples))
            self.fitted = True

    def pop_unsent(self) -> list[tuple[int, float]]:
        """Return the own readings, tokens and seconds, that peers were not told yet; they are taken as told now."""
        untold = list(self._unsent)
        self._unsent.clear()
        return untold

    def adopt(self, pace: PrefillModel) -> None:
        """Take over what another VM has found, where this one knows nothing yet."""
        if self.enabled and not self.fitted:
            self.model = pace


def fit_model(samples: Sequence[tuple[float, float]]) -> PrefillModel:
    """Return the line through the undisturbed half of some readings: least trimmed squares.

    :param samples: tokens and seconds of each
    """
    per_token = _get_quantile([(seconds - DEFAULT_OVERHEAD_S) / tokens for tokens, seconds in samples if tokens])
    line = _make_model(DEFAULT_OVERHEAD_S, per_token)
    for _ in range(FIT_ITERATIONS):
        residuals = [seconds - line.predict(tokens) for tokens, seconds in samples]
        level = _get_quantile(residuals)
        ranked = sorted(zip(residuals, samples, strict=True), key=lambda pair: abs(pair[0] - level))
        kept = [sample for _, sample in ranked[: max(MIN_SAMPLES // 2, len(ranked) // 2)]]
        if pstdev(tokens for tokens, _ in kept) < MIN_TOKENS_STDEV:
            break
        fitted = linear_regression([tokens for tokens, _ in kept], [seconds for _, seconds in kept])
        if fitted.slope <= 0:
            break
        line = _make_model(fitted.intercept, fitted.slope)
    return line


def _get_quantile(values: list[float]) -> float:
    return sorted(values)[int(FIT_QUANTILE * len(values))]


def _make_model(overhead: float, per_token: float) -> PrefillModel:
    return PrefillModel(max(0.0, overhead), 1 / min(max(per_token, 1 / MAX_TOKENS_PER_S), 1 / MIN_TOKENS_PER_S))


@dataclass(slots=True)
class PrefillEstimators:
    """The paces of all services."""

    enabled: bool = True
    """False where the prior holds whatever is seen."""
    _prefill: dict[ServiceName, PrefillEstimator] = field(default_factory=dict)
    _decode: dict[ServiceName, PrefillEstimator] = field(default_factory=dict)

    def get_prefill(self, service: ServiceName) -> PrefillEstimator:
        """Return how fast the prefill engines of a service read."""
        reading = self._prefill.get(service)
        if reading is None:
            reading = self._prefill[service] = PrefillEstimator(enabled=self.enabled)
        return reading

    def record(self, reading: PrefillSample) -> None:
        """Take in a peer's reading."""
        service = ServiceName(reading.service)
        pace = self.get_decode(service) if reading.at_decode else self.get_prefill(service)
        pace.record(reading.tokens, reading.seconds)

    def pop_unsent(self) -> list[PrefillSample]:
        """Return this VM's readings that peers were not told yet; they are taken as told now."""
        readings = []
        for whole, paces in ((False, self._prefill), (True, self._decode)):
            for service, pace in paces.items():
                readings += [PrefillSample(service, whole, *one) for one in pace.pop_unsent()]
        return readings

    def get_decode(self, service: ServiceName) -> PrefillEstimator:
        """Return how fast the decode engines of a service read, between the steps of their streams."""
        whole = self._decode.get(service)
        if whole is None:
            whole = self._decode[service] = PrefillEstimator(enabled=self.enabled)
        if not whole.fitted:
            reading = self.get_prefill(service).model
            whole.model = PrefillModel(reading.overhead, DECODE_RATE_FACTOR * reading.rate)
        return whole
