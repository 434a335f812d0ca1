"""When callers come back that limits kept from all of a service."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from beamhatch.relay.limits.retry_schedule import MAX_RETRY_DELAY_S, RetrySchedule

NOW = 100.0


def test_each_has_a_turn_of_its_own_at_the_pace() -> None:
    returns = RetrySchedule()
    backs = [returns.reserve(0.2, 4.0, NOW) for _ in range(10)]
    assert all(0.2 + place / 4 <= back <= 0.2 + (place + 1) / 4 for place, back in enumerate(backs))


def test_nobody_is_promised_a_turn_in_vain() -> None:
    returns = RetrySchedule()
    backs = [returns.reserve(0.2, 4.0, NOW) for _ in range(500)]
    assert max(backs) <= MAX_RETRY_DELAY_S
    later = returns.reserve(0.1, 4.0, NOW + 10)
    assert later <= 0.35  # those without a turn took none from others


@pytest.mark.parametrize("vms", [8, 74, 300])
def test_callers_of_all_vms_come_back_at_the_pace_together(vms: int) -> None:
    """2 of 3 seconds' callers that all VMs refuse at one moment: no tenth of a second has a herd."""
    random.seed(vms)
    pace = 1.0 * vms
    returns = [RetrySchedule() for _ in range(vms)]
    backs = [one.reserve(0.3, pace / vms, NOW) for one in returns for _ in range(2)]
    busiest = max(Counter(int(10 * back) for back in backs).values())
    assert busiest <= max(4, 0.25 * vms)
