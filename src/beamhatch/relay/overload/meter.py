"""Count of the bytes that requests put on the VM's link, in both directions."""

from __future__ import annotations

from dataclasses import dataclass

BYTES_PER_MBIT = 125_000
"""Bytes per second in 1 Mbit/s."""

MAX_SEGMENT_BYTES = 1448
"""Payload of a full TCP segment on Ethernet, with timestamps."""

SEGMENT_OVERHEAD_BYTES = 66
"""Ethernet, IPv4 and TCP headers of a segment, with timestamps."""


def estimate_wire_bytes(payload: int) -> int:
    """Return the bytes on the link of data that is written or read at once."""
    segments = -(-payload // MAX_SEGMENT_BYTES)
    return payload + segments * SEGMENT_OVERHEAD_BYTES


@dataclass(frozen=True, slots=True)
class LinkBytes:
    """Bytes in each direction of a full-duplex link, or bytes per second."""

    received: float = 0.0
    sent: float = 0.0

    def __add__(self, other: LinkBytes) -> LinkBytes:
        """Return the sum for each direction."""
        return LinkBytes(self.received + other.received, self.sent + other.sent)

    def __sub__(self, other: LinkBytes) -> LinkBytes:
        """Return the difference for each direction."""
        return LinkBytes(self.received - other.received, self.sent - other.sent)

    def scale(self, factor: float) -> LinkBytes:
        """Return both multiplied by a factor."""
        return LinkBytes(self.received * factor, self.sent * factor)

    @property
    def peak(self) -> float:
        """The larger of the two."""
        return max(self.received, self.sent)


@dataclass(slots=True)
class LinkMeter:
    """Totals since the start of the process, over the connections of callers and to upstreams."""

    received: int = 0
    sent: int = 0

    def record_received(self, payload: int) -> None:
        """Count data that was read at once."""
        self.received += estimate_wire_bytes(payload)

    def record_sent(self, payload: int) -> None:
        """Count data that was written at once."""
        self.sent += estimate_wire_bytes(payload)

    @property
    def total(self) -> LinkBytes:
        """The totals."""
        return LinkBytes(self.received, self.sent)
