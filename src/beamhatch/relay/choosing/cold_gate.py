"""What a cold upstream may be sent: so little over all VMs together that it does not fall over as it warms up."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from beamhatch.relay.model import ColdTerms, Upstream, UpstreamId

WINDOW_S = 1.02
"""Seconds over which this VM counts what it sent: the second that the bound is of, and the granularity of timers."""

HELD_RETRY_S = 0.25
"""Seconds until one asks again where room is held for a request that has not gone out: what a prompt is read in."""

STARTUP_DELAY_S = 2.0
"""Seconds behind its start in which a VM sends nothing to cold upstreams.

What it sent before a restart is more than a second old by then, and it has heard of the other VMs.
"""

DISCOVERY_S = 12.0
"""Seconds behind its start in which a VM may not know all others: VMs tell each other of new ones every 10 s.

One that knows few takes itself for one of few. With views that are late by that, one of 50 fleets of 8 VMs was over the
bound, by 3 of 17, as VMs that knew two others had a large part at once.
"""

VIEW_TTL_S = 1.0
"""Seconds for which the VMs that are known of are not looked up anew."""

LOG_RETENTION_S = 60.0
"""Seconds without a request for which it is remembered what was sent to an upstream."""


@dataclass(frozen=True, slots=True)
class ColdBound:
    """How many requests may reach a cold upstream in any second, over all VMs."""

    overage: float = 1.0
    """Times the rate that the upstream bears."""
    slack: float = 0.0
    """Requests on top of that."""

    def compute_limit(self, terms: ColdTerms) -> float:
        """Return the requests of one second."""
        return terms.rate * self.overage + self.slack


@dataclass(frozen=True, slots=True)
class KnownVms:
    """The VMs that one VM knows of."""

    own: str
    """Its name, which a restart does not change."""
    list_others: Callable[[float], Sequence[str]]
    """Returns the names of those that were there of late, whether they are in touch or not."""
    expects_others: Callable[[], bool]
    """Tells whether there are others, although none may have been heard of."""


class ColdGate(ABC):
    """Decides whether this VM may send one more request to an upstream that is cold.

    The sum over all VMs, whatever they know of each other, is to stay below what the upstream bears in any second.
    """

    @abstractmethod
    def may_send(self, upstream: Upstream, terms: ColdTerms, now: float) -> bool:
        """Tell whether one more request may go there now. It only looks."""

    @abstractmethod
    def hold(self, upstream: UpstreamId, now: float) -> None:
        """Keep room for a request that is to go to a cold upstream, at a time that is not known yet."""

    @abstractmethod
    def release(self, upstream: UpstreamId, now: float) -> None:
        """Give that room back: the request goes out now, or not at all."""

    @abstractmethod
    def record_sent(self, upstream: UpstreamId, now: float) -> None:
        """Count a request that goes to a cold upstream."""

    @abstractmethod
    def get_wait(self, upstream: Upstream, terms: ColdTerms, now: float) -> float:
        """Return the seconds until this VM may send a request there: 0 where it may, infinite where it can't say."""


@dataclass(slots=True)
class Permit:
    """Room for one request at a cold upstream, from the plan until it goes out or is given up."""

    gate: ColdGate
    upstream: UpstreamId
    _held: bool = True

    def use(self, now: float) -> None:
        """Count the request: it goes out now."""
        if self._held:
            self.drop(now)
            self.gate.record_sent(self.upstream, now)

    def drop(self, now: float) -> None:
        """Give the room back, unless the request went out."""
        if self._held:
            self._held = False
            self.gate.release(self.upstream, now)


class UnlimitedGate(ColdGate):
    """Bounds nothing."""

    def may_send(self, upstream: Upstream, terms: ColdTerms, now: float) -> bool:
        """Say yes."""
        return True

    def hold(self, upstream: UpstreamId, now: float) -> None:
        """Hold nothing."""

    def release(self, upstream: UpstreamId, now: float) -> None:
        """Hold nothing."""

    def record_sent(self, upstream: UpstreamId, now: float) -> None:
        """Count nothing."""

    def get_wait(self, upstream: Upstream, terms: ColdTerms, now: float) -> float:
        """Return no time."""
        return 0.0


@dataclass(slots=True)
class _SendLog:
    """What this VM sent to one upstream in the last second, and what it holds room for."""

    times: deque[float] = field(default_factory=deque)
    held: int = 0
    used_at: float = 0.0

    def count(self, now: float) -> int:
        while self.times and now - self.times[0] > WINDOW_S:
            self.times.popleft()
        return len(self.times) + self.held

    def get_wait(self, most: int, now: float) -> float:
        over = self.count(now) - most
        if over < 0:
            return 0.0
        return self.times[over] + WINDOW_S - now if over < len(self.times) else HELD_RETRY_S


class CountingGate(ColdGate):
    """Lets a VM send some requests in any second; how many, and when, is what the kinds of it differ in."""

    def __init__(self, vms: KnownVms, bound: ColdBound, started: float) -> None:
        self.vms = vms
        self.bound = bound
        self._startup_ends_at = started + STARTUP_DELAY_S
        self._discovery_ends_at = started + DISCOVERY_S
        self._logs: dict[UpstreamId, _SendLog] = {}
        self._others: Sequence[str] = ()
        self._refreshed_at = -math.inf

    @abstractmethod
    def count_allowed(self, upstream: Upstream, terms: ColdTerms, now: float) -> int:
        """Return how many requests of any second this VM may send to a cold upstream now."""

    @abstractmethod
    def get_wait_for_allowance(self, upstream: Upstream, terms: ColdTerms, now: float) -> float:
        """Return the seconds until this VM may send any where it may not now; infinite where it can't say."""

    @abstractmethod
    def on_view_changed(self) -> None:
        """Take in that other VMs are known of than before."""

    def on_view_refreshed(self) -> None:
        """Take in that it was looked anew which VMs there are."""

    def is_discovering(self, now: float) -> bool:
        """Tell whether this VM started so late that it may know few of the others."""
        return now < self._discovery_ends_at and self.vms.expects_others()

    def is_view_fresh(self, now: float) -> bool:
        """Tell whether it was looked just now which VMs there are."""
        return now - self._refreshed_at < VIEW_TTL_S

    def may_send(self, upstream: Upstream, terms: ColdTerms, now: float) -> bool:
        """Tell whether one more request may go there now."""
        if not self._is_open(now):
            return False
        log = self._logs.get(upstream.id)
        return (0 if log is None else log.count(now)) < self.count_allowed(upstream, terms, now)

    def hold(self, upstream: UpstreamId, now: float) -> None:
        """Keep room for a request."""
        log = self._get_log(upstream, now)
        log.held += 1

    def release(self, upstream: UpstreamId, now: float) -> None:
        """Give room back."""
        log = self._get_log(upstream, now)
        log.held = max(0, log.held - 1)

    def record_sent(self, upstream: UpstreamId, now: float) -> None:
        """Count a request."""
        self._get_log(upstream, now).times.append(now)

    def get_wait(self, upstream: Upstream, terms: ColdTerms, now: float) -> float:
        """Return the seconds until there is room."""
        if not self._is_open(now):
            return self._startup_ends_at - now if now < self._startup_ends_at else math.inf
        allowed = self.count_allowed(upstream, terms, now)
        if not allowed:
            return self.get_wait_for_allowance(upstream, terms, now)
        log = self._logs.get(upstream.id)
        return 0.0 if log is None else log.get_wait(allowed, now)

    @property
    def vm_count(self) -> int:
        """Return how many VMs there are, as far as this one knows."""
        return 1 + len(self._others)

    def list_others(self) -> Sequence[str]:
        """Return the other VMs."""
        return self._others

    def _is_open(self, now: float) -> bool:
        """Tell whether this VM may send anything: not just behind its start, nor while it hears of no other."""
        if now < self._startup_ends_at:
            return False
        self._refresh_view(now)
        return bool(self._others) or not self.vms.expects_others()

    def _refresh_view(self, now: float) -> None:
        if self.is_view_fresh(now):
            return
        self._refreshed_at = now
        self.on_view_refreshed()
        others = [name for name in self.vms.list_others(now) if name != self.vms.own]
        if set(others) != set(self._others):
            self._others = others
            self.on_view_changed()
        self._logs = {name: log for name, log in self._logs.items() if log.held or now - log.used_at < LOG_RETENTION_S}

    def _get_log(self, upstream: UpstreamId, now: float) -> _SendLog:
        log = self._logs.get(upstream)
        if log is None:
            log = self._logs[upstream] = _SendLog()
        log.used_at = now
        return log
