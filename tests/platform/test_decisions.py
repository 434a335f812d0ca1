"""Decisions by what the VMs know together, against the platform's stand-ins on a paused clock."""

from __future__ import annotations

import random

import pytest

from beamhatch.platform.standin.upstream import StandInEngine, UpstreamFault
from beamhatch.relay.mechanism import Mechanism
from beamhatch.relay.model import ServiceName
from tests.support.platform import MODEL, PLAIN, Caller, Platform, make_platform

PROMPT = 6_000
SLOW, MIDDLE, FAST = 15_000.0, 30_000.0, 120_000.0
"""Prompt tokens a second of stand-in engines."""


def make_readers(rate: float, vms: int = 3, without: frozenset[Mechanism] = frozenset()) -> Platform:
    """Return a platform with one prefill engine that reads one prompt after the other."""
    platform = make_platform(prefill=1, decode=3, without=without)
    for number in range(2, vms + 1):
        platform.add_vm(f"vm{number}", ["vm1:8002"], without=without)
    for engine in platform.upstreams.values():
        if isinstance(engine, StandInEngine):
            engine.prefill_rate = rate
            engine.prefills_serially = True
    platform.network.run_until(lambda: all(platform.is_ready(vm) for vm in platform.vms))
    platform.network.run(3.0)
    return platform


def ask(platform: Platform, name: str, vm: str, prompt: int = PROMPT) -> Caller:
    return platform.call("/resumable/x", name, vm=vm, headers={"Token-Count": f"{prompt},10"})


def warm_up(platform: Platform) -> None:
    """Let the VMs find out how fast the engines are."""
    for number in range(30):
        ask(platform, f"w{number}", f"vm{1 + number % len(platform.vms)}", prompt=1000 + 1300 * (number % 7))
        platform.network.run(1.0)


def list_seconds(platform: Platform, prefix: str) -> list[float]:
    """Return the seconds to the first event of requests."""
    lines = [line for journal in platform.journals.values() for line in journal.lines]
    return [line["first_event"] for line in lines if line["event"] == "answered" and line["request"].startswith(prefix)]


def burst(platform: Platform, count: int, name: str = "b") -> list[float]:
    """Have callers of all VMs ask at once; return the seconds to their first events."""
    callers = []
    for number in range(count):
        callers.append(ask(platform, f"{name}{number}", f"vm{1 + number % len(platform.vms)}"))
        platform.network.run(0.05)
    for caller in callers:
        platform.finish(caller)
    return list_seconds(platform, name)


@pytest.mark.parametrize("rate", [SLOW, MIDDLE, FAST])
def test_engines_of_any_speed_are_found_out(rate: float) -> None:
    platform = make_readers(rate)
    warm_up(platform)
    for vm in platform.vms.values():
        pace = vm.core.prefill_models.get_prefill(ServiceName(MODEL)).model
        assert pace.predict(PROMPT) == pytest.approx(PROMPT / rate, rel=0.25, abs=0.03)


@pytest.mark.parametrize(("rate", "callers"), [(MIDDLE, 9), (2 * MIDDLE, 24)])
def test_decode_engines_read_what_a_prefill_engine_would_be_late_with(rate: float, callers: int) -> None:
    late = []
    for without in (frozenset({Mechanism.DECODE_PREFILL}), frozenset[Mechanism]()):
        platform = make_readers(rate, without=without)
        warm_up(platform)
        seconds = burst(platform, callers)
        late.append(sum(one > 0.9 for one in seconds))
    assert late[0] >= 3
    assert 2 * late[1] <= late[0], late


def test_a_prompt_that_is_in_time_is_left_to_the_prefill_engine() -> None:
    platform = make_readers(MIDDLE)
    warm_up(platform)
    before = sum(platform.ledger.prefilled.values())
    burst(platform, 3)
    assert sum(platform.ledger.prefilled.values()) == before + 3


def test_vms_know_what_the_others_have_engines_read() -> None:
    platform = make_readers(SLOW)
    ask(platform, "q1", "vm1")
    ask(platform, "q2", "vm2")
    platform.network.run(0.15)
    engine = platform.upstreams["prefill-0"]
    now = platform.clock.now()
    other = platform.vms["vm3"].core.peer_backlog
    assert other.count_tokens(engine.instance, now) == 2 * PROMPT  # type: ignore[arg-type]
    platform.network.run(3.0)
    assert other.count_tokens(engine.instance, platform.clock.now()) == 0  # type: ignore[arg-type]


def test_vms_that_see_little_find_out_together_how_fast_engines_are() -> None:
    platform = make_readers(FAST, vms=8)
    for number in range(16):
        ask(platform, f"w{number}", f"vm{1 + number % 8}", prompt=1000 + 1300 * (number % 7))
        platform.network.run(0.5)
    for vm in platform.vms.values():
        pace = vm.core.prefill_models.get_prefill(ServiceName(MODEL)).model
        assert pace.predict(PROMPT) == pytest.approx(PROMPT / FAST, rel=0.25, abs=0.03)


def test_a_vm_that_starts_takes_over_what_the_others_found_of_the_engines() -> None:
    platform = make_readers(SLOW)
    warm_up(platform)
    platform.add_vm("late", ["vm1:8002"])
    platform.network.run(2.0)
    pace = platform.vms["late"].core.prefill_models.get_prefill(ServiceName(MODEL)).model
    assert pace.predict(PROMPT) == pytest.approx(PROMPT / SLOW, rel=0.25)


def test_callers_are_refused_at_once_where_nobody_answers_and_served_soon_when_somebody_does() -> None:
    platform = make_platform(plain=2)
    for name in ("plain-0", "plain-1"):
        platform.network.cut(f"host-{name}")
    for number in range(4):
        platform.finish(platform.call("/unsafe/x", f"w{number}", body=b"x"))
    trying = platform.call("/unsafe/x", "trying", body=b"x")
    started = platform.clock.now()
    refused = platform.finish(platform.call("/unsafe/x", "q1", body=b"x"))
    assert refused.status == 503
    assert "retry-after" in refused.head.lower()
    assert platform.clock.now() - started < 0.06
    platform.finish(trying)
    for name in ("plain-0", "plain-1"):
        platform.network.heal(f"host-{name}")
    platform.network.run(0.5)
    assert platform.finish(platform.call("/unsafe/x", "q2", body=b"x")).status == 200


def make_full(vms: int = 1, events: int = 20) -> Platform:
    """Return a platform with decode memory for two streams, which two callers hold.

    :param events: of their streams, 30 ms each
    """
    platform = make_platform(prefill=1, decode=0)
    platform.add_engine("decode-0", "decode", kv_tokens=12_500)
    for number in range(2, vms + 1):
        platform.add_vm(f"vm{number}", ["vm1:8002"])
    platform.network.run_until(lambda: all(platform.is_ready(vm) for vm in platform.vms))
    platform.network.run(1.0)
    for number in range(2):
        platform.call("/stream/x", f"h{number}", headers={"Token-Count": f"5000,{events}"})
    platform.network.run(0.3)
    return platform


LONG = {"Token-Count": "5000,60"}
BACK = {**LONG, "Deadline-Ms": "9000"}
"""Headers of a caller that has asked before, and so has less time left than others of its route."""


def test_a_caller_that_can_be_in_time_goes_before_one_that_came_back() -> None:
    platform = make_full()
    back = platform.call("/stream/x", "back", headers=BACK)
    platform.network.run(0.05)
    fresh = platform.call("/stream/x", "fresh", headers=LONG)
    platform.network.run_until(lambda: bool(fresh.received or back.received), 5.0)
    assert fresh.status == 200
    assert not back.received
    assert platform.finish(back).status == 200


def test_a_caller_that_came_back_goes_before_one_that_is_late_as_well() -> None:
    platform = make_full(events=60)
    late = platform.call("/stream/x", "late", headers={"Token-Count": "7000,60"})
    platform.network.run(0.05)
    back = platform.call("/stream/x", "back", headers={**BACK, "Token-Count": "7000,60"})
    platform.network.run_until(lambda: bool(late.received or back.received), 5.0)
    assert back.status == 200
    assert not late.received


def test_most_places_go_to_callers_of_other_vms_that_can_be_in_time() -> None:
    random.seed(1)
    taken = []
    for number in range(10):
        platform = make_full(vms=2)
        back = platform.call("/stream/x", "back", vm="vm1", headers=BACK)
        platform.network.run(0.02 * number)
        fresh = platform.call("/stream/x", "fresh", vm="vm2", headers=LONG)
        platform.network.run_until(lambda: bool(fresh.received or back.received), 5.0)  # noqa: B023
        taken.append(fresh.status == 200)
    assert sum(taken) >= 7, taken


def test_the_time_to_come_back_follows_the_time_that_streams_take() -> None:
    told = []
    for events in (15, 120):
        platform = make_platform(prefill=1, decode=0)
        platform.add_engine("decode-0", "decode", kv_tokens=6_500)
        platform.network.run(1.0)
        headers = {"Token-Count": f"5000,{events}"}
        for number in range(12):
            platform.finish(platform.call("/stream/x", f"w{number}", headers=headers))
        callers = [platform.call("/stream/x", f"q{number}", headers=headers) for number in range(4)]
        platform.network.run(0.3)
        heads = [caller.head.lower() for caller in callers if caller.status == 503]
        told.append(float(heads[0].partition("retry-after: ")[2].split()[0]))
    assert told[0] < told[1]
    assert told[1] <= 14.0 / 3


def test_an_entry_that_can_not_be_read_leaves_a_line_with_the_reason() -> None:
    platform = make_platform()
    platform.store.put("servers/odd", {"service": PLAIN, "address": "nowhere"})
    platform.network.run(1.0)
    lines = [line for line in platform.journals["vm1"].lines if line["event"] == "unreadable"]
    assert [line["upstream"] for line in lines] == ["odd"]
    assert lines[0]["detail"]
    assert platform.finish(platform.call("/safe/x", "q1")).status == 200


def test_a_fault_of_one_engine_leaves_streams_to_the_others() -> None:
    platform = make_readers(FAST)
    platform.upstreams["decode-0"].fault = UpstreamFault.HANG
    callers = [ask(platform, f"q{number}", f"vm{1 + number % 3}") for number in range(9)]
    for caller in callers:
        platform.finish(caller)
    assert sum(caller.whole and caller.status == 200 for caller in callers) >= 8
