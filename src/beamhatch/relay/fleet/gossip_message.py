"""What the VMs tell each other. On the wire: a length of four bytes, then msgpack."""

from __future__ import annotations

import zlib

import msgspec

from beamhatch.relay.choosing.pace import Reading
from beamhatch.relay.engines.changing import ChangeNews
from beamhatch.relay.fleet.evacuations import Evacuation
from beamhatch.relay.fleet.membership import Member, Mention
from beamhatch.relay.limits.words import LimitWord, Spent
from beamhatch.relay.model import Incarnation
from beamhatch.relay.quarantine.ends import EndNews
from beamhatch.relay.quarantine.quarantine import ClearNews, HoldNews
from beamhatch.relay.upstreams.listing import Entry
from beamhatch.relay.workspaces.usage import HallUsage, RatesByWorkspace

MOST_BYTES = 4 * 1024 * 1024
"""Bytes of one message at the most: a packed configuration of the size to design for has 0.2 MB."""

MOST_DOCUMENT_BYTES = 16 * 1024 * 1024
"""Bytes of an unpacked configuration at the most: 20 times the size to design for."""

MOST_MENTIONED = 64
"""Other VMs in one message at the most."""

MOST_TOLD_DEPARTURES = 256
"""Upstreams that leave which one message names at the most: 7 KB."""

MOST_TOLD_LIMITS = 256
"""Limits, and counts of requests, that one message has at the most: 10 KB each."""

COMPRESSION = 1
"""The fastest: documents repeat themselves so much that more gains little."""


class DemandReport(msgspec.Struct, array_like=True, frozen=True):
    """What one VM's streams ask of a service with engines."""

    prompt_rate: float = 0.0
    """Prompt tokens a second."""
    wait_rate: float = 0.0
    """Requests a second that find decode memory full."""
    prompt: float = 0.0
    """Tokens of a prompt in the mean."""
    answer: float = 0.0
    """Tokens of an answer in the mean."""
    residence: float = 0.0
    """Seconds for which a stream holds decode memory in the mean."""
    read_rate: float = 0.0
    """Prompt tokens a second that a prefill engine was seen to read; 0 where too little was seen."""
    read_overhead: float = 0.0
    """Seconds that a call takes there beside the reading."""
    whole_rate: float = 0.0
    """Prompt tokens a second that a decode engine was seen to read; 0 where too little was seen."""


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """First message on a connection, both ways, and again every few seconds."""

    vm: str
    member: Member
    known: list[Mention]


class Beat(msgspec.Struct, tag="beat", frozen=True, omit_defaults=True):
    """What the sender has. What is left out is as it was told on this connection before."""

    version: int | None = None
    """Of the configuration in force; 0 where none is."""
    revision: int | None = None
    """Of the newest entry of its listing; 0 where it has no whole listing."""
    demands: dict[str, DemandReport] = {}
    """By service."""
    faulty: dict[str, float] = {}
    """Upstreams that failed the sender's requests of late, with the share that they failed."""
    changing: dict[str, ChangeNews] = {}
    """Engines that were ordered to play another part."""
    reading: dict[str, int] | None = None
    """Tokens of the sender's prompts that engines have still to read; to another hall, that hall's engines only."""
    readings: list[Reading] = []
    """Prompts that engines read for the sender since its last beat."""
    evacuations: list[Evacuation] | None = None
    """Which halls are emptied, or were; None where the sender does not know."""
    evacuations_as_of: int = 0
    """The revision up to which it knows them all."""
    turned_away: bool = False
    """True where the store has not answered the sender's watches for some time."""
    adds_up: bool | None = None
    """Whether the sender adds up what its hall tells."""


class Work(msgspec.Struct, tag="work", frozen=True):
    """A part of a beat that changes often."""

    reading: dict[str, int]


class Usage(msgspec.Struct, tag="usage", frozen=True, omit_defaults=True):
    """How fast workspaces use their quotas."""

    own: RatesByWorkspace | None = None
    """By the sender's own callers; None where the receiver has no use for it."""
    halls: list[HallUsage] = []
    """The newest sums that the sender knows and the receiver may not."""
    direct: list[str] | None = None
    """Halls whose sums the sender has from VMs there; None where that is as it was told before."""


class QuarantineNews(msgspec.Struct, tag="quarantine", frozen=True):
    """What the sender knows, and the receiver may not, of requests that end upstreams."""

    ends: list[EndNews]
    """Ends of upstreams, with runs that broke there."""
    cleared: list[ClearNews]
    """Requests that came to a good end."""
    holds: list[HoldNews]
    """Requests whose quarantine the store keeps."""


class DepartureNews(msgspec.Struct, tag="departures", frozen=True):
    """Which upstreams said in an answer that they leave, and the store does not tell of yet."""

    lives: list[Incarnation]


class LimitNews(msgspec.Struct, tag="limits", frozen=True, omit_defaults=True):
    """Which limits upstreams name, and what was sent to these."""

    words: list[LimitWord] = []
    spent: list[Spent] = []


class AskConfiguration(msgspec.Struct, tag="ask_configuration", frozen=True):
    """The sender wants the receiver's configuration."""


class Configuration(msgspec.Struct, tag="configuration", frozen=True):
    """A configuration as the operators wrote it, compressed."""

    packed: bytes


class AskListing(msgspec.Struct, tag="ask_listing", frozen=True):
    """The sender wants the news behind a revision."""

    after: int


class ListingPart(msgspec.Struct, tag="listing", frozen=True):
    """News of upstreams; whole where ``after`` is 0."""

    after: int
    revision: int
    entries: list[Entry]


Message = (
    Hello
    | Beat
    | Work
    | Usage
    | QuarantineNews
    | DepartureNews
    | LimitNews
    | AskConfiguration
    | Configuration
    | AskListing
    | ListingPart
)

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


def pack_document(raw: bytes) -> Configuration:
    """Return the message that hands a document on."""
    return Configuration(zlib.compress(raw, COMPRESSION))


def unpack_document(message: Configuration) -> bytes:
    """Return the document that a message hands on.

    :raises MessageError: where it can't be unpacked, or is too long
    """
    unpacker = zlib.decompressobj()
    try:
        raw = unpacker.decompress(message.packed, MOST_DOCUMENT_BYTES)
    except zlib.error as problem:
        raise MessageError(str(problem)) from None
    if not unpacker.eof:
        raise MessageError("the document is cut off, or too long")
    return raw
