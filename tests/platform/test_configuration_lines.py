"""Log lines and figures by which an operator finds out why a configuration is late on a VM."""

from __future__ import annotations

import pytest

from beamhatch.platform.standin.store import StoreFault
from beamhatch.relay.fleet.gossip_message import pack_configuration
from tests.support.platform import OTHER_DOOR, MemoryJournal, Platform


def make_pair() -> Platform:
    """Return a platform with two VMs of two halls, of which the second one reaches the store by a door of its own."""
    platform = Platform(names_hosts=True)
    platform.configure(7)
    platform.add_plain("plain-0")
    platform.add_vm("vm0", ["vm0:8002"], "hall-a")
    platform.add_vm("vm1", ["vm0:8002"], "hall-b", store=OTHER_DOOR)
    platform.network.run_until(lambda: all(vm.core.ready for vm in platform.vms.values()))
    platform.network.run(3.0)
    return platform


def list_lines(journal: MemoryJournal, part: str, event: str) -> list[dict[str, object]]:
    return [line for line in journal.lines if (line["part"], line["event"]) == (part, event)]


def test_a_vm_says_that_a_peer_announced_a_newer_version() -> None:
    platform = make_pair()
    platform.network.cut_between("vm1", OTHER_DOOR.host)
    platform.configure(9)
    platform.network.run(1.0)
    line = list_lines(platform.journals["vm1"], "CONFIG", "behind")[-1]
    assert (line["version"], line["newer"], line["source"]) == (7, 9, "peer vm0")
    assert platform.vms["vm1"].tally.gauges["configuration_newest_announced"]() == 9


def test_a_lost_watch_says_for_how_long_the_store_was_silent() -> None:
    platform = make_pair()
    platform.network.run(2.0)
    platform.store.fault = StoreFault.UNRESPONSIVE
    platform.store.abort_connections()
    platform.network.run(1.0)
    silence = platform.vms["vm0"].tally.gauges["store_silence_seconds"]()
    assert 1.0 <= silence < 60.0
    line = list_lines(platform.journals["vm0"], "STORE", "lost")[0]
    assert line["silent_s"] == pytest.approx(silence - 1.0, abs=0.3)


def test_a_version_that_a_restored_store_lacks_is_said_to_be_older_there() -> None:
    platform = make_pair()
    backup = platform.store.make_backup()
    platform.configure(9)
    platform.network.run(1.0)
    platform.store.restore(backup)
    platform.network.run(6.0)
    lines = list_lines(platform.journals["vm0"], "CONFIG", "older")
    assert lines
    assert {(line["version"], line["in_force"], line["source"]) for line in lines} == {(7, 9, "store")}


def test_an_unreadable_configuration_is_said_with_the_peer_that_sent_it() -> None:
    platform = make_pair()
    gossip = platform.vms["vm0"]._gossip
    assert gossip is not None
    broken = pack_configuration(b'{"version": 9}')
    for connection in gossip.list_connections():
        connection.send(broken)
    platform.network.run(0.1)
    lines = list_lines(platform.journals["vm1"], "CONFIG", "unreadable from a peer")
    assert {line["source"] for line in lines} == {"peer vm0"}
    assert platform.vms["vm1"].core.version == 7


def test_a_route_that_a_newer_version_adds_is_answered_with_404_for_good() -> None:
    platform = make_pair()
    platform.network.cut_between("vm1", OTHER_DOOR.host)
    gossip = platform.vms["vm1"]._gossip
    assert gossip is not None
    gossip.newest_version = 9
    caller = platform.finish(platform.call("/added/x", "q1", vm="vm1"))
    assert caller.status == 503
    assert "Retry-After" in caller.head
    gossip.newest_version = 7
    assert platform.finish(platform.call("/added/x", "q2", vm="vm1")).status == 404
