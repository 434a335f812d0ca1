"""Whether other VMs could serve the callers that this one refuses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.fleet.peer_words import VALUE_TTL_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from beamhatch.relay.fleet.peer_connection import PeerConnection


def has_peer_with_room(connections: Iterable[PeerConnection], hall: str, now: float) -> bool:
    """Return whether a peer in a hall told lately that it refuses no connections.

    :param hall: hall of this VM, whose callers try other VMs of the same hall
    """
    return any(
        one.vm and one.hall == hall and not one.received.sheds and now - one.last_received_at < VALUE_TTL_S
        for one in connections
    )
