"""Messages of the handshake, and the framing of data."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beamhatch.relay.tunnels.message import (
    LENGTH,
    Answer,
    HandshakeError,
    OpenTunnel,
    Refusal,
    TunnelOpened,
    TunnelRefused,
    decode_answer,
    decode_request,
    encode,
)


@pytest.mark.parametrize("message", [TunnelOpened(), *(TunnelRefused(reason) for reason in Refusal)], ids=str)
def test_answers_are_read_as_they_were_written(message: Answer) -> None:
    assert decode_answer(encode(message)[LENGTH.size :]) == message


def test_requests_are_read_as_they_were_written() -> None:
    request = OpenTunnel("vm1", "10.0.0.1", 80)
    assert decode_request(encode(request)[LENGTH.size :]) == request


@given(st.binary(max_size=64))
def test_other_bytes_are_rejected(data: bytes) -> None:
    for decode in (decode_answer, decode_request):
        try:
            decode(data)
        except HandshakeError:
            continue
