"""Tests of the retry times of callers refused because of rate limits."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from beamhatch.relay.limits.returns import MAX_RETRY_DELAY_S, RetrySchedule

NOW = 100.0


def test_each_caller_gets_its_own_slot() -> None:
    schedule = RetrySchedule()
    delays = [schedule.reserve(0.2, 4.0, NOW) for _ in range(10)]
    assert all(0.2 + position / 4 <= delay <= 0.2 + (position + 1) / 4 for position, delay in enumerate(delays))


def test_slots_beyond_the_longest_delay_are_not_reserved() -> None:
    schedule = RetrySchedule()
    delays = [schedule.reserve(0.2, 4.0, NOW) for _ in range(500)]
    assert max(delays) <= MAX_RETRY_DELAY_S
    later = schedule.reserve(0.1, 4.0, NOW + 10)
    assert later <= 0.35  # callers without a slot reserved none


@pytest.mark.parametrize("vms", [8, 74, 300])
def test_retries_of_all_vms_are_spread(vms: int) -> None:
    """Retries of callers that all VMs refuse at once must not cluster."""
    random.seed(vms)
    rate = 1.0 * vms
    schedules = [RetrySchedule() for _ in range(vms)]
    delays = [one.reserve(0.3, rate / vms, NOW) for one in schedules for _ in range(2)]
    busiest = max(Counter(int(10 * delay) for delay in delays).values())
    assert busiest <= max(4, 0.25 * vms)
