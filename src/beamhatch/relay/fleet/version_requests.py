"""Request newer configurations and listings from peers, for as long as any peer has one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.fleet.gossip_message import ConfigurationRequest, ListingRequest
from beamhatch.relay.fleet.lag import Offer, VersionLag
from beamhatch.relay.fleet.peer_connection import PeerConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.core import Core

CHECK_INTERVAL_S = 0.1
"""Seconds between checks for another peer to ask, while a peer has a newer version."""


class VersionRequests:
    """Requests of one VM for what its peers have newer versions of."""

    def __init__(
        self, core: Core, list_connections: Callable[[], list[PeerConnection]], may_store_send: Callable[[], bool]
    ) -> None:
        """Create requests.

        :param may_store_send: returns whether the store is expected to send newer versions before peers are asked
        """
        self._core = core
        self._list_connections = list_connections
        self._may_store_send = may_store_send
        self._configuration_lag = VersionLag[PeerConnection]()
        self._listing_lag = VersionLag[PeerConnection]()
        self._check_pending = False
        self._stopped = False

    def stop(self) -> None:
        """Send no more requests."""
        self._stopped = True

    def update(self) -> None:
        """Request what peers have newer versions of, and check again soon for as long as one has."""
        if self._stopped:
            return
        core = self._core
        store_may_send = self._may_store_send()
        connections = self._list_connections()
        configurations = [Offer(one, one.received.version, one.last_received_at) for one in connections]
        listings = [Offer(one, one.received.revision, one.last_received_at) for one in connections]
        now = core.clock.now()
        peer = self._configuration_lag.choose_peer(
            core.version, configurations, now, store_may_send=store_may_send and core.version != 0
        )
        if peer is not None:
            peer.send(ConfigurationRequest())
        peer = self._listing_lag.choose_peer(
            core.revision, listings, now, store_may_send=store_may_send and core.revision != 0
        )
        if peer is not None:
            peer.send(ListingRequest(core.revision))
        is_behind = self._configuration_lag.is_behind or self._listing_lag.is_behind
        if is_behind and not self._check_pending:
            self._check_pending = True
            core.clock.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._check_pending = False
        self.update()
