"""A machine that is suspended: the time goes on, and the timers, which stood still, are made up for."""

from __future__ import annotations

from typing import Any

from twisted.internet import task

from tests.support.network import SuspendableClock


def make_clock() -> SuspendableClock:
    return SuspendableClock(task.Clock())


def test_timers_that_came_due_while_suspended_are_called_with_the_first_that_is_set_behind_it() -> None:
    clock = make_clock()
    called: list[str] = []
    clock.call_later(5.0, called.append, "early")
    clock.call_later(20.0, called.append, "late")
    clock.suspended += 8.0
    clock.call_later(0.1, called.append, "new")
    clock.reactor.advance(0.01)
    assert called == ["early"]
    clock.reactor.advance(0.1)
    assert called == ["early", "new"]
    clock.reactor.advance(11.8)
    assert called == ["early", "new"]
    clock.reactor.advance(0.2)
    assert called == ["early", "new", "late"]


def test_suspended_twice_each_time_counts() -> None:
    clock = make_clock()
    called: list[str] = []
    clock.call_later(10.0, called.append, "x")
    for _ in range(2):
        clock.suspended += 4.0
        clock.call_later(0.0, called.append, "tick")
        clock.reactor.advance(0.0)
    clock.reactor.advance(1.9)
    assert "x" not in called
    clock.reactor.advance(0.2)
    assert "x" in called


def test_cancelled_timers_stay_cancelled_and_small_differences_move_nothing() -> None:
    clock = make_clock()
    called: list[Any] = []
    timer = clock.call_later(1.0, called.append, "no")
    other = clock.call_later(1.0, called.append, "yes")
    timer.cancel()
    clock.suspended += 0.001
    clock.call_later(0.0, called.append, "tick")
    assert other.getTime() == 1.0
    clock.suspended += 2.0
    clock.call_later(0.0, called.append, "tick")
    clock.reactor.advance(0.0)
    assert "no" not in called
    assert "yes" in called
