"""Tell peers which upstreams said in an answer that they leave.

Each life is told once on a connection, and by who hears of it on all its own, so VMs that the store does not answer, or
that are met behind a cut or a restart, know what any VM heard. What the store tells itself is not told.
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
"""Seconds in which the store may tell of it before peers are told: it does so in 0.01 s where it answers.

So on a day on which it does nothing is told at all.
"""

FORWARD_DELAY_S = 0.02
"""Seconds in which what several peers tell is put into one message."""


class DepartureGossip:
    """What one VM says and hears of upstreams that leave."""

    def __init__(self, clock: Clock, announcements: Announcements) -> None:
        self._clock = clock
        self._announcements = announcements
        self._due = float("inf")
        self.list_connections: Callable[[], Iterable[PeerConnection]] = list
        """Returns the connections to peers that are up."""

    def send_soon(self) -> None:
        """Tell peers of what an upstream said to this VM, unless the store does before."""
        self._schedule_send(FIRST_SEND_DELAY_S)

    def send_pending(self, connection: PeerConnection) -> None:
        """Tell a peer that was met what it may not know."""
        told = connection.sent.departures
        news = [life for life in self._announcements.list_untold()[-MAX_DEPARTURES:] if life not in told]
        if news:
            told.update(news)
            connection.send(DepartureUpdate(news))

    def handle_update(self, connection: PeerConnection, message: DepartureUpdate) -> None:
        """Take in what a peer tells, and hand on what is news."""
        lives = message.lives[:MAX_DEPARTURES]
        connection.sent.departures.update(lives)
        news = [life for life in lives if self._announcements.take_departure(life, f"peer {connection.vm}")]
        if news:
            self._schedule_send(FORWARD_DELAY_S)

    def _schedule_send(self, seconds: float) -> None:
        due = self._clock.now() + seconds
        if due < self._due:
            self._due = due
            self._clock.call_later(seconds, self._send, due)

    def _send(self, due: float) -> None:
        if due != self._due:
            return  # it was told before
        self._due = float("inf")
        for connection in self.list_connections():
            self.send_pending(connection)
