"""Sound upstreams that process nothing for a while, keep their connections and memory, and then go on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from beamhatch.platform.standin.upstream import UpstreamFault
from beamhatch.relay.model import ServiceName
from tests.support.pauses import EVENTS, check_whole, fill, find_engine, list_engines, pause_engines
from tests.support.platform import MODEL, ROUTES, Platform, make_platform, make_route

if TYPE_CHECKING:
    from tests.support.platform import Caller


def make_fleet(*, plain: int = 2, prefill: int = 2, decode: int = 3, timeout_ms: int = 14_000) -> Platform:
    """Return a platform whose routes leave callers as much time as their own deadlines."""
    platform = make_platform(plain=plain, prefill=prefill, decode=decode)
    routes = [{**route, "timeout_ms": timeout_ms} for route in ROUTES]
    platform.configure(2, routes)
    platform.network.run(1.0)
    return platform


def begin_stream(platform: Platform, request: str) -> Caller:
    """Send a resumable request, and return its caller once some events have come."""
    caller = platform.call("/resumable/x", request, headers={"Token-Count": f"5000,{EVENTS}"})
    platform.network.run_until(lambda: len(caller.events) >= 5, 3.0)
    return caller


def spend_budget(platform: Platform) -> None:
    """Use up the VM's budget for retries for some seconds."""
    core = platform.vms["vm1"].core
    core.get_retry_budget(ServiceName(MODEL)).record_retry(core.clock.now(), 1000)


def change_configuration(platform: Platform, version: int) -> None:
    """Change a timeout, and add a route."""
    routes = [{**route, "timeout_ms": 13_000} for route in ROUTES]
    platform.configure(version, [*routes, make_route("/added/", "streaming", MODEL, resumable=True)])


@pytest.mark.parametrize("seconds", [0.3, 1.2, 2.2, 3.0, 5.0])
def test_streams_are_not_cut_where_all_decode_engines_fall_silent(seconds: float) -> None:
    platform = make_fleet()
    callers = [begin_stream(platform, f"q{number}") for number in range(6)]
    change_configuration(platform, 3)
    pause_engines(platform, "decode", seconds)
    check_whole(platform, *callers)


def test_a_stream_is_not_moved_where_all_engines_fall_silent_and_its_own_goes_on() -> None:
    platform = make_fleet()
    callers = [begin_stream(platform, f"q{number}") for number in range(6)]
    pause_engines(platform, "decode", 2.2)
    check_whole(platform, *callers)
    assert set(platform.ledger.runs.values()) == {1}
    assert set(platform.ledger.prefilled.values()) == {1}


@pytest.mark.parametrize("seconds", [1.2, 2.2, 5.0])
def test_a_stream_is_not_cut_where_its_engine_falls_silent_and_the_others_are_full(seconds: float) -> None:
    platform = make_fleet()
    caller = begin_stream(platform, "q1")
    silent = find_engine(platform, "q1")
    silent.pause_for(seconds)
    for engine in list_engines(platform, "decode"):
        if engine is not silent:
            fill(engine)
    check_whole(platform, caller)


def test_a_stream_is_not_cut_where_its_engine_falls_silent_and_the_others_refuse_all_requests() -> None:
    platform = make_fleet()
    caller = begin_stream(platform, "q1")
    silent = find_engine(platform, "q1")
    silent.pause_for(2.2)
    for engine in list_engines(platform, "decode"):
        if engine is not silent:
            engine.fault = UpstreamFault.SHED
    check_whole(platform, caller)


@pytest.mark.parametrize("seconds", [1.2, 2.2, 5.0])
def test_a_stream_is_not_cut_where_its_engine_and_the_prefill_engines_fall_silent(seconds: float) -> None:
    platform = make_fleet()
    caller = begin_stream(platform, "q1")
    find_engine(platform, "q1").pause_for(seconds)
    pause_engines(platform, "prefill", seconds)
    check_whole(platform, caller)


def test_a_stream_is_not_cut_where_its_engine_falls_silent_and_no_prefill_engine_is_left() -> None:
    platform = make_fleet()
    callers = [begin_stream(platform, f"q{number}") for number in range(6)]
    for name in ("prefill-0", "prefill-1"):
        platform.remove(name)
    for engine in {find_engine(platform, f"q{number}") for number in range(6)}:
        engine.pause_for(2.2)
    check_whole(platform, *callers)


def test_a_stream_goes_on_where_its_engine_speaks_while_the_prompt_is_prefilled_elsewhere() -> None:
    platform = make_fleet()
    for engine in list_engines(platform, "prefill"):
        engine.prefill_rate = 5_000.0
    caller = begin_stream(platform, "q1")
    find_engine(platform, "q1").pause_for(1.5)
    check_whole(platform, caller)
    assert platform.ledger.runs["q1"] == 1


def test_memory_granted_elsewhere_is_released_where_the_silent_engine_goes_on() -> None:
    platform = make_fleet()
    for engine in list_engines(platform, "prefill"):
        engine.prefill_rate = 5_000.0
    caller = begin_stream(platform, "q1")
    find_engine(platform, "q1").pause_for(1.5)
    check_whole(platform, caller)
    platform.network.run(0.2)
    assert not any(engine.reserved_tokens for engine in list_engines(platform, "decode"))


def test_a_safe_request_is_answered_where_its_replica_falls_silent_and_the_other_refuses() -> None:
    platform = make_fleet()
    caller = platform.call("/safe/x", "q1")
    platform.network.run(0.02)
    silent = next(one for one in platform.upstreams.values() if any(run.request == "q1" for run in one.runs))
    silent.pause_for(1.2)
    for name in ("plain-0", "plain-1"):
        if platform.upstreams[name] is not silent:
            platform.upstreams[name].fault = UpstreamFault.SHED
    assert platform.finish(caller).status == 200


@pytest.mark.parametrize("seconds", [0.3, 1.2])
def test_safe_requests_are_answered_where_all_replicas_fall_silent(seconds: float) -> None:
    platform = make_fleet()
    callers = [platform.call("/safe/x", f"q{number}") for number in range(6)]
    for name in ("plain-0", "plain-1"):
        platform.upstreams[name].pause_for(seconds)
    assert [platform.finish(caller).status for caller in callers] == [200] * 6


def test_requests_are_served_where_a_prefill_engine_falls_silent_and_the_budget_is_spent() -> None:
    platform = make_fleet(prefill=2)
    spend_budget(platform)
    list_engines(platform, "prefill")[0].pause_for(2.2)
    callers = [platform.call("/resumable/x", f"q{number}") for number in range(6)]
    assert [platform.finish(caller).status for caller in callers] == [200] * 6


def test_a_stream_is_not_cut_where_its_engine_falls_silent_and_the_budget_is_spent() -> None:
    platform = make_fleet()
    caller = begin_stream(platform, "q1")
    spend_budget(platform)
    find_engine(platform, "q1").pause_for(2.2)
    check_whole(platform, caller)
    assert platform.ledger.runs["q1"] == 1


@pytest.mark.parametrize("others_s", [1.0, 2.0, 3.0])
def test_a_stream_is_not_cut_where_the_engine_that_takes_it_falls_silent_too(others_s: float) -> None:
    platform = make_fleet()
    caller = begin_stream(platform, "q1")
    silent = find_engine(platform, "q1")
    silent.pause_for(2.2)
    prefilled = platform.ledger.prefilled["q1"]
    platform.network.run_until(lambda: platform.ledger.prefilled["q1"] > prefilled, 2.0)
    for engine in list_engines(platform, "decode"):
        if engine is not silent:
            engine.pause_for(others_s)
    check_whole(platform, caller)


def test_a_stream_that_was_handed_over_goes_on_where_its_engine_responds_and_the_other_one_does_not() -> None:
    platform = make_fleet(timeout_ms=8000)
    caller = begin_stream(platform, "q1")
    silent = find_engine(platform, "q1")
    silent.pause_for(2.2)
    prefilled = platform.ledger.prefilled["q1"]
    platform.network.run_until(lambda: platform.ledger.prefilled["q1"] > prefilled, 2.0)
    for engine in list_engines(platform, "decode"):
        if engine is not silent:
            engine.pause_for(30.0)
    check_whole(platform, caller)


def test_a_stream_is_not_handed_over_to_engines_that_grant_memory_and_whose_streams_have_stopped() -> None:
    platform = make_fleet()
    callers = [begin_stream(platform, f"q{number}") for number in range(6)]
    for engine in list_engines(platform, "decode"):
        engine.answers_calls_while_paused = True
    pause_engines(platform, "decode", 2.2)
    check_whole(platform, *callers)
    assert set(platform.ledger.prefilled.values()) == {1}


def test_a_request_is_refused_soon_where_very_many_engines_do_not_answer() -> None:
    platform = make_fleet(decode=40)
    pause_engines(platform, "decode", 10.0)
    begun = platform.network.seconds()
    caller = platform.finish(platform.call("/resumable/x", "q1"))
    assert caller.status == 503
    assert platform.network.seconds() - begun < 1.2


def test_a_dead_engine_is_left_as_soon_as_ever() -> None:
    platform = make_fleet()
    caller = begin_stream(platform, "q1")
    find_engine(platform, "q1").fault = UpstreamFault.HANG
    begun = platform.network.seconds()
    received = len(caller.events)
    platform.network.run_until(lambda: len(caller.events) > received + 2, 5.0)
    assert platform.network.seconds() - begun < 1.4
    check_whole(platform, caller)


@pytest.mark.parametrize("pause_s", [1.0, 1.05, 1.1, 1.15, 1.2, 1.6])
def test_one_engine_at_a_time_works_on_a_stream(pause_s: float) -> None:
    platform = make_fleet()
    callers = [begin_stream(platform, f"q{number}") for number in range(6)]
    for number, engine in enumerate({find_engine(platform, f"q{number}") for number in range(6)}):
        engine.pause_for(pause_s + 0.01 * number)
    doubled: list[tuple[float, str]] = []

    def list_doubled() -> set[str]:
        runs = [run.request for one in list_engines(platform, "decode") for run in one.runs if not one.pause_left_s]
        return {request for request in runs if runs.count(request) > 1}

    held_since: dict[str, float] = {}
    while not all(caller.closed or caller.whole for caller in callers):
        platform.network.run(0.01)
        now = platform.network.seconds()
        held_since = {request: held_since.get(request, now) for request in list_doubled()}
        doubled += [(now, request) for request, since in held_since.items() if now - since > 0.05]
    assert not doubled
    check_whole(platform, *callers)
