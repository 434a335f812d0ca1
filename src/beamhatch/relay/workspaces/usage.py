"""Request and grant rates of workspaces on this VM, in a hall, and on all VMs.

Each VM reports the rates of its own callers to the aggregators of its hall. These send the sum to their hall and
forward the sums of other halls, so that every VM learns the rates of all VMs and how many VMs they cover.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from beamhatch.relay.fleet.peer_words import PeerValues
from beamhatch.relay.workspaces.workspace import WorkspaceName

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

RATE_TIME_CONSTANT_S = 0.5
"""Time constant of the exponential decay of rates.

A shorter one is noisy in a hall with few requests a second; a longer one reveals a surge too late.
"""

TRANSIT_JITTER_S = 0.1
"""Seconds by which the apparent age of a sum may differ by route; less than the interval between two sums."""

HALL_USAGE_TTL_S = 0.9
"""Seconds for which a sum is used; covers two idle sending intervals and the delay over four VMs.

The shorter it is, the sooner a VM that is cut off keeps to its own part.
"""

MIN_REPORTED_RATE_PER_S = 1.0
"""Rates below this many units per second are not reported."""


class Rates(msgspec.Struct, array_like=True, frozen=True):
    """The rates of one workspace."""

    requested: int = 0
    """Units per second that its callers request."""
    granted: int = 0
    """Units per second that are granted."""


NO_RATES = Rates()

RatesByWorkspace = dict[WorkspaceName, Rates]


class HallUsage(msgspec.Struct, array_like=True, frozen=True):
    """The rates of a hall, summed over its VMs, as sent."""

    hall: str
    aggregator: str
    """VM that computed the sum."""
    age: float
    """Seconds since the sum was computed, so that a receiver can tell how old a forwarded sum is."""
    vms: int
    """Number of VMs it covers."""
    rates: RatesByWorkspace


@dataclass(frozen=True, slots=True)
class FleetUsage:
    """The rates of all VMs in contact."""

    vms: int
    rates: RatesByWorkspace


@dataclass(slots=True)
class _DecayingRate:
    """An exponentially decaying rate."""

    rate: float = 0.0
    updated_at: float = 0.0

    def record(self, units: float, now: float) -> None:
        self.rate = self.compute_rate(now) + units / RATE_TIME_CONSTANT_S
        self.updated_at = now

    def compute_rate(self, now: float) -> float:
        return self.rate * math.exp((self.updated_at - now) / RATE_TIME_CONSTANT_S)


@dataclass(slots=True)
class LocalUsage:
    """The rates of this VM's callers."""

    _requested: dict[WorkspaceName, _DecayingRate] = field(default_factory=dict)
    _granted: dict[WorkspaceName, _DecayingRate] = field(default_factory=dict)

    def record_requested(self, workspace: WorkspaceName, units: float, now: float) -> None:
        """Record the units of a request."""
        self._requested.setdefault(workspace, _DecayingRate()).record(units, now)

    def record_granted(self, workspace: WorkspaceName, units: float, now: float) -> None:
        """Record granted units, or refunded ones if ``units`` is negative."""
        self._granted.setdefault(workspace, _DecayingRate()).record(units, now)

    def compute_requested_rate(self, workspace: WorkspaceName, now: float) -> float:
        """Return the units per second that a workspace's callers request."""
        rate = self._requested.get(workspace)
        return 0.0 if rate is None else rate.compute_rate(now)

    def compute_rates(self, now: float) -> RatesByWorkspace:
        """Return the rates of the active workspaces."""
        rates = {}
        for workspace, rate in list(self._requested.items()):
            requested = rate.compute_rate(now)
            if requested < MIN_REPORTED_RATE_PER_S:
                del self._requested[workspace]
                self._granted.pop(workspace, None)
                continue
            granted = self._granted.get(workspace)
            rates[workspace] = Rates(
                round(requested), 0 if granted is None else max(0, round(granted.compute_rate(now)))
            )
        return rates


def add_rates(parts: Iterable[Mapping[WorkspaceName, Rates]]) -> RatesByWorkspace:
    """Return the sums of rates by workspace."""
    total: RatesByWorkspace = {}
    for part in parts:
        for workspace, rates in part.items():
            known = total.get(workspace, NO_RATES)
            total[workspace] = Rates(known.requested + rates.requested, known.granted + rates.granted)
    return total


@dataclass(frozen=True, slots=True)
class KnownHallUsage:
    """The rates of a hall and the time at which they were summed."""

    hall: str
    aggregator: str
    vms: int
    rates: RatesByWorkspace
    computed_at: float
    """In monotonic seconds of this VM."""

    def is_newer(self, known: KnownHallUsage | None) -> bool:
        """Return whether this is a later sum than a known one."""
        return known is None or self.computed_at > known.computed_at + TRANSIT_JITTER_S

    def make_message(self, now: float) -> HallUsage:
        """Return the message to send."""
        return HallUsage(self.hall, self.aggregator, round(now - self.computed_at, 3), self.vms, self.rates)


@dataclass(slots=True)
class UsageTracker:
    """The usage of all VMs as known to this one."""

    vm: str
    hall: str
    local: LocalUsage = field(default_factory=LocalUsage)
    member_rates: PeerValues[RatesByWorkspace] = field(default_factory=PeerValues)
    """Rates reported by the other VMs of the hall."""
    _halls: dict[tuple[str, str], KnownHallUsage] = field(default_factory=dict)
    """Newest sum by hall and aggregator."""

    def apply_hall_usage(self, message: HallUsage, now: float) -> KnownHallUsage:
        """Record a peer's sum if it is newer than the known one and not from this VM; return it in any case."""
        usage = KnownHallUsage(message.hall, message.aggregator, message.vms, message.rates, now - message.age)
        key = usage.hall, usage.aggregator
        if usage.aggregator != self.vm and usage.is_newer(self._halls.get(key)):
            self._halls[key] = usage
        return usage

    def compute_hall_rates(self, now: float) -> RatesByWorkspace:
        """Return the rates of this VM's hall, summed from its members' reports."""
        return add_rates([self.local.compute_rates(now), *self.member_rates.list_values(now)])

    def record_own_hall(self, rates: RatesByWorkspace, vms: int, now: float) -> None:
        """Record the sum for this VM's hall; ``vms`` is the number of VMs it covers, including those without usage."""
        self._halls[self.hall, self.vm] = KnownHallUsage(self.hall, self.vm, vms, rates, now)

    def list_hall_usages(self, now: float) -> list[KnownHallUsage]:
        """Return one current sum per hall, the one that covers the most VMs."""
        best: dict[str, KnownHallUsage] = {}
        for usage in self._halls.values():
            if now - usage.computed_at < HALL_USAGE_TTL_S and (
                usage.hall not in best or usage.vms > best[usage.hall].vms
            ):
                best[usage.hall] = usage
        return list(best.values())

    def get_hall_rates(self, hall: str, now: float) -> RatesByWorkspace:
        """Return the current rates of a hall, empty if there are none."""
        return next((usage.rates for usage in self.list_hall_usages(now) if usage.hall == hall), {})

    def has_remote_usage(self, now: float) -> bool:
        """Return whether there are current sums that cover other VMs."""
        return any(
            now - usage.computed_at < HALL_USAGE_TTL_S and (usage.hall != self.hall or usage.vms > 1)
            for usage in self._halls.values()
        )

    def compute_fleet_usage(self, now: float) -> FleetUsage:
        """Return the rates of all VMs in contact, always including this one."""
        halls = self.list_hall_usages(now)
        parts: list[RatesByWorkspace] = [usage.rates for usage in halls]
        vms = sum(usage.vms for usage in halls)
        if all(usage.hall != self.hall for usage in halls):
            parts.append(self.local.compute_rates(now))
            vms += 1
        return FleetUsage(vms, add_rates(parts))

    def remove_expired(self, now: float) -> None:
        """Remove expired reports and sums."""
        self.member_rates.drop_expired(now)
        self._halls = {key: usage for key, usage in self._halls.items() if now - usage.computed_at < HALL_USAGE_TTL_S}
