"""For how long a request is held, what clears it, and that all who know the same hold the same."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from beamhatch.relay.model import Fingerprint
from beamhatch.relay.quarantine.ends import MEMORY, MOST_ENDS, MOST_RUNS, BrokenRun, EndNews, UpstreamEnds
from beamhatch.relay.quarantine.quarantine import (
    GOOD_TIME,
    HOLD_TIME,
    MOST_GOOD,
    MOST_TOLD,
    Clearing,
    ClearNews,
    HoldNews,
    Quarantine,
)

DEADLY = Fingerprint(b"deadly")
OTHER = Fingerprint(b"other")


def make_news(number: int, *names: Fingerprint, age: float = 0.0) -> EndNews:
    return EndNews(f"engine-{number}", age, [BrokenRun(name, 100) for name in names])


def hold(quarantine: Quarantine, *, ends: int = 3, since: float = 10.0) -> float:
    """Have a request end some upstreams; return when it ended the last."""
    for number in range(ends):
        quarantine.take_end(make_news(number, DEADLY), since + number)
    quarantine.attribute(since + ends - 1)
    return since + ends - 1


def test_a_request_is_held_for_ten_minutes_behind_the_last_end() -> None:
    quarantine = Quarantine()
    last = hold(quarantine)
    assert quarantine.find_hold(DEADLY, last + HOLD_TIME - 0.1) is not None
    assert quarantine.find_hold(DEADLY, last + HOLD_TIME) is None
    assert quarantine.find_hold(OTHER, last) is None


def test_each_further_end_doubles_the_time_up_to_what_is_remembered() -> None:
    quarantine = Quarantine()
    last = hold(quarantine)
    for further, seconds in enumerate((2 * HOLD_TIME, 4 * HOLD_TIME, MEMORY), 3):
        last += 1.0
        quarantine.take_end(make_news(further, DEADLY), last)
        quarantine.attribute(last)
        found = quarantine.find_hold(DEADLY, last)
        assert found is not None
        assert found.until == last + seconds


def test_behind_its_time_one_more_end_is_enough() -> None:
    quarantine = Quarantine()
    last = hold(quarantine)
    later = last + HOLD_TIME + 5
    assert quarantine.take_end(make_news(9, DEADLY), later)
    assert quarantine.attribute(later) == {DEADLY: 4}
    assert quarantine.find_hold(DEADLY, later + HOLD_TIME) is not None


def test_an_end_is_known_once_whoever_tells_it() -> None:
    quarantine = Quarantine()
    for age in (0.0, 0.2, 0.5):
        quarantine.take_end(make_news(1, DEADLY, age=age), 10.0 + age)
    assert len(quarantine.ends) == 1
    assert quarantine.take_end(make_news(1, DEADLY), 14.0) is not None  # it was back, and ended again
    assert len(quarantine.ends) == 2


def test_a_good_end_clears_a_request_and_what_was_told_of_before_stays_void() -> None:
    quarantine = Quarantine()
    last = hold(quarantine)
    assert quarantine.note_good(DEADLY, last + 1) == Clearing(was_held=True, ends=3)
    assert quarantine.find_hold(DEADLY, last + 1) is None
    assert quarantine.take_end(make_news(1, DEADLY, age=2.0), last + 2) is None
    assert quarantine.attribute(last + 2) == {}
    assert quarantine.note_good(DEADLY, last + 3) is None


def test_who_knows_of_a_good_end_says_so_when_the_request_is_named_again() -> None:
    quarantine = Quarantine()
    quarantine.take_end(make_news(1, OTHER), 10.0)
    assert quarantine.note_good(OTHER, 11.0) == Clearing(was_held=False, ends=1)
    assert quarantine.list_cleared(make_news(2, OTHER, DEADLY), 14.0) == [ClearNews(OTHER, 3.0)]
    assert quarantine.list_cleared(make_news(3, OTHER, age=5.0), 14.0) == []


def test_three_ends_with_good_ends_between_add_up_at_nobody() -> None:
    """One VM knows of the good ends, the other one only of the ends and of what it is told."""
    knowing, other = Quarantine(), Quarantine()
    for number in range(6):
        now = 10.0 + 5 * number
        news = make_news(number, OTHER)
        cleared = knowing.list_cleared(news, now)
        for quarantine in (knowing, other):
            quarantine.take_end(news, now)
        for one in cleared:
            other.clear(one.fingerprint, now - one.age)
        for quarantine in (knowing, other):
            assert quarantine.attribute(now + 0.3) == {}
        knowing.note_good(OTHER, now + 1)


def test_what_breaks_behind_a_good_end_counts_anew() -> None:
    quarantine = Quarantine()
    last = hold(quarantine)
    quarantine.note_good(DEADLY, last + 1)
    hold(quarantine, since=last + 2)
    assert quarantine.find_hold(DEADLY, last + 4) is not None


def test_a_good_end_protects_for_a_minute_and_few_are_remembered() -> None:
    quarantine = Quarantine()
    quarantine.note_good(OTHER, 10.0)
    assert quarantine.is_good(OTHER, 10.0 + GOOD_TIME - 0.1)
    assert not quarantine.is_good(OTHER, 10.0 + GOOD_TIME)
    for number in range(2 * MOST_GOOD):
        quarantine.note_good(Fingerprint(str(number).encode()), 11.0)
    assert len(quarantine._good) == MOST_GOOD


def test_what_the_store_keeps_holds_until_its_time_is_over_or_the_store_keeps_it_no_more() -> None:
    quarantine = Quarantine()
    assert quarantine.take_hold(HoldNews(DEADLY, 0.0, HOLD_TIME), 10.0)
    assert not quarantine.take_hold(HoldNews(DEADLY, 3.0, HOLD_TIME - 3), 13.0)
    assert quarantine.find_hold(DEADLY, 10.0 + HOLD_TIME - 0.1) is not None
    assert quarantine.find_hold(DEADLY, 10.0 + HOLD_TIME) is None
    quarantine.end_told_but([])
    assert quarantine.find_hold(DEADLY, 11.0) is None


def test_old_words_of_the_store_hold_nothing_that_was_cleared_since() -> None:
    quarantine = Quarantine()
    quarantine.take_hold(HoldNews(DEADLY, 0.0, HOLD_TIME), 10.0)
    assert quarantine.note_good(DEADLY, 20.0) == Clearing(was_held=True, ends=0)
    assert not quarantine.take_hold(HoldNews(DEADLY, 15.0, 500.0), 21.0)
    assert quarantine.find_hold(DEADLY, 21.0) is None


def test_all_memories_are_bounded() -> None:
    quarantine = Quarantine()
    for number in range(3 * MOST_ENDS):
        runs = [BrokenRun(Fingerprint(random.randbytes(8)), 100) for _ in range(2 * MOST_RUNS)]
        quarantine.take_end(EndNews(f"engine-{number}", 0.0, runs), float(number))
        quarantine.take_hold(HoldNews(Fingerprint(random.randbytes(8)), 0.0, 100_000.0), 10.0)
    assert len(quarantine.ends) == MOST_ENDS
    assert max(len(end.runs) for end in quarantine.ends) == MOST_RUNS
    assert len(quarantine.list_told(10.0)) <= MOST_TOLD


def test_ends_are_forgotten_with_their_time() -> None:
    ends = UpstreamEnds()
    ends.take(make_news(1, DEADLY), 10.0)
    ends.forget_old(10.0 + MEMORY + 1)
    assert not len(ends)
    assert ends.take(make_news(1, DEADLY, age=MEMORY + 1), 10_000.0) is None


@given(st.permutations([(number, name) for number in range(4) for name in (DEADLY, OTHER)]))
def test_in_whatever_order_the_parts_come_the_same_is_held(parts: list[tuple[int, Fingerprint]]) -> None:
    quarantine = Quarantine()
    for step, (number, name) in enumerate(parts):
        now = 20.0 + 0.01 * step
        if name is DEADLY or number < 2:
            quarantine.take_end(make_news(number, name, age=now - 10.0 - number), now)
    assert quarantine.attribute(21.0) == {DEADLY: 4}
