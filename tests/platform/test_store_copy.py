"""The store is away for a moment, and comes back from a copy some seconds old.

What users will see: revisions go back and are given out again, and what the system wrote since is gone, its leases too;
operators and upstreams write theirs again. Whatever a VM orders by revisions, the higher for the newer, takes what is
written behind the return for old news until the counter has passed where it was: an upstream that says that it leaves,
a hall that is emptied. The token of orders is such a revision, and goes back with it.
"""

from __future__ import annotations

from beamhatch.platform.standin.store import StoreFault
from tests.support.platform import Platform

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
    """Have much changed, then have the store come back from a copy of before, and all but the system write again.

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
    platform = make_fleet()
    lose_changes(platform)
    upstream = platform.upstreams["plain-a0"]
    platform.drain("plain-a0")
    platform.network.run(KNOWN_TIME)
    arrived = len(upstream.arrived)
    ask_all(platform, 2.0)
    assert len(upstream.arrived) == arrived


def test_a_hall_that_is_emptied_behind_it_gets_nothing_new() -> None:
    platform = make_fleet()
    lose_changes(platform)
    platform.empty("hall-a")
    platform.network.run(KNOWN_TIME)
    upstreams = [one for name, one in platform.upstreams.items() if platform.find_hall(name) == "hall-a"]
    arrived = sum(len(one.arrived) for one in upstreams)
    ask_all(platform, 2.0)
    assert sum(len(one.arrived) for one in upstreams) == arrived


def test_who_leads_behind_it_bears_a_higher_token() -> None:
    platform = make_fleet()
    before = lose_changes(platform)
    platform.network.run(10.0)
    (token,) = list_tokens(platform)
    assert token > before
