"""Compute the cost of distance in seconds: round trips, request and response bytes, and KV cache transfers.

The cost of a transfer grows with the size of the KV cache, so prefill and decode of long prompts run close together.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.relay.topology import Distance, Topology

if TYPE_CHECKING:
    from beamhatch.relay.model import EngineSpec

ROUND_TRIP_S = {Distance.SAME_HALL: 0.0005, Distance.SAME_REGION: 0.001, Distance.OTHER_REGION: 0.025}
"""Seconds of a network round trip.

Typical of machines in one building, in one city, and in cities some hundred kilometres apart.
"""

TRANSFER_FACTORS = {Distance.SAME_HALL: 1.0, Distance.SAME_REGION: 2.0, Distance.OTHER_REGION: 10.0}
"""Transfer time of a KV cache relative to a transfer within a hall, as specified by the platform."""

BYTE_COST_FACTORS = {Distance.SAME_HALL: 0.0, Distance.SAME_REGION: 1.0, Distance.OTHER_REGION: 3.0}
"""Cost of a byte relative to one sent between two halls of a region, as the platform specifies for KV caches."""

KV_BYTE_COST_S = 0.02e-9
"""Cost in seconds per byte of a KV cache sent between halls, in addition to the transfer time.

A cache of 0.8 GB thus costs 16 ms, about as much as one more stream at its engine.
"""

CALLER_BYTE_COST_S = 1.5e-6
"""Cost in seconds per byte of a request or response sent between halls.

Much higher than ``KV_BYTE_COST_S``, since KV caches have dedicated links. A plain response of 2 kB thus costs 3 ms.
"""

PLAIN_REQUEST_BYTES = 2_000
"""Assumed bytes of a request to a service without prefill and decode engines and of its response, with headers."""

EVENT_BYTES = 150
"""Bytes of one event of a streamed response, with packet and chunk overhead."""

DEFAULT_TRANSFER_S = 0.02
"""Transfer time of a KV cache within a hall if its size or the link rate is unknown."""


@dataclass(slots=True)
class DistanceCosts:
    """Costs of distance, as seen from one hall."""

    hall: str
    places: Topology = field(default_factory=Topology)
    enabled: bool = True
    """False if all costs are 0."""

    def get_distance(self, hall: str) -> Distance:
        """Return the distance between ``self.hall`` and another hall."""
        return self.places.get_distance(self.hall, hall)

    def compute_request_cost(self, hall: str, caller_bytes: float) -> float:
        """Return the cost of a request to a hall: the round trip, and the request and response bytes sent there."""
        if not self.enabled:
            return 0.0
        distance = self.get_distance(hall)
        return ROUND_TRIP_S[distance] + caller_bytes * CALLER_BYTE_COST_S * BYTE_COST_FACTORS[distance]

    def compute_transfer_cost(self, source: str, target: str, cache: CacheTransfer) -> float:
        """Return the cost of a KV cache transfer from an engine of one hall to an engine of another."""
        if not self.enabled:
            return 0.0
        distance = self.places.get_distance(source, target)
        return cache.seconds * TRANSFER_FACTORS[distance] + cache.size * KV_BYTE_COST_S * BYTE_COST_FACTORS[distance]


@dataclass(frozen=True, slots=True)
class CacheTransfer:
    """Size of one prompt's KV cache, and the time to transfer it."""

    size: float = 0.0
    """Bytes; 0 if unknown."""
    seconds: float = DEFAULT_TRANSFER_S
    """Transfer time within a hall."""


UNKNOWN_CACHE_TRANSFER = CacheTransfer()
"""Transfer of a KV cache whose size or link rate is unknown."""


def compute_cache_transfer(engine: EngineSpec, tokens: int) -> CacheTransfer:
    """Return the size of the KV cache of some tokens, and the time to transfer it."""
    size = tokens * engine.kv_bytes_per_token
    if not size or not engine.link_bytes_per_s:
        return UNKNOWN_CACHE_TRANSFER
    return CacheTransfer(size, size / engine.link_bytes_per_s)
