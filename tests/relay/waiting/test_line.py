"""Admission to the memory queue, and the order of service."""

from __future__ import annotations

from beamhatch.relay.waiting.line import MemoryQueue

NOW = 100.0


def make_queue(freed: int) -> MemoryQueue[str]:
    queue: MemoryQueue[str] = MemoryQueue()
    for _ in range(freed):
        queue.record_freed(NOW)
    return queue


def test_as_many_may_wait_as_slots_are_freed_in_time() -> None:
    queue = make_queue(freed=16)
    for number in range(2):
        assert queue.has_room(0.5, NOW)
        queue.add(f"r{number}", NOW + 0.5, NOW + 3, NOW)
    assert not queue.has_room(0.5, NOW)


def test_late_requests_take_no_room_from_those_on_time() -> None:
    queue = make_queue(freed=16)
    for number in range(20):
        queue.add(f"late{number}", NOW, NOW + 3, NOW)
    assert queue.has_room(0.5, NOW)
    assert not queue.has_on_time(NOW)
    queue.add("on time", NOW + 0.5, NOW + 3.1, NOW + 0.1)
    assert queue.list_due(NOW + 0.1) == ["on time"]
    queue.remove("on time")
    assert queue.list_due(NOW + 0.1) == ["late0"]


def test_requests_whose_waiting_time_is_over_are_due_though_not_next() -> None:
    queue = make_queue(freed=0)
    queue.add("old", NOW, NOW + 3.0, NOW)
    queue.add("newer", NOW, NOW + 4.0, NOW + 1.0)
    queue.add("on time", NOW + 9.0, NOW + 6.0, NOW + 3.0)
    assert queue.list_due(NOW + 3.5) == ["on time", "old"]
    assert queue.list_due(NOW + 4.5) == ["on time", "old", "newer"]


def test_order_is_on_time_then_late_with_precedence_then_late() -> None:
    queue = make_queue(freed=16)
    queue.add("late", NOW, NOW + 3, NOW)
    queue.add("late with precedence", NOW + 0.5, NOW + 3, NOW + 0.1, late_with_precedence=True)
    queue.add("late with precedence too", NOW + 0.5, NOW + 3, NOW + 0.2, late_with_precedence=True)
    assert not queue.has_on_time(NOW + 0.2)
    queue.add("on time", NOW + 0.7, NOW + 3, NOW + 0.2)
    queue.add("on time too", NOW + 0.8, NOW + 3, NOW + 0.3)
    assert queue.has_on_time(NOW + 0.3)
    for name in ("on time", "on time too", "late with precedence", "late with precedence too", "late"):
        assert queue.list_due(NOW + 0.3) == [name]
        queue.remove(name)


def test_late_requests_with_precedence_take_no_room_from_new_ones() -> None:
    queue = make_queue(freed=16)
    for number in range(20):
        queue.add(f"late with precedence {number}", NOW + 0.5, NOW + 3, NOW, late_with_precedence=True)
    assert queue.has_room(0.5, NOW + 0.2)
