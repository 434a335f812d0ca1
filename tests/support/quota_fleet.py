"""VMs that keep the quota of one workspace together, on a paused clock, without requests or a store."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from twisted.internet import task

from beamhatch.relay.model import CallerLimits, hash_to_fraction, make_routing_table
from beamhatch.relay.workspaces.quota import EqualShare, FollowingShare, QuotaTerms
from beamhatch.relay.workspaces.usage import UsageNews
from beamhatch.relay.workspaces.usage_talk import UsageTalk
from beamhatch.relay.workspaces.workspace import Quota, QuotaUnit, Workspace, WorkspaceName

if TYPE_CHECKING:
    from collections.abc import Iterable

    from beamhatch.relay.fleet.gossip_message import Usage
    from beamhatch.relay.workspaces.quota import QuotaShare

DELAY = 0.004
"""Seconds of a message between VMs: between halls, and the time that a VM takes."""

TELLERS = 2
"""VMs of each hall that add up."""

SILENCE_LIMIT = 1.8
"""Seconds behind which a cut is noticed."""

STEP = 0.01


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
    """Whether it is kept by those only that add up, to those of the same rank in another hall."""

    def __hash__(self) -> int:
        return id(self)

    @property
    def vm(self) -> str:
        return self.there.name

    @property
    def hall(self) -> str:
        return self.there.hall

    @property
    def adds_up(self) -> bool:
        return self.there.adds_up

    @property
    def is_wanted(self) -> bool:
        """Tell whether the product would keep the connection."""
        if self.joins_halls:
            return self.here.adds_up and self.there.adds_up and self.here.place == self.there.place
        return self.hall != self.here.hall or self.here.adds_up or self.there.adds_up

    def tell(self, message: Usage) -> None:
        assert self.other is not None
        self.fleet.sent += 1
        self.fleet.clock.callLater(DELAY, self._arrive, self.other, self.here.life, self.there.life, message)

    def _arrive(self, other: _Link, sender_life: int, receiver_life: int, message: Usage) -> None:
        alive = self.here.life == sender_life and self.there.life == receiver_life
        if alive and not self.fleet.is_cut(self.here, self.there):
            assert self.there.talk is not None
            self.there.talk.take(other, message)  # type: ignore[arg-type]


@dataclass
class Vm:
    """One VM; a restart begins another life."""

    name: str
    hall: str
    life: int = 0
    links: list[_Link] = field(default_factory=list)
    talk: UsageTalk | None = None
    share: QuotaShare | None = None
    links_up: list[_Link] = field(default_factory=list)
    adds_up: bool = False
    place: int = 0
    """Rank among the VMs of its hall that hear each other."""
    side: int = 0
    """VMs on different sides of a cut don't hear each other."""
    seen_side: int = 0
    """What others know of it: they notice a cut when it was silent for some time."""

    def hears(self, other: Vm) -> bool:
        return self.seen_side == other.seen_side


class Fleet:
    """All of them, and what they took."""

    def __init__(
        self,
        vms: int,
        *,
        seed: int = 1,
        rate: float = 160_000,
        burst: float = 160_000,
        terms: QuotaTerms | None = None,
        kind: type[FollowingShare | EqualShare] = FollowingShare,
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
        self.asked: list[tuple[float, int]] = []
        self.taken: list[tuple[float, int]] = []
        self.vms = [Vm(f"vm{number}", f"hall-{number % halls}") for number in range(vms)]
        self._connect()
        self._find_links()
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

    def _find_links(self) -> None:
        """Work out who adds up, and which connections are up: those to them in a hall, and a few to other halls."""
        for vm in self.vms:
            members = [one for one in self.vms if one.hall == vm.hall and vm.hears(one)]
            vm.place = members.index(vm)
            vm.adds_up = vm.place < TELLERS
        for vm in self.vms:
            vm.links_up = [link for link in vm.links if vm.hears(link.there) and link.is_wanted]

    def _start(self, vm: Vm) -> None:
        news = UsageNews(vm.name, vm.hall)
        vm.share = self.kind(news, lambda: len(self.vms), self.terms, self.clock.seconds())
        table = make_routing_table(1, [], [], CallerLimits(), (self.workspace,))
        clock = SimpleNamespace(now=self.clock.seconds, call_later=self.clock.callLater)
        core: Any = SimpleNamespace(clock=clock, table=table)

        def list_links() -> Any:
            return vm.links_up

        vm.talk = UsageTalk(core, vm.share, list_links, lambda: vm.adds_up)
        vm.talk.start()

    def cut(self, vms: list[Vm], *, apart: bool = False) -> None:
        """Cut VMs off from the others, and with ``apart`` from each other as well; heal all others."""
        for vm in self.vms:
            vm.side = 0
        for number, vm in enumerate(vms):
            vm.side = 1 + number if apart else 1
        self.clock.callLater(SILENCE_LIMIT, self._notice)

    def _notice(self) -> None:
        for vm in self.vms:
            vm.seen_side = vm.side
        self._find_links()

    def is_cut(self, one: Vm, other: Vm) -> bool:
        return one.side != other.side

    def restart(self, vms: Iterable[Vm]) -> None:
        """Have VMs forget everything."""
        for vm in vms:
            assert vm.talk is not None
            vm.talk.stop()
            vm.life += 1
            self._start(vm)

    def change_quota(self, rate: float, burst: float) -> None:
        """Have the operators write another quota."""
        self.workspace = make_workspace(rate, burst)
        table = make_routing_table(2, [], [], CallerLimits(), (self.workspace,))
        for vm in self.vms:
            assert vm.talk is not None
            core: Any = vm.talk.core
            core.table = table

    def ask(self, vm: Vm, units: int) -> bool:
        """Have a caller of a VM ask; return whether the request was taken."""
        assert vm.share is not None
        now = self.clock.seconds()
        self.asked.append((now, units))
        taken = vm.share.take(self.workspace, units, now) is None
        if taken:
            self.taken.append((now, units))
        return taken

    def run(self, seconds: float, demand: float = 0.0, at: list[Vm] | None = None) -> None:
        """Let time pass.

        :param demand: units a second that callers ask, in requests of 200 and of some thousands of units
        :param at: the VMs whose callers ask
        """
        asked = at or self.vms
        end = self.clock.seconds() + seconds
        owed = 0.0
        while self.clock.seconds() < end - 1e-9:
            owed += demand * STEP
            while owed > 0:
                units = 200 if self.random.random() < 0.3 else int(self.random.lognormvariate(7.9, 0.5))
                owed -= units
                self.ask(self.random.choice(asked), units)
            self.clock.advance(STEP)

    def find_worst(self) -> float:
        """Return the most units that were taken in a window, as a share of what the platform bears."""
        quota = self.quota
        window = self.terms.window
        bound = (quota.rate * window + quota.burst) * (1 + self.terms.overage) + self.terms.slack
        worst, total, first = 0.0, 0, 0
        for at, units in self.taken:
            total += units
            while self.taken[first][0] <= at - window:
                total -= self.taken[first][1]
                first += 1
            worst = max(worst, total / bound)
        return worst
