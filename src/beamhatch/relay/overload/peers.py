"""Whether other VMs could serve the callers that this one refuses."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from beamhatch.relay.fleet.peer_connection import PeerConnection

MAX_STATE_AGE_S = 1.8
"""Seconds after which what a peer told counts as unknown; covers three regular heartbeats."""


def has_peer_with_room(connections: Iterable[PeerConnection], hall: str, now: float) -> bool:
    """Return whether a peer in a hall told lately that it refuses no connections.

    :param hall: hall of this VM, whose callers try other VMs of the same hall
    """
    return any(
        one.vm and one.hall == hall and not one.received.sheds and now - one.last_received_at < MAX_STATE_AGE_S
        for one in connections
    )
