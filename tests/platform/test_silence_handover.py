"""Silent upstreams beside stuck connections, slow callers, resets and handovers."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import pytest

from beamhatch.platform.standin.upstream import UpstreamFault
from beamhatch.relay.choosing.chooser import LeastCostChooser
from beamhatch.relay.choosing.standing import UpstreamStatsRegistry
from beamhatch.relay.model import (
    EngineSpec,
    Phase,
    RequestFacts,
    Reservation,
    Route,
    RouteKind,
    Service,
    ServiceName,
    Stage,
    WeightedService,
)
from beamhatch.relay.requests.request import RelayRequest, Send
from beamhatch.relay.retries.budget import RetryBudget, RetryBudgetLimits
from beamhatch.relay.upstreams.call import CallKind
from tests.platform.test_silence import begin_stream, make_fleet
from tests.relay.requests.test_failover import Setup as FailoverSetup
from tests.relay.requests.test_request import SERVICE, make_upstream
from tests.support.pauses import EVENTS, check_whole, fill, find_engine, list_engines
from tests.support.platform import MODEL

if TYPE_CHECKING:
    from beamhatch.platform.standin.upstream import StandInEngine
    from beamhatch.relay.upstreams.attempt import Attempt
    from tests.support.platform import Platform


def silence_streams(platform: Platform, engine: StandInEngine) -> None:
    """Let nothing through on the connections to an engine that carry a stream; others and new ones work."""
    connections = platform.vms["vm1"].core.client.list_open(engine.address, None)
    ends = [one.transport for one in connections if one.kind is CallKind.IDENTIFIED]
    platform.network.silence_connections(lambda end: end in ends)


def raise_budget(platform: Platform) -> None:
    """Let the VM count as many requests as leave its retries unlimited for some seconds."""
    core = platform.vms["vm1"].core
    for _ in range(300):
        core.get_retry_budget(ServiceName(MODEL)).record_request(core.clock.now())


def pause_until_handed_over(platform: Platform, request: str) -> StandInEngine:
    """Keep an engine silent until another one runs its stream, which has not responded yet."""
    silent = find_engine(platform, request)
    others = [engine for engine in list_engines(platform, "decode") if engine is not silent]

    def is_handed_over() -> bool:
        silent.pause_for(0.02)
        return any(run.request == request for engine in others for run in engine.runs)

    platform.network.run_until(is_handed_over, 5.0)
    return silent


@pytest.mark.parametrize("count", [1, 3, 6])
def test_streams_are_moved_where_all_their_connections_go_silent_for_good_and_new_ones_work(count: int) -> None:
    platform = make_fleet()
    callers = [begin_stream(platform, f"q{number}") for number in range(count)]
    raise_budget(platform)
    for engine in list_engines(platform, "decode"):
        silence_streams(platform, engine)
    check_whole(platform, *callers)


def test_a_dead_engine_is_left_for_one_at_which_a_stream_is_stuck_on_its_connection() -> None:
    platform = make_fleet(decode=2)
    stuck = platform.call("/stream/x", "stuck", headers={"Token-Count": f"5000,{EVENTS}"})
    platform.network.run_until(lambda: len(stuck.events) >= 5, 3.0)
    silence_streams(platform, find_engine(platform, "stuck"))
    raise_budget(platform)
    caller = begin_stream(platform, "q1")
    find_engine(platform, "q1").fault = UpstreamFault.HANG
    check_whole(platform, caller)


def test_a_request_is_not_lost_on_a_connection_on_which_a_fallback_has_ended() -> None:
    platform = make_fleet()
    for engine in list_engines(platform, "decode"):
        engine.transfer_time_s = 0.05
        engine.answers_calls_while_paused = True
    caller = begin_stream(platform, "q1")
    platform.network.run_until(lambda: caller.events[-1] == EVENTS - 1, 5.0)
    silent = pause_until_handed_over(platform, "q1")
    for engine in list_engines(platform, "decode"):
        if engine is not silent:
            fill(engine)
    other = platform.call("/stream/x", "q2", headers={"Token-Count": "100,20", "Prompt-Prefix": "q2:100"})
    platform.network.run_until(lambda: any(run.request == "q2" for run in silent.runs), 1.0)
    platform.finish(caller)
    assert platform.finish(other).whole
    assert other.status == 200


@pytest.mark.parametrize("others_full", [False, True])
@pytest.mark.parametrize("seconds", [0.9, 1.5, 2.5, 4.0])
def test_a_stream_is_neither_moved_nor_lost_while_its_caller_reads_slowly(seconds: float, *, others_full: bool) -> None:
    platform = make_fleet()
    for engine in list_engines(platform, "decode"):
        engine.padding_bytes = 20_000
    caller = begin_stream(platform, "q1")
    own = find_engine(platform, "q1")
    for engine in list_engines(platform, "decode"):
        if others_full and engine is not own:
            fill(engine)
    caller.transport.pauseProducing()
    platform.network.run(seconds)
    caller.transport.resumeProducing()
    check_whole(platform, caller)
    assert platform.ledger.runs["q1"] == 1


def test_a_request_is_refused_at_once_where_no_call_for_memory_can_be_answered_any_more() -> None:
    platform = make_fleet(decode=1)
    engine = list_engines(platform, "decode")[0]
    engine.reservation_delay_s = 5.0
    caller = platform.call("/resumable/x", "q1")
    platform.network.run(0.2)
    platform.network.reset_connections(lambda end: end.peer_host == "host-decode-0")
    platform.network.run(0.1)
    assert caller.status == 503


@pytest.mark.parametrize("transfer_time_s", [0.3, 0.8, 1.5])
def test_two_engines_do_not_work_on_a_stream_for_long_where_the_first_is_slow(transfer_time_s: float) -> None:
    platform = make_fleet()
    caller = begin_stream(platform, "q1")
    slow = find_engine(platform, "q1")
    slow.event_interval_s = 3.0
    for engine in list_engines(platform, "decode"):
        if engine is not slow:
            engine.transfer_time_s = transfer_time_s
    doubled_s = 0.0
    while not (caller.closed or caller.whole):
        platform.network.run(0.01)
        engines = list_engines(platform, "decode")
        begun = [run for engine in engines for run in engine.runs if run.request == "q1" and run.has_begun]
        doubled_s += 0.01 * (len(begun) > 1)
    assert doubled_s < 0.4


@pytest.mark.parametrize("transfer_time_s", [0.3, 0.8, 1.5])
def test_two_engines_do_not_work_on_a_stream_for_long_where_the_first_goes_on_with_others(
    transfer_time_s: float,
) -> None:
    platform = make_fleet(decode=2)
    callers = [begin_stream(platform, f"q{number}") for number in range(4)]
    own = find_engine(platform, "q3")
    (stuck,) = [run for run in own.runs if run.request == "q3"]
    for timer in stuck.timers:
        if timer.active():
            timer.cancel()
    for engine in list_engines(platform, "decode"):
        engine.transfer_time_s = transfer_time_s
    doubled_s = 0.0
    while not (callers[3].closed or callers[3].whole):
        platform.network.run(0.01)
        platform.call("/stream/x", f"n{platform.network.seconds()}", headers={"Token-Count": "100,200"})
        engines = list_engines(platform, "decode")
        doubled_s += 0.01 * (sum(run.request == "q3" for engine in engines for run in engine.runs) > 1)
    assert doubled_s < 0.4
    check_whole(platform, callers[3])


def test_streams_are_not_cut_where_all_connections_to_sound_engines_are_reset_once() -> None:
    platform = make_fleet()
    callers = [begin_stream(platform, f"q{number}") for number in range(3)]
    raise_budget(platform)
    platform.network.reset_connections(lambda end: end.peer_host.startswith("host-decode"))
    check_whole(platform, *callers)


def test_streams_are_not_cut_where_the_vm_is_cut_off_from_all_decode_engines_for_a_second() -> None:
    platform = make_fleet()
    callers = [begin_stream(platform, f"q{number}") for number in range(3)]
    raise_budget(platform)
    for engine in list_engines(platform, "decode"):
        platform.network.cut_between("vm", engine.address.host)
    platform.network.run(1.0)
    for engine in list_engines(platform, "decode"):
        platform.network.heal_between("vm", engine.address.host)
    platform.network.reset_connections(lambda end: end.peer_host.startswith("host-decode"))
    check_whole(platform, *callers)


def test_retries_that_were_counted_long_ago_and_not_made_do_not_allow_another_one() -> None:
    budget = RetryBudget(RetryBudgetLimits(ratio=0.0, slack=30.0, window_s=10.0))
    chooser = LeastCostChooser(UpstreamStatsRegistry(), "h")
    prefill, *decodes = (make_upstream(f"u{number}", Phase.DECODE if number else Phase.PREFILL) for number in range(4))
    upstreams = [prefill, *decodes]
    route = Route("r", "h", "/", RouteKind.STREAMING, (WeightedService(SERVICE, 1),), 14.0, 0.9, 4, resumable=True)
    service = Service(SERVICE, EngineSpec(128, 60_000, 0.5, 2.0))
    request = RelayRequest(RequestFacts("q", None, None, 5000, 100), route, service)
    request.record_sent(Send(Stage.PREFILL, prefill), budget, 1.0)
    request.record_sent(Send(Stage.DECODE, decodes[0]), budget, 1.0)
    request.begin_search(decodes[0].id)
    request.record_reserved(Reservation(None, decodes[1], 50.0))
    step = request.plan(upstreams, chooser, budget, 6, 1.0)
    assert isinstance(step, Send)
    assert step.stage is Stage.PREFILL
    request.record_unreachable(step)
    request.obstacles.silent.discard(decodes[0].id)
    request.record_failed(Send(Stage.DECODE, decodes[0]))
    step = request.plan(upstreams, chooser, budget, 6, 1.0)
    assert isinstance(step, Send)
    request.record_sent(step, budget, 1.0)
    budget.record_retry(20.0, 100)
    request.begin_search(step.upstream.id)
    request.record_reserved(Reservation(None, decodes[2], 50.0))
    assert not isinstance(request.plan(upstreams, chooser, budget, 6, 20.0), Send)


def test_a_fallback_that_responded_and_is_waited_for_again_is_not_held_back_for_ever() -> None:
    setup = FailoverSetup()
    setup.failover.begin_handover()
    last = cast("Attempt", setup.attempts[1])
    assert not setup.failover.admits(last)
    assert setup.failover.pop_last() is last
    setup.network.run(1.0)
    assert "release" in setup.calls[1]
