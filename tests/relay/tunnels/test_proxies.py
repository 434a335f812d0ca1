"""Which peer is asked for a tunnel."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from beamhatch.relay.model import Address
from beamhatch.relay.topology import RegionName, Topology
from beamhatch.relay.tunnels.message import Refusal
from beamhatch.relay.tunnels.proxies import (
    REFUSED_PAUSE_S,
    TUNNELS_PER_LEG,
    UNREACHABLE_PAUSE_S,
    UNRESPONSIVE_PAUSE_S,
    Proxy,
    ProxyChooser,
)

UPSTREAM = Address("up", 80)
OTHER_UPSTREAM = Address("other", 80)
PLACES = Topology({"a": RegionName("north"), "b": RegionName("north"), "c": RegionName("south")})


def make_proxy(number: int, hall: str = "a", tunnels: int = 0, *, is_confirmed: bool = True) -> Proxy:
    return Proxy(Address(f"vm{number}", 1), hall, tunnels, is_confirmed)


def make_chooser() -> ProxyChooser:
    return ProxyChooser("a", PLACES)


def draw(chooser: ProxyChooser, proxies: list[Proxy], hall: str = "a", now: float = 0.0) -> Counter[str]:
    chosen = (chooser.choose(proxies, UPSTREAM, hall, (), now) for _ in range(200))
    return Counter(one.address.host for one in chosen if one is not None)


def test_a_peer_of_another_region_is_asked_only_if_there_is_no_nearer_one() -> None:
    near, far = make_proxy(1, "b"), make_proxy(2, "c")
    assert draw(make_chooser(), [near, far]) == {"vm1": 200}
    assert draw(make_chooser(), [far]) == {"vm2": 200}


def test_peers_as_near_as_each_other_share_the_load() -> None:
    drawn = draw(make_chooser(), [make_proxy(number) for number in range(4)])
    assert min(drawn.values()) > 200 / 4 / 2


def test_a_peer_that_carries_many_tunnels_gives_way_to_one_in_another_hall() -> None:
    busy = make_proxy(1, tunnels=4 * TUNNELS_PER_LEG)
    assert draw(make_chooser(), [busy, make_proxy(2, "b")]) == {"vm2": 200}


def test_a_peer_that_refuses_callers_for_its_load_gives_way_to_one_in_another_hall() -> None:
    overloaded = replace(make_proxy(1), is_overloaded=True)
    assert draw(make_chooser(), [overloaded, make_proxy(2, "b")]) == {"vm2": 200}
    assert draw(make_chooser(), [overloaded, make_proxy(2, "c")]) == {"vm1": 200}


def test_a_peer_that_told_that_it_accepts_comes_before_one_of_which_nothing_is_known() -> None:
    unknown = make_proxy(1, is_confirmed=False)
    assert draw(make_chooser(), [unknown, make_proxy(2, "c")]) == {"vm2": 200}
    assert draw(make_chooser(), [unknown]) == {"vm1": 200}


def test_a_peer_that_failed_is_not_asked_for_a_while() -> None:
    for reason, pause in ((Refusal.FULL, REFUSED_PAUSE_S), (Refusal.UNREACHABLE, UNREACHABLE_PAUSE_S)):
        chooser = make_chooser()
        chooser.record_refused(make_proxy(1).address, UPSTREAM, reason, 0.0)
        assert not draw(chooser, [make_proxy(1)], now=pause / 2)
        assert draw(chooser, [make_proxy(1)], now=pause)
    chooser = make_chooser()
    chooser.record_unresponsive(make_proxy(1).address, 0.0)
    assert not draw(chooser, [make_proxy(1)], now=UNRESPONSIVE_PAUSE_S / 2)


def test_a_peer_that_does_not_reach_one_upstream_is_asked_for_others() -> None:
    chooser = make_chooser()
    chooser.record_refused(make_proxy(1).address, OTHER_UPSTREAM, Refusal.UNREACHABLE, 0.0)
    assert draw(chooser, [make_proxy(1)]) == {"vm1": 200}
    assert chooser.choose([make_proxy(1)], UPSTREAM, "a", {make_proxy(1).address}, 0.0) is None
