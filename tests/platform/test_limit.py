"""Upstreams name in their answers how many requests a second they take from all VMs together, and get what comes.

What users saw: two of three replicas of a plain service named a limit, 4.4 and 2 requests a second, and got 47 and 18
requests in 4 s, where 31 and 17 are borne. They ran what they got, so callers noticed nothing; a replica says so when
it is in need, and falls over next.

What points to it: all six VMs went on as before from the first answer on, the VM that got the busiest callers sent 18
in 0.9 s alone, and the rates before and behind the word are the same. The cause: the word was read by nobody, and what
bounds sends to an upstream elsewhere is kept either by a few VMs at half of what is borne, or by each VM alone.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from typing import TYPE_CHECKING

import pytest

from beamhatch.platform.standin.upstream import UpstreamFault
from beamhatch.relay.model import UpstreamId
from beamhatch.relay.upstreams.call import ResponseHead
from tests.support.platform import ENGINE, SENT_TO, Platform, find_answering

if TYPE_CHECKING:
    from beamhatch.platform.standin.upstream import StandInUpstream
    from tests.support.platform import Caller

WINDOW = 4.0
"""Seconds over which the users count what an upstream gets."""

OVERAGE = 1.5
SLACK = 5.0
"""What is borne in them: so many times the limit, and so many requests on top."""

BURST = 4.0
"""Requests on top of the limit itself that may come in any window where nothing fails: what had not been used before,
and what VMs sent within a round trip of each other."""

FIRST_NEWS = 0.5
"""Seconds behind its first answer with the word from which on a VM is held to it."""

GAP = 0.02
"""Seconds between two callers: 50 a second, several times what the limited ones take."""


def make_fleet(vms: int = 6, halls: str = "abc", seed: int = 1) -> Platform:
    """Return a platform of some VMs that know each other, with three upstreams of each kind."""
    random.seed(seed)
    platform = Platform(names_hosts=True)
    platform.configure(1)
    for number in range(3):
        hall = f"hall-{halls[number % len(halls)]}"
        platform.add_plain(f"plain-{number}", hall)
        platform.add_engine(f"prefill-{number}", "prefill", hall=hall)
        platform.add_engine(f"decode-{number}", "decode", kv_tokens=400_000, hall=hall)
    for number in range(vms):
        platform.add_vm(f"vm{number}", ["vm0:8002", "vm1:8002"], f"hall-{halls[number % len(halls)]}")
    platform.network.run_until(lambda: all(vm.core.ready for vm in platform.vms.values()))
    platform.network.run(14.0)
    return platform


def call_for(
    platform: Platform, target: str, seconds: float, *, vms: list[str] | None = None, gap: float = GAP
) -> list[Caller]:
    """Have one caller after the other come for some seconds, each at a VM drawn anew; wait for the last answer."""
    names = vms or list(platform.vms)
    callers = []
    for number in range(round(seconds / gap)):
        vm = random.choice(names)
        callers.append(platform.call(target, f"r{number}-{platform.clock.now():.3f}", vm=vm))
        platform.network.run(max(0.0, gap - 0.01))
    platform.network.run(2.0)
    return callers


def count_busiest(times: list[float], since: float) -> int:
    """Return the most calls of any window behind some time."""
    later = sorted(at for at in times if at > since)
    return max((bisect_left(later, at + WINDOW) - index for index, at in enumerate(later)), default=0)


def find_borne(rate: float) -> float:
    """Return the calls of one window that are borne."""
    return OVERAGE * rate * WINDOW + SLACK


def find_limit(rate: float) -> float:
    """Return the calls of one window that the limit itself allows."""
    return rate * WINDOW + BURST


@pytest.mark.parametrize("rate", [0.2, 2.6, 4.5])
@pytest.mark.parametrize(("target", "name"), SENT_TO)
def test_one_that_names_a_limit_gets_no_more_from_all_together(target: str, name: str, rate: float) -> None:
    platform = make_fleet()
    call_for(platform, target, 1.0)
    upstream = platform.upstreams[name]
    upstream.limit = str(rate)
    named_at = platform.clock.now()
    callers = call_for(platform, target, 14.0)
    busiest = count_busiest(upstream.call_times, named_at + FIRST_NEWS + 1.0)
    assert busiest <= find_borne(rate)
    assert busiest <= find_limit(rate)
    assert sum(caller.status == 200 for caller in callers) >= 0.99 * len(callers)


@pytest.mark.parametrize(("target", "name"), SENT_TO)
def test_what_it_takes_is_used(target: str, name: str) -> None:
    platform = make_fleet()
    upstream = platform.upstreams[name]
    upstream.limit = "2.6"
    call_for(platform, target, 2.0)
    begun = platform.clock.now()
    call_for(platform, target, 12.0)
    got = [at for at in upstream.call_times if begun < at <= begun + 12.0]
    assert 0.8 * 2.6 * 12 <= len(got) <= 2.6 * 12 + BURST


@pytest.mark.parametrize("target", ["/safe/x", "/stream/x"])
def test_repeats_count_like_any_other_request(target: str) -> None:
    """The other replicas fail or turn away what they get, so that it is sent again to the one that names a limit."""
    platform = make_fleet()
    name = "plain-0" if target.startswith("/safe") else "prefill-0"
    upstream = platform.upstreams[name]
    call_for(platform, target, 1.0)
    for other, one in platform.upstreams.items():
        if other.startswith(name[:5]) and one is not upstream:
            one.fault = UpstreamFault.SHED
    upstream.limit = "2.6"
    named_at = platform.clock.now()
    call_for(platform, target, 12.0)
    assert count_busiest(upstream.call_times, named_at + FIRST_NEWS + 1.0) <= find_limit(2.6)


@pytest.mark.parametrize("target", ["/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"])
def test_all_of_a_service_limited_serves_what_it_takes_and_refuses_the_rest_at_once(target: str) -> None:
    platform = make_fleet()
    kind = find_answering(target)
    limited = [one for name, one in platform.upstreams.items() if name.startswith(kind)]
    for upstream in limited:
        upstream.limit = "2.6"
    call_for(platform, target, 3.0)
    begun = platform.clock.now()
    callers = call_for(platform, target, 12.0)
    for upstream in limited:
        assert count_busiest(upstream.call_times, begun) <= find_limit(2.6)
    served = sum(caller.status == 200 and caller.whole for caller in callers)
    assert served >= 0.8 * 3 * 2.6 * 12
    refused = [caller for caller in callers if caller.status != 200]
    assert {caller.status for caller in refused} == {503}
    assert all("retry-after" in caller.head.lower() for caller in refused)
    lines = [
        line
        for journal in platform.journals.values()
        for line in journal.lines
        if line["event"] == "given up" and line["status"] == 503
    ]
    assert sum(line["seconds"] <= 0.02 for line in lines) >= 0.97 * len(lines)


# --- VMs that join, restart, are cut off ------------------------------------------------------------------------------


def name_limit(platform: Platform, name: str = "plain-0", rate: float = 2.6) -> StandInUpstream:
    """Have an upstream name a limit, and all VMs come to keep it."""
    upstream = platform.upstreams[name]
    upstream.limit = str(rate)
    call_for(platform, "/safe/x", 3.0)
    return upstream


def knows(platform: Platform, vm: str, upstream: StandInUpstream) -> float | None:
    """Return the limit of an upstream as a VM knows it."""
    core = platform.vms[vm].core
    found = core.listing.get_last_listed(UpstreamId(upstream.instance))
    assert found is not None
    return core.announcements.limits.get_rate(found.incarnation)


def test_the_others_are_told_before_they_ask() -> None:
    platform = make_fleet()
    upstream = platform.upstreams["plain-0"]
    upstream.limit = "2.6"
    for number in range(6):
        platform.call("/safe/x", f"first-{number}", vm="vm0")
    platform.network.run(0.5)
    assert [knows(platform, vm, upstream) for vm in platform.vms] == [2.6] * 6


def test_one_that_restarts_or_joins_is_told_as_it_meets_others() -> None:
    platform = make_fleet()
    upstream = name_limit(platform)
    since = platform.clock.now()
    platform.network.cut("vm5")
    del platform.vms["vm5"]
    platform.add_vm("vm6", ["vm0:8002", "vm1:8002"], "hall-c")
    platform.network.run_until(lambda: platform.is_ready("vm6"))
    assert knows(platform, "vm6", upstream) == 2.6
    call_for(platform, "/safe/x", 8.0, vms=["vm6"])
    assert count_busiest(upstream.call_times, since) <= find_limit(2.6)


def test_all_that_restart_at_once_hear_it_from_their_first_answers() -> None:
    platform = make_fleet()
    upstream = name_limit(platform)
    for vm in list(platform.vms):
        platform.network.cut(vm)
        del platform.vms[vm]
    platform.network.run(1.0)
    for number in range(6):
        platform.add_vm(f"new{number}", ["new0:8002", "new1:8002"], f"hall-{'abc'[number % 3]}")
    platform.network.run_until(lambda: all(platform.is_ready(vm) for vm in platform.vms))
    begun = platform.clock.now()
    call_for(platform, "/safe/x", 10.0)
    assert count_busiest(upstream.call_times, begun + FIRST_NEWS) <= find_borne(2.6)
    assert count_busiest(upstream.call_times, begun + 4.0) <= find_limit(2.6)


def test_a_hall_that_is_cut_off_keeps_its_part_and_the_sum_is_borne() -> None:
    platform = make_fleet()
    upstream = name_limit(platform)
    for vm in ("vm2", "vm5"):
        for other in ("vm0", "vm1", "vm3", "vm4"):
            platform.network.cut_between(vm, other)
    platform.network.run(4.0)
    assert platform.vms["vm2"].core.announcements.limits.get_reachable_share() == pytest.approx(2 / 6)
    since = platform.clock.now()
    call_for(platform, "/safe/x", 8.0)
    assert count_busiest(upstream.call_times, since) <= find_borne(2.6)
    got = [at for at in upstream.call_times if at > since]
    assert len(got) >= 0.8 * 2.6 * 8


# --- what a limit may become ------------------------------------------------------------------------------------------


def test_a_limit_that_changes_holds_soon_and_one_that_ends_is_over() -> None:
    platform = make_fleet()
    upstream = name_limit(platform, rate=8.0)
    upstream.limit = "1"
    call_for(platform, "/safe/x", 1.0)
    since = platform.clock.now()
    call_for(platform, "/safe/x", 6.0)
    assert count_busiest(upstream.call_times, since) <= find_limit(1.0)
    upstream.limit = ""
    call_for(platform, "/safe/x", 3.0)
    assert [knows(platform, vm, upstream) for vm in platform.vms] == [None] * 6
    since = platform.clock.now()
    call_for(platform, "/safe/x", 4.0)
    assert count_busiest(upstream.call_times, since) > find_borne(2.6)


@pytest.mark.parametrize("word", ["-3", "many", "", "nan"])
def test_what_is_no_limit_changes_none(word: str) -> None:
    platform = make_fleet()
    upstream = platform.upstreams["plain-0"]
    upstream.limit = word
    call_for(platform, "/safe/x", 1.0)
    assert [knows(platform, vm, upstream) for vm in platform.vms] == [None] * 6


def test_one_that_takes_nothing_gets_next_to_nothing_and_is_used_when_it_takes_more() -> None:
    platform = make_fleet()
    upstream = name_limit(platform, rate=0.0)
    since = platform.clock.now()
    callers = call_for(platform, "/safe/x", 8.0)
    assert sum(at > since for at in upstream.call_times) <= 2
    assert all(caller.status == 200 for caller in callers)
    upstream.limit = ""
    call_for(platform, "/safe/x", 14.0)
    assert knows(platform, "vm0", upstream) is None


def test_a_new_life_names_its_own() -> None:
    platform = make_fleet()
    upstream = name_limit(platform)
    upstream.limit = ""
    upstream.crash()
    platform.network.run(5.0)
    assert [knows(platform, vm, upstream) for vm in platform.vms] == [None] * 6
    calls = upstream.calls
    call_for(platform, "/safe/x", 4.0)
    assert upstream.calls - calls > find_borne(2.6)


def test_one_that_rests_as_well_gets_its_rest() -> None:
    platform = make_fleet()
    upstream = name_limit(platform)
    upstream.fault, upstream.retry_after = UpstreamFault.SHED, "3"
    call_for(platform, "/safe/x", 3.0)
    upstream.fault = UpstreamFault.NONE
    since = platform.clock.now()
    call_for(platform, "/safe/x", 8.0)
    assert count_busiest(upstream.call_times, since) <= find_limit(2.6)


def test_one_that_is_cold_as_well_keeps_both_bounds() -> None:
    platform = make_fleet()
    platform.configure(2, cold={"cold_start_s": 8.0, "cold_per_s": 3.0})
    platform.network.run(1.0)
    platform.upstreams["plain-0"].limit = "1.5"
    platform.turn_cold("plain-0", 8.0)
    platform.network.run(1.0)
    since = platform.clock.now()
    call_for(platform, "/safe/x", 12.0)
    assert count_busiest(platform.upstreams["plain-0"].call_times, since) <= find_borne(1.5)


def test_a_single_vm_keeps_it_alone() -> None:
    platform = make_fleet(vms=1)
    upstream = name_limit(platform)
    since = platform.clock.now()
    call_for(platform, "/safe/x", 10.0)
    got = sum(since < at <= since + 10 for at in upstream.call_times)
    assert got >= 0.8 * 26
    assert count_busiest(upstream.call_times, since) <= find_limit(2.6)


def test_an_answer_about_memory_that_lacks_the_word_ends_nothing() -> None:
    platform = make_fleet(vms=1)
    upstream = platform.upstreams["decode-0"]
    core = platform.vms["vm0"].core
    found = core.listing.get_last_listed(UpstreamId("decode-0"))
    assert found is not None
    now = platform.clock.now()
    core.announcements.limits.apply_response(found.incarnation, 2.6, now, now)
    head = ResponseHead(200, [("Response-Signature", "x")])
    core.announcements.handle_head(found, head, now + 1.0)
    assert knows(platform, "vm0", upstream) == 2.6
    core.announcements.handle_head(found, ResponseHead(503, [("Not-Executed", "1")]), now + 1.0, is_request=True)
    assert knows(platform, "vm0", upstream) == 2.6
    core.announcements.handle_head(found, head, now + 1.0, is_request=True)
    assert knows(platform, "vm0", upstream) is None


def test_a_stream_goes_there_however_short_engines_set_memory_aside(monkeypatch: pytest.MonkeyPatch) -> None:
    """Room by the limit is kept here: what it lasts is no matter of the engine's; it was planned anew without end."""
    monkeypatch.setitem(ENGINE, "hold_ms", 10)
    platform = make_fleet(vms=1)
    for name, upstream in platform.upstreams.items():
        upstream.limit = "8" if name.startswith("decode") else ""
    callers = call_for(platform, "/stream/x", 3.0, gap=0.2)
    assert sum(caller.status == 200 for caller in callers[-8:]) >= 6


# --- callers beside it ------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("target", ["/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"])
def test_callers_beside_it_stay_served(target: str) -> None:
    """All of 400 are, where one of three upstreams names a limit."""
    platform = make_fleet()
    kind = find_answering(target)
    platform.upstreams[f"{kind}-0"].limit = "1"
    callers = call_for(platform, target, 8.0)
    assert sum(caller.status == 200 and caller.whole for caller in callers) >= 0.99 * len(callers)
