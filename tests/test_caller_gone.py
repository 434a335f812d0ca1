"""No engine memory is held for a caller that is gone, whatever the state of its request."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import pytest

from tests.support.call import OpenCall, complete
from tests.support.process import wait_until

if TYPE_CHECKING:
    from tests.support.hall import Hall

LONG = "long prompt " * 2000
"""About 6,000 tokens."""


def wait_state(hall: Hall, vm: str, state: str) -> None:
    wait_until(lambda: state in [row["state"] for row in hall.admin(vm, "/requests")], f"a request is {state}")


@pytest.mark.parametrize(
    ("state", "engine", "faults"),
    [
        ("prefilling", {"prefill_rate": 300}, {}),
        ("transferring", {"link_rate": 3000, "export_life": 30}, {}),
        ("transferring", {"export_life": 30}, {"stall_transfer": 1}),
        ("decoding", {"pace": 0.1}, {}),
    ],
)
def test_memory_is_freed_when_the_caller_leaves_and_cancels_are_lost(
    hall: Hall, state: str, engine: dict[str, float], faults: dict[str, int]
) -> None:
    hall.start(vms=1, prefill=1, decode=1, services=0, engine=engine, timing={"first_frame_limit": 20})
    for name in ("prefill-1", "decode-1"):
        hall.fault(name, lose_cancel=3, **faults)
    caller = OpenCall(hall.ports["vm-1"]).send(LONG, 300)
    wait_state(hall, "vm-1", state)
    # A state begins when the router sends; the engine holds memory when it has read that.
    wait_until(lambda: hall.count_held() > 0, "an engine holds memory")
    assert [row["state"] for row in hall.admin("vm-1", "/requests")] == [state]
    caller.leave()
    hall.wait_nothing_held(limit=6)
    assert hall.admin("vm-1", "/requests") == []


def test_a_queued_request_leaves_the_queue_with_its_caller(hall: Hall) -> None:
    hall.start(vms=1, prefill=1, decode=1, services=0, engine={"capacity": 7000, "pace": 0.1})
    first = OpenCall(hall.ports["vm-1"]).send(LONG, 300)
    wait_state(hall, "vm-1", "decoding")
    second = OpenCall(hall.ports["vm-1"]).send(LONG + "second", 300, Beamhatch_First_Token_Target="60")
    wait_state(hall, "vm-1", "queued")
    assert hall.read_metric("vm-1", "beamhatch_queued_requests") == 1
    second.leave()
    wait_until(lambda: len(hall.admin("vm-1", "/requests")) == 1, "the queue is empty")
    assert hall.read_metric("vm-1", "beamhatch_queued_requests") == 0
    first.leave()
    hall.wait_nothing_held()
    assert sum(hall.judge("prefill-1")["prefills"].values()) == 1


def test_memory_is_freed_when_the_router_is_killed(hall: Hall) -> None:
    hall.start(vms=3, services=0, engine={"pace": 0.1})
    callers = [OpenCall(hall.ports["vm-1"]).send(f"{LONG} {number}", 400) for number in range(3)]
    wait_until(lambda: [row["state"] for row in hall.admin("vm-1", "/requests")] == ["decoding"] * 3, "all decode")
    hall.programs["vm-1"].kill()
    hall.wait_nothing_held(limit=8)
    for caller in callers:
        caller.leave()


def test_memory_is_freed_when_the_router_is_frozen_and_woken(hall: Hall) -> None:
    hall.start(vms=3, services=0, engine={"pace": 0.1})
    caller = OpenCall(hall.ports["vm-1"]).send(LONG, 400)
    caller.read_until(b"/2\n")
    frozen = hall.programs["vm-1"]
    frozen.signal(signal.SIGSTOP)
    hall.wait_nothing_held(limit=8)
    frozen.signal(signal.SIGCONT)
    received = caller.read_until(b"retry_after")
    assert b"[DONE]" not in received
    assert b"event: error" in received
    caller.leave()
    hall.wait_formed()
    assert complete(hall.ports["vm-1"], "afterwards", 3).status == 200
    hall.wait_nothing_held()


def test_a_caller_that_stops_reading_is_taken_as_gone(hall: Hall) -> None:
    hall.start(
        vms=1, prefill=1, decode=1, services=0, engine={"pace": 0.0002, "capacity": 90000}, timing={"stall_limit": 0.5}
    )
    caller = OpenCall(hall.ports["vm-1"]).send("silent", 60000)
    caller.read_until(b"/2\n")
    wait_until(lambda: hall.admin("vm-1", "/requests") == [], "the silent caller is given up", 90)
    hall.wait_nothing_held()
    caller.leave()
