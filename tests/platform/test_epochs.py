"""The order of what the store tells, across its returns from copies."""

from __future__ import annotations

import pytest

from beamhatch.platform.epochs import (
    SETTLE_TIME_S,
    Epoch,
    EpochTracker,
    get_epoch,
    get_revision,
    make_position,
    read_epoch,
)


def test_what_is_written_behind_a_return_is_newer_whatever_its_revision() -> None:
    assert make_position(Epoch(2), 20) > make_position(Epoch(1), 314)
    assert make_position(Epoch(2), 21) > make_position(Epoch(2), 20)
    position = make_position(Epoch(7), 123456)
    assert (get_epoch(position), get_revision(position)) == (7, 123456)
    assert make_position(Epoch(0), 42) == 42


@pytest.mark.parametrize(
    ("word", "epoch"), [("3", 3), ("0", 0), ("-1", 0), ("two", 0), ("", 0), ("9999999999", 0), ("1.5", 0)]
)
def test_an_epoch_is_a_whole_number(word: str, epoch: int) -> None:
    assert read_epoch([("Store-Era", word)]) == epoch
    assert read_epoch([]) == 0


def test_lists_settle_behind_a_return_and_the_first_answer_is_none() -> None:
    epochs = EpochTracker()
    assert not epochs.record(Epoch(3), 10.0)
    assert epochs.is_settled(10.0)
    assert not epochs.record(Epoch(3), 11.0)
    assert epochs.record(Epoch(4), 12.0)
    assert not epochs.record(Epoch(3), 12.1)  # an answer from before that comes late
    assert not epochs.is_settled(12.0)
    assert epochs.is_settled(12.0 + SETTLE_TIME_S)


def test_lists_settle_too_where_peers_know_an_older_epoch_than_the_first_answer_tells() -> None:
    epochs = EpochTracker()
    assert not epochs.record(Epoch(3), 10.0)
    assert epochs.may_have_been_restored(10.0)
    assert not epochs.may_have_been_restored(10.0 + SETTLE_TIME_S)
    epochs.record_peer_epoch(Epoch(3), 10.1)
    assert epochs.is_settled(10.1)
    epochs.record_peer_epoch(Epoch(2), 10.2)
    assert not epochs.is_settled(10.2)
    assert epochs.is_settled(10.2 + SETTLE_TIME_S)
    epochs.record_peer_epoch(Epoch(2), 15.0)  # what is believed since the last return was read once it had settled
    assert epochs.is_settled(15.0)


def test_a_store_that_tells_no_epoch_never_comes_back() -> None:
    epochs = EpochTracker()
    assert not epochs.record(Epoch(0), 10.0)
    assert not epochs.may_have_been_restored(10.0)
