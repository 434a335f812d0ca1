"""Requests from a caller's socket to the last byte, against the platform's stand-ins on a paused clock."""

from __future__ import annotations

from typing import Any

import pytest

from beamhatch.platform.standin.upstream import StandInEngine, UpstreamFault
from beamhatch.relay.callers.http_server import MAX_TOTAL_BODY_BYTES
from beamhatch.relay.model import ServiceName
from tests.support.network import WINDOW
from tests.support.platform import MODEL, Caller, Platform, make_platform, make_request, read_json


def serve(platform: Platform, path: str, request: str = "q1", **options: Any) -> Caller:
    return platform.finish(platform.call(path, request, **options))


def test_passes_a_plain_request_on_unchanged() -> None:
    platform = make_platform()
    caller = serve(platform, "/unsafe/a?b=c", body=b"hello")
    assert caller.status == 200
    assert caller.body == b"POST /unsafe/a?b=c q1"
    assert "response-signature" in caller.head.lower()
    assert platform.ledger.runs["q1"] == 1


def test_serves_several_requests_on_a_kept_connection() -> None:
    platform = make_platform()
    caller = platform.connect()
    for number in range(3):
        caller.received = b""
        caller.send(make_request("/safe/x", f"q{number}"))
        platform.finish(caller)
        assert caller.status == 200
    assert not caller.closed


def test_streams_by_a_prefill_and_a_decode_engine() -> None:
    platform = make_platform()
    caller = serve(platform, "/stream/x")
    assert caller.status == 200
    assert caller.events == list(range(1, 11))
    assert platform.ledger.prefilled["q1"] == 1
    assert platform.ledger.runs["q1"] == 1
    assert not platform.ledger.handles


def test_unknown_route_is_answered_404_and_a_missing_id_400() -> None:
    platform = make_platform()
    assert serve(platform, "/nothing/").status == 404
    caller = platform.connect()
    caller.send(b"GET /safe/x HTTP/1.1\r\nHost: desk.example\r\n\r\n")
    assert platform.finish(caller).status == 400


@pytest.mark.parametrize(
    "text",
    [
        b"POST /safe/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q\r\nContent-Length: 3\r\n"
        b"Content-Length: 4\r\n\r\nabc",
        b"POST /safe/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"GET /safe/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q\r\nRequest-Id: p\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
def test_ambiguous_framing_is_refused_and_reaches_nobody(text: bytes) -> None:
    platform = make_platform()
    caller = platform.connect()
    caller.send(text)
    assert platform.finish(caller).status == 400
    assert not platform.ledger.arrivals


def test_a_body_over_the_limit_is_answered_413() -> None:
    platform = make_platform()
    caller = platform.connect()
    caller.send(b"POST /safe/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q\r\nContent-Length: 200000\r\n\r\n")
    assert platform.finish(caller).status == 413


def test_a_stalled_head_is_answered_408_in_its_time() -> None:
    platform = make_platform()
    caller = platform.connect()
    caller.send(b"GET /safe/x HTTP/1.1\r\nHo")
    platform.network.run(2.9)
    assert caller.status == 0
    platform.network.run(0.3)
    assert caller.status == 408


def test_headers_that_only_the_system_sets_are_not_taken_from_callers() -> None:
    platform = make_platform()
    headers = {"Expect-Instance": "forged", "Stage": "prefill", "Cache-Source": "x:1/2"}
    caller = serve(platform, "/stream/x", headers=headers)
    assert caller.status == 200
    assert caller.events == list(range(1, 11))


def test_an_upstream_that_turns_away_with_proof_is_passed_over() -> None:
    platform = make_platform()
    platform.upstreams["plain-0"].fault = UpstreamFault.SHED
    for number in range(4):
        assert serve(platform, "/unsafe/x", f"q{number}", body=b"x").status == 200
    assert set(platform.ledger.runs.values()) == {1}


def test_when_all_turn_away_the_caller_is_told_that_it_has_not_run_and_when_to_come_back() -> None:
    platform = make_platform()
    for name in ("plain-0", "plain-1"):
        platform.upstreams[name].fault = UpstreamFault.SHED
    caller = serve(platform, "/unsafe/x", body=b"x")
    assert caller.status == 503
    assert "retry-after" in caller.head.lower()
    assert not platform.ledger.runs


@pytest.mark.parametrize("fault", [UpstreamFault.TRUNCATED, UpstreamFault.UNSIGNED, UpstreamFault.UNCONFIRMED])
def test_an_unsafe_request_that_may_have_run_is_never_sent_again_nor_called_not_run(fault: UpstreamFault) -> None:
    platform = make_platform()
    for name in ("plain-0", "plain-1"):
        platform.upstreams[name].fault = fault
    caller = serve(platform, "/unsafe/x", body=b"x")
    assert caller.status == 502
    assert platform.ledger.runs["q1"] == 1


@pytest.mark.parametrize(
    "fault", [UpstreamFault.TRUNCATED, UpstreamFault.ERROR, UpstreamFault.HANG, UpstreamFault.UNSIGNED]
)
def test_a_safe_request_is_sent_again_once(fault: UpstreamFault) -> None:
    platform = make_platform()
    platform.upstreams["plain-0"].fault = fault
    for number in range(4):
        assert serve(platform, "/safe/x", f"q{number}").status == 200
    assert max(platform.ledger.runs.values()) <= 2


def test_a_safe_request_runs_on_no_more_upstreams_than_its_route_allows() -> None:
    platform = make_platform(plain=4)
    for upstream in platform.upstreams.values():
        upstream.fault = UpstreamFault.ERROR
    caller = serve(platform, "/safe/x")
    assert caller.status == 500
    assert platform.ledger.runs["q1"] == 2


def test_an_answer_to_another_request_is_dropped() -> None:
    platform = make_platform(plain=1)
    platform.upstreams["plain-0"].fault = UpstreamFault.MISMATCHED
    caller = serve(platform, "/unsafe/x", body=b"x")
    assert caller.status == 200
    assert caller.body == b"POST /unsafe/x q1"


def test_a_stream_with_a_lost_event_is_broken_off_and_does_not_look_whole() -> None:
    platform = make_platform(decode=1)
    platform.upstreams["decode-0"].fault = UpstreamFault.SKIP
    caller = serve(platform, "/stream/x")
    assert caller.reset
    assert not caller.whole
    assert caller.events == [1, 2]


def test_a_stream_cut_inside_an_event_is_broken_off_where_it_may_not_resume() -> None:
    platform = make_platform(decode=1)
    engine = platform.upstreams["decode-0"]
    assert isinstance(engine, StandInEngine)
    engine.cut_after = 4
    caller = serve(platform, "/stream/x")
    assert not caller.whole
    assert caller.events == [1, 2, 3, 4]
    assert platform.ledger.runs["q1"] == 1


def test_a_resumable_stream_goes_on_elsewhere_behind_its_last_event() -> None:
    platform = make_platform()
    for name in ("decode-0", "decode-1"):
        engine = platform.upstreams[name]
        assert isinstance(engine, StandInEngine)
        engine.cut_after = 4
    caller = platform.call("/resumable/x", "q1")
    platform.network.run_until(lambda: len(caller.events) >= 2)
    for name in ("decode-0", "decode-1"):
        engine = platform.upstreams[name]
        assert isinstance(engine, StandInEngine)
        engine.cut_after = None if engine.running == 0 else 4
    platform.finish(caller)
    assert caller.whole
    assert caller.events == list(range(1, 11))
    assert platform.ledger.runs["q1"] == 2


def test_an_engine_with_another_instance_at_its_address_is_passed_over() -> None:
    platform = make_platform()
    platform.upstreams["decode-0"].instance = "somebody-else"
    for number in range(3):
        assert serve(platform, "/stream/x", f"q{number}").status == 200
    assert set(platform.ledger.prefilled.values()) == {1}


def test_no_prompt_is_read_where_decode_memory_is_full() -> None:
    platform = make_platform(decode=1)
    engine = platform.upstreams["decode-0"]
    assert isinstance(engine, StandInEngine)
    engine.used_tokens = engine.kv_tokens
    first = platform.call("/stream/x", "q1")
    second = platform.call("/stream/x", "q2")
    platform.finish(second)
    assert second.status == 503
    assert "retry-after" in second.head.lower()
    engine.used_tokens = 0
    assert platform.finish(first).status == 200
    assert platform.ledger.prefilled == {"q1": 1}


def test_no_prompt_is_read_where_no_decode_engine_is_left() -> None:
    platform = make_platform(decode=0)
    assert serve(platform, "/stream/x").status == 503
    assert not platform.ledger.prefilled


def test_memory_that_was_set_aside_is_given_back_with_a_caller_that_leaves() -> None:
    platform = make_platform(decode=1)
    platform.upstreams["prefill-0"].fault = UpstreamFault.HANG
    platform.upstreams["prefill-1"].fault = UpstreamFault.HANG
    caller = platform.call("/stream/x", "q1")
    platform.network.run(0.1)
    engine = platform.upstreams["decode-0"]
    assert isinstance(engine, StandInEngine)
    assert engine.reserved_tokens
    caller.leave()
    platform.network.run(0.1)
    assert not engine.reserved_tokens


def test_work_ends_at_once_for_a_caller_that_leaves() -> None:
    platform = make_platform()
    caller = platform.call("/stream/x", "q1")
    platform.network.run_until(lambda: caller.events)
    caller.leave()
    platform.network.run(0.1)
    assert platform.ledger.cancelled["q1"] == 1
    assert not platform.vms["vm1"].core.exchanges


def test_the_route_time_out_is_answered_by_the_vm_and_the_upstreams_work_ends() -> None:
    platform = make_platform(plain=1)
    platform.upstreams["plain-0"].fault = UpstreamFault.HANG
    caller = platform.call("/unsafe/x", "q1", body=b"x")
    platform.network.run(4.9)
    assert caller.status == 0
    platform.network.run(0.3)
    assert caller.status == 504
    assert platform.ledger.cancelled["q1"] == 1


def test_each_send_is_told_the_time_that_is_left() -> None:
    platform = make_platform()
    serve(platform, "/unsafe/x", body=b"x", headers={"Deadline-Ms": "1000"})
    assert 900 <= platform.ledger.deadlines[0] <= 1000


def test_errors_of_the_relay_name_their_cause() -> None:
    platform = make_platform(decode=0)
    assert "no decode engine" in read_json(serve(platform, "/stream/x"))["error"]


def test_a_body_in_chunks_arrives_whole() -> None:
    platform = make_platform()
    caller = platform.connect()
    head = make_request("/unsafe/x", "q1", headers={"Transfer-Encoding": "chunked"}).replace(b"GET", b"POST")
    caller.send(head + b"5\r\nhello\r\n")
    platform.network.run(0.1)
    caller.send(b"6\r\n world\r\n0\r\n\r\n")
    assert platform.finish(caller).status == 200
    assert platform.ledger.bodies["q1"] == b"hello world"


def test_a_body_that_stalls_is_answered_408_and_reaches_nobody() -> None:
    platform = make_platform()
    caller = platform.connect()
    caller.send(make_request("/unsafe/x", "q1", headers={"Content-Length": "10"}).replace(b"GET", b"POST") + b"half")
    platform.network.run(3.3)
    assert caller.status == 408
    assert not platform.ledger.arrivals


def test_bodies_are_held_up_to_a_bound_and_let_go() -> None:
    platform = make_platform()
    server = platform.vms["vm1"].callers
    server.held_bytes = MAX_TOTAL_BODY_BYTES - 5
    caller = serve(platform, "/unsafe/x", body=b"too long")
    assert caller.status == 503
    assert "retry-after" in caller.head.lower()
    server.held_bytes = 0
    assert serve(platform, "/unsafe/x", "q2", body=b"too long").status == 200
    assert server.held_bytes == 0


def test_a_slow_reader_holds_the_engine_up() -> None:
    platform = make_platform(decode=1)
    engine = platform.upstreams["decode-0"]
    assert isinstance(engine, StandInEngine)
    engine.padding_bytes = 50_000
    caller = platform.call("/stream/x", "q1", headers={"Token-Count": "5000,60"})
    platform.network.run_until(lambda: caller.events)
    caller.transport.pauseProducing()
    platform.network.run(3.0)
    assert caller.transport.waiting < 2 * WINDOW
    # The rest waits before the VM, which reads no more of it: there TCP holds the engine up.
    assert max(transport.waiting for transport in platform.network.transports) > 4 * WINDOW
    caller.transport.resumeProducing()
    assert platform.finish(caller).events == list(range(1, 61))


@pytest.mark.parametrize("fault", [UpstreamFault.SHED, UpstreamFault.HANG])
def test_a_decode_engine_with_memory_reads_the_prompt_where_no_prefill_engine_does(fault: UpstreamFault) -> None:
    platform = make_platform()
    for name in ("prefill-0", "prefill-1"):
        platform.upstreams[name].fault = fault
    caller = serve(platform, "/stream/x")
    assert caller.status == 200
    assert platform.ledger.runs["q1"] == 1


def test_a_request_whose_turn_comes_while_it_asks_is_carried_out_once() -> None:
    platform = make_platform(decode=1)
    engine = platform.upstreams["decode-0"]
    assert isinstance(engine, StandInEngine)
    engine.used_tokens = engine.kv_tokens
    caller = platform.call("/stream/x", "q1")
    platform.network.run(0.1)
    core = platform.vms["vm1"].core
    assert len(core.memory_queues.get(ServiceName(MODEL))) == 1
    engine.used_tokens = 0
    engine.reservation_delay_s = 0.02
    for _ in range(40):
        core.memory_queues.record_freed(ServiceName(MODEL))
        platform.network.run(0.002)
    platform.finish(caller)
    assert caller.events == list(range(1, 11))
    assert platform.ledger.runs["q1"] == 1
    assert platform.ledger.prefilled["q1"] == 1


def test_a_head_over_the_limit_is_answered_431() -> None:
    platform = make_platform()
    caller = platform.connect()
    caller.send(make_request("/safe/x", "q1", headers={"Padding": "x" * 20_000}))
    assert platform.finish(caller).status == 431
    assert not platform.ledger.arrivals


def fill_decode_memory(platform: Platform, events: int = 60) -> None:
    """Have a stream take all decode memory, and another one wait for it."""
    platform.call("/stream/x", "fill", headers={"Token-Count": f"59000,{events}"})
    platform.network.run(0.1)
    platform.call("/stream/x", "waits")
    platform.network.run(0.05)


def test_a_caller_that_comes_back_waits_instead_of_being_refused_again() -> None:
    platform = make_platform(decode=1)
    fill_decode_memory(platform)
    first = platform.call("/stream/x", "first")
    platform.network.run(0.2)
    assert first.status == 503
    again = platform.call("/stream/x", "again", headers={"Deadline-Ms": "11000"})
    platform.network.run(0.5)
    assert again.status == 0
    assert platform.finish(again).status == 200


def test_a_caller_that_comes_back_is_given_up_when_it_waited_for_long() -> None:
    platform = make_platform(decode=1)
    fill_decode_memory(platform, 300)
    again = platform.call("/stream/x", "again", headers={"Deadline-Ms": "11000"})
    platform.network.run(3.2)  # its caller would leave at 3.6 s
    assert again.status == 503
    assert "retry-after" in again.head.lower()


def test_a_run_that_breaks_says_whose_it_was_and_how_far_it_had_come() -> None:
    platform = make_platform(decode=1)
    engine = platform.upstreams["decode-0"]
    caller = platform.call("/stream/x", "q1")
    platform.network.run_until(lambda: platform.ledger.runs["q1"])
    platform.network.run(0.1)
    engine.stop()
    platform.finish(caller)
    platform.network.run(0.1)
    lines = [line for line in platform.journals["vm1"].lines if line.get("request") == "q1"]
    sent = [line["fingerprint"] for line in lines if line["event"] == "sent"]
    (failed,) = [line for line in lines if line["event"] == "send failed"]
    assert set(sent) == {failed["fingerprint"]}
    assert failed["begun"]
    assert 0.05 < failed["ran"] < 0.3
    (ended,) = [line for line in platform.journals["vm1"].lines if line["event"] == "upstream ended"]
    assert (ended["upstream"], ended["runs"]) == ("decode-0", 1)
    assert platform.vms["vm1"].tally.counts["broken_runs_total", "begun"] == 1
