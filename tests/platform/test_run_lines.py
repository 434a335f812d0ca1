"""What log lines and metrics tell of runs that may be a request's second."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from beamhatch.platform.standin.upstream import UpstreamFault
from tests.support.platform import PLAIN, Platform, make_platform, make_route

if TYPE_CHECKING:
    from tests.support.platform import Caller


def list_lines(platform: Platform, event: str) -> list[dict[str, Any]]:
    return [line for line in platform.journals["vm1"].lines if line["event"] == event and line.get("request") == "q"]


def call_hanging(platform: Platform, path: str) -> Caller:
    """Send a request to the upstream that is chosen first, which runs it without a response."""
    for upstream in platform.upstreams.values():
        upstream.fault = UpstreamFault.HANG
    caller = platform.call(path, "q", body=b"x")
    platform.network.run_until(lambda: platform.ledger.runs["q"])
    return caller


def test_a_send_beside_a_possible_run_is_logged_and_counted() -> None:
    platform = make_platform(plain=2)
    call_hanging(platform, "/safe/x")
    platform.network.run(0.5)
    sent = [(line["possible_runs"], line["may_repeat"]) for line in list_lines(platform, "sent")]
    assert sent == [(0, True), (1, True)]
    assert platform.vms["vm1"].tally.counts["sends_beside_possible_runs_total", "safe"] == 1


def test_a_changed_route_of_an_open_request_is_logged() -> None:
    platform = make_platform(plain=2)
    call_hanging(platform, "/unsafe/x")
    platform.configure(2, [make_route("/unsafe/", "safe", PLAIN, target_latency_ms=300)])
    platform.network.run(0.5)
    [line] = list_lines(platform, "route changed")
    assert (line["admitted_kind"], line["matched_kind"], line["version"]) == ("unsafe", "safe", 2)


def test_a_rejection_is_logged_with_what_its_response_proves() -> None:
    platform = make_platform(plain=1)
    platform.upstreams["plain-0"].fault = UpstreamFault.SHED
    platform.finish(platform.call("/unsafe/x", "q", body=b"x"))
    [line] = list_lines(platform, "turned away")
    assert (line["names_request"], line["first_on_connection"]) == (True, True)
    assert not line["repeated_on_connection"]
