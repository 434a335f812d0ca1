"""Which peer to ask for a newer version of what all VMs hold, and when; decided without clock or socket.

A peer that has a newer version may not answer: it may stand still, or its connection may no longer deliver. Peers are
therefore asked one after the other, the one that was heard most recently first.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

Peer = TypeVar("Peer")

STORE_GRACE_S = 0.2
"""Seconds for which a store watcher waits for the store to send what a peer already has."""

ANSWER_TIMEOUT_S = 0.25
"""Seconds after which another peer is asked: more than a round trip between regions and the transfer of a version."""


@dataclass(frozen=True, slots=True)
class Offer(Generic[Peer]):
    """A version that a peer has."""

    peer: Peer
    version: int
    heard_at: float
    """When the last message from the peer arrived, in monotonic seconds."""


@dataclass(slots=True)
class VersionLag(Generic[Peer]):
    """How long this VM has known that its version is outdated, and which peers it has asked since."""

    _own_version: int | None = None
    """The outdated version; None if this VM is up to date as far as it knows."""
    _since: float = 0.0
    _asked_at: dict[Peer, float] = field(default_factory=dict)

    def choose_peer(
        self, own_version: int, offers: Iterable[Offer[Peer]], now: float, *, store_may_send: bool
    ) -> Peer | None:
        """Return the peer to ask now, and record that it was asked; None if no peer is to be asked now.

        :param store_may_send: whether the store is expected to send the version as well, so that peers are asked later
        """
        newer = [offer for offer in offers if offer.version > own_version]
        if not newer or own_version != self._own_version:
            self._asked_at.clear()
            self._own_version, self._since = (own_version if newer else None), now
        if not newer or (store_may_send and now - self._since < STORE_GRACE_S):
            return None
        if any(now - asked_at < ANSWER_TIMEOUT_S for asked_at in self._asked_at.values()):
            return None
        chosen = min(newer, key=lambda offer: (self._asked_at.get(offer.peer, -math.inf), -offer.heard_at)).peer
        self._asked_at[chosen] = now
        return chosen

    @property
    def is_behind(self) -> bool:
        """Return whether a peer was known to have a newer version at the last call of ``choose_peer``."""
        return self._own_version is not None
