"""Rejections that come once more, in the place of the response to a later send of the same request."""

from __future__ import annotations

import random

import pytest

from tests.support.late_copies import LateCopies, reject_once
from tests.support.platform import Caller, Platform, make_platform
from tests.support.reach_fleet import Loss, ReachFleet

NOT_RUN_STATUSES = (408, 421, 429, 503)
REQUESTS = 200
RATE_PER_S = 80.0


def call(platform: Platform, path: str, request: str, vm: str = "vm1") -> Caller:
    return platform.call(path, request, vm=vm, body=b"x" if "unsafe" in path else b"")


def make_rejecting(copies: LateCopies, phase: str, *, plain: int, decode: int = 1) -> Platform:
    """Return a platform whose upstreams of a phase reject requests."""
    platform = make_platform(plain=plain, prefill=1, decode=decode)
    for name, upstream in platform.upstreams.items():
        if name.startswith(phase):
            copies.apply_to(upstream)
    return platform


@pytest.mark.parametrize("kind", ["full", "busy"])
@pytest.mark.parametrize("path", ["/stream/x", "/resumable/x"])
def test_a_late_copy_of_a_rejection_is_taken_for_the_response_to_the_next_send_of_the_same_stream(
    path: str, kind: str
) -> None:
    copies = LateCopies(reject_once("q"), kind=kind)
    platform = make_rejecting(copies, "decode", plain=0)
    caller = platform.finish(call(platform, path, "q"))
    assert copies.rejected["q"] == 1
    assert caller.status == 200
    assert caller.whole
    assert platform.ledger.runs["q"] == 1


@pytest.mark.parametrize("path", ["/stream/x", "/resumable/x"])
def test_a_stream_is_refused_and_runs_as_its_engine_repeats_that_it_is_another_one(path: str) -> None:
    copies = LateCopies(reject_once("q"), kind="misdirected")
    platform = make_rejecting(copies, "decode", plain=0)
    caller = platform.finish(call(platform, path, "q"))
    assert copies.rejected["q"] == 1
    assert (caller.status, platform.ledger.runs["q"]) in ((503, 0), (200, 1))


@pytest.mark.parametrize("path", ["/stream/x", "/resumable/x"])
def test_a_late_copy_of_a_rejected_prompt_is_taken_for_the_response_to_its_next_prefill(path: str) -> None:
    copies = LateCopies(reject_once("q"))
    platform = make_rejecting(copies, "prefill", plain=0)
    caller = platform.finish(call(platform, path, "q"))
    assert copies.rejected["q"] == 1
    assert caller.status == 200
    assert platform.ledger.runs["q"] == 1
    assert platform.ledger.prefilled["q"] <= 1


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("engines", [1, 2])
def test_requests_run_behind_a_refusal_as_upstreams_repeat_their_rejections(engines: int, seed: int) -> None:
    drawn = random.Random(seed)
    copies = LateCopies(lambda _: drawn.random() < 0.3, lambda: drawn.random() < 0.5)
    platform = make_rejecting(copies, "", plain=2, decode=engines)
    for vm in ("vm2", "vm3"):
        platform.add_vm(vm, seeds=["vm1:8002"])
    platform.network.run(3.0)
    callers = {}
    for number in range(REQUESTS):
        request = f"q{number}"
        vm = f"vm{1 + drawn.randrange(3)}"
        callers[request] = call(platform, drawn.choice(["/unsafe/x", "/stream/x"]), request, vm)
        platform.network.run(drawn.expovariate(RATE_PER_S))
    for caller in callers.values():
        platform.finish(caller)
    assert copies.copies > REQUESTS // 10
    assert not copies.own_copies
    assert not [request for request, runs in platform.ledger.runs.items() if runs > 1]
    assert not [
        one for one, caller in callers.items() if caller.status in NOT_RUN_STATUSES and platform.ledger.runs[one]
    ]


@pytest.mark.parametrize("seed", range(3, 7))
def test_requests_run_behind_a_refusal_as_upstreams_behind_peers_repeat_their_rejections(seed: int) -> None:
    drawn = random.Random(seed)
    fleet = ReachFleet(size=3, per_hall=1, seed=seed)
    copies = LateCopies(lambda _: drawn.random() < 0.3)
    for name in ("decode-1", "decode-2"):
        fleet.platform.remove(name)
    fleet.run(1.0)
    copies.apply_to(fleet.platform.upstreams["decode-0"])
    fleet.lose(("vm0",), Loss.RESET)
    fleet.run(3.0)
    calls = []
    for _ in range(60):
        calls.append(fleet.send("vm0", drawn.choice(["/stream/x", "/unsafe/x"])))
        fleet.platform.network.run(drawn.expovariate(20.0))
    fleet.finish()
    assert copies.copies
    assert not copies.own_copies
    runs = fleet.platform.ledger.runs
    assert not [one.request for one in calls if runs[one.request] > 1]
    assert not [one.request for one in calls if one.caller.status in NOT_RUN_STATUSES and runs[one.request]]
