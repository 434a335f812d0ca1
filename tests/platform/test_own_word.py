"""Upstreams say in their answers that they leave, or for how long they want nothing, and are sent requests as before.

What users saw: a replica of a plain service said in each answer that it was leaving, and got requests from the machines
that had passed these answers on, 2.1 s behind them and later; it ran them all. Another day a replica turned a machine
away and asked it for 3 s of rest, and got three or four requests from it in that time, each repeated elsewhere.

What points to it: on the first day the store was silent, so the replica's entry said that it stays, and all six
machines went on, the first to hear as well; late requests were sent by their callers as late. On the second, machines
came back 0.6 to 1.2 s behind each refusal: the pause that the relay takes behind any refusal, whatever is asked.
The cause: nobody read these words of an answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from beamhatch.platform.standin.store import StoreFault
from beamhatch.platform.standin.upstream import StandInEngine, UpstreamFault
from beamhatch.relay.model import ServiceName
from beamhatch.relay.requests.exchange import RelayExchange
from beamhatch.relay.upstreams.attempt import Attempt
from tests.support.platform import SENT_TO, Platform, find_answering, make_platform

if TYPE_CHECKING:
    from beamhatch.platform.standin.upstream import StandInUpstream
    from tests.support.platform import Caller

DRAIN_TIME = 2.0
"""Seconds behind an answer by which an upstream said that it leaves in which requests may still reach it."""

REST = 3.0
"""Seconds of rest that an upstream asks for."""

REST_SLACK = 0.5
"""Seconds behind the begin of a rest in which requests may still come that were on their way."""

MOST_IN_REST = 2
"""Requests that may come in the rest of it."""

GAP = 0.05
"""Seconds between two callers."""

ROUTE_TIME = 5.0
"""Seconds that a route gives its requests."""


def make_fleet() -> Platform:
    """Return a platform with one VM that is ready, three replicas of the plain service and six engines."""
    platform = make_platform(plain=3, prefill=3, decode=3)
    platform.network.run(5.0)
    return platform


def call_for(platform: Platform, target: str, seconds: float, *, vm: str = "vm1") -> list[Caller]:
    """Have one caller after the other come for some seconds, and wait for the last answer."""
    callers = []
    for number in range(round(seconds / GAP)):
        callers.append(platform.call(target, f"r{number}-{platform.clock.now():.2f}", vm=vm))
        platform.network.run(GAP)
    platform.network.run(2.0)
    return callers


def count_in_rest(upstream: StandInUpstream) -> int:
    """Return the most calls that came in any rest that was asked for."""
    return max(
        (
            sum(asked + REST_SLACK < at <= asked + REST for at in upstream.call_times)
            for asked in upstream.backoff_times
        ),
        default=0,
    )


@pytest.mark.parametrize(("target", "leaves"), SENT_TO)
def test_one_that_said_in_an_answer_that_it_leaves_gets_nothing_new(target: str, leaves: str) -> None:
    platform = make_fleet()
    platform.store.fault = StoreFault.UNRESPONSIVE
    upstream = platform.upstreams[leaves]
    call_for(platform, target, 1.0)
    upstream.leaving = True
    first = len(upstream.call_times)
    callers = call_for(platform, target, 6.0)
    heard_at = upstream.call_times[first] + 1.0  # its answer came within that
    assert [at for at in upstream.request_times if at > heard_at + DRAIN_TIME] == []
    assert all(caller.status == 200 for caller in callers)


@pytest.mark.parametrize(("target", "rests"), [*SENT_TO, ("/resumable/x", "full")])
def test_one_that_asked_for_rest_gets_none_of_it_broken(target: str, rests: str) -> None:
    platform = make_fleet()
    upstream = platform.upstreams["decode-0" if rests == "full" else rests]
    for other in platform.upstreams.values():
        other.service_time_s = 0.05 if other is upstream else 0.15  # slower, so that it would be liked best
    call_for(platform, target, 1.0)
    upstream.retry_after = str(REST)
    if rests == "full":
        assert isinstance(upstream, StandInEngine)
        upstream.kv_tokens = 0  # it turns away who asks it to set memory aside
    else:
        upstream.fault = UpstreamFault.SHED
    callers = call_for(platform, target, 8.0)
    assert upstream.backoff_times
    assert count_in_rest(upstream) <= MOST_IN_REST
    assert all(caller.status == 200 for caller in callers)


# --- all of a service at once -----------------------------------------------------------------------------------------


def read_return(caller: Caller) -> float:
    """Return the seconds after which a refused caller may come back."""
    (line,) = [line for line in caller.head.splitlines() if line.lower().startswith("retry-after")]
    return float(line.split(":")[1])


TARGETS = ["/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"]


@pytest.mark.parametrize("target", TARGETS)
def test_where_all_leave_callers_are_refused_at_once_and_told_when_to_come_back(target: str) -> None:
    platform = make_fleet()
    platform.store.fault = StoreFault.UNRESPONSIVE
    for name, upstream in platform.upstreams.items():
        upstream.leaving = name.startswith(find_answering(target))
    call_for(platform, target, 2.0)
    before = len(platform.ledger.sends)
    caller = platform.call(target, "late")
    platform.network.run(0.01)
    assert caller.status == 503
    assert 1.0 <= read_return(caller) <= ROUTE_TIME / 3
    assert len(platform.ledger.sends) == before
    assert "it leaves" in platform.journals["vm1"].lines[-1]["reason"]


@pytest.mark.parametrize("target", TARGETS)
def test_where_all_rest_callers_are_refused_at_once_and_served_soon_behind_it(target: str) -> None:
    platform = make_fleet()
    call_for(platform, target, 1.0)
    resting = [upstream for name, upstream in platform.upstreams.items() if name.startswith(find_answering(target))]
    for upstream in resting:
        upstream.fault, upstream.retry_after = UpstreamFault.SHED, "3"
    call_for(platform, target, 0.5)
    refused = platform.call(target, "early")
    platform.network.run(0.01)
    assert refused.status == 503
    assert read_return(refused) <= ROUTE_TIME / 3  # callers honour no longer time
    for upstream in resting:
        upstream.fault = UpstreamFault.NONE
    platform.network.run(2.5)
    late = call_for(platform, target, 2.0)
    assert [caller.status for caller in late] == [200] * len(late)


def test_the_time_to_come_back_is_behind_the_rest() -> None:
    platform = make_fleet()
    for name in ("plain-0", "plain-1", "plain-2"):
        platform.upstreams[name].fault, platform.upstreams[name].retry_after = UpstreamFault.SHED, "1"
    asked_at = platform.clock.now()
    for number in range(6):
        platform.call("/safe/x", f"first-{number}")
    platform.network.run(0.1)
    for number in range(10):
        refused = platform.call("/safe/x", f"early-{number}")
        platform.network.run(0.01)
        assert refused.status == 503
        assert platform.clock.now() + read_return(refused) >= asked_at + 1.0


def test_as_rests_end_the_first_request_goes_alone_and_others_are_served_too() -> None:
    platform = make_fleet()
    for name in ("plain-0", "plain-1", "plain-2"):
        platform.upstreams[name].fault, platform.upstreams[name].retry_after = UpstreamFault.SHED, "1"
    call_for(platform, "/safe/x", 0.3)
    for name in ("plain-0", "plain-1", "plain-2"):
        platform.upstreams[name].fault = UpstreamFault.NONE
        platform.upstreams[name].call_times.clear()
    waiting = []
    for burst in range(12):
        for number in range(10):
            waiting.append(platform.call("/safe/x", f"b{burst}-{number}"))
        platform.network.run(0.1)
    platform.network.run(2.0)
    first = [
        sum(at < platform.upstreams[name].call_times[0] + 0.04 for at in platform.upstreams[name].call_times)
        for name in ("plain-0", "plain-1", "plain-2")
        if platform.upstreams[name].call_times
    ]
    assert first
    assert max(first) == 1
    assert all(caller.status == 200 for caller in waiting[-20:])


def test_who_waits_for_memory_is_told_at_once_when_all_leave() -> None:
    platform = make_fleet()
    platform.store.fault = StoreFault.UNRESPONSIVE
    for name, upstream in platform.upstreams.items():
        if name.startswith("decode"):
            assert isinstance(upstream, StandInEngine)
            upstream.kv_tokens = 0
    waiting = platform.call("/resumable/x", "waits")
    platform.network.run(0.2)
    assert waiting.status == 0
    core = platform.vms["vm1"].core
    for listed in core.listing.list_usable(ServiceName("models"), platform.clock.now()):
        core.announcements.apply_departure(listed.incarnation, "a test")
    platform.network.run(0.01)
    assert waiting.status == 503


# --- what was decided before ------------------------------------------------------------------------------------------


def find_exchange(platform: Platform) -> RelayExchange:
    """Return the only request under way, once it has come."""
    exchanges = platform.vms["vm1"].core.exchanges
    platform.network.run_until(lambda: exchanges)
    (exchange,) = exchanges
    assert isinstance(exchange, RelayExchange)
    return exchange


@pytest.mark.parametrize("word", ["leaves", "rests"])
def test_memory_that_was_set_aside_there_is_not_used(word: str) -> None:
    platform = make_fleet()
    caller = platform.call("/resumable/x", "one")
    exchange = find_exchange(platform)
    platform.network.run_until(lambda: exchange.request.reservation is not None)
    held = exchange.request.reservation
    assert held is not None
    core = platform.vms["vm1"].core
    if word == "leaves":
        core.announcements.apply_departure(held.upstream.incarnation, "a test")
    else:
        core.announcements.backoffs.record(held.upstream.incarnation, 3.0, platform.clock.now())
    calls = platform.upstreams[held.upstream.id].calls
    assert platform.finish(caller).status == 200
    assert platform.upstreams[held.upstream.id].request_times == []
    given_back = platform.upstreams[held.upstream.id].calls - calls
    assert given_back == (word == "leaves")  # one that rests wants nothing: the memory lapses there


def test_what_waits_for_its_connection_is_taken_back() -> None:
    platform = make_fleet()
    core = platform.vms["vm1"].core
    core.client._idle.clear()  # so that a new connection is needed
    for name in ("plain-0", "plain-1", "plain-2"):
        platform.network.cut(f"host-{name}")
    caller = platform.call("/safe/x", "one")
    attempt = find_exchange(platform)._attempt
    assert isinstance(attempt, Attempt)
    assert not attempt.sent
    for name in ("plain-0", "plain-1", "plain-2"):
        platform.network.heal(f"host-{name}")
    core.announcements.apply_departure(attempt.upstream.incarnation, "a test")
    assert platform.finish(caller).status == 200
    platform.network.run(1.0)
    assert platform.upstreams[attempt.upstream.id].request_times == []
    assert "taken back" in platform.journals["vm1"].list_events("one")


def test_a_stream_under_way_goes_on_in_place() -> None:
    platform = make_fleet()
    caller = platform.call("/resumable/x", "one", headers={"Token-Count": "5000,40"})
    platform.network.run_until(lambda: len(caller.events) >= 3)
    for name, upstream in platform.upstreams.items():
        upstream.leaving = name.startswith("decode")
    call_for(platform, "/resumable/y", 1.0)
    assert platform.finish(caller).status == 200
    assert caller.events == list(range(1, 41))
    assert platform.ledger.runs["one"] == 1


def test_the_word_of_another_one_at_the_address_says_nothing_of_the_one_that_was_meant() -> None:
    platform = make_fleet()
    upstream = platform.upstreams["plain-0"]
    upstream.instance, upstream.leaving, upstream.retry_after = "another", True, "3"
    call_for(platform, "/safe/x", 1.0)
    core = platform.vms["vm1"].core
    assert upstream.calls
    assert core.announcements.list_unstored() == []
    assert core.announcements.backoffs.count_active(platform.clock.now()) == 0


@pytest.mark.parametrize("rest", ["0", "-3", "soon", "", "1e9", "Thu, 03 Dec 2026 03:00:00 GMT"])
def test_a_word_that_asks_nothing_leaves_the_short_pause_behind_any_refusal(rest: str) -> None:
    platform = make_fleet()
    for upstream in platform.upstreams.values():
        upstream.retry_after, upstream.fault = rest, UpstreamFault.SHED
    call_for(platform, "/safe/x", 0.5)
    for upstream in platform.upstreams.values():
        upstream.fault = UpstreamFault.NONE
    assert all(caller.status == 200 for caller in call_for(platform, "/safe/x", 0.5))


def test_one_that_asks_for_a_very_long_rest_is_tried_again_behind_ten_minutes() -> None:
    platform = make_fleet()
    upstream = platform.upstreams["plain-0"]
    upstream.retry_after, upstream.fault = "99999999999999", UpstreamFault.SHED
    call_for(platform, "/safe/x", 1.0)
    asked = upstream.calls
    platform.network.run(590.0)
    call_for(platform, "/safe/x", 1.0)
    assert upstream.calls == asked
    upstream.fault = UpstreamFault.NONE
    platform.network.run(170.0)
    call_for(platform, "/safe/x", 2.0)
    assert upstream.calls > asked


# --- several machines, restarts, cuts, another life -------------------------------------------------------------------


def make_machines() -> Platform:
    """Return a platform with three machines in three halls that know each other, and a store that is silent."""
    platform = Platform(names_hosts=True)
    platform.configure(1)
    for number in range(3):
        platform.add_plain(f"plain-{number}")
    for number in range(3):
        platform.add_vm(f"vm{number}", ["vm0:8002"], f"hall-{'abc'[number]}")
    platform.network.run_until(lambda: all(vm.core.ready for vm in platform.vms.values()))
    platform.network.run(5.0)
    platform.store.fault = StoreFault.UNRESPONSIVE
    return platform


def have_one_hear(platform: Platform) -> StandInUpstream:
    """Have one machine hear that a replica leaves; return the replica."""
    upstream = platform.upstreams["plain-0"]
    upstream.leaving = True
    call_for(platform, "/safe/x", 1.0, vm="vm0")
    assert upstream.calls
    return upstream


def test_the_others_are_told_where_the_store_is_silent() -> None:
    platform = make_machines()
    upstream = have_one_hear(platform)
    calls = upstream.calls
    for vm in ("vm1", "vm2"):
        call_for(platform, "/safe/x", 2.0, vm=vm)
    assert upstream.calls == calls


def test_nothing_is_told_where_the_store_tells_it() -> None:
    platform = make_machines()
    platform.store.fault = StoreFault.NONE
    platform.network.run(1.0)
    platform.upstreams["plain-0"].leaving = True
    for number in range(6):
        platform.call("/safe/x", f"q{number}", vm="vm0")
    core = platform.vms["vm0"].core
    platform.network.run_until(core.announcements.list_unstored, 0.15)
    platform.drain("plain-0")
    call_for(platform, "/safe/x", 2.0, vm="vm0")
    told = [name for vm in platform.vms.values() for name in vm.tally.counts if "departures" in name[1]]
    assert told == []


def test_a_machine_that_was_cut_off_is_told_when_it_is_back() -> None:
    platform = make_machines()
    platform.network.cut("vm2")
    platform.network.run(3.0)
    upstream = have_one_hear(platform)
    platform.network.heal("vm2")
    platform.network.run(5.0)
    calls = upstream.calls
    call_for(platform, "/safe/x", 2.0, vm="vm2")
    assert upstream.calls == calls


def test_a_machine_that_restarts_is_told_by_the_others() -> None:
    platform = make_machines()
    upstream = have_one_hear(platform)
    platform.network.cut("vm0")
    del platform.vms["vm0"]
    platform.add_vm("vm3", ["vm1:8002", "vm2:8002"], "hall-a")
    platform.network.run_until(lambda: platform.is_ready("vm3"))
    calls = upstream.calls
    call_for(platform, "/safe/x", 2.0, vm="vm3")
    assert upstream.calls == calls


def test_a_store_that_is_back_with_an_older_word_brings_nothing_back_but_another_life_does() -> None:
    platform = make_machines()
    upstream = have_one_hear(platform)
    platform.store.fault = StoreFault.NONE
    platform.list_again("plain-0")  # an entry from before: it stays
    platform.network.run(15.0)
    calls = upstream.calls
    for vm in platform.vms:
        call_for(platform, "/safe/x", 1.0, vm=vm)
    assert upstream.calls == calls
    upstream.leaving = False
    upstream.crash()
    platform.network.run(6.0)
    for vm in platform.vms:
        call_for(platform, "/safe/x", 1.0, vm=vm)
    assert upstream.calls > calls


def test_a_rest_is_of_the_machine_that_was_asked_alone() -> None:
    platform = make_machines()
    upstream = platform.upstreams["plain-0"]
    upstream.retry_after, upstream.fault = "5", UpstreamFault.SHED
    call_for(platform, "/safe/x", 1.0, vm="vm0")
    upstream.fault = UpstreamFault.NONE
    calls = upstream.calls
    call_for(platform, "/safe/x", 1.0, vm="vm0")
    assert upstream.calls == calls
    call_for(platform, "/safe/x", 2.0, vm="vm1")
    assert upstream.calls > calls


# --- callers beside it ------------------------------------------------------------------------------------------------


def count_served(callers: list[Caller]) -> float:
    """Return the share of callers with a whole answer."""
    return sum(caller.status == 200 and caller.whole for caller in callers) / len(callers)


@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("word", ["leaves", "rests"])
def test_callers_beside_it_stay_served(word: str, target: str) -> None:
    """All of 160 are, where one of three leaves, or turns all away and asks for rest."""
    platform = make_fleet()
    platform.store.fault = StoreFault.UNRESPONSIVE
    upstream = platform.upstreams[f"{find_answering(target)}-0"]
    if word == "leaves":
        upstream.leaving = True
    else:
        upstream.retry_after, upstream.fault = "3", UpstreamFault.SHED
    assert count_served(call_for(platform, target, 8.0)) >= 0.95
