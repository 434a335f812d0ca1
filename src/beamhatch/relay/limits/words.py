"""What VMs tell each other of limits."""

from __future__ import annotations

import zlib
from typing import NewType

import msgspec

from beamhatch.relay.model import Incarnation

Origin = NewType("Origin", int)
"""Names one start of a VM, drawn at random: a VM that restarts counts anew, under another one."""

LifeKey = NewType("LifeKey", int)
"""Names a life that all VMs know by its word, in a fifth of the bytes."""


class LimitWord(msgspec.Struct, array_like=True, frozen=True):
    """What an upstream said of its limit last, as far as the sender knows."""

    life: Incarnation
    version: int
    """Rises with each change that a VM heard from the upstream behind those that it knew of."""
    rate: float | None
    """Requests a second from all VMs together; None where it names a limit no longer."""
    level: float = 0.0
    """Requests that it would take at this moment, by what the sender knows; below 0 where it got too many."""


class Spent(msgspec.Struct, array_like=True, frozen=True):
    """Requests that one VM has sent to an upstream that names a limit, or is about to."""

    life: LifeKey
    origin: Origin
    count: int
    """All of them so far: whoever is told twice, or misses a word, ends with the same."""
    new: int
    """Those that the sender did not know of before: what counts for a receiver to which the origin is new."""


def make_key(life: Incarnation) -> LifeKey:
    """Return what names a life, the same on all VMs; two lives hardly ever have one name."""
    return LifeKey(zlib.crc32(f"{life.id}/{life.started_at_ms}".encode()))
