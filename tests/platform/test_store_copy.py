"""Tests of an outage of the store that ends with a restore from a backup.

Revisions go back and are assigned again, and leases and the system's recent writes are lost. Ordering by revision alone
would ignore changes made after the restore as outdated, and fencing tokens would decrease.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from beamhatch.platform.documents import PlatformDocuments
from beamhatch.platform.epochs import get_revision
from beamhatch.platform.standin.store import StoreFault
from beamhatch.platform.store import PlatformStore
from beamhatch.relay.api import LeadershipClaim, LeadershipState, ListingUpdate
from beamhatch.relay.model import ServiceName
from beamhatch.relay.store_results import StoreUnavailable
from beamhatch.relay.upstreams.http_client import HttpClient
from tests.support.platform import OTHER_DOOR, PLAIN, STORE, MemoryJournal, Platform

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from beamhatch.platform.standin.store import StoreBackup

OUTAGE_S = 1.5
"""Duration for which the store does not respond before it is restored."""

PROPAGATION_TIME_S = 3.0
"""Time for all VMs to learn of a change at the restored store."""

LOST_CHANGES = 300
"""Number of changes lost by the restore."""


def make_fleet() -> Platform:
    """Return a platform with two VMs in two halls, and upstreams in both."""
    platform = Platform(names_hosts=True)
    platform.configure(1)
    for hall in "ab":
        for number in range(2):
            platform.add_plain(f"plain-{hall}{number}", f"hall-{hall}")
        platform.add_engine(f"prefill-{hall}", "prefill", hall=f"hall-{hall}")
        platform.add_engine(f"decode-{hall}", "decode", hall=f"hall-{hall}")
    for number in range(2):
        platform.add_vm(f"vm{number}", ["vm0:8002"], f"hall-{'ab'[number]}")
    platform.network.run_until(lambda: all(vm.core.ready for vm in platform.vms.values()))
    platform.network.run(6.0)
    return platform


def restore_and_write_again(platform: Platform) -> int:
    """Lose many changes by a restore; upstreams and operators then write theirs again.

    Return the highest fencing token of a leader before the restore.
    """
    backup = platform.store.make_backup()
    for number in range(LOST_CHANGES):
        platform.store.put(f"status/{number % 7}", b"")
    platform.list_again("plain-a0")
    platform.configure(2)
    platform.store.remove("beamhatch/leader")  # forces a new claim
    platform.network.run(8.0)
    token = max(list_leader_tokens(platform))
    platform.store.fault = StoreFault.UNRESPONSIVE
    platform.network.run(OUTAGE_S)
    platform.store.fault = StoreFault.NONE
    platform.store.restore(backup)
    platform.network.run(0.5)
    platform.configure(3)
    for name in platform.upstreams:
        platform.list_again(name)
        platform.network.run(0.05)
    platform.network.run(3.0)
    return token


def list_leader_tokens(platform: Platform) -> list[int]:
    """Return the fencing tokens of all VMs that hold the leader lease."""
    leases = [vm.leadership.lease for vm in platform.vms.values() if vm.leadership is not None]
    return [lease.token for lease in leases if lease.holds(platform.clock.now())]


def send_to_all_vms(platform: Platform, seconds: float) -> list[int]:
    """Send ten requests per second to each VM; return their statuses."""
    callers = []
    for number in range(round(10 * seconds)):
        for vm in platform.vms:
            callers.append(platform.call("/safe/x", f"{vm}-{number}-{platform.clock.now():.1f}", vm=vm))
        platform.network.run(0.1)
    platform.network.run(1.0)
    return [caller.status for caller in callers]


def test_configurations_and_upstreams_written_after_a_restore_are_used() -> None:
    platform = make_fleet()
    restore_and_write_again(platform)
    assert {vm.core.version for vm in platform.vms.values()} == {3}
    assert set(send_to_all_vms(platform, 1.0)) == {200}


def test_an_upstream_that_drains_after_a_restore_gets_no_new_requests() -> None:
    """A draining entry whose revision is lower than the known one must not be ignored as outdated."""
    platform = make_fleet()
    restore_and_write_again(platform)
    upstream = platform.upstreams["plain-a0"]
    platform.drain("plain-a0")
    platform.network.run(PROPAGATION_TIME_S)
    arrived = len(upstream.request_times)
    send_to_all_vms(platform, 2.0)
    assert len(upstream.request_times) == arrived


def test_a_hall_evacuated_after_a_restore_gets_no_new_requests() -> None:
    """An evacuation whose revision is lower than the known one must not be ignored as outdated."""
    platform = make_fleet()
    restore_and_write_again(platform)
    platform.empty("hall-a")
    platform.network.run(PROPAGATION_TIME_S)
    upstreams = [one for name, one in platform.upstreams.items() if platform.find_hall(name) == "hall-a"]
    arrived = sum(len(one.request_times) for one in upstreams)
    send_to_all_vms(platform, 2.0)
    assert sum(len(one.request_times) for one in upstreams) == arrived


def test_the_leader_after_a_restore_has_a_higher_token() -> None:
    """Engines that check fencing tokens would reject all orders of a leader with a lower one."""
    platform = make_fleet()
    before = restore_and_write_again(platform)
    platform.network.run(10.0)
    (token,) = list_leader_tokens(platform)
    assert token > before


def restore_backup(platform: Platform, backup: StoreBackup) -> None:
    """Restore the store from a backup after an outage, with nothing written again yet."""
    platform.store.fault = StoreFault.UNRESPONSIVE
    platform.network.run(OUTAGE_S)
    platform.store.fault = StoreFault.NONE
    platform.store.restore(backup)
    platform.network.run(1.0)


def is_used(platform: Platform, name: str) -> bool:
    """Return whether all VMs may send requests to a replica."""
    usable = [vm.core.list_usable(ServiceName(PLAIN)) for vm in platform.vms.values()]
    return all(name in [one.id for one in found] for found in usable)


def test_an_upstream_missing_from_the_backup_is_used_until_it_registers_again() -> None:
    platform = make_fleet()
    backup = platform.store.make_backup()
    platform.add_plain("plain-new", "hall-a")
    platform.network.run(2.0)
    restore_backup(platform, backup)
    assert is_used(platform, "plain-new")
    platform.list_again("plain-new")
    platform.network.run(8.0)
    assert is_used(platform, "plain-new")


def test_an_upstream_that_does_not_register_again_is_removed() -> None:
    platform = make_fleet()
    backup = platform.store.make_backup()
    platform.add_plain("plain-new", "hall-a")
    platform.network.run(2.0)
    restore_backup(platform, backup)
    assert is_used(platform, "plain-new")
    platform.network.run(8.0)
    assert not is_used(platform, "plain-new")


def test_an_upstream_removed_since_the_backup_gets_no_requests() -> None:
    platform = make_fleet()
    backup = platform.store.make_backup()
    platform.store.remove("servers/plain-a0")
    platform.network.run(4.0)
    restore_backup(platform, backup)
    arrived = len(platform.upstreams["plain-a0"].request_times)
    send_to_all_vms(platform, 1.0)
    assert len(platform.upstreams["plain-a0"].request_times) == arrived
    assert not is_used(platform, "plain-a0")
    platform.upstreams["plain-a0"].born += 1  # a new incarnation
    platform.list_again("plain-a0")
    platform.network.run(1.0)
    assert is_used(platform, "plain-a0")


def test_an_evacuation_missing_from_the_backup_lasts_until_operators_write_it_again() -> None:
    platform = make_fleet()
    backup = platform.store.make_backup()
    platform.empty("hall-a")
    platform.network.run(4.0)
    restore_backup(platform, backup)
    upstreams = [one for name, one in platform.upstreams.items() if platform.find_hall(name) == "hall-a"]
    arrived = sum(len(one.request_times) for one in upstreams)
    send_to_all_vms(platform, 1.0)
    platform.empty("hall-a")
    platform.network.run(8.0)
    send_to_all_vms(platform, 1.0)
    assert sum(len(one.request_times) for one in upstreams) == arrived
    platform.take_back("hall-a")
    platform.network.run(8.0)
    send_to_all_vms(platform, 1.0)
    assert sum(len(one.request_times) for one in upstreams) > arrived


def test_two_restores_in_a_row_are_distinguished() -> None:
    platform = make_fleet()
    for _ in range(2):
        restore_and_write_again(platform)
    platform.drain("plain-a0")
    platform.network.run(PROPAGATION_TIME_S)
    arrived = len(platform.upstreams["plain-a0"].request_times)
    send_to_all_vms(platform, 1.0)
    assert len(platform.upstreams["plain-a0"].request_times) == arrived


def test_a_restore_is_logged_at_most_once_per_vm() -> None:
    platform = make_fleet()
    restore_and_write_again(platform)
    restores = [line for journal in platform.journals.values() for line in journal.lines if "restored" in line["event"]]
    assert {(line["epoch"], line["before"]) for line in restores} == {(2, 1)}
    assert len(restores) <= len(platform.vms)


def test_a_claim_from_before_a_restore_is_invalid_even_if_another_has_its_revision() -> None:
    platform = Platform()
    documents = PlatformDocuments(MemoryJournal(platform.clock))
    store = PlatformStore(HttpClient(platform.clock), platform.clock, STORE, documents)
    found: list[object] = []

    def run(step: Coroutine[Any, Any, object]) -> object:
        defer.ensureDeferred(step).addBoth(found.append)
        platform.network.run(0.1)
        return found[-1]

    backup = platform.store.make_backup()
    platform.store.put("status/x", b"")
    seen = run(store.read_leadership())
    assert isinstance(seen, LeadershipState)
    claim = run(store.claim_leadership("one", 3.0, seen))
    assert isinstance(claim, LeadershipClaim)
    platform.store.restore(backup)
    while platform.store.revision < get_revision(claim.revision) - 1:
        platform.store.put("status/x", b"")
    platform.store.put("beamhatch/leader", b"another")
    assert platform.store.get_newest_revision("beamhatch/leader") == get_revision(claim.revision)
    assert isinstance(
        run(store.record_order(claim, "an order")), StoreUnavailable
    )  # the restore aborted the connection
    assert run(store.record_order(claim, "an order")) is False


def test_a_rejected_watch_is_an_error_and_not_a_restore() -> None:
    """A proxy's response without an epoch must not cause a new read of all lists."""
    platform = Platform()
    documents = PlatformDocuments(MemoryJournal(platform.clock))
    store = PlatformStore(HttpClient(platform.clock), platform.clock, OTHER_DOOR, documents)
    found: list[object] = []
    defer.ensureDeferred(store.read_listing(0)).addBoth(found.append)
    platform.network.run(0.1)
    (news,) = found
    assert isinstance(news, ListingUpdate)
    platform.door.shut = True
    defer.ensureDeferred(store.watch_listing(news.revision, 1.0, 1.0)).addBoth(found.append)
    platform.network.run(0.1)
    assert found[-1] == StoreUnavailable("status 503")
