"""Requests that are open while the routes change."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest

from beamhatch.platform.standin.upstream import UpstreamFault
from tests.support.platform import MODEL, PLAIN, Platform, make_platform, make_route

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.platform.standin.upstream import StandInUpstream
    from tests.support.platform import Caller

Routes = list[dict[str, object]]

OLD_TIMEOUT_MS, NEW_TIMEOUT_MS = 4000, 5000
BUDGET_WINDOW_S = 10.0
"""Seconds behind its start after which a VM has its whole budget for retries."""

STREAM = "/stream/a/x"
PLAIN_PATH = "/unsafe/a/x"

RESUMABLE = {"resumable": True, "timeout_ms": NEW_TIMEOUT_MS}
ONE_STREAM = {"max_attempts": 1, "timeout_ms": OLD_TIMEOUT_MS}
SAFE = {"target_latency_ms": 300, "timeout_ms": NEW_TIMEOUT_MS}
UNSAFE = {"target_latency_ms": 300, "timeout_ms": OLD_TIMEOUT_MS, "max_attempts": 1}


@dataclass(frozen=True)
class Change:
    """Routes before and after a change of the configuration, and the path of a request that is open meanwhile."""

    before: Routes
    after: Routes
    path: str


def make_stream_route(prefix: str, *, repeats: bool, **changes: object) -> dict[str, object]:
    return make_route(prefix, "streaming", MODEL, **{**(RESUMABLE if repeats else ONE_STREAM), **changes})


def make_plain_route(prefix: str, *, repeats: bool, **changes: object) -> dict[str, object]:
    return make_route(prefix, "safe" if repeats else "unsafe", PLAIN, **{**(SAFE if repeats else UNSAFE), **changes})


def list_changes(make: Callable[..., dict[str, object]], path: str, *, repeats_after: bool) -> dict[str, Change]:
    """Return the ways in which routes of one kind of service may come to allow repeats, or to forbid them."""
    short, long = f"/{path.split('/')[1]}/", f"/{path.split('/')[1]}/a/"
    old, new = not repeats_after, repeats_after
    return {
        "longer-above": Change([make(short, repeats=old)], [make(short, repeats=old), make(long, repeats=new)], path),
        "shorter-left": Change([make(short, repeats=new), make(long, repeats=old)], [make(short, repeats=new)], path),
        "same-prefix": Change([make(short, repeats=old)], [make(short, repeats=new)], path),
        "equal-timeout": Change(
            [make(short, repeats=old, timeout_ms=NEW_TIMEOUT_MS)],
            [make(short, repeats=new, timeout_ms=NEW_TIMEOUT_MS)],
            path,
        ),
    }


def list_all_changes(*, repeats_after: bool) -> dict[str, Change]:
    streams = list_changes(make_stream_route, STREAM, repeats_after=repeats_after)
    plain = list_changes(make_plain_route, PLAIN_PATH, repeats_after=repeats_after)
    return {
        **{f"stream-{name}": change for name, change in streams.items()},
        **{f"plain-{name}": change for name, change in plain.items()},
    }


RELAXED = list_all_changes(repeats_after=True)
RESTRICTED = list_all_changes(repeats_after=False)


def hang(platform: Platform, upstream: StandInUpstream) -> None:
    upstream.fault = UpstreamFault.HANG


def freeze(platform: Platform, upstream: StandInUpstream) -> None:
    upstream.pause_for(3.0)


def silence(platform: Platform, upstream: StandInUpstream) -> None:
    platform.network.silence_connections(lambda one: upstream.address.host in (one.host, one.peer_host))


def cut(platform: Platform, upstream: StandInUpstream) -> None:
    platform.network.cut(upstream.address.host)


def crash_later(platform: Platform, upstream: StandInUpstream) -> None:
    upstream.fault = UpstreamFault.HANG
    platform.network.callLater(0.2, upstream.crash)


FAULTS = {"hangs": hang, "frozen": freeze, "silent": silence, "cut": cut, "crashes": crash_later}


def start_request(change: Change) -> tuple[Platform, Caller, StandInUpstream]:
    """Return a platform, and a request that one of its upstreams has begun to run."""
    platform = make_platform(plain=3, prefill=1, decode=3)
    platform.configure(2, change.before)
    platform.network.run(BUDGET_WINDOW_S + 1.0)
    body = b"x" if change.path == PLAIN_PATH else b""
    caller = platform.call(change.path, "q", body=body, headers={"Token-Count": "5000,100"})
    platform.network.run_until(lambda: platform.ledger.runs["q"])
    running = [one for one in platform.upstreams.values() if any(run.request == "q" for run in one.runs)]
    return platform, caller, running[0]


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("change", RELAXED)
def test_a_request_that_may_run_once_runs_twice_as_its_path_gets_a_route_that_allows_repeats(
    change: str, fault: str
) -> None:
    platform, caller, upstream = start_request(RELAXED[change])
    FAULTS[fault](platform, upstream)
    platform.network.run(0.05)
    platform.configure(3, RELAXED[change].after)
    platform.finish(caller)
    assert platform.ledger.runs["q"] == 1


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("change", RESTRICTED)
def test_a_request_runs_again_though_its_path_has_a_route_by_now_that_forbids_repeats(change: str, fault: str) -> None:
    platform, caller, upstream = start_request(RESTRICTED[change])
    FAULTS[fault](platform, upstream)
    platform.network.run(0.05)
    platform.configure(3, RESTRICTED[change].after)
    platform.finish(caller)
    assert platform.ledger.runs["q"] == 1


@pytest.mark.parametrize("change", [name for name in RESTRICTED if name.startswith("plain")])
def test_a_second_send_that_waits_for_its_connection_is_made_though_repeats_are_forbidden_by_now(change: str) -> None:
    platform, caller, upstream = start_request(RESTRICTED[change])
    upstream.fault = UpstreamFault.HANG
    platform.network.find_delay = lambda here, there: 0.1 if "plain" in here + there else 0.001
    events = platform.journals["vm1"].list_events
    platform.network.run_until(lambda: "silent" in events("q"))
    platform.network.run(0.02)
    platform.configure(3, RESTRICTED[change].after)
    platform.finish(caller)
    assert platform.ledger.arrivals["q"] == 1


def test_a_failure_that_says_not_run_is_passed_on_though_its_request_may_have_run_once_only_by_now() -> None:
    change = RESTRICTED["plain-equal-timeout"]
    platform, caller, upstream = start_request(change)
    upstream.fault = UpstreamFault.UNCONFIRMED
    others = [one for one in platform.upstreams.values() if one is not upstream]
    for other in others:
        other.fault = UpstreamFault.HANG
    platform.network.run_until(lambda: platform.ledger.runs["q"] == 2)
    platform.configure(3, change.after)
    platform.network.run(0.1)
    for other in others:
        other.crash()
    platform.finish(caller)
    assert caller.status == 502
