"""Compute the cost of distance in seconds: round trips, bytes of callers, and KV cache transfers between engines.

The cost of a transfer grows with the size of the cache, so large caches keep prefill and decode close together.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.relay.places import Distance, Places

if TYPE_CHECKING:
    from beamhatch.relay.model import Engine

ROUND_TRIP_S = {Distance.SAME_HALL: 0.0005, Distance.SAME_REGION: 0.001, Distance.OTHER_REGION: 0.025}
"""Seconds of a network round trip."""

TRANSFER_FACTORS = {Distance.SAME_HALL: 1.0, Distance.SAME_REGION: 2.0, Distance.OTHER_REGION: 10.0}
"""Transfer time of a KV cache relative to a transfer within a hall, as specified by the platform."""

BYTE_COST_FACTORS = {Distance.SAME_HALL: 0.0, Distance.SAME_REGION: 1.0, Distance.OTHER_REGION: 3.0}
"""Cost of a byte relative to one that crosses halls of a region, as specified by the platform for KV caches."""

KV_BYTE_COST_S = 0.02e-9
"""Seconds per byte of a KV cache that crosses halls, in addition to the transfer time."""

CALLER_BYTE_COST_S = 1.5e-6
"""Seconds per byte of a caller's request or answer that crosses halls.

Far above the cost of a KV cache's byte, since caches have links of their own.
"""

PLAIN_REQUEST_BYTES = 2_000
"""Bytes of a plain request and its answer, with headers."""

EVENT_BYTES = 150
"""Bytes of one event of a stream, with packet and chunk overhead."""

DEFAULT_TRANSFER_S = 0.02
"""Transfer time of a KV cache within a hall if its size or the link rate is unknown."""


@dataclass(slots=True)
class DistanceCosts:
    """Costs of distance, as seen from one hall."""

    hall: str
    places: Places = field(default_factory=Places)
    enabled: bool = True
    """False if distance costs nothing."""

    def get_distance(self, hall: str) -> Distance:
        """Return the distance of a hall from this VM's hall."""
        return self.places.measure(self.hall, hall)

    def compute_request_cost(self, hall: str, caller_bytes: float) -> float:
        """Return the cost of a request to a hall: the round trip, and the bytes of the caller that cross."""
        if not self.enabled:
            return 0.0
        distance = self.get_distance(hall)
        return ROUND_TRIP_S[distance] + caller_bytes * CALLER_BYTE_COST_S * BYTE_COST_FACTORS[distance]

    def compute_transfer_cost(self, source: str, target: str, cache: CacheTransfer) -> float:
        """Return the cost of a KV cache transfer between engines of two halls."""
        if not self.enabled:
            return 0.0
        distance = self.places.measure(source, target)
        return cache.seconds * TRANSFER_FACTORS[distance] + cache.size * KV_BYTE_COST_S * BYTE_COST_FACTORS[distance]


@dataclass(frozen=True, slots=True)
class CacheTransfer:
    """Size and transfer time of one prompt's KV cache."""

    size: float = 0.0
    """Bytes; 0 if unknown."""
    seconds: float = DEFAULT_TRANSFER_S
    """Transfer time within a hall."""


UNKNOWN_CACHE_TRANSFER = CacheTransfer()
"""Transfer of a cache of unknown size."""


def compute_cache_transfer(engine: Engine, tokens: int) -> CacheTransfer:
    """Return the size and transfer time of the KV cache of some tokens."""
    size = tokens * engine.kv_token_bytes
    if not size or not engine.link_rate:
        return UNKNOWN_CACHE_TRANSFER
    return CacheTransfer(size, size / engine.link_rate)
