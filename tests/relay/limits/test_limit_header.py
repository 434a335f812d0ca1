"""Tests of parsing the limits that upstreams announce in responses."""

from __future__ import annotations

import pytest

from beamhatch.platform.dialect import PlatformDialect
from beamhatch.relay.api import UNCLEAR_LIMIT, NamedLimit


@pytest.mark.parametrize(
    ("word", "limit"),
    [
        ("2.6", NamedLimit(2.6)),
        (" 4 ", NamedLimit(4.0)),
        (".5", NamedLimit(0.5)),
        ("0", NamedLimit(0.0)),
        ("1000000000", NamedLimit(1e9)),
        ("-1", UNCLEAR_LIMIT),
        ("", UNCLEAR_LIMIT),
        ("many", UNCLEAR_LIMIT),
        ("nan", UNCLEAR_LIMIT),
        ("inf", UNCLEAR_LIMIT),
        ("9" * 400, UNCLEAR_LIMIT),
        ("1e3", UNCLEAR_LIMIT),
        ("٣", UNCLEAR_LIMIT),
    ],
)
def test_a_limit_is_a_decimal_number(word: str, limit: NamedLimit) -> None:
    assert PlatformDialect().read_answer(200, [("Server-Limit", word)]).limit == limit


def test_a_response_without_the_header_has_no_limit() -> None:
    assert PlatformDialect().read_answer(200, []).limit is None
