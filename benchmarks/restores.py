"""Count what it takes a fleet to follow a store that was restored from a backup: seconds, calls and bytes.

``python -m benchmarks.restores --vms 74`` plays relays and stand-ins on a paused network. The store loses some hundred
changes and all entries written after them, is away for a moment, and has the backup; operators and upstreams write
theirs again within a heartbeat. One JSON object is printed; with ``--calm``, for the same writes without a restore.
"""

from __future__ import annotations

import argparse
import json
import time
from typing import TYPE_CHECKING

from beamhatch.platform.epochs import get_epoch
from beamhatch.platform.standin.store import StoreFault
from benchmarks.quarantine import make_fleet

if TYPE_CHECKING:
    from tests.support.platform import Platform

CHANGES = 300
AWAY = 1.5
HEARTBEAT = 1.2
"""Seconds in which all upstreams have written their entries again."""

WINDOW = 5.0
"""Seconds after the restore in which calls and bytes are counted."""

STARTS_A_HALL = 1
"""VMs that start in each hall right after the restore."""


def count_bytes(platform: Platform) -> list[int]:
    """Return the bytes that each VM has sent to others."""
    counts = [vm.tally.counts for vm in platform.vms.values()]
    return [sum(of for (name, _), of in one.items() if name == "peer_bytes_total") for one in counts]


def lose_changes(platform: Platform, *, restores: bool) -> None:
    """Have some hundred changes and entries written, and the store restored from a backup that lacks them."""
    backup = platform.store.make_backup()
    for number in range(CHANGES):
        platform.store.put(f"status/{number % 7}", b"")
    for name in platform.upstreams:
        platform.list_again(name)
    platform.network.run(2.0)
    if not restores:
        return
    platform.store.fault = StoreFault.UNRESPONSIVE
    platform.network.run(AWAY)
    platform.store.fault = StoreFault.NONE
    platform.store.restore(backup)


def follow(platform: Platform, epoch: int) -> float:
    """Have the others write again; return the seconds until all VMs have the new configuration and listing."""
    begun = platform.clock.now()
    names = list(platform.upstreams)
    for name in names:
        platform.network.run(HEARTBEAT / len(names))
        platform.list_again(name)
    platform.configure(2)
    written = platform.clock.now() - begun

    def knows_all() -> bool:
        return all(vm.core.version == 2 and get_epoch(vm.core.revision) == epoch for vm in platform.vms.values())

    platform.network.run_until(knows_all, 20.0)
    return platform.clock.now() - begun - written


def play(vms: int, halls: int, *, restores: bool) -> dict[str, object]:
    """Restore the store once, with VMs that start right after it."""
    platform = make_fleet(vms, halls)
    lose_changes(platform, restores=restores)
    calls, sent = platform.store.calls, count_bytes(platform)
    before = len(sent)
    for number in range(halls * STARTS_A_HALL):
        platform.add_vm(f"new{number}", ["vm0:8002", "vm1:8002"], f"hall-{number % halls}")
    begun = platform.clock.now()
    seconds = follow(platform, 2 if restores else 1)
    platform.network.run(max(0.0, WINDOW - (platform.clock.now() - begun)))
    grown = [now - then for now, then in zip(count_bytes(platform)[:before], sent, strict=True)]
    return {
        "vms": vms,
        "restored": restores,
        "started": halls * STARTS_A_HALL,
        "seconds_to_last_vm": round(seconds, 2),
        "store_calls": platform.store.calls - calls,
        "bytes_a_vm_and_second": round(sum(grown) / len(grown) / WINDOW),
        "bytes_a_second_at_the_busiest": round(max(grown) / WINDOW),
    }


def main() -> None:
    """Play one size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, default=74)
    parser.add_argument("--halls", type=int, default=6)
    parser.add_argument("--calm", action="store_true", help="write the same without a restore")
    chosen = parser.parse_args()
    begun = time.monotonic()
    found = play(chosen.vms, chosen.halls, restores=not chosen.calm)
    print(json.dumps({**found, "seconds_played_in": round(time.monotonic() - begun)}))


if __name__ == "__main__":
    main()
