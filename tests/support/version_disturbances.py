"""Disruptions of VMs, engines and links while several software versions serve side by side."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from tests.support.configuration_fleet import HALLS

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.support.version_fleet import VersionFleet

RATE = 24.0
"""Streams per second that callers ask for."""

CRASH_SHARE = 1 / 3
"""Share of the decode engines that crash together."""

PAUSE_S = 3.0
"""Seconds between two disruptions, more than an engine needs to be back."""


def crash_engines(fleet: VersionFleet) -> None:
    """Crash some decode engines four times."""
    for _ in range(4):
        fleet.crash(CRASH_SHARE)
        fleet.run(PAUSE_S, RATE)


def kill_vms(fleet: VersionFleet) -> None:
    """Kill six VMs one after the other, each of which is back soon."""
    for _ in range(6):
        fleet.kill(fleet.rng.choice(fleet.list_vms()))
        fleet.run(PAUSE_S / 2, RATE)


def kill_halves(fleet: VersionFleet) -> None:
    """Kill half of the VMs at once, twice."""
    for _ in range(2):
        for vm in fleet.rng.sample(fleet.list_vms(), len(fleet.list_vms()) // 2):
            fleet.kill(vm)
        fleet.run(2 * PAUSE_S, RATE)


def lose_power(fleet: VersionFleet) -> None:
    """Have four VMs lose power, so that nobody is told."""
    for _ in range(4):
        fleet.kill(fleet.rng.choice(fleet.list_vms()), PAUSE_S, resets=False)
        fleet.run(1.5 * PAUSE_S, RATE)


def roll_out(fleet: VersionFleet) -> None:
    """Replace the engines by another version and back again, while engines crash and VMs are killed."""
    for first, successor, version in ((0, 10, "v2"), (10, 20, "v1")):
        for number in range(6):
            fleet.replace(first + number, successor + number, version)
            if number % 2:
                fleet.crash(CRASH_SHARE / 2)
            else:
                fleet.kill(fleet.rng.choice(fleet.list_vms()))
            fleet.run(1.2, RATE)


def cut_store(fleet: VersionFleet) -> None:
    """Cut the store off while engines crash and VMs are killed."""
    fleet.platform.network.cut("store")
    for _ in range(4):
        fleet.crash(CRASH_SHARE)
        fleet.run(PAUSE_S / 2, RATE)
        fleet.kill(fleet.rng.choice(fleet.list_vms()))
        fleet.run(PAUSE_S / 2, RATE)
    fleet.platform.network.heal("store")


def cut_halls(fleet: VersionFleet) -> None:
    """Cut the VMs of different halls from each other while engines crash and VMs are killed.

    Callers come back in the hall where they were, since nothing gets from one hall to another.
    """
    fleet.returns_near = True
    network = fleet.platform.network
    halls = {vm: daemon.settings.hall for vm, daemon in fleet.platform.vms.items()}
    pairs = [(one, other) for one in halls for other in halls if one < other and halls[one] != halls[other]]
    for one, other in pairs:
        network.cut_between(one, other)
    for hall in HALLS:
        fleet.crash(CRASH_SHARE)
        fleet.run(PAUSE_S / 2, RATE)
        fleet.kill(next(vm for vm, found in halls.items() if found == hall))
        fleet.run(PAUSE_S / 2, RATE)
    for one, other in pairs:
        network.heal_between(one, other)


def reset_connections(fleet: VersionFleet) -> None:
    """Reset all connections four times."""
    for _ in range(4):
        fleet.platform.network.reset_connections(lambda _: True)
        fleet.run(PAUSE_S, RATE)


class Disturbance(Enum):
    """What happens beside the streams."""

    CRASHES = "crashes"
    KILLS = "kills"
    HALVES = "halves"
    POWER = "power"
    ROLLOUT = "rollout"
    STORE = "store"
    HALLS = "halls"
    RESETS = "resets"

    def play(self, fleet: VersionFleet) -> None:
        """Bring it about, and let streams and callers come to their end."""
        fleet.run(2.0, RATE)
        _PLAYED[self](fleet)
        fleet.finish()


_PLAYED: dict[Disturbance, Callable[[VersionFleet], None]] = {
    Disturbance.CRASHES: crash_engines,
    Disturbance.KILLS: kill_vms,
    Disturbance.HALVES: kill_halves,
    Disturbance.POWER: lose_power,
    Disturbance.ROLLOUT: roll_out,
    Disturbance.STORE: cut_store,
    Disturbance.HALLS: cut_halls,
    Disturbance.RESETS: reset_connections,
}
