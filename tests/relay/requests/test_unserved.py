"""What becomes of a request that no upstream can take."""

from __future__ import annotations

from dataclasses import replace

import pytest

from beamhatch.relay.requests.request import Fail, Refuse
from beamhatch.relay.requests.unserved import (
    Circumstances,
    End,
    RefuseAsCold,
    SearchOn,
    WaitForCold,
    WaitForMemory,
    decide_unserved,
)

USUAL = Circumstances(
    cold_wait_s=None,
    cold_time_left_s=0.4,
    memory_time_left_s=0.3,
    awaits_late_memory=False,
    may_search=False,
    time_left_s=9.0,
    target_latency_s=0.9,
    is_only_vm=False,
)
NONE_LEFT = Refuse("no upstream", no_upstream=True)
FAILED = Fail("no upstream", no_upstream=True)


def test_without_prospects_it_ends_as_planned() -> None:
    assert decide_unserved(NONE_LEFT, USUAL) == End(NONE_LEFT)
    assert decide_unserved(FAILED, USUAL) == End(FAILED)


def test_it_waits_for_a_cold_upstream_that_has_room_in_time() -> None:
    outcome = decide_unserved(NONE_LEFT, replace(USUAL, cold_wait_s=0.2))
    assert isinstance(outcome, WaitForCold)
    assert outcome.wait_s == 0.2
    assert outcome.after_s > 0.2


@pytest.mark.parametrize("is_only_vm", [False, True])
def test_it_is_refused_if_a_cold_upstream_has_room_too_late(is_only_vm: bool) -> None:
    outcome = decide_unserved(NONE_LEFT, replace(USUAL, cold_wait_s=2.0, is_only_vm=is_only_vm))
    assert isinstance(outcome, RefuseAsCold)
    assert outcome.retry_after_s <= 2.0


def test_one_that_may_have_run_fails_if_a_cold_upstream_has_room_too_late() -> None:
    assert decide_unserved(FAILED, replace(USUAL, cold_wait_s=2.0)) == End(FAILED, is_cold=True)


def test_it_waits_for_memory_that_may_be_granted_late() -> None:
    waiting = replace(USUAL, awaits_late_memory=True)
    assert decide_unserved(NONE_LEFT, waiting) == WaitForMemory(0.3)
    assert decide_unserved(NONE_LEFT, replace(waiting, memory_time_left_s=0.0)) == End(NONE_LEFT)
    assert decide_unserved(replace(NONE_LEFT, no_upstream=False), waiting) == End(replace(NONE_LEFT, no_upstream=False))


def test_a_stream_whose_caller_waits_goes_on_seeking() -> None:
    outcome = decide_unserved(FAILED, replace(USUAL, may_search=True))
    assert isinstance(outcome, SearchOn)
    assert outcome.obstacle == "no upstream"
