"""The order of what the store tells, across its returns from copies."""

from __future__ import annotations

import pytest

from beamhatch.platform.eras import (
    SETTLE_TIME,
    Era,
    EraWatch,
    find_era,
    find_revision,
    make_position,
    read_era,
)


def test_what_is_written_behind_a_return_is_newer_whatever_its_revision() -> None:
    assert make_position(Era(2), 20) > make_position(Era(1), 314)
    assert make_position(Era(2), 21) > make_position(Era(2), 20)
    position = make_position(Era(7), 123456)
    assert (find_era(position), find_revision(position)) == (7, 123456)
    assert make_position(Era(0), 42) == 42


@pytest.mark.parametrize(
    ("word", "era"), [("3", 3), ("0", 0), ("-1", 0), ("two", 0), ("", 0), ("9999999999", 0), ("1.5", 0)]
)
def test_an_era_is_a_whole_number(word: str, era: int) -> None:
    assert read_era([("Store-Era", word)]) == era
    assert read_era([]) == 0


def test_lists_settle_behind_a_return_and_the_first_answer_is_none() -> None:
    eras = EraWatch()
    assert not eras.take(Era(3), 10.0)
    assert eras.is_settled(10.0)
    assert not eras.take(Era(3), 11.0)
    assert eras.take(Era(4), 12.0)
    assert not eras.take(Era(3), 12.1)  # an answer from before that comes late
    assert not eras.is_settled(12.0)
    assert eras.is_settled(12.0 + SETTLE_TIME)


def test_lists_settle_too_where_peers_know_an_older_era_than_the_first_answer_tells() -> None:
    eras = EraWatch()
    assert not eras.take(Era(3), 10.0)
    assert eras.may_have_come_back(10.0)
    assert not eras.may_have_come_back(10.0 + SETTLE_TIME)
    eras.note_known(Era(3), 10.1)
    assert eras.is_settled(10.1)
    eras.note_known(Era(2), 10.2)
    assert not eras.is_settled(10.2)
    assert eras.is_settled(10.2 + SETTLE_TIME)
    eras.note_known(Era(2), 15.0)  # what is believed since the last return was read once it had settled
    assert eras.is_settled(15.0)


def test_a_store_that_tells_no_era_never_comes_back() -> None:
    eras = EraWatch()
    assert not eras.take(Era(0), 10.0)
    assert not eras.may_have_come_back(10.0)
