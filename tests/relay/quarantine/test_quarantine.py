"""For how long a request is held, what clears it, and that all who know the same hold the same."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from beamhatch.relay.model import Fingerprint
from beamhatch.relay.quarantine.crashes import (
    MAX_CRASHES,
    MAX_RUNS,
    RETENTION_S,
    BrokenRun,
    CrashUpdate,
    UpstreamCrashes,
)
from beamhatch.relay.quarantine.quarantine import (
    HOLD_S,
    MAX_STORED_HOLDS,
    MAX_SUCCESSES,
    SUCCESS_GRACE_S,
    ClearResult,
    ClearUpdate,
    HoldUpdate,
    Quarantine,
)

DEADLY = Fingerprint(b"deadly")
OTHER = Fingerprint(b"other")


def make_news(number: int, *names: Fingerprint, age: float = 0.0) -> CrashUpdate:
    return CrashUpdate(f"engine-{number}", age, [BrokenRun(name, 100) for name in names])


def hold(quarantine: Quarantine, *, ends: int = 3, since: float = 10.0) -> float:
    """Have a request end some upstreams; return when it ended the last."""
    for number in range(ends):
        quarantine.apply_crash(make_news(number, DEADLY), since + number)
    quarantine.attribute(since + ends - 1)
    return since + ends - 1


def test_a_request_is_held_for_ten_minutes_behind_the_last_end() -> None:
    quarantine = Quarantine()
    last = hold(quarantine)
    assert quarantine.get_hold(DEADLY, last + HOLD_S - 0.1) is not None
    assert quarantine.get_hold(DEADLY, last + HOLD_S) is None
    assert quarantine.get_hold(OTHER, last) is None


def test_each_further_end_doubles_the_time_up_to_what_is_remembered() -> None:
    quarantine = Quarantine()
    last = hold(quarantine)
    for further, seconds in enumerate((2 * HOLD_S, 4 * HOLD_S, RETENTION_S), 3):
        last += 1.0
        quarantine.apply_crash(make_news(further, DEADLY), last)
        quarantine.attribute(last)
        found = quarantine.get_hold(DEADLY, last)
        assert found is not None
        assert found.until == last + seconds


def test_behind_its_time_one_more_end_is_enough() -> None:
    quarantine = Quarantine()
    last = hold(quarantine)
    later = last + HOLD_S + 5
    assert quarantine.apply_crash(make_news(9, DEADLY), later)
    assert quarantine.attribute(later) == {DEADLY: 4}
    assert quarantine.get_hold(DEADLY, later + HOLD_S) is not None


def test_an_end_is_known_once_whoever_tells_it() -> None:
    quarantine = Quarantine()
    for age in (0.0, 0.2, 0.5):
        quarantine.apply_crash(make_news(1, DEADLY, age=age), 10.0 + age)
    assert len(quarantine.crashes) == 1
    assert quarantine.apply_crash(make_news(1, DEADLY), 14.0) is not None  # it was back, and ended again
    assert len(quarantine.crashes) == 2


def test_a_good_end_clears_a_request_and_what_was_told_of_before_stays_void() -> None:
    quarantine = Quarantine()
    last = hold(quarantine)
    assert quarantine.record_success(DEADLY, last + 1) == ClearResult(was_held=True, crash_count=3)
    assert quarantine.get_hold(DEADLY, last + 1) is None
    assert quarantine.apply_crash(make_news(1, DEADLY, age=2.0), last + 2) is None
    assert quarantine.attribute(last + 2) == {}
    assert quarantine.record_success(DEADLY, last + 3) is None


def test_who_knows_of_a_good_end_says_so_when_the_request_is_named_again() -> None:
    quarantine = Quarantine()
    quarantine.apply_crash(make_news(1, OTHER), 10.0)
    assert quarantine.record_success(OTHER, 11.0) == ClearResult(was_held=False, crash_count=1)
    assert quarantine.list_clear_updates(make_news(2, OTHER, DEADLY), 14.0) == [ClearUpdate(OTHER, 3.0)]
    assert quarantine.list_clear_updates(make_news(3, OTHER, age=5.0), 14.0) == []


def test_three_ends_with_good_ends_between_add_up_at_nobody() -> None:
    """One VM knows of the good ends, the other one only of the ends and of what it is told."""
    knowing, other = Quarantine(), Quarantine()
    for number in range(6):
        now = 10.0 + 5 * number
        news = make_news(number, OTHER)
        cleared = knowing.list_clear_updates(news, now)
        for quarantine in (knowing, other):
            quarantine.apply_crash(news, now)
        for one in cleared:
            other.clear(one.fingerprint, now - one.age)
        for quarantine in (knowing, other):
            assert quarantine.attribute(now + 0.3) == {}
        knowing.record_success(OTHER, now + 1)


def test_what_breaks_behind_a_good_end_counts_anew() -> None:
    quarantine = Quarantine()
    last = hold(quarantine)
    quarantine.record_success(DEADLY, last + 1)
    hold(quarantine, since=last + 2)
    assert quarantine.get_hold(DEADLY, last + 4) is not None


def test_a_good_end_protects_for_a_minute_and_few_are_remembered() -> None:
    quarantine = Quarantine()
    quarantine.record_success(OTHER, 10.0)
    assert quarantine.succeeded_recently(OTHER, 10.0 + SUCCESS_GRACE_S - 0.1)
    assert not quarantine.succeeded_recently(OTHER, 10.0 + SUCCESS_GRACE_S)
    for number in range(2 * MAX_SUCCESSES):
        quarantine.record_success(Fingerprint(str(number).encode()), 11.0)
    assert len(quarantine._successes) == MAX_SUCCESSES


def test_what_the_store_keeps_holds_until_its_time_is_over_or_the_store_keeps_it_no_more() -> None:
    quarantine = Quarantine()
    assert quarantine.apply_stored_hold(HoldUpdate(DEADLY, 0.0, HOLD_S), 10.0)
    assert not quarantine.apply_stored_hold(HoldUpdate(DEADLY, 3.0, HOLD_S - 3), 13.0)
    assert quarantine.get_hold(DEADLY, 10.0 + HOLD_S - 0.1) is not None
    assert quarantine.get_hold(DEADLY, 10.0 + HOLD_S) is None
    quarantine.retain_stored([])
    assert quarantine.get_hold(DEADLY, 11.0) is None


def test_old_words_of_the_store_hold_nothing_that_was_cleared_since() -> None:
    quarantine = Quarantine()
    quarantine.apply_stored_hold(HoldUpdate(DEADLY, 0.0, HOLD_S), 10.0)
    assert quarantine.record_success(DEADLY, 20.0) == ClearResult(was_held=True, crash_count=0)
    assert not quarantine.apply_stored_hold(HoldUpdate(DEADLY, 15.0, 500.0), 21.0)
    assert quarantine.get_hold(DEADLY, 21.0) is None


def test_all_memories_are_bounded() -> None:
    quarantine = Quarantine()
    for number in range(3 * MAX_CRASHES):
        runs = [BrokenRun(Fingerprint(random.randbytes(8)), 100) for _ in range(2 * MAX_RUNS)]
        quarantine.apply_crash(CrashUpdate(f"engine-{number}", 0.0, runs), float(number))
        quarantine.apply_stored_hold(HoldUpdate(Fingerprint(random.randbytes(8)), 0.0, 100_000.0), 10.0)
    assert len(quarantine.crashes) == MAX_CRASHES
    assert max(len(end.run_durations) for end in quarantine.crashes) == MAX_RUNS
    assert len(quarantine.list_stored(10.0)) <= MAX_STORED_HOLDS


def test_ends_are_forgotten_with_their_time() -> None:
    ends = UpstreamCrashes()
    ends.apply_update(make_news(1, DEADLY), 10.0)
    ends.remove_expired(10.0 + RETENTION_S + 1)
    assert not len(ends)
    assert ends.apply_update(make_news(1, DEADLY, age=RETENTION_S + 1), 10_000.0) is None


@given(st.permutations([(number, name) for number in range(4) for name in (DEADLY, OTHER)]))
def test_in_whatever_order_the_parts_come_the_same_is_held(parts: list[tuple[int, Fingerprint]]) -> None:
    quarantine = Quarantine()
    for step, (number, name) in enumerate(parts):
        now = 20.0 + 0.01 * step
        if name is DEADLY or number < 2:
            quarantine.apply_crash(make_news(number, name, age=now - 10.0 - number), now)
    assert quarantine.attribute(21.0) == {DEADLY: 4}
