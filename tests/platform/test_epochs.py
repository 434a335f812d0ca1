"""Tests of epochs and of the order of changes across restores."""

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


def test_positions_after_a_restore_are_higher_for_all_revisions() -> None:
    assert make_position(Epoch(2), 20) > make_position(Epoch(1), 314)
    assert make_position(Epoch(2), 21) > make_position(Epoch(2), 20)
    position = make_position(Epoch(7), 123456)
    assert (get_epoch(position), get_revision(position)) == (7, 123456)
    assert make_position(Epoch(0), 42) == 42


@pytest.mark.parametrize(
    ("word", "epoch"), [("3", 3), ("0", 0), ("-1", 0), ("two", 0), ("", 0), ("9999999999", 0), ("1.5", 0)]
)
def test_invalid_epochs_are_read_as_zero(word: str, epoch: int) -> None:
    assert read_epoch([("Store-Era", word)]) == epoch
    assert read_epoch([]) == 0


def test_lists_settle_after_a_restore_but_not_after_the_first_response() -> None:
    epochs = EpochTracker()
    assert not epochs.record(Epoch(3), 10.0)
    assert epochs.is_settled(10.0)
    assert not epochs.record(Epoch(3), 11.0)
    assert epochs.record(Epoch(4), 12.0)
    assert not epochs.record(Epoch(3), 12.1)  # a delayed response from before the restore
    assert not epochs.is_settled(12.0)
    assert epochs.is_settled(12.0 + SETTLE_TIME_S)


def test_lists_settle_if_peers_know_an_older_epoch_than_the_first_response() -> None:
    epochs = EpochTracker()
    assert not epochs.record(Epoch(3), 10.0)
    assert epochs.may_have_been_restored(10.0)
    assert not epochs.may_have_been_restored(10.0 + SETTLE_TIME_S)
    epochs.record_peer_epoch(Epoch(3), 10.1)
    assert epochs.is_settled(10.1)
    epochs.record_peer_epoch(Epoch(2), 10.2)
    assert not epochs.is_settled(10.2)
    assert epochs.is_settled(10.2 + SETTLE_TIME_S)
    epochs.record_peer_epoch(Epoch(2), 15.0)  # lists read since the last restore are complete
    assert epochs.is_settled(15.0)


def test_a_store_without_epochs_counts_as_never_restored() -> None:
    epochs = EpochTracker()
    assert not epochs.record(Epoch(0), 10.0)
    assert not epochs.may_have_been_restored(10.0)
