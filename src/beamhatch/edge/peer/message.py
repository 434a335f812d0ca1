"""Every message between entry VMs.

Messages are msgpack arrays whose first item is a number that tells the kind. ``docs/design/peers.md`` lists each with
its direction, size and bound.
"""

from __future__ import annotations

import zlib
from typing import TypeAlias

import msgspec

PROTOCOL = 1
"""Both sides must speak the same; a VM of another version is not a peer."""


class _Message(msgspec.Struct, array_like=True, frozen=True):
    pass


class MemberNote(msgspec.Struct, array_like=True, frozen=True):
    """News of one member, on the wire."""

    vm: str
    boot: int
    incarnation: int
    health: int
    address: str


class WireRecord(msgspec.Struct, array_like=True, frozen=True):
    """An idempotency record, on the wire."""

    key: str
    digest: str
    vm: str
    boot: int
    request: str
    state: str
    age: float
    """Seconds since it was written."""
    answer: WireAnswer | None = None


class WireAnswer(msgspec.Struct, array_like=True, frozen=True):
    """A kept answer, on the wire."""

    outcome: str
    reason: str
    detail: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes | None


class Hello(_Message, frozen=True, tag=1):
    """First on every stream, from both sides."""

    protocol: int
    vm: str
    boot: int
    hall: str
    address: str
    notes: list[MemberNote]


class Probe(_Message, frozen=True, tag=2):
    """Asks whether the receiver is alive."""

    number: int
    sequence: int
    notes: list[MemberNote]


class ProbeAnswer(_Message, frozen=True, tag=3):
    """Answers a probe."""

    number: int
    sequence: int
    notes: list[MemberNote]


class ProbeThrough(_Message, frozen=True, tag=4):
    """Asks the receiver to probe another."""

    number: int
    vm: str


class News(_Message, frozen=True, tag=5):
    """News that can't wait for a probe, such as a leave."""

    notes: list[MemberNote]


class RunsBegun(_Message, frozen=True, tag=6):
    """Runs of the sender that are about to hold memory on engines; ``whole`` replaces what the receiver knew."""

    whole: bool
    runs: list[tuple[int, str, int]]
    """Number of the request, what follows it in the run's id, and the engine's short name."""


class RunsEnded(_Message, frozen=True, tag=7):
    """Requests of the sender that hold nothing any more."""

    requests: list[int]
    """Numbers of the requests; their VM and boot are the sender's."""


class RecordPut(_Message, frozen=True, tag=8):
    """Asks a holder to take a key."""

    epoch: str
    key: str
    digest: str
    vm: str
    boot: int
    request: str


class RecordAnswer(_Message, frozen=True, tag=9):
    """A holder's answer: granted, taken (with the record), full, or not able to tell."""

    result: str
    record: WireRecord | None = None


class RecordEnd(_Message, frozen=True, tag=10):
    """Tells a holder how a request ended; without an answer it frees the key."""

    key: str
    request: str
    answer: WireAnswer | None


class RecordWatch(_Message, frozen=True, tag=11):
    """Asks a holder to answer when a record is no longer under way."""

    key: str
    request: str


class RecordSync(_Message, frozen=True, tag=12):
    """Asks for the records that the sender is to hold too, a page at a time."""

    epoch: str
    after: int


class RecordPage(_Message, frozen=True, tag=13):
    """A page of records; ``more`` is where the next begins, or 0 at the end."""

    ready: bool
    more: int
    records: list[WireRecord]


class Done(_Message, frozen=True, tag=14):
    """Says that an ask was carried out."""


class ConfigAsk(_Message, frozen=True, tag=15):
    """Asks for what changed since the sequence that the sender has in force; -1 asks for all."""

    sequence: int


class ConfigAnswer(_Message, frozen=True, tag=16):
    """What changed, or the whole configuration: hashes by document name, names removed, change notes and bodies."""

    whole: bool
    base: int
    sequence: int
    documents: dict[str, str]
    removed: list[str]
    changes: bytes
    """The change notes, as JSON."""
    bodies: list[bytes]


class ConfigNews(_Message, frozen=True, tag=17):
    """Says that a newer configuration is to be had from the sender."""

    sequence: int


class Ask(_Message, frozen=True, tag=18):
    """Carries something that is answered."""

    number: int
    body: bytes


class Answer(_Message, frozen=True, tag=19):
    """Carries an answer; an empty body says that there is none."""

    number: int
    body: bytes


class StatusAsk(_Message, frozen=True, tag=20):
    """Asks for the sequence in force, for the operators' status."""


class StatusAnswer(_Message, frozen=True, tag=21):
    """The sequence in force and how many seconds after its acceptance it came into force."""

    vm: str
    sequence: int
    took: float
    ready: bool
    open_requests: int


class VmNews(_Message, frozen=True, tag=22):
    """What the platform's VM list says: addresses that are leaving, and the names of all entry VMs of the hall."""

    leaving: list[str]
    entries: list[str]


class Shares(_Message, frozen=True, tag=23):
    """What the sender has at upstreams: held tokens, promised tokens and requests; ``whole`` replaces all before."""

    whole: bool
    shares: list[tuple[int, int, int, int]]
    """The upstream's short name, held tokens, promised tokens, requests."""


class RemoteClaim(_Message, frozen=True, tag=24):
    """Asks a VM of a key's home hall to claim it there for a request of the sender."""

    key: str
    digest: str
    request: str


class RemoteWatch(_Message, frozen=True, tag=25):
    """Asks a VM of a key's home hall to answer when its record is no longer under way."""

    key: str
    request: str
    seconds: float


class RemoteEnd(_Message, frozen=True, tag=26):
    """Has a VM of a key's home hall tell the holders how a request ended; without an answer the key is freed."""

    key: str
    request: str
    answer: WireAnswer | None


Message: TypeAlias = (
    Hello
    | Probe
    | ProbeAnswer
    | ProbeThrough
    | News
    | RunsBegun
    | RunsEnded
    | RecordPut
    | RecordAnswer
    | RecordEnd
    | RecordWatch
    | RecordSync
    | RecordPage
    | Done
    | ConfigAsk
    | ConfigAnswer
    | ConfigNews
    | Ask
    | Answer
    | StatusAsk
    | StatusAnswer
    | VmNews
    | Shares
    | RemoteClaim
    | RemoteWatch
    | RemoteEnd
)


def shorten_name(name: str) -> int:
    """Return the short name of an upstream, which all VMs make alike; 32 bits, so that it takes 5 bytes at most."""
    return zlib.crc32(name.encode())


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return a message as msgpack."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> Message:
    """Return the message in a piece of msgpack.

    :raises msgspec.MsgspecError: where it is none
    """
    return _DECODER.decode(data)


def convert_message(value: object) -> Message:
    """Return the message in a value that an unpacker made.

    :raises msgspec.MsgspecError: where it is none
    """
    return msgspec.convert(value, Message)
