"""Tests of the tracking of prefill times."""

from __future__ import annotations

import pytest

from beamhatch.relay.choosing.prefill_times import PrefillTimes
from beamhatch.relay.mechanism import NONE_DISABLED, DisabledMechanisms, Mechanism
from tests.support.platform import Platform, make_platform

FAST_RATE, SLOW_RATE = 10_000.0, 6_500.0
"""Prefill rates in tokens a second, at which a prompt of 5,000 tokens takes 0.5 s and 0.77 s."""


def test_the_longest_time_in_the_window_counts() -> None:
    times = PrefillTimes()
    assert times.get_longest(10.0) == 0.0
    times.record(0.8, 10.0)
    times.record(0.2, 11.0)
    assert times.get_longest(12.0) == 0.8
    assert times.get_longest(14.5) == 0.2
    assert times.get_longest(16.0) == 0.0


def set_prefill_rate(platform: Platform, rate: float) -> None:
    for name in ("prefill-0", "prefill-1"):
        platform.upstreams[name].prefill_rate = rate  # type: ignore[attr-defined]


@pytest.mark.parametrize(("without", "max_prompts"), [(NONE_DISABLED, 8), (frozenset({Mechanism.PREFILL_TIMES}), 16)])
def test_prompts_at_engines_that_slow_down_are_prefilled_once(without: DisabledMechanisms, max_prompts: int) -> None:
    """Without recent prefill times, prompts at engines that slow down are prefilled twice."""
    platform = make_platform(without=without)
    set_prefill_rate(platform, FAST_RATE)
    platform.finish(platform.call("/stream/x", "first"))
    set_prefill_rate(platform, SLOW_RATE)
    prompts = 0
    for number in range(8):
        request = f"q{number}"
        assert platform.finish(platform.call("/stream/x", request)).status == 200
        platform.network.run(0.2)
        prompts += platform.ledger.prefilled[request] + platform.ledger.cancelled[request]
    assert prompts <= max_prompts
    if without:
        assert prompts > 8


def test_an_unresponsive_engine_is_abandoned_soon() -> None:
    platform = make_platform()
    platform.finish(platform.call("/stream/x", "first"))
    platform.network.cut("host-prefill-0")
    for number in range(4):
        caller = platform.call("/stream/x", f"q{number}")
        begun = platform.clock.now()
        platform.network.run_until(lambda: b"id: 1" in caller.received)  # noqa: B023
        assert platform.clock.now() - begun < 0.95
        platform.finish(caller)
