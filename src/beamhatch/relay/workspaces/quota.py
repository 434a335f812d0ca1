"""Enforces workspace quotas over all VMs without a coordinator.

The platform counts the units of a workspace's requests, on all VMs together, in a sliding window. It tolerates the rate
over the window plus the burst, an overage and a slack. The VMs use this tolerance: the steady rate at
which they grant units is derived from the tolerated total, not from the quota's rate alone.

There are two allocators; all VMs must use the same one:

- :class:`DemandAllocator` grants every VM the same share of its callers' demand: all of it below the quota, and a
  part of it above, so that callers are treated alike in every hall. A VM or hall that is cut off grants only the part
  of the quota that corresponds to its share of the VMs.
- :class:`EqualAllocator` grants every VM an equal part, whatever its demand.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.relay.workspaces.usage import NO_RATES

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.workspaces.usage import FleetUsage, Rates, UsageTracker
    from beamhatch.relay.workspaces.workspace import Quota, Workspace, WorkspaceName

STEADY_RATE_SHARE = 0.88
"""Share of the window bound that is granted at a steady rate while all VMs are in contact."""

CAUTIOUS_RATE_SHARE = 0.72
"""The same for a VM that has run for less than a window or lacks contact with many VMs, whose grants are unknown."""

MISSING_VMS_PENALTY = 2.0
"""Decrease of ``STEADY_RATE_SHARE`` per share of VMs not in contact, down to ``CAUTIOUS_RATE_SHARE``."""

BURST_SHARE = 0.03
"""Share of the window bound that may be granted at once on top of the steady rate.

The rest is a reserve for grants of other VMs that are not known yet. Reports of what other VMs grant are up to a
second old.
"""

CORRECTION_TIME_S = 1.5
"""Seconds over which unused units are granted and excess grants are compensated. Exceeds the delay of updates, so that
VMs that react to the same update do not oscillate, and is well below the platform's window.
"""

MAX_DEBT_S = 4.0
"""Largest excess that is compensated, as the seconds in which it accrues at the steady rate.

A sudden surge is granted in full until the reports arrive, which makes about that much.
"""

SETTLE_TIME_S = 1.0
"""Seconds after the start of a VM during which it grants no more than its equal part, as it has not yet received the
usage of the others.
"""

MIN_RETRY_DELAY_S = 0.15
"""Shortest delay that a refused caller is given."""

MAX_RETRY_DELAY_S = 4.0
"""Longest delay that a refused caller is given."""


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """How the platform enforces quotas."""

    window: float = 8.0
    """Length of the sliding window in seconds."""
    overage: float = 0.1
    """Tolerated excess as a share of the quota."""
    slack: float = 0.0
    """Tolerated excess in units, in addition."""

    def compute_window_bound(self, quota: Quota) -> float:
        """Return the units that the platform tolerates in any window."""
        return (quota.rate * self.window + quota.burst) * (1 + self.overage) + self.slack

    def compute_steady_rate(self, quota: Quota, share: float = CAUTIOUS_RATE_SHARE) -> float:
        """Return the units per second that are granted under sustained demand; at least the quota's rate.

        :param share: share of the window bound to grant
        """
        return max(quota.rate, share * self.compute_window_bound(quota) / self.window)

    def compute_burst(self, quota: Quota) -> float:
        """Return the units that may be granted at once on top of the steady rate."""
        return BURST_SHARE * self.compute_window_bound(quota)


@dataclass(frozen=True, slots=True)
class QuotaLimitChange:
    """A workspace started or ceased to exceed its quota, or its granted share halved or doubled."""

    workspace: WorkspaceName
    granted_share: float
    """Share of the requested units that is granted from now on."""
    requested: int
    """Units per second requested at the VMs in contact."""
    allowed: float
    """Units per second that these VMs may grant."""
    vms: int
    """Number of VMs in contact, this one included."""


def _ignore(_: QuotaLimitChange) -> None:
    """Do nothing."""


@dataclass(slots=True)
class QuotaAllocator(ABC):
    """Allocator of one VM's part of the quotas."""

    usage: UsageTracker
    count_vms: Callable[[], int]
    """Returns the number of VMs, those lost recently included."""
    terms: QuotaTerms = field(default_factory=QuotaTerms)
    started_at: float = 0.0
    """When this VM started, in monotonic seconds."""

    def acquire(self, workspace: Workspace, units: int, now: float) -> float | None:
        """Acquire units for a request; return None, or if refused the seconds after which to retry."""
        self.usage.local.record_requested(workspace.name, units, now)
        wait = self.decide(workspace, units, now)
        if wait is None:
            self.deduct(workspace, units, now)
            self.usage.local.record_granted(workspace.name, units, now)
        return wait

    def refund(self, workspace: WorkspaceName, units: int, now: float) -> None:
        """Refund the units of a request that reached no upstream."""
        self.usage.local.record_granted(workspace, -units, now)
        self.restore(workspace, units)

    def set_terms(self, terms: QuotaTerms) -> None:
        """Apply changed terms."""
        self.terms = terms

    @abstractmethod
    def decide(self, workspace: Workspace, units: int, now: float) -> float | None:
        """Return None to grant a request, or the seconds after which to retry."""

    @abstractmethod
    def deduct(self, workspace: Workspace, units: int, now: float) -> None:
        """Deduct granted units."""

    @abstractmethod
    def restore(self, workspace: WorkspaceName, units: int) -> None:
        """Restore refunded units."""

    @abstractmethod
    def update(self, workspaces: tuple[Workspace, ...], now: float) -> None:
        """Update the allocation from the known usage of all VMs."""

    @abstractmethod
    def is_partly_used(self, workspace: WorkspaceName) -> bool:
        """Return whether part of a workspace's burst is used, so that its usage must be reported."""


@dataclass(slots=True)
class _Bucket:
    """A token bucket; ``units`` is negative if more were granted than had accrued."""

    units: float
    refilled_at: float

    def refill(self, rate: float, capacity: float, now: float) -> None:
        """Add the units accrued since the last refill."""
        self.units = min(capacity, max(-MAX_DEBT_S * rate, self.units) + rate * (now - self.refilled_at))
        self.refilled_at = now


@dataclass(slots=True)
class EqualAllocator(QuotaAllocator):
    """Allocator that grants each VM an equal part of the quota."""

    _buckets: dict[WorkspaceName, _Bucket] = field(default_factory=dict)

    def decide(self, workspace: Workspace, units: int, now: float) -> float | None:
        """Return None to grant a request, or the seconds after which to retry.

        Half of the units suffice, as the capacity of one VM's bucket is often smaller than a request.
        """
        rate, capacity = self._compute_rate_and_capacity(workspace)
        shortage = min(units / 2, capacity) - self._get_bucket(workspace.name, rate, capacity, now).units
        return None if shortage <= 0 else _clamp_wait(shortage / rate)

    def deduct(self, workspace: Workspace, units: int, now: float) -> None:
        """Deduct units from the bucket, even below 0."""
        rate, capacity = self._compute_rate_and_capacity(workspace)
        self._get_bucket(workspace.name, rate, capacity, now).units -= units

    def restore(self, workspace: WorkspaceName, units: int) -> None:
        """Add units to the bucket."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.units += units

    def update(self, workspaces: tuple[Workspace, ...], now: float) -> None:
        """Do nothing: the equal part depends only on the number of VMs."""

    def is_partly_used(self, workspace: WorkspaceName) -> bool:
        """Return False, as equal parts do not depend on reported usage."""
        return False

    def _compute_rate_and_capacity(self, workspace: Workspace) -> tuple[float, float]:
        """Return the rate and the capacity of this VM's bucket."""
        quota = workspace.quota
        assert quota is not None
        vms = max(1, self.count_vms())
        return self.terms.compute_steady_rate(quota) / vms, self.terms.compute_burst(quota) / vms

    def _get_bucket(self, workspace: WorkspaceName, rate: float, capacity: float, now: float) -> _Bucket:
        """Return a workspace's bucket, refilled.

        A new bucket holds only what accrued since the VM started, as grants from before a restart are unknown.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            accrued = rate * (now - self.started_at)
            bucket = self._buckets[workspace] = _Bucket(min(capacity, accrued), now)
        bucket.refill(rate, capacity, now)
        return bucket


@dataclass(slots=True)
class _WorkspaceState:
    """The allocation of one workspace as this VM knows it."""

    units: float
    """Units that the VMs in contact may grant on top of the steady rate; negative if more were granted."""
    updated_at: float
    granted_share: float = 1.0
    """Share of the requested units to grant."""
    reported_share: float = 1.0
    """The granted share that was last reported."""
    partly_used: bool = False
    """Whether ``units`` is below the capacity."""
    credit: float = 0.0
    """Units that this VM's callers have earned by the granted share and not yet used."""
    vm_share: float = 1.0
    """The VMs in contact as a share of all VMs."""

    def rescale(self, vm_share: float) -> None:
        """Scale a negative balance to another share of the VMs.

        Otherwise an isolated VM would forget most of the excess that it has to compensate.
        """
        if self.units < 0:
            self.units *= vm_share / self.vm_share
        self.vm_share = vm_share


@dataclass(slots=True)
class DemandAllocator(QuotaAllocator):
    """Allocator that grants all VMs the same share of demand, and an isolated VM its equal part."""

    on_limit_change: Callable[[QuotaLimitChange], None] = _ignore
    _states: dict[WorkspaceName, _WorkspaceState] = field(default_factory=dict)
    _equal: EqualAllocator = field(init=False)
    """Used while this VM is isolated."""

    def __post_init__(self) -> None:
        """Create the allocator for isolation."""
        self._equal = EqualAllocator(self.usage, self.count_vms, self.terms, self.started_at)

    def set_terms(self, terms: QuotaTerms) -> None:
        """Apply changed terms."""
        self.terms = terms
        self._equal.set_terms(terms)

    def decide(self, workspace: Workspace, units: int, now: float) -> float | None:
        """Return None to grant a request, or the seconds after which to retry."""
        if self._is_isolated(now):
            return self._equal.decide(workspace, units, now)
        return self._decide_by_demand(workspace, units, now)

    def deduct(self, workspace: Workspace, units: int, now: float) -> None:
        """Deduct units from the equal part, which is used if this VM becomes isolated."""
        self._equal.deduct(workspace, units, now)

    def _decide_by_demand(self, workspace: Workspace, units: int, now: float) -> float | None:
        state = self._states.get(workspace.name)
        if state is None or state.granted_share == 1:
            return None
        state.credit = min(state.credit + state.granted_share * units, 2 * units)
        if state.credit < units / 2:
            return self._compute_wait(workspace, state, units, now)
        state.credit -= units
        return None

    def _is_isolated(self, now: float) -> bool:
        """Return whether this VM receives no usage of others, or has only just started."""
        return self.count_vms() > 1 and (now - self.started_at < SETTLE_TIME_S or not self.usage.has_remote_usage(now))

    def restore(self, workspace: WorkspaceName, units: int) -> None:
        """Add units to the equal part and to the credit of this VM's callers."""
        self._equal.restore(workspace, units)
        state = self._states.get(workspace)
        if state is not None:
            state.credit = min(state.credit + units, 2 * units)

    def update(self, workspaces: tuple[Workspace, ...], now: float) -> None:
        """Recompute the share of demand that each quota allows."""
        fleet = self.usage.compute_fleet_usage(now)
        for workspace in workspaces:
            if workspace.quota is not None and (workspace.name in fleet.rates or workspace.name in self._states):
                self._update_workspace(workspace, fleet, now)

    def is_partly_used(self, workspace: WorkspaceName) -> bool:
        """Return whether units were granted on top of the steady rate that have not accrued again."""
        state = self._states.get(workspace)
        return state is not None and state.partly_used

    def _update_workspace(self, workspace: Workspace, fleet: FleetUsage, now: float) -> None:
        rates = fleet.rates.get(workspace.name, NO_RATES)
        vm_share = min(1.0, fleet.vms / max(1, self.count_vms()))
        rate, state = self._update_state(workspace, rates, vm_share, now)
        requested = max(1, rates.requested)
        state.granted_share = (
            max(0.0, min(1.0, (rate + state.units / CORRECTION_TIME_S) / requested)) if rates.requested else 1.0
        )
        if state.granted_share == 1:
            state.credit = 0.0
        if _is_reportable(state.granted_share, state.reported_share):
            state.reported_share = state.granted_share
            self.on_limit_change(
                QuotaLimitChange(workspace.name, round(state.granted_share, 2), rates.requested, round(rate), fleet.vms)
            )
        if not state.partly_used and not rates.requested:
            del self._states[workspace.name]

    def _update_state(
        self, workspace: Workspace, rates: Rates, vm_share: float, now: float
    ) -> tuple[float, _WorkspaceState]:
        """Return the steady rate of the VMs in contact, and the updated state of a workspace."""
        quota = workspace.quota
        assert quota is not None
        is_new = now - self.started_at < self.terms.window
        share = (
            CAUTIOUS_RATE_SHARE
            if is_new
            else max(CAUTIOUS_RATE_SHARE, STEADY_RATE_SHARE - MISSING_VMS_PENALTY * (1 - vm_share))
        )
        rate = vm_share * self.terms.compute_steady_rate(quota, share)
        capacity = vm_share * self.terms.compute_burst(quota)
        state = self._states.get(workspace.name)
        if state is None:
            state = self._states[workspace.name] = _WorkspaceState(0.0 if is_new else capacity, now, vm_share=vm_share)
        state.rescale(vm_share)
        units = state.units + (rate - rates.granted) * (now - state.updated_at)
        state.units = min(capacity, max(units, -MAX_DEBT_S * rate))
        state.partly_used = state.units < capacity
        state.updated_at = now
        return rate, state

    def _compute_wait(self, workspace: Workspace, state: _WorkspaceState, units: int, now: float) -> float:
        """Return the estimated seconds until this VM's callers have earned the units."""
        rate = max(1.0, state.granted_share * self.usage.local.compute_requested_rate(workspace.name, now))
        return _clamp_wait((units / 2 - state.credit) / rate)


def _is_reportable(share: float, reported: float) -> bool:
    """Return whether a share differs enough from the last reported one."""
    if (share < 1) != (reported < 1):
        return True
    return share < reported / 2 or share > reported * 2


def _clamp_wait(seconds: float) -> float:
    return round(min(MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, seconds)), 2)
