"""The line for decode memory."""

from __future__ import annotations

from beamhatch.relay.requests.memory_queue import MemoryQueue

NOW = 100.0


def make_line(freed: int) -> MemoryQueue[str]:
    line: MemoryQueue[str] = MemoryQueue()
    for _ in range(freed):
        line.record_freed(NOW)
    return line


def test_as_many_may_wait_as_places_come_free_in_time() -> None:
    line = make_line(freed=16)
    for number in range(2):
        assert line.has_room(0.5, NOW)
        line.join(f"r{number}", NOW + 0.5, NOW + 3, NOW)
    assert not line.has_room(0.5, NOW)


def test_those_that_are_late_take_no_room_from_those_that_are_not() -> None:
    line = make_line(freed=16)
    for number in range(20):
        line.join(f"late{number}", NOW, NOW + 3, NOW)
    assert line.has_room(0.5, NOW)
    assert not line.has_on_time(NOW)
    line.join("fresh", NOW + 0.5, NOW + 3.1, NOW + 0.1)
    assert line.list_due(NOW + 0.1) == ["fresh"]
    line.leave("fresh")
    assert line.list_due(NOW + 0.1) == ["late0"]


def test_those_that_waited_for_long_are_given_an_end_though_it_is_not_their_turn() -> None:
    line = make_line(freed=0)
    line.join("old", NOW, NOW + 3.0, NOW)
    line.join("newer", NOW, NOW + 4.0, NOW + 1.0)
    line.join("fresh", NOW + 9.0, NOW + 6.0, NOW + 3.0)
    assert line.list_due(NOW + 3.5) == ["fresh", "old"]
    assert line.list_due(NOW + 4.5) == ["fresh", "old", "newer"]


def test_those_that_can_be_in_time_go_before_those_that_are_owed_a_place_and_these_before_late_ones() -> None:
    line = make_line(freed=16)
    line.join("late", NOW, NOW + 3, NOW)
    line.join("owed", NOW + 0.5, NOW + 3, NOW + 0.1, precedes_late=True)
    line.join("owed too", NOW + 0.5, NOW + 3, NOW + 0.2, precedes_late=True)
    assert not line.has_on_time(NOW + 0.2)
    line.join("fresh", NOW + 0.7, NOW + 3, NOW + 0.2)
    line.join("fresh too", NOW + 0.8, NOW + 3, NOW + 0.3)
    assert line.has_on_time(NOW + 0.3)
    for name in ("fresh", "fresh too", "owed", "owed too", "late"):
        assert line.list_due(NOW + 0.3) == [name]
        line.leave(name)


def test_those_that_are_owed_a_place_take_no_room_from_newcomers() -> None:
    line = make_line(freed=16)
    for number in range(20):
        line.join(f"owed{number}", NOW + 0.5, NOW + 3, NOW, precedes_late=True)
    assert line.has_room(0.5, NOW + 0.2)
