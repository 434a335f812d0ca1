"""Tests of parsing the limits that upstreams announce in responses."""

from __future__ import annotations

import pytest

from beamhatch.platform.dialect import PlatformDialect
from beamhatch.relay.api import UNREADABLE_LIMIT, AnnouncedLimit


@pytest.mark.parametrize(
    ("word", "limit"),
    [
        ("2.6", AnnouncedLimit(2.6)),
        (" 4 ", AnnouncedLimit(4.0)),
        (".5", AnnouncedLimit(0.5)),
        ("0", AnnouncedLimit(0.0)),
        ("1000000000", AnnouncedLimit(1e9)),
        ("-1", UNREADABLE_LIMIT),
        ("", UNREADABLE_LIMIT),
        ("many", UNREADABLE_LIMIT),
        ("nan", UNREADABLE_LIMIT),
        ("inf", UNREADABLE_LIMIT),
        ("9" * 400, UNREADABLE_LIMIT),
        ("1e3", UNREADABLE_LIMIT),
        ("٣", UNREADABLE_LIMIT),
    ],
)
def test_a_limit_is_a_decimal_number(word: str, limit: AnnouncedLimit) -> None:
    assert PlatformDialect().read_response(200, [("Server-Limit", word)]).limit == limit


def test_a_response_without_the_header_has_no_limit() -> None:
    assert PlatformDialect().read_response(200, []).limit is None
