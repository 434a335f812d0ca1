"""Failure detection on a simulated clock, with killed, frozen, partitioned and restarted VMs."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from beamhatch.decide.member import Health, HealthChange, IndirectProbe, Membership, MemberUpdate, Probe
from beamhatch.ids import Boot, VmName

if TYPE_CHECKING:
    from collections.abc import Sequence

PERIOD, TIMEOUT, SUSPICION, STEP = 0.5, 0.3, 1.5, 0.1


class Net:
    """A simulated network of VMs; frozen and killed ones neither probe nor answer."""

    def __init__(self, count: int) -> None:
        self.now = 0.0
        self.vms: dict[VmName, Membership] = {}
        self.down: set[VmName] = set()
        self.cuts: set[tuple[VmName, VmName]] = set()
        self.deaths: list[tuple[VmName, VmName, float]] = []
        for number in range(count):
            self.start(VmName(f"vm-{number}"), 1)

    def start(self, vm: VmName, boot: int) -> None:
        note = MemberUpdate(vm, Boot(boot), 0, Health.ALIVE, f"{vm}:1")
        self.vms[vm] = Membership(note, PERIOD, TIMEOUT, SUSPICION, random.Random(f"{vm}.{boot}"))
        self.down.discard(vm)
        for other, members in self.vms.items():
            if other not in self.down:
                members.apply_updates(self.vms[vm].list_updates(), self.now)
                self.vms[vm].apply_updates(members.list_updates(), self.now)

    def carries(self, source: VmName, target: VmName) -> bool:
        return not ({source, target} & self.down) and (source, target) not in self.cuts

    def probe(self, source: VmName, target: VmName) -> bool:
        """Carry a probe and its answer, each with updates; return whether the answer arrived."""
        if not self.carries(source, target):
            return False
        self.take(target, self.vms[source].pick_updates())
        if not self.carries(target, source):
            return False
        self.take(source, self.vms[target].pick_updates())
        return True

    def take(self, vm: VmName, notes: list[MemberUpdate]) -> None:
        self.note_deaths(vm, self.vms[vm].apply_updates(notes, self.now))

    def note_deaths(self, vm: VmName, effects: Sequence[object]) -> None:
        for effect in effects:
            if isinstance(effect, HealthChange) and effect.update.health is Health.DEAD:
                self.deaths.append((vm, effect.update.vm, self.now))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            for vm, members in self.vms.items():
                if vm not in self.down:
                    self.act(vm, members)

    def act(self, vm: VmName, members: Membership) -> None:
        effects = members.tick(self.now)
        self.note_deaths(vm, list(effects))
        for effect in effects:
            if isinstance(effect, Probe) and self.probe(vm, effect.vm):
                members.record_ack(effect.number)
            if isinstance(effect, IndirectProbe) and self.probe_through(vm, effect):
                members.record_ack(effect.number)

    def probe_through(self, vm: VmName, effect: IndirectProbe) -> bool:
        there = self.carries(vm, effect.through) and self.probe(effect.through, effect.vm)
        return there and self.carries(effect.through, vm)


@pytest.mark.parametrize("count", [3, 6, 8, 16, 32])
def test_all_vms_detect_a_killed_vm_and_no_other(count: int) -> None:
    net = Net(count)
    net.run(5)
    victim = VmName("vm-0")
    net.down.add(victim)
    net.run(15)
    assert {dead for _, dead, _ in net.deaths} == {victim}
    assert {finder for finder, _, _ in net.deaths} == set(net.vms) - {victim}


def test_one_way_partition_declares_no_vm_dead() -> None:
    net = Net(6)
    net.cuts = {(VmName("vm-0"), VmName("vm-1"))}
    net.run(60)
    assert net.deaths == []


class MemberMachine(RuleBasedStateMachine):
    """Freezes, resumes and restarts VMs, and advances the clock."""

    def __init__(self) -> None:
        super().__init__()
        self.net = Net(5)
        self.boots = dict.fromkeys(self.net.vms, 1)

    @rule(number=st.integers(0, 4))
    @precondition(lambda self: len(self.net.down) < 2)
    def freeze(self, number: int) -> None:
        self.net.down.add(VmName(f"vm-{number}"))

    @rule(number=st.integers(0, 4))
    def wake(self, number: int) -> None:
        self.net.down.discard(VmName(f"vm-{number}"))

    @rule(number=st.integers(0, 4))
    def restart(self, number: int) -> None:
        vm = VmName(f"vm-{number}")
        self.boots[vm] += 1
        self.net.start(vm, self.boots[vm])

    @rule(seconds=st.sampled_from([0.3, 2.0, 6.0]))
    def run(self, seconds: float) -> None:
        self.net.run(seconds)

    @invariant()
    def no_boot_ever_goes_back(self) -> None:
        for members in self.net.vms.values():
            for vm, boot in self.boots.items():
                note = members.get(vm)
                assert note is None or note.boot <= boot

    def teardown(self) -> None:
        """Check that all VMs see each other alive again after they have exchanged updates."""
        self.net.down.clear()
        for vm in list(self.net.vms):
            for other in list(self.net.vms):
                self.net.take(vm, self.net.vms[other].list_updates())
        self.net.run(20)
        for members in self.net.vms.values():
            assert members.list_alive() == sorted(self.net.vms)


TestMembers = MemberMachine.TestCase
