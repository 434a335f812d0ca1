"""Halls that operators empty and take back, against the platform's stand-ins on a paused clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from twisted.internet import defer

from beamhatch.platform.epochs import Epoch, make_position
from beamhatch.platform.standin.store import StoreFault
from beamhatch.platform.standin.upstream import StandInEngine
from beamhatch.relay.engines.balancing import PhaseChange, ServiceDemand
from beamhatch.relay.engines.ordering import _LastOrdered
from beamhatch.relay.engines.throughput import CapacityParameters
from beamhatch.relay.fleet.evacuations import Evacuation
from beamhatch.relay.model import Phase, ServiceName, UpstreamId
from beamhatch.relay.topology import RegionName, Topology
from tests.support.platform import MODEL, OTHER_DOOR, STORE, Caller, Platform, make_platform

if TYPE_CHECKING:
    from collections.abc import Iterable

HALLS = ["hall-a", "hall-b", "hall-c"]
NEWS_TIME = 0.3
"""Seconds that are given to news here."""

OLD_RETURN = {"Deadline-Ms": "9000"}
"""What a caller says that asks again."""


def make_halls(halls: Iterable[str] = ("hall-a", "hall-b")) -> Platform:
    """Return a platform with one VM, and one upstream of each kind in each hall."""
    platform = Platform()
    platform.configure(1)
    for hall in halls:
        platform.add_plain(f"plain-{hall}", hall)
        platform.add_engine(f"prefill-{hall}", "prefill", hall=hall)
        platform.add_engine(f"decode-{hall}", "decode", hall=hall)
    platform.add_vm()
    platform.network.run_until(platform.is_ready)
    return platform


def get_engine(platform: Platform, name: str) -> StandInEngine:
    engine = platform.upstreams[name]
    assert isinstance(engine, StandInEngine)
    return engine


def count_calls(platform: Platform, *halls: str) -> int:
    """Return how many calls reached the upstreams of some halls."""
    return sum(one.calls for name, one in platform.upstreams.items() if platform.halls[name] in halls)


def ask_all_kinds(platform: Platform, name: str, count: int = 6, vm: str = "vm1") -> list[int]:
    """Have callers ask for all kinds of work; return the statuses."""
    callers = []
    for number in range(count):
        callers.append(platform.call("/safe/x", f"{name}-s{number}", vm=vm))
        callers.append(platform.call("/unsafe/x", f"{name}-u{number}", vm=vm, body=b"x"))
        callers.append(platform.call("/stream/x", f"{name}-m{number}", vm=vm))
        platform.network.run(0.05)
    return [platform.finish(caller).status for caller in callers]


def list_lines(platform: Platform, part: str, vm: str = "vm1") -> list[dict[str, object]]:
    return [line for line in platform.journals[vm].lines if line["part"] == part]


def read_retry_after(caller: Caller) -> float:
    return float(caller.head.lower().partition("retry-after: ")[2].split()[0])


def test_an_emptied_hall_gets_nothing_until_it_is_taken_back() -> None:
    platform = make_halls()
    assert set(ask_all_kinds(platform, "before")) == {200}
    assert count_calls(platform, "hall-a")
    platform.empty("hall-a")
    platform.network.run(NEWS_TIME)
    before = count_calls(platform, "hall-a")
    assert set(ask_all_kinds(platform, "emptied")) == {200}
    assert count_calls(platform, "hall-a") == before
    platform.take_back("hall-a")
    platform.network.run(NEWS_TIME)
    assert set(ask_all_kinds(platform, "back")) == {200}
    assert count_calls(platform, "hall-a") > before
    assert [line["event"] for line in list_lines(platform, "EVACUATION")] == ["emptied", "taken back"]


def test_running_streams_end_in_place_and_are_counted_until_then() -> None:
    platform = make_halls(["hall-a"])
    stream = platform.call("/stream/x", "q1", headers={"Token-Count": "5000,100"})
    platform.network.run(0.5)
    platform.add_engine("decode-late", "decode", hall="hall-b")
    platform.empty("hall-a")
    platform.network.run(NEWS_TIME)
    tally = platform.vms["vm1"].tally
    assert "beamhatch_requests_in_emptied_halls 1.0" in tally.render().decode()
    assert "beamhatch_emptied_halls 1.0" in tally.render().decode()
    assert list_lines(platform, "EVACUATION")[0]["under_way"] == 1
    assert platform.finish(stream).events == list(range(1, 101))
    assert platform.ledger.runs["q1"] == 1
    assert "beamhatch_requests_in_emptied_halls 0.0" in tally.render().decode()


def make_held() -> tuple[Platform, Caller]:
    """Return a platform whose request has memory in a hall while its prompt is read in another one."""
    platform = Platform()
    platform.configure(1)
    engine = platform.add_engine("prefill-0", "prefill")
    engine.prefill_rate = 12_000.0
    platform.add_engine("decode-far", "decode", hall="hall-b")
    platform.add_vm()
    platform.network.run_until(platform.is_ready)
    caller = platform.call("/stream/x", "q1")
    held = get_engine(platform, "decode-far").reserved_tokens
    platform.network.run_until(lambda: held and platform.ledger.arrivals["q1"])
    return platform, caller


def test_memory_that_was_set_aside_in_an_emptied_hall_is_not_used() -> None:
    platform, caller = make_held()
    platform.add_engine("decode-near", "decode")
    platform.empty("hall-b")
    assert platform.finish(caller).events == list(range(1, 11))
    assert get_engine(platform, "decode-far").calls == 1  # the memory that was set aside before
    assert platform.ledger.prefilled["q1"] == 1
    assert "memory given up" in platform.journals["vm1"].list_events("q1")


def test_nothing_is_given_back_to_an_emptied_hall_and_lapses_by_itself() -> None:
    platform, caller = make_held()
    platform.empty("hall-b")
    platform.network.run(0.1)
    caller.leave()
    platform.network.run(0.1)
    far = get_engine(platform, "decode-far")
    assert far.calls == 1
    assert far.reserved_tokens
    platform.network.run(2.0)
    assert not far.reserved_tokens


def test_who_lost_memory_to_an_evacuation_waits_for_other_although_the_line_is_full() -> None:
    platform, caller = make_held()
    platform.add_engine("decode-near", "decode", kv_tokens=6_000)
    platform.empty("hall-b")
    platform.network.run(0.1)
    others = [platform.call("/stream/x", f"o{number}", headers={"Token-Count": "5000,20"}) for number in range(4)]
    assert platform.finish(caller).status == 200
    statuses = [platform.finish(other).status for other in others]
    assert set(statuses) == {200, 503}


def test_a_prompt_that_was_read_in_an_emptied_hall_is_answered_elsewhere() -> None:
    platform = make_halls()
    platform.add_engine("decode-more", "decode", hall="hall-b")
    for hall in ("hall-a", "hall-b"):
        get_engine(platform, f"prefill-{hall}").prefill_rate = 12_000.0
    callers = [platform.call("/stream/x", f"q{number}") for number in range(6)]
    platform.network.run(0.1)
    platform.empty("hall-a")
    platform.network.run(NEWS_TIME)
    before = count_calls(platform, "hall-a")
    assert {platform.finish(caller).status for caller in callers} == {200}
    assert count_calls(platform, "hall-a") == before
    assert set(platform.ledger.prefilled.values()) == {1}


def test_a_stream_that_breaks_in_an_emptied_hall_goes_on_elsewhere() -> None:
    platform = make_halls(["hall-a"])
    caller = platform.call("/resumable/x", "q1", headers={"Token-Count": "5000,60"})
    platform.network.run(0.8)
    platform.add_engine("decode-b", "decode", hall="hall-b")
    platform.add_engine("prefill-b", "prefill", hall="hall-b")
    platform.empty("hall-a")
    platform.network.run(NEWS_TIME)
    before = count_calls(platform, "hall-a")
    platform.upstreams["decode-hall-a"].abort_connections()
    assert platform.finish(caller).events == list(range(1, 61))
    assert count_calls(platform, "hall-a") == before


def test_with_all_halls_emptied_requests_are_refused_at_once_with_the_reason() -> None:
    platform = make_halls()
    platform.empty("hall-a")
    platform.empty("hall-b")
    platform.network.run(NEWS_TIME)
    before = count_calls(platform, *HALLS)
    for path in ("/safe/x", "/unsafe/x", "/stream/x"):
        caller = platform.call(path, path)
        platform.network.run(0.02)
        assert caller.status == 503
        assert 1.0 <= read_retry_after(caller) <= 14.0 / 3
    assert count_calls(platform, *HALLS) == before
    reasons = {str(line["reason"]) for line in list_lines(platform, "RELAY") if line["event"] == "given up"}
    assert len(reasons) == 1
    assert "emptied" in reasons.pop()
    assert 'beamhatch_shut_total{kind="emptied"} 3.0' in platform.vms["vm1"].tally.render().decode()
    platform.take_back("hall-b")
    platform.network.run(NEWS_TIME)
    assert set(ask_all_kinds(platform, "back")) == {200}


def test_all_who_wait_in_line_are_told_at_once_when_nothing_is_left() -> None:
    platform = make_platform(prefill=1, decode=0)
    platform.add_engine("decode-0", "decode", kv_tokens=6_000)
    platform.network.run(NEWS_TIME)
    platform.call("/stream/x", "q0", headers={"Token-Count": "5000,200"})
    platform.network.run(0.2)
    waiting = [platform.call("/stream/x", f"q{number}", headers=OLD_RETURN) for number in range(1, 5)]
    platform.network.run(0.2)
    assert {caller.status for caller in waiting} == {0}
    platform.empty("hall-a")
    platform.network.run(0.03)
    assert {caller.status for caller in waiting} == {503}
    late = platform.call("/stream/x", "late")
    platform.network.run(0.02)
    assert late.status == 503


def test_two_halls_are_emptied_at_once_and_one_again_as_it_is_handed_back() -> None:
    platform = make_halls(HALLS)
    platform.empty("hall-a")
    platform.empty("hall-b")
    platform.network.run(NEWS_TIME)
    before = count_calls(platform, "hall-a", "hall-b")
    assert set(ask_all_kinds(platform, "two")) == {200}
    platform.take_back("hall-a")
    platform.empty("hall-a")
    platform.network.run(NEWS_TIME)
    assert set(ask_all_kinds(platform, "again")) == {200}
    assert count_calls(platform, "hall-a", "hall-b") == before


def make_pair(platform: Platform) -> None:
    """Add a VM that reads the store through another door."""
    platform.add_vm("vm2", ["vm1:8002"], store=OTHER_DOOR)
    platform.network.run_until(lambda: platform.is_ready("vm2"))
    platform.network.run(2.0)


def test_a_vm_that_the_store_turns_away_learns_of_both_beginning_and_end_from_peers() -> None:
    platform = make_halls()
    make_pair(platform)
    platform.door.shut = True
    platform.door.abort_connections()
    platform.empty("hall-a")
    platform.network.run(NEWS_TIME)
    before = count_calls(platform, "hall-a")
    assert set(ask_all_kinds(platform, "emptied", vm="vm2")) == {200}
    assert count_calls(platform, "hall-a") == before
    platform.take_back("hall-a")
    platform.network.run(NEWS_TIME)
    assert not platform.vms["vm2"].core.eligibility.evacuations.list_evacuated()


@pytest.mark.parametrize("emptied", [True, False])
def test_what_was_missed_while_cut_off_is_taken_in_once_the_link_is_back(emptied: bool) -> None:
    platform = make_halls()
    make_pair(platform)
    if not emptied:
        platform.empty("hall-a")
        platform.network.run(NEWS_TIME)
    platform.network.cut("vm2")
    platform.door.shut = True
    platform.door.abort_connections()
    platform.network.run(3.0)
    (platform.empty if emptied else platform.take_back)("hall-a")
    platform.network.run(3.0)
    platform.network.heal("vm2")
    known = platform.vms["vm2"].core.eligibility.evacuations
    platform.network.run_until(lambda: known.is_evacuated("hall-a") is emptied, 25.0)
    assert platform.vms["vm1"].core.eligibility.evacuations.is_evacuated("hall-a") is emptied


def test_a_peer_that_is_behind_revives_no_evacuation_that_has_ended() -> None:
    platform = make_halls()
    platform.empty("hall-a")
    platform.network.run(NEWS_TIME)
    platform.add_vm("behind", store=OTHER_DOOR)
    platform.network.run_until(lambda: platform.is_ready("behind"))
    platform.door.shut = True
    platform.door.abort_connections()
    platform.take_back("hall-a")
    platform.network.run(1.0)
    assert platform.vms["behind"].core.eligibility.evacuations.is_evacuated("hall-a")
    gossip = platform.vms["vm1"]._gossip
    assert gossip is not None
    gossip.membership.seeds = ["behind:8002"]
    platform.add_vm("new", ["behind:8002"], store=STORE)
    platform.network.run(3.0)
    assert [line["event"] for line in list_lines(platform, "EVACUATION")] == ["emptied", "taken back"]
    for vm in platform.vms.values():
        assert not vm.core.eligibility.evacuations.list_evacuated()


def test_both_ends_of_lost_history_are_read_anew() -> None:
    platform = make_halls(HALLS)
    platform.empty("hall-a")
    platform.network.run(NEWS_TIME)
    platform.store.fault = StoreFault.UNRESPONSIVE
    platform.store.abort_connections()
    platform.network.run(1.0)
    platform.take_back("hall-a")
    platform.empty("hall-b")
    platform.store.discard_history()
    platform.store.fault = StoreFault.NONE
    known = platform.vms["vm1"].core.eligibility.evacuations
    platform.network.run_until(lambda: known.list_evacuated() == ["hall-b"], 5.0)


def test_a_hall_that_the_settings_do_not_place_is_told_of_once_and_obeyed() -> None:
    platform = Platform()
    platform.configure(1)
    platform.add_plain("plain-a")
    platform.add_plain("plain-odd", "odd")
    platform.add_vm(places=Topology({"hall-a": RegionName("west")}))
    platform.network.run_until(platform.is_ready)
    for _ in range(2):
        platform.empty("odd")
        platform.network.run(NEWS_TIME)
        before = count_calls(platform, "odd")
        for number in range(4):
            assert platform.finish(platform.call("/safe/x", f"q{number}")).status == 200
        assert count_calls(platform, "odd") == before
        platform.take_back("odd")
        platform.network.run(NEWS_TIME)
    assert [line["event"] for line in list_lines(platform, "EVACUATION")].count("unknown hall") == 1


def test_a_key_that_names_no_hall_is_passed_over() -> None:
    platform = make_halls()
    platform.empty("")
    platform.empty("x" * 150)
    platform.network.run(NEWS_TIME)
    assert not platform.vms["vm1"].core.eligibility.evacuations.list_updates()


def test_a_vm_that_starts_while_the_store_is_down_knows_emptied_halls_before_it_is_ready() -> None:
    platform = make_halls()
    platform.empty("hall-a")
    platform.network.run(NEWS_TIME)
    platform.store.fault = StoreFault.UNAVAILABLE
    platform.store.abort_connections()
    platform.add_vm("vm2", ["vm1:8002"])
    platform.network.run_until(lambda: platform.is_ready("vm2"), 5.0)
    before = count_calls(platform, "hall-a")
    assert set(ask_all_kinds(platform, "new", vm="vm2")) == {200}
    assert count_calls(platform, "hall-a") == before


def test_a_vm_is_neither_ready_nor_serves_before_it_knows_which_halls_are_emptied() -> None:
    platform = make_halls()
    evacuations = platform.vms["vm1"].core.eligibility.evacuations
    evacuations.complete = False
    assert not platform.is_ready()
    assert platform.finish(platform.call("/safe/x", "q1")).status == 503
    platform.add_vm("vm2", ["vm1:8002"])
    platform.network.run_until(lambda: platform.is_ready("vm2"), 2.0)
    platform.network.run(1.0)
    assert platform.is_ready()  # its peer read them


def test_a_vm_alone_is_ready_as_soon_as_a_store_that_was_down_is_back() -> None:
    platform = Platform()
    platform.configure(1)
    platform.add_plain("plain-0")
    platform.store.fault = StoreFault.UNAVAILABLE
    platform.add_vm()
    platform.network.run(3.0)
    assert not platform.is_ready()
    platform.store.fault = StoreFault.NONE
    platform.network.run_until(platform.is_ready, 2.0)


def make_led_halls() -> Platform:
    """Return a platform whose decode engines are all in one hall, with a VM that may order."""
    platform = Platform()
    platform.configure(1)
    for number in range(4):
        platform.add_engine(f"prefill-{number}", "prefill", hall="hall-a")
        platform.add_engine(f"decode-{number}", "decode", hall="hall-b")
    platform.add_vm()
    platform.network.run_until(lambda: platform.vms["vm1"].leadership.lease.holds(platform.clock.now()), 30.0)  # type: ignore[union-attr]
    platform.network.run(12.0)
    return platform


def press(platform: Platform, rate: float) -> None:
    ordering = platform.vms["vm1"]._phase_controller
    assert ordering is not None
    figures = CapacityParameters(60_000, 5000.0, 100.0, 3.0)
    ordering._compute_demand = lambda _: ServiceDemand(rate, 0.0, figures)


def list_ordered(platform: Platform) -> list[str]:
    return [name for name, one in platform.upstreams.items() if isinstance(one, StandInEngine) and one.pending_phase]


def test_the_split_is_decided_for_what_is_left_as_soon_as_a_hall_is_emptied() -> None:
    platform = make_led_halls()
    press(platform, 10_000.0)
    platform.network.run(2.0)
    ordered = set(list_ordered(platform))
    platform.empty("hall-b")
    platform.network.run(0.1)
    new = set(list_ordered(platform)) - ordered
    assert new
    assert {platform.halls[name] for name in new} == {"hall-a"}
    platform.network.run(30.0)
    assert {platform.halls[name] for name in list_ordered(platform)} <= {"hall-a"}


def test_an_order_of_a_moment_ago_does_not_hold_up_what_an_emptied_hall_asks_for() -> None:
    platform = make_led_halls()
    press(platform, 10_000.0)
    ordering = platform.vms["vm1"]._phase_controller
    assert ordering is not None
    ordering._last_ordered[ServiceName(MODEL)] = _LastOrdered(Phase.PREFILL, platform.clock.now())
    platform.empty("hall-b")
    platform.network.run(0.1)
    assert list_ordered(platform)


def test_an_order_that_was_written_down_as_its_hall_was_emptied_is_not_given() -> None:
    platform = make_led_halls()
    press(platform, 0.0)
    vm = platform.vms["vm1"]
    engine = vm.core.listing.get(UpstreamId("decode-0"))
    assert engine is not None
    assert vm._phase_controller is not None
    pressure = ServiceDemand(0.0, 0.0, CapacityParameters(60_000, 5000.0, 600.0, 3.0))
    defer.ensureDeferred(vm._phase_controller._order_all([PhaseChange(engine, Phase.PREFILL)], pressure))
    revision = make_position(Epoch(platform.store.epoch), platform.store.revision + 100)
    vm.core.apply_evacuations([Evacuation("hall-b", revision, True)], "test", as_of=revision, is_snapshot=False)
    platform.network.run(0.3)
    assert vm.leadership is not None
    assert platform.store.get_newest_revision("beamhatch/order")
    assert not platform.ledger.orders


def test_engines_count_again_when_their_hall_is_taken_back() -> None:
    platform = make_led_halls()
    press(platform, 10_000.0)
    platform.empty("hall-b")
    platform.network.run(2.0)
    weighed = [line for line in list_lines(platform, "LEADER") if line["event"] == "weighed"]
    assert weighed[-1]["prefills"] + weighed[-1]["decodes"] == 4  # type: ignore[operator]
    platform.take_back("hall-b")
    platform.network.run(0.1)
    weighed = [line for line in list_lines(platform, "LEADER") if line["event"] == "weighed"]
    assert weighed[-1]["prefills"] + weighed[-1]["decodes"] == 8  # type: ignore[operator]


def make_fleet(vms: int) -> Platform:
    """Return a platform with VMs in three halls that know each other, a third of which take the store's other door."""
    platform = make_halls(HALLS)
    for number in range(2, vms + 1):
        store = OTHER_DOOR if number % 9 in (0, 4, 5) else STORE
        platform.add_vm(f"vm{number}", ["vm1:8002"], HALLS[number % 3], store=store)
    platform.network.run_until(lambda: all(vm.core.ready for vm in platform.vms.values()))
    platform.network.run(5.0)
    return platform


def count_emptied(platform: Platform) -> int:
    return sum(vm.core.eligibility.evacuations.is_evacuated("hall-b") for vm in platform.vms.values())


@pytest.mark.parametrize("vms", [24, 74])
def test_all_vms_know_within_a_second_though_the_store_turns_a_third_of_them_away(vms: int) -> None:
    platform = make_fleet(vms)
    platform.door.shut = True
    platform.door.abort_connections()
    platform.network.run(1.0)
    platform.empty("hall-b")
    platform.network.run_until(lambda: count_emptied(platform) == vms, 1.0)
    platform.take_back("hall-b")
    platform.network.run_until(lambda: not count_emptied(platform), 1.0)


def turn_away_watchers(platform: Platform) -> None:
    """Have the store turn away just those VMs that watch it for the others."""
    for vm in platform.vms.values():
        assert vm._gossip is not None
        watches = vm._gossip.membership.is_watcher()
        for watcher in vm._watchers:
            watcher.store._address = OTHER_DOOR if watches else STORE  # type: ignore[attr-defined]
    platform.door.shut = True
    platform.door.abort_connections()
    platform.store.abort_connections()


def test_others_watch_where_the_store_turns_all_watchers_away() -> None:
    platform = make_fleet(24)
    turn_away_watchers(platform)
    platform.empty("hall-b")
    platform.network.run_until(lambda: count_emptied(platform) == 24, 4.0)
    platform.take_back("hall-b")
    platform.network.run_until(lambda: not count_emptied(platform), 1.0)


def test_few_ask_a_store_that_is_down_for_all_and_those_in_place_stop_when_it_is_back() -> None:
    platform = make_fleet(24)
    platform.store.fault = StoreFault.UNAVAILABLE
    platform.store.abort_connections()
    platform.network.run(10.0)
    asking = sum(not watcher.connected for vm in platform.vms.values() for watcher in vm._watchers[:1])
    assert asking <= 12
    platform.store.fault = StoreFault.NONE
    platform.network.run(5.0)
    assert sum(vm._gossip.membership.is_watcher() for vm in platform.vms.values() if vm._gossip is not None) == 6
