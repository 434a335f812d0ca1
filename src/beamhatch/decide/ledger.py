"""The ledger of one upstream: its last report, corrected by what this VM has sent and seen end since.

A report is true of a moment in the past. So the load is the report, plus own work sent after that moment, minus own
work that ended after it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from beamhatch.decide.circuit import Breaker

if TYPE_CHECKING:
    from beamhatch.ids import HallName, RequestId, UpstreamName

KEPT_ENDS = 10.0
"""Seconds for which ended work is remembered; reports lag by less."""


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


@dataclass(slots=True)
class _Work:
    tokens: int
    sent: float
    release: float


@dataclass(slots=True)
class Ledger:
    """Load and standing of one upstream, as this VM sees it."""

    facts: Facts
    standing: Standing = Standing.SERVING
    breaker: Breaker = field(default_factory=Breaker)
    report: Report | None = None
    own: dict[RequestId, _Work] = field(default_factory=dict)
    own_tokens: int = 0
    promises: dict[RequestId, _Work] = field(default_factory=dict)
    """Memory that this VM counts on for prefills that have not landed yet."""
    promised_tokens: int = 0
    _held: int = 0
    _jobs: int = 0
    _ends: deque[tuple[float, _Work]] = field(default_factory=deque)

    @property
    def capacity(self) -> int:
        """Return the KV tokens that fit."""
        return (
            self.report.capacity_tokens if self.report and self.report.capacity_tokens else self.facts.capacity_tokens
        )

    @property
    def held(self) -> int:
        """Return the KV tokens that are held, as far as is known; never less than this VM's own."""
        return max(self._held, self.own_tokens)

    @property
    def jobs(self) -> int:
        """Return the number of requests there, as far as is known."""
        return max(self._jobs, len(self.own))

    @property
    def free(self) -> int:
        """Return the KV tokens that are free."""
        return self.capacity - self.held

    @property
    def pressure(self) -> float:
        """Return the share of the memory that is held or promised; above 1 where promises wait for others to end."""
        return (self.held + self.promised_tokens) / self.capacity

    def is_usable(self, now: float, age_limit: float) -> bool:
        """Tell whether new work may go there."""
        if self.standing is not Standing.SERVING or not self.breaker.allows(now):
            return False
        return self.report is not None and now - self.report.at <= age_limit

    def send(self, request: RequestId, tokens: int, now: float, release: float) -> None:
        """Enter work that goes there.

        :param release: when it is expected to end
        """
        self.own[request] = _Work(tokens, now, release)
        self.own_tokens += tokens
        self._held += tokens
        self._jobs += 1
        self.breaker.note_dispatch(now)

    def promise(self, request: RequestId, tokens: int, now: float, release: float) -> None:
        """Count on memory for a prefill that is to land here."""
        self.promises[request] = _Work(tokens, now, release)
        self.promised_tokens += tokens

    def withdraw(self, request: RequestId) -> None:
        """Take back a promise."""
        work = self.promises.pop(request, None)
        if work is not None:
            self.promised_tokens -= work.tokens

    def end(self, request: RequestId, now: float) -> None:
        """Enter that work has ended."""
        work = self.own.pop(request, None)
        if work is None:
            return
        self.own_tokens -= work.tokens
        self._held -= work.tokens
        self._jobs -= 1
        self._ends.append((now, work))
        self.breaker.note_release()

    def take_report(self, report: Report) -> None:
        """Enter a report; one that is older than the last changes nothing."""
        if self.report is not None and report.at < self.report.at:
            return
        self.report = report
        while self._ends and self._ends[0][0] < report.at - KEPT_ENDS:
            self._ends.popleft()
        sent_since = [work for work in self.own.values() if work.sent > report.at]
        ended_since = [work for at, work in self._ends if at > report.at and work.sent <= report.at]
        self._held = report.held_tokens + _sum(sent_since) - _sum(ended_since)
        self._jobs = report.jobs + len(sent_since) - len(ended_since)
        if report.leaving:
            self.standing = Standing.LEAVING

    def predict_free(self, at: float, now: float, lifetime: float) -> float:
        """Return the KV tokens that are expected to be free at a time.

        Own work is expected to end when it was said to; of the work of others, the share that would end by then if
        their ends were spread evenly over a lifetime.
        """
        planned = sum(work.tokens for work in (*self.own.values(), *self.promises.values()) if work.release <= at)
        foreign = self.held - self.own_tokens
        ending = foreign * min(1.0, max(0.0, at - now) / max(lifetime, 0.001))
        return self.free - self.promised_tokens + planned + ending


def _sum(works: list[_Work]) -> int:
    return sum(work.tokens for work in works)
