"""Splitting and checking of event streams."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beamhatch.relay.upstreams.events import MAX_EVENT_BYTES, EventChecker, StreamError


def make_stream(first: int, last: int) -> bytes:
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in range(first, last + 1))


@given(st.lists(st.integers(1, 30), max_size=20), st.integers(0, 40))
def test_passes_whole_events_on_however_the_bytes_are_cut(cuts: list[int], first: int) -> None:
    stream = make_stream(first + 1, first + 9)
    checker = EventChecker(first)
    passed = b""
    rest = stream
    for cut in cuts:
        events = checker.feed(rest[:cut])
        rest = rest[cut:]
        passed += events.data
        assert passed.endswith(b"\n\n") or not passed
    passed += checker.feed(rest).data
    assert passed == stream
    assert checker.is_complete


@pytest.mark.parametrize("ids", [[1, 3], [1, 1], [2, 1]])
def test_event_out_of_sequence_raises(ids: list[int]) -> None:
    checker = EventChecker(None)
    with pytest.raises(StreamError):
        checker.feed(b"".join(make_stream(number, number) for number in ids))


def test_resumed_stream_starts_after_the_last_event_of_the_caller() -> None:
    checker = EventChecker(4)
    with pytest.raises(StreamError):
        checker.feed(make_stream(4, 4))


def test_partial_event_is_not_complete() -> None:
    checker = EventChecker(None)
    assert checker.feed(make_stream(1, 1) + b"id: 2\nda").last_id == 1
    assert not checker.is_complete


@pytest.mark.parametrize("unit", [b": nothing\n\n", b"\n\n"])
def test_bytes_without_an_event_are_bounded_and_told_apart(unit: bytes) -> None:
    checker = EventChecker(None)
    checker.feed(make_stream(1, 1))
    passed = checker.feed(100 * unit)
    assert passed.data == 100 * unit
    assert not passed.has_events
    assert checker.feed(unit + make_stream(2, 2)).has_events
    with pytest.raises(StreamError):
        checker.feed((MAX_EVENT_BYTES // len(unit) + 1) * unit)


def test_more_events_than_the_stream_may_have_raise() -> None:
    checker = EventChecker(None, max_events=3)
    checker.feed(make_stream(1, 3))
    with pytest.raises(StreamError):
        checker.feed(make_stream(4, 4))
