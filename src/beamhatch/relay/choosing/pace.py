"""Estimate how fast the engines of a service prefill prompts, from samples of this VM and its peers.

The time of a prefill is modelled as a fixed overhead plus a time per token. All engines of a service share one model.
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
"""Prefill rate assumed before the model is fitted."""

DEFAULT_OVERHEAD_S = 0.05
"""Overhead of a prefill assumed before the model is fitted: round trips and fixed work of the engine."""

DECODE_RATE_FACTOR = 0.375
"""Prefill rate of a decode engine relative to a prefill engine, assumed before the model is fitted.

Decode engines prefill in chunks between decode steps. The platform's decode engines prefill at half the rate, and
their streams take a part of that.
"""

MAX_SAMPLES = 24
"""Number of recent samples that a model is fitted to."""

MAX_UNSENT = 8
"""Number of own samples kept until the next heartbeat to peers."""

MIN_SAMPLES = 8
"""Number of samples needed for the first fit."""

FIT_INTERVAL_SAMPLES = 4
"""Number of new samples between two fits."""

FIT_ITERATIONS = 4
"""Iterations of least trimmed squares."""

FIT_QUANTILE = 0.25
"""Quantile of the prefill times that the model is fitted to, as slower prefills may have waited for unreported work."""

MIN_TOKENS_STDEV = 200.0
"""Standard deviation of the prompt lengths below which the time per token can't be fitted."""

MIN_TOKENS_PER_S = 2_000.0
"""Lower bound of the fitted rate."""

MAX_TOKENS_PER_S = 1_000_000.0
"""Upper bound of the fitted rate."""


class PrefillSample(msgspec.Struct, array_like=True, frozen=True):
    """One prefill, as VMs report it to each other."""

    service: str
    at_decode: bool
    """True if a decode engine did the prefill, between decode steps."""
    tokens: int
    seconds: float


@dataclass(frozen=True, slots=True)
class PrefillModel:
    """Linear model of prefill time, with an overhead in seconds and a rate in tokens a second."""

    overhead: float = DEFAULT_OVERHEAD_S
    rate: float = DEFAULT_TOKENS_PER_S

    def predict(self, tokens: float) -> float:
        """Return the seconds to prefill some tokens: those of a prompt and those queued before it."""
        return self.overhead + tokens / self.rate


@dataclass(slots=True)
class PrefillEstimator:
    """Estimator of one prefill model from recent samples."""

    model: PrefillModel = PrefillModel()
    fitted: bool = False
    """True if the model was fitted to samples by this VM."""
    enabled: bool = True
    _samples: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    _unsent: deque[tuple[int, float]] = field(default_factory=lambda: deque(maxlen=MAX_UNSENT))
    """Own samples not yet sent to peers, as tokens and seconds."""
    _samples_since_fit: int = 0

    def record_own(self, tokens: int, seconds: float) -> None:
        """Record a prefill of this VM's request, with no known work queued before it, and keep it to send to peers."""
        self._unsent.append((tokens, seconds))
        self.record(tokens, seconds)

    def record(self, tokens: int, seconds: float) -> None:
        """Record a prefill of any VM's request, and fit the model if there are enough new samples.

        Samples of peers are used as well, since one VM of a large fleet sees few prefills.
        """
        if not self.enabled:
            return
        self._samples.append((float(tokens), seconds))
        self._samples_since_fit += 1
        if len(self._samples) >= MIN_SAMPLES and (not self.fitted or self._samples_since_fit >= FIT_INTERVAL_SAMPLES):
            self._samples_since_fit = 0
            self.model = fit_model(list(self._samples))
            self.fitted = True

    def pop_unsent(self) -> list[tuple[int, float]]:
        """Remove and return the own samples not yet sent to peers, as tokens and seconds."""
        unsent = list(self._unsent)
        self._unsent.clear()
        return unsent

    def adopt(self, model: PrefillModel) -> None:
        """Use the model of another VM, unless this one has fitted its own."""
        if self.enabled and not self.fitted:
            self.model = model


def fit_model(samples: Sequence[tuple[float, float]]) -> PrefillModel:
    """Fit a model to the half of the samples nearest to ``FIT_QUANTILE``, by least trimmed squares.

    :param samples: tokens and seconds of each prefill
    """
    per_token = _get_quantile([(seconds - DEFAULT_OVERHEAD_S) / tokens for tokens, seconds in samples if tokens])
    model = _make_model(DEFAULT_OVERHEAD_S, per_token)
    for _ in range(FIT_ITERATIONS):
        residuals = [seconds - model.predict(tokens) for tokens, seconds in samples]
        level = _get_quantile(residuals)
        ranked = sorted(zip(residuals, samples, strict=True), key=lambda pair: abs(pair[0] - level))
        kept = [sample for _, sample in ranked[: max(MIN_SAMPLES // 2, len(ranked) // 2)]]
        if pstdev(tokens for tokens, _ in kept) < MIN_TOKENS_STDEV:
            break
        fitted = linear_regression([tokens for tokens, _ in kept], [seconds for _, seconds in kept])
        if fitted.slope <= 0:
            break
        model = _make_model(fitted.intercept, fitted.slope)
    return model


def _get_quantile(values: list[float]) -> float:
    return sorted(values)[int(FIT_QUANTILE * len(values))]


def _make_model(overhead: float, per_token: float) -> PrefillModel:
    return PrefillModel(max(0.0, overhead), 1 / min(max(per_token, 1 / MAX_TOKENS_PER_S), 1 / MIN_TOKENS_PER_S))


@dataclass(slots=True)
class PrefillEstimators:
    """Estimators for the prefill and decode engines of all services."""

    enabled: bool = True
    """False if samples are ignored and the defaults apply."""
    _prefill: dict[ServiceName, PrefillEstimator] = field(default_factory=dict)
    _decode: dict[ServiceName, PrefillEstimator] = field(default_factory=dict)

    def get_prefill(self, service: ServiceName) -> PrefillEstimator:
        """Return the estimator of a service's prefill engines."""
        estimator = self._prefill.get(service)
        if estimator is None:
            estimator = self._prefill[service] = PrefillEstimator(enabled=self.enabled)
        return estimator

    def record(self, sample: PrefillSample) -> None:
        """Record a sample that a peer sent."""
        service = ServiceName(sample.service)
        estimator = self.get_decode(service) if sample.at_decode else self.get_prefill(service)
        estimator.record(sample.tokens, sample.seconds)

    def pop_unsent(self) -> list[PrefillSample]:
        """Remove and return this VM's samples not yet sent to peers."""
        samples = []
        for at_decode, estimators in ((False, self._prefill), (True, self._decode)):
            for service, estimator in estimators.items():
                samples += [PrefillSample(service, at_decode, *one) for one in estimator.pop_unsent()]
        return samples

    def get_decode(self, service: ServiceName) -> PrefillEstimator:
        """Return the estimator of a service's decode engines.

        Until it is fitted, its model is derived from that of the prefill engines.
        """
        estimator = self._decode.get(service)
        if estimator is None:
            estimator = self._decode[service] = PrefillEstimator(enabled=self.enabled)
        if not estimator.fitted:
            model = self.get_prefill(service).model
            estimator.model = PrefillModel(model.overhead, DECODE_RATE_FACTOR * model.rate)
        return estimator
