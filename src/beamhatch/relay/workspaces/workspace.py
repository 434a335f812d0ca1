"""The configuration of a workspace: its keys, priority and quota."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from beamhatch.relay.topology import RegionName

WorkspaceName = NewType("WorkspaceName", str)

KeyDigest = NewType("KeyDigest", bytes)
"""Hash of a caller's key; the key itself is not kept."""

DIGEST_BYTES = 16


class QuotaUnit(Enum):
    """The unit in which a quota is counted."""

    REQUEST = "request"
    TOKEN = "token"


@dataclass(frozen=True, slots=True)
class Quota:
    """The rate and burst that all VMs together grant to a workspace."""

    unit: QuotaUnit
    rate: float
    """Units per second."""
    burst: float
    """Units on top of the rate."""
    default_cost: int = 1
    """Units of a request whose number of tokens is unknown."""

    def compute_cost(self, tokens: int) -> int:
        """Return the units that one request costs.

        :param tokens: tokens of its prompt and output; 0 if unknown
        """
        if self.unit is QuotaUnit.REQUEST:
            return 1
        return tokens or self.default_cost


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace; ``quota`` is None if it is unlimited."""

    name: WorkspaceName
    keys: tuple[KeyDigest, ...] = ()
    priority: int | None = None
    """Priority, 0 being the highest; None to use the route's."""
    quota: Quota | None = None
    regions: frozenset[RegionName] | None = None
    """Regions that may serve its requests; None for all."""


def digest_key(key: str) -> KeyDigest:
    """Return the digest of a key; looking keys up by digest prevents timing attacks."""
    return KeyDigest(hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).digest())
