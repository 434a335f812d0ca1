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

    from beamhatch.relay.workspaces.usage import FleetUsage, Rates, UsageNews
    from beamhatch.relay.workspaces.workspace import Quota, Workspace, WorkspaceName

STEADY_SHARE = 0.88
"""Share of what the platform bears in a window that is taken at a steady pace by a fleet that hears of all its VMs."""

CAUTIOUS_SHARE = 0.72
"""The same for a VM that has not seen a whole window, or misses a tenth of the VMs: what these took is not known, and
what they take is known only when they are back. The pace is never below the rate.
"""

CAUTION = 2.0
"""By how much the share falls for each part of the VMs that is missed: a tenth makes it the cautious one."""

DEPTH_SHARE = 0.03
"""Share of what the platform bears that may be taken at once on top of the pace, after a calm time. The rest is for
what is not known yet: news of what others take are up to a second old. Of 150 fleets that were cut and restarted under
up to four times the quota, none had a window of more than the platform bears; the worst was at 0.993 of it.
"""

SPEND_TIME = 1.5
"""Seconds over which what is left on top is spent, and what was taken too much is made up for: longer than news take,
so that VMs that act on the same news do not swing, and well within the platform's window of 8 s.
"""

MOST_DEBT_TIME = 4.0
"""Seconds of the pace that are made up for at the most. A workspace that begins to ask 4.4 times its rate is taken
whole for 1.3 s, as long as news and the memory of rates take: 4.4 s of the pace.
"""

SETTLE_TIME = 1.0
"""Seconds behind its start for which a VM takes no more than its equal part: it hears of the others within one. Without
it, 24 VMs that restarted under four times the quota took 1.4 times what a window bears. With twice as long, and nothing
taken at the start, a fleet that lost power served its worst seconds at 0.1 in place of 0.3 of what they were worth.
"""

SHORTEST_RETRY = 0.15
"""Seconds after which a caller may come back at the earliest."""

LONGEST_RETRY = 4.0
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

    def find_most(self, quota: Quota) -> float:
        """Return the units that the platform bears in any window, which is what callers are owed."""
        return (quota.rate * self.window + quota.burst) * (1 + self.overage) + self.slack

    def find_pace(self, quota: Quota, share: float = CAUTIOUS_SHARE) -> float:
        """Return the units a second that are taken however long a workspace asks for more.

        :param share: of what the platform bears
        """
        return max(quota.rate, share * self.find_most(quota) / self.window)

    def find_depth(self, quota: Quota) -> float:
        """Return the units that may be taken at once on top."""
        return DEPTH_SHARE * self.find_most(quota)


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A workspace begins or ceases to ask more than its quota, or the share that is taken has halved or doubled."""

    workspace: WorkspaceName
    share: float
    """Of what is asked, how much is taken from now on."""
    asked: int
    """Units a second, at all VMs that were heard of."""
    pace: float
    """Units a second that these may take."""
    vms: int
    """How many were heard of."""


def _ignore(_: LimitChange) -> None:
    """Take no notice."""


@dataclass(slots=True)
class QuotaShare(ABC):
    """One VM's part of the quotas."""

    usage: UsageNews
    count_vms: Callable[[], int]
    """Returns how many VMs there are, those among them that were lost of late."""
    terms: QuotaTerms = field(default_factory=QuotaTerms)
    started: float = 0.0
    """When this VM started, in monotonic seconds."""

    def take(self, workspace: Workspace, units: int, now: float) -> float | None:
        """Take units for a request; return None, or the seconds after which there should be enough."""
        self.usage.own.note_asked(workspace.name, units, now)
        wait = self.decide(workspace, units, now)
        if wait is None:
            self.draw(workspace, units, now)
            self.usage.own.note_taken(workspace.name, units, now)
        return wait

    def give_back(self, workspace: WorkspaceName, units: int, now: float) -> None:
        """Give units back that reached no upstream."""
        self.usage.own.note_taken(workspace, -units, now)
        self.put_back(workspace, units)

    def take_terms(self, terms: QuotaTerms) -> None:
        """Take changed terms."""
        self.terms = terms

    @abstractmethod
    def decide(self, workspace: Workspace, units: int, now: float) -> float | None:
        """Return None where units are to be taken for a request, or the seconds after which there should be enough."""

    @abstractmethod
    def draw(self, workspace: Workspace, units: int, now: float) -> None:
        """Enter that units were taken."""

    @abstractmethod
    def put_back(self, workspace: WorkspaceName, units: int) -> None:
        """Enter that units were given back."""

    @abstractmethod
    def update(self, workspaces: tuple[Workspace, ...], now: float) -> None:
        """Take in what has become known of the fleet."""

    @abstractmethod
    def is_short(self, workspace: WorkspaceName) -> bool:
        """Tell whether less is left of a workspace's quota than after a calm time, so that its use is worth knowing."""


@dataclass(slots=True)
class _Bucket:
    """Units that come at a pace up to a depth; below 0 where requests overdrew it."""

    units: float
    at: float

    def fill(self, pace: float, depth: float, now: float) -> None:
        """Add what came since the last time."""
        self.units = min(depth, max(-MOST_DEBT_TIME * pace, self.units) + pace * (now - self.at))
        self.at = now


@dataclass(slots=True)
class EqualShare(QuotaShare):
    """Takes an equal part of the quota."""

    _buckets: dict[WorkspaceName, _Bucket] = field(default_factory=dict)

    def decide(self, workspace: Workspace, units: int, now: float) -> float | None:
        """Return None where units may be taken, or the seconds after which they may.

        Half of them have to be there, as the depth of one VM's part is often smaller than a request.
        """
        pace, depth = self._find_part(workspace)
        lack = min(units / 2, depth) - self._find_bucket(workspace.name, pace, depth, now).units
        return None if lack <= 0 else _bound_wait(lack / pace)

    def draw(self, workspace: Workspace, units: int, now: float) -> None:
        """Take units out of the bucket, whether they are there or not."""
        pace, depth = self._find_part(workspace)
        self._find_bucket(workspace.name, pace, depth, now).units -= units

    def put_back(self, workspace: WorkspaceName, units: int) -> None:
        """Put units back into the bucket."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.units += units

    def update(self, workspaces: tuple[Workspace, ...], now: float) -> None:
        """Take no notice: the part depends on the number of VMs only."""

    def is_short(self, workspace: WorkspaceName) -> bool:
        """Return False: nobody has a use for it."""
        return False

    def _find_part(self, workspace: Workspace) -> tuple[float, float]:
        """Return the pace and the depth of this VM's bucket."""
        quota = workspace.quota
        assert quota is not None
        vms = max(1, self.count_vms())
        return self.terms.find_pace(quota) / vms, self.terms.find_depth(quota) / vms

    def _find_bucket(self, workspace: WorkspaceName, pace: float, depth: float, now: float) -> _Bucket:
        """Return a workspace's bucket. A VM that started has forgotten what it took, and begins with what it earned.

        With full ones, 24 VMs that restarted under four times the quota took twice the quota in their first 0.2 s.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            since_start = pace * (now - self.started)
            bucket = self._buckets[workspace] = _Bucket(min(depth, since_start), now)
        bucket.fill(pace, depth, now)
        return bucket


@dataclass(slots=True)
class _Level:
    """What one workspace has left, as far as this VM knows, and what it owes this VM's callers."""

    units: float
    """That may be taken on top of the pace by the VMs that were heard of; below 0 where too much was taken."""
    at: float
    share: float = 1.0
    """Of what is asked, how much is to be taken."""
    told_share: float = 1.0
    """The last share that was reported."""
    short: bool = False
    """Whether less is left than after a calm time."""
    credit: float = 0.0
    """Units of this VM's callers that are due by that share and were not taken yet."""
    part: float = 1.0
    """Of all VMs, the part whose units these are."""

    def move(self, part: float) -> None:
        """Be of another part of all VMs from now on; what was taken too much goes with it.

        VMs that were alone for a second would else come back with next to nothing to make up for: 24 VMs then took
        up to 1.067 of what a window bears (the worst of 150 fleets that were cut and restarted).
        """
        if self.units < 0:
            self.units *= part / self.part
        self.part = part


@dataclass(slots=True)
class FollowingShare(QuotaShare):
    """Takes the share of what is asked that the quota allows the whole fleet; its equal part while it hears nothing."""

    on_limit: Callable[[LimitChange], None] = _ignore
    _levels: dict[WorkspaceName, _Level] = field(default_factory=dict)
    _equal: EqualShare = field(init=False)
    """The equal part, for the time in which this VM has nothing to follow."""

    def __post_init__(self) -> None:
        """Make the equal part."""
        self._equal = EqualShare(self.usage, self.count_vms, self.terms, self.started)

    def take_terms(self, terms: QuotaTerms) -> None:
        """Take changed terms."""
        self.terms = terms
        self._equal.take_terms(terms)

    def decide(self, workspace: Workspace, units: int, now: float) -> float | None:
        """Return None, unless the fleet asks too much, or this VM more than its equal part where it is alone."""
        if self._is_alone(now):
            return self._equal.decide(workspace, units, now)
        return self._take_share(workspace, units, now)

    def draw(self, workspace: Workspace, units: int, now: float) -> None:
        """Draw on the equal part, so that it is right when this VM is alone."""
        self._equal.draw(workspace, units, now)

    def _take_share(self, workspace: Workspace, units: int, now: float) -> float | None:
        level = self._levels.get(workspace.name)
        if level is None or level.share == 1:
            return None
        level.credit = min(level.credit + level.share * units, 2 * units)
        if level.credit < units / 2:
            return self._predict(workspace, level, units, now)
        level.credit -= units
        return None

    def _is_alone(self, now: float) -> bool:
        """Tell whether this VM knows nothing of others, or not for long enough to know what they take."""
        return self.count_vms() > 1 and (now - self.started < SETTLE_TIME or not self.usage.hears_others(now))

    def put_back(self, workspace: WorkspaceName, units: int) -> None:
        """Put units back into the equal part, and owe them to this VM's callers."""
        self._equal.put_back(workspace, units)
        level = self._levels.get(workspace)
        if level is not None:
            level.credit = min(level.credit + units, 2 * units)

    def update(self, workspaces: tuple[Workspace, ...], now: float) -> None:
        """Work out anew which share of what is asked the quotas allow."""
        fleet = self.usage.find_fleet(now)
        for workspace in workspaces:
            if workspace.quota is not None and (workspace.name in fleet.rates or workspace.name in self._levels):
                self._update_one(workspace, fleet, now)

    def is_short(self, workspace: WorkspaceName) -> bool:
        """Tell whether something was taken on top of the pace, and has not come back."""
        level = self._levels.get(workspace)
        return level is not None and level.short

    def _update_one(self, workspace: Workspace, fleet: FleetUsage, now: float) -> None:
        rates = fleet.rates.get(workspace.name, NO_RATES)
        part = min(1.0, fleet.vms / max(1, self.count_vms()))
        pace, level = self._move_level(workspace, rates, part, now)
        asked = max(1, rates.asked)
        level.share = max(0.0, min(1.0, (pace + level.units / SPEND_TIME) / asked)) if rates.asked else 1.0
        if level.share == 1:
            level.credit = 0.0
        if _is_news(level.share, level.told_share):
            level.told_share = level.share
            self.on_limit(LimitChange(workspace.name, round(level.share, 2), rates.asked, round(pace), fleet.vms))
        if not level.short and not rates.asked:
            del self._levels[workspace.name]

    def _move_level(self, workspace: Workspace, rates: Rates, part: float, now: float) -> tuple[float, _Level]:
        """Return the pace of the VMs that were heard, which are a part of all, and the level as it is now."""
        quota = workspace.quota
        assert quota is not None
        young = now - self.started < self.terms.window
        share = CAUTIOUS_SHARE if young else max(CAUTIOUS_SHARE, STEADY_SHARE - CAUTION * (1 - part))
        pace = part * self.terms.find_pace(quota, share)
        depth = part * self.terms.find_depth(quota)
        level = self._levels.get(workspace.name)
        if level is None:
            level = self._levels[workspace.name] = _Level(0.0 if young else depth, now, part=part)
        level.move(part)
        left = level.units + (pace - rates.taken) * (now - level.at)
        level.units = min(depth, max(left, -MOST_DEBT_TIME * pace))
        level.short = level.units < depth
        level.at = now
        return pace, level

    def _predict(self, workspace: Workspace, level: _Level, units: int, now: float) -> float:
        """Return the seconds after which what this VM's callers ask should have earned them the units."""
        rate = max(1.0, level.share * self.usage.own.find_asked(workspace.name, now))
        return _bound_wait((units / 2 - level.credit) / rate)


def _is_news(share: float, told: float) -> bool:
    """Tell whether a share is worth a line: at its begin, at its end, and when it has halved or doubled."""
    if (share < 1) != (told < 1):
        return True
    return share < told / 2 or share > told * 2


def _bound_wait(seconds: float) -> float:
    return round(min(LONGEST_RETRY, max(SHORTEST_RETRY, seconds)), 2)
