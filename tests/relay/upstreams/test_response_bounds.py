"""Bounds of what is received in response to one call."""

from __future__ import annotations

import pytest

from beamhatch.relay.upstreams.response_bounds import (
    MAX_OVERHEAD_BYTES,
    MAX_SKIPPED_RESPONSES,
    Excess,
    ResponseBounds,
)


def test_a_body_is_bounded_by_its_size() -> None:
    bounds = ResponseBounds(max_body_bytes=100)
    bounds.record_body(100)
    assert bounds.find_excess() is None
    bounds.record_body(1)
    assert bounds.find_excess() is Excess.BODY


def test_a_body_that_the_receiver_bounds_may_be_of_any_size() -> None:
    bounds = ResponseBounds(max_body_bytes=None)
    for _ in range(100):
        bounds.record_received(1_100_000)
        bounds.record_body(1_000_000)
    assert bounds.find_excess() is None


@pytest.mark.parametrize("body", [0, 1000])
def test_bytes_beside_the_body_are_bounded(body: int) -> None:
    bounds = ResponseBounds()
    bounds.record_body(body)
    bounds.record_received(2 * body + MAX_OVERHEAD_BYTES)
    assert bounds.find_excess() is None
    bounds.record_received(1)
    assert bounds.find_excess() is Excess.OVERHEAD


def test_skipped_responses_are_bounded_however_small_they_are() -> None:
    bounds = ResponseBounds()
    for _ in range(MAX_SKIPPED_RESPONSES):
        bounds.record_skipped()
    assert bounds.find_excess() is None
    bounds.record_skipped()
    assert bounds.find_excess() is Excess.SKIPPED
