"""Orders to engines, from one VM at a time."""

from __future__ import annotations

import itertools

from twisted.internet import defer

from beamhatch.platform.standin.store import StoreFault
from beamhatch.platform.standin.upstream import StandInEngine
from beamhatch.relay.engines.balancing import PhaseChange, ServiceDemand
from beamhatch.relay.engines.throughput import CapacityParameters
from beamhatch.relay.model import Phase, UpstreamId
from tests.support.platform import MODEL, Platform, make_platform


def make_short_of_memory(vms: int) -> Platform:
    """Return a platform whose one decode engine has room for two streams."""
    platform = make_platform(prefill=2, decode=0)
    platform.add_engine("decode-0", "decode", kv_tokens=13_000)
    for number in range(2, vms + 1):
        platform.add_vm(f"vm{number}", ["vm1:8002"])
    platform.network.run_until(lambda: all(platform.is_ready(vm) for vm in platform.vms))
    return platform


def press(platform: Platform, seconds: float) -> None:
    """Have callers ask for more streams than there is memory for."""
    for number in range(int(seconds * 4)):
        vm = f"vm{1 + number % len(platform.vms)}"
        platform.call("/stream/x", f"p{platform.network.rightNow}-{number}", vm=vm, headers={"Token-Count": "5000,60"})
        platform.network.run(0.25)


def test_one_vm_has_a_prefill_engine_change_its_part() -> None:
    platform = make_short_of_memory(3)
    press(platform, 20.0)
    orders = platform.ledger.orders
    assert orders
    assert {order.phase for order in orders} == {"decode"}
    assert len({order.holder for order in orders}) == 1
    assert len({order.token for order in orders}) == 1
    assert len(orders) <= 2


def test_no_order_is_given_without_pressure() -> None:
    platform = make_platform(prefill=2, decode=1)
    platform.network.run(30.0)
    assert not platform.ledger.orders


def test_no_order_is_given_by_a_vm_whose_lease_can_not_be_renewed() -> None:
    platform = make_short_of_memory(1)
    platform.network.run(4.0)
    platform.store.fault = StoreFault.UNAVAILABLE
    press(platform, 20.0)
    assert not platform.ledger.orders


def test_a_lease_that_the_store_ends_early_brings_about_no_second_holder_in_the_same_time() -> None:
    platform = make_short_of_memory(3)
    press(platform, 12.0)
    platform.store.remove("beamhatch/leader")
    for engine in platform.upstreams.values():
        if isinstance(engine, StandInEngine):
            platform.store.put(f"servers/{engine.instance}", engine.make_entry(MODEL, "hall-a"))
    press(platform, 25.0)
    orders = platform.ledger.orders
    for before, after in itertools.pairwise(orders):
        assert after.token >= before.token
        if after.holder != before.holder:
            assert after.at - before.at >= 3.0


def find_leaders(platform: Platform) -> list[str]:
    """Return the VMs that hold the lease."""
    now = platform.clock.now()
    return [name for name, vm in platform.vms.items() if vm.leadership is not None and vm.leadership.lease.holds(now)]


def test_another_vm_leads_soon_after_the_leader_stops() -> None:
    platform = make_platform()
    for number in range(2, 9):
        platform.add_vm(f"vm{number}", ["vm1:8002"])
    for _ in range(4):
        platform.network.run_until(lambda: find_leaders(platform), 30.0)
        (leader,) = find_leaders(platform)
        platform.vms[leader].stop()
        del platform.vms[leader]
        platform.network.run(1.0)
        assert not find_leaders(platform)


def count_misspent(platform: Platform) -> int:
    """Return the prompts that were read more than once, or for a stream that never ran."""
    prefilled, runs = platform.ledger.prefilled, platform.ledger.runs
    return sum(count - min(1, runs[request]) for request, count in prefilled.items())


def test_an_engine_that_is_changing_its_part_gets_nothing_new_from_any_vm() -> None:
    platform = make_platform(prefill=2, decode=3)
    for number in range(2, 7):
        platform.add_vm(f"vm{number}", ["vm1:8002"])
    platform.network.run_until(lambda: all(platform.is_ready(vm) for vm in platform.vms))
    platform.network.run_until(lambda: find_leaders(platform), 30.0)
    platform.network.run(12.0)
    for engine in platform.upstreams.values():
        if isinstance(engine, StandInEngine):
            engine.prefill_rate = 1e6
            engine.event_interval_s = 0.005
    # The leader believes that the engines read so slowly that one of the decode engines has to help.
    (leader,) = find_leaders(platform)
    ordering = platform.vms[leader]._phase_controller
    assert ordering is not None
    slow = CapacityParameters(60_000, 11_000.0, 10.0, 1.0, prefill_rate=5_000.0, local_prefill_rate=1_000.0)
    ordering._compute_demand = lambda _: ServiceDemand(14_000, 0.0, slow)
    asked: list[int] = []

    def ask() -> None:
        number = len(asked)
        asked.append(number)
        headers = {"Token-Count": "11000,10"}
        platform.call("/stream/x", f"p{number}", vm=f"vm{1 + number % 6}", headers=headers)

    def is_changing() -> bool:
        ask()
        platform.network.run(0.08)
        return any(isinstance(one, StandInEngine) and one.pending_phase for one in platform.upstreams.values())

    while not is_changing():
        assert len(asked) < 1000
    platform.network.run(0.3)
    before = len(list_turned_away(platform))
    for _ in range(30):
        ask()
        platform.network.run(0.08)
    assert len(list_turned_away(platform)) == before
    assert not count_misspent(platform)


def list_turned_away(platform: Platform) -> list[str]:
    """Return the requests that engines turned away, as all VMs' logs have them."""
    lines = [line for journal in platform.journals.values() for line in journal.lines]
    return [line["request"] for line in lines if line["event"] == "turned away"]


def give_order(platform: Platform) -> str:
    """Have the leader order a decode engine to read prompts; return the engine."""
    (leader,) = find_leaders(platform)
    ordering = platform.vms[leader]._phase_controller
    assert ordering is not None
    engine = platform.vms[leader].core.listing.get(UpstreamId("decode-0"))
    assert engine is not None
    pressure = ServiceDemand(0.0, 0.0, CapacityParameters(60_000, 5000.0, 600.0, 3.0))
    defer.ensureDeferred(ordering._order_all([PhaseChange(engine, Phase.PREFILL)], pressure))
    ordering._compute_demand = lambda _: pressure  # without demand no other order comes into the way
    return engine.id


def ask_often(platform: Platform, first: int, count: int) -> None:
    """Have callers ask for streams, at all VMs in turn."""
    vms = list(platform.vms)
    for number in range(first, first + count):
        platform.call("/stream/x", f"p{number}", vm=vms[number % len(vms)])
        platform.network.run(0.1)


def make_led(vms: int) -> Platform:
    """Return a platform with some VMs of which one leads and may order."""
    platform = make_platform(prefill=2, decode=2)
    for number in range(2, vms + 1):
        platform.add_vm(f"vm{number}", ["vm1:8002"])
    platform.network.run_until(lambda: find_leaders(platform), 30.0)
    return platform


def test_an_engine_whose_order_was_not_answered_is_used_until_it_turns_a_request_away() -> None:
    platform = make_led(4)
    engine = platform.upstreams["decode-0"]
    assert isinstance(engine, StandInEngine)
    engine.drops_next_order = True
    give_order(platform)
    platform.network.run(1.0)
    assert engine.pending_phase is None
    ask_often(platform, 0, 20)
    assert not list_turned_away(platform)
    assert any(line["event"] == "sent" and line.get("to") == "decode-0" for line in platform.journals["vm1"].lines)
    engine.apply_dropped_order()
    ask_often(platform, 20, 40)
    assert len(list_turned_away(platform)) <= 2
    assert count_misspent(platform) <= 2


def test_vms_that_start_anew_find_out_soon_that_an_engine_is_changing() -> None:
    platform = make_led(4)
    engine = platform.upstreams["decode-0"]
    assert isinstance(engine, StandInEngine)
    engine.phase_change_time_s = 60.0
    give_order(platform)
    platform.network.run(0.3)
    assert engine.pending_phase is not None
    for name in list(platform.vms):
        platform.network.cut(name)
        del platform.vms[name]
    for number in range(4):
        platform.add_vm(f"new{number}", ["new0:8002"])
    platform.network.run_until(lambda: all(vm.core.ready for vm in platform.vms.values()), 5.0)
    platform.network.run(1.5)
    ask_often(platform, 0, 40)
    assert len(list_turned_away(platform)) <= 2
    assert count_misspent(platform) <= 2


def test_more_engines_follow_a_first_one_as_soon_as_the_demand_shows() -> None:
    platform = make_platform(prefill=24, decode=0)
    for number in range(4):
        platform.add_engine(f"decode-{number}", "decode", kv_tokens=13_000)
    platform.network.run_until(lambda: find_leaders(platform), 30.0)
    platform.network.run(12.0)
    (ordering,) = [vm._phase_controller for vm in platform.vms.values() if vm._phase_controller is not None]
    figures = CapacityParameters(13_000, 5000.0, 600.0, 3.0)
    counts = []
    for rate in (6_000, 200_000, 200_000):
        ordering._compute_demand = lambda _, rate=rate: ServiceDemand(rate, 0.0, figures)  # type: ignore[misc]
        platform.network.run(2.0)
        counts.append(len(platform.ledger.orders))
    assert counts == [1, 4, 4]  # 0.15 of the 28 engines are away at a time
    assert {order.phase for order in platform.ledger.orders} == {"decode"}


def test_why_the_leader_orders_or_does_not_is_told_once_and_then_some_seconds_apart() -> None:
    platform = make_short_of_memory(1)
    platform.network.run_until(lambda: find_leaders(platform), 30.0)
    press(platform, 20.0)
    lines = [line for line in platform.journals["vm1"].lines if line["event"] == "weighed"]
    assert any(line["gain"] >= line["needed"] for line in lines)
    assert len(lines) <= 20
    assert {"prefills", "decodes", "prompt_rate", "residence", "read_rate"} <= set(lines[0])


def test_a_last_order_that_can_not_be_read_is_told() -> None:
    platform = make_platform()
    ordering = platform.vms["vm1"]._phase_controller
    assert ordering is not None
    ordering._resume_order("nonsense")
    lines = platform.journals["vm1"].lines
    assert [line["order"] for line in lines if line["event"] == "last order unreadable"] == ["nonsense"]
