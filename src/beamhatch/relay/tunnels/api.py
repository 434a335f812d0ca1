"""Interfaces to open a connection to an upstream, whichever way it takes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from twisted.internet.protocol import Protocol

    from beamhatch.relay.model import Address


class DialReceiver(ABC):
    """Receiver of the result of one dial; exactly one of its methods is called last."""

    @property
    @abstractmethod
    def is_wanted(self) -> bool:
        """Return whether anybody waits for the connection."""

    @abstractmethod
    def build_protocol(self, proxy: Address | None) -> Protocol | None:
        """Return the protocol of the established connection, or None to close it.

        :param proxy: the peer that the connection goes through; None for a direct one
        """

    @abstractmethod
    def handle_failure(self, detail: str) -> None:
        """Handle the failure of all attempts: no byte was sent."""


class Dialer(ABC):
    """Strategy to connect to upstreams."""

    @abstractmethod
    def connect(self, address: Address, receiver: DialReceiver, timeout: float, *, direct_only: bool = False) -> None:
        """Connect to an address.

        :param timeout: seconds for a direct attempt
        :param direct_only: whether the connection must not go through a peer
        """

    def should_keep(self, address: Address, proxy: Address | None) -> bool:
        """Return whether a connection is kept for later calls."""
        return True


class DialObserver(ABC):
    """Observer of the outcome of direct connection attempts."""

    @abstractmethod
    def record_connected(self, address: Address) -> None:
        """Record an established direct connection."""

    @abstractmethod
    def record_unreachable(self, address: Address) -> None:
        """Record a direct attempt that was refused or not answered in time."""
