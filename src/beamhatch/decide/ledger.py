"""Load accounting for one upstream: this VM's requests, the loads of the other entry VMs and the upstream's reports.

A report describes the load at a time in the past. The load that the entry VMs knew of at that time is subtracted from
it; the remainder is unattributed. The estimated current load is the load known now plus the unattributed load.
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
"""Time for which known loads are kept; it must exceed the delay of reports."""


class UpstreamState(Enum):
    """The lifecycle state of an upstream; only a serving one takes new requests."""

    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class UpstreamConfig:
    """The configuration of one upstream; rates are in tokens per second."""

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
    """A load report of an upstream; its time is on this VM's monotonic clock."""

    time: float
    held_tokens: int
    capacity_tokens: int
    jobs: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class VmLoad:
    """The load that one entry VM has at an upstream: KV tokens held and reserved, and requests."""

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
    """The load and the state of one upstream as known to this VM."""

    config: UpstreamConfig
    state: UpstreamState = UpstreamState.SERVING
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)
    report: LoadSnapshot | None = None
    own_runs: dict[RequestId, int] = field(default_factory=dict)
    """KV tokens by request of this VM."""
    reservations: dict[RequestId, int] = field(default_factory=dict)
    """KV tokens that this VM has reserved for requests whose handoff has not started."""
    vm_loads: dict[str, VmLoad] = field(default_factory=dict)
    """Loads of the other entry VMs, by VM."""
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
        """Return the capacity in KV tokens, as reported or else as configured."""
        return (
            self.report.capacity_tokens if self.report and self.report.capacity_tokens else self.config.capacity_tokens
        )

    @property
    def held_tokens(self) -> int:
        """Return the estimated number of KV tokens held."""
        return self.own_tokens + self._others_held + self._unattributed_held

    @property
    def reserved_tokens(self) -> int:
        """Return the KV tokens that all entry VMs have reserved."""
        return self.own_reserved + self._others_reserved

    @property
    def jobs(self) -> int:
        """Return the estimated number of requests at the upstream."""
        return len(self.own_runs) + self._others_jobs + self._unattributed_jobs

    @property
    def free_tokens(self) -> int:
        """Return the estimated number of free KV tokens, reserved ones included."""
        return self.capacity_tokens - self.held_tokens

    @property
    def utilization(self) -> float:
        """Return the fraction of the memory that is held or reserved; above 1 if memory is overcommitted."""
        return (self.held_tokens + self.reserved_tokens) / self.capacity_tokens

    @property
    def own_load(self) -> VmLoad:
        """Return this VM's own load, as sent to the other entry VMs."""
        return VmLoad(self.own_tokens, self.own_reserved, len(self.own_runs))

    def is_usable(self, now: float, max_report_age: float) -> bool:
        """Return whether the upstream serves, its circuit admits requests and its last report is recent enough."""
        if self.state is not UpstreamState.SERVING or not self.breaker.allows_request(now):
            return False
        return self.report is not None and now - self.report.time <= max_report_age

    def record_dispatch(self, request: RequestId, tokens: int, now: float) -> None:
        """Record that a request was sent to the upstream."""
        self.own_runs[request] = tokens
        self.own_tokens += tokens
        self.breaker.record_dispatch(now)
        self._record_known_load(now)

    def record_end(self, request: RequestId, now: float) -> None:
        """Record that a request has ended."""
        tokens = self.own_runs.pop(request, None)
        if tokens is None:
            return
        self.own_tokens -= tokens
        self.breaker.record_release()
        self._record_known_load(now)

    def reserve(self, request: RequestId, tokens: int) -> None:
        """Reserve memory for a request that is to be handed to this engine."""
        self.reservations[request] = tokens
        self.own_reserved += tokens

    def cancel_reservation(self, request: RequestId) -> None:
        """Cancel a reservation."""
        self.own_reserved -= self.reservations.pop(request, 0)

    def apply_vm_load(self, vm: str, load: VmLoad | None, now: float) -> None:
        """Apply the load of another entry VM; None if that VM is gone."""
        old = self.vm_loads.pop(vm, None) or VmLoad(0, 0, 0)
        new = load or VmLoad(0, 0, 0)
        if load is not None:
            self.vm_loads[vm] = load
        self._others_held += new.held_tokens - old.held_tokens
        self._others_reserved += new.reserved_tokens - old.reserved_tokens
        self._others_jobs += new.jobs - old.jobs
        self._record_known_load(now)

    def apply_report(self, report: LoadSnapshot) -> None:
        """Apply a report; one older than the last is ignored."""
        if self.report is not None and report.time < self.report.time:
            return
        self.report = report
        known = self._get_known_load(report.time)
        self._unattributed_held = max(0, report.held_tokens - known.held_tokens)
        self._unattributed_jobs = max(0, report.jobs - known.jobs)
        if report.leaving:
            self.state = UpstreamState.LEAVING

    def predict_free_tokens(self, seconds: float, residence: float) -> float:
        """Return the KV tokens that are expected to be free after some seconds, without the reserved ones.

        Held memory is assumed to be released uniformly over the mean residence time. Per-request predictions would
        count requests that outlast the mean as about to end.
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
        """Return the load that was known at a time."""
        for known in reversed(self._history):
            if known.time <= at:
                return known
        return _KnownLoad(at, 0, 0)
