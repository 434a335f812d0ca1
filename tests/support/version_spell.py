"""Spells of overlapping disruptions while engines are replaced by other versions and callers resume streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.support.configuration_fleet import HALLS
from tests.support.version_fleet import VersionFleet

if TYPE_CHECKING:
    from collections.abc import Callable

SPELL_S = 16.0
"""Seconds in which disruptions begin."""

CALM_S = 6.0
"""Seconds of callers behind the last disruption."""

RATE = 12.0
"""Streams per second that callers ask for."""

MIXED_ALLOWED = 2
"""Streams that may hold events from two versions, over a whole day and all VMs."""


class VersionSpell:
    """One spell, drawn from a seed."""

    def __init__(self, seed: int, size: int = 6, *, kills_all: bool = False) -> None:
        """Start the fleet.

        :param kills_all: whether all engines are replaced and all VMs killed at once too, and callers come back when
            they are told to
        """
        self.fleet = VersionFleet(size, seed, versions=["v1"] if kills_all else ["v1", "v2"])
        self.fleet.honours_retry_after = kills_all
        self._kills_all = kills_all
        self.lines: list[str] = []
        """What was brought about, and when."""
        self._network = self.fleet.platform.network
        self._began = self.fleet.now
        self._numbers = list(range(6))
        self._successor = 6
        self._versions = ["v1", "v2", "v3"]

    def play(self) -> list[str]:
        """Play the spell, and return the streams of two versions if they are more than allowed."""
        kinds: list[Callable[[], None]] = [
            self._crash,
            self._crash,
            self._kill,
            self._kill_half,
            self._stop,
            self._freeze,
            self._replace,
            self._replace,
            self._cut_store,
            self._cut_hall,
            self._reset,
            self._silence,
            self._lose_datagrams,
        ]
        if self._kills_all:
            kinds += [self._kill_all, self._roll_out, self._roll_out, self._roll_out]
        end = self.fleet.now + SPELL_S
        while self.fleet.now < end:
            self.fleet.rng.choice(kinds)()
            self.fleet.run(self.fleet.rng.choice([0.1, 0.4, 1.0, 2.5]), RATE)
        self.fleet.run(CALM_S, RATE)
        self.fleet.finish()
        mixed = self.fleet.list_mixed()
        return mixed if len(mixed) > MIXED_ALLOWED else []

    def _note(self, text: str) -> None:
        self.lines.append(f"{self.fleet.now - self._began:7.3f} {text}")

    def _draw_vm(self) -> str | None:
        vms = self.fleet.list_vms()
        return self.fleet.rng.choice(vms) if len(vms) > 1 else None

    def _crash(self) -> None:
        share = self.fleet.rng.choice([0.1, 0.3, 0.6])
        self._note(f"a share of {share} of the decode engines crash")
        self.fleet.crash(share)

    def _kill(self) -> None:
        vm = self._draw_vm()
        if vm is not None:
            resets = self.fleet.rng.random() < 0.5
            self._note(f"{vm} {'is killed' if resets else 'loses power'}")
            self.fleet.kill(vm, self.fleet.rng.choice([0.3, 2.0, None]), resets=resets)

    def _kill_half(self) -> None:
        vms = self.fleet.list_vms()
        for vm in self.fleet.rng.sample(vms, len(vms) // 2):
            self._note(f"{vm} is killed with others")
            self.fleet.kill(vm, 0.5)

    def _kill_all(self) -> None:
        down_s = self.fleet.rng.choice([0.2, 0.5, 3.0])
        self._note(f"all VMs are killed, for {down_s} s")
        for vm in self.fleet.list_vms():
            self.fleet.kill(vm, down_s)

    def _stop(self) -> None:
        vm = self._draw_vm()
        if vm is not None:
            self._note(f"{vm} is stopped")
            self.fleet.stop(vm)

    def _freeze(self) -> None:
        vm = self._draw_vm()
        if vm is not None:
            self._note(f"{vm} stands still")
            self._network.freeze(vm)
            self._network.callLater(self.fleet.rng.uniform(0.3, 3.0), self._network.thaw, vm)

    def _replace(self) -> None:
        number = self._numbers.pop(self.fleet.rng.randrange(len(self._numbers)))
        version = self.fleet.rng.choice(self._versions)
        self._note(f"engines {number} are replaced by {self._successor} at {version}")
        self.fleet.replace(number, self._successor, version)
        self._numbers.append(self._successor)
        self._successor += 1

    def _roll_out(self) -> None:
        """Replace all engines by another version, and kill all VMs at about the end of the former ones."""
        version = self.fleet.rng.choice(self._versions)
        self._note(f"all engines are replaced by {version}")
        for number in list(self._numbers):
            self.fleet.replace(number, self._successor, version)
            self._numbers.remove(number)
            self._numbers.append(self._successor)
            self._successor += 1
        self.fleet.run(self.fleet.rng.uniform(2.0, 4.0), RATE)
        self._kill_all()

    def _cut_store(self) -> None:
        self._note("the store is cut off")
        self._network.cut("store")
        self._network.callLater(self.fleet.rng.uniform(0.5, 5.0), self._network.heal, "store")

    def _cut_hall(self) -> None:
        hall = self.fleet.rng.choice(HALLS)
        halls = self.fleet.halls
        pairs = [(one, other) for one in halls for other in halls if halls[one] == hall != halls[other]]
        self._note(f"the VMs of {hall} are cut off")
        for one, other in pairs:
            self._network.cut_between(one, other)
            self._network.callLater(4.0, self._network.heal_between, one, other)

    def _reset(self) -> None:
        self._note("all connections are reset")
        self._network.reset_connections(lambda _: True)

    def _silence(self) -> None:
        self._note("all connections fall silent")
        self._network.silence_connections()

    def _lose_datagrams(self) -> None:
        self._note("a third of the datagrams is lost")
        self._network.datagram_loss = 1 / 3
        self._network.callLater(3.0, self._end_loss)

    def _end_loss(self) -> None:
        self._network.datagram_loss = 0.0
