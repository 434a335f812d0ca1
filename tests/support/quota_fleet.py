"""A simulated fleet of VMs that enforce the quota of one workspace, on a fake clock without a network."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from twisted.internet import task

from beamhatch.relay.model import CallerLimits, hash_to_fraction, make_routing_table
from beamhatch.relay.workspaces.quota import DemandAllocator, EqualAllocator, QuotaTerms
from beamhatch.relay.workspaces.usage import UsageTracker
from beamhatch.relay.workspaces.usage_talk import UsageGossip
from beamhatch.relay.workspaces.workspace import Quota, QuotaUnit, Workspace, WorkspaceName

if TYPE_CHECKING:
    from collections.abc import Iterable

    from beamhatch.relay.fleet.gossip_message import Usage
    from beamhatch.relay.workspaces.quota import QuotaAllocator

MESSAGE_DELAY_S = 0.004
"""Seconds that a message takes between VMs."""

AGGREGATORS = 2
"""Number of aggregators per hall."""

CUT_DETECTION_S = 1.8
"""Seconds after which a partition is detected."""

STEP_S = 0.01


def make_workspace(rate: float, burst: float) -> Workspace:
    return Workspace(WorkspaceName("desk"), quota=Quota(QuotaUnit.TOKEN, rate, burst, 200))


@dataclass
class _Link:
    """One end of a connection."""

    fleet: Fleet
    here: Vm
    there: Vm
    other: _Link | None = None
    joins_halls: bool = False
    """Whether it is kept only between aggregators at the same position in their halls."""

    def __hash__(self) -> int:
        return id(self)

    @property
    def vm(self) -> str:
        return self.there.name

    @property
    def hall(self) -> str:
        return self.there.hall

    @property
    def is_aggregator(self) -> bool:
        return self.there.is_aggregator

    @property
    def is_wanted(self) -> bool:
        """Whether a real VM would keep this connection."""
        if self.joins_halls:
            return self.here.is_aggregator and self.there.is_aggregator and self.here.position == self.there.position
        return self.hall != self.here.hall or self.here.is_aggregator or self.there.is_aggregator

    def send(self, message: Usage) -> None:
        assert self.other is not None
        self.fleet.sent += 1
        self.fleet.clock.callLater(
            MESSAGE_DELAY_S, self._arrive, self.other, self.here.incarnation, self.there.incarnation, message
        )

    def _arrive(self, other: _Link, sender_incarnation: int, receiver_incarnation: int, message: Usage) -> None:
        alive = self.here.incarnation == sender_incarnation and self.there.incarnation == receiver_incarnation
        if alive and not self.fleet.is_cut(self.here, self.there):
            assert self.there.gossip is not None
            self.there.gossip.handle_usage(other, message)  # type: ignore[arg-type]


@dataclass
class Vm:
    """A simulated VM; a restart begins another incarnation."""

    name: str
    hall: str
    incarnation: int = 0
    links: list[_Link] = field(default_factory=list)
    gossip: UsageGossip | None = None
    allocator: QuotaAllocator | None = None
    active_links: list[_Link] = field(default_factory=list)
    is_aggregator: bool = False
    position: int = 0
    """Position among the connected VMs of its hall."""
    side: int = 0
    """VMs on different sides of a partition do not receive each other's messages."""
    known_side: int = 0
    """The side as detected by the other VMs."""

    def sees(self, other: Vm) -> bool:
        return self.known_side == other.known_side


class Fleet:
    """The VMs and the units that they granted."""

    def __init__(
        self,
        vms: int,
        *,
        seed: int = 1,
        rate: float = 160_000,
        burst: float = 160_000,
        terms: QuotaTerms | None = None,
        kind: type[DemandAllocator | EqualAllocator] = DemandAllocator,
        halls: int = 3,
    ) -> None:
        self.clock = task.Clock()
        self.clock.advance(1000.0)
        self.random = random.Random(seed)
        self.kind = kind
        self.terms = terms or QuotaTerms(8.0, 0.1, 190_000)
        self.workspace = make_workspace(rate, burst)
        self.sent = 0
        """Messages between VMs."""
        self.requested: list[tuple[float, int]] = []
        self.granted: list[tuple[float, int]] = []
        self.vms = [Vm(f"vm{number}", f"hall-{number % halls}") for number in range(vms)]
        self._connect()
        self._update_links()
        for vm in self.vms:
            self._start(vm)
        self.run(10.0)

    @property
    def quota(self) -> Quota:
        assert self.workspace.quota is not None
        return self.workspace.quota

    def _connect(self) -> None:
        for vm in self.vms:
            elsewhere = [one for one in self.vms if one.hall != vm.hall]
            far = sorted(elsewhere, key=lambda one: hash_to_fraction(f"{vm.name}/{one.name}"))[:2]
            near = [one for one in self.vms if one.hall == vm.hall and one.name < vm.name]
            for peer in [*near, *far]:
                here, there = _Link(self, vm, peer), _Link(self, peer, vm)
                here.other, there.other = there, here
                vm.links.append(here)
                peer.links.append(there)
        for vm, peer in itertools.combinations(self.vms, 2):
            if vm.hall != peer.hall:
                here, there = _Link(self, vm, peer, joins_halls=True), _Link(self, peer, vm, joins_halls=True)
                here.other, there.other = there, here
                vm.links.append(here)
                peer.links.append(there)

    def _update_links(self) -> None:
        """Choose the aggregators and the active connections."""
        for vm in self.vms:
            members = [one for one in self.vms if one.hall == vm.hall and vm.sees(one)]
            vm.position = members.index(vm)
            vm.is_aggregator = vm.position < AGGREGATORS
        for vm in self.vms:
            vm.active_links = [link for link in vm.links if vm.sees(link.there) and link.is_wanted]

    def _start(self, vm: Vm) -> None:
        tracker = UsageTracker(vm.name, vm.hall)
        vm.allocator = self.kind(tracker, lambda: len(self.vms), self.terms, self.clock.seconds())
        table = make_routing_table(1, [], [], CallerLimits(), (self.workspace,))
        clock = SimpleNamespace(now=self.clock.seconds, call_later=self.clock.callLater)
        core: Any = SimpleNamespace(clock=clock, table=table)

        def list_links() -> Any:
            return vm.active_links

        vm.gossip = UsageGossip(core, vm.allocator, list_links, lambda: vm.is_aggregator)
        vm.gossip.start()

    def cut(self, vms: list[Vm], *, apart: bool = False) -> None:
        """Partition VMs from the others, and with ``apart`` also from each other; reconnect all others."""
        for vm in self.vms:
            vm.side = 0
        for number, vm in enumerate(vms):
            vm.side = 1 + number if apart else 1
        self.clock.callLater(CUT_DETECTION_S, self._detect_cut)

    def _detect_cut(self) -> None:
        for vm in self.vms:
            vm.known_side = vm.side
        self._update_links()

    def is_cut(self, one: Vm, other: Vm) -> bool:
        return one.side != other.side

    def restart(self, vms: Iterable[Vm]) -> None:
        """Restart VMs, which lose their state."""
        for vm in vms:
            assert vm.gossip is not None
            vm.gossip.stop()
            vm.incarnation += 1
            self._start(vm)

    def change_quota(self, rate: float, burst: float) -> None:
        """Change the configured quota."""
        self.workspace = make_workspace(rate, burst)
        table = make_routing_table(2, [], [], CallerLimits(), (self.workspace,))
        for vm in self.vms:
            assert vm.gossip is not None
            core: Any = vm.gossip.core
            core.table = table

    def send_request(self, vm: Vm, units: int) -> bool:
        """Send a request to a VM; return whether it was granted."""
        assert vm.allocator is not None
        now = self.clock.seconds()
        self.requested.append((now, units))
        granted = vm.allocator.acquire(self.workspace, units, now) is None
        if granted:
            self.granted.append((now, units))
        return granted

    def run(self, seconds: float, demand: float = 0.0, at: list[Vm] | None = None) -> None:
        """Advance the clock.

        :param demand: units per second that callers request, in requests of 200 and of some thousands of units
        :param at: VMs that receive requests; None for all
        """
        receivers = at or self.vms
        end = self.clock.seconds() + seconds
        pending_units = 0.0
        while self.clock.seconds() < end - 1e-9:
            pending_units += demand * STEP_S
            while pending_units > 0:
                units = 200 if self.random.random() < 0.3 else int(self.random.lognormvariate(7.9, 0.5))
                pending_units -= units
                self.send_request(self.random.choice(receivers), units)
            self.clock.advance(STEP_S)

    def compute_worst_window(self) -> float:
        """Return the most units granted in any window, as a share of the window bound."""
        quota = self.quota
        window = self.terms.window
        bound = (quota.rate * window + quota.burst) * (1 + self.terms.overage) + self.terms.slack
        worst, total, first = 0.0, 0, 0
        for at, units in self.granted:
            total += units
            while self.granted[first][0] <= at - window:
                total -= self.granted[first][1]
                first += 1
            worst = max(worst, total / bound)
        return worst
