"""Paused fleets do the same in each run with one seed."""

from __future__ import annotations

import gc

from tests.support.skew_fleet import SkewFleet

Answers = list[tuple[str, float]]


def play() -> Answers:
    fleet = SkewFleet(seed=3)
    fleet.run(1.0, 40.0)
    fleet.crowded = "vm0"
    fleet.run(1.5, 160.0)
    fleet.finish()
    return [(one.connection.vm, one.first_at) for call in fleet.calls for one in call.tries]


def test_two_runs_with_one_seed_differ_as_objects_lie_elsewhere_in_memory() -> None:
    first = play()
    garbage = [object() for _ in range(100_001)]
    second = play()
    assert first
    assert first == second
    del garbage
    gc.collect()
