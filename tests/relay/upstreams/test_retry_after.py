"""Parsing of valid and invalid ``Retry-After`` values."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beamhatch.relay.upstreams.retry_after import MAX_RETRY_AFTER_S, parse_retry_after

NOW = "Thu, 03 Dec 2026 03:00:00 GMT"


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("3", 3.0),
        (" 2.5 ", 2.5),
        ("0", None),
        ("-3", None),
        ("-0.5", None),
        ("", None),
        ("soon", None),
        ("1e3", None),
        ("0x10", None),
        ("inf", None),
        ("nan", None),
        ("3 s", None),
        ("٣", None),
        ("600", 600.0),
        ("601", MAX_RETRY_AFTER_S),
        ("9" * 300, MAX_RETRY_AFTER_S),
        ("9" * 5000, MAX_RETRY_AFTER_S),
        (None, None),
    ],
)
def test_seconds_are_limited_and_invalid_values_ignored(text: str | None, seconds: float | None) -> None:
    assert parse_retry_after(text, NOW) == seconds


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("Thu, 03 Dec 2026 03:00:04 GMT", 4.0),
        ("Thu, 03 Dec 2026 02:59:00 GMT", None),
        ("Thu, 03 Dec 2026 03:00:00 GMT", None),
        ("Fri, 04 Dec 2026 03:00:00 GMT", MAX_RETRY_AFTER_S),
        ("Thu, 99 Dec 2026 03:00:00 GMT", None),
        ("Thu, 03 Dec 2026 03:00:04 -0000", None),
    ],
)
def test_date_is_compared_with_the_date_of_the_response(text: str, seconds: float | None) -> None:
    assert parse_retry_after(text, NOW) == seconds


@pytest.mark.parametrize("date", [None, "", "now", "Thu, 03 Dec 2026 03:00:00 -0000"])
def test_date_is_ignored_without_a_valid_date_of_the_response(date: str | None) -> None:
    assert parse_retry_after("Thu, 03 Dec 2026 03:00:04 GMT", date) is None


@given(st.text(), st.none() | st.text())
def test_no_text_raises_or_is_obeyed_for_longer(text: str, date: str | None) -> None:
    found = parse_retry_after(text, date)
    assert found is None or 0 < found <= MAX_RETRY_AFTER_S
