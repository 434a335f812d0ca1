"""Limit the rate of requests to cold upstreams over all VMs, so that they are not overloaded while they warm up."""

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
"""Seconds over which sent requests are counted: the one that limits apply to, plus timer granularity."""

RESERVED_RETRY_S = 0.25
"""Seconds until the next check if the limit is used up by reservations for requests that have not been sent yet."""

STARTUP_DELAY_S = 2.0
"""Seconds after its start in which a VM sends nothing to cold upstreams.

Requests sent before a restart have left the window by then, and the other VMs are known.
"""

DISCOVERY_S = 12.0
"""Seconds after its start in which a VM may not know all others, since VMs announce new ones every 10 s.

A VM that knows few others would use too large a part of the limit.
"""

VIEW_TTL_S = 1.0
"""Seconds after which the list of known VMs is refreshed."""

LOG_RETENTION_S = 60.0
"""Seconds after the last request for which the send log of an upstream is kept."""


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """Limit on the requests that all VMs together may send to a cold upstream in any second."""

    overage: float = 1.0
    """Factor on the rate that an upstream accepts while it is cold."""
    slack: float = 0.0
    """Requests a second added to the multiplied rate."""

    def compute_limit(self, terms: ColdTerms) -> float:
        """Return the requests that may be sent in one second."""
        return terms.rate * self.overage + self.slack


@dataclass(frozen=True, slots=True)
class KnownVms:
    """Access to the VMs that one VM knows of."""

    own_name: str
    """Name of this VM, which a restart does not change."""
    list_others: Callable[[float], Sequence[str]]
    """Returns the names of the VMs seen recently, connected or not; takes the current time."""
    expects_others: Callable[[], bool]
    """Returns whether other VMs exist, even if none is known yet."""


class ColdGate(ABC):
    """Limiter of the requests that this VM sends to cold upstreams.

    In any second, the sum over all VMs is to stay within the upstream's limit, even if the VMs don't know each other.
    """

    @abstractmethod
    def may_send(self, upstream: Upstream, terms: ColdTerms, now: float) -> bool:
        """Return whether one more request may be sent now, without counting it."""

    @abstractmethod
    def reserve(self, upstream: UpstreamId, now: float) -> None:
        """Reserve a part of the limit for a request that is to be sent to a cold upstream later."""

    @abstractmethod
    def release(self, upstream: UpstreamId, now: float) -> None:
        """Release a reservation when its request is sent or dropped."""

    @abstractmethod
    def record_sent(self, upstream: UpstreamId, now: float) -> None:
        """Count a request that is sent to a cold upstream."""

    @abstractmethod
    def get_wait(self, upstream: Upstream, terms: ColdTerms, now: float) -> float:
        """Return the seconds until this VM may send a request: 0 if it may now, infinite if unknown."""


@dataclass(slots=True)
class ColdPermit:
    """Reservation for one request to a cold upstream, until the request is sent or dropped."""

    gate: ColdGate
    upstream: UpstreamId
    _reserved: bool = True

    def use(self, now: float) -> None:
        """Release the reservation and count the request as sent."""
        if self._reserved:
            self.drop(now)
            self.gate.record_sent(self.upstream, now)

    def drop(self, now: float) -> None:
        """Release the room, unless that was done already."""
        if self._reserved:
            self._reserved = False
            self.gate.release(self.upstream, now)


class UnlimitedGate(ColdGate):
    """Gate without a limit."""

    def may_send(self, upstream: Upstream, terms: ColdTerms, now: float) -> bool:
        """Return True."""
        return True

    def reserve(self, upstream: UpstreamId, now: float) -> None:
        """Do nothing."""

    def release(self, upstream: UpstreamId, now: float) -> None:
        """Do nothing."""

    def record_sent(self, upstream: UpstreamId, now: float) -> None:
        """Do nothing."""

    def get_wait(self, upstream: Upstream, terms: ColdTerms, now: float) -> float:
        """Return 0."""
        return 0.0


@dataclass(slots=True)
class _SendLog:
    """Times of the requests that this VM sent to one upstream within the window, and its reservations."""

    times: deque[float] = field(default_factory=deque)
    held: int = 0
    """Reservations for requests that have not been sent yet."""
    used_at: float = 0.0

    def count(self, now: float) -> int:
        while self.times and now - self.times[0] > WINDOW_S:
            self.times.popleft()
        return len(self.times) + self.held

    def get_wait(self, limit: int, now: float) -> float:
        excess = self.count(now) - limit
        if excess < 0:
            return 0.0
        return self.times[excess] + WINDOW_S - now if excess < len(self.times) else RESERVED_RETRY_S


class CountingGate(ColdGate):
    """Gate that counts sent requests in a sliding window; subclasses decide how many each VM may send, and when."""

    def __init__(self, vms: KnownVms, limit: ColdLimit, started: float) -> None:
        self.vms = vms
        self.limit = limit
        self._startup_ends_at = started + STARTUP_DELAY_S
        self._discovery_ends_at = started + DISCOVERY_S
        self._logs: dict[UpstreamId, _SendLog] = {}
        self._others: Sequence[str] = ()
        self._refreshed_at = -math.inf

    @abstractmethod
    def count_allowed(self, upstream: Upstream, terms: ColdTerms, now: float) -> int:
        """Return how many requests a second this VM may send to a cold upstream now."""

    @abstractmethod
    def get_wait_for_allowance(self, upstream: Upstream, terms: ColdTerms, now: float) -> float:
        """Return the seconds until ``count_allowed`` is above 0; infinite if unknown."""

    @abstractmethod
    def on_view_changed(self) -> None:
        """Handle a change of the set of known VMs."""

    def on_view_refreshed(self) -> None:
        """Handle a refresh of the set of known VMs, whether it changed or not."""

    def is_discovering(self, now: float) -> bool:
        """Return whether this VM started so recently that it may not know all others."""
        return now < self._discovery_ends_at and self.vms.expects_others()

    def is_view_fresh(self, now: float) -> bool:
        """Return whether the list of known VMs is younger than ``VIEW_TTL_S``."""
        return now - self._refreshed_at < VIEW_TTL_S

    def may_send(self, upstream: Upstream, terms: ColdTerms, now: float) -> bool:
        """Return whether one more request may be sent now."""
        if not self._is_open(now):
            return False
        log = self._logs.get(upstream.id)
        return (0 if log is None else log.count(now)) < self.count_allowed(upstream, terms, now)

    def reserve(self, upstream: UpstreamId, now: float) -> None:
        """Reserve a part of the limit for a request."""
        log = self._get_log(upstream, now)
        log.held += 1

    def release(self, upstream: UpstreamId, now: float) -> None:
        """Release a reservation."""
        log = self._get_log(upstream, now)
        log.held = max(0, log.held - 1)

    def record_sent(self, upstream: UpstreamId, now: float) -> None:
        """Count a sent request."""
        self._get_log(upstream, now).times.append(now)

    def get_wait(self, upstream: Upstream, terms: ColdTerms, now: float) -> float:
        """Return the seconds until one more request may be sent; infinite if unknown."""
        if not self._is_open(now):
            return self._startup_ends_at - now if now < self._startup_ends_at else math.inf
        allowed = self.count_allowed(upstream, terms, now)
        if not allowed:
            return self.get_wait_for_allowance(upstream, terms, now)
        log = self._logs.get(upstream.id)
        return 0.0 if log is None else log.get_wait(allowed, now)

    @property
    def vm_count(self) -> int:
        """Return the number of known VMs, including this one."""
        return 1 + len(self._others)

    def list_others(self) -> Sequence[str]:
        """Return the names of the other known VMs."""
        return self._others

    def _is_open(self, now: float) -> bool:
        """Return whether this VM may send at all: its startup delay is over, and it knows others if there are any."""
        if now < self._startup_ends_at:
            return False
        self._refresh_view(now)
        return bool(self._others) or not self.vms.expects_others()

    def _refresh_view(self, now: float) -> None:
        if self.is_view_fresh(now):
            return
        self._refreshed_at = now
        self.on_view_refreshed()
        others = [name for name in self.vms.list_others(now) if name != self.vms.own_name]
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
