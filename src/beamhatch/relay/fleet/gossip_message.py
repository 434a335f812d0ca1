"""Messages between VMs. Each is encoded as msgpack and preceded by a four-byte length prefix."""

from __future__ import annotations

import zlib

import msgspec

from beamhatch.relay.choosing.pace import PrefillSample
from beamhatch.relay.engines.changing import PhaseChangeUpdate
from beamhatch.relay.fleet.evacuations import Evacuation
from beamhatch.relay.fleet.membership import Member, Mention
from beamhatch.relay.limits.words import LimitState, RequestCount
from beamhatch.relay.model import Incarnation
from beamhatch.relay.quarantine.ends import CrashUpdate
from beamhatch.relay.quarantine.part_successes import PartSuccessUpdate
from beamhatch.relay.quarantine.quarantine import ClearUpdate, StoredQuarantineUpdate
from beamhatch.relay.upstreams.listing import Entry
from beamhatch.relay.workspaces.usage import HallUsage, RatesByWorkspace

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Maximum size of an encoded message.

A compressed configuration of the largest fleet to design for has 0.2 MB.
"""

MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024
"""Maximum size of a decompressed configuration.

20 times that of the largest fleet to design for.
"""

MAX_MENTIONS = 64
"""Maximum number of members mentioned in one message."""

MAX_DEPARTURES = 256
"""Maximum number of departures in one message."""

MAX_OUT_OF_REACH = 32
"""Maximum number of upstreams out of reach in one message; a VM that has more accepts no tunnels."""

MAX_LIMITS = 256
"""Maximum number of limits, and of request counts, in one message."""

COMPRESSION_LEVEL = 1
"""The fastest zlib level; configurations are repetitive enough to compress well with it."""


class DemandReport(msgspec.Struct, array_like=True, frozen=True):
    """One VM's demand for a service with engines, and the engine speeds that it observed."""

    prompt_rate: float = 0.0
    """Prompt tokens per second."""
    wait_rate: float = 0.0
    """Requests per second that find decode memory full."""
    mean_prompt_tokens: float = 0.0
    """Mean tokens per prompt."""
    mean_answer_tokens: float = 0.0
    """Mean tokens per output."""
    mean_residence_s: float = 0.0
    """Mean seconds for which a stream holds decode memory."""
    prefill_rate: float = 0.0
    """Prompt tokens per second that a prefill engine processes; 0 if unknown."""
    prefill_overhead_s: float = 0.0
    """Seconds that a prefill call takes in addition to processing the prompt."""
    decode_prefill_rate: float = 0.0
    """Prompt tokens per second that a decode engine processes; 0 if unknown."""


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """The first message on a connection in each direction, repeated periodically."""

    vm: str
    member: Member
    known: list[Mention]


class CarryingState(msgspec.Struct, array_like=True, frozen=True):
    """Whether the sender reaches upstreams itself, and carries tunnels to them for peers."""

    accepts: bool = False
    """Whether it accepts tunnels."""
    cut_off: bool = False
    """Whether it believes that its own links lead to no upstream."""
    tunnels: int = 0
    """Number of tunnels that it carries, rounded so that small changes are not sent."""
    out_of_reach: tuple[str, ...] = ()
    """Addresses of upstreams that its own links do not lead to, at most ``MAX_OUT_OF_REACH``."""


class Heartbeat(msgspec.Struct, tag="beat", frozen=True, omit_defaults=True):
    """The sender's state. None in a field means unchanged since the last heartbeat on the connection."""

    version: int | None = None
    """Version of the configuration in force; 0 if there is none."""
    revision: int | None = None
    """Revision of the newest entry of the sender's listing; 0 if its listing is incomplete."""
    demands: dict[str, DemandReport] = {}
    """Demand by service; that of omitted services is unchanged."""
    faulty: dict[str, float] = {}
    """Recent failure rate of the sender's requests, from 0 to 1, by upstream."""
    changing: dict[str, PhaseChangeUpdate] = {}
    """Engines that were ordered to change their phase."""
    reading: dict[str, int] | None = None
    """Prompt tokens of the sender that are yet to be processed, by engine.

    A heartbeat to another hall covers only the engines in that hall.
    """
    readings: list[PrefillSample] = []
    """Prompts that engines processed for the sender since its last heartbeat."""
    evacuations: list[Evacuation] | None = None
    """Evacuations in progress and recently ended ones; None also if the sender's list is incomplete."""
    evacuations_as_of: int = 0
    """The revision up to which the sender knows all evacuations."""
    turned_away: bool = False
    """Whether the sender considers the store unreachable."""
    adds_up: bool | None = None
    """Whether the sender aggregates the reports of its hall."""
    carrying: CarryingState | None = None
    sheds: bool = False
    """Whether the sender refuses connections of callers because it is overloaded; told in its own hall only."""


class PrefillBacklog(msgspec.Struct, tag="work", frozen=True):
    """The prefill backlog alone, which changes more often than the rest of a heartbeat."""

    reading: dict[str, int]


class Usage(msgspec.Struct, tag="usage", frozen=True, omit_defaults=True):
    """The rates at which workspaces use their quotas."""

    own: RatesByWorkspace | None = None
    """Usage by the sender's own callers; None if the receiver does not need it."""
    halls: list[HallUsage] = []
    """Total usage per hall, for the halls whose total the receiver may not have."""
    direct: list[str] | None = None
    """Halls whose sums the sender receives directly from VMs in them; None if unchanged."""


class QuarantineUpdate(msgspec.Struct, tag="quarantine", frozen=True):
    """Updates on requests that crash upstreams, limited to those that the receiver may not have."""

    ends: list[CrashUpdate]
    """Crashes of upstreams, each with the requests that it interrupted."""
    cleared: list[ClearUpdate]
    """Requests that completed without a crash."""
    holds: list[StoredQuarantineUpdate]
    """Requests whose quarantine is recorded in the store."""
    parts: list[PartSuccessUpdate] = []
    """Parts of prompts that were used without a crash."""


class DepartureUpdate(msgspec.Struct, tag="departures", frozen=True):
    """Upstreams that announced their departure in a response and that the store does not list as departing yet."""

    lives: list[Incarnation]


class LimitUpdate(msgspec.Struct, tag="limits", frozen=True, omit_defaults=True):
    """Rate limits that upstreams announced, and counts of the requests sent to them."""

    words: list[LimitState] = []
    spent: list[RequestCount] = []


class ConfigurationRequest(msgspec.Struct, tag="ask_configuration", frozen=True):
    """A request for the receiver's configuration."""


class PackedConfiguration(msgspec.Struct, tag="configuration", frozen=True):
    """A configuration as the operators wrote it, compressed with zlib."""

    packed: bytes


class ListingRequest(msgspec.Struct, tag="ask_listing", frozen=True):
    """A request for the listing entries that changed after a revision."""

    after: int


class ListingPart(msgspec.Struct, tag="listing", frozen=True):
    """Listing entries that changed after a revision; the whole listing if ``after`` is 0."""

    after: int
    revision: int
    entries: list[Entry]


Message = (
    Hello
    | Heartbeat
    | PrefillBacklog
    | Usage
    | QuarantineUpdate
    | DepartureUpdate
    | LimitUpdate
    | ConfigurationRequest
    | PackedConfiguration
    | ListingRequest
    | ListingPart
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class MessageError(ValueError):
    """A message that cannot be decoded."""


def encode(message: Message) -> bytes:
    """Encode a message as msgpack."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message.

    :raises MessageError: if the data is not a valid message
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as problem:
        raise MessageError(str(problem)) from None


def pack_configuration(raw: bytes) -> PackedConfiguration:
    """Compress a configuration into a message."""
    return PackedConfiguration(zlib.compress(raw, COMPRESSION_LEVEL))


def unpack_configuration(message: PackedConfiguration) -> bytes:
    """Decompress the configuration in a message.

    :raises MessageError: if it cannot be decompressed or is too large
    """
    unpacker = zlib.decompressobj()
    try:
        raw = unpacker.decompress(message.packed, MAX_CONFIGURATION_BYTES)
    except zlib.error as problem:
        raise MessageError(str(problem)) from None
    if not unpacker.eof:
        raise MessageError("compressed configuration is truncated or too large")
    return raw
