"""The store is away for a moment, and is restored from a backup some seconds old.

What users saw: revisions go back and are given out again, and what the system wrote since is gone, its leases too;
operators and upstreams write theirs again. Whatever a VM ordered by revisions, the higher for the newer, took what was
written after the restore for old news until the counter had passed where it was: an upstream that says that it leaves,
a hall that is emptied. The fencing token of orders was such a revision, and went back with it.

The figures in the stories of the tests are those of the code that ordered by revisions, with the fleet below.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from beamhatch.platform.documents import PlatformDocuments
from beamhatch.platform.epochs import find_revision
from beamhatch.platform.standin.store import StoreFault
from beamhatch.platform.store import PlatformStore
from beamhatch.relay.api import LeadershipClaim, LeadershipState, ListingUpdate, StoreUnavailable
from beamhatch.relay.model import ServiceName
from beamhatch.relay.upstreams.http_client import HttpClient
from tests.support.platform import OTHER_DOOR, PLAIN, STORE, MemoryJournal, Platform

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from beamhatch.platform.standin.store import StoreCopy

AWAY = 1.5
"""Seconds for which the store is silent before it is back."""

KNOWN_TIME = 3.0
"""Seconds behind a change at the store that is back in which all VMs know it."""

CHANGES = 300
"""Changes that the store loses."""


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


def lose_changes(platform: Platform) -> int:
    """Have much changed, then have the store restored from a backup of before, and all but the system write again.

    Return the highest token of any leader before.
    """
    copy = platform.store.make_copy()
    for number in range(CHANGES):
        platform.store.put(f"status/{number % 7}", b"")
    platform.list_again("plain-a0")
    platform.configure(2)
    platform.store.remove("beamhatch/leader")  # whoever led is to claim anew
    platform.network.run(8.0)
    token = max(list_tokens(platform))
    platform.store.fault = StoreFault.SILENT
    platform.network.run(AWAY)
    platform.store.fault = StoreFault.NONE
    platform.store.come_back_from(copy)
    platform.network.run(0.5)
    platform.configure(3)
    for name in platform.upstreams:
        platform.list_again(name)
        platform.network.run(0.05)
    platform.network.run(3.0)
    return token


def list_tokens(platform: Platform) -> list[int]:
    """Return the tokens of all VMs that hold the lease."""
    tenures = [vm.leadership.tenure for vm in platform.vms.values() if vm.leadership is not None]
    return [tenure.token for tenure in tenures if tenure.holds(platform.clock.now())]


def ask_all(platform: Platform, seconds: float) -> list[int]:
    """Have callers ask all VMs for some seconds; return how they ended."""
    callers = []
    for number in range(round(10 * seconds)):
        for vm in platform.vms:
            callers.append(platform.call("/safe/x", f"{vm}-{number}-{platform.clock.now():.1f}", vm=vm))
        platform.network.run(0.1)
    platform.network.run(1.0)
    return [caller.status for caller in callers]


def test_configurations_and_upstreams_of_before_are_used_behind_it() -> None:
    platform = make_fleet()
    lose_changes(platform)
    assert {vm.core.version for vm in platform.vms.values()} == {3}
    assert set(ask_all(platform, 1.0)) == {200}


def test_an_upstream_that_says_that_it_leaves_behind_it_gets_nothing_new() -> None:
    """An upstream drains after a restore, and callers' requests went on to it: 18 in 2 s.

    Both VMs knew its entry by revision 311. The restore took the store back to 10; the draining entry was written at
    21, and ``Listing.take`` drops what is not above the revision that it knows. So it stood at 311, not draining, 3 s
    later. The VMs' lines had "regained ... revision=10" behind "listed ... revision=311", and no line "draining".
    """
    platform = make_fleet()
    lose_changes(platform)
    upstream = platform.upstreams["plain-a0"]
    platform.drain("plain-a0")
    platform.network.run(KNOWN_TIME)
    arrived = len(upstream.arrived)
    ask_all(platform, 2.0)
    assert len(upstream.arrived) == arrived


def test_a_hall_that_is_emptied_behind_it_gets_nothing_new() -> None:
    """Operators empty a hall after a restore, and its upstreams went on to get requests: 20 in 2 s.

    Both VMs knew all evacuations up to revision 312 (``Evacuations.as_of``). The hall's key was written at 21, and news
    up to that revision are dropped as known. Both listed no emptied hall 3 s later, and no line "emptied" was written.
    """
    platform = make_fleet()
    lose_changes(platform)
    platform.empty("hall-a")
    platform.network.run(KNOWN_TIME)
    upstreams = [one for name, one in platform.upstreams.items() if platform.find_hall(name) == "hall-a"]
    arrived = sum(len(one.arrived) for one in upstreams)
    ask_all(platform, 2.0)
    assert sum(len(one.arrived) for one in upstreams) == arrived


def test_who_leads_behind_it_bears_a_higher_token() -> None:
    """The leader after a restore gave orders with a lower fencing token than the one before: 20 after 314.

    The token is the revision of the claim. The lines were "claimed token=314" at the first VM, "lost token=314" once
    its lease was gone, and "claimed token=20" at the second. An engine that checks tokens refuses all its orders, and
    one that does not can't tell which of two holders is the later one.
    """
    platform = make_fleet()
    before = lose_changes(platform)
    platform.network.run(10.0)
    (token,) = list_tokens(platform)
    assert token > before


def come_back_at_once(platform: Platform, copy: StoreCopy) -> None:
    """Have the store be away for a moment and restored from a backup, with nothing written again yet."""
    platform.store.fault = StoreFault.SILENT
    platform.network.run(AWAY)
    platform.store.fault = StoreFault.NONE
    platform.store.come_back_from(copy)
    platform.network.run(1.0)


def is_used(platform: Platform, name: str) -> bool:
    """Tell whether all VMs may send requests to a replica."""
    usable = [vm.core.list_usable(ServiceName(PLAIN)) for vm in platform.vms.values()]
    return all(name in [one.id for one in found] for found in usable)


def test_an_upstream_that_the_copy_lacks_is_used_until_it_has_written_again() -> None:
    platform = make_fleet()
    copy = platform.store.make_copy()
    platform.add_plain("plain-new", "hall-a")
    platform.network.run(2.0)
    come_back_at_once(platform, copy)
    assert is_used(platform, "plain-new")
    platform.list_again("plain-new")
    platform.network.run(8.0)
    assert is_used(platform, "plain-new")


def test_one_that_does_not_write_again_is_gone_in_the_end() -> None:
    platform = make_fleet()
    copy = platform.store.make_copy()
    platform.add_plain("plain-new", "hall-a")
    platform.network.run(2.0)
    come_back_at_once(platform, copy)
    assert is_used(platform, "plain-new")
    platform.network.run(8.0)
    assert not is_used(platform, "plain-new")


def test_one_that_is_gone_since_the_copy_gets_nothing_for_standing_there() -> None:
    platform = make_fleet()
    copy = platform.store.make_copy()
    platform.store.remove("servers/plain-a0")
    platform.network.run(4.0)
    come_back_at_once(platform, copy)
    arrived = len(platform.upstreams["plain-a0"].arrived)
    ask_all(platform, 1.0)
    assert len(platform.upstreams["plain-a0"].arrived) == arrived
    assert not is_used(platform, "plain-a0")
    platform.upstreams["plain-a0"].born += 1  # it has started again, and says so
    platform.list_again("plain-a0")
    platform.network.run(1.0)
    assert is_used(platform, "plain-a0")


def test_a_hall_that_the_copy_has_as_used_stays_emptied_until_the_operators_have_written_again() -> None:
    platform = make_fleet()
    copy = platform.store.make_copy()
    platform.empty("hall-a")
    platform.network.run(4.0)
    come_back_at_once(platform, copy)
    upstreams = [one for name, one in platform.upstreams.items() if platform.find_hall(name) == "hall-a"]
    arrived = sum(len(one.arrived) for one in upstreams)
    ask_all(platform, 1.0)
    platform.empty("hall-a")
    platform.network.run(8.0)
    ask_all(platform, 1.0)
    assert sum(len(one.arrived) for one in upstreams) == arrived
    platform.take_back("hall-a")
    platform.network.run(8.0)
    ask_all(platform, 1.0)
    assert sum(len(one.arrived) for one in upstreams) > arrived


def test_two_returns_in_a_row_are_told_apart() -> None:
    platform = make_fleet()
    for _ in range(2):
        lose_changes(platform)
    platform.drain("plain-a0")
    platform.network.run(KNOWN_TIME)
    arrived = len(platform.upstreams["plain-a0"].arrived)
    ask_all(platform, 1.0)
    assert len(platform.upstreams["plain-a0"].arrived) == arrived


def test_a_return_is_told_once_by_who_asks_the_store() -> None:
    platform = make_fleet()
    lose_changes(platform)
    told = [line for journal in platform.journals.values() for line in journal.lines if "restored" in line["event"]]
    assert {(line["epoch"], line["before"]) for line in told} == {(2, 1)}
    assert len(told) <= len(platform.vms)


def test_a_claim_from_before_is_no_claim_though_another_one_has_its_revision() -> None:
    platform = Platform()
    documents = PlatformDocuments(MemoryJournal(platform.clock))
    store = PlatformStore(HttpClient(platform.clock), platform.clock, STORE, documents)
    found: list[object] = []

    def run(step: Coroutine[Any, Any, object]) -> object:
        defer.ensureDeferred(step).addBoth(found.append)
        platform.network.run(0.1)
        return found[-1]

    copy = platform.store.make_copy()
    platform.store.put("status/x", b"")
    seen = run(store.read_leadership())
    assert isinstance(seen, LeadershipState)
    claim = run(store.claim_leadership("one", 3.0, seen))
    assert isinstance(claim, LeadershipClaim)
    platform.store.come_back_from(copy)
    while platform.store.revision < find_revision(claim.revision) - 1:
        platform.store.put("status/x", b"")
    platform.store.put("beamhatch/leader", b"another")
    assert platform.store.find_newest("beamhatch/leader") == find_revision(claim.revision)
    assert isinstance(run(store.record_order(claim, "an order")), StoreUnavailable)  # on the connection of before
    assert run(store.record_order(claim, "an order")) is False


def test_a_watch_that_is_turned_away_is_lost_and_no_sign_of_a_return() -> None:
    """What stands before the store may tell no epoch: with that taken for another one, all was read again at once."""
    platform = Platform()
    documents = PlatformDocuments(MemoryJournal(platform.clock))
    store = PlatformStore(HttpClient(platform.clock), platform.clock, OTHER_DOOR, documents)
    found: list[object] = []
    defer.ensureDeferred(store.read_listing(0)).addBoth(found.append)
    platform.network.run(0.1)
    (news,) = found
    assert isinstance(news, ListingUpdate)
    platform.door.shut = True
    defer.ensureDeferred(store.watch_listing(news.revision, 1.0)).addBoth(found.append)
    platform.network.run(0.1)
    assert found[-1] == StoreUnavailable("status 503")
