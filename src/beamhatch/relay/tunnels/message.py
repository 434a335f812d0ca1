"""Handshake of a tunnel, and the framing of what the upstream sends through it.

The client sends ``OpenTunnel`` as one frame, and the proxy answers with one frame. From then on, the client sends plain
bytes, and the proxy sends frames: data of the upstream, and an empty one once the upstream has closed its end cleanly.
Any other end of the connection is a failure, so that a proxy that dies is not taken for the end of a response.
"""

from __future__ import annotations

import struct
from enum import Enum

import msgspec

MAX_HANDSHAKE_BYTES = 4096
"""Maximum size of a message of the handshake."""

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Maximum size of a frame of data."""

LENGTH = struct.Struct("!I")
"""Length that precedes each frame."""

END_OF_DATA = LENGTH.pack(0)
"""Frame that shows that the upstream has closed its end cleanly."""


class Refusal(Enum):
    """Reason why a proxy opens no tunnel; in each case, it sent nothing to the upstream."""

    NOT_ACCEPTING = "not accepting"
    """It stops, is not ready or is cut off from upstreams itself."""
    FULL = "full"
    UNKNOWN_UPSTREAM = "unknown upstream"
    """Its listing has no upstream at the address."""
    UNREACHABLE = "unreachable"
    """The upstream did not accept its connection."""
    OUT_OF_REACH = "out of reach"
    """It made no attempt, as the last ones failed."""


class OpenTunnel(msgspec.Struct, tag="open", frozen=True):
    """A request for a tunnel to an upstream."""

    vm: str
    """Name of the client."""
    host: str
    port: int


class TunnelOpened(msgspec.Struct, tag="opened", frozen=True):
    """The upstream has accepted the proxy's connection."""


class TunnelRefused(msgspec.Struct, tag="refused", frozen=True):
    """There will be no tunnel."""

    reason: Refusal


Answer = TunnelOpened | TunnelRefused

_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(OpenTunnel)
_answer_decoder: msgspec.msgpack.Decoder[Answer] = msgspec.msgpack.Decoder(Answer)


class HandshakeError(ValueError):
    """A message of the handshake that cannot be decoded."""


def frame(data: bytes) -> bytes:
    """Return data as one frame."""
    return LENGTH.pack(len(data)) + data


def encode(message: OpenTunnel | Answer) -> bytes:
    """Encode a message as one frame."""
    return frame(_encoder.encode(message))


def decode_request(data: bytes) -> OpenTunnel:
    """Decode a request.

    :raises HandshakeError: if the data is no request
    """
    try:
        return _request_decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as problem:
        raise HandshakeError(str(problem)) from None


def decode_answer(data: bytes) -> Answer:
    """Decode an answer.

    :raises HandshakeError: if the data is no answer
    """
    try:
        return _answer_decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as problem:
        raise HandshakeError(str(problem)) from None
