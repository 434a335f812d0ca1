"""Establish connections to the peers that the membership selects, and close those that are no longer wanted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.fleet.peer_connection import PeerClientFactory

if TYPE_CHECKING:
    from beamhatch.clock import Clock
    from beamhatch.relay.fleet.membership import Membership
    from beamhatch.relay.fleet.peer_connection import PeerConnection, PeerHandler

CONNECT_TIMEOUT_S = 0.5
"""Seconds within which a connection to a peer must be established."""


class PeerDialer:
    """The peers that one VM dials."""

    def __init__(self, clock: Clock, membership: Membership, handler: PeerHandler) -> None:
        self._clock = clock
        self._membership = membership
        self._handler = handler
        self._dialled: dict[str, PeerConnection | None] = {}
        """Addresses that this VM dialled, with the connection once it is established."""

    def dial(self, now: float) -> None:
        """Dial the peers that are not connected, and close connections to others once all of them are."""
        targets = self._membership.list_targets(now)
        for address in [*targets, *self._membership.list_retries(now)]:
            if address not in self._dialled:
                self._dialled[address] = None
                host, _, port = address.rpartition(":")
                factory = PeerClientFactory(self._handler, address)
                self._clock.reactor.connectTCP(host, int(port), factory, timeout=CONNECT_TIMEOUT_S)
        self._close_unwanted(targets)

    def _close_unwanted(self, targets: list[str]) -> None:
        if any(self._dialled.get(address) is None for address in targets):
            return
        for address, connection in list(self._dialled.items()):
            if connection is not None and address not in targets:
                connection.is_unwanted = True
                connection.transport.loseConnection()

    def record_connected(self, connection: PeerConnection) -> None:
        """Record that a connection is established, if this VM dialled it."""
        if connection.dialled_address is not None:
            self._dialled[connection.dialled_address] = connection

    def record_closed(self, connection: PeerConnection) -> None:
        """Record that a connection is closed; its address may be dialled again."""
        address = connection.dialled_address
        if address is not None and self._dialled.get(address) is connection:
            del self._dialled[address]

    def record_unreachable(self, address: str) -> None:
        """Record that a connection could not be established."""
        self._dialled.pop(address, None)
        self._membership.record_unreachable(address, self._clock.now())

    def record_unresponsive(self, connection: PeerConnection, now: float) -> None:
        """Record that nothing arrives on a connection any more, if this VM dialled it."""
        if connection.dialled_address is not None:
            self._dialled.pop(connection.dialled_address, None)
            self._membership.record_silent(connection.dialled_address, now)
