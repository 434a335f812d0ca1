"""Tell peers which members of the fleet this VM knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.fleet.gossip_message import MAX_MENTIONS, Hello

if TYPE_CHECKING:
    from collections.abc import Iterable

    from beamhatch.clock import Clock
    from beamhatch.relay.fleet.membership import Membership, Mention
    from beamhatch.relay.fleet.peer_connection import PeerConnection

MIN_HELLO_INTERVAL_S = 0.5
"""Initial value of the interval between two hellos, which doubles with each hello."""

MAX_HELLO_INTERVAL_S = 10.0
"""Upper bound of the interval between two hellos."""

MAX_REPEATED_MENTIONS = 8
"""Maximum number of members, drawn at random, that a hello to another hall repeats although the peer knows them.

Several VMs of a hall send them, so each member is mentioned far more often than ``MEMBER_TTL_S`` requires.
"""


class Hellos:
    """The hellos that one VM sends."""

    def __init__(self, clock: Clock, membership: Membership, vm: str) -> None:
        self._clock = clock
        self._membership = membership
        self._vm = vm
        self._last_at = 0.0
        self._interval = MIN_HELLO_INTERVAL_S

    def send_due(self, connections: Iterable[PeerConnection], now: float) -> None:
        """Send a hello to all peers, if the interval is over."""
        if now - self._last_at < self._interval:
            return
        self._last_at = now
        self._interval = min(MAX_HELLO_INTERVAL_S, 2 * self._interval)
        for connection in list(connections):
            self.send(connection)

    def introduce(self, connection: PeerConnection) -> None:
        """Tell a peer that dialled this VM who it is; the members follow once the hall of the peer is known."""
        connection.send(Hello(self._vm, self._membership.own, []))

    def send(self, connection: PeerConnection) -> None:
        """Send the known members; to a peer in another hall, mainly those that it was not sent yet."""
        is_near = connection.hall == self._membership.own.hall
        known = self._list_all() if is_near else self._select_for(connection)
        connection.send(Hello(self._vm, self._membership.own, known))

    def _list_all(self) -> list[Mention]:
        return self._membership.list_mentions(MAX_MENTIONS, self._clock.now())

    def _select_for(self, connection: PeerConnection) -> list[Mention]:
        max_repeated = MAX_REPEATED_MENTIONS if self._interval == MAX_HELLO_INTERVAL_S else 0
        mentions = self._membership.select_mentions(
            connection.sent.known_addresses, MAX_MENTIONS, max_repeated, self._clock.now()
        )
        connection.sent.record_known(mention.member for mention in mentions)
        return mentions
