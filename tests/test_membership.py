"""Membership of the entry VMs: kills, freezes, one-way cuts, and replacement at the same address."""

from __future__ import annotations

import signal
import socket
from typing import TYPE_CHECKING

import msgpack

from tests.support.call import complete
from tests.support.hall import PEER_PORT
from tests.support.process import wait_until

if TYPE_CHECKING:
    from tests.support.hall import Hall


def read_health(hall: Hall, vm: str, other: str) -> str:
    rows = {row["vm"]: row["health"] for row in hall.admin(vm, "/status")["members"]}
    return str(rows.get(other, "unknown"))


def wait_health(hall: Hall, vm: str, other: str, health: str, limit: float = 8.0) -> None:
    wait_until(lambda: read_health(hall, vm, other) == health, f"{vm} takes {other} as {health}", limit)


def test_a_killed_vm_is_dead_and_its_replacement_is_alive(hall: Hall) -> None:
    hall.start(vms=3, services=0)
    boot = hall.admin("vm-3", "/status")["boot"]
    hall.programs["vm-3"].kill()
    for vm in ("vm-1", "vm-2"):
        wait_health(hall, vm, "vm-3", "dead")
    hall.start_vm("vm-3")
    hall.wait_formed()
    assert hall.admin("vm-3", "/status")["boot"] > boot


def test_a_frozen_vm_is_dead_and_alive_again_when_it_wakes(hall: Hall) -> None:
    hall.start(vms=3, services=0)
    hall.programs["vm-2"].signal(signal.SIGSTOP)
    wait_health(hall, "vm-1", "vm-2", "dead")
    hall.programs["vm-2"].signal(signal.SIGCONT)
    hall.wait_formed()


def test_a_one_way_cut_kills_nobody(hall: Hall) -> None:
    """With a third VM to probe through, a VM that one other can't reach is not taken as dead."""
    hall.start(vms=4, services=0)
    drop = hall.make_drop("vm-1", "vm-2", "forward")
    hall.order_links([drop])
    wait_until(lambda: complete(hall.ports["vm-1"], "meanwhile", 200).status == 200, "time passes")
    wait_until(lambda: complete(hall.ports["vm-1"], "meanwhile", 400).status == 200, "time passes")
    assert [read_health(hall, vm, "vm-2") for vm in ("vm-1", "vm-3", "vm-4")].count("dead") == 0
    for vm in hall.vms:
        assert "health=dead" not in hall.programs[vm].read_log()


def test_a_hostile_frame_closes_its_stream_and_nothing_else(hall: Hall) -> None:
    hall.start(vms=2, services=0)
    hostile = [
        b"\xc1\xc1\xc1",
        msgpack.packb([99, "what"]),
        msgpack.packb({"not": "a message"}),
        msgpack.packb([2, 1, 1, []]),
        msgpack.packb([1, 1, "vm-9", "not a number", "kl-a", "127.0.0.1:1", []]),
        b"\xdd\xff\xff\xff\xff" + b"\x00" * 1000,
    ]
    for data in hostile:
        with socket.create_connection((hall.host("vm-1"), PEER_PORT), timeout=5) as stream:
            stream.sendall(data)
            stream.settimeout(5)
            while True:
                try:
                    if not stream.recv(65536):
                        break
                except ConnectionResetError:
                    break
    # Under load a VM may be suspected for a moment and refute it; a frame must not have it declared dead.
    wait_until(lambda: [read_health(hall, vm, "vm-1") for vm in hall.vms] == ["alive", "alive"], "vm-1 is alive")
    for vm in hall.vms:
        assert "health=dead" not in hall.programs[vm].read_log()
    assert complete(hall.ports["vm-1"], "still here", 2).status == 200
