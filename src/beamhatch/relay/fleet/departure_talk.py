"""Exchange departures that upstreams announced in their responses.

Each departure is sent once per connection and forwarded by its receivers, so that it reaches VMs that cannot read it
from the store. Departures that are already listed in the store are not sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.fleet.gossip_message import MAX_DEPARTURES, DepartureUpdate

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from beamhatch.clock import Clock
    from beamhatch.relay.fleet.peer_connection import PeerConnection
    from beamhatch.relay.upstreams.announcements import Announcements

FIRST_SEND_DELAY_S = 0.2
"""Seconds to wait after an upstream's announcement before sending it to peers.

It is not sent if the store lists the departure by then.
"""

FORWARD_DELAY_S = 0.02
"""Seconds for which departures received from peers are collected before they are forwarded."""


class DepartureGossip:
    """One VM's exchange of departures with its peers."""

    def __init__(self, clock: Clock, announcements: Announcements) -> None:
        self._clock = clock
        self._announcements = announcements
        self._due = float("inf")
        self.list_connections: Callable[[], Iterable[PeerConnection]] = list
        """Returns the established connections to peers."""

    def send_soon(self) -> None:
        """Schedule sending departures, after an upstream announced one to this VM."""
        self._schedule_send(FIRST_SEND_DELAY_S)

    def send_pending(self, connection: PeerConnection) -> None:
        """Send a peer the departures that were neither sent to it nor received from it."""
        sent = connection.sent.departures
        pending = [one for one in self._announcements.list_unstored()[-MAX_DEPARTURES:] if one not in sent]
        if pending:
            sent.update(pending)
            connection.send(DepartureUpdate(pending))

    def handle_update(self, connection: PeerConnection, message: DepartureUpdate) -> None:
        """Apply a peer's departures and schedule forwarding the new ones."""
        incarnations = message.lives[:MAX_DEPARTURES]
        connection.sent.departures.update(incarnations)
        new = [one for one in incarnations if self._announcements.apply_departure(one, f"peer {connection.vm}")]
        if new:
            self._schedule_send(FORWARD_DELAY_S)

    def _schedule_send(self, seconds: float) -> None:
        due = self._clock.now() + seconds
        if due < self._due:
            self._due = due
            self._clock.call_later(seconds, self._send, due)

    def _send(self, due: float) -> None:
        if due != self._due:
            return  # superseded by a send that is due earlier
        self._due = float("inf")
        for connection in self.list_connections():
            self.send_pending(connection)
