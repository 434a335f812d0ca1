"""Upstreams that send bytes without end until their connection is closed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from beamhatch.platform.standin.base import read_headers
from beamhatch.relay.model import Address, Reservation, UpstreamId
from beamhatch.relay.requests.release import release_reservation
from tests.support.endless import CallType, EndlessEngine, EndlessUpstream, Flood, Selection, make_head
from tests.support.platform import MODEL, PLAIN, Platform

if TYPE_CHECKING:
    from beamhatch.relay.callers.http_server import IncomingRequest, Responder

MAX_CALL_BYTES = 2 * 1024 * 1024
"""Bytes of one call's response that a VM may read; some dozens of such calls at once fit into its memory."""

SILENCE_S = 1.3
"""Time for which a sound upstream may be silent."""

MAX_CALL_TIME_S = 6.0
"""Seconds after which the connection of a call has to be closed that no caller waits for."""

BODIES = [Flood.REFUSAL_BODY, Flood.ERROR_BODY, Flood.SUCCESS_BODY, Flood.UNSIGNED_BODY, Flood.UNFRAMED_BODY]
FRAMING = [
    Flood.HEAD,
    Flood.HEADERS,
    Flood.INTERIM,
    Flood.FOREIGN,
    Flood.FOREIGN_BODY,
    Flood.SMALL_CHUNKS,
    Flood.EXTENSIONS,
    Flood.TRAILERS,
]
EVENTS = [Flood.COMMENTS, Flood.BLANK_LINES, Flood.EVENT, Flood.EVENTS]
ENGINE_CALLS = [CallType.PREFILL, CallType.RESERVE, CallType.STREAM]
CASES = [
    *((call, flood) for call in ENGINE_CALLS for flood in [*BODIES, *FRAMING]),
    *((CallType.PLAIN, flood) for flood in [*BODIES, *FRAMING]),
    *((CallType.STREAM, flood) for flood in EVENTS),
]


def describe(value: object) -> str:
    return value.value if isinstance(value, CallType | Flood) else str(value)


def make_platform_with(selection: Selection, *, is_slow: bool = False) -> tuple[Platform, EndlessUpstream]:
    """Return a platform where one upstream of each kind is sound, and another one sends bytes without end."""
    platform = Platform()
    platform.configure(1)
    platform.add_plain("plain-0")
    platform.add_engine("prefill-0", "prefill")
    platform.add_engine("decode-0", "decode")
    clock, ledger = platform.clock, platform.ledger
    bad: EndlessUpstream
    if selection.call is CallType.PLAIN:
        bad = EndlessUpstream(clock, Address("host-bad", 80), "bad", ledger)
        platform._add("bad", bad, PLAIN, "hall-a")
    else:
        phase = "prefill" if selection.call is CallType.PREFILL else "decode"
        bad = EndlessEngine(clock, Address("host-bad", 80), "bad", ledger, phase)
        platform._add("bad", bad, MODEL, "hall-a")
    bad.selection = selection
    bad.is_slow = is_slow
    platform.add_vm()
    platform.network.run_until(platform.is_ready)
    return platform, bad


def ask_until_called(platform: Platform, bad: EndlessUpstream, path: str) -> list[int]:
    """Send requests one after the other until some have reached the upstream; return the status of each."""
    found = []
    for number in range(12):
        found.append(platform.finish(platform.call(path, f"q{number}"), 30.0).status)
        if len(bad.outpours) >= 2:
            break
    assert bad.outpours
    return found


def assert_bounded(platform: Platform, bad: EndlessUpstream) -> None:
    platform.network.run(MAX_CALL_TIME_S)
    assert max(one.sent for one in bad.outpours) <= MAX_CALL_BYTES
    assert all(one.ended_at is not None for one in bad.outpours)


@pytest.mark.parametrize(("call", "flood"), CASES, ids=describe)
def test_a_response_without_end_is_read_without_bound(call: CallType, flood: Flood) -> None:
    platform, bad = make_platform_with(Selection(call, flood))
    path = "/safe/x" if call is CallType.PLAIN else "/resumable/x"
    statuses = ask_until_called(platform, bad, path)
    assert_bounded(platform, bad)
    assert set(statuses) == {200}


@pytest.mark.parametrize(("call", "flood"), CASES, ids=describe)
def test_a_slow_response_without_end_holds_a_repeatable_request(call: CallType, flood: Flood) -> None:
    platform, bad = make_platform_with(Selection(call, flood), is_slow=True)
    path = "/safe/x" if call is CallType.PLAIN else "/resumable/x"
    statuses = ask_until_called(platform, bad, path)
    platform.network.run(MAX_CALL_TIME_S)
    assert all(one.ended_at is not None for one in bad.outpours)
    assert set(statuses) == {200}


@pytest.mark.parametrize("is_slow", [False, True], ids=["fast", "slow"])
@pytest.mark.parametrize("call", [CallType.STREAM, CallType.PLAIN], ids=describe)
def test_a_refusal_without_end_counts_as_a_run(call: CallType, is_slow: bool) -> None:
    platform, bad = make_platform_with(Selection(call, Flood.REFUSAL_BODY), is_slow=is_slow)
    path = "/unsafe/x" if call is CallType.PLAIN else "/stream/x"
    for number in range(12):
        caller = platform.finish(platform.call(path, f"q{number}"), 30.0)
        assert caller.status in (200, 503)
        assert caller.status == 200 or not platform.ledger.runs[f"q{number}"]
    assert bad.outpours
    assert max(platform.ledger.runs.values()) == 1


@pytest.mark.parametrize("flood", [*BODIES, *FRAMING], ids=describe)
def test_a_release_is_answered_without_end(flood: Flood) -> None:
    platform, bad = make_platform_with(Selection(CallType.RELEASE, flood))
    for number in range(8):
        caller = platform.call("/resumable/x", f"q{number}", headers={"Token-Count": "5000,200"})
        platform.network.run(0.12 + 0.004 * number)
        caller.leave()
        platform.network.run(0.1)
    if not bad.outpours:
        send_release(platform)
    assert_bounded(platform, bad)


def send_release(platform: Platform) -> None:
    """Have the VM release memory at the upstream that sends bytes without end."""
    core = platform.vms["vm1"].core
    upstream = core.listing.get(UpstreamId("bad"))
    assert upstream is not None
    release_reservation(core, Reservation("h1", upstream, core.clock.now() + 1.0), lambda *_, **__: None)
    platform.network.run(0.1)


@pytest.mark.parametrize("flood", [*BODIES, *FRAMING], ids=describe)
@pytest.mark.parametrize("call", [CallType.STREAM, CallType.PLAIN], ids=describe)
def test_a_request_that_may_not_run_again_runs_twice_after_a_response_without_end(call: CallType, flood: Flood) -> None:
    platform, bad = make_platform_with(Selection(call, flood))
    path = "/unsafe/x" if call is CallType.PLAIN else "/stream/x"
    statuses = ask_until_called(platform, bad, path)
    assert_bounded(platform, bad)
    assert set(statuses) <= {200, 502, 503}
    assert max(platform.ledger.runs.values()) == 1
    refused = [f"q{number}" for number, status in enumerate(statuses) if status == 503]
    assert not any(platform.ledger.runs[request] for request in refused)


class PausingReplica(EndlessUpstream):
    """A replica that is silent between the head and the body of its responses."""

    def serve(self, incoming: IncomingRequest, responder: Responder) -> None:
        request = read_headers(incoming)["request-id"]
        self.ledger.runs[request] += 1
        connection = responder._connection
        assert connection is not None
        connection.transport.write(make_head(request, 404, b"Content-Length: 2\r\n"))
        self.clock.call_later(SILENCE_S, connection.transport.write, b"no")


def test_an_error_is_cut_off_whose_upstream_is_silent_before_its_body() -> None:
    platform = Platform()
    platform.configure(1)
    platform._add(
        "bad", PausingReplica(platform.clock, Address("host-bad", 80), "bad", platform.ledger), PLAIN, "hall-a"
    )
    platform.add_vm()
    platform.network.run_until(platform.is_ready)
    caller = platform.finish(platform.call("/unsafe/x", "q1"))
    assert caller.status == 404
    assert caller.body == b"no"
