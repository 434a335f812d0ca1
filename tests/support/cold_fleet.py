"""In-process simulation of VMs that send requests to cold upstreams."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.relay.choosing.cold_gate import WINDOW_S, ColdGate, ColdLimit, KnownVms
from beamhatch.relay.choosing.sponsors import SponsorGate
from beamhatch.relay.choosing.turns import RoundRobinGate
from beamhatch.relay.model import Address, ColdTerms, Phase, ServiceName, Upstream, UpstreamId

if TYPE_CHECKING:
    from collections.abc import Iterable

TERMS = ColdTerms(3.0, 8.0)
BOUND = ColdLimit(1.5, 5.0)
MAX_REQUESTS = 17
"""Limit of a cold upstream in any second by ``TERMS`` and ``BOUND``."""

STEP_S = 0.01
"""Time step of the simulation."""

MAX_UPDATE_DELAY_S = 1.0
"""Maximum delay until a VM knows that an upstream is cold, or that a VM is new; longer after a restart."""

MAX_CONNECT_S = 0.05
"""Delay between the choice of an upstream and the sending of the request."""

GateClass = type[SponsorGate] | type[RoundRobinGate]


@dataclass(eq=False)
class Vm:
    """One incarnation of a VM."""

    name: str
    offset: float
    """Offset of its clock in seconds."""
    lag: float
    """Delay of its updates of upstreams in seconds."""
    gate: ColdGate
    others: set[str] = field(default_factory=set)
    side: int = 0
    """Side of a network partition; VMs on different sides are not connected."""


class ColdFleet:
    """Fleet of VMs, with the requests that cold upstreams received."""

    def __init__(self, vms: int, gate_class: GateClass = SponsorGate, *, seed: int = 1, upstreams: int = 1) -> None:
        self.random = random.Random(seed)
        self.gate_class = gate_class
        self.now = 1000.0
        self.cold_until = self.now
        self.request_count = 0
        self.sent: dict[UpstreamId, list[float]] = {}
        self.sending_vms: set[str] = set()
        """Names of the VMs that were allowed to send a request."""
        self._pending: list[tuple[float, UpstreamId, Vm, ColdGate]] = []
        self._announcements: list[tuple[float, str, Vm]] = []
        self.upstreams = [self._make_upstream(f"u{seed}-{number}") for number in range(upstreams)]
        self.vms: list[Vm] = []
        names = {f"10.0.{number}:1" for number in range(vms)}
        for name in sorted(names):
            vm = self._start(name)
            vm.others = names - {name}
        self.now += 10.0

    def _make_upstream(self, name: str) -> Upstream:
        return Upstream(UpstreamId(name), ServiceName("s"), Address(name, 1), "a", False, Phase.PLAIN, 6, 3.0)

    def _start(self, name: str) -> Vm:
        offset = self.random.uniform(-500, 500)
        lag = self.random.uniform(0, MAX_UPDATE_DELAY_S)
        vm: Vm

        def find_cold_until(upstream: UpstreamId) -> float:
            return self.cold_until + vm.lag + vm.offset

        known = KnownVms(name, lambda now: sorted(vm.others), lambda: len(self.vms) > 1)
        vm = Vm(name, offset, lag, self.gate_class(known, BOUND, self.now + offset, find_cold_until))
        self.vms.append(vm)
        return vm

    # --- events ------------------------------------------------------------------------------------------------------

    def turn_cold(self, seconds: float) -> None:
        """Make all upstreams cold for some seconds from now on."""
        self.cold_until = self.now + seconds

    def partition(self, vms: Iterable[Vm], side: int = 1) -> None:
        """Separate VMs from the others by a network partition; they still know of each other."""
        for vm in vms:
            vm.side = side

    def heal(self) -> None:
        """End all partitions: VMs know of each other again after ``MAX_UPDATE_DELAY_S`` at most."""
        for vm in self.vms:
            vm.side = 0
        for vm in self.vms:
            for other in self.vms:
                if other is not vm and other.name not in vm.others:
                    self._announcements.append((self.now + self.random.uniform(0, MAX_UPDATE_DELAY_S), other.name, vm))

    def restart(self, vms: Iterable[Vm]) -> None:
        """Restart VMs without state; connected VMs announce the VMs that they know, mostly in the startup delay."""
        gone = list(vms)
        announced = {vm.name: self._list_announced(vm) for vm in gone}
        for vm in gone:
            self.vms.remove(vm)
        for vm in gone:
            back = self._start(vm.name)
            back.side = vm.side
            for name in announced[vm.name]:
                soon = self.random.random() < 0.7
                delay = (
                    self.random.uniform(0, MAX_UPDATE_DELAY_S)
                    if soon
                    else self.random.uniform(0, 4 * MAX_UPDATE_DELAY_S)
                )
                self._announcements.append((self.now + delay, name, back))

    def _list_announced(self, vm: Vm) -> list[str]:
        connected = [one for one in self.vms if one.side == vm.side and one is not vm]
        names = {name for one in connected[:4] for name in one.others} | {one.name for one in connected}
        return sorted(names - {vm.name})

    def forget_disconnected(self) -> None:
        """Make each VM forget the VMs that it is not connected to."""
        for vm in self.vms:
            vm.others = {one.name for one in self.vms if one.side == vm.side and one is not vm}

    def add(self, name: str) -> None:
        """Start a new VM; the others know of it after ``MAX_UPDATE_DELAY_S`` at most."""
        others = [vm for vm in self.vms if vm.side == 0]
        new = self._start(name)
        for other in others:
            self._announcements.append((self.now + self.random.uniform(0, MAX_UPDATE_DELAY_S), other.name, new))
            self._announcements.append((self.now + self.random.uniform(0, MAX_UPDATE_DELAY_S), name, other))

    def remove(self, vm: Vm) -> None:
        """Remove a VM permanently."""
        self.vms.remove(vm)

    # --- time --------------------------------------------------------------------------------------------------------

    def run(self, seconds: float, demand: float, vms: list[Vm] | None = None) -> None:
        """Run the simulation for some seconds.

        :param demand: requests a second for each upstream, at random VMs
        :param vms: the VMs that receive the requests; all if omitted
        """
        end = self.now + seconds
        due_requests = 0.0
        while self.now < end - 1e-9:
            self._apply_announcements()
            due_requests += demand * STEP_S * len(self.upstreams)
            while due_requests > self.random.random():
                due_requests -= 1
                self._request(self.random.choice(vms or self.vms), self.random.choice(self.upstreams))
            self._deliver()
            self.now += STEP_S

    def _apply_announcements(self) -> None:
        due = [one for one in self._announcements if one[0] <= self.now]
        if due:
            self._announcements = [one for one in self._announcements if one[0] > self.now]
        for _, name, vm in due:
            vm.others.add(name)

    def _request(self, vm: Vm, upstream: Upstream) -> None:
        self.request_count += 1
        now = self.now + vm.offset
        if not vm.gate.may_send(upstream, TERMS, now):
            return
        vm.gate.reserve(upstream.id, now)
        self.sending_vms.add(vm.name)
        self._pending.append((self.now + self.random.uniform(0, MAX_CONNECT_S), upstream.id, vm, vm.gate))

    def _deliver(self) -> None:
        due = [one for one in self._pending if one[0] <= self.now]
        self._pending = [one for one in self._pending if one[0] > self.now]
        for _, upstream, vm, gate in due:
            gate.release(upstream, self.now + vm.offset)
            gate.record_sent(upstream, self.now + vm.offset)
            self.sent.setdefault(upstream, []).append(self.now)

    # --- results -----------------------------------------------------------------------------------------------------

    def get_max_per_second(self) -> int:
        """Return the largest number of requests to one upstream in any second."""
        return max((_count_max_per_second(times) for times in self.sent.values()), default=0)

    def count_sent(self) -> int:
        return sum(len(times) for times in self.sent.values())

    def run_random_events(self, seconds: float, demand: float) -> None:
        """Run with random partitions, restarts, new and lost VMs, and upstreams that turn cold again."""
        end = self.now + seconds
        number = 0
        while self.now < end:
            some = self.random.sample(self.vms, self.random.randint(1, len(self.vms)))
            few = some[: max(1, len(some) // 8)]
            match self.random.randrange(7):
                case 0:
                    self.partition(some, self.random.randint(1, 3))
                case 1:
                    self.heal()
                case 2:
                    self.restart(some)
                case 3:
                    self.restart(few)
                case 4:
                    number += 1
                    self.add(f"10.1.{number}:1")
                case 5 if len(self.vms) > 2:
                    self.remove(few[0])
                case _:
                    self.turn_cold(self.random.choice([3.0, 3.0, 12.0, 30.0]))
            self.run(self.random.choice([0.2, 0.9, 2.5]), demand)


def _count_max_per_second(times: list[float]) -> int:
    most, first = 0, 0
    for last, at in enumerate(times):
        while at - times[first] > 1.0 + 1e-9:
            first += 1
        most = max(most, last - first + 1)
    return most


assert WINDOW_S > 1.0  # gates count over more than the second that is checked here
