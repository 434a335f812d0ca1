"""Tell peers which upstreams said in an answer that they leave.

Each life is told once on a connection, and by who hears of it on all its own, so VMs that the store does not answer, or
that are met behind a cut or a restart, know what any VM heard. What the store tells itself is not told.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.fleet.gossip_message import MOST_TOLD_DEPARTURES, DepartureNews

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from beamhatch.clock import Clock
    from beamhatch.relay.fleet.peer_connection import PeerConnection
    from beamhatch.relay.upstreams.announcements import Announcements

FIRST_DELAY = 0.2
"""Seconds in which the store may tell of it before peers are told: it does so in 0.01 s where it answers.

So on a day on which it does nothing is told at all.
"""

HAND_ON_DELAY = 0.02
"""Seconds in which what several peers tell is put into one message."""


class DepartureTalk:
    """What one VM says and hears of upstreams that leave."""

    def __init__(self, clock: Clock, announcements: Announcements) -> None:
        self._clock = clock
        self._announcements = announcements
        self._due = float("inf")
        self.list_connections: Callable[[], Iterable[PeerConnection]] = list
        """Returns the connections to peers that are up."""

    def tell_soon(self) -> None:
        """Tell peers of what an upstream said to this VM, unless the store does before."""
        self._tell_in(FIRST_DELAY)

    def tell_all(self, connection: PeerConnection) -> None:
        """Tell a peer that was met what it may not know."""
        told = connection.told.departures
        news = [life for life in self._announcements.list_unstored()[-MOST_TOLD_DEPARTURES:] if life not in told]
        if news:
            told.update(news)
            connection.tell(DepartureNews(news))

    def take(self, connection: PeerConnection, message: DepartureNews) -> None:
        """Take in what a peer tells, and hand on what is news."""
        lives = message.lives[:MOST_TOLD_DEPARTURES]
        connection.told.departures.update(lives)
        news = [life for life in lives if self._announcements.apply_departure(life, f"peer {connection.vm}")]
        if news:
            self._tell_in(HAND_ON_DELAY)

    def _tell_in(self, seconds: float) -> None:
        due = self._clock.now() + seconds
        if due < self._due:
            self._due = due
            self._clock.call_later(seconds, self._tell, due)

    def _tell(self, due: float) -> None:
        if due != self._due:
            return  # it was told before
        self._due = float("inf")
        for connection in self.list_connections():
            self.tell_all(connection)
