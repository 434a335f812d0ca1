"""Tests of the decision over all resources, and of those that are not the link."""

from __future__ import annotations

from beamhatch.relay.overload.api import Resource, ResourceName
from beamhatch.relay.overload.counted import CountedResource
from beamhatch.relay.overload.gate import SHEDDING_HOLD_S, ConnectionGate
from beamhatch.relay.overload.processor import LATE_TICKS, MAX_DELAY_S, LoopDelay


class _Used:
    """A number of units that a test sets."""

    def __init__(self) -> None:
        self.units = 0

    def count(self) -> int:
        """Return it."""
        return self.units


def make_gate(*resources: Resource, alone: bool = False) -> ConnectionGate:
    gate = ConnectionGate(resources)
    gate.is_alone = lambda: alone
    return gate


def test_the_first_exhausted_resource_is_named() -> None:
    used = _Used()
    delay = LoopDelay()
    gate = make_gate(delay, CountedResource(ResourceName.DESCRIPTORS, 100, used.count))
    assert gate.find_exhausted(0.0) is None
    used.units = 100
    assert gate.find_exhausted(0.0) is ResourceName.DESCRIPTORS
    for _ in range(LATE_TICKS):
        delay.record_tick(2 * MAX_DELAY_S)
    assert gate.find_exhausted(0.0) is ResourceName.PROCESSOR


def test_a_vm_counts_as_shedding_for_a_moment() -> None:
    used = _Used()
    gate = make_gate(CountedResource(ResourceName.MEMORY, 100, used.count))
    assert not gate.is_shedding(0.0)
    used.units = 100
    gate.find_exhausted(1.0)
    used.units = 0
    gate.find_exhausted(1.5)
    assert gate.is_shedding(1.0 + SHEDDING_HOLD_S / 2)
    assert not gate.is_shedding(1.0 + SHEDDING_HOLD_S)


def test_callers_are_released_only_where_another_vm_has_room() -> None:
    full = CountedResource(ResourceName.MEMORY, 100, lambda: 100)
    for alone in (False, True):
        gate = make_gate(full, alone=alone)
        gate.find_exhausted(0.0)
        assert gate.should_release_callers(0.0) is not alone


def test_one_long_callback_does_not_exhaust_the_processor() -> None:
    delay = LoopDelay()
    for seconds in (0.0, 3.0, 0.0):
        delay.record_tick(seconds)
    assert delay.has_room(0.0, alone=False)


def test_a_busy_processor_refuses_nobody_where_no_other_vm_has_room() -> None:
    delay = LoopDelay()
    for _ in range(LATE_TICKS):
        delay.record_tick(1.0)
    assert not delay.has_room(0.0, alone=False)
    assert delay.has_room(0.0, alone=True)


def test_an_unknown_limit_allows_everything() -> None:
    assert CountedResource(ResourceName.DESCRIPTORS, 0, lambda: 10**9).has_room(0.0, alone=False)
