"""Datagrams between VMs about the versions that began streams, encoded as msgpack."""

from __future__ import annotations

from typing import Annotated

import msgspec

MAX_DATAGRAM_BYTES = 1200
"""Size of a datagram that passes common links in one packet."""

MAX_NAME_LENGTH = 200
"""In characters: longest name of a service or version."""

MAX_VERSIONS = 4
"""Maximum number of versions in one answer; two tell as much as all."""

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


class BegunStream(msgspec.Struct, array_like=True, frozen=True):
    """A stream, with the version that began it."""

    key: bytes
    service: Name
    version: Name
    lifetime_s: float
    """Seconds for which its caller may still resume it."""


class RecordPut(msgspec.Struct, tag="begun", array_like=True, frozen=True):
    """Streams whose records the receiver is to keep."""

    streams: list[BegunStream]
    lists_several: bool
    """Whether the sender's own listing has several versions of their services."""


class OriginQuery(msgspec.Struct, tag="ask", array_like=True, frozen=True):
    """A request for the version that began a stream."""

    number: int
    key: bytes
    service: Name


class OriginAnswer(msgspec.Struct, tag="tell", array_like=True, frozen=True):
    """What the sender knows of a stream and of its service's versions."""

    number: int
    service: Name | None
    """Service of the stream; None without a record."""
    version: Name | None
    versions: list[Name]
    """Versions of the service in the query that are listed, or were until recently, at most ``MAX_VERSIONS``."""
    has_several: bool
    """Whether the sender knows, from its listing or a peer, that the service has several versions."""
    is_complete: bool
    """Whether no other version can have begun a stream that still goes on."""


Datagram = RecordPut | OriginQuery | OriginAnswer

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Datagram] = msgspec.msgpack.Decoder(Datagram)


class DatagramError(ValueError):
    """A datagram that cannot be decoded."""


def encode(message: Datagram) -> bytes:
    """Encode a datagram."""
    return _encoder.encode(message)


def decode(data: bytes) -> Datagram:
    """Decode a datagram.

    :raises DatagramError: if it is not a valid message
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as problem:
        raise DatagramError(str(problem)) from None
