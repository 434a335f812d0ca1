"""What distance costs, in seconds: ways there and back, callers' bytes, and KV caches that move between engines.

One formula for caches of any size and links of any speed, so that a cache of 819 MB a prompt keeps engines together
which one of 92 MB does not.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beamhatch.relay.topology import Distance, Topology

if TYPE_CHECKING:
    from beamhatch.relay.model import EngineSpec

ROUND_TRIPS = {Distance.SAME_HALL: 0.0005, Distance.SAME_REGION: 0.001, Distance.OTHER_REGION: 0.025}
"""Seconds there and back: usual for machines of one building, of one city, of cities some hundred kilometres apart."""

MOVE_FACTORS = {Distance.SAME_HALL: 1.0, Distance.SAME_REGION: 2.0, Distance.OTHER_REGION: 10.0}
"""How many times as long a KV cache is under way as it is within a hall; the platform's figures."""

BYTE_PRICES = {Distance.SAME_HALL: 0.0, Distance.SAME_REGION: 1.0, Distance.OTHER_REGION: 3.0}
"""How dear bytes are, in parts of what they cost between halls; the platform's figures for KV caches."""

MOVED_BYTE_PRICE = 0.02e-9
"""Seconds that a byte of a KV cache counts for between halls.

A cache of 0.8 GB then counts for 16 ms beside its time under way: about as much as one more stream at its engine.
"""

CALLER_BYTE_PRICE = 1.5e-6
"""Seconds that a byte of a caller's request or answer counts for between halls.

A plain answer of 2 kB counts for 3 ms and a stream of 68 events for 15 ms. A KV cache's byte counts for a 75,000th of
that, as caches move on links of their own.
"""

PLAIN_BYTES = 2_000
"""Bytes of a plain request and its answer, heads included."""

EVENT_BYTES = 150
"""Bytes of one event of a stream, with what its packet and chunk add."""

UNTOLD_MOVE = 0.02
"""Seconds for which a KV cache is under way within a hall where its bytes or its link are not told."""


@dataclass(slots=True)
class Distances:
    """What distance costs one VM."""

    hall: str
    places: Topology = field(default_factory=Topology)
    counts: bool = True
    """False where distance is to cost nothing."""

    def measure(self, hall: str) -> Distance:
        """Return how far a hall is from this VM's."""
        return self.places.get_distance(self.hall, hall)

    def count_way(self, hall: str, caller_bytes: float) -> float:
        """Return the seconds that an upstream's place costs, with a price on what crosses for the caller."""
        if not self.counts:
            return 0.0
        distance = self.measure(hall)
        return ROUND_TRIPS[distance] + caller_bytes * CALLER_BYTE_PRICE * BYTE_PRICES[distance]

    def count_move(self, source: str, target: str, cache: CacheFacts) -> float:
        """Return the seconds that it costs to move a KV cache between engines of two halls."""
        if not self.counts:
            return 0.0
        distance = self.places.get_distance(source, target)
        return cache.move_time * MOVE_FACTORS[distance] + cache.size * MOVED_BYTE_PRICE * BYTE_PRICES[distance]


@dataclass(frozen=True, slots=True)
class CacheFacts:
    """What moving one prompt's KV cache takes."""

    size: float = 0.0
    """Bytes; 0 where they are not told."""
    move_time: float = UNTOLD_MOVE
    """Seconds within a hall."""


UNTOLD_CACHE = CacheFacts()
"""Of a prompt whose bytes are not told."""


def find_cache(engine: EngineSpec, tokens: int) -> CacheFacts:
    """Return what moving the KV cache of some tokens takes."""
    size = tokens * engine.kv_bytes_per_token
    if not size or not engine.link_bytes_per_s:
        return UNTOLD_CACHE
    return CacheFacts(size, size / engine.link_bytes_per_s)
