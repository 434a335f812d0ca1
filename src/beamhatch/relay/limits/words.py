"""Messages between VMs about rate limits."""

from __future__ import annotations

import zlib
from typing import NewType

import msgspec

from beamhatch.relay.model import Incarnation

Origin = NewType("Origin", int)
"""Random id that a VM draws at each start; its counts start from zero under the new id."""

IncarnationKey = NewType("IncarnationKey", int)
"""Short hash of an incarnation."""


class LimitState(msgspec.Struct, array_like=True, frozen=True):
    """The limit of an incarnation as the sender knows it."""

    incarnation: Incarnation
    version: int
    """Incremented by a VM that learns of a change from the upstream itself."""
    rate: float | None
    """Requests per second from all VMs together; None if the limit was withdrawn."""
    level: float = 0.0
    """Level of the sender's bucket, in requests; negative if more were sent."""


class RequestCount(msgspec.Struct, array_like=True, frozen=True):
    """Requests of one VM to a rate-limited incarnation, sent or about to be sent."""

    incarnation_key: IncarnationKey
    origin: Origin
    total: int
    """Total so far, so that duplicated and lost messages do not matter."""
    new: int
    """Requests not yet counted by the sender; a receiver that has no total of the origin adds these instead."""


def make_incarnation_key(incarnation: Incarnation) -> IncarnationKey:
    """Return the key of an incarnation, the same on all VMs."""
    return IncarnationKey(zlib.crc32(f"{incarnation.id}/{incarnation.born}".encode()))
