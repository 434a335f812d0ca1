"""Datagrams between VMs."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beamhatch.relay.streams.message import (
    MAX_NAME_LENGTH,
    BegunStream,
    DatagramError,
    OriginAnswer,
    OriginQuery,
    RecordPut,
    decode,
    encode,
)


@pytest.mark.parametrize(
    "message",
    [
        RecordPut([BegunStream(b"12345678", "models", "v1.1", 14.0)], True),
        OriginQuery(7, b"12345678", "models"),
        OriginAnswer(7, None, None, ["v1"], False, True),
        OriginAnswer(7, "models", "", ["v1", "v2"], True, False),
    ],
)
def test_a_message_is_read_as_it_was_written(message: RecordPut | OriginQuery | OriginAnswer) -> None:
    assert decode(encode(message)) == message


def test_a_name_that_no_entry_may_have_is_rejected() -> None:
    with pytest.raises(DatagramError):
        decode(encode(OriginQuery(7, b"12345678", "x" * (MAX_NAME_LENGTH + 1))))


@given(st.binary(max_size=64))
def test_other_bytes_are_rejected_and_harm_nothing(data: bytes) -> None:
    with contextlib.suppress(DatagramError):
        decode(data)
