"""The order of what the store tells, across restores from a backup.

A restored store gives revisions out again, so a revision alone does not order news. Each answer bears the store's
epoch, which rises with each restore. A position is the epoch above the revision, in one whole number: what is written
after a restore is newer than all before it, wherever positions are compared or passed between VMs, and fencing tokens
rise. The positions of a store that tells no epoch are its revisions.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from beamhatch.relay.api import Headers

Epoch = NewType("Epoch", int)
"""How often the store was restored, as it counts; 0 where it does not tell."""

REVISIONS_PER_EPOCH = 1 << 32
"""Revisions of one epoch at the most. With it, a position is exact in a number of 53 bits up to epoch 2,000,000."""

INITIAL_EPOCH = 1
"""The epoch of a store that was never restored."""

SETTLE_TIME_S = 4.0
"""Seconds after a restore in which a list may lack what is still in force.

Upstreams and operators write again what they wrote: an upstream each 1.2 s, and one whose lease lapsed within 2 s.
"""

EPOCH_HEADER = "store-era"


def make_position(epoch: Epoch, revision: int) -> int:
    """Return the position of a revision in the order of all that the store ever told."""
    return epoch * REVISIONS_PER_EPOCH + revision


def get_epoch(position: int) -> Epoch:
    """Return the epoch of a position."""
    return Epoch(position // REVISIONS_PER_EPOCH)


def get_revision(position: int) -> int:
    """Return the revision of a position, as the store knows it."""
    return position % REVISIONS_PER_EPOCH


def read_epoch(headers: Headers) -> Epoch:
    """Return the epoch that an answer tells, 0 where it tells none that can be read."""
    for name, value in headers:
        if name.lower() == EPOCH_HEADER and value.isascii() and value.isdigit() and len(value) <= 6:
            return Epoch(int(value))
    return Epoch(0)


@dataclass(slots=True)
class EpochTracker:
    """The newest epoch that the store has told this VM, and when it rose."""

    epoch: Epoch | None = None
    """None before the first answer."""
    settled_at: float = float("-inf")
    """From when on lists are complete again, in monotonic seconds."""
    first_response_at: float = float("inf")
    """When the store told its epoch first."""

    @property
    def was_restored(self) -> bool:
        """Tell whether the store was ever restored, so that it may have lost what it lacks."""
        return (self.epoch or 0) > INITIAL_EPOCH or self.settled_at > float("-inf")

    def record(self, epoch: Epoch, now: float) -> bool:
        """Take in the epoch of an answer; return whether the store was restored since the last one."""
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
        """Take in the epoch of what peers told.

        An older one means that the store was restored shortly before its first answer to this VM. To take a list as
        complete would then end evacuations and drop upstreams that are about to be written again.
        """
        if self.epoch is not None and epoch < self.epoch and self.settled_at < self.first_response_at:
            self.settled_at = now + SETTLE_TIME_S

    def may_have_been_restored(self, now: float) -> bool:
        """Tell whether a restore shortly before the first answer can't be ruled out."""
        return bool(self.epoch) and now < self.first_response_at + SETTLE_TIME_S

    def is_settled(self, now: float) -> bool:
        """Tell whether what a list lacks is gone."""
        return now >= self.settled_at
