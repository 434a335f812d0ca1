"""How long prompts took of late."""

from __future__ import annotations

import pytest

from beamhatch.relay.choosing.read_times import ReadTimes
from beamhatch.relay.mechanism import NONE_DISABLED, DisabledMechanisms, Mechanism
from tests.support.platform import Platform, make_platform

CALM, BUSY = 10_000.0, 6_500.0
"""Prompt tokens a second at which a prompt of 5,000 takes 0.5 s, and 0.77 s."""


def test_the_slowest_counts_for_some_seconds() -> None:
    times = ReadTimes()
    assert times.find_slowest(10.0) == 0.0
    times.note(0.8, 10.0)
    times.note(0.2, 11.0)
    assert times.find_slowest(12.0) == 0.8
    assert times.find_slowest(14.5) == 0.2
    assert times.find_slowest(16.0) == 0.0


def make_slower(platform: Platform, rate: float) -> None:
    for name in ("prefill-0", "prefill-1"):
        platform.upstreams[name].read_rate = rate  # type: ignore[attr-defined]


@pytest.mark.parametrize(("without", "most"), [(NONE_DISABLED, 8), (frozenset({Mechanism.PREFILL_TIMES}), 16)])
def test_prompts_at_engines_that_turn_busy_are_read_once(without: DisabledMechanisms, most: int) -> None:
    """Eight callers while engines slow down: without the times of late, prompts are read twice."""
    platform = make_platform(without=without)
    make_slower(platform, CALM)
    platform.finish(platform.call("/stream/x", "first"))
    make_slower(platform, BUSY)
    prompts = 0
    for number in range(8):
        request = f"q{number}"
        assert platform.finish(platform.call("/stream/x", request)).status == 200
        platform.network.run(0.2)
        prompts += platform.ledger.prefilled[request] + platform.ledger.stopped[request]
    assert prompts <= most
    if without:
        assert prompts > 8


def test_an_engine_that_is_silent_is_left_soon() -> None:
    platform = make_platform()
    platform.finish(platform.call("/stream/x", "first"))
    platform.network.cut("host-prefill-0")
    for number in range(4):
        caller = platform.call("/stream/x", f"q{number}")
        begun = platform.clock.now()
        platform.network.run_until(lambda: b"id: 1" in caller.received)  # noqa: B023
        assert platform.clock.now() - begun < 0.95
        platform.finish(caller)
