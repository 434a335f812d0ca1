"""Ordering of the store's changes across restores from a backup.

A restored store assigns revisions again, so revisions alone do not order changes. Each response carries the store's
epoch, which increases with each restore. A position is one integer with the epoch in the high bits and the revision in
the low bits, so that everything written after a restore has a higher position and fencing tokens always increase.
Without an epoch, a position equals the revision.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from beamhatch.relay.api import Headers

Epoch = NewType("Epoch", int)
"""The store's restore counter; 0 if the store does not report one."""

REVISIONS_PER_EPOCH = 1 << 32
"""Exclusive upper bound of revisions. Positions fit into 53 bits up to epoch 2,000,000."""

INITIAL_EPOCH = 1
"""The epoch of a store that has never been restored."""

SETTLE_TIME_S = 4.0
"""Period after a restore in which a list may lack keys that upstreams and operators have yet to write again.

Upstreams write at every heartbeat, or within 2 s if their lease expired.
"""

EPOCH_HEADER = "store-era"


def make_position(epoch: Epoch, revision: int) -> int:
    """Return the position of a revision written in an epoch."""
    return epoch * REVISIONS_PER_EPOCH + revision


def get_epoch(position: int) -> Epoch:
    """Return the epoch of a position."""
    return Epoch(position // REVISIONS_PER_EPOCH)


def get_revision(position: int) -> int:
    """Return the store's revision of a position."""
    return position % REVISIONS_PER_EPOCH


def read_epoch(headers: Headers) -> Epoch:
    """Return the epoch in a response's headers, or 0 if it is missing or invalid."""
    for name, value in headers:
        if name.lower() == EPOCH_HEADER and value.isascii() and value.isdigit() and len(value) <= 6:
            return Epoch(int(value))
    return Epoch(0)


@dataclass(slots=True)
class EpochTracker:
    """The newest epoch received from the store, and when it increased."""

    epoch: Epoch | None = None
    """None before the first response."""
    settled_at: float = float("-inf")
    """Monotonic time in seconds from which lists are complete again."""
    first_response_at: float = float("inf")
    """Monotonic time in seconds of the first response."""

    @property
    def was_restored(self) -> bool:
        """Return whether the store was ever restored and may therefore have lost data."""
        return (self.epoch or 0) > INITIAL_EPOCH or self.settled_at > float("-inf")

    def record(self, epoch: Epoch, now: float) -> bool:
        """Record the epoch of a response; return whether the store was restored since the previous one."""
        previous = self.epoch
        if previous is not None and epoch <= previous:
            return False
        self.epoch = epoch
        if previous is None:
            self.first_response_at = now
            return False
        self.settled_at = now + SETTLE_TIME_S
        return True

    def record_peer_epoch(self, epoch: Epoch, now: float) -> None:
        """Record the epoch of updates received from peers.

        An older epoch means that the store was restored shortly before its first response to this VM. Treating a list
        as complete would then end evacuations and drop upstreams that have yet to be written again.
        """
        if self.epoch is not None and epoch < self.epoch and self.settled_at < self.first_response_at:
            self.settled_at = now + SETTLE_TIME_S

    def may_have_been_restored(self, now: float) -> bool:
        """Return whether the store may have been restored shortly before its first response."""
        return bool(self.epoch) and now < self.first_response_at + SETTLE_TIME_S

    def is_settled(self, now: float) -> bool:
        """Return whether lists are complete, so that a missing key was removed."""
        return now >= self.settled_at
