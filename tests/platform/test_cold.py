"""What cold upstreams get from the relay, against the platform's stand-ins on a paused clock."""

from __future__ import annotations

from dataclasses import replace

import pytest

from beamhatch.platform.standin.upstream import StandInEngine
from beamhatch.relay.choosing.cold_gate import ColdLimit, CountingGate, UnlimitedGate
from beamhatch.relay.mechanism import Mechanism
from beamhatch.relay.model import UpstreamId
from tests.support.platform import (
    MODEL,
    PLAIN,
    SERVICES,
    Caller,
    Platform,
    make_configuration,
    make_platform,
    make_route,
)

ONE_A_SECOND = {"cold_start_s": 3.0, "cold_per_s": 2.0}
"""One view of the VMs has half of what is borne."""


def make_cold(
    *names: str,
    seconds: float = 20.0,
    cold: dict[str, object] | None = None,
    plain: int = 2,
    prefill: int = 2,
    decode: int = 2,
) -> Platform:
    """Return a platform whose upstreams of some names are cold, and whose VM is no longer new."""
    without = frozenset({Mechanism.PHASE_CHANGES})  # engines that change their part turn requests away
    platform = make_platform(plain=plain, prefill=prefill, decode=decode, without=without)
    platform.configure(2, cold=cold or dict(ONE_A_SECOND))
    platform.network.run(3.0)
    for name in names:
        platform.turn_cold(name, seconds)
    platform.network.run(0.3)
    return platform


def count_most(times: list[float]) -> int:
    """Return the most arrivals within a second."""
    return max((sum(at <= other <= at + 1.0 for other in times) for at in times), default=0)


def ask(platform: Platform, path: str, count: int, pause: float = 0.0) -> list[Caller]:
    callers = []
    for number in range(count):
        callers.append(platform.call(path, f"q{number}"))
        platform.network.run(pause)
    return [platform.finish(caller) for caller in callers]


def count_events(platform: Platform, event: str) -> int:
    return sum(line["event"] == event for journal in platform.journals.values() for line in journal.lines)


def test_a_cold_replica_gets_its_part_and_the_warm_ones_the_rest() -> None:
    platform = make_cold("plain-0", plain=2)
    assert {caller.status for caller in ask(platform, "/safe/x", 40, 0.05)} == {200}
    assert count_most(platform.upstreams["plain-0"].request_times) <= 1
    assert len(platform.upstreams["plain-1"].request_times) >= 35


def test_without_the_gate_a_cold_replica_gets_more() -> None:
    platform = make_cold("plain-0", "plain-1", plain=2)
    platform.vms["vm1"].core.eligibility.gate = UnlimitedGate()
    ask(platform, "/safe/x", 40, 0.05)
    assert count_most(platform.upstreams["plain-0"].request_times) > 1


def test_a_warm_upstream_of_little_work_goes_before_a_cold_one() -> None:
    platform = make_cold("decode-0", cold={"cold_start_s": 3.0, "cold_per_s": 40.0}, decode=2)
    ask(platform, "/stream/x", 1)
    ask(platform, "/stream/x", 1)
    assert not platform.upstreams["decode-0"].request_times


def test_requests_of_one_instant_do_not_pass_one_permit() -> None:
    platform = make_cold("decode-0", "decode-1", decode=2)
    callers = [platform.call("/stream/x", f"q{number}") for number in range(6)]
    platform.network.run(1.0)
    engines = [platform.upstreams[name] for name in ("decode-0", "decode-1")]
    assert [len(engine.request_times) for engine in engines] == [1, 1]
    for caller in callers:
        platform.finish(caller)
    assert sorted(caller.status for caller in callers)[:2] == [200, 200]
    assert all(count_most(engine.request_times) <= 1 for engine in engines)


def test_memory_that_is_set_aside_has_its_permit_for_the_stream() -> None:
    platform = make_cold("decode-0", decode=1)
    first = platform.call("/stream/x", "q0")
    platform.network.run(0.02)
    assert "reserved" in platform.journals["vm1"].list_events("q0")
    second = platform.call("/stream/x", "q1")
    assert platform.finish(first).status == 200
    platform.finish(second)
    assert "reserved" not in platform.journals["vm1"].list_events("q1") or second.status == 200
    assert count_most(platform.upstreams["decode-0"].request_times) <= 1


def test_a_permit_comes_back_when_the_caller_leaves_before_the_stream() -> None:
    platform = make_cold("decode-0", decode=1)
    caller = platform.call("/stream/x", "q0")
    platform.network.run(0.02)
    assert "reserved" in platform.journals["vm1"].list_events("q0")
    caller.leave()
    platform.network.run(0.2)
    assert platform.finish(platform.call("/stream/x", "q1")).status == 200


def test_memory_at_an_engine_that_turned_cold_since_is_given_back_where_it_bears_no_more() -> None:
    platform = make_cold(decode=2, prefill=1)
    callers = [platform.call("/stream/x", f"q{number}") for number in range(8)]
    platform.turn_cold("decode-0", 20.0)
    watch = platform.vms["vm1"].core.cold_log.transitions
    platform.network.run_until(lambda: bool(watch.cold))
    engine = platform.upstreams["decode-0"]
    before = len(engine.request_times)
    assert sum(exchange.request.reservation is not None for exchange in platform.vms["vm1"].core.exchanges) >= 4
    for caller in callers:
        platform.finish(caller)
    assert count_most(engine.request_times[before:]) <= 1
    assert [caller.status for caller in callers] == [200] * 8


def test_all_stages_count() -> None:
    platform = make_cold("prefill-0", "decode-0", prefill=1, decode=1)
    ask(platform, "/stream/x", 8, 0.2)
    assert len(platform.upstreams["prefill-0"].request_times) >= 1
    assert count_most(platform.upstreams["prefill-0"].request_times) <= 1
    assert count_most(platform.upstreams["decode-0"].request_times) <= 1


def test_a_request_waits_for_room_where_that_is_in_time() -> None:
    platform = make_cold("plain-0", plain=1, cold={"cold_start_s": 3.0, "cold_per_s": 2.0})
    assert platform.finish(platform.call("/safe/x", "q0")).status == 200
    platform.network.run(0.85)
    begun = platform.clock.now()
    assert platform.finish(platform.call("/safe/x", "q1")).status == 200
    assert "waits for a cold upstream" in platform.journals["vm1"].list_events("q1")
    assert platform.clock.now() - begun > 0.08
    assert count_most(platform.upstreams["plain-0"].request_times) == 1


def test_a_stream_waits_for_room_at_both_its_engines() -> None:
    platform = make_cold("decode-0", "prefill-0", prefill=1, decode=1)
    assert platform.finish(platform.call("/stream/x", "q0")).status == 200
    platform.network.run_until(lambda: platform.clock.now() > platform.upstreams["prefill-0"].request_times[0] + 0.8)
    assert platform.finish(platform.call("/stream/x", "q1")).status == 200
    assert "waits for a cold upstream" in platform.journals["vm1"].list_events("q1")


def test_a_request_that_can_not_be_in_time_is_told_at_once_when_there_is_room() -> None:
    platform = make_cold("plain-0", plain=1)
    assert platform.finish(platform.call("/unsafe/x", "q0")).status == 200
    begun = platform.clock.now()
    caller = platform.finish(platform.call("/unsafe/x", "q1"))
    assert caller.status == 503
    assert platform.clock.now() - begun < 0.1
    assert 0.5 < float(caller.head.lower().partition("retry-after: ")[2].partition("\r\n")[0]) < 1.1
    platform.network.run(1.1)
    assert platform.finish(platform.call("/unsafe/x", "q2")).status == 200
    assert platform.vms["vm1"].tally.counts["cold_refusals_total", ""] == 1


def test_upstreams_are_used_freely_once_they_are_warm() -> None:
    platform = make_cold("plain-0", plain=1, seconds=2.0)
    platform.network.run(2.5)
    assert {caller.status for caller in ask(platform, "/safe/x", 20)} == {200}
    assert count_events(platform, "cold") == 1
    assert count_events(platform, "warm") == 1
    assert platform.vms["vm1"].tally.gauges["cold_upstreams"]() == 0


def test_an_upstream_may_turn_cold_again_at_any_moment() -> None:
    platform = make_cold("plain-0", plain=1, seconds=1.0)
    platform.network.run(2.0)
    platform.turn_cold("plain-0", 30.0)
    platform.network.run(0.3)
    before = len(platform.upstreams["plain-0"].request_times)
    ask(platform, "/safe/x", 20, 0.05)
    assert count_most(platform.upstreams["plain-0"].request_times[before:]) <= 1


@pytest.mark.parametrize("without", [frozenset[Mechanism](), frozenset({Mechanism.SPONSORS})])
def test_several_vms_keep_the_bound_together(without: frozenset[Mechanism]) -> None:
    platform = make_platform(plain=1, without=without)
    for number in range(2, 7):
        platform.add_vm(f"vm{number}", ["vm1:8002"], without=without)
    platform.configure(2, cold={"cold_start_s": 3.0, "cold_per_s": 8.0})
    platform.network.run(4.0)
    platform.turn_cold("plain-0", 8.0)
    platform.network.run(1.0)
    before = len(platform.upstreams["plain-0"].request_times)
    for number in range(200):
        platform.call("/safe/x", f"q{number}", vm=f"vm{1 + number % 6}")
        platform.network.run(0.01)
    arrived = platform.upstreams["plain-0"].request_times[before:]
    assert arrived
    assert count_most(arrived) <= 8


def test_many_upstreams_that_turn_cold_at_once_are_one_line() -> None:
    platform = make_platform(plain=30)
    core = platform.vms["vm1"].core
    core.cold_log.record_cold([UpstreamId(f"plain-{n}") for n in range(30)], "store")
    lines = [line for line in platform.journals["vm1"].lines if line["event"] == "cold"]
    assert [(line["count"], len(line["upstreams"])) for line in lines] == [(30, 8)]


def test_an_entry_that_says_nothing_of_coldness_is_no_upstreams_and_nothing_is_sent() -> None:
    platform = make_cold(plain=1)
    entry = platform.upstreams["plain-0"].make_entry("accounts", "hall-a")
    del entry["cold_remaining_ms"]
    platform.store.put("servers/plain-0", entry)
    platform.network.run(0.3)
    before = sum(platform.ledger.arrivals.values())
    assert {caller.status for caller in ask(platform, "/safe/x", 12)} == {503}
    assert sum(platform.ledger.arrivals.values()) == before


@pytest.mark.parametrize(("told", "is_cold"), [(-5000, False), (0, False), (600_000, True)])
def test_what_an_entry_says_of_coldness_is_read_as_it_is(told: float, is_cold: bool) -> None:
    platform = make_cold(plain=1)
    entry = {**platform.upstreams["plain-0"].make_entry("accounts", "hall-a"), "cold_remaining_ms": told}
    platform.store.put("servers/plain-0", entry)
    platform.network.run(0.3)
    core = platform.vms["vm1"].core
    assert (core.listing.get_cold_until(UpstreamId("plain-0")) > platform.clock.now()) is is_cold
    callers = ask(platform, "/safe/x", 12)
    assert {caller.status for caller in callers} == ({200, 503} if is_cold else {200})


def test_the_bound_follows_the_settings() -> None:
    daemon = make_platform(plain=1).vms["vm1"]
    daemon.reload(replace(daemon.settings, cold_overage=1.5, cold_slack=5.0))
    gate = daemon.core.eligibility.gate
    assert isinstance(gate, CountingGate)
    assert gate.limit == ColdLimit(1.5, 5.0)


def test_a_vm_that_started_just_now_sends_one_request_a_second_as_it_may_know_few_others() -> None:
    platform = make_platform(plain=1)
    platform.configure(2, cold={"cold_start_s": 3.0, "cold_per_s": 16.0})
    platform.add_vm("vm2", ["vm1:8002"])
    platform.network.run(3.0)
    platform.turn_cold("plain-0", 30.0)
    platform.network.run(0.3)
    for number in range(20):
        platform.call("/safe/x", f"q{number}", vm="vm2")
        platform.network.run(0.05)
    assert count_most(platform.upstreams["plain-0"].request_times) == 1
    platform.network.run(10.0)
    before = len(platform.upstreams["plain-0"].request_times)
    for number in range(20):
        platform.call("/safe/x", f"r{number}", vm="vm2")
        platform.network.run(0.05)
    assert count_most(platform.upstreams["plain-0"].request_times[before:]) == 4


def test_a_stream_that_breaks_waits_for_a_cold_engine_where_no_other_is_left() -> None:
    platform = make_cold("decode-1", seconds=25.0, decode=2)
    platform.network.run(9.0)  # by then the budget allows a third send
    broken = platform.upstreams["decode-0"]
    assert isinstance(broken, StandInEngine)
    broken.cut_after = 3
    ask(platform, "/resumable/warm-up", 1)
    caller = platform.call("/resumable/x", "broken")
    platform.finish(caller)
    assert caller.events == list(range(1, 11))
    assert count_events(platform, "waits for a cold upstream") >= 1


def test_requests_that_wait_for_a_cold_upstream_reach_it_together_as_a_version_drops_their_service() -> None:
    platform = make_cold("plain-0", cold={"cold_start_s": 6.0, "cold_per_s": 2.0}, plain=1)
    slow = make_route("/safe/", "safe", PLAIN, target_latency_ms=8000)
    document = make_configuration(3, [slow])
    services = [{**service, "cold_start_s": 6.0, "cold_per_s": 2.0} for service in SERVICES]
    platform.store.put("op/config", {**document, "services": services})
    platform.network.run(2.0)
    for number in range(10):
        platform.call("/safe/x", f"q{number}")
    platform.network.run(0.3)
    gone = make_configuration(4, [make_route("/stream/", "streaming", MODEL)])
    platform.store.put("op/config", {**gone, "services": [one for one in services if one["name"] != PLAIN]})
    platform.network.run(4.0)
    assert count_most(platform.upstreams["plain-0"].request_times) <= 2
