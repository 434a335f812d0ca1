"""What must hold for requests that reach upstreams by way of a peer."""

from __future__ import annotations

from collections import Counter

import pytest
from twisted.internet import defer

from beamhatch.relay.engines.balancing import PhaseChange
from beamhatch.relay.mechanism import Mechanism
from beamhatch.relay.model import Phase, ServiceName, UpstreamId
from beamhatch.relay.requests.obstacles import MAX_UNREACHED
from tests.support.configuration_fleet import CONTACT_S
from tests.support.platform import MODEL, SENT_TO
from tests.support.reach_fleet import CALLER_PATIENCE_S, Loss, ReachFleet
from tests.support.reach_spell import ReachSpell, find_answer_fault

LOST = "vm0"
PEERS = ("vm1", "vm2")
HALF = ("vm0", "vm2", "vm4")
MAY_HAVE_RUN = {0, 200, 502, 504}
"""Statuses that promise nothing; 0 is a closed connection."""

SPELLS = 5
"""Drawn spells that are played each time; ``python -m tests.soak.reach`` plays more."""


def make_fleet(how: Loss = Loss.RESET, *, lost: tuple[str, ...] = (LOST,), size: int = 3) -> ReachFleet:
    """Return a fleet some of whose VMs have lost their links, and know it."""
    fleet = ReachFleet(size=size, per_hall=2)
    fleet.run(1.0)
    fleet.lose(lost, how)
    fleet.run(3.0)
    fleet.finish()
    return fleet


def play_without_engines(seed: int) -> tuple[ReachFleet, float]:
    """Have ``HALF`` of six VMs lose the links to engines, and serve others; return the fleet and when that began."""
    fleet = ReachFleet(size=6, per_hall=2, seed=seed)
    fleet.run(1.0)
    fleet.lose(HALF, Loss.SILENT, fleet.list_upstream_hosts("decode", "prefill"))
    began = fleet.now
    fleet.run(10.0)
    fleet.finish()
    return fleet, began


def find_carriers(fleet: ReachFleet) -> list[str]:
    """Return the VMs that carry tunnels."""
    return [name for name, vm in fleet.platform.vms.items() if vm.tunnels.server.tunnels]


def list_busy(fleet: ReachFleet, request: str) -> list[str]:
    """Return the upstreams at which a request runs."""
    found = fleet.platform.upstreams.items()
    return [name for name, one in found if any(run.request == request for run in one.runs)]


@pytest.mark.parametrize("power", [False, True], ids=["killed", "power lost"])
@pytest.mark.parametrize("path", ["/unsafe/x", "/stream/x"])
def test_a_request_runs_twice_or_is_denied_as_the_peer_that_carries_it_dies(path: str, power: bool) -> None:
    """At each moment from the dial to the end of the answer."""
    for step in range(0, 130, 10):
        fleet = make_fleet()
        call = fleet.send(LOST, path)
        fleet.platform.network.run(step / 1000)
        for peer in find_carriers(fleet):
            fleet.platform.network.kill(peer, resets=not power)
        fleet.finish()
        runs = fleet.platform.ledger.runs[call.request]
        assert runs <= 1
        assert not runs or call.caller.status in MAY_HAVE_RUN
        assert not find_answer_fault(call)


def test_a_resumable_stream_breaks_off_as_the_peer_that_carries_it_dies() -> None:
    served = 0
    for step in range(60, 200, 20):
        fleet = make_fleet()
        call = fleet.send(LOST, "/resumable/x")
        fleet.platform.network.run(step / 1000)
        for peer in find_carriers(fleet)[:1]:
            fleet.platform.network.kill(peer)
        fleet.finish()
        assert not find_answer_fault(call)
        served += call.is_served
    assert served == len(range(60, 200, 20))


@pytest.mark.parametrize(("path", "upstream"), SENT_TO)
def test_a_run_goes_on_for_a_caller_that_left_a_vm_without_links(path: str, upstream: str) -> None:
    fleet = make_fleet()
    call = fleet.send(LOST, path)
    kind = upstream.partition("-")[0]
    busy = fleet.platform.network.run_until(
        lambda: [one for one in list_busy(fleet, call.request) if one.startswith(kind)], 2.0
    )
    assert busy
    call.caller.leave()
    fleet.platform.network.run(0.5)
    assert not list_busy(fleet, call.request)


def test_an_answer_is_cut_off_as_the_peer_that_carries_it_is_told_to_stop() -> None:
    fleet = make_fleet()
    calls = [fleet.send(LOST, path) for path in ("/stream/x", "/unsafe/x", "/resumable/x")]
    fleet.platform.network.run(0.05)
    stopping = find_carriers(fleet)[0]
    fleet.platform.vms[stopping].stop()
    fleet.platform.network.run(1.0)
    assert all(call.is_served for call in calls)
    opened = fleet.platform.vms[stopping].tally.counts["tunnels_requested_total", "opened"]
    later = [fleet.send(LOST) for _ in range(10)]
    fleet.finish()
    assert all(call.is_served for call in later)
    assert fleet.platform.vms[stopping].tally.counts["tunnels_requested_total", "opened"] == opened
    assert not fleet.platform.vms[stopping].tunnels.server.tunnels


@pytest.mark.parametrize("how", Loss, ids=lambda how: how.value)
def test_a_caller_waits_for_nothing_as_no_vm_has_a_link(how: Loss) -> None:
    """What can't be served is refused at once, with a time to come back."""
    fleet = make_fleet(how, lost=(LOST, *PEERS))
    assert all(vm.core.reach.reachability.is_cut_off for vm in fleet.platform.vms.values())
    calls = [fleet.send(vm, path) for vm in (LOST, *PEERS) for path in ("/safe/x", "/unsafe/x", "/stream/x")]
    fleet.platform.network.run(0.1)
    assert Counter(call.caller.status for call in calls) == {503: len(calls)}
    assert all("Retry-After" in call.caller.head for call in calls)
    fleet.heal((LOST, *PEERS))
    fleet.platform.network.run(2.0)
    calls = [fleet.send(vm, path) for vm in (LOST, *PEERS) for path in ("/safe/x", "/unsafe/x", "/stream/x")]
    fleet.finish()
    assert all(call.is_served for call in calls)


@pytest.mark.parametrize("kind", ["plain", "decode", "prefill"])
@pytest.mark.parametrize("how", Loss, ids=lambda how: how.value)
def test_a_service_is_refused_as_the_links_to_its_upstreams_alone_are_lost(kind: str, how: Loss) -> None:
    fleet = ReachFleet(size=3, per_hall=2)
    fleet.run(1.0)
    fleet.lose((LOST,), how, fleet.list_upstream_hosts(kind))
    fleet.run(3.0)
    began = fleet.now
    fleet.run(4.0)
    fleet.finish()
    served, sent = fleet.count((LOST,), began)
    assert served >= sent - 1
    assert not fleet.platform.vms[LOST].core.reach.reachability.is_cut_off


@pytest.mark.parametrize("seed", range(3))
def test_a_vm_is_asked_for_upstreams_that_it_told_it_does_not_reach(seed: int) -> None:
    """Half of the VMs lose the links to one service, and serve others; one request may cross the word."""
    fleet, began = play_without_engines(seed)
    assert max(count_asked_in_vain(fleet, vm) for vm in HALF) <= 1
    served, sent = fleet.count(HALF, began + CONTACT_S)
    assert served == sent


def count_asked_in_vain(fleet: ReachFleet, vm: str) -> int:
    """Return how often a VM was asked for the same upstream while that was out of its reach, at most."""
    asked: Counter[str] = Counter()
    blocked = set()
    for line in fleet.platform.journals[vm].lines:
        if line["part"] == "REACH" and line["event"] == "lost":
            blocked.add(line["address"])
        elif line["part"] == "TUNNEL" and line["event"] == "requested" and line["address"] in blocked:
            asked[line["address"]] += 1
    return max(asked.values(), default=0)


def test_healed_links_stay_unused_while_peers_carry_on() -> None:
    fleet = make_fleet(Loss.SILENT)
    fleet.run(1.0)
    fleet.heal((LOST,))
    fleet.run(2.0)
    assert not fleet.platform.vms[LOST].core.reach.describe()
    carried = fleet.platform.vms[LOST].tally.counts["connections_by_way_total", "tunnel"]
    fleet.run(5.0)
    assert fleet.platform.vms[LOST].tally.counts["connections_by_way_total", "tunnel"] == carried
    assert not find_carriers(fleet)


@pytest.mark.parametrize("how", Loss, ids=lambda how: how.value)
def test_failures_of_a_vm_without_links_are_held_against_upstreams_by_others(how: Loss) -> None:
    fleet = ReachFleet(size=3, per_hall=2)
    fleet.run(1.0)
    fleet.lose((LOST,), how)
    while not fleet.platform.vms[LOST].core.reach.reachability.is_cut_off:
        fleet.run(0.05)
    fleet.run(0.1)
    for vm in PEERS:
        core = fleet.platform.vms[vm].core
        rates = {one: core.stats.get(one).get_failure_rate(fleet.now) for one in core.listing.list_ids()}
        assert not {one: rate for one, rate in rates.items() if rate >= 0.2}


def test_what_sound_vms_tell_each_other_is_dropped_for_as_long_as_another_has_no_links() -> None:
    fleet = make_fleet()
    core = fleet.platform.vms[PEERS[0]].core
    stats = core.stats.get(UpstreamId("plain-0"))
    stats.apply_peer_failure_rate(0.8, fleet.now)
    fleet.platform.network.run(2.0)
    assert fleet.platform.vms[LOST].core.reach.reachability.is_cut_off
    assert stats.get_failure_rate(fleet.now) > 0.3


def test_an_order_reaches_an_engine_from_another_vm_than_the_leader() -> None:
    fleet = make_fleet()
    vm = fleet.platform.vms[LOST]
    engine = vm.core.listing.get_last_listed(UpstreamId("prefill-0"))
    assert engine is not None
    assert vm._phase_controller is not None
    demand = vm._phase_controller._compute_demand(vm.core.table.services[ServiceName(MODEL)])  # type: ignore[union-attr]
    defer.ensureDeferred(vm._phase_controller._order(PhaseChange(engine, Phase.DECODE), demand))
    fleet.platform.network.run(2.0)
    assert not [order for order in fleet.platform.ledger.orders if order.holder == LOST]


def test_a_leader_without_links_decides_on_phases_by_what_it_does_not_reach() -> None:
    fleet = ReachFleet(size=3, per_hall=2)
    fleet.run(6.0)
    leader = next(
        vm for vm in fleet.platform.vms.values() if vm.leadership and vm.leadership.lease.may_order(fleet.now)
    )
    fleet.lose((leader.settings.vm,), Loss.SILENT)
    fleet.run(2.0)
    lines = fleet.platform.journals[leader.settings.vm].lines
    before = len([line for line in lines if line["event"] in ("weighed", "orders")])
    fleet.run(10.0)
    assert len([line for line in lines if line["event"] in ("weighed", "orders")]) == before


def test_a_vm_that_tells_no_longer_that_it_carries_tunnels_is_asked() -> None:
    fleet = make_fleet()
    fleet.lose((PEERS[0],), Loss.RESET)
    fleet.run(3.0)
    fleet.finish()
    opened = fleet.platform.vms[PEERS[0]].tally.counts["tunnels_requested_total", "opened"]
    began = fleet.now
    fleet.run(3.0)
    fleet.finish()
    served, sent = fleet.count(fleet.platform.vms, began)
    assert served == sent
    assert fleet.platform.vms[PEERS[0]].tally.counts["tunnels_requested_total", "opened"] == opened


def test_upstreams_get_more_time_than_callers_have_by_way_of_a_peer() -> None:
    fleet = make_fleet()
    fleet.run(2.0)
    assert max(fleet.platform.ledger.deadlines) <= CALLER_PATIENCE_S * 1000


def test_without_tunnels_a_vm_without_links_serves_nothing() -> None:
    fleet = ReachFleet(size=3, per_hall=2, without=frozenset({Mechanism.TUNNELS}))
    fleet.lose((LOST,), Loss.RESET)
    fleet.run(3.0)
    began = fleet.now
    fleet.run(3.0)
    fleet.finish()
    served, sent = fleet.count((LOST,), began)
    assert served < sent / 10


@pytest.mark.parametrize("seed", range(SPELLS))
def test_promises_are_broken_as_links_are_lost_beside_other_disruptions(seed: int) -> None:
    spell = ReachSpell(seed)
    broken = spell.play()
    assert not broken, "\n".join([*broken, *spell.lines])


@pytest.mark.parametrize("how", [Loss.RESET, Loss.SILENT], ids=lambda how: how.value)
def test_a_request_tries_hundreds_of_upstreams_as_no_link_leads_to_any(how: Loss) -> None:
    fleet = ReachFleet(size=1, per_hall=100)
    fleet.run(1.0)
    fleet.lose((LOST,), how)
    fleet.run(3.0)
    fleet.finish()
    lines = fleet.platform.journals[LOST].lines
    for path in ("/safe/x", "/stream/x"):
        call = fleet.send(LOST, path)
        fleet.platform.network.run(0.1)
        assert call.caller.status == 503
        tried = [line for line in lines if line.get("request") == call.request and line.get("fault") == "unreached"]
        assert len(tried) <= MAX_UNREACHED


def test_connections_that_live_on_are_closed_as_no_peer_has_a_link() -> None:
    """All VMs lose their links, and open connections are all that is left; as many are served as without tunnels."""
    served = {}
    for without in (frozenset(), frozenset({Mechanism.TUNNELS})):
        fleet = ReachFleet(size=3, per_hall=2, without=without)
        fleet.run(2.0)
        vms = list(fleet.platform.vms)
        fleet.lose(vms, Loss.LIVING)
        began = fleet.now
        fleet.run(4.0)
        fleet.finish()
        served[without], sent = fleet.count(vms, began)
    assert served[frozenset()] >= 0.9 * served[frozenset({Mechanism.TUNNELS})], sent


def test_a_member_that_could_carry_is_not_asked_as_all_connected_peers_lost_the_same_link() -> None:
    """Twelve VMs in three halls are connected to a few others each; those of one hall have links."""
    fleet = ReachFleet(size=12, per_hall=2)
    fleet.run(1.0)
    lost = [*fleet.list_hall("hall-a"), *fleet.list_hall("hall-b")]
    fleet.lose(lost, Loss.SILENT, fleet.list_upstream_hosts("plain"))
    fleet.run(CONTACT_S)
    began = fleet.now
    fleet.run(4.0)
    fleet.finish()
    served, sent = fleet.count(lost, began)
    assert served == sent


@pytest.mark.parametrize("seed", [21, 61, 69])
def test_a_prompt_is_taken_back_as_its_connection_took_most_of_the_time(seed: int) -> None:
    """Retries that are made for no reason spend the budget for retries, and callers are refused."""
    fleet, began = play_without_engines(seed)
    served, sent = fleet.count(HALF, began + CONTACT_S)
    assert served == sent
