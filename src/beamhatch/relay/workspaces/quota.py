"""Keep the quota of each workspace over all VMs, with nobody in charge.

The platform counts the units of a workspace's requests that ran, on all VMs together, in a sliding window: as many as
the rate gives in the window, and the burst, with an overage and a slack on top. What is refused below that is lost to
callers, so the steady pace at which units are taken is near to what a window bears, and not near to the rate.

Two ways to find a VM's part are here, and all VMs use the same one:

- :class:`FollowingShare` follows demand. Below the quota nothing is refused, wherever the callers are. Beyond it every
  VM takes the same share of what its callers ask, so that a workspace is treated alike in every hall. VMs that were not
  heard of keep an equal part each for themselves, so a cut-off VM or hall goes on with what is its own.
- :class:`EqualShare` gives every VM an equal part, whatever it is asked.
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
"""Share of what the platform bears in a window that is taken at a steady pace by a fleet that hears of all its VMs."""

CAUTIOUS_RATE_SHARE = 0.72
"""The same for a VM that has not seen a whole window, or misses a tenth of the VMs: what these took is not known, and
what they take is known only when they are back. The pace is never below the rate.
"""

MISSING_VMS_PENALTY = 2.0
"""By how much the share falls for each part of the VMs that is missed: a tenth makes it the cautious one."""

BURST_SHARE = 0.03
"""Share of what the platform bears that may be taken at once on top of the pace, after a calm time. The rest is for
what is not known yet: news of what others take are up to a second old. Of 150 fleets that were cut and restarted under
up to four times the quota, none had a window of more than the platform bears; the worst was at 0.993 of it.
"""

CORRECTION_TIME_S = 1.5
"""Seconds over which what is left on top is spent, and what was taken too much is made up for: longer than news take,
so that VMs that act on the same news do not swing, and well within the platform's window of 8 s.
"""

MAX_DEBT_S = 4.0
"""Seconds of the pace that are made up for at the most. A workspace that begins to ask 4.4 times its rate is taken
whole for 1.3 s, as long as news and the memory of rates take: 4.4 s of the pace.
"""

SETTLE_TIME_S = 1.0
"""Seconds behind its start for which a VM takes no more than its equal part: it hears of the others within one. Without
it, 24 VMs that restarted under four times the quota took 1.4 times what a window bears. With twice as long, and nothing
taken at the start, a fleet that lost power served its worst seconds at 0.1 in place of 0.3 of what they were worth.
"""

MIN_RETRY_DELAY_S = 0.15
"""Seconds after which a caller may come back at the earliest."""

MAX_RETRY_DELAY_S = 4.0
"""Seconds after which a caller may come back at the latest: within half of the window, there is quota again."""


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """How strictly the platform counts."""

    window: float = 8.0
    """Seconds."""
    overage: float = 0.1
    """Share by which a quota may be exceeded."""
    slack: float = 0.0
    """Units by which it may be exceeded beside."""

    def compute_window_bound(self, quota: Quota) -> float:
        """Return the units that the platform bears in any window, which is what callers are owed."""
        return (quota.rate * self.window + quota.burst) * (1 + self.overage) + self.slack

    def compute_steady_rate(self, quota: Quota, share: float = CAUTIOUS_RATE_SHARE) -> float:
        """Return the units a second that are taken however long a workspace asks for more.

        :param share: of what the platform bears
        """
        return max(quota.rate, share * self.compute_window_bound(quota) / self.window)

    def compute_burst(self, quota: Quota) -> float:
        """Return the units that may be taken at once on top."""
        return BURST_SHARE * self.compute_window_bound(quota)


@dataclass(frozen=True, slots=True)
class QuotaLimitChange:
    """A workspace begins or ceases to ask more than its quota, or the share that is taken has halved or doubled."""

    workspace: WorkspaceName
    granted_share: float
    """Of what is asked, how much is taken from now on."""
    requested: int
    """Units a second, at all VMs that were heard of."""
    allowed: float
    """Units a second that these may take."""
    vms: int
    """How many were heard of."""


def _ignore(_: QuotaLimitChange) -> None:
    """Take no notice."""


@dataclass(slots=True)
class QuotaAllocator(ABC):
    """One VM's part of the quotas."""

    usage: UsageTracker
    count_vms: Callable[[], int]
    """Returns how many VMs there are, those among them that were lost of late."""
    terms: QuotaTerms = field(default_factory=QuotaTerms)
    started_at: float = 0.0
    """When this VM started, in monotonic seconds."""

    def acquire(self, workspace: Workspace, units: int, now: float) -> float | None:
        """Take units for a request; return None, or the seconds after which there should be enough."""
        self.usage.local.record_requested(workspace.name, units, now)
        wait = self.decide(workspace, units, now)
        if wait is None:
            self.deduct(workspace, units, now)
            self.usage.local.record_granted(workspace.name, units, now)
        return wait

    def refund(self, workspace: WorkspaceName, units: int, now: float) -> None:
        """Give units back that reached no upstream."""
        self.usage.local.record_granted(workspace, -units, now)
        self.restore(workspace, units)

    def set_terms(self, terms: QuotaTerms) -> None:
        """Take changed terms."""
        self.terms = terms

    @abstractmethod
    def decide(self, workspace: Workspace, units: int, now: float) -> float | None:
        """Return None where units are to be taken for a request, or the seconds after which there should be enough."""

    @abstractmethod
    def deduct(self, workspace: Workspace, units: int, now: float) -> None:
        """Enter that units were taken."""

    @abstractmethod
    def restore(self, workspace: WorkspaceName, units: int) -> None:
        """Enter that units were given back."""

    @abstractmethod
    def update(self, workspaces: tuple[Workspace, ...], now: float) -> None:
        """Take in what has become known of the fleet."""

    @abstractmethod
    def is_partly_used(self, workspace: WorkspaceName) -> bool:
        """Tell whether less is left of a workspace's quota than after a calm time, so that its use is worth knowing."""


@dataclass(slots=True)
class _Bucket:
    """Units that come at a pace up to a depth; below 0 where requests overdrew it."""

    units: float
    refilled_at: float

    def refill(self, rate: float, capacity: float, now: float) -> None:
        """Add what came since the last time."""
        self.units = min(capacity, max(-MAX_DEBT_S * rate, self.units) + rate * (now - self.refilled_at))
        self.refilled_at = now


@dataclass(slots=True)
class EqualAllocator(QuotaAllocator):
    """Takes an equal part of the quota."""

    _buckets: dict[WorkspaceName, _Bucket] = field(default_factory=dict)

    def decide(self, workspace: Workspace, units: int, now: float) -> float | None:
        """Return None where units may be taken, or the seconds after which they may.

        Half of them have to be there, as the depth of one VM's part is often smaller than a request.
        """
        rate, capacity = self._compute_rate_and_capacity(workspace)
        shortage = min(units / 2, capacity) - self._get_bucket(workspace.name, rate, capacity, now).units
        return None if shortage <= 0 else _clamp_wait(shortage / rate)

    def deduct(self, workspace: Workspace, units: int, now: float) -> None:
        """Take units out of the bucket, whether they are there or not."""
        rate, capacity = self._compute_rate_and_capacity(workspace)
        self._get_bucket(workspace.name, rate, capacity, now).units -= units

    def restore(self, workspace: WorkspaceName, units: int) -> None:
        """Put units back into the bucket."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.units += units

    def update(self, workspaces: tuple[Workspace, ...], now: float) -> None:
        """Take no notice: the part depends on the number of VMs only."""

    def is_partly_used(self, workspace: WorkspaceName) -> bool:
        """Return False: nobody has a use for it."""
        return False

    def _compute_rate_and_capacity(self, workspace: Workspace) -> tuple[float, float]:
        """Return the pace and the depth of this VM's bucket."""
        quota = workspace.quota
        assert quota is not None
        vms = max(1, self.count_vms())
        return self.terms.compute_steady_rate(quota) / vms, self.terms.compute_burst(quota) / vms

    def _get_bucket(self, workspace: WorkspaceName, rate: float, capacity: float, now: float) -> _Bucket:
        """Return a workspace's bucket. A VM that started has forgotten what it took, and begins with what it earned.

        With full ones, 24 VMs that restarted under four times the quota took twice the quota in their first 0.2 s.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            earned = rate * (now - self.started_at)
            bucket = self._buckets[workspace] = _Bucket(min(capacity, earned), now)
        bucket.refill(rate, capacity, now)
        return bucket


@dataclass(slots=True)
class _WorkspaceState:
    """What one workspace has left, as far as this VM knows, and what it owes this VM's callers."""

    units: float
    """That may be taken on top of the pace by the VMs that were heard of; below 0 where too much was taken."""
    updated_at: float
    granted_share: float = 1.0
    """Of what is asked, how much is to be taken."""
    reported_share: float = 1.0
    """The last share that was reported."""
    partly_used: bool = False
    """Whether less is left than after a calm time."""
    credit: float = 0.0
    """Units of this VM's callers that are due by that share and were not taken yet."""
    vm_share: float = 1.0
    """Of all VMs, the part whose units these are."""

    def rescale(self, vm_share: float) -> None:
        """Be of another part of all VMs from now on; what was taken too much goes with it.

        VMs that were alone for a second would else come back with next to nothing to make up for: 24 VMs then took
        up to 1.067 of what a window bears (the worst of 150 fleets that were cut and restarted).
        """
        if self.units < 0:
            self.units *= vm_share / self.vm_share
        self.vm_share = vm_share


@dataclass(slots=True)
class DemandAllocator(QuotaAllocator):
    """Takes the share of what is asked that the quota allows the whole fleet; its equal part while it hears nothing."""

    on_limit_change: Callable[[QuotaLimitChange], None] = _ignore
    _states: dict[WorkspaceName, _WorkspaceState] = field(default_factory=dict)
    _equal: EqualAllocator = field(init=False)
    """The equal part, for the time in which this VM has nothing to follow."""

    def __post_init__(self) -> None:
        """Make the equal part."""
        self._equal = EqualAllocator(self.usage, self.count_vms, self.terms, self.started_at)

    def set_terms(self, terms: QuotaTerms) -> None:
        """Take changed terms."""
        self.terms = terms
        self._equal.set_terms(terms)

    def decide(self, workspace: Workspace, units: int, now: float) -> float | None:
        """Return None, unless the fleet asks too much, or this VM more than its equal part where it is alone."""
        if self._is_isolated(now):
            return self._equal.decide(workspace, units, now)
        return self._decide_by_demand(workspace, units, now)

    def deduct(self, workspace: Workspace, units: int, now: float) -> None:
        """Draw on the equal part, so that it is right when this VM is alone."""
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
        """Tell whether this VM knows nothing of others, or not for long enough to know what they take."""
        return self.count_vms() > 1 and (now - self.started_at < SETTLE_TIME_S or not self.usage.has_remote_usage(now))

    def restore(self, workspace: WorkspaceName, units: int) -> None:
        """Put units back into the equal part, and owe them to this VM's callers."""
        self._equal.restore(workspace, units)
        state = self._states.get(workspace)
        if state is not None:
            state.credit = min(state.credit + units, 2 * units)

    def update(self, workspaces: tuple[Workspace, ...], now: float) -> None:
        """Work out anew which share of what is asked the quotas allow."""
        fleet = self.usage.compute_fleet_usage(now)
        for workspace in workspaces:
            if workspace.quota is not None and (workspace.name in fleet.rates or workspace.name in self._states):
                self._update_workspace(workspace, fleet, now)

    def is_partly_used(self, workspace: WorkspaceName) -> bool:
        """Tell whether something was taken on top of the pace, and has not come back."""
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
        """Return the pace of the VMs that were heard, which are a part of all, and the level as it is now."""
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
        """Return the seconds after which what this VM's callers ask should have earned them the units."""
        rate = max(1.0, state.granted_share * self.usage.local.compute_requested_rate(workspace.name, now))
        return _clamp_wait((units / 2 - state.credit) / rate)


def _is_reportable(share: float, reported: float) -> bool:
    """Tell whether a share is worth a line: at its begin, at its end, and when it has halved or doubled."""
    if (share < 1) != (reported < 1):
        return True
    return share < reported / 2 or share > reported * 2


def _clamp_wait(seconds: float) -> float:
    return round(min(MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, seconds)), 2)
