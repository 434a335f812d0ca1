"""Counters and latency histograms that cost little to keep; they become a page for Prometheus when one is asked for.

``prometheus_client`` is imported with the first page only: it takes memory that small VMs pay for.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

BOUNDS = (0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12, 10.24)
"""Upper bounds of the buckets, in seconds."""


@dataclass(slots=True)
class Latency:
    """A histogram of seconds."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(BOUNDS) + 1))
    total: float = 0.0

    def note(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect_left(BOUNDS, seconds)] += 1
        self.total += seconds

    def list_buckets(self) -> list[tuple[str, float]]:
        """Return cumulated counts by upper bound."""
        buckets = []
        count = 0
        for bound, part in zip([*map(str, BOUNDS), "+Inf"], self.counts, strict=True):
            count += part
            buckets.append((bound, float(count)))
        return buckets


@dataclass(slots=True)
class Tally:
    """All figures of one process; every label value comes from a fixed set."""

    counts: Counter[tuple[str, str]] = field(default_factory=Counter)
    latencies: dict[tuple[str, str], Latency] = field(default_factory=dict)
    gauges: dict[str, Callable[[], float]] = field(default_factory=dict)

    def count(self, name: str, label: str = "") -> None:
        """Count one event."""
        self.counts[name, label] += 1

    def add(self, name: str, label: str, amount: int) -> None:
        """Count some units of one kind, such as bytes."""
        self.counts[name, label] += amount

    def note_latency(self, name: str, label: str, seconds: float) -> None:
        """Count one duration."""
        latency = self.latencies.get((name, label))
        if latency is None:
            latency = self.latencies[name, label] = Latency()
        latency.note(seconds)

    def render(self) -> bytes:
        """Return the page that Prometheus reads."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(_Collector(self))
        return generate_latest(registry)


class _Collector:
    """Hands the figures over to ``prometheus_client``."""

    def __init__(self, tally: Tally) -> None:
        self._tally = tally

    def collect(self) -> Iterator[Any]:
        """Return each figure with its values."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily

        for name in sorted({name for name, _ in self._tally.counts}):
            counter = CounterMetricFamily(f"beamhatch_{name}", name.replace("_", " "), labels=["kind"])
            for (found, label), value in self._tally.counts.items():
                if found == name:
                    counter.add_metric([label], value)
            yield counter
        for name in sorted({name for name, _ in self._tally.latencies}):
            family = HistogramMetricFamily(f"beamhatch_{name}_seconds", name.replace("_", " "), labels=["kind"])
            for (found, label), latency in self._tally.latencies.items():
                if found == name:
                    family.add_metric([label], latency.list_buckets(), latency.total)
            yield family
        for name, read in self._tally.gauges.items():
            yield GaugeMetricFamily(f"beamhatch_{name}", name.replace("_", " "), value=read())
