"""The ledger of one upstream: what this VM has there, what the other entry VMs say they have, and its lagging report.

A report is true of a moment in the past. What all entry VMs together knew of at that moment is taken off it; the rest
is work that nobody here knows. The load now is what is known now, plus that rest.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from beamhatch.decide.circuit import Breaker

if TYPE_CHECKING:
    from beamhatch.ids import HallName, RequestId, UpstreamName

KEPT_MOMENTS = 5.0
"""Seconds for which it is remembered what was known; reports lag by less."""


class Standing(Enum):
    """Whether an upstream takes new work."""

    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Facts:
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
class Report:
    """A load report, with its moment moved to this VM's monotonic clock."""

    at: float
    held_tokens: int
    capacity_tokens: int
    jobs: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Share:
    """What one other entry VM has at an upstream."""

    held: int
    promised: int
    jobs: int


@dataclass(frozen=True, slots=True)
class _Moment:
    at: float
    held: int
    jobs: int


@dataclass(slots=True)
class Ledger:
    """Load and standing of one upstream, as this VM sees it."""

    facts: Facts
    standing: Standing = Standing.SERVING
    breaker: Breaker = field(default_factory=Breaker)
    report: Report | None = None
    own: dict[RequestId, int] = field(default_factory=dict)
    """KV tokens of this VM's own work there."""
    promises: dict[RequestId, int] = field(default_factory=dict)
    """Memory that this VM counts on for prefills that have not landed yet."""
    shares: dict[str, Share] = field(default_factory=dict)
    """By the other entry VMs."""
    own_tokens: int = 0
    own_promised: int = 0
    _others_held: int = 0
    _others_promised: int = 0
    _others_jobs: int = 0
    _unknown_held: int = 0
    _unknown_jobs: int = 0
    _moments: deque[_Moment] = field(default_factory=deque)

    @property
    def capacity(self) -> int:
        """Return the KV tokens that fit."""
        return (
            self.report.capacity_tokens if self.report and self.report.capacity_tokens else self.facts.capacity_tokens
        )

    @property
    def held(self) -> int:
        """Return the KV tokens that are held, as far as is known."""
        return self.own_tokens + self._others_held + self._unknown_held

    @property
    def promised_tokens(self) -> int:
        """Return the KV tokens that all entry VMs count on for prefills under way."""
        return self.own_promised + self._others_promised

    @property
    def jobs(self) -> int:
        """Return the number of requests there, as far as is known."""
        return len(self.own) + self._others_jobs + self._unknown_jobs

    @property
    def free(self) -> int:
        """Return the KV tokens that are free."""
        return self.capacity - self.held

    @property
    def pressure(self) -> float:
        """Return the share of the memory that is held or promised; above 1 where promises wait for others to end."""
        return (self.held + self.promised_tokens) / self.capacity

    @property
    def own_share(self) -> Share:
        """Return what this VM has there, to tell the others."""
        return Share(self.own_tokens, self.own_promised, len(self.own))

    def is_usable(self, now: float, age_limit: float) -> bool:
        """Tell whether new work may go there."""
        if self.standing is not Standing.SERVING or not self.breaker.allows(now):
            return False
        return self.report is not None and now - self.report.at <= age_limit

    def send(self, request: RequestId, tokens: int, now: float) -> None:
        """Enter work that goes there."""
        self.own[request] = tokens
        self.own_tokens += tokens
        self.breaker.note_dispatch(now)
        self._note_moment(now)

    def end(self, request: RequestId, now: float) -> None:
        """Enter that work has ended."""
        tokens = self.own.pop(request, None)
        if tokens is None:
            return
        self.own_tokens -= tokens
        self.breaker.note_release()
        self._note_moment(now)

    def promise(self, request: RequestId, tokens: int) -> None:
        """Count on memory for a prefill that is to land here."""
        self.promises[request] = tokens
        self.own_promised += tokens

    def withdraw(self, request: RequestId) -> None:
        """Take back a promise."""
        self.own_promised -= self.promises.pop(request, 0)

    def take_share(self, vm: str, share: Share | None, now: float) -> None:
        """Enter what another entry VM says it has there; None where it is gone."""
        old = self.shares.pop(vm, None) or Share(0, 0, 0)
        new = share or Share(0, 0, 0)
        if share is not None:
            self.shares[vm] = share
        self._others_held += new.held - old.held
        self._others_promised += new.promised - old.promised
        self._others_jobs += new.jobs - old.jobs
        self._note_moment(now)

    def take_report(self, report: Report) -> None:
        """Enter a report; one that is older than the last changes nothing."""
        if self.report is not None and report.at < self.report.at:
            return
        self.report = report
        known = self._find_moment(report.at)
        self._unknown_held = max(0, report.held_tokens - known.held)
        self._unknown_jobs = max(0, report.jobs - known.jobs)
        if report.leaving:
            self.standing = Standing.LEAVING

    def predict_free(self, seconds: float, lifetime: float) -> float:
        """Return the KV tokens that are expected to be free after some seconds.

        What is held is expected to end evenly over a lifetime. The predicted end of each single answer is no help:
        those that last longer than the mean are overdue, and would be taken as free at any moment.
        """
        ending = self.held * min(1.0, seconds / max(lifetime, 0.001))
        return self.free - self.promised_tokens + ending

    def _note_moment(self, now: float) -> None:
        held = self.own_tokens + self._others_held
        jobs = len(self.own) + self._others_jobs
        self._moments.append(_Moment(now, held, jobs))
        while self._moments[0].at < now - KEPT_MOMENTS and len(self._moments) > 1:
            self._moments.popleft()

    def _find_moment(self, at: float) -> _Moment:
        """Return what was known at a time."""
        for moment in reversed(self._moments):
            if moment.at <= at:
                return moment
        return _Moment(at, 0, 0)
