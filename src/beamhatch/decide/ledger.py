"""The ledger of one upstream: what this VM has there, what the other entry VMs say they have, and its lagging report.

A report is true of a moment in the past. What all entry VMs together knew of at that moment is taken off it; the rest
is work that nobody here knows. The load now is what is known now, plus that rest.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from beamhatch.decide.circuit import CircuitBreaker

if TYPE_CHECKING:
    from beamhatch.ids import HallName, RequestId, UpstreamName

HISTORY_S = 5.0
"""Seconds for which it is remembered what was known; reports lag by less."""


class UpstreamState(Enum):
    """Whether an upstream takes new work."""

    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class UpstreamConfig:
    """What the configuration says of an upstream."""

    name: UpstreamName
    address: str
    hall: HallName
    role: str
    labels: dict[str, str]
    capacity_tokens: int
    prefill_rate: float
    link_rate: float


@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """A load report, with its moment moved to this VM's monotonic clock."""

    time: float
    held_tokens: int
    capacity_tokens: int
    jobs: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class VmLoad:
    """What one other entry VM has at an upstream."""

    held_tokens: int
    reserved_tokens: int
    jobs: int


@dataclass(frozen=True, slots=True)
class _KnownLoad:
    time: float
    held_tokens: int
    jobs: int


@dataclass(slots=True)
class Ledger:
    """Load and standing of one upstream, as this VM sees it."""

    config: UpstreamConfig
    state: UpstreamState = UpstreamState.SERVING
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)
    report: LoadSnapshot | None = None
    own_runs: dict[RequestId, int] = field(default_factory=dict)
    """KV tokens of this VM's own work there."""
    reservations: dict[RequestId, int] = field(default_factory=dict)
    """Memory that this VM counts on for prefills that have not landed yet."""
    vm_loads: dict[str, VmLoad] = field(default_factory=dict)
    """By the other entry VMs."""
    own_tokens: int = 0
    own_reserved: int = 0
    _others_held: int = 0
    _others_reserved: int = 0
    _others_jobs: int = 0
    _unattributed_held: int = 0
    _unattributed_jobs: int = 0
    _history: deque[_KnownLoad] = field(default_factory=deque)

    @property
    def capacity_tokens(self) -> int:
        """Return the KV tokens that fit."""
        return (
            self.report.capacity_tokens if self.report and self.report.capacity_tokens else self.config.capacity_tokens
        )

    @property
    def held_tokens(self) -> int:
        """Return the KV tokens that are held, as far as is known."""
        return self.own_tokens + self._others_held + self._unattributed_held

    @property
    def reserved_tokens(self) -> int:
        """Return the KV tokens that all entry VMs count on for prefills under way."""
        return self.own_reserved + self._others_reserved

    @property
    def jobs(self) -> int:
        """Return the number of requests there, as far as is known."""
        return len(self.own_runs) + self._others_jobs + self._unattributed_jobs

    @property
    def free_tokens(self) -> int:
        """Return the KV tokens that are free."""
        return self.capacity_tokens - self.held_tokens

    @property
    def utilization(self) -> float:
        """Return the share of the memory that is held or promised; above 1 where promises wait for others to end."""
        return (self.held_tokens + self.reserved_tokens) / self.capacity_tokens

    @property
    def own_load(self) -> VmLoad:
        """Return what this VM has there, to tell the others."""
        return VmLoad(self.own_tokens, self.own_reserved, len(self.own_runs))

    def is_usable(self, now: float, max_report_age: float) -> bool:
        """Tell whether new work may go there."""
        if self.state is not UpstreamState.SERVING or not self.breaker.allows_request(now):
            return False
        return self.report is not None and now - self.report.time <= max_report_age

    def record_dispatch(self, request: RequestId, tokens: int, now: float) -> None:
        """Enter work that goes there."""
        self.own_runs[request] = tokens
        self.own_tokens += tokens
        self.breaker.record_dispatch(now)
        self._record_known_load(now)

    def record_end(self, request: RequestId, now: float) -> None:
        """Enter that work has ended."""
        tokens = self.own_runs.pop(request, None)
        if tokens is None:
            return
        self.own_tokens -= tokens
        self.breaker.record_release()
        self._record_known_load(now)

    def reserve(self, request: RequestId, tokens: int) -> None:
        """Count on memory for a prefill that is to land here."""
        self.reservations[request] = tokens
        self.own_reserved += tokens

    def cancel_reservation(self, request: RequestId) -> None:
        """Take back a promise."""
        self.own_reserved -= self.reservations.pop(request, 0)

    def apply_vm_load(self, vm: str, load: VmLoad | None, now: float) -> None:
        """Enter what another entry VM says it has there; None where it is gone."""
        old = self.vm_loads.pop(vm, None) or VmLoad(0, 0, 0)
        new = load or VmLoad(0, 0, 0)
        if load is not None:
            self.vm_loads[vm] = load
        self._others_held += new.held_tokens - old.held_tokens
        self._others_reserved += new.reserved_tokens - old.reserved_tokens
        self._others_jobs += new.jobs - old.jobs
        self._record_known_load(now)

    def apply_report(self, report: LoadSnapshot) -> None:
        """Enter a report; one that is older than the last changes nothing."""
        if self.report is not None and report.time < self.report.time:
            return
        self.report = report
        known = self._get_known_load(report.time)
        self._unattributed_held = max(0, report.held_tokens - known.held_tokens)
        self._unattributed_jobs = max(0, report.jobs - known.jobs)
        if report.leaving:
            self.state = UpstreamState.LEAVING

    def predict_free_tokens(self, seconds: float, residence: float) -> float:
        """Return the KV tokens that are expected to be free after some seconds.

        What is held is expected to end evenly over a lifetime. The predicted end of each single answer is no help:
        those that last longer than the mean are overdue, and would be taken as free at any moment.
        """
        ending = self.held_tokens * min(1.0, seconds / max(residence, 0.001))
        return self.free_tokens - self.reserved_tokens + ending

    def _record_known_load(self, now: float) -> None:
        held = self.own_tokens + self._others_held
        jobs = len(self.own_runs) + self._others_jobs
        self._history.append(_KnownLoad(now, held, jobs))
        while self._history[0].time < now - HISTORY_S and len(self._history) > 1:
            self._history.popleft()

    def _get_known_load(self, at: float) -> _KnownLoad:
        """Return what was known at a time."""
        for moment in reversed(self._history):
            if moment.time <= at:
                return moment
        return _KnownLoad(at, 0, 0)
