"""How fast workspaces ask for units of their quotas, and are given them: at this VM, in a hall, and everywhere.

Each VM tells a few of its hall what its own callers ask. These add it up, tell their hall the sum, and hand on the sums
of other halls, so that every VM knows within a second what the whole fleet asks, and how many VMs that covers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from beamhatch.relay.fleet.peer_words import PeerWords
from beamhatch.relay.workspaces.workspace import WorkspaceName

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

RATE_TIME_CONSTANT_S = 0.5
"""Seconds after which a request counts 1/e in a rate: a shorter one is noise for a hall that gets a few a second, and a
longer one shows a workspace that begins to send many times its usual too late. With 0.7 s, and news every 0.25 to
0.5 s, the worst windows of fleets under four times the quota were up to 0.18 further over what the platform bears.
"""

TRANSIT_JITTER_S = 0.1
"""Seconds by which the age of one sum may seem to differ on two ways: two sums of one teller are further apart."""

HALL_USAGE_TTL_S = 0.9
"""Seconds for which a sum is believed: two of the calm intervals at which it is told, and its way over four VMs. The
shorter, the sooner a VM that is cut off keeps to its own part.
"""

MIN_RATE_PER_S = 1.0
"""Units a second below which nothing is told."""


class Rates(msgspec.Struct, array_like=True, frozen=True):
    """What one workspace asks and is given."""

    requested: int = 0
    """Units a second."""
    granted: int = 0
    """Units a second that were taken from the quota."""


NO_RATES = Rates()

RatesByWorkspace = dict[WorkspaceName, Rates]


class HallUsage(msgspec.Struct, array_like=True, frozen=True):
    """The sum over the VMs of a hall."""

    hall: str
    aggregator: str
    """The VM that added it up."""
    age: float
    """Seconds since it was added up, when it is told: what is handed on in a circle must not look new."""
    vms: int
    """How many VMs it covers."""
    rates: RatesByWorkspace


@dataclass(frozen=True, slots=True)
class FleetUsage:
    """The sum over all VMs that were heard of."""

    vms: int
    rates: RatesByWorkspace


@dataclass(slots=True)
class _DecayingRate:
    """A rate of which old parts fade."""

    rate: float = 0.0
    updated_at: float = 0.0

    def record(self, units: float, now: float) -> None:
        self.rate = self.compute_rate(now) + units / RATE_TIME_CONSTANT_S
        self.updated_at = now

    def compute_rate(self, now: float) -> float:
        return self.rate * math.exp((self.updated_at - now) / RATE_TIME_CONSTANT_S)


@dataclass(slots=True)
class LocalUsage:
    """What the callers of this VM ask and are given."""

    _requested: dict[WorkspaceName, _DecayingRate] = field(default_factory=dict)
    _granted: dict[WorkspaceName, _DecayingRate] = field(default_factory=dict)

    def record_requested(self, workspace: WorkspaceName, units: float, now: float) -> None:
        """Note that a request asked for units."""
        self._requested.setdefault(workspace, _DecayingRate()).record(units, now)

    def record_granted(self, workspace: WorkspaceName, units: float, now: float) -> None:
        """Note that units were taken from the quota, or given back where ``units`` is below 0."""
        self._granted.setdefault(workspace, _DecayingRate()).record(units, now)

    def compute_requested_rate(self, workspace: WorkspaceName, now: float) -> float:
        """Return the units a second that a workspace's callers ask."""
        meter = self._requested.get(workspace)
        return 0.0 if meter is None else meter.compute_rate(now)

    def compute_rates(self, now: float) -> RatesByWorkspace:
        """Return the rates of the workspaces that ask."""
        rates = {}
        for workspace, meter in list(self._requested.items()):
            requested = meter.compute_rate(now)
            if requested < MIN_RATE_PER_S:
                del self._requested[workspace]
                self._granted.pop(workspace, None)
                continue
            granted = self._granted.get(workspace)
            rates[workspace] = Rates(
                round(requested), 0 if granted is None else max(0, round(granted.compute_rate(now)))
            )
        return rates


def add_rates(parts: Iterable[Mapping[WorkspaceName, Rates]]) -> RatesByWorkspace:
    """Return the sum of rates, workspace by workspace."""
    total: RatesByWorkspace = {}
    for part in parts:
        for workspace, rates in part.items():
            known = total.get(workspace, NO_RATES)
            total[workspace] = Rates(known.requested + rates.requested, known.granted + rates.granted)
    return total


@dataclass(frozen=True, slots=True)
class KnownHallUsage:
    """The sum over the VMs of a hall, with the time at which it was added up."""

    hall: str
    aggregator: str
    vms: int
    rates: RatesByWorkspace
    computed_at: float
    """Monotonic seconds of this VM."""

    def is_newer(self, known: KnownHallUsage | None) -> bool:
        """Tell whether it is another sum than a known one, and a later one."""
        return known is None or self.computed_at > known.computed_at + TRANSIT_JITTER_S

    def make_message(self, now: float) -> HallUsage:
        """Return it as it is told."""
        return HallUsage(self.hall, self.aggregator, round(now - self.computed_at, 3), self.vms, self.rates)


@dataclass(slots=True)
class UsageTracker:
    """What this VM knows of the usage of all."""

    vm: str
    hall: str
    local: LocalUsage = field(default_factory=LocalUsage)
    members: PeerWords[RatesByWorkspace] = field(default_factory=PeerWords)
    """What the other VMs of the hall tell of their own callers."""
    _halls: dict[tuple[str, str], KnownHallUsage] = field(default_factory=dict)
    """The newest sum of each hall and teller."""

    def apply_hall_usage(self, message: HallUsage, now: float) -> KnownHallUsage:
        """Take in a sum that a peer told; return it."""
        usage = KnownHallUsage(message.hall, message.aggregator, message.vms, message.rates, now - message.age)
        key = usage.hall, usage.aggregator
        if usage.aggregator != self.vm and usage.is_newer(self._halls.get(key)):
            self._halls[key] = usage
        return usage

    def compute_hall_rates(self, now: float) -> RatesByWorkspace:
        """Return the sum over the VMs of the own hall, as this VM knows it from them."""
        return add_rates([self.local.compute_rates(now), *self.members.list_values(now)])

    def record_own_hall(self, rates: RatesByWorkspace, vms: int, now: float) -> None:
        """Keep the sum of the own hall that is to be told, over some VMs; those that told nothing are asked nothing."""
        self._halls[self.hall, self.vm] = KnownHallUsage(self.hall, self.vm, vms, rates, now)

    def list_hall_usages(self, now: float) -> list[KnownHallUsage]:
        """Return the newest sums: of each hall that which covers the most VMs."""
        best: dict[str, KnownHallUsage] = {}
        for usage in self._halls.values():
            if now - usage.computed_at < HALL_USAGE_TTL_S and (
                usage.hall not in best or usage.vms > best[usage.hall].vms
            ):
                best[usage.hall] = usage
        return list(best.values())

    def get_hall_rates(self, hall: str, now: float) -> RatesByWorkspace:
        """Return the newest rates of a hall, none where it was not heard of late."""
        return next((usage.rates for usage in self.list_hall_usages(now) if usage.hall == hall), {})

    def has_remote_usage(self, now: float) -> bool:
        """Tell whether other VMs are heard, by this VM or by one that adds them up."""
        return any(
            now - usage.computed_at < HALL_USAGE_TTL_S and (usage.hall != self.hall or usage.vms > 1)
            for usage in self._halls.values()
        )

    def compute_fleet_usage(self, now: float) -> FleetUsage:
        """Return the sum over all VMs that are known of; at the least over this one."""
        halls = self.list_hall_usages(now)
        parts: list[RatesByWorkspace] = [usage.rates for usage in halls]
        vms = sum(usage.vms for usage in halls)
        if all(usage.hall != self.hall for usage in halls):
            parts.append(self.local.compute_rates(now))
            vms += 1
        return FleetUsage(vms, add_rates(parts))

    def remove_expired(self, now: float) -> None:
        """Drop what is no longer believed."""
        self.members.forget_old(now)
        self._halls = {key: usage for key, usage in self._halls.items() if now - usage.computed_at < HALL_USAGE_TTL_S}
