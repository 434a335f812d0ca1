"""What the VMs tell each other. On the wire: a length of four bytes, then msgpack."""

from __future__ import annotations

import msgspec

from beamhatch.relay.listing import Entry

MOST_BYTES = 4 * 1024 * 1024
MOST_KNOWN = 128
"""Addresses in one message at the most."""


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """First message on a connection, both ways, and again every few seconds."""

    vm: str
    address: str
    """Where the sender listens for peers, ``HOST:PORT``."""
    known: list[str]
    """Where other VMs listen."""


class Beat(msgspec.Struct, tag="beat", frozen=True):
    """What the sender has."""

    version: int
    """Of the configuration in force; 0 where none is."""
    revision: int
    """Of the newest entry of its listing; 0 where it has no whole listing."""
    demands: dict[str, tuple[float, float]] = {}
    """What its streams ask of each service with engines: prompt tokens a second, waits for memory a second."""
    faulty: dict[str, float] = {}
    """Upstreams that failed the sender's requests of late, with the share that they failed."""


class AskConfiguration(msgspec.Struct, tag="ask_configuration", frozen=True):
    """The sender wants the receiver's configuration."""


class Configuration(msgspec.Struct, tag="configuration", frozen=True):
    """A configuration as the operators wrote it."""

    raw: bytes


class AskListing(msgspec.Struct, tag="ask_listing", frozen=True):
    """The sender wants the news behind a revision."""

    after: int


class ListingPart(msgspec.Struct, tag="listing", frozen=True):
    """News of upstreams; whole where ``after`` is 0."""

    after: int
    revision: int
    entries: list[Entry]


Message = Hello | Beat | AskConfiguration | Configuration | AskListing | ListingPart

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class MessageError(ValueError):
    """A message that can't be read."""


def encode(message: Message) -> bytes:
    """Return a message as bytes."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Return the message in some bytes.

    :raises MessageError: where it is none
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as problem:
        raise MessageError(str(problem)) from None
