"""Spans in which upstreams were more than silent."""

from __future__ import annotations

from dataclasses import dataclass, field

SLACK = 0.2
"""Seconds behind the end of a span within which what it ended may still be seen."""


@dataclass(slots=True)
class Harms:
    """Crashes and faults of upstreams; all times are seconds of the run."""

    _begun: dict[str, list[float]] = field(default_factory=dict)
    _spans: dict[str, list[tuple[float, float]]] = field(default_factory=dict)

    def begin(self, name: str, now: float) -> None:
        """Note that a span begins; spans may overlap."""
        self._begun.setdefault(name, []).append(now)

    def end(self, name: str, now: float) -> None:
        """Note that the span that began first ends, if there is one."""
        if self._begun.get(name):
            self._spans.setdefault(name, []).append((self._begun[name].pop(0), now))

    def overlap(self, name: str, begin: float, end: float) -> bool:
        """Return whether a span has a moment in common with a time."""
        ongoing = any(begun <= end for begun in self._begun.get(name, ()))
        return ongoing or any(one <= end and begin <= other + SLACK for one, other in self._spans.get(name, ()))
