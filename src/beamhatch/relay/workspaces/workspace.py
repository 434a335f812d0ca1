"""A workspace as the operators configure it: its keys and its quota."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from beamhatch.relay.topology import RegionName

WorkspaceName = NewType("WorkspaceName", str)
"""Name of a workspace."""

KeyDigest = NewType("KeyDigest", bytes)
"""What is kept of a caller's key: enough to find its workspace by, of no use to whoever reads it in a dump."""

DIGEST_BYTES = 16
"""Bytes of a digest: keys that were drawn at random don't share one."""


class QuotaUnit(Enum):
    """What a quota counts."""

    REQUEST = "request"
    TOKEN = "token"


@dataclass(frozen=True, slots=True)
class Quota:
    """How much of a workspace's work all VMs together take, in units of its own."""

    unit: QuotaUnit
    rate: float
    """Units a second."""
    burst: float
    """Units on top of the rate."""
    plain_cost: int = 1
    """Units of a request that does not tell its tokens."""

    def measure(self, tokens: int) -> int:
        """Return the units of one request.

        :param tokens: of its prompt and its answer; 0 where it does not tell
        """
        if self.unit is QuotaUnit.REQUEST:
            return 1
        return tokens or self.plain_cost


@dataclass(frozen=True, slots=True)
class Workspace:
    """One workspace; ``quota`` is None where its work is not limited."""

    name: WorkspaceName
    keys: tuple[KeyDigest, ...] = ()
    priority: int | None = None
    """Its rank, 0 for the highest, in place of that of a route; None where the route's holds."""
    quota: Quota | None = None
    regions: frozenset[RegionName] | None = None
    """Where its requests may be served; None where they may be anywhere."""


def digest_key(key: str) -> KeyDigest:
    """Return the digest of a key. A look-up by it tells nobody by its time how much of a wrong key was right."""
    return KeyDigest(hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).digest())
